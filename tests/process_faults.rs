//! Runs the `process_faults` example with one small round.

mod common;

/// Processes are killed and paused under load: the owner of a job, side processes and
/// engines, with an outage of the key-value service. Every item must end once, no booking
/// may run twice, and a booking reported as "not run" must not have run.
#[test]
fn killed_and_paused_processes_lose_and_repeat_no_item() {
    let arguments = ["--items", "600", "--rounds", "1", "--window", "2"];
    common::run_example("process_faults", &arguments);
}
