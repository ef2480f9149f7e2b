//! Matching the fleet to the manifest, by a lease for each data centre.
//!
//! The lease's key is created under the daemon's own lease. The revision that
//! creates it is the fencing number of all orders: it grows with every change
//! of the holder, without anybody counting.

use crate::fleet::FleetMessage;
use crate::handles::DaemonHandles;
use crate::message::Message;
use crate::platform::{STOPPED, follow_prefix, matcher_key, matcher_prefix};
use bluebellreel_kv::{Commit, KeyValue, Txn, WatchEvent};
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Longest time to take the lease.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest pause before a free lease is taken, so that not all daemons of a
/// data centre try at the same moment.
const MAX_ACQUIRE_DELAY: Duration = Duration::from_millis(500);

/// Follows the matchers and takes a free place in this data centre.
pub(crate) fn watch_matchers(handles: &DaemonHandles) -> io::Result<()> {
    let handles = handles.clone();
    thread::Builder::new()
        .name("matcher-watch".into())
        .spawn(move || {
            let own_key = matcher_key(&handles.settings.data_centre);
            follow_prefix(
                &handles.kv,
                &matcher_prefix(),
                |all| {
                    let is_taken = all.iter().any(|kv| kv.key == own_key);
                    let delivered = all.iter().all(|kv| report_matcher(&handles, kv));
                    delivered && (is_taken || acquire(&handles))
                },
                |event| match event {
                    WatchEvent::Put(kv) => report_matcher(&handles, &kv),
                    WatchEvent::Deleted { key, .. } if key == own_key => {
                        handles.send_message(Message::Fleet(FleetMessage::MatcherLost))
                            && acquire(&handles)
                    }
                    WatchEvent::Deleted { .. } => true,
                },
            );
        })?;
    Ok(())
}

/// Tells who matches in this data centre, and under which number.
fn report_matcher(handles: &DaemonHandles, kv: &KeyValue) -> bool {
    if kv.key != matcher_key(&handles.settings.data_centre) {
        return true;
    }
    let mine = kv.value == handles.run.to_string().into_bytes();
    let fence = u64::try_from(kv.revision).unwrap_or(0);
    handles.send_message(Message::Fleet(FleetMessage::MatcherElected { fence, mine }))
}

/// Takes the free place, or sees that another has; false once the daemon stops.
fn acquire(handles: &DaemonHandles) -> bool {
    thread::sleep(MAX_ACQUIRE_DELAY.mul_f64(rand::random::<f64>()));
    let key = matcher_key(&handles.settings.data_centre);
    loop {
        let lease = handles.lease.load(Ordering::SeqCst);
        if lease == STOPPED {
            return false;
        }
        if lease > 0 {
            let value = handles.run.to_string().into_bytes();
            let txn = Txn::create(key.clone(), value).leased(lease);
            match handles.kv.commit(&txn, handles.kv.now() + ACQUIRE_TIMEOUT) {
                // Taken by us or by another: the watch tells.
                Commit::Applied { .. } | Commit::Beaten(_) => return true,
                Commit::NotDone(_) | Commit::Unknown(_) => {}
            }
        }
        thread::sleep(MAX_ACQUIRE_DELAY);
    }
}
