//! Messages to the entry daemon's actor.

use crate::fleet::FleetMessage;
use crate::jobs::JobsMessage;
use crate::online::OnlineMessage;
use bluebellreel_rpc::EntryNotice;
use bluebellreel_types::{EntryName, Moment};
use crossbeam_channel::Sender;

/// A message to the actor's thread.
#[derive(Debug)]
pub(crate) enum Message {
    /// A notice from the connections to side processes.
    Rpc(EntryNotice),
    /// A message to the online component.
    Online(OnlineMessage),
    /// A message to the jobs component.
    Jobs(JobsMessage),
    /// A message to the fleet component.
    Fleet(FleetMessage),
    /// The manifest was read, or there is none yet.
    ManifestRead,
    /// The platform's VM list was read.
    Listed(Vec<crate::platform::ListedWorker>),
    /// A daemon's lease was found or created.
    EntryJoined(crate::platform::EntryRecord),
    /// A daemon's lease has ended.
    EntryLeft(EntryName),
    /// Announces the end of the daemon: online requests with a later deadline are refused.
    Drain(Moment),
    /// Starts a graceful stop: no new work is accepted.
    Stop,
    /// Requests whether a stop would interrupt no work now.
    QueryIdle(Sender<bool>),
    /// Ends the actor's thread.
    Quit,
}
