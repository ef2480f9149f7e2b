//! Comparison of the four runs, as a table and as a plot.

use crate::simulation::to_f64;
use crate::{Mode, Outcome, Scenario, simulate};
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;
use std::path::Path;
use std::thread;

/// The four runs of a scenario and their ratios.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// The runs, one for each mode.
    pub outcomes: Vec<Outcome>,
    /// 99th percentile of the time to first token, with batch relative to without.
    pub first_token_p99: f64,
    /// 95th percentile of the time between tokens, with batch relative to without.
    pub inter_token_p95: f64,
    /// Batch tokens, in percent of the capacity that online requests leave.
    pub batch_of_left_percent: f64,
    /// Retries, in percent of first attempts.
    pub retry_percent: f64,
    /// Requests that completed in time, in percent of those that arrived.
    pub in_time_percent: f64,
    /// Share of the most served team, relative to a fair share.
    pub most_over_fair: f64,
    /// Share of the least served team, relative to a fair share.
    pub least_over_fair: f64,
}

/// Runs a scenario in all modes in parallel.
///
/// # Panics
///
/// Panics if a run panics.
#[must_use]
pub fn compare(scenario: &Scenario) -> Comparison {
    let modes = [Mode::Full, Mode::NoBatch, Mode::BatchAlone, Mode::FirstCome];
    let outcomes: Vec<Outcome> = thread::scope(|scope| {
        let run = |mode| scope.spawn(move || simulate(scenario, mode));
        let threads: Vec<_> = modes.into_iter().map(run).collect();
        let done = threads
            .into_iter()
            .map(|t| t.join().expect("a run does not panic"));
        done.collect()
    });
    let (full, none, alone) = (&outcomes[0], &outcomes[1], &outcomes[2]);
    let remaining = alone.batch.tokens_per_second - full.online_tokens_per_second;
    let served: Vec<f64> = full.batch.served.values().map(|s| to_f64(*s)).collect();
    let fair = served.iter().sum::<f64>() / to_f64(served.len().max(1) as u64);
    let share = |pick: fn(f64, f64) -> f64, from: f64| {
        served.iter().copied().fold(from, pick) / fair.max(1.0)
    };
    Comparison {
        scenario: scenario.name.clone(),
        first_token_p99: ratio(
            full.online.first_token.p99_ms,
            none.online.first_token.p99_ms,
        ),
        inter_token_p95: ratio(
            full.online.inter_token.p95_ms,
            none.online.inter_token.p95_ms,
        ),
        batch_of_left_percent: 100.0 * ratio(full.batch.tokens_per_second, remaining),
        retry_percent: 100.0
            * ratio(
                to_f64(full.online.retries),
                to_f64(full.online.first_attempts),
            ),
        in_time_percent: 100.0 * ratio(to_f64(full.online.in_time), to_f64(full.online.arrived)),
        most_over_fair: share(f64::max, 0.0),
        least_over_fair: share(f64::min, f64::INFINITY),
        outcomes,
    }
}

fn ratio(of: f64, to: f64) -> f64 {
    if to > 0.0 { of / to } else { 0.0 }
}

/// Formats the comparison as a table.
#[must_use]
pub fn table(comparison: &Comparison) -> String {
    let mut text = format!(
        "{}\n{:<13} {:>27} {:>20} {:>8} {:>8} {:>7} {:>10} {:>7} {:>8}\n",
        comparison.scenario,
        "run",
        "first token p50/p95/p99 ms",
        "inter p50/p95/p99",
        "in time",
        "refused",
        "items/s",
        "tokens/s",
        "waste%",
        "gave way",
    );
    for outcome in &comparison.outcomes {
        let (first, inter) = (outcome.online.first_token, outcome.online.inter_token);
        let first = format!(
            "{:.1}/{:.1}/{:.1}",
            first.p50_ms, first.p95_ms, first.p99_ms
        );
        let inter = format!(
            "{:.1}/{:.1}/{:.1}",
            inter.p50_ms, inter.p95_ms, inter.p99_ms
        );
        writeln!(
            text,
            "{:<13} {first:>27} {inter:>20} {:>8} {:>8} {:>7.0} {:>10.0} {:>7.2} {:>8}",
            outcome.mode,
            outcome.online.in_time,
            outcome.online.refused,
            outcome.batch.items_per_second,
            outcome.batch.tokens_per_second,
            outcome.batch.wasted_percent,
            outcome.batch.preemptions,
        )
        .ok();
    }
    let full = &comparison.outcomes[0];
    writeln!(
        text,
        "first token p99 {:.3}x of no batch | inter-token p95 {:.3}x | batch {:.1}% of what is left \
         | place free p99 {:.1} ms | retries {:.1}% | in time {:.2}% | shares {:.2}..{:.2} of fair \
         | broken gap p99 {:.1} ms | started after their job's end {}, latest {:.0} ms",
        comparison.first_token_p99,
        comparison.inter_token_p95,
        comparison.batch_of_left_percent,
        full.online.preemption.p99_ms,
        comparison.retry_percent,
        comparison.in_time_percent,
        comparison.least_over_fair,
        comparison.most_over_fair,
        full.online.broken_gap.p99_ms,
        full.batch.started_late,
        full.batch.latest_start_ms,
    )
    .ok();
    text
}

/// Selects the value of a point that is drawn.
type PickFn = fn(&crate::Sample) -> f64;

/// Draws time to first token and batch throughput over time as an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw(comparison: &Comparison, path: &Path) -> eyre::Result<()> {
    let full = &comparison.outcomes[0];
    let end = full.samples.last().map_or(1.0, |s| s.at);
    let axis_max =
        |of: fn(&crate::Sample) -> f64| full.samples.iter().map(of).fold(1.0, f64::max) * 1.1;
    let root = SVGBackend::new(path, (900, 560)).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(280);
    let parts: [(&str, f64, PickFn); 2] = [
        ("first token p95, ms", axis_max(|s| s.first_token_ms), |s| {
            s.first_token_ms
        }),
        ("batch tokens/s", axis_max(|s| s.batch_tokens), |s| {
            s.batch_tokens
        }),
    ];
    for (area, (title, axis_max, of)) in [upper, lower].iter().zip(parts) {
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{}: {title}", comparison.scenario),
                ("sans-serif", 16),
            )
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end, 0.0..axis_max)?;
        chart.configure_mesh().draw()?;
        let points = full.samples.iter().map(|s| (s.at, of(s)));
        chart.draw_series(LineSeries::new(points, &BLUE))?;
    }
    root.present()?;
    Ok(())
}
