//! Tokens of jobs that have lost their owner and that nobody reports yet.

use bluebellreel_types::{JobId, Moment};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// How long they are counted after the last of them was found at a new owner. Jobs
/// that were done unseen are never found.
const UNCLAIMED_LONGEST: Duration = Duration::from_secs(10);
/// Losses remembered, each of at most the jobs that one report names.
const LOSSES: usize = 256;

/// Jobs that vanished from a daemon's reports together. How the tokens divide among
/// them is not known, so all count until the last of them is found.
#[derive(Clone, Debug)]
struct Loss {
    jobs: BTreeSet<JobId>,
    tokens: BTreeMap<String, u64>,
    until: Moment,
}

/// All such jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unclaimed(VecDeque<Loss>);

impl Unclaimed {
    /// Jobs have vanished, and with them so many tokens by route.
    pub(crate) fn add(
        &mut self,
        jobs: BTreeSet<JobId>,
        tokens: BTreeMap<String, u64>,
        now: Moment,
    ) {
        self.0.retain(|loss| !loss.until.is_past(now));
        if jobs.is_empty() || tokens.is_empty() {
            return;
        }
        if self.0.len() >= LOSSES {
            self.0.pop_front();
        }
        let until = now + UNCLAIMED_LONGEST;
        self.0.push_back(Loss {
            jobs,
            tokens,
            until,
        });
    }

    /// A job has an owner, or has ended.
    pub(crate) fn claimed(&mut self, job: &JobId, now: Moment) {
        for loss in &mut self.0 {
            if loss.jobs.remove(job) {
                loss.until = now + UNCLAIMED_LONGEST;
            }
        }
        self.0.retain(|loss| !loss.jobs.is_empty());
    }

    /// Tokens of a route's jobs.
    pub(crate) fn tokens(&self, route: &str, now: Moment) -> u64 {
        let counted = self.0.iter().filter(|loss| !loss.until.is_past(now));
        counted.filter_map(|loss| loss.tokens.get(route)).sum()
    }

    /// Jobs that are counted.
    pub(crate) fn jobs(&self, now: Moment) -> impl Iterator<Item = &JobId> {
        let counted = self.0.iter().filter(move |loss| !loss.until.is_past(now));
        counted.flat_map(|loss| &loss.jobs)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
