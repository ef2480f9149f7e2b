//! Limits of one entry daemon's router.

use std::time::Duration;

/// Limits, taken from the settings.
#[derive(Clone, Debug)]
pub struct RouterLimits {
    /// Maximum number of online requests in progress.
    pub requests: usize,
    /// Maximum size of the online requests in progress, in bytes.
    pub request_bytes: usize,
    /// Maximum number of online requests of one team in progress.
    pub team_requests: usize,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Retries allowed per hundred first attempts.
    pub retry_percent: u32,
    /// How far the load of a prefix's home worker may exceed the mean, in percent,
    /// before another worker is chosen.
    pub home_slack_percent: u64,
    /// Number of online requests per worker up to which they are concentrated on few
    /// workers; zero spreads them over all workers.
    pub online_per_worker: u32,
    /// Age from which a load report is ignored.
    pub load_report_ttl: Duration,
    /// Maximum time to wait for an outcome to be recorded before the caller is answered.
    pub record_timeout: Duration,
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
            load_report_ttl: Duration::from_secs(5),
            record_timeout: Duration::from_millis(500),
        }
    }
}
