//! Reading results and bodies at any daemon.
//!
//! The owner knows best and is asked first. If it is not heard, the store
//! answers. "No such job" is said only if the store says so.

use super::archive::Archived;
use super::load::owned_job;
use super::own::OwnedJob;
use super::{confirm, load};
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
/// How much longer a read waits for results that are being written. The store
/// answers in some 4 ms; to read the job there costs two calls.
const SETTLE_LONGEST: Duration = Duration::from_millis(100);
/// When a caller should return while a job cannot be read.
const RETURN_AFTER: Duration = Duration::from_millis(300);

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
    let until = Instant::now() + wait.min(LONGEST_WAIT);
    if let Some(answer) = read_here(gw, id, after, until).await {
        return answer;
    }
    if let Some(archived) = gw.jobs.borrow().archive.get(id) {
        return page(archived.total, after, &archived.listed);
    }
    if let Some(owner) = owner_address(gw, id) {
        let wait = until.saturating_duration_since(Instant::now());
        match peer_calls::results(gw, owner, id, after, wait).await {
            Ok((StatusCode::OK, body)) => return answers::json(body),
            Ok((status, _)) => {
                info!(target: "jobs", job:% = id, status = status.as_u16(); "owner does not have it");
                notify_owner(gw, id, owner);
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

/// Notifies a daemon that the record names it a job's owner. It may have missed
/// the hand-over, and would find the job only when it looks for orphans.
pub(super) fn notify_owner(gw: &Rc<Gateway>, id: &JobId, owner: SocketAddr) {
    let (gw, id) = (gw.clone(), id.clone());
    tokio::task::spawn_local(async move {
        let Ok(Some(found)) = load::record(&gw, &id).await else {
            return;
        };
        let record = found.record;
        if record.phase == JobPhase::Open && owner_address(&gw, &id) == Some(owner) {
            let told = peer_calls::hand_over(&gw, owner, &id, Vec::new()).await;
            info!(target: "jobs", job:% = id, owner:% = record.owner.entry, told:? = told; "owner told of its job");
        }
    });
}

fn unsure(id: &JobId, e: &KvError) -> Response<Body> {
    warn!(target: "jobs", job:% = id, error:% = e; "job not readable now");
    let reason = "job not readable now";
    answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, RETURN_AFTER)
}

/// Where the owner of a job is, if it is heard.
pub(super) fn owner_address(gw: &Gateway, id: &JobId) -> Option<SocketAddr> {
    let jobs = gw.jobs.borrow();
    let owner = jobs.owners.get(id)?;
    let members = gw.members.borrow();
    let peer = members.alive_peer(&owner.entry, gw.now())?;
    (peer.run == owner.run).then_some(peer.calls)
}

/// Results of a job of ours, for a peer's caller.
pub(crate) async fn read_own(
    gw: &Rc<Gateway>,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Response<Body> {
    let until = Instant::now() + wait.min(LONGEST_WAIT);
    if let Some(answer) = read_here(gw, id, after, until).await {
        return answer;
    }
    match gw.jobs.borrow().archive.get(id) {
        Some(archived) => page(archived.total, after, &archived.listed),
        None => answers::failure(StatusCode::CONFLICT, "not the owner"),
    }
}

/// The answer to a reader, if the job is this daemon's or that is not known.
async fn read_here(
    gw: &Rc<Gateway>,
    id: &JobId,
    after: usize,
    until: Instant,
) -> Option<Response<Body>> {
    let owned = owned_job(gw, id)?;
    let read = read_owned(gw, &owned, after, until).await;
    read.unwrap_or_else(|e| Some(unsure(id, &e)))
}

/// Results of a job of ours; none if it is another daemon's now.
///
/// What is listed at a position stays, so results may be read from memory at any
/// time. That nothing is listed there may be answered only while the job is surely
/// ours: another owner may have listed more, and a reader have seen it.
async fn read_owned(
    gw: &Rc<Gateway>,
    owned: &Rc<OwnedJob>,
    after: usize,
    until: Instant,
) -> Result<Option<Response<Body>>, KvError> {
    wait_for_results(gw, owned, after, until).await;
    if owned.job.borrow().listed.len() <= after {
        let is_ours = confirm::confirm(gw, owned).await?;
        if !is_ours || owned.job.borrow().is_writing() {
            // Others may find in the store what is being written.
            return Ok(None);
        }
    }
    let job = owned.job.borrow();
    Ok(Some(page(job.items.len(), after, &job.listed)))
}

/// Waits until a position is listed, or cannot be, or `until` has come; a moment
/// longer for results that are being written.
async fn wait_for_results(gw: &Gateway, owned: &OwnedJob, after: usize, until: Instant) {
    loop {
        let listed = owned.listed.notified();
        {
            let job = owned.job.borrow();
            let is_over = !job.is_open() || gw.stopping.get() || Instant::now() >= until;
            let settles = job.is_writing() && Instant::now() < until + SETTLE_LONGEST;
            if job.listed.len() > after || (is_over && !settles) {
                return;
            }
        }
        // A timeout shows at the top of the loop.
        let until = if Instant::now() < until {
            until
        } else {
            until + SETTLE_LONGEST
        };
        let _ = timeout_at(until, listed).await;
    }
}

/// Recorded results as the store has them.
async fn from_store(gw: &Gateway, id: &JobId) -> Result<Option<Archived>, KvError> {
    let Some(found) = load::record(gw, id).await? else {
        return Ok(None);
    };
    let record = found.record;
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
    if let Some(owned) = owned_job(gw, id)
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
    let body = owned_job(gw, id).and_then(|owned| owned.job.borrow().body(item));
    match body {
        Some(body) => answers::bytes(body),
        None => answers::failure(StatusCode::CONFLICT, "not here"),
    }
}
