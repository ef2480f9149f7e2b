//! The platform's metadata store: keys with revisions, guarded writes, leases, watches.

use crate::http::{Message, read_request};
use crate::json::{Json, parse, quote};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The usual time of an answer, as on the sample installations.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const PAGE: usize = 500;
const MAX_HISTORY: usize = 100_000;

#[derive(Clone)]
struct Item {
    /// Standard base64 text, kept as it came.
    value: String,
    revision: i64,
    created: i64,
    lease: i64,
}

#[derive(Default)]
struct State {
    /// Since when all calls get 503; leases pause meanwhile.
    down_since: Option<Instant>,
    items: BTreeMap<String, Item>,
    history: VecDeque<(i64, String, Option<Item>)>,
    leases: BTreeMap<i64, (Instant, Duration)>,
    revision: i64,
    next_lease: i64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: i64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.note(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, item: Option<Item>) {
        self.history
            .push_back((self.revision, key.to_owned(), item));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn end_lease(&mut self, lease: i64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| lease != 0 && i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        known
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// Serves until the process is killed.
pub fn serve(address: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let shared: Shared = Arc::default();
    let expiring = shared.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut state = expiring.0.lock().expect("state");
            if state.down_since.is_some() {
                continue;
            }
            let now = Instant::now();
            let over: Vec<i64> = state
                .leases
                .iter()
                .filter(|(_, (until, _))| *until <= now)
                .map(|(id, _)| *id)
                .collect();
            for lease in over {
                state.end_lease(lease);
            }
            drop(state);
            expiring.1.notify_all();
        }
    });
    for stream in listener.incoming() {
        let shared = shared.clone();
        if let Ok(stream) = stream {
            thread::spawn(move || {
                let _ = serve_one(&stream, &shared);
            });
        }
    }
    Ok(())
}

fn serve_one(stream: &TcpStream, shared: &Shared) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let (status, body) = answer(&request, shared);
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut out: &TcpStream = stream;
        out.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

fn answer(request: &Message, shared: &Shared) -> (u16, String) {
    let mut words = request.first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = |name: &str| {
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .map_or(String::new(), |(_, v)| decoded(v))
    };
    if path != "/v1/kv-watch" {
        thread::sleep(ANSWER_TIME);
    }
    let body = parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    let (mutex, changed) = &**shared;
    if let Some(word) = path.strip_prefix("/stand-in/") {
        set_down(&mut mutex.lock().expect("state"), word == "down");
        changed.notify_all();
        return (200, "{}".into());
    }
    if mutex.lock().expect("state").down_since.is_some() {
        return (503, "{}".into());
    }
    match (method, path) {
        ("GET", "/v1/kv-key") => {
            let state = mutex.lock().expect("state");
            let key = query("key");
            match state.items.get(&key) {
                Some(item) => {
                    let text = shown(&key, item);
                    let text = text.trim_end_matches('}');
                    (200, format!("{text},\"asOf\":{}}}", state.revision))
                }
                None => (404, format!("{{\"asOf\":{}}}", state.revision)),
            }
        }
        ("GET", "/v1/kv-range") => {
            let state = mutex.lock().expect("state");
            let (prefix, after) = (query("prefix"), query("after"));
            let mut found = state
                .items
                .range(prefix.clone()..)
                .take_while(|(k, _)| k.starts_with(&prefix))
                .filter(|(k, _)| **k > after);
            let page: Vec<String> = found
                .by_ref()
                .take(PAGE)
                .map(|(k, i)| shown(k, i))
                .collect();
            let truncated = found.next().is_some();
            let items = page.join(",");
            let as_of = state.revision;
            (
                200,
                format!("{{\"items\":[{items}],\"truncated\":{truncated},\"asOf\":{as_of}}}"),
            )
        }
        ("GET", "/v1/kv-watch") => {
            let (prefix, after) = (query("prefix"), query("after").parse().unwrap_or(0));
            let wait = Duration::from_millis(query("waitMs").parse().unwrap_or(0));
            watch(mutex, changed, &prefix, after, wait)
        }
        ("POST", "/v1/kv-txn") => {
            let answer = txn(&mut mutex.lock().expect("state"), &body);
            changed.notify_all();
            answer
        }
        ("POST", "/v1/kv-lease") => {
            let mut state = mutex.lock().expect("state");
            let ms = body.get("ttlMs").int().clamp(1000, 600_000);
            let ttl = Duration::from_millis(ms.unsigned_abs());
            state.next_lease += 1;
            let id = state.next_lease;
            state.leases.insert(id, (Instant::now() + ttl, ttl));
            (200, format!("{{\"lease\":{id},\"ttlMs\":{ms}}}"))
        }
        ("POST", path) if path.starts_with("/v1/kv-keep/") => {
            let id: i64 = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
            let mut state = mutex.lock().expect("state");
            match state.leases.get_mut(&id) {
                Some((until, ttl)) => {
                    *until = Instant::now() + *ttl;
                    let ms = ttl.as_millis();
                    (200, format!("{{\"lease\":{id},\"ttlMs\":{ms}}}"))
                }
                None => (404, "{}".into()),
            }
        }
        ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
            let id: i64 = path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
            let known = mutex.lock().expect("state").end_lease(id);
            changed.notify_all();
            (if known { 200 } else { 404 }, "{}".into())
        }
        _ => (400, "{}".into()),
    }
}

/// Takes the store down, so that it answers each call with 503 and does nothing, or up
/// again. Leases pause while it is down.
fn set_down(state: &mut State, down: bool) {
    let now = Instant::now();
    if down {
        state.down_since.get_or_insert(now);
    } else if let Some(since) = state.down_since.take() {
        for (until, _) in state.leases.values_mut() {
            *until += now - since;
        }
    }
}

fn shown(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"createRev\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn watch(
    mutex: &Mutex<State>,
    changed: &Condvar,
    prefix: &str,
    after: i64,
    wait: Duration,
) -> (u16, String) {
    let until = Instant::now() + wait;
    let mut state = mutex.lock().expect("state");
    loop {
        if state.down_since.is_some() {
            return (503, "{}".into());
        }
        let events: Vec<String> = state
            .history
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
            .map(|(revision, key, item)| match item {
                Some(item) => shown(key, item),
                None => format!(
                    "{{\"key\":{},\"revision\":{revision},\"removed\":true}}",
                    quote(key)
                ),
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let as_of = state.revision;
            return (
                200,
                format!("{{\"events\":[{}],\"asOf\":{as_of}}}", events.join(",")),
            );
        }
        state = changed.wait_timeout(state, left).expect("state").0;
    }
}

fn txn(state: &mut State, body: &Json) -> (u16, String) {
    let guards = body.get("precondition").list();
    let holds = guards.iter().all(|guard| {
        let found = state.items.get(guard.get("key").text());
        found.map_or(0, |i| i.revision) == guard.get("revision").int()
    });
    if !holds {
        let items: Vec<String> = guards
            .iter()
            .filter_map(|g| {
                let key = g.get("key").text();
                Some(shown(key, state.items.get(key)?))
            })
            .collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = body.get("puts").list();
    let lease_ends = |put: &&Json| {
        let lease = put.get("lease").int();
        lease != 0 && !state.leases.contains_key(&lease)
    };
    if puts.iter().find(lease_ends).is_some() {
        return (404, "{}".into());
    }
    let deletes = body.get("deletes").list();
    if !puts.is_empty() || !deletes.is_empty() {
        state.revision += 1;
    }
    for put in puts {
        let (key, value) = (put.get("key").text(), put.get("value").text());
        state.put(key, value, put.get("lease").int());
    }
    for key in deletes {
        state.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = || {
            let hex = text.get(at + 1..at + 3)?;
            u8::from_str_radix(hex, 16).ok()
        };
        match bytes[at] {
            b'%' if hex().is_some() => {
                out.extend(hex());
                at += 3;
            }
            b'+' => {
                out.push(b' ');
                at += 1;
            }
            byte => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
