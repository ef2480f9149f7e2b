//! The wire format of reports.
//!
//! A full report contains the whole state of its sender. Between two full reports usually
//! only the runs at workers change, about fifty times per second. These are sent in a
//! brief, which can be interpreted only after a full report of the same sender.
//!
//! Each datagram ends with a checksum of the preceding bytes. Daemons of earlier versions
//! ignore the bytes after a message, and send no checksum.

use super::parts::{Extensions, Limits};
use super::scheduling::Scheduling;
use crate::gateway::Gateway;
use bluebellreel_dispatch::{Boot, PeerLoad, PeerRuns, Running, WorkerTag};
use bluebellreel_members::{PEER_TIMEOUT, Revisions};
use bluebellreel_types::{DataCentre, EntryName, Incarnation, JobId, Moment, WorkerName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// First byte of a brief. A full report begins with the length of its sender's name,
/// which is never zero.
const BRIEF_TAG: u8 = 0;

/// First byte of a full report that its recipient is asked to forward. As the length of a
/// name it would need a second byte, and names are shorter.
const FORWARD_TAG: u8 = 0xff;
/// First byte of a bundle of reports, which cannot be the length of a name either.
const BUNDLE_TAG: u8 = 0xfe;

/// Length of a checksum in bytes. One in four billion invalid datagrams has a correct
/// checksum by chance.
const CHECKSUM_BYTES: usize = 4;

/// A full report.
#[derive(Serialize, Deserialize)]
pub(super) struct Report {
    pub(super) entry: EntryName,
    pub(super) run: Incarnation,
    pub(super) sequence: u64,
    pub(super) calls: SocketAddr,
    pub(super) reports: SocketAddr,
    pub(super) stopping: bool,
    pub(super) reaches_store: bool,
    /// How long the store has served the sender without an outage, in seconds.
    pub(super) served_s: u32,
    pub(super) revisions: Revisions,
    pub(super) jobs: Vec<JobId>,
    pub(super) running: Vec<(WorkerName, u32, u32)>,
    pub(super) waiting: u32,
    pub(super) tokens: Vec<(String, u64)>,
    pub(super) cancelled: Vec<JobId>,
}

/// The part that follows a report. Daemons of an earlier version ignore it and do not
/// send it.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Supplement {
    /// The incarnations of the workers in `running`, in the same order.
    boots: Vec<Option<Boot>>,
    /// Whether the sender understands briefs.
    pub(super) reads_briefs: bool,
    /// The sender's data centre.
    pub(super) sender_data_centre: Option<DataCentre>,
}

/// The sender's runs at workers, sent between two full reports.
#[derive(Serialize, Deserialize)]
pub(super) struct Brief {
    /// Identifies the sender's name and incarnation; see [`sender_tag`].
    pub(super) sender: u32,
    pub(super) sequence: u64,
    waiting: u32,
    /// Numbers of online requests and batch items at each worker that has any.
    running: Vec<(WorkerTag, u8, u8)>,
}

/// Why a datagram could not be decoded.
#[derive(Debug)]
pub(super) enum DecodeError {
    /// It ends early, or contains an invalid value.
    Malformed(postcard::Error),
    /// The bytes after the message are not its checksum.
    Corrupt,
    /// The sender's name is not a valid name of a daemon.
    InvalidSender,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => e.fmt(f),
            Self::Corrupt => f.write_str("checksum mismatch"),
            Self::InvalidSender => f.write_str("invalid name of the sender"),
        }
    }
}

impl From<postcard::Error> for DecodeError {
    fn from(e: postcard::Error) -> Self {
        Self::Malformed(e)
    }
}

/// A decoded datagram.
pub(super) enum Datagram {
    Full(Box<Report>, Supplement, Extensions),
    Brief(Brief, Limits, Scheduling),
}

/// The reports in a datagram.
pub(super) enum Envelope<'a> {
    /// One report of the datagram's sender.
    Single(&'a [u8]),
    /// A full report of the datagram's sender, which its recipient is asked to forward.
    Forward(&'a [u8]),
    /// A report of the datagram's sender, followed by full reports that it forwards.
    Bundle(Vec<&'a [u8]>),
}

/// Unpacks a datagram.
pub(super) fn open(datagram: &[u8]) -> Result<Envelope<'_>, DecodeError> {
    match datagram {
        [FORWARD_TAG, report @ ..] => Ok(Envelope::Forward(report)),
        [BUNDLE_TAG, ..] => {
            let bytes = strip_checksum(datagram).ok_or(DecodeError::Corrupt)?;
            Ok(Envelope::Bundle(postcard::from_bytes(&bytes[1..])?))
        }
        _ => Ok(Envelope::Single(datagram)),
    }
}

/// Packs a full report that its recipient is asked to forward.
pub(super) fn to_forward(report: &[u8]) -> Vec<u8> {
    let mut datagram = vec![FORWARD_TAG];
    datagram.extend_from_slice(report);
    datagram
}

/// Packs a report of this daemon and reports that it forwards.
pub(super) fn bundle(own: &[u8], forwarded: &[Vec<u8>]) -> Result<Vec<u8>, postcard::Error> {
    let reports: Vec<&[u8]> = std::iter::once(own)
        .chain(forwarded.iter().map(Vec::as_slice))
        .collect();
    postcard::to_extend(&reports, vec![BUNDLE_TAG]).map(append_checksum)
}

/// The sender, its incarnation and the sequence of a full report; none if the datagram is
/// not one. Decodes no more than that.
pub(super) fn header(report: &[u8]) -> Option<(EntryName, Incarnation, u64)> {
    if report.first() == Some(&BRIEF_TAG) {
        return None;
    }
    let (header, _) = postcard::take_from_bytes(report).ok()?;
    Some(header)
}

/// A short identifier of a daemon's incarnation: a restarted daemon counts its reports
/// from a new number, and briefs of its previous incarnation must not be attributed to it.
pub(super) fn sender_tag(entry: &EntryName, run: Incarnation) -> u32 {
    let hash = XxHash64::oneshot(run.0, entry.as_str().as_bytes());
    u32::try_from(hash >> 32).unwrap_or(0)
}

/// The parts of a report that a brief omits and whose changes must not wait for the next
/// regular full report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Urgent {
    stopping: bool,
    reaches_store: bool,
    revisions: Revisions,
    jobs: Vec<JobId>,
    cancelled: Vec<JobId>,
    /// Version of the known crashes.
    suspects: u64,
}

impl Report {
    pub(super) fn urgent(&self, suspects: u64) -> Urgent {
        Urgent {
            suspects,
            stopping: self.stopping,
            reaches_store: self.reaches_store,
            revisions: self.revisions,
            jobs: self.jobs.clone(),
            cancelled: self.cancelled.clone(),
        }
    }

    /// The brief that corresponds to this report.
    pub(super) fn brief(&self, supplement: &Supplement) -> Brief {
        let saturated = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        let runs = self.running.iter().zip(&supplement.boots);
        let running = runs.map(|((id, online, batch), boot)| {
            (
                WorkerTag::of(id, *boot),
                saturated(*online),
                saturated(*batch),
            )
        });
        Brief {
            sender: sender_tag(&self.entry, self.run),
            sequence: self.sequence,
            waiting: self.waiting,
            running: running.collect(),
        }
    }
}

impl Brief {
    /// Encodes the brief as a datagram.
    pub(super) fn encode(
        &self,
        limits: &Limits,
        scheduling: &Scheduling,
    ) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(&(BRIEF_TAG, self, limits, scheduling)).map(append_checksum)
    }

    /// The load that the brief reports. Workers that this daemon does not know are
    /// omitted: it does not send to them either.
    pub(super) fn load(&self, gw: &Gateway) -> PeerLoad {
        let board = gw.board.borrow();
        let running = self.running.iter().filter_map(|(tag, online, batch)| {
            let (id, boot) = board.worker_by_tag(*tag)?;
            let running = Running {
                online: u32::from(*online),
                batch: u32::from(*batch),
            };
            Some((id.clone(), PeerRuns { boot, running }))
        });
        PeerLoad {
            sequence: self.sequence,
            running: running.collect(),
            waiting: self.waiting,
            expires_at: gw.now() + PEER_TIMEOUT,
        }
    }
}

/// Creates this daemon's report.
pub(super) fn report(gw: &Gateway, sequence: u64) -> (Report, Supplement) {
    let board = gw.board.borrow();
    let running = board
        .own()
        .map(|(worker, _, r)| (worker.clone(), r.online, r.batch));
    let cluster_state = gw.cluster_state.borrow();
    let report = Report {
        entry: gw.me().clone(),
        run: gw.run,
        sequence,
        calls: gw.settings.advertised_peers(),
        reports: gw.settings.advertised_reports(),
        stopping: gw.stopping.get(),
        reaches_store: !gw.store.is_lost(),
        served_s: u32::try_from(gw.store.served_for().as_secs()).unwrap_or(u32::MAX),
        revisions: cluster_state.revisions(),
        jobs: gw.jobs.borrow().owned_ids(),
        running: running.collect(),
        waiting: crate::jobs::items_waiting(gw),
        tokens: gw.jobs.borrow().tokens_by_scope().into_iter().collect(),
        cancelled: gw.jobs.borrow().cancelled_here(),
    };
    let boots = board.own().map(|(_, boot, _)| boot).collect();
    let supplement = Supplement {
        boots,
        reads_briefs: true,
        sender_data_centre: Some(gw.settings.data_centre.clone()),
    };
    (report, supplement)
}

/// Appends the checksum to a datagram.
pub(super) fn append_checksum(mut datagram: Vec<u8>) -> Vec<u8> {
    let sum = checksum(&datagram);
    datagram.extend_from_slice(&sum);
    datagram
}

fn checksum(bytes: &[u8]) -> [u8; CHECKSUM_BYTES] {
    let hash = XxHash64::oneshot(0, bytes);
    u32::try_from(hash >> 32).unwrap_or(0).to_le_bytes()
}

/// The bytes before the checksum, if the checksum is correct.
fn strip_checksum(datagram: &[u8]) -> Option<&[u8]> {
    let (bytes, sum) = datagram.split_last_chunk::<CHECKSUM_BYTES>()?;
    (checksum(bytes) == *sum).then_some(bytes)
}

/// Decodes a datagram.
pub(super) fn read(datagram: &[u8]) -> Result<Datagram, DecodeError> {
    if let Some(bytes) = strip_checksum(datagram) {
        return Ok(parse(bytes)?.0);
    }
    let (read, rest) = parse(datagram)?;
    // Arbitrary bytes may decode as a report of a peer that does not exist, with jobs and
    // load. A datagram without a checksum must therefore be one of an earlier version:
    // nothing follows its message, and its sender has a valid name.
    if !rest.is_empty() {
        return Err(DecodeError::Corrupt);
    }
    if let Datagram::Full(report, ..) = &read
        && !is_valid_name(report.entry.as_str())
    {
        return Err(DecodeError::InvalidSender);
    }
    Ok(read)
}

/// Decodes a message. Also returns the bytes that follow it.
fn parse(datagram: &[u8]) -> Result<(Datagram, &[u8]), postcard::Error> {
    if let [BRIEF_TAG, rest @ ..] = datagram {
        let (brief, rest) = postcard::take_from_bytes(rest)?;
        let (limits, rest) = optional(rest)?;
        let (scheduling, rest) = optional(rest)?;
        return Ok((Datagram::Brief(brief, limits, scheduling), rest));
    }
    let (report, rest) = postcard::take_from_bytes::<Report>(datagram)?;
    let (supplement, rest) = optional(rest)?;
    let (crash_notices, rest) = optional(rest)?;
    let (freshness, rest) = optional(rest)?;
    let (list, rest) = optional(rest)?;
    let (limits, rest) = optional(rest)?;
    let (roles, rest) = optional(rest)?;
    let (part_notices, rest) = optional(rest)?;
    let (scheduling, rest) = optional(rest)?;
    let (part_depths, rest) = optional(rest)?;
    let parts = Extensions {
        crash_notices,
        freshness,
        list,
        limits,
        roles,
        part_notices,
        scheduling,
        part_depths,
    };
    let full = Datagram::Full(Box::new(report), supplement, parts);
    Ok((full, rest))
}

/// Decodes a part that earlier versions do not send. Also returns the bytes that follow
/// it.
fn optional<T: Default + DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

/// Whether the settings accept this as a daemon's name.
fn is_valid_name(name: &str) -> bool {
    let plain = |c: char| c.is_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.chars().all(plain)
}

/// The load that a peer's full report contains.
pub(super) fn load_of(report: &Report, supplement: Supplement, now: Moment) -> PeerLoad {
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
        expires_at: now + PEER_TIMEOUT,
    }
}
