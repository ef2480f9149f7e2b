//! Taking over jobs whose owner is gone.

use super::adopt::{adopt, adopt_stored};
use super::load::FoundRecord;
use super::own::REPORTED;
use super::stored::{key, owner_txn, stored_record};
use super::{backup, load, open, read};
use crate::gateway::Gateway;
use crate::registration::{self, EntryEnd};
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

/// Time between looks when nothing hints at a lost owner.
const LOOK: Duration = Duration::from_secs(6);
/// Time between looks while an owner is gone or this daemon is new.
const LOOK_SOON: Duration = Duration::from_millis(900);
/// Time between looks of daemons that another one looks for: it tells them by
/// being lost.
const LOOK_SELDOM: Duration = Duration::from_secs(20);
/// Wait after the start for peers to be heard: they report four times a second,
/// and to a new daemon from its first report on. The jobs of a fleet that was
/// killed stand still until then.
const FIRST_LOOK: Duration = Duration::from_millis(600);
/// How long a job without an owner is left to its successor.
const LEFT_BY_SUCCESSOR: Duration = Duration::from_millis(2500);
/// How long an owner that is heard may leave a job out of its reports before it
/// is notified that the job is its own.
const UNREPORTED: Duration = Duration::from_secs(3);
/// How long a take-over's write is repeated.
const DECIDE: Duration = Duration::from_secs(3);

/// Jobs whose owners are heard and do not report them, and when those are notified.
type Unreported = HashMap<JobId, Moment>;

/// Looks for jobs without an owner, for ever.
pub(crate) async fn adopt_orphans(gw: Rc<Gateway>) {
    let due = gw.jobs.borrow().orphans_due.clone();
    let mut unreported = Unreported::new();
    let first_look = Instant::now() + FIRST_LOOK;
    open::list_first(&gw).await;
    sleep_until(first_look).await;
    loop {
        let more = match look(&gw, &mut unreported).await {
            Ok(left) => left > 0,
            Err(e) => {
                warn!(target: "jobs", error:% = e; "open jobs not listed");
                true
            }
        };
        let pause = match (more, is_cleanup_leader(&gw)) {
            (true, _) => LOOK_SOON,
            (false, true) => LOOK,
            (false, false) if !hears_of_all_jobs(&gw) => LOOK,
            (false, false) => LOOK_SELDOM,
        };
        if timeout(pause, due.notified()).await.is_ok() {
            // Its peers may be silent for a moment longer than its entry.
            sleep(LOOK_SOON).await;
        }
    }
}

/// Goes through all open jobs; gives the number of those whose owner is not
/// here and that are not taken over yet.
async fn look(gw: &Rc<Gateway>, unreported: &mut Unreported) -> Result<usize, KvError> {
    if gw.stopping.get() {
        return Ok(0);
    }
    let open = open::list(gw).await?;
    if open.is_empty() {
        gw.jobs.borrow_mut().orphans.clear();
    }
    let mut left = 0;
    let mut entries_read = false;
    let before = std::mem::take(unreported);
    for id in open {
        if gw.stopping.get() {
            // What it took now, it would have to hand over at once.
            return Ok(0);
        }
        if gw.jobs.borrow().own.contains_key(&id) || has_owner(gw, &id) {
            continue;
        }
        if !std::mem::replace(&mut entries_read, true) {
            registration::read_members(gw).await?;
        }
        if is_owner_silent(gw, &id) && !gw.jobs.borrow().open.needs_record(&id) {
            left += 1;
            continue;
        }
        // One job that cannot be read must not hold up those behind it.
        match take_over(gw, &id, before.get(&id).copied(), unreported).await {
            Ok(settled) => left += usize::from(!settled),
            Err(KvError::Refused(reason)) => {
                warn!(target: "jobs", job:% = id, reason = reason.as_str(); "job not taken over");
            }
            Err(e) => return Err(e),
        }
    }
    Ok(left)
}

/// Whether this daemon looks more often than the others.
fn is_cleanup_leader(gw: &Gateway) -> bool {
    gw.members.borrow().is_cleanup_leader(gw.me(), gw.now())
}

/// Whether reports tell of all jobs that count against quotas.
fn hears_of_all_jobs(gw: &Gateway) -> bool {
    gw.members.borrow().all_peers_alive(gw.now()) && gw.jobs.borrow().open.is_empty()
}

/// Whether a peer that is heard says that it owns a job; saves reading the
/// record.
fn has_owner(gw: &Gateway, id: &JobId) -> bool {
    gw.members.borrow().is_owned(id, gw.now())
}

/// Takes a job over if its owner is gone and this daemon is the one to do so;
/// whether no further look is needed soon. `notify_at` is when an owner that does
/// not report the job is notified, if that is known from the look before.
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
    let sign = sign_of(gw, &record.owner);
    let is_successor =
        sign == OwnerPresence::Gone && (is_successor(gw, id) || is_left_by_successor(gw, id));
    match decide_takeover(sign, is_successor) {
        TakeoverDecision::LeaveToOwner => {
            let waits = leave_to_owner(gw, id, &record.owner, notify_at);
            unreported.extend(waits.map(|until| (id.clone(), until)));
            Ok(waits.is_none())
        }
        TakeoverDecision::RecheckSoon => Ok(false),
        TakeoverDecision::Run => {
            adopt_stored(gw, id, found.record, found.revision, found.asked).await;
            Ok(true)
        }
        TakeoverDecision::TakeOver => claim(gw, id, found).await,
    }
}

/// Leaves a job to its owner, which is heard and does not report it: it may not
/// know that the job is its own. Gives when it is to be notified, unless that is done
/// or left to the caretaker.
fn leave_to_owner(
    gw: &Rc<Gateway>,
    id: &JobId,
    owner: &Owner,
    notify_at: Option<Moment>,
) -> Option<Moment> {
    let now = gw.now();
    // An owner of very many jobs reports some of them only.
    let reports_all = {
        let members = gw.members.borrow();
        let peer = members.alive_peer(&owner.entry, now);
        peer.is_some_and(|p| p.jobs.len() < REPORTED)
    };
    let address = read::owner_address(gw, id)?;
    if !reports_all || !is_cleanup_leader(gw) {
        return None;
    }
    let notify_at = notify_at.unwrap_or(now + UNREPORTED);
    if !notify_at.is_past(now) {
        return Some(notify_at);
    }
    read::notify_owner(gw, id, address);
    None
}

/// Whether the owner, as far as it is known, is silent and not gone yet; saves
/// reading the record at each look.
fn is_owner_silent(gw: &Gateway, id: &JobId) -> bool {
    let jobs = gw.jobs.borrow();
    let members = gw.members.borrow();
    jobs.owners
        .get(id)
        .is_some_and(|o| members.presence(&o.entry, o.run, gw.now()) == Presence::Silent)
}

fn sign_of(gw: &Gateway, owner: &Owner) -> OwnerPresence {
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

/// Whether this daemon takes a job over first.
fn is_successor(gw: &Gateway, id: &JobId) -> bool {
    let members = gw.members.borrow();
    members.successor(id, Some(gw.me()), gw.now()).as_ref() == Some(gw.me())
}

/// Whether this daemon is the one that looks after jobs that their successor leaves
/// alone: the successor may believe that the owner lives, or not reach the store.
/// The write is guarded, so two that claim a job at once do no harm.
fn is_left_by_successor(gw: &Gateway, id: &JobId) -> bool {
    let now = gw.now();
    let mut jobs = gw.jobs.borrow_mut();
    let found_at = *jobs.orphans.entry(id.clone()).or_insert(now);
    is_cleanup_leader(gw) && (found_at + LEFT_BY_SUCCESSOR).is_past(now)
}

/// Makes this daemon the owner of a job whose owner is gone.
///
/// What is known of the owner may be old: a daemon that has just started has heard
/// nobody, and one that is cut off hears nobody. An owner whose entry stands runs
/// its jobs and answers readers from memory, so the write is guarded by the entry's
/// end as well.
async fn claim(gw: &Rc<Gateway>, id: &JobId, found: FoundRecord) -> Result<bool, KvError> {
    let before = found.record.owner.clone();
    let ended = match registration::end_of(gw, &before).await? {
        EntryEnd::Stands => return Ok(false),
        EntryEnd::Own => None,
        EntryEnd::Guard(guard) => Some(guard),
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
    let taken = match gw.store.commit(&txn, Instant::now() + DECIDE).await {
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
    backup::recall(gw, id, &mut job).await;
    adopt(gw, job, asked);
    Ok(true)
}
