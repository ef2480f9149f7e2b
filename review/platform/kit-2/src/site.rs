//! Gateways as processes, the configuration, and the record of a run.

use crate::http::call;
use crate::json::quote;
use crate::store::Store;
use std::fs::File;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// The program of the deploy file.
const PROGRAM: &str = "target/release/bluebellreel";

/// Writes what was sent, answered and run. Clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record is written"),
            )),
            started: Instant::now(),
        }
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>6} ms  {}", text.as_ref());
    }
}

/// A folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("bluebellreel-review-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder is made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A loopback address of this run's own.
pub fn ip(number: u8) -> IpAddr {
    let id = std::process::id();
    let octet = |n: u32| u8::try_from(n % 250 + 2).unwrap_or(2);
    IpAddr::V4(Ipv4Addr::new(
        127,
        64 + (id / 250 % 100) as u8,
        octet(id),
        number,
    ))
}

/// Free ports at an address.
fn free_ports<const N: usize>(at: IpAddr) -> [u16; N] {
    // All are held until the last one is found.
    let held: Vec<TcpListener> = (0..N)
        .map(|_| TcpListener::bind((at, 0)).expect("a free port"))
        .collect();
    let mut ports = [0; N];
    for (port, listener) in ports.iter_mut().zip(&held) {
        *port = listener.local_addr().expect("it has an address").port();
        let _ = UdpSocket::bind((at, *port));
    }
    ports
}

/// A gateway or keeper process.
pub struct Gateway {
    pub name: String,
    role: &'static str,
    pub requests: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    pub log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Writes the settings of a gateway, as the template of the deploy file does. All
    /// gateways of a run have the same ports.
    fn prepare(
        folder: &Path,
        (number, data_centre): (u8, &str),
        ports: [u16; 5],
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Self {
        let at = ip(number);
        let name = format!("front-hall-{number}");
        let [requests, readiness, peers, reports, metrics] = ports;
        let seeds: Vec<String> = seeds.iter().map(|s| quote(&s.to_string())).collect();
        let text = format!(
            "[vm]\nname = \"{name}\"\naddress = \"{at}\"\ndata_centre = \"{data_centre}\"\n\
             [listen]\nrequests = \"{at}:{requests}\"\nreadiness = \"{at}:{readiness}\"\n\
             peers = \"{at}:{peers}\"\nreports_port = {reports}\nmetrics_port = {metrics}\n\
             [peers]\nseeds = [{}]\n[start]\nfirst = false\n\
             [store]\naddress = \"{store}\"\nvalue_bytes = 1048576\nshortest_lease_ms = 1000\n\
             [stop]\ngrace_s = 8\n[jobs]\ncancel_within_ms = 3000\n[teams]\nrate_excess = 0.1\n\
             [scheduling]\nterms = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n\
             worker_evidence = \"health\"\njob_deadlines = \"batch\"\n",
            seeds.join(", ")
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings are written");
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            role: "gateway",
            requests: (at, requests).into(),
            readiness: (at, readiness).into(),
            settings,
            child: None,
        }
    }

    /// Writes the settings of a keeper, as the template of the deploy file does.
    fn prepare_keeper(
        folder: &Path,
        (number, data_centre): (u8, &str),
        calls: u16,
        seeds: &[SocketAddr],
    ) -> Self {
        let at = ip(100 + number);
        let name = format!("store-{data_centre}-{number}");
        let disk = folder.join(format!("disk-{number}"));
        std::fs::create_dir_all(&disk).expect("the keeper's folder is made");
        let seeds: Vec<String> = seeds.iter().map(|s| quote(&s.to_string())).collect();
        let text = format!(
            "[vm]\nname = \"{name}\"\naddress = \"{at}\"\ndata_centre = \"{data_centre}\"\n\
             [listen]\ncalls_port = {calls}\n[data]\nfolder = {}\n\
             [peers]\nseeds = [{}]\n[stop]\ngrace_s = 8\n",
            quote(&disk.to_string_lossy()),
            seeds.join(", ")
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).expect("the settings are written");
        Self {
            log: folder.join(format!("{name}.log")),
            name,
            role: "keeper",
            requests: (at, calls).into(),
            readiness: (at, calls).into(),
            settings,
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log is written");
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .env("BLUEBELLREEL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log is shared"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.child = Some(child),
            Err(e) => {
                panic!("{PROGRAM} does not start: {e}");
            }
        }
    }

    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|c| c.try_wait().ok().flatten().is_some())
    }

    pub fn is_ready(&self) -> bool {
        let within = Duration::from_millis(500);
        call(
            self.readiness,
            "GET",
            "/v1/ready",
            &[("Host", "x")],
            b"",
            within,
        )
        .status
            == 200
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Prepares gateways that know each other as seeds.
pub fn gateways(folder: &Path, count: u8, store: SocketAddr) -> Vec<Gateway> {
    gateways_in(folder, &vec!["hall"; count.into()], store).0
}

/// Prepares one gateway in each data centre, and the same number of keepers.
pub fn gateways_in(
    folder: &Path,
    data_centres: &[&str],
    store: SocketAddr,
) -> (Vec<Gateway>, Vec<Gateway>) {
    let count = data_centres.len() as u8;
    let ports: [u16; 5] = free_ports(ip(1));
    let seeds: Vec<SocketAddr> = (1..=count).map(|n| (ip(n), ports[2]).into()).collect();
    let numbered = || (1..=count).zip(data_centres.iter().copied());
    let gateways = numbered()
        .map(|of| Gateway::prepare(folder, of, ports, &seeds, store))
        .collect();
    let keepers = numbered()
        .map(|of| Gateway::prepare_keeper(folder, of, ports[3], &seeds))
        .collect();
    (gateways, keepers)
}

/// Waits until a condition holds; ends the case as one that could not run otherwise.
pub fn until(what: &str, within: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + within;
    while !holds() {
        if Instant::now() > end {
            panic!("the case could not run: {what}");
        }
        sleep(Duration::from_millis(20));
    }
}

/// Starts all gateways and waits until they are ready and registered.
pub fn start_all(gateways: &mut [Gateway], store: &Store) {
    gateways.iter_mut().for_each(Gateway::start);
    until("gateways are ready", Duration::from_secs(20), || {
        let is_in = |g: &Gateway| store.has(&format!("member/{}", g.name)) && g.is_ready();
        gateways.iter().all(is_in)
    });
    // Gateways know each other's reports by then.
    sleep(Duration::from_secs(2));
}
