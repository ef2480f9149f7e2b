//! Operators' drain orders.
//!
//! An order names the incarnation of the side process that it applies to, so that
//! it does not apply to a VM that later returns under the same name.

use crate::fleet::messages::{DrainOrder, FleetMessage};
use crate::handles::DaemonHandles;
use crate::message::Message;
use crate::platform::{drain_key, drain_prefix, follow_prefix};
use bluebellreel_kv::{Commit, KeyValue, KvClient, Txn, WatchEvent};
use std::io;
use std::thread;
use std::time::Duration;

/// Timeout for recording an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Records a drain order, or returns the reason why it was not recorded. An
/// existing order for the same incarnation counts as success.
pub(crate) fn order_drain(kv: &KvClient, order: &DrainOrder) -> Result<(), String> {
    let until = kv.now() + ORDER_TIMEOUT;
    let value = serde_json::to_vec(order).unwrap_or_default();
    let key = drain_key(&order.worker);
    let mut txn = Txn::create(key.clone(), value.clone());
    loop {
        match kv.commit(&txn, until) {
            Commit::Applied { .. } => return Ok(()),
            Commit::Beaten(found) => {
                let before = found.first();
                let same = before
                    .and_then(parse)
                    .is_some_and(|b| b.incarnation == order.incarnation);
                let Some(before) = before else {
                    return Err("the order could not be read back".into());
                };
                if same {
                    return Ok(());
                }
                txn = Txn::replace(key.clone(), before.revision, value.clone());
            }
            Commit::NotDone(reason) | Commit::Unknown(reason) => return Err(reason),
        }
        if until.is_past(kv.now()) {
            return Err("another operator is faster each time".into());
        }
    }
}

fn parse(kv: &KeyValue) -> Option<DrainOrder> {
    serde_json::from_slice(&kv.value).ok()
}

/// Starts the thread that watches drain orders and forwards them to the fleet
/// component.
pub(crate) fn watch_drains(handles: &DaemonHandles) -> io::Result<()> {
    let handles = handles.clone();
    thread::Builder::new()
        .name("drain-watch".into())
        .spawn(move || {
            let send = |kv: &KeyValue| match parse(kv) {
                Some(order) => {
                    handles.send_message(Message::Fleet(FleetMessage::DrainOrdered(order)))
                }
                None => true,
            };
            follow_prefix(
                &handles.kv,
                &drain_prefix(),
                |all| all.iter().all(send),
                |event| match event {
                    WatchEvent::Put(kv) => send(&kv),
                    WatchEvent::Deleted { .. } => true,
                },
            );
        })?;
    Ok(())
}
