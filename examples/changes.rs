//! Changes the configuration of 3 daemons and 13 side processes under load: concurrent
//! operators, an outage, a killed daemon and a drain.

use bluebellreel_site::{
    AnswerCounts, Caller, MODEL, ProcessPlan, ProcessSite, retry, run_with_stand_ins,
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
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Time after a drain request from which the worker must get no new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

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
    let (stop, counts) = (AtomicBool::new(false), AnswerCounts::default());
    thread::scope(|scope| -> eyre::Result<()> {
        for number in 0..CALLERS {
            let (stop, counts) = (&stop, &counts);
            // No caller uses the first daemon, because it is killed below.
            let caller = &callers[1 + number % (ENTRIES - 1)];
            scope.spawn(move || call_until(stop, caller, number, counts));
        }
        let outcome = run_changes(&mut site);
        stop.store(true, Ordering::SeqCst);
        outcome
    })?;
    let (answered, failed) = (counts.answered(), counts.failed());
    println!("{answered} answers whole, {failed} failed or cut");
    ensure!(failed == 0, "{failed} requests failed or were cut");
    println!("passed");
    Ok(())
}

fn call_until(stop: &AtomicBool, caller: &Caller, number: usize, counts: &AnswerCounts) {
    for request in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let prompt = format!("caller {number} asks {request}");
        let answer = caller.stream(&prompt, TOKENS, None, |_| ());
        counts.record(&prompt, TOKENS, answer);
    }
}

fn run_changes(site: &mut ProcessSite) -> eyre::Result<()> {
    let began = Instant::now();
    ensure!(put(site, 0, 1, "first")? == 200, "accepted");
    wait_in_force(site, 2, 0)?;
    println!("a change in force on all after {:.0?}", began.elapsed());
    race(site)?;
    outage(site)?;
    killed_daemon(site)?;
    drain(site)
}

/// Puts a manifest that differs only by a comment and returns the status of the answer.
fn put(site: &ProcessSite, entry: usize, base_generation: u64, note: &str) -> eyre::Result<u16> {
    let manifest = format!(
        "[[models]]\nname = \"{MODEL}\"\nversion = \"1\"\n[[services]]\nname = \"desk\"\n# {note}\n"
    );
    let base_generation = base_generation.to_string();
    let headers = [("If-Match", base_generation.as_str())];
    let path = "/operator/v1/manifest";
    let operator = site.operator(entry);
    Ok(operator.send("PUT", path, &headers, manifest.as_bytes())?.0)
}

/// Waits until all daemons from `first_entry` on report that all workers have applied a
/// generation.
fn wait_in_force(site: &ProcessSite, generation: u64, first_entry: usize) -> eyre::Result<()> {
    for entry in first_entry..ENTRIES {
        retry(MAX_WAIT, || {
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

/// Two operators put manifests through two daemons at the same moment. One put must
/// succeed, and the other must get 409.
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

/// While the key-value service is down, a change is refused, the applied generation stays in
/// force and callers are served. After the outage the next change is applied everywhere.
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
    retry(MAX_WAIT, || {
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

/// A daemon with a watch on the manifest is killed during a change.
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

/// Drains a worker under load. After three seconds no new request may reach it.
fn drain(site: &ProcessSite) -> eyre::Result<()> {
    // Drain the engine with the highest request rate, so that the effect is visible.
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
    thread::sleep(DRAIN_TIMEOUT);
    let then = site.engine_admitted(busiest)?;
    thread::sleep(DRAIN_TIMEOUT);
    let new = site.engine_admitted(busiest)? - then;
    println!("drain of a worker that got {rate} requests a second: {new} new ones after 3 s");
    ensure!(new == 0, "{new} new requests reached a drained worker");
    Ok(())
}
