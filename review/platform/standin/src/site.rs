//! A small site of processes: the store, workers, and the project's gateways, all on
//! loopback addresses and in a temporary folder.

use crate::http::{Seen, call};
use crate::json::base64;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "desk.example";
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

/// `PR_SET_PDEATHSIG` of `prctl`.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;

/// Starts a process that ends with this one, however this one ends. Called by the main
/// thread, as the signal comes when the thread that has started the process ends.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let with_parent = || {
        // SAFETY: `prctl` with these arguments only sets a signal of the new process.
        unsafe { prctl(SET_PARENT_DEATH_SIGNAL, SIGKILL) };
        Ok(())
    };
    // SAFETY: the closure makes one system call and touches no memory of the parent.
    unsafe { command.pre_exec(with_parent) }.spawn()
}

/// Sends a signal to a process that this program started.
pub fn signal(child: &Child, number: i32) {
    if let Ok(pid) = i32::try_from(child.id()) {
        // SAFETY: `kill` takes two integers and has no other effect on this process.
        unsafe {
            kill(pid, number);
        }
    }
}

/// What happened, with the time of day in milliseconds.
#[derive(Clone, Default)]
pub struct Record(Arc<Mutex<Vec<(u128, String)>>>);

pub fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis())
}

impl Record {
    pub fn note(&self, text: impl Into<String>) {
        self.note_at(unix_ms(), text.into());
    }

    pub fn note_at(&self, at: u128, text: String) {
        self.0.lock().expect("record").push((at, text));
    }

    /// Writes the record in order of time, each line with its time since the first one.
    pub fn write(&self, path: &str) -> std::io::Result<()> {
        let mut lines = self.0.lock().expect("record").clone();
        lines.sort_by_key(|(at, _)| *at);
        let first = lines.first().map_or(0, |(at, _)| *at);
        let mut file = File::create(path)?;
        for (at, text) in lines {
            let ms = at - first;
            writeln!(file, "{:4}.{:03} s  {text}", ms / 1000, ms % 1000)?;
        }
        Ok(())
    }

    /// All lines so far.
    pub fn lines(&self) -> Vec<(u128, String)> {
        self.0.lock().expect("record").clone()
    }
}

/// A process that is killed when this is dropped.
pub struct Process {
    pub child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process takes the signal too. It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Gateway {
    pub name: String,
    pub settings: PathBuf,
    pub log: PathBuf,
    pub requests: SocketAddr,
    pub readiness: SocketAddr,
    pub process: Option<Process>,
}

impl Gateway {
    /// Starts the program of the deploy file. Only its first start is that of the whole
    /// system.
    pub fn start(&mut self) -> std::io::Result<()> {
        if self.log.exists() {
            let settings = fs::read_to_string(&self.settings)?;
            fs::write(
                &self.settings,
                settings.replace("first = true", "first = false"),
            )?;
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = spawn(
            Command::new("target/release/bluebellreel")
                .arg("gateway")
                .env("BLUEBELLREEL_CONFIG", &self.settings)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log),
        )?;
        self.process = Some(Process { child });
        Ok(())
    }

    pub fn is_ready(&self, limit: Duration) -> bool {
        let seen = call(
            self.readiness,
            "GET",
            "/v1/ready",
            &[("Host", HOST)],
            b"",
            limit,
        );
        seen.status == 200
    }

    pub fn has_ended(&mut self) -> bool {
        match &mut self.process {
            Some(process) => matches!(process.child.try_wait(), Ok(Some(_))),
            None => true,
        }
    }
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub process: Process,
}

pub struct WorkerPlan {
    pub slots: usize,
    pub events: u64,
    pub interval_ms: u64,
    pub unframed: bool,
}

pub struct Site {
    pub record: Record,
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub gateways: Vec<Gateway>,
    pub workers: Vec<Worker>,
    ip: [u8; 3],
    _store: Process,
}

impl Drop for Site {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.process = None;
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn free_port(ip: Ipv4Addr) -> std::io::Result<u16> {
    let tcp = TcpListener::bind((ip, 0))?;
    let port = tcp.local_addr()?.port();
    // The same port serves datagrams on some addresses.
    drop(UdpSocket::bind((ip, port))?);
    Ok(port)
}

impl Site {
    /// Starts the store, workers and gateways, and waits until all gateways are ready.
    pub fn start(
        record: Record,
        gateways: usize,
        workers: usize,
        plan: &WorkerPlan,
    ) -> std::io::Result<Self> {
        let pid = std::process::id();
        let octet = |n: u32| u8::try_from(n % 250 + 1).unwrap_or(1);
        let ip = [127, octet(pid / 250 + 60), octet(pid)];
        let folder = std::env::temp_dir().join(format!("bluebellreel-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let own = std::env::current_exe()?;
        let at = |n: u8| Ipv4Addr::new(ip[0], ip[1], ip[2], n);
        let store = SocketAddr::from((at(1), free_port(at(1))?));
        let child = spawn(
            Command::new(&own)
                .args(["store", &store.to_string()])
                .stdin(Stdio::null()),
        )?;
        let mut site = Self {
            record,
            folder,
            store,
            gateways: Vec::new(),
            workers: Vec::new(),
            ip,
            _store: Process { child },
        };
        site.wait("the store answers", Duration::from_secs(10), |site| {
            let path = "/v1/kv-key?key=op%2Fconfig";
            let seen = call(
                site.store,
                "GET",
                path,
                &[("Host", "store")],
                b"",
                Duration::from_secs(1),
            );
            seen.status == 404
        })?;
        site.put("op/config", &configuration());
        for n in 0..workers {
            site.add_worker(n, plan)?;
        }
        for n in 0..gateways {
            site.add_gateway(n)?;
        }
        site.wait("all gateways are ready", Duration::from_secs(20), |site| {
            let limit = Duration::from_millis(500);
            site.gateways
                .iter()
                .all(|g| g.is_ready(limit) && site.has(&format!("member/{}", g.name)))
        })?;
        site.record
            .note(format!("{gateways} gateways are ready, {workers} workers"));
        Ok(site)
    }

    fn at(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.ip[0], self.ip[1], self.ip[2], n)
    }

    pub fn wait(
        &self,
        what: &str,
        limit: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> std::io::Result<()> {
        let until = Instant::now() + limit;
        while !condition(self) {
            if Instant::now() > until {
                return Err(std::io::Error::other(format!("not in {limit:?}: {what}")));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn has(&self, key: &str) -> bool {
        let path = format!("/v1/kv-key?key={}", key.replace('/', "%2F"));
        call(
            self.store,
            "GET",
            &path,
            &[("Host", "store")],
            b"",
            Duration::from_secs(1),
        )
        .status
            == 200
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let path = format!("/v1/kv-range?prefix={}", prefix.replace('/', "%2F"));
        let limit = Duration::from_secs(1);
        let seen = call(self.store, "GET", &path, &[("Host", "store")], b"", limit);
        let text = String::from_utf8_lossy(&seen.body).into_owned();
        text.matches("\"key\":").count()
    }

    /// Takes the store down (503 to every call), or up again.
    pub fn set_store_down(&self, down: bool) {
        let word = if down { "down" } else { "up" };
        let path = format!("/stand-in/{word}");
        let limit = Duration::from_secs(2);
        call(self.store, "POST", &path, &[("Host", "store")], b"", limit);
        let what = if down {
            "is down: 503 to every call"
        } else {
            "is up again"
        };
        self.record.note(format!("platform: the store {what}"));
    }

    /// Writes a key, as the operator and workers do.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        let body = format!(
            "{{\"precondition\":[],\"puts\":[{{\"key\":\"{key}\",\"value\":\"{value}\",\"lease\":0}}],\"deletes\":[]}}"
        );
        self.txn(&body);
    }

    pub fn remove(&self, key: &str) {
        self.txn(&format!(
            "{{\"precondition\":[],\"puts\":[],\"deletes\":[\"{key}\"]}}"
        ));
    }

    fn txn(&self, body: &str) {
        let limit = Duration::from_secs(2);
        let headers = [("Host", "store"), ("Content-Type", "application/json")];
        let seen: Seen = call(
            self.store,
            "POST",
            "/v1/kv-txn",
            &headers,
            body.as_bytes(),
            limit,
        );
        assert_eq!(
            seen.status, 200,
            "the stand-in of the store: {}",
            seen.error
        );
    }

    /// A worker's entry in the store.
    pub fn register(&self, worker: usize, state: &str, seq: u64) {
        let worker = &self.workers[worker];
        let entry = format!(
            "{{\"service\":\"lm\",\"address\":\"{}\",\"zone\":\"hall\",\"version\":\"v1\",\"slots\":8,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq}}}",
            worker.address
        );
        self.put(&format!("servers/{}", worker.id), &entry);
    }

    fn add_worker(&mut self, n: usize, plan: &WorkerPlan) -> std::io::Result<()> {
        let ip = self.at(100 + u8::try_from(n).unwrap_or(0));
        let address = SocketAddr::from((ip, free_port(ip)?));
        let id = format!(
            "i-{:08x}",
            0x7f3a_91c2_u32.wrapping_add(u32::try_from(n).unwrap_or(0))
        );
        let mut child = spawn(
            Command::new(std::env::current_exe()?)
                .args(["worker", &address.to_string(), &id])
                .args([plan.slots.to_string(), plan.events.to_string()])
                .args([plan.interval_ms.to_string(), plan.unframed.to_string()])
                .stdin(Stdio::null())
                .stdout(Stdio::piped()),
        )?;
        if let Some(out) = child.stdout.take() {
            let record = self.record.clone();
            thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    if let Some((at, text)) = line.split_once(' ') {
                        record.note_at(at.parse().unwrap_or(0), format!("worker: {text}"));
                    }
                }
            });
        }
        self.workers.push(Worker {
            id,
            address,
            process: Process { child },
        });
        self.register(self.workers.len() - 1, "ready", 1);
        Ok(())
    }

    /// Puts a new worker, with an id of its own, in the place of one that is gone.
    pub fn restart_worker(
        &mut self,
        at: usize,
        number: usize,
        plan: &WorkerPlan,
    ) -> std::io::Result<()> {
        self.add_worker(number, plan)?;
        let new = self.workers.pop();
        self.workers[at] = new.ok_or(std::io::ErrorKind::NotFound)?;
        Ok(())
    }

    fn add_gateway(&mut self, n: usize) -> std::io::Result<()> {
        let ip = self.at(10 + u8::try_from(n).unwrap_or(0));
        let first = self.at(10);
        // Ports are the same on all machines of a day.
        let ports: Vec<u16> = if n == 0 {
            (0..5).map(|_| free_port(first)).collect::<Result<_, _>>()?
        } else {
            let text = fs::read_to_string(self.folder.join("ports"))?;
            text.split(' ').filter_map(|p| p.parse().ok()).collect()
        };
        let texts: Vec<String> = ports.iter().map(u16::to_string).collect();
        fs::write(self.folder.join("ports"), texts.join(" "))?;
        let name = format!("front-hall-{}", n + 1);
        let settings = self.folder.join(format!("{name}.toml"));
        let seeds = format!("[\"{first}:{}\"]", ports[2]);
        let terms =
            r#"["base","drain","config","cost","recover","batch","stream","engine","platform"]"#;
        // As platform/entry.toml.template is filled in.
        fs::write(
            &settings,
            format!(
                "[vm]\nname = \"{name}\"\naddress = \"{ip}\"\ndata_centre = \"hall\"\n\n\
                 [listen]\nrequests = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\npeers = \"{ip}:{}\"\n\
                 reports_port = {}\nmetrics_port = {}\n\n[peers]\nseeds = {seeds}\n\n\
                 [start]\nfirst = true\n\n[store]\naddress = \"{}\"\nvalue_bytes = 1048576\n\
                 shortest_lease_ms = 1000\n\n[stop]\ngrace_s = 8\n\n[jobs]\ncancel_within_ms = 3000\n\n\
                 [teams]\nrate_excess = 0.1\n\n[scheduling]\nterms = {terms}\n\
                 worker_evidence = \"health\"\njob_deadlines = \"batch\"\n",
                ports[0], ports[1], ports[2], ports[3], ports[4], self.store
            ),
        )?;
        let mut gateway = Gateway {
            log: self.folder.join(format!("{name}.log")),
            name,
            settings,
            requests: SocketAddr::from((ip, ports[0])),
            readiness: SocketAddr::from((ip, ports[1])),
            process: None,
        };
        gateway.start()?;
        self.gateways.push(gateway);
        Ok(())
    }
}

/// The operator's configuration: the three kinds of requests of the sample installation
/// ceol-rental.
fn configuration() -> String {
    let route =
        |rest: &str| format!("{{\"host\":\"{HOST}\",\"service\":\"lm\",\"sticky\":true,{rest}}}");
    let routes = [
        route(
            r#""name":"size-check","prefix":"/check/","kind":"stream","timeoutMs":5000,"sloMs":300,"maxAttempts":2,"resumable":true,"gapTargetMs":300,"priority":0"#,
        ),
        route(
            r#""name":"return-note","prefix":"/note/","kind":"stream","timeoutMs":5000,"sloMs":300,"maxAttempts":1,"resumable":false,"gapTargetMs":300,"priority":0"#,
        ),
        route(
            r#""name":"school-booking","prefix":"/book/","kind":"batch","timeoutMs":15000,"sloMs":400,"maxAttempts":3,"resumable":true,"gapTargetMs":300,"priority":2,"cap":1800000,"runTargetMs":18000,"retentionS":60"#,
        ),
    ];
    format!(
        "{{\"version\":3,\"routes\":[{}],\"services\":[{{\"name\":\"lm\",\"healthPath\":\"/health\",\"maxConns\":230}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}
