//! Main loop of a keeper.

use crate::calls;
use crate::disk::{Disk, ORIGINS, PROGRESS, SNAPSHOT};
use crate::known_keepers::KnownKeepers;
use crate::origin_log::OriginLog;
use crate::persistence::{PendingWrite, write_origins, write_progress, write_snapshots};
use crate::shutdown::{KeeperTasks, StopSummary, shut_down};
use crate::stored_state::{StoredState, read_stored_state};
use bluebellreel_net::{
    Account, CallerLimits, ConnectionTracker, Intake, Machine, Pool, PoolLimits, Stop, listen,
    serve,
};
use bluebellreel_origins::{OriginRecords, VersionHistory};
use bluebellreel_settings::{KeeperSettings, SettingsError};
use bluebellreel_snapshot::{
    GatewayState, KnownGateway, ProgressBackups, Snapshot, VisitOutcome, VisitResult,
    VisitSchedule, is_near, visit_outcome,
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

/// Time between two checks for due visits.
const VISIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of connecting to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which idle connections to gateways stay open. It exceeds the interval
/// between visits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(25);
/// Time between two reads of the settings file.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// Eighths of the machine's memory that callers may take. The rest is
/// for what the keeper keeps.
const MEMORY_EIGHTHS: usize = 2;
/// Time for which a gateway's connection may stay open without a request.
const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time since the last write of the history of versions after which a keeper that starts
/// does not continue it: versions may have come and gone meanwhile.
const MAX_HISTORY_GAP: Duration = Duration::from_secs(15);

/// Reads the settings file again.
pub type ReadSettings = Box<dyn Fn() -> Result<KeeperSettings, SettingsError>>;

pub(crate) struct Keeper {
    pub(crate) settings: KeeperSettings,
    seeds: RefCell<Vec<SocketAddr>>,
    clock: Clock,
    pool: Pool,
    pub(crate) snapshot: RefCell<Snapshot>,
    pub(crate) progress: RefCell<ProgressBackups>,
    /// Versions of workers that were listed lately.
    pub(crate) versions: RefCell<VersionHistory>,
    /// Versions that began streams.
    pub(crate) origins: RefCell<OriginRecords>,
    pub(crate) origin_log: OriginLog,
    /// Generation of the log to which records are appended.
    pub(crate) log_generation: Cell<u64>,
    /// Since when this keeper has each record that it has acknowledged.
    pub(crate) records_since: Moment,
    pub(crate) keepers: RefCell<KnownKeepers>,
    schedule: RefCell<VisitSchedule>,
    /// Changes that are not on the disk yet.
    pub(crate) pending_snapshot: PendingWrite,
    pub(crate) pending_progress: PendingWrite,
    pub(crate) pending_origins: PendingWrite,
    /// Whether new backups are refused because the last write before the process ends
    /// has begun.
    pub(crate) closed: Cell<bool>,
    /// Number of visits in progress.
    pub(crate) visits: Cell<usize>,
    /// Time from the request to stop until the process is killed.
    pub(crate) grace: Cell<Duration>,
}

impl Keeper {
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Adds the workers of the snapshot to the history of versions.
    fn update_versions(&self) {
        let snapshot = self.snapshot.borrow();
        let workers = snapshot.workers();
        let versions = workers.map(|r| (&r.service, r.version.as_ref()));
        self.versions.borrow_mut().update(versions, self.now());
        self.pending_origins.mark_changed();
    }

    fn update_schedule(&self) {
        let snapshot = self.snapshot.borrow();
        let known = snapshot.gateways().map(|(_, g)| g.calls);
        let seeds = self.seeds.borrow();
        let all = known.chain(seeds.iter().copied());
        self.schedule.borrow_mut().set_gateways(all, self.now());
    }
}

/// Runs a keeper until a signal requests a stop. Returns what was completed.
///
/// # Errors
///
/// Returns an error if the process cannot set up its runtime or wait for signals, or if
/// the keeper does not start.
pub fn run_keeper(
    settings: KeeperSettings,
    read_settings: ReadSettings,
) -> eyre::Result<StopSummary> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        // The settings file is read periodically, so this signal needs no action.
        let stop_requested = bluebellreel_signals::stop_requested(|| {})?;
        run_keeper_until(settings, read_settings, stop_requested).await
    })
}

/// Runs a keeper on the current local task set until `stop_requested` completes. Returns
/// what was completed.
///
/// # Errors
///
/// Returns an error if the keeper cannot listen on its address or read its disk.
pub async fn run_keeper_until(
    settings: KeeperSettings,
    read_settings: ReadSettings,
    stop_requested: impl Future<Output = ()>,
) -> eyre::Result<StopSummary> {
    let listener = listen(settings.calls).wrap_err("cannot listen on the address for calls")?;
    let limits = settings.machine;
    let machine = Machine::new(limits.memory, limits.descriptors, limits.files);
    let mut stop_requested = pin!(stop_requested);
    let stored = tokio::select! {
        stored = read_stored_state(settings.folder.clone(), machine.memory) => stored,
        () = &mut stop_requested => {
            // No backup has been accepted yet, so there is nothing to write.
            info!(target: "keeper", keeper:% = settings.name; "stopped before start completed");
            return Ok(StopSummary::STOPPED_BEFORE_START);
        }
    };
    let StoredState {
        snapshot,
        progress,
        origins,
    } = stored?;
    let (count, snapshot) = snapshot;
    let (progress_count, progress) = progress;
    let (origins_count, origins) = origins;
    let streams = origins.records.len();
    let newest = snapshot.newest();
    let gateways = snapshot.gateways().count();
    info!(target: "keeper", keeper:% = settings.name, data_centre:% = settings.data_centre, count, configuration = newest.configuration, workers = newest.workers, gateways, streams; "started");
    let snapshots = Disk::start(settings.folder.clone(), SNAPSHOT, count);
    let progresses = Disk::start(settings.folder.clone(), PROGRESS, progress_count);
    let origins_disk = Disk::start(settings.folder.clone(), ORIGINS, origins_count);
    let clock = Clock::start();
    let records_since = origins.records_since.unwrap_or(clock.now());
    let checkpointed = origins.checkpointed;
    let keeper = Rc::new(Keeper {
        seeds: RefCell::new(settings.seeds.clone()),
        origin_log: OriginLog::start(settings.folder.clone(), origins.log_end),
        log_generation: Cell::new(origins.log_end.generation),
        records_since,
        keepers: RefCell::new(KnownKeepers::restore(origins.keepers, clock.now())),
        clock,
        pool: Pool::new(PoolLimits {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_TIMEOUT,
            idle_per_address: 1,
            memory: machine.own_calls(),
        }),
        snapshot: RefCell::new(snapshot),
        progress: RefCell::new(progress),
        versions: RefCell::default(),
        origins: RefCell::new(origins.records),
        schedule: RefCell::default(),
        pending_snapshot: PendingWrite::default(),
        pending_progress: PendingWrite::default(),
        pending_origins: PendingWrite::default(),
        closed: Cell::new(false),
        visits: Cell::new(0),
        grace: Cell::new(settings.grace),
        settings,
    });
    let is_continuous = !(origins.written_at + MAX_HISTORY_GAP).is_past(keeper.now());
    if is_continuous {
        keeper.versions.replace(origins.history);
    }
    let stop = Stop::default();
    let served = ConnectionTracker::default();
    let k = keeper.clone();
    let account = Account::new(machine.callers_with(MEMORY_EIGHTHS));
    let serving = serve(
        listener,
        stop.clone(),
        served.clone(),
        Intake::new(account, || CallerLimits::internal(SERVER_IDLE_TIMEOUT)),
        move |req| crate::serve::answer(k.clone(), req),
    );
    spawn_local(serving);
    let tasks = KeeperTasks {
        visitor: spawn_local(visit_all(keeper.clone())),
        settings_watcher: spawn_local(watch_settings(keeper.clone(), read_settings)),
        snapshots: spawn_local(write_snapshots(keeper.clone(), snapshots)),
        progress: spawn_local(write_progress(keeper.clone(), progresses)),
        origins: spawn_local(write_origins(keeper.clone(), origins_disk, checkpointed)),
        stop,
        served,
    };
    stop_requested.await;
    let ended = shut_down(&keeper, tasks).await;
    info!(target: "keeper", keeper:% = keeper.settings.name, calls_cut = ended.calls_cut, visits_cut = ended.visits_cut, snapshot_kept = ended.snapshot_kept, progress_kept = ended.progress_kept, origins_kept = ended.origins_kept; "stopped");
    Ok(ended)
}

async fn watch_settings(keeper: Rc<Keeper>, read_settings: ReadSettings) {
    let mut known_error = String::new();
    loop {
        sleep(SETTINGS_INTERVAL).await;
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
        keeper.update_schedule();
        let due = keeper.schedule.borrow_mut().start_next(keeper.now());
        let Some(at) = due else {
            keeper.pool.sweep();
            sleep(VISIT_CHECK_INTERVAL).await;
            continue;
        };
        let keeper = keeper.clone();
        keeper.visits.update(|n| n + 1);
        spawn_local(async move {
            let result = visit(&keeper, at).await;
            keeper.visits.update(|n| n - 1);
            let now = keeper.now();
            if keeper.schedule.borrow_mut().record_result(at, result, now) {
                evict(&keeper, at);
            }
        });
    }
}

/// Evicts a gateway that has not been reached for too long.
fn evict(keeper: &Keeper, at: SocketAddr) {
    let mut snapshot = keeper.snapshot.borrow_mut();
    let at_address = snapshot.gateways().filter(|(_, g)| g.calls == at);
    let names: Vec<EntryName> = at_address.map(|(name, _)| name.clone()).collect();
    for name in names {
        info!(target: "keeper", gateway:% = name; "gateway evicted");
        snapshot.remove_gateway(&name);
    }
    drop(snapshot);
    keeper.pending_snapshot.mark_changed();
}

/// Visits a gateway.
async fn visit(keeper: &Keeper, at: SocketAddr) -> VisitResult {
    let own = &keeper.settings.data_centre;
    let next_in = keeper.schedule.borrow().interval_of(at);
    let asked = keeper.now();
    let answer = calls::state(&keeper.pool, at, keeper.settings.calls, own, next_in).await;
    let Ok(visited) = answer else {
        // The gateway is down or has not started yet. Logging each attempt would be
        // noise.
        let snapshot = keeper.snapshot.borrow();
        let mut known = snapshot.gateways().filter(|(_, g)| g.calls == at);
        return VisitResult {
            reached: false,
            is_near: known.all(|(_, g)| is_near(own, g.data_centre.as_ref())),
        };
    };
    let state = visited.state;
    add_gateways(keeper, at, &state);
    if keeper
        .keepers
        .borrow_mut()
        .add(&visited.keepers, keeper.now())
    {
        keeper.pending_origins.mark_changed();
    }
    let outcome = visit_outcome(&keeper.snapshot.borrow(), &state);
    match outcome {
        VisitOutcome::FetchFacts => fetch_facts(keeper, at, &state).await,
        VisitOutcome::OfferSnapshot => offer_snapshot(keeper, at, &state).await,
        VisitOutcome::Confirmed => {
            let now = keeper.now();
            keeper.snapshot.borrow_mut().confirm(now);
        }
        VisitOutcome::Nothing => {}
    }
    let knows_all = keeper.snapshot.borrow().newest().workers >= state.newest.workers;
    if let Some(age) = visited.list_age.filter(|_| state.from_store && knows_all) {
        keeper.versions.borrow_mut().prove(asked - age);
    }
    VisitResult {
        reached: true,
        is_near: is_near(own, Some(&state.data_centre)),
    }
}

/// Adds a gateway and the peers that it reports.
fn add_gateways(keeper: &Keeper, at: SocketAddr, state: &GatewayState) {
    let mut snapshot = keeper.snapshot.borrow_mut();
    let gateway = KnownGateway {
        calls: at,
        data_centre: Some(state.data_centre.clone()),
    };
    let mut changed = snapshot.add_gateway(state.entry.clone(), gateway);
    for (name, calls) in &state.peers {
        let peer = KnownGateway {
            calls: *calls,
            data_centre: None,
        };
        changed |= snapshot.add_gateway(name.clone(), peer);
    }
    drop(snapshot);
    if changed {
        keeper.pending_snapshot.mark_changed();
    }
}

async fn fetch_facts(keeper: &Keeper, at: SocketAddr, state: &GatewayState) {
    let known = keeper.snapshot.borrow().newest();
    let facts = match calls::fetch_facts(&keeper.pool, at, known).await {
        Ok(facts) => facts,
        Err(e) => {
            warn!(target: "keeper", gateway:% = state.entry, error = e.as_str(); "facts not brought");
            return;
        }
    };
    let now = keeper.now();
    let newest = {
        let mut snapshot = keeper.snapshot.borrow_mut();
        snapshot.merge(facts);
        if state.reaches_store {
            snapshot.confirm(now);
        }
        snapshot.newest()
    };
    keeper.update_versions();
    info!(target: "keeper", gateway:% = state.entry, configuration = newest.configuration, workers = newest.workers; "facts taken over");
    keeper.pending_snapshot.mark_changed();
}

async fn offer_snapshot(keeper: &Keeper, at: SocketAddr, state: &GatewayState) {
    let offered = keeper.snapshot.borrow().offer(keeper.now());
    let Some(facts) = offered else {
        info!(target: "keeper", gateway:% = state.entry; "no valid snapshot to send");
        return;
    };
    let revision = facts.configuration.as_ref().map_or(0, |(r, _)| *r);
    match calls::send_snapshot(&keeper.pool, at, &facts).await {
        Ok(()) => {
            info!(target: "keeper", gateway:% = state.entry, revision, workers = facts.workers.len(); "snapshot sent");
        }
        Err(e) => {
            info!(target: "keeper", gateway:% = state.entry, revision, error = e.as_str(); "snapshot not accepted");
        }
    }
}
