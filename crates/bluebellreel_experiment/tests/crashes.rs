//! Requests that crash engines, in the experiment tool.

use bluebellreel_experiment::{Mode, Scenario, simulate};

/// One online request in twenty crashes its engine. Each crash is counted and breaks
/// the streams at the engine, and the engine restarts after its crash duration.
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
    let (without, crashing) = (with(0), with(20));
    assert_eq!(without.engines_crashed, 0);
    assert!(crashing.engines_crashed > 0);
    assert!(crashing.online.in_time > without.online.in_time / 2);
    assert!(crashing.online.in_time < without.online.in_time);
}
