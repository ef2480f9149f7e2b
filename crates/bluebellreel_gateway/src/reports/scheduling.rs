//! The part of full reports and briefs that the scheduling features use. Each of its fields
//! is empty while its feature is off.

use super::demand::Demand;
use super::evidence::Evidence;
use super::reservations::Reservations;
use crate::gateway::Gateway;
use bluebellreel_types::{EntryName, Incarnation};
use serde::{Deserialize, Serialize};

/// The part after the notices of crashing parts of prompts, and after the limits of a brief.
#[derive(Default, Serialize, Deserialize)]
pub(super) struct Scheduling {
    evidence: Evidence,
    demand: Demand,
    reservations: Reservations,
}

impl Scheduling {
    pub(super) fn own(gw: &Gateway, is_brief: bool) -> Self {
        let features = gw.settings.scheduling;
        let mut part = Self::default();
        if features.worker_evidence {
            part.evidence = Evidence::own(gw, is_brief);
        }
        if features.job_deadlines {
            part.demand = Demand::own(gw, is_brief);
        }
        if features.token_reservations {
            part.reservations = Reservations::own(gw, is_brief);
        }
        part
    }

    /// Applies what a peer reports. `sequence` is that of the report; an older one may
    /// arrive later.
    pub(super) fn take(self, gw: &Gateway, peer: &EntryName, run: Incarnation, sequence: u64) {
        let features = gw.settings.scheduling;
        if features.worker_evidence {
            self.evidence.take(gw, peer, run, sequence);
        }
        if features.job_deadlines {
            self.demand.take(gw, peer, run, sequence);
        }
        if features.token_reservations {
            self.reservations.take(gw, peer, run, sequence);
        }
    }
}
