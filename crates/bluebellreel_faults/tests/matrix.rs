//! The fault matrix.

use bluebellreel_faults::{CellResult, Plan, run_matrix, run_plan, table};

#[test]
fn nothing_is_lost_or_doubled_without_faults() {
    let report = run_plan(&Plan::without_faults(1));
    assert_eq!(report.violations, Vec::<String>::new());
    assert_eq!(
        report.in_doubt, 0,
        "a run without faults leaves no booking in doubt"
    );
}

/// Injects every fault at every step and checks that all invariants hold.
#[test]
fn every_fault_at_every_step() {
    let cells = run_matrix();
    println!("{}", table(&cells));
    let mut violations = Vec::new();
    for (cell, result) in &cells {
        if let CellResult::Violated(reasons) = result {
            violations.push(format!(
                "{} at {}: {reasons:#?}",
                cell.fault.name(),
                cell.step.name()
            ));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}
