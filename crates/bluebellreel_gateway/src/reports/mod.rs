//! Reports to peers by datagram: the runs at workers, the jobs, and the revisions of the
//! known cluster state.
//!
//! A report is sent when something has changed, with a minimum interval of a few
//! milliseconds, and at least four times per second. Each report is complete, so a lost
//! one is compensated by the next. A daemon with many peers reports directly only to those
//! of its data centre, see [`Audience`].

mod catch_up;
mod discoveries;
mod forwarding;
mod interval;
mod parts;
mod wire;

use crate::gateway::Gateway;
use crate::jobs::own::KnownOwner;
use bluebellreel_dispatch::PeerLoad;
use bluebellreel_members::{Audience, MAX_DIRECT_PEERS, PEER_TIMEOUT, Path, Peer, ReportOrder};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use catch_up::catch_up;
pub(crate) use catch_up::{compare_lists, merge_cluster_state};
pub(crate) use discoveries::Discoveries;
pub(crate) use forwarding::ForwardQueue;
use interval::min_audience_interval;
pub(crate) use interval::report_time;
use log::{info, warn};
use parts::{Extensions, Limits};
use rand::RngExt;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};
use wire::{
    Datagram, DecodeError, Envelope, Report, Supplement, Urgent, append_checksum, load_of,
    sender_tag,
};

/// Interval between reports when nothing changes.
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Interval between reports to a silent peer of many.
const SILENT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of sending one datagram, which waits while the socket's buffer is full.
const SEND_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// What the next report depends on.
#[derive(Default)]
struct LastFull {
    urgent: Option<Urgent>,
    /// When the next full report is due.
    full_due: Moment,
    /// When the next report to each silent peer is due.
    silent_due: HashMap<SocketAddr, Moment>,
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
        let audience = audience(&gw);
        match encode(&gw, sequence, &mut last) {
            Ok(encoded) => {
                for (to, bytes) in datagrams(&gw, &audience, &encoded, &mut last) {
                    // Waits while the socket's buffer is full: if datagrams were
                    // dropped instead, always the same peers would miss them, those
                    // at the end of the list. One that cannot be sent in time
                    // counts as lost; the next one is complete again.
                    let _ = timeout(SEND_TIMEOUT, socket.send_to(&bytes, to)).await;
                }
            }
            Err(e) => warn!(target: "members", error:% = e; "report not encoded"),
        }
        sleep(min_audience_interval(&audience)).await;
    }
}

/// A report in both encodings.
struct Encoded {
    full: Vec<u8>,
    /// The brief; none if every peer needs the full report.
    brief: Option<Vec<u8>>,
}

/// Encodes a report. It is a full one every [`HEARTBEAT`], and when something has changed
/// that a brief omits.
///
/// The runs at workers change about fifty times per second and are a fifth of a full
/// report. The rest would be most of the bytes sent between data centres.
fn encode(gw: &Gateway, sequence: u64, last: &mut LastFull) -> Result<Encoded, postcard::Error> {
    let (report, supplement) = wire::report(gw, sequence);
    let brief = report.brief(&supplement);
    let urgent = report.urgent(gw.suspects.borrow().version());
    let parts = (report, supplement, Extensions::own(gw));
    let full = append_checksum(postcard::to_allocvec(&parts)?);
    let now = gw.now();
    if last.urgent.as_ref() == Some(&urgent) && !last.full_due.is_past(now) {
        let brief = brief.encode(&Limits::own(gw, true))?;
        return Ok(Encoded {
            full,
            brief: Some(brief),
        });
    }
    last.urgent = Some(urgent);
    last.full_due = now + HEARTBEAT;
    Ok(Encoded { full, brief: None })
}

/// The datagrams of a report, with those that it carries for other daemons.
fn datagrams(
    gw: &Gateway,
    audience: &Audience<SocketAddr>,
    encoded: &Encoded,
    last: &mut LastFull,
) -> Vec<(SocketAddr, Rc<[u8]>)> {
    let full: Rc<[u8]> = encoded.full.as_slice().into();
    let brief: Rc<[u8]> = encoded.brief.as_deref().map_or(full.clone(), Rc::from);
    let mut datagrams = Vec::new();
    let brief_readers = brief_readers(gw);
    for to in &audience.direct {
        let reads_briefs = brief_readers.contains(to);
        let bytes = if reads_briefs { &brief } else { &full };
        datagrams.push((*to, bytes.clone()));
    }
    let forwarded = gw.forward_queue.borrow_mut().take(gw.elapsed());
    let mut local = Vec::new();
    for reports in &forwarded {
        match wire::bundle(&brief, reports) {
            Ok(bundle) => local.push(Rc::from(bundle)),
            Err(e) => warn!(target: "members", error:% = e; "report not encoded"),
        }
    }
    if local.is_empty() {
        local.push(brief);
    }
    for to in &audience.local {
        datagrams.extend(local.iter().map(|bytes| (*to, bytes.clone())));
    }
    if encoded.brief.is_none() {
        let bytes: Rc<[u8]> = Rc::from(wire::to_forward(&full));
        let forwarders = audience.forwarders.iter();
        datagrams.extend(forwarders.map(|to| (*to, bytes.clone())));
    }
    let now = gw.now();
    last.silent_due
        .retain(|to, due| audience.silent.contains(to) && !due.is_past(now));
    for to in &audience.silent {
        if !last.silent_due.contains_key(to) {
            last.silent_due.insert(*to, now + SILENT_INTERVAL);
            datagrams.push((*to, full.clone()));
        }
    }
    datagrams
}

/// To whom the next report goes: all known peers and the seeds.
fn audience(gw: &Gateway) -> Audience<SocketAddr> {
    let members = gw.members.borrow();
    let mut rng = gw.rng.borrow_mut();
    let draw = |n| rng.random_range(0..n);
    let mut audience = members.audience(&gw.settings.data_centre, gw.now(), draw);
    let known: BTreeSet<SocketAddr> = members.peers().map(|(_, p)| p.reports).collect();
    let port = gw.settings.reports.port();
    let seeds = gw.seeds.borrow();
    let seeds = seeds.iter().map(|s| SocketAddr::new(s.ip(), port));
    let own = [gw.settings.reports, gw.settings.advertised_reports()];
    let unknown = seeds.filter(|to| !known.contains(to) && !own.contains(to));
    if known.len() <= MAX_DIRECT_PEERS {
        audience.direct.extend(unknown);
    } else {
        audience.silent.extend(unknown);
    }
    audience
}

/// Addresses of the peers that read briefs.
fn brief_readers(gw: &Gateway) -> BTreeSet<SocketAddr> {
    let members = gw.members.borrow();
    let alive_peers = members.alive_peers(gw.now());
    let readers = alive_peers.filter(|(_, p)| p.reads_briefs);
    readers.map(|(_, p)| p.reports).collect()
}

/// Receives reports, forever.
pub(crate) async fn receive_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut receiver = Receiver::default();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            // An earlier datagram was undeliverable, as the peer is down.
            continue;
        };
        if let Err(e) = receiver.take_datagram(&gw, &buf[..length]) {
            warn!(target: "members", from:% = from, error:% = e; "report not read");
        }
    }
}

/// What is remembered of the reports received so far.
#[derive(Default)]
struct Receiver {
    senders: Senders,
    order: ReportOrder,
    /// Whether a peer is being asked for newer cluster state.
    is_asking: Rc<Cell<bool>>,
    /// When [`Receiver::order`] is next swept.
    sweep_due: Moment,
}

impl Receiver {
    fn take_datagram(&mut self, gw: &Rc<Gateway>, datagram: &[u8]) -> Result<(), DecodeError> {
        let now = gw.now();
        if self.sweep_due.is_past(now) {
            self.order.sweep(now);
            self.sweep_due = now + PEER_TIMEOUT;
        }
        match wire::open(datagram)? {
            Envelope::Single(report) => {
                self.take_report(gw, report, Path::Direct)?;
            }
            Envelope::Forward(report) => {
                let is_newer = self.take_report(gw, report, Path::Direct)?;
                if is_newer && !gw.forward_queue.borrow_mut().push(report, gw.elapsed()) {
                    gw.metrics.reports_dropped.inc();
                }
            }
            Envelope::Bundle(reports) => {
                let paths = std::iter::once(Path::Direct).chain(std::iter::repeat(Path::Forwarded));
                for (report, path) in reports.into_iter().zip(paths) {
                    self.take_report(gw, report, path)?;
                }
            }
        }
        Ok(())
    }

    /// Applies a report unless a newer one of its sender is known. Returns whether it is a
    /// newer full report.
    fn take_report(
        &mut self,
        gw: &Rc<Gateway>,
        report: &[u8],
        path: Path,
    ) -> Result<bool, DecodeError> {
        if let Some((sender, run, sequence)) = wire::header(report)
            && (sender == *gw.me()
                || !self
                    .order
                    .is_newer(&sender, (run, sequence), path, gw.now()))
        {
            return Ok(false);
        }
        match wire::read(report)? {
            Datagram::Full(report, supplement, extensions) => {
                let id = (report.run, report.sequence);
                self.order.accept(&report.entry, id, gw.now());
                self.senders.note(&report.entry, report.run);
                apply_report(gw, *report, supplement, extensions, &self.is_asking);
                Ok(true)
            }
            Datagram::Brief(brief, limits) => {
                // Briefs of an unknown sender are ignored until its next full report.
                if let Some((sender, run)) = self.senders.get(brief.sender) {
                    limits.take(gw, sender, *run);
                    apply_load(gw, sender, brief.load(gw));
                }
                Ok(false)
            }
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
    let data_centre = supplement.sender_data_centre.clone();
    if let Some(data_centre) = data_centre.clone() {
        gw.board
            .borrow_mut()
            .note_data_centre(&report.entry, data_centre);
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
        answered_at: extensions.freshness.answered_at(now),
        revisions,
        list: extensions.list,
        reads_briefs,
        data_centre,
        forwards: extensions.roles.forwards,
        is_candidate: extensions.roles.is_candidate(),
    };
    note_peer(gw, &report.entry, peer);
    for job in &report.cancelled {
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

fn note_peer(gw: &Gateway, name: &EntryName, peer: Peer) {
    let run = peer.run;
    let mut members = gw.members.borrow_mut();
    let has_restarted = members.knows_other_run(name, run);
    let is_new_incarnation = members.record_report(name.clone(), peer);
    drop(members);
    if has_restarted {
        // The jobs of the peer's previous incarnation have no owner now.
        gw.jobs.borrow().orphans_due.notify_one();
    }
    if is_new_incarnation && gw.discoveries.borrow_mut().note(gw.now()) {
        info!(target: "members", peer:% = name, run:% = run; "peer discovered");
    }
}
