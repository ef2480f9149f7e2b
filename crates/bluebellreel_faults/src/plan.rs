//! Faults, steps and when they meet.

use std::time::Duration;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The side process dies and comes back as another run.
    SideDies,
    /// The backend server dies with its attempts and comes back.
    WorkerDies,
    /// The entry daemon dies before the step takes effect; it comes back later.
    EntryDies,
    /// The entry daemon's VM is lost for good right after the step took effect.
    VmLost,
    /// The key-value service is down for twenty seconds.
    KvDown,
    /// The key-value service is slow for twenty seconds.
    KvSlow,
    /// A write takes effect, but its answer is lost.
    AnswerLost,
    /// The entry daemon is paused until its lease has lapsed, then goes on.
    LeaseLapses,
    /// A message arrives eight seconds late.
    MessageLate,
    /// A message arrives twice.
    MessageDoubled,
    /// Two messages arrive in the wrong order.
    AnswersCrossed,
    /// The caller sends everything again through another entry daemon.
    CallerResends,
    /// Two operators act at the same moment through two entry daemons.
    OperatorsRace,
}

impl Fault {
    /// All faults.
    pub const ALL: [Self; 13] = [
        Self::SideDies,
        Self::WorkerDies,
        Self::EntryDies,
        Self::VmLost,
        Self::KvDown,
        Self::KvSlow,
        Self::AnswerLost,
        Self::LeaseLapses,
        Self::MessageLate,
        Self::MessageDoubled,
        Self::AnswersCrossed,
        Self::CallerResends,
        Self::OperatorsRace,
    ];

    /// Its name in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::SideDies => "side dies",
            Self::WorkerDies => "worker dies",
            Self::EntryDies => "entry dies",
            Self::VmLost => "VM lost after acknowledging",
            Self::KvDown => "KV down",
            Self::KvSlow => "KV slow",
            Self::AnswerLost => "answer lost after effect",
            Self::LeaseLapses => "lease lapses while paused",
            Self::MessageLate => "message late",
            Self::MessageDoubled => "message doubled",
            Self::AnswersCrossed => "answers crossed",
            Self::CallerResends => "caller resends elsewhere",
            Self::OperatorsRace => "two operators race",
        }
    }
}

/// Where it goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// A job's record is created.
    Accept,
    /// An input chunk is stored.
    ChunkWrite,
    /// The caller is told that the job is accepted.
    Acknowledge,
    /// A job is taken over.
    Own,
    /// A call that may not be repeated is claimed.
    Claim,
    /// An attempt is sent to a side process.
    Dispatch,
    /// A backend server starts on an attempt.
    Run,
    /// A side process tells how an attempt ended.
    Result,
    /// Results are recorded.
    Record,
    /// A job is cancelled.
    Cancel,
    /// Results are read back.
    ReadBack,
}

impl Step {
    /// All steps.
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

    /// Its name in tables.
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

/// A fault at a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Strike {
    /// The fault.
    pub fault: Fault,
    /// The step.
    pub step: Step,
    /// The time that the step is reached, from 1.
    pub nth: u32,
}

/// What goes wrong in one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Seed of all ids and choices.
    pub seed: u64,
    /// The faults.
    pub strikes: Vec<Strike>,
    /// Whether the first owner dies early, so that jobs are taken over.
    pub owner_dies: bool,
    /// How long the key-value service is down or slow.
    pub trouble: Duration,
}

/// How long trouble of the key-value service lasts if nothing else is said.
const TROUBLE: Duration = Duration::from_secs(20);

impl Plan {
    /// Nothing goes wrong.
    #[must_use]
    pub fn quiet(seed: u64) -> Self {
        Self {
            seed,
            strikes: Vec::new(),
            owner_dies: false,
            trouble: TROUBLE,
        }
    }

    /// One fault at one step.
    #[must_use]
    pub fn one(fault: Fault, step: Step, nth: u32, seed: u64) -> Self {
        Self {
            seed,
            strikes: vec![Strike { fault, step, nth }],
            owner_dies: step == Step::Own,
            trouble: TROUBLE,
        }
    }
}
