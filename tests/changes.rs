//! Runs the `changes` example: configuration changes under load.

mod common;

/// A change, two concurrent operators, an outage, a daemon killed during a change and a
/// drain, all under a constant load of requests. Each accepted change must be applied
/// everywhere and not reverted, and no request may fail.
#[test]
fn changes_apply_everywhere_without_failed_requests() {
    common::run_example("changes", &[]);
}
