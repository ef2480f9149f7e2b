//! State of one worker, as known to an entry daemon.

use crate::Health;
use bluebellreel_types::{DataCentre, Incarnation, LoadReport, ModelName, Moment, WorkerName};
use std::collections::BTreeSet;
use std::time::Duration;

/// One worker, as known to this daemon.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its name.
    pub name: WorkerName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The incarnation of its connected side process; none while not connected.
    pub incarnation: Option<Incarnation>,
    /// Models and services that it serves.
    pub models: BTreeSet<ModelName>,
    /// Its health, which limits the requests that it receives.
    pub health: Health,
    /// Whether its own side process reports that it is leaving.
    pub side_leaving: bool,
    /// Whether the VM list or an operator's order marks it as leaving.
    pub ordered_leaving: bool,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Tokens of this daemon's requests sent since the last report.
    pub tokens_since_report: u64,
    /// Its last load report.
    pub load: LoadReport,
    /// When the last load report arrived.
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

    /// Whether the worker is leaving, by its own report or by order; it then gets
    /// nothing new.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.side_leaving || self.ordered_leaving
    }

    /// Whether the worker serves a model and is not leaving, regardless of its health.
    #[must_use]
    pub fn serves(&self, model: &ModelName) -> bool {
        self.incarnation.is_some() && !self.is_leaving() && self.models.contains(model)
    }

    /// Whether a request for a model should be sent to the worker now.
    #[must_use]
    pub fn accepts(&self, model: &ModelName, now: Moment) -> bool {
        self.serves(model) && self.health.admits(self.in_flight, now)
    }

    /// Known number of online requests at the worker.
    #[must_use]
    pub fn online(&self) -> u32 {
        self.in_flight.max(self.load.online)
    }

    /// Tokens ahead of a new request: those of the last report, weighted less as the
    /// report ages, and those sent since.
    #[must_use]
    pub fn tokens_ahead(&self, load_report_ttl: Duration, now: Moment) -> u64 {
        let age = self.load_at_age(now).min(load_report_ttl);
        let fresh = load_report_ttl.saturating_sub(age).as_micros();
        let whole = load_report_ttl.as_micros().max(1);
        let reported = u128::from(self.load.online_tokens) * fresh / whole;
        u64::try_from(reported).unwrap_or(u64::MAX) + self.tokens_since_report
    }

    /// Predicted time to the first token of a new request.
    #[must_use]
    pub fn predicted_first_token(&self, load_report_ttl: Duration, now: Moment) -> Duration {
        if self.load_at_age(now) > load_report_ttl {
            return Duration::ZERO;
        }
        Duration::from_micros(self.load.first_token_micros)
    }

    fn load_at_age(&self, now: Moment) -> Duration {
        now.since(self.load_at)
    }

    /// Records a load report.
    pub fn note_load(&mut self, load: LoadReport, now: Moment) {
        self.side_leaving = load.leaving;
        self.models = load.models.iter().cloned().collect();
        self.load = load;
        self.load_at = now;
        self.tokens_since_report = 0;
    }
}
