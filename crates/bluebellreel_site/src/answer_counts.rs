//! Counts the answers that callers get under load.

use bluebellreel_standins::expected_answer;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait for an expected condition.
const MAX_WAIT: Duration = Duration::from_mins(1);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Correct answers and failures of all callers.
#[derive(Debug, Default)]
pub struct AnswerCounts {
    answered: AtomicU32,
    failed: AtomicU32,
}

impl AnswerCounts {
    /// Counts the result of a prompt and prints a failure.
    pub fn record(&self, prompt: &str, tokens: u32, result: eyre::Result<String>) {
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

    /// Answers that were complete and matched the prompt.
    #[must_use]
    pub fn answered(&self) -> u32 {
        self.answered.load(Ordering::SeqCst)
    }

    /// Requests that failed, or whose answer was truncated or belonged to another prompt.
    #[must_use]
    pub fn failed(&self) -> u32 {
        self.failed.load(Ordering::SeqCst)
    }
}

/// Polls until `condition` holds. The time that it takes is not checked otherwise.
///
/// # Panics
///
/// Panics if the condition does not hold within a minute.
pub fn wait_until(mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "condition not met within {MAX_WAIT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}
