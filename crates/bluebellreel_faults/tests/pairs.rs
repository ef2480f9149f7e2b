//! Two random faults in one run, with a fixed seed.

use bluebellreel_faults::{Fault, Injection, Plan, Step, run_plan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Number of pairs of faults.
const PAIRS: u32 = 150;
/// Seed of the random draws.
const SEED: u64 = 4;

fn injections() -> impl Strategy<Value = Injection> {
    let fault = proptest::sample::select(&Fault::ALL[..]);
    let step = proptest::sample::select(&Step::ALL[..]);
    (fault, step, 1_u32..5).prop_map(|(fault, step, nth)| Injection { fault, step, nth })
}

/// Injects two faults in one run, the second possibly while the system recovers from
/// the first, and checks that all invariants hold.
#[test]
fn two_faults_together() {
    let config = Config {
        cases: PAIRS,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    };
    let plans = (injections(), injections(), any::<bool>(), 0_u64..1_000);
    let outcome = TestRunner::new(config).run(&plans, |(one, other, owner_crashes, seed)| {
        let plan = Plan {
            injections: vec![one, other],
            owner_crashes,
            ..Plan::without_faults(seed)
        };
        let report = run_plan(&plan);
        prop_assert!(report.violations.is_empty(), "{:#?}", report.violations);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
