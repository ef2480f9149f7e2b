//! Messages between the entry daemon and its connections.

use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, Dispatch, LoadReport, ModelVersion,
    SideHello, WorkerName,
};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;

/// Receives the batch items that answer one pull.
#[derive(Debug)]
pub struct PullAnswer(pub oneshot::Sender<Vec<Dispatch>>);

/// A command from the entry daemon to its connections.
#[derive(Clone, Debug)]
pub enum EntryCommand {
    /// Connect to a worker's side process, and reconnect whenever the
    /// connection is lost.
    Connect {
        /// The worker.
        worker: WorkerName,
        /// Address of its side process.
        address: SocketAddr,
    },
    /// Close the connection to a worker and do not reconnect.
    Disconnect(WorkerName),
    /// Submit an attempt to a worker.
    Submit {
        /// The worker that receives it.
        worker: WorkerName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// Cancel an attempt.
    Cancel {
        /// The worker that the attempt was submitted to.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Notify a worker that batch items are waiting.
    Offer {
        /// The worker.
        worker: WorkerName,
        /// Number of waiting items.
        waiting: u32,
    },
    /// Stop batch items at this worker, whether they are queued or running.
    Withdraw {
        /// The worker.
        worker: WorkerName,
        /// The items' attempts.
        attempts: Vec<AttemptId>,
    },
    /// Apply a manifest at a worker's side process.
    Configure {
        /// The worker.
        worker: WorkerName,
        /// The manifest's generation.
        generation: u64,
        /// The text of the accepted manifest.
        manifest: Arc<str>,
    },
    /// Drain a worker: it takes no new work, and running work finishes.
    Drain(WorkerName),
    /// Order a worker to load a model.
    Order {
        /// The worker.
        worker: WorkerName,
        /// The order's fencing number.
        fence: u64,
        /// The model to load.
        model: ModelVersion,
    },
    /// Announce the highest known fencing number to a worker.
    Fence {
        /// The worker.
        worker: WorkerName,
        /// The number.
        fence: u64,
    },
}

/// A notice from the connections to the entry daemon.
#[derive(Debug)]
pub enum EntryNotice {
    /// A side process has answered the hello call.
    Connected(SideHello),
    /// The connection to a worker was lost or could not be established.
    Lost(WorkerName),
    /// Part of an online response.
    Part {
        /// The attempt.
        attempt: AttemptId,
        /// Text to append to the earlier parts.
        text: Arc<str>,
    },
    /// An online attempt has ended.
    Ended {
        /// The worker.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
        /// How the attempt ended.
        end: AttemptEnd,
        /// The worker's load, if the side process reported it.
        load: Option<LoadReport>,
    },
    /// The result of a cancel call.
    Verdict {
        /// The attempt.
        attempt: AttemptId,
        /// The attempt's state at the side process.
        verdict: AttemptVerdict,
    },
    /// A worker reported its load.
    Load {
        /// The worker.
        worker: WorkerName,
        /// Its load.
        load: LoadReport,
    },
    /// A worker pulls batch items.
    Pull {
        /// The worker.
        worker: WorkerName,
        /// Maximum number of items.
        room: u32,
        /// Receives the items.
        answer: PullAnswer,
    },
    /// Batch items have ended.
    Reports {
        /// The worker, whose health the ends count towards.
        worker: WorkerName,
        /// How each item ended.
        reports: Vec<BatchReport>,
    },
    /// An order to load a model has ended.
    OrderEnded {
        /// The worker.
        worker: WorkerName,
        /// The model that was ordered.
        model: ModelVersion,
        /// Whether the model was loaded.
        loaded: bool,
    },
    /// A worker's side process has applied a manifest.
    Applied {
        /// The worker.
        worker: WorkerName,
        /// The generation of the applied manifest.
        generation: u64,
    },
}
