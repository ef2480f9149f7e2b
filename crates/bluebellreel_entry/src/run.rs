//! Start and stop of the entry daemon.

use crate::actor::EntryActor;
use crate::core::EntryCore;
use crate::data::{ChunkAccess, keep_volumes, watch_volumes};
use crate::fleet::{SharedManifest, watch_drains, watch_manifest, watch_matchers};
use crate::handles::DaemonHandles;
use crate::http::{HttpContext, handle};
use crate::jobs::{JobsMessage, start_sweeper};
use crate::message::Message;
use crate::platform::{
    KvPool, STOPPED, follow_prefix, hold_lease, job_prefix, watch_entries, watch_vms,
};
use crate::readiness::Readiness;
use bluebellreel_http::{HttpServer, Machine, serve};
use bluebellreel_job::JobRecord;
use bluebellreel_kv::{KeyValue, KvClient, KvSettings};
use bluebellreel_rpc::{EntryCommand, EntryNotice, run_entry};
use bluebellreel_settings::EntrySettings;
use bluebellreel_telemetry::{EntryMetrics, TraceSink, Tracer};
use bluebellreel_types::{Clock, Incarnation};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Capacity of the actor's message queue; senders block when it is full.
const MESSAGE_QUEUE_CAPACITY: usize = 65_536;
/// Maximum number of messages handled before timers are checked again.
const MAX_MESSAGES_PER_TURN: usize = 1_024;
/// Maximum sleep of the actor's loop.
const MAX_SLEEP: Duration = Duration::from_millis(100);
/// Interval at which a stop checks whether all work has finished.
const IDLE_POLL: Duration = Duration::from_millis(10);
/// Minimum time for closing connections, also past the stop's deadline. It is longer
/// than the HTTP server waits for an idle caller.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Timeout of one call to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(2);
/// Eighths of the machine's memory that callers may take. The stacks and heaps of
/// the daemon's threads take the most.
const MEMORY_EIGHTHS: usize = 1;

/// A running entry daemon.
pub struct Entry {
    /// Address of the HTTP server for callers and operators.
    pub address: SocketAddr,
    tx: Sender<Message>,
    http: HttpServer,
    actors: JoinHandle<()>,
    handles: DaemonHandles,
}

impl Entry {
    /// Stops gracefully: accepts no new work and lets work in progress finish.
    /// Returns whether no work was interrupted.
    ///
    /// No request may arrive between the last check and the end. The lease is
    /// therefore revoked, a call that may take seconds, while late callers are still
    /// answered "not run", and no slow operation follows the last check. By then
    /// the server accepts no connections, and existing ones are closed.
    #[must_use = "a stop that interrupted work must be reported"]
    pub fn stop(self) -> bool {
        let settings = &self.handles.settings;
        let until = Instant::now() + settings.drain_delay + settings.stop;
        let ends_at = self.handles.clock.now() + settings.drain_delay + settings.stop;
        self.tx.send(Message::Drain(ends_at)).ok();
        self.leave_rotation();
        self.tx.send(Message::Stop).ok();
        // Late callers may keep arriving while the server accepts connections, so
        // this waits only for the actor, whose work can only decrease.
        wait_until(until, || self.is_idle());
        revoke_lease(&self.handles);
        self.http.stop();
        let until = until.max(Instant::now() + CLOSE_TIMEOUT);
        // Connections are checked first: once they are closed, the actor receives
        // no new work.
        wait_until(until, || self.http.is_closed() && self.is_idle());
        let cut = self.http.in_progress();
        let clean = self.is_idle() && cut == 0;
        if clean {
            self.tx.send(Message::Quit).ok();
            self.actors.join().ok();
            log::info!(target: "entry", "Stopped; no work was interrupted.");
        } else {
            log::error!(target: "entry", cut; "Stopped at the deadline with work in progress.");
        }
        clean
    }

    /// Reports the daemon as unready, then waits for the notice period: the load
    /// balancer keeps sending callers for a while, and they are served.
    fn leave_rotation(&self) {
        self.handles.readiness.stop();
        self.http.start_draining();
        log::info!(target: "entry", "Stopping: no longer ready.");
        thread::sleep(self.handles.settings.drain_delay);
    }

    /// Whether the actor has no work in progress.
    fn is_idle(&self) -> bool {
        let (answer, idle) = bounded(1);
        self.tx.send(Message::QueryIdle(answer)).ok();
        idle.recv_timeout(MAX_SLEEP * 10).unwrap_or(false)
    }
}

/// Polls until the condition holds or the deadline has passed.
fn wait_until(until: Instant, condition: impl Fn() -> bool) {
    while !condition() && Instant::now() < until {
        thread::sleep(IDLE_POLL);
    }
}

/// Revokes the lease, so that other daemons can take over remaining jobs without
/// waiting for its expiry.
fn revoke_lease(handles: &DaemonHandles) {
    let lease = handles.lease.swap(STOPPED, Ordering::SeqCst);
    if lease > 0
        && let Err(e) = handles.kv.revoke(lease)
    {
        log::warn!(target: "entry", error:% = e; "Lease could not be revoked.");
    }
}

/// Starts an entry daemon within this process.
///
/// # Errors
///
/// Returns the system's error if an address cannot be bound, a thread cannot be
/// started, or the folder for chunks cannot be used.
pub fn start_entry(settings: EntrySettings) -> eyre::Result<Entry> {
    let settings = Arc::new(settings);
    let run = Incarnation::random();
    let (tx, rx) = bounded(MESSAGE_QUEUE_CAPACITY);
    let clock = Clock::start();
    let kv = Arc::new(KvClient::new(
        KvSettings {
            url: settings.kv.clone(),
            call_timeout: KV_TIMEOUT,
            calls_per_second: settings.kv_calls_per_second,
        },
        run,
        clock.clone(),
    ));
    let handles = DaemonHandles {
        run,
        clock: clock.clone(),
        lease: Arc::default(),
        pool: KvPool::start(&kv)?,
        kv,
        rpc: start_rpc(&settings, tx.clone())?,
        tx: tx.clone(),
        tracer: start_tracer(&settings),
        metrics: Arc::new(EntryMetrics::default()),
        settings: settings.clone(),
        readiness: Readiness::default(),
        data: ChunkAccess::open(settings.data.as_ref(), &clock)?,
    };
    let shared = SharedManifest::default();
    let cx = HttpContext {
        handles: handles.clone(),
        manifest: shared.clone(),
    };
    let machine = settings.machine;
    let machine = Machine::new(machine.memory, machine.descriptors, machine.files);
    let account = machine.callers_with(MEMORY_EIGHTHS);
    let http = serve(
        settings.listen,
        settings.limits.threads,
        account,
        move |req| {
            handle(&cx, req);
        },
    )?;
    hold_lease(&handles, http.address)?;
    watch_volumes(&handles)?;
    watch_entries(&handles)?;
    keep_volumes(&handles)?;
    watch_vms(&handles)?;
    watch_manifest(&handles)?;
    watch_drains(&handles)?;
    watch_matchers(&handles)?;
    watch_jobs(&handles)?;
    start_sweeper(&handles)?;
    let name = settings.name.clone();
    let actors = thread::Builder::new().name("entry-actors".into()).spawn({
        let handles = handles.clone();
        move || run_actor(&handles, shared, &rx)
    })?;
    log::info!(target: "entry", entry:% = name, address:% = http.address; "Entry daemon started.");
    Ok(Entry {
        address: http.address,
        tx,
        http,
        actors,
        handles,
    })
}

fn start_tracer(settings: &EntrySettings) -> Tracer {
    let sink = match (&settings.trace.file, &settings.trace.otlp) {
        (Some(file), _) => TraceSink::File(file.clone()),
        (None, Some(url)) => TraceSink::Http(url.clone()),
        (None, None) => TraceSink::Off,
    };
    Tracer::start("bluebellreel", sink)
}

fn start_rpc(
    settings: &EntrySettings,
    tx: Sender<Message>,
) -> io::Result<mpsc::UnboundedSender<EntryCommand>> {
    let (commands, queue) = mpsc::unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let name = settings.name.clone();
    thread::Builder::new()
        .name("entry-rpc".into())
        .spawn(move || {
            let local = tokio::task::LocalSet::new();
            let notify = move |notice: EntryNotice| {
                tx.send(Message::Rpc(notice)).ok();
            };
            local.block_on(&runtime, run_entry(name, queue, notify));
        })?;
    Ok(commands)
}

/// Starts the thread that watches the running jobs.
fn watch_jobs(handles: &DaemonHandles) -> io::Result<()> {
    let handles = handles.clone();
    thread::Builder::new()
        .name("job-watch".into())
        .spawn(move || {
            follow_prefix(
                &handles.kv,
                &job_prefix(),
                |all| {
                    let jobs = all.iter().filter_map(job_of).collect();
                    handles.send_message(Message::Jobs(JobsMessage::AllJobs(jobs)))
                },
                |event| handles.send_message(Message::Jobs(JobsMessage::Changed(event))),
            );
        })?;
    Ok(())
}

fn job_of(kv: &KeyValue) -> Option<(JobRecord, i64)> {
    let record = serde_json::from_slice(&kv.value).ok()?;
    Some((record, kv.revision))
}

/// Runs the actor until it receives [`Message::Quit`] or all senders are gone.
fn run_actor(handles: &DaemonHandles, shared: SharedManifest, rx: &Receiver<Message>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let core = EntryCore::new(handles, shared);
    let entry: ActorOwn<EntryActor> = actor!(s, EntryActor::init(core), ret_nop!());
    s.run(Instant::now(), false);
    let mut running = true;
    while running {
        let sleep = s.next_wait_max(Instant::now(), MAX_SLEEP, false);
        match rx.recv_timeout(sleep) {
            Ok(first) => {
                let more = rx.try_iter().take(MAX_MESSAGES_PER_TURN);
                for message in std::iter::once(first).chain(more) {
                    running &= !matches!(message, Message::Quit);
                    call!([entry], on_message(message));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => running = false,
        }
        s.run(Instant::now(), false);
    }
}
