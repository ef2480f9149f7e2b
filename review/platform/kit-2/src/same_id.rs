//! Two tenants submit different batch jobs under one id, for a search only: no page names
//! such a caller.

use crate::http::{Answer, call};
use crate::json::{base64, parse};
use crate::site::{Folder, HOST, Record, gateways, ip, start_all, until};
use crate::store::Store;
use crate::worker::Worker;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::{Duration, Instant};

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"book","host":"desk.example","prefix":"/book/","kind":"batch","timeoutMs":15000,
 "sloMs":400,"service":"lm","maxAttempts":3,"cap":1800000,"runTargetMs":18000,"retentionS":60,"anonymous":false}],
"services":[{"name":"lm","healthPath":"/health","maxConns":230}],
"tenants":[{"name":"a","apiKeys":["key-a"]},{"name":"b","apiKeys":["key-b"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// So many that the input of a job needs several values of the store.
const ITEMS: usize = 100;
const BODY_BYTES: usize = 9_000;

fn body(tenant: &str) -> Vec<u8> {
    tenant.as_bytes().repeat(BODY_BYTES)
}

fn ask(to: SocketAddr, tenant: &str, method: &str, path: &str, body: &[u8]) -> Answer {
    let key = format!("Bearer key-{tenant}");
    let all = [
        ("Host", HOST),
        ("X-Request-Id", "job-1"),
        ("X-Deadline-Ms", "4000"),
        ("Authorization", &key),
    ];
    call(to, method, path, &all, body, Duration::from_secs(5))
}

fn submit(to: SocketAddr, tenant: &str, record: &Record) -> u16 {
    let items: Vec<String> = (1..=ITEMS)
        .map(|n| {
            let body = base64(&body(tenant));
            format!(
                "{{\"id\":\"{tenant}-{n}\",\"path\":\"/book/{tenant}{n}/e20-i400\",\"headers\":{{\"X-Model\":\"m\",\
                 \"X-Token-Counts\":\"100,20\"}},\"body\":\"{body}\",\"tokens\":120}}"
            )
        })
        .collect();
    let job = format!("{{\"items\":[{}]}}", items.join(","));
    let status = ask(to, tenant, "POST", "/book/job-1", job.as_bytes()).status;
    record.note(format!("tenant {tenant} submits job-1: status {status}"));
    status
}

/// Whether tenant `a` gets another body for one of its items, or one of tenant `b`'s items.
fn reads_foreign(to: SocketAddr, record: &Record) -> bool {
    let read = |id: &str| {
        let path = format!("/v1/items/job-1?id={id}");
        let answer = ask(to, "a", "GET", &path, b"");
        let begin = String::from_utf8_lossy(&answer.body[..answer.body.len().min(6)]).into_owned();
        let bytes = answer.body.len();
        record.note(format!(
            "tenant a reads item {id}: status {}, {bytes} bytes, {begin:?}",
            answer.status
        ));
        answer
    };
    let own = read("a-1");
    let foreign = read("b-1");
    own.status == 404 || (own.status == 200 && own.body != body("a")) || foreign.status == 200
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let worker = Worker::start("i-1", (ip(251), 0).into(), 8, record);
    worker.register(&store, worker.address, 1);
    let mut gateways = gateways(&folder.0, 2, at);
    start_all(&mut gateways, &store);
    let (first, second) = (gateways[0].requests, gateways[1].requests);
    assert!(submit(first, "a", record) == 202, "the job is not accepted");
    if trouble {
        submit(second, "b", record);
    }
    let mut is_broken = reads_foreign(second, record);
    gateways[0].kill();
    record.note("the first gateway is killed");
    until("the job is taken over", Duration::from_secs(30), || {
        let log = std::fs::read_to_string(&gateways[1].log).unwrap_or_default();
        log.contains("job taken over")
    });
    sleep(Duration::from_secs(3));
    is_broken |= reads_foreign(second, record);
    let end = Instant::now() + Duration::from_secs(30);
    let mut listed = 0;
    while Instant::now() < end && listed < 24 {
        let page = parse(&ask(second, "a", "GET", "/v1/lots/job-1?after=0", b"").body);
        let results = page.iter().flat_map(|p| p.get("results").list());
        let ids: Vec<String> = results.map(|r| r.get("id").text().to_owned()).collect();
        listed = ids.len();
        let foreign = ids.iter().filter(|id| id.starts_with('b')).count();
        record.note(format!(
            "tenant a reads job-1: {listed} results, {foreign} of tenant b's items"
        ));
        is_broken |= foreign > 0;
        sleep(Duration::from_millis(500));
    }
    is_broken
}
