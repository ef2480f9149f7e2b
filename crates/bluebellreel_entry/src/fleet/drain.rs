//! Operators' drain orders.
//!
//! An order names the run of the side process that it was given for, so that a
//! VM which comes back under the same name is not held to it.

use crate::fleet::messages::{DrainOrder, FleetMessage};
use crate::handles::DaemonHandles;
use crate::message::Message;
use crate::platform::{drain_key, drain_prefix, follow_prefix};
use bluebellreel_kv::{Commit, KeyValue, KvClient, Txn, WatchEvent};
use std::io;
use std::thread;
use std::time::Duration;

/// Longest time to record an order.
const ORDER_TIMEOUT: Duration = Duration::from_secs(4);

/// Records a drain order; the reason when it could not be. An order for the
/// same run that is there already is as good.
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

/// Follows drain orders.
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
