//! Long outages of the key-value service.

use bluebellreel_faults::{Fault, Plan, Step, run_plan};
use std::time::Duration;

/// The service is down for five minutes, from each step in turn, with and
/// without the death of a job's owner before it. All leases lapse; jobs wait
/// with their results in memory. After it everything that was accepted ends
/// once, and nothing that was refused has run.
#[test]
fn five_minutes_without_the_key_value_service() {
    let mut struck = 0;
    for step in Step::ALL {
        for owner_dies in [false, true] {
            let plan = Plan {
                trouble: Duration::from_mins(5),
                owner_dies,
                ..Plan::one(Fault::KvDown, step, 1, 7)
            };
            let report = run_plan(&plan);
            assert_eq!(report.broken, Vec::<String>::new(), "{step:?} {owner_dies}");
            assert!(
                report.took < plan.trouble * 2,
                "{step:?}: {:?}",
                report.took
            );
            struck += u32::from(report.struck);
        }
    }
    assert!(struck > 10, "{struck} outages struck");
}
