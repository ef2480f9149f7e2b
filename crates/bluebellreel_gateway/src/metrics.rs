//! Counters and latencies of a gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// First bucket of latencies, in seconds.
const FIRST_BUCKET: f64 = 0.002;
/// Factor between buckets.
const BUCKET_FACTOR: f64 = 1.8;
/// Number of buckets: the last one ends above 10 s.
const BUCKETS: u16 = 16;

/// How something ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Outcome {
    pub(crate) outcome: &'static str,
}

/// Metrics of one gateway.
pub(crate) struct Metrics {
    pub(crate) requests: Family<Outcome, Counter>,
    pub(crate) first_event: Histogram,
    pub(crate) resumed: Counter,
    pub(crate) jobs: Family<Outcome, Counter>,
    pub(crate) job_accepted: Histogram,
    pub(crate) items: Family<Outcome, Counter>,
    pub(crate) yields: Counter,
    pub(crate) in_progress: Gauge,
    pub(crate) store_calls: Gauge,
    pub(crate) store_failures: Gauge,
    pub(crate) workers: Gauge,
    pub(crate) peers: Gauge,
    pub(crate) jobs_owned: Gauge,
    pub(crate) lines_dropped: Gauge,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bluebellreel");
        let latency = || Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS));
        let metrics = Self {
            requests: Family::default(),
            first_event: latency(),
            resumed: Counter::default(),
            jobs: Family::default(),
            job_accepted: latency(),
            items: Family::default(),
            yields: Counter::default(),
            in_progress: Gauge::default(),
            store_calls: Gauge::default(),
            store_failures: Gauge::default(),
            workers: Gauge::default(),
            peers: Gauge::default(),
            jobs_owned: Gauge::default(),
            lines_dropped: Gauge::default(),
            registry: Registry::default(),
        };
        let r = &mut registry;
        r.register("requests", "Requests by outcome", metrics.requests.clone());
        r.register(
            "first_event_seconds",
            "From arrival to the first event",
            metrics.first_event.clone(),
        );
        r.register(
            "resumed",
            "Streams that went on at another worker",
            metrics.resumed.clone(),
        );
        r.register(
            "jobs",
            "Batch jobs by outcome of their submission",
            metrics.jobs.clone(),
        );
        r.register(
            "job_accepted_seconds",
            "From arrival to acceptance",
            metrics.job_accepted.clone(),
        );
        r.register(
            "items",
            "Runs of batch items by outcome",
            metrics.items.clone(),
        );
        r.register(
            "yields",
            "Batch runs that made room",
            metrics.yields.clone(),
        );
        r.register(
            "in_progress",
            "Requests in progress",
            metrics.in_progress.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store",
            metrics.store_calls.clone(),
        );
        r.register(
            "store_failures",
            "Calls to the store that failed",
            metrics.store_failures.clone(),
        );
        r.register("workers", "Workers listed", metrics.workers.clone());
        r.register("peers", "Peers heard", metrics.peers.clone());
        r.register("jobs_owned", "Jobs owned", metrics.jobs_owned.clone());
        r.register(
            "log_lines_dropped",
            "Log lines dropped as nobody read them",
            metrics.lines_dropped.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }
}

impl Metrics {
    /// Counts a request's outcome.
    pub(crate) fn request(&self, outcome: &'static str) {
        self.requests.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts an item run's outcome.
    pub(crate) fn item(&self, outcome: &'static str) {
        self.items.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a submission's outcome.
    pub(crate) fn job(&self, outcome: &'static str) {
        self.jobs.get_or_create(&Outcome { outcome }).inc();
    }

    /// All metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        encode(&mut text, &self.registry).unwrap_or_default();
        text
    }
}
