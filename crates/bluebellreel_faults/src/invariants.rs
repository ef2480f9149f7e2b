//! Invariants that must hold in every run.

use crate::items::{BOOKINGS, IMPOSSIBLE_NOTE, NOTES, TOKENS, note_prompt};
use crate::scenario::{FollowedCall, Scenario};
use bluebellreel_claim::ClaimState;
use bluebellreel_entry::bench::{CallEnd, HarnessResult};
use bluebellreel_job::JobState;
use bluebellreel_routing::Outcome;
use bluebellreel_standins::expected_answer;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of attempts to read a job's results.
const MAX_READ_ATTEMPTS: u32 = 20;

/// Checks all invariants and returns the number of bookings that ended in doubt.
pub(crate) fn check(scenario: &mut Scenario) -> usize {
    check_notes(scenario);
    check_harps(scenario);
    let in_doubt = check_bookings(scenario);
    check_runs(scenario);
    check_calls(scenario);
    check_generations(scenario);
    in_doubt
}

/// Reads a job as a caller does, and retries a failed read later. A read is a step too,
/// at which a fault may be injected.
fn lines_of(scenario: &mut Scenario, key: &str) -> Option<(JobState, Vec<HarnessResult>)> {
    let id = scenario.jobs[key].id.clone();
    for _ in 0..MAX_READ_ATTEMPTS {
        let index = scenario.world.live_entry(0)?;
        let entry = scenario.world.entry(index)?;
        let state = entry.job_state(&id);
        let lines = entry.results(&id);
        scenario.world.apply_injected();
        if let (Some(state), Some(lines)) = (state, lines) {
            return Some((state, lines));
        }
        scenario.world.run_for(Duration::from_secs(2));
    }
    None
}

/// The job's result lines by item; checks that each item has exactly one line.
fn by_item(
    scenario: &mut Scenario,
    key: &str,
    expected: u32,
) -> Option<(JobState, BTreeMap<String, HarnessResult>)> {
    let Some((state, lines)) = lines_of(scenario, key) else {
        scenario
            .violations
            .push(format!("{key}: its results cannot be read"));
        return None;
    };
    let count = lines.len();
    let items: BTreeMap<String, HarnessResult> = lines
        .into_iter()
        .map(|line| (line.custom_id.clone(), line))
        .collect();
    if count != expected as usize || items.len() != count {
        scenario.violations.push(format!(
            "{key}: {count} lines for {} items of {expected}",
            items.len()
        ));
    }
    Some((state, items))
}

fn check_notes(scenario: &mut Scenario) {
    let Some((state, items)) = by_item(scenario, "notes", NOTES) else {
        return;
    };
    if state != JobState::Complete {
        scenario
            .violations
            .push(format!("notes: ended as {state:?}"));
    }
    for number in 0..NOTES {
        check_note(scenario, "notes", number, &items);
    }
}

fn check_note(
    scenario: &mut Scenario,
    job: &str,
    number: u32,
    items: &BTreeMap<String, HarnessResult>,
) {
    let id = format!("{job}-{number}");
    let Some(line) = items.get(&id) else {
        scenario.violations.push(format!("{id}: no result"));
        return;
    };
    let expected = expected_answer(&note_prompt(job, number), TOKENS);
    let wanted = if number == IMPOSSIBLE_NOTE {
        "failed"
    } else {
        "succeeded"
    };
    if line.status != wanted {
        scenario
            .violations
            .push(format!("{id}: {} instead of {wanted}", line.status));
    }
    if line.status == "succeeded" && line.body.as_deref() != Some(expected.as_str()) {
        scenario
            .violations
            .push(format!("{id}: another item's answer"));
    }
}

fn check_harps(scenario: &mut Scenario) {
    let Some((state, items)) = by_item(scenario, "harps", NOTES) else {
        return;
    };
    match scenario.cancel_answer {
        None => scenario.violations.push("harps: never cancelled".into()),
        Some(answer) if answer != state => scenario.violations.push(format!(
            "harps: the cancellation was answered with {answer:?}, but the job ended as {state:?}"
        )),
        Some(_) => {}
    }
    let ended = items.values().filter(|l| l.status != "cancelled").count();
    if state == JobState::Cancelled && scenario.ended_at_cancel.is_some_and(|n| n != ended) {
        scenario
            .violations
            .push("harps: results were recorded after the cancel".into());
    }
    if state == JobState::Complete && ended != items.len() {
        scenario
            .violations
            .push("harps: complete with items left".into());
    }
}

fn check_bookings(scenario: &mut Scenario) -> usize {
    let Some((state, items)) = by_item(scenario, "bookings", BOOKINGS) else {
        return 0;
    };
    if state != JobState::Complete {
        scenario
            .violations
            .push(format!("bookings: ended as {state:?}"));
    }
    let job = scenario.jobs["bookings"].id.clone();
    let runs = scenario.world.service().runs.clone();
    let mut in_doubt = 0;
    for (id, line) in items {
        let count = runs.get(&format!("{job}/{id}")).copied().unwrap_or(0);
        if line.status == "succeeded" && count != 1 {
            scenario
                .violations
                .push(format!("{id}: succeeded after {count} runs"));
        }
        if line.status == "failed" {
            in_doubt += 1;
        }
    }
    in_doubt
}

fn check_runs(scenario: &mut Scenario) {
    for (key, count) in scenario.world.service().runs.clone() {
        if count > 1 {
            scenario
                .violations
                .push(format!("{key}: ran {count} times"));
        }
    }
}

fn check_calls(scenario: &mut Scenario) {
    for index in 0..scenario.calls.len() {
        let violations = call_violations(scenario, index);
        scenario.violations.extend(violations);
    }
    let keys: Vec<String> = scenario
        .calls
        .iter()
        .filter(|c| c.call.is_some())
        .filter_map(|c| c.key.clone())
        .collect();
    for key in keys {
        check_claim(scenario, &key);
    }
}

fn call_violations(scenario: &Scenario, index: usize) -> Vec<String> {
    let followed: &FollowedCall = &scenario.calls[index];
    let name = followed.key.clone().unwrap_or(format!("question {index}"));
    let Some(call) = &followed.call else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    if !followed.expected.starts_with(&call.text) {
        violations.push(format!(
            "{name}: got text that is not a prefix of its answer: {:?}",
            call.text
        ));
    }
    let completed = matches!(call.end, Some(CallEnd::Outcome(Outcome::Completed { .. })));
    if completed && call.text != followed.expected {
        violations.push(format!("{name}: completed with only part of its answer"));
    }
    if call.end.is_none() && !followed.is_stranded() {
        violations.push(format!("{name}: its caller never received an outcome"));
    }
    let runs = followed
        .key
        .as_ref()
        .and_then(|key| scenario.world.service().runs.get(key))
        .copied()
        .unwrap_or(0);
    if followed.runs_when_refused.is_some_and(|before| before > 0) {
        violations.push(format!(
            "{name}: \"not run\" was reported although it had run"
        ));
    }
    let resent = scenario
        .calls
        .iter()
        .filter(|c| c.key == followed.key)
        .count()
        > 1;
    if followed.runs_when_refused.is_some() && runs > 0 && !resent {
        violations.push(format!("{name}: ran after \"not run\" was reported"));
    }
    let is_slot = name.starts_with("slot");
    if completed && is_slot && runs != 1 {
        violations.push(format!("{name}: completed with {runs} runs"));
    }
    violations
}

/// Checks that the claim recorded for a key agrees with the number of runs.
fn check_claim(scenario: &mut Scenario, key: &str) {
    scenario.settle(key);
    let team = scenario.team.clone();
    let claim = scenario
        .world
        .live_entry(0)
        .and_then(|index| scenario.world.entry(index))
        .and_then(|entry| entry.claim(&team, key));
    let Some(claim) = claim else { return };
    let runs = scenario.world.service().runs.get(key).copied().unwrap_or(0);
    let is_slot = key.starts_with("slot");
    match claim.state {
        ClaimState::NotRun if runs > 0 => scenario
            .violations
            .push(format!("{key}: recorded as not run, but it ran")),
        ClaimState::Completed { .. } if is_slot && runs != 1 => scenario
            .violations
            .push(format!("{key}: recorded as completed with {runs} runs")),
        ClaimState::Pending => scenario.violations.push(format!(
            "{key}: its claim is still pending after all retries"
        )),
        _ => {}
    }
}

/// Checks that an entry daemon never reverts to an older manifest while it runs, and
/// that finally the last accepted manifest is in force everywhere.
fn check_generations(scenario: &mut Scenario) {
    let history = scenario.generations.clone();
    for pair in history.windows(2) {
        for (before, after) in pair[0].iter().zip(pair[1]) {
            // A daemon that has just restarted and serves no manifest yet reports zero.
            if after != 0 && after < *before {
                scenario
                    .violations
                    .push(format!("generation {before} reverted to {after}"));
            }
        }
    }
    let last = scenario.accepted_generations.iter().max().copied();
    for index in 0..3 {
        if let (Some(entry), Some(last)) = (scenario.world.entry(index), last) {
            let in_force = entry.generation();
            if in_force < last {
                scenario.violations.push(format!(
                    "entry {index} has {in_force} in force, {last} was accepted"
                ));
            }
        }
    }
}
