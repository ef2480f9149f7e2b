//! All faults by all steps.

use crate::plan::{Fault, Plan, Step};
use crate::run::{Report, run_plan};
use std::fmt::Write;

/// Times of a step at which a fault strikes, one run each.
const TIMES: [u32; 4] = [1, 2, 4, 7];
/// Seed of the matrix.
const SEED: u64 = 20_261_202;

/// One cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell {
    /// The fault.
    pub fault: Fault,
    /// The step.
    pub step: Step,
}

/// What a cell shows.
#[derive(Clone, Debug)]
pub enum CellResult {
    /// Everything held in so many runs.
    Held(usize),
    /// Something did not.
    Broken(Vec<String>),
    /// The fault cannot meet the step, and why.
    DoesNotApply(&'static str),
}

/// Why a fault cannot meet a step; none when it can.
#[must_use]
pub fn does_not_apply(cell: Cell) -> Option<&'static str> {
    let Cell { fault, step } = cell;
    let message = matches!(
        fault,
        Fault::MessageLate | Fault::MessageDoubled | Fault::AnswersCrossed
    );
    if message && !matches!(step, Step::Dispatch | Step::Result) {
        return Some("no message between entry and side is sent in this step");
    }
    if fault == Fault::AnswerLost && step == Step::ReadBack {
        return Some("a read has no effect whose answer could be lost");
    }
    None
}

/// Runs one cell.
#[must_use]
pub fn run_cell(cell: Cell) -> CellResult {
    if let Some(reason) = does_not_apply(cell) {
        return CellResult::DoesNotApply(reason);
    }
    let mut broken = Vec::new();
    let mut runs = 0;
    for nth in TIMES {
        let plan = Plan::one(cell.fault, cell.step, nth, SEED + u64::from(nth));
        let report: Report = run_plan(&plan);
        if !report.struck {
            // The step is not reached that often; the first time always is.
            if nth == TIMES[0] {
                broken.push(format!("{plan:?}: the step was never reached"));
            }
            continue;
        }
        runs += 1;
        broken.extend(report.broken.iter().map(|b| format!("time {nth}: {b}")));
    }
    if broken.is_empty() {
        CellResult::Held(runs)
    } else {
        CellResult::Broken(broken)
    }
}

/// Runs all cells.
///
/// # Panics
///
/// When a row did not run to its end.
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

/// The matrix as a table in Markdown.
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
                CellResult::Broken(_) => write!(text, " **broken** |").ok(),
                CellResult::DoesNotApply(_) => write!(text, " – |").ok(),
            };
        }
    }
    text.push('\n');
    text
}
