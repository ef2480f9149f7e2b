//! The cases. Each exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.

use crate::http::{Seen, call};
use crate::json::{Json, base64, parse};
use crate::site::{HOST, Record, SIGKILL, SIGTERM, Site, WorkerPlan, signal, unix_ms};
use crate::worker::data;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

type Outcome = std::io::Result<usize>;

pub fn run(case: &str, path: &str) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::default();
    record.note(format!("case {case}, trouble {trouble}"));
    let outcome = match case {
        "crashing-workers" => crashing_workers(&record, trouble),
        "leaving-worker" => leaving_worker(&record, trouble),
        "late-in-stop" => late_in_stop(&record, trouble),
        "ended-in-outage" => ended_in_outage(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match &outcome {
        Ok(0) => {
            record.note("RULE HELD");
            0
        }
        Ok(broken) => {
            record.note(format!("RULE BROKEN, {broken} times"));
            1
        }
        Err(e) => {
            record.note(format!("the case could not run: {e}"));
            2
        }
    };
    if let Err(e) = record.write(path) {
        eprintln!("record not written: {e}");
        return ExitCode::from(2);
    }
    println!("{case}: {outcome:?}, exit {code}");
    ExitCode::from(code)
}

/// One attempt of a requester.
#[derive(Clone)]
struct Attempt {
    id: String,
    route: &'static str,
    gateway: usize,
    sent: u128,
    seen: Seen,
}

impl Attempt {
    /// The ids of the events that came, if all of them are whole and the request's own.
    fn events(&self) -> Option<Vec<u64>> {
        let text = String::from_utf8_lossy(&self.seen.body).into_owned();
        let mut ids = Vec::new();
        let mut rest = text.as_str();
        while let Some((event, after)) = rest.split_once("\n\n") {
            let (id, line) = event.split_once('\n')?;
            let id: u64 = id.strip_prefix("id: ")?.parse().ok()?;
            if line.strip_prefix("data: ")? != data(&self.id, id) {
                return None;
            }
            ids.push(id);
            rest = after;
        }
        Some(ids)
    }

    fn text(&self) -> String {
        let events = self.events();
        let shown = events.map_or("not readable".to_owned(), |e| {
            format!("{} events, last {}", e.len(), e.last().unwrap_or(&0))
        });
        let end = if self.seen.complete {
            "complete".to_owned()
        } else {
            format!("cut: {}", self.seen.error)
        };
        format!(
            "requester: {} {} at front-hall-{} -> {} after {} ms, {shown}, {end}",
            self.id,
            self.route,
            self.gateway + 1,
            self.seen.status,
            self.seen.took.as_millis()
        )
    }
}

/// Sends one request on a new channel.
fn ask(
    record: &Record,
    to: SocketAddr,
    gateway: usize,
    route: &'static str,
    id: String,
) -> Attempt {
    let path = format!("/{route}/{id}");
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", &id),
        ("X-Deadline-Ms", "5000"),
        ("X-Model", "m"),
        ("X-Token-Counts", "450,216"),
    ];
    let sent = unix_ms();
    record.note_at(
        sent,
        format!("requester: {id} {route} sent to front-hall-{}", gateway + 1),
    );
    let seen = call(
        to,
        "POST",
        &path,
        &headers,
        b"prompt",
        Duration::from_secs(5),
    );
    let attempt = Attempt {
        id,
        route,
        gateway,
        sent,
        seen,
    };
    record.note(attempt.text());
    attempt
}

/// ORDER: a worker is taken away while it still runs streams.
fn leaving_worker(record: &Record, trouble: bool) -> Outcome {
    const EVENTS: u64 = 27;
    let plan = WorkerPlan {
        slots: 8,
        events: EVENTS,
        interval_ms: 140,
        unframed: true,
    };
    let mut site = Site::start(record.clone(), 3, 7, &plan)?;
    thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let notice_at = Duration::from_secs(4);
    let gone_at = notice_at + Duration::from_secs(2);
    let mut threads = Vec::new();
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut leaving = None;
    let mut is_gone = false;
    for n in 0..100_usize {
        let due = Duration::from_millis(100) * u32::try_from(n).unwrap_or(0);
        thread::sleep(due.saturating_sub(began.elapsed()));
        if trouble && leaving.is_none() && began.elapsed() >= notice_at {
            let at = busiest(record, &site);
            site.register(at, "draining", 2);
            record.note(format!("worker {} reports draining", site.workers[at].id));
            leaving = Some(at);
        }
        if let Some(at) = leaving
            && !is_gone
            && began.elapsed() >= gone_at
        {
            signal(&site.workers[at].process.child, SIGKILL);
            record.note(format!("worker {} is gone", site.workers[at].id));
            is_gone = true;
        }
        let gateway = n % site.gateways.len();
        let route = if n % 2 == 0 { "note" } else { "check" };
        let (to, record, all) = (site.gateways[gateway].requests, record.clone(), all.clone());
        threads.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + n as u64);
            let attempt = ask(&record, to, gateway, route, id);
            all.lock().expect("attempts").push(attempt);
        }));
    }
    if let Some(at) = leaving {
        let id = site.workers[at].id.clone();
        site.remove(&format!("servers/{id}"));
    }
    for one in threads {
        let _ = one.join();
    }
    site.gateways.clear();
    let all = all.lock().expect("attempts").clone();
    let served = all.iter().filter(|a| a.seen.status == 200).count();
    record.note(format!("{} attempts, {served} answered 200", all.len()));
    if served < all.len() / 2 {
        return Err(std::io::Error::other("less than half was served"));
    }
    let mut broken = 0;
    for attempt in all.iter().filter(|a| a.seen.status == 200) {
        let events = attempt.events();
        let whole: Vec<u64> = (1..=EVENTS).collect();
        let is_whole = events.as_ref() == Some(&whole);
        let is_prefix = events.is_some_and(|e| whole.starts_with(&e));
        if (attempt.seen.complete && !is_whole) || !is_prefix {
            broken += 1;
            record.note(format!("ORDER broken: {}", attempt.text()));
        }
    }
    Ok(broken)
}

/// The worker where most runs began in the last second.
fn busiest(record: &Record, site: &Site) -> usize {
    let since = unix_ms().saturating_sub(1200);
    let lines = record.lines();
    let runs = |id: &str| {
        let begun = format!("worker: run worker={id} ");
        let found = lines
            .iter()
            .filter(|(at, l)| *at >= since && l.starts_with(&begun));
        found.count()
    };
    (0..site.workers.len())
        .max_by_key(|n| runs(&site.workers[*n].id))
        .unwrap_or(0)
}

/// Time between two SIGTERMs, as on a standard day of ceol-rental (`trouble-2`).
const STOP_GAP: Duration = Duration::from_secs(2);

/// LOST: requests that reach a stopping gateway.
fn late_in_stop(record: &Record, trouble: bool) -> Outcome {
    let plan = WorkerPlan {
        slots: 8,
        events: 27,
        interval_ms: 150,
        unframed: false,
    };
    let grace = Duration::from_secs(8);
    let mut site = Site::start(record.clone(), 3, 12, &plan)?;
    thread::sleep(Duration::from_secs(4));
    let balancer = Arc::new(Mutex::new(vec![0_u32; site.gateways.len()]));
    let done = Arc::new(Mutex::new(false));
    let mut probes = Vec::new();
    for (n, gateway) in site.gateways.iter().enumerate() {
        let (readiness, balancer, done) = (gateway.readiness, balancer.clone(), done.clone());
        let record = record.clone();
        probes.push(thread::spawn(move || {
            while !*done.lock().expect("done") {
                let begun = Instant::now();
                let limit = Duration::from_secs(1);
                let seen = call(readiness, "GET", "/v1/ready", &[("Host", HOST)], b"", limit);
                let mut misses = balancer.lock().expect("misses");
                let before = misses[n];
                misses[n] = if seen.status == 200 { 0 } else { before + 1 };
                let (was, is) = (before < 2, misses[n] < 2);
                drop(misses);
                if was != is {
                    let what = if is { "back in" } else { "out of" };
                    record.note(format!("balancer: front-hall-{} {what} rotation", n + 1));
                }
                thread::sleep(Duration::from_secs(1).saturating_sub(begun.elapsed()));
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    let stop_at = Duration::from_secs(4);
    let mut stopped: Vec<Option<(u128, Instant)>> = vec![None; site.gateways.len()];
    let mut restarted = vec![false; site.gateways.len()];
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut threads = Vec::new();
    for n in 0..200_usize {
        let due = Duration::from_millis(100) * u32::try_from(n).unwrap_or(0);
        thread::sleep(due.saturating_sub(began.elapsed()));
        if trouble {
            for at in 0..site.gateways.len() {
                let stops_at = stop_at + STOP_GAP * u32::try_from(at).unwrap_or(0);
                if stopped[at].is_none()
                    && began.elapsed() >= stops_at
                    && let Some(process) = &site.gateways[at].process
                {
                    signal(&process.child, SIGTERM);
                    stopped[at] = Some((unix_ms(), Instant::now()));
                    record.note(format!("platform: SIGTERM to front-hall-{}", at + 1));
                }
                let Some((_, since)) = stopped[at] else {
                    continue;
                };
                if !restarted[at] && site.gateways[at].has_ended() {
                    record.note(format!(
                        "platform: front-hall-{} ended {} ms after SIGTERM, starts again",
                        at + 1,
                        since.elapsed().as_millis()
                    ));
                    restarted[at] = true;
                    site.gateways[at].start()?;
                } else if !restarted[at] && since.elapsed() > grace {
                    record.note(format!("platform: SIGKILL to front-hall-{}", at + 1));
                    site.gateways[at].process = None;
                }
            }
        }
        // New channels go to the daemons in rotation, or to all of the zone if these are
        // fewer than half, by a hash of the requester.
        let misses = balancer.lock().expect("misses").clone();
        let ready: Vec<usize> = (0..misses.len()).filter(|g| misses[*g] < 2).collect();
        let to_use = if ready.len() * 2 < misses.len() {
            (0..misses.len()).collect()
        } else {
            ready
        };
        let gateway = to_use[n.wrapping_mul(2_654_435_761) / 7 % to_use.len()];
        let (to, record, all) = (site.gateways[gateway].requests, record.clone(), all.clone());
        threads.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x9c41_d07b_e2a3_0000_u64 + n as u64);
            let attempt = ask(&record, to, gateway, "note", id);
            all.lock().expect("attempts").push(attempt);
        }));
    }
    for one in threads {
        let _ = one.join();
    }
    *done.lock().expect("done") = true;
    for one in probes {
        let _ = one.join();
    }
    let all = all.lock().expect("attempts").clone();
    let served = all.iter().filter(|a| a.seen.status == 200).count();
    let whole = all
        .iter()
        .filter(|a| a.seen.status == 200 && a.seen.complete);
    record.note(format!(
        "{} attempts, {served} answered 200, {} complete",
        all.len(),
        whole.count()
    ));
    if served < all.len() / 2 {
        return Err(std::io::Error::other("less than half was served"));
    }
    let lines = record.lines();
    let mut broken = 0;
    for attempt in all.iter().filter(|a| !a.seen.complete) {
        let Some((stop, _)) = stopped[attempt.gateway] else {
            record.note(format!("cut without a stop: {}", attempt.text()));
            broken += 1;
            continue;
        };
        let passed_on = format!("request={} ", attempt.id);
        let has_run = lines
            .iter()
            .any(|(_, l)| l.starts_with("worker: run") && l.contains(&passed_on));
        let after = i128::try_from(attempt.sent).unwrap_or(0) - i128::try_from(stop).unwrap_or(0);
        let in_time = attempt.seen.took < Duration::from_millis(4900);
        // Planned work lasts until 1 s after the grace time. A request that was sent no
        // later than 3 s after SIGTERM is excused if its worker was still at work in the
        // last sixth of the grace time.
        let is_due = (3001..9000).contains(&after);
        if has_run && in_time && is_due {
            broken += 1;
            record.note(format!(
                "LOST broken, sent {after} ms after SIGTERM: {}",
                attempt.text()
            ));
        } else {
            record.note(format!(
                "excused, sent {after} ms after SIGTERM, run {has_run}: {}",
                attempt.text()
            ));
        }
    }
    Ok(broken)
}

/// A batch job, and what its reader has read.
#[derive(Clone)]
struct Lot {
    id: String,
    /// The daemon that accepted it.
    gateway: usize,
    /// Results by position, as read.
    read: BTreeMap<usize, String>,
}

/// Batch jobs of a round, and items of each.
const LOTS: usize = 18;
const ITEMS: usize = 16;
/// The usual length of `platform_down`.
const OUTAGE: Duration = Duration::from_secs(5);

fn lot_body(id: &str) -> String {
    let items: Vec<String> = (0..ITEMS)
        .map(|n| {
            let item = item_id(id, n);
            let body = base64(item.as_bytes());
            format!(
                "{{\"id\":\"{item}\",\"path\":\"/book/{item}\",\"headers\":{{\"X-Model\":\"m\",\"X-Token-Counts\":\"350,160\"}},\"body\":\"{body}\",\"tokens\":510}}"
            )
        })
        .collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

fn item_id(lot: &str, n: usize) -> String {
    format!("{}{n:04x}", &lot[4..])
}

/// One read of a lot; the results by position, or the status if it was not 200.
fn read_lot(
    to: SocketAddr,
    id: &str,
    after: usize,
    wait_ms: u32,
) -> Result<Vec<(usize, String)>, u16> {
    let path = format!("/v1/lots/{id}?after={after}");
    let wait = wait_ms.to_string();
    let headers = [("Host", HOST), ("X-Wait-Ms", wait.as_str())];
    let seen = call(to, "GET", &path, &headers, b"", Duration::from_millis(2500));
    if seen.status != 200 || !seen.complete {
        return Err(seen.status);
    }
    let json = parse(&String::from_utf8_lossy(&seen.body)).unwrap_or(Json::Null);
    let results = json.get("results").list().iter().enumerate();
    let text = |r: &Json| {
        let (id, state) = (r.get("id").text(), r.get("state").text());
        format!("{id} {state} {}", r.get("text").text().replace('\n', "|"))
    };
    Ok(results.map(|(n, r)| (after + n, text(r))).collect())
}

fn end_lot(record: &Record, to: SocketAddr, gateway: usize, id: &str) -> u16 {
    let headers = [("Host", HOST)];
    let limit = Duration::from_secs(4);
    let seen = call(
        to,
        "DELETE",
        &format!("/v1/lots/{id}"),
        &headers,
        b"",
        limit,
    );
    record.note(format!(
        "requester: end of {id} at front-hall-{} -> {}",
        gateway + 1,
        seen.status
    ));
    seen.status
}

/// LOST: batch jobs are ended while the store is down; results that were read must come
/// again. The same happens in several rounds, one outage each.
fn ended_in_outage(record: &Record, trouble: bool) -> Outcome {
    const ROUNDS: usize = 4;
    let plan = WorkerPlan {
        slots: 8,
        events: 20,
        interval_ms: 50,
        unframed: false,
    };
    let site = Site::start(record.clone(), 3, 12, &plan)?;
    thread::sleep(Duration::from_secs(5));
    let addresses: Vec<SocketAddr> = site.gateways.iter().map(|g| g.requests).collect();
    let done = Arc::new(Mutex::new(false));
    let mut readers = Vec::new();
    for round in 0..ROUNDS {
        let began = Instant::now();
        let pause_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
        let lots = submit_lots(record, &addresses, round);
        if lots.len() < LOTS / 2 {
            return Err(std::io::Error::other("less than half was accepted"));
        }
        // A reader for each batch job, at the daemon that accepted it.
        for lot in lots.clone() {
            let (to, done, record) = (addresses[lot.gateway], done.clone(), record.clone());
            readers.push(thread::spawn(move || follow_lot(&record, to, lot, &done)));
        }
        let down = Duration::from_millis(1800);
        pause_until(down);
        if trouble {
            site.set_store_down(true);
        }
        pause_until(down + Duration::from_millis(900));
        // Each requester ends its batch job, and tries once more at another daemon.
        let mut ending = Vec::new();
        for lot in &lots {
            let (lot, record, addresses) = (lot.clone(), record.clone(), addresses.clone());
            ending.push(thread::spawn(move || {
                if end_lot(&record, addresses[lot.gateway], lot.gateway, &lot.id) != 200 {
                    thread::sleep(Duration::from_millis(300));
                    let other = (lot.gateway + 1) % addresses.len();
                    end_lot(&record, addresses[other], other, &lot.id);
                }
            }));
        }
        for one in ending {
            let _ = one.join();
        }
        pause_until(down + OUTAGE);
        if trouble {
            site.set_store_down(false);
        }
        pause_until(down + OUTAGE + Duration::from_secs(6));
    }
    // The store has been calm for 6 s, and all machines with it.
    thread::sleep(Duration::from_secs(6));
    *done.lock().expect("done") = true;
    let lots: Vec<Lot> = readers.into_iter().filter_map(|r| r.join().ok()).collect();
    let mut broken = 0;
    for lot in &lots {
        for (gateway, to) in addresses.iter().enumerate() {
            broken += usize::from(!comes_again(record, &site, *to, gateway, lot));
        }
    }
    Ok(broken)
}

/// Sends the batch jobs of a round, all at once, and gives those that were accepted.
fn submit_lots(record: &Record, addresses: &[SocketAddr], round: usize) -> Vec<Lot> {
    let mut submitting = Vec::new();
    for n in 0..LOTS {
        let (record, gateway) = (record.clone(), n % addresses.len());
        let to = addresses[gateway];
        submitting.push(thread::spawn(move || {
            let number = 0x0001_0000 * round as u64 + 0x0101 * n as u64;
            let id = format!("{:016x}", 0x7c41_e09b_5200_0000_u64 + number);
            let headers = [
                ("Host", HOST),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "4000"),
                ("Content-Type", "application/json"),
            ];
            let path = format!("/book/{id}");
            let (body, limit) = (lot_body(&id), Duration::from_secs(4));
            let seen = call(to, "POST", &path, &headers, body.as_bytes(), limit);
            record.note(format!(
                "requester: {id} with {ITEMS} items to front-hall-{} -> {}",
                gateway + 1,
                seen.status
            ));
            (seen.status == 202).then_some(Lot {
                id,
                gateway,
                read: BTreeMap::new(),
            })
        }));
    }
    let lots = submitting.into_iter();
    lots.filter_map(|t| t.join().ok().flatten()).collect()
}

/// Reads a batch job about twice a second until the end.
fn follow_lot(record: &Record, to: SocketAddr, mut lot: Lot, done: &Mutex<bool>) -> Lot {
    while !*done.lock().expect("done") {
        if let Ok(results) = read_lot(to, &lot.id, lot.read.len(), 1000) {
            for (position, text) in results {
                let shown = &text[..text.len().min(40)];
                record.note(format!("reader: {} position {position} is {shown}", lot.id));
                lot.read.insert(position, text);
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    lot
}

/// Whether all results of a batch job that its reader had come again at a daemon.
fn comes_again(record: &Record, site: &Site, to: SocketAddr, gateway: usize, lot: &Lot) -> bool {
    let mut now: BTreeMap<usize, String> = BTreeMap::new();
    let mut failures = 0;
    while failures < 5 {
        match read_lot(to, &lot.id, now.len(), 0) {
            Ok(results) if results.is_empty() => break,
            Ok(results) => now.extend(results),
            Err(status) => {
                failures += 1;
                let name = gateway + 1;
                record.note(format!(
                    "reader: {} at front-hall-{name} -> {status}",
                    lot.id
                ));
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
    let had = lot.read.iter();
    let lost: Vec<usize> = had
        .filter(|(at, text)| now.get(*at) != Some(text))
        .map(|(at, _)| *at)
        .collect();
    let line = format!(
        "{} at front-hall-{}: {} results had been read, {} come again",
        lot.id,
        gateway + 1,
        lot.read.len(),
        lot.read.len() - lost.len()
    );
    if lost.is_empty() {
        record.note(format!("held: {line}"));
        return true;
    }
    let stored = site.count(&format!("job/out/{}/", lot.id));
    record.note(format!(
        "LOST broken: {line}, missing positions {lost:?}; the store holds {stored} writes of results"
    ));
    false
}

/// MIXED: workers crash while they run items of batch jobs.
fn crashing_workers(record: &Record, trouble: bool) -> Outcome {
    const EVENTS: u64 = 40;
    const WAVES: usize = 7;
    let plan = WorkerPlan {
        slots: 8,
        events: EVENTS,
        interval_ms: 50,
        unframed: true,
    };
    let mut site = Site::start(record.clone(), 3, 12, &plan)?;
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<SocketAddr> = site.gateways.iter().map(|g| g.requests).collect();
    let done = Arc::new(Mutex::new(false));
    let mut readers = Vec::new();
    let mut others: Vec<Vec<TcpStream>> = Vec::new();
    for worker in &site.workers {
        others.push(hold_channels(worker.address)?);
    }
    let began = Instant::now();
    let mut down: Option<(Instant, [usize; 2])> = None;
    let mut crashes = 0;
    for wave in 0..WAVES {
        let lots = submit_lots(record, &addresses, wave);
        if lots.len() < LOTS / 2 {
            return Err(std::io::Error::other("less than half was accepted"));
        }
        for lot in lots {
            let (to, done, record) = (addresses[lot.gateway], done.clone(), record.clone());
            readers.push(thread::spawn(move || follow_lot(&record, to, lot, &done)));
        }
        // Two of twelve workers crash at once, and are back as new ones 4.5 s later.
        let next = WAVE * u32::try_from(wave + 1).unwrap_or(0);
        while began.elapsed() < next {
            thread::sleep(Duration::from_millis(20));
            let into = WAVE.saturating_sub(next.saturating_sub(began.elapsed()));
            if trouble && down.is_none() && crashes == wave / 2 && wave % 2 == 0 && into > CRASH_AT
            {
                let at = [crashes * 2, crashes * 2 + 1];
                for n in at {
                    signal(&site.workers[n].process.child, SIGKILL);
                    record.note(format!("worker {} crashes", site.workers[n].id));
                }
                down = Some((Instant::now(), at));
                crashes += 1;
            }
            let Some((since, at)) = down else { continue };
            if since.elapsed() > Duration::from_millis(4500) {
                for n in at {
                    site.remove(&format!("servers/{}", site.workers[n].id));
                    let number = 100 + crashes * 2 + n;
                    site.restart_worker(n, number, &plan)?;
                    others[n] = hold_channels(site.workers[n].address)?;
                    record.note(format!("worker {} is new", site.workers[n].id));
                }
                down = None;
            }
        }
    }
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(18) {
        thread::sleep(Duration::from_millis(500));
    }
    *done.lock().expect("done") = true;
    let lots: Vec<Lot> = readers.into_iter().filter_map(|r| r.join().ok()).collect();
    let listed: usize = lots.iter().map(|l| l.read.len()).sum();
    let sent = lots.len() * ITEMS;
    record.note(format!("{listed} results of {sent} items were read"));
    if listed < sent / 2 {
        return Err(std::io::Error::other("less than half was done"));
    }
    let mut broken = 0;
    for lot in &lots {
        for (position, text) in &lot.read {
            let mut words = text.splitn(3, ' ');
            let mut word = || words.next().unwrap_or("");
            let (item, state, output) = (word(), word(), word());
            let whole: Vec<String> = (1..=EVENTS).map(|e| data(item, e)).collect();
            if state == "completed" && output != whole.join("|") {
                broken += 1;
                let events = output.split('|').count();
                record.note(format!(
                    "MIXED broken: {} position {position}, {item} is completed with {events} of {EVENTS} events",
                    lot.id
                ));
            }
        }
    }
    Ok(broken)
}

/// Channels that other callers keep open at each worker, which takes 230.
const OTHER_CHANNELS: usize = 120;

fn hold_channels(to: SocketAddr) -> std::io::Result<Vec<TcpStream>> {
    let limit = Duration::from_secs(1);
    let until = Instant::now() + Duration::from_secs(5);
    while TcpStream::connect_timeout(&to, limit).is_err() && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    (0..OTHER_CHANNELS)
        .map(|_| TcpStream::connect_timeout(&to, limit))
        .collect()
}

/// Time between two waves of batch jobs, and from a wave to the crash in it.
const WAVE: Duration = Duration::from_secs(4);
const CRASH_AT: Duration = Duration::from_millis(1500);
