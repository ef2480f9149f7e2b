//! What keepers of snapshots ask and bring.
//!
//! They come by themselves; a gateway knows those that have visited it lately. It
//! tells what it knows, and while the store has not answered it since its start
//! it takes what they have.

use crate::answers;
use crate::gateway::Gateway;
use crate::workers::apply_workers;
use bluebellreel_net::Body;
use bluebellreel_snapshot::{GatewayState, SharedFacts};
use bluebellreel_types::{EntryName, Moment};
use http::{Response, StatusCode};
use log::{info, warn};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Whether the store has not told this daemon anything yet.
fn wants_facts(gw: &Gateway) -> bool {
    let facts = gw.facts.borrow();
    let knows_nothing = facts.configuration().is_none() && gw.store.finds_nobody();
    knows_nothing || facts.is_from_snapshot()
}

/// How long a keeper counts as there after a visit: three times as long as far
/// ones leave between visits before few gateways.
const THERE: Duration = Duration::from_secs(4);

/// Keepers that have visited this daemon.
#[derive(Debug, Default)]
pub(crate) struct Keepers {
    seen: BTreeMap<SocketAddr, Seen>,
}

#[derive(Debug)]
struct Seen {
    is_near: bool,
    until: Moment,
    /// Whether a call to it has failed since its last visit: it may be starting
    /// again.
    is_away: bool,
    /// Whether it was waited for in vain since its last visit.
    is_given_up: bool,
}

impl Keepers {
    /// One that stands in this daemon's data centre, and that takes calls.
    pub(crate) fn near(&self, now: Moment) -> Option<SocketAddr> {
        let there = self.there(now);
        let mut near = there.filter(|(_, seen)| seen.is_near && !seen.is_away);
        near.next().map(|(at, _)| at)
    }

    /// A call to it has failed: until its next visit it is away.
    pub(crate) fn miss(&mut self, at: SocketAddr) {
        if let Some(seen) = self.seen.get_mut(&at) {
            seen.is_away = true;
        }
    }

    /// It was waited for in vain: until its next visit nobody waits for it again.
    pub(crate) fn give_up(&mut self, at: SocketAddr) {
        if let Some(seen) = self.seen.get_mut(&at) {
            seen.is_given_up = true;
        }
    }

    /// Whether it may be waited for.
    pub(crate) fn may_come_back(&self, at: SocketAddr) -> bool {
        self.seen.get(&at).is_some_and(|seen| !seen.is_given_up)
    }

    /// All that have visited lately, also those that are away.
    pub(crate) fn all(&self, now: Moment) -> Vec<SocketAddr> {
        self.there(now).map(|(at, _)| at).collect()
    }

    fn there(&self, now: Moment) -> impl Iterator<Item = (SocketAddr, &Seen)> {
        let all = self.seen.iter().map(|(at, seen)| (*at, seen));
        all.filter(move |(_, seen)| !seen.until.is_past(now))
    }

    /// Forgets those that are gone.
    pub(crate) fn sweep(&mut self, now: Moment) {
        self.seen.retain(|_, seen| !seen.until.is_past(now));
    }
}

/// Remembers the keeper that asks.
fn note_keeper(gw: &Gateway, query: &str) {
    let pairs = form_urlencoded::parse(query.as_bytes());
    let mut address = None;
    let mut is_near = false;
    for (name, value) in pairs {
        match &*name {
            "keeper" => address = value.parse().ok(),
            "data_centre" => is_near = *value == *gw.settings.data_centre.as_str(),
            _ => {}
        }
    }
    if let Some(at) = address {
        let until = gw.now() + THERE;
        let seen = Seen {
            is_near,
            until,
            is_away: false,
            is_given_up: false,
        };
        gw.keepers.borrow_mut().seen.insert(at, seen);
    }
}

/// Tells a keeper what is known here. `query` says who asks.
pub(crate) fn state(gw: &Gateway, query: &str) -> Response<Body> {
    note_keeper(gw, query);
    let peers: Vec<(EntryName, SocketAddr)> = {
        let members = gw.members.borrow();
        let peers = members.peers();
        peers
            .map(|(name, peer)| (name.clone(), peer.calls))
            .collect()
    };
    let facts = gw.facts.borrow();
    let state = GatewayState {
        entry: gw.me().clone(),
        data_centre: gw.settings.data_centre.clone(),
        newest: facts.revisions(),
        from_store: facts.configuration().is_some() && !facts.is_from_snapshot(),
        reaches_store: !gw.store.is_lost(),
        wants_facts: wants_facts(gw),
        peers,
    };
    match postcard::to_allocvec(&state) {
        Ok(bytes) => answers::bytes(bytes),
        Err(e) => answers::failure(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Takes a snapshot, if the store does not answer.
///
/// All gateways may be killed while the store is away. Without a snapshot each
/// caller is refused until it is back: 1.5 s of requests where an outage lasted
/// 6 s and the kill came in its fifth.
pub(crate) fn take_offer(gw: &Rc<Gateway>, body: &[u8]) -> Response<Body> {
    let offered = match postcard::from_bytes::<SharedFacts>(body) {
        Ok(offered) => offered,
        Err(e) => {
            warn!(target: "facts", error:% = e; "snapshot not read");
            return answers::failure(StatusCode::BAD_REQUEST, "not read");
        }
    };
    if offered.believed_for.is_none() || !wants_facts(gw) {
        return answers::failure(StatusCode::CONFLICT, "the store has answered");
    }
    let workers = offered.workers.len();
    let believed_ms = offered.believed_for.map_or(0, crate::online::millis);
    let revision = offered.configuration.as_ref().map_or(0, |(r, _)| *r);
    let changed = gw.facts.borrow_mut().learn(offered, "snapshot", gw.now());
    info!(target: "facts", revision, workers, believed_ms; "snapshot taken over");
    if changed {
        apply_workers(gw, "snapshot");
    }
    gw.report_due.notify_one();
    answers::status(StatusCode::OK)
}
