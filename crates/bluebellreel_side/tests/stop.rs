//! What entry daemons see of a side process that stops.

use bluebellreel_rpc::{EntryCommand, EntryNotice, run_entry};
use bluebellreel_settings::parse_side;
use bluebellreel_side::{Side, start_side};
use bluebellreel_types::{
    AttemptEnd, AttemptId, Class, Dispatch, EntryName, Incarnation, ModelName, Moment,
    NotRunReason, RequestId, TeamName, TraceContext, Work, WorkKind, WorkerName,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Longest wait for anything; generous, as machines are busy.
const LONGEST: Duration = Duration::from_mins(1);
/// A deadline far away.
const DISTANT_FUTURE: Moment = Moment::DISTANT_FUTURE;

/// A side process beside a service that is never reached.
fn start() -> Side {
    let settings = "worker = \"w\"\ndata_centre = \"d\"\nlisten = \"127.0.0.1:0\"\n\
                    [backend]\nurl = \"http://127.0.0.1:9\"\nservice = \"desk\"\n";
    start_side(&parse_side("test", settings).expect("settings")).expect("a side")
}

/// An entry daemon's end of the connection.
struct Entry {
    commands: mpsc::UnboundedSender<EntryCommand>,
    notices: mpsc::UnboundedReceiver<EntryNotice>,
    side: Incarnation,
}

impl Entry {
    async fn connect(address: SocketAddr) -> Self {
        let (commands, queue) = mpsc::unbounded_channel();
        let (tx, notices) = mpsc::unbounded_channel();
        tokio::task::spawn_local(run_entry(EntryName::from("e"), queue, move |notice| {
            tx.send(notice).ok();
        }));
        let connect = EntryCommand::Connect {
            worker: WorkerName::from("w"),
            address,
        };
        commands.send(connect).expect("the connections run");
        let mut entry = Self {
            commands,
            notices,
            side: Incarnation(0),
        };
        loop {
            match entry.next().await {
                EntryNotice::Connected(hello) => entry.side = hello.incarnation,
                // The first answer, before the stop.
                EntryNotice::Load { .. } => return entry,
                _ => {}
            }
        }
    }

    async fn next(&mut self) -> EntryNotice {
        let next = tokio::time::timeout(LONGEST, self.notices.recv()).await;
        next.expect("in time").expect("the connections run")
    }

    /// Sends a booking, which may run once only.
    fn book(&self) -> AttemptId {
        let attempt = AttemptId {
            request: RequestId::random(),
            number: 1,
        };
        let dispatch = Box::new(Dispatch {
            attempt,
            side: self.side,
            class: Class::Online,
            work: Arc::new(Work {
                kind: WorkKind::Call {
                    method: Arc::from("POST"),
                    path: Arc::from("/bookings"),
                },
                model: ModelName::from("desk"),
                body: Arc::from(*b"{}"),
                tokens: 1,
                prefix: 0,
                repeatable: false,
                key: Arc::from("k"),
                team: TeamName::from("school"),
            }),
            deadline: DISTANT_FUTURE,
            resume: Arc::from(""),
            trace: TraceContext::fresh(),
        });
        let worker = WorkerName::from("w");
        let submit = EntryCommand::Submit { worker, dispatch };
        self.commands.send(submit).expect("the connections run");
        attempt
    }

    async fn end_of(&mut self, attempt: AttemptId) -> AttemptEnd {
        loop {
            if let EntryNotice::Ended {
                attempt: ended,
                end,
                ..
            } = self.next().await
                && ended == attempt
            {
                return end;
            }
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// A side process had nothing to do when it was asked to stop, and lingered for
/// its last words to leave. A booking that came meanwhile got no answer and
/// counted as "may have run", though it never did.
#[test]
fn attempt_that_comes_at_the_end_is_not_run() {
    run(async {
        let side = start();
        let mut entry = Entry::connect(side.address).await;
        side.begin_stop();
        tokio::time::sleep(Duration::from_millis(50)).await;
        let attempt = entry.book();
        let end = entry.end_of(attempt).await;
        assert_eq!(end, AttemptEnd::NotRun(NotRunReason::Leaving));
    });
}

/// A daemon that had nothing for a worker at the moment knew nothing of its stop
/// and sent a booking just as the connection was closed. Each daemon is told
/// before.
#[test]
fn daemon_hears_of_a_stop_before_its_connection_closes() {
    run(async {
        let side = start();
        let mut entry = Entry::connect(side.address).await;
        side.begin_stop();
        loop {
            match entry.next().await {
                EntryNotice::Load { load, .. } if load.leaving => return,
                EntryNotice::Lost(_) => panic!("closed without a word"),
                _ => {}
            }
        }
    });
}
