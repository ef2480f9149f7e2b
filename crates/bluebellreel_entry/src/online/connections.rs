//! Chooses the listed workers that the daemon connects to.

use crate::handles::DaemonHandles;
use crate::platform::ListedWorker;
use bluebellreel_routing::{
    ConnectionLimits, ConnectionNeeds, ConnectionPlanner, Listing, rendezvous_score,
};
use bluebellreel_rpc::EntryNotice;
use bluebellreel_types::{Moment, WorkerName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval between two connection plans.
const PLAN_PERIOD: Duration = Duration::from_millis(500);

/// Plans the daemon's connections.
pub(crate) struct ConnectionsComponent {
    planner: ConnectionPlanner,
    listed: BTreeMap<WorkerName, ListedWorker>,
    next_plan_at: Moment,
}

/// Workers that the daemon should be connected to.
pub(crate) struct ConnectionTargets {
    pub(crate) workers: Vec<ListedWorker>,
    /// Whether some model lacks workers that may still be found.
    pub(crate) is_short: bool,
}

impl ConnectionsComponent {
    pub(crate) fn new(handles: &DaemonHandles) -> Self {
        let limits = ConnectionLimits {
            full_mesh_limit: handles.settings.limits.max_workers_connect_all,
            per_model: handles.settings.limits.workers_per_model,
            ..ConnectionLimits::default()
        };
        let entry_key = rendezvous_score(0, handles.settings.name.as_str());
        Self {
            planner: ConnectionPlanner::new(
                limits,
                entry_key,
                handles.settings.data_centre.clone(),
            ),
            listed: BTreeMap::new(),
            next_plan_at: Moment::DISTANT_FUTURE,
        }
    }

    /// Replaces the VM list and makes a new plan due at once.
    pub(crate) fn set_vm_list(&mut self, list: Vec<ListedWorker>) {
        let listing = |listed: &ListedWorker| Listing {
            worker: listed.name.clone(),
            data_centre: listed.data_centre.clone(),
        };
        self.planner.list(list.iter().map(listing).collect());
        self.listed = list.into_iter().map(|l| (l.name.clone(), l)).collect();
        self.next_plan_at = Moment(0);
    }

    /// Records the models that a worker serves, and workers that are unreachable.
    pub(crate) fn on_notice(&mut self, notice: &EntryNotice, now: Moment) {
        match notice {
            EntryNotice::Connected(hello) => {
                let models = hello.models.iter().cloned();
                self.planner.note_models(&hello.worker, models, now);
            }
            EntryNotice::Load { worker, load } => {
                let models = load.models.iter().cloned();
                self.planner.note_models(worker, models, now);
            }
            EntryNotice::Lost(worker) => self.planner.note_unreachable(worker, now),
            _ => {}
        }
    }

    /// Whether the next plan is due.
    pub(crate) fn is_due(&self, now: Moment) -> bool {
        self.next_plan_at.is_past(now)
    }

    /// Chooses the workers to connect to and schedules the next plan.
    pub(crate) fn plan(&mut self, needs: &ConnectionNeeds, now: Moment) -> ConnectionTargets {
        self.next_plan_at = now + PLAN_PERIOD;
        let plan = self.planner.plan(needs, now);
        let listed = plan.workers.iter().filter_map(|w| self.listed.get(w));
        ConnectionTargets {
            workers: listed.cloned().collect(),
            is_short: plan.is_short,
        }
    }
}
