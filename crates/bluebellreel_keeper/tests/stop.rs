//! Visits to gateways in progress while a keeper is stopped.

use bluebellreel_keeper::{StopSummary, load_snapshot, run_keeper_until};
use bluebellreel_members::Revisions;
use bluebellreel_net::{Body, ConnectionTracker, Intake, RequestBody, Stop, listen, serve};
use bluebellreel_settings::{KeeperSettings, Machine};
use bluebellreel_snapshot::{GatewayState, SharedFacts};
use bluebellreel_types::{DataCentre, EntryName};
use bytes::Bytes;
use http::{Request, Response};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};

/// Revision of the configuration that the gateway has.
const REVISION: i64 = 7;

/// Timeout after which a keeper stops waiting for a gateway's answer. If the test
/// machine stalls for this long, the test proves nothing and is repeated.
const VISIT_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of attempts.
const MAX_ATTEMPTS: usize = 20;

fn free_address() -> SocketAddr {
    let bound = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
    bound.expect("a free port")
}

/// A gateway that has a configuration from the store, and answers only when the test
/// allows it.
#[derive(Clone, Default)]
struct Gateway {
    asked: Rc<Notify>,
    may_answer: Rc<Notify>,
    paths: Rc<RefCell<Vec<String>>>,
}

impl Gateway {
    fn start(&self) -> SocketAddr {
        let listener = listen(free_address()).expect("a free port");
        let at = listener.local_addr().expect("a bound listener");
        let gateway = self.clone();
        spawn_local(serve(
            listener,
            Stop::default(),
            ConnectionTracker::default(),
            Intake::unlimited(Duration::from_secs(30)),
            move |req| gateway.clone().answer(req),
        ));
        at
    }

    async fn answer(self, req: Request<RequestBody>) -> Response<Body> {
        let path = req.uri().path().to_owned();
        self.paths.borrow_mut().push(path.clone());
        if path == "/state" {
            self.asked.notify_one();
            self.may_answer.notified().await;
            return encoded(&state());
        }
        encoded(&SharedFacts {
            configuration: Some((REVISION, b"{}".to_vec())),
            operator_seen: REVISION,
            workers_seen: 0,
            workers: Vec::new(),
            valid_for: None,
            is_full_list: false,
        })
    }
}

fn state() -> GatewayState {
    GatewayState {
        entry: EntryName::from("entry-1"),
        data_centre: DataCentre::from("hall"),
        newest: Revisions {
            configuration: REVISION,
            workers: 0,
        },
        from_store: true,
        reaches_store: true,
        wants_facts: false,
        peers: Vec::new(),
    }
}

fn encoded(value: &impl serde::Serialize) -> Response<Body> {
    let bytes = postcard::to_allocvec(value).expect("the value serializes to postcard");
    Response::new(Body::full(Bytes::from(bytes)))
}

fn settings(folder: &Path, gateway: SocketAddr) -> KeeperSettings {
    KeeperSettings {
        name: EntryName::from("keeper-1"),
        data_centre: DataCentre::from("hall"),
        calls: free_address(),
        folder: folder.to_owned(),
        seeds: vec![gateway],
        grace: Duration::from_secs(20),
        machine: Machine::default(),
    }
}

/// Runs a keeper that is stopped during its first visit to a gateway.
fn stopped_in_a_visit(gateway: &Gateway, folder: &Path, answers: bool) -> StopSummary {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let settings = settings(folder, gateway.start());
        let again = settings.clone();
        let read = Box::new(move || Ok(again.clone()));
        let stop_requested = async {
            gateway.asked.notified().await;
            if answers {
                gateway.may_answer.notify_one();
            }
        };
        run_keeper_until(settings, read, stop_requested)
            .await
            .expect("the keeper starts")
    })
}

/// A keeper is stopped while a gateway reports a new configuration to it. The visit was
/// cut off, and after the next start the keeper lacked the configuration that it had
/// been about to fetch. The visit must complete, and the snapshot must be written.
#[test]
fn a_visit_in_progress_completes_and_is_saved() {
    for _ in 0..MAX_ATTEMPTS {
        let folder = tempfile::tempdir().expect("a folder");
        let gateway = Gateway::default();
        let begun = Instant::now();
        let ended = stopped_in_a_visit(&gateway, folder.path(), true);
        assert!(ended.snapshot_kept && ended.progress_kept, "{ended:?}");
        assert_eq!((ended.calls_cut, ended.visits_cut), (0, 0));
        let (_, snapshot) = load_snapshot(folder.path());
        if snapshot.newest().configuration == REVISION {
            assert_eq!(*gateway.paths.borrow(), ["/state", "/facts"]);
            return;
        }
        assert!(begun.elapsed() > VISIT_TIMEOUT, "the visit was cut off");
    }
    panic!("the machine stalled in each attempt");
}

/// A gateway does not answer a visit. The shutdown continues without it and writes
/// the data that the keeper has.
#[test]
fn an_unanswered_visit_is_abandoned() {
    let folder = tempfile::tempdir().expect("a folder");
    let gateway = Gateway::default();
    let ended = stopped_in_a_visit(&gateway, folder.path(), false);
    assert!(ended.snapshot_kept && ended.progress_kept, "{ended:?}");
    assert_eq!((ended.calls_cut, ended.visits_cut), (0, 0));
}
