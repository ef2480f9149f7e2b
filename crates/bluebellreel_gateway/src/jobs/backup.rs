//! Replicating the progress of each job's items to a keeper.
//!
//! Without these copies, the output that items have generated so far and the results
//! that the store has not recorded yet would be lost with their owner. Copies are
//! complete, not incremental, so that the next copy makes up for a lost one. They
//! stay within the data centre, where traffic is not charged.

use super::counts_copies::read_counts;
use crate::gateway::Gateway;
use crate::keepers::first_visit;
use crate::peer_calls::{self, PeerError};
use bluebellreel_batch::{ItemProgress, Job};
use bluebellreel_types::{JobId, WorkerVersion};
use bytes::Bytes;
use futures::future::{join, join_all};
use log::{info, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Interval between copies. An item of 190 events takes about five seconds, so each
/// of its events is sent about three times at this interval.
const COPY_INTERVAL: Duration = Duration::from_secs(1);
/// How long a peer's progress is kept beyond the time after which a dead owner's entry in
/// the store expires: until its successor has scanned for the job, and longer than a run of
/// an item takes.
const COPY_MARGIN: Duration = Duration::from_millis(16_400);

/// What was last copied of a job, and to which daemon.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Copied {
    to: SocketAddr,
    extent: u64,
}

/// Replicates the progress of all items in an endless loop.
pub(crate) async fn copy_progress(gw: Rc<Gateway>) {
    let mut copied = HashMap::new();
    loop {
        sleep(COPY_INTERVAL).await;
        let due = due(&gw, &mut copied);
        for (id, to, items) in due {
            if !copy(&gw, &id, to, &items).await {
                // The copy is retried even if the items generate nothing more. A
                // restarting keeper is unreachable only briefly, and its disk is
                // all that survives if every process is killed.
                copied.remove(&id);
                gw.keepers.borrow_mut().mark_unreachable(to);
            }
        }
    }
}

/// Jobs whose items have progressed since their last copy, or whose copies go to
/// another address now.
fn due(
    gw: &Gateway,
    copied: &mut HashMap<JobId, Copied>,
) -> Vec<(JobId, SocketAddr, Vec<ItemProgress>)> {
    let jobs = gw.jobs.borrow();
    copied.retain(|id, _| jobs.own.contains_key(id));
    let mut due = Vec::new();
    for (id, owned) in &jobs.own {
        let items = owned.job.borrow().progress();
        let extent = items.iter().map(ItemProgress::extent).sum();
        let Some(to) = target(gw, id) else {
            continue;
        };
        let now = Copied { to, extent };
        let before = copied.insert(id.clone(), now);
        if extent > 0 && before != Some(now) {
            due.push((id.clone(), to, items));
        }
    }
    due
}

/// The address to which a job's progress is copied: the keeper of this data centre,
/// whose disk survives if every process is killed. Without a keeper it is the daemon
/// that would take the job over.
fn target(gw: &Gateway, id: &JobId) -> Option<SocketAddr> {
    let now = gw.now();
    if let Some(near) = gw.keepers.borrow().near(now) {
        return Some(near);
    }
    let members = gw.members.borrow();
    let successor = members.successor(id, None, now)?;
    Some(members.alive_peer(&successor, now)?.calls)
}

/// Copies one job's progress. Returns whether the receiver has accepted it.
async fn copy(gw: &Rc<Gateway>, id: &JobId, to: SocketAddr, items: &[ItemProgress]) -> bool {
    let copied = match encode_progress(items) {
        Ok(body) => peer_calls::copy_progress(gw, to, id, body).await,
        Err(e) => Err(e.to_string()),
    };
    if let Err(e) = &copied {
        warn!(target: "jobs", job:% = id, to:% = to, error = e.as_str(); "progress not copied");
    }
    copied.is_ok()
}

/// Limit on one call to a keeper when a job is taken over: a keeper that is down must
/// not delay the job for longer than the restored progress would save.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// How long calls to a keeper that refuses or breaks connections are retried: after a
/// planned restart it is back within a second, and its data saves more than the wait.
const RESTART_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause between two calls to such a keeper.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How long after its start a daemon waits for a keeper's first visit before it takes over
/// jobs. Keepers visit the daemons of their data centre several times a second.
const FIRST_VISIT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Restores the progress of the items of a job that was taken over, from the copies
/// on this daemon and on the keepers.
pub(super) async fn restore_progress(gw: &Rc<Gateway>, id: &JobId, job: &mut Job) {
    first_visit(gw, gw.started + FIRST_VISIT_TIMEOUT).await;
    let mut begun = gw.jobs.borrow_mut().copies.take(id);
    let keepers = gw.keepers.borrow().all(gw.now());
    let asked = keepers.iter().map(|at| {
        let progress = fetch(gw, *at, id, || peer_calls::progress(gw, *at, id));
        let counts = fetch(gw, *at, id, || peer_calls::counts(gw, *at, id));
        join(progress, counts)
    });
    for (progress, counts) in join_all(asked).await {
        begun.extend(
            progress
                .into_iter()
                .flat_map(|body| read_progress(id, &body)),
        );
        let counts = counts.into_iter().flat_map(|body| read_counts(id, &body));
        job.restore_counts(counts.collect(), gw.now());
    }
    let failed = begun.iter().filter(|item| item.failures > 0).count();
    info!(target: "jobs", job:% = id, begun = begun.len(), failed; "item progress restored");
    job.restore(begun, gw.now());
}

/// Fetches a backup of a job from a keeper.
///
/// A keeper that refuses or breaks the connection may be restarting, with the
/// progress on its disk. Without a retry the items would start from scratch. Each
/// keeper is waited for only once, so that the waits of many jobs do not add up. A
/// keeper that does not respond at all has lost its VM and is not waited for.
async fn fetch<C: Future<Output = Result<Bytes, PeerError>>>(
    gw: &Gateway,
    at: SocketAddr,
    id: &JobId,
    call: impl Fn() -> C,
) -> Option<Bytes> {
    let end = Instant::now() + RESTART_TIMEOUT;
    loop {
        let error = match timeout(CALL_TIMEOUT, call()).await {
            Ok(Ok(progress)) => return Some(progress),
            Ok(Err(e)) => e,
            Err(_) => {
                warn!(target: "jobs", job:% = id, keeper:% = at; "progress not fetched");
                return None;
            }
        };
        if !gw.keepers.borrow().may_retry(at) || Instant::now() >= end {
            gw.keepers.borrow_mut().give_up(at);
            warn!(target: "jobs", job:% = id, keeper:% = at, error = error.as_str(); "progress not fetched");
            return None;
        }
        sleep(RETRY_PAUSE).await;
    }
}

/// Stores a copy of the progress of a peer's job.
pub(crate) fn store_progress_copy(gw: &Gateway, id: JobId, progress: &[u8]) {
    let items = read_progress(&id, progress);
    let entry_ttl = gw.members.borrow().upkeep().ttl;
    let until = gw.now() + entry_ttl + COPY_MARGIN;
    gw.jobs.borrow_mut().copies.keep(id, items, until);
}

/// Encodes the progress of a job's items, followed by the version that generated each one's
/// text. Daemons of an earlier build ignore the versions, and send none.
pub(super) fn encode_progress(items: &[ItemProgress]) -> Result<Vec<u8>, postcard::Error> {
    let versions: Vec<Option<&WorkerVersion>> = items.iter().map(|i| i.version.as_ref()).collect();
    postcard::to_extend(&versions, postcard::to_allocvec(items)?)
}

fn decode_progress(bytes: &[u8]) -> Result<Vec<ItemProgress>, postcard::Error> {
    let (mut items, rest) = postcard::take_from_bytes::<Vec<ItemProgress>>(bytes)?;
    if !rest.is_empty() {
        let versions: Vec<Option<WorkerVersion>> = postcard::from_bytes(rest)?;
        for (item, version) in items.iter_mut().zip(versions) {
            item.version = version;
        }
    }
    Ok(items)
}

/// Decodes the progress of a job's items. An empty body means that the peer has no
/// progress of the job.
pub(super) fn read_progress(id: &JobId, progress: &[u8]) -> Vec<ItemProgress> {
    if progress.is_empty() {
        return Vec::new();
    }
    decode_progress(progress).unwrap_or_else(|e| {
        // The items start from scratch, which is correct but slower.
        warn!(target: "jobs", job:% = id, error:% = e; "progress not read");
        Vec::new()
    })
}
