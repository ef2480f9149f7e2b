//! Wiring of the side process.

use crate::actor::SideActor;
use crate::backend::Backend;
use crate::core::SideCore;
use crate::message::Message;
use crate::parts::{BackendOrder, Parts};
use crate::rim;
use crate::stop::{Look, Stop, Verdict};
use bluebellreel_admission::{Admission, AdmissionLimits, Priority};
use bluebellreel_http::HttpServer;
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

/// Between two looks at the backend server's models.
const MODELS_PERIOD: Duration = Duration::from_millis(500);
/// Messages that wait for the actor; past it, senders wait.
const MESSAGES: usize = 16_384;
/// Longest sleep of the actor's loop.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);

/// A running side process.
pub struct Side {
    /// Where entries reach it.
    pub address: SocketAddr,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    tx: Sender<Message>,
    actor_thread: JoinHandle<bool>,
    _rim: Option<HttpServer>,
}

impl Side {
    /// Stops gracefully: nothing new, what runs finishes. Whether nothing was
    /// cut.
    #[must_use = "a stop that cut something must be reported"]
    pub fn stop(self) -> bool {
        self.tx.send(Message::StopAsked).ok();
        self.actor_thread.join().unwrap_or(false)
    }

    /// Asks for a graceful stop without waiting for it.
    pub fn begin_stop(&self) {
        self.tx.send(Message::StopAsked).ok();
    }
}

/// Starts a side process within this process.
///
/// # Errors
///
/// Gives the system's error when an address cannot be bound.
pub fn start_side(settings: &SideSettings) -> eyre::Result<Side> {
    let clock = Clock::start();
    let incarnation = Incarnation::random();
    let (tx, rx) = bounded(MESSAGES);
    let tracer = start_tracer(settings);
    let listener = std::net::TcpListener::bind(settings.listen)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let rim = settings
        .metrics
        .map(|address| rim::serve_metrics(address, tx.clone()))
        .transpose()?;
    let backend = Arc::new(Backend::new(
        settings.backend.clone(),
        settings.service.clone(),
        clock.clone(),
        tx.clone(),
        tracer.clone(),
    ));
    // The actor hears the models before any connection: a load report without
    // them would hide this worker from daemons until their next question.
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
    let rpc = start_rpc(hello, listener, tx.clone())?;
    let parts = Parts {
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
    let state = Admission::new(incarnation, limits_of(settings));
    let stop = settings.stop;
    let actor_thread = thread::Builder::new()
        .name("side-actor".into())
        .spawn(move || run_actor(state, parts, &rx, stop))?;
    log::info!(target: "side", worker:% = settings.worker, address:% = address; "Side process started.");
    Ok(Side {
        address,
        metrics: rim.as_ref().map(|rim| rim.address),
        tx,
        actor_thread,
        _rim: rim,
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

fn limits_of(settings: &SideSettings) -> AdmissionLimits {
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

/// Looks at the backend server's models until the actor is gone.
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
                thread::sleep(MODELS_PERIOD);
            }
        })?;
    Ok(())
}

fn start_rpc(
    hello: SideHello,
    listener: std::net::TcpListener,
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
                    Ok(listener) => run_side(hello, listener, queue, notify).await,
                    Err(e) => {
                        log::error!(target: "side", error = e.to_string(); "Listening failed.");
                    }
                }
            });
        })?;
    Ok(commands)
}

/// Runs the actor until a graceful stop is done; whether it cut nothing.
fn run_actor(state: Admission, parts: Parts, rx: &Receiver<Message>, stop: Duration) -> bool {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let core = SideCore::new(state, parts);
    let side: ActorOwn<SideActor> = actor!(s, SideActor::init(core), ret_nop!());
    s.run(Instant::now(), false);
    let mut stopping: Option<Stop> = None;
    loop {
        let sleep = s.next_wait_max(Instant::now(), LONGEST_SLEEP, false);
        let mut heard = false;
        match rx.recv_timeout(sleep) {
            Ok(message) => {
                for message in std::iter::once(message).chain(rx.try_iter().take(MESSAGES)) {
                    heard |= message.brings_work();
                    if matches!(message, Message::StopAsked) && stopping.is_none() {
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
        let Some(look) = query!([side, s], look()) else {
            return true;
        };
        match stopping.look(Look { heard, ..look }, Instant::now()) {
            Verdict::GoOn => {}
            Verdict::Done => {
                log::info!(target: "side", settled = look.settled; "Stopped; nothing was cut.");
                return true;
            }
            Verdict::Cut => {
                log::error!(target: "side", "Stopped at the deadline; requests in progress were cut.");
                return false;
            }
        }
    }
}
