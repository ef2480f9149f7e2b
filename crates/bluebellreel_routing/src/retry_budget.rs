//! Retry budget, as a share of the first attempts.
//!
//! Guards against a retry storm: if a fault makes every attempt fail, each request would
//! otherwise cost several times its work just when the fleet has the least capacity. A
//! retry withdraws what several first attempts have deposited.

/// Balance units that one retry costs.
const UNITS_PER_RETRY: u32 = 100;
/// Maximum number of saved retries. A worker that dies interrupts all its streams
/// at the same time, and each of them has to resume elsewhere.
const MAX_SAVED_RETRIES: u32 = 64;

/// Balance of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u32,
    balance: u32,
}

impl RetryBudget {
    /// A full budget that gains `percent` retries per hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            balance: MAX_SAVED_RETRIES * UNITS_PER_RETRY,
        }
    }

    /// Deposits the share of one first attempt.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(MAX_SAVED_RETRIES * UNITS_PER_RETRY);
    }

    /// Withdraws one retry; returns whether the balance sufficed.
    pub fn withdraw(&mut self) -> bool {
        if self.balance < UNITS_PER_RETRY {
            return false;
        }
        self.balance -= UNITS_PER_RETRY;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retries_stay_a_share_of_first_attempts() {
        let mut budget = RetryBudget::new(10);
        let mut retries = 0;
        while budget.withdraw() {
            retries += 1;
        }
        for _ in 0..1_000 {
            budget.deposit();
            while budget.withdraw() {
                retries += 1;
            }
        }
        assert_eq!(retries, 100 + MAX_SAVED_RETRIES);
    }
}
