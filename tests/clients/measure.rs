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
    alone(|| {
        let folder = tempfile::tempdir().expect("a folder");
        ProcessSite::test(&program(), folder.path(), MACHINE, &limits(), test);
    });
}

/// Lets a crowd do its worst, and checks the process meanwhile.
pub async fn withstand(process: &RefCell<SystemProcess>, crowd: Crowd) {
    let until = Instant::now() + CROWD_TIMEOUT;
    let mut settled = None;
    loop {
        check(&mut process.borrow_mut());
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
    check(&mut process.borrow_mut());
}

/// Checks that a process lives within its machine.
pub fn check(process: &mut SystemProcess) {
    assert!(process.is_alive(), "the process has ended");
    let memory = peak_kib(process.id()).expect("it lives");
    assert!(
        memory <= MACHINE.memory_mb * 1024,
        "{memory} KiB of memory, the machine has {} MB",
        MACHINE.memory_mb
    );
    let open = descriptors(process.id()).expect("it lives");
    assert!(
        open <= MACHINE.sockets + MACHINE.files,
        "{open} descriptors, the machine has {}",
        MACHINE.sockets + MACHINE.files
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
