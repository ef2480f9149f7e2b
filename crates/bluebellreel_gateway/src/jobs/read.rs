//! Reading results and bodies at any daemon.
//!
//! The owner knows best and is asked first. If it is not heard, the store
//! answers. "No such job" is said only on the store's word.

use super::archive::Archived;
use super::load;
use super::own::OwnedJob;
use crate::gateway::Gateway;
use crate::{answers, peer_calls};
use bluebellreel_batch::{ItemResult, JobPhase};
use bluebellreel_kv::KvError;
use bluebellreel_net::Body;
use bluebellreel_platform::jobs::encode_results;
use bluebellreel_types::JobId;
use http::{Response, StatusCode};
use log::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Longest that a read waits for a result.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// When a caller should return while a job cannot be read.
const RETURN_AFTER: Duration = Duration::from_millis(300);
/// Time without a good call to the store after which ownership is only
/// believed: another daemon may have taken the jobs over meanwhile.
const BELIEVED: Duration = Duration::from_millis(2500);

fn page(total: usize, after: usize, listed: &[ItemResult]) -> Response<Body> {
    answers::json(encode_results(total, after, listed))
}

/// Results of a job, wherever it is.
pub(super) async fn read(
    gw: &Rc<Gateway>,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Response<Body> {
    let wait = wait.min(LONGEST_WAIT);
    if let Some(owned) = owned(gw, id) {
        return read_owned(gw, &owned, after, wait).await;
    }
    if let Some(archived) = gw.jobs.borrow().archive.get(id) {
        return page(archived.total, after, &archived.listed);
    }
    if let Some(owner) = owner_address(gw, id) {
        match peer_calls::results(gw, owner, id, after, wait).await {
            Ok((StatusCode::OK, body)) => return answers::json(body),
            Ok((status, _)) => {
                info!(target: "jobs", job:% = id, status = status.as_u16(); "owner does not have it");
                tell_owner(gw, id, owner);
            }
            Err(e) => warn!(target: "jobs", job:% = id, error:% = e; "owner not reached"),
        }
    }
    match from_store(gw, id).await {
        Ok(Some(archived)) => page(archived.total, after, &archived.listed),
        Ok(None) => answers::failure(StatusCode::NOT_FOUND, "no such job"),
        Err(e) => unsure(id, &e),
    }
}

/// Tells a daemon that the record names it a job's owner. It may have missed
/// the hand-over, and would find the job only when it looks for orphans.
fn tell_owner(gw: &Rc<Gateway>, id: &JobId, owner: SocketAddr) {
    let (gw, id) = (gw.clone(), id.clone());
    tokio::task::spawn_local(async move {
        let Ok(Some((_, record))) = load::record(&gw, &id).await else {
            return;
        };
        if record.phase == JobPhase::Open && owner_address(&gw, &id) == Some(owner) {
            let told = peer_calls::hand_over(&gw, owner, &id, Vec::new()).await;
            info!(target: "jobs", job:% = id, owner:% = record.owner.entry, told:? = told; "owner told of its job");
        }
    });
}

fn unsure(id: &JobId, e: &KvError) -> Response<Body> {
    warn!(target: "jobs", job:% = id, error:% = e; "job not readable now");
    let reason = "job not readable now";
    answers::come_back(StatusCode::SERVICE_UNAVAILABLE, reason, RETURN_AFTER)
}

fn owned(gw: &Gateway, id: &JobId) -> Option<Rc<OwnedJob>> {
    if !gw.store.has_answered_within(BELIEVED) {
        return None;
    }
    gw.jobs.borrow().own.get(id).cloned()
}

/// Where the owner of a job is, if it is heard.
pub(super) fn owner_address(gw: &Gateway, id: &JobId) -> Option<SocketAddr> {
    let jobs = gw.jobs.borrow();
    let owner = jobs.owners.get(id)?;
    let members = gw.members.borrow();
    let peer = members.alive(&owner.entry, gw.now())?;
    (peer.run == owner.run).then_some(peer.calls)
}

/// Results of a job of ours, for a peer's caller.
pub(crate) async fn read_own(
    gw: &Rc<Gateway>,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Response<Body> {
    if let Some(owned) = owned(gw, id) {
        return read_owned(gw, &owned, after, wait).await;
    }
    match gw.jobs.borrow().archive.get(id) {
        Some(archived) => page(archived.total, after, &archived.listed),
        None => answers::failure(StatusCode::CONFLICT, "not the owner"),
    }
}

async fn read_owned(
    gw: &Gateway,
    owned: &Rc<OwnedJob>,
    after: usize,
    wait: Duration,
) -> Response<Body> {
    let until = Instant::now() + wait;
    loop {
        let listed = owned.listed.notified();
        {
            let job = owned.job.borrow();
            let waits = job.is_open() && job.listed.len() <= after && !gw.stopping.get();
            if !waits || Instant::now() >= until {
                return page(job.items.len(), after, &job.listed);
            }
        }
        // A timeout shows at the top of the loop.
        let _ = timeout_at(until, listed).await;
    }
}

/// Recorded results as the store has them.
async fn from_store(gw: &Gateway, id: &JobId) -> Result<Option<Archived>, KvError> {
    let Some((_, record)) = load::record(gw, id).await? else {
        return Ok(None);
    };
    let segments = load::segments(gw, id).await?;
    let archived = || Archived {
        total: record.items,
        listed: segments.concat(),
    };
    if record.phase == JobPhase::Done {
        gw.jobs.borrow_mut().archive.add(id.clone(), archived());
    }
    Ok(Some(archived()))
}

/// Body of an item, wherever its job is.
pub(super) async fn item_body(gw: &Rc<Gateway>, id: &JobId, item: &str) -> Response<Body> {
    if let Some(owned) = owned(gw, id)
        && let Some(body) = owned.job.borrow().body(item)
    {
        return answers::bytes(body);
    }
    if let Some(owner) = owner_address(gw, id)
        && let Ok((StatusCode::OK, body)) = peer_calls::item_body(gw, owner, id, item).await
    {
        return answers::bytes(body);
    }
    match body_from_store(gw, id, item).await {
        Ok(Some(body)) => answers::bytes(body),
        Ok(None) => answers::failure(StatusCode::NOT_FOUND, "no such item"),
        Err(e) => unsure(id, &e),
    }
}

async fn body_from_store(
    gw: &Gateway,
    id: &JobId,
    item: &str,
) -> Result<Option<bytes::Bytes>, KvError> {
    if load::record(gw, id).await?.is_none() {
        return Ok(None);
    }
    let items = load::input(gw, id).await?;
    let found = items.into_iter().find(|i| &*i.id == item);
    Ok(found.map(|i| i.body))
}

/// Body of an item of a job of ours, for a peer's caller.
pub(crate) fn body_of_own(gw: &Gateway, id: &JobId, item: &str) -> Response<Body> {
    let body = owned(gw, id).and_then(|owned| owned.job.borrow().body(item));
    match body {
        Some(body) => answers::bytes(body),
        None => answers::failure(StatusCode::CONFLICT, "not here"),
    }
}
