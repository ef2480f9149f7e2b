//! Jobs that are ended during a run, in the experiment tool.

use bluebellreel_experiment::{BatchFigures, Mode, Scenario, simulate};

fn batch(team: &str) -> BatchFigures {
    let text = format!(
        "name = 'ends'\nseconds = 6\nworkers = 2\nonline_rate = 20\n\
         [[teams]]\nname = 'sligo'\nitems = 60000\n{team}"
    );
    let scenario = Scenario::try_from(text.as_str()).expect("a scenario");
    simulate(&scenario, Mode::Full).batch
}

/// An owner that receives its job's end immediately starts no item of the job
/// afterwards.
#[test]
fn no_item_starts_after_the_end_is_received() {
    let (whole, ended) = (batch(""), batch("ends = 2.0\n"));
    assert_eq!(ended.started_late, 0);
    assert!(ended.items > 0 && ended.items < whole.items);
}

/// An owner that receives the end late starts items until then, and none after it.
#[test]
fn late_starts_before_the_end_is_received_are_counted() {
    let ended = batch("ends = 2.0\nheard_after = 1.5\n");
    assert!(ended.started_late > 0);
    assert!(ended.latest_start_ms > 1_000.0 && ended.latest_start_ms <= 1_500.0);
}

/// An invalid time is refused with an error that names its team.
#[test]
fn an_invalid_time_is_refused_with_its_team() {
    let text = "[[teams]]\nname = 'sligo'\nitems = 1\nends = -1.0\n";
    let refusal = Scenario::try_from(text).expect_err("a time before the begin");
    assert!(refusal.contains("sligo"), "{refusal}");
}
