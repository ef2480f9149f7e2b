//! Fair sharing among teams.

use bluebellreel_types::{Moment, TeamName};
use std::collections::HashMap;
use std::time::Duration;

/// Time after which served tokens count half as much.
const HALF_LIFE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct ServedTokens {
    tokens: f64,
    at: Moment,
}

/// Tokens recently served to each team, with exponential decay.
///
/// The team that was served least goes first, so that one team's job of 64,000
/// items does not keep all others waiting.
#[derive(Clone, Debug, Default)]
pub struct TeamShares {
    served: HashMap<TeamName, ServedTokens>,
}

impl TeamShares {
    /// Tokens served to a team, decayed to the current time.
    #[must_use]
    pub fn served(&self, team: &TeamName, now: Moment) -> f64 {
        let Some(served) = self.served.get(team) else {
            return 0.0;
        };
        let half_lives = now.since(served.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        served.tokens * (-half_lives).exp2()
    }

    /// Adds served tokens to a team's total.
    pub fn add(&mut self, team: &TeamName, tokens: u32, now: Moment) {
        let tokens = self.served(team, now) + f64::from(tokens);
        let served = ServedTokens { tokens, at: now };
        self.served.insert(team.clone(), served);
    }

    /// Removes teams whose total has decayed to almost nothing.
    pub fn remove_idle(&mut self, now: Moment) {
        let idle = HALF_LIFE * 20;
        self.served.retain(|_, served| now.since(served.at) < idle);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn served_tokens_halve_with_time() {
        let mut shares = TeamShares::default();
        let team = TeamName::from("Sligo school");
        shares.add(&team, 100, Moment(0));
        let later = Moment(0) + HALF_LIFE;
        assert!((shares.served(&team, later) - 50.0).abs() < 0.01);
    }
}
