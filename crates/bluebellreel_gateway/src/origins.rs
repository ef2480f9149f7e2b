//! The versions that began callers' streams.
//!
//! Unless a single version of a service has been listed for long enough, the version that
//! begins a stream is recorded before its first event is passed on: at the keeper of this
//! data centre, whose disk survives if every process is killed, and at another one, which
//! survives the loss of that VM. Peers take the place of keepers that are missing. Whoever
//! resumes a stream asks all keepers and those peers: see `origin_lookup`.
//!
//! A stream without a record is taken for one of the version that was listed alone some time
//! ago. While keepers take no records, streams of other versions are therefore not passed on:
//! new streams begin at that version.

use crate::gateway::Gateway;
use crate::keepers::{FIRST_VISIT_TIMEOUT, first_visit};
use crate::peer_calls;
use crate::request::{Binding, Request};
use bluebellreel_dispatch::RouteKind;
use bluebellreel_origins::{MAX_LAG, Origin, StreamTag};
use bluebellreel_platform::ingress;
use bluebellreel_types::WorkerVersion;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

/// Number of other daemons at which a stream is recorded.
const HOLDERS: usize = 2;
/// How long the first event of a stream waits until the stream is recorded. Keepers answer
/// once the record is on their disk, within milliseconds.
const RECORD_TIMEOUT: Duration = Duration::from_millis(60);
/// How long it waits if the stream would be taken for one of another version otherwise.
const MAX_RECORD_TIMEOUT: Duration = Duration::from_millis(250);
/// Recorded in place of a version that is not known: no worker has it.
pub(crate) const UNKNOWN: &str = "";
/// Minimum time for which a caller may resume its stream.
const MIN_LIFETIME: Duration = Duration::from_secs(10);

/// Records which version began a stream, unless a single one can have. Completes once a
/// keeper has the record on its disk, or a peer has it if there are no keepers, or after a
/// timeout. Returns whether the stream may be passed on: it has been recorded, or will not be
/// taken for one of another version without a record.
pub(crate) async fn record(gw: &Rc<Gateway>, req: &Request) -> bool {
    let Binding::Version(version) = &req.binding else {
        return true;
    };
    let lifetime = lifetime(req);
    if !req.route.resumable || is_certain(gw, &req.service, lifetime) {
        return true;
    }
    let origin = Origin {
        stream: tag(req),
        version: version.clone(),
        keep_for: lifetime,
    };
    keep(gw, &origin);
    let is_first_attempt = ingress::last_event_id(&req.out.headers).is_none();
    let needs_record = is_first_attempt && {
        let versions = gw.versions.borrow();
        versions.may_be_mistaken(&req.service, version, gw.elapsed() - lifetime)
    };
    let began = Instant::now();
    first_visit(gw, gw.started + FIRST_VISIT_TIMEOUT).await;
    let mut copies = Copies::send(gw, origin, holders);
    copies.wait(began + RECORD_TIMEOUT).await;
    if needs_record && !copies.at_keeper {
        copies.send_to(gw, |gw, _| gw.keepers.borrow().all(gw.now()));
        copies.wait(began + MAX_RECORD_TIMEOUT).await;
    }
    let have_keepers = gw.keepers.borrow().exist();
    if have_keepers {
        gw.keepers.borrow_mut().note_record(copies.at_keeper);
    }
    let outcome = match () {
        () if copies.at_keeper || copies.at_peer => "recorded",
        () if copies.sent.is_empty() => "not_recorded",
        () => "late",
    };
    gw.metrics.origin(outcome);
    let is_kept = copies.at_keeper || (copies.at_peer && !have_keepers);
    if !is_kept {
        warn!(target: "online", request:% = req.id, worker_version:% = version, outcome, needs_record; "version of a stream not recorded in time");
    }
    is_kept || !needs_record
}

/// Records that the version which began a stream is not known, in place of what was recorded or
/// would be inferred. Completes once all holders have the record, or after a timeout.
pub(crate) async fn record_unknown(gw: &Rc<Gateway>, req: &Request) {
    if !req.route.resumable {
        return;
    }
    let origin = Origin {
        stream: tag(req),
        version: WorkerVersion::from(UNKNOWN),
        keep_for: lifetime(req),
    };
    keep(gw, &origin);
    let mut copies = Copies::send(gw, origin, holders);
    let deadline = Instant::now() + MAX_RECORD_TIMEOUT;
    while let Ok(Some(_)) = timeout_at(deadline, copies.sent.next()).await {}
    gw.metrics.origin("unknown");
}

/// The copies of a stream's record that are sent to other daemons.
struct Copies {
    origin: Origin,
    holders: Vec<SocketAddr>,
    /// Each with whether it is a keeper and whether it has the copy.
    sent: FuturesUnordered<JoinHandle<(bool, bool)>>,
    at_keeper: bool,
    at_peer: bool,
}

impl Copies {
    fn send(
        gw: &Rc<Gateway>,
        origin: Origin,
        holders: fn(&Gateway, StreamTag) -> Vec<SocketAddr>,
    ) -> Self {
        let mut copies = Self {
            origin,
            holders: Vec::new(),
            sent: FuturesUnordered::new(),
            at_keeper: false,
            at_peer: false,
        };
        copies.send_to(gw, holders);
        copies
    }

    /// Sends a copy to those of the holders that have not been sent one.
    fn send_to(&mut self, gw: &Rc<Gateway>, holders: fn(&Gateway, StreamTag) -> Vec<SocketAddr>) {
        let keepers = gw.keepers.borrow().all(gw.now());
        for to in holders(gw, self.origin.stream) {
            if self.holders.contains(&to) {
                continue;
            }
            self.holders.push(to);
            let is_keeper = keepers.contains(&to);
            let (gw, origin) = (gw.clone(), self.origin.clone());
            // The copy arrives also if it is late.
            let sent =
                tokio::task::spawn_local(async move { (is_keeper, send(&gw, to, &origin).await) });
            self.sent.push(sent);
        }
    }

    /// Waits for the first keeper that has a copy, or for the first peer if no keeper was
    /// sent one.
    async fn wait(&mut self, deadline: Instant) {
        while !self.at_keeper
            && let Ok(Some(sent)) = timeout_at(deadline, self.sent.next()).await
        {
            match sent {
                Ok((true, true)) => self.at_keeper = true,
                Ok((false, true)) => self.at_peer = true,
                Ok((_, false)) | Err(_) => {}
            }
        }
    }
}

/// The version that others take an unrecorded stream for, if a worker of it is ready: where a
/// stream begins while no record is kept.
pub(crate) fn version_without_record(gw: &Gateway, req: &Request) -> Option<WorkerVersion> {
    let version = inferred(gw, &req.service, lifetime(req))?;
    let board = gw.board.borrow();
    board
        .has_ready_version(&req.service, &version)
        .then_some(version)
}

/// The version at which a stream has to begin because keepers do not take its record.
pub(crate) fn required_version(gw: &Gateway, req: &Request) -> Option<WorkerVersion> {
    let is_new_stream =
        req.binding == Binding::Free && req.route.kind == RouteKind::Stream && req.route.resumable;
    let needs_record = is_new_stream
        && gw.keepers.borrow().take_no_records(gw.now())
        && !is_certain(gw, &req.service, lifetime(req));
    if needs_record {
        version_without_record(gw, req)
    } else {
        None
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
pub(crate) fn ranked_peers(gw: &Gateway, stream: StreamTag) -> Vec<SocketAddr> {
    let members = gw.members.borrow();
    let alive = members.alive_peers(gw.now()).filter(|(_, p)| !p.stopping);
    let mut ranked: Vec<(u64, SocketAddr)> = alive
        .map(|(name, peer)| (stream.rank(name.as_str()), peer.calls))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().take(HOLDERS).map(|(_, at)| at).collect()
}

/// The peers that may hold a stream's record: those that would hold it now, and those that come
/// before them but are silent or stopping.
pub(crate) fn possible_holders(gw: &Gateway, stream: StreamTag) -> Vec<SocketAddr> {
    let now = gw.now();
    let members = gw.members.borrow();
    let mut ranked: Vec<(u64, SocketAddr, bool)> = members
        .peers()
        .map(|(name, peer)| {
            let is_holder = peer.is_alive(now) && !peer.stopping;
            (stream.rank(name.as_str()), peer.calls, is_holder)
        })
        .collect();
    ranked.sort_unstable();
    let mut holders = 0;
    let up_to_holders = ranked.into_iter().take_while(|(.., is_holder)| {
        let is_complete = holders == HOLDERS;
        holders += usize::from(*is_holder);
        !is_complete
    });
    up_to_holders.map(|(_, at, _)| at).collect()
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

/// The version that began a stream of which nobody has a record, by this daemon's history.
pub(crate) fn inferred(gw: &Gateway, service: &str, within: Duration) -> Option<WorkerVersion> {
    let versions = gw.versions.borrow();
    versions.unrecorded(service, gw.elapsed() - within).cloned()
}

/// The tag of the request's stream: that of the attempt that brought its first event. There
/// is no record of a stream whose caller does not name that attempt.
pub(crate) fn tag(req: &Request) -> StreamTag {
    let began = ingress::resumed_attempt(&req.out.headers);
    StreamTag::of(began.unwrap_or(&req.id))
}

/// How long callers may resume a stream: for the rest of its attempt, and in one more.
pub(crate) fn lifetime(req: &Request) -> Duration {
    (req.route.timeout * 2).max(MIN_LIFETIME)
}

/// Whether a single version of the service can have been listed for as long as callers may
/// resume a stream.
pub(crate) fn is_certain(gw: &Gateway, service: &str, within: Duration) -> bool {
    let now = gw.elapsed();
    let versions = gw.versions.borrow();
    versions.is_proven_at(now - MAX_LAG) && versions.is_certain(service, now - within)
}
