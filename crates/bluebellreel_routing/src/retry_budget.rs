//! A budget for retries as a share of first attempts.
//!
//! Guards against a retry storm: when a fault makes every attempt fail, each
//! request would otherwise cost several times its work just when the fleet has
//! the least to give. A retry spends what several first attempts earned.

/// Units in one retry.
const UNITS: u32 = 100;
/// Retries that may be saved up: a worker that dies breaks as many streams as
/// it held at once, and each of them has to go on elsewhere.
const MOST_SAVED: u32 = 64;

/// Retries earned and spent.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    percent: u32,
    units: u32,
}

impl RetryBudget {
    /// A full budget that earns `percent` retries for a hundred first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self {
            percent,
            units: MOST_SAVED * UNITS,
        }
    }

    /// Earns the share of one first attempt.
    pub fn earn(&mut self) {
        self.units = (self.units + self.percent).min(MOST_SAVED * UNITS);
    }

    /// Spends one retry; whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.units < UNITS {
            return false;
        }
        self.units -= UNITS;
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
        while budget.spend() {
            retries += 1;
        }
        for _ in 0..1_000 {
            budget.earn();
            while budget.spend() {
                retries += 1;
            }
        }
        assert_eq!(retries, 100 + MOST_SAVED);
    }
}
