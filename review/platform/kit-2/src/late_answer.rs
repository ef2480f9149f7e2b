//! A health check takes a late second answer for its own, and the next request on the
//! channel takes the answer of the health check for its own.

use crate::http::{Answer, call, open};
use crate::json::{base64, parse, quote};
use crate::site::{Folder, HOST, Record, gateways, ip, start_all, until};
use crate::store::Store;
use crate::worker::{Worker, text};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

/// Slots of the worker.
const SLOTS: usize = 4;
/// Events of the item.
const ITEM_EVENTS: u64 = 20;

pub const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"check","host":"desk.example","prefix":"/check/","kind":"stream","timeoutMs":5000,
 "sloMs":3000,"service":"lm","maxAttempts":2,"resumable":true,"gapTargetMs":300},
{"name":"book","host":"desk.example","prefix":"/book/","kind":"batch","timeoutMs":15000,
 "sloMs":400,"service":"lm","maxAttempts":3,"cap":1800000,"runTargetMs":18000,"retentionS":60}],
"services":[{"name":"lm","healthPath":"/health","maxConns":230}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn headers<'a>(id: &'a str, deadline: &'a str) -> [(&'a str, &'a str); 3] {
    [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", deadline),
    ]
}

/// Sends a request in a thread of its own.
fn ask(to: SocketAddr, id: String, how: &str, record: &Record) -> JoinHandle<Answer> {
    let (path, record) = (format!("/check/{how}"), record.clone());
    thread::spawn(move || {
        record.note(format!("caller sends {id} {path}"));
        let all = headers(&id, "5000");
        let answer = call(to, "POST", &path, &all, b"prompt", Duration::from_secs(6));
        record.note(format!(
            "caller has {id}: status {}, stamp {:?}, {} bytes, complete {}",
            answer.status,
            answer.header("x-server-stamp"),
            answer.body.len(),
            answer.complete
        ));
        answer
    })
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let worker = Worker::start("i-1", (ip(251), 0).into(), SLOTS, &store, record);
    worker.faulty.store(trouble, Ordering::Relaxed);
    let mut gateways = gateways(&folder.0, 1, at);
    start_all(&mut gateways, &store);
    let to = gateways[0].requests;

    // One short answer, after which the worker sends a second one, and three answers
    // without a length, which end in the same step.
    let short = ask(to, "a1".into(), "e5-i40-x", record);
    let unframed: Vec<_> = (1..SLOTS)
        .map(|n| ask(to, format!("b{n}"), "e10-i60-u", record))
        .collect();
    until("the worker is full", Duration::from_secs(2), || worker.load().0 == SLOTS);
    // Requests in the worker's queue, which take the slots as they become free. Their
    // callers leave; this worker runs them to their end.
    let leaving: Vec<_> = (1..=SLOTS)
        .map(|n| {
            let id = format!("c{n}");
            record.note(format!("caller sends {id}"));
            open(to, "POST", "/check/e22-i60", &headers(&id, "5000"), b"prompt")
        })
        .collect();
    until("the queue is full", Duration::from_secs(1), || worker.load().1 == SLOTS);
    let _ = short.join();
    until("the queue has the slots", Duration::from_secs(3), || {
        worker.runs.load(Ordering::Relaxed) == 2 * SLOTS
    });
    sleep(Duration::from_millis(50));
    record.note(format!("callers of c1 to c{SLOTS} leave; worker's load {:?}", worker.load()));
    drop(leaving);
    sleep(Duration::from_millis(60));

    // A job of one item.
    let items = format!(
        "{{\"items\":[{{\"id\":\"item-1\",\"path\":\"/book/1/e{ITEM_EVENTS}\",\"headers\":{{\"X-Model\":\"m\",\
         \"X-Token-Counts\":\"100,{ITEM_EVENTS}\"}},\"body\":\"{}\",\"tokens\":120}}]}}",
        base64(b"prompt")
    );
    let end = Instant::now() + Duration::from_secs(4);
    loop {
        let all = headers("job-1", "4000");
        let answer = call(to, "POST", "/book/job-1", &all, items.as_bytes(), Duration::from_secs(5));
        record.note(format!("caller has job-1: status {}", answer.status));
        if answer.status == 202 {
            break;
        }
        assert!(Instant::now() < end, "the job is not accepted");
        sleep(Duration::from_millis(200));
    }
    for answer in unframed {
        let _ = answer.join();
    }
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let all = [("Host", HOST), ("X-Wait-Ms", "500")];
        let path = "/v1/lots/job-1?after=0";
        let answer = call(to, "GET", path, &all, b"", Duration::from_secs(3));
        let page = parse(&answer.body);
        let result = page.as_ref().and_then(|p| p.get("results").list().first());
        if let Some(result) = result {
            let got = result.get("text").text();
            record.note(format!(
                "caller reads item-1: state {}, text {}",
                quote(result.get("state").text()),
                quote(got)
            ));
            return got != text("item-1", ITEM_EVENTS);
        }
        sleep(Duration::from_millis(200));
    }
    record.note("item-1 is not listed within 20 s");
    false
}
