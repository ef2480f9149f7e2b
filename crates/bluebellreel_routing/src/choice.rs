//! Which worker gets a request.
//!
//! The prefix's rendezvous home keeps the engine's prefix cache warm; its load
//! is bounded, and past the bound the better of two random workers is taken.

use crate::{RouterLimits, Worker};
use bluebellreel_types::{DataCentre, ModelName, Moment, Work, WorkerName};
use rand::{Rng, RngExt};
use twox_hash::XxHash64;

/// Load below which a home is never passed over, in tokens.
const HOME_FLOOR_TOKENS: u64 = 512;

/// A choice's result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it there.
    Worker(WorkerName),
    /// No worker serves the model now.
    NoWorker,
    /// Every worker's first token would miss the deadline; the soonest one
    /// would come at this moment.
    TooLate(Moment),
}

/// The rank of a node for a key: the highest is the key's home.
#[must_use]
pub fn rendezvous_score(key: u64, node: &str) -> u64 {
    XxHash64::oneshot(key, node.as_bytes())
}

/// What a worker is chosen for.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// The work.
    pub work: &'a Work,
    /// When its answer is no longer wanted.
    pub deadline: Moment,
    /// Workers that failed it.
    pub avoid: &'a [WorkerName],
    /// Where the asking daemon stands.
    pub local: &'a DataCentre,
    /// The present.
    pub now: Moment,
}

struct Candidate<'a> {
    worker: &'a Worker,
    ahead: u64,
}

/// Chooses a worker for some work.
pub fn choose<'a>(
    workers: impl Iterator<Item = &'a Worker>,
    question: Question<'_>,
    limits: &RouterLimits,
    rng: &mut impl Rng,
) -> Choice {
    let Question {
        work,
        deadline,
        avoid,
        local,
        now,
    } = question;
    let able: Vec<Candidate> = trusted(workers, &work.model, now)
        .into_iter()
        .map(|worker| Candidate {
            worker,
            ahead: worker.tokens_ahead(limits.load_age, now),
        })
        .collect();
    if able.is_empty() {
        return Choice::NoWorker;
    }
    let first_token = |c: &Candidate| now + c.worker.predicted_first_token(limits.load_age, now);
    let in_time: Vec<&Candidate> = able
        .iter()
        .filter(|c| !deadline.is_past(first_token(c)))
        .collect();
    if in_time.is_empty() {
        let soonest = able.iter().map(first_token).min().unwrap_or(now);
        return Choice::TooLate(soonest);
    }
    let preferred = preferred(&in_time, avoid, local, limits);
    let used = used_workers(preferred, work, limits);
    Choice::Worker(pick(&used, work.prefix, limits, rng))
}

/// The workers that serve a model and are trusted; if none is, all that serve
/// it.
///
/// Trust is a preference among several. While a fleet is restarted quickly,
/// every worker may be on its way back at one moment: refusing people then, with
/// "no worker serves this model", would harm them and help nobody.
fn trusted<'a>(
    workers: impl Iterator<Item = &'a Worker>,
    model: &ModelName,
    now: Moment,
) -> Vec<&'a Worker> {
    let serving: Vec<&Worker> = workers.filter(|w| w.serves(model)).collect();
    let takes = |worker: &&&Worker| worker.takes(model, now);
    let trusted: Vec<&Worker> = serving.iter().filter(takes).copied().collect();
    if trusted.is_empty() { serving } else { trusted }
}

/// Leaves out workers that failed this request and those of other data
/// centres, as long as others remain that are not overfull.
fn preferred<'a>(
    in_time: &[&'a Candidate<'a>],
    avoid: &[WorkerName],
    local: &DataCentre,
    limits: &RouterLimits,
) -> Vec<&'a Candidate<'a>> {
    let untried: Vec<_> = in_time
        .iter()
        .copied()
        .filter(|c| !avoid.contains(&c.worker.name))
        .collect();
    let pool = if untried.is_empty() {
        in_time.to_vec()
    } else {
        untried
    };
    let bound = bound_tokens(&pool, limits);
    let near: Vec<_> = pool
        .iter()
        .copied()
        .filter(|c| c.worker.data_centre == *local && c.ahead <= bound)
        .collect();
    if near.is_empty() { pool } else { near }
}

/// Keeps online work on as few workers as carry it.
///
/// Beside online work an engine can take little batch without slowing it down.
/// Spread thin, a handful of online requests would hold batch back on every
/// worker; kept together, they leave the others to batch. All daemons rank the
/// workers of a model alike, so they agree on which ones without a word.
fn used_workers<'a>(
    mut pool: Vec<&'a Candidate<'a>>,
    work: &Work,
    limits: &RouterLimits,
) -> Vec<&'a Candidate<'a>> {
    if limits.online_per_worker == 0 {
        return pool;
    }
    let online: u64 = pool.iter().map(|c| u64::from(c.worker.online())).sum();
    let needed = (online + 1).div_ceil(u64::from(limits.online_per_worker));
    let needed = usize::try_from(needed).unwrap_or(usize::MAX);
    if needed >= pool.len() {
        return pool;
    }
    let key = rendezvous_score(0, work.model.as_str());
    pool.sort_by_cached_key(|c| std::cmp::Reverse(rendezvous_score(key, c.worker.name.as_str())));
    pool.truncate(needed);
    pool
}

/// Load up to which a home is taken.
fn bound_tokens(pool: &[&Candidate], limits: &RouterLimits) -> u64 {
    let total: u64 = pool.iter().map(|c| c.ahead).sum();
    let mean = total / pool.len().max(1) as u64;
    mean + mean * limits.home_slack_percent / 100 + HOME_FLOOR_TOKENS
}

fn pick(pool: &[&Candidate], prefix: u64, limits: &RouterLimits, rng: &mut impl Rng) -> WorkerName {
    let home = pool
        .iter()
        .max_by_key(|c| rendezvous_score(prefix, c.worker.name.as_str()))
        .expect("the pool is not empty");
    if home.ahead <= bound_tokens(pool, limits) {
        return home.worker.name.clone();
    }
    let one = pool[rng.random_range(0..pool.len())];
    let other = pool[rng.random_range(0..pool.len())];
    let better = if other.ahead < one.ahead { other } else { one };
    better.worker.name.clone()
}
