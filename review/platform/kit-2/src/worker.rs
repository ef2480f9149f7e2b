//! A stand-in of a model worker with slots, which are given in order of arrival.
//!
//! The last part of a request's path says how it runs: `e5` for five events, `i40` for 40 ms
//! between them, `u` for an answer without a length, `x` for one after which the worker
//! sends a second answer at the point where the next response on the channel is expected.

use crate::http::{Request, read_request, respond};
use crate::site::Record;
use crate::store::Store;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// Time between two steps.
const STEP_MICROS: u64 = 20_000;

#[derive(Default)]
struct Slots {
    taken: usize,
    /// Tickets of those that wait, in order of arrival.
    waiting: VecDeque<u64>,
    last_ticket: u64,
}

/// A worker. Clones share its state.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    /// Version of its software, which its events name.
    pub version: String,
    pub address: SocketAddr,
    slots: usize,
    state: Arc<(Mutex<Slots>, Condvar)>,
    /// Whether second answers are sent.
    pub faulty: Arc<AtomicBool>,
    /// Whether a request is dropped when its channel closes.
    pub drops: Arc<AtomicBool>,
    /// Number of runs that have begun.
    pub runs: Arc<AtomicUsize>,
    /// Number of events sent.
    pub events: Arc<AtomicUsize>,
    /// Ids of the requests that have begun to run.
    pub began: Arc<Mutex<Vec<(String, Instant)>>>,
    pub mischief: Arc<Mutex<Mischief>>,
    started: Instant,
    has_crashed: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
}

impl Worker {
    /// Starts a worker. It is not registered yet.
    pub fn start(id: &str, at: SocketAddr, slots: usize, record: &Record) -> Self {
        Self::start_as("v1", id, at, slots, record)
    }

    /// Starts a worker of a version of its software. It is not registered yet.
    pub fn start_as(
        version: &str,
        id: &str,
        at: SocketAddr,
        slots: usize,
        record: &Record,
    ) -> Self {
        let listener = TcpListener::bind(at).expect("the worker listens");
        listener
            .set_nonblocking(true)
            .expect("the listener is polled");
        let worker = Self {
            id: id.to_owned(),
            version: version.to_owned(),
            address: listener.local_addr().expect("it has an address"),
            slots,
            state: Arc::default(),
            faulty: Arc::default(),
            drops: Arc::default(),
            runs: Arc::default(),
            events: Arc::default(),
            began: Arc::default(),
            mischief: Arc::default(),
            started: Instant::now(),
            has_crashed: Arc::default(),
            channels: Arc::default(),
            record: record.clone(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            while !serving.has_crashed.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(Duration::from_micros(200));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(channel) = stream.try_clone() {
                    serving.channels.lock().unwrap().push(channel);
                }
                let worker = serving.clone();
                thread::spawn(move || {
                    let channel = stream.try_clone();
                    worker.serve(stream);
                    if let Ok(channel) = channel {
                        let _ = channel.shutdown(Shutdown::Both);
                    }
                });
            }
        });
        worker
    }

    /// Writes the worker's entry, with the address at which it is reached.
    pub fn register(&self, store: &Store, address: SocketAddr, born: u64) {
        let version = &self.version;
        let entry = format!(
            "{{\"service\":\"lm\",\"address\":\"{address}\",\"zone\":\"hall\",\"version\":\"{version}\",\
             \"slots\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":1,\"born\":{born}}}",
            self.slots
        );
        store.put(&format!("servers/{}", self.id), &entry);
        self.record.note(format!(
            "{} is registered: version {version}, born {born}",
            self.id
        ));
    }

    /// The last part of its id.
    pub fn number(&self) -> usize {
        self.id
            .rsplit('-')
            .next()
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
    }

    /// Ends the worker as a crash does: its port and its channels close.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        sleep(Duration::from_millis(2));
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        self.record.note(format!("{} crashes", self.id));
    }

    /// Waits for a slot in order of arrival.
    fn take_slot(&self) {
        let mut slots = self.state.0.lock().unwrap();
        slots.last_ticket += 1;
        let ticket = slots.last_ticket;
        slots.waiting.push_back(ticket);
        while slots.taken >= self.slots || slots.waiting.front() != Some(&ticket) {
            slots = self.state.1.wait(slots).unwrap();
        }
        slots.waiting.pop_front();
        slots.taken += 1;
        self.state.1.notify_all();
    }

    fn free_slot(&self) {
        self.state.0.lock().unwrap().taken -= 1;
        self.state.1.notify_all();
    }

    /// Number of slots that are taken, and of requests that wait.
    pub fn load(&self) -> (usize, usize) {
        let slots = self.state.0.lock().unwrap();
        (slots.taken, slots.waiting.len())
    }

    fn load_header(&self) -> String {
        let (taken, waiting) = self.load();
        format!("X-Server-Load: {taken},{waiting},{}\r\n", self.slots)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let channel = stream.peer_addr().map_or(0, |a| a.port());
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        let mut second_answer: Option<Vec<u8>> = None;
        while let Some(req) = read_request(&mut from) {
            if let Some(bytes) = second_answer.take() {
                self.record.note(format!(
                    "{} channel {channel}: a second answer goes out",
                    self.id
                ));
                if to.write_all(&bytes).is_err() {
                    return;
                }
            }
            let expected = req.header("x-expect-instance");
            if !expected.is_empty() && expected != self.id {
                if !respond(&mut to, 421, "X-Not-Run: 1\r\n", b"") {
                    return;
                }
                continue;
            }
            if req.path == "/health" {
                self.record.note(format!(
                    "{} channel {channel}: health check waits for a slot",
                    self.id
                ));
                self.take_slot();
                let headers = format!("X-Instance-Id: {}\r\n{}", self.id, self.load_header());
                self.free_slot();
                self.record.note(format!(
                    "{} channel {channel}: health check answered",
                    self.id
                ));
                if !respond(&mut to, 200, &headers, b"") {
                    return;
                }
                continue;
            }
            let mut how = How::of(&req);
            let is_refused = {
                let mut mischief = self.mischief.lock().unwrap();
                let m = *mischief;
                if m.seed != 0 {
                    how.unframed |= mischief.draw(m.unframed);
                    how.second_answer |= mischief.draw(m.second_answer);
                    how.truncated |= mischief.draw(m.truncated) && !how.unframed;
                    how.lost |= mischief.draw(m.lost);
                }
                m.seed != 0 && mischief.draw(m.refused)
            };
            if is_refused {
                if !respond(&mut to, 503, "X-Not-Run: 1\r\n", b"") {
                    return;
                }
                continue;
            }
            self.take_slot();
            self.runs.fetch_add(1, Ordering::Relaxed);
            let id = req.header("x-request-id").to_owned();
            self.began
                .lock()
                .unwrap()
                .push((id.clone(), Instant::now()));
            self.record.note(format!(
                "{} channel {channel}: runs {id} {}",
                self.id, req.path
            ));
            let (body, is_delivered) = self.run(&req, &how, &mut to);
            self.free_slot();
            self.record
                .note(format!("{} channel {channel}: {id} ended", self.id));
            if !is_delivered || how.unframed {
                return;
            }
            if how.second_answer
                && (self.faulty.load(Ordering::Relaxed) || self.mischief.lock().unwrap().seed != 0)
            {
                let mut bytes = self.head(&id, &format!("Content-Length: {}\r\n", body.len()));
                bytes.extend_from_slice(&body);
                second_answer = Some(bytes);
            }
        }
    }

    /// Waits for the worker's next step: it makes the events of all its runs in batches.
    fn wait_for_step(&self) {
        let into_step = self.started.elapsed().as_micros() as u64 % STEP_MICROS;
        sleep(Duration::from_micros(STEP_MICROS - into_step));
    }

    fn head(&self, id: &str, framing: &str) -> Vec<u8> {
        format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\n\
             X-Server-Stamp: {}.{id}\r\n{}{framing}\r\n",
            self.id,
            self.load_header()
        )
        .into_bytes()
    }

    /// Runs a request, to its end also if its channel closes, unless the worker drops it. Returns the body and whether
    /// the caller got it.
    fn run(&self, req: &Request, how: &How, to: &mut TcpStream) -> (Vec<u8>, bool) {
        let id = req.header("x-request-id");
        let after: u64 = req.header("last-event-id").parse().unwrap_or(0);
        let framing = if how.unframed {
            "Connection: close\r\n"
        } else {
            "Transfer-Encoding: chunked\r\n"
        };
        let mut all = Vec::new();
        let mut is_delivered = true;
        for n in after + 1..=how.events {
            sleep(how.interval);
            self.wait_for_step();
            if self.has_crashed.load(Ordering::Relaxed) {
                return (all, false);
            }
            if how.lost {
                continue;
            }
            if how.truncated && n > how.events / 2 {
                let _ = to.write_all(b"7\r\nid: 9\nd\r\n");
                return (all, false);
            }
            if n == after + 1 {
                is_delivered &= to.write_all(&self.head(id, framing)).is_ok();
            }
            let event = event(&self.version, id, n);
            let bytes = if how.unframed {
                event.clone().into_bytes()
            } else {
                format!("{:x}\r\n{event}\r\n", event.len()).into_bytes()
            };
            is_delivered = is_delivered && to.write_all(&bytes).is_ok();
            if !is_delivered && self.drops.load(Ordering::Relaxed) {
                return (all, false);
            }
            all.extend_from_slice(event.as_bytes());
            self.events.fetch_add(1, Ordering::Relaxed);
        }
        if how.lost {
            return (all, false);
        }
        if after >= how.events {
            is_delivered = to.write_all(&self.head(id, framing)).is_ok();
        }
        if !how.unframed {
            is_delivered = is_delivered && to.write_all(b"0\r\n\r\n").is_ok();
        }
        (all, is_delivered)
    }
}

/// One event of a request's answer.
pub fn event(version: &str, id: &str, n: u64) -> String {
    format!("id: {n}\ndata: {}\n\n", data(version, id, n))
}

fn data(version: &str, id: &str, n: u64) -> String {
    format!("{version}.{id}-{n}")
}

/// The text of an item's whole output.
pub fn text(id: &str, events: u64) -> String {
    let all: Vec<String> = (1..=events).map(|n| data("v1", id, n)).collect();
    all.join("\n")
}

/// Shares of answers that a faulty worker spoils, in percent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mischief {
    pub unframed: u64,
    pub second_answer: u64,
    pub truncated: u64,
    pub lost: u64,
    pub refused: u64,
    pub seed: u64,
}

impl Mischief {
    pub fn draw(&mut self, percent: u64) -> bool {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed % 100 < percent
    }
}

struct How {
    truncated: bool,
    lost: bool,
    events: u64,
    interval: Duration,
    unframed: bool,
    second_answer: bool,
}

impl How {
    fn of(req: &Request) -> Self {
        let mut how = Self {
            events: 5,
            interval: Duration::from_millis(20),
            unframed: false,
            second_answer: false,
            truncated: false,
            lost: false,
        };
        for word in req.path.rsplit('/').next().unwrap_or("").split('-') {
            let number = || word.get(1..).and_then(|n| n.parse().ok());
            match word.chars().next() {
                Some('e') => how.events = number().unwrap_or(how.events),
                Some('i') => how.interval = Duration::from_millis(number().unwrap_or(20)),
                Some('u') => how.unframed = true,
                Some('x') => how.second_answer = true,
                _ => {}
            }
        }
        how
    }
}
