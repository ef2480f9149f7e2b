//! Replicating to a keeper how far the items of each job are.
//!
//! Else an owner that dies takes what its items have generated with it, and results
//! that the store has not recorded yet. Copies are full, not differences: one that
//! is lost is made up for by the next. They stay within the data centre, so their
//! bytes are not priced.

use crate::gateway::Gateway;
use crate::peer_calls;
use bluebellreel_batch::{ItemProgress, Job};
use bluebellreel_types::JobId;
use bytes::Bytes;
use futures::future::join_all;
use log::{info, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time between copies. An item of 190 events lasts some five seconds; copied
/// this often, each of its events is sent about three times.
const COPY_EVERY: Duration = Duration::from_secs(1);
/// How long a copy is kept: longer than a dead owner's entry stands (3.6 s) and
/// its successor takes to look, and than an item lasts.
const COPY_KEPT: Duration = Duration::from_secs(20);

/// How much of a job was copied last, and to whom.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Copied {
    to: SocketAddr,
    extent: u64,
}

/// Replicates how far items are, for ever.
pub(crate) async fn copy_progress(gw: Rc<Gateway>) {
    let mut copied = HashMap::new();
    loop {
        sleep(COPY_EVERY).await;
        let due = due(&gw, &mut copied);
        for (id, to, items) in due {
            if !copy(&gw, &id, to, &items).await {
                // Its items may generate nothing more, so it is copied again. A
                // keeper that starts again is unreachable for a moment; its disk
                // is all that a kill of everything leaves.
                copied.remove(&id);
                gw.keepers.borrow_mut().mark_unreachable(to);
            }
        }
    }
}

/// Jobs whose items have got further since they were copied, or that are to be
/// copied to another place now.
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

/// Where a job's progress is copied to: the keeper of this data centre, whose
/// disk outlives a kill of everything; if there is none, the job's successor.
fn target(gw: &Gateway, id: &JobId) -> Option<SocketAddr> {
    let now = gw.now();
    if let Some(near) = gw.keepers.borrow().near(now) {
        return Some(near);
    }
    let members = gw.members.borrow();
    let successor = members.successor(id, None, now)?;
    Some(members.alive_peer(&successor, now)?.calls)
}

/// Copies one job's progress; whether it was taken.
async fn copy(gw: &Rc<Gateway>, id: &JobId, to: SocketAddr, items: &[ItemProgress]) -> bool {
    let copied = match postcard::to_allocvec(items) {
        Ok(body) => peer_calls::copy_progress(gw, to, id, body).await,
        Err(e) => Err(e.to_string()),
    };
    if let Err(e) = &copied {
        warn!(target: "jobs", job:% = id, to:% = to, error = e.as_str(); "progress not copied");
    }
    copied.is_ok()
}

/// Longest wait for keepers when a job is taken over: one that is down must not
/// hold the job up for longer than what its items would gain.
const CALL_LONGEST: Duration = Duration::from_millis(300);

/// How long a keeper that refuses or cuts calls is asked again: one that stops as
/// planned is back within a second, and what it knows is worth the wait.
const RESTART_LONGEST: Duration = Duration::from_millis(1200);
/// Time between two calls to it.
const RETRY: Duration = Duration::from_millis(100);

/// Lets the items of a job that was taken over go on from where they were, as
/// far as this daemon or a keeper knows.
pub(super) async fn recall(gw: &Rc<Gateway>, id: &JobId, job: &mut Job) {
    let mut begun = gw.jobs.borrow_mut().copies.take(id);
    let keepers = gw.keepers.borrow().all(gw.now());
    let asked = keepers.into_iter().map(|at| ask(gw, at, id));
    for progress in join_all(asked).await.into_iter().flatten() {
        begun.extend(read_progress(id, &progress));
    }
    info!(target: "jobs", job:% = id, begun = begun.len(); "items go on");
    job.restore(begun, gw.now());
}

/// Asks a keeper how far the items of a job are.
///
/// One that refuses or cuts the call may be starting again, with the answer on
/// its disk: without another try the items would begin anew. It is waited for
/// once, so that many jobs do not wait one after the other. One that is silent
/// has lost its VM, and is not.
async fn ask(gw: &Rc<Gateway>, at: SocketAddr, id: &JobId) -> Option<Bytes> {
    let end = Instant::now() + RESTART_LONGEST;
    loop {
        let call = timeout(CALL_LONGEST, peer_calls::progress(gw, at, id));
        let error = match call.await {
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
        sleep(RETRY).await;
    }
}

/// Keeps how far the items of a peer's job are.
pub(crate) fn keep_copy(gw: &Gateway, id: JobId, progress: &[u8]) {
    let items = read_progress(&id, progress);
    let until = gw.now() + COPY_KEPT;
    gw.jobs.borrow_mut().copies.keep(id, items, until);
}

/// What the items had generated; nothing if the peer did not know.
pub(super) fn read_progress(id: &JobId, progress: &[u8]) -> Vec<ItemProgress> {
    if progress.is_empty() {
        return Vec::new();
    }
    postcard::from_bytes(progress).unwrap_or_else(|e| {
        // The items begin anew, which is right if slower.
        warn!(target: "jobs", job:% = id, error:% = e; "progress not read");
        Vec::new()
    })
}
