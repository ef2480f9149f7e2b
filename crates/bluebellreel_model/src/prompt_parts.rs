//! Requests that share a part of their prompts which crashes workers, at two daemons.
//!
//! All prompts share their first part. Requests with the other part crash each worker that
//! runs them; those without it are answered. The real suspects decide what is sent. A state
//! is the list of what has happened, which is replayed.

use crate::Explored;
use crate::explored::explore_all;
use bluebellreel_dispatch::{
    CrashedRun, Depth, Fingerprint, PartCrash, PartNotice, PartSuspects, QuarantineStatus,
    VersionTag, WorkerTag,
};
use bluebellreel_types::Moment;
use std::time::Duration;

/// Number of events that are explored.
const MAX_EVENTS: usize = 7;
/// Duration of a run until its answer or the crash of its worker.
const RUN: Duration = Duration::from_millis(50);
/// Duration of a pause.
const PAUSE: Duration = Duration::from_millis(400);
/// Number of crashes until the part is quarantined at all daemons, without trials.
const MAX_CRASHES: usize = 3;
/// Time within which requests without the part must be sent again, at least as a trial.
const RECOVERY: Duration = Duration::from_secs(6);

const VERSION: VersionTag = VersionTag(1);

/// Guards of the protocol, each of which can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Guards {
    /// Daemons notify each other of crashes.
    pub notices: bool,
    /// Answers speak for the parts of their prompts.
    pub answers: bool,
    /// Daemons tell trials that failed from other crashes.
    pub trials: bool,
}

impl Guards {
    /// All guards enabled, as in production.
    #[must_use]
    pub fn all() -> Self {
        Self {
            notices: true,
            answers: true,
            trials: true,
        }
    }
}

/// What happened before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nothing.
    Cold,
    /// A request without the part was answered.
    Answered,
}

/// What may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Event {
    /// A request with the part comes to a daemon.
    Bad(usize),
    /// A request without it comes to the first daemon.
    Sound,
    Pause,
}

const EVENTS: [Event; 4] = [Event::Bad(0), Event::Bad(1), Event::Sound, Event::Pause];

/// The daemons after some events.
struct World {
    guards: Guards,
    daemons: [PartSuspects; 2],
    now: Moment,
    /// Runs with the part, and those of them that were no trials.
    crashes: usize,
    untried_crashes: usize,
    /// Whether a request without the part was answered before the first crash.
    answered_first: bool,
    /// Whether a request without the part was held back, or sent as a trial only.
    held: bool,
}

fn bad() -> [Fingerprint; 2] {
    [Fingerprint::of(&[b"first"]), Fingerprint::of(&[b"bad"])]
}

fn sound() -> [Fingerprint; 2] {
    [Fingerprint::of(&[b"first"]), Fingerprint::of(&[b"sound"])]
}

impl World {
    fn after(events: &[Event], start: Start, guards: Guards) -> Self {
        let mut world = Self {
            guards,
            daemons: [PartSuspects::default(), PartSuspects::default()],
            now: Moment(1_000_000_000),
            crashes: 0,
            untried_crashes: 0,
            answered_first: false,
            held: false,
        };
        if start == Start::Answered {
            world.ask_sound();
        }
        for event in events {
            match event {
                Event::Bad(daemon) => world.ask_bad(*daemon),
                Event::Sound => world.ask_sound(),
                Event::Pause => world.now = world.now + PAUSE,
            }
        }
        world
    }

    fn ask_bad(&mut self, daemon: usize) {
        let verdict = self.daemons[daemon].verdict(&bad(), VERSION, self.now);
        let is_trial = match verdict.status {
            QuarantineStatus::Clear | QuarantineStatus::Suspect => false,
            QuarantineStatus::TrialOnly(_) => true,
            QuarantineStatus::Quarantined(_) => return,
        };
        let began = self.now;
        self.now = began + RUN;
        self.crashes += 1;
        self.untried_crashes += usize::from(!is_trial);
        let worker = WorkerTag(u32::try_from(self.crashes).unwrap_or(0));
        let run = CrashedRun {
            began,
            crashed: self.now,
            cleared: false,
        };
        for part in bad() {
            let crash = PartCrash {
                run,
                version: VERSION,
                depth: Depth::default(),
                written: false,
                progressed: false,
                trial: is_trial && self.guards.trials && verdict.parts.contains(&part),
            };
            let notice = PartNotice {
                part,
                worker,
                crash,
            };
            self.daemons[daemon].note_own_crash(notice, self.now);
        }
        self.exchange();
    }

    fn ask_sound(&mut self) {
        let daemon = &mut self.daemons[0];
        let verdict = daemon.verdict(&sound(), VERSION, self.now);
        let status = verdict.status;
        self.held |= !matches!(status, QuarantineStatus::Clear | QuarantineStatus::Suspect);
        if matches!(status, QuarantineStatus::Quarantined(_)) {
            return;
        }
        self.now = self.now + RUN;
        self.answered_first |= self.crashes == 0;
        if self.guards.answers {
            daemon.note_answer(&sound(), VERSION, self.now);
        }
        self.exchange();
    }

    fn exchange(&mut self) {
        if !self.guards.notices {
            return;
        }
        for (from, to) in [(0, 1), (1, 0)] {
            for notice in self.daemons[from].notices(true, self.now) {
                self.daemons[to].note_crash(notice, self.now);
            }
        }
    }

    fn violation(&self) -> Option<String> {
        if self.untried_crashes > MAX_CRASHES {
            return Some("the part crashed workers after its quarantine, without a trial".into());
        }
        // One trial is due within the time that is explored.
        if self.crashes > MAX_CRASHES + 1 {
            return Some("trials that failed were repeated at once".into());
        }
        if self.answered_first && self.held {
            return Some("requests whose parts were answered before were held back".into());
        }
        let later = self.now + RECOVERY;
        for daemon in &self.daemons {
            let verdict = daemon.verdict(&sound(), VERSION, later);
            if matches!(verdict.status, QuarantineStatus::Quarantined(_)) {
                return Some("requests without the part were held back for seconds".into());
            }
        }
        None
    }
}

/// Explores all states.
#[must_use]
pub fn explore(start: Start, guards: Guards) -> Explored {
    explore_all(
        Vec::new(),
        |events: &Vec<Event>| {
            let more = if events.len() < MAX_EVENTS {
                &EVENTS[..]
            } else {
                &[]
            };
            let with = |event: &Event| [events.as_slice(), &[*event]].concat();
            more.iter().map(with).collect::<Vec<Vec<Event>>>()
        },
        |events| World::after(events, start, guards).violation(),
    )
}
