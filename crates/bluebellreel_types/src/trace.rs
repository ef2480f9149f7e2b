//! Trace context passed along with a request (W3C Trace Context).

use serde::{Deserialize, Serialize};
use std::fmt;

/// The ids of a `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TraceContext {
    /// Id of the trace, shared by all spans of a request.
    pub trace: u128,
    /// Id of the parent span; zero for none.
    pub parent: u64,
}

impl TraceContext {
    /// Starts a new trace.
    #[must_use]
    pub fn fresh() -> Self {
        Self {
            trace: rand::random(),
            parent: 0,
        }
    }

    /// Returns the context for the next hop, with `span` as the parent.
    #[must_use]
    pub fn child(self, span: u64) -> Self {
        Self {
            trace: self.trace,
            parent: span,
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "00-{:032x}-{:016x}-01", self.trace, self.parent)
    }
}

impl TryFrom<&str> for TraceContext {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let mut fields = text.split('-');
        if fields.next() != Some("00") {
            return Err("traceparent: expected version 00");
        }
        let trace = fields.next().filter(|f| f.len() == 32);
        let parent = fields.next().filter(|f| f.len() == 16);
        let (Some(trace), Some(parent)) = (trace, parent) else {
            return Err("traceparent: expected a trace id of 32 and a parent id of 16 digits");
        };
        let trace = u128::from_str_radix(trace, 16)
            .map_err(|_| "traceparent: trace id is not hexadecimal")?;
        let parent = u64::from_str_radix(parent, 16)
            .map_err(|_| "traceparent: parent id is not hexadecimal")?;
        if trace == 0 || parent == 0 {
            return Err("traceparent: ids must not be zero");
        }
        Ok(Self { trace, parent })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn traceparent_round_trip() {
        let context = TraceContext {
            trace: 7,
            parent: 9,
        };
        let text = context.to_string();
        assert_eq!(TraceContext::try_from(text.as_str()), Ok(context));
        assert!(TraceContext::try_from("00-xyz").is_err());
    }
}
