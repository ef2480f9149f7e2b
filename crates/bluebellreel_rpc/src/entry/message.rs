//! What the daemon and its connections tell each other.

use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, Dispatch, LoadReport, ModelVersion,
    SideHello, WorkerName,
};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Batch work handed out to one pull.
#[derive(Debug)]
pub struct PullAnswer(pub oneshot::Sender<Vec<Dispatch>>);

/// What the daemon asks of its connections.
#[derive(Clone, Debug)]
pub enum EntryCommand {
    /// Keep a connection to this worker's side process.
    Connect {
        /// The worker.
        worker: WorkerName,
        /// Its side process.
        address: SocketAddr,
    },
    /// Stop connecting to a worker.
    Disconnect(WorkerName),
    /// Hand an attempt to a worker.
    Submit {
        /// Where to.
        worker: WorkerName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// Put an end to an attempt.
    Cancel {
        /// Where it was sent.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell a worker that batch work waits.
    Offer {
        /// The worker.
        worker: WorkerName,
        /// Items waiting.
        waiting: u32,
    },
    /// Stop batch items wherever they stand at this worker.
    Withdraw {
        /// The worker.
        worker: WorkerName,
        /// The items' attempts.
        attempts: Vec<AttemptId>,
    },
    /// Bring a manifest into force beside a worker.
    Configure {
        /// The worker.
        worker: WorkerName,
        /// The manifest's generation.
        generation: u64,
        /// The manifest as accepted.
        manifest: Arc<str>,
    },
    /// Let a worker leave: no new work, running work finishes.
    Drain(WorkerName),
    /// Order a worker to load a model.
    Order {
        /// The worker.
        worker: WorkerName,
        /// The order's fencing number.
        fence: u64,
        /// What to load.
        model: ModelVersion,
    },
    /// Tell a worker the highest fencing number that is known.
    Fence {
        /// The worker.
        worker: WorkerName,
        /// The number.
        fence: u64,
    },
}

/// What the connections tell the daemon.
#[derive(Debug)]
pub enum EntryNotice {
    /// A side process has answered the greeting.
    Connected(SideHello),
    /// The connection is gone, or was never made.
    Lost(WorkerName),
    /// Part of an online answer.
    Part {
        /// The attempt.
        attempt: AttemptId,
        /// Text that follows the parts before.
        text: Arc<str>,
    },
    /// An online attempt has ended.
    Ended {
        /// The worker.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
        /// The worker's load, when it told.
        load: Option<LoadReport>,
    },
    /// Answer to a cancel.
    Verdict {
        /// The attempt.
        attempt: AttemptId,
        /// What the side process knows.
        verdict: AttemptVerdict,
    },
    /// A worker's load.
    Load {
        /// The worker.
        worker: WorkerName,
        /// Its load.
        load: LoadReport,
    },
    /// A worker has room for batch items.
    Pull {
        /// The worker.
        worker: WorkerName,
        /// How many it takes.
        room: u32,
        /// Where the items go.
        answer: PullAnswer,
    },
    /// Batch items have ended.
    Reports {
        /// The worker, for its health.
        worker: WorkerName,
        /// The ends.
        reports: Vec<BatchReport>,
    },
    /// An order to load a model has ended.
    OrderEnded {
        /// The worker.
        worker: WorkerName,
        /// What was to be loaded.
        model: ModelVersion,
        /// Whether it is there.
        loaded: bool,
    },
    /// A worker's side process has a manifest in force.
    Applied {
        /// The worker.
        worker: WorkerName,
        /// The generation in force there.
        generation: u64,
    },
}
