//! Finds the version that began a stream which its caller resumes.
//!
//! A record counts wherever it is found. Its absence says something only if everybody who may
//! have it has answered: the stream is then of the version that was listed alone when it may
//! have begun. Otherwise a single version must have been listed until now, by a list that is
//! known to be complete since the request arrived. Keepers and peers name the keepers that they
//! know, as a gateway which has just started does not know them all.
//!
//! In each case the list must be known to be complete, as workers of the version may have been
//! replaced: see `list_check`.

use crate::answers;
use crate::gateway::Gateway;
use crate::keepers::{FIRST_VISIT_TIMEOUT, first_visit};
use crate::list_check::{check_for_send, check_since};
use crate::millis::millis;
use crate::origins::{UNKNOWN, inferred, lifetime, possible_holders, ranked_peers, recorded, tag};
use crate::peer_calls::{self, KnownOrigin, OriginAnswer};
use crate::request::{Binding, Request};
use crate::workers::version_text;
use bluebellreel_dispatch::RouteKind;
use bluebellreel_net::Body;
use bluebellreel_origins::MAX_LAG;
use bluebellreel_platform::ingress;
use bluebellreel_types::{Moment, WorkerVersion};
use futures::StreamExt;
use futures::future::join;
use futures::stream::FuturesUnordered;
use http::{Response, StatusCode};
use log::info;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Limit on a question for the version that began a stream. It is shorter than the time-out of
/// a connection, so that a daemon which is cut off does not count as one that has ended.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(240);
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
    /// The list of workers may not be complete.
    OutOfStep,
}

impl Refusal {
    fn outcome(self) -> &'static str {
        match self {
            Self::NoWorker => "no_worker",
            Self::Unknown => "version_unknown",
            Self::Undecided => "undecided",
            Self::OutOfStep => "out_of_step",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::NoWorker => "no worker of the version that began the stream",
            Self::Unknown => "version that began the stream not known",
            Self::Undecided => "version that began the stream not known yet",
            Self::OutOfStep => "list of workers not confirmed",
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
    let arrived = gw.elapsed();
    let (lookup, may_send) = join(look_up(gw, req, lifetime), check_for_send(gw)).await;
    if !may_send {
        return Err(Refusal::OutOfStep);
    }
    let found = |version, source| FoundOrigin {
        version,
        source,
        asked: lookup.asked.len(),
        unanswered: lookup.asked.len() - lookup.answered,
    };
    if let Some(version) = lookup.recorded {
        if version.as_str() == UNKNOWN {
            return Err(Refusal::Unknown);
        }
        return Ok(found(version, "recorded"));
    }
    if lookup.silent.is_empty() && lookup.lossy.is_empty() {
        if let Some(version) = inferred(gw, &req.service, lifetime) {
            return Ok(found(version, "own_history"));
        }
        if let Some(version) = sole(&lookup.inferred) {
            return Ok(found(version, "history_of_others"));
        }
        let may_know_soon = lookup.keepers.is_empty() && !gw.has_run_for(lifetime);
        return Err(if may_know_soon {
            Refusal::Undecided
        } else {
            Refusal::Unknown
        });
    }
    // A record may exist that nobody has told of, unless no other version was ever listed.
    if check_since(gw, arrived).await {
        let now = gw.elapsed();
        let versions = gw.versions.borrow();
        if versions.is_certain(&req.service, now - lifetime)
            && let Some(version) = versions.sole_since(&req.service, now - lifetime)
        {
            return Ok(found(version.clone(), "own_history"));
        }
        // What others know reaches up to about the start of this daemon's own history.
        let is_sole_here = |(version, proven): &&(WorkerVersion, Moment)| {
            let is_joined = versions.since().is_some_and(|s| s <= *proven + MAX_LAG);
            is_joined && versions.sole_since(&req.service, *proven) == Some(version)
        };
        if let Some((version, _)) = lookup.sole.iter().find(is_sole_here) {
            return Ok(found(version.clone(), "history_of_others"));
        }
    }
    Err(if lookup.silent.is_empty() {
        Refusal::Unknown
    } else {
        Refusal::Undecided
    })
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
    /// Versions beside which no other was listed from then to a moment, by some daemon.
    sole: Vec<(WorkerVersion, Moment)>,
    asked: BTreeSet<SocketAddr>,
    /// Number of those who answered.
    answered: usize,
    keepers: BTreeSet<SocketAddr>,
    /// Keepers that have not answered, whose records are on their disks, and peers that may
    /// have a record in memory.
    silent: BTreeSet<SocketAddr>,
    /// Keepers that may have lost records with their disks.
    lossy: BTreeSet<SocketAddr>,
}

impl Lookup {
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

    fn add_answer(&mut self, asked_at: Moment, at: SocketAddr, answer: OriginAnswer) {
        self.silent.remove(&at);
        self.answered += 1;
        if answer.records_lost {
            self.lossy.insert(at);
        }
        match answer.origin {
            KnownOrigin::Recorded(version) => self.recorded = Some(version),
            KnownOrigin::Inferred { version, sole_age } => {
                if let Some(age) = sole_age {
                    self.sole.push((version.clone(), asked_at - age));
                }
                self.inferred.insert(version);
            }
            KnownOrigin::Nothing => {}
        }
    }
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
    let known = gw.keepers.borrow().known(gw.now());
    // Without keepers, peers hold all records.
    let peers = if known.is_empty() {
        possible_holders(gw, stream)
    } else {
        ranked_peers(gw, stream)
    };
    let mut to_ask = lookup.add_keepers(known);
    lookup.silent.extend(peers.iter().copied());
    to_ask.extend(peers);
    lookup.asked.extend(to_ask.iter().copied());
    let asked_at = gw.elapsed();
    let deadline = Instant::now() + LOOKUP_TIMEOUT;
    let mut answers = FuturesUnordered::new();
    answers.extend(to_ask.into_iter().map(&ask));
    while let Ok(Some((at, answer))) = timeout_at(deadline, answers.next()).await {
        let Ok(mut answer) = answer else {
            // A peer that refuses connections has ended, and its records with it.
            if !lookup.keepers.contains(&at) {
                lookup.silent.remove(&at);
            }
            continue;
        };
        let named = lookup.add_keepers(std::mem::take(&mut answer.keepers));
        lookup.add_answer(asked_at, at, answer);
        if lookup.recorded.is_some() {
            return lookup;
        }
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
        Refusal::NoWorker | Refusal::Undecided | Refusal::OutOfStep => RETRY_SOON,
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
