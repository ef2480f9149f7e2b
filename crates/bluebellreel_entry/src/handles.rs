//! What the actors and the HTTP threads work with.

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
    /// The daemon's lease, zero while it has none.
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
    /// Where jobs are kept.
    pub(crate) fn storage(&self) -> JobStorage<'_> {
        JobStorage {
            kv: &self.kv,
            data: &self.data,
        }
    }

    /// Sends to the connections; their thread ends only with the process.
    pub(crate) fn send_command(&self, command: EntryCommand) {
        self.rpc.send(command).ok();
    }

    /// Sends to the actors; false once their thread has ended.
    pub(crate) fn send_message(&self, message: Message) -> bool {
        self.tx.send(message).is_ok()
    }
}
