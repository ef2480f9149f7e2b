//! Connections to side processes, re-established when they are lost.

use super::Notify;
use super::capabilities::Feed;
use super::liveness::{LinkCount, Liveness, poll_load};
use super::message::EntryNotice;
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

/// Delay before reconnecting to a side process.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Timeout of connecting, and of the hello call that follows.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The connection's RPC client, while the connection is up.
type ClientSlot = Rc<RefCell<Option<wire::side::Client>>>;

/// The connection to a worker's side process.
pub(super) struct Link {
    pub(super) stop: oneshot::Sender<()>,
    client: ClientSlot,
    pub(super) liveness: Rc<Liveness>,
}

/// The RPC client of a worker, if it is connected.
pub(super) fn client_of(
    links: &HashMap<WorkerName, Link>,
    worker: &WorkerName,
) -> Option<wire::side::Client> {
    links.get(worker)?.client.borrow().clone()
}

/// Starts a task that connects to a side process and reconnects whenever the
/// connection is lost.
pub(super) fn open_link(
    name: &EntryName,
    worker: WorkerName,
    address: SocketAddr,
    links: &Rc<LinkCount>,
    notify: &Notify,
) -> Link {
    let (stop, stopped) = oneshot::channel();
    let client = Rc::new(RefCell::new(None));
    let liveness = Rc::new(Liveness::new(links.clone()));
    let connection = keep_connected(
        name.clone(),
        worker,
        address,
        notify.clone(),
        client.clone(),
        liveness.clone(),
    );
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = connection => {}
            _ = stopped => {}
        }
    });
    Link {
        stop,
        client,
        liveness,
    }
}

async fn keep_connected(
    name: EntryName,
    worker: WorkerName,
    address: SocketAddr,
    notify: Notify,
    slot: ClientSlot,
    liveness: Rc<Liveness>,
) {
    loop {
        hold_connection(&name, &worker, address, &notify, &slot, &liveness).await;
        slot.borrow_mut().take();
        notify(EntryNotice::Lost(worker.clone()));
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Connects, calls hello and polls the load. Returns when the connection is lost.
async fn hold_connection(
    name: &EntryName,
    worker: &WorkerName,
    address: SocketAddr,
    notify: &Notify,
    slot: &ClientSlot,
    liveness: &Rc<Liveness>,
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
    let hello_call = send_hello(name, worker, &client, notify, liveness);
    if let Ok(Ok(hello)) = tokio::time::timeout(CONNECT_TIMEOUT, hello_call).await {
        slot.borrow_mut().replace(client.clone());
        notify(EntryNotice::Connected(hello));
        tokio::select! {
            _ = &mut system => {}
            () = poll_load(worker, &client, notify, liveness) => {}
        }
    }
    system.abort();
}

async fn send_hello(
    name: &EntryName,
    worker: &WorkerName,
    client: &wire::side::Client,
    notify: &Notify,
    liveness: &Rc<Liveness>,
) -> Result<SideHello, capnp::Error> {
    let feed: wire::batch_feed::Client = capnp_rpc::new_client(Feed {
        worker: worker.clone(),
        notify: notify.clone(),
        liveness: liveness.clone(),
    });
    let mut call = client.hello_request();
    call.get().set_entry(name.as_str());
    call.get().set_feed(feed);
    let answer = call.send().promise.await?;
    convert::read_hello(answer.get()?.get_hello()?)
}
