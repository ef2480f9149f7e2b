//! Stand-ins for the cases of the review, and the cases themselves.
//!
//!     review-standin store ADDRESS
//!     review-standin worker ADDRESS ID SLOTS EVENTS INTERVAL_MS UNFRAMED
//!     review-standin CASE RECORD      TROUBLE=0 leaves the disruption out

mod cases;
mod http;
mod json;
mod site;
mod store;
mod worker;

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let address = |text: &str| text.parse::<SocketAddr>().expect("an address");
    let served = match words[..] {
        ["store", at] => store::serve(address(at)),
        ["worker", at, id, slots, events, interval, unframed] => {
            let options = worker::Options {
                id: id.to_owned(),
                slots: slots.parse().expect("a number"),
                events: events.parse().expect("a number"),
                interval: Duration::from_millis(interval.parse().expect("a number")),
                unframed: unframed == "true",
            };
            worker::serve(address(at), options)
        }
        [case, record] => return cases::run(case, record),
        _ => {
            eprintln!("usage: review-standin store | worker | CASE RECORD");
            return ExitCode::from(2);
        }
    };
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
