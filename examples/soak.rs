//! Soak runs of gateway processes with injected faults, one run per seed:
//! `cargo run --release --example soak -- FIRST COUNT SECONDS GATEWAYS WORKERS [PROGRAM]`.
//!
//! The seed selects the disturbances:
//!
//! - Below 1000: faults. Odd seeds also change the configuration, workers, settings and
//!   store.
//! - From 1000: rolling stops. Two of three seeds have nothing else; the third (1002, 1005)
//!   has faults as well, and if it is odd changes too.
//! - From 3000: requests that crash workers, and faults. Odd seeds have changes as well. From
//!   3500 the moment of the crash in an answer goes with the seed.
//! - From 5000: jobs of long items are ended while gateways are partitioned from their
//!   peers. Odd seeds have changes and faults as well, even seeds nothing else.
//! - From 7000: requests that share a part of their prompts which crashes workers, most
//!   connections to one gateway at times, answers that end with their connection, and
//!   faults. Odd seeds have changes as well. From 7500 the moment of the crash in an answer
//!   goes with the seed.
//! - From 8000: more load than capacity, workers that fail requests for some seconds, and
//!   a team that sends more than its rate limit. Every fourth seed has nothing else; the
//!   others have faults, odd ones changes as well.
//! - From 9000: gateways are cut off or stopped for some seconds while workers are replaced by
//!   workers of other versions, with none to three keepers. Odd seeds have faults as well.
//! - From 10000: jobs with items that fail at each run, whose owners are killed right after a
//!   failure, with none to three keepers. Odd seeds have faults as well.
//! - From 11000: crowds of clients that do not behave. Even seeds have rolling stops, odd seeds
//!   faults and changes.
//!
//! Prints one line per seed, and for each violated guarantee the faults before it. If a
//! seed violates a guarantee, its settings and logs remain in a folder under the system's
//! temporary folder.

use bluebellreel_platform_standins::{Callers, CrashMoment, SoakPlan, soak};
use std::time::Duration;

/// The first seed with rolling stops.
const FIRST_STOP_SEED: u64 = 1000;
/// The first seed with requests that crash workers.
const FIRST_CRASH_SEED: u64 = 3000;
/// The first seed with jobs of long items that are ended.
const FIRST_END_SEED: u64 = 5000;
/// The first seed with a part of prompts that crashes workers.
const FIRST_PART_SEED: u64 = 7000;
/// The first seed with more load than capacity.
const FIRST_LOAD_SEED: u64 = 8000;
/// The first seed with gateways that get out of step.
const FIRST_CUT_SEED: u64 = 9000;
/// The first seed with items that fail at each run.
const FIRST_FAILURE_SEED: u64 = 10_000;
/// The first seed with clients that do not behave.
const FIRST_CROWD_SEED: u64 = 11_000;

/// When the requests that crash workers do so in the soak of a seed.
fn crash_moment(seed: u64) -> CrashMoment {
    let varies = [3500..FIRST_END_SEED, 7500..FIRST_LOAD_SEED];
    if !varies.iter().any(|seeds| seeds.contains(&seed)) {
        return CrashMoment::default();
    }
    let moments = CrashMoment::ALL;
    let at = usize::try_from(seed).unwrap_or_default() % moments.len();
    moments[at]
}

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
    let own_program = std::env::current_exe()?;
    let folder = own_program.parent().and_then(|p| p.parent());
    let default_program = folder.map(|p| p.join("bluebellreel")).unwrap_or_default();
    let program = std::env::args().nth(6).map_or(default_program, Into::into);
    let mut broken = 0;
    for seed in first..first + count {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        let crowds = seed >= FIRST_CROWD_SEED;
        let stops =
            (FIRST_STOP_SEED..FIRST_CRASH_SEED).contains(&seed) || crowds && seed.is_multiple_of(2);
        let stops_only = stops && (crowds || seed % 3 != 0);
        let ends_only = (FIRST_END_SEED..FIRST_PART_SEED).contains(&seed) && seed % 2 == 0;
        let fails = !crowds && seed >= FIRST_FAILURE_SEED;
        let cuts = !crowds && !fails && seed >= FIRST_CUT_SEED;
        let cuts_only = (fails || cuts) && seed.is_multiple_of(2);
        let load_only =
            !crowds && !fails && !cuts && seed >= FIRST_LOAD_SEED && seed.is_multiple_of(4);
        let callers = if crowds {
            Callers::SomeMisbehave
        } else if fails {
            Callers::SomeFailItems
        } else if cuts {
            Callers::AmidCuts
        } else if seed >= FIRST_LOAD_SEED {
            Callers::HardLoad
        } else if seed >= FIRST_PART_SEED {
            Callers::SomeShareCrashingPart
        } else if seed >= FIRST_END_SEED {
            Callers::SomeEndJobs
        } else if seed >= FIRST_CRASH_SEED {
            Callers::SomeCrashWorkers
        } else {
            Callers::Usual
        };
        let report = soak(SoakPlan {
            seed,
            span: Duration::from_secs(seconds),
            gateways,
            workers,
            changes: seed % 2 == 1 && !stops_only && !cuts && !fails,
            faults: !stops_only && !ends_only && !load_only && !cuts_only,
            stops,
            callers,
            crash_moment: crash_moment(seed),
            program: program.clone(),
            folder: folder.clone(),
        })?;
        println!(
            "seed {seed}: {} faults, {} stops, {} of {} requests served, {} judged, {} closed unread, {} resumed by callers ({} went on, {} refused), {} jobs, {} ended ({} late runs excused), {} broken",
            report.faults.len(),
            report.stops,
            report.served,
            report.asked,
            report.judged,
            report.unread,
            report.resumed,
            report.went_on,
            report.not_resumed,
            report.jobs,
            report.ended,
            report.excused,
            report.broken.len()
        );
        if callers == Callers::HardLoad {
            println!(
                "  online requests while items waited: {}, in waves of them {}; flooding team: {} admitted, {} refused",
                report.beside_items, report.in_waves, report.flood_admitted, report.flood_refused
            );
        }
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
