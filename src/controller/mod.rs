//! The controller: brings the engines of its availability zone to what the configuration wants. One
//! per box; the one that holds the zone's lease acts.

pub mod engines;
pub mod keeper;
pub mod lease;
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
use crate::controller::engines::Engines;
use crate::controller::engines::Envelope;
use crate::controller::keeper::Keeper;
use crate::controller::lease::Fence;
use crate::controller::report::EngineReport;
use crate::controller::report::Report;
use crate::controller::rollout::Observed;
use crate::controller::rollout::Step;
use crate::controller::rollout::Touched;
use crate::controller::rollout::Weights;
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

/// Time between two looks at the engines that are being changed.
const LOOK: Duration = Duration::from_millis(500);

/// Time between two looks at all engines while the configuration stays the same.
const LOOK_AT_ALL: Duration = Duration::from_secs(10);

/// Engines asked at the same time.
const AT_ONCE: usize = 16;

/// How long a call to the store may take: short beside the lease.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a controller can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket, a signal or the runtime can't be had.
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
    /// The metrics can't be had.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Runs a controller until it is told to stop; then it gives its lease up.
pub fn run(cfg: settings::Controller) -> Result<(), Error> {
    let io = |what| move |source| Error::Io { what, source };
    let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.map_err(io("starting the runtime"))?;
    let result = runtime.block_on(async {
        let mut signals = Signals::new().map_err(io("signals"))?;
        let page = TcpListener::bind(cfg.metrics).await.map_err(io("[listen] metrics"))?;
        let (log, _guard) = log::open(&cfg.log, "frostdyke-controller", &cfg.identity.name);
        let metrics = Metrics::new()?;
        let keeper = start(&cfg, &metrics, &log);
        tokio::spawn(metrics.serve(page));
        signals.next().await;
        info!(log, "stopping");
        // The store may hang; the lease then runs out by itself.
        let _ = tokio::task::spawn_blocking(move || keeper.release()).await;
        Ok(())
    });
    runtime.shutdown_background();
    result
}

fn start(cfg: &settings::Controller, metrics: &Metrics, log: &Logger) -> Arc<Keeper> {
    let client = Arc::new(Client::new(cfg.platform).with_timeout(STORE_TIMEOUT));
    metrics.store_calls(client.calls());
    let zone = cfg.identity.zone.clone();
    let object = format!("frostdyke/leases/controller/{zone}");
    let me = format!("{}/{}", cfg.identity.name, util::new_incarnation());
    let keeper = Keeper::start(client.clone(), &object, &me, log.clone());
    let (shown, revision) =
        (keeper.clone(), Arc::new(Mutex::new(Arc::new(CatalogRevision::default()))));
    metrics.gauge("frostdyke_lease_held", move || {
        vec![(f64::from(u8::from(shown.held().is_some())), Vec::new())]
    });
    let (latest, told) = (revision.clone(), log.clone());
    platform::watch::watch_configuration(client.clone(), move |news| take_in(&latest, news, &told));
    let mut controller = Controller {
        me: cfg.identity.clone(),
        objects: client,
        engines: Box::new(engines::Client::default()),
        keeper: keeper.clone(),
        reports: report::Writer::default(),
        tenure: None,
        metrics: metrics.clone(),
        log: log.clone(),
    };
    thread::spawn(move || {
        let epoch = Instant::now();
        loop {
            let revision = revision.lock().expect("no panic under lock").clone();
            controller.round(&revision, epoch.elapsed());
            thread::sleep(LOOK);
        }
    });
    keeper
}

fn take_in(latest: &Mutex<Arc<CatalogRevision>>, news: PlatformUpdate, log: &Logger) {
    match news {
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
        PlatformUpdate::Reachability(Some(e)) => warn!(log, "platform lost"; "error" => %e),
        PlatformUpdate::Reachability(None) => info!(log, "platform back"),
        PlatformUpdate::Boxes(_) => {}
    }
}

struct Controller {
    me: settings::Identity,
    objects: Arc<dyn ObjectStore>,
    engines: Box<dyn Engines>,
    keeper: Arc<Keeper>,
    reports: report::Writer,
    tenure: Option<Tenure>,
    metrics: Metrics,
    log: Logger,
}

/// What is known for as long as the lease is held under one fence.
struct Tenure {
    fence: Fence,
    weights: Weights,
    touched: Touched,
    /// What the engines said last.
    observed: BTreeMap<UpstreamName, Observed>,
    /// Those that are being changed now.
    moving: BTreeSet<UpstreamName>,
    /// When all were looked at, and for which configuration.
    looked: Option<(Duration, u64)>,
}

impl Tenure {
    /// Whether it is time to look at all engines.
    fn is_due(&self, revision: u64, now: Duration) -> bool {
        self.looked.is_none_or(|(at, seen)| seen != revision || at + LOOK_AT_ALL <= now)
    }
}

impl Controller {
    /// Looks at the engines, orders what is next, and reports. Does nothing without the lease.
    fn round(&mut self, cfg: &CatalogRevision, now: Duration) {
        let Some(mut tenure) = self.keeper.held().and_then(|fence| self.tenure(fence, now)) else {
            self.tenure = None;
            return;
        };
        let (fence, zone) = (tenure.fence, self.me.zone.clone());
        if !self.look(cfg, &mut tenure, now) {
            self.tenure = Some(tenure);
            return;
        }
        let Tenure { weights, touched, observed, .. } = &mut tenure;
        let steps = rollout::steps(cfg, &zone, touched, observed, weights, now);
        tenure.moving =
            steps.iter().filter(|s| s.is_moving()).map(|s| s.upstream.clone()).collect();
        let mut engines = Vec::with_capacity(steps.len());
        for step in &steps {
            tenure.touched.insert(step.upstream.clone());
            let error = self.order(cfg, fence, step);
            let seen = tenure.observed.get(&step.upstream);
            engines.push(EngineReport {
                upstream: step.upstream.clone(),
                stage: step.stage,
                state: seen.map(|o| o.state.clone()),
                running: seen.map_or(0, |o| o.running),
                error,
            });
        }
        self.tenure = Some(tenure);
        if engines.is_empty() || self.keeper.held() != Some(fence) {
            return;
        }
        let (holder, revision) = (self.me.name.clone(), cfg.number);
        self.reports.write(&*self.objects, Report { zone, holder, fence, revision, engines });
    }

    /// What is known under this fence. A new holder learns from the last report which engines its
    /// predecessors have touched; nothing while that can't be read.
    fn tenure(&mut self, fence: Fence, now: Duration) -> Option<Tenure> {
        if let Some(tenure) = self.tenure.take().filter(|t| t.fence == fence) {
            return Some(tenure);
        }
        let last = report::read(&*self.objects, &self.me.zone).ok()?;
        let engines = last.into_iter().flat_map(|report| report.engines);
        let touched = engines.map(|engine| engine.upstream).collect();
        Some(Tenure {
            fence,
            weights: Weights::new(now),
            touched,
            observed: BTreeMap::new(),
            moving: BTreeSet::new(),
            looked: None,
        })
    }

    /// Asks the engines that are being changed, and now and then all; false when there is none to
    /// ask. Asking 300 engines twice a second took a quarter of a core.
    fn look(&self, cfg: &CatalogRevision, tenure: &mut Tenure, now: Duration) -> bool {
        let all = tenure.is_due(cfg.number, now);
        let engines = rollout::engines(cfg, &self.me.zone, &tenure.touched);
        let asked: Vec<&Upstream> =
            engines.filter(|u| all || tenure.moving.contains(&u.name)).collect();
        if all {
            tenure.looked = Some((now, cfg.number));
        }
        for upstream in &asked {
            tenure.observed.remove(&upstream.name);
        }
        tenure.observed.extend(self.observe(&asked));
        !asked.is_empty()
    }

    /// What engines say of themselves, those that answer.
    fn observe(&self, asked: &[&Upstream]) -> BTreeMap<UpstreamName, Observed> {
        let mut observed = BTreeMap::new();
        for some in asked.chunks(AT_ONCE) {
            let answers: Vec<_> = thread::scope(|scope| {
                let mut asked = Vec::with_capacity(some.len());
                for &upstream in some {
                    let ask = || (upstream.name.clone(), self.engines.observe(upstream));
                    asked.push(scope.spawn(ask));
                }
                asked.into_iter().map(|a| a.join().expect("asking doesn't panic")).collect()
            });
            let good = answers.into_iter().filter_map(|(name, answer)| Some((name, answer.ok()?)));
            observed.extend(good);
        }
        observed
    }

    /// Gives one order, if there is one and the lease is still held. Gives why it wasn't done.
    fn order(&self, cfg: &CatalogRevision, fence: Fence, step: &Step) -> Option<String> {
        let order = step.order.clone()?;
        let upstream = cfg.upstream(&step.upstream)?;
        if self.keeper.held() != Some(fence) {
            return None;
        }
        let envelope = Envelope { fence, revision: cfg.number, order };
        let result = self.engines.order(upstream, &envelope);
        let error = result.err().map(|e| e.to_string());
        // The users ask for a line for each placement decision: this places models on engines.
        info!(self.log, "ordered";
            "upstream" => %step.upstream,
            "order" => ?envelope.order,
            "fence" => fence.0,
            "revision" => cfg.number,
            "error" => error.as_deref(),
        );
        let done = if error.is_none() { "yes" } else { "no" };
        self.metrics.orders.add(1, &[KeyValue::new("done", done)]);
        error
    }
}
