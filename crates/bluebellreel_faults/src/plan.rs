//! Faults, steps, and plans that combine them.

use std::time::Duration;

/// A fault that can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The side process crashes and restarts as a new incarnation.
    SideCrashes,
    /// The backend server crashes, which ends its attempts, and restarts.
    WorkerCrashes,
    /// The entry daemon crashes before the step takes effect and restarts later.
    EntryCrashes,
    /// The entry daemon's VM is lost permanently right after the step took effect.
    VmLost,
    /// The key-value service is unavailable, for twenty seconds by default.
    KvDown,
    /// The key-value service is slow, for twenty seconds by default.
    KvSlow,
    /// A write takes effect, but its response is lost.
    AnswerLost,
    /// The entry daemon is paused until its lease has expired, then resumes.
    LeaseExpires,
    /// A message arrives eight seconds late.
    MessageLate,
    /// A message arrives twice.
    MessageDuplicated,
    /// Two messages arrive in reverse order.
    MessagesReordered,
    /// The caller resends all its jobs and calls through another entry daemon.
    CallerResends,
    /// Two operators act at the same time through two entry daemons.
    OperatorsRace,
}

impl Fault {
    /// All faults, in the order of the matrix's rows.
    pub const ALL: [Self; 13] = [
        Self::SideCrashes,
        Self::WorkerCrashes,
        Self::EntryCrashes,
        Self::VmLost,
        Self::KvDown,
        Self::KvSlow,
        Self::AnswerLost,
        Self::LeaseExpires,
        Self::MessageLate,
        Self::MessageDuplicated,
        Self::MessagesReordered,
        Self::CallerResends,
        Self::OperatorsRace,
    ];

    /// The name in the matrix.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::SideCrashes => "side dies",
            Self::WorkerCrashes => "worker dies",
            Self::EntryCrashes => "entry dies",
            Self::VmLost => "VM lost after acknowledging",
            Self::KvDown => "KV down",
            Self::KvSlow => "KV slow",
            Self::AnswerLost => "answer lost after effect",
            Self::LeaseExpires => "lease lapses while paused",
            Self::MessageLate => "message late",
            Self::MessageDuplicated => "message doubled",
            Self::MessagesReordered => "answers crossed",
            Self::CallerResends => "caller resends elsewhere",
            Self::OperatorsRace => "two operators race",
        }
    }
}

/// A step at which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A job's record is created.
    Accept,
    /// An input chunk is stored.
    ChunkWrite,
    /// The caller receives the acceptance of its job.
    Acknowledge,
    /// A job is taken over.
    Own,
    /// A call that may not be repeated is claimed.
    Claim,
    /// An attempt is sent to a side process.
    Dispatch,
    /// A backend server starts on an attempt.
    Run,
    /// A side process reports the end of an attempt.
    Result,
    /// Results are recorded.
    Record,
    /// A job is cancelled.
    Cancel,
    /// Results are read back.
    ReadBack,
}

impl Step {
    /// All steps, in the order of the matrix's columns.
    pub const ALL: [Self; 11] = [
        Self::Accept,
        Self::ChunkWrite,
        Self::Acknowledge,
        Self::Own,
        Self::Claim,
        Self::Dispatch,
        Self::Run,
        Self::Result,
        Self::Record,
        Self::Cancel,
        Self::ReadBack,
    ];

    /// The name in the matrix.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::ChunkWrite => "chunk write",
            Self::Acknowledge => "acknowledge",
            Self::Own => "own",
            Self::Claim => "claim",
            Self::Dispatch => "dispatch",
            Self::Run => "run",
            Self::Result => "result",
            Self::Record => "record",
            Self::Cancel => "cancel",
            Self::ReadBack => "read back",
        }
    }

    /// Whether the step is a call to the key-value service.
    #[must_use]
    pub fn is_kv_call(self) -> bool {
        matches!(
            self,
            Self::Accept
                | Self::ChunkWrite
                | Self::Own
                | Self::Claim
                | Self::Record
                | Self::Cancel
                | Self::ReadBack
        )
    }
}

/// A fault to be injected at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Injection {
    /// The fault.
    pub fault: Fault,
    /// The step.
    pub step: Step,
    /// The occurrence of the step at which the fault is injected, from 1.
    pub nth: u32,
}

/// The faults of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed of all random ids and choices.
    pub seed: u64,
    /// The faults to inject.
    pub injections: Vec<Injection>,
    /// Whether the jobs' first owner crashes early, so that jobs are taken over.
    pub owner_crashes: bool,
    /// Time for which the key-value service is unavailable or slow after such a fault.
    pub kv_fault_duration: Duration,
}

/// Default duration of a fault of the key-value service.
const KV_FAULT_DURATION: Duration = Duration::from_secs(20);

impl Plan {
    /// A plan without faults.
    #[must_use]
    pub fn without_faults(seed: u64) -> Self {
        Self {
            seed,
            injections: Vec::new(),
            owner_crashes: false,
            kv_fault_duration: KV_FAULT_DURATION,
        }
    }

    /// A plan with one fault at one step.
    #[must_use]
    pub fn single_fault(fault: Fault, step: Step, nth: u32, seed: u64) -> Self {
        Self {
            seed,
            injections: vec![Injection { fault, step, nth }],
            owner_crashes: step == Step::Own,
            kv_fault_duration: KV_FAULT_DURATION,
        }
    }
}
