//! Sends this daemon's reports.

use super::HEARTBEAT;
use super::interval::min_audience_interval;
use super::parts::{Extensions, Limits};
use super::scheduling::Scheduling;
use super::wire::{self, Urgent, append_checksum};
use crate::gateway::Gateway;
use bluebellreel_members::{Audience, MAX_DIRECT_PEERS};
use bluebellreel_types::Moment;
use log::warn;
use rand::RngExt;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// Interval between reports to a silent peer of many.
const SILENT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of sending one datagram, which waits while the socket's buffer is full.
const SEND_TIMEOUT: Duration = Duration::from_millis(20);

/// What the next report depends on.
#[derive(Default)]
struct SendState {
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
    let mut state = SendState::default();
    loop {
        // A timeout is the heartbeat.
        let _ = timeout(HEARTBEAT, gw.report_due.notified()).await;
        sequence += 1;
        let audience = audience(&gw);
        match encode(&gw, sequence, &mut state) {
            Ok(encoded) => {
                for (to, bytes) in datagrams(&gw, &audience, &encoded, &mut state) {
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
fn encode(gw: &Gateway, sequence: u64, state: &mut SendState) -> Result<Encoded, postcard::Error> {
    let (report, supplement) = wire::report(gw, sequence);
    let brief = report.brief(&supplement);
    let suspects = gw.suspects.borrow().version() + gw.part_suspects.borrow().version();
    let urgent = report.urgent(suspects);
    let parts = (report, supplement, Extensions::own(gw));
    let full = append_checksum(postcard::to_allocvec(&parts)?);
    let now = gw.now();
    if state.urgent.as_ref() == Some(&urgent) && !state.full_due.is_past(now) {
        let brief = brief.encode(&Limits::own(gw, true), &Scheduling::own(gw, true))?;
        return Ok(Encoded {
            full,
            brief: Some(brief),
        });
    }
    state.urgent = Some(urgent);
    state.full_due = now + HEARTBEAT;
    Ok(Encoded { full, brief: None })
}

/// The datagrams of a report, with those that it carries for other daemons.
fn datagrams(
    gw: &Gateway,
    audience: &Audience<SocketAddr>,
    encoded: &Encoded,
    state: &mut SendState,
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
    state
        .silent_due
        .retain(|to, due| audience.silent.contains(to) && !due.is_past(now));
    for to in &audience.silent {
        if !state.silent_due.contains_key(to) {
            state.silent_due.insert(*to, now + SILENT_INTERVAL);
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
