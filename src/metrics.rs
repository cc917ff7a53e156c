//! Figures of a process, by `opentelemetry`, on a page in Prometheus' format.

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
use crate::web::Page;

/// Bounds of the histograms of waits, in seconds.
const WAIT_BOUNDS: [f64; 12] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.32, 1.0, 3.0, 10.0, 60.0];

/// Why metrics can't be served.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The exporter can't be built.
    #[error("metrics: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
}

/// The figures of a process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
    /// Service given, in the pool's unit, by workspace and pool.
    pub service: Counter<u64>,
    /// Requests ended, by workspace and outcome.
    pub requests: Counter<u64>,
    /// Requests refused, by cause.
    pub refused: Counter<u64>,
    /// Placement decisions, by pool and reason.
    pub decisions: Counter<u64>,
    /// Requests sent again, by pool.
    pub retries: Counter<u64>,
    /// Orders to engines, by whether they were done.
    pub orders: Counter<u64>,
    /// Seconds from arrival to being sent, by class.
    pub waits: Histogram<f64>,
}

impl Metrics {
    /// Metrics that nobody has asked for yet.
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
            waits: waits.with_boundaries(WAIT_BOUNDS.to_vec()).build(),
            registry,
            provider,
            meter,
        })
    }

    /// What further figures are made by.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Shows a figure that is read when the page is.
    pub fn gauge(
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

    /// Shows a count that somebody else keeps.
    pub fn count(&self, name: &'static str, read: impl Fn() -> u64 + Send + Sync + 'static) {
        self.meter
            .u64_observable_counter(name)
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Shows the calls to the platform.
    pub fn store_calls(&self, calls: &Arc<CallCounters>) {
        let calls = calls.clone();
        self.gauge("frostdyke_store_calls", move || {
            let shown =
                [("read", &calls.reads), ("write", &calls.writes), ("watch", &calls.watches)];
            let figure = |(kind, count): (&'static str, &AtomicU64)| {
                (count.load(Ordering::Relaxed) as f64, vec![KeyValue::new("kind", kind)])
            };
            shown.into_iter().map(figure).collect()
        });
    }

    /// Shows the traffic between routers.
    pub fn traffic(&self, traffic: &Arc<Traffic>) {
        let show = |name, read: fn(&Traffic) -> u64| {
            let traffic = traffic.clone();
            self.count(name, move || read(&traffic));
        };
        show("frostdyke_peer_bytes_out", |t| t.bytes_out.load(Ordering::Relaxed));
        show("frostdyke_peer_bytes_in", |t| t.bytes_in.load(Ordering::Relaxed));
        show("frostdyke_peer_messages_out", |t| t.messages_out.load(Ordering::Relaxed));
        show("frostdyke_peer_messages_in", |t| t.messages_in.load(Ordering::Relaxed));
        show("frostdyke_peer_messages_lost", |t| t.messages_lost.load(Ordering::Relaxed));
    }

    /// The page.
    pub fn page(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to memory doesn't fail; an odd metric is left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }

    /// Serves the page until the process ends.
    pub async fn serve(self, listener: TcpListener) {
        web::serve(listener, 0, Arc::new(self), std::future::pending()).await;
    }

    /// Flushes what is pending.
    pub fn stop(&self) {
        let _ = self.provider.shutdown();
    }
}

impl Page for Metrics {
    fn answer(&self, _: Request<Bytes>) -> Response<Bytes> {
        let mut resp = Response::new(Bytes::from(self.page()));
        resp.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(TEXT_FORMAT));
        resp
    }
}
