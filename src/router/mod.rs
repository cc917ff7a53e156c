//! The router: the process that holds the callers' connections.

pub mod cost_meter;
pub mod hub;
pub mod listener;
pub mod refusal;
pub mod request_handler;
pub mod request_history;
pub mod response_body;
pub mod service_request;
pub mod stream_resume;
pub mod upstream_health;
pub mod upstream_sender;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use opentelemetry::KeyValue;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::config::settings;
use crate::dispatch::pool::Tuning;
use crate::log;
use crate::metrics;
use crate::metrics::Metrics;
use crate::node::Identity;
use crate::node::Node;
use crate::peer::link::Links;
use crate::peer::member::Gossip;
use crate::peer::server;
use crate::peer::traffic::Traffic;
use crate::platform;
use crate::platform::client::Client;
use crate::platform::watch::PlatformUpdate;
use crate::router::request_handler::Service;
use crate::router::hub::Hub;
use crate::router::upstream_sender::Senders;
use crate::stop::Signals;
use crate::util;

/// Time between ticks of the node.
const TICK: Duration = Duration::from_millis(20);

/// How long a call to the store for a claim may take: somebody waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Threads of the asynchronous runtime: the boxes are small.
const WORKERS: usize = 4;

/// Why a router can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket or the runtime can't be had.
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
    /// The metrics can't be had.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Runs a router until it is told to stop (SIGTERM). A second SIGTERM stops it at once.
pub fn run(cfg: settings::Router) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(|source| Error::Io { what: "starting the runtime", source })?;
    let result = runtime.block_on(serve(cfg));
    // Threads that watch the platform have nothing to finish.
    runtime.shutdown_background();
    result
}

async fn serve(cfg: settings::Router) -> Result<(), Error> {
    let (log, _guard) = log::open(&cfg.log, "frostdyke-router", &cfg.identity.name);
    let metrics = Metrics::new()?;
    let traffic = Arc::new(Traffic::default());
    let callers = bind("[listen] callers", cfg.callers).await?;
    let peers = bind("[listen] peers", cfg.peers).await?;
    let page = bind("[listen] metrics", cfg.metrics).await?;
    let signals = Signals::new().map_err(|source| Error::Io { what: "signals", source })?;
    let hub = start_hub(&cfg, &metrics, &traffic, log.clone());
    info!(log, "listening"; "callers" => %cfg.callers, "peers" => %cfg.peers);

    let (stop, stopping) = watch::channel(false);
    let service = Arc::new(Service {
        hub: hub.clone(),
        senders: Senders::new(cfg.limits.max_running),
        limits: cfg.limits.clone(),
        stopping,
    });
    show(&metrics, &traffic, &service);
    tokio::spawn(metrics.clone().serve(page));
    follow_platform(&cfg, &hub);
    upstream_health::watch(hub.clone());
    tokio::spawn(server::serve(peers, cfg.secret.clone(), hub.clone(), traffic));
    tokio::spawn(tick(hub.clone()));
    let stopped = wait_for_stop(hub.clone(), signals, stop);
    listener::serve(callers, service, cfg.identity.name.clone(), stopped).await;
    info!(log, "stopped");
    metrics.stop();
    Ok(())
}

async fn bind(what: &'static str, addr: std::net::SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Io { what, source })
}

fn start_hub(
    cfg: &settings::Router,
    metrics: &Metrics,
    traffic: &Arc<Traffic>,
    log: slog::Logger,
) -> Arc<Hub> {
    let id = Identity {
        name: cfg.identity.name.clone(),
        zone: cfg.identity.zone.clone(),
        incarnation: util::new_incarnation(),
    };
    let links = Links::new(&id.name, &cfg.secret, traffic);
    let node = Node::new(id, Tuning::default(), Gossip::default());
    let hub = Hub::new(node, links, metrics.clone(), log);
    hub.with(|node, now| node.set_box_list(&cfg.seeds, now));
    hub
}

fn follow_platform(cfg: &settings::Router, hub: &Arc<Hub>) {
    let client = Arc::new(Client::new(cfg.platform));
    hub.metrics().store_calls(client.calls());
    let tell = |hub: Arc<Hub>| move |news| take_in(&hub, news);
    platform::watch::watch_configuration(client.clone(), tell(hub.clone()));
    hub.open_claims(Arc::new(client.with_timeout(CLAIM_TIMEOUT)));
    platform::watch::poll_boxes(client, tell(hub.clone()));
}

fn take_in(hub: &Hub, news: PlatformUpdate) {
    match news {
        PlatformUpdate::Configuration { version, revision } => match *revision {
            Ok(revision) => hub.with(|node, now| node.configure(revision, now)),
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string);
                warn!(hub.log(), "configuration refused"; "revision" => version, "fault" => fault);
            }
        },
        PlatformUpdate::Boxes(list) => hub.with(|node, now| node.set_box_list(&list, now)),
        PlatformUpdate::Reachability(Some(e)) => warn!(hub.log(), "platform lost"; "error" => %e),
        PlatformUpdate::Reachability(None) => info!(hub.log(), "platform back"),
    }
}

async fn tick(hub: Arc<Hub>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        hub.with(|node, now| node.tick(now));
    }
}

/// Waits for SIGTERM or SIGINT, then for all requests to end. The port stays open meanwhile, so
/// that callers the balancer still sends here hear that their request did not run.
async fn wait_for_stop(hub: Arc<Hub>, mut signals: Signals, stop: watch::Sender<bool>) {
    signals.next().await;
    info!(hub.log(), "stopping"; "running" => hub.read(|node, _| node.running_count()));
    hub.with(|node, now| node.leave(now));
    let _ = stop.send(true);
    tokio::spawn(async move {
        signals.next().await;
        std::process::exit(1);
    });
    while hub.read(|node, _| node.running_count() + node.waiting_count()) != 0 {
        tokio::time::sleep(TICK).await;
    }
}

/// Shows the figures that are read when the page is.
fn show(metrics: &Metrics, traffic: &Arc<Traffic>, service: &Arc<Service>) {
    metrics.traffic(traffic);
    let senders = service.clone();
    metrics.gauge("frostdyke_sending_threads", move || {
        vec![(senders.senders.live() as f64, Vec::new())]
    });
    let hub = service.hub.clone();
    metrics.gauge("frostdyke_router", move || {
        hub.read(|node, _| {
            let label = |state: &'static str| vec![KeyValue::new("state", state)];
            vec![
                (node.waiting_count() as f64, label("waiting")),
                (node.running_count() as f64, label("running")),
            ]
        })
    });
    let hub = service.hub.clone();
    metrics.count("frostdyke_claim_writes", move || hub.claims().map_or(0, |c| c.writes()));
    let hub = service.hub.clone();
    metrics.gauge("frostdyke_claims_down", move || {
        let down = hub.claims().is_some_and(|c| c.is_down());
        vec![(f64::from(u8::from(down)), Vec::new())]
    });
    let hub = service.hub.clone();
    metrics.gauge("frostdyke_live_boxes", move || {
        vec![(hub.read(|node, now| node.members().live(now).count()) as f64, Vec::new())]
    });
    let hub = service.hub.clone();
    metrics.gauge("frostdyke_revision", move || {
        vec![(hub.read(|node, _| node.configuration().number) as f64, Vec::new())]
    });
    let hub = service.hub.clone();
    metrics.gauge("frostdyke_pool", move || hub.read(|node, _| pool_figures(node)));
}

/// For each dispatcher on this box: waiting, running, slots, utilisation and fairness gap.
fn pool_figures(node: &Node) -> Vec<(f64, Vec<KeyValue>)> {
    let mut figures = Vec::new();
    for pool in node.pools() {
        let running = f64::from(pool.upstreams().running());
        let slots = f64::from(pool.upstreams().slots());
        let shown = [
            ("waiting", pool.queue().len() as f64),
            ("running", running),
            ("slots", slots),
            ("utilisation", if slots == 0.0 { 0.0 } else { running / slots }),
            ("gap", pool.gap()),
        ];
        for (what, value) in shown {
            let labels =
                vec![KeyValue::new("pool", pool.name().to_string()), KeyValue::new("what", what)];
            figures.push((value, labels));
        }
    }
    figures
}
