//! Requests that crash engines, in the experiment tool.

use bluebellreel_experiment::{Mode, Scenario, simulate};

/// One online request in twenty crashes its engine: the crash is counted, cuts what runs
/// there, and the engine is back after its time.
#[test]
fn engines_crash_under_requests_and_come_back() {
    let with = |crash_every: u32| {
        let text = format!(
            "name = 'crashes'\nseconds = 4\nonline_rate = 20\ncrash_every = {crash_every}\n\
             crash_seconds = 0.2\n"
        );
        let scenario = Scenario::try_from(text.as_str()).expect("a scenario");
        simulate(&scenario, Mode::NoBatch)
    };
    let (calm, crashing) = (with(0), with(20));
    assert_eq!(calm.engines_crashed, 0);
    assert!(crashing.engines_crashed > 0);
    assert!(crashing.online.in_time > calm.online.in_time / 2);
    assert!(crashing.online.in_time < calm.online.in_time);
}
