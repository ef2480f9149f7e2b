//! Export of spans as OTLP JSON, to a file or over HTTP.

use crate::Span;
use serde_json::{Value, json};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

/// Destination of spans.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceSink {
    /// Spans are dropped.
    Off,
    /// Spans are appended to a file, one OTLP JSON message per line.
    File(PathBuf),
    /// Spans are sent to this URL by `POST`.
    Http(String),
}

/// Builds an OTLP message with these spans.
#[must_use]
pub fn span_json(service: &str, spans: &[Span]) -> Value {
    let spans: Vec<Value> = spans.iter().map(encode_span).collect();
    json!({ "resourceSpans": [{
        "resource": { "attributes": [attribute("service.name", service)] },
        "scopeSpans": [{ "scope": { "name": "bluebellreel" }, "spans": spans }],
    }]})
}

fn encode_span(span: &Span) -> Value {
    let attributes: Vec<Value> = span
        .fields
        .iter()
        .map(|field| attribute(field.name, &field.value))
        .collect();
    let mut value = json!({
        "traceId": format!("{:032x}", span.context.trace),
        "spanId": format!("{:016x}", span.id),
        "name": span.name,
        "kind": 1,
        "startTimeUnixNano": (span.start.0 * 1_000).to_string(),
        "endTimeUnixNano": (span.end.0 * 1_000).to_string(),
        "attributes": attributes,
    });
    if span.context.parent != 0 {
        value["parentSpanId"] = format!("{:016x}", span.context.parent).into();
    }
    value
}

fn attribute(key: &str, value: &str) -> Value {
    json!({ "key": key, "value": { "stringValue": value } })
}

/// Exports spans to a sink.
///
/// # Errors
///
/// Fails if the file cannot be written or the collector does not accept the spans.
pub(crate) fn export(sink: &TraceSink, service: &str, spans: &[Span]) -> eyre::Result<()> {
    let message = span_json(service, spans);
    match sink {
        TraceSink::Off => {}
        TraceSink::File(path) => {
            let mut f = OpenOptions::new().create(true).append(true).open(path)?;
            f.write_all(format!("{message}\n").as_bytes())?;
        }
        TraceSink::Http(url) => {
            ureq::post(url).send_json(&message)?;
        }
    }
    Ok(())
}
