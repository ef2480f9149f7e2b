//! Batch jobs through two entry daemons.

use bluebellreel_site::{Caller, Site, SitePlan, chat_line, service_line};
use bluebellreel_standins::{EngineCosts, KvFaults};
use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

const MAX_WAIT: Duration = Duration::from_mins(1);

fn lines(site: &Site, count: u32, tokens: u32) -> Vec<String> {
    let model = site.plan.deployment.model();
    let line = |n: u32| chat_line(&format!("n{n}"), model, &format!("note {n}"), tokens);
    (0..count).map(line).collect()
}

fn statuses(site: &Site, id: &str) -> BTreeMap<String, Vec<String>> {
    let mut statuses: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for item in site.caller(1).results(id).expect("results") {
        statuses
            .entry(item.custom_id)
            .or_default()
            .push(item.status);
    }
    statuses
}

/// A client assumes that its submission was lost and resends it through both daemons at the
/// same moment. Only one job must be created.
#[test]
fn concurrent_resends_create_one_job() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let body = lines(&site, 40, 4);
    let ids: Vec<String> = thread::scope(|scope| {
        let send = |n: usize| {
            let (caller, body) = (site.caller(n % 2), &body);
            scope.spawn(move || caller.submit("term", body).expect("accepted").id)
        };
        let threads: Vec<_> = (0..6).map(send).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("sent"))
            .collect()
    });
    assert!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
    let job = site.caller(1).wait(&ids[0], MAX_WAIT).expect("over");
    assert_eq!(job.request_counts.completed, 40);
    let statuses = statuses(&site, &ids[0]);
    assert_eq!(statuses.len(), 40);
    assert!(statuses.values().all(|e| *e == ["succeeded"]));
    let other = site.caller(0).submit("term", &lines(&site, 39, 4));
    let error = other.expect_err("another body").to_string();
    assert!(
        error.starts_with("409") && error.contains("key_reused"),
        "{error}"
    );
    let mut member = site.caller(0);
    member.token = "member-token".into();
    assert!(
        member.job(&ids[0]).is_err(),
        "another team's job is not shown"
    );
}

/// A job is cancelled through the other daemon while it runs. It must stop, keep the
/// results of finished items, and show every other item as cancelled.
#[test]
fn cancelled_job_stops_and_keeps_what_had_finished() {
    let costs = EngineCosts {
        base: Duration::from_millis(20),
        ..EngineCosts::default()
    };
    let plan = SitePlan {
        costs,
        window: 4,
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("site");
    let job = site
        .caller(0)
        .submit("harps", &lines(&site, 400, 8))
        .expect("job");
    while site.caller(0).results(&job.id).expect("results").is_empty() {
        thread::sleep(Duration::from_millis(50));
    }
    let path = format!("/v1/batches/{}/cancel", job.id);
    let (status, text) = site
        .caller(1)
        .send("POST", &path, &[], b"")
        .expect("answer");
    assert_eq!(status, 200, "{text}");
    let statuses = statuses(&site, &job.id);
    assert_eq!(statuses.len(), 400);
    let count = |status: &str| statuses.values().filter(|e| *e == &[status]).count();
    assert!(
        count("succeeded") > 0 && count("cancelled") > 0,
        "{statuses:?}"
    );
    assert_eq!(count("succeeded") + count("cancelled"), 400);
    thread::sleep(Duration::from_millis(300));
    let later = site.caller(0).wait(&job.id, MAX_WAIT).expect("over");
    assert_eq!(later.status, "cancelled");
    let again = site.caller(0).results(&job.id).expect("results");
    assert_eq!(again.len(), 400, "nothing is recorded after the cancel");
}

/// A job sends bookings to a plain service while answers of the key-value service are lost.
/// Each booking must run once.
#[test]
fn each_booking_of_a_job_runs_once() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let lose_answers = 2;
    let faults = KvFaults {
        lose_answers,
        ..KvFaults::default()
    };
    site.set_kv_faults(&faults).expect("faults");
    let line = |n: u32| service_line(&format!("harp-{n}"), "desk", "/bookings");
    let body: Vec<String> = (0..30).map(line).collect();
    let job = site.caller(0).submit("harps", &body).expect("job");
    let over = site.caller(1).wait(&job.id, MAX_WAIT).expect("over");
    assert_eq!(over.request_counts.completed, 30);
    let runs = site.service_runs().expect("runs");
    assert_eq!(runs.len(), 30);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

/// One team submits jobs beyond its limit. The excess job is refused at once with 429, "not
/// run" and a retry delay. A resend of an accepted job finds that job, and another team's
/// jobs are still accepted.
#[test]
fn team_with_too_many_jobs_does_not_block_other_teams() {
    let site = Site::start(&SitePlan {
        entry_settings: "[limits]\nteam_jobs = 3\n".into(),
        costs: EngineCosts {
            base: Duration::from_millis(50),
            ..EngineCosts::default()
        },
        ..SitePlan::default()
    })
    .expect("site");
    let body = lines(&site, 400, 64);
    let caller = site.caller(0);
    for key in ["one", "two", "three"] {
        caller.submit(key, &body).expect("accepted");
    }
    let refused = caller.submit("four", &body).expect_err("too many");
    let reason = refused.to_string();
    assert!(reason.starts_with("429"), "{reason}");
    assert!(reason.contains("too_many_jobs") && reason.contains("\"ran\":\"no\""));
    caller.submit("two", &body).expect("it was accepted before");
    let member = Caller::new(site.url(0).to_owned(), "member-token", &caller.model);
    let other = member.submit("one", &body).expect("another team").id;
    let path = format!("/v1/batches/{other}/cancel");
    let (status, _) = member.send("POST", &path, &[], b"").expect("an answer");
    assert_eq!(status, 200);
}
