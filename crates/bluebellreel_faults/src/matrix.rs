//! Runs all combinations of a fault and a step.

use crate::plan::{Fault, Plan, Step};
use crate::run::{Report, run_plan};
use std::fmt::Write;

/// The occurrences of a step at which a fault is injected, one run each.
const OCCURRENCES: [u32; 4] = [1, 2, 4, 7];
/// Seed of the matrix; each run adds its occurrence number.
const SEED: u64 = 20_261_202;

/// One cell of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The fault.
    pub fault: Fault,
    /// The step.
    pub step: Step,
}

/// The result of a cell.
#[derive(Clone, Debug)]
pub enum CellResult {
    /// All invariants held in this number of runs.
    Held(usize),
    /// The violations found.
    Violated(Vec<String>),
    /// The fault cannot occur at the step, for this reason.
    DoesNotApply(&'static str),
}

/// The reason why a fault cannot occur at a step; `None` if it can.
#[must_use]
pub fn does_not_apply(cell: Cell) -> Option<&'static str> {
    let Cell { fault, step } = cell;
    let message = matches!(
        fault,
        Fault::MessageLate | Fault::MessageDuplicated | Fault::MessagesReordered
    );
    if message && !matches!(step, Step::Dispatch | Step::Result) {
        return Some("no message between entry and side is sent in this step");
    }
    if fault == Fault::AnswerLost && step == Step::ReadBack {
        return Some("a read has no effect whose answer could be lost");
    }
    None
}

/// Runs one cell, once for each occurrence of its step.
#[must_use]
pub fn run_cell(cell: Cell) -> CellResult {
    if let Some(reason) = does_not_apply(cell) {
        return CellResult::DoesNotApply(reason);
    }
    let mut violations = Vec::new();
    let mut runs = 0;
    for nth in OCCURRENCES {
        let plan = Plan::single_fault(cell.fault, cell.step, nth, SEED + u64::from(nth));
        let report: Report = run_plan(&plan);
        if !report.injected {
            // A run may not reach the step `nth` times, but must reach it at least
            // once.
            if nth == OCCURRENCES[0] {
                violations.push(format!("{plan:?}: the step was never reached"));
            }
            continue;
        }
        runs += 1;
        violations.extend(report.violations.iter().map(|v| format!("time {nth}: {v}")));
    }
    if violations.is_empty() {
        CellResult::Held(runs)
    } else {
        CellResult::Violated(violations)
    }
}

/// Runs all cells, each row in a thread of its own.
///
/// # Panics
///
/// Panics if a row's thread panics.
#[must_use]
pub fn run_matrix() -> Vec<(Cell, CellResult)> {
    let cells: Vec<Cell> = Fault::ALL
        .iter()
        .flat_map(|fault| {
            Step::ALL.iter().map(|step| Cell {
                fault: *fault,
                step: *step,
            })
        })
        .collect();
    std::thread::scope(|scope| {
        let run = |cells: Vec<Cell>| {
            scope.spawn(move || {
                let run = |cell| (cell, run_cell(cell));
                cells.into_iter().map(run).collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = cells
            .chunks(Step::ALL.len())
            .map(|row| run(row.to_vec()))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("a row ran to its end"))
            .collect()
    })
}

/// Formats the matrix as a Markdown table.
#[must_use]
pub fn table(cells: &[(Cell, CellResult)]) -> String {
    let mut text = String::from("| fault \\ step |");
    for step in Step::ALL {
        write!(text, " {} |", step.name()).ok();
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(Step::ALL.len()));
    for row in cells.chunks(Step::ALL.len()) {
        write!(text, "\n| {} |", row[0].0.fault.name()).ok();
        for (_, result) in row {
            match result {
                CellResult::Held(runs) => write!(text, " holds ({runs}) |").ok(),
                CellResult::Violated(_) => write!(text, " **broken** |").ok(),
                CellResult::DoesNotApply(_) => write!(text, " – |").ok(),
            };
        }
    }
    text.push('\n');
    text
}
