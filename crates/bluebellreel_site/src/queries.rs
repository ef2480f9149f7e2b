//! State and counters that tests and examples read from a [`ProcessSite`].

use crate::processes::ProcessSite;
use eyre::ensure;
use serde_json::{Value, json};
use std::collections::BTreeMap;

impl ProcessSite {
    /// Number of workers that an entry daemon is connected to and that have applied its
    /// manifest.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub fn workers_in_force(&self, index: usize) -> eyre::Result<usize> {
        let outcomes = self.outcomes(index)?;
        let in_force = outcomes["changes_hold"]["in_force"].as_u64().unwrap_or(0);
        Ok(usize::try_from(in_force)?)
    }

    /// Starts or ends an outage of the key-value service.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn set_kv_down(&self, down: bool) -> eyre::Result<()> {
        let faults = json!({ "down": down });
        ureq::post(format!("http://{}/stand-in/faults", self.kv)).send_json(faults)?;
        Ok(())
    }

    /// Numbers of calls to the key-value service.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn kv_counts(&self) -> eyre::Result<Value> {
        let url = format!("http://{}/stand-in/counts", self.kv);
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }

    /// Number of attempts that all engines have admitted.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn engine_requests(&self) -> eyre::Result<u64> {
        (0..self.engine_addresses.len())
            .map(|index| self.engine_admitted(index))
            .sum()
    }

    /// Number of attempts that one engine has admitted.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn engine_admitted(&self, index: usize) -> eyre::Result<u64> {
        let address = self.engine_addresses[index];
        let url = format!("http://{address}/stand-in/admitted");
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }

    /// The operator view of the outcomes at an entry daemon.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub fn outcomes(&self, index: usize) -> eyre::Result<Value> {
        let path = "/operator/v1/outcomes";
        let (status, text) = self.operator(index).send("GET", path, &[], b"")?;
        ensure!(status == 200, "{status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Number of runs at the plain service by idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn service_runs(&self) -> eyre::Result<BTreeMap<String, u32>> {
        let url = format!("http://{}/stand-in/runs", self.service);
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }
}
