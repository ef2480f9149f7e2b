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

/// An owner that hears of its job's end at once starts nothing of it afterwards.
#[test]
fn nothing_starts_once_the_end_is_heard() {
    let (whole, ended) = (batch(""), batch("ends = 2.0\n"));
    assert_eq!(ended.started_late, 0);
    assert!(ended.items > 0 && ended.items < whole.items);
}

/// One that hears of it late starts items until then, and none later.
#[test]
fn starts_after_an_unheard_end_are_counted() {
    let ended = batch("ends = 2.0\nheard_after = 1.5\n");
    assert!(ended.started_late > 0);
    assert!(ended.latest_start_ms > 1_000.0 && ended.latest_start_ms <= 1_500.0);
}

/// A mistyped time is refused and its team named.
#[test]
fn times_that_cannot_be_are_named() {
    let text = "[[teams]]\nname = 'sligo'\nitems = 1\nends = -1.0\n";
    let refusal = Scenario::try_from(text).expect_err("a time before the begin");
    assert!(refusal.contains("sligo"), "{refusal}");
}
