//! Changes the configuration of 3 daemons and 13 side processes under load: races, an outage, a killed daemon, a drain.

use bluebellreel_site::{
    AskCounts, Caller, MODEL, ProcessPlan, ProcessSite, retry, run_with_stand_ins,
};
use eyre::ensure;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
const ENGINES: usize = 12;
const CALLERS: usize = 24;
const TOKENS: u32 = 8;
const LONGEST: Duration = Duration::from_secs(30);
/// After which a worker that an operator drained gets nothing new.
const DRAINED_AFTER: Duration = Duration::from_secs(3);

fn main() -> ExitCode {
    run_with_stand_ins(run)
}

fn run() -> eyre::Result<()> {
    let mut site = ProcessSite::start(&ProcessPlan {
        entries: ENTRIES,
        engines: ENGINES,
        window: 8,
        step_micros: 5_000,
    })?;
    let callers: Vec<Caller> = (0..ENTRIES).map(|n| site.caller(n)).collect();
    let (stop, counts) = (AtomicBool::new(false), AskCounts::default());
    thread::scope(|scope| -> eyre::Result<()> {
        for number in 0..CALLERS {
            let (stop, counts) = (&stop, &counts);
            // The first daemon is killed below; nobody asks there.
            let caller = &callers[1 + number % (ENTRIES - 1)];
            scope.spawn(move || call_until(stop, caller, number, counts));
        }
        let shown = show_all(&mut site);
        stop.store(true, Ordering::SeqCst);
        shown
    })?;
    let (answered, failed) = (counts.answered(), counts.failed());
    println!("{answered} answers whole, {failed} failed or cut");
    ensure!(failed == 0, "{failed} requests failed or were cut");
    println!("passed");
    Ok(())
}

fn call_until(stop: &AtomicBool, caller: &Caller, number: usize, counts: &AskCounts) {
    for asked in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let prompt = format!("caller {number} asks {asked}");
        let answer = caller.stream(&prompt, TOKENS, None, |_| ());
        counts.note(&prompt, TOKENS, answer);
    }
}

fn show_all(site: &mut ProcessSite) -> eyre::Result<()> {
    let began = Instant::now();
    ensure!(put(site, 0, 1, "first")? == 200, "accepted");
    wait_in_force(site, 2, 0)?;
    println!("a change in force on all after {:.0?}", began.elapsed());
    race(site)?;
    outage(site)?;
    killed_daemon(site)?;
    drain(site)
}

/// Puts a manifest that differs only by a note; the answer's status.
fn put(site: &ProcessSite, entry: usize, seen: u64, note: &str) -> eyre::Result<u16> {
    let manifest = format!(
        "[[models]]\nname = \"{MODEL}\"\nversion = \"1\"\n[[services]]\nname = \"desk\"\n# {note}\n"
    );
    let seen = seen.to_string();
    let headers = [("If-Match", seen.as_str())];
    let path = "/operator/v1/manifest";
    let operator = site.operator(entry);
    Ok(operator.send("PUT", path, &headers, manifest.as_bytes())?.0)
}

/// Waits until a generation is in force on all workers, as all daemons from
/// `first` on see it.
fn wait_in_force(site: &ProcessSite, generation: u64, first: usize) -> eyre::Result<()> {
    for entry in first..ENTRIES {
        retry(LONGEST, || {
            let changes = site.outcomes(entry)?["changes_hold"].clone();
            ensure!(
                changes["generation"] == generation,
                "not seen by {entry}: {changes}"
            );
            ensure!(
                changes["in_force"] == ENGINES + 1,
                "not everywhere: {changes}"
            );
            Ok(())
        })?;
    }
    Ok(())
}

/// Two operators at two daemons, at the same moment: one wins, both know.
fn race(site: &ProcessSite) -> eyre::Result<()> {
    let mut answers = thread::scope(|scope| {
        let one = scope.spawn(|| put(site, 0, 2, "one phone"));
        let other = scope.spawn(|| put(site, 1, 2, "other phone"));
        [one, other].map(|answer| answer.join().map_or(Ok(0), |answer| answer))
    })
    .into_iter()
    .collect::<eyre::Result<Vec<u16>>>()?;
    answers.sort_unstable();
    ensure!(answers == [200, 409], "one winner: {answers:?}");
    wait_in_force(site, 3, 0)?;
    println!("two operators race: one won, the other was told; in force on all");
    Ok(())
}

/// With the key-value service down, a change is refused, what is in force
/// stays, and people are served; after it the next change goes everywhere.
fn outage(site: &ProcessSite) -> eyre::Result<()> {
    site.set_kv_down(true)?;
    let during = put(site, 0, 3, "during")?;
    ensure!(during == 503, "refused: {during}");
    thread::sleep(Duration::from_secs(6));
    for entry in 0..ENTRIES {
        let generation = site.outcomes(entry)?["changes_hold"]["generation"].clone();
        ensure!(
            generation == 3,
            "generation {generation} in force, 3 before"
        );
    }
    site.set_kv_down(false)?;
    let began = Instant::now();
    retry(LONGEST, || {
        let status = put(site, 1, 3, "after")?;
        ensure!(status == 200, "{status}");
        Ok(())
    })?;
    wait_in_force(site, 4, 0)?;
    println!(
        "outage of 6 s: refused during it, generation kept; the next change in force {:.1?} after",
        began.elapsed()
    );
    Ok(())
}

/// A daemon dies with its watch in the middle of a change.
fn killed_daemon(site: &mut ProcessSite) -> eyre::Result<()> {
    ensure!(put(site, 1, 4, "watcher killed")? == 200, "accepted");
    site.entries[0].kill()?;
    let began = Instant::now();
    wait_in_force(site, 5, 1)?;
    println!(
        "a daemon killed in the middle: in force on the others after {:.0?}",
        began.elapsed()
    );
    site.entries[0].restart()?;
    let began = Instant::now();
    wait_in_force(site, 5, 0)?;
    println!(
        "the same daemon back, with the same generation, after {:.1?}",
        began.elapsed()
    );
    Ok(())
}

/// A worker is drained under load: after three seconds nothing new reaches it.
fn drain(site: &ProcessSite) -> eyre::Result<()> {
    // The one that people use most is the one to show it by.
    let admitted = |index| site.engine_admitted(index);
    let before: Vec<u64> = (0..ENGINES).map(admitted).collect::<eyre::Result<_>>()?;
    thread::sleep(Duration::from_secs(1));
    let after: Vec<u64> = (0..ENGINES).map(admitted).collect::<eyre::Result<_>>()?;
    let busiest = (0..ENGINES)
        .max_by_key(|n| after[*n] - before[*n])
        .unwrap_or(0);
    let rate = after[busiest] - before[busiest];
    ensure!(rate > 0, "the load reaches some engine");
    let path = format!("/operator/v1/workers/worker-{busiest}/drain");
    let (status, text) = site.operator(1).send("POST", &path, &[], b"")?;
    ensure!(status == 200, "{status}: {text}");
    thread::sleep(DRAINED_AFTER);
    let then = site.engine_admitted(busiest)?;
    thread::sleep(DRAINED_AFTER);
    let new = site.engine_admitted(busiest)? - then;
    println!("drain of a worker that got {rate} requests a second: {new} new ones after 3 s");
    ensure!(new == 0, "{new} new requests reached a drained worker");
    Ok(())
}
