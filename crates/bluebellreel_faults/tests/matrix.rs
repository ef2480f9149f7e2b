//! The fault matrix.

use bluebellreel_faults::{CellResult, Plan, run_matrix, run_plan, table};

#[test]
fn nothing_is_lost_or_doubled_without_faults() {
    let report = run_plan(&Plan::quiet(1));
    assert_eq!(report.broken, Vec::<String>::new());
    assert_eq!(report.in_doubt, 0, "no fault, no doubt");
}

/// Every fault at every step: what must always hold, holds.
#[test]
fn every_fault_at_every_step() {
    let cells = run_matrix();
    println!("{}", table(&cells));
    let mut broken = Vec::new();
    for (cell, result) in &cells {
        if let CellResult::Broken(reasons) = result {
            broken.push(format!(
                "{} at {}: {reasons:#?}",
                cell.fault.name(),
                cell.step.name()
            ));
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
