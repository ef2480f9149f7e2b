//! Entry daemons, side processes and what lies between, under one clock.

mod messages;
mod sides;
mod strikes;

use crate::backend::{Backend, BackendKind};
use crate::kv::{FakeKv, KvHandle};
use crate::net::{Envelope, Link, Net};
use crate::plan::{Fault, Plan};
use bluebellreel_admission::AdmissionLimits;
use bluebellreel_entry::bench::EntryBench;
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

/// Entry daemons.
pub const ENTRIES: usize = 3;
/// Side processes; the last one stands beside the plain service.
pub const SIDES: usize = 4;
/// The side process beside the plain service.
pub const SERVICE: usize = SIDES - 1;
/// The model that the engines serve.
pub const MODEL: &str = "rental-assistant";
/// The plain service.
pub const DESK: &str = "desk";

/// Time that one turn of the world takes.
const TURN: Duration = Duration::from_millis(10);
/// Time of a message on its way.
const LATENCY: Duration = Duration::from_millis(1);
/// Time until a dead side process is back.
const SIDE_AWAY: Duration = Duration::from_secs(1);
/// Time until a dead entry daemon is back.
const ENTRY_AWAY: Duration = Duration::from_secs(10);
/// Time that a paused entry daemon sleeps.
const PAUSE: Duration = Duration::from_secs(12);
/// Delay of a late message.
const DELAY: Duration = Duration::from_secs(8);
/// Delay of a doubled message's second arrival.
const SECOND: Duration = Duration::from_secs(1);
/// Between two renewals of a lease.
const RENEWAL: Duration = Duration::from_millis(1_600);
/// Between two readings of leases, jobs and manifest.
const READING: Duration = Duration::from_millis(400);
/// Between two load reports.
const LOADING: Duration = Duration::from_secs(1);

enum EntryState {
    Up,
    /// Its calls and messages wait.
    Paused(Moment),
    /// Comes back as another run, or never.
    Dead(Option<Moment>),
}

struct EntryNode {
    bench: Option<EntryBench>,
    state: EntryState,
    renew_at: Moment,
    read_at: Moment,
}

struct SideNode {
    bench: Option<SideHarness>,
    incarnation: Incarnation,
    back_at: Moment,
    backend: Backend,
    load_at: Moment,
}

struct Pull {
    link: Link,
    rx: oneshot::Receiver<Vec<Dispatch>>,
}

/// What a message-fault waits for.
#[derive(Default)]
struct MessageFaults {
    late: u32,
    doubled: u32,
    crossed: u32,
    held: Option<Envelope>,
}

/// The world.
pub struct World {
    /// Its clock.
    pub clock: Clock,
    /// Its key-value service.
    pub kv: KvHandle,
    entries: Vec<EntryNode>,
    sides: Vec<SideNode>,
    connected: BTreeSet<Link>,
    net: Net,
    message_faults: MessageFaults,
    pulls: Vec<Pull>,
    senders: BTreeMap<AttemptId, usize>,
    /// Faults that the scenario must carry out: resends and races.
    pub asked: Vec<Fault>,
    /// Attempts handed to backend servers, by job, with the time.
    pub started: Vec<(Moment, Dispatch)>,
}

impl World {
    /// A world in which the plan's faults will strike.
    #[must_use]
    pub fn new(plan: &Plan) -> Self {
        bluebellreel_types::seed_ids(plan.seed);
        let clock = Clock::standing_at(Moment(1_700_000_000_000_000));
        let kv = KvHandle::new(clock.clone(), plan);
        let mut world = Self {
            entries: Vec::new(),
            sides: Vec::new(),
            connected: BTreeSet::new(),
            net: Net::default(),
            message_faults: MessageFaults::default(),
            pulls: Vec::new(),
            senders: BTreeMap::new(),
            asked: Vec::new(),
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
                bench: None,
                incarnation: Incarnation(0),
                back_at: Moment(0),
                backend: Backend::new(kind),
                load_at: Moment(0),
            });
        }
        for index in 0..ENTRIES {
            let bench = world.new_entry(index);
            world.entries.push(EntryNode {
                bench: Some(bench),
                state: EntryState::Up,
                renew_at: Moment(0),
                read_at: Moment(0),
            });
        }
        world
    }

    /// The present.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The plain service.
    #[must_use]
    pub fn service(&self) -> &Backend {
        &self.sides[SERVICE].backend
    }

    fn new_entry(&self, index: usize) -> EntryBench {
        let hash = "0".repeat(64);
        let settings = format!(
            "name = \"entry-{index}\"\ndata_centre = \"Sligo\"\nlisten = \"127.0.0.1:0\"\n\
             [platform]\nkv = \"http://127.0.0.1:1\"\nvm_list = \"http://127.0.0.1:1\"\n\
             kv_calls_per_second = 100000\n\
             [[teams]]\nname = \"school\"\ntoken_sha256 = \"{hash}\"\n"
        );
        let settings = parse_entry("world", &settings).expect("valid settings");
        let send = self.kv.transport(index);
        let mut bench = EntryBench::new(settings, send, self.clock.clone());
        bench.list(&workers());
        bench
    }

    /// An entry daemon that can be talked to now.
    pub fn entry(&mut self, index: usize) -> Option<&mut EntryBench> {
        let node = &mut self.entries[index];
        match node.state {
            EntryState::Up => node.bench.as_mut(),
            EntryState::Paused(_) | EntryState::Dead(_) => None,
        }
    }

    /// The first entry daemon, from `from` on, that can be talked to.
    #[must_use]
    pub fn live_entry(&self, from: usize) -> Option<usize> {
        (0..ENTRIES)
            .map(|offset| (from + offset) % ENTRIES)
            .find(|index| matches!(self.entries[*index].state, EntryState::Up))
    }

    /// Lets the world run for a while.
    pub fn run_for(&mut self, span: Duration) {
        let until = self.now() + span;
        while !until.is_past(self.now()) {
            self.turn();
        }
    }

    /// One turn: everybody does what is due.
    pub fn turn(&mut self) {
        self.clock.advance(TURN);
        self.kv.with(FakeKv::expire);
        self.revive();
        self.connect_all();
        for index in 0..ENTRIES {
            self.run_entry(index);
        }
        for index in 0..SIDES {
            self.run_side(index);
        }
        self.answer_pulls();
        self.deliver_arrived();
        self.carry_out_struck();
    }

    fn revive(&mut self) {
        let now = self.now();
        for index in 0..ENTRIES {
            match self.entries[index].state {
                EntryState::Paused(until) if until.is_past(now) => {
                    self.entries[index].state = EntryState::Up;
                    self.kv.with(|kv| {
                        kv.set_silent(index, false);
                        kv.release_held(index);
                    });
                }
                EntryState::Dead(Some(back)) if back.is_past(now) => {
                    self.kv.with(|kv| kv.set_silent(index, false));
                    let bench = self.new_entry(index);
                    let node = &mut self.entries[index];
                    node.bench = Some(bench);
                    node.state = EntryState::Up;
                    node.renew_at = now;
                    node.read_at = now;
                }
                _ => {}
            }
        }
        for side in &mut self.sides {
            if side.bench.is_none() && side.back_at.is_past(now) {
                side.incarnation = Incarnation::random();
                let limits = AdmissionLimits {
                    window: 6,
                    ..AdmissionLimits::default()
                };
                let mut bench = SideHarness::new(side.incarnation, limits, self.clock.clone());
                bench.serve(vec![model_of(side.backend.kind)]);
                side.bench = Some(bench);
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
        let (true, Some(bench)) = (up, side.bench.as_mut()) else {
            return;
        };
        let Some(entry) = self.entries[link.entry].bench.as_mut() else {
            return;
        };
        bench.notice(SideNotice::Connected(entry.name.clone()));
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
        self.net.cut(link);
        self.pulls.retain(|pull| pull.link != link);
        if let Some(entry) = self.entries[link.entry].bench.as_mut() {
            entry.notice(EntryNotice::Lost(worker_name(link.side)));
        }
        if let Some(side) = self.sides[link.side].bench.as_mut() {
            side.notice(SideNotice::Lost(entry_name(link.entry)));
        }
    }

    fn run_entry(&mut self, index: usize) {
        let now = self.now();
        let node = &mut self.entries[index];
        let (EntryState::Up, Some(bench)) = (&node.state, node.bench.as_mut()) else {
            return;
        };
        if node.renew_at.is_past(now) {
            node.renew_at = now + RENEWAL;
            bench.renew_lease();
        }
        if node.read_at.is_past(now) {
            node.read_at = now + READING;
            bench.read_all();
        }
        bench.handle_messages();
        bench.tick();
        // A task that strikes a fault is the entry's last one for now.
        while bench.run_kv_task() {
            if self.kv.with(|kv| kv.has_struck()) {
                break;
            }
            bench.handle_messages();
        }
        let mut commands = Vec::new();
        while let Some(command) = bench.command() {
            commands.push(command);
        }
        self.carry_out_struck();
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
