//! Reports to peers by datagram: what runs where, and what is known.
//!
//! A report is sent at once when something changed, but not more often than a
//! few milliseconds apart, and four times a second in any case. It is complete
//! in itself: one that is lost is made up for by the next.

use crate::facts::follow_workers;
use crate::gateway::Gateway;
use crate::jobs::KnownOwner;
use crate::peer_calls;
use bluebellreel_dispatch::{Boot, PeerLoad, PeerRuns, Running};
use bluebellreel_members::{Peer, Revisions, SILENT};
use bluebellreel_snapshot::SharedFacts;
use bluebellreel_types::{EntryName, Incarnation, JobId, Moment, WorkerName};
use log::{info, warn};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Time between reports when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Least time between reports to few peers. Two daemons that choose a worker
/// within it may both take its last slot.
const GAP_FEW: Duration = Duration::from_millis(8);
/// Least time between reports to many peers, for each of them: a daemon sends
/// a thousand datagrams a second at the most, some 2 % of a core, however many
/// peers there are.
const GAP_EACH: Duration = Duration::from_millis(1);
/// From this many peers on they count as many.
const MANY: usize = 8;
/// Longest wait for room to send one report.
const SEND: Duration = Duration::from_millis(20);
/// Longest datagram taken.
const DATAGRAM_BYTES: usize = 60 * 1024;
/// One report.
#[derive(Serialize, Deserialize)]
struct Report {
    entry: EntryName,
    run: Incarnation,
    sequence: u64,
    calls: SocketAddr,
    reports: SocketAddr,
    stopping: bool,
    reaches_store: bool,
    /// How long the store has served it without an outage; in seconds.
    served_s: u32,
    revisions: Revisions,
    jobs: Vec<JobId>,
    running: Vec<(WorkerName, u32, u32)>,
    waiting: u32,
    tokens: Vec<(String, u64)>,
    cancelled: Vec<JobId>,
}

/// What follows a report. Daemons of an earlier version read the report and
/// leave this; what they send lacks it.
#[derive(Default, Serialize, Deserialize)]
struct Supplement {
    /// The lives of the workers in `running`, in the same order.
    boots: Vec<Option<Boot>>,
}

fn report(gw: &Gateway, sequence: u64) -> (Report, Supplement) {
    let board = gw.board.borrow();
    let running = board
        .own()
        .map(|(worker, _, r)| (worker.clone(), r.online, r.batch));
    let facts = gw.facts.borrow();
    let report = Report {
        entry: gw.me().clone(),
        run: gw.run,
        sequence,
        calls: gw.settings.peers,
        reports: gw.settings.reports,
        stopping: gw.stopping.get(),
        reaches_store: !gw.store.is_lost(),
        served_s: u32::try_from(gw.store.served_for().as_secs()).unwrap_or(u32::MAX),
        revisions: facts.revisions(),
        jobs: gw.jobs.borrow().owned_ids(),
        running: running.collect(),
        waiting: gw.jobs.borrow().items_waiting(),
        tokens: gw.jobs.borrow().tokens_by_route().into_iter().collect(),
        cancelled: gw.jobs.borrow().ended_lately(),
    };
    let boots = board.own().map(|(_, boot, _)| boot).collect();
    (report, Supplement { boots })
}

/// Reads a report with what may follow it.
fn read_report(datagram: &[u8]) -> Result<(Report, Supplement), postcard::Error> {
    let (report, rest) = postcard::take_from_bytes::<Report>(datagram)?;
    let supplement = if rest.is_empty() {
        Supplement::default()
    } else {
        postcard::from_bytes(rest)?
    };
    Ok((report, supplement))
}

/// A peer's load as its report tells it.
fn load_of(report: &Report, supplement: Supplement, now: Moment) -> PeerLoad {
    let boots = supplement.boots.into_iter().chain(std::iter::repeat(None));
    let runs = report.running.iter().zip(boots);
    let running = runs.map(|((worker, online, batch), boot)| {
        let running = Running {
            online: *online,
            batch: *batch,
        };
        (worker.clone(), PeerRuns { boot, running })
    });
    PeerLoad {
        sequence: report.sequence,
        running: running.collect(),
        waiting: report.waiting,
        expires_at: now + SILENT,
    }
}

/// Sends reports for ever.
pub(crate) async fn send_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    // Later runs of this daemon must not be taken for older than this one.
    let mut sequence = gw.now().0;
    loop {
        // A timeout is the heartbeat.
        let _ = timeout(HEARTBEAT, gw.report_due.notified()).await;
        sequence += 1;
        let targets = targets(&gw);
        match postcard::to_allocvec(&report(&gw, sequence)) {
            Ok(bytes) => {
                for to in &targets {
                    // Waits while the socket is full: a report that is not
                    // sent would always miss the same peers, the last ones. One
                    // that cannot be sent at all is as good as lost; the next
                    // one is complete again.
                    let _ = timeout(SEND, socket.send_to(&bytes, *to)).await;
                }
            }
            Err(e) => warn!(target: "members", error:% = e; "report not written"),
        }
        let gap = gap(targets.len());
        sleep(gap).await;
    }
}

/// Least time between reports to so many peers.
fn gap(peers: usize) -> Duration {
    if peers < MANY {
        return GAP_FEW;
    }
    let peers = u32::try_from(peers).unwrap_or(u32::MAX);
    GAP_FEW.max(GAP_EACH.saturating_mul(peers))
}

/// Peers that are known, and seeds as long as they are not among them.
fn targets(gw: &Gateway) -> BTreeSet<SocketAddr> {
    let members = gw.members.borrow();
    let mut targets: BTreeSet<SocketAddr> = members.peers().map(|(_, p)| p.reports).collect();
    let port = gw.settings.reports.port();
    let seeds = gw.seeds.borrow();
    targets.extend(seeds.iter().map(|s| SocketAddr::new(s.ip(), port)));
    targets.remove(&gw.settings.reports);
    targets
}

/// Takes reports for ever.
pub(crate) async fn take_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    let asking = Rc::new(Cell::new(false));
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            // A datagram that came back as undeliverable; the peer is down.
            continue;
        };
        match read_report(&buf[..length]) {
            Ok((report, supplement)) if report.entry != *gw.me() => {
                hear(&gw, report, supplement, &asking);
            }
            Ok(_) => {}
            Err(e) => warn!(target: "members", from:% = from, error:% = e; "report not read"),
        }
    }
}

fn hear(gw: &Rc<Gateway>, report: Report, supplement: Supplement, asking: &Rc<Cell<bool>>) {
    let now = gw.now();
    let load = load_of(&report, supplement, now);
    gw.board.borrow_mut().hear(&report.entry, load);
    for job in &report.cancelled {
        crate::jobs::heard_cancelled(gw, job);
    }
    for job in &report.jobs {
        let owner = KnownOwner {
            entry: report.entry.clone(),
            run: report.run,
        };
        gw.jobs.borrow_mut().reported(job, owner);
    }
    let revisions = report.revisions;
    note_peer(gw, report, now);
    crate::jobs::make_room(gw);
    gw.batch_due.notify_one();
    if gw.facts.borrow().lacks(revisions) {
        catch_up(gw, asking);
    }
}

fn note_peer(gw: &Gateway, report: Report, now: Moment) {
    let peer = Peer {
        run: report.run,
        calls: report.calls,
        reports: report.reports,
        heard_at: Some(now),
        stopping: report.stopping,
        registered: false,
        jobs: report.jobs.into_iter().collect(),
        tokens: report.tokens.into_iter().collect::<BTreeMap<_, _>>(),
        reaches_store: report.reaches_store,
        served_s: report.served_s,
        revisions: report.revisions,
    };
    let is_news = gw.members.borrow_mut().hear(report.entry.clone(), peer);
    if is_news {
        // The jobs of its run before, if any, have no owner now.
        gw.jobs.borrow().orphans_due.notify_one();
        info!(target: "members", peer:% = report.entry, run:% = report.run; "peer heard");
    }
}

/// Asks a peer for what it knows and we do not; one question at a time.
///
/// All peers hear of news at the same moment, from the two that watch. Each
/// waits a random time, longer the more they are, and asks any that has the
/// news by then: else two daemons would answer hundreds at once.
fn catch_up(gw: &Rc<Gateway>, asking: &Rc<Cell<bool>>) {
    if asking.replace(true) {
        return;
    }
    let (gw, asking) = (gw.clone(), asking.clone());
    tokio::task::spawn_local(async move {
        let peers = gw.members.borrow().peers().count();
        let wait = gap(peers).mul_f64(gw.rng.borrow_mut().random_range(0.0..1.0));
        sleep(wait).await;
        let knowing = peers_that_know_more(&gw);
        if !knowing.is_empty() {
            let at = gw.rng.borrow_mut().random_range(0..knowing.len());
            ask(&gw, &knowing[at]).await;
        }
        asking.set(false);
    });
}

fn peers_that_know_more(gw: &Gateway) -> Vec<(EntryName, SocketAddr)> {
    let facts = gw.facts.borrow();
    let members = gw.members.borrow();
    members
        .heard(gw.now())
        .filter(|(_, peer)| facts.lacks(peer.revisions))
        .map(|(name, peer)| (name.clone(), peer.calls))
        .collect()
}

async fn ask(gw: &Rc<Gateway>, (peer, calls): &(EntryName, SocketAddr)) {
    let seen = gw.facts.borrow().seen();
    match peer_calls::facts(gw, *calls, seen).await {
        Ok(shared) => learn(gw, shared, peer),
        Err(e) => warn!(target: "facts", peer:% = peer, error:% = e; "facts not brought"),
    }
}

fn learn(gw: &Gateway, shared: SharedFacts, peer: &EntryName) {
    let changed = gw.facts.borrow_mut().learn(shared, peer.as_str(), gw.now());
    info!(target: "facts", peer:% = peer, changed; "facts taken over");
    if changed {
        follow_workers(gw, peer.as_str());
    }
    gw.report_due.notify_one();
}
