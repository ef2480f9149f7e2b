//! Choice of the worker for a request.
//!
//! The worker with the highest rendezvous score for the request's prefix, its home,
//! keeps the prefix in its engine's cache. The load of a home is bounded: beyond the
//! bound, the less loaded of two random workers is chosen.

use crate::{RouterLimits, Worker};
use bluebellreel_types::{DataCentre, ModelName, Moment, Work, WorkerName};
use rand::{Rng, RngExt};
use twox_hash::XxHash64;

/// Load in tokens below which a home is always used.
const MIN_HOME_TOKENS: u64 = 512;

/// Result of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the work to this worker.
    Worker(WorkerName),
    /// No worker currently serves the model.
    NoWorker,
    /// Every worker's first token would miss the deadline; the earliest would come at
    /// this moment.
    TooLate(Moment),
}

/// Rendezvous score of a node for a key: the node with the highest score is the key's
/// home.
#[must_use]
pub fn rendezvous_score(key: u64, node: &str) -> u64 {
    XxHash64::oneshot(key, node.as_bytes())
}

/// Input for the choice of a worker.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceQuery<'a> {
    /// The work.
    pub work: &'a Work,
    /// When the answer is no longer useful.
    pub deadline: Moment,
    /// Workers that have already failed the work.
    pub avoid: &'a [WorkerName],
    /// Data centre of the daemon that chooses.
    pub local: &'a DataCentre,
    /// The current time.
    pub now: Moment,
}

struct Candidate<'a> {
    worker: &'a Worker,
    queued_tokens: u64,
}

/// Chooses a worker for a piece of work.
pub fn choose<'a>(
    workers: impl Iterator<Item = &'a Worker>,
    query: ChoiceQuery<'_>,
    limits: &RouterLimits,
    rng: &mut impl Rng,
) -> Choice {
    let ChoiceQuery {
        work,
        deadline,
        avoid,
        local,
        now,
    } = query;
    let candidates: Vec<Candidate> = available(workers, &work.model, now)
        .into_iter()
        .map(|worker| Candidate {
            worker,
            queued_tokens: worker.tokens_ahead(limits.load_report_ttl, now),
        })
        .collect();
    if candidates.is_empty() {
        return Choice::NoWorker;
    }
    let first_token =
        |c: &Candidate| now + c.worker.predicted_first_token(limits.load_report_ttl, now);
    let in_time: Vec<&Candidate> = candidates
        .iter()
        .filter(|c| !deadline.is_past(first_token(c)))
        .collect();
    if in_time.is_empty() {
        let soonest = candidates.iter().map(first_token).min().unwrap_or(now);
        return Choice::TooLate(soonest);
    }
    let preferred = preferred(&in_time, avoid, local, limits);
    let used = concentrate_online(preferred, work, limits);
    Choice::Worker(pick(&used, work.prefix, limits, rng))
}

/// The workers that serve a model and accept requests by their health; if none does, all
/// that serve it.
///
/// Health is a preference among several workers. During a quick rolling restart of the
/// fleet every worker may be recovering at the same moment: refusing requests then with
/// "no worker serves this model" would be of no use.
fn available<'a>(
    workers: impl Iterator<Item = &'a Worker>,
    model: &ModelName,
    now: Moment,
) -> Vec<&'a Worker> {
    let serving: Vec<&Worker> = workers.filter(|w| w.serves(model)).collect();
    let accepts = |worker: &&&Worker| worker.accepts(model, now);
    let available: Vec<&Worker> = serving.iter().filter(accepts).copied().collect();
    if available.is_empty() {
        serving
    } else {
        available
    }
}

/// Leaves out workers that failed this request as long as others remain, and workers of
/// other data centres as long as local workers below the load bound remain.
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
        .filter(|c| c.worker.data_centre == *local && c.queued_tokens <= bound)
        .collect();
    if near.is_empty() { pool } else { near }
}

/// Concentrates online work on as few workers as can carry it.
///
/// Beside online work an engine can run little batch work without slowing the online
/// work down. If a few online requests were spread over all workers, they would restrict
/// batch work on every one; concentrated, they leave the other workers to batch. All
/// daemons rank the workers of a model in the same order, so they select the same ones
/// without coordination.
fn concentrate_online<'a>(
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

/// Load up to which a home is used.
fn bound_tokens(pool: &[&Candidate], limits: &RouterLimits) -> u64 {
    let total: u64 = pool.iter().map(|c| c.queued_tokens).sum();
    let mean = total / pool.len().max(1) as u64;
    mean + mean * limits.home_slack_percent / 100 + MIN_HOME_TOKENS
}

fn pick(pool: &[&Candidate], prefix: u64, limits: &RouterLimits, rng: &mut impl Rng) -> WorkerName {
    let home = pool
        .iter()
        .max_by_key(|c| rendezvous_score(prefix, c.worker.name.as_str()))
        .expect("the pool is not empty");
    if home.queued_tokens <= bound_tokens(pool, limits) {
        return home.worker.name.clone();
    }
    let one = pool[rng.random_range(0..pool.len())];
    let other = pool[rng.random_range(0..pool.len())];
    let better = if other.queued_tokens < one.queued_tokens {
        other
    } else {
        one
    };
    better.worker.name.clone()
}
