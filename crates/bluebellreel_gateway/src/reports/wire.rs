//! What reports look like on the wire.
//!
//! A full report says everything of its sender. Between two of them, what changes
//! some fifty times a second is only what runs where: that goes in a brief, which
//! needs the full report before it to be understood.
//!
//! Each datagram ends with a checksum of what stands before. Daemons of earlier
//! versions leave what follows a message; what they send has none.

use super::parts::Rest;
use crate::gateway::Gateway;
use bluebellreel_dispatch::{Boot, PeerLoad, PeerRuns, Running, WorkerTag};
use bluebellreel_members::{PEER_TIMEOUT, Revisions};
use bluebellreel_types::{DataCentre, EntryName, Incarnation, JobId, Moment, WorkerName};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// First byte of a brief. A report begins with the length of its sender's name,
/// which is never none.
const BRIEF: u8 = 0;

/// Length of a checksum in bytes. One in four billion datagrams that are no
/// reports has a right one.
const SEAL_BYTES: usize = 4;

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
    /// How long the store has served it without an outage; in seconds.
    pub(super) served_s: u32,
    pub(super) revisions: Revisions,
    pub(super) jobs: Vec<JobId>,
    pub(super) running: Vec<(WorkerName, u32, u32)>,
    pub(super) waiting: u32,
    pub(super) tokens: Vec<(String, u64)>,
    pub(super) cancelled: Vec<JobId>,
}

/// What follows a report. Daemons of an earlier version read the report and
/// leave this; what they send lacks it.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Supplement {
    /// The lives of the workers in `running`, in the same order.
    boots: Vec<Option<Boot>>,
    /// Whether its sender understands briefs.
    pub(super) reads_briefs: bool,
    /// Where its sender stands.
    pub(super) place: Option<DataCentre>,
}

/// What runs where, between two full reports.
#[derive(Serialize, Deserialize)]
pub(super) struct Brief {
    /// Which run of which daemon sends it; see [`sender_tag`].
    pub(super) sender: u32,
    pub(super) sequence: u64,
    waiting: u32,
    /// Online requests and batch items at each worker that has any.
    running: Vec<(WorkerTag, u8, u8)>,
}

/// Why a datagram is no report.
#[derive(Debug)]
pub(super) enum Unread {
    /// It ends early, or a value in it cannot be.
    Malformed(postcard::Error),
    /// Bytes follow that are not its checksum.
    TurnedOrCut,
    /// No daemon has such a name.
    Sender,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(e) => e.fmt(f),
            Self::TurnedOrCut => f.write_str("it is not as it was sent"),
            Self::Sender => f.write_str("its sender's name cannot be"),
        }
    }
}

impl From<postcard::Error> for Unread {
    fn from(e: postcard::Error) -> Self {
        Self::Malformed(e)
    }
}

/// A datagram as it was read.
pub(super) enum Datagram {
    Full(Box<Report>, Supplement, Rest),
    Brief(Brief),
}

/// The short name of a daemon's run: a daemon that has started again counts anew,
/// and what its run before has sent must not be taken for its own.
pub(super) fn sender_tag(entry: &EntryName, run: Incarnation) -> u32 {
    let hash = XxHash64::oneshot(run.0, entry.as_str().as_bytes());
    u32::try_from(hash >> 32).unwrap_or(0)
}

/// The parts of a report that a brief leaves out and that may not wait for the
/// next regular one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Urgent {
    stopping: bool,
    reaches_store: bool,
    revisions: Revisions,
    jobs: Vec<JobId>,
    cancelled: Vec<JobId>,
    /// Of what is known of crashes.
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

    /// The same report, as far as a brief says it.
    pub(super) fn brief(&self, supplement: &Supplement) -> Brief {
        let few = |n: u32| u8::try_from(n).unwrap_or(u8::MAX);
        let runs = self.running.iter().zip(&supplement.boots);
        let running = runs.map(|((id, online, batch), boot)| {
            (WorkerTag::of(id, *boot), few(*online), few(*batch))
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
    /// A brief as it is sent.
    pub(super) fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_allocvec(&(BRIEF, self)).map(seal)
    }

    /// The load that it reports. Workers that are not known here are left out:
    /// nothing is sent to them either.
    pub(super) fn load(&self, gw: &Gateway) -> PeerLoad {
        let board = gw.board.borrow();
        let running = self.running.iter().filter_map(|(tag, online, batch)| {
            let (id, boot) = board.tagged(*tag)?;
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

/// What this daemon says of itself.
pub(super) fn report(gw: &Gateway, sequence: u64) -> (Report, Supplement) {
    let board = gw.board.borrow();
    let running = board
        .own()
        .map(|(worker, _, r)| (worker.clone(), r.online, r.batch));
    let facts = gw.facts.borrow();
    let report = Report {
        entry: gw.me().clone(),
        run: gw.run,
        sequence,
        calls: gw.settings.advertised_peers(),
        reports: gw.settings.advertised_reports(),
        stopping: gw.stopping.get(),
        reaches_store: !gw.store.is_lost(),
        served_s: u32::try_from(gw.store.served_for().as_secs()).unwrap_or(u32::MAX),
        revisions: facts.revisions(),
        jobs: gw.jobs.borrow().owned_ids(),
        running: running.collect(),
        waiting: gw.jobs.borrow().items_waiting(),
        tokens: gw.jobs.borrow().tokens_by_route().into_iter().collect(),
        cancelled: gw.jobs.borrow().ended_here(),
    };
    let boots = board.own().map(|(_, boot, _)| boot).collect();
    let supplement = Supplement {
        boots,
        reads_briefs: true,
        place: Some(gw.settings.data_centre.clone()),
    };
    (report, supplement)
}

/// Adds its checksum to a datagram.
pub(super) fn seal(mut datagram: Vec<u8>) -> Vec<u8> {
    let sum = checksum(&datagram);
    datagram.extend_from_slice(&sum);
    datagram
}

fn checksum(bytes: &[u8]) -> [u8; SEAL_BYTES] {
    let hash = XxHash64::oneshot(0, bytes);
    u32::try_from(hash >> 32).unwrap_or(0).to_le_bytes()
}

/// What stands before a checksum that is right.
fn unsealed(datagram: &[u8]) -> Option<&[u8]> {
    let (bytes, sum) = datagram.split_last_chunk::<SEAL_BYTES>()?;
    (checksum(bytes) == *sum).then_some(bytes)
}

/// Reads a datagram.
pub(super) fn read(datagram: &[u8]) -> Result<Datagram, Unread> {
    if let Some(bytes) = unsealed(datagram) {
        return Ok(parse(bytes)?.0);
    }
    let (read, rest) = parse(datagram)?;
    // Guard: bytes that nobody sent as a report can be read as one, with a peer that
    // does not exist, its jobs and its load. Without a checksum a datagram must be an
    // earlier version's: it ends where its message does, and a daemon may have its
    // sender's name.
    if !rest.is_empty() {
        return Err(Unread::TurnedOrCut);
    }
    if let Datagram::Full(report, ..) = &read
        && !is_name(report.entry.as_str())
    {
        return Err(Unread::Sender);
    }
    Ok(read)
}

/// Reads a message; the bytes that follow it.
fn parse(datagram: &[u8]) -> Result<(Datagram, &[u8]), postcard::Error> {
    if let [BRIEF, rest @ ..] = datagram {
        let (brief, rest) = postcard::take_from_bytes(rest)?;
        return Ok((Datagram::Brief(brief), rest));
    }
    let (report, rest) = postcard::take_from_bytes::<Report>(datagram)?;
    let (supplement, rest) = optional(rest)?;
    let (warnings, rest) = optional(rest)?;
    let (freshness, rest) = optional(rest)?;
    let (list, rest) = optional(rest)?;
    let parts = Rest {
        warnings,
        freshness,
        list,
    };
    let full = Datagram::Full(Box::new(report), supplement, parts);
    Ok((full, rest))
}

/// Reads a part that earlier versions do not send; the bytes that follow it.
fn optional<T: Default + DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), postcard::Error> {
    if bytes.is_empty() {
        return Ok((T::default(), bytes));
    }
    postcard::take_from_bytes(bytes)
}

/// Whether settings allow a daemon this name.
fn is_name(name: &str) -> bool {
    let plain = |c: char| c.is_alphanumeric() || "-_.".contains(c);
    !name.is_empty() && name.chars().all(plain)
}

/// A peer's load as it reports it.
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
