//! Logs, metrics and traces.
//!
//! Log lines have the target of the `log` call as a prefix, which names the part of
//! the program, and `key=value` fields. Spans, one for each hop of a request, are
//! exported as OTLP JSON to a file or over HTTP. A bounded channel keeps a slow
//! collector from delaying requests.
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
