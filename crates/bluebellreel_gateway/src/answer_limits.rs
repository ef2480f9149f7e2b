//! How much a worker may send in answer to one request.

use bluebellreel_platform::ingress;
use http::HeaderMap;

/// Events of an answer for each token that the request allows at most.
const EVENTS_PER_TOKEN: u64 = 2;
/// Events of an answer beside those with tokens.
const EXTRA_EVENTS: u64 = 64;
/// Maximum number of events if the request does not say how many tokens it allows.
const MAX_EVENTS: u64 = 64 * 1024;
/// Mean size of the events of an item's output, in bytes, and the size beyond it that any
/// output may have.
const MAX_MEAN_EVENT: u64 = 256;
const EXTRA_BYTES: u64 = 64 * 1024;

/// The reason logged for an answer that exceeds its limits.
pub(crate) const TOO_LONG: &str = "longer than the request allows";

/// Limits of the answer to a request with events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnswerLimits {
    /// Number of events.
    pub(crate) events: u64,
    /// Size of the text, for answers that are kept until they are complete.
    pub(crate) bytes: u64,
}

impl AnswerLimits {
    /// The limits that follow from a request's headers.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let tokens = ingress::max_output_tokens(headers);
        let events = tokens.map_or(MAX_EVENTS, |tokens| {
            let events = tokens.saturating_mul(EVENTS_PER_TOKEN);
            events.saturating_add(EXTRA_EVENTS).min(MAX_EVENTS)
        });
        Self {
            events,
            bytes: events * MAX_MEAN_EVENT + EXTRA_BYTES,
        }
    }
}
