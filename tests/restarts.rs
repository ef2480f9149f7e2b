//! Daemons that come back.

use bluebellreel_site::{Site, SitePlan};
use bluebellreel_standins::{KvFaults, expected_answer};
use std::thread;
use std::time::{Duration, Instant};

/// A daemon was restarted and people were refused with "no worker serves this
/// model": the balancer had sent them as soon as it listened, before it was
/// connected to any worker. It is ready only when its workers have been tried.
#[test]
fn daemon_is_ready_only_with_its_workers() {
    let mut site = Site::start(&SitePlan::default()).expect("a site");
    for round in 0..2 {
        assert!(site.stop_entry(0).expect("it was up"), "nothing was cut");
        site.restart_entry(0).expect("it starts");
        let caller = site.caller(0);
        let end = Instant::now() + Duration::from_secs(30);
        while !matches!(caller.send("GET", "/readyz", &[], b""), Ok((200, _))) {
            assert!(Instant::now() < end, "it never became ready");
            thread::sleep(Duration::from_millis(1));
        }
        let prompt = format!("round {round}");
        let answer = caller.chat(&prompt, 4).expect("an answer at once");
        assert_eq!(answer, expected_answer(&prompt, 4));
    }
}

/// A daemon was restarted while the key-value service was slow, and bookings
/// were refused with 404, "no such service": the balancer had sent them before
/// the daemon had read the manifest. It is ready only when it has.
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
        assert!(Instant::now() < end, "it never became ready");
        thread::sleep(Duration::from_millis(1));
    }
    let path = "/services/desk/slots";
    let (status, text) = caller.send("GET", path, &[], b"").expect("an answer");
    assert_eq!(status, 200, "{text}");
}

/// A daemon cannot read the manifest, as the key-value service is down. It does
/// not know which services there are, and says so instead of "no such service".
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

/// The key-value service was away and all daemons found it back at the same
/// moment. They must not bring it down again: each comes back with a few calls,
/// the same however many daemons there are.
#[test]
fn daemons_do_not_overrun_a_service_that_comes_back() {
    const WATCHES_A_DAEMON: u64 = 5;
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
        // Longer than the leases, so that each daemon takes a new one.
        thread::sleep(Duration::from_secs(4));
        let before = kv_counts(&site);
        site.set_kv_faults(&down(false)).expect("set");
        let daemons = u64::try_from(entries).expect("few");
        let end = Instant::now() + Duration::from_secs(30);
        while kv_counts(&site).watches < before.watches + WATCHES_A_DAEMON * daemons {
            assert!(Instant::now() < end, "not all watches came back");
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
