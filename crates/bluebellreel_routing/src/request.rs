//! One online request and its attempts.

use crate::{NewRequest, Outcome};
use bluebellreel_types::{
    AttemptId, Class, Dispatch, Incarnation, Moment, RequestId, TraceContext, Work, WorkerName,
};
use std::sync::Arc;

/// Phase of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its claim is being recorded; nothing has been sent.
    Claiming {
        /// The chosen worker.
        worker: WorkerName,
        /// The incarnation of its side process.
        incarnation: Incarnation,
    },
    /// An attempt is running at a worker.
    Running {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of its side process.
        incarnation: Incarnation,
        /// When it was sent.
        sent_at: Moment,
    },
    /// The worker of a non-repeatable attempt was lost: the attempt may have run. The
    /// same incarnation of the side process is queried once it is connected again.
    InDoubt {
        /// The worker.
        worker: WorkerName,
        /// The incarnation of its side process.
        incarnation: Incarnation,
        /// When to send the next query.
        next_query_at: Moment,
    },
    /// The outcome is being recorded.
    Recording {
        /// The outcome.
        outcome: Outcome,
        /// When the caller is answered even if the outcome has not been recorded.
        until: Moment,
    },
}

/// An online request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The work requested.
    pub work: Arc<Work>,
    /// When the answer is no longer useful.
    pub deadline: Moment,
    /// Trace context of the entry daemon's span.
    pub trace: TraceContext,
    /// Number of attempts started.
    pub attempts: u32,
    /// Text delivered to the caller so far.
    pub delivered: String,
    /// Whether any attempt may have reached a backend server.
    pub may_have_run: bool,
    /// Workers that have failed the request.
    pub avoid: Vec<WorkerName>,
    /// The current phase.
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

    /// The current attempt.
    #[must_use]
    pub fn attempt(&self) -> AttemptId {
        AttemptId {
            request: self.id,
            number: self.attempts,
        }
    }

    /// The message that sends the current attempt to a side process.
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
