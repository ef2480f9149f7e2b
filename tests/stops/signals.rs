//! Signals that end a daemon at once, and signals that must not cut requests.

use crate::connection::{Answer, Connection, booking_request};
use crate::daemon::{Daemon, wait_for};
use crate::site;
use bluebellreel_site::Site;
use bluebellreel_standins::ServiceFaults;
use nix::sys::signal::Signal;
use std::thread::{self, JoinHandle};

/// Latency of a service call, longer than the test needs to send its signals.
const SLOW_MS: u64 = 4_000;
/// Exit code of a stop that cut requests.
const EXIT_REQUESTS_CUT: i32 = 3;

fn slow_service(site: &Site) {
    let service = site.workers.last().expect("a service");
    let faults = ServiceFaults {
        slow_ms: SLOW_MS,
        ..ServiceFaults::default()
    };
    ureq::post(format!("{}/stand-in/faults", service.backend.url()))
        .send_json(faults)
        .expect("set");
}

/// Sends a booking from a thread and returns once the service runs it.
fn running_booking(site: &Site, daemon: &Daemon, key: &str) -> JoinHandle<std::io::Result<Answer>> {
    slow_service(site);
    let mut connection = Connection::connect(daemon.address).expect("connected");
    let text = booking_request(key);
    let answer_thread = thread::spawn(move || connection.ask(&text));
    wait_for("the booking runs", || {
        site.service_runs().expect("runs").contains_key(key)
    });
    answer_thread
}

/// SIGHUP arrives because an operator's terminal closes or a log is rotated. Guards against
/// SIGHUP ending the daemon at once, which cut the connections of waiting callers.
#[test]
fn hangup_cuts_nothing() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.wait_until_ready();
    let answer_thread = running_booking(&site, &daemon, "hangup");
    daemon.signal(Signal::SIGHUP);
    let answer = answer_thread
        .join()
        .expect("no panic")
        .expect("a whole answer");
    assert_eq!(answer.status, 201, "{answer:?}");
    assert!(!daemon.has_exited(), "it serves on");
    daemon.signal(Signal::SIGTERM);
    assert!(daemon.wait_for_exit().success(), "{}", daemon.log());
}

/// A platform sends SIGTERM repeatedly, and SIGHUP. Guards against the second SIGTERM
/// ending the daemon at once, which cut a running booking and left its caller without
/// knowing whether the slot was booked.
#[test]
fn repeated_sigterm_cuts_nothing() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.wait_until_ready();
    let answer_thread = running_booking(&site, &daemon, "twice");
    daemon.signal(Signal::SIGTERM);
    daemon.wait_for_line("Stopping: no longer ready.");
    daemon.signal(Signal::SIGTERM);
    daemon.signal(Signal::SIGHUP);
    daemon.wait_for_line("Stopping: accepting no new work.");
    daemon.signal(Signal::SIGTERM);
    let answer = answer_thread
        .join()
        .expect("no panic")
        .expect("a whole answer");
    assert_eq!(answer.status, 201, "{answer:?}");
    assert!(daemon.wait_for_exit().success(), "{}", daemon.log());
}

/// Somebody presses Ctrl-C twice at a terminal. The second SIGINT ends the daemon at once,
/// and the exit code says that requests were cut.
#[test]
fn second_interrupt_ends_at_once() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.wait_until_ready();
    let answer_thread = running_booking(&site, &daemon, "impatient");
    daemon.signal(Signal::SIGINT);
    daemon.wait_for_line("Stopping: no longer ready.");
    daemon.signal(Signal::SIGINT);
    let status = daemon.wait_for_exit();
    assert_eq!(status.code(), Some(EXIT_REQUESTS_CUT), "{}", daemon.log());
    assert!(
        answer_thread.join().expect("no panic").is_err(),
        "it was cut"
    );
}

/// SIGTERM arrives before the daemon is connected to its workers. The stop must be clean.
#[test]
fn sigterm_before_ready_stops_cleanly() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.signal(Signal::SIGTERM);
    let status = daemon.wait_for_exit();
    assert!(status.success(), "{}", daemon.log());
    assert!(daemon.log().contains("Stopped; no work was interrupted."));
}
