//! Copying the counts of items that have failed to keepers while the store does not take them.
//!
//! An item runs again once a keeper has its counts on its disk. The store gets them when it
//! answers again, from this daemon or from the one that takes the job over.

use super::own::OwnedJob;
use crate::gateway::Gateway;
use crate::peer_calls;
use bluebellreel_batch::ItemCounts;
use bluebellreel_snapshot::CountsOrder;
use bluebellreel_types::JobId;
use futures::future::join_all;
use log::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between checks for counts that the store has not taken.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long the store may take for a write before counts are copied: several times as long as
/// it usually takes.
const STORE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long counts may wait for a write before they are copied, longer than writes are delayed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of keepers that get a copy; one that has it is enough.
const COPIES: usize = 3;
/// Maximum number of jobs whose counts are copied at a time.
const MAX_JOBS: usize = 32;

/// Copies counts that the store has not taken to keepers, in an endless loop.
pub(crate) async fn copy_counts(gw: Rc<Gateway>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let due = due(&gw);
        let copies = due.into_iter().map(|(id, owned, counts)| {
            let gw = gw.clone();
            async move {
                if copy(&gw, &id, &owned, &counts).await {
                    owned.job.borrow_mut().counts_kept(&counts);
                    gw.batch_due.notify_one();
                }
            }
        });
        join_all(copies).await;
    }
}

fn due(gw: &Gateway) -> Vec<(JobId, Rc<OwnedJob>, Vec<ItemCounts>)> {
    let now = gw.now();
    let jobs = gw.jobs.borrow();
    let began = jobs.counts_write_began;
    let is_store_slow = began.is_some_and(|at| (at + STORE_TIMEOUT).is_past(now));
    let latest = if is_store_slow {
        now
    } else {
        now - WRITE_TIMEOUT
    };
    let due = jobs.own.iter().filter_map(|(id, owned)| {
        let job = owned.job.borrow();
        let counts = job.counts_to_copy(latest).filter(|_| job.may_run())?;
        Some((id.clone(), owned.clone(), counts))
    });
    due.take(MAX_JOBS).collect()
}

/// Copies the counts of a job. Returns whether a keeper has them on its disk.
async fn copy(gw: &Gateway, id: &JobId, owned: &OwnedJob, counts: &[ItemCounts]) -> bool {
    let order = CountsOrder {
        record: owned.job.borrow().revision,
        number: gw.jobs.borrow_mut().next_counts_copy(),
    };
    let Ok(body) = postcard::to_allocvec(&(order, counts)) else {
        return false;
    };
    let keepers = gw.keepers.borrow().reachable_near_first(gw.now());
    let calls = keepers.into_iter().take(COPIES).map(|to| {
        let body = body.clone();
        async move {
            let copied = peer_calls::copy_counts(gw, to, id, body).await;
            if let Err(e) = &copied {
                warn!(target: "jobs", job:% = id, to:% = to, error = e.as_str(); "failures not copied");
            }
            copied.is_ok()
        }
    });
    let copies = join_all(calls).await.into_iter().filter(|ok| *ok).count();
    if copies > 0 {
        info!(target: "jobs", job:% = id, failed = counts.len(), copies; "failures copied");
    }
    copies > 0
}

/// Decodes the counts of a job from a keeper; none if it has no copy.
pub(super) fn read_counts(id: &JobId, copy: &[u8]) -> Vec<ItemCounts> {
    if copy.is_empty() {
        return Vec::new();
    }
    let decoded = CountsOrder::take(copy).map_err(|e| e.to_string());
    let decoded =
        decoded.and_then(|(_, counts)| postcard::from_bytes(counts).map_err(|e| e.to_string()));
    decoded.unwrap_or_else(|e| {
        warn!(target: "jobs", job:% = id, error = e.as_str(); "failures not read");
        Vec::new()
    })
}
