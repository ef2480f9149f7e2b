//! What reports look like on the wire.
//!
//! A full report says everything of its sender. Between two of them, what changes
//! some fifty times a second is only what runs where: that goes in a brief, which
//! needs the full report before it to be understood.

use crate::gateway::Gateway;
use bluebellreel_dispatch::{Boot, PeerLoad, PeerRuns, Running, WorkerTag};
use bluebellreel_members::{Revisions, SILENT};
use bluebellreel_types::{DataCentre, EntryName, Incarnation, JobId, Moment, WorkerName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use twox_hash::XxHash64;

/// First byte of a brief. A report begins with the length of its sender's name,
/// which is never none.
const BRIEF: u8 = 0;

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

/// A datagram as it was read.
pub(super) enum Datagram {
    Full(Box<Report>, Supplement),
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
}

impl Report {
    pub(super) fn urgent(&self) -> Urgent {
        Urgent {
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
        postcard::to_allocvec(&(BRIEF, self))
    }

    /// The load that it tells of. Workers that are not known here are left out:
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
            expires_at: gw.now() + SILENT,
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
    let supplement = Supplement {
        boots,
        reads_briefs: true,
        place: Some(gw.settings.data_centre.clone()),
    };
    (report, supplement)
}

/// Reads a datagram.
pub(super) fn read(datagram: &[u8]) -> Result<Datagram, postcard::Error> {
    if let [BRIEF, rest @ ..] = datagram {
        return postcard::from_bytes(rest).map(Datagram::Brief);
    }
    let (report, rest) = postcard::take_from_bytes::<Report>(datagram)?;
    let supplement = if rest.is_empty() {
        Supplement::default()
    } else {
        postcard::from_bytes(rest)?
    };
    Ok(Datagram::Full(Box::new(report), supplement))
}

/// A peer's load as its report tells it.
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
        expires_at: now + SILENT,
    }
}
