//! Several gateways' boards and jobs in one loop, without network: the loop starts, preempts
//! and ends items, and hands each board what the other gateways report.

use bluebellreel_batch::{
    Forecast, ItemEnd, ItemPhase, Job, JobPhase, JobRecord, NewItem, Owner, WaitingItems,
    count_waiting, next_item, next_item_by_forecast,
};
use bluebellreel_dispatch::{
    Attempt, BatchRun, Board, Catalog, Class, Demand, PeerLoad, PeerRuns, PlacementLimits, Query,
    Ticket, WorkerRecord, WorkerState, batch_to_yield_by, place_batch,
};
use bluebellreel_types::{DataCentre, EntryName, Incarnation, JobId, Moment, WorkerName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const SLOTS: u32 = 8;
const TICK: Duration = Duration::from_millis(20);
const EVENT: Duration = Duration::from_millis(30);
const PREFILL: Duration = Duration::from_millis(20);
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
const EPOCH: Moment = Moment(1_000_000_000);

/// What is simulated.
#[derive(Clone, Copy)]
pub struct Load {
    pub gateways: usize,
    pub workers: usize,
    /// Items of each job; jobs are due after `due_after`.
    pub job_items: usize,
    pub due_after: Duration,
    /// First and last second of each wave of jobs, and items submitted in each second.
    pub waves: &'static [(u64, u64, u32)],
    /// Whether a fifth of the workers is unresponsive for 4.5 s.
    pub unresponsive: bool,
    pub lasts: Duration,
    /// Gateways that decide by deadlines; the others are of the previous build.
    pub by_deadlines: fn(usize) -> bool,
    /// A gateway that is silent from 8 s on, as if it had died.
    pub silent: Option<usize>,
}

/// What came of the items.
#[derive(Debug, Default)]
pub struct Outcome {
    pub in_time: usize,
    pub late: usize,
    pub items: usize,
    pub preempted: usize,
    /// Longest time for which slots beyond the reserve were free while items waited.
    pub longest_idle: Duration,
}

struct Run {
    worker: usize,
    ticket: Ticket,
    next_event: Moment,
}

struct Gateway {
    name: EntryName,
    board: Board,
    jobs: Vec<Job>,
    forecast: Forecast,
    runs: BTreeMap<(usize, usize), Run>,
    online: Vec<Ticket>,
    by_deadlines: bool,
}

fn worker(n: usize) -> WorkerName {
    WorkerName::from(format!("w-{n}"))
}

fn place(n: usize) -> DataCentre {
    DataCentre::from(["a", "b", "c"][n % 3])
}

impl Gateway {
    fn new(n: usize, load: &Load) -> Self {
        let mut catalog = Catalog::default();
        for at in 0..load.workers {
            let record = WorkerRecord {
                id: worker(at),
                boot: None,
                version: None,
                service: Arc::from("lm"),
                address: "10.0.0.1:80".parse().expect("an address"),
                data_centre: place(at),
                slots: SLOTS,
                state: WorkerState::Ready,
            };
            catalog.put(1, record);
        }
        let mut board = Board::new(place(n), PlacementLimits::default());
        board.apply_catalog(&catalog);
        for peer in (0..load.gateways).filter(|peer| *peer != n) {
            board.note_data_centre(&EntryName::from(format!("g-{peer}")), place(peer));
        }
        Self {
            name: EntryName::from(format!("g-{n}")),
            board,
            jobs: Vec::new(),
            forecast: Forecast::default(),
            runs: BTreeMap::new(),
            online: Vec::new(),
            by_deadlines: (load.by_deadlines)(n),
        }
    }

    fn waiting(&self, now: Moment) -> WaitingItems {
        let mut waiting = WaitingItems::default();
        for job in &self.jobs {
            let of_job = count_waiting(job, &self.forecast, now, now);
            waiting.in_time += of_job.in_time;
            waiting.late += of_job.late;
        }
        waiting
    }

    fn start_items(&mut self, now: Moment) {
        if self.by_deadlines {
            let waiting = self.waiting(now);
            let demand = Demand::new(waiting.in_time, waiting.late);
            self.board.demands.set_own(demand);
            self.board.note_free_slots(now);
        }
        loop {
            let found = if self.by_deadlines {
                next_item_by_forecast(self.jobs.iter(), &self.forecast, now, |_, _| true)
            } else {
                next_item(self.jobs.iter(), now)
            };
            let Some(found) = found else { return };
            let job = self.jobs.iter().position(|j| j.id == found.job);
            let job = job.expect("an own job");
            if self.by_deadlines && !self.can_be_in_time((job, found.item), now) {
                let waiting = self.waiting(now);
                let demand = Demand::new(0, waiting.in_time + waiting.late);
                self.board.demands.set_own(demand);
            }
            let query = Query {
                service: "lm",
                version: None,
                avoid: &[],
                attempt: Attempt::Repeatable,
                max_wait: Duration::ZERO,
                salt: 0,
                now,
            };
            let Some(at) = place_batch(&self.board, &query, &self.name) else {
                return;
            };
            let item = &mut self.jobs[job].items[found.item];
            item.phase = ItemPhase::Running;
            item.timing.start(item.progress.events(), now);
            let run = Run {
                worker: at.as_str()[2..].parse().expect("a number"),
                ticket: self.board.start(&at, Class::Batch),
                next_event: now + PREFILL,
            };
            self.runs.insert((job, found.item), run);
        }
    }

    fn can_be_in_time(&self, key: (usize, usize), now: Moment) -> bool {
        let job = &self.jobs[key.0];
        let events = job.items[key.1].progress.events();
        let (route, due_at) = (&job.record.route, job.record.due_at);
        self.forecast.can_be_in_time(route, events, due_at, now)
    }

    fn end(&mut self, key: (usize, usize), end: ItemEnd, now: Moment) {
        let run = self.runs.remove(&key).expect("a run");
        self.board.end(&run.ticket);
        self.jobs[key.0].end_run(key.1, end, u32::MAX, now);
    }

    /// Returns the number of preempted runs.
    fn preempt(&mut self, now: Moment) -> usize {
        let runs = self.runs.iter().map(|(key, run)| {
            let job = &self.jobs[key.0];
            let events = job.items[key.1].progress.events();
            let (route, due_at) = (&job.record.route, job.record.due_at);
            let order = self.by_deadlines.then(|| {
                (
                    self.forecast.is_nearly_done(route, events),
                    self.can_be_in_time(*key, now),
                    Reverse(due_at),
                )
            });
            BatchRun {
                key: (*key, order),
                worker: run.ticket.worker.clone(),
                events,
            }
        });
        let runs: Vec<_> = runs.collect();
        let yields = batch_to_yield_by(&self.board, &runs, |run| (run.key.1, run.events));
        for (key, _) in &yields {
            self.end(*key, ItemEnd::Interrupted(now), now);
        }
        yields.len()
    }

    /// Generates events; returns how many items completed in time and late.
    fn generate(&mut self, now: Moment, is_silent: impl Fn(usize) -> bool) -> (usize, usize) {
        let (mut in_time, mut late) = (0, 0);
        for key in self.runs.keys().copied().collect::<Vec<_>>() {
            let run = self.runs.get_mut(&key).expect("a run");
            if is_silent(run.worker) {
                if (run.next_event + SILENCE_TIMEOUT).is_past(now) {
                    self.board.failed(&run.ticket, now);
                    let again = now + Duration::from_millis(120);
                    self.end(key, ItemEnd::Interrupted(again), now);
                }
                continue;
            }
            let job = &mut self.jobs[key.0];
            let item = &mut job.items[key.1];
            while run.next_event.is_past(now) {
                run.next_event = run.next_event + EVENT;
                let id = item.progress.events() + 1;
                item.progress.push(id, "").expect("the next event");
            }
            self.board.succeeded(&run.ticket, now);
            if item.progress.events() < item.input.tokens {
                continue;
            }
            let (timing, events) = (item.timing, item.progress.events());
            if job.record.due_at.is_past(now) {
                late += 1;
            } else {
                in_time += 1;
            }
            self.forecast
                .completed(&job.record.route, timing, events, now);
            self.end(key, ItemEnd::Completed, now);
        }
        (in_time, late)
    }

    fn report(&self, sequence: u64, now: Moment) -> (PeerLoad, Option<Demand>) {
        let running = self
            .board
            .own()
            .map(|(id, boot, running)| (id.clone(), PeerRuns { boot, running }));
        let waiting = self.waiting(now);
        let demand = Demand::new(waiting.in_time, waiting.late);
        let load = PeerLoad {
            sequence,
            running: running.collect(),
            waiting: u32::try_from(waiting.in_time + waiting.late).expect("few items"),
            expires_at: now + Duration::from_millis(1500),
        };
        (load, self.by_deadlines.then_some(demand))
    }

    fn submit(&mut self, load: &Load, number: usize, rng: &mut SmallRng, now: Moment) {
        let input = (0..load.job_items).map(|n| NewItem {
            id: Arc::from(format!("{number}-{n}")),
            path: "/v1".into(),
            headers: Vec::new(),
            body: bytes::Bytes::new(),
            // Events of its output: 4 to 8 s.
            tokens: rng.random_range(133..267),
        });
        let record = JobRecord {
            host: Arc::from("h"),
            route: Arc::from("r"),
            team: None,
            accepted_at: now,
            due_at: now + load.due_after,
            give_up_at: Moment::DISTANT_FUTURE,
            items: load.job_items,
            tokens: 0,
            chunks: 1,
            phase: JobPhase::Open,
            owner: Owner {
                entry: self.name.clone(),
                run: Incarnation(1),
            },
        };
        let id = JobId::from(format!("{number:05}"));
        let job = Job::new(id, record, 1, input.collect(), Vec::new());
        self.jobs.push(job);
    }
}

/// Runs a load.
pub fn simulate(load: &Load, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut gateways: Vec<Gateway> = (0..load.gateways).map(|n| Gateway::new(n, load)).collect();
    let mut outcome = Outcome::default();
    let (mut number, mut submitted) = (0, 0);
    let mut idle_since: Vec<Option<Moment>> = vec![None; load.workers];
    let mut reports: Vec<Option<(PeerLoad, Option<Demand>)>> = vec![None; load.gateways];
    let mut now = EPOCH;
    let mut wave_ends = EPOCH;
    for tick in 0..load.lasts.as_millis() / TICK.as_millis() {
        now = now + TICK;
        let time = now.since(EPOCH).as_secs_f64();
        let alive = |n: usize| load.silent != Some(n) || time < 8.0;
        let second = now.since(EPOCH).as_secs();
        let is_in = |(from, until, _): &&(u64, u64, u32)| (*from..*until).contains(&second);
        let rate = load.waves.iter().find(is_in).map_or(0, |wave| wave.2);
        // In fiftieths of an item, as a tick is a fiftieth of a second.
        submitted += rate;
        while submitted >= 50 * u32::try_from(load.job_items).expect("few items") {
            submitted -= 50 * u32::try_from(load.job_items).expect("few items");
            number += 1;
            outcome.items += load.job_items;
            // Some gateways get many jobs, others none.
            let bound = rng.random_range(1..=load.gateways);
            let bound = rng.random_range(1..=bound);
            gateways[rng.random_range(0..bound)].submit(load, number, &mut rng, now);
        }
        // Online requests take all slots for 2 to 4 s out of 6, and three of eight otherwise.
        if tick % 300 == 50 {
            wave_ends = now + Duration::from_millis(rng.random_range(2000..4000));
        }
        if tick % 5 == 0 {
            let wanted = if wave_ends.is_past(now) { 1 } else { SLOTS };
            let mut counts = vec![0; load.workers];
            for gateway in &mut gateways {
                let (board, online) = (&mut gateway.board, &mut gateway.online);
                online.retain(|ticket| {
                    let at: usize = ticket.worker.as_str()[2..].parse().expect("a number");
                    let stays = counts[at] < wanted && rng.random_bool(0.8);
                    counts[at] += u32::from(stays);
                    if !stays {
                        board.end(ticket);
                    }
                    stays
                });
            }
            for (at, count) in counts.iter().enumerate() {
                for _ in *count..wanted {
                    let gateway = &mut gateways[rng.random_range(0..load.gateways)];
                    let ticket = gateway.board.start(&worker(at), Class::Online);
                    gateway.online.push(ticket);
                }
            }
        }
        // Reports arrive 40 ms after they were made.
        if tick % 2 == 0 {
            for from in (0..load.gateways).filter(|n| alive(*n)) {
                let made = gateways[from].report(u64::try_from(tick).expect("small") + 1, now);
                let Some((report, demand)) = reports[from].replace(made) else {
                    continue;
                };
                let name = gateways[from].name.clone();
                for to in (0..load.gateways).filter(|to| *to != from) {
                    let board = &mut gateways[to].board;
                    board.demands.hear(&name, report.sequence, demand);
                    board.hear(&name, report.clone());
                }
            }
        }
        let is_silent =
            |at: usize| load.unresponsive && at.is_multiple_of(5) && (9.0..13.5).contains(&time);
        for (n, gateway) in gateways.iter_mut().enumerate() {
            gateway.board.evict_expired_peers(now);
            let (in_time, late) = gateway.generate(now, is_silent);
            outcome.in_time += in_time;
            outcome.late += late;
            outcome.preempted += gateway.preempt(now);
            if alive(n) {
                gateway.start_items(now);
            }
        }
        note_idle(&gateways, alive, &mut idle_since, now, &mut outcome);
    }
    outcome
}

/// Notes for how long slots beyond the reserve are free at the workers while items wait.
fn note_idle(
    gateways: &[Gateway],
    alive: impl Fn(usize) -> bool,
    idle_since: &mut [Option<Moment>],
    now: Moment,
    outcome: &mut Outcome,
) {
    let mut runs = vec![(0, 0); idle_since.len()];
    for gateway in gateways {
        for (id, _, running) in gateway.board.own() {
            let at: usize = id.as_str()[2..].parse().expect("a number");
            runs[at].0 += running.online;
            runs[at].1 += running.batch;
        }
    }
    let used: u32 = runs.iter().map(|(online, batch)| online + batch).sum();
    let online: u32 = runs.iter().map(|(online, _)| online).sum();
    let slots = SLOTS * u32::try_from(runs.len()).expect("few");
    let has_room = slots.saturating_sub(used) > (online / 10) + 1;
    let alive = gateways.iter().enumerate().filter(|(n, _)| alive(*n));
    let waiting = alive.map(|(_, gateway)| gateway.waiting(now));
    let waiting: usize = waiting.map(|w| w.in_time + w.late).sum();
    for (since, (online, batch)) in idle_since.iter_mut().zip(runs) {
        if waiting > 0 && has_room && online + batch < SLOTS {
            let since = *since.get_or_insert(now);
            outcome.longest_idle = outcome.longest_idle.max(now.since(since));
        } else {
            *since = None;
        }
    }
}
