//! Measures processes under crowds of clients, one test at a time.

use bluebellreel_platform_standins::{
    Crowd, Machine, ProcessSite, Script, SystemProcess, descriptors, peak_kib, raw_head,
};
use http::Method;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The machine of each process: a small one, so that small crowds suffice.
pub const MACHINE: Machine = Machine {
    memory_mb: 64,
    sockets: 200,
    files: 40,
};
/// A machine whose descriptors are not what is short.
pub const CROWDED: Machine = Machine {
    sockets: 1000,
    ..MACHINE
};
/// How long a crowd may take to do its worst.
const CROWD_TIMEOUT: Duration = Duration::from_secs(12);
/// How long a crowd stays once it has done that.
const CROWD_STAY: Duration = Duration::from_millis(500);
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Held by the one test that runs.
static ALONE: Mutex<()> = Mutex::new(());

/// The program under test.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_bluebellreel"))
}

/// Runs a test while no other one runs.
pub fn alone(test: impl FnOnce()) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    test();
}

/// Limits of what callers may send.
pub fn limits() -> Value {
    json!({"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
}

/// Runs a test on a gateway process, a store and workers.
pub fn on_site<F, T>(test: F)
where
    F: FnOnce(Rc<ProcessSite>) -> T,
    T: Future<Output = ()>,
{
    on_machine(MACHINE, test);
}

/// Runs a test on a gateway process of a machine, a store and workers.
pub fn on_machine<F, T>(machine: Machine, test: F)
where
    F: FnOnce(Rc<ProcessSite>) -> T,
    T: Future<Output = ()>,
{
    alone(|| {
        let folder = tempfile::tempdir().expect("a folder");
        ProcessSite::test(&program(), folder.path(), machine, &limits(), test);
    });
}

/// Lets a crowd do its worst, and checks the process meanwhile.
pub async fn withstand(process: &RefCell<SystemProcess>, crowd: Crowd) {
    withstand_on(MACHINE, process, crowd).await;
}

/// Lets a crowd do its worst, and checks the process meanwhile, which has a machine.
pub async fn withstand_on(machine: Machine, process: &RefCell<SystemProcess>, crowd: Crowd) {
    let until = Instant::now() + CROWD_TIMEOUT;
    let mut settled = None;
    loop {
        check_on(machine, &mut process.borrow_mut());
        if crowd.has_settled() {
            settled = settled.or(Some(Instant::now()));
        }
        if settled.is_some_and(|at| at.elapsed() > CROWD_STAY) || Instant::now() > until {
            break;
        }
        sleep(CHECK_INTERVAL).await;
    }
    assert!(crowd.opened() > 0);
    drop(crowd);
    check_on(machine, &mut process.borrow_mut());
}

/// Checks that a process lives within its machine.
pub fn check(process: &mut SystemProcess) {
    check_on(MACHINE, process);
}

/// Checks that a process lives within a machine.
pub fn check_on(machine: Machine, process: &mut SystemProcess) {
    assert!(process.is_alive(), "the process has ended");
    let (memory, open) = held(process).expect("it lives");
    check_held(machine, memory, open);
}

/// Peak memory of a process in KiB and its open descriptors; none once it has ended.
pub fn held(process: &SystemProcess) -> Option<(u64, usize)> {
    Some((peak_kib(process.id())?, descriptors(process.id())?))
}

/// Checks that memory in KiB and descriptors are within a machine.
pub fn check_held(machine: Machine, memory: u64, open: usize) {
    assert!(
        memory <= machine.memory_mb * 1024,
        "{memory} KiB of memory, the machine has {} MB",
        machine.memory_mb
    );
    assert!(
        open <= machine.sockets + machine.files,
        "{open} descriptors, the machine has {}",
        machine.sockets + machine.files
    );
}

/// Lets a crowd of `clients` clients for each script loose on an address of a gateway; afterwards
/// an ordinary request must be answered.
pub fn gateway_withstands(
    address: impl FnOnce(&ProcessSite) -> SocketAddr,
    clients: usize,
    scripts: Vec<Script>,
) {
    on_site(|site| async move {
        let crowd = Crowd::start(address(&site), clients, scripts);
        withstand(&site.gateway, crowd).await;
        answers(&site).await;
    });
}

/// Waits until an ordinary request is answered.
pub async fn answers(site: &ProcessSite) {
    site.until("an ordinary request is answered", || async {
        site.ask("/check/1", Method::POST).await.is(200)
    })
    .await;
    check(&mut site.gateway.borrow_mut());
}

/// The head of a request up to its last field.
pub fn head(method: &str, path: &str, fields: &str) -> String {
    raw_head("crowd", method, path, fields)
}

/// A whole head that announces a body.
pub fn head_of_body(path: &str, length: usize) -> String {
    head("POST", path, &format!("Content-Length: {length}\r\n\r\n"))
}
