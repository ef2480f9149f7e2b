//! A small round of the process-fault example.

use std::path::Path;
use std::process::Command;

/// Real processes are killed and paused under load: the owner, side processes,
/// engines, with an outage of the key-value service. Every item must end once,
/// no booking may run twice, and "not run" must be true.
#[test]
fn killed_and_paused_processes_lose_and_double_nothing() {
    let daemon = Path::new(env!("CARGO_BIN_EXE_bluebellreel"));
    // A run of this test alone builds no examples.
    let built = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--example", "process_faults"])
        .status()
        .expect("cargo runs");
    assert!(built.success());
    let example = daemon.with_file_name("examples").join("process_faults");
    let output = Command::new(example)
        .args(["--items", "600", "--rounds", "1", "--window", "2"])
        .output()
        .expect("the example runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}
