//! One online request and its attempts.

use crate::{NewRequest, Outcome};
use bluebellreel_types::{
    AttemptId, Class, Dispatch, Incarnation, Moment, RequestId, TraceContext, Work, WorkerName,
};
use std::sync::Arc;

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its claim is being recorded; nothing has been sent.
    Claiming {
        /// The worker chosen.
        worker: WorkerName,
        /// The run of its side process.
        incarnation: Incarnation,
    },
    /// An attempt is at a worker.
    Running {
        /// The worker.
        worker: WorkerName,
        /// The run of its side process.
        incarnation: Incarnation,
        /// When it was sent.
        sent_at: Moment,
    },
    /// An unrepeatable attempt's worker was lost: it may have run. The same
    /// run of the side process is asked once it is back.
    InDoubt {
        /// The worker.
        worker: WorkerName,
        /// The run of its side process.
        incarnation: Incarnation,
        /// When to ask again.
        ask_at: Moment,
    },
    /// The outcome is being recorded.
    Recording {
        /// The outcome.
        outcome: Outcome,
        /// When the caller is told all the same.
        until: Moment,
    },
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// What is asked.
    pub work: Arc<Work>,
    /// When the answer is no longer wanted.
    pub deadline: Moment,
    /// The entry's span.
    pub trace: TraceContext,
    /// Attempts begun.
    pub attempts: u32,
    /// Text that the caller has.
    pub delivered: String,
    /// Whether any attempt may have reached a backend server.
    pub may_have_run: bool,
    /// Workers that failed it.
    pub avoid: Vec<WorkerName>,
    /// Where it stands.
    pub phase: Phase,
}

impl Request {
    /// A request whose first worker has been chosen.
    #[must_use]
    pub fn new(new: NewRequest, phase: Phase) -> Self {
        Self {
            id: new.id,
            work: new.work,
            deadline: new.deadline,
            trace: new.trace,
            attempts: 1,
            delivered: String::new(),
            may_have_run: false,
            avoid: Vec::new(),
            phase,
        }
    }

    /// The attempt under way.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.id,
            number: self.attempts,
        }
    }

    /// The message that hands the present attempt to a side process.
    #[must_use]
    pub fn dispatch(&self, side: Incarnation) -> Box<Dispatch> {
        Box::new(Dispatch {
            attempt: self.attempt(),
            side,
            class: Class::Online,
            work: self.work.clone(),
            deadline: self.deadline,
            resume: Arc::from(self.delivered.as_str()),
            trace: self.trace,
        })
    }
}
