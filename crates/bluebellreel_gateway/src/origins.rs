//! The versions that began callers' streams.
//!
//! Unless a single version of a service has been listed for long enough, the version that
//! begins a stream is recorded before its first event is passed on: at the keeper of this
//! data centre, whose disk survives if every process is killed, and at another one, which
//! survives the loss of that VM. Peers take the place of keepers that are missing. Whoever
//! resumes a stream asks all keepers and those peers.

use crate::answers;
use crate::gateway::Gateway;
use crate::keepers::first_visit;
use crate::peer_calls::{self, KnownOrigin};
use crate::request::{Binding, Request};
use crate::workers::version_text;
use bluebellreel_dispatch::RouteKind;
use bluebellreel_net::Body;
use bluebellreel_origins::{Origin, StreamTag};
use bluebellreel_platform::ingress;
use bluebellreel_types::{Moment, WorkerVersion};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Response, StatusCode};
use log::{info, warn};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Number of other daemons at which a stream is recorded.
const HOLDERS: usize = 2;
/// How long the first event of a stream waits until the stream is recorded. Holders answer
/// from memory within milliseconds.
const RECORD_TIMEOUT: Duration = Duration::from_millis(60);
/// Limit on a question for the version that began a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a daemon that has just started waits for a keeper's first visit before it asks
/// for the version of a stream.
const FIRST_VISIT_TIMEOUT: Duration = Duration::from_millis(300);
/// `Retry-After` if the version of a stream may be known soon: keepers restart within a
/// second, and a worker that this daemon does not list yet is listed within half a second.
const RETRY_SOON: Duration = Duration::from_millis(400);
/// Minimum time for which a caller may resume its stream.
const MIN_LIFETIME: Duration = Duration::from_secs(10);

/// Records which version began a stream, unless a single one can have. Completes once
/// another daemon has the record, or after [`RECORD_TIMEOUT`].
pub(crate) async fn record(gw: &Rc<Gateway>, req: &Request) {
    let Binding::Version(version) = &req.binding else {
        return;
    };
    let lifetime = lifetime(req);
    if !req.route.resumable || is_certain(gw, req, lifetime) {
        return;
    }
    let origin = Origin {
        stream: tag(req),
        version: version.clone(),
        keep_for: lifetime,
    };
    keep(gw, &origin);
    let mut sent: FuturesUnordered<_> = holders(gw, origin.stream)
        .into_iter()
        .map(|to| {
            let (gw, origin) = (gw.clone(), origin.clone());
            tokio::task::spawn_local(async move { send(&gw, to, &origin).await })
        })
        .collect();
    let one_has_it = async {
        while let Some(sent) = sent.next().await {
            if sent.unwrap_or(false) {
                return true;
            }
        }
        false
    };
    let outcome = match timeout(RECORD_TIMEOUT, one_has_it).await {
        Ok(true) => "recorded",
        Ok(false) => "not_recorded",
        Err(_) => "late",
    };
    gw.metrics.origin(outcome);
    if outcome != "recorded" {
        warn!(target: "online", request:% = req.id, worker_version:% = version, outcome; "version of a stream not recorded in time");
    }
}

async fn send(gw: &Gateway, to: SocketAddr, origin: &Origin) -> bool {
    let sent = peer_calls::record_origin(gw, to, origin).await;
    if sent.is_err() {
        gw.keepers.borrow_mut().mark_unreachable(to);
    }
    sent.is_ok()
}

/// The daemons at which a stream is recorded: a keeper of this data centre and another one;
/// peers if there are fewer keepers.
fn holders(gw: &Gateway, stream: StreamTag) -> Vec<SocketAddr> {
    let (near, mut others) = {
        let keepers = gw.keepers.borrow();
        let near = keepers.near(gw.now());
        (near, keepers.reachable(gw.now()))
    };
    others.retain(|at| Some(*at) != near);
    others.sort_by_key(|at| stream.rank(&at.to_string()));
    let keepers = near.into_iter().chain(others);
    keepers
        .chain(ranked_peers(gw, stream))
        .take(HOLDERS)
        .collect()
}

/// The peers that hold a stream's record if there are not enough keepers.
fn ranked_peers(gw: &Gateway, stream: StreamTag) -> Vec<SocketAddr> {
    let members = gw.members.borrow();
    let alive = members.alive_peers(gw.now()).filter(|(_, p)| !p.stopping);
    let mut ranked: Vec<(u64, SocketAddr)> = alive
        .map(|(name, peer)| (stream.rank(name.as_str()), peer.calls))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().take(HOLDERS).map(|(_, at)| at).collect()
}

/// Keeps a record, of this daemon's own or for a peer.
pub(crate) fn keep(gw: &Gateway, origin: &Origin) {
    let expires_at = gw.now() + origin.keep_for;
    let mut records = gw.origins.borrow_mut();
    records.keep(origin.stream, &origin.version, expires_at);
}

/// The version of a stream that this daemon has a record of.
pub(crate) fn recorded(gw: &Gateway, stream: StreamTag) -> Option<WorkerVersion> {
    gw.origins.borrow().get(stream, gw.now()).cloned()
}

/// Why a caller's stream cannot be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// No worker of the version that began the stream is listed.
    NoWorker,
    /// The version that began the stream is not known any more.
    Unknown,
    /// Daemons that may know the version did not answer.
    Undecided,
}

impl Refusal {
    fn outcome(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::Unknown => "version_unknown",
            Self::Undecided => "undecided",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::NoWorker => "no worker of the version that began the stream",
            Self::Unknown => "version that began the stream not known",
            Self::Undecided => "version that began the stream not known yet",
        }
    }
}

/// Binds a request by which a caller resumes a stream to the version that began it.
///
/// # Errors
///
/// Returns the answer to the caller if the stream cannot go on.
pub(crate) async fn bind(gw: &Rc<Gateway>, req: &mut Request) -> Result<(), Response<Body>> {
    let resumes = ingress::last_event_id(&req.out.headers).is_some();
    if !resumes || req.route.kind != RouteKind::Stream {
        return Ok(());
    }
    let found = match origin_of(gw, req).await {
        Ok(found) => found,
        Err(refusal) => return Err(refuse(gw, req, refusal, None)),
    };
    let began = ingress::resumed_attempt(&req.out.headers);
    let FoundOrigin {
        version,
        source,
        asked,
    } = found;
    info!(target: "online", request:% = req.id, resumes = began, worker_version:% = version, source, asked; "version of a stream found");
    if !gw.board.borrow().has_ready_version(&req.service, &version) {
        return Err(refuse(gw, req, Refusal::NoWorker, Some(&version)));
    }
    gw.metrics.resumption("caller", "same_version");
    req.binding = Binding::Version(version);
    Ok(())
}

/// The version that began a stream of which nobody has a record, by this daemon's history.
pub(crate) fn inferred(gw: &Gateway, service: &str, within: Duration) -> Option<WorkerVersion> {
    let versions = gw.versions.borrow();
    versions.unrecorded(service, gw.now() - within).cloned()
}

/// The version that began a stream, and how it was found.
struct FoundOrigin {
    version: WorkerVersion,
    /// `recorded`, or whose history names it.
    source: &'static str,
    /// Number of keepers and peers that were asked for a record.
    asked: usize,
}

/// The version that began the stream that a request resumes.
async fn origin_of(gw: &Rc<Gateway>, req: &Request) -> Result<FoundOrigin, Refusal> {
    let lifetime = lifetime(req);
    let own = inferred(gw, &req.service, lifetime);
    let (lookup, asked) = look_up(gw, req, lifetime).await;
    let (version, source) = match lookup {
        Lookup::Found(version) => (Some(version), "recorded"),
        Lookup::NotRecorded(inferred) if own.is_none() => (inferred, "history_of_others"),
        Lookup::NotRecorded(_) => (own, "own_history"),
        Lookup::OneSilent if is_certain(gw, req, lifetime) => (own, "own_history"),
        Lookup::OneSilent | Lookup::Incomplete => return Err(Refusal::Undecided),
    };
    let version = version.ok_or(Refusal::Unknown)?;
    Ok(FoundOrigin {
        version,
        source,
        asked,
    })
}

/// The outcome of the questions for a stream's record.
enum Lookup {
    Found(WorkerVersion),
    /// All who may have a record answered that they have none. Those whose history reaches
    /// back far enough name this version.
    NotRecorded(Option<WorkerVersion>),
    /// One keeper did not answer, and the others have no record. Records are at two.
    OneSilent,
    /// More did not answer.
    Incomplete,
}

/// Asks for a stream's record. Returns what came of it, and how many were asked.
async fn look_up(gw: &Rc<Gateway>, req: &Request, lifetime: Duration) -> (Lookup, usize) {
    let stream = tag(req);
    if let Some(version) = recorded(gw, stream) {
        return (Lookup::Found(version), 0);
    }
    first_visit(gw, gw.started + FIRST_VISIT_TIMEOUT).await;
    let keepers = gw.keepers.borrow().all(gw.now());
    let peers = ranked_peers(gw, stream);
    if keepers.is_empty() && peers.is_empty() && !gw.has_joined() {
        return (Lookup::Incomplete, 0);
    }
    let asked = keepers.len() + peers.len();
    let ask = async |to| {
        let asked = peer_calls::origin(gw, to, stream, &req.service, lifetime);
        (to, asked.await)
    };
    let all = keepers.iter().chain(&peers);
    let mut answers: FuturesUnordered<_> = all.map(|to| ask(*to)).collect();
    let deadline = Instant::now() + LOOKUP_TIMEOUT;
    // The records of a peer that does not answer are lost if it was killed; a keeper has
    // them on its disk.
    let mut silent_keepers = keepers.len();
    let mut inferred: BTreeSet<WorkerVersion> = BTreeSet::new();
    while let Ok(Some((at, answer))) = timeout_at(deadline, answers.next()).await {
        if answer.is_ok() && keepers.contains(&at) {
            silent_keepers -= 1;
        }
        match answer {
            Ok(KnownOrigin::Recorded(version)) => return (Lookup::Found(version), asked),
            Ok(KnownOrigin::Inferred(version)) => {
                inferred.insert(version);
            }
            Ok(KnownOrigin::Nothing) | Err(_) => {}
        }
    }
    match silent_keepers {
        0 => {}
        1 => return (Lookup::OneSilent, asked),
        _ => return (Lookup::Incomplete, asked),
    }
    let agreed = (inferred.len() == 1).then(|| inferred.pop_first());
    (Lookup::NotRecorded(agreed.flatten()), asked)
}

fn refuse(
    gw: &Gateway,
    req: &Request,
    refusal: Refusal,
    version: Option<&WorkerVersion>,
) -> Response<Body> {
    let after = match refusal {
        // The caller's other attempts would end the same way.
        Refusal::Unknown => req.left(),
        Refusal::NoWorker | Refusal::Undecided => RETRY_SOON,
    };
    let resumes = ingress::resumed_attempt(&req.out.headers);
    let last_id = ingress::last_event_id(&req.out.headers);
    gw.metrics.resumption("caller", refusal.outcome());
    gw.metrics.request("refused");
    info!(target: "online", request:% = req.id, resumes, last_id, worker_version = version_text(version), reason = refusal.reason(); "stream not resumed");
    let code = StatusCode::SERVICE_UNAVAILABLE;
    let mut answer = answers::retry_after(code, refusal.reason(), after);
    ingress::set_request_id(answer.headers_mut(), &req.id);
    answer
}

/// The tag of the request's stream: that of the attempt that brought its first event. There
/// is no record of a stream whose caller does not name that attempt.
fn tag(req: &Request) -> StreamTag {
    let began = ingress::resumed_attempt(&req.out.headers);
    StreamTag::of(began.unwrap_or(&req.id))
}

/// How long callers may resume a stream: for the rest of its attempt, and in one more.
fn lifetime(req: &Request) -> Duration {
    (req.route.timeout * 2).max(MIN_LIFETIME)
}

/// Whether a single version of the service can have begun a stream that callers may still
/// resume.
fn is_certain(gw: &Gateway, req: &Request, lifetime: Duration) -> bool {
    let since: Moment = gw.now() - lifetime;
    gw.versions.borrow().is_certain(&req.service, since)
}
