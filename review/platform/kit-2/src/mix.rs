//! Random faults, for a search only: callers, jobs, workers that misbehave, restart and are
//! cut off, and gateways that are killed, stopped and frozen.

use crate::http::{Answer, call};
use crate::json::{base64, parse};
use crate::late_answer::headers;
use crate::proxy::Proxy;
use crate::site::{Folder, Gateway, HOST, Record, gateways_in, ip, start_all};
use crate::store::{Mode, Store};
use crate::worker::{Mischief, Worker, event, text};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"check","host":"desk.example","prefix":"/check/","kind":"stream","timeoutMs":5000,
 "sloMs":1000,"service":"lm","maxAttempts":3,"resumable":true,"gapTargetMs":300},
{"name":"note","host":"desk.example","prefix":"/note/","kind":"stream","timeoutMs":5000,
 "sloMs":1000,"service":"lm","maxAttempts":1,"resumable":false,"gapTargetMs":300},
{"name":"look","host":"desk.example","prefix":"/look/","kind":"safe","timeoutMs":5000,
 "sloMs":1000,"service":"lm","maxAttempts":3},
{"name":"buy","host":"desk.example","prefix":"/buy/","kind":"unsafe","timeoutMs":5000,
 "sloMs":1000,"service":"lm","maxAttempts":3},
{"name":"book","host":"desk.example","prefix":"/book/","kind":"batch","timeoutMs":15000,
 "sloMs":400,"service":"lm","maxAttempts":3,"cap":1800000,"runTargetMs":18000,"retentionS":60}],
"services":[{"name":"lm","healthPath":"/health","maxConns":230}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn var(name: &str, or: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|v| v.parse().ok())
        .unwrap_or(or)
}

fn whole(id: &str, events: u64) -> String {
    (1..=events).map(|n| event("v1", id, n)).collect()
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let seed = var("SEED", 1) * 7919 + 13;
    let faults =
        std::env::var("FAULTS").unwrap_or_else(|_| "worker,cut,gateway,store,mischief".into());
    let on = |name: &str| trouble && faults.split(',').any(|f| f == name);
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let mischief = |n: u64| Mischief {
        unframed: var("UNFRAMED", 30),
        second_answer: var("SECOND", 5),
        truncated: var("TRUNCATED", 5),
        lost: var("LOST", 3),
        refused: 3,
        seed: seed * 31 + n + 1,
    };
    let mut workers: Vec<(Worker, Proxy)> = (1..=5u64)
        .map(|n| {
            let worker = Worker::start(&format!("i-{n}"), (ip(251), 0).into(), 4, record);
            let proxy = Proxy::start((ip(252), 0).into(), worker.address);
            let address = if on("cut") {
                proxy.address
            } else {
                worker.address
            };
            worker.register(&store, address, 1_000);
            (worker, proxy)
        })
        .collect();
    let (mut gateways, mut keepers) = gateways_in(&folder.0, &["hall-a", "hall-b", "hall-c"], at);
    keepers.iter_mut().for_each(Gateway::start);
    start_all(&mut gateways, &store);
    if on("mischief") {
        for (n, (worker, _)) in workers.iter().enumerate() {
            *worker.mischief.lock().unwrap() = mischief(n as u64);
        }
    }
    let to: Vec<SocketAddr> = gateways.iter().map(|g| g.requests).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let broken = Arc::new(Mutex::new(Vec::<String>::new()));
    let began = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
    let fates = Arc::new(Mutex::new(HashMap::<String, u16>::new()));
    let served = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for caller in 0..10u64 {
        let (to, stop, broken, record) = (to.clone(), stop.clone(), broken.clone(), record.clone());
        let (fates, served) = (fates.clone(), served.clone());
        threads.push(thread::spawn(move || {
            let mut dice = Mischief {
                seed: seed * 101 + caller + 7,
                ..Mischief::default()
            };
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                let kind = ["check", "note", "look", "buy"]
                    [(dice.draw(50) as usize) * 2 + dice.draw(50) as usize];
                let id = format!("q{caller}.{n}.{kind}");
                let events = 5 + n % 20;
                let path = format!("/{kind}/e{events}-i1");
                let at = to[(n as usize + caller as usize) % to.len()];
                let answer = call(
                    at,
                    "POST",
                    &path,
                    &headers(&id, "4000"),
                    b"prompt",
                    Duration::from_secs(6),
                );
                fates.lock().unwrap().insert(id.clone(), answer.status);
                if answer.status == 200 && answer.complete {
                    served.fetch_add(1, Ordering::Relaxed);
                    let stamp = answer.header("x-server-stamp").to_owned();
                    if answer.text() != whole(&id, events) || stamp.is_empty() {
                        let text = format!(
                            "{id} {path}: complete 200, stamp {stamp:?}, got {:?}",
                            answer.text()
                        );
                        record.note(&text);
                        broken.lock().unwrap().push(text);
                    }
                }
                sleep(Duration::from_millis(20));
            }
        }));
    }
    let jobs = Arc::new(Mutex::new(Vec::<(String, usize)>::new()));
    {
        let (to, stop, jobs) = (to.clone(), stop.clone(), jobs.clone());
        threads.push(thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                n += 1;
                let id = format!("j{n}");
                let count = 8;
                let items: Vec<String> = (0..count)
                    .map(|i| format!("{{\"id\":\"{id}.{i}\",\"path\":\"/book/1/e40-i1\",\"headers\":{{\"X-Model\":\"m\",\"X-Token-Counts\":\"100,40\"}},\"body\":\"{}\",\"tokens\":140}}", base64(b"prompt")))
                    .collect();
                let body = format!("{{\"items\":[{}]}}", items.join(","));
                for attempt in 0..6 {
                    let at = to[(n + attempt) % to.len()];
                    let answer = call(at, "POST", &format!("/book/{id}"), &headers(&id, "4000"), body.as_bytes(), Duration::from_secs(5));
                    if answer.status == 202 {
                        jobs.lock().unwrap().push((id.clone(), count));
                        break;
                    }
                    sleep(Duration::from_millis(300));
                }
                sleep(Duration::from_millis(700));
            }
        }));
    }
    let ended = Arc::new(Mutex::new(HashMap::<String, Option<Instant>>::new()));
    {
        let (to, stop, jobs, ended) = (to.clone(), stop.clone(), jobs.clone(), ended.clone());
        threads.push(thread::spawn(move || {
            let mut n = 0;
            while !stop.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(2500));
                let job = jobs.lock().unwrap().last().cloned();
                let Some((job, _)) = job else { continue };
                n += 1;
                let path = format!("/v1/lots/{job}");
                let answer = call(
                    to[n % 3],
                    "DELETE",
                    &path,
                    &[("Host", HOST)],
                    b"",
                    Duration::from_secs(4),
                );
                let ack = (answer.status == 200).then(Instant::now);
                ended.lock().unwrap().insert(job, ack);
            }
        }));
    }
    let seen = Arc::new(Mutex::new(
        HashMap::<(String, usize), (String, Instant)>::new(),
    ));
    for reader in 0..3u64 {
        let (to, stop, jobs, seen, broken) = (
            to.clone(),
            stop.clone(),
            jobs.clone(),
            seen.clone(),
            broken.clone(),
        );
        let record = record.clone();
        threads.push(thread::spawn(move || {
            let mut dice = Mischief {
                seed: seed * 211 + reader + 5,
                ..Mischief::default()
            };
            while !stop.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(15));
                dice.draw(1);
                let job = {
                    let jobs = jobs.lock().unwrap();
                    let recent = jobs.len().min(12);
                    if recent == 0 {
                        continue;
                    }
                    jobs[jobs.len() - 1 - (dice.seed / 256 % recent as u64) as usize].clone()
                };
                let after = (dice.seed / 65536 % 8) as usize;
                let at = (dice.seed / 1024 % 3) as usize;
                let asked = Instant::now();
                let path = format!("/v1/lots/{}?after={after}", job.0);
                let answer = call(
                    to[at],
                    "GET",
                    &path,
                    &[("Host", HOST)],
                    b"",
                    Duration::from_secs(3),
                );
                if answer.status == 404 || answer.status == 410 {
                    let text = format!("{} read at gateway {}: {}", job.0, at + 1, answer.status);
                    record.note(&text);
                    broken.lock().unwrap().push(text);
                }
                if answer.status != 200 || !answer.complete {
                    continue;
                }
                let page = parse(&answer.body);
                let results = page.as_ref().map_or(&[][..], |p| p.get("results").list());
                let mut seen = seen.lock().unwrap();
                for (n, result) in results.iter().enumerate() {
                    let now = format!(
                        "{} {} {}",
                        result.get("id").text(),
                        result.get("state").text(),
                        result.get("text").text()
                    );
                    let before = seen
                        .entry((job.0.clone(), after + n))
                        .or_insert((now.clone(), Instant::now()));
                    if before.0 != now {
                        let text = format!("{} position {}: another result", job.0, after + n);
                        record.note(&text);
                        broken.lock().unwrap().push(text);
                    }
                }
                if results.is_empty() {
                    if let Some((_, first)) = seen.get(&(job.0.clone(), after)) {
                        if *first + Duration::from_secs(1) < asked {
                            let text = format!(
                                "{} position {after}: nothing at gateway {}",
                                job.0,
                                at + 1
                            );
                            record.note(&text);
                            broken.lock().unwrap().push(text);
                        }
                    }
                }
            }
        }));
    }
    let end = Instant::now() + Duration::from_secs(var("SECONDS", 40));
    let mut dice = Mischief {
        seed: seed * 17 + 3,
        ..Mischief::default()
    };
    let mut past = Vec::<Worker>::new();
    let mut born = 2_000;
    while Instant::now() < end {
        sleep(Duration::from_millis(400));
        if on("worker") && dice.draw(30) {
            let at = (dice.seed / 128 % 5) as usize;
            let (old, proxy) = workers[at].clone();
            let is_cut = on("cut") && dice.draw(50);
            proxy.cut(is_cut);
            record.note(format!("{} crashes, cut {is_cut}", old.id));
            old.crash();
            sleep(Duration::from_millis(50 + dice.seed % 400));
            let again = Worker::start(&old.id, old.address, 4, record);
            *again.mischief.lock().unwrap() = *old.mischief.lock().unwrap();
            proxy.cut(false);
            born += 1;
            let (store, registering, address) = (
                store.clone(),
                again.clone(),
                if on("cut") {
                    proxy.address
                } else {
                    again.address
                },
            );
            thread::spawn(move || {
                sleep(Duration::from_millis(600));
                registering.register(&store, address, born);
            });
            past.push(old);
            workers[at].0 = again;
        }
        if on("cut") && dice.draw(20) {
            let at = (dice.seed / 128 % 5) as usize;
            record.note(format!("{} is cut", workers[at].0.id));
            workers[at].1.cut(true);
            sleep(Duration::from_millis(100 + dice.seed % 900));
            workers[at].1.cut(false);
        }
        if on("store") && dice.draw(12) {
            record.note("store down");
            store.set(Mode::Down);
            sleep(Duration::from_millis(500 + dice.seed % 4000));
            store.set(Mode::Up);
        }
        if on("all") && dice.draw(8) {
            record.note("kill all");
            gateways
                .iter_mut()
                .chain(&mut keepers)
                .for_each(Gateway::kill);
            sleep(Duration::from_millis(900));
            keepers
                .iter_mut()
                .chain(&mut gateways)
                .for_each(Gateway::start);
            sleep(Duration::from_secs(3));
        }
        if on("keeper") && dice.draw(15) {
            let at = (dice.seed / 128 % 3) as usize;
            record.note(format!("kill {}", keepers[at].name));
            keepers[at].kill();
            sleep(Duration::from_millis(300));
            keepers[at].start();
        }
        if on("gateway") && dice.draw(15) {
            let at = (dice.seed / 128 % 3) as usize;
            let id = gateways[at].id() as i32;
            match dice.seed / 1024 % 3 {
                0 => {
                    record.note(format!("kill {}", gateways[at].name));
                    gateways[at].kill();
                    sleep(Duration::from_millis(300));
                    gateways[at].start();
                }
                1 => {
                    record.note(format!("term {}", gateways[at].name));
                    signal(id, "TERM");
                    let by = Instant::now() + Duration::from_secs(9);
                    while !gateways[at].has_ended() && Instant::now() < by {
                        sleep(Duration::from_millis(50));
                    }
                    gateways[at].kill();
                    gateways[at].start();
                }
                _ => {
                    record.note(format!("freeze {}", gateways[at].name));
                    signal(id, "STOP");
                    sleep(Duration::from_millis(500 + dice.seed % 5000));
                    signal(id, "CONT");
                }
            }
        }
        for gateway in &mut gateways {
            if gateway.has_ended() {
                broken
                    .lock()
                    .unwrap()
                    .push(format!("{} ended by itself", gateway.name));
                gateway.kill();
                gateway.start();
            }
        }
    }
    for (worker, proxy) in &workers {
        worker.mischief.lock().unwrap().seed = 0;
        proxy.cut(false);
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|t| drop(t.join()));
    record.note("calm");
    for worker in past.iter().chain(workers.iter().map(|(w, _)| w)) {
        for (id, _) in worker.began.lock().unwrap().iter() {
            *began.lock().unwrap().entry(id.clone()).or_default() += 1;
        }
    }
    let (began, fates) = (began.lock().unwrap(), fates.lock().unwrap());
    let runs_of = |id: &str| began.get(id).copied().unwrap_or(0);
    for (id, status) in fates.iter() {
        let is_once = id.ends_with("note") || id.ends_with("buy");
        let runs = runs_of(id);
        if is_once && (runs > 1 || (matches!(status, 429 | 503 | 408 | 421) && runs > 0)) {
            broken
                .lock()
                .unwrap()
                .push(format!("{id}: status {status} and {runs} runs"));
        }
    }
    let ended = ended.lock().unwrap();
    for worker in past.iter().chain(workers.iter().map(|(w, _)| w)) {
        for (id, at) in worker.began.lock().unwrap().iter() {
            let job = id.split('.').next().unwrap_or("");
            if let Some(Some(end)) = ended.get(job) {
                if *at > *end + Duration::from_secs(3) {
                    broken.lock().unwrap().push(format!(
                        "{id} began {:?} after the end of its job",
                        *at - *end
                    ));
                }
            }
        }
    }
    let by = Instant::now() + Duration::from_secs(25);
    for (id, count) in jobs.lock().unwrap().iter() {
        if ended.contains_key(id) {
            continue;
        }
        let mut n = 0;
        loop {
            n += 1;
            let path = format!("/v1/lots/{id}?after=0");
            let answer: Answer = call(
                to[n % to.len()],
                "GET",
                &path,
                &[("Host", HOST)],
                b"",
                Duration::from_secs(3),
            );
            let page = parse(&answer.body);
            let results = page.as_ref().map_or(&[][..], |p| p.get("results").list());
            if results.len() == *count {
                for result in results {
                    let (item, state, got) = (
                        result.get("id").text(),
                        result.get("state").text(),
                        result.get("text").text(),
                    );
                    if state != "completed" || got != text(item, 40) {
                        broken
                            .lock()
                            .unwrap()
                            .push(format!("{item}: {state}, {} lines", got.lines().count()));
                    }
                }
                break;
            }
            if Instant::now() > by {
                broken.lock().unwrap().push(format!(
                    "{id}: {} of {count} listed at the end, status {}",
                    results.len(),
                    answer.status
                ));
                break;
            }
            sleep(Duration::from_millis(100));
        }
    }
    let broken = broken.lock().unwrap();
    for text in broken.iter() {
        println!("{}", &text[..text.len().min(300)]);
    }
    println!(
        "served {}, jobs {}, broken {}",
        served.load(Ordering::Relaxed),
        jobs.lock().unwrap().len(),
        broken.len()
    );
    !broken.is_empty()
}

fn signal(id: i32, name: &str) {
    let _ = std::process::Command::new("kill")
        .args([&format!("-{name}"), &id.to_string()])
        .status();
}
