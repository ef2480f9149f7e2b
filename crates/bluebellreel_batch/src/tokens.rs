//! Counts of tokens that come from outside.
//!
//! They are added up over items, jobs and daemons. A count above its limit is taken for the
//! limit, so that no sum overflows.

/// Most tokens of one item.
const MAX_ITEM_TOKENS: u64 = 1 << 32;
/// Most tokens of one job, and of a quota.
const MAX_JOB_TOKENS: u64 = 1 << 42;

/// Bounds the tokens of an item.
#[must_use]
pub fn bounded_item_tokens(tokens: u64) -> u64 {
    tokens.min(MAX_ITEM_TOKENS)
}

/// Bounds the tokens of a job or a quota.
#[must_use]
pub fn bounded_job_tokens(tokens: u64) -> u64 {
    tokens.min(MAX_JOB_TOKENS)
}
