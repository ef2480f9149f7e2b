//! Counting what callers under load got.

use bluebellreel_standins::expected_answer;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for something that must come about.
const LONGEST: Duration = Duration::from_mins(1);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// What callers got.
#[derive(Debug, Default)]
pub struct AskCounts {
    answered: AtomicU32,
    failed: AtomicU32,
}

impl AskCounts {
    /// Takes in what a prompt led to; a failure is printed.
    pub fn note(&self, prompt: &str, tokens: u32, result: eyre::Result<String>) {
        let failure = match result {
            Ok(answer) if answer == expected_answer(prompt, tokens) => {
                self.answered.fetch_add(1, Ordering::SeqCst);
                return;
            }
            Ok(answer) => format!("got {answer:?} for {prompt:?}"),
            Err(e) => e.to_string(),
        };
        self.failed.fetch_add(1, Ordering::SeqCst);
        println!("failed: {failure}");
    }

    /// Answers that were whole and the caller's own.
    #[must_use]
    pub fn answered(&self) -> u32 {
        self.answered.load(Ordering::SeqCst)
    }

    /// Requests that failed, or whose answer was cut or another's.
    #[must_use]
    pub fn failed(&self) -> u32 {
        self.failed.load(Ordering::SeqCst)
    }
}

/// Waits for something that must come about; how long is not judged.
///
/// # Panics
///
/// Ends the test when it has not come about after a minute.
pub fn wait_until(mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + LONGEST;
    while !holds() {
        assert!(Instant::now() < end, "it never came about");
        thread::sleep(LOOK);
    }
}
