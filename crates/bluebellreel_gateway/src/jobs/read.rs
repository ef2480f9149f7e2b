//! Reading results and item bodies through any daemon.
//!
//! The owner of a job has the newest results and is called first. If the owner is not
//! reachable, the answer comes from the store. "No such job" is answered only if the
//! store has no record of the job.

use super::archive::Archived;
use super::load::owned_job;
use super::own::OwnedJob;
use super::{confirm, load};
use crate::gateway::Gateway;
use crate::{answers, peer_calls};
use bluebellreel_batch::{ItemResult, JobPhase};
use bluebellreel_kv::KvError;
use bluebellreel_net::Body;
use bluebellreel_platform::jobs::{encode_page, encode_results};
use bluebellreel_teams::Caller;
use bluebellreel_types::JobId;
use http::{Response, StatusCode};
use log::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Limit on the time that a read waits for a result.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// How much longer a read waits for results that are being written. The store responds
/// in about 4 ms, and reading the job from the store instead would cost two calls.
const MAX_SETTLE: Duration = Duration::from_millis(100);
/// Sent to a caller while a job cannot be read: time to wait before it retries.
const RETRY_AFTER: Duration = Duration::from_millis(300);

fn page(total: usize, after: usize, listed: &[ItemResult]) -> Response<Body> {
    answers::json(encode_results(total, after, listed))
}

/// Answers a caller with results of a job, whichever daemon owns it.
pub(super) async fn read(
    gw: &Rc<Gateway>,
    caller: &Caller,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Response<Body> {
    let until = Instant::now() + wait.min(MAX_WAIT);
    if let Some(answer) = read_here(gw, caller, id, after, until).await {
        return answer;
    }
    if let Some(archived) = gw.jobs.borrow().archive.get(id) {
        return archived_page(caller, &archived, after);
    }
    if let Some(owner) = owner_address(gw, id) {
        let wait = if gw.stopping.get() {
            // The wait could outlast this process.
            Duration::ZERO
        } else {
            until.saturating_duration_since(Instant::now())
        };
        match peer_calls::results(gw, owner, caller, id, after, wait).await {
            Ok((StatusCode::OK, body)) => return answers::json(body),
            Ok((StatusCode::FORBIDDEN, _)) => return no_such_job(),
            Ok((status, _)) => {
                info!(target: "jobs", job:% = id, status = status.as_u16(); "owner does not have the job");
                notify_owner(gw, id, owner);
            }
            Err(e) => warn!(target: "jobs", job:% = id, error:% = e; "owner not reached"),
        }
    }
    match from_store(gw, caller, id, after).await {
        Ok(Some(answer)) => answer,
        Ok(None) => no_such_job(),
        Err(e) => not_readable(id, &e),
    }
}

/// The answer to a caller whose job does not exist, or belongs to another team.
pub(super) fn no_such_job() -> Response<Body> {
    answers::failure(StatusCode::NOT_FOUND, "no such job")
}

/// The answer to a peer that asks for another team's job.
fn other_team() -> Response<Body> {
    answers::failure(StatusCode::FORBIDDEN, "another team's job")
}

fn archived_page(caller: &Caller, archived: &Archived, after: usize) -> Response<Body> {
    if !caller.may_access(archived.team.as_deref()) {
        return no_such_job();
    }
    page(archived.total, after, &archived.listed)
}

/// Whether the caller may access a job that this daemon owns.
pub(super) fn may_access(caller: &Caller, owned: &OwnedJob) -> bool {
    caller.may_access(owned.job.borrow().record.team.as_deref())
}

/// Notifies a daemon that a job's record names it as the owner. It may have missed
/// the hand-over, and would otherwise find the job only with its next scan for jobs
/// without an owner.
pub(super) fn notify_owner(gw: &Rc<Gateway>, id: &JobId, owner: SocketAddr) {
    let (gw, id) = (gw.clone(), id.clone());
    tokio::task::spawn_local(async move {
        let Ok(Some(found)) = load::record(&gw, &id).await else {
            return;
        };
        let record = found.record;
        if record.phase == JobPhase::Open && owner_address(&gw, &id) == Some(owner) {
            let notified = peer_calls::hand_over(&gw, owner, &id, Vec::new()).await;
            info!(target: "jobs", job:% = id, owner:% = record.owner.entry, told:? = notified; "owner notified of its job");
        }
    });
}

fn not_readable(id: &JobId, e: &KvError) -> Response<Body> {
    warn!(target: "jobs", job:% = id, error:% = e; "job not readable now");
    let reason = "job not readable now";
    answers::retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, RETRY_AFTER)
}

/// Address of a job's owner, if the owner is known and alive.
pub(super) fn owner_address(gw: &Gateway, id: &JobId) -> Option<SocketAddr> {
    let jobs = gw.jobs.borrow();
    let owner = jobs.owners.get(id)?;
    let members = gw.members.borrow();
    let peer = members.alive_peer(&owner.entry, gw.now())?;
    (peer.run == owner.run).then_some(peer.calls)
}

/// Results of a job owned by this daemon, for a caller of a peer.
pub(crate) async fn read_own(
    gw: &Rc<Gateway>,
    caller: &Caller,
    id: &JobId,
    after: usize,
    wait: Duration,
) -> Response<Body> {
    let until = Instant::now() + wait.min(MAX_WAIT);
    if owned_job(gw, id).is_some_and(|owned| !may_access(caller, &owned)) {
        return other_team();
    }
    if let Some(answer) = read_here(gw, caller, id, after, until).await {
        return answer;
    }
    match gw.jobs.borrow().archive.get(id) {
        Some(archived) if !caller.may_access(archived.team.as_deref()) => other_team(),
        Some(archived) => page(archived.total, after, &archived.listed),
        None => answers::failure(StatusCode::CONFLICT, "not the owner"),
    }
}

/// The answer to a reader if this daemon owns the job, or an error response if the
/// ownership cannot be confirmed. `None` if another daemon owns it.
async fn read_here(
    gw: &Rc<Gateway>,
    caller: &Caller,
    id: &JobId,
    after: usize,
    until: Instant,
) -> Option<Response<Body>> {
    let owned = owned_job(gw, id)?;
    if !may_access(caller, &owned) {
        return Some(no_such_job());
    }
    let read = read_owned(gw, &owned, after, until).await;
    read.unwrap_or_else(|e| Some(not_readable(id, &e)))
}

/// Results of a job owned by this daemon; `None` if another daemon owns it now.
///
/// A result never changes once it is listed at a position, so listed results may be
/// read from memory at any time. "Nothing is listed here" may be answered only while
/// this daemon certainly owns the job: another owner may have listed more, and a
/// reader may have seen it.
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
            // Other readers may already find the results being written in the store.
            return Ok(None);
        }
    }
    let job = owned.job.borrow();
    Ok(Some(page(job.items.len(), after, &job.listed)))
}

/// Waits until a result is listed at position `after`, no result can follow, or until
/// `until`. For results that are being written it waits up to [`MAX_SETTLE`] longer.
async fn wait_for_results(gw: &Gateway, owned: &OwnedJob, after: usize, until: Instant) {
    loop {
        let listed = owned.listed.notified();
        {
            let job = owned.job.borrow();
            let is_over = !job.may_run() || gw.stopping.get() || Instant::now() >= until;
            let settles = job.is_writing() && Instant::now() < until + MAX_SETTLE;
            if job.listed.len() > after || (is_over && !settles) {
                return;
            }
        }
        // A timeout is handled at the top of the loop.
        let until = if Instant::now() < until {
            until
        } else {
            until + MAX_SETTLE
        };
        let _ = timeout_at(until, listed).await;
    }
}

/// The answer to a reader of a job with results that are read from the store.
async fn from_store(
    gw: &Gateway,
    caller: &Caller,
    id: &JobId,
    after: usize,
) -> Result<Option<Response<Body>>, KvError> {
    let found = load::record(gw, id).await?;
    let Some(found) = found.filter(|found| caller.may_access(found.record.team.as_deref())) else {
        return Ok(None);
    };
    let record = found.record;
    let limit = gw.jobs.borrow().archive.limit();
    let hold = gw.callers.take(0);
    let listed = load::results(gw, id, after, limit, &hold).await?;
    let rest = listed.results.get(after.saturating_sub(listed.skipped)..);
    let answer = answers::json(encode_page(record.items, after, rest.unwrap_or_default()));
    if record.phase == JobPhase::Done && listed.is_whole {
        let archived = Archived {
            total: record.items,
            team: record.team,
            listed: listed.results,
        };
        gw.jobs.borrow_mut().archive.add(id.clone(), archived);
    }
    Ok(Some(answer))
}

/// Answers a caller with the body of an item, whichever daemon owns its job.
pub(super) async fn item_body(
    gw: &Rc<Gateway>,
    caller: &Caller,
    id: &JobId,
    item: &str,
) -> Response<Body> {
    if let Some(owned) = owned_job(gw, id)
        && let Some(body) = owned.job.borrow().body(item)
    {
        if !may_access(caller, &owned) {
            return no_such_job();
        }
        return answers::bytes(body);
    }
    if let Some(owner) = owner_address(gw, id) {
        match peer_calls::item_body(gw, owner, caller, id, item).await {
            Ok((StatusCode::OK, body)) => return answers::bytes(body),
            Ok((StatusCode::FORBIDDEN, _)) => return no_such_job(),
            _ => {}
        }
    }
    match body_from_store(gw, caller, id, item).await {
        Ok(Some(body)) => answers::bytes(body),
        Ok(None) => answers::failure(StatusCode::NOT_FOUND, "no such item"),
        Err(e) => not_readable(id, &e),
    }
}

async fn body_from_store(
    gw: &Gateway,
    caller: &Caller,
    id: &JobId,
    item: &str,
) -> Result<Option<bytes::Bytes>, KvError> {
    let found = load::record(gw, id).await?;
    let Some(found) = found.filter(|found| caller.may_access(found.record.team.as_deref())) else {
        return Ok(None);
    };
    // One chunk at a time is in memory.
    for chunk in 0..found.record.chunks {
        let items = load::chunk(gw, id, chunk).await?;
        if let Some(found) = items.into_iter().find(|i| &*i.id == item) {
            return Ok(Some(found.body));
        }
    }
    Ok(None)
}

/// Body of an item of a job owned by this daemon, for a caller of a peer.
pub(crate) fn body_of_own(gw: &Gateway, caller: &Caller, id: &JobId, item: &str) -> Response<Body> {
    let owned = owned_job(gw, id);
    if owned
        .as_ref()
        .is_some_and(|owned| !may_access(caller, owned))
    {
        return other_team();
    }
    let body = owned.and_then(|owned| owned.job.borrow().body(item));
    match body {
        Some(body) => answers::bytes(body),
        None => answers::failure(StatusCode::CONFLICT, "not here"),
    }
}
