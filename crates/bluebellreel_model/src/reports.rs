//! Reports of a fleet of daemons in simulated time, with lost datagrams, daemons that are
//! cut off, paused or killed, and daemons that join.
//!
//! The daemons choose their recipients by the real [`Audience`]. The simulation knows of a
//! report only its sender, its age and its length. Like [`crate::rates`], it plays random
//! schedules instead of exploring all states.
//!
//! ```
//! use bluebellreel_model::reports::{Fleet, Plan};
//!
//! let mut fleet = Fleet::new(Plan { daemons: 30, data_centres: 3, ..Plan::default() });
//! fleet.play(3000, &[]);
//! assert_eq!(fleet.figures().false_deaths, 0);
//! ```

use bluebellreel_members::{Audience, PEER_TIMEOUT, Recipient};
use bluebellreel_types::DataCentre;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;

/// Length of a step of simulated time, in milliseconds.
const STEP_MS: u32 = 10;
/// Interval between full reports, in milliseconds.
const HEARTBEAT_MS: u32 = 250;
/// Interval between reports to a silent peer of many, in milliseconds.
const SILENT_MS: u32 = 1000;
/// Length of a full report in bytes.
const REPORT_BYTES: u64 = 160;
/// Milliseconds after which a report counts as never heard.
const NEVER: u32 = u32::MAX;

/// The fleet to simulate.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of data centres, over which they are spread evenly.
    pub data_centres: usize,
    /// Share of datagrams that are lost.
    pub loss: f64,
    /// Whether every daemon reports to every other one, whatever their number.
    pub all_to_all: bool,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            daemons: 30,
            data_centres: 3,
            loss: 0.001,
            all_to_all: false,
            seed: 1,
        }
    }
}

/// A disturbance of some daemons, given by their numbers. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Fault {
    /// The daemons.
    pub daemons: Range<usize>,
    /// When it begins.
    pub from: u32,
    /// When it ends.
    pub until: u32,
    /// What happens.
    pub kind: FaultKind,
}

/// Kinds of disturbances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The daemons do not run and know nothing afterwards.
    Down,
    /// The daemons reach nobody.
    Cut,
    /// The daemons are suspended, and process afterwards what arrived meanwhile.
    Paused,
}

/// Traffic and errors of the fleet since the last call of [`Fleet::reset`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Datagrams sent by all daemons.
    pub datagrams: u64,
    /// Bytes sent to other data centres.
    pub remote_bytes: u64,
    /// Times that an undisturbed daemon ceased to hear another one.
    pub false_deaths: u64,
    /// Greatest age of what an undisturbed daemon knew of another one, in milliseconds.
    pub oldest_ms: u32,
}

/// A report on its way or waiting to be forwarded: sender and time of sending.
type Report = (usize, u32);

#[derive(Clone, Debug, Default)]
struct Daemon {
    next_report: u32,
    next_full: u32,
    silent_due: u32,
    forward: Vec<Report>,
    inbox: Vec<(Report, bool)>,
}

/// The simulated fleet.
pub struct Fleet {
    plan: Plan,
    rng: SmallRng,
    data_centres: Vec<DataCentre>,
    daemons: Vec<Daemon>,
    /// When the newest report was sent that each daemon has received of each other one.
    heard: Vec<Vec<u32>>,
    now: u32,
    figures: Figures,
}

impl Fleet {
    /// Creates a fleet whose daemons have just read the registrations.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        let n = plan.daemons;
        let data_centres = (0..plan.data_centres).map(|d| DataCentre::from(format!("hall-{d}")));
        Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            data_centres: data_centres.collect(),
            daemons: vec![Daemon::default(); n],
            heard: vec![vec![NEVER; n]; n],
            now: 0,
            figures: Figures::default(),
            plan,
        }
    }

    /// Traffic and errors since the last reset.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Begins a new measurement.
    pub fn reset(&mut self) {
        self.figures = Figures::default();
    }

    /// Plays until `until_ms`.
    pub fn play(&mut self, until_ms: u32, faults: &[Fault]) {
        while self.now < until_ms {
            self.now += STEP_MS;
            for n in 0..self.plan.daemons {
                if self.is(FaultKind::Down, n, faults) {
                    self.daemons[n] = Daemon::default();
                    self.heard[n].fill(NEVER);
                } else if !self.is(FaultKind::Paused, n, faults) {
                    self.receive(n);
                    self.send(n, faults);
                }
            }
            self.measure(faults);
        }
    }

    fn is(&self, kind: FaultKind, n: usize, faults: &[Fault]) -> bool {
        let now = self.now;
        let mut active = faults.iter().filter(|f| (f.from..f.until).contains(&now));
        active.any(|f| f.kind == kind && f.daemons.contains(&n))
    }

    fn is_alive(&self, sent: u32) -> bool {
        sent != NEVER && u128::from(self.now - sent) < PEER_TIMEOUT.as_millis()
    }

    fn data_centre(&self, n: usize) -> &DataCentre {
        &self.data_centres[n % self.plan.data_centres]
    }

    fn receive(&mut self, n: usize) {
        let inbox = std::mem::take(&mut self.daemons[n].inbox);
        for ((sender, sent), is_to_forward) in inbox {
            let heard = &mut self.heard[n][sender];
            if *heard != NEVER && sent <= *heard {
                continue;
            }
            *heard = sent;
            if is_to_forward {
                self.daemons[n].forward.push((sender, sent));
            }
        }
    }

    fn send(&mut self, n: usize, faults: &[Fault]) {
        let now = self.now;
        if self.daemons[n].next_report > now {
            return;
        }
        let audience = self.audience(n);
        let each_time = audience.local.len() + audience.direct.len();
        let per_peer_ms = if audience.forwarders.is_empty() { 1 } else { 2 };
        let interval = u32::try_from(each_time).unwrap_or(NEVER) * per_peer_ms;
        let jitter = self.rng.random_range(0..STEP_MS);
        let daemon = &mut self.daemons[n];
        daemon.next_report = now + interval.max(STEP_MS) + jitter;
        let is_full = daemon.next_full <= now;
        if is_full {
            daemon.next_full = now + HEARTBEAT_MS;
        }
        let sends_silent = daemon.silent_due <= now;
        if sends_silent {
            daemon.silent_due = now + SILENT_MS;
        }
        let forwarded = std::mem::take(&mut daemon.forward);
        let is_cut = self.is(FaultKind::Cut, n, faults);
        for to in audience.direct.iter().chain(&audience.local) {
            self.transmit((n, now), *to, false, is_cut, faults);
        }
        for to in &audience.local {
            for report in &forwarded {
                self.deliver(*report, *to, false, is_cut, faults);
            }
        }
        if is_full {
            for to in &audience.forwarders {
                self.transmit((n, now), *to, true, is_cut, faults);
            }
        }
        if sends_silent {
            for to in &audience.silent {
                self.transmit((n, now), *to, false, is_cut, faults);
            }
        }
    }

    fn audience(&mut self, n: usize) -> Audience<usize> {
        let seed = self.rng.random();
        let others = (0..self.plan.daemons).filter(|to| *to != n);
        let peers = others.map(|to| Recipient {
            to,
            is_alive: self.is_alive(self.heard[n][to]),
            forwards_in: (self.heard[n][to] != NEVER).then(|| self.data_centre(to)),
        });
        let peers: Vec<_> = peers.collect();
        if self.plan.all_to_all {
            let direct = peers.iter().map(|p| p.to).collect();
            return Audience {
                direct,
                ..Audience::of(&[], self.data_centre(n), |_| 0)
            };
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        Audience::of(&peers, self.data_centre(n), |k| rng.random_range(0..k))
    }

    /// Sends a datagram, which may be lost.
    fn transmit(&mut self, report: Report, to: usize, forward: bool, is_cut: bool, all: &[Fault]) {
        self.figures.datagrams += 1;
        if self.data_centre(report.0) != self.data_centre(to) {
            self.figures.remote_bytes += REPORT_BYTES;
        }
        if !self.rng.random_bool(self.plan.loss) {
            self.deliver(report, to, forward, is_cut, all);
        }
    }

    fn deliver(&mut self, report: Report, to: usize, forward: bool, is_cut: bool, all: &[Fault]) {
        let is_unreachable = is_cut || self.is(FaultKind::Cut, to, all);
        if !is_unreachable && !self.is(FaultKind::Down, to, all) && report.0 != to {
            self.daemons[to].inbox.push((report, forward));
        }
    }

    /// Compares what undisturbed daemons know of each other.
    fn measure(&mut self, faults: &[Fault]) {
        let touched = |n: usize| faults.iter().any(|f| f.daemons.contains(&n));
        let calm: Vec<usize> = (0..self.plan.daemons).filter(|n| !touched(*n)).collect();
        let timeout = u32::try_from(PEER_TIMEOUT.as_millis()).unwrap_or(NEVER);
        for n in &calm {
            for other in calm.iter().filter(|other| *other != n) {
                let sent = self.heard[*n][*other];
                if sent == NEVER {
                    continue;
                }
                let age = self.now - sent;
                self.figures.oldest_ms = self.figures.oldest_ms.max(age);
                if (timeout..timeout + STEP_MS).contains(&age) {
                    self.figures.false_deaths += 1;
                }
            }
        }
    }

    /// Milliseconds from now until every daemon outside `of` has ceased to hear those in
    /// `of`, or hears all of them again if `alive`. None if that takes longer than
    /// `within_ms`.
    pub fn converges(
        &mut self,
        of: &Range<usize>,
        alive: bool,
        within_ms: u32,
        faults: &[Fault],
    ) -> Option<u32> {
        let begun = self.now;
        while self.now < begun + within_ms {
            self.play(self.now + STEP_MS, faults);
            let outside = self
                .heard
                .iter()
                .enumerate()
                .filter(|(n, _)| !of.contains(n));
            let heard: usize = outside
                .map(|(_, h)| of.clone().filter(|o| self.is_alive(h[*o])).count())
                .sum();
            let wanted = if alive {
                (self.plan.daemons - of.len()) * of.len()
            } else {
                0
            };
            if heard == wanted {
                return Some(self.now - begun);
            }
        }
        None
    }
}
