//! Restarts every daemon and side process under load, one after another, and checks that no
//! request fails or is cut.

use bluebellreel_site::{
    AnswerCounts, Caller, MODEL, ProcessPlan, ProcessSite, chat_line, retry, run_with_stand_ins,
};
use eyre::{bail, ensure};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const ENTRIES: usize = 3;
const ENGINES: usize = 4;
const CALLERS: usize = 12;
const ITEMS: u32 = 1_500;
const TOKENS: u32 = 12;

fn main() -> ExitCode {
    run_with_stand_ins(run)
}

fn run() -> eyre::Result<()> {
    let mut site = ProcessSite::start(&ProcessPlan {
        entries: ENTRIES,
        engines: ENGINES,
        window: 8,
        step_micros: 10_000,
    })?;
    let lines: Vec<String> = (0..ITEMS)
        .map(|n| chat_line(&format!("note-{n}"), MODEL, &format!("note {n}"), 8))
        .collect();
    let job = site.caller(0).submit("rolling", &lines)?.id;
    let callers: Vec<Caller> = (0..ENTRIES).map(|n| site.caller(n)).collect();
    let (stop, counts) = (AtomicBool::new(false), AnswerCounts::default());
    let rerouted = AtomicU32::new(0);
    thread::scope(|scope| -> eyre::Result<()> {
        for number in 0..CALLERS {
            let (stop, callers, counts, rerouted) = (&stop, &callers, &counts, &rerouted);
            scope.spawn(move || call_until(stop, callers, number, counts, rerouted));
        }
        let outcome = restart_all(&mut site);
        stop.store(true, Ordering::SeqCst);
        outcome
    })?;
    let finished_job = callers[1].wait(&job, Duration::from_mins(2))?;
    ensure!(
        finished_job.request_counts.completed == ITEMS,
        "{finished_job:?}"
    );
    ensure!(
        callers[2].results(&job)?.len() == ITEMS as usize,
        "each item once"
    );
    let (answered, failed) = (counts.answered(), counts.failed());
    let rerouted = rerouted.load(Ordering::SeqCst);
    println!(
        "{answered} answers whole, {failed} failed or cut, {rerouted} sent to another daemon by the balancer"
    );
    ensure!(failed == 0, "{failed} requests failed or were cut");
    println!("{ITEMS} batch items once each; all daemons and side processes restarted: passed");
    Ok(())
}

fn restart_all(site: &mut ProcessSite) -> eyre::Result<()> {
    thread::sleep(Duration::from_millis(500));
    for index in 0..ENTRIES {
        let began = Instant::now();
        let status = site.entries[index].stop()?;
        ensure!(status.success(), "entry {index} cut something: {status}");
        site.entries[index].restart()?;
        println!("entry {index} stopped in {:.1?}", began.elapsed());
        retry(Duration::from_secs(20), || {
            ensure!(site.workers_in_force(index)? > ENGINES, "not serving yet");
            Ok(())
        })?;
    }
    for index in 0..=ENGINES {
        let began = Instant::now();
        let status = site.sides[index].stop()?;
        ensure!(
            status.success(),
            "side process {index} cut something: {status}"
        );
        site.sides[index].restart()?;
        println!("side process {index} stopped in {:.1?}", began.elapsed());
        for entry in 0..ENTRIES {
            retry(Duration::from_secs(20), || {
                ensure!(site.workers_in_force(entry)? > ENGINES, "not connected yet");
                Ok(())
            })?;
        }
    }
    Ok(())
}

/// Sends requests to daemons that are ready, like the platform's load balancer, which checks
/// `/readyz` and sends a request that was not run to another daemon.
fn call_until(
    stop: &AtomicBool,
    callers: &[Caller],
    number: usize,
    counts: &AnswerCounts,
    rerouted: &AtomicU32,
) {
    let mut request = number;
    while !stop.load(Ordering::SeqCst) {
        request += 1;
        let prompt = format!("caller {number} asks {request}");
        let answer = ask(callers, request, &prompt, rerouted);
        counts.record(&prompt, TOKENS, answer);
        thread::sleep(Duration::from_millis(30));
    }
}

fn ask(
    callers: &[Caller],
    first: usize,
    prompt: &str,
    rerouted: &AtomicU32,
) -> eyre::Result<String> {
    for offset in 0..callers.len() {
        let caller = &callers[(first + offset) % callers.len()];
        let ready = caller.send("GET", "/readyz", &[], b"");
        if !matches!(ready, Ok((200, _))) {
            rerouted.fetch_add(1, Ordering::SeqCst);
            continue;
        }
        return caller.stream(prompt, TOKENS, None, |_| ());
    }
    bail!("no daemon is ready")
}
