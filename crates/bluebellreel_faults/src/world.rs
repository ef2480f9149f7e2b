//! Entry daemons, side processes and the messages between them, under one clock.

mod injections;
mod messages;
mod sides;

use crate::backend::{Backend, BackendKind};
use crate::kv::{FakeKv, KvHandle};
use crate::net::{Envelope, Link, Net};
use crate::plan::{Fault, Plan};
use bluebellreel_admission::AdmissionLimits;
use bluebellreel_entry::bench::EntryHarness;
use bluebellreel_rpc::{EntryNotice, SideNotice};
use bluebellreel_settings::parse_entry;
use bluebellreel_side::bench::SideHarness;
use bluebellreel_types::{
    AttemptId, Clock, DataCentre, Dispatch, EntryName, Incarnation, ModelName, Moment, SideHello,
    WorkerName,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::oneshot;

/// Number of entry daemons.
pub const ENTRIES: usize = 3;
/// Number of side processes. The last one is beside the plain service.
pub const SIDES: usize = 4;
/// Index of the side process beside the plain service.
pub const SERVICE: usize = SIDES - 1;
/// Name of the model that the engines serve.
pub const MODEL: &str = "rental-assistant";
/// The plain service.
pub const DESK: &str = "desk";

/// Simulated time of one tick.
const TICK: Duration = Duration::from_millis(10);
/// Delivery time of a message.
const LATENCY: Duration = Duration::from_millis(1);
/// Time until a crashed side process restarts.
const SIDE_DOWNTIME: Duration = Duration::from_secs(1);
/// Time until a crashed entry daemon restarts.
const ENTRY_DOWNTIME: Duration = Duration::from_secs(10);
/// Time for which a paused entry daemon does not run.
const PAUSE_DURATION: Duration = Duration::from_secs(12);
/// Delay of a late message.
const MESSAGE_DELAY: Duration = Duration::from_secs(8);
/// Delay of the second copy of a duplicated message.
const DUPLICATE_DELAY: Duration = Duration::from_secs(1);
/// Interval between an entry daemon's lease renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_600);
/// Interval at which an entry daemon reads leases, jobs and the manifest.
const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between a side process's load reports.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

enum EntryState {
    Up,
    /// Calls and messages wait until this time.
    Paused(Moment),
    /// Restarts at this time as a new incarnation; without a time, never.
    Dead(Option<Moment>),
}

struct EntryNode {
    harness: Option<EntryHarness>,
    state: EntryState,
    renew_at: Moment,
    read_at: Moment,
}

struct SideNode {
    harness: Option<SideHarness>,
    incarnation: Incarnation,
    back_at: Moment,
    backend: Backend,
    load_at: Moment,
}

struct Pull {
    link: Link,
    rx: oneshot::Receiver<Vec<Dispatch>>,
}

/// Message faults that have not been applied yet, as counts of messages.
#[derive(Default)]
struct MessageFaults {
    late: u32,
    duplicated: u32,
    reordered: u32,
    held: Option<Envelope>,
}

/// A simulated deployment.
pub struct World {
    /// The simulation's clock.
    pub clock: Clock,
    /// The key-value service.
    pub kv: KvHandle,
    entries: Vec<EntryNode>,
    sides: Vec<SideNode>,
    connected: BTreeSet<Link>,
    net: Net,
    message_faults: MessageFaults,
    pulls: Vec<Pull>,
    senders: BTreeMap<AttemptId, usize>,
    /// Faults that the scenario must apply: resends by callers and races of operators.
    pub user_faults: Vec<Fault>,
    /// Attempts that were handed to backend servers, with the time.
    pub started: Vec<(Moment, Dispatch)>,
}

impl World {
    /// Creates a simulation into which the plan's faults are injected.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        bluebellreel_types::seed_ids(plan.seed);
        let clock = Clock::manual_at(Moment(1_700_000_000_000_000));
        let kv = KvHandle::new(clock.clone(), plan);
        let mut world = Self {
            entries: Vec::new(),
            sides: Vec::new(),
            connected: BTreeSet::new(),
            net: Net::default(),
            message_faults: MessageFaults::default(),
            pulls: Vec::new(),
            senders: BTreeMap::new(),
            user_faults: Vec::new(),
            started: Vec::new(),
            clock,
            kv,
        };
        for index in 0..SIDES {
            let kind = if index == SERVICE {
                BackendKind::Service
            } else {
                BackendKind::Engine
            };
            world.sides.push(SideNode {
                harness: None,
                incarnation: Incarnation(0),
                back_at: Moment(0),
                backend: Backend::new(kind),
                load_at: Moment(0),
            });
        }
        for index in 0..ENTRIES {
            let harness = world.new_entry(index);
            world.entries.push(EntryNode {
                harness: Some(harness),
                state: EntryState::Up,
                renew_at: Moment(0),
                read_at: Moment(0),
            });
        }
        world
    }

    /// The current simulated time.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The plain service.
    #[must_use]
    pub fn service(&self) -> &Backend {
        &self.sides[SERVICE].backend
    }

    fn new_entry(&self, index: usize) -> EntryHarness {
        let hash = "0".repeat(64);
        let settings = format!(
            "name = \"entry-{index}\"\ndata_centre = \"Sligo\"\nlisten = \"127.0.0.1:0\"\n\
             [platform]\nkv = \"http://127.0.0.1:1\"\nvm_list = \"http://127.0.0.1:1\"\n\
             kv_calls_per_second = 100000\n\
             [[teams]]\nname = \"school\"\ntoken_sha256 = \"{hash}\"\n"
        );
        let settings = parse_entry("world", &settings).expect("valid settings");
        let send = self.kv.transport(index);
        let mut harness = EntryHarness::new(settings, send, self.clock.clone());
        harness.list(&workers());
        harness
    }

    /// An entry daemon, if it is up.
    pub fn entry(&mut self, index: usize) -> Option<&mut EntryHarness> {
        let node = &mut self.entries[index];
        match node.state {
            EntryState::Up => node.harness.as_mut(),
            EntryState::Paused(_) | EntryState::Dead(_) => None,
        }
    }

    /// The first entry daemon that is up, in cyclic order from `from`.
    #[must_use]
    pub fn live_entry(&self, from: usize) -> Option<usize> {
        (0..ENTRIES)
            .map(|offset| (from + offset) % ENTRIES)
            .find(|index| matches!(self.entries[*index].state, EntryState::Up))
    }

    /// Runs the simulation for `span`.
    pub fn run_for(&mut self, span: Duration) {
        let until = self.now() + span;
        while !until.is_past(self.now()) {
            self.run_tick();
        }
    }

    /// Advances the clock by one tick and runs all processes and messages that are due.
    pub fn run_tick(&mut self) {
        self.clock.advance(TICK);
        self.kv.with(FakeKv::expire);
        self.restart_due();
        self.connect_all();
        for index in 0..ENTRIES {
            self.run_entry(index);
        }
        for index in 0..SIDES {
            self.run_side(index);
        }
        self.answer_pulls();
        self.deliver_arrived();
        self.apply_injected();
    }

    fn restart_due(&mut self) {
        let now = self.now();
        for index in 0..ENTRIES {
            match self.entries[index].state {
                EntryState::Paused(until) if until.is_past(now) => {
                    self.entries[index].state = EntryState::Up;
                    self.kv.with(|kv| {
                        kv.set_cut_off(index, false);
                        kv.release_held_calls(index);
                    });
                }
                EntryState::Dead(Some(back)) if back.is_past(now) => {
                    self.kv.with(|kv| kv.set_cut_off(index, false));
                    let harness = self.new_entry(index);
                    let node = &mut self.entries[index];
                    node.harness = Some(harness);
                    node.state = EntryState::Up;
                    node.renew_at = now;
                    node.read_at = now;
                }
                _ => {}
            }
        }
        for side in &mut self.sides {
            if side.harness.is_none() && side.back_at.is_past(now) {
                side.incarnation = Incarnation::random();
                let limits = AdmissionLimits {
                    window: 6,
                    ..AdmissionLimits::default()
                };
                let mut harness = SideHarness::new(side.incarnation, limits, self.clock.clone());
                harness.serve(vec![model_of(side.backend.kind)]);
                side.harness = Some(harness);
            }
        }
    }

    fn connect_all(&mut self) {
        for entry in 0..ENTRIES {
            for side in 0..SIDES {
                let link = Link { entry, side };
                if !self.connected.contains(&link) {
                    self.connect(link);
                }
            }
        }
    }

    fn connect(&mut self, link: Link) {
        let up = matches!(self.entries[link.entry].state, EntryState::Up);
        let side = &mut self.sides[link.side];
        let (true, Some(harness)) = (up, side.harness.as_mut()) else {
            return;
        };
        let Some(entry) = self.entries[link.entry].harness.as_mut() else {
            return;
        };
        harness.notice(SideNotice::Connected(entry.name.clone()));
        entry.notice(EntryNotice::Connected(SideHello {
            worker: worker_name(link.side),
            incarnation: side.incarnation,
            data_centre: DataCentre::from("Sligo"),
            models: vec![model_of(side.backend.kind)],
        }));
        self.connected.insert(link);
    }

    fn disconnect(&mut self, link: Link) {
        if !self.connected.remove(&link) {
            return;
        }
        self.net.drop_link(link);
        self.pulls.retain(|pull| pull.link != link);
        if let Some(entry) = self.entries[link.entry].harness.as_mut() {
            entry.notice(EntryNotice::Lost(worker_name(link.side)));
        }
        if let Some(side) = self.sides[link.side].harness.as_mut() {
            side.notice(SideNotice::Lost(entry_name(link.entry)));
        }
    }

    fn run_entry(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.entries[index];
        let (EntryState::Up, Some(harness)) = (&node.state, node.harness.as_mut()) else {
            return;
        };
        if node.renew_at.is_past(now) {
            node.renew_at = now + RENEWAL_INTERVAL;
            harness.renew_lease();
        }
        if node.read_at.is_past(now) {
            node.read_at = now + READ_INTERVAL;
            harness.read_all();
        }
        harness.handle_messages();
        harness.tick();
        // If a task triggers a fault, the entry daemon runs no further tasks in this
        // tick.
        while harness.run_kv_task() {
            if self.kv.with(|kv| kv.has_injected()) {
                break;
            }
            harness.handle_messages();
        }
        let mut commands = Vec::new();
        while let Some(command) = harness.command() {
            commands.push(command);
        }
        self.apply_injected();
        if !matches!(self.entries[index].state, EntryState::Up) {
            return;
        }
        for command in commands {
            self.send_to_side(index, command);
        }
    }
}

fn worker_name(side: usize) -> WorkerName {
    WorkerName::from(format!("worker-{side}"))
}

fn side_index(worker: &WorkerName) -> usize {
    let digits = worker.as_str().trim_start_matches("worker-");
    digits.parse().expect("a worker of the world")
}

fn entry_name(entry: usize) -> EntryName {
    EntryName::from(format!("entry-{entry}"))
}

fn entry_index(entry: &EntryName) -> usize {
    let digits = entry.as_str().trim_start_matches("entry-");
    digits.parse().expect("an entry of the world")
}

fn model_of(kind: BackendKind) -> ModelName {
    ModelName::from(match kind {
        BackendKind::Engine => MODEL,
        BackendKind::Service => DESK,
    })
}

fn workers() -> Vec<(WorkerName, SocketAddr, DataCentre)> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    (0..SIDES)
        .map(|side| (worker_name(side), address, DataCentre::from("Sligo")))
        .collect()
}
