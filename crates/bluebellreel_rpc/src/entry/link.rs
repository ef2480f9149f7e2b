//! Connections to side processes, kept up.

use super::Notify;
use super::message::EntryNotice;
use super::pulse::{LinkCount, Pulse, watch_load};
use super::served::Feed;
use crate::convert;
use crate::side_capnp as wire;
use bluebellreel_types::{EntryName, SideHello, WorkerName};
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Pause before a lost side process is tried again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for a connection and its greeting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Holds the connection's client while there is one.
type Slot = Rc<RefCell<Option<wire::side::Client>>>;

/// A worker's connection.
pub(super) struct Link {
    pub(super) stop: oneshot::Sender<()>,
    client: Slot,
    pub(super) pulse: Rc<Pulse>,
}

/// The client of a worker that is connected.
pub(super) fn client_of(
    links: &HashMap<WorkerName, Link>,
    worker: &WorkerName,
) -> Option<wire::side::Client> {
    links.get(worker)?.client.borrow().clone()
}

/// Opens a connection that is made again whenever it is lost.
pub(super) fn open_link(
    name: &EntryName,
    worker: WorkerName,
    address: SocketAddr,
    links: &Rc<LinkCount>,
    notify: &Notify,
) -> Link {
    let (stop, stopped) = oneshot::channel();
    let client = Rc::new(RefCell::new(None));
    let pulse = Rc::new(Pulse::new(links.clone()));
    let keeper = keep_connected(
        name.clone(),
        worker,
        address,
        notify.clone(),
        client.clone(),
        pulse.clone(),
    );
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = keeper => {}
            _ = stopped => {}
        }
    });
    Link {
        stop,
        client,
        pulse,
    }
}

async fn keep_connected(
    name: EntryName,
    worker: WorkerName,
    address: SocketAddr,
    notify: Notify,
    slot: Slot,
    pulse: Rc<Pulse>,
) {
    loop {
        hold_connection(&name, &worker, address, &notify, &slot, &pulse).await;
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
    slot: &Slot,
    pulse: &Rc<Pulse>,
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
    let greeting = greet(name, worker, &client, notify, pulse);
    if let Ok(Ok(hello)) = tokio::time::timeout(CONNECT_TIMEOUT, greeting).await {
        slot.borrow_mut().replace(client.clone());
        notify(EntryNotice::Connected(hello));
        tokio::select! {
            _ = &mut system => {}
            () = watch_load(worker, &client, notify, pulse) => {}
        }
    }
    system.abort();
}

async fn greet(
    name: &EntryName,
    worker: &WorkerName,
    client: &wire::side::Client,
    notify: &Notify,
    pulse: &Rc<Pulse>,
) -> Result<SideHello, capnp::Error> {
    let feed: wire::batch_feed::Client = capnp_rpc::new_client(Feed {
        worker: worker.clone(),
        notify: notify.clone(),
        pulse: pulse.clone(),
    });
    let mut call = client.hello_request();
    call.get().set_entry(name.as_str());
    call.get().set_feed(feed);
    let answer = call.send().promise.await?;
    convert::read_hello(answer.get()?.get_hello()?)
}
