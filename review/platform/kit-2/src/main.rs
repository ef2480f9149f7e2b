//! Cases of the second independent review, each as a script of its own.
//!
//! `review-2 CASE RECORD` runs one case and exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod http;
mod json;
mod kill_all;
mod late_answer;
mod mix;
mod proxy;
mod reborn;
mod same_id;
mod site;
mod store;
mod worker;

use site::Record;
use std::panic::catch_unwind;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let path = args.next().unwrap_or_else(|| "record.txt".into());
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = catch_unwind(|| {
        let record = Record::create(&path);
        record.note(format!("case {case}, trouble {trouble}"));
        let is_broken = match case.as_str() {
            "late-answer" => late_answer::run(&record, trouble),
            "reborn" => reborn::run(&record, trouble),
            "kill-all" => kill_all::run(&record, trouble),
            "mix" => mix::run(&record, trouble),
            "same-id" => same_id::run(&record, trouble),
            other => panic!("no case {other}"),
        };
        record.note(if is_broken { "BROKEN" } else { "held" });
        is_broken
    });
    match outcome {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
