//! Results that two daemons report to the readers of one job. The model drives the real
//! functions that decide which daemon runs the job ([`decide_takeover`]) and for how long an
//! owner may answer from memory ([`RegistrationSpan`]).
//!
//! Registry entries expire, VMs are suspended or disconnected from the store, responses
//! are lost, and the job moves from one daemon to the other and back. The invariant:
//! once any reader has read a result, no later reader is told that the result does not
//! exist.
//!
//! Only one daemon has faults. The other one renews its own entry at each tick.
//! This loses no case, as the peer could fail only in ways in which the first daemon
//! fails too.

use crate::Explored;
use crate::explored::explore_all;
use bluebellreel_batch::{
    OwnerPresence, RegistrationSpan, Stamp, TakeoverDecision, decide_takeover,
};
use bluebellreel_types::Moment;
use std::time::Duration;

/// Length of a tick. A renewal lets an owner answer for 2.5 s, which covers two ticks
/// (0 s and 1.3 s). The entry lives for 3.6 s, less than three ticks.
const TICK: Duration = Duration::from_millis(1300);
/// Number of ticks after a renewal at which the entry has expired.
const ENTRY_TTL_TICKS: u8 = 3;
/// Number of ticks that are explored after the job is accepted: long enough for an
/// entry to expire and the job to be taken over, plus one.
const MAX_TICKS: u8 = 4;
/// As [`MAX_TICKS`], if the response to the acceptance is lost. This case has far more
/// states.
const MAX_TICKS_IN_DOUBT: u8 = 3;
/// The record's revision from which no further change of the record is explored.
const MAX_REVISIONS: u8 = 3;
/// Number of times that a daemon is suspended or disconnected.
const MAX_FAULTS: u8 = 1;
/// Number of results of the job.
const ITEMS: u8 = 1;

/// Guards of the protocol, each of which can be disabled.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is either enabled or disabled"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// An owner answers from memory only if its entry has been alive without
    /// interruption since the store last confirmed the ownership.
    pub registration_span: bool,
    /// Elapsed time includes the time for which the VM was suspended.
    pub suspension: bool,
    /// When an acceptance in doubt turns out to have succeeded, the daemon reads the
    /// recorded results.
    pub read_back: bool,
    /// A stopping daemon, which may hand the job over, does not answer from memory.
    pub stopping: bool,
    /// A job is taken over only after its owner's entry has expired.
    pub entry_expiry: bool,
    /// An owner does not report a result as missing while the outcome of a write is
    /// unknown.
    pub writing: bool,
}

impl Guards {
    /// All guards enabled, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self {
            registration_span: true,
            suspension: true,
            read_back: true,
            stopping: true,
            entry_expiry: true,
            writing: true,
        }
    }
}

/// The job in its owner's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OwnedJob {
    revision: u8,
    listed: u8,
    /// Time of the last request in whose response the store confirmed that the daemon
    /// owns the job.
    confirmed_at: Stamp,
    /// The owner has sent a result to the store and has not received the response.
    writing: bool,
}

/// Index of the daemon that has faults.
const FAULTY: usize = 0;
/// Index of the daemon that has no faults.
const PEER: usize = 1;

/// Condition of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Health {
    Healthy,
    /// The daemon's VM is suspended.
    Suspended,
    /// The daemon reaches neither the store nor its peer.
    Disconnected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    health: Health,
    /// Number of ticks that the daemon's steady clock has missed while suspended.
    missed: u8,
    registration_span: RegistrationSpan,
    /// Send time of a renewal that the store has applied and whose response the daemon
    /// has not read yet.
    renewing: Option<Stamp>,
    /// Set while the daemon still has to read the job's results: the revision at which
    /// it owns the job, and when the store confirmed that.
    loading: Option<(u8, Stamp)>,
    owned: Option<OwnedJob>,
    /// Send time of the acceptance whose response was lost.
    in_doubt: Option<Stamp>,
    stopping: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u8,
    max_ticks: u8,
    faults: u8,
    revision: u8,
    owner: usize,
    ended: bool,
    recorded: u8,
    /// The tick at which each daemon's entry expires.
    entries: [u8; 2],
    daemons: [Daemon; 2],
    /// The largest number of results that any reader has read.
    read: u8,
    /// The invariant violation that has occurred, if any.
    violation: Option<&'static str>,
}

impl State {
    fn has_live_entry(&self, at: usize) -> bool {
        self.time < self.entries[at]
    }

    fn stamp(&self, at: usize, guards: Guards) -> Stamp {
        let missed = self.daemons[at].missed;
        let steady = TICK * u32::from(self.time - missed);
        let suspended = if guards.suspension { missed } else { 0 };
        Stamp {
            at: Moment(1) + steady,
            suspended: TICK * u32::from(suspended),
        }
    }

    fn reaches_store(&self, at: usize) -> bool {
        self.daemons[at].health == Health::Healthy
    }

    /// Reports `listed` results to a reader.
    fn answer_reader(&mut self, listed: u8) {
        if listed < self.read {
            self.violation = Some("a result that was read is reported as missing");
        }
        self.read = self.read.max(listed);
    }
}

/// The initial state: the first daemon has accepted the job. If `answered` is false, it
/// has not received the response to the acceptance.
fn start(answered: bool) -> State {
    let asked = Stamp {
        at: Moment(1),
        suspended: Duration::ZERO,
    };
    let mut registration_span = RegistrationSpan::default();
    registration_span.renewed(asked, asked);
    let daemon = Daemon {
        health: Health::Healthy,
        missed: 0,
        registration_span,
        renewing: None,
        loading: None,
        owned: None,
        in_doubt: None,
        stopping: false,
    };
    let owned = OwnedJob {
        revision: 1,
        listed: 0,
        confirmed_at: asked,
        writing: false,
    };
    let first = Daemon {
        owned: answered.then_some(owned),
        in_doubt: (!answered).then_some(asked),
        ..daemon
    };
    State {
        time: 0,
        max_ticks: if answered {
            MAX_TICKS
        } else {
            MAX_TICKS_IN_DOUBT
        },
        faults: 0,
        revision: 1,
        owner: 0,
        ended: false,
        recorded: 0,
        entries: [ENTRY_TTL_TICKS; 2],
        daemons: [first, daemon],
        read: 0,
        violation: None,
    }
}

/// Explores all states after an acceptance whose response arrived (`answered`) or was
/// lost.
#[must_use]
pub fn explore(answered: bool, guards: Guards) -> Explored {
    let invariant_violation = |state: &State| state.violation.map(str::to_owned);
    explore_all(
        start(answered),
        |state| successors(state, guards),
        invariant_violation,
    )
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    if state.time < state.max_ticks {
        let mut later = state.clone();
        later.time += 1;
        for daemon in &mut later.daemons {
            daemon.missed += u8::from(daemon.health == Health::Suspended);
        }
        later.entries[PEER] = later.time + ENTRY_TTL_TICKS;
        let now = later.stamp(PEER, guards);
        later.daemons[PEER].registration_span.renewed(now, now);
        next.push(later);
    }
    // A reader reads from the store if its daemon knows of no owner.
    let mut replied = state.clone();
    replied.answer_reader(state.recorded);
    next.push(replied);
    if !state.ended && state.revision < MAX_REVISIONS {
        let mut ended = state.clone();
        ended.ended = true;
        ended.revision += 1;
        next.push(ended);
    }
    faults(state, FAULTY, &mut next);
    if state.daemons[FAULTY].health != Health::Suspended {
        read_renewal_answer(state, FAULTY, guards, &mut next);
    }
    if state.reaches_store(FAULTY) {
        renew(state, FAULTY, guards, &mut next);
    }
    for at in [FAULTY, PEER] {
        if state.daemons[at].health != Health::Suspended {
            read(state, at, guards, &mut next);
        }
        if state.reaches_store(at) {
            decide(state, at, guards, &mut next);
            check_ownership(state, at, guards, &mut next);
            load(state, at, &mut next);
            record(state, at, guards, &mut next);
            hand_over(state, at, &mut next);
        }
    }
    next
}

fn faults(state: &State, at: usize, next: &mut Vec<State>) {
    let mut push_health = |health: Health, faults: u8| {
        let mut changed = state.clone();
        changed.daemons[at].health = health;
        changed.faults += faults;
        next.push(changed);
    };
    if state.daemons[at].health != Health::Healthy {
        push_health(Health::Healthy, 0);
    } else if state.faults < MAX_FAULTS {
        push_health(Health::Suspended, 1);
        push_health(Health::Disconnected, 1);
    }
}

/// The store applies a renewal. If the entry has expired, the store reports that and
/// the daemon writes the entry again.
fn renew(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    if state.daemons[at].renewing.is_some() {
        return;
    }
    let mut renewed = state.clone();
    if !state.has_live_entry(at) {
        renewed.daemons[at].registration_span.interrupt();
    }
    renewed.entries[at] = state.time + ENTRY_TTL_TICKS;
    renewed.daemons[at].renewing = Some(state.stamp(at, guards));
    next.push(renewed);
}

/// The daemon reads the response to a renewal, possibly late, or the response is lost.
fn read_renewal_answer(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let Some(sent) = state.daemons[at].renewing else {
        return;
    };
    let mut lost = state.clone();
    lost.daemons[at].renewing = None;
    let mut delivered = lost.clone();
    delivered.daemons[at]
        .registration_span
        .renewed(sent, state.stamp(at, guards));
    next.extend([lost, delivered]);
}

/// Resolves an acceptance in doubt: the daemon repeats the write and finds an existing
/// record.
fn decide(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let Some(asked) = state.daemons[at].in_doubt else {
        return;
    };
    let mut decided = state.clone();
    decided.daemons[at].in_doubt = None;
    let is_ours = state.owner == at && !state.ended;
    if is_ours && state.daemons[at].owned.is_none() {
        decided.daemons[at].owned = Some(OwnedJob {
            revision: state.revision,
            listed: if guards.read_back { state.recorded } else { 0 },
            confirmed_at: asked,
            writing: false,
        });
    }
    next.push(decided);
}

/// A daemon checks whether the job has a live owner, and takes the job over if not.
fn check_ownership(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let daemon = &state.daemons[at];
    if state.ended || daemon.stopping || daemon.owned.is_some() || daemon.loading.is_some() {
        return;
    }
    let owner_is_well = state.reaches_store(state.owner);
    let sign = match state.owner {
        owner if owner == at => OwnerPresence::ThisDaemon,
        owner if guards.entry_expiry && state.has_live_entry(owner) => OwnerPresence::Silent,
        // Without the guard, the daemon relies on messages from the owner alone.
        _ if !guards.entry_expiry && owner_is_well => OwnerPresence::Reporting,
        _ => OwnerPresence::Gone,
    };
    let mut changed = state.clone();
    let asked = state.stamp(at, guards);
    match decide_takeover(sign, true) {
        TakeoverDecision::Run => changed.daemons[at].loading = Some((state.revision, asked)),
        TakeoverDecision::TakeOver if state.revision < MAX_REVISIONS => {
            changed.owner = at;
            changed.revision += 1;
            changed.daemons[at].loading = Some((changed.revision, asked));
        }
        TakeoverDecision::LeaveToOwner
        | TakeoverDecision::RecheckSoon
        | TakeoverDecision::TakeOver => return,
    }
    next.push(changed);
}

/// Reads a job's recorded results after its record.
fn load(state: &State, at: usize, next: &mut Vec<State>) {
    let Some((revision, confirmed_at)) = state.daemons[at].loading else {
        return;
    };
    let mut loaded = state.clone();
    loaded.daemons[at].loading = None;
    let known = state.daemons[at].owned;
    if known.is_some_and(|known| known.revision >= revision) {
        next.push(loaded);
        return;
    }
    loaded.daemons[at].owned = Some(OwnedJob {
        revision,
        listed: state.recorded,
        confirmed_at,
        writing: false,
    });
    next.push(loaded);
}

/// An owner records a result. The response arrives, or is lost and the owner repeats
/// the write later.
fn record(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let Some(owned) = state.daemons[at].owned else {
        return;
    };
    let mut written = state.clone();
    if owned.revision != state.revision {
        written.daemons[at].owned = None;
        next.push(written);
        return;
    }
    if !owned.writing && state.recorded == owned.listed && state.recorded < ITEMS {
        written.recorded += 1;
        let mut unanswered = written.clone();
        unanswered.daemons[at].owned = Some(OwnedJob {
            writing: guards.writing,
            ..owned
        });
        next.push(unanswered);
    }
    if written.recorded > owned.listed {
        written.daemons[at].owned = Some(OwnedJob {
            listed: written.recorded,
            confirmed_at: state.stamp(at, guards),
            writing: false,
            ..owned
        });
        next.push(written);
    }
}

/// A stopping owner makes its peer the owner. The response arrives or is lost.
fn hand_over(state: &State, at: usize, next: &mut Vec<State>) {
    let Some(owned) = state.daemons[at].owned else {
        return;
    };
    let may_change = !state.ended && state.revision < MAX_REVISIONS;
    let successor = 1 - at;
    if owned.revision != state.revision || !may_change || state.daemons[successor].stopping {
        return;
    }
    let mut handed = state.clone();
    handed.owner = successor;
    handed.revision += 1;
    handed.daemons[at].stopping = true;
    next.push(handed.clone());
    handed.daemons[at].owned = None;
    next.push(handed);
}

/// A reader asks a daemon that considers itself the owner, for the position after the
/// last one that any reader has read, or for an earlier one.
fn read(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let Some(owned) = state.daemons[at].owned else {
        return;
    };
    let now = state.stamp(at, guards);
    let registration_span = state.daemons[at].registration_span;
    let not_stopping = !guards.stopping || !state.daemons[at].stopping;
    let may_answer = not_stopping
        && (!guards.registration_span || registration_span.covers(owned.confirmed_at, now));
    let mut replied = state.clone();
    if owned.writing {
        // The reader reads from the store instead, which `successors` covers as a separate
        // step.
        return;
    } else if may_answer {
        replied.answer_reader(owned.listed);
    } else if !state.reaches_store(at) {
        return;
    } else if owned.revision == state.revision {
        replied.daemons[at].owned = Some(OwnedJob {
            confirmed_at: now,
            ..owned
        });
        replied.answer_reader(owned.listed);
    } else {
        replied.daemons[at].owned = None;
    }
    next.push(replied);
}
