//! Runs the `rolling_restart` example.

mod common;

/// Every daemon and every side process is restarted while callers send requests and a job
/// runs. No request may fail or be cut, and no item may be lost.
#[test]
fn rolling_restart_fails_and_cuts_no_request() {
    common::run_example("rolling_restart", &[]);
}
