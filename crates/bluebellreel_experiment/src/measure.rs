//! Figures of a simulation.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum latency that is recorded, in µs; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// A histogram of latencies in µs.
#[derive(Clone, Debug)]
pub(crate) struct Latencies(Histogram<u64>);

impl Latencies {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self(histogram.expect("the bounds are valid"))
    }

    pub(crate) fn record(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.0.saturating_record(micros.clamp(1, MAX_LATENCY_US));
    }

    pub(crate) fn figures(&self) -> LatencyFigures {
        let at = |share| millis(self.0.value_at_quantile(share));
        LatencyFigures {
            p50_ms: at(0.50),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            count: self.0.len(),
        }
    }
}

fn millis(micros: u64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "latencies are far below 2^52 µs"
    )]
    let micros = micros as f64;
    micros / 1_000.0
}

/// Percentiles of a latency, in ms.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyFigures {
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Number of samples.
    pub count: u64,
}

/// Figures of online requests.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OnlineFigures {
    /// Requests that arrived, without resends by callers.
    pub arrived: u64,
    /// Requests that completed.
    pub completed: u64,
    /// Requests that completed and whose first token arrived in time.
    pub in_time: u64,
    /// Requests that were refused without having run, counting each resend.
    pub refused: u64,
    /// Requests that failed after they had started to run.
    pub failed: u64,
    /// Attempts sent after the first one of each request.
    pub retries: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Time from arrival to first token.
    pub first_token: LatencyFigures,
    /// Time between two tokens of a request.
    pub inter_token: LatencyFigures,
    /// Maximum time between two tokens, for requests whose stream broke and was
    /// resumed.
    pub broken_gap: LatencyFigures,
    /// Time from the arrival of a request that needed a batch attempt's slot until the
    /// slot is free.
    pub preemption: LatencyFigures,
}

/// Figures of batch work.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BatchFigures {
    /// Items recorded.
    pub items: u64,
    /// Items recorded as failed.
    pub failed: u64,
    /// Items per second, estimated from the tokens and the mean item length.
    pub items_per_second: f64,
    /// Tokens per second, without discarded ones.
    pub tokens_per_second: f64,
    /// Tokens that were discarded or generated again, in percent of all batch tokens.
    pub wasted_percent: f64,
    /// Items that started after the end of their job was acknowledged.
    pub started_late: u64,
    /// Maximum time from that acknowledgement to the start of an item, in ms.
    pub latest_start_ms: f64,
    /// Attempts that were preempted.
    pub preemptions: u64,
    /// Tokens of leased items by team, while all teams had waiting items.
    pub served: BTreeMap<String, u64>,
}

/// One point of the plot.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Time since the start, in seconds.
    pub at: f64,
    /// 95th percentile of the time to first token since the last point, in ms.
    pub first_token_ms: f64,
    /// Batch tokens per second since the last point.
    pub batch_tokens: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Name of the mode.
    pub mode: &'static str,
    /// Figures of online requests.
    pub online: OnlineFigures,
    /// Figures of batch work.
    pub batch: BatchFigures,
    /// Tokens per second generated for online requests.
    pub online_tokens_per_second: f64,
    /// Number of engine crashes that requests caused.
    pub engines_crashed: u64,
    /// Maximum number of bytes queued at one side process.
    pub most_queued_bytes: usize,
    /// Points of the plot.
    pub samples: Vec<Sample>,
}
