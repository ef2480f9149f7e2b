//! Matching the fleet to the manifest, by a lease for each data centre.
//!
//! The lease's key is created under the daemon's own lease. The revision that
//! creates it is the fencing number of all orders: it grows with every change
//! of the holder, without anybody counting.

use crate::fleet::FleetMessage;
use crate::message::Message;
use crate::parts::Parts;
use crate::platform::{STOPPED, follow_prefix, matcher_key, matcher_prefix};
use bluebellreel_kv::{Commit, KeyValue, Txn, WatchEvent};
use std::io;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// Longest time to take the lease.
const TAKE_TIME: Duration = Duration::from_secs(2);
/// Longest pause before a free lease is taken, so that not all daemons of a
/// data centre try at the same moment.
const MOST_PAUSE: Duration = Duration::from_millis(500);

/// Follows the matchers and takes a free place in this data centre.
pub(crate) fn watch_matchers(parts: &Parts) -> io::Result<()> {
    let parts = parts.clone();
    thread::Builder::new()
        .name("matcher-watch".into())
        .spawn(move || {
            let here = matcher_key(&parts.settings.data_centre);
            follow_prefix(
                &parts.kv,
                &matcher_prefix(),
                |all| {
                    let taken = all.iter().any(|kv| kv.key == here);
                    let told = all.iter().all(|kv| note(&parts, kv));
                    told && (taken || take(&parts))
                },
                |event| match event {
                    WatchEvent::Put(kv) => note(&parts, &kv),
                    WatchEvent::Deleted { key, .. } if key == here => {
                        parts.tell(Message::Fleet(FleetMessage::MatcherGone)) && take(&parts)
                    }
                    WatchEvent::Deleted { .. } => true,
                },
            );
        })?;
    Ok(())
}

/// Tells who matches in this data centre, and under which number.
fn note(parts: &Parts, kv: &KeyValue) -> bool {
    if kv.key != matcher_key(&parts.settings.data_centre) {
        return true;
    }
    let mine = kv.value == parts.run.to_string().into_bytes();
    let fence = u64::try_from(kv.revision).unwrap_or(0);
    parts.tell(Message::Fleet(FleetMessage::MatcherSeen { fence, mine }))
}

/// Takes the free place, or sees that another has; false once the daemon stops.
fn take(parts: &Parts) -> bool {
    thread::sleep(MOST_PAUSE.mul_f64(rand::random::<f64>()));
    let key = matcher_key(&parts.settings.data_centre);
    loop {
        let lease = parts.lease.load(Ordering::SeqCst);
        if lease == STOPPED {
            return false;
        }
        if lease > 0 {
            let value = parts.run.to_string().into_bytes();
            let txn = Txn::create(key.clone(), value).leased(lease);
            match parts.kv.commit(&txn, parts.kv.now() + TAKE_TIME) {
                // Taken by us or by another: the watch tells.
                Commit::Applied { .. } | Commit::Beaten(_) => return true,
                Commit::NotDone(_) | Commit::Unknown(_) => {}
            }
        }
        thread::sleep(MOST_PAUSE);
    }
}
