//! Bounds and targets of one side process.

use std::time::Duration;

/// Whether a deployment favours batch throughput or online tail latency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Priority {
    /// Batch throughput goes first (the rental service).
    Throughput,
    /// Online tail latency goes first (the booking desk).
    Tail,
}

/// Bounds and targets of admission, from the settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionLimits {
    /// Maximum number of attempts at the engine at one time, online and batch
    /// together.
    pub window: u32,
    /// Maximum number of queued online attempts.
    pub queue_count: usize,
    /// Maximum total body size of queued online attempts, in bytes.
    pub queue_bytes: usize,
    /// Maximum number of attempts in the ledger; when it is full, new attempts are
    /// refused.
    pub ledger_count: usize,
    /// Maximum total size of the answers kept in the ledger, in bytes.
    pub ledger_bytes: usize,
    /// How long the ledger keeps a repeatable attempt after its deadline.
    pub ledger_retention: Duration,
    /// Target for the time between two tokens of an online stream.
    pub inter_token_target: Duration,
    /// Whether batch throughput or online tail latency goes first.
    pub priority: Priority,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            window: 32,
            queue_count: 256,
            queue_bytes: 8 << 20,
            ledger_count: 131_072,
            ledger_bytes: 32 << 20,
            ledger_retention: Duration::from_mins(1),
            inter_token_target: Duration::from_millis(34),
            priority: Priority::Throughput,
        }
    }
}
