//! Handing jobs over when this daemon stops.

use super::adopt::adopt;
use super::backup::read_progress;
use super::load::owned_job;
use super::own::OwnedJob;
use super::stored::{key, owner_txn, stored_record};
use super::{confirm, load};
use crate::answers;
use crate::gateway::Gateway;
use crate::peer_calls::{self, PeerError};
use bluebellreel_batch::{ItemPhase, Job, JobPhase, JobRecord, Owner, Stamp, keys};
use bluebellreel_kv::{Commit, KvError};
use bluebellreel_net::Body;
use bluebellreel_types::JobId;
use http::{Response, StatusCode};
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest that results under way may take to be recorded before their job is
/// handed over without them.
const RECORD: Duration = Duration::from_millis(1200);
/// Time between looks whether they are.
const LOOK: Duration = Duration::from_millis(25);
/// How long a hand-over's write is repeated.
const DECIDE: Duration = Duration::from_millis(1500);
/// Times that a new owner is notified of its job, while this process lasts.
const NOTICES: u32 = 3;
/// Pause before it is notified again.
const NOTICE_PAUSE: Duration = Duration::from_millis(150);

/// The hand-overs of a daemon that stops.
#[derive(Default)]
pub(crate) struct HandOvers {
    tried: RefCell<BTreeSet<JobId>>,
    under_way: Cell<usize>,
}

impl HandOvers {
    /// Begins to hand over the jobs that have not been tried yet. Jobs that
    /// cannot be handed over are taken over by others once this daemon is gone.
    pub(crate) fn begin(self: &Rc<Self>, gw: &Rc<Gateway>) {
        let all: Vec<Rc<OwnedJob>> = gw.jobs.borrow().own.values().cloned().collect();
        for owned in all {
            let id = owned.job.borrow().id.clone();
            if !self.tried.borrow_mut().insert(id) {
                continue;
            }
            self.under_way.set(self.under_way.get() + 1);
            let (gw, this) = (gw.clone(), self.clone());
            tokio::task::spawn_local(async move {
                hand_over(gw, owned).await;
                this.under_way.set(this.under_way.get() - 1);
            });
        }
    }

    /// Whether one is under way or has still to begin.
    pub(crate) fn is_busy(&self, gw: &Gateway) -> bool {
        let tried = self.tried.borrow();
        let is_left = gw.jobs.borrow().own.keys().any(|id| !tried.contains(id));
        self.under_way.get() > 0 || is_left
    }
}

/// Hands one job over to a peer that goes on.
async fn hand_over(gw: Rc<Gateway>, owned: Rc<OwnedJob>) {
    let id = owned.job.borrow().id.clone();
    stop_items(&gw, &owned, &id);
    let until = Instant::now() + RECORD;
    owned.record_due.notify_one();
    while owned.job.borrow().has_pending() && Instant::now() < until {
        sleep(LOOK).await;
    }
    if !owned.job.borrow().is_open() || !gw.jobs.borrow().own.contains_key(&id) {
        return;
    }
    let to = gw.members.borrow().successor(&id, None, gw.now());
    let Some(to) = to else {
        warn!(target: "jobs", job:% = id; "nobody to hand the job over to");
        return;
    };
    let peer = gw.members.borrow().alive_peer(&to, gw.now()).cloned();
    let Some(peer) = peer else {
        return;
    };
    let (record, revision, progress) = {
        let job = owned.job.borrow();
        let record = JobRecord {
            owner: Owner {
                entry: to.clone(),
                run: peer.run,
            },
            ..job.record.clone()
        };
        (record, job.revision, progress(&owned))
    };
    let txn = owner_txn(&id, &record, revision);
    let outcome = gw.store.commit(&txn, Instant::now() + DECIDE).await;
    let Some(revision) = handed_over(&outcome, &id, &record) else {
        warn!(target: "jobs", job:% = id, outcome:? = outcome; "job not handed over");
        return;
    };
    {
        let mut jobs = gw.jobs.borrow_mut();
        jobs.evict(&id);
        jobs.note_owner(&id, &record);
    }
    let told = notify(&gw, peer.calls, &id, &progress).await;
    info!(target: "jobs", job:% = id, peer:% = to, revision, told:? = told; "job handed over");
}

/// Notifies the new owner of a job: one that misses it finds the job at a look, and
/// its items begin anew. What it has taken before does no harm.
async fn notify(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    progress: &[u8],
) -> Result<StatusCode, PeerError> {
    let mut left = NOTICES;
    loop {
        let told = peer_calls::hand_over(gw, to, id, progress.to_vec()).await;
        left -= 1;
        if matches!(told, Ok(StatusCode::OK | StatusCode::CONFLICT)) || left == 0 {
            return told;
        }
        sleep(NOTICE_PAUSE).await;
    }
}

/// The record's revision after a hand-over. The first try's answer may be lost,
/// and the second one meet the first one's record.
fn handed_over(outcome: &Commit, id: &JobId, record: &JobRecord) -> Option<i64> {
    match outcome {
        Commit::Applied { revision } => Some(*revision),
        Commit::Beaten(found) => {
            let (revision, stored) = stored_record(found, &key(&keys::record(id)))?;
            (stored == *record).then_some(revision)
        }
        Commit::NotDone(_) | Commit::Unknown(_) => None,
    }
}

/// Ends the job's runs; their items keep what they have generated.
fn stop_items(gw: &Gateway, owned: &OwnedJob, id: &JobId) {
    gw.jobs.borrow_mut().end_runs(id);
    let now = gw.now();
    let mut job = owned.job.borrow_mut();
    for item in &mut job.items {
        if item.phase == ItemPhase::Running {
            item.phase = ItemPhase::Waiting { from: now };
        }
    }
}

fn progress(owned: &OwnedJob) -> Vec<u8> {
    // Without it the items begin anew, which is right if slower.
    postcard::to_allocvec(&owned.job.borrow().progress()).unwrap_or_default()
}

/// Takes a job that a peer has handed over.
pub(crate) async fn take_hand_over(
    gw: &Rc<Gateway>,
    id: &JobId,
    progress: &[u8],
) -> Response<Body> {
    let begun = read_progress(id, progress);
    // Somebody who only knew of the new owner may have told us before. Or it was
    // ours long ago, and the one that hands it over has listed more.
    if let Some(owned) = owned_job(gw, id) {
        owned.doubt(&gw.start_terms);
        // If the store does not answer now, nor does it below.
        if confirm::confirm(gw, &owned).await.unwrap_or(false) {
            owned.job.borrow_mut().restore(begun, gw.now());
            return answers::status(StatusCode::OK);
        }
    }
    let (mut job, asked) = match load_own(gw, id).await {
        Ok(Some(loaded)) => loaded,
        Ok(None) => return answers::failure(StatusCode::CONFLICT, "not the owner"),
        Err(e) => {
            warn!(target: "jobs", job:% = id, error:% = e; "handed-over job not read");
            gw.jobs.borrow().orphans_due.notify_one();
            return answers::failure(StatusCode::SERVICE_UNAVAILABLE, "not read");
        }
    };
    job.restore(begun, gw.now());
    adopt(gw, job, asked);
    answers::status(StatusCode::OK)
}

/// A job that the store says is ours, and when it was asked.
async fn load_own(gw: &Gateway, id: &JobId) -> Result<Option<(Job, Stamp)>, KvError> {
    let Some(found) = load::record(gw, id).await? else {
        return Ok(None);
    };
    if found.record.owner.run != gw.run || found.record.phase != JobPhase::Open {
        return Ok(None);
    }
    let job = load::job(gw, id, found.record, found.revision).await?;
    Ok(Some((job, found.asked)))
}
