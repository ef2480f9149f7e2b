//! Inputs and outputs of [`crate::step`].

use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, Dispatch, EntryName, ModelVersion,
};
use std::sync::Arc;

/// How the backend server ended an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineEnd {
    /// The answer is complete.
    Completed {
        /// HTTP status.
        status: u16,
        /// Body of a plain service's answer; empty for streams.
        body: Arc<[u8]>,
    },
    /// The connection was refused, so the request was not sent.
    Unreachable,
    /// The backend server answered that it accepts no requests at present.
    Busy,
    /// The backend server rejected the request as invalid.
    Rejected {
        /// HTTP status.
        status: u16,
        /// The backend server's reason.
        message: Arc<str>,
    },
    /// The stream ended before the answer was complete.
    Broken,
}

/// An input to [`crate::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// An online attempt has arrived.
    Arrived {
        /// The entry daemon that sent it.
        entry: EntryName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// An entry daemon has batch items waiting.
    Offered {
        /// The entry daemon.
        entry: EntryName,
        /// Number of waiting items.
        waiting: u32,
    },
    /// Answer to a pull; empty if the entry daemon has no items left.
    Pulled {
        /// The entry daemon.
        entry: EntryName,
        /// The items.
        items: Vec<Dispatch>,
    },
    /// The connection to an entry daemon was lost.
    EntryLost(EntryName),
    /// The engine generated text.
    EngineText {
        /// The attempt that the text belongs to.
        attempt: AttemptId,
        /// The text.
        text: Arc<str>,
        /// Number of tokens in the text.
        tokens: u32,
    },
    /// An attempt ended at the engine.
    EngineEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: EngineEnd,
    },
    /// An entry daemon requests the cancellation or the outcome of an attempt.
    CancelAsked {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The owner withdrew these batch items: they are cancelled and their ends are
    /// not reported.
    Withdrawn(Vec<AttemptId>),
    /// The set of models that the backend server serves has changed.
    ModelsChanged(Vec<ModelVersion>),
    /// The worker is to be drained.
    DrainAsked,
    /// A later order cancelled the drain.
    DrainCancelled,
    /// Periodic timer: expires queued and running attempts and ledger entries.
    Ticked,
}

/// An action for the side process to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send the attempt to the engine.
    StartEngine(Box<Dispatch>),
    /// Cancel the attempt at the engine.
    CancelEngine(AttemptId),
    /// Forward generated text to the entry daemon.
    SendPart {
        /// The attempt.
        attempt: AttemptId,
        /// The text.
        text: Arc<str>,
    },
    /// Report the end of an online attempt to its entry daemon.
    SendEnd {
        /// The attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        end: AttemptEnd,
    },
    /// Request batch items from an entry daemon.
    Pull {
        /// The entry daemon.
        entry: EntryName,
        /// Maximum number of items.
        room: u32,
    },
    /// Report the end of a batch item to its owner.
    Report {
        /// The entry daemon that owns the item's job.
        entry: EntryName,
        /// The attempt and how it ended.
        report: BatchReport,
    },
    /// Answer a cancellation.
    SendVerdict {
        /// The attempt.
        attempt: AttemptId,
        /// The answer.
        verdict: AttemptVerdict,
    },
}
