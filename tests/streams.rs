//! Streamed answers through one entry daemon.

use bluebellreel_site::{Site, SitePlan};
use bluebellreel_standins::{EngineCosts, EngineFaults, expected_answer};
use std::thread;
use std::time::Duration;

const CALLERS: u32 = 200;

fn fast() -> EngineCosts {
    EngineCosts {
        base: Duration::from_millis(1),
        ..EngineCosts::default()
    }
}

/// Two hundred callers stream answers through one daemon at once. Each must get the
/// complete answer to its own prompt, in whatever order the tokens of all streams arrive.
#[test]
fn each_caller_gets_its_own_complete_answer() {
    let plan = SitePlan {
        entries: 1,
        costs: fast(),
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("site");
    let caller = site.caller(0);
    thread::scope(|scope| {
        for number in 0..CALLERS {
            let caller = caller.clone();
            scope.spawn(move || {
                let prompt = format!("question {number} about a fiddle");
                let tokens = 4 + number % 13;
                let answer = caller.stream(&prompt, tokens, None, |_| ());
                assert_eq!(answer.expect("answer"), expected_answer(&prompt, tokens));
            });
        }
    });
}

/// One engine's streams break in the middle of every answer. The daemon resumes the stream
/// at another engine after the delivered text, so that the caller gets a complete answer.
#[test]
fn broken_stream_resumes_after_the_delivered_text() {
    let plan = SitePlan {
        entries: 1,
        workers: 2,
        services: 0,
        costs: fast(),
        ..SitePlan::default()
    };
    let site = Site::start(&plan).expect("site");
    let faults = EngineFaults {
        break_after: 3,
        ..EngineFaults::default()
    };
    site.set_engine_faults(0, &faults).expect("faults");
    for number in 0..8 {
        let prompt = format!("pass window {number}");
        let answer = site.caller(0).stream(&prompt, 9, None, |_| ());
        assert_eq!(answer.expect("answer"), expected_answer(&prompt, 9));
    }
}
