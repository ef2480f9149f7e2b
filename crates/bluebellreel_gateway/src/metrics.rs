//! Metrics of a gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Metric, Registry};

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET: f64 = 0.002;
/// Ratio of the upper bounds of adjacent buckets.
const BUCKET_FACTOR: f64 = 1.8;
/// Number of buckets: the upper bound of the last one is above 10 s.
const BUCKETS: u16 = 16;

/// Label of counters by outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Outcome {
    pub(crate) outcome: &'static str,
}

/// Label of counts of workers by what outcomes say about them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkerStanding {
    pub(crate) standing: &'static str,
}

/// Labels of resumptions.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Resumption {
    /// Who resumes: `gateway`, `caller` or `item`.
    pub(crate) by: &'static str,
    pub(crate) outcome: &'static str,
}

/// Label of counts by team.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TeamOutcome {
    pub(crate) team: String,
    pub(crate) outcome: &'static str,
}

/// Labels of calls to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StoreCall {
    /// What the call does.
    pub(crate) call: &'static str,
    /// First part of the keys that it concerns; empty for leases.
    pub(crate) keys: String,
}

/// Metrics of one gateway.
pub(crate) struct Metrics {
    pub(crate) requests: Family<Outcome, Counter>,
    pub(crate) first_event: Histogram,
    /// Longest pause of each stream.
    pub(crate) pause: Histogram,
    pub(crate) resumed: Counter,
    /// Resumptions of streams and items, by who resumes and whether they go on at the
    /// version that began them.
    pub(crate) resumptions: Family<Resumption, Counter>,
    /// Records of the versions that began streams, by outcome.
    pub(crate) origins: Family<Outcome, Counter>,
    pub(crate) jobs: Family<Outcome, Counter>,
    pub(crate) job_accepted: Histogram,
    pub(crate) items: Family<Outcome, Counter>,
    /// Cancellations of jobs, by how this gateway learned of them or notified the owner.
    pub(crate) job_ends: Family<Outcome, Counter>,
    /// Age of the store's last confirmation of an item's job when the item was sent.
    pub(crate) confirmation_age: Histogram,
    /// Items that were completed after their job was due.
    pub(crate) items_late: Counter,
    pub(crate) items_waiting_in_time: Gauge,
    pub(crate) items_waiting_late: Gauge,
    pub(crate) yields: Counter,
    pub(crate) store_call: Histogram,
    /// Age of the oldest peer's report that a choice of a worker was based on.
    pub(crate) report_age: Histogram,
    /// Entries of the store that could not be used, counted once per revision.
    pub(crate) unreadable: Counter,
    /// Runs of this gateway during which their worker crashed.
    pub(crate) crashes: Counter,
    /// Requests that have crashed workers and are remembered.
    pub(crate) suspects: Gauge,
    /// Parts of prompts that have crashed workers and are remembered.
    pub(crate) suspect_parts: Gauge,
    pub(crate) quarantined_parts: Gauge,
    /// Requests and items held back, as such or for a part of their prompts, trial runs,
    /// and what answers have cleared.
    pub(crate) quarantines: Family<Outcome, Counter>,
    /// Callers' connections that were closed unread.
    pub(crate) connections_shed: Counter,
    pub(crate) callers_bytes: Gauge,
    pub(crate) closed_for_room: Gauge,
    pub(crate) refused_for_room: Gauge,
    pub(crate) in_progress: Gauge,
    pub(crate) store_calls: Gauge,
    pub(crate) store_calls_by_purpose: Family<StoreCall, Counter>,
    pub(crate) store_failures: Gauge,
    pub(crate) workers: Gauge,
    pub(crate) peers: Gauge,
    /// Ready workers, by what the outcomes of runs say about them.
    pub(crate) workers_by_standing: Family<WorkerStanding, Gauge>,
    /// Callers' requests that were sent to a failing worker for lack of others.
    pub(crate) sent_to_failing: Counter,
    pub(crate) jobs_owned: Gauge,
    pub(crate) copies_bytes: Gauge,
    pub(crate) configuration_version: Gauge,
    /// Requests of the largest teams with a rate limit, and of all others together.
    pub(crate) team_requests: Family<TeamOutcome, Gauge>,
    /// Share of the teams' rates that this gateway counts on, in percent.
    pub(crate) rate_share: Gauge,
    /// Requests over their team's limit, by what became of them.
    pub(crate) token_claims: Family<Outcome, Counter>,
    /// Reserved tokens of all teams.
    pub(crate) reservations: Gauge,
    pub(crate) lines_dropped: Gauge,
    /// Peers' reports that were not forwarded because too many waited.
    pub(crate) reports_dropped: Counter,
    /// Parts of peers' reports that were ignored because of their content.
    pub(crate) reports_invalid: Counter,
    registry: Registry,
}

/// Registers a metric and returns it.
fn add<M: Metric + Clone>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M {
    registry.register(name, help, metric.clone());
    metric
}

fn latency(registry: &mut Registry, name: &str, help: &str) -> Histogram {
    let buckets = exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS);
    add(registry, name, help, Histogram::new(buckets))
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    add(registry, name, help, Gauge::default())
}

fn counter(registry: &mut Registry, name: &str, help: &str) -> Counter {
    add(registry, name, help, Counter::default())
}

fn by_outcome(registry: &mut Registry, name: &str, help: &str) -> Family<Outcome, Counter> {
    add(registry, name, help, Family::default())
}

fn by_purpose(registry: &mut Registry, name: &str, help: &str) -> Family<StoreCall, Counter> {
    add(registry, name, help, Family::default())
}

fn by_standing(registry: &mut Registry, name: &str, help: &str) -> Family<WorkerStanding, Gauge> {
    add(registry, name, help, Family::default())
}

fn by_resumer(registry: &mut Registry, name: &str, help: &str) -> Family<Resumption, Counter> {
    add(registry, name, help, Family::default())
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("bluebellreel");
        let r = &mut registry;
        Self {
            requests: by_outcome(r, "requests", "Requests by outcome"),
            first_event: latency(r, "first_event_seconds", "From arrival to the first event"),
            pause: latency(r, "pause_seconds", "Longest pause of each stream"),
            resumed: counter(r, "resumed", "Streams that went on at another worker"),
            resumptions: by_resumer(r, "resumptions", "Resumptions by outcome"),
            origins: by_outcome(r, "origins", "Records of streams' versions by outcome"),
            jobs: by_outcome(r, "jobs", "Batch jobs by outcome of their submission"),
            job_accepted: latency(r, "job_accepted_seconds", "From arrival to acceptance"),
            items: by_outcome(r, "items", "Runs of batch items by outcome"),
            job_ends: by_outcome(r, "job_ends", "Ends of jobs by how they were learned"),
            confirmation_age: latency(r, "confirmation_age_seconds", "Of jobs of items sent"),
            items_late: counter(r, "items_late", "Items completed after they were due"),
            items_waiting_in_time: gauge(r, "items_waiting_in_time", "Items that can be in time"),
            items_waiting_late: gauge(r, "items_waiting_late", "Items that cannot be in time"),
            yields: counter(r, "yields", "Batch runs that made room"),
            store_call: latency(r, "store_call_seconds", "Calls to the store but watches"),
            report_age: latency(r, "report_age_seconds", "Oldest report behind a choice"),
            unreadable: counter(r, "unreadable_entries", "Entries that could not be used"),
            crashes: counter(r, "crashes", "Runs under which a worker crashed"),
            suspects: gauge(r, "suspects", "Requests that workers crashed under"),
            suspect_parts: gauge(r, "suspect_parts", "Prompt parts that workers crashed on"),
            quarantined_parts: gauge(r, "quarantined_parts", "Parts of prompts held back"),
            quarantines: by_outcome(r, "quarantines", "Held back, on trial, cleared"),
            connections_shed: counter(r, "connections_shed", "Callers' connections closed unread"),
            callers_bytes: gauge(r, "callers_bytes", "Memory held for callers"),
            closed_for_room: gauge(r, "closed_for_room", "Callers closed for others"),
            refused_for_room: gauge(r, "refused_for_room", "Callers refused for want of room"),
            in_progress: gauge(r, "in_progress", "Requests in progress"),
            store_calls: gauge(r, "store_calls", "Calls to the store"),
            store_calls_by_purpose: by_purpose(r, "store_calls_by_purpose", "Calls by purpose"),
            store_failures: gauge(r, "store_failures", "Calls to the store that failed"),
            workers: gauge(r, "workers", "Workers listed"),
            peers: gauge(r, "peers", "Peers heard"),
            workers_by_standing: by_standing(r, "workers_by_standing", "Ready workers"),
            sent_to_failing: counter(r, "sent_to_failing", "Requests sent to failing workers"),
            jobs_owned: gauge(r, "jobs_owned", "Jobs owned"),
            copies_bytes: gauge(r, "copies_bytes", "Progress kept of peers' items"),
            configuration_version: gauge(r, "configuration_version", "Configuration in force"),
            team_requests: add(r, "team_requests", "Requests by team", Family::default()),
            rate_share: gauge(r, "rate_share_percent", "Share of the teams' rates in use"),
            token_claims: by_outcome(r, "token_claims", "Requests over a team's limit by outcome"),
            reservations: gauge(r, "reservations", "Tokens reserved for refused callers"),
            lines_dropped: gauge(r, "log_lines_dropped", "Log lines dropped unread"),
            reports_dropped: counter(r, "reports_dropped", "Reports not forwarded"),
            reports_invalid: counter(r, "reports_invalid", "Parts of reports ignored"),
            registry,
        }
    }
}

impl Metrics {
    /// Counts a request's outcome.
    pub(crate) fn request(&self, outcome: &'static str) {
        self.requests.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts a resumption's outcome.
    pub(crate) fn resumption(&self, by: &'static str, outcome: &'static str) {
        let labels = Resumption { by, outcome };
        self.resumptions.get_or_create(&labels).inc();
    }

    /// Counts the outcome of recording which version began a stream.
    pub(crate) fn origin(&self, outcome: &'static str) {
        self.origins.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts an item run's outcome.
    pub(crate) fn item(&self, outcome: &'static str) {
        self.items.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts what became of a request or item that crashes speak against.
    pub(crate) fn quarantine(&self, outcome: &'static str) {
        self.quarantines.get_or_create(&Outcome { outcome }).inc();
    }

    /// Counts how the cancellation of a job was learned, or its owner notified.
    pub(crate) fn job_end(&self, outcome: &'static str) {
        self.job_ends.get_or_create(&Outcome { outcome }).inc();
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
