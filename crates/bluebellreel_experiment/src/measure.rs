//! Figures of a run.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Longest latency that is told apart, in µs.
const LONGEST: u64 = 600_000_000;

/// Latencies while they are gathered, in µs.
#[derive(Clone, Debug)]
pub(crate) struct Latencies(Histogram<u64>);

impl Latencies {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST, 3);
        Self(histogram.expect("the bounds are valid"))
    }

    pub(crate) fn note(&mut self, span: Duration) {
        let micros = u64::try_from(span.as_micros()).unwrap_or(LONGEST);
        self.0.saturating_record(micros.clamp(1, LONGEST));
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

/// Latencies in ms.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyFigures {
    /// Half are below.
    pub p50_ms: f64,
    /// 95 in 100 are below.
    pub p95_ms: f64,
    /// 99 in 100 are below.
    pub p99_ms: f64,
    /// Samples.
    pub count: u64,
}

/// What online callers saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct OnlineFigures {
    /// Requests that arrived, repetitions by callers left out.
    pub arrived: u64,
    /// Requests answered whole.
    pub completed: u64,
    /// Requests whose first token came in time and whose answer was whole.
    pub in_time: u64,
    /// Refusals.
    pub refused: u64,
    /// Requests given up after they had run.
    pub failed: u64,
    /// Attempts sent beyond the first of each request.
    pub retries: u64,
    /// First attempts sent.
    pub first_attempts: u64,
    /// Arrival to first token.
    pub first_token: LatencyFigures,
    /// Between two tokens of a request.
    pub inter_token: LatencyFigures,
    /// Longest gap between tokens of a request whose stream broke.
    pub broken_gap: LatencyFigures,
    /// From an arrival that needed a batch place to that place being free.
    pub preemption: LatencyFigures,
}

/// What batch got.
#[derive(Clone, Debug, Default, Serialize)]
pub struct BatchFigures {
    /// Items recorded.
    pub items: u64,
    /// Items recorded as failed.
    pub failed: u64,
    /// Items a second.
    pub items_per_second: f64,
    /// Tokens a second, those that were thrown away left out.
    pub tokens_per_second: f64,
    /// Tokens generated again or thrown away, in percent of all of batch's.
    pub wasted_percent: f64,
    /// Items that started after the end of their job was acknowledged.
    pub started_late: u64,
    /// The latest of them, in ms after it.
    pub latest_start_ms: f64,
    /// Attempts that gave way.
    pub preemptions: u64,
    /// Tokens served by team while all had work.
    pub served: BTreeMap<String, u64>,
}

/// One point of the plot.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Sample {
    /// Time, in seconds.
    pub at: f64,
    /// 95th percentile of first tokens since the last point, in ms.
    pub first_token_ms: f64,
    /// Batch tokens a second since the last point.
    pub batch_tokens: f64,
}

/// What a run measured.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// The mode's name.
    pub mode: &'static str,
    /// What online callers saw.
    pub online: OnlineFigures,
    /// What batch got.
    pub batch: BatchFigures,
    /// Tokens a second generated for online callers.
    pub online_tokens_per_second: f64,
    /// Engines that crashed under requests.
    pub engines_crashed: u64,
    /// Most bytes queued at one side process.
    pub most_queued_bytes: usize,
    /// Points of the plot.
    pub samples: Vec<Sample>,
}
