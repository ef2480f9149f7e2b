//! Trace context that travels with a request (W3C Trace Context).

use serde::{Deserialize, Serialize};
use std::fmt;

/// The ids of a `traceparent` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TraceContext {
    /// Shared by all spans of a request.
    pub trace: u128,
    /// The span that caused this one; zero for none.
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

    /// The context to hand to the next hop, below the span `span`.
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
            return Err("unknown version of traceparent");
        }
        let trace = fields.next().filter(|f| f.len() == 32);
        let parent = fields.next().filter(|f| f.len() == 16);
        let (Some(trace), Some(parent)) = (trace, parent) else {
            return Err("traceparent lacks its ids");
        };
        let trace = u128::from_str_radix(trace, 16).map_err(|_| "bad trace id")?;
        let parent = u64::from_str_radix(parent, 16).map_err(|_| "bad parent id")?;
        if trace == 0 || parent == 0 {
            return Err("an id of zero");
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
