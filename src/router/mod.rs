//! The router process: it accepts callers' requests, obtains a grant for each from the dispatcher
//! of its pool, and forwards it to an upstream.

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
use crate::peer::connection::PeerConnections;
use crate::peer::member::GossipSettings;
use crate::peer::server;
use crate::peer::traffic::Traffic;
use crate::platform;
use crate::platform::client::Client;
use crate::platform::watch::PlatformUpdate;
use crate::router::hub::Hub;
use crate::router::request_handler::RouterContext;
use crate::router::upstream_sender::SendingThreads;
use crate::stop::Signals;
use crate::util;

/// Time between ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a store call for a claim; a caller waits for it.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Threads of the asynchronous runtime; the boxes are small.
const RUNTIME_THREADS: usize = 4;

/// Why a router cannot run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket or the runtime could not be created.
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Runs a router until SIGTERM or SIGINT. A second signal stops it at once.
pub fn run(cfg: settings::Router) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(RUNTIME_THREADS)
        .enable_all()
        .build()
        .map_err(|source| Error::Io { what: "starting the runtime", source })?;
    let result = runtime.block_on(serve(cfg));
    // The threads that watch the platform have no work to complete.
    runtime.shutdown_background();
    result
}

async fn serve(cfg: settings::Router) -> Result<(), Error> {
    let (log, _guard) = log::open(&cfg.log, "frostdyke-router", &cfg.identity.name);
    let metrics = Metrics::new()?;
    let traffic = Arc::new(Traffic::default());
    let caller_listener = bind("[listen] callers", cfg.callers).await?;
    let peer_listener = bind("[listen] peers", cfg.peers).await?;
    let metrics_listener = bind("[listen] metrics", cfg.metrics).await?;
    let signals = Signals::new().map_err(|source| Error::Io { what: "signals", source })?;
    let hub = start_hub(&cfg, &metrics, &traffic, log.clone());
    info!(log, "listening"; "callers" => %cfg.callers, "peers" => %cfg.peers);

    let (stop, stopping) = watch::channel(false);
    let context = Arc::new(RouterContext {
        hub: hub.clone(),
        sending_threads: SendingThreads::new(cfg.limits.max_running),
        limits: cfg.limits.clone(),
        stopping,
    });
    register_gauges(&metrics, &traffic, &context);
    tokio::spawn(metrics.clone().serve(metrics_listener));
    watch_platform(&cfg, &hub);
    upstream_health::poll_upstreams(hub.clone());
    tokio::spawn(server::serve(peer_listener, cfg.secret.clone(), hub.clone(), traffic));
    tokio::spawn(tick(hub.clone()));
    let stopped = wait_for_stop(hub.clone(), signals, stop);
    listener::serve(caller_listener, context, cfg.identity.name.clone(), stopped).await;
    info!(log, "stopped");
    metrics.shutdown();
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
    let connections = PeerConnections::new(&id.name, &cfg.secret, traffic);
    let node = Node::new(id, Tuning::default(), GossipSettings::default());
    let hub = Hub::new(node, connections, metrics.clone(), log);
    hub.update(|node, now| node.set_box_list(&cfg.seeds, now));
    hub
}

fn watch_platform(cfg: &settings::Router, hub: &Arc<Hub>) {
    let client = Arc::new(Client::new(cfg.platform));
    hub.metrics().register_store_calls(client.calls());
    let apply = |hub: Arc<Hub>| move |update| apply_platform_update(&hub, update);
    platform::watch::watch_configuration(client.clone(), apply(hub.clone()));
    hub.start_claims(Arc::new(client.with_timeout(CLAIM_TIMEOUT)));
    platform::watch::poll_boxes(client, apply(hub.clone()));
}

fn apply_platform_update(hub: &Hub, update: PlatformUpdate) {
    match update {
        PlatformUpdate::Configuration { version, revision } => match *revision {
            Ok(revision) => hub.update(|node, now| node.configure(revision, now)),
            Err(faults) => {
                let fault = faults.first().map(ToString::to_string);
                warn!(hub.log(), "configuration refused"; "revision" => version, "fault" => fault);
            }
        },
        PlatformUpdate::Boxes(list) => hub.update(|node, now| node.set_box_list(&list, now)),
        PlatformUpdate::Reachability(Some(e)) => {
            warn!(hub.log(), "platform unreachable"; "error" => %e)
        }
        PlatformUpdate::Reachability(None) => info!(hub.log(), "platform reachable again"),
    }
}

async fn tick(hub: Arc<Hub>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        hub.update(|node, now| node.tick(now));
    }
}

/// Waits for SIGTERM or SIGINT, then for all requests to end. The port stays open meanwhile, so
/// that callers that the balancer still sends here get a response that their request did not run.
async fn wait_for_stop(hub: Arc<Hub>, mut signals: Signals, stop: watch::Sender<bool>) {
    signals.next().await;
    info!(hub.log(), "stopping"; "running" => hub.read(|node, _| node.running_count()));
    hub.update(|node, now| node.leave(now));
    let _ = stop.send(true);
    tokio::spawn(async move {
        signals.next().await;
        std::process::exit(1);
    });
    while hub.read(|node, _| node.running_count() + node.waiting_count()) != 0 {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Registers the gauges and counters that are read when the metrics page is requested.
fn register_gauges(metrics: &Metrics, traffic: &Arc<Traffic>, context: &Arc<RouterContext>) {
    metrics.register_peer_traffic(traffic);
    let threads = context.clone();
    metrics.register_gauge("frostdyke_sending_threads", move || {
        vec![(threads.sending_threads.live_count() as f64, Vec::new())]
    });
    let hub = context.hub.clone();
    metrics.register_gauge("frostdyke_router", move || {
        hub.read(|node, _| {
            let label = |state: &'static str| vec![KeyValue::new("state", state)];
            vec![
                (node.waiting_count() as f64, label("waiting")),
                (node.running_count() as f64, label("running")),
            ]
        })
    });
    let hub = context.hub.clone();
    metrics
        .register_counter("frostdyke_claim_writes", move || hub.claims().map_or(0, |c| c.writes()));
    let hub = context.hub.clone();
    metrics.register_gauge("frostdyke_claims_down", move || {
        let down = hub.claims().is_some_and(|c| c.is_store_down());
        vec![(f64::from(u8::from(down)), Vec::new())]
    });
    let hub = context.hub.clone();
    metrics.register_gauge("frostdyke_live_boxes", move || {
        vec![(hub.read(|node, now| node.members().live(now).count()) as f64, Vec::new())]
    });
    let hub = context.hub.clone();
    metrics.register_gauge("frostdyke_revision", move || {
        vec![(hub.read(|node, _| node.configuration().number) as f64, Vec::new())]
    });
    let hub = context.hub.clone();
    metrics.register_gauge("frostdyke_pool", move || hub.read(|node, _| pool_gauges(node)));
}

/// Gauges of each dispatcher on this box: waiting, running, slots, utilisation and fairness gap.
fn pool_gauges(node: &Node) -> Vec<(f64, Vec<KeyValue>)> {
    let mut gauges = Vec::new();
    for pool in node.pools() {
        let running = f64::from(pool.upstreams().running());
        let slots = f64::from(pool.upstreams().slots());
        let values = [
            ("waiting", pool.queue().len() as f64),
            ("running", running),
            ("slots", slots),
            ("utilisation", if slots == 0.0 { 0.0 } else { running / slots }),
            ("gap", pool.service_gap()),
        ];
        for (what, value) in values {
            let labels =
                vec![KeyValue::new("pool", pool.name().to_string()), KeyValue::new("what", what)];
            gauges.push((value, labels));
        }
    }
    gauges
}
