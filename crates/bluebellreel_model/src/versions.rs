//! A stream that its caller resumes while workers of two versions come and go. Two gateways
//! serve callers, and two keepers hold records. Any of them may be killed.
//!
//! Drives the real history of versions and the real records; calls between daemons are
//! modelled as done at once or not at all, and each keeper takes a record or does not.
//! Gateways learn of changes within a lifetime of a stream, keepers at once. A gateway that
//! has just started may have been visited by the first keeper only.

use crate::Explored;
use crate::explored::explore_all;
use bluebellreel_origins::{OriginRecords, StreamTag, VersionHistory};
use bluebellreel_types::{Moment, WorkerVersion};
use std::sync::Arc;
use std::time::Duration;

/// How long a caller may resume its stream.
const LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of changes of the list of workers.
const MAX_CHANGES: u8 = 2;
/// Maximum number of kills of each daemon.
const MAX_KILLS: u8 = 1;
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
    /// If both keepers are silent, no version is inferred.
    WaitForKeepers,
    /// Keepers have records on their disks before they acknowledge them.
    Disks,
    /// A stream that would be taken for one of another version is passed on only once a
    /// keeper has its record.
    RequireRecord,
    /// Keepers name each other to gateways that they have not all visited.
    NameKeepers,
    /// While a keeper is silent, no version is inferred if another one has listed two.
    Contradict,
}

impl Guard {
    /// All guards.
    pub const ALL: [Self; 8] = [
        Self::Record,
        Self::UncertainAtStart,
        Self::Ask,
        Self::WaitForKeepers,
        Self::Disks,
        Self::RequireRecord,
        Self::NameKeepers,
        Self::Contradict,
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
    /// The version that it has recorded for the stream.
    record: Option<usize>,
    kills: u8,
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
}

/// Explores all states.
#[must_use]
pub fn explore(guards: Guards) -> Explored {
    let gateway = Gateway {
        learned: vec![(false, [true, false])],
        record: None,
        kills: 0,
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
        if gateway.learned.is_empty() {
            let mut started = state.clone();
            started.gateways[at].learned = vec![(true, state.listed())];
            next.push(started);
            continue;
        }
        if gateway.learned.last().map(|(_, listed)| *listed) != Some(state.listed()) {
            let mut learned = state.clone();
            learned.gateways[at].learned.push((true, state.listed()));
            next.push(learned);
        }
        begin(state, at, guards, &mut next);
        resume(state, at, guards, &mut next);
        if gateway.kills < MAX_KILLS {
            let mut killed = state.clone();
            killed.gateways[at].learned.clear();
            killed.gateways[at].record = None;
            killed.gateways[at].kills += 1;
            next.push(killed);
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
            next.push(changed);
        }
    }
}

/// A lifetime passes before the stream begins. By then all gateways that run know the list.
fn pass_time(state: &State, next: &mut Vec<State>) {
    let is_known = |g: &Gateway| g.learned.last().is_none_or(|(_, l)| *l == state.listed());
    if state.began.is_some() || !state.gateways.iter().all(is_known) {
        return;
    }
    let mut later = state.clone();
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
    history_of(&gateway.learned, guards)
}

fn history_of(lists: &[(bool, Listed)], guards: Guards) -> VersionHistory {
    let mut history = VersionHistory::default();
    let service: Arc<str> = Arc::from(SERVICE);
    let versions = VERSIONS.map(WorkerVersion::from);
    for (n, (is_recent, listed)) in lists.iter().enumerate() {
        let is_recent = *is_recent && (n > 0 || guards.has(Guard::UncertainAtStart));
        let workers = versions.iter().zip(listed).filter(|(_, listed)| **listed);
        history.update(
            workers.map(|(v, _)| (&service, Some(v))),
            learned_at(is_recent),
        );
    }
    history
}

fn begin(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    if state.began.is_some() {
        return;
    }
    let gateway = &state.gateways[at];
    let Some((_, known)) = gateway.learned.last() else {
        return;
    };
    let since = now() - LIFETIME;
    let history = history(gateway, guards);
    let is_certain = history.is_certain(SERVICE, since);
    let takers = [[false, false], [true, false], [false, true], [true, true]];
    for (version, takes) in (0..VERSIONS.len()).flat_map(|v| takers.map(|takes| (v, takes))) {
        if !known[version] {
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
                if n == at || (takes_place && !gateway.learned.is_empty()) {
                    gateway.record = Some(version);
                }
            }
        }
        next.push(begun);
    }
}

/// A caller resumes the stream at a gateway, by the rules of the gateway.
fn resume(state: &State, at: usize, guards: Guards, next: &mut Vec<State>) {
    if state.began.is_none() {
        return;
    }
    let own = history(&state.gateways[at], guards);
    let keepers_history = history_of(&state.lists, guards);
    let has_just_started = matches!(state.gateways[at].learned[..], [(true, _)]);
    let knows_all = guards.has(Guard::NameKeepers) || !has_just_started;
    let asked = if knows_all {
        &state.keepers[..]
    } else {
        &state.keepers[..1]
    };
    let silent = asked.iter().filter(|k| !k.is_up).count();
    let mut found = OriginRecords::new(1);
    let records = asked.iter().filter(|k| k.is_up).map(|k| k.record);
    for record in records.chain(state.gateways.iter().map(|g| g.record)) {
        if let Some(version) = record.filter(|_| guards.has(Guard::Ask)) {
            let version = WorkerVersion::from(VERSIONS[version]);
            found.keep(StreamTag::of("r1"), &version, now() + LIFETIME);
        }
    }
    let since = now() - LIFETIME;
    let infer = |history: &VersionHistory| history.unrecorded(SERVICE, since).cloned();
    let others = (0..GATEWAYS).filter(|g| *g != at);
    let peers = others.map(|g| history(&state.gateways[g], guards));
    let keepers = asked.iter().filter(|k| k.is_up).map(|_| &keepers_history);
    let by_others = || keepers.clone().find_map(infer);
    let is_sole = |h: &VersionHistory| h.is_certain(SERVICE, since);
    let agrees =
        !guards.has(Guard::Contradict) || keepers.clone().all(|h| infer(h).is_none() || is_sole(h));
    let lists_no_other = |v: &WorkerVersion| !own.lists_other(SERVICE, v, since);
    let inferred = match silent {
        0 => infer(&own)
            .or_else(by_others)
            .or_else(|| peers.into_iter().find_map(|h| infer(&h))),
        1 if is_sole(&own) && agrees => infer(&own),
        1 => by_others()
            .filter(|_| is_sole(&keepers_history))
            .filter(lists_no_other),
        _ if guards.has(Guard::WaitForKeepers) => None,
        _ => infer(&own),
    };
    let recorded = found.get(StreamTag::of("r1"), now()).cloned();
    let known = state.gateways[at]
        .learned
        .last()
        .map_or([false; 2], |(_, l)| *l);
    let version = recorded.or(inferred);
    let index = version.and_then(|v| VERSIONS.iter().position(|name| *name == v.as_str()));
    if let Some(index) = index.filter(|v| known[*v]) {
        let mut resumed = state.clone();
        resumed.resumed = Some(index);
        next.push(resumed);
    }
}
