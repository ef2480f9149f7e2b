//! A worker starts again under its id with another version of its software, and goes down
//! again before its entry names that version.

use crate::late_answer::{CONFIGURATION, ask};
use crate::site::{Folder, Record, gateways, ip, start_all};
use crate::store::Store;
use crate::worker::Worker;
use std::thread::sleep;
use std::time::Duration;

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let workers: Vec<Worker> = (1..=2)
        .map(|n| Worker::start(&format!("i-{n}"), (ip(251), 0).into(), 8, record))
        .collect();
    for worker in &workers {
        worker.register(&store, worker.address, 1);
    }
    let mut gateways = gateways(&folder.0, 1, at);
    start_all(&mut gateways, &store);
    let to = gateways[0].requests;
    for n in 0..10 {
        let _ = ask(to, format!("w{n}"), "e2-i1", record).join();
    }
    let mut again = workers[0].clone();
    if trouble {
        workers[0].crash();
        sleep(Duration::from_millis(300));
        again = Worker::start_as("v2", "i-1", workers[0].address, 8, record);
        record.note("i-1 has started again as v2");
        sleep(Duration::from_millis(100));
    }
    let asked: Vec<_> = (0..12)
        .map(|n| {
            sleep(Duration::from_millis(5));
            ask(to, format!("a{n}"), "e40-i10", record)
        })
        .collect();
    sleep(Duration::from_millis(400));
    if trouble {
        again.crash();
    }
    let mut mixed = 0;
    for answer in asked {
        let answer = answer.join().unwrap_or_default().text();
        let has = |version: &str| answer.contains(&format!("data: {version}."));
        if has("v1") && has("v2") {
            mixed += 1;
            record.note(format!("an answer of two versions: {}", answer.replace('\n', " ")));
        }
    }
    record.note(format!("{mixed} answers hold events of two versions"));
    mixed > 2
}
