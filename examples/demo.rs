//! Runs an online request and a batch job end to end on embedded stand-ins. `--stay` keeps
//! the site running for requests with curl.

use bluebellreel_site::{Deployment, OPERATOR_TOKEN, Site, SitePlan, TEAM_TOKEN, chat_line};
use bluebellreel_standins::expected_answer;
use eyre::ensure;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const ITEMS: u32 = 200;
const ITEM_TOKENS: u32 = 24;
const PROMPT: &str = "Which fiddle size suits a child of six?";
const TRACE_ID: u128 = 0x00b1_0ebe_11ee_1000_0000_0000_0000_0001;

fn main() -> eyre::Result<()> {
    let stay = std::env::args().any(|arg| arg == "--stay");
    let trace =
        std::env::temp_dir().join(format!("bluebellreel-demo-{}.jsonl", std::process::id()));
    let plan = SitePlan {
        deployment: Deployment::Rental,
        entries: 2,
        workers: 3,
        trace: Some(trace.clone()),
        ..SitePlan::default()
    };
    let site = Site::start(&plan)?;
    println!("site up: 2 entry daemons, 3 workers, 1 plain service, all stand-ins on loopback\n");
    ask_online(&site)?;
    run_job(&site)?;
    show_outcomes(&site)?;
    show_trace(&trace)?;
    if stay {
        println!("\nentry daemons: {} and {}", site.url(0), site.url(1));
        println!("team token: {TEAM_TOKEN}\noperator token: {OPERATOR_TOKEN}");
        println!("stop with Ctrl-C");
        loop {
            thread::sleep(Duration::from_mins(1));
        }
    }
    std::fs::remove_file(&trace).ok();
    Ok(())
}

fn ask_online(site: &Site) -> eyre::Result<()> {
    println!("online: {PROMPT}");
    let began = Instant::now();
    let mut first = None;
    let traceparent = format!("00-{TRACE_ID:032x}-00000000000000aa-01");
    let answer = site
        .caller(0)
        .stream(PROMPT, 12, Some(&traceparent), |piece| {
            first.get_or_insert(began.elapsed());
            print!("{piece}");
        })?;
    println!(
        "\n  first token after {:?}, whole after {:?}",
        first.unwrap_or_default(),
        began.elapsed()
    );
    ensure!(
        answer == expected_answer(PROMPT, 12),
        "the answer is not whole"
    );
    Ok(())
}

fn run_job(site: &Site) -> eyre::Result<()> {
    let model = site.plan.deployment.model();
    let prompt = |index: u32| match index {
        17 | 150 => format!("impossible return note {index}"),
        _ => format!("return note {index}"),
    };
    let line = |index| chat_line(&format!("note-{index}"), model, &prompt(index), ITEM_TOKENS);
    let lines: Vec<String> = (0..ITEMS).map(line).collect();
    let began = Instant::now();
    let job = site.caller(0).submit("demo-notes", &lines)?;
    println!(
        "\nbatch: job {} accepted with {} items",
        job.id, job.request_counts.total
    );
    let again = site.caller(1).submit("demo-notes", &lines)?;
    ensure!(again.id == job.id, "a resend must find the first job");
    let finished_job = site.caller(1).wait(&job.id, Duration::from_secs(40))?;
    println!("  {} after {:?}", finished_job.status, began.elapsed());
    let mut statuses_by_id: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for item in site.caller(1).results(&job.id)? {
        if let Some(answer) = &item.response {
            let index = item.custom_id.trim_start_matches("note-").parse()?;
            ensure!(
                answer.body == expected_answer(&prompt(index), ITEM_TOKENS),
                "a wrong answer"
            );
        }
        statuses_by_id
            .entry(item.custom_id)
            .or_default()
            .push(item.status);
    }
    ensure!(
        statuses_by_id.len() == ITEMS as usize,
        "every item must be there"
    );
    ensure!(
        statuses_by_id.values().all(|statuses| statuses.len() == 1),
        "each exactly once"
    );
    let failed: Vec<&String> = statuses_by_id
        .iter()
        .filter(|(_, s)| s[0] == "failed")
        .map(|(id, _)| id)
        .collect();
    println!(
        "  each of {} items exactly once; failed: {failed:?}",
        statuses_by_id.len()
    );
    ensure!(failed.len() == 2, "two items can never be done");
    Ok(())
}

fn show_outcomes(site: &Site) -> eyre::Result<()> {
    let (_, text) = site
        .operator(0)
        .send("GET", "/operator/v1/outcomes", &[], b"")?;
    let outcomes: Value = serde_json::from_str(&text)?;
    println!(
        "\noutcomes: answers in time {} | items finish once {} | changes hold {}",
        outcomes["answers_in_time"]["state"],
        outcomes["items_finish_once"]["state"],
        outcomes["changes_hold"]["state"],
    );
    Ok(())
}

fn show_trace(path: &Path) -> eyre::Result<()> {
    // Spans are exported in batches after a short delay.
    thread::sleep(Duration::from_millis(500));
    let text = std::fs::read_to_string(path)?;
    let trace = format!("{TRACE_ID:032x}");
    let mut hops: Vec<(u64, String)> = Vec::new();
    for line in text.lines() {
        let message: Value = serde_json::from_str(line)?;
        let spans = message["resourceSpans"][0]["scopeSpans"][0]["spans"].as_array();
        for span in spans
            .into_iter()
            .flatten()
            .filter(|s| s["traceId"] == trace.as_str())
        {
            let at = |field: &str| span[field].as_str().and_then(|t| t.parse::<u64>().ok());
            let (start, end) = (at("startTimeUnixNano"), at("endTimeUnixNano"));
            let (Some(start), Some(end)) = (start, end) else {
                continue;
            };
            let micros = (end - start) / 1_000;
            hops.push((
                start,
                format!("{:<16} {micros:>8} µs", span["name"].as_str().unwrap_or("")),
            ));
        }
    }
    hops.sort();
    println!("\ntrace of the online request:");
    for (_, hop) in &hops {
        println!("  {hop}");
    }
    ensure!(hops.len() == 5, "a span for each hop");
    Ok(())
}
