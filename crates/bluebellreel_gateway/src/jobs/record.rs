//! Recording results in the store. A result counts only once it is recorded.

use super::archive::Archived;
use super::own::OwnedJob;
use super::stored::{key, stored_record};
use crate::gateway::Gateway;
use bluebellreel_batch::{Job, JobPhase, JobRecord, Segment, encode_segment, keys};
use bluebellreel_kv::{Commit, Compare, KeyValue, Put, Txn};
use bluebellreel_types::{JobId, Moment};
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How long results are collected before they are recorded together. A write costs as
/// much as a read, and items whose results are not recorded run again if this daemon
/// crashes.
const RECORD_DELAY: Duration = Duration::from_secs(1);
/// Interval between checks for results to record.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Limit on the difference between the clocks of two daemons, including a margin.
const CLOCK_SLACK: Duration = Duration::from_secs(8);
/// How long a write is retried before the job's state is checked again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit on the texts of a segment, in percent of the longest value that the store
/// takes. The JSON escapes and the ids take the rest.
const SEGMENT_PERCENT: usize = 40;

/// Records a job's results until this daemon no longer owns the job.
pub(crate) async fn record_results(gw: Rc<Gateway>, owned: Rc<OwnedJob>) {
    let id = owned.job.borrow().id.clone();
    while is_ours(&gw, &id, &owned) {
        let segment = next_segment(&gw, &owned);
        if let Some(segment) = segment {
            write(&gw, &id, &owned, &segment).await;
            continue;
        }
        // A timeout triggers the next periodic check.
        let _ = timeout(POLL_INTERVAL, owned.record_due.notified()).await;
    }
}

/// Whether this daemon still owns the job. One whose last result is recorded is evicted.
fn is_ours(gw: &Gateway, id: &JobId, owned: &Rc<OwnedJob>) -> bool {
    let jobs = gw.jobs.borrow();
    jobs.own.get(id).is_some_and(|o| Rc::ptr_eq(o, owned))
}

fn next_segment(gw: &Gateway, owned: &OwnedJob) -> Option<Segment> {
    let bytes = gw.settings.value_bytes / 100 * SEGMENT_PERCENT;
    // A stopping daemon records its pending results at once, before it hands its jobs
    // over.
    let delay = if gw.stopping.get() {
        Duration::ZERO
    } else {
        RECORD_DELAY
    };
    let mut job = owned.job.borrow_mut();
    job.give_up_overdue(CLOCK_SLACK, gw.now());
    job.segment_to_write(|since: Moment| since + delay, gw.now(), bytes)
}

fn txn_of(job: &Job, segment: &Segment) -> Txn {
    let record_key = key(&keys::record(&job.id));
    let segment_key = key(&keys::segment(&job.id, segment.number));
    let mut txn = Txn {
        compares: vec![
            Compare::Unchanged(record_key.clone(), job.revision),
            Compare::Absent(segment_key.clone()),
        ],
        puts: vec![Put::lasting(segment_key, encode_segment(&segment.results))],
        ..Txn::default()
    };
    if segment.last {
        let done = JobRecord {
            phase: JobPhase::Done,
            ..job.record.clone()
        };
        txn.puts.push(Put::lasting(record_key, done.encode()));
        txn.deletes.push(key(&keys::open(&job.id)));
    }
    txn
}

async fn write(gw: &Rc<Gateway>, id: &JobId, owned: &Rc<OwnedJob>, segment: &Segment) {
    let txn = txn_of(&owned.job.borrow(), segment);
    let asked = gw.stamp();
    match gw.store.commit(&txn, Instant::now() + COMMIT_TIMEOUT).await {
        Commit::Applied { revision } => {
            owned.confirmed(asked, &gw.start_terms);
            recorded(gw, id, owned, segment, revision);
        }
        Commit::Beaten(found) => {
            // An attempt whose response was lost may have recorded the results, and the
            // job may have been cancelled or taken over since.
            let own = own_write(&found, &txn);
            if let Some(revision) = own {
                recorded(gw, id, owned, segment, revision);
            }
            let stored = stored_record(&found, &key(&keys::record(id)));
            let revision = owned.job.borrow().revision;
            let is_unchanged = stored.as_ref().is_some_and(|(at, _)| *at == revision);
            if own.is_none() || !is_unchanged {
                ownership_lost(gw, owned, stored);
            }
        }
        Commit::NotDone(reason) | Commit::Unknown(reason) => {
            warn!(target: "jobs", job:% = id, segment = segment.number, reason = reason.as_str(); "results not recorded yet");
        }
    }
}

/// The revision of this daemon's own write, if an attempt whose response was lost has
/// been applied.
fn own_write(found: &[KeyValue], txn: &Txn) -> Option<i64> {
    let put = &txn.puts[0];
    let kv = found.iter().find(|kv| kv.key == put.key)?;
    (kv.value == put.value).then_some(kv.revision)
}

fn recorded(gw: &Rc<Gateway>, id: &JobId, owned: &OwnedJob, segment: &Segment, revision: i64) {
    let (listed, items, done) = {
        let mut job = owned.job.borrow_mut();
        job.recorded(segment.last.then_some(revision));
        (job.listed.len(), job.items.len(), !job.is_open())
    };
    info!(target: "jobs", job:% = id, segment = segment.number, results = segment.results.len(), listed, items, done, revision; "results recorded");
    if done {
        let job = owned.job.borrow();
        let archived = Archived {
            total: job.items.len(),
            team: job.record.team.clone(),
            listed: job.listed.clone(),
        };
        drop(job);
        let mut jobs = gw.jobs.borrow_mut();
        jobs.archive.add(id.clone(), archived);
        jobs.evict(id);
    }
    owned.listed.notify_waiters();
    gw.report_due.notify_one();
}

/// Evicts a job that another daemon owns now or that was cancelled. `stored` is its
/// record, if it could be read.
pub(super) fn ownership_lost(gw: &Gateway, owned: &Rc<OwnedJob>, stored: Option<(i64, JobRecord)>) {
    let id = &owned.job.borrow().id.clone();
    let mut jobs = gw.jobs.borrow_mut();
    if !jobs.own.get(id).is_some_and(|o| Rc::ptr_eq(o, owned)) {
        return;
    }
    jobs.evict(id);
    let Some((revision, record)) = stored else {
        warn!(target: "jobs", job:% = id; "job lost");
        return;
    };
    jobs.note_owner(id, &record);
    if record.phase == JobPhase::Cancelled {
        info!(target: "jobs", job:% = id, revision; "job ended, found in the store");
        gw.metrics.job_end("found_in_store");
        return;
    }
    warn!(target: "jobs", job:% = id, owner:% = record.owner.entry, run:% = record.owner.run, phase:? = record.phase, revision; "job lost");
    if record.owner.entry == *gw.me() && record.phase == JobPhase::Open {
        // The record names this daemon as the owner again, with more results than it
        // has in memory, so the job has to be loaded from the store.
        jobs.orphans_due.notify_one();
    }
}
