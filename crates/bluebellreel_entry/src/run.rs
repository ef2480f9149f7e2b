//! Wiring of the entry daemon.

use crate::actor::EntryActor;
use crate::core::EntryCore;
use crate::data::{ChunkAccess, keep_volumes, watch_volumes};
use crate::fleet::{SharedManifest, watch_drains, watch_manifest, watch_matchers};
use crate::http::{Rim, handle};
use crate::jobs::{JobsMessage, keep_swept};
use crate::message::Message;
use crate::parts::Parts;
use crate::platform::{
    KvPool, STOPPED, follow_prefix, hold_lease, job_prefix, watch_entries, watch_vms,
};
use crate::readiness::Readiness;
use bluebellreel_http::{HttpServer, serve};
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

/// Messages that wait for the actors; past it, senders wait.
const MESSAGES: usize = 65_536;
/// Messages handled before timers are looked at again.
const MESSAGES_AT_ONCE: usize = 1_024;
/// Longest sleep of the actors' loop.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);
/// Between two looks at whether a stop is done.
const IDLE_POLL: Duration = Duration::from_millis(10);
/// Time for connections to be closed, also past the deadline: longer than the
/// HTTP server waits for a caller that says nothing more.
const CLOSE_TIME: Duration = Duration::from_secs(4);
/// Longest wait for one call to the key-value service.
const KV_TIMEOUT: Duration = Duration::from_secs(2);

/// A running entry daemon.
pub struct Entry {
    /// Where callers and operators reach it.
    pub address: SocketAddr,
    tx: Sender<Message>,
    http: HttpServer,
    actors: JoinHandle<()>,
    parts: Parts,
}

impl Entry {
    /// Stops gracefully: nothing new, what is in progress finishes. Whether
    /// nothing was cut.
    ///
    /// Guards against requests that come between the last look and the end: the
    /// lease is given back, a call that may take seconds, while late callers
    /// are still told "not run", and nothing slow comes after the last look.
    /// Nobody can connect any more by then, and connections are closed.
    #[must_use = "a stop that cut something must be reported"]
    pub fn stop(self) -> bool {
        self.leave_rotation();
        let until = Instant::now() + self.parts.settings.stop;
        self.tx.send(Message::StopAsked).ok();
        // Late callers may come one after another for as long as anybody can
        // connect; the actors' work only becomes less.
        wait_until(until, || self.is_idle());
        give_back_lease(&self.parts);
        self.http.stop();
        let until = until.max(Instant::now() + CLOSE_TIME);
        // Whether connections are gone is looked at first: once they are, the
        // actors get nothing new.
        wait_until(until, || self.http.is_closed() && self.is_idle());
        let cut = self.http.in_progress();
        let clean = self.is_idle() && cut == 0;
        if clean {
            self.tx.send(Message::Quit).ok();
            self.actors.join().ok();
            log::info!(target: "entry", "Stopped; nothing was cut.");
        } else {
            log::error!(target: "entry", cut; "Stopped at the deadline with work in progress.");
        }
        clean
    }

    /// The balancer goes on sending for a while; those callers are served.
    fn leave_rotation(&self) {
        self.parts.readiness.stop();
        self.http.start_draining();
        log::info!(target: "entry", "Stopping: not ready any more.");
        thread::sleep(self.parts.settings.notice);
    }

    /// Whether the actors have nothing to do any more.
    fn is_idle(&self) -> bool {
        let (answer, idle) = bounded(1);
        self.tx.send(Message::IdleAsked(answer)).ok();
        idle.recv_timeout(LONGEST_SLEEP * 10).unwrap_or(false)
    }
}

/// Looks until it holds or the time is up.
fn wait_until(until: Instant, holds: impl Fn() -> bool) {
    while !holds() && Instant::now() < until {
        thread::sleep(IDLE_POLL);
    }
}

/// Gives the lease back, so that other daemons need not wait for its end to
/// take over what is left.
fn give_back_lease(parts: &Parts) {
    let lease = parts.lease.swap(STOPPED, Ordering::SeqCst);
    if lease > 0
        && let Err(e) = parts.kv.revoke(lease)
    {
        log::warn!(target: "entry", error:% = e; "The lease could not be given back.");
    }
}

/// Starts an entry daemon within this process.
///
/// # Errors
///
/// Gives the system's error when an address cannot be bound or a thread cannot
/// be started.
pub fn start_entry(settings: EntrySettings) -> eyre::Result<Entry> {
    let settings = Arc::new(settings);
    let run = Incarnation::random();
    let (tx, rx) = bounded(MESSAGES);
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
    let parts = Parts {
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
    let rim = Rim {
        parts: parts.clone(),
        manifest: shared.clone(),
    };
    let http = serve(settings.listen, settings.limits.threads, move |req| {
        handle(&rim, req);
    })?;
    hold_lease(&parts, http.address)?;
    watch_volumes(&parts)?;
    watch_entries(&parts)?;
    keep_volumes(&parts)?;
    watch_vms(&parts)?;
    watch_manifest(&parts)?;
    watch_drains(&parts)?;
    watch_matchers(&parts)?;
    watch_jobs(&parts)?;
    keep_swept(&parts)?;
    let name = settings.name.clone();
    let actors = thread::Builder::new().name("entry-actors".into()).spawn({
        let parts = parts.clone();
        move || run_actor(&parts, shared, &rx)
    })?;
    log::info!(target: "entry", entry:% = name, address:% = http.address; "Entry daemon started.");
    Ok(Entry {
        address: http.address,
        tx,
        http,
        actors,
        parts,
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

/// Follows the jobs that are not over.
fn watch_jobs(parts: &Parts) -> io::Result<()> {
    let parts = parts.clone();
    thread::Builder::new()
        .name("job-watch".into())
        .spawn(move || {
            follow_prefix(
                &parts.kv,
                &job_prefix(),
                |all| {
                    let jobs = all.iter().filter_map(job_of).collect();
                    parts.tell(Message::Jobs(JobsMessage::AllJobs(jobs)))
                },
                |event| parts.tell(Message::Jobs(JobsMessage::Changed(event))),
            );
        })?;
    Ok(())
}

fn job_of(kv: &KeyValue) -> Option<(JobRecord, i64)> {
    let record = serde_json::from_slice(&kv.value).ok()?;
    Some((record, kv.revision))
}

/// Runs the actor until it is told to quit.
fn run_actor(parts: &Parts, shared: SharedManifest, rx: &Receiver<Message>) {
    let mut stakker = Stakker::new(Instant::now());
    let s = &mut stakker;
    let core = EntryCore::new(parts, shared);
    let entry: ActorOwn<EntryActor> = actor!(s, EntryActor::init(core), ret_nop!());
    s.run(Instant::now(), false);
    let mut running = true;
    while running {
        let sleep = s.next_wait_max(Instant::now(), LONGEST_SLEEP, false);
        match rx.recv_timeout(sleep) {
            Ok(first) => {
                let more = rx.try_iter().take(MESSAGES_AT_ONCE);
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
