//! The rolling restart as a test.

use std::path::Path;
use std::process::Command;

/// Every daemon and every side process is restarted while people ask and a job
/// runs. No request may fail or be cut, and no item may be lost.
#[test]
fn rolling_restart_fails_and_cuts_nothing() {
    let daemon = Path::new(env!("CARGO_BIN_EXE_bluebellreel"));
    let built = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--example", "rolling_restart"])
        .status()
        .expect("cargo runs");
    assert!(built.success());
    let example = daemon.with_file_name("examples").join("rolling_restart");
    let output = Command::new(example).output().expect("the example runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}
