//! Measures running costs: CPU time of requests and items, control traffic of idle
//! connections, and the time until a change is applied.

use bluebellreel_site::{
    MODEL, ProcessPlan, ProcessSite, Site, SitePlan, chat_line, run_with_stand_ins,
};
use eyre::{OptionExt, ensure};
use serde_json::Value;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

/// Clock ticks per second of CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const IDLE_PERIOD: Duration = Duration::from_secs(8);

fn main() -> ExitCode {
    run_with_stand_ins(run)
}

fn run() -> eyre::Result<()> {
    measure_cpu()?;
    measure_idle()?;
    measure_change()
}

/// CPU time that a process has used, in seconds.
fn cpu_seconds(id: u32) -> eyre::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let after = stat.rsplit(')').next().ok_or_eyre("no fields")?;
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

fn plan(entries: usize, engines: usize) -> ProcessPlan {
    ProcessPlan {
        entries,
        engines,
        window: 32,
        step_micros: 2_000,
    }
}

fn measure_cpu() -> eyre::Result<()> {
    const REQUESTS: usize = 3_000;
    const ITEMS: u32 = 16_000;
    let site = ProcessSite::start(&plan(1, 3))?;
    let entry_id = site.entries[0].id();
    let cpu_of_sides = |site: &ProcessSite| -> eyre::Result<f64> {
        site.sides.iter().map(|side| cpu_seconds(side.id())).sum()
    };
    let (entry_before, sides_before) = (cpu_seconds(entry_id)?, cpu_of_sides(&site)?);
    thread::scope(|scope| {
        for thread in 0..16 {
            let caller = site.caller(0);
            scope.spawn(move || {
                for n in 0..REQUESTS / 16 {
                    caller.chat(&format!("question {thread} {n}"), 8).ok();
                }
            });
        }
    });
    let (entry_cpu, sides_cpu) = (cpu_seconds(entry_id)?, cpu_of_sides(&site)?);
    let each = |span: f64, count: f64| span * 1e6 / count;
    println!(
        "online request of 8 tokens: entry {:.0} µs, side {:.0} µs of CPU",
        each(entry_cpu - entry_before, 3_000.0),
        each(sides_cpu - sides_before, 3_000.0)
    );
    let lines: Vec<String> = (0..ITEMS)
        .map(|n| chat_line(&format!("n{n}"), MODEL, &format!("note {n}"), 8))
        .collect();
    let job = site.caller(0).submit("cpu", &lines)?.id;
    let finished_job = site.caller(0).wait(&job, Duration::from_mins(2))?;
    ensure!(
        finished_job.request_counts.completed == ITEMS,
        "{finished_job:?}"
    );
    println!(
        "batch item of 8 tokens: entry {:.0} µs, side {:.0} µs of CPU",
        each(cpu_seconds(entry_id)? - entry_cpu, f64::from(ITEMS)),
        each(cpu_of_sides(&site)? - sides_cpu, f64::from(ITEMS))
    );
    Ok(())
}

/// Bytes received on the loopback interface so far.
fn loopback_bytes() -> eyre::Result<f64> {
    let table = std::fs::read_to_string("/proc/net/dev")?;
    let line = table.lines().find(|l| l.trim_start().starts_with("lo:"));
    let field = line.and_then(|l| l.split_whitespace().nth(1));
    Ok(field.ok_or_eyre("no loopback")?.parse()?)
}

/// Runs an idle site and returns its loopback bytes per second and, of the first entry
/// daemon, the CPU percentage and peak memory in KiB.
fn measure_idle_site(entries: usize, engines: usize) -> eyre::Result<(f64, f64, u64)> {
    let site = ProcessSite::start(&plan(entries, engines))?;
    thread::sleep(Duration::from_secs(2));
    let (bytes, used) = (loopback_bytes()?, cpu_seconds(site.entries[0].id())?);
    thread::sleep(IDLE_PERIOD);
    let seconds = IDLE_PERIOD.as_secs_f64();
    Ok((
        (loopback_bytes()? - bytes) / seconds,
        100.0 * (cpu_seconds(site.entries[0].id())? - used) / seconds,
        site.entries[0].peak_memory_kib()?,
    ))
}

fn measure_idle() -> eyre::Result<()> {
    let (one, cpu_one, memory_one) = measure_idle_site(1, 12)?;
    let (two, _, _) = measure_idle_site(2, 12)?;
    let (wide, cpu_wide, memory_wide) = measure_idle_site(1, 36)?;
    let (wide_two, _, _) = measure_idle_site(2, 36)?;
    println!(
        "idle entry with 13 workers: {:.1} KB/s both ways, {cpu_one:.2} % of a core, {memory_one} KiB",
        (two - one) / 1_000.0
    );
    let sides = 24.0;
    println!(
        "each further connection of an entry: {:.0} B/s both ways",
        ((wide_two - wide) - (two - one)) / sides
    );
    println!(
        "each further worker: {:.0} B/s in all (its polling of its engine included), \
         {:.4} % of a core and {:.1} KiB in the entry",
        (wide - one) / sides,
        (cpu_wide - cpu_one) / sides,
        f64::from(u32::try_from(memory_wide.saturating_sub(memory_one))?) / sides
    );
    Ok(())
}

/// Measures the time from putting a manifest until it is applied everywhere.
fn measure_change() -> eyre::Result<()> {
    for workers in [17, 57, 197] {
        let site = Site::start(&SitePlan {
            entries: 3,
            workers,
            services: 0,
            entry_settings: "[limits]\nworkers_whole = 1000\n".into(),
            ..SitePlan::default()
        })?;
        let mut times = Vec::new();
        for generation in 1..=5_u32 {
            let base_generation = generation.to_string();
            let headers = [("If-Match", base_generation.as_str())];
            let text = format!("{}# change {generation}\n", site.manifest());
            let path = "/operator/v1/manifest";
            let began = Instant::now();
            let (status, answer) = site
                .operator(0)
                .send("PUT", path, &headers, text.as_bytes())?;
            ensure!(status == 200, "{status}: {answer}");
            while !in_force(&site, generation + 1, workers)? {
                thread::sleep(Duration::from_millis(5));
            }
            times.push(began.elapsed());
        }
        times.sort();
        println!(
            "change in force on {} receivers: median {:.0?}, longest {:.0?} of 5",
            workers + 3,
            times[2],
            times[4]
        );
    }
    Ok(())
}

fn in_force(site: &Site, generation: u32, workers: usize) -> eyre::Result<bool> {
    for entry in 0..3 {
        let (_, text) = site
            .operator(entry)
            .send("GET", "/operator/v1/outcomes", &[], b"")?;
        let view: Value = serde_json::from_str(&text)?;
        let changes = &view["changes_hold"];
        let all = changes["generation"] == generation && changes["in_force"] == workers;
        if !all {
            return Ok(false);
        }
    }
    Ok(true)
}
