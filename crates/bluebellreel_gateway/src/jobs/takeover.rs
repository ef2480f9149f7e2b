//! Taking over jobs whose owner has exited or crashed.

use super::adopt::{adopt, adopt_stored};
use super::load::FoundRecord;
use super::own::MAX_REPORTED;
use super::stored::{key, owner_txn, stored_record};
use super::{backup, load, open, read};
use crate::gateway::Gateway;
use crate::registration::{self, OwnerStatus};
use bluebellreel_batch::{
    JobPhase, JobRecord, Owner, OwnerPresence, TakeoverDecision, decide_takeover, keys,
};
use bluebellreel_kv::{Commit, KvError};
use bluebellreel_members::Presence;
use bluebellreel_types::{JobId, Moment};
use log::{info, warn};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Interval between scans for jobs without an owner when nothing hints at one.
const SCAN_INTERVAL: Duration = Duration::from_secs(6);
/// Interval between scans while jobs without an owner remain, as on a daemon that has
/// just started, or while scans fail. Also the delay of a scan that was requested.
const SCAN_INTERVAL_SHORT: Duration = Duration::from_millis(900);
/// Interval between scans on daemons that rely on the cleanup leader's scans: the loss of
/// the cleanup leader itself wakes them.
const SCAN_INTERVAL_LONG: Duration = Duration::from_secs(20);
/// Delay of the first scan after the start, so that peers have reported by then: they
/// report four times a second, and to a new daemon once they have received its report. If
/// the whole fleet was killed, no job runs until this scan.
const FIRST_SCAN_DELAY: Duration = Duration::from_millis(600);
/// How long a job without an owner is left to its successor before the cleanup leader takes
/// it over.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a live owner may omit a job from its reports before it is notified that it
/// owns the job, after the cleanup leader has read the job's record.
const UNREPORTED_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the write of a takeover is retried.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Jobs that their live owners do not report, with the time at which the owner is to be
/// notified.
type Unreported = HashMap<JobId, Moment>;

/// Scans for jobs without an owner and adopts them, in an endless loop.
pub(crate) async fn adopt_orphans(gw: Rc<Gateway>) {
    let due = gw.jobs.borrow().orphans_due.clone();
    let mut unreported = Unreported::new();
    let first_scan_at = Instant::now() + FIRST_SCAN_DELAY;
    open::list_initially(&gw).await;
    sleep_until(first_scan_at).await;
    loop {
        let more = match scan_open_jobs(&gw, &mut unreported).await {
            Ok(remaining) => remaining > 0,
            Err(e) => {
                warn!(target: "jobs", error:% = e; "open jobs not listed");
                true
            }
        };
        let pause = match (more, is_cleanup_leader(&gw)) {
            (true, _) => SCAN_INTERVAL_SHORT,
            (false, true) => SCAN_INTERVAL,
            (false, false) if !are_all_jobs_reported(&gw) => SCAN_INTERVAL,
            (false, false) => SCAN_INTERVAL_LONG,
        };
        if timeout(pause, due.notified()).await.is_ok() {
            // The scan is delayed: the peers of a lost daemon may be silent for a moment
            // longer than its entry.
            sleep(SCAN_INTERVAL_SHORT).await;
        }
    }
}

/// Scans all open jobs. Returns the number of those whose owner is not alive and that
/// are not taken over yet.
async fn scan_open_jobs(gw: &Rc<Gateway>, unreported: &mut Unreported) -> Result<usize, KvError> {
    if gw.stopping.get() {
        return Ok(0);
    }
    let open = open::list_stale(gw).await?;
    if open.is_empty() {
        gw.jobs.borrow_mut().orphans.clear();
    }
    let mut remaining = 0;
    let mut entries_read = false;
    let before = std::mem::take(unreported);
    for id in open {
        if gw.stopping.get() {
            // A job taken over now would have to be handed over at once.
            return Ok(0);
        }
        if gw.jobs.borrow().own.contains_key(&id) || has_owner(gw, &id) {
            continue;
        }
        if !std::mem::replace(&mut entries_read, true) {
            registration::read_members(gw).await?;
        }
        if !gw.jobs.borrow().open.needs_record(&id) {
            if is_owner_silent(gw, &id) {
                remaining += 1;
                continue;
            }
            if !is_successor(gw, &id) && !has_successor_timed_out(gw, &id) {
                // Only the cleanup leader has to check whether the successor takes over.
                remaining += usize::from(is_cleanup_leader(gw));
                continue;
            }
        }
        // A job that cannot be read must not hold up the remaining ones.
        match take_over(gw, &id, before.get(&id).copied(), unreported).await {
            Ok(settled) => remaining += usize::from(!settled),
            Err(KvError::Refused(reason)) => {
                warn!(target: "jobs", job:% = id, reason = reason.as_str(); "job not taken over");
            }
            Err(e) => return Err(e),
        }
    }
    Ok(remaining)
}

/// Whether this daemon is the one that scans more often than the others.
pub(super) fn is_cleanup_leader(gw: &Gateway) -> bool {
    gw.members.borrow().is_cleanup_leader(gw.me(), gw.now())
}

/// Whether the peers' reports cover all jobs that count against quotas.
fn are_all_jobs_reported(gw: &Gateway) -> bool {
    gw.members.borrow().all_peers_alive(gw.now()) && gw.jobs.borrow().open.is_empty()
}

/// Whether a live peer reports that it owns a job. Saves reading the record.
fn has_owner(gw: &Gateway, id: &JobId) -> bool {
    gw.members.borrow().is_owned(id, gw.now())
}

/// Takes a job over if its owner is gone and this daemon is responsible for it. Returns
/// whether the job is settled, so that it needs no further scan soon. `notify_at` is
/// when an owner that does not report the job is notified, if the previous scan has
/// set it.
async fn take_over(
    gw: &Rc<Gateway>,
    id: &JobId,
    notify_at: Option<Moment>,
    unreported: &mut Unreported,
) -> Result<bool, KvError> {
    let Some(found) = load::record(gw, id).await? else {
        return Ok(true);
    };
    let record = &found.record;
    if record.phase != JobPhase::Open {
        return Ok(true);
    }
    let sign = owner_sign(gw, &record.owner);
    let is_successor =
        sign == OwnerPresence::Gone && (is_successor(gw, id) || has_successor_timed_out(gw, id));
    match decide_takeover(sign, is_successor) {
        TakeoverDecision::LeaveToOwner => {
            let notify_later = leave_to_owner(gw, id, &record.owner, notify_at);
            unreported.extend(notify_later.map(|until| (id.clone(), until)));
            Ok(notify_later.is_none())
        }
        TakeoverDecision::RecheckSoon => Ok(false),
        TakeoverDecision::Run => {
            adopt_stored(gw, id, found.record, found.revision, found.asked).await;
            Ok(true)
        }
        TakeoverDecision::TakeOver => claim(gw, id, found).await,
    }
}

/// Leaves a job to its live owner, which does not report it and may not know that it
/// owns the job. Returns when the owner is to be notified; `None` if it has been
/// notified now, needs no notification, or is left to the cleanup leader.
fn leave_to_owner(
    gw: &Rc<Gateway>,
    id: &JobId,
    owner: &Owner,
    notify_at: Option<Moment>,
) -> Option<Moment> {
    let now = gw.now();
    // An owner of more than `MAX_REPORTED` jobs names only some of them.
    let reports_all = {
        let members = gw.members.borrow();
        let peer = members.alive_peer(&owner.entry, now);
        peer.is_some_and(|p| p.jobs.len() < MAX_REPORTED)
    };
    let address = read::owner_address(gw, id)?;
    if !reports_all || !is_cleanup_leader(gw) {
        return None;
    }
    let notify_at = notify_at.unwrap_or(now + UNREPORTED_TIMEOUT);
    if !notify_at.is_past(now) {
        return Some(notify_at);
    }
    read::notify_owner(gw, id, address);
    None
}

/// Whether the last known owner of a job is silent but not gone yet. Saves reading the
/// record with each scan.
fn is_owner_silent(gw: &Gateway, id: &JobId) -> bool {
    let jobs = gw.jobs.borrow();
    let members = gw.members.borrow();
    jobs.owners
        .get(id)
        .is_some_and(|o| members.presence(&o.entry, o.run, gw.now()) == Presence::Silent)
}

fn owner_sign(gw: &Gateway, owner: &Owner) -> OwnerPresence {
    if owner.entry == *gw.me() {
        let is_now = owner.run == gw.run;
        return if is_now {
            OwnerPresence::ThisDaemon
        } else {
            OwnerPresence::Gone
        };
    }
    let members = gw.members.borrow();
    match members.presence(&owner.entry, owner.run, gw.now()) {
        Presence::Reporting => OwnerPresence::Reporting,
        Presence::Silent => OwnerPresence::Silent,
        Presence::Gone => OwnerPresence::Gone,
    }
}

/// Whether this daemon is the one that should take a job over first.
fn is_successor(gw: &Gateway, id: &JobId) -> bool {
    let members = gw.members.borrow();
    members.successor(id, Some(gw.me()), gw.now()).as_ref() == Some(gw.me())
}

/// Whether this daemon is the cleanup leader and the successor of a job has not taken the
/// job over within [`SUCCESSOR_TIMEOUT`]: the successor may consider the owner alive,
/// or may not reach the store. The write is guarded, so two daemons that claim a job
/// concurrently do no harm.
fn has_successor_timed_out(gw: &Gateway, id: &JobId) -> bool {
    let now = gw.now();
    let mut jobs = gw.jobs.borrow_mut();
    let found_at = *jobs.orphans.entry(id.clone()).or_insert(now);
    is_cleanup_leader(gw) && (found_at + SUCCESSOR_TIMEOUT).is_past(now)
}

/// Makes this daemon the owner of a job whose owner is gone.
///
/// This daemon's view of the owner may be stale: a daemon that has just started has
/// received no reports yet, and one that is partitioned from its peers receives none.
/// An owner whose entry is still in the store runs its jobs and answers readers from
/// memory. So the write also requires that the owner's entry is gone.
async fn claim(gw: &Rc<Gateway>, id: &JobId, found: FoundRecord) -> Result<bool, KvError> {
    let before = found.record.owner.clone();
    let ended = match registration::owner_status(gw, &before).await? {
        OwnerStatus::Alive => return Ok(false),
        OwnerStatus::EarlierRun => None,
        OwnerStatus::Guard(guard) => Some(guard),
    };
    let record = JobRecord {
        owner: Owner {
            entry: gw.me().clone(),
            run: gw.run,
        },
        ..found.record
    };
    let mut txn = owner_txn(id, &record, found.revision);
    txn.compares.extend(ended);
    let asked = gw.stamp();
    let taken = match gw.store.commit(&txn, Instant::now() + COMMIT_TIMEOUT).await {
        Commit::Applied { revision } => Some(revision),
        Commit::Beaten(found) => stored_record(&found, &key(&keys::record(id)))
            .filter(|(_, stored)| *stored == record)
            .map(|(revision, _)| revision),
        Commit::NotDone(reason) => return Err(KvError::NotDone(reason)),
        Commit::Unknown(reason) => return Err(KvError::Unknown(reason)),
    };
    let Some(revision) = taken else {
        return Ok(false);
    };
    info!(target: "jobs", job:% = id, owner:% = before.entry, run:% = before.run, revision; "job taken over");
    let mut job = load::job(gw, id, record, revision).await?;
    backup::restore_progress(gw, id, &mut job).await;
    adopt(gw, job, asked);
    Ok(true)
}
