//! Simulates how soon owners notice cancellations through the store alone, and what
//! that costs.

use bluebellreel_batch::{JOBS_PER_CHECK, Stamp, StartLease, StartTerms, jobs_to_check};
use bluebellreel_types::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::ops::Range;
use std::time::Duration;

/// Stamp of the moment `now` on a VM that is never suspended.
fn stamp_at(now: Moment) -> Stamp {
    Stamp {
        at: now,
        suspended: Duration::ZERO,
    }
}

fn confirmed_at(asked: Moment) -> StartLease {
    StartLease::new(stamp_at(asked), &StartTerms::within(CANCEL_BOUND))
}

/// Time after a job's end within which items may still reach workers.
const CANCEL_BOUND: Duration = Duration::from_secs(3);
/// Maximum time that an item is on its way to its worker.
const MAX_SEND_TIME: Duration = Duration::from_millis(500);
/// Time between an owner's checks for items to start, in microseconds.
const CHECK_INTERVAL_US: Range<u64> = 25_000..75_000;
/// Timeout of a call to the store.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Duration of a slow call.
const SLOW_CALL: Duration = Duration::from_millis(200);
/// Duration of a typical call.
const TYPICAL_CALL: Duration = Duration::from_millis(4);

/// Bytes of a request without its jobs, of each job in it, of a response, and of each
/// record in it.
const CALL_BYTES: usize = 200;
const JOB_BYTES: usize = 60;
const ANSWER_BYTES: usize = 100;
const RECORD_BYTES: usize = 400;
/// Limit of the bytes that a daemon may send and receive in a minute.
const MINUTE_BYTES: usize = 60 * 3000;
/// At most one check in this many may be delayed because calls fail.
const CHECKS_PER_DELAY: usize = 20;

const HOUR: Duration = Duration::from_hours(1);
const DAY: Duration = Duration::from_hours(24);
/// Jobs accepted in a day by a fleet of 410 daemons.
const DAY_JOBS: usize = 5400;
const LARGEST_FLEET: usize = 410;
const FLEETS: [usize; 3] = [5, 58, LARGEST_FLEET];

/// When an owner gets a job, and when the job's end is recorded in the store.
#[derive(Clone, Copy)]
struct JobSpan {
    from: Moment,
    ends: Moment,
}

/// A job that its owner treats as open; the store may have recorded its end.
struct OwnedJob {
    ends: Moment,
    lease: StartLease,
    asked: bool,
}

/// A call in flight.
struct Call {
    sent: Moment,
    done_at: Moment,
    /// When the store reads the records; none if the call fails.
    read_at: Option<Moment>,
}

/// Totals of a simulation.
#[derive(Debug, Default)]
struct Totals {
    calls: usize,
    bytes: usize,
    /// Maximum of one daemon's bytes in a minute.
    peak: usize,
    /// Longest time from the end of a job to the arrival of one of its items at a
    /// worker.
    latest: Duration,
    /// Checks at which items could start, and those of them at which the lease of
    /// at least one job had expired.
    checks: usize,
    delayed: usize,
    /// Job ends that the owners noticed.
    ends_learned: usize,
}

/// One daemon.
struct Owner<'a> {
    jobs: Vec<OwnedJob>,
    call: Option<Call>,
    /// Lease with the oldest confirmation, and the earliest job end.
    oldest: Option<StartLease>,
    first_end: Moment,
    minute: u64,
    minute_bytes: usize,
    rng: &'a mut SmallRng,
    totals: &'a mut Totals,
}

impl Owner<'_> {
    /// Takes the jobs of `spans`, which are ordered by start, until all of them have
    /// been dropped.
    fn run(mut self, spans: &[JobSpan]) {
        let mut spans = spans.iter().peekable();
        let mut now = Moment::default();
        loop {
            if self.jobs.is_empty() && self.call.is_none() {
                match spans.peek() {
                    Some(span) => now = now.max(span.from),
                    None => return,
                }
            }
            self.take_answer(now);
            while let Some(span) = spans.next_if(|span| span.from <= now) {
                // The acceptance counts as a confirmation by the store.
                self.jobs.push(OwnedJob {
                    ends: span.ends,
                    lease: confirmed_at(span.from),
                    asked: false,
                });
                self.update_oldest();
            }
            self.start_items(now);
            if self.call.is_none() {
                self.ask(now);
            }
            now = now + Duration::from_micros(self.rng.random_range(CHECK_INTERVAL_US));
        }
    }

    fn update_oldest(&mut self) {
        let leases = self.jobs.iter().map(|j| j.lease);
        self.oldest = leases.min_by_key(|l| l.asked().at);
        let ends = self.jobs.iter().map(|j| j.ends).min();
        self.first_end = ends.unwrap_or(Moment::DISTANT_FUTURE);
    }

    /// At each check, each job has items that could start.
    fn start_items(&mut self, now: Moment) {
        if let Some(oldest) = self.oldest {
            self.totals.checks += 1;
            self.totals.delayed += usize::from(!oldest.allows_start(stamp_at(now)));
        }
        if !self.first_end.is_past(now) {
            return;
        }
        for job in self.jobs.iter().filter(|j| j.ends.is_past(now)) {
            if job.lease.allows_start(stamp_at(now)) {
                let late = (now + MAX_SEND_TIME).since(job.ends);
                self.totals.latest = self.totals.latest.max(late);
            }
        }
    }

    fn ask(&mut self, now: Moment) {
        // The oldest confirmation decides whether a call is due; most checks need no
        // more than this.
        if !self.oldest.is_some_and(|l| l.is_due(true, stamp_at(now))) {
            return;
        }
        let leases = self.jobs.iter().enumerate();
        let asked = jobs_to_check(leases.map(|(at, j)| (at, j.lease, true)), stamp_at(now));
        assert!((1..=JOBS_PER_CHECK).contains(&asked.len()));
        for at in &asked {
            self.jobs[*at].asked = true;
        }
        self.totals.calls += 1;
        self.count(CALL_BYTES + JOB_BYTES * asked.len(), now);
        let (duration, fails) = match self.rng.random_range(0..10) {
            0 => (CALL_TIMEOUT, true),
            1 => (SLOW_CALL, false),
            _ => (TYPICAL_CALL, false),
        };
        let delay = duration.mul_f64(self.rng.random());
        self.call = Some(Call {
            sent: now,
            done_at: now + duration,
            read_at: (!fails).then_some(now + delay),
        });
    }

    fn take_answer(&mut self, now: Moment) {
        let Some(call) = self.call.take_if(|call| call.done_at.is_past(now)) else {
            return;
        };
        let Some(read_at) = call.read_at else {
            for job in &mut self.jobs {
                job.asked = false;
            }
            return;
        };
        let before = self.jobs.len();
        self.jobs.retain(|job| !job.asked || job.ends > read_at);
        let ends_learned = before - self.jobs.len();
        for job in &mut self.jobs {
            if std::mem::take(&mut job.asked) {
                job.lease = confirmed_at(call.sent);
            }
        }
        self.totals.ends_learned += ends_learned;
        self.count(ANSWER_BYTES + RECORD_BYTES * ends_learned, now);
        self.update_oldest();
    }

    fn count(&mut self, bytes: usize, now: Moment) {
        let minute = now.0 / 60_000_000;
        if minute != self.minute {
            (self.minute, self.minute_bytes) = (minute, 0);
        }
        self.minute_bytes += bytes;
        self.totals.bytes += bytes;
        self.totals.peak = self.totals.peak.max(self.minute_bytes);
    }
}

/// Jobs in `places` sequences for `length`; within a sequence, each job starts after the
/// previous one ended.
fn back_to_back_jobs(places: usize, length: Duration, rng: &mut SmallRng) -> Vec<JobSpan> {
    let mut spans = Vec::new();
    for _ in 0..places {
        let mut from = Moment::default() + CANCEL_BOUND.mul_f64(rng.random());
        while !(Moment::default() + length).is_past(from) {
            let ends = from + open_time(rng);
            spans.push(JobSpan { from, ends });
            // By then the owner has usually dropped the previous job.
            from = ends + CANCEL_BOUND;
        }
    }
    spans.sort_by_key(|span| span.from);
    spans
}

/// `jobs` jobs that start at random times of a day.
fn jobs_over_a_day(jobs: usize, rng: &mut SmallRng) -> Vec<JobSpan> {
    let mut spans = Vec::new();
    for _ in 0..jobs {
        let from = Moment::default() + DAY.mul_f64(rng.random());
        let ends = from + open_time(rng);
        spans.push(JobSpan { from, ends });
    }
    spans.sort_by_key(|span| span.from);
    spans
}

/// Random time for which a job is open.
fn open_time(rng: &mut SmallRng) -> Duration {
    Duration::from_secs(18) + Duration::from_secs(102).mul_f64(rng.random())
}

/// Simulates a fleet and prints the cost.
fn run(name: &str, spans: &[Vec<JobSpan>], length: Duration, rng: &mut SmallRng) -> Totals {
    let mut totals = Totals::default();
    for spans in spans {
        let owner = Owner {
            jobs: Vec::new(),
            call: None,
            oldest: None,
            first_end: Moment::DISTANT_FUTURE,
            minute: 0,
            minute_bytes: 0,
            rng: &mut *rng,
            totals: &mut totals,
        };
        owner.run(spans);
    }
    let jobs: usize = spans.iter().map(Vec::len).sum();
    assert_eq!(
        totals.ends_learned, jobs,
        "an owner has not learned of every end"
    );
    let daemons = spans.len();
    let per_second =
        |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX)) / length.as_secs_f64();
    println!(
        "{name}, {daemons} daemons: {jobs} jobs ended, latest item {:?} after the end, \
         {:.2} calls/s in all, {:.0} bytes/s a daemon, at most {:.0} in a minute, \
         {} of {} checks delayed",
        totals.latest,
        per_second(totals.calls),
        per_second(totals.bytes / daemons),
        per_second(totals.peak) * length.as_secs_f64() / 60.0,
        totals.delayed,
        totals.checks,
    );
    totals
}

fn assert_in_time(totals: &Totals) {
    assert!(totals.latest <= CANCEL_BOUND, "{totals:?}");
    assert!(
        totals.delayed * CHECKS_PER_DELAY < totals.checks,
        "{totals:?}"
    );
}

fn assert_in_bounds(totals: &Totals) {
    assert_in_time(totals);
    assert!(totals.peak < MINUTE_BYTES, "{totals:?}");
}

/// Guards that every owner of a fleet stops in time on a usual day although all
/// notifications are lost.
#[test]
fn owners_learn_of_cancellations_in_time_on_a_usual_day() {
    for daemons in FLEETS {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut spans = vec![Vec::new(); daemons];
        for span in jobs_over_a_day(DAY_JOBS * daemons / LARGEST_FLEET, &mut rng) {
            spans[rng.random_range(0..daemons)].push(span);
        }
        assert_in_bounds(&run("usual day", &spans, DAY, &mut rng));
    }
}

/// Guards that every owner stops in time in an hour in which each holds as many jobs as
/// fit into one call, although all notifications are lost.
#[test]
fn owners_learn_of_cancellations_in_time_in_a_busy_hour() {
    for daemons in FLEETS {
        let mut rng = SmallRng::seed_from_u64(2);
        let spans: Vec<_> = (0..daemons)
            .map(|_| back_to_back_jobs(JOBS_PER_CHECK, HOUR, &mut rng))
            .collect();
        assert_in_bounds(&run("busy hour", &spans, HOUR, &mut rng));
    }
}

/// Guards that no job is skipped when an owner holds more jobs than fit into one call.
#[test]
fn owners_of_more_jobs_than_fit_into_one_call_learn_of_each_cancellation() {
    let mut rng = SmallRng::seed_from_u64(3);
    let spans: Vec<_> = (0..5)
        .map(|_| back_to_back_jobs(JOBS_PER_CHECK * 5 / 2, HOUR, &mut rng))
        .collect();
    assert_in_time(&run("more than one call", &spans, HOUR, &mut rng));
}
