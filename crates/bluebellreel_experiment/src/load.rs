//! Online load: the requests and their arrival times.

use crate::Scenario;
use bluebellreel_types::{Moment, TeamName, Work, WorkKind};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

/// A request of the scenario.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Moment,
    pub(crate) work: Arc<Work>,
    pub(crate) prompt_tokens: u32,
    /// Number of times that its caller has sent it before.
    pub(crate) tries: u32,
}

/// All requests of a scenario, which are the same for every mode.
pub(crate) fn arrivals(scenario: &Scenario) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let mut all = Vec::new();
    let peak = scenario.online_rate * peak_factor(scenario);
    if peak <= 0.0 {
        return all;
    }
    let mut at = 0.0;
    let end = scenario.length.as_secs_f64();
    loop {
        // Thinning: draws arrivals at the peak rate and keeps the share of the current
        // rate.
        at += -(1.0 - rng.random::<f64>()).ln() / peak;
        if at >= end {
            return all;
        }
        let accepted = rng.random::<f64>() * peak < scenario.online_rate * factor(scenario, at);
        if accepted {
            all.push(Arrival {
                at: Moment(0) + Duration::from_secs_f64(at),
                work: Arc::new(work(scenario, &mut rng)),
                prompt_tokens: pick(&mut rng, scenario.prompt_tokens),
                tries: 0,
            });
        }
    }
}

fn peak_factor(scenario: &Scenario) -> f64 {
    let bursts = scenario.bursts.iter().map(|burst| burst.factor);
    bursts.fold(1.0, f64::max)
}

fn factor(scenario: &Scenario, at: f64) -> f64 {
    let mut factor = 1.0;
    let period = scenario.diurnal.as_secs_f64();
    if period > 0.0 {
        let phase = (at / period) * std::f64::consts::TAU;
        factor *= 0.5 - 0.5 * phase.cos();
    }
    for burst in &scenario.bursts {
        if (burst.at..burst.at + burst.seconds).contains(&at) {
            factor *= burst.factor;
        }
    }
    factor
}

fn work(scenario: &Scenario, rng: &mut SmallRng) -> Work {
    Work {
        kind: WorkKind::Chat,
        model: "m".into(),
        body: Arc::from([]),
        tokens: pick(rng, scenario.online_tokens),
        prefix: u64::from(rng.random_range(0..scenario.prefixes)),
        repeatable: true,
        key: Arc::from(""),
        team: TeamName::from(format!("team-{}", rng.random_range(0..40))),
    }
}

pub(crate) fn pick(rng: &mut SmallRng, [min, max]: [u32; 2]) -> u32 {
    rng.random_range(min..=max.max(min))
}
