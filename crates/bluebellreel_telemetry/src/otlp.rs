//! Spans as OTLP JSON, to a file or over HTTP.

use crate::Span;
use serde_json::{Value, json};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

/// Where spans go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TraceSink {
    /// Nowhere.
    Off,
    /// One OTLP JSON message a line, appended to a file.
    File(PathBuf),
    /// `POST`ed to this URL.
    Http(String),
}

/// An OTLP message with some spans.
#[must_use]
pub fn span_json(service: &str, spans: &[Span]) -> Value {
    let spans: Vec<Value> = spans.iter().map(one_span).collect();
    json!({ "resourceSpans": [{
        "resource": { "attributes": [attribute("service.name", service)] },
        "scopeSpans": [{ "scope": { "name": "bluebellreel" }, "spans": spans }],
    }]})
}

fn one_span(span: &Span) -> Value {
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

/// Sends some spans.
///
/// # Errors
///
/// Gives the reason when the sink does not take them.
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
