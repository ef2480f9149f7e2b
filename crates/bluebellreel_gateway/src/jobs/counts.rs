//! Writing the counts of items that have failed to the store, before these items run again.

use super::own::OwnedJob;
use super::record::ownership_lost;
use super::stored::{key, stored_record};
use crate::gateway::Gateway;
use bluebellreel_batch::{CountsWrite, JobPhase, encode_counts, keys};
use bluebellreel_kv::{Commit, Compare, Key, KeyValue, Put, Txn};
use bluebellreel_types::JobId;
use log::{info, warn};
use std::ops::Bound;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long counts are collected before they are written together. Items that fail because
/// of their workers often fail together.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(5);
/// Limit on this delay, which doubles with each write while there are always counts to write:
/// the daemons share the number of writes that the store takes, and many may meet failures at
/// once.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(320);
/// Time without counts to write after which the delay is the shortest again.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// Interval between checks for counts to write when nothing wakes the task.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of jobs in one write, with three entries each: the store takes 32.
const JOBS_PER_WRITE: usize = 10;
/// How long a write is retried before what is to be written is looked up again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Counts of one job to write, with the revision of its record and the key of the counts.
struct Due {
    id: JobId,
    owned: Rc<OwnedJob>,
    record: i64,
    key: Key,
    write: CountsWrite,
}

/// Writes the counts of items that have failed to the store, in an endless loop.
pub(crate) async fn store_counts(gw: Rc<Gateway>) {
    let due = gw.jobs.borrow().counts_due.clone();
    let mut last = None;
    let mut max_jobs = JOBS_PER_WRITE;
    let mut delay = MIN_BATCH_DELAY;
    let mut written_at = Instant::now();
    loop {
        // A timeout triggers the next periodic check.
        let _ = timeout(POLL_INTERVAL, due.notified()).await;
        if written_at.elapsed() > QUIET_TIME {
            delay = MIN_BATCH_DELAY;
        }
        loop {
            sleep(delay).await;
            let due = next_due(&gw, last.as_ref(), max_jobs);
            let Some(newest) = due.last() else {
                last = None;
                break;
            };
            last = Some(newest.id.clone());
            delay = MAX_BATCH_DELAY.min(delay * 2);
            gw.jobs
                .borrow_mut()
                .counts_write_began
                .get_or_insert(gw.now());
            let is_decided = write(&gw, &due).await;
            written_at = Instant::now();
            if is_decided {
                max_jobs = JOBS_PER_WRITE;
                gw.jobs.borrow_mut().counts_write_began = None;
                gw.batch_due.notify_one();
            } else {
                // One job whose counts the store does not take must not hold up the others.
                max_jobs = 1;
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Counts to write next, of the jobs behind `last` first.
fn next_due(gw: &Gateway, last: Option<&JobId>, max_jobs: usize) -> Vec<Due> {
    let jobs = gw.jobs.borrow();
    let behind = match last {
        Some(last) => jobs.own.range((Bound::Excluded(last), Bound::Unbounded)),
        None => jobs.own.range::<JobId, _>(..),
    };
    let due = behind.filter_map(|(id, owned)| due_of(id, owned));
    let due: Vec<Due> = due.take(max_jobs).collect();
    if due.is_empty() && last.is_some() {
        drop(jobs);
        return next_due(gw, None, max_jobs);
    }
    due
}

fn due_of(id: &JobId, owned: &Rc<OwnedJob>) -> Option<Due> {
    let mut job = owned.job.borrow_mut();
    // The results of a job whose items have all ended are written without delay.
    if !job.may_run() || job.has_ended() {
        return None;
    }
    let write = job.counts_to_write()?;
    Some(Due {
        id: id.clone(),
        owned: owned.clone(),
        record: job.revision,
        key: key(&keys::counts(id, write.chunk)),
        write,
    })
}

impl Due {
    fn record_key(&self) -> Key {
        key(&keys::record(&self.id))
    }

    fn compares(&self) -> [Compare; 2] {
        let counts = match self.write.revision {
            Some(revision) => Compare::Unchanged(self.key.clone(), revision),
            None => Compare::Absent(self.key.clone()),
        };
        [Compare::Unchanged(self.record_key(), self.record), counts]
    }

    fn value(&self) -> Vec<u8> {
        encode_counts(&self.write.counts)
    }

    fn stored(&self, revision: i64) {
        info!(target: "jobs", job:% = self.id, failed = self.write.counts.len(), revision; "failures recorded");
        let mut job = self.owned.job.borrow_mut();
        job.counts_stored(&self.write, revision);
    }
}

/// Writes the counts of several jobs. Returns whether the store has decided on the write.
async fn write(gw: &Rc<Gateway>, due: &[Due]) -> bool {
    let txn = Txn {
        compares: due.iter().flat_map(Due::compares).collect(),
        puts: due
            .iter()
            .map(|due| Put::lasting(due.key.clone(), due.value()))
            .collect(),
        ..Txn::default()
    };
    let asked = gw.stamp();
    match gw.store.commit(&txn, Instant::now() + COMMIT_TIMEOUT).await {
        Commit::Applied { revision } => {
            for due in due {
                due.owned.confirmed(asked, &gw.start_terms);
                due.stored(revision);
            }
            true
        }
        Commit::Beaten(found) => {
            for due in due {
                compare_with(gw, due, &found);
            }
            true
        }
        Commit::NotDone(reason) | Commit::Unknown(reason) => {
            warn!(target: "jobs", jobs = due.len(), reason = reason.as_str(); "failures not recorded yet");
            false
        }
    }
}

/// Takes over what the store holds of a job after a write of several jobs was refused.
fn compare_with(gw: &Gateway, due: &Due, found: &[KeyValue]) {
    let counts = found.iter().find(|kv| kv.key == due.key);
    match counts {
        // An attempt whose response was lost may have been applied.
        Some(kv) if kv.value == due.value() => due.stored(kv.revision),
        _ => {
            let mut job = due.owned.job.borrow_mut();
            job.counts_found(due.write.chunk, counts.map(|kv| kv.revision));
        }
    }
    let stored = stored_record(found, &due.record_key());
    let is_ours = stored.as_ref().is_some_and(|(at, record)| {
        // The response to the write that completed the job may be in flight.
        let is_done_here = record.phase == JobPhase::Done && record.owner.run == gw.run;
        *at == due.record || is_done_here
    });
    if !is_ours {
        ownership_lost(gw, &due.owned, stored);
    }
}
