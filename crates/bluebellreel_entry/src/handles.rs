//! Handles shared by the actor and the other threads.

use crate::data::ChunkAccess;
use crate::jobs::JobStorage;
use crate::message::Message;
use crate::platform::KvPool;
use crate::readiness::Readiness;
use bluebellreel_kv::KvClient;
use bluebellreel_rpc::EntryCommand;
use bluebellreel_settings::EntrySettings;
use bluebellreel_telemetry::{EntryMetrics, Tracer};
use bluebellreel_types::{Clock, Incarnation};
use crossbeam_channel::Sender;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use tokio::sync::mpsc::UnboundedSender;

/// Handles shared by all threads of the daemon.
#[derive(Clone)]
pub(crate) struct DaemonHandles {
    pub(crate) settings: Arc<EntrySettings>,
    pub(crate) run: Incarnation,
    pub(crate) clock: Clock,
    /// Id of the daemon's lease, zero while it has none, or
    /// [`STOPPED`](crate::platform::STOPPED).
    pub(crate) lease: Arc<AtomicI64>,
    pub(crate) kv: Arc<KvClient>,
    pub(crate) pool: KvPool,
    pub(crate) rpc: UnboundedSender<EntryCommand>,
    pub(crate) tx: Sender<Message>,
    pub(crate) tracer: Tracer,
    pub(crate) metrics: Arc<EntryMetrics>,
    pub(crate) readiness: Readiness,
    pub(crate) data: ChunkAccess,
}

impl DaemonHandles {
    /// Storage of jobs.
    pub(crate) fn storage(&self) -> JobStorage<'_> {
        JobStorage {
            kv: &self.kv,
            data: &self.data,
        }
    }

    /// Sends a command to the connections' thread, which ends only with the process.
    pub(crate) fn send_command(&self, command: EntryCommand) {
        self.rpc.send(command).ok();
    }

    /// Sends a message to the actor. Returns false once its thread has ended.
    pub(crate) fn send_message(&self, message: Message) -> bool {
        self.tx.send(message).is_ok()
    }
}
