//! A worker is cut off, crashes behind the cut and is back under its id some seconds later.
//! Its answer without a length ends with its channel once the cut has healed. The store is
//! down meanwhile, so that the worker's new entry is not written.

use crate::http::call;
use crate::json::quote;
use crate::late_answer::headers;
use crate::proxy::Proxy;
use crate::site::{Folder, Record, gateways, ip, start_all, until};
use crate::store::{Mode, Store};
use crate::worker::{Worker, event};
use std::sync::atomic::Ordering;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// The route of `return-note` on the sheet: it may not be resumed.
const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"note","host":"desk.example","prefix":"/note/","kind":"stream","timeoutMs":5000,
 "sloMs":300,"service":"lm","maxAttempts":1,"resumable":false,"gapTargetMs":300}],
"services":[{"name":"lm","healthPath":"/health","maxConns":230}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// One of six is cut off.
const WORKERS: usize = 6;
const EVENTS: u64 = 27;
/// From the cut to the crash behind it.
const CRASH: Duration = Duration::from_millis(100);
/// From the cut to the worker's new start.
const START: Duration = Duration::from_millis(2_000);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(2_150);
/// Length of the store's outage, which begins with the cut.
const OUTAGE: Duration = Duration::from_millis(4_500);

pub fn run(record: &Record, trouble: bool) -> bool {
    // Without the outage, a search and no case: the entry is written at the start.
    let has_outage = std::env::var("OUTAGE").as_deref() != Ok("0");
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let workers: Vec<(Worker, Proxy)> = (1..=WORKERS)
        .map(|n| {
            let worker = Worker::start(&format!("i-{n}"), (ip(251), 0).into(), 8, record);
            let proxy = Proxy::start((ip(252), 0).into(), worker.address);
            worker.register(&store, proxy.address, 1_000);
            (worker, proxy)
        })
        .collect();
    let mut gateways = gateways(&folder.0, 1, at);
    start_all(&mut gateways, &store);
    let to = gateways[0].requests;

    let asked = {
        let record = record.clone();
        thread::spawn(move || {
            let (all, path) = (headers("q-1", "5000"), format!("/note/1/e{EVENTS}-i25-u"));
            record.note(format!("caller sends q-1 {path}"));
            let answer = call(to, "POST", &path, &all, b"prompt", Duration::from_secs(6));
            record.note(format!(
                "caller has q-1: status {}, stamp {:?}, complete {}, {}",
                answer.status,
                answer.header("x-server-stamp"),
                answer.complete,
                quote(&answer.text())
            ));
            answer
        })
    };
    let mut at = None;
    until("the answer is half done", Duration::from_secs(5), || {
        let events = |w: &Worker| w.events.load(Ordering::Relaxed) as u64;
        at = workers.iter().position(|(w, _)| events(w) >= EVENTS / 2);
        at.is_some()
    });
    let (worker, proxy) = &workers[at.unwrap_or(0)];
    let mut again = None;
    if trouble {
        let began = Instant::now();
        let wait = |since: Duration| sleep(since.saturating_sub(began.elapsed()));
        proxy.cut(true);
        record.note(format!("{} is cut off", worker.id));
        if has_outage {
            store.set(Mode::Down);
            record.note("the store is down");
        }
        wait(CRASH);
        worker.crash();
        wait(START);
        let new = Worker::start(&worker.id, worker.address, 8, record);
        record.note(format!("{} has started again", worker.id));
        if !has_outage {
            new.register(&store, proxy.address, 2_000);
        }
        wait(CUT);
        proxy.cut(false);
        record.note("the cut has healed");
        wait(OUTAGE);
        if has_outage {
            store.set(Mode::Up);
            record.note("the store is back");
            new.register(&store, proxy.address, 2_000);
        }
        again = Some(new);
    }
    let answer = asked.join().expect("the caller ends");
    drop(again);
    let whole: String = (1..=EVENTS).map(|n| event("v1", "q-1", n)).collect();
    let is_whole = answer.text() == whole;
    record.note(format!(
        "{} of {EVENTS} events, whole {is_whole}",
        answer.text().matches("data: ").count()
    ));
    answer.status == 200 && answer.complete && !is_whole
}
