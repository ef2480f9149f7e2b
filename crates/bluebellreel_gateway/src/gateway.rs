//! The state of one daemon, shared by all its tasks on one thread.

use crate::admission::Shortage;
use crate::answer_buffers::AnswerBuffers;
use crate::cluster_state::ClusterState;
use crate::confirmation::OnDemand;
use crate::evidence::EvidenceLog;
use crate::health::HealthChecks;
use crate::in_progress::InProgress;
use crate::jobs::Deadlines;
use crate::jobs::own::Jobs;
use crate::keeper_visits::Keepers;
use crate::list_check::ListChecks;
use crate::metrics::Metrics;
use crate::reports::{Discoveries, ForwardQueue};
use crate::store::StoreClient;
use crate::suspension::time_suspended;
use crate::unreadable::Unreadable;
use bluebellreel_batch::{RegistrationSpan, Stamp, StartTerms};
use bluebellreel_dispatch::{
    Board, Configuration, Evidence, ItemTrials, Overloads, PartSuspects, PlacementLimits, Suspects,
};
use bluebellreel_kv::KeyValue;
use bluebellreel_members::{Members, WatchDuty};
use bluebellreel_net::{Account, LoopLag, Machine, Pool, PoolLimits};
use bluebellreel_origins::{OriginRecords, VersionHistory};
use bluebellreel_settings::GatewaySettings;
use bluebellreel_teams::{ActiveClasses, Allowances, Confirmation, Reservations, RevocationTerms};
use bluebellreel_types::{Clock, EntryName, Incarnation, Moment, WorkerName};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Timeout of connecting to a worker. A connect takes a few milliseconds; after this
/// time the worker is down, unreachable or overloaded.
const WORKER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of connections to workers that announce none.
const WORKER_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of idle connections per worker: twice the number of its slots.
const MAX_WORKER_IDLE: usize = 16;
/// Timeout of connecting to a peer.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of connections to peers.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of streams whose version is kept: those of half a minute at the peak of
/// the whole fleet, in some 6 MB.
const MAX_ORIGINS: usize = 65_536;
/// Maximum number of idle connections per peer.
const MAX_PEER_IDLE: usize = 8;

/// The state of one daemon.
pub(crate) struct Gateway {
    /// Settings read at the start.
    pub(crate) settings: GatewaySettings,
    /// Seed peers, as last reloaded.
    pub(crate) seeds: RefCell<Vec<SocketAddr>>,
    /// Time between SIGTERM and SIGKILL, as last reloaded.
    pub(crate) grace: Cell<Duration>,
    pub(crate) run: Incarnation,
    pub(crate) started: Instant,
    pub(crate) clock: Clock,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) cluster_state: RefCell<ClusterState>,
    pub(crate) board: RefCell<Board>,
    /// What was logged of the evidence on workers.
    pub(crate) evidence_log: RefCell<EvidenceLog>,
    /// Versions of workers that were listed lately.
    pub(crate) versions: RefCell<VersionHistory>,
    /// When the list of workers was last known to be complete, on the clock of
    /// [`Self::elapsed`]; none if it never was.
    pub(crate) list_complete_at: Cell<Option<Moment>>,
    pub(crate) list_checks: ListChecks,
    /// When the list was last known to be complete before each worker's restart was learned,
    /// for those that are listed.
    pub(crate) restarts: RefCell<HashMap<WorkerName, Moment>>,
    /// Versions that began streams, of this daemon's and of peers' callers.
    pub(crate) origins: RefCell<OriginRecords>,
    pub(crate) overloads: RefCell<Overloads>,
    /// Requests whose runs have crashed workers.
    pub(crate) suspects: RefCell<Suspects>,
    /// Parts of prompts on which workers have crashed.
    pub(crate) part_suspects: RefCell<PartSuspects>,
    /// How many items under which workers have crashed may run.
    pub(crate) item_trials: RefCell<ItemTrials>,
    /// When an item that is held back was last logged.
    pub(crate) held_item_logged: Cell<Moment>,
    pub(crate) members: RefCell<Members>,
    /// This daemon's part in elections of watchers.
    pub(crate) watch_duty: RefCell<WatchDuty>,
    /// Rate limits of teams.
    pub(crate) allowances: RefCell<Allowances>,
    /// Tokens reserved for callers over their team's limit.
    pub(crate) reservations: RefCell<Reservations>,
    /// Classes of requests that are active, by service.
    pub(crate) classes: RefCell<BTreeMap<Arc<str>, ActiveClasses>>,
    /// When the configuration was last confirmed to be the newest one.
    confirmation: Cell<Confirmation>,
    /// State of confirmations on demand.
    pub(crate) confirmation_on_demand: OnDemand,
    /// How long a confirmation allows keys; none if keys need no confirmation.
    pub(crate) revocation: Option<RevocationTerms>,
    pub(crate) jobs: RefCell<Jobs>,
    /// When items complete, and which of them can be in time.
    pub(crate) deadlines: Deadlines,
    pub(crate) workers: Pool,
    pub(crate) health_checks: HealthChecks,
    pub(crate) answer_buffers: Rc<AnswerBuffers>,
    /// What callers make this daemon hold.
    pub(crate) callers: Account,
    /// What was logged last of a shortage of room for callers.
    pub(crate) shortage: Cell<Shortage>,
    /// The inputs of the jobs that this daemon owns.
    pub(crate) job_inputs: Account,
    /// What peers, the balancer and readers of metrics make it hold.
    pub(crate) internal: Account,
    pub(crate) peers: Pool,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) keepers: RefCell<Keepers>,
    /// Wakes the tasks that wait for the first visit of a keeper.
    pub(crate) keeper_visited: Notify,
    pub(crate) unreadable: RefCell<Unreadable>,
    /// Id of the lease of this daemon's entry in the store; zero if there is none.
    pub(crate) lease: Cell<i64>,
    /// Revision at which this daemon's entry was written.
    pub(crate) registered_revision: Cell<i64>,
    /// How long this daemon's entry has existed without interruption. Meanwhile reads
    /// of jobs may be answered from memory.
    pub(crate) registration_span: Cell<RegistrationSpan>,
    /// When reports from most peers ceased to arrive; none while they arrive.
    pub(crate) isolated_since: Cell<Option<Moment>>,
    /// How many times this daemon was isolated from most peers and received their
    /// reports again.
    pub(crate) reconnections: Cell<u64>,
    /// Whether SIGTERM was received.
    pub(crate) stopping: Cell<bool>,
    /// Until when requests must be answered in full, as the process ends soon after; none
    /// while the daemon does not stop.
    pub(crate) answer_by: Cell<Option<Instant>>,
    /// Whether the last request on a route was refused because it could outlast the stop.
    pub(crate) refused_by_limit: Cell<bool>,
    /// Whether all new requests are refused, as the process is about to end.
    pub(crate) refusing: Cell<bool>,
    /// Notified at `answer_by`: requests that are not answered yet get a failure instead of
    /// a closed connection.
    pub(crate) answers_due: Notify,
    /// Set just before the process ends: requests dropped after this are cut off by
    /// the stop and do not count as abandoned by their callers.
    pub(crate) ended: Cell<bool>,
    /// Lag of the event loop.
    pub(crate) loop_lag: RefCell<LoopLag>,
    /// Callers' requests that are being answered.
    pub(crate) in_progress: Rc<InProgress>,
    /// Whether the first read of the registrations has ended, with or without success.
    pub(crate) members_read: watch::Sender<bool>,
    /// Whether this daemon has the cluster state from its peers, or is to read it from the
    /// store.
    pub(crate) joined: watch::Sender<bool>,
    /// Peers discovered recently.
    pub(crate) discoveries: RefCell<Discoveries>,
    /// Peers' reports that wait to be forwarded.
    pub(crate) forward_queue: RefCell<ForwardQueue>,
    /// Wakes the task that sends reports to peers.
    pub(crate) report_due: Notify,
    /// Wakes the task that starts batch items.
    pub(crate) batch_due: Notify,
    /// Wakes the task that asks the store to confirm the ownership of this daemon's jobs.
    pub(crate) confirmation_due: Notify,
    /// How long items may be started after a confirmation.
    pub(crate) start_terms: StartTerms,
    /// Wakes the tasks that watch the store after the store has dropped its history:
    /// their watches may never deliver the changes made meanwhile.
    pub(crate) history_compacted: Notify,
    /// Wakes runs whose worker may have restarted.
    pub(crate) worker_restarted: Notify,
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings) -> Rc<Self> {
        let limits = settings.machine;
        let machine = Machine::new(limits.memory, limits.descriptors, limits.files);
        let callers = Account::new(machine.callers());
        // A cancelled item must not reach its worker after a partition has ended.
        let workers = Pool::resetting(PoolLimits {
            connect: WORKER_CONNECT_TIMEOUT,
            idle: WORKER_IDLE_TIMEOUT,
            idle_per_address: MAX_WORKER_IDLE,
            // Their answers are read piece by piece.
            memory: usize::MAX,
        });
        let peers = Pool::new(PoolLimits {
            connect: PEER_CONNECT_TIMEOUT,
            idle: PEER_IDLE_TIMEOUT,
            idle_per_address: MAX_PEER_IDLE,
            memory: machine.own_calls(),
        });
        let metrics = Metrics::default();
        let mut board = Board::new(settings.data_centre.clone(), PlacementLimits::default());
        board.evidence = settings.scheduling.worker_evidence.then(Evidence::default);
        Rc::new(Self {
            seeds: RefCell::new(settings.seeds.clone()),
            grace: Cell::new(settings.grace),
            run: Incarnation::random(),
            started: Instant::now(),
            clock: Clock::start(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            cluster_state: RefCell::default(),
            board: RefCell::new(board),
            evidence_log: RefCell::default(),
            versions: RefCell::default(),
            list_complete_at: Cell::new(None),
            list_checks: ListChecks::default(),
            restarts: RefCell::default(),
            origins: RefCell::new(OriginRecords::new(MAX_ORIGINS)),
            overloads: RefCell::default(),
            suspects: RefCell::default(),
            part_suspects: RefCell::default(),
            item_trials: RefCell::default(),
            held_item_logged: Cell::default(),
            members: RefCell::default(),
            watch_duty: RefCell::default(),
            allowances: RefCell::new(Allowances::new(settings.rate_tolerance)),
            reservations: RefCell::new(Reservations::new(rand::random())),
            classes: RefCell::default(),
            confirmation: Cell::default(),
            confirmation_on_demand: OnDemand::default(),
            revocation: settings.revoke_within.map(RevocationTerms::within),
            jobs: RefCell::new(Jobs::new(machine.kept_for_others())),
            deadlines: Deadlines::default(),
            workers,
            peers,
            store: StoreClient::new(
                settings.store,
                machine.own_calls(),
                metrics.store_call.clone(),
                metrics.store_calls_by_purpose.clone(),
            ),
            metrics,
            keepers: RefCell::default(),
            keeper_visited: Notify::new(),
            health_checks: HealthChecks::default(),
            answer_buffers: Rc::new(AnswerBuffers::new(callers.clone())),
            callers,
            shortage: Cell::default(),
            job_inputs: Account::new(machine.kept()),
            internal: Account::new(machine.internal()),
            unreadable: RefCell::default(),
            lease: Cell::new(0),
            registered_revision: Cell::new(0),
            registration_span: Cell::default(),
            isolated_since: Cell::new(None),
            reconnections: Cell::new(0),
            stopping: Cell::new(false),
            answer_by: Cell::new(None),
            refused_by_limit: Cell::new(false),
            refusing: Cell::new(false),
            answers_due: Notify::new(),
            ended: Cell::new(false),
            loop_lag: RefCell::default(),
            in_progress: Rc::default(),
            members_read: watch::Sender::new(false),
            joined: watch::Sender::new(false),
            discoveries: RefCell::default(),
            forward_queue: RefCell::default(),
            report_due: Notify::new(),
            batch_due: Notify::new(),
            confirmation_due: Notify::new(),
            start_terms: StartTerms::within(settings.cancel_within),
            history_compacted: Notify::new(),
            worker_restarted: Notify::new(),
            settings,
        })
    }

    pub(crate) fn me(&self) -> &EntryName {
        &self.settings.name
    }

    /// Records that the list of workers was complete at a moment of the clock of
    /// [`Self::elapsed`], and that all changes until then are applied.
    pub(crate) fn note_list_complete(&self, at: Moment) {
        let newest = self.list_complete_at.get().max(Some(at));
        self.list_complete_at.set(newest);
        self.versions.borrow_mut().prove(at);
    }

    /// How long ago the list of workers was known to be complete.
    pub(crate) fn list_age(&self) -> Option<Duration> {
        let complete_at = self.list_complete_at.get()?;
        Some(self.elapsed().since(complete_at))
    }

    /// Whether this daemon has run for some time.
    pub(crate) fn has_run_for(&self, time: Duration) -> bool {
        self.started.elapsed() >= time
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The current moment on a clock that also runs while the VM is suspended.
    pub(crate) fn elapsed(&self) -> Moment {
        self.now() + time_suspended()
    }

    /// Records that no configuration newer than `revision` existed at some moment after
    /// `asked`.
    pub(crate) fn note_confirmation(&self, revision: i64, asked: Moment) {
        let mut confirmation = self.confirmation.get();
        confirmation.note(revision, asked);
        self.confirmation.set(confirmation);
    }

    /// Time since the held configuration was confirmed to be the newest one.
    pub(crate) fn confirmation_age(&self) -> Option<Duration> {
        let held = self.cluster_state.borrow().held_revision();
        self.confirmation.get().age(held, self.elapsed())
    }

    /// The revision that was confirmed last, and its age, for peers.
    pub(crate) fn newest_confirmed(&self) -> Option<(i64, Duration)> {
        let confirmation = self.confirmation.get();
        let age = confirmation.age(i64::MAX, self.elapsed())?;
        Some((confirmation.revision(), age))
    }

    /// Whether keys of the held configuration are accepted.
    pub(crate) fn accepts_keys(&self) -> bool {
        let held = self.cluster_state.borrow().held_revision();
        let confirmation = self.confirmation.get();
        let allows = |terms| confirmation.allows_keys(held, &terms, self.elapsed());
        self.revocation.is_none_or(allows)
    }

    /// Whether what the held configuration does not allow may be rejected for good. A newer
    /// configuration may allow it otherwise.
    pub(crate) fn allows_rejection(&self) -> bool {
        let held = self.cluster_state.borrow().held_revision();
        let confirmation = self.confirmation.get();
        confirmation.allows_rejection(held, self.elapsed())
    }

    /// Puts the configuration in a store entry into force if it is newer.
    pub(crate) fn take_configuration(&self, kv: &KeyValue) {
        let mut cluster_state = self.cluster_state.borrow_mut();
        cluster_state.configure(kv.revision, &kv.value, "store", self.now());
        self.report_due.notify_one();
    }

    /// Updates the share of the teams' rate limits that this daemon may use.
    pub(crate) fn update_allowances(&self) {
        let gateways = self.members.borrow().expected_gateways(self.now());
        let is_registered = self.registration_span.get().is_unbroken(self.stamp());
        let mut allowances = self.allowances.borrow_mut();
        allowances.update(gateways, is_registered, self.elapsed());
    }

    /// The current moment and the total time suspended so far.
    pub(crate) fn stamp(&self) -> Stamp {
        Stamp {
            at: self.now(),
            suspended: time_suspended(),
        }
    }

    /// Ends the registration span: this daemon's entry is gone, or its lease may have
    /// expired.
    pub(crate) fn interrupt_registration_span(&self) {
        let mut registration_span = self.registration_span.get();
        registration_span.interrupt();
        self.registration_span.set(registration_span);
    }

    /// The configuration in force, if one is known.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.cluster_state.borrow().configuration()
    }

    /// Counts an entry of the store that cannot be used, once per revision. Returns
    /// whether this revision is new.
    pub(crate) fn note_unreadable(&self, kv: &KeyValue) -> bool {
        let is_new = self.unreadable.borrow_mut().note(kv);
        if is_new {
            self.metrics.unreadable.inc();
        }
        is_new
    }

    /// Whether a request with this deadline is refused: the process could end before it
    /// does, and would cut its answer off.
    pub(crate) fn refuses(&self, deadline: Instant) -> bool {
        let outlasts_stop = self.answer_by.get().is_some_and(|by| deadline > by);
        self.refusing.get() || outlasts_stop
    }

    /// Whether the balancer should send requests to this daemon: it is not stopping, it
    /// knows routes, and it knows a worker of at least one service that they name.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(configuration) = self.configuration() else {
            return false;
        };
        let board = self.board.borrow();
        let knows_worker = board
            .worker_views()
            .any(|s| configuration.names_service(&s.record.service));
        !self.stopping.get() && knows_worker
    }
}
