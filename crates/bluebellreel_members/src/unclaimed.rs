//! Tokens of jobs that have lost their owner and that no daemon reports yet.

use bluebellreel_types::{JobId, Moment};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Time for which tokens count after the last of their jobs was found at a new owner, in a
/// small fleet. Jobs that ended unobserved are never found.
pub(crate) const LOSS_RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of groups of disappeared jobs that are kept. Each group holds at
/// most the jobs that one report names.
const MAX_LOSSES: usize = 256;

/// Jobs that disappeared from a daemon's reports together. How the tokens divide among
/// the jobs is not known, so all of them count until the last job is found.
#[derive(Clone, Debug)]
struct Loss {
    jobs: BTreeSet<JobId>,
    tokens: BTreeMap<String, u64>,
    keep_for: Duration,
    until: Moment,
}

/// All groups of jobs that disappeared and whose tokens still count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unclaimed(VecDeque<Loss>);

impl Unclaimed {
    /// Adds jobs that disappeared, and the tokens that disappeared with them by route.
    pub(crate) fn add(
        &mut self,
        jobs: BTreeSet<JobId>,
        tokens: BTreeMap<String, u64>,
        keep_for: Duration,
        now: Moment,
    ) {
        self.0.retain(|loss| !loss.until.is_past(now));
        if jobs.is_empty() || tokens.is_empty() {
            return;
        }
        if self.0.len() >= MAX_LOSSES {
            self.0.pop_front();
        }
        let until = now + keep_for;
        self.0.push_back(Loss {
            jobs,
            tokens,
            keep_for,
            until,
        });
    }

    /// Notes that a job has an owner or has ended.
    pub(crate) fn claimed(&mut self, job: &JobId, now: Moment) {
        for loss in &mut self.0 {
            if loss.jobs.remove(job) {
                loss.until = now + loss.keep_for;
            }
        }
        self.0.retain(|loss| !loss.jobs.is_empty());
    }

    /// Tokens of a route that still count.
    pub(crate) fn tokens(&self, route: &str, now: Moment) -> u64 {
        let counted = self.0.iter().filter(|loss| !loss.until.is_past(now));
        counted.filter_map(|loss| loss.tokens.get(route)).sum()
    }

    /// Jobs whose tokens still count.
    pub(crate) fn jobs(&self, now: Moment) -> impl Iterator<Item = &JobId> {
        let counted = self.0.iter().filter(move |loss| !loss.until.is_past(now));
        counted.flat_map(|loss| &loss.jobs)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
