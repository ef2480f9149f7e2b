//! Helpers shared by the tests that run example programs.

use std::path::Path;
use std::process::Command;

/// Builds an example, runs it and requires a successful exit.
pub fn run_example(name: &str, arguments: &[&str]) {
    let daemon = Path::new(env!("CARGO_BIN_EXE_bluebellreel"));
    let built = Command::new(env!("CARGO"))
        .args(["build", "--quiet", "--example", name])
        .status()
        .expect("cargo runs");
    assert!(built.success());
    let example = daemon.with_file_name("examples").join(name);
    let output = Command::new(example)
        .args(arguments)
        .output()
        .expect("the example runs");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
}
