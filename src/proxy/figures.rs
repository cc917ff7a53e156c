//! The proxy's counters and histograms.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;

use crate::metrics::Metrics;
use crate::proxy::placed::Placed;

/// Bounds of the histograms of times, in seconds; denser around the usual aims.
const TIME_BOUNDS: [f64; 12] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.2, 3.0, 10.0];

/// The proxy's counters and histograms.
#[derive(Clone)]
pub struct Figures {
    metrics: Metrics,
    refused: Counter<u64>,
    ended: Counter<u64>,
    times: Histogram<f64>,
    first_expected: Histogram<f64>,
    first_real: Histogram<f64>,
}

impl Figures {
    /// Figures that nobody has asked for yet.
    pub fn new(metrics: Metrics) -> Figures {
        let meter = metrics.meter();
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(TIME_BOUNDS.to_vec()).build()
        };
        Figures {
            refused: meter.u64_counter("frostdyke_proxy_refused").build(),
            ended: meter.u64_counter("frostdyke_proxy_ended").build(),
            times: histogram("frostdyke_proxy_seconds"),
            first_expected: histogram("frostdyke_first_token_expected_seconds"),
            first_real: histogram("frostdyke_first_token_seconds"),
            metrics,
        }
    }

    /// The page of all figures.
    pub fn page(&self) -> Vec<u8> {
        self.metrics.page()
    }

    /// Counts a refusal by its cause.
    pub fn refused(&self, cause: &'static str) {
        self.refused.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts the end of a request by its route.
    pub fn ended(&self, route: &str, outcome: &'static str, took: Duration) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.ended.add(1, &labels);
        self.times.record(took.as_secs_f64(), &labels[..1]);
    }

    /// Notes the expected and the real time to a request's first token.
    pub fn first_token(&self, placed: &Placed, real: Duration) {
        self.first_expected.record(placed.expected().as_secs_f64(), &[]);
        self.first_real.record(real.as_secs_f64(), &[]);
    }
}
