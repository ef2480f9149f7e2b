//! Entry daemons that are connected to a subset of many workers.

use bluebellreel_site::{Site, SitePlan, chat_line, wait_until};
use bluebellreel_standins::expected_answer;
use std::time::Duration;

const WORKERS: usize = 12;
const MODEL: &str = "rental-assistant";

/// Number of workers that a daemon is connected to.
fn connected(site: &Site, entry: usize) -> u64 {
    let view = site.outcomes(entry).expect("an answer");
    view["changes_hold"]["workers"].as_u64().expect("a number")
}

/// With many workers each daemon is connected to a few, which serve online requests. A job
/// gets connections to all workers of its model, because a few would make it slow. The
/// daemon closes them after the job without cutting a request.
#[test]
fn online_requests_need_few_connections_and_a_job_gets_all_workers() {
    let site = Site::start(&SitePlan {
        workers: WORKERS,
        connected: Some(3),
        entry_settings: "[limits]\nworkers_whole = 4\nworkers_per_model = 2\n".into(),
        ..SitePlan::default()
    })
    .expect("a site");
    // The daemon in Sligo that matches engines to the manifest is connected to the four
    // workers and the service in its data centre. The other daemon is connected to two
    // workers of the model, one of the service, and one that it probes.
    wait_until(|| (0..2).all(|entry| connected(&site, entry) <= 7));
    let prompt = "fiddle size?";
    for entry in 0..2 {
        let answer = site.caller(entry).chat(prompt, 4).expect("an answer");
        assert_eq!(answer, expected_answer(prompt, 4));
    }
    let line = |n: u32| chat_line(&format!("n{n}"), MODEL, &format!("note {n}"), 8);
    let lines: Vec<String> = (0..6_000).map(line).collect();
    let job = site.caller(1).submit("wide", &lines).expect("accepted").id;
    wait_until(|| connected(&site, 1) >= WORKERS as u64);
    let over = site
        .caller(1)
        .wait(&job, Duration::from_mins(2))
        .expect("it ends");
    assert_eq!(over.request_counts.completed, 6_000);
    for worker in 0..WORKERS {
        assert!(
            site.engine_admitted(worker).expect("counted") > 0,
            "worker {worker} had a share"
        );
    }
    wait_until(|| connected(&site, 1) <= 7);
}
