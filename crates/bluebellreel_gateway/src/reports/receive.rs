//! Receives the reports of peers, and queues those that are to be forwarded.

use super::catch_up::catch_up;
use super::parts::Extensions;
use super::wire::{self, Datagram, DecodeError, Envelope, Report, Supplement, load_of, sender_tag};
use crate::gateway::Gateway;
use crate::jobs::own::KnownOwner;
use bluebellreel_members::{PEER_TIMEOUT, Path, Peer, ReportOrder};
use bluebellreel_types::{EntryName, Incarnation, Moment};
use log::{info, warn};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::io::ErrorKind;
use std::rc::Rc;
use tokio::net::UdpSocket;

/// Maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// Maximum number of datagrams that are read before other tasks run.
const MAX_BATCH: usize = 64;

/// Receives reports, forever.
///
/// All datagrams that have arrived are read before batch runs are looked at. Otherwise a
/// daemon for which a look takes long would read ever older reports, and little else would
/// run.
pub(crate) async fn receive_reports(gw: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    let mut receiver = Receiver::default();
    loop {
        let mut datagram = socket.recv_from(&mut buf).await;
        for left in (0..MAX_BATCH).rev() {
            match datagram {
                Ok((length, from)) => {
                    if let Err(e) = receiver.take_datagram(&gw, &buf[..length]) {
                        warn!(target: "members", from:% = from, error:% = e; "report not read");
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // An earlier datagram was undeliverable, as the peer is down.
                Err(_) => {}
            }
            if left == 0 {
                break;
            }
            datagram = socket.try_recv_from(&mut buf);
        }
        if std::mem::take(&mut receiver.loads_changed) {
            crate::jobs::preempt_batch_runs(&gw);
            gw.batch_due.notify_one();
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
    /// Whether peers have reported loads since batch runs were last looked at. Some of them
    /// may have to be preempted, or further items may be started.
    loads_changed: bool,
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
                let mut outcome = Ok(());
                for (report, path) in reports.into_iter().zip(paths) {
                    // One that cannot be read must not keep back those after it.
                    outcome = outcome.and(self.take_report(gw, report, path).map(|_| ()));
                }
                return outcome;
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
                self.loads_changed = true;
                apply_report(gw, *report, supplement, extensions, &self.is_asking);
                Ok(true)
            }
            Datagram::Brief(brief, limits, scheduling) => {
                // Briefs of an unknown sender are ignored until its next full report.
                if let Some((sender, run)) = self.senders.get(brief.sender) {
                    limits.take(gw, sender, *run);
                    scheduling.take(gw, sender, *run, brief.sequence);
                    let load = brief.load(gw);
                    gw.board.borrow_mut().hear(sender, load);
                    self.loads_changed = true;
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
    extensions.part_notices.take(
        extensions.part_depths,
        &mut gw.part_suspects.borrow_mut(),
        now,
    );
    extensions.limits.take(gw, &report.entry, report.run);
    extensions
        .scheduling
        .take(gw, &report.entry, report.run, report.sequence);
    let reads_briefs = supplement.reads_briefs;
    let data_centre = supplement.sender_data_centre.clone();
    if let Some(data_centre) = data_centre.clone() {
        gw.board
            .borrow_mut()
            .note_data_centre(&report.entry, data_centre);
    }
    let load = load_of(&report, supplement, now);
    gw.board.borrow_mut().hear(&report.entry, load);
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
