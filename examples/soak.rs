//! A soak of real gateways with faults from outside, for seeds one after the
//! other: `cargo run --release --example soak -- FIRST COUNT SECONDS GATEWAYS
//! WORKERS [PROGRAM]`. Odd seeds bring changes of configuration, workers,
//! settings and store as well. From 1000 on seeds bring rolling stops too: two of
//! three nothing else, the third (1002, 1005) with faults. From 3000 on they bring requests
//! that crash workers, odd ones with changes and faults, even ones with faults. From 5000
//! on jobs of long items are ended while gateways are parted from their peers, odd seeds
//! with changes and faults, even ones with nothing else.
//!
//! Prints a line a seed, and for a broken promise the faults that led to it.
//! Settings and logs of a seed stay in a folder under the system's folder for
//! temporary files when it breaks something.

use bluebellreel_platform_standins::{Callers, SoakPlan, soak};
use std::time::Duration;

/// The first seed with rolling stops.
const STOPS_FROM: u64 = 1000;
/// The first seed with requests that crash workers.
const CRASHES_FROM: u64 = 3000;
/// The first seed with jobs of long items that are ended.
const ENDS_FROM: u64 = 5000;

fn main() -> eyre::Result<()> {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    let first = numbers.first().copied().unwrap_or(1);
    let count = numbers.get(1).copied().unwrap_or(1);
    let seconds = numbers.get(2).copied().unwrap_or(20);
    let gateways = usize::try_from(numbers.get(3).copied().unwrap_or(3))?;
    let workers = usize::try_from(numbers.get(4).copied().unwrap_or(4))?;
    let here = std::env::current_exe()?;
    let folder = here.parent().and_then(|p| p.parent());
    let beside = folder.map(|p| p.join("bluebellreel")).unwrap_or_default();
    let program = std::env::args().nth(6).map_or(beside, Into::into);
    let mut broken = 0;
    for seed in first..first + count {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        let stops = (STOPS_FROM..CRASHES_FROM).contains(&seed);
        let stops_only = stops && seed % 3 != 0;
        let ends_only = seed >= ENDS_FROM && seed % 2 == 0;
        let callers = if seed >= ENDS_FROM {
            Callers::SomeEndJobs
        } else if seed >= CRASHES_FROM {
            Callers::SomeCrashWorkers
        } else {
            Callers::Usual
        };
        let report = soak(SoakPlan {
            seed,
            span: Duration::from_secs(seconds),
            gateways,
            workers,
            changes: seed % 2 == 1 && !stops_only,
            faults: !stops_only && !ends_only,
            stops,
            callers,
            program: program.clone(),
            folder: folder.clone(),
        })?;
        println!(
            "seed {seed}: {} faults, {} stops, {} of {} requests served, {} judged, {} closed unread, {} jobs, {} ended ({} late runs excused), {} broken",
            report.faults.len(),
            report.stops,
            report.served,
            report.asked,
            report.judged,
            report.unread,
            report.jobs,
            report.ended,
            report.excused,
            report.broken.len()
        );
        if report.broken.is_empty() {
            std::fs::remove_dir_all(&folder)?;
            continue;
        }
        broken += 1;
        for line in report.broken.iter().chain(&report.faults) {
            println!("  {line}");
        }
        println!("  logs: {}", folder.display());
    }
    eyre::ensure!(broken == 0, "{broken} seeds broke a promise");
    Ok(())
}
