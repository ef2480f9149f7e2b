//! Telling the heir of each job how far its items are.
//!
//! An owner that dies takes what its items have generated with it. At
//! ceol-rental a third of all slots run items of five seconds each, so each
//! death threw away some thirty seconds of engine time. Copies are full, not
//! differences: one that is lost is made up for by the next.

use crate::gateway::Gateway;
use crate::peer_calls;
use bluebellreel_batch::ItemProgress;
use bluebellreel_types::JobId;
use log::warn;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between copies. An item of 190 events lasts some five seconds; copied
/// this often, each of its events is sent about twice.
const PAUSE: Duration = Duration::from_millis(1500);
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
        let events = items.iter().map(|i| i.events).sum();
        let before = copied.insert(id.clone(), events);
        if events > 0 && before != Some(events) {
            due.push((id.clone(), items));
        }
    }
    due
}

async fn copy(gw: &Rc<Gateway>, id: &JobId, items: &[ItemProgress]) {
    let found = {
        let members = gw.members.borrow();
        let heir = members.heir(id, None, gw.now());
        heir.and_then(|h| Some((members.alive(&h, gw.now())?.calls, h)))
    };
    let Some((calls, heir)) = found else {
        return;
    };
    let body = match postcard::to_allocvec(items) {
        Ok(body) => body,
        Err(e) => {
            warn!(target: "jobs", job:% = id, error:% = e; "progress not copied");
            return;
        }
    };
    if let Err(e) = peer_calls::copy_progress(gw, calls, id, body).await {
        warn!(target: "jobs", job:% = id, peer:% = heir, error = e.as_str(); "progress not copied");
    }
}

/// Keeps how far the items of a peer's job are.
pub(crate) fn keep_copy(gw: &Gateway, id: JobId, progress: &[u8]) {
    let items = super::hand_over::read_progress(&id, progress);
    let until = gw.now() + KEPT;
    gw.jobs.borrow_mut().copies.keep(id, items, until);
}
