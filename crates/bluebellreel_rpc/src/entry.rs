//! The entry daemon's end: connects to side processes and reconnects when a
//! connection is lost.

mod calls;
mod capabilities;
mod link;
mod liveness;
mod message;

pub use message::{EntryCommand, EntryNotice, PullAnswer};

use bluebellreel_types::{EntryName, WorkerName};
use calls::{cancel, send_one_way, submit};
use link::{Link, client_of, open_link};
use liveness::LinkCount;
use std::collections::HashMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Receives what arrives over the connections.
type Notify = Rc<dyn Fn(EntryNotice)>;

/// Runs the connections until the command channel closes.
///
/// Must be called within a `tokio::task::LocalSet`. `notify` is called on this
/// thread for each message and connection event.
pub async fn run_entry(
    name: EntryName,
    mut commands: mpsc::UnboundedReceiver<EntryCommand>,
    notify: impl Fn(EntryNotice) + 'static,
) {
    let notify: Notify = Rc::new(notify);
    let mut links: HashMap<WorkerName, Link> = HashMap::new();
    let count = Rc::new(LinkCount::default());
    while let Some(command) = commands.recv().await {
        count.0.set(u32::try_from(links.len()).unwrap_or(u32::MAX));
        match command {
            EntryCommand::Connect { worker, address } => {
                links
                    .entry(worker.clone())
                    .or_insert_with(|| open_link(&name, worker, address, &count, &notify));
            }
            EntryCommand::Disconnect(worker) => {
                if let Some(link) = links.remove(&worker) {
                    link.stop.send(()).ok();
                }
            }
            EntryCommand::Submit { worker, dispatch } => {
                let liveness = links.get(&worker).map(|link| link.liveness.clone());
                let target = client_of(&links, &worker).zip(liveness);
                let notify = notify.clone();
                tokio::task::spawn_local(submit(worker, target, dispatch, notify));
            }
            EntryCommand::Cancel { worker, attempt } => {
                if let Some(client) = client_of(&links, &worker) {
                    tokio::task::spawn_local(cancel(client, attempt, notify.clone()));
                }
            }
            command => send_one_way(&links, command, &notify),
        }
    }
}
