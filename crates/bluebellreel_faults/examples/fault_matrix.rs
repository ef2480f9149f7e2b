//! Prints the fault matrix as the table of docs/FAULTS.md.

use bluebellreel_faults::{CellResult, run_matrix, table};

fn main() {
    let cells = run_matrix();
    println!("{}", table(&cells));
    for (cell, result) in &cells {
        let name = format!("{} at {}", cell.fault.name(), cell.step.name());
        match result {
            CellResult::Held(_) => {}
            CellResult::Violated(reasons) => println!("broken: {name}: {}", reasons.join("; ")),
            CellResult::DoesNotApply(reason) => println!("–: {name}: {reason}"),
        }
    }
}
