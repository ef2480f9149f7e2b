//! Long outages of the key-value service.

use bluebellreel_faults::{Fault, Plan, Step, run_plan};
use std::time::Duration;

/// The service is unavailable for five minutes, starting at each step in turn, with and
/// without an earlier crash of the jobs' owner. All leases expire, and jobs keep their
/// results in memory. After the outage every accepted job ends once, and no refused
/// call has run.
#[test]
fn five_minutes_without_the_key_value_service() {
    let mut injected = 0;
    for step in Step::ALL {
        for owner_crashes in [false, true] {
            let plan = Plan {
                kv_fault_duration: Duration::from_mins(5),
                owner_crashes,
                ..Plan::single_fault(Fault::KvDown, step, 1, 7)
            };
            let report = run_plan(&plan);
            assert_eq!(
                report.violations,
                Vec::<String>::new(),
                "{step:?} {owner_crashes}"
            );
            assert!(
                report.took < plan.kv_fault_duration * 2,
                "{step:?}: {:?}",
                report.took
            );
            injected += u32::from(report.injected);
        }
    }
    assert!(injected > 10, "{injected} outages injected");
}
