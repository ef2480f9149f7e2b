//! The life of a keeper.

use crate::calls;
use crate::disk::{Disk, DiskOutcome, load};
use crate::rounds::{Rounds, Visited, is_near};
use bluebellreel_net::{Pool, PoolLimits};
use bluebellreel_settings::{KeeperSettings, SettingsError};
use bluebellreel_snapshot::{GatewayState, KnownGateway, Snapshot, VisitOutcome, after_visit};
use bluebellreel_types::{Clock, EntryName, Moment};
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Time between looks which visit is due.
const LOOK: Duration = Duration::from_millis(50);
/// Longest wait for a connection to a gateway.
const CONNECT: Duration = Duration::from_millis(250);
/// Idle time of connections to gateways: longer than the pause between visits.
const IDLE: Duration = Duration::from_secs(25);
/// Time between looks at the settings file.
const READ_SETTINGS: Duration = Duration::from_secs(5);
/// Time after which a snapshot is written again that only got younger: what a
/// restart makes it older than it is.
const REFRESH: Duration = Duration::from_secs(10);
/// Least time between two writes: a wave of changes is written once.
const GATHER: Duration = Duration::from_millis(200);
/// Time without an end after which a write counts as hanging.
const HANGS: Duration = Duration::from_secs(1);

/// Reads the settings anew.
pub type ReadSettings = Box<dyn Fn() -> Result<KeeperSettings, SettingsError>>;

struct Keeper {
    settings: KeeperSettings,
    seeds: RefCell<Vec<SocketAddr>>,
    clock: Clock,
    pool: Pool,
    snapshot: RefCell<Snapshot>,
    rounds: RefCell<Rounds>,
    /// Whether the snapshot holds something that is not on the disk.
    changed: Cell<bool>,
    write_due: Notify,
}

impl Keeper {
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn note_change(&self) {
        self.changed.set(true);
        self.write_due.notify_one();
    }

    fn plan_rounds(&self) {
        let snapshot = self.snapshot.borrow();
        let known = snapshot.gateways().map(|(_, g)| g.calls);
        let seeds = self.seeds.borrow();
        let all = known.chain(seeds.iter().copied());
        self.rounds.borrow_mut().follow(all, self.now());
    }
}

/// Runs a keeper until it is asked to stop by a signal.
///
/// # Errors
///
/// Gives the reason when the process cannot wait for signals.
pub fn run_keeper(settings: KeeperSettings, read_settings: ReadSettings) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let mut hang_up = signal(SignalKind::hangup())?;
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let stop_asked = async move {
            loop {
                tokio::select! {
                    // Settings are read now and then in any case.
                    _ = hang_up.recv() => {}
                    _ = terminate.recv() => return,
                    _ = interrupt.recv() => return,
                }
            }
        };
        live(settings, read_settings, stop_asked).await;
        Ok(())
    })
}

/// Runs a keeper on the present local task set until `stop_asked` ends.
pub async fn live(
    settings: KeeperSettings,
    read_settings: ReadSettings,
    stop_asked: impl Future<Output = ()>,
) {
    let (count, snapshot) = load(&settings.folder);
    let newest = snapshot.newest();
    let gateways = snapshot.gateways().count();
    info!(target: "keeper", keeper:% = settings.name, data_centre:% = settings.data_centre, count, configuration = newest.configuration, workers = newest.workers, gateways; "started");
    let disk = Disk::start(settings.folder.clone(), count);
    let keeper = Rc::new(Keeper {
        seeds: RefCell::new(settings.seeds.clone()),
        clock: Clock::start(),
        pool: Pool::new(PoolLimits {
            connect: CONNECT,
            idle: IDLE,
            idle_per_address: 1,
        }),
        snapshot: RefCell::new(snapshot),
        rounds: RefCell::default(),
        changed: Cell::new(false),
        write_due: Notify::new(),
        settings,
    });
    let tasks = [
        spawn_local(visit_all(keeper.clone())),
        spawn_local(write_snapshots(keeper.clone(), disk)),
        spawn_local(follow_settings(keeper.clone(), read_settings)),
    ];
    stop_asked.await;
    for task in tasks {
        task.abort();
    }
    info!(target: "keeper", keeper:% = keeper.settings.name; "stopped");
}

async fn follow_settings(keeper: Rc<Keeper>, read_settings: ReadSettings) {
    let mut known_error = String::new();
    loop {
        sleep(READ_SETTINGS).await;
        match read_settings() {
            Ok(read) => {
                known_error.clear();
                if *keeper.seeds.borrow() != read.seeds {
                    info!(target: "keeper", seeds = read.seeds.len(); "settings reloaded");
                    keeper.seeds.replace(read.seeds);
                }
            }
            Err(e) => {
                let e = e.to_string();
                if e != known_error {
                    warn!(target: "keeper", error = e.as_str(); "settings not taken");
                    known_error = e;
                }
            }
        }
    }
}

async fn visit_all(keeper: Rc<Keeper>) {
    loop {
        keeper.plan_rounds();
        let due = keeper.rounds.borrow_mut().next(keeper.now());
        let Some(at) = due else {
            keeper.pool.sweep();
            sleep(LOOK).await;
            continue;
        };
        let keeper = keeper.clone();
        spawn_local(async move {
            let visited = visit(&keeper, at).await;
            let now = keeper.now();
            if keeper.rounds.borrow_mut().ended(at, visited, now) {
                forget(&keeper, at);
            }
        });
    }
}

/// A gateway has been silent for so long that it is gone.
fn forget(keeper: &Keeper, at: SocketAddr) {
    let mut snapshot = keeper.snapshot.borrow_mut();
    let at_it = snapshot.gateways().filter(|(_, g)| g.calls == at);
    let names: Vec<EntryName> = at_it.map(|(name, _)| name.clone()).collect();
    for name in names {
        info!(target: "keeper", gateway:% = name; "gateway forgotten");
        snapshot.forget(&name);
    }
    drop(snapshot);
    keeper.note_change();
}

/// Visits a gateway.
async fn visit(keeper: &Keeper, at: SocketAddr) -> Visited {
    let own = &keeper.settings.data_centre;
    let Ok(state) = calls::state(&keeper.pool, at).await else {
        // It is down, or not yet up: nothing that is worth a line each time.
        let snapshot = keeper.snapshot.borrow();
        let mut known = snapshot.gateways().filter(|(_, g)| g.calls == at);
        return Visited {
            reached: false,
            is_near: known.all(|(_, g)| is_near(own, g.data_centre.as_ref())),
        };
    };
    meet(keeper, at, &state);
    let outcome = after_visit(&keeper.snapshot.borrow(), &state);
    match outcome {
        VisitOutcome::Ask => ask(keeper, at, &state).await,
        VisitOutcome::Offer => offer(keeper, at, &state).await,
        VisitOutcome::Confirmed => {
            let now = keeper.now();
            keeper.snapshot.borrow_mut().confirm(now);
        }
        VisitOutcome::Nothing => {}
    }
    Visited {
        reached: true,
        is_near: is_near(own, Some(&state.data_centre)),
    }
}

/// Remembers a gateway and the peers that it names.
fn meet(keeper: &Keeper, at: SocketAddr, state: &GatewayState) {
    let mut snapshot = keeper.snapshot.borrow_mut();
    let met = KnownGateway {
        calls: at,
        data_centre: Some(state.data_centre.clone()),
    };
    let mut is_news = snapshot.meet(state.entry.clone(), met);
    for (name, calls) in &state.peers {
        let named = KnownGateway {
            calls: *calls,
            data_centre: None,
        };
        is_news |= snapshot.meet(name.clone(), named);
    }
    drop(snapshot);
    if is_news {
        keeper.note_change();
    }
}

async fn ask(keeper: &Keeper, at: SocketAddr, state: &GatewayState) {
    let before = keeper.snapshot.borrow().clone();
    let facts = match calls::ask(&keeper.pool, at, &before).await {
        Ok(facts) => facts,
        Err(e) => {
            warn!(target: "keeper", gateway:% = state.entry, error = e.as_str(); "facts not brought");
            return;
        }
    };
    let now = keeper.now();
    let newest = {
        let mut snapshot = keeper.snapshot.borrow_mut();
        snapshot.learn(facts);
        if state.reaches_store {
            snapshot.confirm(now);
        }
        snapshot.newest()
    };
    info!(target: "keeper", gateway:% = state.entry, configuration = newest.configuration, workers = newest.workers; "facts taken over");
    keeper.note_change();
}

async fn offer(keeper: &Keeper, at: SocketAddr, state: &GatewayState) {
    let offered = keeper.snapshot.borrow().offer(keeper.now());
    let Some(facts) = offered else {
        info!(target: "keeper", gateway:% = state.entry; "nothing to offer that may be believed");
        return;
    };
    let revision = facts.configuration.as_ref().map_or(0, |(r, _)| *r);
    match calls::offer(&keeper.pool, at, &facts).await {
        Ok(()) => {
            info!(target: "keeper", gateway:% = state.entry, revision, workers = facts.workers.len(); "snapshot brought");
        }
        Err(e) => {
            info!(target: "keeper", gateway:% = state.entry, revision, error = e.as_str(); "snapshot not taken");
        }
    }
}

/// Writes the snapshot whenever it has changed, for ever.
async fn write_snapshots(keeper: Rc<Keeper>, mut disk: Disk) {
    let mut last = None;
    loop {
        // A timeout is the refresh.
        let changed = timeout(REFRESH, keeper.write_due.notified()).await.is_ok();
        let confirmed_at = keeper.snapshot.borrow().confirmed_at();
        if !changed && !keeper.changed.get() && confirmed_at == last {
            continue;
        }
        sleep(GATHER).await;
        keeper.changed.set(false);
        let body = keeper.snapshot.borrow().encode();
        last = keeper.snapshot.borrow().confirmed_at();
        let bytes = body.len();
        disk.write(body);
        let outcome = ended(&mut disk, bytes).await;
        if outcome != DiskOutcome::Written {
            keeper.changed.set(true);
        }
    }
}

/// Waits for the end of a write, and tells what came of it.
async fn ended(disk: &mut Disk, bytes: usize) -> DiskOutcome {
    let mut hangs = false;
    let outcome = loop {
        match timeout(HANGS, disk.outcome()).await {
            Ok(Some(outcome)) => break outcome,
            Ok(None) => break DiskOutcome::Refused("its thread has ended".into()),
            Err(_) => {
                if !std::mem::replace(&mut hangs, true) {
                    warn!(target: "keeper", bytes; "disk hangs");
                }
            }
        }
    };
    match &outcome {
        DiskOutcome::Written if hangs => info!(target: "keeper", bytes; "disk answers again"),
        DiskOutcome::Written => {}
        DiskOutcome::Full => warn!(target: "keeper", bytes; "disk full"),
        DiskOutcome::Refused(reason) => {
            warn!(target: "keeper", bytes, error = reason.as_str(); "disk refuses a write");
        }
    }
    outcome
}
