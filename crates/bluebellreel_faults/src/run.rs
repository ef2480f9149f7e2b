//! One run of the work through a plan's faults.

use crate::invariants;
use crate::plan::{Plan, Step};
use crate::scenario::Scenario;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest time until everything must be over.
const LONGEST: Duration = Duration::from_mins(4);
/// When the bulk booking is cancelled.
const CANCEL_AFTER: Duration = Duration::from_millis(200);
/// When members ask elsewhere what became of their calls.
const ASK_AFTER: Duration = Duration::from_millis(1_500);

/// How a run came out.
#[derive(Clone, Debug)]
pub struct Report {
    /// What must hold and did not.
    pub broken: Vec<String>,
    /// Whether every planned fault struck.
    pub struck: bool,
    /// How often each step was reached.
    pub reached: BTreeMap<Step, u32>,
    /// Time until everything was over.
    pub took: Duration,
    /// Items of the plain service's job that ended in doubt.
    pub in_doubt: usize,
}

/// Runs the work through a plan's faults and checks what must always hold.
#[must_use]
pub fn run_plan(plan: &Plan) -> Report {
    let mut scenario = Scenario::new(plan);
    let begun = scenario.world.now();
    scenario.world.run_for(Duration::from_millis(600));
    scenario.put_manifest(0, 0);
    scenario.start_jobs();
    scenario.start_calls();
    if plan.owner_dies {
        scenario.world.run_for(Duration::from_millis(300));
        let back = scenario.world.now() + Duration::from_secs(15);
        scenario.world.kill_entry(0, Some(back));
    }
    let cancel_at = scenario.world.now() + CANCEL_AFTER;
    let mut ask_at = Some(scenario.world.now() + ASK_AFTER);
    let until = begun + LONGEST + plan.trouble;
    while !until.is_past(scenario.world.now()) && !scenario.is_over() {
        scenario.world.turn();
        scenario.react();
        if cancel_at.is_past(scenario.world.now()) {
            scenario.cancel_harps(1);
        }
        if ask_at.is_some_and(|at| at.is_past(scenario.world.now())) {
            ask_at = None;
            scenario.ask_outcomes();
        }
        scenario.note_generations();
    }
    let took = scenario.world.now().since(begun);
    // Late and doubled messages still arrive, and nothing may come of them.
    scenario.world.run_for(Duration::from_secs(15));
    scenario.react();
    let in_doubt = invariants::check(&mut scenario);
    let kv = scenario.world.kv.clone();
    Report {
        broken: scenario.broken,
        struck: kv.with(|kv| kv.all_struck()),
        reached: Step::ALL
            .iter()
            .map(|step| (*step, kv.with(|kv| kv.reached(*step))))
            .collect(),
        took,
        in_doubt,
    }
}
