//! The proxy: the process on each box that takes callers' requests to upstreams.
//!
//! It learns routes, workspaces and upstreams from a [`adapter::StoreWatcher`], speaks with callers
//! and upstreams through a [`adapter::HeaderAdapter`], and tells the other boxes by datagrams what it
//! sends where. Everything runs on one thread.

pub mod adapter;
pub mod admission;
pub mod aligned_timer;
pub mod box_api;
pub mod capacity;
pub mod connection_limiter;
pub mod connection_rejecter;
pub mod digests;
pub mod engine_placement;
pub mod gossip;
pub mod history;
pub mod http_client;
pub mod hub;
pub mod listener;
pub mod message;
pub mod notices;
pub mod peers;
pub mod placed_request;
pub mod plain_placement;
pub mod proxy_metrics;
pub mod reachability;
pub mod refusal;
pub mod request;
pub mod response_body;
pub mod retry_budget;
pub mod rollouts;
pub mod routing_table;
pub mod settings;
pub mod state_updates;
pub mod stream_relay;
pub mod suspects;
pub mod upstream_connections;
pub mod upstream_selection;
pub mod view;
pub mod warm_up;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::clock::SinceBoot;
use crate::clock::SuspensionMeter;
use crate::fleet::members::GOSSIP_INTERVAL;
use crate::fleet::owners::EngineGroup;
use crate::log;
use crate::metrics;
use crate::metrics::Metrics;
use crate::placement::cold;
use crate::proxy::adapter::EngineClient;
use crate::proxy::adapter::HeaderAdapter;
use crate::proxy::adapter::RolloutReporter;
use crate::proxy::adapter::StoreWatcher;
use crate::proxy::adapter::SuspectStore;
use crate::proxy::capacity::StreamLimiter;
use crate::proxy::connection_limiter::ConnectionLimiter;
use crate::proxy::hub::Hub;
use crate::proxy::peers::Peers;
use crate::proxy::proxy_metrics::ProxyMetrics;
use crate::proxy::settings::Settings;
use crate::stop::Signals;

/// Time between looks at what is due.
const TICK: Duration = GOSSIP_INTERVAL;

/// Time between looks at the settings file, which may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(1);

/// After a stop signal the balancer still sends new callers for about two of its probes, a second
/// each; the port stays open for them.
const STOP_MIN: Duration = Duration::from_millis(2600);

/// Left of the time to stop when the process ends at the latest.
const STOP_RESERVE: Duration = Duration::from_millis(400);

/// A box that has turned callers away says for this long that it isn't ready: the balancer takes two
/// of its probes, a second each, to lead new connections elsewhere.
const CROWDED_FOR: Duration = Duration::from_millis(2200);

/// How far a stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownPhase {
    /// No stop is asked for.
    Running,
    /// Nothing is kept open, but who comes is served.
    Closing,
    /// Nobody should come any more; what does is refused, since it might not end in time.
    Refusing,
}

/// Why a proxy can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket or the runtime can't be had.
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
    /// The metrics can't be had.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Where the proxy runs: how its surroundings speak.
pub struct Dependencies {
    /// The headers of callers and upstreams.
    pub dialect: Arc<dyn HeaderAdapter>,
    /// Calls to engines beside requests.
    pub engines: Arc<dyn EngineClient>,
    /// The store.
    pub directory: Arc<dyn StoreWatcher>,
    /// What the store keeps for this product.
    pub records: Arc<dyn SuspectStore>,
    /// Where the operator reads how a roll-out goes.
    pub rollouts: Arc<dyn RolloutReporter>,
}

/// Runs a proxy until it is told to stop. `path` is the settings file, which is read again when it
/// changes.
pub fn run(cfg: Settings, path: &Path, deps: Dependencies) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Io { what: "starting the runtime", source })?;
    let result = runtime.block_on(serve(cfg, path.to_owned(), deps));
    runtime.shutdown_background();
    result
}

async fn serve(cfg: Settings, path: PathBuf, deps: Dependencies) -> Result<(), Error> {
    let (log, _guard) = log::open(&cfg.log, "frostdyke-proxy", &cfg.identity.name);
    let metrics = ProxyMetrics::new(Metrics::new()?);
    let callers = bind("[listen] callers", cfg.callers).await?;
    let callers = listener::listen(callers)
        .map_err(|source| Error::Io { what: "[listen] callers", source })?;
    let ready = bind("[listen] ready", cfg.ready).await?;
    let peer_port = bind("[listen] peers", cfg.peers).await?;
    let socket = UdpSocket::bind(cfg.datagrams)
        .await
        .map_err(|source| Error::Io { what: "[listen] datagrams", source })?;
    let mut signals = Signals::new().map_err(|source| Error::Io { what: "signals", source })?;
    let clock = Clock::new(Box::new(SinceBoot));
    let peers = Peers::new(&cfg, socket, clock.clone());
    peers.add_seeds(&cfg.seeds);
    let engines = deps.engines.clone();
    let hub = Hub::new(&cfg, clock, deps.dialect, engines, peers, metrics, log.clone());
    info!(log, "started"; "callers" => %cfg.callers, "zone" => cfg.identity.zone.as_str());

    let (stop, stopping) = watch::channel(ShutdownPhase::Running);
    let (due, is_due) = watch::channel(false);
    follow(&hub, &*deps.directory, is_due);
    gossip::start(&hub);
    tokio::spawn(warm_up::run_at_start(hub.clone(), deps.engines.clone()));
    tokio::spawn(warm_up::run_for_own_groups(hub.clone(), deps.engines));
    tokio::spawn(engine_placement::report_share_usage(hub.clone()));
    tokio::spawn(rollouts::run(hub.clone(), deps.rollouts));
    tokio::spawn(suspects::catch_up(hub.clone()));
    tokio::spawn(suspects::save(hub.clone(), deps.records.clone()));
    if !cfg.is_first_start {
        tokio::spawn(suspects::load_saved(hub.clone(), deps.records));
    }
    due.send_replace(hub.peers().is_store_due());
    tokio::spawn(tick(hub.clone(), due));
    tokio::spawn(reachability::run(hub.clone()));
    tokio::spawn(reload(hub.clone(), path));
    tokio::spawn(box_api::serve_ready(ready, hub.clone(), stopping.clone()));
    tokio::spawn(box_api::serve_peers(peer_port, hub.clone()));
    tokio::spawn(listener::serve(
        callers,
        ConnectionLimiter::new(cfg.cores),
        hub.clone(),
        stopping,
    ));

    signals.next().await;
    info!(log, "stopping"; "in_flight" => hub.in_flight());
    drain(&hub, &stop, cfg.stop_within).await;
    info!(log, "stopped"; "in_flight" => hub.in_flight());
    Ok(())
}

async fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Io { what, source })
}

fn follow(hub: &Arc<Hub>, directory: &dyn StoreWatcher, is_due: watch::Receiver<bool>) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    directory.watch(tx, is_due);
    let hub = hub.clone();
    tokio::spawn(async move {
        while let Some(news) = rx.recv().await {
            state_updates::apply_store_update(&hub, news);
        }
    });
}

async fn tick(hub: Arc<Hub>, store_due: watch::Sender<bool>) {
    let mut capacity = StreamLimiter::new(hub.streams_max());
    let mut turned_away = 0;
    let mut crowded_until = Instant::now();
    let mut kept: BTreeSet<EngineGroup> = BTreeSet::new();
    let mut meter = SuspensionMeter::new(hub.clock().clone());
    loop {
        let due = aligned_timer::next_tick(TICK);
        tokio::time::sleep_until(due).await;
        if let Some(suspended) = meter.suspended() {
            wake(&hub, suspended);
        }
        let before = (capacity.is_behind(), hub.is_full());
        hub.set_streams_max(capacity.record_tick(due.elapsed(), hub.streams()));
        if turned_away < hub.rejected() {
            turned_away = hub.rejected();
            crowded_until = due + CROWDED_FOR;
        }
        hub.set_full(capacity.is_full() || due < crowded_until);
        let after = (capacity.is_behind(), hub.is_full());
        if after != before {
            info!(hub.log(), "load"; "behind" => after.0, "full" => after.1,
                "delay_ms" => capacity.delay().as_millis() as u64, "streams" => hub.streams(),
                "streams_max" => hub.streams_max(), "in_flight" => hub.in_flight(),
                "turned_away" => turned_away);
        }
        gossip::send_gossip(&hub);
        hub.change(view::View::tick);
        hub.suspects().tick(hub.now());
        let engines = hub.read(|view| view.fleet().engine_count());
        if hub.peers().refresh(engines) {
            let owners = hub.peers().owners();
            let now_kept = owners.groups_of(hub.peers().own_ip()).map(|(group, _)| group).collect();
            hold_cold(&hub, &now_kept, &kept);
            kept = now_kept;
            info!(hub.log(), "owners"; "boxes" => hub.peers().live_count() + 1, "engines" => engines,
                "kept" => owners.groups_of(hub.peers().own_ip()).count());
        }
        let is_due = hub.peers().is_store_due();
        if store_due.send_if_modified(|was| std::mem::replace(was, is_due) != is_due) {
            info!(hub.log(), "watch of the store"; "is_due" => is_due);
        }
        let resting = hub.upstream_connections().addrs();
        let gone = hub.read(|view| {
            let is_gone = |addr: &SocketAddr| !view.fleet().has_addr(addr);
            resting.into_iter().filter(is_gone).collect()
        });
        hub.upstream_connections().close_expired(&gone);
    }
}

/// The machine was suspended: deadlines are over that no timer has noticed, and connections that rested are closed at
/// their other end. All else is told by the clock.
fn wake(hub: &Hub, suspended: Duration) {
    warn!(hub.log(), "suspended"; "ms" => suspended.as_millis() as u64);
    hub.metrics().suspended();
    hub.upstream_connections().close_idle();
    hub.clock().wake();
}

/// What others have just sent to the engines of groups that are new to this box isn't known here.
fn hold_cold(hub: &Hub, kept: &BTreeSet<EngineGroup>, before: &BTreeSet<EngineGroup>) {
    let until = hub.now() + cold::RATE_WINDOW;
    hub.fleet(|fleet| {
        kept.difference(before).for_each(|group| fleet.hold_cold_engines(*group, until))
    });
}

/// Waits until all requests have ended and no new ones are to be expected, or time is up.
async fn drain(hub: &Hub, stop: &watch::Sender<ShutdownPhase>, within: Duration) {
    let began = Instant::now();
    let _ = stop.send(ShutdownPhase::Closing);
    let last = within.saturating_sub(STOP_RESERVE);
    loop {
        tokio::time::sleep(TICK).await;
        if STOP_MIN <= began.elapsed() {
            let _ = stop.send(ShutdownPhase::Refusing);
        }
        let quiet = hub.in_flight() == 0 && STOP_MIN <= began.elapsed();
        if quiet || last <= began.elapsed() {
            return;
        }
    }
}

/// Reads the settings again when a signal says so, or when the file has changed.
async fn reload(hub: Arc<Hub>, path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        warn!(hub.log(), "no signal to reload by");
        return;
    };
    let mut seen = modified(&path);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = aligned_timer::wait_for_tick(SETTINGS_POLL) => false,
        };
        let now = modified(&path);
        if !signalled && now == seen {
            continue;
        }
        seen = now;
        match settings::read(&path) {
            Ok(cfg) => {
                hub.peers().add_seeds(&cfg.seeds);
                info!(hub.log(), "settings read again"; "seeds" => cfg.seeds.len());
            }
            Err(e) => warn!(hub.log(), "settings refused"; "error" => %e),
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
