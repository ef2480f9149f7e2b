//! Outcomes of runs on the board, and the standing of its workers.

use super::{
    Counts, Evidence, InvalidOutcomes, Outcome, Record, ReportId, ReportedOutcomes, Standing,
    assess,
};
use crate::place::UNRESPONSIVE_AFTER;
use crate::{Board, Ticket, WorkerState, WorkerView};
use bluebellreel_types::{EntryName, Moment, WorkerName};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// Interval between assessments while no bad outcome changes.
const ASSESS_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between assessments: each looks at all workers, which takes 0.1 ms with
/// 1,900 of them, and reports with bad outcomes may arrive hundreds of times a second.
const MIN_ASSESS_INTERVAL: Duration = Duration::from_millis(20);

/// A change of a worker's standing.
#[derive(Clone, Debug, PartialEq)]
pub struct StandingChange {
    /// The worker.
    pub worker: WorkerName,
    /// Its standing before.
    pub before: Standing,
    /// Its standing now.
    pub after: Standing,
    /// The outcomes that decided it.
    pub counts: Counts,
    /// Share of bad outcomes, with the service's share as a prior.
    pub share: f64,
}

impl Board {
    /// Counts the outcome of a run of this daemon, if evidence is in use.
    ///
    /// A run that is lost at a worker that leaves, or that has restarted since, says nothing
    /// about the worker that is listed now. Returns whether the outcome was counted.
    pub fn note_outcome(&mut self, ticket: &Ticket, outcome: Outcome, now: Moment) -> bool {
        let is_previous = self.is_from_previous_incarnation(ticket);
        let Some(evidence) = &mut self.evidence else {
            return false;
        };
        let Some(view) = self.views.get(&ticket.worker) else {
            return false;
        };
        let is_counted = !is_previous && view.record.state == WorkerState::Ready;
        if is_counted {
            evidence.note(view.tag(), outcome, now);
        }
        is_counted
    }

    /// Counts a run of which nothing came in time as lost, unless its worker seems to be
    /// busy: it has more requests than slots, or sends events of other runs. While a service
    /// is overloaded, its workers would otherwise seem to fail, and the others would get
    /// their load as well. Returns whether the run was counted.
    pub fn note_late(&mut self, ticket: &Ticket, now: Moment) -> bool {
        let is_busy = self.views.get(&ticket.worker).is_none_or(|view| {
            let has_queue = view.running().online > view.record.slots;
            has_queue || !(view.last_event_at + UNRESPONSIVE_AFTER).is_past(now)
        });
        !is_busy && self.note_outcome(ticket, Outcome::Bad, now)
    }

    /// Applies a peer's reported outcomes, if evidence is in use.
    ///
    /// # Errors
    ///
    /// As [`Evidence::take`].
    pub fn take_outcomes(
        &mut self,
        peer: &EntryName,
        id: ReportId,
        outcomes: ReportedOutcomes,
        now: Moment,
    ) -> Result<(), InvalidOutcomes> {
        let tags = &self.tags;
        let Some(evidence) = &mut self.evidence else {
            return Ok(());
        };
        evidence.take(peer, id, outcomes, |tag| tags.contains_key(&tag), now)
    }

    /// Assesses the ready workers if that is due, and returns the changes.
    pub fn assess_workers(&mut self, now: Moment) -> Vec<StandingChange> {
        let Some(evidence) = &mut self.evidence else {
            return Vec::new();
        };
        let interval = if evidence.has_changed {
            MIN_ASSESS_INTERVAL
        } else {
            ASSESS_INTERVAL
        };
        if !(evidence.assessed_at + interval).is_past(now) {
            return Vec::new();
        }
        evidence.has_changed = false;
        evidence.assessed_at = now;
        evidence.check_own_path(now);
        let mut services: BTreeMap<Arc<str>, Vec<&mut WorkerView>> = BTreeMap::new();
        for view in self.views.values_mut() {
            if view.record.state == WorkerState::Ready {
                let service = view.record.service.clone();
                services.entry(service).or_default().push(view);
            } else {
                view.standing = Standing::default();
            }
        }
        let services = services.into_values();
        services
            .flat_map(|views| update_service(evidence, views, now))
            .collect()
    }

    /// Number of ready workers by standing.
    #[must_use]
    pub fn count_standing(&self, standing: Standing) -> usize {
        let ready = self
            .worker_views()
            .filter(|s| s.record.state == WorkerState::Ready);
        ready.filter(|s| s.standing == standing).count()
    }
}

fn update_service(
    evidence: &Evidence,
    views: Vec<&mut WorkerView>,
    now: Moment,
) -> Vec<StandingChange> {
    let records: Vec<Record> = views
        .iter()
        .map(|view| Record {
            slots: view.record.slots,
            counts: evidence.counts(view.tag(), now),
        })
        .collect();
    let assessed = assess(&records).into_iter().zip(&records);
    let mut changes = Vec::new();
    for (view, (assessment, record)) in views.into_iter().zip(assessed) {
        let before = std::mem::replace(&mut view.standing, assessment.standing);
        if before != assessment.standing {
            changes.push(StandingChange {
                worker: view.record.id.clone(),
                before,
                after: assessment.standing,
                counts: record.counts,
                share: assessment.share,
            });
        }
    }
    changes
}
