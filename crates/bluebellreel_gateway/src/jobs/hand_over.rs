//! Handing over jobs to peers when this daemon stops.

use super::adopt::adopt;
use super::backup::{encode_progress, read_progress};
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

/// How long a hand-over waits until pending results and counts of failures are recorded. After
/// it, the job is handed over without them.
const RECORD_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval between checks whether the pending results are recorded.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// How long the write of a hand-over is retried.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Limit on the attempts to notify a new owner of its job, while this process runs.
const MAX_NOTICES: u32 = 3;
/// Pause between these attempts.
const NOTICE_PAUSE: Duration = Duration::from_millis(150);

/// The hand-overs of a stopping daemon.
#[derive(Default)]
pub(crate) struct HandOvers {
    tried: RefCell<BTreeSet<JobId>>,
    under_way: Cell<usize>,
}

impl HandOvers {
    /// Starts to hand over the jobs that were not tried yet. Peers take over those
    /// that cannot be handed over once this daemon has exited.
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

    /// Whether a hand-over is in progress or still to be started.
    pub(crate) fn is_busy(&self, gw: &Gateway) -> bool {
        let tried = self.tried.borrow();
        let is_left = gw.jobs.borrow().own.keys().any(|id| !tried.contains(id));
        self.under_way.get() > 0 || is_left
    }
}

/// Hands one job over to a peer that keeps running.
async fn hand_over(gw: Rc<Gateway>, owned: Rc<OwnedJob>) {
    let id = owned.job.borrow().id.clone();
    stop_items(&gw, &owned, &id);
    let until = Instant::now() + RECORD_TIMEOUT;
    owned.record_due.notify_one();
    let is_unsaved = |job: &Job| job.has_pending() || job.has_uncounted();
    while is_unsaved(&owned.job.borrow()) && Instant::now() < until {
        sleep(POLL_INTERVAL).await;
    }
    if !owned.job.borrow().may_run() || !gw.jobs.borrow().own.contains_key(&id) {
        return;
    }
    let to = gw.members.borrow().successor(&id, None, gw.now());
    let Some(to) = to else {
        warn!(target: "jobs", job:% = id; "no peer to hand the job over to");
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
    let outcome = gw.store.commit(&txn, Instant::now() + COMMIT_TIMEOUT).await;
    let Some(revision) = handed_over(&outcome, &id, &record) else {
        warn!(target: "jobs", job:% = id, outcome:? = outcome; "job not handed over");
        return;
    };
    {
        let mut jobs = gw.jobs.borrow_mut();
        jobs.evict(&id);
        jobs.note_owner(&id, &record);
    }
    let notified = notify(&gw, peer.calls, &id, &progress).await;
    info!(target: "jobs", job:% = id, peer:% = to, revision, told:? = notified; "job handed over");
}

/// Notifies the new owner of a job and sends it the progress of the items. An owner
/// that is not reached finds the job by scanning the store, and the items start from
/// scratch. Repeated notifications do no harm.
async fn notify(
    gw: &Gateway,
    to: SocketAddr,
    id: &JobId,
    progress: &[u8],
) -> Result<StatusCode, PeerError> {
    let mut left = MAX_NOTICES;
    loop {
        let outcome = peer_calls::hand_over(gw, to, id, progress.to_vec()).await;
        left -= 1;
        if matches!(outcome, Ok(StatusCode::OK | StatusCode::CONFLICT)) || left == 0 {
            return outcome;
        }
        sleep(NOTICE_PAUSE).await;
    }
}

/// The record's revision after a successful hand-over. The response to the first
/// attempt may be lost, so that a retry finds the record already written.
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

/// Ends the job's runs. The items keep their progress.
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
    // Without progress the items start from scratch, which is correct but slower.
    encode_progress(&owned.job.borrow().progress()).unwrap_or_default()
}

/// Accepts a job that a peer has handed over.
pub(crate) async fn take_hand_over(
    gw: &Rc<Gateway>,
    id: &JobId,
    progress: &[u8],
) -> Response<Body> {
    let begun = read_progress(id, progress);
    // Another peer, which does not have the items' progress, may have notified this
    // daemon of its ownership already. Or this daemon owned the job earlier, and the
    // peer that hands it over has recorded more results since.
    if let Some(owned) = owned_job(gw, id) {
        owned.invalidate_lease(&gw.start_terms);
        // If this call to the store fails, the read below probably fails as well.
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

/// Loads an open job whose record names this daemon as the owner, with the time at
/// which the read was sent.
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
