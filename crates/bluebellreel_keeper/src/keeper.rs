//! The life of a keeper.

use crate::calls;
use crate::disk::{Disk, PROGRESS, SNAPSHOT};
use crate::held::{Held, read_held};
use crate::leaving::{Ended, Parts, leave};
use crate::rounds::{Rounds, Visited, is_near};
use crate::writing::{Due, write_progress, write_snapshots};
use bluebellreel_net::{ConnectionTracker, Pool, PoolLimits, Stop, listen, serve};
use bluebellreel_settings::{KeeperSettings, SettingsError};
use bluebellreel_snapshot::{
    GatewayState, KeptProgress, KnownGateway, Snapshot, VisitOutcome, after_visit,
};
use bluebellreel_types::{Clock, EntryName, Moment};
use eyre::Context;
use log::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Time between looks which visit is due.
const LOOK: Duration = Duration::from_millis(50);
/// Longest wait for a connection to a gateway.
const CONNECT: Duration = Duration::from_millis(250);
/// Idle time of connections to gateways: longer than the pause between visits.
const IDLE: Duration = Duration::from_secs(25);
/// Time between looks at the settings file.
const READ_SETTINGS: Duration = Duration::from_secs(5);
/// Longest that a gateway's connection may stay without a request.
const SERVED_IDLE: Duration = Duration::from_secs(30);

/// Reads the settings anew.
pub type ReadSettings = Box<dyn Fn() -> Result<KeeperSettings, SettingsError>>;

pub(crate) struct Keeper {
    pub(crate) settings: KeeperSettings,
    seeds: RefCell<Vec<SocketAddr>>,
    clock: Clock,
    pool: Pool,
    pub(crate) snapshot: RefCell<Snapshot>,
    pub(crate) progress: RefCell<KeptProgress>,
    rounds: RefCell<Rounds>,
    /// What is not on the disk yet.
    pub(crate) snapshot_due: Due,
    pub(crate) progress_due: Due,
    /// Whether it takes nothing more: the last write is under way.
    pub(crate) closed: Cell<bool>,
    /// Visits under way.
    pub(crate) visits: Cell<usize>,
    /// Time from the request to stop until the process is killed.
    pub(crate) grace: Cell<Duration>,
}

impl Keeper {
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    fn plan_rounds(&self) {
        let snapshot = self.snapshot.borrow();
        let known = snapshot.gateways().map(|(_, g)| g.calls);
        let seeds = self.seeds.borrow();
        let all = known.chain(seeds.iter().copied());
        self.rounds.borrow_mut().follow(all, self.now());
    }
}

/// Runs a keeper until it is asked to stop by a signal; what was finished.
///
/// # Errors
///
/// Gives the reason when the process cannot wait for signals.
pub fn run_keeper(settings: KeeperSettings, read_settings: ReadSettings) -> eyre::Result<Ended> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        // Settings are read now and then in any case.
        let stop_requested = bluebellreel_signals::stop_requested(|| {})?;
        live(settings, read_settings, stop_requested).await
    })
}

/// Runs a keeper on the present local task set until `stop_requested` ends; what was
/// finished.
///
/// # Errors
///
/// Gives the reason when its address cannot be listened on.
pub async fn live(
    settings: KeeperSettings,
    read_settings: ReadSettings,
    stop_requested: impl Future<Output = ()>,
) -> eyre::Result<Ended> {
    let listener = listen(settings.calls).wrap_err("address for calls")?;
    let mut stop_requested = pin!(stop_requested);
    let held = tokio::select! {
        held = read_held(settings.folder.clone()) => held,
        () = &mut stop_requested => {
            // Nothing was taken yet, so nothing is left to do.
            info!(target: "keeper", keeper:% = settings.name; "stopped before its start");
            return Ok(Ended::BEFORE_START);
        }
    };
    let Held { snapshot, progress } = held?;
    let (count, snapshot) = snapshot;
    let (progress_count, progress) = progress;
    let newest = snapshot.newest();
    let gateways = snapshot.gateways().count();
    info!(target: "keeper", keeper:% = settings.name, data_centre:% = settings.data_centre, count, configuration = newest.configuration, workers = newest.workers, gateways; "started");
    let snapshots = Disk::start(settings.folder.clone(), SNAPSHOT, count);
    let progresses = Disk::start(settings.folder.clone(), PROGRESS, progress_count);
    let keeper = Rc::new(Keeper {
        seeds: RefCell::new(settings.seeds.clone()),
        clock: Clock::start(),
        pool: Pool::new(PoolLimits {
            connect: CONNECT,
            idle: IDLE,
            idle_per_address: 1,
        }),
        snapshot: RefCell::new(snapshot),
        progress: RefCell::new(progress),
        rounds: RefCell::default(),
        snapshot_due: Due::default(),
        progress_due: Due::default(),
        closed: Cell::new(false),
        visits: Cell::new(0),
        grace: Cell::new(settings.grace),
        settings,
    });
    let stop = Stop::default();
    let served = ConnectionTracker::default();
    let k = keeper.clone();
    let serving = serve(
        listener,
        stop.clone(),
        served.clone(),
        || SERVED_IDLE,
        move |req| crate::serve::answer(k.clone(), req),
    );
    spawn_local(serving);
    let parts = Parts {
        visiting: spawn_local(visit_all(keeper.clone())),
        following: spawn_local(follow_settings(keeper.clone(), read_settings)),
        snapshots: spawn_local(write_snapshots(keeper.clone(), snapshots)),
        progress: spawn_local(write_progress(keeper.clone(), progresses)),
        stop,
        served,
    };
    stop_requested.await;
    let ended = leave(&keeper, parts).await;
    info!(target: "keeper", keeper:% = keeper.settings.name, calls_cut = ended.calls_cut, visits_cut = ended.visits_cut, snapshot_kept = ended.snapshot_kept, progress_kept = ended.progress_kept; "stopped");
    Ok(ended)
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
                keeper.grace.set(read.grace);
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
        keeper.visits.update(|n| n + 1);
        spawn_local(async move {
            let visited = visit(&keeper, at).await;
            keeper.visits.update(|n| n - 1);
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
    keeper.snapshot_due.note();
}

/// Visits a gateway.
async fn visit(keeper: &Keeper, at: SocketAddr) -> Visited {
    let own = &keeper.settings.data_centre;
    let asked = calls::state(&keeper.pool, at, keeper.settings.calls, own).await;
    let Ok(state) = asked else {
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
    let mut changed = snapshot.meet(state.entry.clone(), met);
    for (name, calls) in &state.peers {
        let named = KnownGateway {
            calls: *calls,
            data_centre: None,
        };
        changed |= snapshot.meet(name.clone(), named);
    }
    drop(snapshot);
    if changed {
        keeper.snapshot_due.note();
    }
}

async fn ask(keeper: &Keeper, at: SocketAddr, state: &GatewayState) {
    let known = keeper.snapshot.borrow().newest();
    let facts = match calls::ask(&keeper.pool, at, known).await {
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
    keeper.snapshot_due.note();
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
