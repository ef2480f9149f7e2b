//! Tables printed for users.

use serde_json::Value;

/// Formats a JSON value for display.
fn display(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(list) if list.is_empty() => "-".into(),
        Value::Array(list) => list.iter().map(display).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

/// Prints rows with aligned columns.
pub(crate) fn print_table(head: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = head.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        println!("{}", padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(head.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}

/// Prints a job.
pub(crate) fn print_job(job: &Value) {
    let counts = &job["request_counts"];
    let row = vec![
        display(&job["id"]),
        display(&job["status"]),
        display(&counts["total"]),
        display(&counts["completed"]),
        display(&counts["failed"]),
        display(&job["deadline"]),
    ];
    let head = ["job", "status", "items", "completed", "failed", "deadline"];
    print_table(&head, &[row]);
}

/// Prints the outcomes.
pub(crate) fn print_outcomes(outcomes: &Value) {
    let row = |name: &str, key: &str, facts: &[&str]| {
        let outcome = &outcomes[key];
        let facts = facts
            .iter()
            .map(|fact| format!("{fact} {}", display(&outcome[*fact])));
        vec![
            name.to_owned(),
            display(&outcome["state"]),
            facts.collect::<Vec<_>>().join(", "),
        ]
    };
    let rows = [
        row(
            "people waiting get answers in time",
            "answers_in_time",
            &["in_time", "late"],
        ),
        row(
            "every accepted item finishes once and is readable",
            "items_finish_once",
            &["running_jobs", "orphaned_jobs", "late_jobs"],
        ),
        row(
            "accepted changes hold everywhere",
            "changes_hold",
            &["generation", "in_force", "workers", "behind"],
        ),
    ];
    print_table(&["outcome", "state", "facts"], &rows);
}
