//! Election of each data centre's matcher, the daemon that matches the fleet to
//! the manifest.
//!
//! The matcher creates the data centre's key under its daemon's lease. The revision
//! that creates the key is the fencing token of all the matcher's orders: it grows
//! with every change of matcher, so that no counter is needed.

use crate::fleet::FleetMessage;
use crate::handles::DaemonHandles;
use crate::message::Message;
use crate::platform::{STOPPED, follow_prefix, matcher_key, matcher_prefix};
use bluebellreel_kv::{Commit, KeyValue, Txn, WatchEvent};
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Timeout for one attempt to create the key.
const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(2);
/// Upper bound of the random delay before creating a free key, so that the daemons
/// of a data centre do not all try at the same moment.
const MAX_ACQUIRE_DELAY: Duration = Duration::from_millis(500);

/// Starts the thread that watches the matchers and becomes this data centre's
/// matcher if it has none.
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

/// Reports this data centre's matcher and its fencing token to the fleet component.
fn report_matcher(handles: &DaemonHandles, kv: &KeyValue) -> bool {
    if kv.key != matcher_key(&handles.settings.data_centre) {
        return true;
    }
    let mine = kv.value == handles.run.to_string().into_bytes();
    let fence = u64::try_from(kv.revision).unwrap_or(0);
    handles.send_message(Message::Fleet(FleetMessage::MatcherElected { fence, mine }))
}

/// Retries until this daemon or another one has become the matcher. Returns false
/// once the daemon has stopped.
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
                // The key exists, created by this daemon or by another one:
                // the watch reports which.
                Commit::Applied { .. } | Commit::Beaten(_) => return true,
                Commit::NotDone(_) | Commit::Unknown(_) => {}
            }
        }
        thread::sleep(MAX_ACQUIRE_DELAY);
    }
}
