//! Messages to the entry daemon's actors.

use crate::fleet::FleetMessage;
use crate::jobs::JobsMessage;
use crate::online::OnlineMessage;
use bluebellreel_rpc::EntryNotice;
use bluebellreel_types::EntryName;
use crossbeam_channel::Sender;

/// What reaches the actors' thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// From a side process.
    Rpc(EntryNotice),
    /// For the online part.
    Online(OnlineMessage),
    /// For the batch part.
    Jobs(JobsMessage),
    /// For the manifest and the fleet.
    Fleet(FleetMessage),
    /// The manifest has been read, if there is one.
    ManifestRead,
    /// The platform lists these workers.
    Listed(Vec<crate::platform::ListedWorker>),
    /// Another daemon's lease is there.
    EntryJoined(crate::platform::EntryRecord),
    /// Another daemon's lease has ended.
    EntryLeft(EntryName),
    /// The process is asked to stop gracefully.
    Stop,
    /// Whether a stop would cut nothing now is asked for.
    QueryIdle(Sender<bool>),
    /// The actors' thread is to end.
    Quit,
}
