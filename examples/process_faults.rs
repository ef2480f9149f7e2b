//! Kills and pauses processes under load and checks that no item is lost and none runs twice.

use bluebellreel_site::{
    Caller, MODEL, ProcessPlan, ProcessSite, chat_line, retry, run_with_stand_ins, service_line,
};
use bluebellreel_standins::expected_answer;
use eyre::{bail, ensure};
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const TOKENS: u32 = 4;
const ENTRIES: usize = 3;
const ENGINES: usize = 4;
const MAX_ROUND: Duration = Duration::from_mins(3);

/// Kills and pauses processes under load.
#[derive(argh::FromArgs)]
struct Arguments {
    /// number of items of the job in each round
    #[argh(option, default = "5000")]
    items: u32,
    /// number of rounds
    #[argh(option, default = "3")]
    rounds: u32,
    /// maximum concurrent attempts at an engine
    #[argh(option, default = "8")]
    window: u32,
}

fn main() -> ExitCode {
    run_with_stand_ins(|| run(&argh::from_env()))
}

fn run(arguments: &Arguments) -> eyre::Result<()> {
    for round in 1..=arguments.rounds {
        let began = Instant::now();
        let summary = run_round(arguments, round)?;
        println!("round {round}: {summary} in {:.1?}", began.elapsed());
    }
    println!("every item once, no key twice: passed");
    Ok(())
}

fn prompt(index: u32) -> String {
    if index == 11 {
        format!("impossible note {index}")
    } else {
        format!("note {index}")
    }
}

fn run_round(arguments: &Arguments, round: u32) -> eyre::Result<String> {
    let mut site = ProcessSite::start(&ProcessPlan {
        entries: ENTRIES,
        engines: ENGINES,
        window: arguments.window,
        step_micros: 20_000,
    })?;
    let notes: Vec<String> = (0..arguments.items)
        .map(|n| chat_line(&format!("note-{n}"), MODEL, &prompt(n), TOKENS))
        .collect();
    let bookings: Vec<String> = (0..arguments.items / 10)
        .map(|n| service_line(&format!("harp-{n}"), "desk", "/bookings"))
        .collect();
    let submit = |key: &str, lines: &[String]| {
        retry(Duration::from_secs(30), || {
            site.caller(0).submit(key, lines)
        })
    };
    let notes_id = submit("notes", &notes)?.id;
    let bookings_id = submit("bookings", &bookings)?.id;
    let callers: Vec<Caller> = (0..ENTRIES).map(|index| site.caller(index)).collect();
    let stop = AtomicBool::new(false);
    let answered = AtomicU32::new(0);
    let wrong = AtomicU32::new(0);
    let resends = AtomicU32::new(0);
    let refused = thread::scope(|scope| -> eyre::Result<Vec<String>> {
        scope.spawn(|| resend_until(&stop, &callers, &notes, &notes_id, &resends, &wrong));
        scope.spawn(|| ask_until(&stop, &callers, &answered, &wrong));
        let slots = scope.spawn(|| book_until(&stop, &callers, round));
        let outcome = inject_faults(&mut site)
            .and_then(|()| callers[1].wait(&notes_id, MAX_ROUND))
            .and_then(|_| callers[2].wait(&bookings_id, MAX_ROUND));
        stop.store(true, Ordering::SeqCst);
        outcome?;
        slots.join().map_err(|_| eyre::eyre!("a caller panicked"))
    })?;
    ensure!(
        wrong.load(Ordering::SeqCst) == 0,
        "a caller got a wrong answer"
    );
    check_notes(&callers[1], &notes_id, arguments.items)?;
    let in_doubt = check_bookings(&site, &callers[2], &bookings_id, bookings.len())?;
    check_slots(&site, &refused)?;
    Ok(format!(
        "{} items once, {} bookings ({in_doubt} in doubt), {} online answers, {} resends",
        arguments.items,
        bookings.len(),
        answered.load(Ordering::SeqCst),
        resends.load(Ordering::SeqCst),
    ))
}

/// Injects the faults of a round, one after another.
fn inject_faults(site: &mut ProcessSite) -> eyre::Result<()> {
    let pause = |millis| thread::sleep(Duration::from_millis(millis));
    pause(800);
    site.entries[0].pause()?;
    site.sides[1].kill()?;
    site.sides[1].restart()?;
    pause(600);
    site.engines[2].kill()?;
    site.engines[2].restart()?;
    pause(400);
    site.set_kv_down(true)?;
    site.sides[ENGINES].kill()?;
    site.sides[ENGINES].restart()?;
    pause(3_000);
    site.set_kv_down(false)?;
    pause(3_000);
    site.entries[0].resume()?;
    pause(500);
    site.sides[0].pause()?;
    site.entries[1].kill()?;
    site.entries[1].restart()?;
    pause(4_500);
    site.sides[0].resume()?;
    site.engines[3].pause()?;
    pause(500);
    site.engines[3].resume()?;
    site.entries[2].kill()?;
    site.entries[2].restart()
}

fn resend_until(
    stop: &AtomicBool,
    callers: &[Caller],
    notes: &[String],
    id: &str,
    resends: &AtomicU32,
    wrong: &AtomicU32,
) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        if let Ok(job) = callers[number % callers.len()].submit("notes", notes) {
            resends.fetch_add(1, Ordering::SeqCst);
            if job.id != id {
                wrong.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
}

fn ask_until(stop: &AtomicBool, callers: &[Caller], answered: &AtomicU32, wrong: &AtomicU32) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let question = format!("fiddle size {number}");
        let answer = callers[number % callers.len()].stream(&question, TOKENS, None, |_| ());
        if let Ok(answer) = answer {
            answered.fetch_add(1, Ordering::SeqCst);
            if answer != expected_answer(&question, TOKENS) {
                wrong.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Books slots, sending each key through two daemons. Returns the keys for which both
/// answered "not run".
fn book_until(stop: &AtomicBool, callers: &[Caller], round: u32) -> Vec<String> {
    let mut refused = Vec::new();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let key = format!("slot-{round}-{number}");
        let book = |caller: &Caller| {
            let headers = [("Idempotency-Key", key.as_str())];
            caller.send("POST", "/services/desk/bookings", &headers, b"{}")
        };
        let answers = thread::scope(|scope| {
            let one = scope.spawn(|| book(&callers[number % callers.len()]));
            let other = book(&callers[(number + 1) % callers.len()]);
            [one.join().unwrap_or_else(|_| bail!("panicked")), other]
        });
        let not_run = |answer: &eyre::Result<(u16, String)>| matches!(answer, Ok((_, text)) if text.contains("\"ran\":\"no\""));
        if answers.iter().all(not_run) {
            refused.push(key.clone());
        }
        thread::sleep(Duration::from_millis(50));
    }
    refused
}

fn check_notes(caller: &Caller, id: &str, items: u32) -> eyre::Result<()> {
    let lines = retry(Duration::from_secs(10), || caller.results(id))?;
    ensure!(
        lines.len() == items as usize,
        "{} lines for {items} items",
        lines.len()
    );
    let mut seen = BTreeSet::new();
    for line in &lines {
        let index: u32 = line.custom_id.trim_start_matches("note-").parse()?;
        ensure!(seen.insert(index), "note {index} stands twice");
        match &line.response {
            Some(answer) => ensure!(
                answer.body == expected_answer(&prompt(index), TOKENS),
                "note {index}: a wrong answer"
            ),
            None => ensure!(index == 11, "note {index} ended as {}", line.status),
        }
    }
    Ok(())
}

fn check_bookings(
    site: &ProcessSite,
    caller: &Caller,
    id: &str,
    items: usize,
) -> eyre::Result<usize> {
    let lines = retry(Duration::from_secs(10), || caller.results(id))?;
    ensure!(
        lines.len() == items,
        "{} lines for {items} bookings",
        lines.len()
    );
    let runs = site.service_runs()?;
    let mut in_doubt = 0;
    for line in &lines {
        let count = runs
            .get(&format!("{id}/{}", line.custom_id))
            .copied()
            .unwrap_or(0);
        ensure!(count <= 1, "{} ran {count} times", line.custom_id);
        if line.status == "succeeded" {
            ensure!(count == 1, "{} succeeded without a run", line.custom_id);
        } else {
            in_doubt += 1;
        }
    }
    Ok(in_doubt)
}

fn check_slots(site: &ProcessSite, refused: &[String]) -> eyre::Result<()> {
    let runs = site.service_runs()?;
    for (key, count) in &runs {
        ensure!(*count <= 1, "{key} ran {count} times");
    }
    for key in refused {
        ensure!(
            !runs.contains_key(key),
            "{key} ran though all were told \"not run\""
        );
    }
    Ok(())
}
