//! Logs, metrics and traces.
//!
//! Log lines carry a fixed prefix for each part (the target of the `log`
//! call) and `key=value` fields. Spans, one for each hop of a request, go as
//! OTLP JSON to a file or over HTTP; a bounded channel keeps a slow collector
//! from holding up requests.
//!
//! ```
//! use bluebellreel_telemetry::Tracer;
//!
//! let tracer = Tracer::disabled();
//! assert_eq!(tracer.dropped(), 0);
//! ```

mod json_log;
mod logging;
mod metrics;
mod otlp;
mod tracing;

pub use json_log::{DroppedLines, JsonLog, start_json_logging};
pub use logging::{LogSettings, start_logging};
pub use metrics::{EntryMetrics, ModelLabel, OutcomeLabel, SideMetrics, encode_metrics};
pub use otlp::{TraceSink, span_json};
pub use tracing::{Span, SpanField, Tracer};
