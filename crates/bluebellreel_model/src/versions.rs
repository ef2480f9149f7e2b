//! A stream that its caller resumes while workers of two versions come and go. Two gateways
//! serve callers, and two keepers hold records. Any of them may be killed, and a gateway may be
//! cut off from the store, the keepers and the other one, or stopped, which is the same.
//!
//! Drives the real history of versions and the real records; calls between daemons are
//! modelled as done at once or not at all, and each keeper takes a record or does not.
//! Gateways that are in touch learn of changes within a lifetime of a stream, keepers at once;
//! one that is cut off does not know that it is. A gateway that has just started may have been
//! visited by the first keeper only. Workers of a version that has not been listed for a lifetime
//! have ended. Streams that begin at a gateway which has been cut off for longer are not modelled:
//! it passes them on without a record.

use crate::Explored;
use crate::explored::explore_all;
use bluebellreel_origins::{MAX_LAG, OriginRecords, StreamTag, VersionHistory};
use bluebellreel_types::{Moment, WorkerVersion};
use std::sync::Arc;
use std::time::Duration;

/// How long a caller may resume its stream.
const LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of changes of the list of workers.
const MAX_CHANGES: u8 = 2;
/// Maximum number of kills of each daemon.
const MAX_KILLS: u8 = 1;
/// Maximum number of cuts of all gateways.
const MAX_CUTS: u8 = 1;
/// Time for which a gateway is cut off at least.
const GAP: Duration = Duration::from_secs(6);
const GATEWAYS: usize = 2;
const KEEPERS: usize = 2;
const VERSIONS: [&str; 2] = ["v1", "v2"];
const SERVICE: &str = "lm";

/// A guard of the protocol that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    /// A stream is recorded unless a single version has been listed for a lifetime.
    Record,
    /// A gateway that has just started is not certain of a single version.
    UncertainAtStart,
    /// A gateway asks for records before it infers a version.
    Ask,
    /// While anybody who may have a record is silent, a version is inferred only if no other
    /// one has been listed until now.
    Silence,
    /// Keepers have records on their disks before they acknowledge them.
    Disks,
    /// A stream that would be taken for one of another version is passed on only once a
    /// keeper has its record.
    RequireRecord,
    /// Keepers name each other to gateways that they have not all visited.
    NameKeepers,
    /// A stream goes on only by a list that is known to be complete now.
    CheckList,
    /// A version that was learned late may have been listed since the list was last known to be
    /// complete.
    ProveHistory,
}

impl Guard {
    /// All guards.
    pub const ALL: [Self; 9] = [
        Self::Record,
        Self::UncertainAtStart,
        Self::Ask,
        Self::Silence,
        Self::Disks,
        Self::RequireRecord,
        Self::NameKeepers,
        Self::CheckList,
        Self::ProveHistory,
    ];
}

/// The guards in force: all, or all but one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Guards {
    /// The disabled guard.
    pub disabled: Option<Guard>,
}

impl Guards {
    fn has(self, guard: Guard) -> bool {
        self.disabled != Some(guard)
    }
}

/// Which versions are listed, by their index.
type Listed = [bool; 2];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    /// Its lists, in order, and whether each was learned at most a lifetime ago; empty if it
    /// is down.
    learned: Vec<(bool, Listed)>,
    /// Later lists that it has yet to learn, in order.
    pending: Vec<Listed>,
    /// The version that it has recorded for the stream.
    record: Option<usize>,
    kills: u8,
    is_cut: bool,
    cuts: u8,
    /// Whether a lifetime has passed while it was cut off.
    has_missed: bool,
    /// Whether it learned the last list only, after it was cut off.
    has_gap: bool,
}

impl Gateway {
    fn is_up(&self) -> bool {
        !self.learned.is_empty()
    }

    /// Learns the lists that were made since the last one; after a cut, only the newest.
    fn learn(&mut self) {
        if self.has_gap {
            let newest = self.pending.pop();
            self.pending = newest.into_iter().collect();
        }
        let learned = self.pending.drain(..).map(|l| (true, l));
        self.learned.extend(learned);
    }

    fn known(&self) -> Listed {
        self.learned.last().map_or([false; 2], |(_, l)| *l)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Keeper {
    is_up: bool,
    /// The version that it has recorded for the stream.
    record: Option<usize>,
    kills: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// All lists, in order, and whether each was made at most a lifetime ago.
    lists: Vec<(bool, Listed)>,
    changes: u8,
    gateways: [Gateway; GATEWAYS],
    keepers: [Keeper; KEEPERS],
    /// The version that began the stream.
    began: Option<usize>,
    /// The version at which a caller resumed it.
    resumed: Option<usize>,
}

impl State {
    /// The present list.
    fn listed(&self) -> Listed {
        self.lists.last().map_or([false; 2], |(_, listed)| *listed)
    }

    /// Whether workers of a version run: they end within a lifetime after they are removed.
    fn has_workers(&self, version: usize) -> bool {
        self.lists.iter().any(|(_, listed)| listed[version])
    }
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let gateway = Gateway {
        learned: vec![(false, [true, false])],
        pending: Vec::new(),
        record: None,
        kills: 0,
        is_cut: false,
        cuts: 0,
        has_missed: false,
        has_gap: false,
    };
    let keeper = Keeper {
        is_up: true,
        record: None,
        kills: 0,
    };
    let initial = State {
        lists: vec![(false, [true, false])],
        changes: 0,
        gateways: [gateway.clone(), gateway],
        keepers: [keeper.clone(), keeper],
        began: None,
        resumed: None,
    };
    explore_all(
        initial,
        |state| successors(state, guards),
        |state| {
            let began = state.began?;
            let joined = state.resumed.is_some_and(|resumed| resumed != began);
            joined.then(|| "a stream went on at another version".into())
        },
    )
}

/// The current time, two lifetimes after the start.
fn now() -> Moment {
    Moment(0) + LIFETIME * 2
}

/// The time at which a list was learned.
fn learned_at(is_recent: bool) -> Moment {
    if is_recent {
        now() - LIFETIME / 2
    } else {
        Moment(0)
    }
}

fn successors(state: &State, guards: Guards) -> Vec<State> {
    let mut next = Vec::new();
    if state.resumed.is_some() {
        return next;
    }
    change_list(state, &mut next);
    pass_time(state, &mut next);
    for at in 0..GATEWAYS {
        let gateway = &state.gateways[at];
        if !gateway.is_up() {
            let mut started = state.clone();
            started.gateways[at].learned = vec![(true, state.listed())];
            next.push(started);
            continue;
        }
        if !gateway.is_cut && !gateway.pending.is_empty() {
            let mut learned = state.clone();
            learned.gateways[at].learn();
            next.push(learned);
        }
        begin(state, at, guards, &mut next);
        resume(state, at, guards, &mut next);
        if gateway.kills < MAX_KILLS && !gateway.is_cut {
            let mut killed = state.clone();
            killed.gateways[at].learned.clear();
            killed.gateways[at].pending.clear();
            killed.gateways[at].record = None;
            killed.gateways[at].kills += 1;
            killed.gateways[at].has_missed = false;
            killed.gateways[at].has_gap = false;
            next.push(killed);
        }
        let cuts: u8 = state.gateways.iter().map(|g| g.cuts).sum();
        if gateway.is_cut || cuts < MAX_CUTS {
            let mut changed = state.clone();
            changed.gateways[at].is_cut = !gateway.is_cut;
            changed.gateways[at].cuts += u8::from(!gateway.is_cut);
            changed.gateways[at].has_gap = true;
            next.push(changed);
        }
    }
    for at in 0..KEEPERS {
        restart_keeper(state, at, guards, &mut next);
    }
    next
}

fn change_list(state: &State, next: &mut Vec<State>) {
    for listed in [[true, false], [true, true], [false, true]] {
        if state.changes < MAX_CHANGES && listed != state.listed() {
            let mut changed = state.clone();
            changed.lists.push((true, listed));
            changed.changes += 1;
            for gateway in changed.gateways.iter_mut().filter(|g| g.is_up()) {
                gateway.pending.push(listed);
            }
            next.push(changed);
        }
    }
}

/// A lifetime passes before the stream begins. By then all gateways that run and are in touch
/// know the list.
fn pass_time(state: &State, next: &mut Vec<State>) {
    let is_known = |g: &Gateway| !g.is_up() || g.is_cut || g.pending.is_empty();
    if state.began.is_some() || !state.gateways.iter().all(is_known) {
        return;
    }
    let mut later = state.clone();
    for gateway in later.gateways.iter_mut().filter(|g| g.is_cut) {
        gateway.has_missed = true;
    }
    let learned = later.gateways.iter_mut().map(|g| &mut g.learned);
    for lists in learned.chain([&mut later.lists]) {
        let last = lists.pop();
        *lists = last.into_iter().map(|(_, list)| (false, list)).collect();
    }
    next.push(later);
}

fn restart_keeper(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let keeper = &state.keepers[at];
    let others_up = (0..KEEPERS).any(|k| k != at && state.keepers[k].is_up);
    let mut changed = state.clone();
    if !keeper.is_up {
        changed.keepers[at].is_up = true;
    } else if keeper.kills < MAX_KILLS && (others_up || state.began.is_some()) {
        changed.keepers[at].is_up = false;
        changed.keepers[at].kills += 1;
        if !guards.has(Guard::Disks) {
            changed.keepers[at].record = None;
        }
    } else {
        return;
    }
    next.push(changed);
}

/// The history of versions that a gateway has.
fn history(gateway: &Gateway, guards: Guards) -> VersionHistory {
    let gap = match () {
        () if !guards.has(Guard::ProveHistory) => Duration::ZERO,
        () if gateway.has_missed => LIFETIME,
        () if gateway.has_gap => GAP,
        () => Duration::ZERO,
    };
    let mut history = history_of(&gateway.learned, gap, guards);
    let proven = match () {
        () if gateway.pending.is_empty() || !guards.has(Guard::ProveHistory) => now(),
        () if gateway.has_missed => return history,
        () => now() - MAX_LAG,
    };
    prove_until(&mut history, proven);
    history
}

/// The history of versions by some lists, with a time without a complete list before the later
/// ones.
fn history_of(lists: &[(bool, Listed)], gap: Duration, guards: Guards) -> VersionHistory {
    let mut history = VersionHistory::default();
    let service: Arc<str> = Arc::from(SERVICE);
    let versions = VERSIONS.map(WorkerVersion::from);
    for (n, (is_recent, listed)) in lists.iter().enumerate() {
        let is_recent = *is_recent && (n > 0 || guards.has(Guard::UncertainAtStart));
        let workers = versions.iter().zip(listed).filter(|(_, listed)| **listed);
        let at = learned_at(is_recent);
        let gap = if is_recent { gap } else { Duration::ZERO };
        prove_until(&mut history, at - gap);
        history.update(workers.map(|(v, _)| (&service, Some(v))), at);
        history.prove(at);
    }
    history
}

/// The list is known to be complete from when it was so last until a moment.
fn prove_until(history: &mut VersionHistory, until: Moment) {
    let mut at = history.proven().unwrap_or(until);
    while at < until {
        at = (at + LIFETIME / 4).min(until);
        history.prove(at);
    }
}

fn begin(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    if state.began.is_some() {
        return;
    }
    let gateway = &state.gateways[at];
    let known = gateway.known();
    let since = now() - LIFETIME;
    let history = history(gateway, guards);
    if gateway.has_missed && (gateway.is_cut || !gateway.pending.is_empty()) {
        return;
    }
    let is_certain = history.is_certain(SERVICE, since);
    let takers = [[false, false], [true, false], [false, true], [true, true]];
    for (version, takes) in (0..VERSIONS.len()).flat_map(|v| takers.map(|takes| (v, takes))) {
        let is_cut = gateway.is_cut;
        if !known[version] || !state.has_workers(version) || (is_cut && takes != [false; 2]) {
            continue;
        }
        let name = WorkerVersion::from(VERSIONS[version]);
        let mut begun = state.clone();
        begun.began = Some(version);
        if guards.has(Guard::Record) && !is_certain {
            for (keeper, takes) in begun.keepers.iter_mut().zip(takes) {
                keeper.record = (takes && keeper.is_up).then_some(version);
            }
            let is_kept = begun.keepers.iter().any(|k| k.record.is_some());
            let is_mistaken = history.may_be_mistaken(SERVICE, &name, since);
            if guards.has(Guard::RequireRecord) && is_mistaken && !is_kept {
                continue;
            }
            let takes_place = begun.keepers.iter().any(|k| !k.is_up);
            for (n, gateway) in begun.gateways.iter_mut().enumerate() {
                let is_reached = !is_cut && !gateway.is_cut && gateway.is_up();
                if n == at || (takes_place && is_reached) {
                    gateway.record = Some(version);
                }
            }
        }
        next.push(begun);
    }
}

/// A caller resumes the stream at a gateway, by the rules of the gateway.
fn resume(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    let mut gateway = state.gateways[at].clone();
    if state.began.is_none() || (gateway.is_cut && guards.has(Guard::CheckList)) {
        return;
    }
    if guards.has(Guard::CheckList) {
        gateway.learn();
    }
    let own = history(&gateway, guards);
    let mut keepers_history = history_of(&state.lists, Duration::ZERO, guards);
    prove_until(&mut keepers_history, now());
    let has_just_started = matches!(gateway.learned[..], [(true, _)]);
    let knows_all = guards.has(Guard::NameKeepers) || !has_just_started;
    let asked = if knows_all {
        &state.keepers[..]
    } else {
        &state.keepers[..1]
    };
    let answering: Vec<_> = asked
        .iter()
        .filter(|k| k.is_up && !gateway.is_cut)
        .collect();
    let others = (0..GATEWAYS)
        .filter(|g| *g != at)
        .map(|g| &state.gateways[g]);
    let (peers, cut_off): (Vec<_>, Vec<_>) = others
        .filter(|g| g.is_up())
        .partition(|g| !g.is_cut && !gateway.is_cut);
    let has_silent = answering.len() < asked.len() || !cut_off.is_empty();
    let records = answering.iter().map(|k| k.record);
    let records = records.chain(peers.iter().map(|g| g.record));
    let mut found = OriginRecords::new(1);
    for record in records.chain([gateway.record]) {
        if let Some(version) = record.filter(|_| guards.has(Guard::Ask)) {
            let version = WorkerVersion::from(VERSIONS[version]);
            found.keep(StreamTag::of("r1"), &version, now() + LIFETIME);
        }
    }
    let since = now() - LIFETIME;
    let infer = |history: &VersionHistory| history.unrecorded(SERVICE, since).cloned();
    let inferred = if !has_silent || !guards.has(Guard::Silence) {
        let by_keepers = || answering.iter().find_map(|_| infer(&keepers_history));
        let by_peers = || peers.iter().find_map(|g| infer(&history(g, guards)));
        infer(&own).or_else(by_keepers).or_else(by_peers)
    } else {
        let own_sole = own.sole_since(SERVICE, since);
        let is_sole = |h: &VersionHistory| h.is_certain(SERVICE, since);
        let others_know = !answering.is_empty() && is_sole(&keepers_history);
        own_sole.filter(|_| is_sole(&own) || others_know).cloned()
    };
    let recorded = found.get(StreamTag::of("r1"), now()).cloned();
    let version = recorded.or(inferred);
    let index = version.and_then(|v| VERSIONS.iter().position(|name| *name == v.as_str()));
    let may_go_on = |v: &usize| gateway.known()[*v] && state.has_workers(*v);
    if let Some(index) = index.filter(may_go_on) {
        let mut resumed = state.clone();
        resumed.resumed = Some(index);
        next.push(resumed);
    }
}
