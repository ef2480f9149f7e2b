//! Restarts of entry daemons, and recovery after an outage of the key-value service.

use bluebellreel_site::{Site, SitePlan};
use bluebellreel_standins::{KvFaults, expected_answer};
use std::thread;
use std::time::{Duration, Instant};

/// Guards against requests refused with "no worker serves this model" after a restart: the
/// load balancer sent requests as soon as the daemon listened, before it was connected to
/// any worker. A daemon must become ready only after it has tried to connect to its workers.
#[test]
fn daemon_is_ready_only_with_its_workers() {
    let mut site = Site::start(&SitePlan::default()).expect("a site");
    for round in 0..2 {
        assert!(site.stop_entry(0).expect("it was up"), "nothing was cut");
        site.restart_entry(0).expect("it starts");
        let caller = site.caller(0);
        let end = Instant::now() + Duration::from_secs(30);
        while !matches!(caller.send("GET", "/readyz", &[], b""), Ok((200, _))) {
            assert!(Instant::now() < end, "the daemon is not ready after 30 s");
            thread::sleep(Duration::from_millis(1));
        }
        let prompt = format!("round {round}");
        let answer = caller.chat(&prompt, 4).expect("an answer at once");
        assert_eq!(answer, expected_answer(&prompt, 4));
    }
}

/// Guards against bookings refused with 404 "no such service" after a restart with a slow
/// key-value service: the load balancer sent them before the daemon had read the manifest.
/// A daemon must become ready only after it has read the manifest.
#[test]
fn daemon_is_ready_only_with_its_manifest() {
    let mut site = Site::start(&SitePlan::default()).expect("a site");
    assert!(site.stop_entry(0).expect("it was up"), "nothing was cut");
    let slow = KvFaults {
        slow_ms: 1_000,
        ..KvFaults::default()
    };
    site.set_kv_faults(&slow).expect("set");
    site.restart_entry(0).expect("it starts");
    let caller = site.caller(0);
    let end = Instant::now() + Duration::from_secs(30);
    while !matches!(caller.send("GET", "/readyz", &[], b""), Ok((200, _))) {
        assert!(Instant::now() < end, "the daemon is not ready after 30 s");
        thread::sleep(Duration::from_millis(1));
    }
    let path = "/services/desk/slots";
    let (status, text) = caller.send("GET", path, &[], b"").expect("an answer");
    assert_eq!(status, 200, "{text}");
}

/// A daemon cannot read the manifest because the key-value service is down. As it does not
/// know the services, it must answer 503 instead of "no such service".
#[test]
fn daemon_without_a_manifest_names_no_service_unknown() {
    let mut site = Site::start(&SitePlan::default()).expect("a site");
    assert!(site.stop_entry(0).expect("it was up"), "nothing was cut");
    let down = KvFaults {
        down: true,
        ..KvFaults::default()
    };
    site.set_kv_faults(&down).expect("set");
    site.restart_entry(0).expect("it starts");
    let path = "/services/desk/slots";
    let answer = site.caller(0).send("GET", path, &[], b"");
    let (status, text) = answer.expect("an answer");
    assert_eq!(status, 503, "{text}");
    assert!(text.contains("\"ran\":\"no\""), "{text}");
}

/// All daemons find at the same moment that the key-value service has recovered. They must
/// not overload it: each reconnects with a few calls, independent of the number of daemons.
#[test]
fn daemons_do_not_overrun_a_service_that_comes_back() {
    const WATCHES_PER_DAEMON: u64 = 5;
    let mut per_daemon = Vec::new();
    for entries in [2, 8] {
        let site = Site::start(&SitePlan {
            entries,
            lease_s: 2,
            ..SitePlan::default()
        })
        .expect("a site");
        let down = |down| KvFaults {
            down,
            ..KvFaults::default()
        };
        site.set_kv_faults(&down(true)).expect("set");
        // Longer than the leases live, so that each daemon needs a new one.
        thread::sleep(Duration::from_secs(4));
        let before = kv_counts(&site);
        site.set_kv_faults(&down(false)).expect("set");
        let daemons = u64::try_from(entries).expect("few");
        let end = Instant::now() + Duration::from_secs(30);
        while kv_counts(&site).watches < before.watches + WATCHES_PER_DAEMON * daemons {
            assert!(
                Instant::now() < end,
                "not all watches were re-established after 30 s"
            );
            thread::sleep(Duration::from_millis(10));
        }
        let after = kv_counts(&site);
        let calls = after.reads + after.writes + after.watches
            - before.reads
            - before.writes
            - before.watches;
        println!("{entries} daemons: {calls} calls until all watches were back");
        per_daemon.push(calls / daemons);
    }
    assert!(
        per_daemon.iter().all(|calls| *calls <= 40),
        "{per_daemon:?}"
    );
}

/// Calls that the key-value stand-in has counted.
#[derive(serde::Deserialize)]
struct KvCounts {
    reads: u64,
    writes: u64,
    watches: u64,
}

fn kv_counts(site: &Site) -> KvCounts {
    let url = format!("{}/stand-in/counts", site.kv.url());
    let mut answer = ureq::get(&url).call().expect("an answer");
    answer.body_mut().read_json().expect("JSON")
}
