//! The controller: brings the engines of its availability zone to the configured state. Each box
//! runs one; only the one that holds the zone's lease acts.

pub mod engine_api;
pub mod lease;
pub mod lease_manager;
pub mod report;
pub mod rollout;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use opentelemetry::KeyValue;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::time::Instant;

use crate::config::CatalogRevision;
use crate::config::Upstream;
use crate::config::settings;
use crate::controller::engine_api::EngineApi;
use crate::controller::engine_api::FencedOrder;
use crate::controller::engine_api::HttpEngineApi;
use crate::controller::lease::Fence;
use crate::controller::lease_manager::LeaseManager;
use crate::controller::report::EngineReport;
use crate::controller::report::Report;
use crate::controller::report::ReportWriter;
use crate::controller::rollout::EngineStatus;
use crate::controller::rollout::LoadRateLimiter;
use crate::controller::rollout::ManagedEngines;
use crate::controller::rollout::Step;
use crate::log;
use crate::metrics;
use crate::metrics::Metrics;
use crate::names::UpstreamName;
use crate::platform;
use crate::platform::ObjectStore;
use crate::platform::client::Client;
use crate::platform::watch::PlatformUpdate;
use crate::stop::Signals;
use crate::util;

/// Interval between polls of the engines that are being changed.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between polls of all engines while the configuration is unchanged.
const FULL_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Engines polled concurrently.
const CONCURRENT_POLLS_MAX: usize = 16;

/// Timeout of a call to the store: short compared to the lease.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// An error that ends the controller.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Opening a socket, installing signal handlers or starting the runtime failed.
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
    /// Setting up the metrics failed.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Runs a controller until a shutdown signal arrives; then it releases its lease.
pub fn run(cfg: settings::Controller) -> Result<(), Error> {
    let io = |what| move |source| Error::Io { what, source };
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.map_err(io("starting the runtime"))?;
    let result = runtime.block_on(async {
        let mut signals = Signals::new().map_err(io("signals"))?;
        let metrics_listener =
            TcpListener::bind(cfg.metrics).await.map_err(io("[listen] metrics"))?;
        let (log, _guard) = log::open(&cfg.log, "frostdyke-controller", &cfg.identity.name);
        let metrics = Metrics::new()?;
        let lease_manager = start(&cfg, &metrics, &log);
        tokio::spawn(metrics.serve(metrics_listener));
        signals.next().await;
        info!(log, "stopping");
        // If the store hangs, the lease expires by itself.
        let _ = tokio::task::spawn_blocking(move || lease_manager.release()).await;
        Ok(())
    });
    runtime.shutdown_background();
    result
}

fn start(cfg: &settings::Controller, metrics: &Metrics, log: &Logger) -> Arc<LeaseManager> {
    let client = Arc::new(Client::new(cfg.platform).with_timeout(STORE_TIMEOUT));
    metrics.register_store_calls(client.calls());
    let zone = cfg.identity.zone.clone();
    let object = format!("frostdyke/leases/controller/{zone}");
    let holder = format!("{}/{}", cfg.identity.name, util::new_incarnation());
    let lease_manager = LeaseManager::start(client.clone(), &object, &holder, log.clone());
    let (gauge_manager, revision) =
        (lease_manager.clone(), Arc::new(Mutex::new(Arc::new(CatalogRevision::default()))));
    metrics.register_gauge("frostdyke_lease_held", move || {
        vec![(f64::from(u8::from(gauge_manager.fence().is_some())), Vec::new())]
    });
    let (latest, watch_log) = (revision.clone(), log.clone());
    platform::watch::watch_configuration(client.clone(), move |update| {
        handle_update(&latest, update, &watch_log)
    });
    let mut controller = Controller {
        identity: cfg.identity.clone(),
        objects: client,
        engine_api: Box::new(HttpEngineApi::default()),
        lease_manager: lease_manager.clone(),
        reports: ReportWriter::default(),
        term: None,
        metrics: metrics.clone(),
        log: log.clone(),
    };
    thread::spawn(move || {
        let started_at = Instant::now();
        loop {
            let revision = revision.lock().expect("no panic under lock").clone();
            controller.reconcile(&revision, started_at.elapsed());
            thread::sleep(POLL_INTERVAL);
        }
    });
    lease_manager
}

fn handle_update(latest: &Mutex<Arc<CatalogRevision>>, update: PlatformUpdate, log: &Logger) {
    match update {
        PlatformUpdate::Configuration { version, revision } => match *revision {
            Ok(revision) => {
                let mut latest = latest.lock().expect("no panic under lock");
                if latest.number < revision.number {
                    *latest = Arc::new(revision);
                    info!(log, "configuration in force"; "revision" => version);
                }
            }
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string);
                warn!(log, "configuration refused"; "revision" => version, "fault" => fault);
            }
        },
        PlatformUpdate::Reachability(Some(e)) => warn!(log, "platform unreachable"; "error" => %e),
        PlatformUpdate::Reachability(None) => info!(log, "platform reachable again"),
        PlatformUpdate::Boxes(_) => {}
    }
}

struct Controller {
    identity: settings::Identity,
    objects: Arc<dyn ObjectStore>,
    engine_api: Box<dyn EngineApi>,
    lease_manager: Arc<LeaseManager>,
    reports: ReportWriter,
    term: Option<LeaseTerm>,
    metrics: Metrics,
    log: Logger,
}

/// State of the controller while it holds the lease under one fence.
struct LeaseTerm {
    fence: Fence,
    load_limiter: LoadRateLimiter,
    managed: ManagedEngines,
    /// The last status of each engine that responded.
    observed: BTreeMap<UpstreamName, EngineStatus>,
    /// Engines that are being changed.
    in_progress: BTreeSet<UpstreamName>,
    /// When all engines were last polled, and for which configuration.
    last_full_poll: Option<(Duration, u64)>,
}

impl LeaseTerm {
    /// Whether all engines are to be polled now.
    fn is_full_poll_due(&self, revision: u64, now: Duration) -> bool {
        self.last_full_poll
            .is_none_or(|(at, polled)| polled != revision || at + FULL_POLL_INTERVAL <= now)
    }
}

impl Controller {
    /// Polls the engines, sends the next orders, and reports. Does nothing without the lease.
    fn reconcile(&mut self, cfg: &CatalogRevision, now: Duration) {
        let Some(mut term) = self.lease_manager.fence().and_then(|fence| self.term_for(fence, now))
        else {
            self.term = None;
            return;
        };
        let (fence, zone) = (term.fence, self.identity.zone.clone());
        if !self.refresh_statuses(cfg, &mut term, now) {
            self.term = Some(term);
            return;
        }
        let LeaseTerm { load_limiter, managed, observed, .. } = &mut term;
        let steps = rollout::next_steps(cfg, &zone, managed, observed, load_limiter, now);
        term.in_progress =
            steps.iter().filter(|s| s.is_in_progress()).map(|s| s.upstream.clone()).collect();
        let mut engines = Vec::with_capacity(steps.len());
        for step in &steps {
            term.managed.insert(step.upstream.clone());
            let error = self.send_order(cfg, fence, step);
            let status = term.observed.get(&step.upstream);
            engines.push(EngineReport {
                upstream: step.upstream.clone(),
                stage: step.stage,
                state: status.map(|s| s.state.clone()),
                running: status.map_or(0, |s| s.running),
                error,
            });
        }
        self.term = Some(term);
        if engines.is_empty() || self.lease_manager.fence() != Some(fence) {
            return;
        }
        let (holder, revision) = (self.identity.name.clone(), cfg.number);
        self.reports.write(&*self.objects, Report { zone, holder, fence, revision, engines });
    }

    /// Returns the state for this fence. A new holder learns from the last report which engines
    /// earlier holders have managed; `None` while that report can't be read.
    fn term_for(&mut self, fence: Fence, now: Duration) -> Option<LeaseTerm> {
        if let Some(term) = self.term.take().filter(|t| t.fence == fence) {
            return Some(term);
        }
        let last = report::read(&*self.objects, &self.identity.zone).ok()?;
        let engines = last.into_iter().flat_map(|report| report.engines);
        let managed = engines.map(|engine| engine.upstream).collect();
        Some(LeaseTerm {
            fence,
            load_limiter: LoadRateLimiter::new(now),
            managed,
            observed: BTreeMap::new(),
            in_progress: BTreeSet::new(),
            last_full_poll: None,
        })
    }

    /// Polls the engines that are being changed, and all of them at longer intervals, since polling
    /// 300 engines twice a second takes a quarter of a core. Returns whether any was polled.
    fn refresh_statuses(&self, cfg: &CatalogRevision, term: &mut LeaseTerm, now: Duration) -> bool {
        let poll_all = term.is_full_poll_due(cfg.number, now);
        let engines = rollout::engines_to_manage(cfg, &self.identity.zone, &term.managed);
        let polled: Vec<&Upstream> =
            engines.filter(|u| poll_all || term.in_progress.contains(&u.name)).collect();
        if poll_all {
            term.last_full_poll = Some((now, cfg.number));
        }
        for upstream in &polled {
            term.observed.remove(&upstream.name);
        }
        term.observed.extend(self.fetch_statuses(&polled));
        !polled.is_empty()
    }

    /// Fetches the statuses of engines; those that don't respond are left out.
    fn fetch_statuses(&self, upstreams: &[&Upstream]) -> BTreeMap<UpstreamName, EngineStatus> {
        let mut observed = BTreeMap::new();
        for chunk in upstreams.chunks(CONCURRENT_POLLS_MAX) {
            let results: Vec<_> = thread::scope(|scope| {
                let mut threads = Vec::with_capacity(chunk.len());
                for &upstream in chunk {
                    let fetch = || (upstream.name.clone(), self.engine_api.fetch_status(upstream));
                    threads.push(scope.spawn(fetch));
                }
                threads.into_iter().map(|t| t.join().expect("polling doesn't panic")).collect()
            });
            let good = results.into_iter().filter_map(|(name, result)| Some((name, result.ok()?)));
            observed.extend(good);
        }
        observed
    }

    /// Sends the order of a step, if there is one and the lease is still held. Returns the error if
    /// it failed.
    fn send_order(&self, cfg: &CatalogRevision, fence: Fence, step: &Step) -> Option<String> {
        let order = step.order.clone()?;
        let upstream = cfg.upstream(&step.upstream)?;
        if self.lease_manager.fence() != Some(fence) {
            return None;
        }
        let fenced = FencedOrder { fence, revision: cfg.number, order };
        let result = self.engine_api.send_order(upstream, &fenced);
        let error = result.err().map(|e| e.to_string());
        // Each placement decision must be logged; this one places models on engines.
        info!(self.log, "sent order to engine";
            "upstream" => %step.upstream,
            "order" => ?fenced.order,
            "fence" => fence.0,
            "revision" => cfg.number,
            "error" => error.as_deref(),
        );
        let done = if error.is_none() { "yes" } else { "no" };
        self.metrics.orders.add(1, &[KeyValue::new("done", done)]);
        error
    }
}
