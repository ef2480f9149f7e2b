//! What two daemons tell readers of one job, with the real functions that decide
//! who looks after it ([`decide_takeover`]) and how long an owner is sure ([`RegistrationSpan`]).
//!
//! Entries end, VMs are suspended and cut off from the store, answers are lost,
//! and the job goes from one daemon to the other and back. Whatever happens: where
//! a reader has once read a result, no later reader is told that there is none.
//!
//! One of the two meets faults. Its peer does not: it renews its entry at each
//! tick, and whatever it could do wrong the other one can.

use crate::Explored;
use crate::explored::explore_all;
use bluebellreel_batch::{
    OwnerPresence, RegistrationSpan, Stamp, TakeoverDecision, decide_takeover,
};
use bluebellreel_types::Moment;
use std::time::Duration;

/// Length of a tick. A renewal vouches for two of them (2.5 s), and the entry
/// stands for less than three (3.6 s).
const TICK: Duration = Duration::from_millis(1300);
/// Ticks after a renewal at which the entry has ended.
const ENTRY_TICKS: u8 = 3;
/// Ticks that are explored after an acceptance: long enough for an entry to end
/// and the job to be taken over, and one more.
const MOST_TICKS: u8 = 4;
/// The same where the acceptance is in doubt, which has far more states.
const MOST_TICKS_IN_DOUBT: u8 = 3;
/// Changes of the record that are explored.
const MOST_REVISIONS: u8 = 3;
/// Times that a daemon is suspended or cut off.
const MOST_FAULTS: u8 = 1;
/// Results of the job.
const ITEMS: u8 = 1;

/// Guards that may be left out.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is there or left out"
)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// An owner is sure only while its entry has stood since the store's word.
    pub tenure: bool,
    /// Time suspended counts.
    pub suspension: bool,
    /// An acceptance that is decided late reads what is recorded.
    pub read_back: bool,
    /// A daemon that stops, and may hand the job over, is never sure.
    pub stopping: bool,
    /// A job is taken over only once its owner's entry has ended.
    pub entry: bool,
    /// Nothing is told to be missing while a write is in doubt.
    pub writing: bool,
}

impl Guards {
    /// All guards, as in the product.
    #[must_use]
    pub fn all() -> Self {
        Self {
            tenure: true,
            suspension: true,
            read_back: true,
            stopping: true,
            entry: true,
            writing: true,
        }
    }
}

/// The job in an owner's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Owned {
    revision: u8,
    listed: u8,
    /// When the store was last asked and said that the job is the owner's.
    word: Stamp,
    /// A result is written, and the answer has not come.
    writing: bool,
}

/// The daemon that meets faults.
const TRIED: usize = 0;
/// Its peer.
const PEER: usize = 1;

/// Whether a daemon is at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Health {
    Well,
    /// Its VM stands still.
    Suspended,
    /// It does not reach the store, nor its peer.
    Cut,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Daemon {
    health: Health,
    /// Ticks that its steady clock has missed.
    missed: u8,
    tenure: RegistrationSpan,
    /// A renewal that the store has done and whose answer is not read yet.
    renewing: Option<Stamp>,
    /// The job was taken over at this revision, and is not read yet.
    loading: Option<(u8, Stamp)>,
    owned: Option<Owned>,
    /// When the acceptance was sent whose answer was lost.
    in_doubt: Option<Stamp>,
    stopping: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u8,
    most_ticks: u8,
    faults: u8,
    revision: u8,
    owner: usize,
    ended: bool,
    recorded: u8,
    /// Until when each daemon's entry stands.
    entries: [u8; 2],
    daemons: [Daemon; 2],
    /// Results that some reader has read.
    read: u8,
    /// What was told that must not be.
    wrong: Option<&'static str>,
}

impl State {
    fn entry_stands(&self, at: usize) -> bool {
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
        self.daemons[at].health == Health::Well
    }

    /// A reader is told of so many results.
    fn tell(&mut self, listed: u8) {
        if listed < self.read {
            self.wrong = Some("a result that was read is not there");
        }
        self.read = self.read.max(listed);
    }
}

/// The job was accepted by the first daemon, which knows it, or whose answer was
/// lost.
fn start(answered: bool) -> State {
    let asked = Stamp {
        at: Moment(1),
        suspended: Duration::ZERO,
    };
    let mut tenure = RegistrationSpan::default();
    tenure.renewed(asked, asked);
    let daemon = Daemon {
        health: Health::Well,
        missed: 0,
        tenure,
        renewing: None,
        loading: None,
        owned: None,
        in_doubt: None,
        stopping: false,
    };
    let owned = Owned {
        revision: 1,
        listed: 0,
        word: asked,
        writing: false,
    };
    let first = Daemon {
        owned: answered.then_some(owned),
        in_doubt: (!answered).then_some(asked),
        ..daemon
    };
    State {
        time: 0,
        most_ticks: if answered {
            MOST_TICKS
        } else {
            MOST_TICKS_IN_DOUBT
        },
        faults: 0,
        revision: 1,
        owner: 0,
        ended: false,
        recorded: 0,
        entries: [ENTRY_TICKS; 2],
        daemons: [first, daemon],
        read: 0,
        wrong: None,
    }
}

/// Explores all states after an acceptance that was answered, or whose answer was
/// lost.
#[must_use]
pub fn explore(answered: bool, guards: Guards) -> Explored {
    let broken = |state: &State| state.wrong.map(str::to_owned);
    explore_all(start(answered), |state| successors(state, guards), broken)
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    if state.time < state.most_ticks {
        let mut later = state.clone();
        later.time += 1;
        for daemon in &mut later.daemons {
            daemon.missed += u8::from(daemon.health == Health::Suspended);
        }
        later.entries[PEER] = later.time + ENTRY_TICKS;
        let now = later.stamp(PEER, guards);
        later.daemons[PEER].tenure.renewed(now, now);
        next.push(later);
    }
    // A reader whose daemon does not know of an owner asks the store.
    let mut told = state.clone();
    told.tell(state.recorded);
    next.push(told);
    if !state.ended && state.revision < MOST_REVISIONS {
        let mut ended = state.clone();
        ended.ended = true;
        ended.revision += 1;
        next.push(ended);
    }
    faults(state, TRIED, &mut next);
    if state.daemons[TRIED].health != Health::Suspended {
        hear_renewal(state, TRIED, guards, &mut next);
    }
    if state.reaches_store(TRIED) {
        renew(state, TRIED, guards, &mut next);
    }
    for at in [TRIED, PEER] {
        if state.daemons[at].health != Health::Suspended {
            read(state, at, guards, &mut next);
        }
        if state.reaches_store(at) {
            decide(state, at, guards, &mut next);
            look(state, at, guards, &mut next);
            load(state, at, &mut next);
            record(state, at, guards, &mut next);
            hand_over(state, at, &mut next);
        }
    }
    next
}

fn faults(state: &State, at: usize, next: &mut Vec<State>) {
    let mut become_ = |health: Health, faults: u8| {
        let mut changed = state.clone();
        changed.daemons[at].health = health;
        changed.faults += faults;
        next.push(changed);
    };
    if state.daemons[at].health != Health::Well {
        become_(Health::Well, 0);
    } else if state.faults < MOST_FAULTS {
        become_(Health::Suspended, 1);
        become_(Health::Cut, 1);
    }
}

/// The store does a renewal, or says that the entry has ended, which is then
/// written again.
fn renew(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    if state.daemons[at].renewing.is_some() {
        return;
    }
    let mut renewed = state.clone();
    if !state.entry_stands(at) {
        renewed.daemons[at].tenure.interrupt();
    }
    renewed.entries[at] = state.time + ENTRY_TICKS;
    renewed.daemons[at].renewing = Some(state.stamp(at, guards));
    next.push(renewed);
}

/// The answer to a renewal is read, late or not; or it was lost.
fn hear_renewal(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let Some(sent) = state.daemons[at].renewing else {
        return;
    };
    let mut lost = state.clone();
    lost.daemons[at].renewing = None;
    let mut heard = lost.clone();
    heard.daemons[at]
        .tenure
        .renewed(sent, state.stamp(at, guards));
    next.extend([lost, heard]);
}

/// An acceptance that was in doubt is decided: its write meets a record.
fn decide(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let Some(asked) = state.daemons[at].in_doubt else {
        return;
    };
    let mut decided = state.clone();
    decided.daemons[at].in_doubt = None;
    let is_ours = state.owner == at && !state.ended;
    if is_ours && state.daemons[at].owned.is_none() {
        decided.daemons[at].owned = Some(Owned {
            revision: state.revision,
            listed: if guards.read_back { state.recorded } else { 0 },
            word: asked,
            writing: false,
        });
    }
    next.push(decided);
}

/// A daemon looks whether the job has an owner.
fn look(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let daemon = &state.daemons[at];
    if state.ended || daemon.stopping || daemon.owned.is_some() || daemon.loading.is_some() {
        return;
    }
    let owner_is_well = state.reaches_store(state.owner);
    let sign = match state.owner {
        owner if owner == at => OwnerPresence::ThisDaemon,
        owner if guards.entry && state.entry_stands(owner) => OwnerPresence::Silent,
        // Without the guard it goes by what it has heard.
        _ if !guards.entry && owner_is_well => OwnerPresence::Reporting,
        _ => OwnerPresence::Gone,
    };
    let mut changed = state.clone();
    let asked = state.stamp(at, guards);
    match decide_takeover(sign, true) {
        TakeoverDecision::Run => changed.daemons[at].loading = Some((state.revision, asked)),
        TakeoverDecision::TakeOver if state.revision < MOST_REVISIONS => {
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

/// What is recorded of a job is read, after its record was.
fn load(state: &State, at: usize, next: &mut Vec<State>) {
    let Some((revision, word)) = state.daemons[at].loading else {
        return;
    };
    let mut loaded = state.clone();
    loaded.daemons[at].loading = None;
    let known = state.daemons[at].owned;
    if known.is_some_and(|known| known.revision >= revision) {
        next.push(loaded);
        return;
    }
    loaded.daemons[at].owned = Some(Owned {
        revision,
        listed: state.recorded,
        word,
        writing: false,
    });
    next.push(loaded);
}

/// An owner records a result. The answer comes, or is lost and the write is made
/// again later.
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
        unanswered.daemons[at].owned = Some(Owned {
            writing: guards.writing,
            ..owned
        });
        next.push(unanswered);
    }
    if written.recorded > owned.listed {
        written.daemons[at].owned = Some(Owned {
            listed: written.recorded,
            word: state.stamp(at, guards),
            writing: false,
            ..owned
        });
        next.push(written);
    }
}

/// An owner that stops makes its peer the owner. The answer comes, or is lost.
fn hand_over(state: &State, at: usize, next: &mut Vec<State>) {
    let Some(owned) = state.daemons[at].owned else {
        return;
    };
    let may_change = !state.ended && state.revision < MOST_REVISIONS;
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

/// A reader asks a daemon that takes the job for its own, for the position after
/// the last one that anybody has read, or for an earlier one.
fn read(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let Some(owned) = state.daemons[at].owned else {
        return;
    };
    let now = state.stamp(at, guards);
    let tenure = state.daemons[at].tenure;
    let goes_on = !guards.stopping || !state.daemons[at].stopping;
    let is_sure = goes_on && (!guards.tenure || tenure.covers(owned.word, now));
    let mut told = state.clone();
    if owned.writing {
        // The store is asked instead, which is a step of its own.
        return;
    } else if is_sure {
        told.tell(owned.listed);
    } else if !state.reaches_store(at) {
        return;
    } else if owned.revision == state.revision {
        told.daemons[at].owned = Some(Owned { word: now, ..owned });
        told.tell(owned.listed);
    } else {
        told.daemons[at].owned = None;
    }
    next.push(told);
}
