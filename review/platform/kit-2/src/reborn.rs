//! A worker is cut off, crashes behind the cut and starts again under its id. Its answer
//! without a length ends with its channel once the cut has healed.

use crate::http::call;
use crate::json::{base64, parse, quote};
use crate::late_answer::{CONFIGURATION, headers};
use crate::proxy::Proxy;
use crate::site::{Folder, HOST, Record, gateways, ip, start_all, until};
use crate::store::Store;
use crate::worker::{Worker, text};
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// One of six is cut off.
const WORKERS: usize = 6;
const EVENTS: u64 = 30;
/// Length of the cut.
const CUT: Duration = Duration::from_millis(600);

pub fn run(record: &Record, trouble: bool) -> bool {
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

    let items = format!(
        "{{\"items\":[{{\"id\":\"item-1\",\"path\":\"/book/1/e{EVENTS}-i25-u\",\"headers\":{{\"X-Model\":\"m\",\
         \"X-Token-Counts\":\"100,{EVENTS}\"}},\"body\":\"{}\",\"tokens\":130}}]}}",
        base64(b"prompt")
    );
    let all = headers("job-1", "4000");
    let answer = call(
        to,
        "POST",
        "/book/job-1",
        &all,
        items.as_bytes(),
        Duration::from_secs(5),
    );
    record.note(format!("caller has job-1: status {}", answer.status));
    assert!(answer.status == 202, "the job is not accepted");
    let mut at = None;
    until("the item is half done", Duration::from_secs(5), || {
        let events = |w: &Worker| w.events.load(Ordering::Relaxed) as u64;
        at = workers.iter().position(|(w, _)| events(w) >= EVENTS / 2);
        at.is_some()
    });
    let (worker, proxy) = &workers[at.unwrap_or(0)];
    let mut again = None;
    if trouble {
        let began = Instant::now();
        proxy.cut(true);
        record.note(format!("{} is cut off", worker.id));
        sleep(Duration::from_millis(100));
        worker.crash();
        sleep(Duration::from_millis(300));
        again = Some(Worker::start(&worker.id, worker.address, 8, record));
        record.note(format!("{} has started again", worker.id));
        sleep(CUT.saturating_sub(began.elapsed()));
        proxy.cut(false);
        record.note("the cut has healed");
        // The next heartbeat.
        sleep(Duration::from_millis(600));
        if let Some(again) = &again {
            again.register(&store, proxy.address, 2_000);
        }
    }
    let end = Instant::now() + Duration::from_secs(20);
    let mut is_broken = false;
    while Instant::now() < end {
        let all = [("Host", HOST), ("X-Wait-Ms", "500")];
        let path = "/v1/lots/job-1?after=0";
        let answer = call(to, "GET", path, &all, b"", Duration::from_secs(3));
        let page = parse(&answer.body);
        let result = page.as_ref().and_then(|p| p.get("results").list().first());
        if let Some(result) = result {
            let (state, got) = (result.get("state").text(), result.get("text").text());
            let events = got.lines().count();
            record.note(format!(
                "caller reads item-1: state {}, {events} of {EVENTS} events, text {}",
                quote(state),
                quote(got)
            ));
            is_broken = state == "completed" && got != text("item-1", EVENTS);
            break;
        }
        sleep(Duration::from_millis(200));
    }
    drop(again);
    is_broken
}
