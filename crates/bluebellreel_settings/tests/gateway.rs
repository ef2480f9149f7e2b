//! Settings of a gateway: validation, and which changes need a restart.

use bluebellreel_settings::{GatewaySettings, Scheduling, parse_gateway};
use std::time::Duration;

const TEXT: &str = r#"
[vm]
name = "entry-1"
address = "127.0.0.1"
data_centre = "hall"
[listen]
requests = "127.0.0.1:8000"
readiness = "127.0.0.1:8001"
peers = "127.0.0.1:8002"
reports_port = 8003
metrics_port = 9464
[peers]
seeds = ["127.0.0.2:8002"]
[store]
address = "127.0.0.9:2379"
value_bytes = 1048576
shortest_lease_ms = 1000
[stop]
grace_s = 8
"#;

fn parse(text: &str) -> Result<GatewaySettings, String> {
    parse_gateway("gateway.toml", text).map_err(|e| e.to_string())
}

#[test]
fn valid_settings_are_parsed() {
    let settings = parse(TEXT).expect("valid settings");
    assert_eq!(settings.reports.to_string(), "127.0.0.1:8003");
    assert_eq!(settings.grace, Duration::from_secs(8));
}

/// Guards that peers get the listening addresses unless the settings advertise others.
#[test]
fn peers_get_the_advertised_addresses() {
    let plain = parse(TEXT).expect("valid settings");
    assert_eq!(plain.advertised_peers(), plain.peers);
    assert_eq!(plain.advertised_reports(), plain.reports);
    let section = "[advertise]\npeers = \"127.0.0.3:9002\"\nreports = \"127.0.0.3:9003\"\n[peers]";
    let advertised = parse(&TEXT.replace("[peers]", section)).expect("valid settings");
    assert_eq!(advertised.advertised_peers().to_string(), "127.0.0.3:9002");
    assert_eq!(
        advertised.advertised_reports().to_string(),
        "127.0.0.3:9003"
    );
    assert_eq!(advertised.peers, plain.peers);
    assert_eq!(plain.start_needed_for(&advertised), ["advertise"]);
}

/// An operator mistypes a value. The daemon must name the file and the key instead of
/// starting with a different value.
#[test]
fn errors_name_the_file_and_the_key() {
    for (right, wrong, key) in [
        ("name = \"entry-1\"", "name = \"\"", "vm.name"),
        ("grace_s = 8", "grace_s = 0.1", "stop.grace_s"),
        ("grace_s = 8", "grace_s = 1e30", "stop.grace_s"),
        (
            "value_bytes = 1048576",
            "value_bytes = 10",
            "store.value_bytes",
        ),
        (
            "[peers]",
            "[advertise]\npeers = \"127.0.0.3:0\"\n[peers]",
            "advertise.peers",
        ),
        (
            "[peers]",
            "[advertise]\nreports = \"0.0.0.0:9003\"\n[peers]",
            "advertise.reports",
        ),
    ] {
        let e = parse(&TEXT.replace(right, wrong)).expect_err(key);
        assert!(e.starts_with("gateway.toml"), "{e}");
        assert!(e.contains(key), "{e}");
    }
}

/// The file changes while the daemon runs. Changes of the seeds and the grace period
/// take effect at once, but a listening address changes only with a restart.
#[test]
fn changes_that_need_a_restart_are_listed() {
    let before = parse(TEXT).expect("valid settings");
    let seeds = TEXT.replace("127.0.0.2:8002", "127.0.0.3:8002");
    let at_once = parse(&seeds.replace("grace_s = 8", "grace_s = 4")).expect("valid settings");
    assert_ne!(before, at_once);
    assert!(before.start_needed_for(&at_once).is_empty());
    let other = TEXT.replace(":8000", ":8100").replace(":2379", ":2380");
    let later = parse(&other).expect("valid settings");
    assert_eq!(
        before.start_needed_for(&later),
        ["listen.requests", "store"]
    );
}

/// Guards that `cancel_within_ms` accepts every value in its range and no other.
#[test]
fn cancel_within_is_validated() {
    let given = parse(TEXT).expect("valid settings");
    assert_eq!(given.cancel_within, Duration::from_secs(3));
    let longer = format!("{TEXT}[jobs]\ncancel_within_ms = 5000\n");
    let longer = parse(&longer).expect("valid settings");
    assert_eq!(longer.cancel_within, Duration::from_secs(5));
    assert_eq!(given.start_needed_for(&longer), ["jobs.cancel_within_ms"]);
    for (text, ms) in [("1000", 1000), ("3000.0", 3000), ("750", 750)] {
        let given = parse(&format!("{TEXT}[jobs]\ncancel_within_ms = {text}\n"));
        let given = given.expect("valid settings");
        assert_eq!(given.cancel_within, Duration::from_millis(ms));
    }
    for wrong in ["0", "749", "-3000", "nan", "3600001"] {
        let error = parse(&format!("{TEXT}[jobs]\ncancel_within_ms = {wrong}\n"));
        let error = error.expect_err("out of range");
        assert!(error.contains("jobs.cancel_within_ms"), "{error}");
    }
    assert_eq!(parse(&format!("{TEXT}[jobs]\n")).expect("no key"), given);
}

/// Guards that the bounds of the teams' keys and rates are read and checked.
#[test]
fn bounds_of_teams_are_validated() {
    let plain = parse(TEXT).expect("valid settings");
    assert_eq!(plain.revoke_within, None);
    let given =
        "[teams]\nrevoke_within_ms = 5000\nrate_window_s = 10\nrate_excess = 0.2\nrate_slack = 0\n";
    let given = parse(&format!("{TEXT}{given}")).expect("valid settings");
    assert_eq!(given.revoke_within, Some(Duration::from_secs(5)));
    let tolerance = given.rate_tolerance;
    assert_eq!(tolerance.window, Duration::from_secs(10));
    assert!((tolerance.excess - 0.2).abs() < 1e-9 && tolerance.slack.abs() < 1e-9);
    assert_eq!(plain.start_needed_for(&given).len(), 2);
    for (key, value) in [
        ("revoke_within_ms", "999"),
        ("rate_window_s", "-1"),
        ("rate_excess", "-0.1"),
        ("rate_slack", "nan"),
    ] {
        let text = format!("{TEXT}[teams]\n{key} = {value}\n");
        let error = parse(&text).expect_err("out of range");
        assert!(error.contains(key), "{error}");
    }
}

/// Guards that a scheduling feature is off unless its term is among those of the
/// deployment.
#[test]
fn scheduling_features_depend_on_the_terms() {
    let plain = parse(TEXT).expect("valid settings");
    assert_eq!(plain.scheduling, Scheduling::default());
    let section =
        "[scheduling]\nterms = [\"a\", \"b\"]\nworker_evidence = \"b\"\njob_deadlines = \"c\"\n";
    let given = parse(&format!("{TEXT}{section}")).expect("valid settings");
    let expected = Scheduling {
        worker_evidence: true,
        ..Scheduling::default()
    };
    assert_eq!(given.scheduling, expected);
    assert_eq!(plain.start_needed_for(&given), ["scheduling"]);
    let wrong = format!("{TEXT}[scheduling]\njob_deadlines = \"\"\n");
    let error = parse(&wrong).expect_err("empty term");
    assert!(error.contains("scheduling.job_deadlines"), "{error}");
}
