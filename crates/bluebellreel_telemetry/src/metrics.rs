//! Metrics in the Prometheus text format.

use prometheus_client::encoding::{EncodeLabelSet, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Upper bound of the first bucket of latency histograms, in seconds.
const FIRST_BUCKET: f64 = 0.001;
/// Factor between the bounds of two adjacent buckets.
const BUCKET_FACTOR: f64 = 1.6;
/// Number of buckets of latency histograms.
const BUCKETS: u16 = 24;

/// Label of counters by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// Outcome of the counted requests or attempts.
    pub outcome: &'static str,
}

/// Label of counters by model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ModelLabel {
    /// Name of the model or service.
    pub model: String,
}

/// Metrics of an entry daemon.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Online requests by outcome.
    pub requests: Family<OutcomeLabel, Counter>,
    /// Attempts at online requests beyond the first one.
    pub retries: Counter,
    /// Time from a request's arrival to its first token, in seconds.
    pub first_token: Histogram,
    /// Online requests in progress.
    pub in_progress: Gauge,
    /// Online requests answered within their deadline.
    pub in_time: Counter,
    /// Online requests that missed their deadline.
    pub late: Counter,
    /// Batch items whose results are recorded.
    pub items: Counter,
    /// Batch items recorded as failed.
    pub items_failed: Counter,
    /// Jobs owned by this daemon.
    pub jobs_owned: Gauge,
    /// Jobs taken over from an owner that was lost.
    pub takeovers: Counter,
    /// Bytes of results that are not recorded yet.
    pub unrecorded_bytes: Gauge,
    /// Calls to the key-value service.
    pub kv_calls: Gauge,
    /// Failed calls to the key-value service.
    pub kv_failures: Gauge,
    /// Generation of the manifest in force.
    pub generation: Gauge,
    /// Workers that this daemon is connected to.
    pub workers: Gauge,
    registry: Registry,
}

/// Registers a metric and returns it.
fn add<M: Clone + prometheus_client::registry::Metric>(
    registry: &mut Registry,
    name: &str,
    help: &str,
    metric: M,
) -> M {
    registry.register(name, help, metric.clone());
    metric
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS))
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let mut all = Registry::with_prefix("bluebellreel_entry");
        let r = &mut all;
        Self {
            requests: add(
                r,
                "requests",
                "Online requests by outcome",
                Family::default(),
            ),
            retries: add(
                r,
                "retries",
                "Attempts beyond the first",
                Counter::default(),
            ),
            first_token: add(
                r,
                "first_token_seconds",
                "Arrival to first token",
                latency(),
            ),
            in_progress: add(
                r,
                "in_progress",
                "Online requests in progress",
                Gauge::default(),
            ),
            in_time: add(
                r,
                "in_time",
                "Answered within the deadline",
                Counter::default(),
            ),
            late: add(r, "late", "Missed the deadline", Counter::default()),
            items: add(r, "batch_items", "Batch items recorded", Counter::default()),
            items_failed: add(
                r,
                "batch_items_failed",
                "Recorded as failed",
                Counter::default(),
            ),
            jobs_owned: add(r, "jobs_owned", "Jobs owned here", Gauge::default()),
            takeovers: add(r, "takeovers", "Jobs taken over", Counter::default()),
            unrecorded_bytes: add(r, "unrecorded_bytes", "Results to record", Gauge::default()),
            kv_calls: add(
                r,
                "kv_calls",
                "Calls to the key-value service",
                Gauge::default(),
            ),
            kv_failures: add(r, "kv_failures", "Failed calls to it", Gauge::default()),
            generation: add(
                r,
                "generation",
                "Manifest generation in force",
                Gauge::default(),
            ),
            workers: add(r, "workers", "Workers connected", Gauge::default()),
            registry: all,
        }
    }
}

/// Metrics of a side process.
#[derive(Debug)]
pub struct SideMetrics {
    /// Attempts by outcome.
    pub attempts: Family<OutcomeLabel, Counter>,
    /// Batch attempts that were preempted.
    pub preemptions: Counter,
    /// Online attempts running or waiting.
    pub online: Gauge,
    /// Batch attempts running.
    pub batch: Gauge,
    /// Generation of the manifest in force.
    pub generation: Gauge,
    registry: Registry,
}

impl Default for SideMetrics {
    fn default() -> Self {
        let mut all = Registry::with_prefix("bluebellreel_side");
        let r = &mut all;
        Self {
            attempts: add(r, "attempts", "Attempts by end", Family::default()),
            preemptions: add(
                r,
                "preemptions",
                "Batch attempts that gave way",
                Counter::default(),
            ),
            online: add(r, "online", "Online attempts here", Gauge::default()),
            batch: add(r, "batch", "Batch attempts running", Gauge::default()),
            generation: add(
                r,
                "generation",
                "Manifest generation in force",
                Gauge::default(),
            ),
            registry: all,
        }
    }
}

impl EntryMetrics {
    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        encode_metrics(&self.registry)
    }
}

impl SideMetrics {
    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        encode_metrics(&self.registry)
    }
}

/// Encodes a registry in the Prometheus text format.
#[must_use]
pub fn encode_metrics(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    encode(&mut text, registry).ok();
    text
}
