//! Compares jobs whose chunks are stored in the key-value service with jobs whose chunks are
//! stored on disks.

use bluebellreel_site::{DiskPlan, Site, SitePlan, chat_line};
use bluebellreel_standins::EngineCosts;
use eyre::ensure;
use serde_json::Value;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

const MAX_WAIT: Duration = Duration::from_mins(4);
/// Length of a prompt in characters.
const NOTE_CHARS: usize = 400;

/// Measured cost of one job.
struct Cost {
    accepted_in: Duration,
    done_in: Duration,
    kv_bytes: u64,
    kv_writes: u64,
}

fn main() -> eyre::Result<()> {
    println!("items    kept in   accepted in  KV bytes/item  KV writes/1000  items/s");
    for items in [20, 500, 1_000, 8_000, 64_000] {
        for (name, daemons) in [("KV", 0), ("disks", 3)] {
            let cost = measure(items, daemons)?;
            let count = f64::from(items);
            println!(
                "{items:>6} {name:>9} {:>10.0} ms {:>14.1} {:>15.1} {:>8.0}",
                cost.accepted_in.as_secs_f64() * 1_000.0,
                to_f64(cost.kv_bytes)? / count,
                to_f64(cost.kv_writes)? * 1_000.0 / count,
                count / cost.done_in.as_secs_f64(),
            );
        }
    }
    Ok(())
}

fn to_f64(count: u64) -> eyre::Result<f64> {
    Ok(f64::from(u32::try_from(count)?))
}

fn measure(items: u32, daemons: usize) -> eyre::Result<Cost> {
    let site = Site::start(&SitePlan {
        entries: 3,
        disks: DiskPlan {
            daemons,
            kv_below_kb: 4,
            max_mb: 1_024,
        },
        costs: EngineCosts {
            base: Duration::from_millis(2),
            ..EngineCosts::default()
        },
        ..SitePlan::default()
    })?;
    // The daemons create the volumes in the first seconds.
    thread::sleep(Duration::from_secs(4));
    let note = "x".repeat(NOTE_CHARS);
    let line = |n: u32| {
        chat_line(
            &format!("n{n}"),
            "rental-assistant",
            &format!("{n} {note}"),
            4,
        )
    };
    let lines: Vec<String> = (0..items).map(line).collect();
    let (bytes, writes) = (kv_bytes(&site)?, kv_writes(&site)?);
    let began = Instant::now();
    let job = site.caller(0).submit("costs", &lines)?.id;
    let accepted_in = began.elapsed();
    let finished_job = site.caller(0).wait(&job, MAX_WAIT)?;
    ensure!(
        finished_job.request_counts.completed == items,
        "{finished_job:?}"
    );
    Ok(Cost {
        accepted_in,
        done_in: began.elapsed(),
        kv_bytes: kv_bytes(&site)? - bytes,
        kv_writes: kv_writes(&site)? - writes,
    })
}

fn kv_bytes(site: &Site) -> eyre::Result<u64> {
    let url = format!("{}/stand-in/space", site.kv.url());
    let space: BTreeMap<String, u64> = ureq::get(&url).call()?.body_mut().read_json()?;
    let of_jobs = ["job", "done", "in", "out", "sent"];
    Ok(of_jobs.iter().filter_map(|part| space.get(*part)).sum())
}

fn kv_writes(site: &Site) -> eyre::Result<u64> {
    let url = format!("{}/stand-in/counts", site.kv.url());
    let counts: Value = ureq::get(&url).call()?.body_mut().read_json()?;
    Ok(counts["by_path"]["/v3/kv/txn"].as_u64().unwrap_or(0))
}
