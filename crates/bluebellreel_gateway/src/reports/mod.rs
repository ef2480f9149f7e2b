//! Reports to peers by datagram: the runs at workers, the jobs, and the revisions of the
//! known cluster state.
//!
//! A report is sent when something has changed, with a minimum interval of a few
//! milliseconds, and at least four times per second. Each report is complete, so a lost
//! one is compensated by the next.

mod catch_up;
mod discoveries;
mod interval;
mod parts;
mod wire;

use crate::gateway::Gateway;
use crate::jobs::own::KnownOwner;
use bluebellreel_dispatch::PeerLoad;
use bluebellreel_members::{Peer, WorkerList};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use catch_up::catch_up;
pub(crate) use catch_up::{compare_lists, merge_cluster_state};
pub(crate) use discoveries::Discoveries;
use interval::min_report_interval;
pub(crate) use interval::report_time;
use log::{info, warn};
use parts::{Extensions, Freshness, Limits, Roles};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use wire::{Datagram, Report, Supplement, Urgent, append_checksum, load_of, sender_tag};

/// Interval between reports when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Timeout of sending one datagram, which waits while the socket's buffer is full.
const SEND_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// The urgent parts of the last full report, and when the next one is due.
#[derive(Default)]
struct LastFull {
    urgent: Option<Urgent>,
    /// When the next full report is due.
    full_due: Moment,
}

/// Sends reports, forever.
pub(crate) async fn send_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    // The sequence starts at the current time, so that reports of a later incarnation
    // of this daemon do not count as older than this one's.
    let mut sequence = gw.now().0;
    let mut last = LastFull::default();
    loop {
        // A timeout is the heartbeat.
        let _ = timeout(HEARTBEAT, gw.report_due.notified()).await;
        sequence += 1;
        let (targets, brief_readers) = targets(&gw);
        match datagrams(&gw, sequence, &mut last) {
            Ok((full, brief)) => {
                for to in &targets {
                    let bytes = if brief_readers.contains(to) {
                        &brief
                    } else {
                        &full
                    };
                    // Waits while the socket's buffer is full: if datagrams were
                    // dropped instead, always the same peers would miss them, those
                    // at the end of the list. One that cannot be sent in time
                    // counts as lost; the next one is complete again.
                    let _ = timeout(SEND_TIMEOUT, socket.send_to(bytes, *to)).await;
                }
            }
            Err(e) => warn!(target: "members", error:% = e; "report not encoded"),
        }
        let min_report_interval = min_report_interval(targets.len());
        sleep(min_report_interval).await;
    }
}

/// Encodes a report for daemons that need it in full, and one for those that read briefs.
/// Both are full reports every [`HEARTBEAT`], and when something has changed that a brief
/// omits.
///
/// The runs at workers change about fifty times per second and are a fifth of a full
/// report. The rest would be most of the bytes sent between data centres.
fn datagrams(
    gw: &Gateway,
    sequence: u64,
    last: &mut LastFull,
) -> Result<(Vec<u8>, Vec<u8>), postcard::Error> {
    let (report, supplement) = wire::report(gw, sequence);
    let brief = report.brief(&supplement);
    let urgent = report.urgent(gw.suspects.borrow().version());
    let full = append_checksum(postcard::to_allocvec(&(
        report,
        supplement,
        Extensions::own(gw),
    ))?);
    let now = gw.now();
    if last.urgent.as_ref() == Some(&urgent) && !last.full_due.is_past(now) {
        return Ok((full, brief.encode(&Limits::own(gw, true))?));
    }
    last.urgent = Some(urgent);
    last.full_due = now + HEARTBEAT;
    Ok((full.clone(), full))
}

/// The addresses of all known peers and seeds, and of those among them that read briefs.
fn targets(gw: &Gateway) -> (BTreeSet<SocketAddr>, BTreeSet<SocketAddr>) {
    let members = gw.members.borrow();
    let mut targets: BTreeSet<SocketAddr> = members.peers().map(|(_, p)| p.reports).collect();
    let alive_peers = members.alive_peers(gw.now());
    let brief_readers = alive_peers.filter(|(_, p)| p.reads_briefs);
    let brief_readers = brief_readers.map(|(_, p)| p.reports).collect();
    let port = gw.settings.reports.port();
    let seeds = gw.seeds.borrow();
    targets.extend(seeds.iter().map(|s| SocketAddr::new(s.ip(), port)));
    targets.remove(&gw.settings.reports);
    targets.remove(&gw.settings.advertised_reports());
    (targets, brief_readers)
}

/// Receives reports, forever.
pub(crate) async fn receive_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let is_asking = Rc::new(Cell::new(false));
    let mut senders = Senders::default();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            // An earlier datagram was undeliverable, as the peer is down.
            continue;
        };
        match wire::read(&buf[..length]) {
            Ok(Datagram::Full(report, ..)) if report.entry == *gw.me() => {}
            Ok(Datagram::Full(report, supplement, extensions)) => {
                senders.note(&report.entry, report.run);
                apply_report(&gw, *report, supplement, extensions, &is_asking);
            }
            Ok(Datagram::Brief(brief, limits)) => {
                // Briefs of an unknown sender are ignored until its next full report.
                if let Some((sender, run)) = senders.get(brief.sender) {
                    limits.take(&gw, sender, *run);
                    apply_load(&gw, sender, brief.load(&gw));
                }
            }
            Err(e) => warn!(target: "members", from:% = from, error:% = e; "report not read"),
        }
    }
}

/// Daemons that have sent a full report, by the tag in their briefs.
#[derive(Default)]
struct Senders(HashMap<u32, (EntryName, Incarnation)>);

impl Senders {
    fn note(&mut self, entry: &EntryName, run: Incarnation) {
        let tag = sender_tag(entry, run);
        if self.0.get(&tag).is_some_and(|(known, _)| known == entry) {
            return;
        }
        // The sender's previous incarnation sends no more briefs.
        self.0.retain(|_, (known, _)| known != entry);
        self.0.insert(tag, (entry.clone(), run));
    }

    fn get(&self, tag: u32) -> Option<&(EntryName, Incarnation)> {
        self.0.get(&tag)
    }
}

fn apply_report(
    gw: &Rc<Gateway>,
    report: Report,
    supplement: Supplement,
    extensions: Extensions,
    is_asking: &Rc<Cell<bool>>,
) {
    let now = gw.now();
    extensions
        .crash_notices
        .take(&mut gw.suspects.borrow_mut(), now);
    extensions.limits.take(gw, &report.entry, report.run);
    let reads_briefs = supplement.reads_briefs;
    if let Some(sender_data_centre) = supplement.sender_data_centre.clone() {
        gw.board
            .borrow_mut()
            .note_data_centre(&report.entry, sender_data_centre);
    }
    let load = load_of(&report, supplement, now);
    apply_load(gw, &report.entry, load);
    for job in &report.cancelled {
        crate::jobs::cancellation_reported(gw, job, &report.entry);
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
    note_peer(
        gw,
        report,
        reads_briefs,
        (extensions.freshness, extensions.list, extensions.roles),
        now,
    );
    for job in &cancelled {
        gw.members.borrow_mut().claimed(job, now);
    }
    if gw.cluster_state.borrow().lacks(revisions) {
        catch_up(gw, is_asking);
    }
}

/// Records a peer's load. Batch runs of this daemon may have to be preempted, or further
/// items may be started.
fn apply_load(gw: &Gateway, peer: &EntryName, load: PeerLoad) {
    gw.board.borrow_mut().hear(peer, load);
    crate::jobs::preempt_batch_runs(gw);
    gw.batch_due.notify_one();
}

fn note_peer(
    gw: &Gateway,
    report: Report,
    reads_briefs: bool,
    (freshness, list, roles): (Freshness, WorkerList, Roles),
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
        is_candidate: roles.is_candidate(),
    };
    let mut members = gw.members.borrow_mut();
    let has_restarted = members.knows_other_run(&report.entry, report.run);
    let is_new_incarnation = members.record_report(report.entry.clone(), peer);
    drop(members);
    if has_restarted {
        // The jobs of the peer's previous incarnation have no owner now.
        gw.jobs.borrow().orphans_due.notify_one();
    }
    if is_new_incarnation && gw.discoveries.borrow_mut().note(gw.now()) {
        info!(target: "members", peer:% = report.entry, run:% = report.run; "peer discovered");
    }
}
