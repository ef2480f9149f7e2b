//! Online calls that must not run more than once.

use bluebellreel_site::{Site, SitePlan};
use bluebellreel_standins::{KvFaults, ServiceFaults};
use std::thread;
use std::time::Duration;

fn book(site: &Site, entry: usize, key: &str) -> (u16, String) {
    let headers = [("Idempotency-Key", key)];
    site.caller(entry)
        .send("POST", "/services/desk/bookings", &headers, b"{}")
        .expect("an answer")
}

fn outcome(site: &Site, entry: usize, key: &str) -> String {
    let path = format!("/v1/requests/{key}");
    let (_, text) = site
        .caller(entry)
        .send("GET", &path, &[], b"")
        .expect("answer");
    let body: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    body["outcome"].as_str().unwrap_or_default().to_owned()
}

/// A client gets no answer to its booking for a while and resends it through both daemons
/// at once. The slot must be booked once, and each answer must be 201 or 409.
#[test]
fn booking_sent_many_times_runs_once() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let answers: Vec<(u16, String)> = thread::scope(|scope| {
        let send = |n: usize| {
            let site = &site;
            scope.spawn(move || book(site, n % 2, "slot-9"))
        };
        let threads: Vec<_> = (0..8).map(send).collect();
        threads
            .into_iter()
            .map(|t| t.join().expect("sent"))
            .collect()
    });
    let has_run = answers.iter().any(|(status, _)| *status == 201);
    assert!(has_run, "{answers:?}");
    for (status, text) in &answers {
        assert!(matches!(status, 201 | 409), "{status}: {text}");
    }
    assert_eq!(site.service_runs().expect("runs")["slot-9"], 1);
    assert_eq!(book(&site, 1, "slot-9").0, 201, "the recorded answer");
    assert_eq!(outcome(&site, 0, "slot-9"), "completed");
    assert_eq!(site.service_runs().expect("runs")["slot-9"], 1);
}

/// The service books the slot, but its answer is lost. No daemon may report "not run", and
/// a resend must not book a second time.
#[test]
fn lost_answer_is_unknown_and_never_run_again() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let service = site.workers.last().expect("service");
    let faults = ServiceFaults {
        lose_answers: 1,
        ..ServiceFaults::default()
    };
    ureq::post(format!("{}/stand-in/faults", service.backend.url()))
        .send_json(&faults)
        .expect("faults");
    let (status, text) = book(&site, 0, "slot-1");
    assert_eq!(status, 504, "{text}");
    assert!(text.contains("\"ran\":\"unknown\""), "{text}");
    assert_eq!(outcome(&site, 1, "slot-1"), "unknown");
    let (status, text) = book(&site, 1, "slot-1");
    assert_eq!(status, 409, "{text}");
    assert_eq!(site.service_runs().expect("runs")["slot-1"], 1);
}

/// The key-value service is down, so no claim can be recorded. The daemon must answer "not
/// run" at once and must not run the call. Chat requests are still answered.
#[test]
fn call_without_recorded_claim_does_not_run() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let down = KvFaults {
        down: true,
        ..KvFaults::default()
    };
    site.set_kv_faults(&down).expect("faults");
    let headers = [
        ("Idempotency-Key", "slot-2"),
        ("Bluebellreel-Deadline", "2020-01-01T00:00:00Z"),
    ];
    let path = "/services/desk/bookings";
    let late = site.caller(0).send("POST", path, &headers, b"{}");
    assert_eq!(late.expect("answer").0, 504);
    assert!(site.caller(0).chat("pass window", 4).is_ok());
    let (status, text) = book(&site, 0, "slot-3");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("\"ran\":\"no\""), "{text}");
    site.set_kv_faults(&KvFaults::default()).expect("faults");
    assert_eq!(site.service_runs().expect("runs").len(), 0);
    // The daemon soon detects that the key-value service has recovered; until then it
    // answers "not run" with a Retry-After header.
    while book(&site, 1, "slot-3").0 == 503 {
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(site.service_runs().expect("runs")["slot-3"], 1);
}

#[test]
fn repeatable_call_needs_no_key() {
    let site = Site::start(&SitePlan::default()).expect("site");
    let slots = site.caller(0).send("GET", "/services/desk/slots", &[], b"");
    assert_eq!(slots.expect("answer").0, 200);
    let booking = site
        .caller(0)
        .send("POST", "/services/desk/bookings", &[], b"{}");
    let (status, text) = booking.expect("answer");
    assert_eq!(status, 400);
    assert!(text.contains("key_needed"), "{text}");
}
