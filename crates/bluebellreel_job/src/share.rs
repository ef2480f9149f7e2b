//! Fair shares among teams.

use bluebellreel_types::{Moment, TeamName};
use std::collections::HashMap;
use std::time::Duration;

/// Time in which what a team was served counts for half.
const HALF_LIFE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Served {
    tokens: f64,
    at: Moment,
}

/// What each team was served of late, in tokens.
///
/// Guards against one team's job of 64,000 items that would keep all others
/// waiting: the team that was served least goes first.
#[derive(Clone, Debug, Default)]
pub struct TeamShares {
    served: HashMap<TeamName, Served>,
}

impl TeamShares {
    /// Tokens served to a team, older ones counting for less.
    #[must_use]
    pub fn served(&self, team: &TeamName, now: Moment) -> f64 {
        let Some(served) = self.served.get(team) else {
            return 0.0;
        };
        let halves = now.since(served.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        served.tokens * (-halves).exp2()
    }

    /// Adds tokens to a team's account.
    pub fn add(&mut self, team: &TeamName, tokens: u32, now: Moment) {
        let tokens = self.served(team, now) + f64::from(tokens);
        let served = Served { tokens, at: now };
        self.served.insert(team.clone(), served);
    }

    /// Forgets teams whose account has all but gone.
    pub fn forget_idle(&mut self, now: Moment) {
        let idle = HALF_LIFE * 20;
        self.served.retain(|_, served| now.since(served.at) < idle);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn account_halves_with_time() {
        let mut shares = TeamShares::default();
        let team = TeamName::from("Sligo school");
        shares.add(&team, 100, Moment(0));
        let later = Moment(0) + HALF_LIFE;
        assert!((shares.served(&team, later) - 50.0).abs() < 0.01);
    }
}
