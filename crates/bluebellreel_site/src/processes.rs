//! A test site of separate processes on loopback. The calling program itself also runs as
//! the stand-ins.

use crate::{Caller, Process};
use bluebellreel_settings::hash_token;
use bluebellreel_standins::program;
use eyre::{OptionExt, bail, ensure};
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The model that the engines serve.
pub const MODEL: &str = "rental-assistant";
/// First argument with which the program is started as a stand-in.
const STAND_IN: &str = "stand-in";
/// Seconds after which a stand-in exits by itself.
const STAND_IN_SECONDS: &str = "300";
/// Maximum wait for a site to serve requests.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Configuration of a [`ProcessSite`].
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// Number of entry daemons.
    pub entries: usize,
    /// Number of engines. The site has a plain service in addition.
    pub engines: usize,
    /// Maximum concurrent attempts at an engine.
    pub window: u32,
    /// Duration of an engine's empty step, in microseconds.
    pub step_micros: u32,
}

/// A running site whose parts are separate processes.
pub struct ProcessSite {
    /// The key-value service's address.
    pub kv: SocketAddr,
    /// The plain service's address.
    pub service: SocketAddr,
    /// The entry daemons.
    pub entries: Vec<Process>,
    /// Addresses of the entry daemons.
    pub entry_addresses: Vec<SocketAddr>,
    /// The side processes; the last one belongs to the plain service.
    pub sides: Vec<Process>,
    /// The engines.
    pub engines: Vec<Process>,
    pub(crate) engine_addresses: Vec<SocketAddr>,
    platform: Vec<Process>,
    folder: PathBuf,
    own_program: PathBuf,
    program_folder: PathBuf,
}

impl Drop for ProcessSite {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Main function of a program that also serves as its site's stand-ins. Runs a stand-in if
/// the program was started as one, otherwise `run`. Prints an error to standard output.
#[must_use]
pub fn run_with_stand_ins(run: impl FnOnce() -> eyre::Result<()>) -> ExitCode {
    let own: Vec<String> = std::env::args().collect();
    let outcome = if own.get(1).is_some_and(|first| first == STAND_IN) {
        run_stand_in(&own[2..])
    } else {
        run()
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            println!("FAILED: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run_stand_in(arguments: &[String]) -> eyre::Result<()> {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let parsed = <program::Arguments as argh::FromArgs>::from_args(&[STAND_IN], &arguments);
    match parsed {
        Ok(parsed) => program::run(&parsed),
        Err(e) => bail!("{}", e.output),
    }
}

/// Ports below the range that operating systems use for outgoing connections.
const PORTS: std::ops::Range<u16> = 15_000..32_000;
/// Offset of the next port to try.
static NEXT_PORT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns a free address that neither this program nor an outgoing connection takes before
/// its process listens there. Ports assigned by the operating system sometimes gave a daemon
/// and a stand-in the same port.
fn free_address() -> eyre::Result<SocketAddr> {
    let span = u32::from(PORTS.end - PORTS.start);
    let first = std::process::id().wrapping_mul(97);
    for _ in 0..span {
        let step = u32::from(NEXT_PORT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let offset = u16::try_from(first.wrapping_add(step) % span)?;
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + offset));
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no free port in {PORTS:?}")
}

/// Retries `operation` until it succeeds or `timeout` has passed.
///
/// # Errors
///
/// Returns the error of the last attempt.
pub fn retry<T>(
    timeout: Duration,
    mut operation: impl FnMut() -> eyre::Result<T>,
) -> eyre::Result<T> {
    let until = Instant::now() + timeout;
    loop {
        match operation() {
            Ok(value) => return Ok(value),
            Err(e) if Instant::now() >= until => return Err(e),
            Err(_) => thread::sleep(Duration::from_millis(200)),
        }
    }
}

impl ProcessSite {
    /// Starts a site and waits until it serves requests. The daemons' programs are searched
    /// in the folder of the running program and in the folders above it.
    ///
    /// # Errors
    ///
    /// Returns the error of the part that could not be started.
    pub fn start(plan: &ProcessPlan) -> eyre::Result<Self> {
        let own_program = std::env::current_exe()?;
        let program_folder = own_program
            .ancestors()
            .skip(1)
            .find(|folder| folder.join("bluebellreel").is_file())
            .ok_or_eyre("the program bluebellreel is not built")?
            .to_owned();
        let name = format!("bluebellreel-site-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut site = Self {
            kv: free_address()?,
            service: free_address()?,
            entries: Vec::new(),
            entry_addresses: Vec::new(),
            sides: Vec::new(),
            engines: Vec::new(),
            engine_addresses: Vec::new(),
            platform: Vec::new(),
            folder,
            own_program,
            program_folder,
        };
        let kv = site.stand_in(site.kv, &["kv"])?;
        site.platform.push(kv);
        let vm_list = site.start_workers(plan)?;
        for index in 0..plan.entries {
            site.start_entry(index, vm_list)?;
        }
        site.put_manifest()?;
        site.wait_until_serving(plan)?;
        Ok(site)
    }

    fn stand_in(&self, address: SocketAddr, kind: &[&str]) -> eyre::Result<Process> {
        let address = address.to_string();
        let common = [
            STAND_IN,
            "--listen",
            &address,
            "--seconds",
            STAND_IN_SECONDS,
        ];
        let all: Vec<String> = common.iter().chain(kind).map(|s| (*s).to_owned()).collect();
        Process::start(&self.own_program, &all)
    }

    /// Starts the backend servers, their side processes and the VM list.
    fn start_workers(&mut self, plan: &ProcessPlan) -> eyre::Result<SocketAddr> {
        let mut vms = Vec::new();
        for index in 0..plan.engines {
            let backend = free_address()?;
            let step = plan.step_micros.to_string();
            let kind = ["engine", "--model", MODEL, "--step-micros", &step];
            let engine = self.stand_in(backend, &kind)?;
            self.engines.push(engine);
            self.engine_addresses.push(backend);
            vms.push(self.start_side(index, backend, "", plan.window)?);
        }
        let service = self.stand_in(self.service, &["plain-service"])?;
        self.platform.push(service);
        let line = "service = \"desk\"\n";
        vms.push(self.start_side(plan.engines, self.service, line, plan.window)?);
        let list = self.folder.join("vms.json");
        std::fs::write(&list, json!(vms).to_string())?;
        let vm_list = free_address()?;
        let file = list.display().to_string();
        let process = self.stand_in(vm_list, &["vm-list", "--file", &file])?;
        self.platform.push(process);
        Ok(vm_list)
    }

    fn start_side(
        &mut self,
        index: usize,
        backend: SocketAddr,
        service: &str,
        window: u32,
    ) -> eyre::Result<Value> {
        let side = free_address()?;
        let settings = format!(
            "worker = \"worker-{index}\"\ndata_centre = \"Sligo\"\nlisten = \"{side}\"\n\
             [backend]\nurl = \"http://{backend}\"\n{service}[limits]\nwindow = {window}\n"
        );
        let file = self.folder.join(format!("side-{index}.toml"));
        std::fs::write(&file, settings)?;
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let program = self.program_folder.join("bluebellreel-side");
        self.sides.push(Process::start(&program, &arguments)?);
        Ok(json!({
            "name": format!("worker-{index}"),
            "side": side,
            "data_centre": "Sligo",
            "state": "live",
        }))
    }

    fn start_entry(&mut self, index: usize, vm_list: SocketAddr) -> eyre::Result<()> {
        let address = free_address()?;
        let settings = format!(
            "name = \"entry-{index}\"\ndata_centre = \"Sligo\"\nlisten = \"{address}\"\n\
             [platform]\nkv = \"http://{}\"\nvm_list = \"http://{vm_list}\"\n\
             [deadlines]\nlease_s = 3\nnotice_s = 1\n\
             [[teams]]\nname = \"school\"\ntoken_sha256 = \"{}\"\n\
             [[operators]]\nname = \"on-call\"\ntoken_sha256 = \"{}\"\n",
            self.kv,
            hex::encode(hash_token("school")),
            hex::encode(hash_token("operator")),
        );
        let file = self.folder.join(format!("entry-{index}.toml"));
        std::fs::write(&file, settings)?;
        let file = file.display().to_string();
        let arguments = ["serve".to_owned(), "--settings".into(), file];
        let program = self.program_folder.join("bluebellreel");
        self.entries.push(Process::start(&program, &arguments)?);
        self.entry_addresses.push(address);
        Ok(())
    }

    /// A client of an entry daemon with the team's token.
    #[must_use]
    pub fn caller(&self, index: usize) -> Caller {
        let url = format!("http://{}", self.entry_addresses[index]);
        Caller::new(url, "school", MODEL)
    }

    /// A client of an entry daemon with the operator's token.
    #[must_use]
    pub fn operator(&self, index: usize) -> Caller {
        let url = format!("http://{}", self.entry_addresses[index]);
        Caller::new(url, "operator", MODEL)
    }

    fn put_manifest(&self) -> eyre::Result<()> {
        let operator = self.operator(0);
        let manifest = format!(
            "[[models]]\nname = \"{MODEL}\"\nversion = \"1\"\n[[services]]\nname = \"desk\"\n"
        );
        retry(START_TIMEOUT, || {
            let headers = [("If-Match", "0")];
            let path = "/operator/v1/manifest";
            let (status, text) = operator.send("PUT", path, &headers, manifest.as_bytes())?;
            ensure!(matches!(status, 200 | 409), "{status}: {text}");
            Ok(())
        })
    }

    fn wait_until_serving(&self, plan: &ProcessPlan) -> eyre::Result<()> {
        for index in 0..plan.entries {
            retry(START_TIMEOUT, || {
                let in_force = self.workers_in_force(index)?;
                ensure!(in_force > plan.engines, "not all workers are connected");
                Ok(())
            })?;
        }
        Ok(())
    }
}
