//! One worker of ten goes down and up by turns. It is back with another version of its
//! software under its id, and down again before its entry names that version.

use crate::late_answer::{CONFIGURATION, ask};
use crate::site::{Folder, Record, gateways, ip, start_all};
use crate::store::Store;
use crate::worker::Worker;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const WORKERS: usize = 10;
/// Half of the period in which the worker goes down and up.
const HALF_PERIOD: Duration = Duration::from_millis(700);
/// For how long it does so.
const FLAPPING: Duration = Duration::from_millis(6_500);
/// Time from a worker's start until its entry says so.
const ENTRY_LAG: Duration = Duration::from_millis(800);
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(10);
/// Silence after which the store removes a worker's entry: three heartbeats.
const SILENCE: Duration = Duration::from_millis(3_600);

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let workers: Vec<Worker> = (1..=WORKERS)
        .map(|n| Worker::start(&format!("i-{n}"), (ip(251), 0).into(), 8, record))
        .collect();
    for worker in &workers {
        worker.register(&store, worker.address, 1);
    }
    let mut gateways = gateways(&folder.0, 1, at);
    start_all(&mut gateways, &store);
    let to = gateways[0].requests;

    let is_over = Arc::new(AtomicBool::new(false));
    let (is_over_for_callers, record_of_callers) = (is_over.clone(), record.clone());
    let callers = thread::spawn(move || {
        let mut asked = Vec::new();
        while !is_over_for_callers.load(Ordering::Relaxed) {
            asked.push(ask(
                to,
                format!("a{}", asked.len()),
                "e27-i1",
                &record_of_callers,
            ));
            sleep(PAUSE);
        }
        asked
    });
    sleep(Duration::from_secs(1));
    let until = Instant::now() + FLAPPING;
    let mut worker = workers[0].clone();
    if trouble {
        let (store, key) = (store.clone(), format!("servers/{}", worker.id));
        let record = record.clone();
        thread::spawn(move || {
            sleep(SILENCE);
            store.remove(&key);
            record.note("the silent worker's entry is removed");
        });
    }
    while trouble && Instant::now() < until {
        worker.crash();
        sleep(HALF_PERIOD);
        worker = Worker::start_as("v2", &worker.id, worker.address, 8, record);
        record.note(format!("{} has started again as v2", worker.id));
        let (store, registering, record) = (store.clone(), worker.clone(), record.clone());
        thread::spawn(move || {
            sleep(ENTRY_LAG);
            if registering.is_up() {
                registering.register(&store, registering.address, 2);
            } else {
                record.note(format!(
                    "{} is down before its entry is written",
                    registering.id
                ));
            }
        });
        sleep(HALF_PERIOD);
    }
    sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::Relaxed);
    let mut mixed = 0;
    for answer in callers.join().unwrap_or_default() {
        let answer = answer.join().unwrap_or_default().text();
        let count = |version: &str| answer.matches(&format!("data: {version}.")).count();
        let (first, second) = (count("v1"), count("v2"));
        if first > 0 && second > 0 {
            mixed += 1;
            let id = answer.lines().nth(1).unwrap_or("");
            record.note(format!(
                "answer of {id}: {second} events of v2 and {first} of v1"
            ));
        }
    }
    record.note(format!("{mixed} answers hold events of two versions"));
    mixed > 2
}
