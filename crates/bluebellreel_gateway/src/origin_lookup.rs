//! Finds the version that began a stream which its caller resumes.
//!
//! A record counts wherever it is found. Its absence says something only if every keeper that
//! may have it has answered: the stream is then of the version that was listed alone when it
//! may have begun. Keepers and peers name the keepers that they know, as a gateway which has
//! just started does not know them all.

use crate::answers;
use crate::gateway::Gateway;
use crate::keepers::{FIRST_VISIT_TIMEOUT, first_visit};
use crate::millis::millis;
use crate::origins::{inferred, is_certain, lifetime, ranked_peers, recorded, tag};
use crate::peer_calls::{self, KnownOrigin};
use crate::request::{Binding, Request};
use crate::workers::version_text;
use bluebellreel_dispatch::RouteKind;
use bluebellreel_net::Body;
use bluebellreel_platform::ingress;
use bluebellreel_types::WorkerVersion;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::{Response, StatusCode};
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Limit on a question for the version that began a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(250);
/// `Retry-After` if the version of a stream may be known soon: keepers restart within a
/// second, and a worker that this daemon does not list yet is listed within half a second.
const RETRY_SOON: Duration = Duration::from_millis(400);

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
        unanswered,
    } = found;
    let list_age_ms = gw.list_age().map(millis);
    info!(target: "online", request:% = req.id, resumes = began, worker_version:% = version, source, asked, unanswered, list_age_ms:? = list_age_ms; "version of a stream found");
    if !gw.board.borrow().has_ready_version(&req.service, &version) {
        return Err(refuse(gw, req, Refusal::NoWorker, Some(&version)));
    }
    gw.metrics.resumption("caller", "same_version");
    req.binding = Binding::Version(version);
    Ok(())
}

/// The version that began a stream, and how it was found.
struct FoundOrigin {
    version: WorkerVersion,
    /// `recorded`, or whose history names it.
    source: &'static str,
    /// Number of keepers and peers that were asked for a record.
    asked: usize,
    /// Number of them that did not answer.
    unanswered: usize,
}

/// The version that began the stream that a request resumes.
async fn origin_of(gw: &Rc<Gateway>, req: &Request) -> Result<FoundOrigin, Refusal> {
    let lifetime = lifetime(req);
    let own = inferred(gw, &req.service, lifetime);
    let lookup = look_up(gw, req, lifetime).await;
    let asked = lookup.asked.len();
    let unanswered = asked - lookup.answered;
    let found = |version, source| FoundOrigin {
        version,
        source,
        asked,
        unanswered,
    };
    if let Some(version) = lookup.recorded {
        return Ok(found(version, "recorded"));
    }
    let is_complete = lookup.silent.is_empty() && lookup.lossy.is_empty();
    let may_ignore_silent = lookup.may_ignore_silent_present() && !lookup.has_other_versions;
    if let Some(version) = own
        && (is_complete || (may_ignore_silent && is_certain(gw, req, lifetime)))
    {
        return Ok(found(version, "own_history"));
    }
    let is_sole = |version: &WorkerVersion| {
        let since = gw.now() - lifetime;
        let versions = gw.versions.borrow();
        lookup.may_ignore_silent() && !versions.lists_other(&req.service, version, since)
    };
    let by_others = if is_complete {
        sole(&lookup.inferred)
    } else {
        sole(&lookup.sole).filter(is_sole)
    };
    match by_others {
        Some(version) => Ok(found(version, "history_of_others")),
        None if !lookup.silent.is_empty() => Err(Refusal::Undecided),
        None if lookup.keepers.is_empty() && !gw.has_run_for(lifetime) => Err(Refusal::Undecided),
        None => Err(Refusal::Unknown),
    }
}

/// The only element of a set.
fn sole(versions: &BTreeSet<WorkerVersion>) -> Option<WorkerVersion> {
    versions.first().filter(|_| versions.len() == 1).cloned()
}

/// The answers to the questions for a stream's record.
#[derive(Default)]
struct Lookup {
    recorded: Option<WorkerVersion>,
    /// Versions that were listed alone when the stream may have begun.
    inferred: BTreeSet<WorkerVersion>,
    /// Those of them beside which no other has been listed since.
    sole: BTreeSet<WorkerVersion>,
    /// Whether another version has been listed at one of those who answered.
    has_other_versions: bool,
    asked: BTreeSet<SocketAddr>,
    answered: usize,
    keepers: BTreeSet<SocketAddr>,
    /// Keepers that have visited this daemon lately.
    present: BTreeSet<SocketAddr>,
    /// Keepers that have not answered. Their records are on their disks.
    silent: BTreeSet<SocketAddr>,
    /// Keepers that may have lost records with their disks.
    lossy: BTreeSet<SocketAddr>,
}

impl Lookup {
    /// Whether keepers that are silent, although they are present, matter less than the
    /// certainty of this daemon.
    fn may_ignore_silent_present(&self) -> bool {
        let silent = self.silent.intersection(&self.present).count();
        silent <= max_ignored(self.present.len())
    }

    fn may_ignore_silent(&self) -> bool {
        self.silent.len() <= max_ignored(self.keepers.len())
    }

    /// Adds those of the keepers that have not been asked. Returns them.
    fn add_keepers(&mut self, keepers: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let new: Vec<_> = keepers
            .into_iter()
            .filter(|at| self.keepers.insert(*at))
            .collect();
        self.silent.extend(new.iter().copied());
        self.asked.extend(new.iter().copied());
        new
    }
}

/// How many of some keepers may be silent while the others know a single version: a minority,
/// but one of two as well.
fn max_ignored(keepers: usize) -> usize {
    (keepers.saturating_sub(1) / 2).max(1)
}

/// Asks for a stream's record.
async fn look_up(gw: &Rc<Gateway>, req: &Request, lifetime: Duration) -> Lookup {
    let stream = tag(req);
    let mut lookup = Lookup {
        recorded: recorded(gw, stream),
        ..Lookup::default()
    };
    if lookup.recorded.is_some() {
        return lookup;
    }
    first_visit(gw, gw.started + FIRST_VISIT_TIMEOUT).await;
    let ask = async |to| {
        let asked = peer_calls::origin(gw, to, stream, &req.service, lifetime);
        (to, asked.await)
    };
    lookup.present.extend(gw.keepers.borrow().all(gw.now()));
    let known = gw.keepers.borrow().known(gw.now());
    let mut to_ask = lookup.add_keepers(known);
    to_ask.extend(ranked_peers(gw, stream));
    lookup.asked.extend(to_ask.iter().copied());
    let mut answers = FuturesUnordered::new();
    answers.extend(to_ask.into_iter().map(&ask));
    let deadline = Instant::now() + LOOKUP_TIMEOUT;
    while let Ok(Some((at, answer))) = timeout_at(deadline, answers.next()).await {
        // The records of a peer that does not answer are lost if it was killed.
        let Ok(answer) = answer else {
            continue;
        };
        lookup.silent.remove(&at);
        lookup.answered += 1;
        if answer.records_lost {
            lookup.lossy.insert(at);
        }
        match answer.origin {
            KnownOrigin::Recorded(version) => {
                lookup.recorded = Some(version);
                return lookup;
            }
            KnownOrigin::Inferred { version, is_sole } => {
                if is_sole {
                    lookup.sole.insert(version.clone());
                } else {
                    lookup.has_other_versions = true;
                }
                lookup.inferred.insert(version);
            }
            KnownOrigin::Nothing => {}
        }
        let named = lookup.add_keepers(answer.keepers);
        answers.extend(named.into_iter().map(&ask));
    }
    lookup
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
