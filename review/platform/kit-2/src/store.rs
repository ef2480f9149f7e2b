//! A stand-in of the platform's store.

use crate::http::{Request, read_request, respond};
use crate::json::{Json, base64, parse, quote};
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

struct Event {
    revision: i64,
    key: String,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: i64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: HashMap<i64, (Instant, Duration)>,
    last_lease: i64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: i64) {
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event {
            revision: self.revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event {
                revision: self.revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = of_lease.map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.remove(k));
        }
    }
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    /// Nothing is done, and connections are reset.
    Down,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    mode: Arc<Mutex<Mode>>,
}

impl Store {
    /// Starts the store at an address.
    pub fn start(at: SocketAddr) -> (Self, SocketAddr) {
        let store = Self {
            shared: Arc::default(),
            mode: Arc::new(Mutex::new(Mode::Up)),
        };
        let listener = TcpListener::bind(at).expect("the store listens");
        let at = listener.local_addr().expect("it has an address");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || expiring.expire_leases());
        (store, at)
    }

    /// Sets how calls are treated from now on.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        self.shared.1.notify_all();
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key as a worker does.
    pub fn remove(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
    }

    /// Whether a key exists.
    pub fn has(&self, key: &str) -> bool {
        self.shared.0.lock().unwrap().items.contains_key(key)
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn expire_leases(&self) {
        loop {
            thread::sleep(Duration::from_millis(20));
            if self.mode() == Mode::Down {
                // Leases pause while the store is down.
                let mut state = self.shared.0.lock().unwrap();
                for (until, _) in state.leases.values_mut() {
                    *until += Duration::from_millis(20);
                }
                continue;
            }
            let mut state = self.shared.0.lock().unwrap();
            let now = Instant::now();
            let ended = state.leases.iter().filter(|(_, (until, _))| *until <= now);
            let ended: Vec<i64> = ended.map(|(id, _)| *id).collect();
            if !ended.is_empty() {
                ended.into_iter().for_each(|id| state.end_lease(id));
                self.shared.1.notify_all();
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Some(req) = read_request(&mut from) {
            thread::sleep(ANSWER_TIME);
            if self.mode() == Mode::Down {
                return;
            }
            let (status, body) = self.answer(&req);
            if self.mode() == Mode::Down
                || !respond(
                    &mut to,
                    status,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
            {
                return;
            }
        }
    }

    fn answer(&self, req: &Request) -> (u16, String) {
        let last = req.path.rsplit('/').next().unwrap_or("");
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/v1/kv-key") => {
                let key = req.param("key");
                let state = self.shared.0.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => (200, item_text(&key, item)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/v1/kv-range") => self.range(&req.param("prefix"), &req.param("after")),
            ("GET", "/v1/kv-watch") => self.watch(req),
            ("POST", "/v1/kv-txn") => self.txn(&parse(&req.body).unwrap_or(Json::Null)),
            ("POST", "/v1/kv-lease") => {
                let body = parse(&req.body).unwrap_or(Json::Null);
                let ttl = Duration::from_millis(body.get("ttlMs").int().max(1000) as u64);
                let mut state = self.shared.0.lock().unwrap();
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, (Instant::now() + ttl, ttl));
                (
                    200,
                    format!("{{\"lease\":{id},\"ttlMs\":{}}}", ttl.as_millis()),
                )
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let mut state = self.shared.0.lock().unwrap();
                match state.leases.get_mut(&last.parse().unwrap_or(0)) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, "{}".into())
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let mut state = self.shared.0.lock().unwrap();
                state.end_lease(last.parse().unwrap_or(0));
                self.shared.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let found: Vec<_> = state
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after)
            .collect();
        let mut texts = Vec::new();
        let mut size = 0;
        let mut truncated = false;
        for (key, item) in found {
            size += item.value.len();
            if !texts.is_empty() && (texts.len() >= 500 || size > 1_000_000) {
                truncated = true;
                break;
            }
            texts.push(item_text(key, item));
        }
        let body = format!(
            "{{\"items\":[{}],\"truncated\":{truncated},\"asOf\":{}}}",
            texts.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, req: &Request) -> (u16, String) {
        let prefix = req.param("prefix");
        let after: i64 = req.param("after").parse().unwrap_or(0);
        let wait: u64 = req.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let newer = state.events.iter().rev();
            let newer = newer.take_while(|e| e.revision > after);
            let mut found: Vec<String> = newer
                .filter(|e| e.key.starts_with(&prefix))
                .map(event_text)
                .collect();
            found.reverse();
            let now = Instant::now();
            if !found.is_empty() || now >= until || self.mode() == Mode::Down {
                let body = format!(
                    "{{\"events\":[{}],\"asOf\":{}}}",
                    found.join(","),
                    state.revision
                );
                return (200, body);
            }
            let (next, _) = self.shared.1.wait_timeout(state, until - now).unwrap();
            state = next;
        }
    }

    fn txn(&self, txn: &Json) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let rows = txn.get("precondition").list();
        let holds = |row: &Json| {
            let current = state.items.get(row.get("key").text());
            current.map_or(0, |i| i.revision) == row.get("revision").int()
        };
        if !rows.iter().all(holds) {
            let items: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| item_text(key, item))
                })
                .collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts = txn.get("puts").list();
        let has_lease = |put: &Json| {
            let lease = put.get("lease").int();
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".into());
        }
        let deletes = txn.get("deletes").list();
        if !puts.is_empty() || !deletes.is_empty() {
            state.revision += 1;
        }
        for put in puts {
            let value = put.get("value").text().to_owned();
            let lease = put.get("lease").int();
            state.put(put.get("key").text(), value, lease);
        }
        for key in deletes {
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn event_text(event: &Event) -> String {
    match &event.item {
        Some(item) => item_text(&event.key, item),
        None => format!(
            "{{\"key\":{},\"revision\":{},\"removed\":true}}",
            quote(&event.key),
            event.revision
        ),
    }
}
