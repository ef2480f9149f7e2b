//! Starts and stops the side process.

use crate::actor::SideActor;
use crate::backend::Backend;
use crate::core::SideCore;
use crate::handles::{BackendOrder, Handles};
use crate::message::Message;
use crate::metrics_server;
use crate::stop::{Stop, StopDecision, StopStatus};
use bluebellreel_admission::{Admission, AdmissionLimits, Priority};
use bluebellreel_http::{AccountLimits, HttpServer, Machine};
use bluebellreel_rpc::{SideCommand, SideNotice, run_side};
use bluebellreel_settings::{SidePriority, SideSettings};
use bluebellreel_telemetry::{SideMetrics, TraceSink, Tracer};
use bluebellreel_types::{Clock, Incarnation, ModelVersion, SideHello};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use stakker::{ActorOwn, Stakker, actor, call, query, ret_nop};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Interval between two model list requests to the backend server.
const MODEL_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Capacity of the actor's message queue. Senders block while it is full.
const QUEUE_CAPACITY: usize = 16_384;
/// Maximum time that the actor's loop waits for a message.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Eighths of the machine's memory that callers may take. The heaps of its
/// threads need room beside them.
const MEMORY_EIGHTHS: usize = 2;

/// A running side process.
pub struct Side {
    /// Address that entry daemons connect to.
    pub address: SocketAddr,
    /// Address of the metrics server, if there is one.
    pub metrics: Option<SocketAddr>,
    tx: Sender<Message>,
    actor_thread: JoinHandle<bool>,
    _metrics_server: Option<HttpServer>,
}

impl Side {
    /// Stops gracefully: refuses new work and waits for running attempts until
    /// the configured limit. Returns whether all of them finished.
    #[must_use = "a stop that interrupted running attempts must be reported"]
    pub fn stop(self) -> bool {
        self.tx.send(Message::StopRequested).ok();
        self.actor_thread.join().unwrap_or(false)
    }

    /// Requests a graceful stop without waiting for it.
    pub fn begin_stop(&self) {
        self.tx.send(Message::StopRequested).ok();
    }
}

/// Starts a side process within this process.
///
/// # Errors
///
/// Returns the operating system's error if an address cannot be bound or a
/// thread cannot be started.
pub fn start_side(settings: &SideSettings) -> eyre::Result<Side> {
    let clock = Clock::start();
    let incarnation = Incarnation::random();
    let (tx, rx) = bounded(QUEUE_CAPACITY);
    let tracer = start_tracer(settings);
    let listener = std::net::TcpListener::bind(settings.listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let machine = settings.machine;
    let machine = Machine::new(machine.memory, machine.descriptors, machine.files);
    let metrics_server = settings
        .metrics
        .map(|address| metrics_server::serve_metrics(address, machine.internal(), tx.clone()))
        .transpose()?;
    let backend = Arc::new(Backend::new(
        settings.backend.clone(),
        settings.service.clone(),
        clock.clone(),
        tx.clone(),
        tracer.clone(),
    ));
    // The actor receives the model list before the first connection is accepted:
    // a load report without models would make entry daemons route nothing to this
    // worker until they request its load again.
    let loaded = backend.models();
    if let Some(models) = &loaded {
        tx.send(Message::Models(models.clone())).ok();
    }
    let hello = SideHello {
        worker: settings.worker.clone(),
        incarnation,
        data_centre: settings.data_centre.clone(),
        models: loaded.iter().flatten().map(|m| m.name.clone()).collect(),
    };
    watch_models(&backend, &tx, loaded)?;
    let rpc = start_rpc(
        hello,
        listener,
        machine.callers_with(MEMORY_EIGHTHS),
        tx.clone(),
    )?;
    let handles = Handles {
        clock,
        rpc,
        backend: Box::new(move |order| match order {
            BackendOrder::Start(dispatch) => backend.start(dispatch),
            BackendOrder::Cancel(attempt) => backend.cancel(attempt),
            BackendOrder::Load(fence, model) => backend.load(fence, model),
        }),
        tracer,
        metrics: Arc::new(SideMetrics::default()),
    };
    let state = Admission::new(incarnation, admission_limits(settings));
    let stop = settings.stop;
    let actor_thread = thread::Builder::new()
        .name("side-actor".into())
        .spawn(move || run_actor(state, handles, &rx, stop))?;
    log::info!(target: "side", worker:% = settings.worker, address:% = address; "Side process started.");
    Ok(Side {
        address,
        metrics: metrics_server.as_ref().map(|server| server.address),
        tx,
        actor_thread,
        _metrics_server: metrics_server,
    })
}

fn start_tracer(settings: &SideSettings) -> Tracer {
    let sink = match (&settings.trace.file, &settings.trace.otlp) {
        (Some(file), _) => TraceSink::File(file.clone()),
        (None, Some(url)) => TraceSink::Http(url.clone()),
        (None, None) => TraceSink::Off,
    };
    Tracer::start("bluebellreel-side", sink)
}

fn admission_limits(settings: &SideSettings) -> AdmissionLimits {
    AdmissionLimits {
        window: settings.window,
        queue_count: settings.queue_count,
        queue_bytes: settings.queue_bytes,
        inter_token_target: settings.inter_token_target,
        priority: match settings.priority {
            SidePriority::Throughput => Priority::Throughput,
            SidePriority::Tail => Priority::Tail,
        },
        ..AdmissionLimits::default()
    }
}

/// Polls the backend server's model list and notifies the actor of changes,
/// until the actor has ended.
fn watch_models(
    backend: &Arc<Backend>,
    tx: &Sender<Message>,
    mut known: Option<Vec<ModelVersion>>,
) -> io::Result<()> {
    let backend = Arc::downgrade(backend);
    let tx = tx.clone();
    thread::Builder::new()
        .name("backend-models".into())
        .spawn(move || {
            while let Some(backend) = backend.upgrade() {
                let models = backend.models();
                drop(backend);
                if models.is_some() && models != known {
                    let message = Message::Models(models.clone().unwrap_or_default());
                    if tx.send(message).is_err() {
                        return;
                    }
                    known = models;
                }
                thread::sleep(MODEL_POLL_INTERVAL);
            }
        })?;
    Ok(())
}

fn start_rpc(
    hello: SideHello,
    listener: std::net::TcpListener,
    account: AccountLimits,
    tx: Sender<Message>,
) -> io::Result<mpsc::UnboundedSender<SideCommand>> {
    let (commands, queue) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("side-rpc".into())
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            let notify = move |notice: SideNotice| {
                tx.send(Message::Rpc(notice)).ok();
            };
            local.block_on(&runtime, async move {
                match tokio::net::TcpListener::from_std(listener) {
                    Ok(listener) => run_side(hello, listener, account, queue, notify).await,
                    Err(e) => {
                        log::error!(target: "side", error = e.to_string(); "RPC server not started: its listener could not be registered.");
                    }
                }
            });
        })?;
    Ok(commands)
}

/// Runs the actor until a graceful stop is complete. Returns whether all
/// attempts finished.
fn run_actor(state: Admission, handles: Handles, rx: &Receiver<Message>, stop: Duration) -> bool {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let core = SideCore::new(state, handles);
    let side: ActorOwn<SideActor> = actor!(s, SideActor::init(core), ret_nop!());
    s.run(Instant::now(), false);
    let mut stopping: Option<Stop> = None;
    loop {
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        let mut received_work = false;
        match rx.recv_timeout(sleep) {
            Ok(message) => {
                for message in std::iter::once(message).chain(rx.try_iter().take(QUEUE_CAPACITY)) {
                    received_work |= message.carries_work();
                    if matches!(message, Message::StopRequested) && stopping.is_none() {
                        log::info!(target: "side", "Stopping: nothing new is taken.");
                        stopping = Some(Stop::new(Instant::now() + stop));
                    }
                    call!([side], on_message(message));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return true,
        }
        s.run(Instant::now(), false);
        let Some(stopping) = &mut stopping else {
            continue;
        };
        let Some(status) = query!([side, s], stop_status()) else {
            return true;
        };
        match stopping.evaluate(
            StopStatus {
                received_work,
                ..status
            },
            Instant::now(),
        ) {
            StopDecision::Wait => {}
            StopDecision::Finish => {
                log::info!(target: "side", settled = status.settled; "Stopped; nothing was cut.");
                return true;
            }
            StopDecision::Interrupt => {
                log::error!(target: "side", "Stopped at the deadline; requests in progress were interrupted.");
                return false;
            }
        }
    }
}
