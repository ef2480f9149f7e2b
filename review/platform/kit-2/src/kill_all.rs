//! During a release all gateways and keepers are killed at the same moment. Callers take up
//! their streams again.

use crate::http::{open, read_answer};
use crate::late_answer::CONFIGURATION;
use crate::site::{Folder, Gateway, HOST, Record, gateways_in, ip, start_all, until};
use crate::store::Store;
use crate::worker::Worker;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

const WORKERS: usize = 12;
/// Workers that the release replaces: 0.42 of all.
const REPLACED: usize = 5;
/// Time between two of them.
const GAP: Duration = Duration::from_secs(1);
/// Attempts of a caller: the first one, and the one retry that the sheet gives.
const TRIES: usize = 2;
/// Pause of a caller after a broken channel.
const BACKOFF: Duration = Duration::from_millis(1_500);
/// How long a single version serves before the release: longer than callers may resume.
const BEFORE_RELEASE: Duration = Duration::from_secs(12);
/// Time until the killed processes start again.
const DOWN: Duration = Duration::from_millis(900);
/// Time limit of the callers.
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// How often this is played at most. Each round is judged by itself.
const ROUNDS: usize = 3;
/// Time between two new streams.
const PAUSE: Duration = Duration::from_millis(5);

/// The version and number of each event, in order.
fn events_of(text: &str) -> Vec<(String, u64)> {
    let events = text.split("\n\n").filter(|e| e.contains("data: "));
    events
        .filter_map(|event| {
            let id = event
                .lines()
                .find_map(|l| l.strip_prefix("id: "))?
                .parse()
                .ok()?;
            let data = event.lines().find_map(|l| l.strip_prefix("data: "))?;
            Some((data.split('.').next()?.to_owned(), id))
        })
        .collect()
}

/// Asks for a stream, and takes it up again after a broken channel, until the time limit.
fn follow(to: &[SocketAddr], n: usize, first_id: &str, record: &Record) -> Vec<(String, u64)> {
    let until = Instant::now() + TIME_LIMIT;
    let mut all = Vec::<(String, u64)>::new();
    let mut tries = 0;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(50) || tries == TRIES {
            return all;
        }
        let id = if tries == 0 {
            first_id.to_owned()
        } else {
            format!("{first_id}.{tries}")
        };
        let last = all.last().map(|(_, id)| id.to_string());
        let deadline = left.as_millis().to_string();
        let mut headers = vec![
            ("Host", HOST),
            ("X-Request-Id", &*id),
            ("X-Deadline-Ms", &*deadline),
        ];
        if let Some(last) = &last {
            headers.push(("Last-Event-Id", last));
            headers.push(("Resumes", first_id));
        }
        let at = to[(n + tries) % to.len()];
        tries += 1;
        let Some(stream) = open(at, "POST", "/check/e20-i1", &headers, b"prompt") else {
            sleep(Duration::from_millis(400));
            continue;
        };
        let answer = read_answer(stream, left);
        if answer.status != 200 {
            if tries > 1 {
                record.note(format!(
                    "{id} from event {last:?}: status {}",
                    answer.status
                ));
            }
            let after: f64 = answer.header("retry-after").parse().unwrap_or(0.1);
            sleep(Duration::from_secs_f64(
                after.clamp(0.05, left.as_secs_f64() / 3.0 + 0.05),
            ));
            continue;
        }
        let got = events_of(&answer.text());
        if last.is_some() {
            let versions: Vec<&str> = got.iter().map(|(v, _)| v.as_str()).collect();
            record.note(format!(
                "{id} goes on from event {last:?}: {} events of {:?}",
                got.len(),
                versions.first()
            ));
        }
        all.extend(got);
        if answer.complete {
            return all;
        }
        sleep(BACKOFF);
    }
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let folder = Folder::create();
    let (store, at) = Store::start((ip(250), 0).into());
    store.put("op/config", CONFIGURATION);
    let start = |version: usize, n: usize| {
        let (version, id) = (format!("v{version}"), format!("i-{version}-{n}"));
        let worker = Worker::start_as(&version, &id, (ip(251), 0).into(), 8, record);
        worker.register(&store, worker.address, 1);
        worker
    };
    let leave = |worker: &Worker| store.remove(&format!("servers/{}", worker.id));
    let mut workers: Vec<Worker> = (0..WORKERS).map(|n| start(1, n)).collect();
    let (mut gateways, mut keepers) = gateways_in(&folder.0, &["hall-a", "hall-b", "hall-c"], at);
    keepers.iter_mut().for_each(Gateway::start);
    start_all(&mut gateways, &store);
    let to: Vec<SocketAddr> = gateways.iter().map(|g| g.requests).collect();

    for round in 1..=ROUNDS {
        sleep(BEFORE_RELEASE);
        record.note(format!("a release to v{} begins", round + 1));
        for worker in workers.iter_mut().take(REPLACED) {
            let new = start(round + 1, worker.number());
            // The old one serves on for a while.
            leave(worker);
            *worker = new;
            sleep(GAP);
        }
        let callers = Callers::start(&to, round, record);
        sleep(Duration::from_millis(1_500));
        if trouble {
            record.note("all gateways and keepers are killed");
            gateways
                .iter_mut()
                .chain(&mut keepers)
                .for_each(Gateway::kill);
            sleep(DOWN);
            keepers
                .iter_mut()
                .chain(&mut gateways)
                .for_each(Gateway::start);
            record.note("they start again");
            until("gateways are ready", Duration::from_secs(20), || {
                gateways.iter().all(Gateway::is_ready)
            });
        }
        let mixed = callers.end(record);
        record.note(format!(
            "{mixed} streams of this round hold events of two versions"
        ));
        if mixed > 2 {
            return true;
        }
        for worker in workers.iter_mut().skip(REPLACED) {
            let new = start(round + 1, worker.number());
            leave(worker);
            *worker = new;
        }
    }
    false
}

/// Callers that begin a stream at each pause.
struct Callers {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<JoinHandle<Vec<(String, u64)>>>>,
}

impl Callers {
    fn start(to: &[SocketAddr], round: usize, record: &Record) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (to, record, ends) = (to.to_vec(), record.clone(), is_over.clone());
        let thread = thread::spawn(move || {
            let mut asked = Vec::new();
            while !ends.load(Ordering::Relaxed) {
                let (to, record, n) = (to.clone(), record.clone(), asked.len());
                let id = format!("a{round}.{n}");
                asked.push(thread::spawn(move || follow(&to, n, &id, &record)));
                sleep(PAUSE);
            }
            asked
        });
        Self { is_over, thread }
    }

    /// Ends the callers. Returns how many streams hold events of two versions.
    fn end(self, record: &Record) -> usize {
        self.is_over.store(true, Ordering::Relaxed);
        let mut mixed = 0;
        for (n, asked) in self
            .thread
            .join()
            .unwrap_or_default()
            .into_iter()
            .enumerate()
        {
            let events = asked.join().unwrap_or_default();
            let mut versions: Vec<&str> = events.iter().map(|(v, _)| v.as_str()).collect();
            versions.dedup();
            if versions.len() > 1 {
                mixed += 1;
                record.note(format!(
                    "stream {n}: events of {versions:?} in turn, {} in all",
                    events.len()
                ));
            }
        }
        mixed
    }
}
