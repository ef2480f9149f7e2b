//! The side process's end: serves entry daemons and pulls batch items from them.

use crate::accounted::Accounted;
use crate::convert;
use crate::side_capnp as wire;
use bluebellreel_net::{Account, AccountLimits};
use bluebellreel_types::{
    AttemptEnd, AttemptId, AttemptVerdict, BatchReport, Dispatch, EntryName, LoadReport,
    ModelVersion, SideHello,
};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A command from the side process to its connections.
#[derive(Clone, Debug)]
pub enum SideCommand {
    /// Send part of an online response.
    Part {
        /// The attempt.
        attempt: AttemptId,
        /// The text.
        text: Arc<str>,
    },
    /// Send the end of an online attempt.
    End {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// The worker's current load.
        load: LoadReport,
    },
    /// Pull batch items from an entry daemon.
    Pull {
        /// The entry daemon.
        entry: EntryName,
        /// Maximum number of items.
        room: u32,
    },
    /// Report to an entry daemon how its batch items ended.
    Report {
        /// The entry daemon.
        entry: EntryName,
        /// How each item ended.
        reports: Vec<BatchReport>,
    },
}

/// A notice from the connections to the side process.
#[derive(Debug)]
pub enum SideNotice {
    /// An entry daemon has connected.
    Connected(EntryName),
    /// An entry daemon's connection was lost.
    Lost(EntryName),
    /// An entry daemon submitted an online attempt.
    Submitted {
        /// The entry daemon that submitted it.
        entry: EntryName,
        /// The attempt.
        dispatch: Box<Dispatch>,
    },
    /// Cancellation of an attempt was requested.
    CancelRequested {
        /// The attempt.
        attempt: AttemptId,
        /// Receives the attempt's state.
        answer: oneshot::Sender<AttemptVerdict>,
    },
    /// Batch items must stop without being reported.
    Withdrawn(Vec<AttemptId>),
    /// An entry daemon has batch items waiting.
    Offered {
        /// The entry daemon.
        entry: EntryName,
        /// Number of waiting items.
        waiting: u32,
    },
    /// The response to a pull.
    Pulled {
        /// The entry daemon.
        entry: EntryName,
        /// The items; empty if there are none or the pull failed.
        items: Vec<Dispatch>,
    },
    /// Reports could not be delivered to an entry daemon.
    ReportLost {
        /// The entry daemon.
        entry: EntryName,
    },
    /// The load was requested.
    LoadRequested(oneshot::Sender<LoadReport>),
    /// An entry daemon was sent the load, as the response to a load call or with
    /// an attempt's end that it has acknowledged.
    LoadDelivered {
        /// The entry daemon.
        entry: EntryName,
        /// Whether the report says that the worker takes no new work.
        leaving: bool,
    },
    /// Delivery of an online attempt's end or of a batch report has succeeded or
    /// failed.
    Delivered,
    /// A manifest must be applied.
    Configured {
        /// The manifest's generation.
        generation: u64,
        /// The text of the accepted manifest.
        manifest: Arc<str>,
        /// Receives the generation of the applied manifest.
        answer: oneshot::Sender<u64>,
    },
    /// A drain of the worker was requested.
    DrainRequested,
    /// An entry daemon announced a fencing number.
    FenceAnnounced(u64),
    /// A model load was ordered.
    Ordered {
        /// The order's fencing number.
        fence: u64,
        /// The model to load.
        model: ModelVersion,
        /// Receives whether the model was loaded.
        answer: oneshot::Sender<bool>,
    },
}

type Notify = Rc<dyn Fn(SideNotice)>;

struct OnlineAttempt {
    entry: EntryName,
    sink: wire::sink::Client,
    /// Completes the entry daemon's submit call.
    closed: oneshot::Sender<()>,
}

#[derive(Default)]
struct Shared {
    sinks: HashMap<AttemptId, OnlineAttempt>,
    feeds: HashMap<EntryName, wire::batch_feed::Client>,
}

struct Service {
    hello: SideHello,
    notify: Notify,
    shared: Rc<RefCell<Shared>>,
    /// The connected entry daemon's name; none before its hello call.
    entry: RefCell<Option<EntryName>>,
}

impl Service {
    fn entry(&self) -> Result<EntryName, capnp::Error> {
        self.entry.borrow().clone().ok_or_else(|| {
            capnp::Error::failed("hello has not been called on this connection".into())
        })
    }
}

fn stopping_error<T>(_: T) -> capnp::Error {
    capnp::Error::disconnected("the side process is stopping".into())
}

impl wire::side::Server for Service {
    async fn hello(
        self: Rc<Self>,
        params: wire::side::HelloParams,
        mut results: wire::side::HelloResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let entry = EntryName::from(params.get_entry()?.to_str()?);
        self.entry.replace(Some(entry.clone()));
        let feed = params.get_feed()?;
        self.shared.borrow_mut().feeds.insert(entry.clone(), feed);
        convert::write_hello(results.get().init_hello(), &self.hello);
        (self.notify)(SideNotice::Connected(entry));
        Ok(())
    }

    async fn submit(
        self: Rc<Self>,
        params: wire::side::SubmitParams,
        _: wire::side::SubmitResults,
    ) -> Result<(), capnp::Error> {
        let entry = self.entry()?;
        let params = params.get()?;
        let dispatch = Box::new(convert::read_dispatch(params.get_dispatch()?)?);
        let sink = params.get_sink()?;
        let (closed, end_sent) = oneshot::channel();
        let online = OnlineAttempt {
            entry: entry.clone(),
            sink,
            closed,
        };
        self.shared
            .borrow_mut()
            .sinks
            .insert(dispatch.attempt, online);
        (self.notify)(SideNotice::Submitted { entry, dispatch });
        end_sent.await.map_err(stopping_error)
    }

    async fn cancel(
        self: Rc<Self>,
        params: wire::side::CancelParams,
        mut results: wire::side::CancelResults,
    ) -> Result<(), capnp::Error> {
        let attempt = convert::read_attempt(params.get()?.get_attempt()?);
        let (answer, verdict) = oneshot::channel();
        (self.notify)(SideNotice::CancelRequested { attempt, answer });
        match verdict.await.map_err(stopping_error)? {
            AttemptVerdict::NeverSeen => results.get().set_never_seen(true),
            AttemptVerdict::Running => results.get().set_running(true),
            AttemptVerdict::Ended(end) => convert::write_end(results.get().init_ended(), &end),
        }
        Ok(())
    }

    async fn offer(
        self: Rc<Self>,
        params: wire::side::OfferParams,
        _: wire::side::OfferResults,
    ) -> Result<(), capnp::Error> {
        let entry = self.entry()?;
        let waiting = params.get()?.get_waiting();
        (self.notify)(SideNotice::Offered { entry, waiting });
        Ok(())
    }

    async fn load(
        self: Rc<Self>,
        _: wire::side::LoadParams,
        mut results: wire::side::LoadResults,
    ) -> Result<(), capnp::Error> {
        let (answer, load) = oneshot::channel();
        (self.notify)(SideNotice::LoadRequested(answer));
        let load = load.await.map_err(stopping_error)?;
        convert::write_load(results.get().init_load(), &load);
        if let Some(entry) = self.entry.borrow().clone() {
            let leaving = load.leaving;
            (self.notify)(SideNotice::LoadDelivered { entry, leaving });
        }
        Ok(())
    }

    async fn withdraw(
        self: Rc<Self>,
        params: wire::side::WithdrawParams,
        _: wire::side::WithdrawResults,
    ) -> Result<(), capnp::Error> {
        let attempts = params.get()?.get_attempts()?;
        let attempts = attempts.iter().map(convert::read_attempt).collect();
        (self.notify)(SideNotice::Withdrawn(attempts));
        Ok(())
    }

    async fn configure(
        self: Rc<Self>,
        params: wire::side::ConfigureParams,
        mut results: wire::side::ConfigureResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (answer, applied) = oneshot::channel();
        (self.notify)(SideNotice::Configured {
            generation: params.get_generation(),
            manifest: Arc::from(params.get_manifest()?.to_str()?),
            answer,
        });
        results
            .get()
            .set_applied(applied.await.map_err(stopping_error)?);
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: wire::side::OrderParams,
        mut results: wire::side::OrderResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (answer, loaded) = oneshot::channel();
        (self.notify)(SideNotice::Ordered {
            fence: params.get_fence(),
            model: ModelVersion {
                name: params.get_name()?.to_str()?.into(),
                version: Arc::from(params.get_version()?.to_str()?),
            },
            answer,
        });
        results
            .get()
            .set_loaded(loaded.await.map_err(stopping_error)?);
        Ok(())
    }

    async fn fence(
        self: Rc<Self>,
        params: wire::side::FenceParams,
        _: wire::side::FenceResults,
    ) -> Result<(), capnp::Error> {
        let fence = params.get()?.get_fence();
        (self.notify)(SideNotice::FenceAnnounced(fence));
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        _: wire::side::DrainParams,
        _: wire::side::DrainResults,
    ) -> Result<(), capnp::Error> {
        (self.notify)(SideNotice::DrainRequested);
        Ok(())
    }
}

/// Serves entry daemons on `listener` until the command channel closes.
///
/// Must be called within a `tokio::task::LocalSet`. `notify` is called on this
/// thread for each message and connection event. Connections are within `account`.
pub async fn run_side(
    hello: SideHello,
    listener: tokio::net::TcpListener,
    account: AccountLimits,
    mut commands: mpsc::UnboundedReceiver<SideCommand>,
    notify: impl Fn(SideNotice) + 'static,
) {
    let notify: Notify = Rc::new(notify);
    let shared = Rc::new(RefCell::new(Shared::default()));
    let account = Account::new(account);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => run_command(command, &shared, &notify),
                None => return,
            },
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    // No descriptors are left, for example.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                stream.set_nodelay(true).ok();
                let (reader, writer) = stream.into_split();
                if let Ok(reader) = Accounted::new(reader.compat(), &account) {
                    let service = Service {
                        hello: hello.clone(),
                        notify: notify.clone(),
                        shared: shared.clone(),
                        entry: RefCell::default(),
                    };
                    tokio::task::spawn_local(serve(reader, writer, service));
                }
            }
        }
    }
}

async fn serve(reader: Accounted<Compat<OwnedReadHalf>>, writer: OwnedWriteHalf, service: Service) {
    let shared = service.shared.clone();
    let notify = service.notify.clone();
    let service = Rc::new(service);
    let network = twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer.compat_write()),
        rpc_twoparty_capnp::Side::Server,
        capnp::message::ReaderOptions::default(),
    );
    let client: wire::side::Client = capnp_rpc::new_client_from_rc(service.clone());
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    system.await.ok();
    let entry = service.entry.borrow().clone();
    if let Some(entry) = entry {
        shared.borrow_mut().feeds.remove(&entry);
        notify(SideNotice::Lost(entry));
    }
}

fn run_command(command: SideCommand, shared: &Rc<RefCell<Shared>>, notify: &Notify) {
    match command {
        SideCommand::Part { attempt, text } => {
            if let Some(online) = shared.borrow().sinks.get(&attempt) {
                let mut call = online.sink.write_request();
                call.get().set_text(&*text);
                tokio::task::spawn_local(call.send());
            }
        }
        SideCommand::End { attempt, end, load } => {
            let online = shared.borrow_mut().sinks.remove(&attempt);
            let notify = notify.clone();
            tokio::task::spawn_local(async move {
                if let Some(online) = online {
                    send_end(online, end, load, &notify).await;
                }
                notify(SideNotice::Delivered);
            });
        }
        SideCommand::Pull { entry, room } => {
            let feed = shared.borrow().feeds.get(&entry).cloned();
            tokio::task::spawn_local(pull(entry, room, feed, notify.clone()));
        }
        SideCommand::Report { entry, reports } => {
            let feed = shared.borrow().feeds.get(&entry).cloned();
            let notify = notify.clone();
            tokio::task::spawn_local(async move {
                if !report(&reports, feed).await {
                    notify(SideNotice::ReportLost { entry });
                }
                notify(SideNotice::Delivered);
            });
        }
    }
}

async fn send_end(online: OnlineAttempt, end: AttemptEnd, load: LoadReport, notify: &Notify) {
    let mut call = online.sink.end_request();
    convert::write_end(call.get().init_end(), &end);
    convert::write_load(call.get().init_load(), &load);
    if call.send().promise.await.is_ok() {
        let (entry, leaving) = (online.entry, load.leaving);
        notify(SideNotice::LoadDelivered { entry, leaving });
    }
    online.closed.send(()).ok();
}

async fn pull(entry: EntryName, room: u32, feed: Option<wire::batch_feed::Client>, notify: Notify) {
    let items = match feed {
        Some(feed) => pull_items(room, &feed).await.unwrap_or_default(),
        None => Vec::new(),
    };
    notify(SideNotice::Pulled { entry, items });
}

async fn pull_items(
    room: u32,
    feed: &wire::batch_feed::Client,
) -> Result<Vec<Dispatch>, capnp::Error> {
    let mut call = feed.pull_request();
    call.get().set_room(room);
    let answer = call.send().promise.await?;
    let items = answer.get()?.get_items()?;
    items.iter().map(convert::read_dispatch).collect()
}

/// Reports to an entry daemon how its batch items ended. Returns whether the
/// report was delivered.
async fn report(reports: &[BatchReport], feed: Option<wire::batch_feed::Client>) -> bool {
    let Some(feed) = feed else {
        return false;
    };
    let mut call = feed.report_request();
    let count = u32::try_from(reports.len()).unwrap_or(u32::MAX);
    let mut list = call.get().init_reports(count);
    for (index, report) in (0..count).zip(reports) {
        let mut slot = list.reborrow().get(index);
        convert::write_attempt(slot.reborrow().init_attempt(), report.attempt);
        convert::write_end(slot.init_end(), &report.end);
    }
    call.send().promise.await.is_ok()
}
