
use crate::http::call;
use crate::json::base64;
use crate::late_answer::CONFIGURATION;
use crate::site::{Folder, HOST, Record, gateways, ip, start_all};
use crate::store::Store;
use crate::worker::Worker;
use std::thread;
use std::time::Duration;

fn peak(id: u32) -> String {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    text.lines().filter(|l| l.starts_with("VmHWM") || l.starts_with("VmRSS")).collect::<Vec<_>>().join(" ")
}

pub fn run(record: &Record, _trouble: bool) -> bool {
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let _w = Worker::start("i-1", (ip(251), 0).into(), 8, record);
    _w.register(&store, _w.address, 1);
    let mut gateways = gateways(&folder.0, 1, at);
    start_all(&mut gateways, &store);
    let to = gateways[0].requests;
    record.note(peak(gateways[0].id()));
    store.slow(Duration::from_millis(236));
    for round in 0..3 {
    let all: Vec<_> = (0..10).map(|n| {
        let record = record.clone();
        thread::spawn(move || {
            let body = base64(&vec![b'x'; 15_000]);
            let items: Vec<String> = (0..190).map(|i| format!("{{\"id\":\"j{round}-{n}-{i}\",\"path\":\"/book/1/e5\",\"headers\":{{\"X-Model\":\"m\"}},\"body\":\"{body}\",\"tokens\":1}}")).collect();
            let body = format!("{{\"items\":[{}]}}", items.join(","));
            let id = format!("j{round}-{n}");
            let h = [("Host", HOST), ("X-Request-Id", &*id), ("X-Deadline-Ms", "4000")];
            let a = call(to, "POST", "/book/j", &h, body.as_bytes(), Duration::from_secs(5));
            record.note(format!("{id} {} bytes {}", a.status, body.len()));
        })
    }).collect();
    for _ in 0..10 { thread::sleep(Duration::from_millis(200)); record.note(peak(gateways[0].id())); }
    for a in all { let _ = a.join(); }
    record.note(peak(gateways[0].id()));
    }
    false
}
