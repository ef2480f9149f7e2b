//! Operator actions through two entry daemons.

use bluebellreel_site::{OPERATOR_TOKEN, Site, SitePlan, wait_until};
use bluebellreel_standins::EngineCosts;
use serde_json::Value;
use std::thread;
use std::time::Duration;

fn post(site: &Site, entry: usize, path: &str, headers: &[(&str, &str)]) -> (u16, Value) {
    let (status, text) = site
        .operator(entry)
        .send("POST", path, headers, b"")
        .expect("an answer");
    (status, serde_json::from_str(&text).expect("JSON"))
}

/// An operator drains a worker at one daemon. All daemons must soon stop sending it new
/// requests, and the answers in progress must be completed.
#[test]
fn drained_worker_gets_no_new_requests_and_cuts_none() {
    let costs = EngineCosts {
        base: Duration::from_millis(10),
        ..EngineCosts::default()
    };
    let plan = SitePlan {
        workers: 2,
        services: 0,
        costs,
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("site");
    thread::scope(|scope| {
        let asked: Vec<_> = (0..6)
            .map(|n| {
                let caller = site.caller(n % 2);
                scope.spawn(move || caller.chat(&format!("question {n}"), 40))
            })
            .collect();
        thread::sleep(Duration::from_millis(100));
        for _ in 0..2 {
            let (status, body) = post(&site, 0, "/operator/v1/workers/worker-0/drain", &[]);
            assert_eq!(status, 200, "{body}");
        }
        for answer in asked {
            answer.join().expect("asked").expect("whole");
        }
    });
    let drained = || site.engine_admitted(0).expect("count");
    wait_until(|| {
        let before = drained();
        for n in 0..10 {
            site.caller(n % 2)
                .chat(&format!("later {n}"), 1)
                .expect("answer");
        }
        drained() == before
    });
    assert_eq!(
        post(&site, 1, "/operator/v1/workers/nobody/drain", &[]).0,
        404
    );
}

/// Two operators put different manifests based on the same generation. One is accepted, the
/// other operator gets 409 with the generation that won, and that generation is applied
/// everywhere and not reverted.
#[test]
fn concurrent_manifest_puts_have_one_winner() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let manifest = |version: usize| {
        site.manifest()
            .replace("version = \"1\"", &format!("version = \"{version}\""))
    };
    let answers: Vec<(u16, String)> = thread::scope(|scope| {
        let put = |n: usize| {
            let (operator, text) = (site.operator(n), manifest(n + 2));
            scope.spawn(move || {
                let headers = [("If-Match", "1")];
                operator
                    .send("PUT", "/operator/v1/manifest", &headers, text.as_bytes())
                    .expect("answer")
            })
        };
        let threads = [put(0), put(1)];
        threads
            .into_iter()
            .map(|t| t.join().expect("put"))
            .collect()
    });
    let won: Vec<bool> = answers.iter().map(|(status, _)| *status == 200).collect();
    assert_eq!(won.iter().filter(|w| **w).count(), 1, "{answers:?}");
    let loser = answers
        .iter()
        .find(|(status, _)| *status != 200)
        .expect("a loser");
    assert_eq!(loser.0, 409);
    assert!(
        loser.1.contains("\"generation\":2"),
        "shown what won: {}",
        loser.1
    );
    wait_until(|| {
        (0..2).all(|n| site.outcomes(n).expect("an answer")["changes_hold"]["generation"] == 2)
    });
    wait_until(|| {
        (0..2).all(|n| site.outcomes(n).expect("an answer")["changes_hold"]["state"] == "holds")
    });
}

/// "Roll forward" is sent twice by a double tap. Only one generation must be created.
#[test]
fn double_tap_rolls_forward_once() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let seen = [("If-Match", "1")];
    for entry in 0..2 {
        let (status, body) = post(&site, entry, "/operator/v1/roll-forward", &seen);
        assert_eq!(
            (status, &body["generation"]),
            (200, &Value::from(2)),
            "{body}"
        );
    }
    let (status, _) = post(&site, 0, "/operator/v1/roll-forward", &[("If-Match", "0")]);
    assert_eq!(status, 409);
}

#[test]
fn bad_manifest_is_refused_whole_with_every_error() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let text = "[[models]]\nname = \"a b\"\nversion = \"\"\n";
    let headers = [("If-Match", "1")];
    let path = "/operator/v1/manifest";
    let put = site
        .operator(0)
        .send("PUT", path, &headers, text.as_bytes());
    let (status, answer) = put.expect("answer");
    assert_eq!(status, 422);
    assert!(
        answer.contains("models.a b.name") && answer.contains("version"),
        "{answer}"
    );
    let without = site.operator(0).send("PUT", path, &[], text.as_bytes());
    assert_eq!(without.expect("answer").0, 428);
}

/// The operator page works without scripts: it asks for a token, shows the outcomes and
/// asks for a confirmation before an action. It is small, and rejects a team's token.
#[test]
fn page_shows_outcomes_and_asks_before_it_acts() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let send = |body: &str| {
        site.operator(0)
            .send("POST", "/operator", &[], body.as_bytes())
            .expect("answer")
    };
    let (status, form) = site
        .operator(0)
        .send("GET", "/operator", &[], b"")
        .expect("page");
    assert_eq!(status, 200);
    assert!(form.contains("type=\"password\""));
    assert_eq!(send("token=school-token").0, 401);
    let (status, page) = send(&format!("token={OPERATOR_TOKEN}"));
    assert_eq!(status, 200);
    assert!(page.len() < 30_000, "{} bytes", page.len());
    assert!(page.contains("Every accepted item finishes once"));
    assert!(!page.contains("<script"));
    let act = format!("token={OPERATOR_TOKEN}&action=roll-forward&seen=1");
    assert!(send(&act).1.contains("Accept the manifest anew"));
    assert_eq!(
        site.outcomes(0).expect("an answer")["changes_hold"]["generation"],
        1,
        "no generation is created before the confirmation"
    );
    assert!(
        send(&format!("{act}&confirmed=yes"))
            .1
            .contains("accepted anew")
    );
    wait_until(|| site.outcomes(1).expect("an answer")["changes_hold"]["generation"] == 2);
}

/// The key-value service is down when a change is requested. The change is refused, nothing
/// is reverted, the applied generation stays in force, and the change succeeds after the
/// outage.
#[test]
fn outage_reverts_nothing() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let down = bluebellreel_standins::KvFaults {
        down: true,
        ..Default::default()
    };
    site.set_kv_faults(&down).expect("faults");
    let headers = [("If-Match", "1")];
    let text = site.manifest().replace("\"1\"", "\"9\"");
    let path = "/operator/v1/manifest";
    let put = || {
        site.operator(0)
            .send("PUT", path, &headers, text.as_bytes())
            .expect("answer")
    };
    assert_eq!(put().0, 503);
    assert!(site.caller(1).chat("still served", 2).is_ok());
    assert_eq!(
        site.outcomes(1).expect("an answer")["changes_hold"]["generation"],
        1
    );
    site.set_kv_faults(&bluebellreel_standins::KvFaults::default())
        .expect("faults");
    wait_until(|| matches!(put().0, 200 | 409));
    wait_until(|| {
        (0..2).all(|n| site.outcomes(n).expect("an answer")["changes_hold"]["generation"] == 2)
    });
}

/// A manifest with a new model version is put. One engine fails to load it at first: the
/// failure is shown, does not delay the other engines, and the load is retried. Requests are
/// answered all the time, and in the end every engine has the new version.
#[test]
fn engines_converge_to_the_manifest_under_load() {
    let plan = SitePlan {
        entries: 3,
        services: 0,
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("site");
    let fails = bluebellreel_standins::EngineFaults {
        fail_loads: true,
        ..Default::default()
    };
    site.set_engine_faults(1, &fails).expect("faults");
    let text = format!(
        "[[models]]\nname = \"{}\"\nversion = \"2\"\n\
         replicas = {{ Sligo = 1, Galway = 1, Castlebar = 1 }}\n",
        plan.deployment.model()
    );
    let headers = [("If-Match", "1")];
    let path = "/operator/v1/manifest";
    let put = site
        .operator(2)
        .send("PUT", path, &headers, text.as_bytes());
    assert_eq!(put.expect("answer").0, 200);
    let mut asked = 0;
    let mut ask = || {
        asked += 1;
        let question = format!("during the change {asked}");
        site.caller(asked % 3).chat(&question, 2).expect("answered");
    };
    let version = |worker: usize| site.engine_version(worker).expect("models");
    wait_until(|| {
        ask();
        version(0) == "2" && version(2) == "2"
    });
    assert_eq!(version(1), "1", "its load fails");
    wait_until(|| {
        ask();
        let changes = &site.outcomes(1).expect("an answer")["changes_hold"];
        changes["state"] == "at risk"
            && !changes["failed_loads"].as_array().expect("list").is_empty()
    });
    site.set_engine_faults(1, &bluebellreel_standins::EngineFaults::default())
        .expect("faults");
    wait_until(|| {
        ask();
        version(1) == "2"
    });
    wait_until(|| site.outcomes(1).expect("an answer")["changes_hold"]["state"] == "holds");
}
