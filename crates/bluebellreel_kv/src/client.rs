//! Client of the key-value service.

use crate::gateway::{self, LeaseAnswer, RangeAnswer, RawKeyValue, StreamMessage, TxnAnswer};
use crate::outage::Outage;
use crate::{Backoff, CallBudget, Commit, Key, KeyValue, KvError, Txn};
use bluebellreel_http::is_unsent;
use bluebellreel_types::{Clock, Incarnation, Moment};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Number of keys read per page of a range.
const RANGE_PAGE: usize = 64;

/// Settings of a client.
#[derive(Clone, Debug)]
pub struct KvSettings {
    /// URL of the service, without a path.
    pub url: String,
    /// Timeout of one call.
    pub call_timeout: Duration,
    /// Maximum number of calls per second of this process.
    pub calls_per_second: u32,
}

/// Calls made so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KvCounts {
    /// Writes and lease calls.
    pub writes: u64,
    /// Reads.
    pub reads: u64,
    /// Calls that failed.
    pub failures: u64,
}

/// Sends one call, given its path and body, and returns the body of the response.
pub type KvTransport = Box<dyn Fn(&str, &Value) -> Result<Value, KvError> + Send + Sync>;

/// One page of a range.
struct RangePage {
    /// The keys that can be read.
    found: Vec<KeyValue>,
    revision: i64,
    /// Where the next page begins, if more keys follow.
    next: Option<Vec<u8>>,
}

/// A client of the key-value service, shared by reference.
pub struct KvClient {
    settings: KvSettings,
    send: KvTransport,
    clock: Clock,
    run: Incarnation,
    next_write: AtomicU64,
    budget: Mutex<CallBudget>,
    writes: AtomicU64,
    reads: AtomicU64,
    failures: AtomicU64,
    outage: Mutex<Outage>,
}

impl KvClient {
    /// Creates a client over HTTP for one run of a process.
    #[must_use]
    pub fn new(settings: KvSettings, run: Incarnation, clock: Clock) -> Self {
        let send = http_transport(&settings);
        Self::with_transport(send, settings, run, clock)
    }

    /// Creates a client over a given transport.
    #[must_use]
    pub fn with_transport(
        send: KvTransport,
        settings: KvSettings,
        run: Incarnation,
        clock: Clock,
    ) -> Self {
        let budget = CallBudget::new(settings.calls_per_second, clock.now());
        Self {
            settings,
            send,
            clock,
            run,
            next_write: AtomicU64::new(0),
            budget: Mutex::new(budget),
            writes: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            outage: Mutex::new(Outage::default()),
        }
    }

    /// Whether the service seems to be down: calls have been failing for a while
    /// and none has succeeded. New work that needs the service is then refused at
    /// once instead of waiting for a response that will not come. Calls made in the
    /// background, such as lease renewals, detect when the service is back.
    #[must_use]
    pub fn seems_down(&self) -> bool {
        self.outage
            .lock()
            .is_ok_and(|outage| outage.seems_down(self.clock.now()))
    }

    /// The current time by the client's clock.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// The service's URL.
    #[must_use]
    pub fn url(&self) -> &str {
        &self.settings.url
    }

    /// Numbers of writes, reads and failed calls so far.
    #[must_use]
    pub fn counts(&self) -> KvCounts {
        KvCounts {
            writes: self.writes.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            failures: self.failures.load(Ordering::Relaxed),
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be read.
    pub fn get(&self, key: &Key) -> Result<Option<KeyValue>, KvError> {
        let (mut found, _) = self.range_page(key, &[], 1, false)?;
        Ok(found.pop())
    }

    /// Reads all keys that start with `prefix`, and returns the revision of the
    /// first page. The pages are read one after the other, so a change made
    /// meanwhile may or may not be included; a watch from the returned revision
    /// delivers it in any case.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be read.
    pub fn list(&self, prefix: &Key) -> Result<(Vec<KeyValue>, i64), KvError> {
        self.list_from(prefix, prefix)
    }

    /// Reads the keys that start with `prefix` and are not less than `from`.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be read.
    pub fn list_from(&self, prefix: &Key, from: &Key) -> Result<(Vec<KeyValue>, i64), KvError> {
        let mut all = Vec::new();
        let mut revision = None;
        let mut from = from.as_str().as_bytes().to_vec();
        loop {
            let page = self.page(&from, &prefix.prefix_end(), RANGE_PAGE, false)?;
            let first_read = *revision.get_or_insert(page.revision);
            all.extend(page.found);
            match page.next {
                Some(next) => from = next,
                None => return Ok((all, first_read)),
            }
        }
    }

    /// Reads up to `limit` keys from `key` (inclusive) to `end` (exclusive), and
    /// returns whether more follow.
    ///
    /// # Errors
    ///
    /// Fails if the service cannot be read.
    pub fn range_page(
        &self,
        key: &Key,
        end: &[u8],
        limit: usize,
        keys_only: bool,
    ) -> Result<(Vec<KeyValue>, bool), KvError> {
        let mut from = key.as_str().as_bytes().to_vec();
        loop {
            let page = self.page(&from, end, limit, keys_only)?;
            match page.next {
                // The caller continues after the last key that it gets.
                Some(next) if page.found.is_empty() => from = next,
                next => return Ok((page.found, next.is_some())),
            }
        }
    }

    fn page(
        &self,
        from: &[u8],
        end: &[u8],
        limit: usize,
        keys_only: bool,
    ) -> Result<RangePage, KvError> {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let body = gateway::range_body(from, end, limit, keys_only);
        let answer: RangeAnswer = self.call("/v3/kv/range", &body)?;
        let last = answer.kvs.last().filter(|_| answer.more);
        let next = last.map(RawKeyValue::next_key).transpose();
        Ok(RangePage {
            next: next.map_err(KvError::Unknown)?,
            found: gateway::key_values(answer.kvs),
            revision: answer.header.revision,
        })
    }

    /// Commits a transaction. Retries until the outcome is known or `deadline` has
    /// passed.
    pub fn commit(&self, txn: &Txn, deadline: Moment) -> Commit {
        let number = self.next_write.fetch_add(1, Ordering::Relaxed);
        let writer = format!("{}-{number}", self.run);
        let body = gateway::txn_body(txn, &writer);
        let mut backoff = Backoff::default();
        let mut may_have_applied = false;
        loop {
            self.writes.fetch_add(1, Ordering::Relaxed);
            let reason = match self.call::<TxnAnswer>("/v3/kv/txn", &body) {
                Ok(answer) if answer.succeeded => {
                    let revision = answer.header.revision;
                    return Commit::Applied { revision };
                }
                Ok(answer) => return resolve_failed_guard(answer, txn, &writer),
                Err(KvError::Refused(reason)) => return Commit::NotDone(reason),
                Err(KvError::NotDone(reason)) => reason,
                Err(KvError::Unknown(reason)) => {
                    may_have_applied = true;
                    reason
                }
            };
            let pause = backoff.next(&mut rand::rng());
            if deadline.is_past(self.clock.now() + pause) {
                return if may_have_applied {
                    Commit::Unknown(reason)
                } else {
                    Commit::NotDone(reason)
                };
            }
            self.clock.wait(pause);
        }
    }

    /// Deletes all keys that start with `prefix`. Deletion is idempotent and is
    /// retried until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the last error if no attempt succeeds before `deadline`.
    pub fn delete_prefix(&self, prefix: &Key, deadline: Moment) -> Result<(), KvError> {
        let body = gateway::delete_body(prefix);
        let mut backoff = Backoff::default();
        loop {
            self.writes.fetch_add(1, Ordering::Relaxed);
            let Err(error) = self.call::<Value>("/v3/kv/txn", &body) else {
                return Ok(());
            };
            let pause = backoff.next(&mut rand::rng());
            if deadline.is_past(self.clock.now() + pause) {
                return Err(error);
            }
            self.clock.wait(pause);
        }
    }

    /// Requests a lease and returns its id.
    ///
    /// # Errors
    ///
    /// Fails if the service does not grant a lease.
    pub fn grant(&self, ttl: Duration) -> Result<i64, KvError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({ "TTL": ttl.as_secs().to_string() });
        let answer: LeaseAnswer = self.call("/v3/lease/grant", &body)?;
        Ok(answer.id)
    }

    /// Renews a lease and returns whether it still existed.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
    pub fn keep_alive(&self, lease: i64) -> Result<bool, KvError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({ "ID": lease.to_string() });
        let answer: StreamMessage<LeaseAnswer> = self.call("/v3/lease/keepalive", &body)?;
        Ok(answer.result.ttl > 0)
    }

    /// Revokes a lease.
    ///
    /// # Errors
    ///
    /// Fails if the service does not answer.
    pub fn revoke(&self, lease: i64) -> Result<(), KvError> {
        self.writes.fetch_add(1, Ordering::Relaxed);
        let body = json!({ "ID": lease.to_string() });
        self.call::<Value>("/v3/lease/revoke", &body).map(drop)
    }

    fn call<T: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<T, KvError> {
        let pause = match self.budget.lock() {
            Ok(mut budget) => budget.take(self.clock.now()),
            Err(_) => Duration::ZERO,
        };
        self.clock.wait(pause);
        let result = (self.send)(path, body).and_then(|answer| {
            serde_json::from_value(answer).map_err(|e| KvError::Unknown(e.to_string()))
        });
        let answered = matches!(result, Ok(_) | Err(KvError::Refused(_)));
        if !answered {
            self.failures.fetch_add(1, Ordering::Relaxed);
        }
        if let Ok(mut outage) = self.outage.lock() {
            outage.record(answered, self.clock.now());
        }
        result
    }
}

/// Maximum size of an answer, in bytes: some ten thousand keys with their values.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

fn http_transport(settings: &KvSettings) -> KvTransport {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(settings.call_timeout))
        .timeout_connect(Some(settings.call_timeout))
        .http_status_as_error(false)
        .build();
    let agent = config.new_agent();
    let url = settings.url.clone();
    Box::new(move |path, body| send_http(&agent, &format!("{url}{path}"), body))
}

fn send_http(agent: &ureq::Agent, url: &str, body: &Value) -> Result<Value, KvError> {
    let mut answer = agent.post(url).send_json(body).map_err(|e| classify(&e))?;
    let status = answer.status().as_u16();
    let unknown = |e: ureq::Error| KvError::Unknown(e.to_string());
    match status {
        200 => answer
            .body_mut()
            .with_config()
            .limit(MAX_ANSWER_BYTES)
            .read_json()
            .map_err(unknown),
        429 => Err(KvError::NotDone(
            "rate limited by the service (status 429)".into(),
        )),
        400..500 => {
            let text = answer.body_mut().read_to_string().unwrap_or_default();
            Err(KvError::Refused(text))
        }
        _ => Err(KvError::Unknown(format!(
            "expected status 200, got {status}"
        ))),
    }
}

/// Separates errors that occurred before anything was sent from all others.
fn classify(error: &ureq::Error) -> KvError {
    let reason = error.to_string();
    if is_unsent(error) {
        KvError::NotDone(reason)
    } else {
        KvError::Unknown(reason)
    }
}

/// Interprets a failed guard: either an earlier attempt of this write took effect,
/// or another client's write came first.
fn resolve_failed_guard(answer: TxnAnswer, txn: &Txn, writer: &str) -> Commit {
    let mut found = Vec::new();
    for response in answer.responses {
        let raw = response.response_range.unwrap_or_default().kvs;
        found.extend(gateway::key_values(raw));
    }
    let first = txn.puts.first().map(|put| &put.key);
    let own_write = found
        .iter()
        .find(|kv| Some(&kv.key) == first && kv.writer == writer);
    match own_write {
        Some(kv) => Commit::Applied {
            revision: kv.revision,
        },
        None => Commit::Beaten(found),
    }
}
