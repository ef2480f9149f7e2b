//! A stopping side process as seen by entry daemons.

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

/// Timeout of each step; generous, since test machines may be busy.
const TIMEOUT: Duration = Duration::from_mins(1);
/// A deadline that is never reached.
const DEADLINE: Moment = Moment::DISTANT_FUTURE;

/// Starts a side process whose plain service is unreachable.
fn start() -> Side {
    let settings = "worker = \"w\"\ndata_centre = \"d\"\nlisten = \"127.0.0.1:0\"\n\
                    [backend]\nurl = \"http://127.0.0.1:9\"\nservice = \"desk\"\n";
    start_side(&parse_side("test", settings).expect("settings")).expect("a side process")
}

/// The entry daemon's end of a connection.
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
        commands.send(connect).expect("the connection task runs");
        let mut entry = Self {
            commands,
            notices,
            side: Incarnation(0),
        };
        loop {
            match entry.next().await {
                EntryNotice::Connected(hello) => entry.side = hello.incarnation,
                // The first load report, received before the stop.
                EntryNotice::Load { .. } => return entry,
                _ => {}
            }
        }
    }

    async fn next(&mut self) -> EntryNotice {
        let next = tokio::time::timeout(TIMEOUT, self.notices.recv()).await;
        next.expect("in time").expect("the connection task runs")
    }

    /// Submits a booking, which must run at most once.
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
            deadline: DEADLINE,
            resume: Arc::from(""),
            trace: TraceContext::fresh(),
        });
        let worker = WorkerName::from("w");
        let submit = EntryCommand::Submit { worker, dispatch };
        self.commands
            .send(submit)
            .expect("the connection task runs");
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

/// An idle side process that is asked to stop stays up for a moment so that its
/// last messages are delivered. Guards against a booking that arrives in that time,
/// gets no answer and counts as "may have run" although it never ran.
#[test]
fn attempt_received_during_stop_is_not_run() {
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

/// Guards against an entry daemon that has no attempt at a worker, is not notified
/// of the worker's stop, and sends a booking just as the connection is closed. Each
/// entry daemon must be notified before its connection closes.
#[test]
fn daemon_is_notified_of_stop_before_connection_closes() {
    run(async {
        let side = start();
        let mut entry = Entry::connect(side.address).await;
        side.begin_stop();
        loop {
            match entry.next().await {
                EntryNotice::Load { load, .. } if load.leaving => return,
                EntryNotice::Lost(_) => {
                    panic!("connection closed without a notification of the stop")
                }
                _ => {}
            }
        }
    });
}
