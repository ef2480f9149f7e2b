//! One run of the workload through a plan's faults.

use crate::invariants;
use crate::plan::{Plan, Step};
use crate::scenario::Scenario;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time within which all jobs and calls must have ended, in addition to the duration of
/// a fault of the key-value service.
const MAX_DURATION: Duration = Duration::from_mins(4);
/// Time after the start at which the job "harps" is cancelled.
const CANCEL_AFTER: Duration = Duration::from_millis(200);
/// Time after the start at which callers query the outcomes of their calls through
/// another daemon.
const ASK_AFTER: Duration = Duration::from_millis(1_500);

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The invariants that did not hold.
    pub violations: Vec<String>,
    /// Whether every planned fault was injected.
    pub injected: bool,
    /// The number of times that each step was reached.
    pub reached: BTreeMap<Step, u32>,
    /// Time until all jobs and calls had ended.
    pub took: Duration,
    /// Number of the plain service's batch items that ended in doubt.
    pub in_doubt: usize,
}

/// Runs the workload through a plan's faults and checks the invariants.
#[must_use]
pub fn run_plan(plan: &Plan) -> Report {
    let mut scenario = Scenario::new(plan);
    let begun = scenario.world.now();
    scenario.world.run_for(Duration::from_millis(600));
    scenario.put_manifest(0, 0);
    scenario.start_jobs();
    scenario.start_calls();
    if plan.owner_crashes {
        scenario.world.run_for(Duration::from_millis(300));
        let back = scenario.world.now() + Duration::from_secs(15);
        scenario.world.crash_entry(0, Some(back));
    }
    let cancel_at = scenario.world.now() + CANCEL_AFTER;
    let mut ask_at = Some(scenario.world.now() + ASK_AFTER);
    let until = begun + MAX_DURATION + plan.kv_fault_duration;
    while !until.is_past(scenario.world.now()) && !scenario.is_finished() {
        scenario.world.run_tick();
        scenario.react();
        if cancel_at.is_past(scenario.world.now()) {
            scenario.cancel_harps(1);
        }
        if ask_at.is_some_and(|at| at.is_past(scenario.world.now())) {
            ask_at = None;
            scenario.ask_outcomes();
        }
        scenario.record_generations();
    }
    let took = scenario.world.now().since(begun);
    // Delayed and duplicated messages still arrive here. They must have no effect.
    scenario.world.run_for(Duration::from_secs(15));
    scenario.react();
    let in_doubt = invariants::check(&mut scenario);
    let kv = scenario.world.kv.clone();
    Report {
        violations: scenario.violations,
        injected: kv.with(|kv| kv.all_injected()),
        reached: Step::ALL
            .iter()
            .map(|step| (*step, kv.with(|kv| kv.reached(*step))))
            .collect(),
        took,
        in_doubt,
    }
}
