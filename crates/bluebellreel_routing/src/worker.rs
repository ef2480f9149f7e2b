//! What an entry daemon knows of one worker.

use crate::Health;
use bluebellreel_types::{DataCentre, Incarnation, LoadReport, ModelName, Moment, WorkerName};
use std::collections::BTreeSet;
use std::time::Duration;

/// One worker as seen from here.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: WorkerName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The run of its side process that is connected; none while it is not.
    pub incarnation: Option<Incarnation>,
    /// Models and services that it serves.
    pub models: BTreeSet<ModelName>,
    /// How far it is trusted.
    pub health: Health,
    /// Whether its own side process says that it leaves.
    pub side_leaving: bool,
    /// Whether the VM list or an operator says that it leaves.
    pub ordered_leaving: bool,
    /// Our requests there.
    pub in_flight: u32,
    /// Tokens of our requests sent since the last report.
    pub tokens_since_report: u64,
    /// Its last report.
    pub load: LoadReport,
    /// When the report came.
    pub load_at: Moment,
}

impl Worker {
    /// A worker that has not connected yet.
    #[must_use]
    pub fn new(name: WorkerName, data_centre: DataCentre) -> Self {
        Self {
            name,
            data_centre,
            incarnation: None,
            models: BTreeSet::new(),
            health: Health::default(),
            side_leaving: false,
            ordered_leaving: false,
            in_flight: 0,
            tokens_since_report: 0,
            load: LoadReport::default(),
            load_at: Moment(0),
        }
    }

    /// Whether it takes anything new, by any of the signs of leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.side_leaving || self.ordered_leaving
    }

    /// Whether it serves a model and does not leave, however far it is trusted.
    #[must_use]
    pub fn serves(&self, model: &ModelName) -> bool {
        self.incarnation.is_some() && !self.is_leaving() && self.models.contains(model)
    }

    /// Whether a request for a model should go there now.
    #[must_use]
    pub fn takes(&self, model: &ModelName, now: Moment) -> bool {
        self.serves(model) && self.health.admits(self.in_flight, now)
    }

    /// Online requests there, as far as is known here.
    #[must_use]
    pub fn online(&self) -> u32 {
        self.in_flight.max(self.load.online)
    }

    /// Tokens ahead of a new request: the last report, counting for less as it
    /// ages, and what was sent since.
    #[must_use]
    pub fn tokens_ahead(&self, load_age: Duration, now: Moment) -> u64 {
        let age = self.load_at_age(now).min(load_age);
        let fresh = load_age.saturating_sub(age).as_micros();
        let whole = load_age.as_micros().max(1);
        let reported = u128::from(self.load.online_tokens) * fresh / whole;
        u64::try_from(reported).unwrap_or(u64::MAX) + self.tokens_since_report
    }

    /// Predicted wait until the first token of a new request.
    #[must_use]
    pub fn predicted_first_token(&self, load_age: Duration, now: Moment) -> Duration {
        if self.load_at_age(now) > load_age {
            return Duration::ZERO;
        }
        Duration::from_micros(self.load.first_token_micros)
    }

    fn load_at_age(&self, now: Moment) -> Duration {
        now.since(self.load_at)
    }

    /// Takes in a report.
    pub fn note_load(&mut self, load: LoadReport, now: Moment) {
        self.side_leaving = load.leaving;
        self.models = load.models.iter().cloned().collect();
        self.load = load;
        self.load_at = now;
        self.tokens_since_report = 0;
    }
}
