//! A small round of the process-fault example.

mod common;

/// Real processes are killed and paused under load: the owner, side processes,
/// engines, with an outage of the key-value service. Every item must end once,
/// no booking may run twice, and "not run" must be true.
#[test]
fn killed_and_paused_processes_lose_and_double_nothing() {
    let arguments = ["--items", "600", "--rounds", "1", "--window", "2"];
    common::run_example("process_faults", &arguments);
}
