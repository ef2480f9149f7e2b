//! Records of streams on the disk of a keeper that is killed.

use bluebellreel_keeper::run_keeper_until;
use bluebellreel_net::{Pool, PoolLimits, call};
use bluebellreel_origins::{Origin, StreamTag};
use bluebellreel_settings::{KeeperSettings, Machine};
use bluebellreel_types::{DataCentre, EntryName, WorkerVersion};
use bytes::Bytes;
use http::{Method, StatusCode};
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

const TIMEOUT: Duration = Duration::from_secs(10);
const LOGS: [&str; 2] = ["origins-log-a", "origins-log-b"];

/// A keeper without gateways.
struct Keeper {
    task: JoinHandle<()>,
    at: SocketAddr,
    pool: Pool,
}

impl Keeper {
    async fn start(folder: &Path) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
        let at = listener.local_addr().expect("an address");
        drop(listener);
        let settings = KeeperSettings {
            name: EntryName::from("keeper"),
            data_centre: DataCentre::from("hall"),
            calls: at,
            folder: folder.to_owned(),
            seeds: Vec::new(),
            grace: Duration::from_secs(8),
            machine: Machine::default(),
        };
        let reread = settings.clone();
        let task = spawn_local(async move {
            let read = Box::new(move || Ok(reread.clone()));
            let run = run_keeper_until(settings, read, std::future::pending());
            LocalSet::new().run_until(run).await.expect("a free port");
        });
        let pool = Pool::new(PoolLimits {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(1),
            idle_per_address: 1,
            memory: usize::MAX,
        });
        let keeper = Self { task, at, pool };
        while keeper.version(0).await.is_none() {
            sleep(Duration::from_millis(10)).await;
        }
        keeper
    }

    /// Sends the record of a stream. Returns whether it was acknowledged.
    async fn record(&self, stream: u64) -> bool {
        let origin = Origin {
            stream: StreamTag(stream),
            version: WorkerVersion::from(format!("v{stream}")),
            keep_for: Duration::from_mins(1),
        };
        let body = Bytes::from(postcard::to_allocvec(&origin).expect("a record"));
        let answer = call(&self.pool, self.at, Method::PUT, "/origins", body, TIMEOUT).await;
        answer.expect("an answer").0 == StatusCode::OK
    }

    /// What the keeper answers for a stream; none while it does not listen.
    async fn version(&self, stream: u64) -> Option<String> {
        let path = format!("/origins/{}?service=lm&within_ms=1000", StreamTag(stream));
        let body = Bytes::new();
        let answer = call(&self.pool, self.at, Method::GET, &path, body, TIMEOUT).await;
        let (_, body) = answer.ok()?;
        Some(String::from_utf8(body.to_vec()).expect("text"))
    }

    async fn assert_has(&self, streams: std::ops::Range<u64>) {
        for stream in streams {
            assert_eq!(self.version(stream).await, Some(format!("v{stream}")));
        }
    }

    /// Ends the keeper at once, with nothing finished.
    async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }
}

fn test<T: Future<Output = ()>>(test: T) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Guards that an acknowledged record is lost in a kill, before the first checkpoint or
/// between two.
#[test]
fn acknowledged_records_survive_kills() {
    test(async {
        let folder = tempfile::tempdir().expect("a folder");
        for round in 0..4 {
            let keeper = Keeper::start(folder.path()).await;
            keeper.assert_has(1..1 + round * 20).await;
            for stream in 1 + round * 20..21 + round * 20 {
                assert!(keeper.record(stream).await);
            }
            if round == 2 {
                // Two checkpoints, with records after each.
                for stream in 1000..1044 {
                    assert!(keeper.record(stream).await);
                    sleep(Duration::from_millis(500)).await;
                }
            }
            keeper.kill().await;
        }
        let keeper = Keeper::start(folder.path()).await;
        keeper.assert_has(1..81).await;
        keeper.assert_has(1000..1044).await;
        keeper.kill().await;
    });
}

/// Guards that a torn end of the log, as a power cut leaves it, hides records that are
/// appended after the restart.
#[test]
fn a_torn_log_goes_on_after_its_readable_part() {
    test(async {
        let folder = tempfile::tempdir().expect("a folder");
        for round in 0..3 {
            let keeper = Keeper::start(folder.path()).await;
            keeper.assert_has(1..1 + round * 5).await;
            for stream in 1 + round * 5..6 + round * 5 {
                assert!(keeper.record(stream).await);
            }
            keeper.kill().await;
            for log in LOGS.map(|name| folder.path().join(name)) {
                if let Ok(mut bytes) = fs::read(&log) {
                    let torn = bytes[..bytes.len().min(40)].to_vec();
                    bytes.extend(torn);
                    fs::write(&log, bytes).expect("written");
                }
            }
        }
        let keeper = Keeper::start(folder.path()).await;
        keeper.assert_has(1..16).await;
        keeper.kill().await;
    });
}

/// Guards that a record is acknowledged which the disk has not taken.
#[test]
fn a_record_that_is_not_on_the_disk_is_not_acknowledged() {
    test(async {
        let folder = tempfile::tempdir().expect("a folder");
        for log in LOGS {
            fs::create_dir(folder.path().join(log)).expect("created");
        }
        let keeper = Keeper::start(folder.path()).await;
        assert!(!keeper.record(1).await);
        for log in LOGS {
            fs::remove_dir(folder.path().join(log)).expect("removed");
        }
        assert!(keeper.record(2).await);
        keeper.kill().await;
        let keeper = Keeper::start(folder.path()).await;
        keeper.assert_has(2..3).await;
        keeper.kill().await;
    });
}
