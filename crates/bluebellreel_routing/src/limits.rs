//! Bounds of one entry daemon's router.

use std::time::Duration;

/// Bounds, from the settings.
#[derive(Clone, Debug)]
pub struct RouterLimits {
    /// Most online requests in progress.
    pub requests: usize,
    /// Most bytes of online requests in progress.
    pub request_bytes: usize,
    /// Most online requests of one team in progress.
    pub team_requests: usize,
    /// Most attempts at one request.
    pub attempts: u32,
    /// Retries allowed for every hundred first attempts.
    pub retry_percent: u32,
    /// A worker's load may exceed the mean by this, in percent, before its
    /// prefix home is passed over.
    pub home_slack_percent: u64,
    /// Online requests that a worker takes before the next one is used; zero
    /// spreads them over all.
    pub online_per_worker: u32,
    /// Age at which a load report counts for nothing.
    pub load_age: Duration,
    /// Longest wait for an outcome to be recorded before the caller is told.
    pub record_wait: Duration,
}

impl Default for RouterLimits {
    fn default() -> Self {
        Self {
            requests: 4_096,
            request_bytes: 64 << 20,
            team_requests: 256,
            attempts: 4,
            retry_percent: 10,
            home_slack_percent: 25,
            online_per_worker: 32,
            load_age: Duration::from_secs(5),
            record_wait: Duration::from_millis(500),
        }
    }
}
