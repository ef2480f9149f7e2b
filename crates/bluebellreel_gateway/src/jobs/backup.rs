//! Telling a keeper how far the items of each job are.
//!
//! An owner that dies takes what its items have generated with it, and results
//! that the store has not recorded yet. Where a third of all slots run items of
//! five seconds each, the death of one gateway threw away some thirty seconds of
//! engine time, the death of all a hundred and more. Copies are full, not
//! differences: one that is lost is made up for by the next. They stay within
//! the data centre, so their bytes are not priced.

use crate::gateway::Gateway;
use crate::peer_calls;
use bluebellreel_batch::{ItemProgress, Job};
use bluebellreel_types::JobId;
use futures::future::join_all;
use log::{info, warn};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time between copies. An item of 190 events lasts some five seconds; copied
/// this often, each of its events is sent about three times.
const PAUSE: Duration = Duration::from_secs(1);
/// How long a copy is kept: longer than a dead owner's entry stands (3.6 s) and
/// its heir takes to look, and than an item lasts.
const KEPT: Duration = Duration::from_secs(20);

/// Tells heirs how far items are, for ever.
pub(crate) async fn copy_progress(gw: Rc<Gateway>) {
    let mut copied: HashMap<JobId, u64> = HashMap::new();
    loop {
        sleep(PAUSE).await;
        let due = due(&gw, &mut copied);
        for (id, items) in due {
            copy(&gw, &id, &items).await;
        }
    }
}

/// Jobs whose items have got further since their last copy.
fn due(gw: &Gateway, copied: &mut HashMap<JobId, u64>) -> Vec<(JobId, Vec<ItemProgress>)> {
    let jobs = gw.jobs.borrow();
    copied.retain(|id, _| jobs.own.contains_key(id));
    let mut due = Vec::new();
    for (id, owned) in &jobs.own {
        let items = owned.job.borrow().progress();
        let bytes = items.iter().map(|i| i.text.len() as u64 + 1).sum();
        let before = copied.insert(id.clone(), bytes);
        if bytes > 0 && before != Some(bytes) {
            due.push((id.clone(), items));
        }
    }
    due
}

/// Where a job's progress is copied to: the keeper of this data centre, whose
/// disk outlives a kill of everything; if there is none, the job's heir.
fn target(gw: &Gateway, id: &JobId) -> Option<SocketAddr> {
    let now = gw.now();
    if let Some(near) = gw.keepers.borrow().near(now) {
        return Some(near);
    }
    let members = gw.members.borrow();
    let heir = members.heir(id, None, now)?;
    Some(members.alive(&heir, now)?.calls)
}

async fn copy(gw: &Rc<Gateway>, id: &JobId, items: &[ItemProgress]) {
    let Some(to) = target(gw, id) else {
        return;
    };
    let body = match postcard::to_allocvec(items) {
        Ok(body) => body,
        Err(e) => {
            warn!(target: "jobs", job:% = id, error:% = e; "progress not copied");
            return;
        }
    };
    if let Err(e) = peer_calls::copy_progress(gw, to, id, body).await {
        warn!(target: "jobs", job:% = id, to:% = to, error = e.as_str(); "progress not copied");
    }
}

/// Longest wait for keepers when a job is taken over: one that is down must not
/// hold the job up for longer than what its items would gain.
const RECALL: Duration = Duration::from_millis(300);

/// Lets the items of a job that was taken over go on from where they were, as
/// far as this daemon or a keeper knows.
pub(super) async fn recall(gw: &Rc<Gateway>, id: &JobId, job: &mut Job) {
    let mut begun = gw.jobs.borrow_mut().copies.take(id);
    let keepers = gw.keepers.borrow().all(gw.now());
    let asked = keepers
        .into_iter()
        .map(|at| timeout(RECALL, peer_calls::progress(gw, at, id)));
    for answer in join_all(asked).await {
        match answer {
            Ok(Ok(progress)) => begun.extend(super::hand_over::read_progress(id, &progress)),
            Ok(Err(e)) => {
                warn!(target: "jobs", job:% = id, error = e.as_str(); "progress not fetched");
            }
            Err(_) => warn!(target: "jobs", job:% = id; "progress not fetched"),
        }
    }
    info!(target: "jobs", job:% = id, begun = begun.len(); "items go on");
    job.restore(begun, gw.now());
}

/// Keeps how far the items of a peer's job are.
pub(crate) fn keep_copy(gw: &Gateway, id: JobId, progress: &[u8]) {
    let items = super::hand_over::read_progress(&id, progress);
    let until = gw.now() + KEPT;
    gw.jobs.borrow_mut().copies.keep(id, items, until);
}
