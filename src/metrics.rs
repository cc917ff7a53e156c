//! Metrics of a process, by `opentelemetry`, exposed in the Prometheus text format.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONTENT_TYPE;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TEXT_FORMAT;
use prometheus::TextEncoder;
use tokio::net::TcpListener;

use crate::peer::traffic::Traffic;
use crate::platform::client::CallCounters;
use crate::web;
use crate::web::HttpHandler;

/// Bucket bounds of the histogram of waiting times.
const WAIT_BOUNDS_S: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.32, 1.0, 3.0, 10.0, 60.0];

/// An error of the metrics.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Building the exporter failed.
    #[error("metrics: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// The metrics of a process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
    /// Service provided, in the pool's unit, by workspace and pool.
    pub service: Counter<u64>,
    /// Completed requests, by workspace and outcome.
    pub requests: Counter<u64>,
    /// Requests refused, by cause.
    pub refused: Counter<u64>,
    /// Placement decisions, by pool and reason.
    pub decisions: Counter<u64>,
    /// Retried requests, by pool.
    pub retries: Counter<u64>,
    /// Orders to engines, by whether they succeeded.
    pub orders: Counter<u64>,
    /// Seconds from the arrival of a request until it is sent to an upstream, by class.
    pub waits: Histogram<f64>,
}

impl Metrics {
    /// Registers the metrics and their exporter.
    pub fn new() -> Result<Metrics, Error> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("frostdyke");
        let waits = meter.f64_histogram("frostdyke_wait_seconds");
        Ok(Metrics {
            service: meter.u64_counter("frostdyke_service").build(),
            requests: meter.u64_counter("frostdyke_requests").build(),
            refused: meter.u64_counter("frostdyke_refused").build(),
            decisions: meter.u64_counter("frostdyke_decisions").build(),
            retries: meter.u64_counter("frostdyke_retries").build(),
            orders: meter.u64_counter("frostdyke_orders").build(),
            waits: waits.with_boundaries(WAIT_BOUNDS_S.to_vec()).build(),
            registry,
            provider,
            meter,
        })
    }

    /// The meter, for metrics that a program registers itself.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Registers a gauge whose values are read whenever the metrics are scraped.
    pub fn register_gauge(
        &self,
        name: &'static str,
        read: impl Fn() -> Vec<(f64, Vec<KeyValue>)> + Send + Sync + 'static,
    ) {
        self.meter
            .f64_observable_gauge(name)
            .with_callback(move |observer| {
                for (value, labels) in read() {
                    observer.observe(value, &labels);
                }
            })
            .build();
    }

    /// Registers a counter whose value is kept elsewhere and read when the metrics are scraped.
    pub fn register_counter(
        &self,
        name: &'static str,
        read: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        self.meter
            .u64_observable_counter(name)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Registers the counts of calls to the platform.
    pub fn register_store_calls(&self, calls: &Arc<CallCounters>) {
        let calls = calls.clone();
        self.register_gauge("frostdyke_store_calls", move || {
            let counts =
                [("read", &calls.reads), ("write", &calls.writes), ("watch", &calls.watches)];
            let value = |(kind, count): (&'static str, &AtomicU64)| {
                (count.load(Ordering::Relaxed) as f64, vec![KeyValue::new("kind", kind)])
            };
            counts.into_iter().map(value).collect()
        });
    }

    /// Registers the traffic between routers.
    pub fn register_peer_traffic(&self, traffic: &Arc<Traffic>) {
        let register = |name, read: fn(&Traffic) -> u64| {
            let traffic = traffic.clone();
            self.register_counter(name, move || read(&traffic));
        };
        register("frostdyke_peer_bytes_out", |t| t.bytes_out.load(Ordering::Relaxed));
        register("frostdyke_peer_bytes_in", |t| t.bytes_in.load(Ordering::Relaxed));
        register("frostdyke_peer_messages_out", |t| t.messages_out.load(Ordering::Relaxed));
        register("frostdyke_peer_messages_in", |t| t.messages_in.load(Ordering::Relaxed));
        register("frostdyke_peer_messages_lost", |t| t.messages_lost.load(Ordering::Relaxed));
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory doesn't fail; a metric that can't be encoded is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }

    /// Serves the metrics until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        web::serve(listener, 0, Arc::new(self), std::future::pending()).await;
    }

    /// Flushes pending metrics and shuts the exporter down.
    pub fn shutdown(&self) {
        let _ = self.provider.shutdown();
    }
}

impl HttpHandler for Metrics {
    fn handle(&self, _: Request<Bytes>) -> Response<Bytes> {
        let mut resp = Response::new(Bytes::from(self.render()));
        resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(TEXT_FORMAT));
        resp
    }
}
