//! Reports to peers by datagram: what runs where, and what is known.
//!
//! A report is sent at once when something changed, but not more often than a
//! few milliseconds apart, and four times a second in any case. It is complete
//! in itself: one that is lost is made up for by the next.

mod catch_up;
mod gap;
mod parts;
mod wire;

use crate::gateway::Gateway;
use crate::jobs::own::KnownOwner;
use bluebellreel_dispatch::PeerLoad;
use bluebellreel_members::{Peer, WorkerList};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use catch_up::catch_up;
pub(crate) use catch_up::compare_lists;
use gap::gap;
use log::{info, warn};
use parts::{Freshness, Rest};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use wire::{Datagram, Report, Supplement, Urgent, load_of, seal, sender_tag};

/// Time between reports when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Longest wait for room to send one report.
const SEND: Duration = Duration::from_millis(20);
/// Longest datagram taken.
const DATAGRAM_BYTES: usize = 60 * 1024;

/// What the last full report said, and when the next one is due.
#[derive(Default)]
struct LastFull {
    urgent: Option<Urgent>,
    /// When the next full report is due.
    full_due: Moment,
}

/// Sends reports for ever.
pub(crate) async fn send_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    // Later runs of this daemon must not be taken for older than this one.
    let mut sequence = gw.now().0;
    let mut last = LastFull::default();
    loop {
        // A timeout is the heartbeat.
        let _ = timeout(HEARTBEAT, gw.report_due.notified()).await;
        sequence += 1;
        let (targets, briefed) = targets(&gw);
        match datagrams(&gw, sequence, &mut last) {
            Ok((full, brief)) => {
                for to in &targets {
                    let bytes = if briefed.contains(to) { &brief } else { &full };
                    // Waits while the socket is full: a report that is not
                    // sent would always miss the same peers, the last ones. One
                    // that cannot be sent at all is as good as lost; the next
                    // one is complete again.
                    let _ = timeout(SEND, socket.send_to(bytes, *to)).await;
                }
            }
            Err(e) => warn!(target: "members", error:% = e; "report not written"),
        }
        let gap = gap(targets.len());
        sleep(gap).await;
    }
}

/// A report for daemons that need it in full, and one for those that read briefs:
/// the same where something has changed that a brief does not say, and each
/// [`HEARTBEAT`].
///
/// What runs where changes some fifty times a second and is a fifth of a full
/// report; the rest would be most of the bytes between data centres.
fn datagrams(
    gw: &Gateway,
    sequence: u64,
    last: &mut LastFull,
) -> Result<(Vec<u8>, Vec<u8>), postcard::Error> {
    let (report, supplement) = wire::report(gw, sequence);
    let brief = report.brief(&supplement);
    let urgent = report.urgent(gw.suspects.borrow().version());
    let full = seal(postcard::to_allocvec(&(report, supplement, Rest::own(gw)))?);
    let now = gw.now();
    if last.urgent.as_ref() == Some(&urgent) && !last.full_due.is_past(now) {
        return Ok((full, brief.encode()?));
    }
    last.urgent = Some(urgent);
    last.full_due = now + HEARTBEAT;
    Ok((full.clone(), full))
}

/// Peers that are known, and seeds as long as they are not among them; and those
/// of them that read briefs.
fn targets(gw: &Gateway) -> (BTreeSet<SocketAddr>, BTreeSet<SocketAddr>) {
    let members = gw.members.borrow();
    let mut targets: BTreeSet<SocketAddr> = members.peers().map(|(_, p)| p.reports).collect();
    let alive_peers = members.alive_peers(gw.now());
    let briefed = alive_peers.filter(|(_, p)| p.reads_briefs);
    let briefed = briefed.map(|(_, p)| p.reports).collect();
    let port = gw.settings.reports.port();
    let seeds = gw.seeds.borrow();
    targets.extend(seeds.iter().map(|s| SocketAddr::new(s.ip(), port)));
    targets.remove(&gw.settings.reports);
    targets.remove(&gw.settings.advertised_reports());
    (targets, briefed)
}

/// Takes reports for ever.
pub(crate) async fn take_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; DATAGRAM_BYTES];
    let asking = Rc::new(Cell::new(false));
    let mut senders = Senders::default();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            // A datagram that came back as undeliverable; the peer is down.
            continue;
        };
        match wire::read(&buf[..length]) {
            Ok(Datagram::Full(report, ..)) if report.entry == *gw.me() => {}
            Ok(Datagram::Full(report, supplement, rest)) => {
                senders.note(&report.entry, report.run);
                hear(&gw, *report, supplement, rest, &asking);
            }
            Ok(Datagram::Brief(brief)) => {
                // Of a sender that is not known yet the next full one tells all.
                if let Some(sender) = senders.get(brief.sender) {
                    hear_load(&gw, sender, brief.load(&gw));
                }
            }
            Err(e) => warn!(target: "members", from:% = from, error:% = e; "report not read"),
        }
    }
}

/// Daemons that have sent a full report, by the tag in their briefs.
#[derive(Default)]
struct Senders(HashMap<u32, EntryName>);

impl Senders {
    fn note(&mut self, entry: &EntryName, run: Incarnation) {
        let tag = sender_tag(entry, run);
        if self.0.get(&tag) == Some(entry) {
            return;
        }
        // Its run before says nothing any more.
        self.0.retain(|_, known| known != entry);
        self.0.insert(tag, entry.clone());
    }

    fn get(&self, tag: u32) -> Option<&EntryName> {
        self.0.get(&tag)
    }
}

fn hear(
    gw: &Rc<Gateway>,
    report: Report,
    supplement: Supplement,
    rest: Rest,
    asking: &Rc<Cell<bool>>,
) {
    let now = gw.now();
    rest.warnings.take(&mut gw.suspects.borrow_mut(), now);
    let reads_briefs = supplement.reads_briefs;
    if let Some(place) = supplement.place.clone() {
        gw.board.borrow_mut().note_place(&report.entry, place);
    }
    let load = load_of(&report, supplement, now);
    hear_load(gw, &report.entry, load);
    for job in &report.cancelled {
        crate::jobs::end_reported(gw, job, &report.entry);
    }
    for job in &report.jobs {
        let owner = KnownOwner {
            entry: report.entry.clone(),
            run: report.run,
        };
        gw.jobs.borrow_mut().reported(job, owner);
        crate::jobs::owner_reported(gw, job);
    }
    let revisions = report.revisions;
    let cancelled = report.cancelled.clone();
    note_peer(gw, report, reads_briefs, rest.freshness, rest.list, now);
    for job in &cancelled {
        gw.members.borrow_mut().claimed(job, now);
    }
    if gw.facts.borrow().lacks(revisions) {
        catch_up(gw, asking);
    }
}

/// Takes over what a peer runs: batch here may have to make room, or finds some.
fn hear_load(gw: &Gateway, peer: &EntryName, load: PeerLoad) {
    gw.board.borrow_mut().hear(peer, load);
    crate::jobs::make_room(gw);
    gw.batch_due.notify_one();
}

fn note_peer(
    gw: &Gateway,
    report: Report,
    reads_briefs: bool,
    freshness: Freshness,
    list: WorkerList,
    now: Moment,
) {
    let peer = Peer {
        run: report.run,
        calls: report.calls,
        reports: report.reports,
        last_report_at: Some(now),
        stopping: report.stopping,
        registered: false,
        is_gone: false,
        jobs: report.jobs.into_iter().collect(),
        tokens: report.tokens.into_iter().collect::<BTreeMap<_, _>>(),
        reaches_store: report.reaches_store,
        served_s: report.served_s,
        answered_at: freshness.answered_at(now),
        revisions: report.revisions,
        list,
        reads_briefs,
    };
    let is_news = gw
        .members
        .borrow_mut()
        .record_report(report.entry.clone(), peer);
    if is_news {
        // The jobs of its run before, if any, have no owner now.
        gw.jobs.borrow().orphans_due.notify_one();
        info!(target: "members", peer:% = report.entry, run:% = report.run; "peer heard");
    }
}
