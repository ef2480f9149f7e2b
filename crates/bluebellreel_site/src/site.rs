//! A test site whose parts run within one process.

use crate::{Caller, SitePlan};
use bluebellreel_entry::{Entry, start_entry};
use bluebellreel_settings::{hash_token, parse_entry, parse_side};
use bluebellreel_side::{Side, start_side};
use bluebellreel_standins::{
    EngineFaults, EngineSettings, KvFaults, StandIn, Vm, VmState, start_engine, start_kv,
    start_plain_service, start_vm_list,
};
use eyre::{OptionExt, ensure};
use serde::Serialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Token of the team `school`.
pub const TEAM_TOKEN: &str = "school-token";
/// Token of the site's operator.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Maximum wait for the site to serve requests.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A worker of the site: its backend server and its side process.
pub struct WorkerParts {
    /// The worker's name.
    pub name: String,
    /// The worker's data centre.
    pub data_centre: String,
    /// The backend server.
    pub backend: StandIn,
    /// The side process; `None` while it is down.
    pub side: Option<Side>,
}

/// A running site.
pub struct Site {
    /// The configuration that the site was started from.
    pub plan: SitePlan,
    /// The key-value service stand-in.
    pub kv: StandIn,
    /// The VM list stand-in.
    pub vm_list: StandIn,
    /// Workers with engines, followed by those of the plain service.
    pub workers: Vec<WorkerParts>,
    /// The entry daemons; `None` where one is down.
    pub entries: Vec<Option<Entry>>,
    urls: Vec<String>,
    /// Temporary folder that contains the daemons' disk folders.
    folder: TempDir,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Site {
    /// Starts a site and waits until it serves requests.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that could not be started.
    pub fn start(plan: &SitePlan) -> eyre::Result<Self> {
        let kv = start_kv(any_port(), plan.kv)?;
        let mut workers = Vec::new();
        for index in 0..plan.workers + plan.services {
            workers.push(start_worker(plan, index)?);
        }
        let vms = workers.iter().map(vm_entry).collect::<eyre::Result<_>>()?;
        let vm_list = start_vm_list(any_port(), vms, plan.vm_lag)?;
        let mut site = Self {
            plan: plan.clone(),
            kv,
            vm_list,
            workers,
            entries: Vec::new(),
            urls: Vec::new(),
            folder: tempfile::tempdir()?,
        };
        for index in 0..plan.entries {
            let entry = site.start_entry(index, any_port())?;
            site.urls.push(format!("http://{}", entry.address));
            site.entries.push(Some(entry));
        }
        site.put_manifest()?;
        site.wait_until_serving()?;
        Ok(site)
    }

    fn start_entry(&self, index: usize, listen: SocketAddr) -> eyre::Result<Entry> {
        let settings = self.entry_settings(index, listen);
        start_entry(parse_entry("site", &settings)?)
    }

    /// The folder that serves as a daemon's disk.
    #[must_use]
    pub fn disk_folder(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("disk-{index}"))
    }

    fn data_settings(&self, index: usize) -> String {
        let disks = self.plan.disks;
        if disks.daemons == 0 {
            return String::new();
        }
        let folder = self.disk_folder(index).display().to_string();
        let folder = if index < disks.daemons {
            format!("folder = {folder:?}\n")
        } else {
            String::new()
        };
        format!(
            "[data]\npeer_token = \"known-to-daemons-only\"\npatience_s = 1\n\
             kv_below_kb = {}\nmax_mb = {}\n{folder}",
            disks.kv_below_kb, disks.max_mb,
        )
    }

    /// Settings of an entry daemon, as TOML.
    #[must_use]
    pub fn entry_settings(&self, index: usize, listen: SocketAddr) -> String {
        let data_centre = self.plan.deployment.data_centres()[index % 3];
        let trace = match &self.plan.trace {
            Some(file) => format!("[trace]\nfile = {:?}\n", file.display().to_string()),
            None => String::new(),
        };
        format!(
            "name = \"entry-{index}\"\ndata_centre = \"{data_centre}\"\nlisten = \"{listen}\"\n\
             {}\n[platform]\nkv = \"{}\"\nvm_list = \"{}\"\nkv_calls_per_second = 400\n\
             [deadlines]\nlease_s = {}\n{trace}{}\
             [[teams]]\nname = \"school\"\ntoken_sha256 = \"{}\"\n\
             [[teams]]\nname = \"member\"\ntoken_sha256 = \"{}\"\n\
             [[operators]]\nname = \"on-call\"\ntoken_sha256 = \"{}\"\n",
            self.plan.entry_settings,
            self.kv.url(),
            self.vm_list.url(),
            self.plan.lease_s,
            self.data_settings(index),
            hex::encode(hash_token(TEAM_TOKEN)),
            hex::encode(hash_token("member-token")),
            hex::encode(hash_token(OPERATOR_TOKEN)),
        )
    }

    /// The first manifest of the site.
    #[must_use]
    pub fn manifest(&self) -> String {
        let model = self.plan.deployment.model();
        format!(
            "[[models]]\nname = \"{model}\"\nversion = \"1\"\n\n\
             [[services]]\nname = \"desk\"\nrepeatable = [\"GET /slots\"]\n"
        )
    }

    fn put_manifest(&self) -> eyre::Result<()> {
        let operator = self.operator(0);
        let until = Instant::now() + START_TIMEOUT;
        loop {
            let headers = [("If-Match", "0")];
            let manifest = self.manifest();
            let path = "/operator/v1/manifest";
            let (status, text) = operator.send("PUT", path, &headers, manifest.as_bytes())?;
            if matches!(status, 200 | 409) {
                return Ok(());
            }
            ensure!(
                Instant::now() < until,
                "the manifest was not accepted within {START_TIMEOUT:?}: {text}"
            );
            thread::sleep(Duration::from_millis(100));
        }
    }

    fn wait_until_serving(&self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        let connected = self.plan.connected.unwrap_or(self.workers.len());
        for index in 0..self.entries.len() {
            while self.workers_in_force(index)? < connected {
                ensure!(
                    Instant::now() < until,
                    "entry daemon {index} is not connected to {connected} workers within {START_TIMEOUT:?}"
                );
                thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Number of workers that an entry daemon is connected to and that have applied its
    /// manifest.
    ///
    /// # Errors
    ///
    /// Returns the daemon's error.
    pub fn workers_in_force(&self, index: usize) -> eyre::Result<usize> {
        let outcomes = self.outcomes(index)?;
        let changes = &outcomes["changes_hold"];
        if changes["generation"].as_u64().unwrap_or(0) == 0 {
            return Ok(0);
        }
        let in_force = changes["in_force"].as_u64().unwrap_or(0);
        Ok(usize::try_from(in_force)?)
    }

    /// The operator view of the outcomes at an entry daemon.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn outcomes(&self, index: usize) -> eyre::Result<serde_json::Value> {
        let path = "/operator/v1/outcomes";
        let (_, text) = self.operator(index).send("GET", path, &[], b"")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// The URL of an entry daemon.
    #[must_use]
    pub fn url(&self, index: usize) -> &str {
        &self.urls[index]
    }

    /// A client of an entry daemon with the team's token.
    #[must_use]
    pub fn caller(&self, index: usize) -> Caller {
        let model = self.plan.deployment.model();
        Caller::new(self.urls[index].clone(), TEAM_TOKEN, model)
    }

    /// A client of an entry daemon with the operator's token.
    #[must_use]
    pub fn operator(&self, index: usize) -> Caller {
        let model = self.plan.deployment.model();
        Caller::new(self.urls[index].clone(), OPERATOR_TOKEN, model)
    }

    /// Replaces the faults that the key-value service simulates.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn set_kv_faults(&self, faults: &KvFaults) -> eyre::Result<()> {
        set_faults(&self.kv, faults)
    }

    /// Replaces the faults that a worker's engine simulates.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn set_engine_faults(&self, worker: usize, faults: &EngineFaults) -> eyre::Result<()> {
        set_faults(&self.workers[worker].backend, faults)
    }

    /// The version of the site's model that a worker's engine has loaded.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn engine_version(&self, worker: usize) -> eyre::Result<String> {
        let url = format!("{}/v1/models", self.workers[worker].backend.url());
        let list: serde_json::Value = ureq::get(&url).call()?.body_mut().read_json()?;
        let version = list["data"][0]["version"].as_str();
        Ok(version.unwrap_or_default().to_owned())
    }

    /// Number of attempts that a worker's engine has admitted.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn engine_admitted(&self, worker: usize) -> eyre::Result<u64> {
        let url = format!("{}/stand-in/admitted", self.workers[worker].backend.url());
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }

    /// Stops an entry daemon gracefully. Returns true if no request was cut.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is down already.
    pub fn stop_entry(&mut self, index: usize) -> eyre::Result<bool> {
        let entry = self.entries[index]
            .take()
            .ok_or_eyre("the entry daemon is already down")?;
        Ok(entry.stop())
    }

    /// Starts an entry daemon that is down, at its former address. Does not wait until the
    /// daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns the error of the address or of the start.
    pub fn restart_entry(&mut self, index: usize) -> eyre::Result<()> {
        let address = self.urls[index].trim_start_matches("http://").parse()?;
        self.entries[index] = Some(self.start_entry(index, address)?);
        Ok(())
    }

    /// Number of runs at the last plain service by idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the connection's error.
    pub fn service_runs(&self) -> eyre::Result<std::collections::BTreeMap<String, u32>> {
        let service = self
            .workers
            .last()
            .ok_or_eyre("the site has no plain service")?;
        let url = format!("{}/stand-in/runs", service.backend.url());
        Ok(ureq::get(&url).call()?.body_mut().read_json()?)
    }
}

/// Replaces the faults that a stand-in simulates.
fn set_faults(stand_in: &StandIn, faults: &impl Serialize) -> eyre::Result<()> {
    ureq::post(format!("{}/stand-in/faults", stand_in.url())).send_json(faults)?;
    Ok(())
}

fn start_worker(plan: &SitePlan, index: usize) -> eyre::Result<WorkerParts> {
    let is_engine = index < plan.workers;
    let backend = if is_engine {
        let settings = EngineSettings {
            costs: plan.costs,
            models: vec![plan.deployment.model().to_owned()],
            ..EngineSettings::default()
        };
        start_engine(any_port(), settings)?
    } else {
        start_plain_service(any_port())?
    };
    let name = if is_engine {
        format!("worker-{index}")
    } else {
        format!("desk-{index}")
    };
    let data_centre = plan.deployment.data_centres()[index % 3].to_owned();
    let service = if is_engine {
        ""
    } else {
        "service = \"desk\"\n"
    };
    let trace = match &plan.trace {
        Some(file) => format!("[trace]\nfile = {:?}\n", file.display().to_string()),
        None => String::new(),
    };
    let settings = format!(
        "worker = \"{name}\"\ndata_centre = \"{data_centre}\"\nlisten = \"127.0.0.1:0\"\n\
         lean = \"{}\"\n[backend]\nurl = \"{}\"\n{service}[limits]\nwindow = {}\n{trace}",
        plan.deployment.objective(),
        backend.url(),
        plan.window,
    );
    let side = start_side(&parse_side("site", &settings)?)?;
    Ok(WorkerParts {
        name,
        data_centre,
        backend,
        side: Some(side),
    })
}

fn vm_entry(worker: &WorkerParts) -> eyre::Result<Vm> {
    let side = worker
        .side
        .as_ref()
        .ok_or_eyre("the side process is down")?;
    Ok(Vm {
        name: worker.name.clone(),
        side: side.address,
        data_centre: worker.data_centre.clone(),
        state: VmState::Live,
    })
}
