//! The entry daemon's end: connects to side processes and keeps connecting.

use crate::convert;
use crate::side_capnp as wire;
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, BrokenReason, Dispatch, EntryName,
    LoadReport, ModelVersion, NotRunReason, SideHello, WorkerName,
};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Pause before a lost side process is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for a connection and its greeting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often each connected side process is asked for its load.
const LOAD_PERIOD: Duration = Duration::from_secs(3);
/// How soon a side process is asked again that told of no model: its backend
/// server may just be starting, or the process itself.
const EMPTY_LOAD_PERIOD: Duration = Duration::from_millis(300);
/// Unanswered load calls after which a connection counts as lost: guards
/// against a frozen side process, whose socket stays open.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Batch work handed out to one pull.
#[derive(Debug)]
pub struct PullAnswer(pub oneshot::Sender<Vec<Dispatch>>);

/// What the daemon asks of its connections.
#[derive(Clone, Debug)]
pub enum EntryCommand {
    /// Keep a connection to this worker's side process.
    Connect {
        /// The worker.
        worker: WorkerName,
        /// Its side process.
        address: SocketAddr,
    },
    /// Stop connecting to a worker.
    Forget(WorkerName),
    /// Hand an attempt to a worker.
    Submit {
        /// Where to.
        worker: WorkerName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// Put an end to an attempt.
    Cancel {
        /// Where it was sent.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Tell a worker that batch work waits.
    Offer {
        /// The worker.
        worker: WorkerName,
        /// Items waiting.
        waiting: u32,
    },
    /// Stop batch items wherever they stand at this worker.
    Withdraw {
        /// The worker.
        worker: WorkerName,
        /// The items' attempts.
        attempts: Vec<AttemptId>,
    },
    /// Bring a manifest into force beside a worker.
    Configure {
        /// The worker.
        worker: WorkerName,
        /// The manifest's generation.
        generation: u64,
        /// The manifest as accepted.
        manifest: Arc<str>,
    },
    /// Let a worker leave: no new work, running work finishes.
    Drain(WorkerName),
    /// Order a worker to load a model.
    Order {
        /// The worker.
        worker: WorkerName,
        /// The order's fencing number.
        fence: u64,
        /// What to load.
        model: ModelVersion,
    },
    /// Tell a worker the highest fencing number that is known.
    Fence {
        /// The worker.
        worker: WorkerName,
        /// The number.
        fence: u64,
    },
}

/// What the connections tell the daemon.
#[derive(Debug)]
pub enum EntryNotice {
    /// A side process has answered the greeting.
    Connected(SideHello),
    /// The connection is gone, or was never made.
    Lost(WorkerName),
    /// Part of an online answer.
    Part {
        /// The attempt.
        attempt: AttemptId,
        /// Text that follows the parts before.
        text: Arc<str>,
    },
    /// An online attempt has ended.
    Ended {
        /// The worker.
        worker: WorkerName,
        /// The attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
        /// The worker's load, when it told.
        load: Option<LoadReport>,
    },
    /// Answer to a cancel.
    Verdict {
        /// The attempt.
        attempt: AttemptId,
        /// What the side process knows.
        verdict: AttemptVerdict,
    },
    /// A worker's load.
    Load {
        /// The worker.
        worker: WorkerName,
        /// Its load.
        load: LoadReport,
    },
    /// A worker has room for batch items.
    Pull {
        /// The worker.
        worker: WorkerName,
        /// How many it takes.
        room: u32,
        /// Where the items go.
        answer: PullAnswer,
    },
    /// Batch items have ended.
    Reports {
        /// The worker, for its health.
        worker: WorkerName,
        /// The ends.
        reports: Vec<BatchReport>,
    },
    /// An order to load a model has ended.
    OrderEnded {
        /// The worker.
        worker: WorkerName,
        /// What was to be loaded.
        model: ModelVersion,
        /// Whether it is there.
        loaded: bool,
    },
    /// A worker's side process has a manifest in force.
    Applied {
        /// The worker.
        worker: WorkerName,
        /// The generation in force there.
        generation: u64,
    },
}

type Notify = Rc<dyn Fn(EntryNotice)>;

struct Link {
    stop: oneshot::Sender<()>,
    client: Rc<RefCell<Option<wire::side::Client>>>,
}

struct Sink {
    worker: WorkerName,
    attempt: AttemptId,
    notify: Notify,
}

impl wire::sink::Server for Sink {
    async fn write(self: Rc<Self>, params: wire::sink::WriteParams) -> Result<(), capnp::Error> {
        let text = Arc::from(params.get()?.get_text()?.to_str()?);
        let attempt = self.attempt;
        (self.notify)(EntryNotice::Part { attempt, text });
        Ok(())
    }

    async fn end(
        self: Rc<Self>,
        params: wire::sink::EndParams,
        _: wire::sink::EndResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        (self.notify)(EntryNotice::Ended {
            worker: self.worker.clone(),
            attempt: self.attempt,
            end: convert::read_end(params.get_end()?)?,
            load: Some(convert::read_load(params.get_load()?)?),
        });
        Ok(())
    }
}

struct Feed {
    worker: WorkerName,
    notify: Notify,
}

impl wire::batch_feed::Server for Feed {
    async fn pull(
        self: Rc<Self>,
        params: wire::batch_feed::PullParams,
        mut results: wire::batch_feed::PullResults,
    ) -> Result<(), capnp::Error> {
        let (tx, rx) = oneshot::channel();
        (self.notify)(EntryNotice::Pull {
            worker: self.worker.clone(),
            room: params.get()?.get_room(),
            answer: PullAnswer(tx),
        });
        let items = rx.await.unwrap_or_default();
        let count = u32::try_from(items.len()).unwrap_or(u32::MAX);
        let mut list = results.get().init_items(count);
        for (index, item) in (0..count).zip(&items) {
            convert::write_dispatch(list.reborrow().get(index), item);
        }
        Ok(())
    }

    async fn report(
        self: Rc<Self>,
        params: wire::batch_feed::ReportParams,
        _: wire::batch_feed::ReportResults,
    ) -> Result<(), capnp::Error> {
        let mut reports = Vec::new();
        for report in params.get()?.get_reports()? {
            reports.push(BatchReport {
                attempt: convert::read_attempt(report.get_attempt()?),
                end: convert::read_end(report.get_end()?)?,
            });
        }
        let worker = self.worker.clone();
        (self.notify)(EntryNotice::Reports { worker, reports });
        Ok(())
    }
}

/// Runs the connections until the command channel closes.
///
/// Must be called within a `tokio::task::LocalSet`. `notify` is called on this
/// thread for whatever comes in.
pub async fn run_entry(
    name: EntryName,
    mut commands: mpsc::UnboundedReceiver<EntryCommand>,
    notify: impl Fn(EntryNotice) + 'static,
) {
    let notify: Notify = Rc::new(notify);
    let mut links: HashMap<WorkerName, Link> = HashMap::new();
    while let Some(command) = commands.recv().await {
        match command {
            EntryCommand::Connect { worker, address } => {
                links
                    .entry(worker.clone())
                    .or_insert_with(|| open_link(&name, worker, address, &notify));
            }
            EntryCommand::Forget(worker) => {
                if let Some(link) = links.remove(&worker) {
                    link.stop.send(()).ok();
                }
            }
            EntryCommand::Submit { worker, dispatch } => {
                let client = client_of(&links, &worker);
                let notify = notify.clone();
                tokio::task::spawn_local(submit(worker, client, dispatch, notify));
            }
            EntryCommand::Cancel { worker, attempt } => {
                if let Some(client) = client_of(&links, &worker) {
                    tokio::task::spawn_local(cancel(client, attempt, notify.clone()));
                }
            }
            command => send_one_way(&links, command, &notify),
        }
    }
}

fn client_of(links: &HashMap<WorkerName, Link>, worker: &WorkerName) -> Option<wire::side::Client> {
    links.get(worker)?.client.borrow().clone()
}

fn send_one_way(links: &HashMap<WorkerName, Link>, command: EntryCommand, notify: &Notify) {
    match command {
        EntryCommand::Offer { worker, waiting } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.offer_request();
                call.get().set_waiting(waiting);
                tokio::task::spawn_local(call.send().promise);
            }
        }
        EntryCommand::Withdraw { worker, attempts } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.withdraw_request();
                let count = u32::try_from(attempts.len()).unwrap_or(u32::MAX);
                let mut list = call.get().init_attempts(count);
                for (index, attempt) in (0..count).zip(attempts) {
                    convert::write_attempt(list.reborrow().get(index), attempt);
                }
                tokio::task::spawn_local(call.send().promise);
            }
        }
        EntryCommand::Configure {
            worker,
            generation,
            manifest,
        } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.configure_request();
                call.get().set_generation(generation);
                call.get().set_manifest(&*manifest);
                let notify = notify.clone();
                tokio::task::spawn_local(async move {
                    let Ok(answer) = call.send().promise.await else {
                        return;
                    };
                    if let Ok(answer) = answer.get() {
                        let generation = answer.get_applied();
                        notify(EntryNotice::Applied { worker, generation });
                    }
                });
            }
        }
        EntryCommand::Drain(worker) => {
            if let Some(client) = client_of(links, &worker) {
                tokio::task::spawn_local(client.drain_request().send().promise);
            }
        }
        EntryCommand::Fence { worker, fence } => {
            if let Some(client) = client_of(links, &worker) {
                let mut call = client.fence_request();
                call.get().set_fence(fence);
                tokio::task::spawn_local(call.send().promise);
            }
        }
        EntryCommand::Order {
            worker,
            fence,
            model,
        } => {
            let client = client_of(links, &worker);
            let notify = notify.clone();
            tokio::task::spawn_local(async move {
                let loaded = match client {
                    Some(client) => order(&client, fence, &model).await.unwrap_or(false),
                    None => false,
                };
                notify(EntryNotice::OrderEnded {
                    worker,
                    model,
                    loaded,
                });
            });
        }
        _ => unreachable!("commands with an answer are handled by the caller"),
    }
}

async fn submit(
    worker: WorkerName,
    client: Option<wire::side::Client>,
    dispatch: Box<Dispatch>,
    notify: Notify,
) {
    let attempt = dispatch.attempt;
    let ended = |end| EntryNotice::Ended {
        worker: worker.clone(),
        attempt,
        end,
        load: None,
    };
    // Nothing was written to a socket yet, so "not run" is true.
    let Some(client) = client else {
        notify(ended(AttemptEnd::NotRun(NotRunReason::Unreachable)));
        return;
    };
    let sink: wire::sink::Client = capnp_rpc::new_client(Sink {
        worker: worker.clone(),
        attempt,
        notify: notify.clone(),
    });
    let mut call = client.submit_request();
    convert::write_dispatch(call.get().init_dispatch(), &dispatch);
    call.get().set_sink(sink);
    // The call returns once the side has told the end. If it fails, the
    // attempt may have run: it is broken, not "not run".
    if call.send().promise.await.is_err() {
        notify(ended(AttemptEnd::Broken {
            reason: BrokenReason::SideLost,
            partial: Arc::from(""),
        }));
    }
}

async fn order(
    client: &wire::side::Client,
    fence: u64,
    model: &ModelVersion,
) -> Result<bool, capnp::Error> {
    let mut call = client.order_request();
    call.get().set_fence(fence);
    call.get().set_name(model.name.as_str());
    call.get().set_version(&*model.version);
    let answer = call.send().promise.await?;
    Ok(answer.get()?.get_loaded())
}

async fn cancel(client: wire::side::Client, attempt: AttemptId, notify: Notify) {
    let mut call = client.cancel_request();
    convert::write_attempt(call.get().init_attempt(), attempt);
    let Ok(answer) = call.send().promise.await else {
        return;
    };
    let Ok(answer) = answer.get() else { return };
    let verdict = if answer.get_never_seen() {
        AttemptVerdict::NeverSeen
    } else if answer.get_running() {
        AttemptVerdict::Running
    } else {
        match answer.get_ended().and_then(convert::read_end) {
            Ok(end) => AttemptVerdict::Ended(end),
            Err(_) => return,
        }
    };
    notify(EntryNotice::Verdict { attempt, verdict });
}

fn open_link(name: &EntryName, worker: WorkerName, address: SocketAddr, notify: &Notify) -> Link {
    let (stop, stopped) = oneshot::channel();
    let client = Rc::new(RefCell::new(None));
    let keeper = keep_connected(
        name.clone(),
        worker,
        address,
        notify.clone(),
        client.clone(),
    );
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = keeper => {}
            _ = stopped => {}
        }
    });
    Link { stop, client }
}

async fn keep_connected(
    name: EntryName,
    worker: WorkerName,
    address: SocketAddr,
    notify: Notify,
    slot: Rc<RefCell<Option<wire::side::Client>>>,
) {
    loop {
        hold_connection(&name, &worker, address, &notify, &slot).await;
        slot.borrow_mut().take();
        notify(EntryNotice::Lost(worker.clone()));
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Connects, greets and returns when the connection is gone.
async fn hold_connection(
    name: &EntryName,
    worker: &WorkerName,
    address: SocketAddr,
    notify: &Notify,
    slot: &Rc<RefCell<Option<wire::side::Client>>>,
) {
    let connecting = tokio::net::TcpStream::connect(address);
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return;
    };
    stream.set_nodelay(true).ok();
    let (reader, writer) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        rpc_twoparty_capnp::Side::Client,
        capnp::message::ReaderOptions::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: wire::side::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let mut system = tokio::task::spawn_local(system);
    let greeting = greet(name, worker, &client, notify);
    if let Ok(Ok(hello)) = tokio::time::timeout(CONNECT_TIMEOUT, greeting).await {
        slot.borrow_mut().replace(client.clone());
        notify(EntryNotice::Connected(hello));
        tokio::select! {
            _ = &mut system => {}
            () = ask_load(worker, &client, notify) => {}
        }
    }
    system.abort();
}

async fn greet(
    name: &EntryName,
    worker: &WorkerName,
    client: &wire::side::Client,
    notify: &Notify,
) -> Result<SideHello, capnp::Error> {
    let feed: wire::batch_feed::Client = capnp_rpc::new_client(Feed {
        worker: worker.clone(),
        notify: notify.clone(),
    });
    let mut call = client.hello_request();
    call.get().set_entry(name.as_str());
    call.get().set_feed(feed);
    let answer = call.send().promise.await?;
    convert::read_hello(answer.get()?.get_hello()?)
}

/// Asks for the load until an answer fails or stays out.
async fn ask_load(worker: &WorkerName, client: &wire::side::Client, notify: &Notify) {
    loop {
        let call = client.load_request().send().promise;
        let Ok(Ok(answer)) = tokio::time::timeout(SILENCE_LIMIT, call).await else {
            return;
        };
        let load = answer
            .get()
            .and_then(wire::side::load_results::Reader::get_load)
            .and_then(convert::read_load);
        let mut pause = LOAD_PERIOD;
        if let Ok(load) = load {
            if load.models.is_empty() {
                pause = EMPTY_LOAD_PERIOD;
            }
            let worker = worker.clone();
            notify(EntryNotice::Load { worker, load });
        }
        tokio::time::sleep(pause).await;
    }
}
