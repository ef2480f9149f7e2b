//! What the outcomes at the workers of one service say about each of them.

use super::Counts;
use std::fmt;

/// Number of runs with the service's share of bad outcomes that are added to each worker's
/// outcomes, so that one outcome of few does not decide.
const PRIOR_RUNS: f64 = 10.0;
/// Share of bad outcomes above which a worker is failing.
const FAILING_SHARE: f64 = 0.3;
/// By how much a failing worker's share exceeds the service's. With some 25 outcomes a share
/// of 0.35 varies by 0.07 from worker to worker by chance.
const FAILING_MARGIN: f64 = 0.15;
/// Multiple of the service's share of bad outcomes above which a worker is doubtful.
const DOUBTFUL_FACTOR: f64 = 2.0;
/// Number of good outcomes in the window from which on a worker is proven.
const PROVEN_OUTCOMES: u32 = 3;
/// Percentage of the service's slots from which on the whole service fails. The rest are
/// workers that a few lucky outcomes make look better.
const SERVICE_FAILS_PERCENT: u64 = 90;

/// What outcomes say about a worker; the best one is last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Standing {
    /// It loses so many runs that it gets none while there is another worker.
    Failing,
    /// It loses more runs than the other workers of its service.
    Doubtful,
    /// There are too few outcomes to tell.
    #[default]
    Unproven,
    /// It has answered lately.
    Proven,
}

impl Standing {
    /// All standings.
    pub const ALL: [Self; 4] = [Self::Failing, Self::Doubtful, Self::Unproven, Self::Proven];

    /// Whether the worker is failing or doubtful.
    #[must_use]
    pub fn is_doubted(self) -> bool {
        matches!(self, Self::Failing | Self::Doubtful)
    }

    /// Name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failing => "failing",
            Self::Doubtful => "doubtful",
            Self::Unproven => "unproven",
            Self::Proven => "proven",
        }
    }
}

impl fmt::Display for Standing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Slots and outcomes of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Its slots.
    pub slots: u32,
    /// Outcomes of all daemons' runs there.
    pub counts: Counts,
}

/// A worker's standing, and the share that decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    /// The standing.
    pub standing: Standing,
    /// Share of bad outcomes, with the service's share as a prior.
    pub share: f64,
}

/// Assesses the ready workers of one service, in the order given.
///
/// If the whole service fails, no worker is worse than the others. Otherwise failing workers
/// account for at most half of the slots: with more of them held back, the rest of the
/// workers could not carry the load.
#[must_use]
pub fn assess(workers: &[Record]) -> Vec<Assessment> {
    let all = workers
        .iter()
        .fold(Counts::default(), |sum, w| sum.plus(w.counts));
    let service_share = f64::from(all.bad) / f64::from(all.total().max(1));
    let mut assessments: Vec<Assessment> = workers
        .iter()
        .map(|w| assess_alone(w.counts, service_share))
        .collect();
    if all.bad == 0 {
        return assessments;
    }
    let slots: u64 = workers.iter().map(|w| u64::from(w.slots)).sum();
    let mut failing: Vec<usize> = (0..workers.len())
        .filter(|n| assessments[*n].standing == Standing::Failing)
        .collect();
    let failing_slots: u64 = failing.iter().map(|n| u64::from(workers[*n].slots)).sum();
    if failing_slots * 100 >= slots * SERVICE_FAILS_PERCENT {
        for (assessment, worker) in assessments.iter_mut().zip(workers) {
            assessment.standing = undoubted(worker.counts);
        }
        return assessments;
    }
    failing.sort_by(|a, b| assessments[*b].share.total_cmp(&assessments[*a].share));
    let mut held_back = 0;
    for n in failing {
        held_back += u64::from(workers[n].slots);
        if held_back * 2 > slots {
            assessments[n].standing = Standing::Doubtful;
        }
    }
    assessments
}

fn assess_alone(counts: Counts, service_share: f64) -> Assessment {
    let runs = f64::from(counts.total()) + PRIOR_RUNS;
    let share = (f64::from(counts.bad) + PRIOR_RUNS * service_share) / runs;
    let standing = if counts.bad == 0 {
        undoubted(counts)
    } else if share > FAILING_SHARE.max(service_share + FAILING_MARGIN) {
        Standing::Failing
    } else if share > DOUBTFUL_FACTOR * service_share {
        Standing::Doubtful
    } else {
        undoubted(counts)
    };
    Assessment { standing, share }
}

fn undoubted(counts: Counts) -> Standing {
    if counts.good < PROVEN_OUTCOMES {
        Standing::Unproven
    } else {
        Standing::Proven
    }
}
