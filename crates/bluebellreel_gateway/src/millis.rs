//! Durations in log lines.

use std::time::Duration;

/// A duration in whole milliseconds.
pub(crate) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
