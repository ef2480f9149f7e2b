//! The first load report from a side process that has just started.

use bluebellreel_rpc::{EntryCommand, EntryNotice, run_entry};
use bluebellreel_settings::parse_side;
use bluebellreel_side::start_side;
use bluebellreel_types::{EntryName, ModelName, WorkerName};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tiny_http::{Response, Server};
use tokio::sync::mpsc;

/// An engine that answers one model list request and then hangs, as on an
/// overloaded machine.
fn start_hanging_engine() -> SocketAddr {
    let server = Server::http("127.0.0.1:0").expect("a free port");
    let address = server.server_addr().to_ip().expect("an IP address");
    let asked = Arc::new(AtomicU32::new(0));
    std::thread::spawn(move || {
        let mut held = Vec::new();
        for req in server.incoming_requests() {
            if asked.fetch_add(1, Ordering::SeqCst) > 0 {
                held.push(req);
                continue;
            }
            let models = r#"{"data":[{"id":"m","version":"1"}]}"#;
            req.respond(Response::from_string(models)).ok();
        }
    });
    address
}

/// The models in the first load report that an entry daemon receives.
async fn first_load(side: SocketAddr) -> Vec<ModelName> {
    let (commands, queue) = mpsc::unbounded_channel();
    let (tx, mut rx) = mpsc::unbounded_channel();
    let connections = run_entry(EntryName::from("e"), queue, move |notice| {
        tx.send(notice).ok();
    });
    tokio::task::spawn_local(connections);
    let connect = EntryCommand::Connect {
        worker: WorkerName::from("w"),
        address: side,
    };
    commands.send(connect).expect("the connection task runs");
    loop {
        let notice = rx.recv().await.expect("the connection task runs");
        if let EntryNotice::Load { load, .. } = notice {
            return load.models;
        }
    }
}

/// Guards against requests refused with "no worker serves this model" during a
/// rolling restart of side processes. A side process sent its models in the hello
/// response, but answered the first load request before its own actor knew them;
/// the entry daemon used the empty list for three seconds.
#[test]
fn first_load_report_lists_the_models() {
    let engine = start_hanging_engine();
    let settings = format!(
        "worker = \"w\"\ndata_centre = \"d\"\nlisten = \"127.0.0.1:0\"\n\
         [backend]\nurl = \"http://{engine}\"\n"
    );
    let side =
        start_side(&parse_side("test", &settings).expect("settings")).expect("a side process");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let models = local.block_on(&runtime, first_load(side.address));
    assert_eq!(models, [ModelName::from("m")]);
}
