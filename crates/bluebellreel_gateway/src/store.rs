//! Calls to the platform's store.
//!
//! A call without an answer times out, and its connection is never reused. A write
//! without an answer may have taken effect, or may take effect seconds later while its
//! guards hold: [`StoreClient::commit`] repeats it unchanged until its outcome is known.

use crate::metrics::StoreCall;
use bluebellreel_kv::{Commit, Compare, Key, KeyValue, KvError, Txn};
use bluebellreel_net::{Pool, PoolLimits, Reuse, SendError};
use bluebellreel_platform::store::{self, Lease, Page, TxnOutcome, Watched};
use bytes::Bytes;
use futures::future::LocalBoxFuture;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::error::Elapsed;
use tokio::time::{Instant, sleep, timeout_at};

/// Timeout of a call. The store answers in about 4 ms normally, and up to fifty times
/// more slowly under adverse conditions.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle timeout of connections to the store.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of idle connections.
const MAX_IDLE: usize = 4;
/// Pause before a rejected or lost call is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);
/// Size limit of an entry that holds a few fields. It allows for later versions with more.
pub(crate) const MAX_SMALL_ENTRY_BYTES: usize = 16 * 1024;
/// Maximum size of an answer.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// The store counts as lost once every direct call has failed for this time. A single
/// call may fail because of a reset connection.
const LOST_AFTER: Duration = Duration::from_millis(500);
/// Minimum time for which every direct call must have failed for this to count as an
/// outage. Leases expire only in longer outages, but this daemon may have made its first
/// call late in one.
const MIN_OUTAGE: Duration = Duration::from_millis(250);
/// Time after the start within which a reachable store has answered: an answer takes
/// about 4 ms, and a new daemon calls the store at once.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// How much longer than its requested duration a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// A period in which every direct call failed.
#[derive(Clone, Copy)]
struct Outage {
    began: Instant,
    ended: Instant,
}

/// Status and body of an answer.
pub(crate) type StoreAnswer = Result<(StatusCode, Bytes), KvError>;
/// Makes a call through a peer; returns `None` if no peer reaches the store.
pub(crate) type PeerProxy =
    Box<dyn Fn(Request<Bytes>, Duration) -> Option<LocalBoxFuture<'static, StoreAnswer>>>;

/// A key that a transaction concerns.
fn first_key(txn: &Txn) -> &str {
    let guarded = txn.compares.first().map(|compare| match compare {
        Compare::Unchanged(key, _) | Compare::Absent(key) => key,
    });
    let written = txn.puts.first().map(|put| &put.key);
    let key = guarded.or(written).or(txn.deletes.first());
    key.map_or("", |key| key.as_str())
}

/// Whether the store has processed a call.
fn is_answered(answer: &StoreAnswer) -> bool {
    let rejected = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    matches!(answer, Ok((status, _)) if !rejected.contains(status))
}

/// A client of the store.
///
/// The store may reject one daemon's calls and serve the others. Such a daemon makes its
/// calls through a peer, and tries a direct call at each renewal of its lease.
pub(crate) struct StoreClient {
    pool: Pool,
    address: SocketAddr,
    calls: Cell<u64>,
    failures: Cell<u64>,
    /// Since when every direct call has failed.
    failing_since: Cell<Option<Instant>>,
    started: Instant,
    last_outage: Cell<Option<Outage>>,
    /// When a call succeeded last, directly or through a peer.
    answered_at: Cell<Option<Instant>>,
    proxy: RefCell<Option<PeerProxy>>,
    /// Latencies of answered calls except watches, whose answers are delayed.
    latency: Histogram,
    by_purpose: Family<StoreCall, Counter>,
}

impl StoreClient {
    pub(crate) fn new(
        address: SocketAddr,
        memory: usize,
        latency: Histogram,
        by_purpose: Family<StoreCall, Counter>,
    ) -> Self {
        let limits = PoolLimits {
            connect: CONNECT_TIMEOUT,
            idle: IDLE_TIMEOUT,
            idle_per_address: MAX_IDLE,
            memory,
        };
        Self {
            pool: Pool::new(limits),
            address,
            calls: Cell::new(0),
            failures: Cell::new(0),
            failing_since: Cell::new(None),
            started: Instant::now(),
            last_outage: Cell::new(None),
            answered_at: Cell::new(None),
            proxy: RefCell::new(None),
            latency,
            by_purpose,
        }
    }

    /// Counts a call by its purpose. `key` is one of the keys that it concerns.
    fn count(&self, call: &'static str, key: &str) {
        let keys = key.split('/').next().unwrap_or(key).to_owned();
        let purpose = StoreCall { call, keys };
        self.by_purpose.get_or_create(&purpose).inc();
    }

    /// Sets the function that makes calls through peers.
    pub(crate) fn set_peer_proxy(&self, proxy: PeerProxy) {
        *self.proxy.borrow_mut() = Some(proxy);
    }

    /// Number of calls made and number of calls that failed.
    pub(crate) fn counts(&self) -> (u64, u64) {
        (self.calls.get(), self.failures.get())
    }

    /// Whether this daemon's direct calls have failed for longer than [`LOST_AFTER`].
    pub(crate) fn is_lost(&self) -> bool {
        let failing = self.failing_since.get();
        failing.is_some_and(|since| since.elapsed() > LOST_AFTER)
    }

    /// How long every direct call has failed; none while direct calls succeed.
    pub(crate) fn failing_for(&self) -> Option<Duration> {
        Some(self.failing_since.get()?.elapsed())
    }

    /// Whether the store has had time to answer since this daemon's start, and no call
    /// has succeeded.
    pub(crate) fn has_never_answered(&self) -> bool {
        let store_had_time =
            self.failures.get() > 0 || self.started.elapsed() > FIRST_ANSWER_TIMEOUT;
        store_had_time && self.answered_at.get().is_none()
    }

    /// How long ago a call succeeded last, directly or through a peer.
    pub(crate) fn since_last_answer(&self) -> Option<Duration> {
        Some(self.answered_at.get()?.elapsed())
    }

    /// How long ago the last outage ended.
    pub(crate) fn since_outage_end(&self) -> Option<Duration> {
        Some(self.last_outage.get()?.ended.elapsed())
    }

    /// How long ago the last outage began, according to this daemon's calls.
    pub(crate) fn since_outage_start(&self) -> Option<Duration> {
        Some(self.last_outage.get()?.began.elapsed())
    }

    /// How long the store has served this daemon without an outage.
    pub(crate) fn served_for(&self) -> Duration {
        if self.failing_since.get().is_some() {
            return Duration::ZERO;
        }
        self.since_outage_end()
            .unwrap_or_else(|| self.started.elapsed())
    }

    /// Makes a call: through a peer while the store is lost, else directly.
    async fn call(&self, req: Request<Bytes>, max_time: Duration) -> StoreAnswer {
        let via_peer = self.is_lost();
        self.call_by(via_peer, req, max_time).await
    }

    /// Makes a call through a peer if `via_peer` is set and a peer reaches the store;
    /// else directly.
    async fn call_by(
        &self,
        via_peer: bool,
        req: Request<Bytes>,
        max_time: Duration,
    ) -> StoreAnswer {
        self.calls.set(self.calls.get() + 1);
        let begun = Instant::now();
        let proxy = if via_peer {
            let proxy = self.proxy.borrow();
            proxy.as_ref().and_then(|d| d(req.clone(), max_time))
        } else {
            None
        };
        let answer = match proxy {
            Some(proxy) => proxy.await,
            None => self.call_directly(req, max_time).await,
        };
        if is_answered(&answer) {
            self.answered_at.set(Some(Instant::now()));
            if max_time <= CALL_TIMEOUT {
                self.latency.observe(begun.elapsed().as_secs_f64());
            }
        } else {
            self.failures.set(self.failures.get() + 1);
        }
        answer
    }

    /// Makes a call from this VM. An answer to a read that is longer than this daemon takes
    /// counts as one with the status 413: the store is not lost.
    pub(crate) async fn call_directly(
        &self,
        mut req: Request<Bytes>,
        max_time: Duration,
    ) -> StoreAnswer {
        if let Ok(host) = header::HeaderValue::try_from(self.address.to_string()) {
            req.headers_mut().insert(header::HOST, host);
        }
        let is_read = req.method() == Method::GET;
        let until = Instant::now() + max_time;
        let sent = async {
            let req = req.map(Full::new);
            let sent = self.pool.send(self.address, req, Reuse::Any);
            let mut reply = match timeout_at(until, sent).await? {
                Ok(reply) => reply,
                Err(SendError::Unsent(reason)) => return Ok(Err(KvError::NotDone(reason))),
                Err(SendError::Unknown(reason)) => return Ok(Err(KvError::Unknown(reason))),
            };
            let body = reply.body.whole_by(MAX_ANSWER_BYTES, until).await?;
            Ok::<StoreAnswer, Elapsed>(match body {
                Ok(body) => Ok((reply.head.status, body)),
                Err(_) if is_read && reply.body.bytes_read() > MAX_ANSWER_BYTES as u64 => {
                    Ok((StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()))
                }
                Err(e) => Err(KvError::Unknown(e.to_string())),
            })
        };
        let answer = sent.await.unwrap_or_else(|_| {
            // The idle connections to the store may all be dead.
            self.pool.drop_idle(self.address);
            Err(KvError::Unknown("no answer in time".into()))
        });
        if is_answered(&answer) {
            if let Some(began) = self.failing_since.take()
                && began.elapsed() >= MIN_OUTAGE
            {
                let ended = Instant::now();
                self.last_outage.set(Some(Outage { began, ended }));
            }
        } else if self.failing_since.get().is_none() {
            self.failing_since.set(Some(Instant::now()));
        }
        answer
    }

    /// Reads one key.
    pub(crate) async fn read(&self, key: &Key) -> Result<Option<KeyValue>, KvError> {
        self.count("read", key.as_str());
        let (status, body) = self.call(store::read_call(key), CALL_TIMEOUT).await?;
        store::read_answer(status, &body)
    }

    /// Reads all keys that start with `prefix`. Also returns the revision of the first
    /// page: a watch after it delivers every later change. Values above `max_value_bytes`
    /// are cut: a prefix may hold any number of entries of other writers.
    pub(crate) async fn list(
        &self,
        prefix: &Key,
        max_value_bytes: usize,
    ) -> Result<(Vec<KeyValue>, i64), KvError> {
        self.list_pages(prefix, max_value_bytes, true).await
    }

    /// As [`Self::list`], at a tenth of the price, but the answer may be seconds old. It is
    /// enough where a guarded write follows, or where the next list comes soon.
    pub(crate) async fn list_stale(
        &self,
        prefix: &Key,
        max_value_bytes: usize,
    ) -> Result<(Vec<KeyValue>, i64), KvError> {
        self.list_pages(prefix, max_value_bytes, false).await
    }

    /// Reads the next keys that start with `prefix`, after one of them: as many as the store
    /// gives at once.
    pub(crate) async fn list_page(
        &self,
        prefix: &Key,
        after: Option<&Key>,
        max_value_bytes: usize,
        is_fresh: bool,
    ) -> Result<Page, KvError> {
        let call = store::list_call(prefix, after, is_fresh);
        let name = if is_fresh { "list" } else { "list stale" };
        self.count(name, prefix.as_str());
        let (status, body) = self.call(call, CALL_TIMEOUT).await?;
        store::list_answer(status, &body, max_value_bytes)
    }

    async fn list_pages(
        &self,
        prefix: &Key,
        max_value_bytes: usize,
        is_fresh: bool,
    ) -> Result<(Vec<KeyValue>, i64), KvError> {
        let mut all = Vec::new();
        let mut revision = None;
        loop {
            let after = all.last().map(|kv: &KeyValue| kv.key.clone());
            let Page {
                items,
                truncated,
                revision: page_revision,
            } = self
                .list_page(prefix, after.as_ref(), max_value_bytes, is_fresh)
                .await?;
            let page_revision = *revision.get_or_insert(page_revision);
            let last_page = !truncated || items.is_empty();
            all.extend(items);
            if last_page {
                return Ok((all, page_revision));
            }
        }
    }

    /// Waits up to `wait` for changes of keys that start with `prefix`.
    pub(crate) async fn watch(
        &self,
        prefix: &Key,
        after: i64,
        wait: Duration,
    ) -> Result<Watched, KvError> {
        self.count("watch", prefix.as_str());
        let call = store::watch_call(prefix, after, wait);
        let (status, body) = self.call(call, wait + WATCH_SLACK).await?;
        store::watch_answer(status, &body)
    }

    /// Checks whether guards hold; returns the guarded keys' values if one does not.
    pub(crate) async fn check(
        &self,
        guards: Vec<Compare>,
        via_peer: bool,
    ) -> Result<TxnOutcome, KvError> {
        let txn = Txn {
            compares: guards,
            ..Txn::default()
        };
        self.count("check", first_key(&txn));
        let call = self.call_by(via_peer, store::txn_call(&txn), CALL_TIMEOUT);
        let (status, body) = call.await?;
        store::txn_answer(status, &body)
    }

    /// Creates a lease.
    pub(crate) async fn lease(&self, ttl: Duration) -> Result<Lease, KvError> {
        self.count("lease", "");
        let (status, body) = self.call(store::lease_call(ttl), CALL_TIMEOUT).await?;
        store::lease_answer(status, &body)
    }

    /// Renews a lease. Returns whether it was still alive. Renewals always try a direct
    /// call first, and thereby detect when the store accepts direct calls again. Other
    /// calls do not, since a caller may be waiting for them.
    pub(crate) async fn renew(&self, lease: i64) -> Result<bool, KvError> {
        self.count("renew", "");
        let mut answer = self
            .call_by(false, store::renew_call(lease), CALL_TIMEOUT)
            .await;
        if !is_answered(&answer) {
            answer = self
                .call_by(true, store::renew_call(lease), CALL_TIMEOUT)
                .await;
        }
        let (status, _) = answer?;
        store::renew_answer(status)
    }

    /// Revokes a lease.
    pub(crate) async fn release(&self, lease: i64) -> Result<(), KvError> {
        self.count("release", "");
        self.call(store::release_call(lease), CALL_TIMEOUT).await?;
        Ok(())
    }

    /// Makes a write, repeating it unchanged until its outcome is known or `until` is
    /// reached.
    ///
    /// If an attempt's answer was lost and a guard fails at the next attempt, the
    /// first one may itself have changed the guarded key: [`Commit::Beaten`] returns
    /// the guarded keys' values, so that the caller can recognise its own write.
    pub(crate) async fn commit(&self, txn: &Txn, until: Instant) -> Commit {
        let mut unknown_reason = None;
        let mut via_peer = self.is_lost();
        loop {
            self.count("write", first_key(txn));
            let call = self.call_by(via_peer, store::txn_call(txn), CALL_TIMEOUT);
            let attempt = match call.await {
                Ok((status, body)) => store::txn_answer(status, &body),
                Err(e) => Err(e),
            };
            let reason = match attempt {
                Ok(TxnOutcome::Done(revision)) => return Commit::Applied { revision },
                Ok(TxnOutcome::Conflict(items)) => return Commit::Beaten(items),
                Ok(TxnOutcome::NoLease) => return Commit::NotDone("the lease has ended".into()),
                Err(KvError::Refused(reason)) => return Commit::NotDone(reason),
                Err(KvError::NotDone(reason)) => reason,
                Err(KvError::Unknown(reason)) => {
                    unknown_reason = Some(reason.clone());
                    reason
                }
            };
            if Instant::now() + REPEAT_PAUSE >= until {
                return match unknown_reason {
                    Some(reason) => Commit::Unknown(reason),
                    None => Commit::NotDone(reason),
                };
            }
            // The other route, direct or through a peer, is tried at once, with a
            // pause only after both have failed.
            via_peer = !via_peer;
            if !via_peer {
                sleep(REPEAT_PAUSE).await;
            }
        }
    }
}
