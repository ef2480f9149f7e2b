//! Which signals end a program, and which cut nothing.

use crate::daemon::{Daemon, wait_for};
use crate::site;
use crate::wire::{Answer, Wire, booking};
use bluebellreel_site::Site;
use bluebellreel_standins::ServiceFaults;
use nix::sys::signal::Signal;
use std::thread::{self, JoinHandle};

/// A call's time at its service: longer than what the test does meanwhile.
const SLOW_MS: u64 = 4_000;
/// The exit code of a stop that cut something.
const CUT: i32 = 3;

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

/// A booking that runs at its service when this returns.
fn running_booking(site: &Site, daemon: &Daemon, key: &str) -> JoinHandle<std::io::Result<Answer>> {
    slow_service(site);
    let mut wire = Wire::connect(daemon.address).expect("connected");
    let text = booking(key);
    let asked = thread::spawn(move || wire.ask(&text));
    wait_for("the booking runs", || {
        site.service_runs().expect("runs").contains_key(key)
    });
    asked
}

/// An operator's terminal was closed, or a log was rotated: SIGHUP ended the
/// daemon on the spot, and callers who waited saw their connections cut.
#[test]
fn hangup_cuts_nothing() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.wait_until_ready();
    let asked = running_booking(&site, &daemon, "hangup");
    daemon.signal(Signal::SIGHUP);
    let answer = asked.join().expect("no panic").expect("a whole answer");
    assert_eq!(answer.status, 201, "{answer:?}");
    assert!(!daemon.has_ended(), "it serves on");
    daemon.signal(Signal::SIGTERM);
    assert!(daemon.end().success(), "{}", daemon.log());
}

/// A platform sent SIGTERM, lost patience and sent it again, then SIGHUP. The
/// second one ended the daemon at once: a booking that ran was cut, and its
/// caller did not know whether a slot was held.
#[test]
fn repeated_sigterm_cuts_nothing() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.wait_until_ready();
    let asked = running_booking(&site, &daemon, "twice");
    daemon.signal(Signal::SIGTERM);
    daemon.wait_for_line("Stopping: no longer ready.");
    daemon.signal(Signal::SIGTERM);
    daemon.signal(Signal::SIGHUP);
    daemon.wait_for_line("Stopping: accepting no new work.");
    daemon.signal(Signal::SIGTERM);
    let answer = asked.join().expect("no panic").expect("a whole answer");
    assert_eq!(answer.status, 201, "{answer:?}");
    assert!(daemon.end().success(), "{}", daemon.log());
}

/// Somebody at a terminal presses Ctrl-C and does not want to wait: the second
/// time ends the daemon at once, and its exit code says that something was cut.
#[test]
fn second_interrupt_ends_at_once() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.wait_until_ready();
    let asked = running_booking(&site, &daemon, "impatient");
    daemon.signal(Signal::SIGINT);
    daemon.wait_for_line("Stopping: no longer ready.");
    daemon.signal(Signal::SIGINT);
    let status = daemon.end();
    assert_eq!(status.code(), Some(CUT), "{}", daemon.log());
    assert!(asked.join().expect("no panic").is_err(), "it was cut");
}

/// SIGTERM comes while a daemon is still looking for its workers: the stop is
/// as clean as any other.
#[test]
fn sigterm_before_ready_stops_cleanly() {
    let site = site();
    let mut daemon = Daemon::start(&site, 1);
    daemon.signal(Signal::SIGTERM);
    let status = daemon.end();
    assert!(status.success(), "{}", daemon.log());
    assert!(daemon.log().contains("Stopped; no work was interrupted."));
}
