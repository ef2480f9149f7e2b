//! Spans and the queue that passes them to the exporter.

use crate::otlp::{self, TraceSink};
use bluebellreel_types::{Moment, TraceContext};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Limit on the spans queued for the exporter.
const MAX_QUEUED_SPANS: usize = 4_096;
/// Limit on the spans exported together.
const MAX_EXPORT_SPANS: usize = 256;
/// How long a span waits for others that are exported with it.
const EXPORT_DELAY: Duration = Duration::from_millis(200);

/// A named attribute of a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanField {
    /// The field's name.
    pub name: &'static str,
    /// The field's value.
    pub value: String,
}

/// A span: one hop of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The trace and the parent span.
    pub context: TraceContext,
    /// This span's id.
    pub id: u64,
    /// Name of the hop.
    pub name: &'static str,
    /// Start of the span.
    pub start: Moment,
    /// End of the span.
    pub end: Moment,
    /// Attributes of the span.
    pub fields: Vec<SpanField>,
}

impl Span {
    /// Creates a span that begins at `start`, with a new random id.
    #[must_use]
    pub fn begin(context: TraceContext, name: &'static str, start: Moment) -> Self {
        Self {
            context,
            id: rand::random::<u64>().max(1),
            name,
            start,
            end: start,
            fields: Vec::new(),
        }
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.fields.push(SpanField {
            name,
            value: value.into(),
        });
        self
    }

    /// The context for child spans of this one.
    #[must_use]
    pub fn child_context(&self) -> TraceContext {
        self.context.child(self.id)
    }
}

/// Passes finished spans to the exporter. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Tracer {
    tx: Option<Sender<Span>>,
    dropped: Arc<AtomicU64>,
}

impl Tracer {
    /// Creates a tracer that drops all spans.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            tx: None,
            dropped: Arc::default(),
        }
    }

    /// Starts a thread that exports spans to `sink`.
    #[must_use]
    pub fn start(service: &str, sink: TraceSink) -> Self {
        if sink == TraceSink::Off {
            return Self::disabled();
        }
        let (tx, rx) = bounded(MAX_QUEUED_SPANS);
        let service = service.to_owned();
        thread::spawn(move || export_all(&rx, &sink, &service));
        Self {
            tx: Some(tx),
            dropped: Arc::default(),
        }
    }

    /// Ends a span and queues it for export. If the queue is full, the span is dropped
    /// and counted.
    pub fn finish(&self, mut span: Span, end: Moment) {
        let Some(tx) = &self.tx else { return };
        span.end = end;
        if tx.try_send(span).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Number of spans dropped so far because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn export_all(rx: &Receiver<Span>, sink: &TraceSink, service: &str) {
    while let Ok(first) = rx.recv() {
        thread::sleep(EXPORT_DELAY);
        let mut group = vec![first];
        group.extend(rx.try_iter().take(MAX_EXPORT_SPANS - 1));
        if let Err(e) = otlp::export(sink, service, &group) {
            log::warn!(target: "trace", error = e.to_string(); "Spans not exported.");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn span_names_its_parent_only_if_it_has_one() {
        let root = Span::begin(
            TraceContext {
                trace: 5,
                parent: 0,
            },
            "caller",
            Moment(1),
        );
        let child = Span::begin(root.child_context(), "entry", Moment(2)).with("worker", "w1");
        let message = otlp::span_json("test", &[root.clone(), child]).to_string();
        assert_eq!(message.matches("parentSpanId").count(), 1);
        assert!(message.contains(&format!("{:016x}", root.id)));
        assert!(message.contains("\"w1\""));
    }
}
