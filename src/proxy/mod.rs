//! The proxy: the process on each box that forwards callers' requests to upstreams.
//!
//! It watches routes, workspaces and upstreams through an [`adapter::StoreWatcher`], translates the
//! headers of callers and upstreams through an [`adapter::HeaderAdapter`], and notifies the other
//! boxes by datagrams of the requests that it sends. Everything runs on one thread.

pub mod adapter;
pub mod admission;
pub mod aligned_timer;
pub mod box_api;
pub mod capacity;
pub mod connection_limiter;
pub mod connection_rejecter;
pub mod connection_reuse;
pub mod digests;
pub mod engine_placement;
pub mod event_id;
pub mod event_stream;
pub mod gossip;
pub mod headroom;
pub mod held_bytes;
pub mod held_tracker;
pub mod history;
pub mod http_client;
pub mod hub;
pub mod in_progress;
pub mod link_activity;
pub mod listener;
pub mod message;
pub mod notices;
mod oversized;
mod own_speeds;
pub mod part_suspects;
pub mod peers;
pub mod placed_request;
pub mod placement_queue;
pub mod plain_placement;
pub mod proxy_metrics;
pub mod reachability;
pub mod refusal;
pub mod request;
pub mod required_version;
pub mod response_body;
pub mod response_check;
pub mod response_end;
pub mod retry_budget;
pub mod rollouts;
pub mod routing_table;
pub mod settings;
pub mod shutdown;
pub mod state_updates;
pub mod store_confirmation;
pub mod stream_relay;
pub mod stream_versions;
pub mod suspect_saver;
pub mod suspects;
pub mod upstream_connections;
pub mod upstream_io;
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
use crate::proxy::adapter::VersionLog;
use crate::proxy::adapter::VersionStore;
use crate::proxy::capacity::StreamLimiter;
use crate::proxy::connection_limiter::ConnectionLimiter;
use crate::proxy::connection_reuse::ConnectionLog;
use crate::proxy::hub::Adapters;
use crate::proxy::hub::Hub;
use crate::proxy::oversized::OversizedLog;
use crate::proxy::part_suspects::SavedParts;
use crate::proxy::peers::Peers;
use crate::proxy::proxy_metrics::ProxyMetrics;
use crate::proxy::settings::Settings;
use crate::proxy::suspect_saver::SavedSuspects;
use crate::proxy::suspects::SavedContents;
use crate::stop::Signals;

/// A tick that is late by this shows that the process did not run: no upstream restarts in a shorter
/// time.
const STALL_MIN: Duration = Duration::from_secs(1);

/// Interval of the housekeeping task.
const TICK_INTERVAL: Duration = GOSSIP_INTERVAL;

/// Time between checks of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// For this long after rejecting connections, a box reports that it isn't ready: the load balancer
/// needs two failed probes, a second each, to send new connections elsewhere.
const NOT_READY_AFTER_REJECTION: Duration = Duration::from_millis(2200);

/// Why the proxy can't run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket, the runtime or the signal handlers could not be set up.
    #[error("{what}: {source}")]
    Io { what: &'static str, source: io::Error },
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] metrics::Error),
}

/// Implementations that the proxy needs from the product that embeds it.
pub struct Dependencies {
    /// Reads and writes the headers of callers and upstreams.
    pub header_adapter: Arc<dyn HeaderAdapter>,
    /// Queries engines outside of callers' requests.
    pub engine_client: Arc<dyn EngineClient>,
    /// Watches the store.
    pub store_watcher: Arc<dyn StoreWatcher>,
    /// Persists reports on requests that may crash upstreams.
    pub suspect_store: Arc<dyn SuspectStore>,
    /// Persists reports on parts of prompts that may crash engines.
    pub part_store: Arc<dyn SuspectStore>,
    /// Persists which versions of services are in use.
    pub version_store: Arc<dyn VersionStore>,
    /// Reads the versions of upstreams.
    pub version_log: Arc<dyn VersionLog>,
    /// Reports the progress of roll-outs to the operator.
    pub rollout_reporter: Arc<dyn RolloutReporter>,
}

/// Runs the proxy until it receives a stop signal. The settings file at `path` is reloaded when it
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
    let adapters = Adapters {
        header_adapter: deps.header_adapter,
        engine_client: deps.engine_client.clone(),
        version_log: deps.version_log,
    };
    let hub = Hub::new(&cfg, clock, adapters, peers, metrics, log.clone());
    info!(log, "started"; "callers" => %cfg.callers, "zone" => cfg.identity.zone.as_str());

    let (store_due, is_store_due) = watch::channel(false);
    watch_store(&hub, &*deps.store_watcher, is_store_due);
    gossip::start(&hub);
    tokio::spawn(warm_up::run_at_start(hub.clone(), deps.engine_client.clone()));
    tokio::spawn(warm_up::run_for_own_groups(hub.clone(), deps.engine_client));
    tokio::spawn(engine_placement::report_share_usage(hub.clone()));
    tokio::spawn(in_progress::run(hub.clone()));
    tokio::spawn(placement_queue::run(hub.clone()));
    tokio::spawn(headroom::announce(hub.clone()));
    tokio::spawn(rollouts::run(hub.clone(), deps.rollout_reporter));
    tokio::spawn(suspects::catch_up(hub.clone()));
    let saved: [(Arc<dyn SavedSuspects>, Arc<dyn SuspectStore>); 2] =
        [(Arc::new(SavedContents), deps.suspect_store), (Arc::new(SavedParts), deps.part_store)];
    for (suspects, records) in saved {
        tokio::spawn(suspect_saver::save(hub.clone(), suspects.clone(), records.clone()));
        if !cfg.is_first_start {
            tokio::spawn(suspect_saver::load(hub.clone(), suspects, records));
        }
    }
    let version_store = deps.version_store;
    tokio::spawn(stream_versions::save(hub.clone(), version_store.clone()));
    tokio::spawn(stream_versions::load(hub.clone(), version_store, cfg.is_first_start));
    store_due.send_replace(hub.peers().is_store_due());
    tokio::spawn(run_housekeeping(hub.clone(), store_due));
    tokio::spawn(reachability::run(hub.clone()));
    tokio::spawn(reload(hub.clone(), path));
    tokio::spawn(box_api::serve_ready(ready, hub.clone()));
    tokio::spawn(box_api::serve_peers(peer_port, hub.clone()));
    tokio::spawn(listener::serve(callers, ConnectionLimiter::new(cfg.cores), hub.clone()));

    signals.next().await;
    info!(log, "stopping"; "in_flight" => hub.in_flight());
    shutdown::run(&hub, cfg.stop_within).await;
    info!(log, "stopped"; "in_flight" => hub.in_flight());
    Ok(())
}

async fn bind(what: &'static str, addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.map_err(|source| Error::Io { what, source })
}

fn watch_store(hub: &Arc<Hub>, watcher: &dyn StoreWatcher, is_due: watch::Receiver<bool>) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    watcher.watch(tx, is_due);
    let hub = hub.clone();
    tokio::spawn(async move {
        while let Some(update) = rx.recv().await {
            state_updates::apply_store_update(&hub, update);
        }
    });
}

async fn run_housekeeping(hub: Arc<Hub>, store_due: watch::Sender<bool>) {
    let mut limiter = StreamLimiter::new(hub.streams_max());
    let mut connection_log = ConnectionLog::default();
    let mut oversized_log = OversizedLog::default();
    let mut rejected = 0;
    let mut not_ready_until = Instant::now();
    let mut groups: BTreeSet<EngineGroup> = BTreeSet::new();
    let mut suspension_meter = SuspensionMeter::new(hub.clock().clone());
    loop {
        let tick_at = aligned_timer::next_tick(TICK_INTERVAL);
        tokio::time::sleep_until(tick_at).await;
        if STALL_MIN <= tick_at.elapsed() {
            hub.record_stall();
        }
        if let Some(suspended) = suspension_meter.suspended() {
            handle_suspension(&hub, suspended);
        }
        let before = (limiter.is_overloaded(), hub.is_full());
        hub.set_streams_max(limiter.record_tick(tick_at.elapsed(), hub.streams()));
        if rejected < hub.rejected() {
            rejected = hub.rejected();
            not_ready_until = tick_at + NOT_READY_AFTER_REJECTION;
        }
        hub.set_full(limiter.is_full() || tick_at < not_ready_until);
        let after = (limiter.is_overloaded(), hub.is_full());
        if after != before {
            info!(hub.log(), "load state changed"; "behind" => after.0, "full" => after.1,
                "delay_ms" => limiter.delay().as_millis() as u64, "streams" => hub.streams(),
                "streams_max" => hub.streams_max(), "in_flight" => hub.in_flight(),
                "turned_away" => rejected);
        }
        connection_log.log_if_due(&hub);
        oversized_log.log_if_due(&hub);
        hub.held().iter().for_each(|held| held.check());
        gossip::send_gossip(&hub);
        hub.change(view::View::expire);
        hub.suspects().expire(hub.now());
        part_suspects::expire(&hub);
        own_speeds::log_changes(&hub);
        stream_versions::refresh(&hub);
        let engines = hub.read(|view| view.registry().engine_count());
        if hub.peers().refresh(engines) {
            let owners = hub.peers().owners();
            let new_groups =
                owners.groups_of(hub.peers().own_ip()).map(|(group, _)| group).collect();
            hold_cold_engines(&hub, &new_groups, &groups);
            groups = new_groups;
            in_progress::owners_changed(&hub);
            info!(hub.log(), "engine owners changed"; "boxes" => hub.peers().live_count() + 1,
                "engines" => engines, "kept" => owners.groups_of(hub.peers().own_ip()).count());
        }
        let is_due = hub.peers().is_store_due();
        if store_due.send_if_modified(|was| std::mem::replace(was, is_due) != is_due) {
            info!(hub.log(), "store watch toggled"; "is_due" => is_due);
        }
        let addrs = hub.upstream_connections().addrs();
        let gone = hub.read(|view| {
            let is_gone = |addr: &SocketAddr| !view.registry().has_addr(addr);
            addrs.into_iter().filter(is_gone).collect()
        });
        hub.upstream_connections().close_expired(&gone);
    }
}

/// Handles a suspension of the machine. Deadlines may have passed that no timer has noticed, so all
/// sleeps check the clock again; idle connections may be closed at their other end. Everything else
/// follows the clock.
fn handle_suspension(hub: &Hub, suspended: Duration) {
    warn!(hub.log(), "machine was suspended"; "ms" => suspended.as_millis() as u64);
    hub.metrics().suspended();
    hub.upstream_connections().close_idle();
    hub.clock().wake();
}

/// Sends nothing to the cold engines of groups that are new to this box until [`cold::RATE_WINDOW`]
/// has passed, since this box doesn't know what other boxes have just sent to them.
fn hold_cold_engines(hub: &Hub, groups: &BTreeSet<EngineGroup>, before: &BTreeSet<EngineGroup>) {
    let until = hub.now() + cold::RATE_WINDOW;
    hub.with_registry(|registry| {
        groups.difference(before).for_each(|group| registry.hold_cold_engines(*group, until))
    });
}

/// Rereads the settings on SIGHUP, or when the file has changed, and adds new seeds.
async fn reload(hub: Arc<Hub>, path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        warn!(hub.log(), "cannot listen for SIGHUP; settings are not reloaded");
        return;
    };
    let mut last_modified = modified_at(&path);
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = aligned_timer::wait_for_tick(SETTINGS_POLL_INTERVAL) => false,
        };
        let modified = modified_at(&path);
        if !signalled && modified == last_modified {
            continue;
        }
        last_modified = modified;
        match settings::read(&path) {
            Ok(cfg) => {
                hub.peers().add_seeds(&cfg.seeds);
                info!(hub.log(), "settings reloaded"; "seeds" => cfg.seeds.len());
            }
            Err(e) => {
                warn!(hub.log(), "invalid settings; keeping the previous ones"; "error" => %e)
            }
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}
