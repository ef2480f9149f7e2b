//! What tests and examples see of a site of processes.

use crate::processes::ProcessSite;
use eyre::ensure;
use serde_json::{Value, json};
use std::collections::BTreeMap;

impl ProcessSite {
    /// Workers that an entry daemon reaches and that have its manifest.
    ///
    /// # Errors
    ///
    /// Gives the daemon's error.
    pub fn workers_in_force(&self, index: usize) -> eyre::Result<usize> {
        let outcomes = self.outcomes(index)?;
        let in_force = outcomes["changes_hold"]["in_force"].as_u64().unwrap_or(0);
        Ok(usize::try_from(in_force)?)
    }

    /// Lets the key-value service go down or come back.
    ///
    /// # Errors
    ///
    /// Gives the connection's error.
    pub fn set_kv_down(&self, down: bool) -> eyre::Result<()> {
        let faults = json!({ "down": down });
        ureq::post(format!("http://{}/stand-in/faults", self.kv)).send_json(faults)?;
        Ok(())
    }

    /// Calls that the key-value service has counted.
    ///
    /// # Errors
    ///
    /// Gives the connection's error.
    pub fn kv_counts(&self) -> eyre::Result<Value> {
        let url = format!("http://{}/stand-in/counts", self.kv);
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }

    /// Attempts that reached an engine.
    ///
    /// # Errors
    ///
    /// Gives the connection's error.
    pub fn engine_requests(&self) -> eyre::Result<u64> {
        (0..self.engine_addresses.len())
            .map(|index| self.engine_admitted(index))
            .sum()
    }

    /// Attempts that reached one engine.
    ///
    /// # Errors
    ///
    /// Gives the connection's error.
    pub fn engine_admitted(&self, index: usize) -> eyre::Result<u64> {
        let address = self.engine_addresses[index];
        let url = format!("http://{address}/stand-in/admitted");
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }

    /// The outcomes as an entry daemon sees them.
    ///
    /// # Errors
    ///
    /// Gives the daemon's error.
    pub fn outcomes(&self, index: usize) -> eyre::Result<Value> {
        let path = "/operator/v1/outcomes";
        let (status, text) = self.operator(index).send("GET", path, &[], b"")?;
        ensure!(status == 200, "{status}: {text}");
        Ok(serde_json::from_str(&text)?)
    }

    /// Runs of the plain service's calls by key.
    ///
    /// # Errors
    ///
    /// Gives the connection's error.
    pub fn service_runs(&self) -> eyre::Result<BTreeMap<String, u32>> {
        let url = format!("http://{}/stand-in/runs", self.service);
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }
}
