//! The rolling restart as a test.

mod common;

/// Every daemon and every side process is restarted while people ask and a job
/// runs. No request may fail or be cut, and no item may be lost.
#[test]
fn rolling_restart_fails_and_cuts_nothing() {
    common::run_example("rolling_restart", &[]);
}
