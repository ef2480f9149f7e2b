//! What happens to a side process, and what it decides to do.

use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, Dispatch, EntryName, ModelVersion,
};
use std::sync::Arc;

/// How the backend server ended an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEnd {
    /// The answer is whole.
    Completed {
        /// HTTP status.
        status: u16,
        /// Body of a plain call's answer, empty for streams.
        body: Arc<[u8]>,
    },
    /// The connection was refused: nothing was sent.
    Unreachable,
    /// The backend server said that it admits nothing now.
    Busy,
    /// The backend server refused the work itself.
    Rejected {
        /// HTTP status.
        status: u16,
        /// Its reason.
        message: Arc<str>,
    },
    /// The stream ended early.
    Broken,
}

/// An input to [`crate::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// An online attempt has arrived.
    Arrived {
        /// Who sent it.
        entry: EntryName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// An entry has batch items waiting.
    Offered {
        /// The entry.
        entry: EntryName,
        /// How many.
        waiting: u32,
    },
    /// Answer to a pull; empty when the entry has none left.
    Pulled {
        /// The entry.
        entry: EntryName,
        /// The items.
        items: Vec<Dispatch>,
    },
    /// An entry's connection is gone.
    EntryLost(EntryName),
    /// The engine generated text.
    EngineText {
        /// For this attempt.
        attempt: AttemptId,
        /// The text.
        text: Arc<str>,
        /// Tokens in it.
        tokens: u32,
    },
    /// The engine is done with an attempt.
    EngineEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: EngineEnd,
    },
    /// An entry asks to put an end to an attempt.
    CancelAsked {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Batch items are to stop without a report.
    Withdrawn(Vec<AttemptId>),
    /// The models that the backend server serves have changed.
    ModelsChanged(Vec<ModelVersion>),
    /// The worker is to leave.
    DrainAsked,
    /// The worker stays after all (a later order).
    DrainLifted,
    /// Time has passed.
    Ticked,
}

/// What the side process is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the attempt to the engine.
    StartEngine(Box<Dispatch>),
    /// Cancel the attempt at the engine.
    CancelEngine(AttemptId),
    /// Send text on to the entry.
    SendPart {
        /// The attempt.
        attempt: AttemptId,
        /// The text.
        text: Arc<str>,
    },
    /// Tell the entry that an online attempt has ended.
    SendEnd {
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// Ask an entry for batch items.
    Pull {
        /// The entry.
        entry: EntryName,
        /// How many.
        room: u32,
    },
    /// Tell an entry that a batch item has ended.
    Report {
        /// The entry.
        entry: EntryName,
        /// The end.
        report: BatchReport,
    },
    /// Answer a cancel.
    SendVerdict {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        verdict: AttemptVerdict,
    },
}
