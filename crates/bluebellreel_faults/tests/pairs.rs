//! Two faults in one run, drawn with a fixed seed.

use bluebellreel_faults::{Fault, Plan, Step, Strike, run_plan};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// Pairs that are drawn.
const PAIRS: u32 = 150;
/// Seed of the draws.
const SEED: u64 = 4;

fn strikes() -> impl Strategy<Value = Strike> {
    let fault = proptest::sample::select(&Fault::ALL[..]);
    let step = proptest::sample::select(&Step::ALL[..]);
    (fault, step, 1_u32..5).prop_map(|(fault, step, nth)| Strike { fault, step, nth })
}

/// Faults come two at a time: the second one while the first is being dealt
/// with. What must always hold, holds.
#[test]
fn two_faults_together() {
    let config = Config {
        cases: PAIRS,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        max_shrink_iters: 20,
        ..Config::default()
    };
    let plans = (strikes(), strikes(), any::<bool>(), 0_u64..1_000);
    let outcome = TestRunner::new(config).run(&plans, |(one, other, owner_dies, seed)| {
        let plan = Plan {
            strikes: vec![one, other],
            owner_dies,
            ..Plan::quiet(seed)
        };
        let report = run_plan(&plan);
        prop_assert!(report.broken.is_empty(), "{:#?}", report.broken);
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
