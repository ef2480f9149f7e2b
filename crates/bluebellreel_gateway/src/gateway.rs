//! What one daemon holds; shared by all its tasks on the one thread.

use crate::facts::Facts;
use crate::in_progress::InProgress;
use crate::jobs::own::Jobs;
use crate::keeper_visits::Keepers;
use crate::metrics::Metrics;
use crate::store::StoreClient;
use crate::suspension::time_suspended;
use crate::unreadable::Unreadable;
use bluebellreel_batch::{RegistrationSpan, Stamp, StartTerms};
use bluebellreel_dispatch::{Board, Configuration, Overloads, PlacementLimits, Suspects};
use bluebellreel_kv::KeyValue;
use bluebellreel_members::Members;
use bluebellreel_net::{Pool, PoolLimits};
use bluebellreel_settings::GatewaySettings;
use bluebellreel_types::{Clock, EntryName, Incarnation, Moment};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Longest wait for a connection to a worker: one takes some milliseconds;
/// past this the worker is down, dark or flooded.
const WORKER_CONNECT: Duration = Duration::from_millis(250);
/// Idle time of worker connections that state none.
const WORKER_IDLE: Duration = Duration::from_secs(4);
/// Idle connections kept for one worker: its slots, and as many again.
const WORKER_IDLE_COUNT: usize = 16;
/// Longest wait for a connection to a peer.
const PEER_CONNECT: Duration = Duration::from_millis(250);
/// Idle time of peer connections.
const PEER_IDLE: Duration = Duration::from_secs(4);
/// Idle connections kept for one peer.
const PEER_IDLE_COUNT: usize = 8;

/// One daemon.
pub(crate) struct Gateway {
    /// Settings as of the start.
    pub(crate) settings: GatewaySettings,
    /// Peers to begin with, as of now.
    pub(crate) seeds: RefCell<Vec<SocketAddr>>,
    /// Time from SIGTERM to the kill, as of now.
    pub(crate) grace: Cell<Duration>,
    pub(crate) run: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) facts: RefCell<Facts>,
    pub(crate) board: RefCell<Board>,
    pub(crate) overloads: RefCell<Overloads>,
    /// Requests under which workers have crashed.
    pub(crate) suspects: RefCell<Suspects>,
    pub(crate) members: RefCell<Members>,
    pub(crate) jobs: RefCell<Jobs>,
    pub(crate) workers: Pool,
    pub(crate) peers: Pool,
    pub(crate) store: StoreClient,
    pub(crate) metrics: Metrics,
    pub(crate) keepers: RefCell<Keepers>,
    pub(crate) unreadable: RefCell<Unreadable>,
    /// Lease of this daemon's entry in the store; zero for none.
    pub(crate) lease: Cell<i64>,
    /// How long this daemon's entry has stood; readers may be answered from memory
    /// meanwhile.
    pub(crate) tenure: Cell<RegistrationSpan>,
    /// Since when few peers are heard; none while most are.
    pub(crate) isolated_since: Cell<Option<Moment>>,
    /// Times that this daemon was cut off from most peers and hears them again.
    pub(crate) rejoined: Cell<u64>,
    /// Set from SIGTERM on.
    pub(crate) stopping: Cell<bool>,
    /// Set once a new request could not end before the process does.
    pub(crate) refusing: Cell<bool>,
    /// Set at the very end: what is dropped then is cut by the stop.
    pub(crate) ended: Cell<bool>,
    /// Requests of callers that are being answered.
    pub(crate) in_progress: Rc<InProgress>,
    /// Wakes the sender of reports to peers.
    pub(crate) report_due: Notify,
    /// Wakes the task that starts batch items.
    pub(crate) batch_due: Notify,
    /// Wakes the task that has the store confirm own jobs.
    pub(crate) confirmation_due: Notify,
    /// For how long a confirmation allows items to start.
    pub(crate) start_terms: StartTerms,
    /// Wakes those that watch the store: its history was dropped, and their
    /// watches may never bring what happened meanwhile.
    pub(crate) history_gone: Notify,
    /// Wakes runs whose worker may have started again.
    pub(crate) worker_restarted: Notify,
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings) -> Rc<Self> {
        let workers = Pool::new(PoolLimits {
            connect: WORKER_CONNECT,
            idle: WORKER_IDLE,
            idle_per_address: WORKER_IDLE_COUNT,
        });
        let peers = Pool::new(PoolLimits {
            connect: PEER_CONNECT,
            idle: PEER_IDLE,
            idle_per_address: PEER_IDLE_COUNT,
        });
        let metrics = Metrics::default();
        let board = Board::new(settings.data_centre.clone(), PlacementLimits::default());
        Rc::new(Self {
            seeds: RefCell::new(settings.seeds.clone()),
            grace: Cell::new(settings.grace),
            run: Incarnation::random(),
            clock: Clock::start(),
            rng: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            facts: RefCell::default(),
            board: RefCell::new(board),
            overloads: RefCell::default(),
            suspects: RefCell::default(),
            members: RefCell::default(),
            jobs: RefCell::default(),
            workers,
            peers,
            store: StoreClient::new(settings.store, metrics.store_call.clone()),
            metrics,
            keepers: RefCell::default(),
            unreadable: RefCell::default(),
            lease: Cell::new(0),
            tenure: Cell::default(),
            isolated_since: Cell::new(None),
            rejoined: Cell::new(0),
            stopping: Cell::new(false),
            refusing: Cell::new(false),
            ended: Cell::new(false),
            in_progress: Rc::default(),
            report_due: Notify::new(),
            batch_due: Notify::new(),
            confirmation_due: Notify::new(),
            start_terms: StartTerms::within(settings.cancel_within),
            history_gone: Notify::new(),
            worker_restarted: Notify::new(),
            settings,
        })
    }

    pub(crate) fn me(&self) -> &EntryName {
        &self.settings.name
    }

    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The present moment, with the time suspended so far.
    pub(crate) fn stamp(&self) -> Stamp {
        Stamp {
            at: self.now(),
            suspended: time_suspended(),
        }
    }

    /// This daemon's entry has gone, or its lease is not known to run on.
    pub(crate) fn interrupt_tenure(&self) {
        let mut tenure = self.tenure.get();
        tenure.interrupt();
        self.tenure.set(tenure);
    }

    /// The configuration in force; none before the first is known.
    pub(crate) fn configuration(&self) -> Option<Rc<Configuration>> {
        self.facts.borrow().configuration()
    }

    /// Notes an entry of the store that cannot be used, once for each of its
    /// revisions; whether this one is new.
    pub(crate) fn note_unreadable(&self, kv: &KeyValue) -> bool {
        let is_new = self.unreadable.borrow_mut().note(kv);
        if is_new {
            self.metrics.unreadable.inc();
        }
        is_new
    }

    /// Whether the balancer should send requests here: routes are known, and a
    /// worker of some service that they name.
    pub(crate) fn is_ready(&self) -> bool {
        let Some(configuration) = self.configuration() else {
            return false;
        };
        let board = self.board.borrow();
        let knows_worker = board
            .seats()
            .any(|s| configuration.names_service(&s.record.service));
        !self.stopping.get() && knows_worker
    }
}
