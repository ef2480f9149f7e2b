//! Measures the cost of jobs: calls to the key-value service, memory, take-over time and
//! repeated items.

use bluebellreel_site::{MODEL, ProcessPlan, ProcessSite, chat_line, run_with_stand_ins};
use eyre::ensure;
use serde_json::Value;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

const MAX_WAIT: Duration = Duration::from_mins(4);

fn main() -> ExitCode {
    run_with_stand_ins(run)
}

fn run() -> eyre::Result<()> {
    println!("items   KV writes  per 1000  KV reads  owner's peak memory  items/s");
    for items in [1_000, 8_000, 64_000] {
        measure_job(items)?;
    }
    measure_take_over()
}

fn plan() -> ProcessPlan {
    ProcessPlan {
        entries: 2,
        engines: 4,
        window: 32,
        step_micros: 4_000,
    }
}

fn lines(items: u32) -> Vec<String> {
    (0..items)
        .map(|n| chat_line(&format!("note-{n}"), MODEL, &format!("return note {n}"), 4))
        .collect()
}

/// Writes and reads of the key-value service so far, without lease renewals and watches.
fn job_calls(site: &ProcessSite) -> eyre::Result<(u64, u64)> {
    let counts: Value = site.kv_counts()?;
    let count_of = |path: &str| counts["by_path"][path].as_u64().unwrap_or(0);
    Ok((count_of("/v3/kv/txn"), count_of("/v3/kv/range")))
}

fn measure_job(items: u32) -> eyre::Result<()> {
    let site = ProcessSite::start(&plan())?;
    let caller = site.caller(0);
    let body = lines(items);
    let (writes, reads) = job_calls(&site)?;
    let idle = site.entries[0].peak_memory_kib()?;
    let began = Instant::now();
    let id = caller.submit("costs", &body)?.id;
    // Poll the operator's view instead of the job, because reading the job would add calls to
    // the measured cost.
    thread::sleep(Duration::from_secs(1));
    while in_progress(&site)? {
        thread::sleep(Duration::from_millis(200));
    }
    let took = began.elapsed();
    let (writes_after, reads_after) = job_calls(&site)?;
    let finished_job = caller.wait(&id, MAX_WAIT)?;
    ensure!(
        finished_job.request_counts.completed == items,
        "{finished_job:?}"
    );
    let peak = site.entries[0].peak_memory_kib()?;
    let writes = writes_after - writes;
    println!(
        "{items:>6} {writes:>10} {:>9.1} {:>9} {:>12} KiB ({:+} over idle) {:>7.0}",
        f64::from(u32::try_from(writes)?) * 1_000.0 / f64::from(items),
        reads_after - reads,
        peak,
        peak.saturating_sub(idle),
        f64::from(items) / took.as_secs_f64(),
    );
    Ok(())
}

/// Whether any job is running according to the daemon.
fn in_progress(site: &ProcessSite) -> eyre::Result<bool> {
    let (_, text) = site
        .operator(0)
        .send("GET", "/operator/v1/outcomes", &[], b"")?;
    let outcomes: Value = serde_json::from_str(&text)?;
    Ok(outcomes["items_finish_once"]["running_jobs"].as_u64() != Some(0))
}

/// Kills the owner of a job and measures the time until another daemon owns the job and the
/// number of items that run again.
fn measure_take_over() -> eyre::Result<()> {
    println!("\nowner killed: lease 3 s");
    for round in 1..=3 {
        let mut site = ProcessSite::start(&ProcessPlan {
            step_micros: 20_000,
            window: 16,
            ..plan()
        })?;
        let id = site.caller(0).submit("costs", &lines(4_000))?.id;
        thread::sleep(Duration::from_secs(3));
        let recorded = site.caller(1).results(&id)?.len();
        let began = Instant::now();
        site.entries[0].kill()?;
        while !owns(&site)? {
            thread::sleep(Duration::from_millis(20));
        }
        let takeover_time = began.elapsed();
        let finished_job = site.caller(1).wait(&id, MAX_WAIT)?;
        ensure!(
            finished_job.request_counts.completed == 4_000,
            "{finished_job:?}"
        );
        let started = site.engine_requests()?;
        println!(
            "round {round}: taken over after {takeover_time:.1?}; {recorded} of 4000 were recorded; \
             {} attempts over one an item",
            started.saturating_sub(4_000)
        );
    }
    Ok(())
}

fn owns(site: &ProcessSite) -> eyre::Result<bool> {
    let (_, text) = site
        .operator(1)
        .send("GET", "/operator/v1/outcomes", &[], b"")?;
    let outcomes: Value = serde_json::from_str(&text)?;
    let owned = outcomes["items_finish_once"]["owned"].as_array();
    Ok(owned.is_some_and(|jobs| !jobs.is_empty()))
}
