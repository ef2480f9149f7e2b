//! A health check takes a late second answer for its own, and the next request on the
//! channel takes the answer of the health check for its own.

use crate::http::{Answer, call, open};
use crate::json::{base64, parse};
use crate::site::{Folder, HOST, Record, gateways, ip, start_all, until};
use crate::store::Store;
use crate::worker::{Worker, text};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const WORKERS: usize = 3;
/// Slots of a worker.
const SLOTS: usize = 4;
/// Sound answers of the faulty worker before its second answer.
const SOUND_ANSWERS: usize = 60;
const ITEMS: usize = 10;
/// How often the order of events is played at most.
const ROUNDS: usize = 5;
const ITEM_EVENTS: u64 = 20;

pub const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"check","host":"desk.example","prefix":"/check/","kind":"stream","timeoutMs":5000,
 "sloMs":300,"service":"lm","maxAttempts":2,"resumable":true,"gapTargetMs":300},
{"name":"book","host":"desk.example","prefix":"/book/","kind":"batch","timeoutMs":15000,
 "sloMs":300,"service":"lm","maxAttempts":3,"cap":1800000,"runTargetMs":18000,"retentionS":60}],
"services":[{"name":"lm","healthPath":"/health","maxConns":230}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn headers<'a>(id: &'a str, deadline: &'a str) -> [(&'a str, &'a str); 3] {
    [
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", deadline),
    ]
}

/// Sends a request in a thread of its own.
pub fn ask(to: SocketAddr, id: String, how: &str, record: &Record) -> JoinHandle<Answer> {
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
    let workers: Vec<Worker> = (1..=WORKERS)
        .map(|n| Worker::start(&format!("i-{n}"), (ip(251), 0).into(), SLOTS, record))
        .collect();
    for worker in &workers {
        // The first one runs a request on after its caller has left.
        worker.drops.store(worker.id != "i-1", Ordering::Relaxed);
        worker.register(&store, worker.address, 1);
    }
    let mut gateways = gateways(&folder.0, 1, at);
    start_all(&mut gateways, &store);
    let to = gateways[0].requests;
    (1..=ROUNDS).any(|round| run_round(to, &workers, round, record, trouble))
}

/// Plays the order of events once.
fn run_round(
    to: SocketAddr,
    workers: &[Worker],
    round: usize,
    record: &Record,
    trouble: bool,
) -> bool {
    record.note(format!("round {round}"));
    let all_taken = || workers.iter().all(|w| w.load().0 == SLOTS);
    let runs = |w: &Worker| w.runs.load(Ordering::Relaxed);

    // Sound answers first: one second answer is then less than 3 in 100 of this worker's.
    workers[0].faulty.store(false, Ordering::Relaxed);
    let target = runs(&workers[0]) + SOUND_ANSWERS;
    while runs(&workers[0]) < target {
        let id = format!("w{round}.{}", runs(&workers[0]));
        let _ = ask(to, id, "e2-i1", record).join();
    }
    workers[0].faulty.store(trouble, Ordering::Relaxed);
    sleep(Duration::from_millis(300));
    let before: Vec<usize> = workers.iter().map(runs).collect();

    // At each worker one short answer, after which the faulty worker sends a second one, and
    // three answers without a length, which end in the same step.
    let mut asked = Vec::new();
    for n in 0..WORKERS * SLOTS {
        let how = if n < WORKERS { "e5-i25-x" } else { "e10-i45-u" };
        asked.push(ask(to, format!("a{round}.{n}"), how, record));
        sleep(Duration::from_millis(1));
    }
    until("the workers are full", Duration::from_secs(2), all_taken);
    // Requests in the workers' queues, which take the slots as they become free. Their
    // callers leave; the faulty worker runs them to their end.
    let mut leaving = Vec::new();
    for n in 0..WORKERS * SLOTS {
        let id = format!("c{round}.{n}");
        record.note(format!("caller sends {id}"));
        leaving.push(open(
            to,
            "POST",
            "/check/e22-i45",
            &headers(&id, "5000"),
            b"prompt",
        ));
        sleep(Duration::from_millis(1));
    }
    until("the queues have the slots", Duration::from_secs(3), || {
        let mut counts = workers.iter().zip(&before);
        counts.all(|(w, before)| runs(w) == before + 2 * SLOTS)
    });
    sleep(Duration::from_millis(50));
    let loads: Vec<_> = workers.iter().map(Worker::load).collect();
    record.note(format!(
        "callers of c{round}.0 and so on leave; taken and waiting: {loads:?}"
    ));
    drop(leaving);
    sleep(Duration::from_millis(60));

    let is_broken = run_job(to, round, record);
    for answer in asked {
        let _ = answer.join();
    }
    is_broken
}

/// Submits a job and reads its results; whether one is not the item's whole output.
fn run_job(to: SocketAddr, round: usize, record: &Record) -> bool {
    let item = |n: usize| {
        format!(
            "{{\"id\":\"item-{round}.{n}\",\"path\":\"/book/1/e{ITEM_EVENTS}\",\"headers\":{{\"X-Model\":\"m\",\
             \"X-Token-Counts\":\"100,{ITEM_EVENTS}\"}},\"body\":\"{}\",\"tokens\":120}}",
            base64(b"prompt")
        )
    };
    let items: Vec<String> = (0..ITEMS).map(item).collect();
    let items = format!("{{\"items\":[{}]}}", items.join(","));
    let (job, path) = (format!("job-{round}"), format!("/book/job-{round}"));
    let all = headers(&job, "4000");
    let answer = call(
        to,
        "POST",
        &path,
        &all,
        items.as_bytes(),
        Duration::from_secs(5),
    );
    record.note(format!("caller has {job}: status {}", answer.status));
    assert!(answer.status == 202, "the job is not accepted");
    let end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < end {
        let all = [("Host", HOST), ("X-Wait-Ms", "500")];
        let path = format!("/v1/lots/{job}?after=0");
        let answer = call(to, "GET", &path, &all, b"", Duration::from_secs(3));
        let page = parse(&answer.body);
        let results = page.as_ref().map_or(&[][..], |p| p.get("results").list());
        if results.len() < ITEMS {
            sleep(Duration::from_millis(200));
            continue;
        }
        let mut is_broken = false;
        for result in results {
            let (id, state) = (result.get("id").text(), result.get("state").text());
            let got = result.get("text").text();
            let is_whole = got == text(id, ITEM_EVENTS);
            is_broken |= state == "completed" && !is_whole;
            record.note(format!(
                "caller reads {id}: state {state}, {} of {ITEM_EVENTS} events, whole {is_whole}",
                got.lines().count()
            ));
        }
        return is_broken;
    }
    record.note("the job is not listed within 20 s");
    false
}
