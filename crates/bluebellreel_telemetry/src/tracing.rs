//! Spans on their way to the exporter.

use crate::otlp::{self, TraceSink};
use bluebellreel_types::{Moment, TraceContext};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

/// Spans that may wait for the exporter.
const QUEUE: usize = 4_096;
/// Spans sent together.
const GROUP: usize = 256;
/// Longest time a span waits for others.
const GROUP_WAIT: Duration = Duration::from_millis(200);

/// A named value of a span.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpanField {
    /// Its name.
    pub name: &'static str,
    /// Its value.
    pub value: String,
}

/// One hop of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The trace and the span above this one.
    pub context: TraceContext,
    /// This span's id.
    pub id: u64,
    /// The hop.
    pub name: &'static str,
    /// When it began.
    pub start: Moment,
    /// When it ended.
    pub end: Moment,
    /// What is worth knowing.
    pub fields: Vec<SpanField>,
}

impl Span {
    /// A span that begins now, with a fresh id.
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

    /// The context for the hops below this one.
    #[must_use]
    pub fn child_context(&self) -> TraceContext {
        self.context.child(self.id)
    }
}

/// Takes spans in; cheap to clone.
#[derive(Clone, Debug)]
pub struct Tracer {
    tx: Option<Sender<Span>>,
    dropped: Arc<AtomicU64>,
}

impl Tracer {
    /// A tracer that exports nothing.
    #[must_use]
    pub fn disabled() -> Self {
        Self {
            tx: None,
            dropped: Arc::default(),
        }
    }

    /// Starts exporting on a thread of its own.
    #[must_use]
    pub fn start(service: &str, sink: TraceSink) -> Self {
        if sink == TraceSink::Off {
            return Self::disabled();
        }
        let (tx, rx) = bounded(QUEUE);
        let service = service.to_owned();
        thread::spawn(move || export_all(&rx, &sink, &service));
        Self {
            tx: Some(tx),
            dropped: Arc::default(),
        }
    }

    /// Hands a span over; it is dropped when the exporter lags behind.
    pub fn finish(&self, mut span: Span, end: Moment) {
        let Some(tx) = &self.tx else { return };
        span.end = end;
        if tx.try_send(span).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Spans dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

fn export_all(rx: &Receiver<Span>, sink: &TraceSink, service: &str) {
    while let Ok(first) = rx.recv() {
        thread::sleep(GROUP_WAIT);
        let mut group = vec![first];
        group.extend(rx.try_iter().take(GROUP - 1));
        if let Err(e) = otlp::export(sink, service, &group) {
            log::warn!(target: "trace", error = e.to_string(); "Spans were lost.");
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
        let child_context =
            Span::begin(root.child_context(), "entry", Moment(2)).with("worker", "w1");
        let message = otlp::span_json("test", &[root.clone(), child_context]).to_string();
        assert_eq!(message.matches("parentSpanId").count(), 1);
        assert!(message.contains(&format!("{:016x}", root.id)));
        assert!(message.contains("\"w1\""));
    }
}
