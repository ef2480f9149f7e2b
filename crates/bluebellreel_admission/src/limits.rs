//! Bounds and targets of one side process.

use std::time::Duration;

/// Which of the two measures a deployment puts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Priority {
    /// Batch throughput first (the rental service).
    Throughput,
    /// The online tail first (the booking desk).
    Tail,
}

/// Bounds and targets, from the settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionLimits {
    /// Most attempts at the engine at one time, both classes together.
    pub window: u32,
    /// Most online attempts that wait.
    pub queue_count: usize,
    /// Most bytes of online attempts that wait.
    pub queue_bytes: usize,
    /// Most attempts remembered after their end.
    pub ledger_count: usize,
    /// Most bytes of answers remembered with them.
    pub ledger_bytes: usize,
    /// How long an attempt that may be repeated is remembered past its deadline.
    pub ledger_keep: Duration,
    /// Time between tokens that online streams should keep.
    pub inter_token_target: Duration,
    /// Which measure goes first.
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
            ledger_keep: Duration::from_mins(1),
            inter_token_target: Duration::from_millis(34),
            priority: Priority::Throughput,
        }
    }
}
