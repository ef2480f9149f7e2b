//! Crowds at an entry daemon and at a side process.

use crate::measure::{MACHINE, alone, program, withstand};
use bluebellreel_platform_standins::{Crowd, Script, SystemProcess};
use bluebellreel_settings::hash_token;
use bluebellreel_site::{Caller, OPERATOR_TOKEN, TEAM_TOKEN};
use bluebellreel_standins::{
    EngineSettings, KvLimits, StandIn, Vm, VmState, start_engine, start_kv, start_vm_list,
};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const MODEL: &str = "model";
const CONDITION_TIMEOUT: Duration = Duration::from_mins(1);
/// Clients of a crowd for each of its scripts.
const CLIENTS: usize = 80;
/// Clients of a crowd that takes descriptors.
const SILENT: usize = 300;
/// Bytes that a client sends without end.
const WITHOUT_END: usize = 1024 * 1024;
/// The longest body that the daemon's settings allow.
const BODY: usize = 4 * 1024 * 1024;

/// An entry daemon and a side process, and stand-ins of all else.
struct Fleet {
    entry: RefCell<SystemProcess>,
    side: RefCell<SystemProcess>,
    calls: SocketAddr,
    rpc: SocketAddr,
    metrics: SocketAddr,
    _stand_ins: [StandIn; 3],
    _folder: TempDir,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn free_address() -> SocketAddr {
    let bound = TcpListener::bind(any_port()).and_then(|l| l.local_addr());
    bound.expect("a free port")
}

fn side_program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_bluebellreel-side"))
}

fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + CONDITION_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "not met within a minute: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

impl Fleet {
    fn start() -> Self {
        let folder = tempfile::tempdir().expect("a folder");
        let engine = EngineSettings {
            models: vec![MODEL.to_owned()],
            ..EngineSettings::default()
        };
        let engine = start_engine(any_port(), engine).expect("an engine");
        let kv = start_kv(any_port(), KvLimits::default()).expect("a key-value service");
        let (calls, rpc, metrics) = (free_address(), free_address(), free_address());
        let vm = Vm {
            name: "worker-0".into(),
            side: rpc,
            data_centre: "Sligo".into(),
            state: VmState::Live,
        };
        let vm_list = start_vm_list(any_port(), vec![vm], Duration::ZERO).expect("a VM list");
        let side = format!(
            "worker = \"worker-0\"\ndata_centre = \"Sligo\"\nlisten = \"{rpc}\"\n\
             metrics = \"{metrics}\"\n[backend]\nurl = \"{}\"\n{}",
            engine.url(),
            MACHINE.settings(),
        );
        let side = SystemProcess::start(&side_program(), None, &side, folder.path());
        let entry = format!(
            "name = \"entry-0\"\ndata_centre = \"Sligo\"\nlisten = \"{calls}\"\n\
             [platform]\nkv = \"{}\"\nvm_list = \"{}\"\n[limits]\nbody_bytes = {BODY}\n\
             job_bytes = {BODY}\nbody_s = 5\njob_s = 5\n{}\
             [[teams]]\nname = \"school\"\ntoken_sha256 = \"{}\"\n\
             [[operators]]\nname = \"on-call\"\ntoken_sha256 = \"{}\"\n",
            kv.url(),
            vm_list.url(),
            MACHINE.settings(),
            hex::encode(hash_token(TEAM_TOKEN)),
            hex::encode(hash_token(OPERATOR_TOKEN)),
        );
        let entry = SystemProcess::start(&program(), Some("serve"), &entry, folder.path());
        let fleet = Self {
            entry: RefCell::new(entry.expect("an entry daemon")),
            side: RefCell::new(side.expect("a side process")),
            calls,
            rpc,
            metrics,
            _stand_ins: [engine, kv, vm_list],
            _folder: folder,
        };
        let operator = fleet.caller(OPERATOR_TOKEN);
        let manifest = format!("[[models]]\nname = \"{MODEL}\"\nversion = \"1\"\n");
        until("the manifest is accepted", || {
            let put = ("PUT", "/operator/v1/manifest", [("If-Match", "0")]);
            let answer = operator.send(put.0, put.1, &put.2, manifest.as_bytes());
            answer.is_ok_and(|(status, _)| matches!(status, 200 | 409))
        });
        fleet.answers();
        fleet
    }

    fn caller(&self, token: &str) -> Caller {
        Caller::new(format!("http://{}", self.calls), token, MODEL)
    }

    /// Waits until an ordinary request is answered.
    fn answers(&self) {
        let caller = self.caller(TEAM_TOKEN);
        until("an ordinary request is answered", || {
            caller.chat("a quick question", 4).is_ok()
        });
    }

    /// Waits until the side process answers a health check.
    fn is_healthy(&self) {
        let url = format!("http://{}/healthz", self.metrics);
        until("the side process is healthy", || {
            ureq::get(&url).call().is_ok()
        });
    }
}

/// Waits for a crowd on a thread that runs nothing else.
fn withstand_crowd(process: &RefCell<SystemProcess>, crowd: Crowd) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be built");
    runtime.block_on(withstand(process, crowd));
}

fn entry_withstands(clients: usize, scripts: Vec<Script>) {
    alone(|| {
        let fleet = Fleet::start();
        let crowd = Crowd::start(fleet.calls, clients, scripts);
        withstand_crowd(&fleet.entry, crowd);
        fleet.answers();
    });
}

fn side_withstands(
    address: impl FnOnce(&Fleet) -> SocketAddr,
    clients: usize,
    scripts: Vec<Script>,
) {
    alone(|| {
        let fleet = Fleet::start();
        let crowd = Crowd::start(address(&fleet), clients, scripts);
        withstand_crowd(&fleet.side, crowd);
        fleet.is_healthy();
        fleet.answers();
    });
}

fn heads() -> Vec<Script> {
    let start = "POST /v1/chat/completions HTTP/1.1\r\nX-Long: ";
    vec![
        Script::flood(start, [b'x'; 4096], WITHOUT_END),
        Script::flood("", b"\r\n".repeat(2048), WITHOUT_END),
        Script::flood("GET /", [b'x'; 4096], WITHOUT_END),
    ]
}

fn most_of_a_body(path: &str) -> Script {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {TEAM_TOKEN}\r\n\
         Idempotency-Key: k\r\nContent-Length: {BODY}\r\n\r\n"
    );
    Script::stall([head.into_bytes(), vec![b'x'; BODY - 1]].concat())
}

/// Heads without end took the memory of an entry daemon.
#[test]
fn heads_without_end_at_an_entry_daemon() {
    entry_withstands(CLIENTS, heads());
}

/// Bodies without their last byte took the memory of an entry daemon.
#[test]
fn bodies_without_their_last_byte_at_an_entry_daemon() {
    let chat = most_of_a_body("/v1/chat/completions");
    entry_withstands(CLIENTS / 4, vec![chat, most_of_a_body("/v1/batches")]);
}

/// Silent clients took all descriptors of an entry daemon.
#[test]
fn silent_connections_at_an_entry_daemon() {
    entry_withstands(SILENT, vec![Script::stall("")]);
}

/// Refusals that nobody reads took the memory of an entry daemon.
#[test]
fn refusals_that_nobody_reads_at_an_entry_daemon() {
    let request = "GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n".repeat(100);
    let script = Script::flood("", request, 4 * WITHOUT_END).unread();
    entry_withstands(2 * CLIENTS, vec![script]);
}

/// Heads without end at the address for metrics took the memory of a side process.
#[test]
fn heads_without_end_at_the_metrics_of_a_side_process() {
    side_withstands(|fleet| fleet.metrics, CLIENTS, heads());
}

/// Silent clients of the address for metrics took all descriptors of a side process.
#[test]
fn silent_connections_at_the_metrics_of_a_side_process() {
    side_withstands(|fleet| fleet.metrics, SILENT, vec![Script::stall("")]);
}

/// Silent clients of the address for entry daemons took all descriptors of a side process.
#[test]
fn silent_connections_at_a_side_process() {
    side_withstands(|fleet| fleet.rpc, SILENT, vec![Script::stall("")]);
}

/// Messages that announce megabytes and send most of them took the memory of a side process.
#[test]
fn messages_without_their_end_at_a_side_process() {
    let words = u32::try_from(BODY / 8).expect("a small number");
    let start = [0_u32.to_le_bytes(), words.to_le_bytes()].concat();
    let message = [start, vec![0; BODY - 8]].concat();
    side_withstands(|fleet| fleet.rpc, CLIENTS / 2, vec![Script::stall(message)]);
}
