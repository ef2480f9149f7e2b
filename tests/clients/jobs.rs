//! Crowds that submit and read jobs at a gateway.

use crate::gateway::{BODIES, BODY, HEADS, pipelined, requests};
use crate::measure::{answers, check, gateway_withstands, head, head_of_body, on_site, withstand};
use bluebellreel_platform_standins::{
    Crowd, ProcessSite, Script, item_path, raw_head, results_path,
};
use http::Method;

/// A submission of a job that repeats a part up to the longest body.
pub fn job(start: &str, repeat: &str, end: &str) -> Script {
    let repeats = (BODY - start.len() - end.len()) / repeat.len();
    let body = [start, &repeat.repeat(repeats), end].concat();
    let head = head_of_body("/book/1", body.len());
    Script::stall([head.into_bytes(), body.into_bytes()].concat())
}

/// Jobs took many times the memory of their bodies once decoded.
#[test]
fn jobs_that_grow_when_decoded() {
    let nested = job("{\"items\":", "[", "");
    let numbers = job("{\"items\":[", "0,", "0]}");
    let objects = job("{\"items\":[", "{\"a\":{}},", "{}]}");
    gateway_withstands(requests, BODIES / 2, vec![nested, numbers, objects]);
}

/// Jobs of many items and of many fields took many times the memory of their bodies.
#[test]
fn jobs_of_many_small_parts() {
    let items = job(
        "{\"items\":[",
        "{\"id\":\"\",\"path\":\"\"},",
        "{\"id\":\"\",\"path\":\"\"}]}",
    );
    let names: Vec<String> = (0..300_000).map(|n| format!("\"{n:x}\":\"\"")).collect();
    let names = names.join(",");
    let body =
        format!("{{\"items\":[{{\"id\":\"a\",\"path\":\"/book/1\",\"headers\":{{{names}}}}}]}}");
    let head = head_of_body("/book/1", body.len());
    let fields = Script::stall(head + &body);
    gateway_withstands(requests, BODIES / 4, vec![items, fields]);
}

/// Jobs that were accepted took memory for their items, however many these were.
#[test]
fn accepted_jobs_without_end() {
    let body = "A".repeat(BODY / 4);
    let jobs = (0..HEADS / 2).map(|n| {
        let items = format!(
            "{{\"items\":[{{\"id\":\"i{n}\",\"path\":\"/book/1\",\"body\":\"{body}\",\"tokens\":1}}]}}"
        );
        let fields = format!("Content-Length: {}\r\n\r\n", items.len());
        let head = raw_head(&format!("job-{n}"), "POST", "/book/1", &fields);
        Script::stall(head + &items)
    });
    gateway_withstands(requests, 1, jobs.collect());
}

/// Bodies of items took memory as long as callers asked for further ones and read nothing.
#[test]
fn item_bodies_that_nobody_reads() {
    on_site(|site| async move {
        let body = "A".repeat(BODY / 4);
        let job = format!(
            "{{\"items\":[{{\"id\":\"i\",\"path\":\"/book/1\",\"body\":\"{body}\",\"tokens\":1}}]}}"
        );
        for worker in &site.workers {
            worker.faults.unresponsive.set(true);
        }
        site.until("the job is accepted", || async {
            site.submit("kept", &job).await.is(202)
        })
        .await;
        let request = head("GET", &item_path("kept", "i"), "\r\n");
        let crowd = Crowd::start(site.requests, HEADS, vec![pipelined(&request)]);
        withstand(&site.gateway, crowd).await;
        for worker in &site.workers {
            worker.faults.unresponsive.set(false);
        }
        answers(&site).await;
    });
}

/// Clients of a crowd that reads an ended job.
const READERS: usize = 60;

/// Lets a crowd read a path of an ended job that only the store still has.
async fn withstands_readers(site: &ProcessSite, job: &str, path: &str) {
    site.until("the job is accepted", || async {
        site.submit("ended", job).await.is(202)
    })
    .await;
    site.until("the job has ended", || async {
        let state = site.store.state.borrow();
        let record = state.get("job/rec/ended");
        record.is_some_and(|r| String::from_utf8_lossy(&r.value).contains("\"Done\""))
    })
    .await;
    site.restart_gateway().await;
    let request = head("GET", path, "\r\n");
    let crowd = Crowd::start(site.requests, READERS, vec![Script::stall(request)]);
    withstand(&site.gateway, crowd).await;
    answers(site).await;
    site.until("the job is read", || async {
        site.ask(path, Method::GET).await.is(200)
    })
    .await;
    check(&mut site.gateway.borrow_mut());
}

/// Each reader of an item of an ended job took the memory of the whole job.
#[test]
fn items_of_an_ended_job_that_many_read_at_once() {
    on_site(|site| async move {
        let body = "A".repeat(BODY / 8);
        let items = (0..7).map(|n| {
            format!("{{\"id\":\"i{n}\",\"path\":\"/book/1\",\"body\":\"{body}\",\"tokens\":1}}")
        });
        let items: Vec<String> = items.collect();
        let job = format!("{{\"items\":[{}]}}", items.join(","));
        withstands_readers(&site, &job, &item_path("ended", "i6")).await;
    });
}

/// Readers of an ended job with results of 60 MB took all of them into memory.
#[test]
fn results_of_an_ended_job_that_many_read_at_once() {
    on_site(|site| async move {
        let items = (0..100).map(|n| {
            // Workers repeat it in each of 20 events.
            let id = format!("{n:030000}");
            format!("{{\"id\":\"{id}\",\"path\":\"/book/1\",\"body\":\"\",\"tokens\":20}}")
        });
        let items: Vec<String> = items.collect();
        let job = format!("{{\"items\":[{}]}}", items.join(","));
        withstands_readers(&site, &job, &results_path("ended")).await;
    });
}
