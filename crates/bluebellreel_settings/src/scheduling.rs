//! Which scheduling features a gateway uses.

use crate::SettingsError;
use serde::Deserialize;

/// Scheduling features that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Scheduling {
    /// Placement by the outcomes of runs at each worker, over all gateways.
    pub worker_evidence: bool,
    /// Order of batch items, and division of free slots among gateways, by what can still
    /// be in time.
    pub job_deadlines: bool,
    /// Reserved tokens for callers that are over their team's rate limit.
    pub token_reservations: bool,
}

/// The terms that the deployment operates under, and the term that turns each feature on.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawScheduling {
    terms: Vec<String>,
    worker_evidence: Option<String>,
    job_deadlines: Option<String>,
    token_reservations: Option<String>,
}

impl RawScheduling {
    pub(crate) fn checked(&self, file: &str) -> Result<Scheduling, SettingsError> {
        Ok(Scheduling {
            worker_evidence: self.is_on(file, "worker_evidence", self.worker_evidence.as_ref())?,
            job_deadlines: self.is_on(file, "job_deadlines", self.job_deadlines.as_ref())?,
            token_reservations: self.is_on(
                file,
                "token_reservations",
                self.token_reservations.as_ref(),
            )?,
        })
    }

    fn is_on(&self, file: &str, key: &str, term: Option<&String>) -> Result<bool, SettingsError> {
        if term.is_some_and(String::is_empty) {
            let key = format!("scheduling.{key}");
            return Err(SettingsError::new(file, &key, "must not be empty"));
        }
        Ok(term.is_some_and(|term| self.terms.contains(term)))
    }
}
