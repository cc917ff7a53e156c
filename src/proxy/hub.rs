//! What all requests of a process share, and the one place where the view meets the network.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::Logger;
use slog::info;
use slog::warn;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::admit;
use crate::placement::admit::Denial;
use crate::placement::admit::PlacementQuery;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::SelectionCriteria;
use crate::placement::plain;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::registry::learned::LearnedReport;
use crate::placement::share::Shares;
use crate::proxy::adapter::EngineClient;
use crate::proxy::adapter::HeaderAdapter;
use crate::proxy::capacity;
use crate::proxy::engine_placement::OwnerRequests;
use crate::proxy::message::Message;
use crate::proxy::peers::Peers;
use crate::proxy::placed_request::CountGuard;
use crate::proxy::proxy_metrics::ProxyMetrics;
use crate::proxy::retry_budget::RetryBudget;
use crate::proxy::rollouts::RolloutState;
use crate::proxy::routing_table::RoutingTable;
use crate::proxy::settings::Settings;
use crate::proxy::suspects;
use crate::proxy::suspects::Suspects;
use crate::proxy::upstream_connections::ConnectionQuota;
use crate::proxy::upstream_connections::QuotaInputs;
use crate::proxy::upstream_connections::UpstreamConnections;
use crate::proxy::view::Change;
use crate::proxy::view::Snapshot;
use crate::proxy::view::View;

/// What all requests of a process share.
pub struct Hub {
    inner: Mutex<Inner>,
    clock: Arc<Clock>,
    dialect: Arc<dyn HeaderAdapter>,
    engines: Arc<dyn EngineClient>,
    upstream_connections: Arc<UpstreamConnections>,
    peers: Peers,
    metrics: ProxyMetrics,
    log: Logger,
    in_flight: Arc<AtomicUsize>,
    owner_requests: OwnerRequests,
    suspects: Suspects,
    rollouts: RolloutState,
    look: Notify,
    warm: AtomicBool,
    streams: Arc<AtomicUsize>,
    streams_max: AtomicUsize,
    full: AtomicBool,
    starts: Arc<AtomicUsize>,
    turned_away: AtomicUsize,
    connections: Arc<AtomicUsize>,
    connections_max: usize,
    late_max: Duration,
}

struct Inner {
    view: View,
    budget: RetryBudget,
    shares: Shares,
    /// Of plain services, in requests.
    plain_shares: Shares,
}

impl Hub {
    /// A hub that knows nothing yet.
    pub fn new(
        cfg: &Settings,
        clock: Arc<Clock>,
        dialect: Arc<dyn HeaderAdapter>,
        engines: Arc<dyn EngineClient>,
        peers: Peers,
        metrics: ProxyMetrics,
        log: Logger,
    ) -> Arc<Hub> {
        let fleet = UpstreamRegistry::new(cfg.identity.zone.clone(), cfg.tuning);
        let inner = Inner {
            view: View::new(fleet),
            budget: RetryBudget::new(cfg.repeats),
            shares: Shares::new(cfg.share_window),
            plain_shares: Shares::new(cfg.share_window),
        };
        let hub = Arc::new(Hub {
            inner: Mutex::new(inner),
            dialect,
            engines,
            upstream_connections: UpstreamConnections::new(clock.clone()),
            clock,
            peers,
            metrics,
            log,
            in_flight: Arc::default(),
            owner_requests: OwnerRequests::default(),
            suspects: Suspects::default(),
            rollouts: RolloutState::new(cfg.exposure),
            look: Notify::new(),
            warm: AtomicBool::new(false),
            streams: Arc::default(),
            streams_max: AtomicUsize::new(capacity::initial_stream_limit(cfg.cores)),
            full: AtomicBool::new(false),
            starts: Arc::default(),
            turned_away: AtomicUsize::new(0),
            connections: Arc::default(),
            connections_max: capacity::caller_connections_max(cfg.descriptors, cfg.memory_bytes),
            late_max: cfg.late_max,
        });
        hub.metrics.register_gauges(&hub);
        hub
    }

    /// How callers and upstreams speak.
    pub fn dialect(&self) -> &dyn HeaderAdapter {
        &*self.dialect
    }

    /// Calls to engines beside requests.
    pub fn engines(&self) -> &dyn EngineClient {
        &*self.engines
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(&self) -> CountGuard {
        CountGuard::new(self.in_flight.clone())
    }

    /// Requests that are served now.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Connections to upstreams.
    pub fn upstream_connections(&self) -> &Arc<UpstreamConnections> {
        &self.upstream_connections
    }

    /// The other boxes.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// The figures of this process.
    pub fn metrics(&self) -> &ProxyMetrics {
        &self.metrics
    }

    /// The log.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The configuration in force.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.read(|view| view.table().cloned())
    }

    /// Its version; zero before the first.
    pub fn version(&self) -> u64 {
        self.read(View::version)
    }

    /// The clock of the process.
    pub fn clock(&self) -> &Arc<Clock> {
        &self.clock
    }

    /// Time since the start, as the models take it, suspended time included.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Counts a stream until the guard is dropped, unless there are as many as this box can pass
    /// on.
    pub fn try_track_stream(&self) -> Option<CountGuard> {
        (self.streams() < self.streams_max()).then(|| CountGuard::new(self.streams.clone()))
    }

    /// Whether this box has as many streams as it can pass on, or has turned callers away lately; new
    /// callers do better elsewhere.
    pub fn is_full(&self) -> bool {
        self.full.load(Ordering::Relaxed)
    }

    /// Notes whether new callers do better elsewhere.
    pub fn set_full(&self, full: bool) {
        self.full.store(full, Ordering::Relaxed);
    }

    /// Counts a request until the guard is dropped, when it has been sent.
    pub fn track_unsent(&self) -> CountGuard {
        CountGuard::new(self.starts.clone())
    }

    /// Requests that have come and not been sent yet.
    pub fn unsent(&self) -> usize {
        self.starts.load(Ordering::Relaxed)
    }

    /// Notes that a caller is turned away.
    pub fn count_turned_away(&self) {
        self.turned_away.fetch_add(1, Ordering::Relaxed);
    }

    /// How many callers have been turned away so far.
    pub fn turned_away(&self) -> usize {
        self.turned_away.load(Ordering::Relaxed)
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn track_connection(&self) -> CountGuard {
        CountGuard::new(self.connections.clone())
    }

    /// Callers' connections that are open.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Callers' connections that may be open at once.
    pub fn connections_max(&self) -> usize {
        self.connections_max
    }

    /// Whether callers should come back on new connections, which the balancer may lead elsewhere: more
    /// of their connections are open than this box needs. Those of a full box are kept: callers use them
    /// again, and only what is beyond them goes to other boxes.
    pub fn should_close_connections(&self) -> bool {
        self.connections_max / 2 < self.connections()
    }

    /// Until when a stream's pieces that follow are held; nothing for those that are passed on at once.
    pub fn coalesce_until(&self) -> Option<Instant> {
        let now = self.now();
        let until =
            capacity::coalesce_until(self.streams(), self.streams_max(), self.late_max, now);
        until.map(|until| Instant::now() + until.saturating_sub(now))
    }

    /// Streams that are served now.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// How many streams this box takes at a time.
    pub fn streams_max(&self) -> usize {
        self.streams_max.load(Ordering::Relaxed)
    }

    /// Changes how many streams this box takes at a time.
    pub fn set_streams_max(&self, max: usize) {
        self.streams_max.store(max, Ordering::Relaxed);
    }

    /// Whether this box knows what engines keep.
    pub fn is_warm(&self) -> bool {
        self.warm.load(Ordering::Relaxed)
    }

    /// Takes over what is said of the engines; the box is warm from then on.
    pub fn warm_up(&self, learned: &LearnedReport) {
        self.fleet(|fleet| fleet.apply_learned(learned));
        self.change(|view, now| {
            learned.draining.iter().for_each(|draining| _ = view.apply_draining(draining, now));
        });
        self.warm.store(true, Ordering::Relaxed);
        let parts: usize = learned.cached.iter().map(|k| k.parts.len()).sum();
        let samples: u64 = learned.speeds.iter().map(|(_, speed)| speed.samples()).sum();
        info!(self.log, "warm"; "engines" => learned.cached.len(), "parts" => parts,
            "first_tokens" => samples, "draining" => learned.draining.len());
    }

    /// Looks at the view.
    pub fn read<T>(&self, f: impl FnOnce(&View) -> T) -> T {
        f(&self.inner.lock().expect("no panic under lock").view)
    }

    /// Changes the view, and logs and tells what has changed by it.
    pub fn change<T>(&self, f: impl FnOnce(&mut View, Duration) -> T) -> T {
        let mut inner = self.inner.lock().expect("no panic under lock");
        let result = f(&mut inner.view, self.now());
        let changes = inner.view.take_changes();
        let sees_store = inner.view.reaches_store();
        drop(inner);
        for change in changes {
            self.report_change(&change, sees_store);
        }
        result
    }

    /// Takes over what another box knows.
    pub fn apply_snapshot(&self, snapshot: Snapshot) {
        self.change(|view, now| view.apply_snapshot(snapshot, now));
    }

    /// Chooses an upstream of a plain service.
    pub fn choose(&self, criteria: SelectionCriteria<'_>) -> Result<Choice, ChoiceError> {
        let now = self.now();
        self.read(|view| view.fleet().choose(criteria, now))
    }

    /// Places a request by what this box believes.
    pub fn admit(&self, query: PlacementQuery<'_>) -> Result<Choice, Denial> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        let Inner { view, shares, .. } = &mut *inner;
        admit::admit(view.fleet_mut(), shares, query, now)
    }

    /// Forgets a request that isn't sent, and takes back what was counted for it.
    pub fn withdraw(&self, request: u64) {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.view.fleet_mut().withdraw(request, now);
        inner.shares.revert(request, now);
        inner.plain_shares.revert(request, now);
    }

    /// Places a request for a plain service by what this box counts.
    pub fn admit_plain(&self, query: plain::PlainQuery<'_>) -> Result<Choice, Denial> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        let Inner { view, plain_shares, .. } = &mut *inner;
        plain::admit(view.fleet_mut(), plain_shares, query, now)
    }

    /// Changes what is known of the shares of workspaces at plain services.
    pub fn plain_shares<T>(&self, f: impl FnOnce(&mut Shares) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock").plain_shares)
    }

    /// What has been asked of other boxes.
    pub fn owner_requests(&self) -> &OwnerRequests {
        &self.owner_requests
    }

    /// Requests that may end upstreams.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Versions that are rolled out.
    pub fn rollouts(&self) -> &RolloutState {
        &self.rollouts
    }

    /// Changes what is known of the shares of workspaces.
    pub fn shares<T>(&self, f: impl FnOnce(&mut Shares) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock").shares)
    }

    /// Counts a caller's request for the budget of repeats.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.inner.lock().expect("no panic under lock").budget.record_request(service, now);
    }

    /// Takes a repeat out of the budget; false when it is used up.
    pub fn try_take_retry(&self, service: &ServiceName) -> bool {
        let (now, boxes) = (self.now(), self.peers.live_count() + 1);
        let mut inner = self.inner.lock().expect("no panic under lock");
        let allowed = inner.budget.try_take(service, boxes, now);
        drop(inner);
        self.metrics.retry(allowed);
        allowed
    }

    /// How many connections to an upstream this box may have, where it takes so many from all;
    /// `is_placed` for a request that the upstream's owner has placed.
    pub fn connection_quota(
        &self,
        upstream: &UpstreamName,
        connections: u32,
        is_placed: bool,
    ) -> ConnectionQuota {
        let admission_limit = self.read(|view| view.fleet().admission_limit(upstream));
        let draw = self.peers.own_draw(upstream);
        let boxes = self.peers.known_count();
        ConnectionQuota::new(QuotaInputs { connections, admission_limit, boxes, draw }, is_placed)
    }

    /// Whether this box backs off from an upstream, or waits for answers of its slow start.
    pub fn is_backing_off(&self, upstream: &UpstreamName) -> bool {
        let now = self.now();
        self.read(|view| view.fleet().is_backing_off(upstream, now))
    }

    /// Notes that it is time to connect to an upstream.
    pub fn request_probe(&self) {
        self.look.notify_one();
    }

    /// Waits until it is time to connect to an upstream.
    pub async fn probe_requested(&self) {
        self.look.notified().await;
    }

    /// Changes what is known of the upstreams.
    pub fn fleet<T>(&self, f: impl FnOnce(&mut UpstreamRegistry) -> T) -> T {
        f(self.inner.lock().expect("no panic under lock").view.fleet_mut())
    }

    fn report_change(&self, change: &Change, sees_store: bool) {
        match change {
            Change::Configured(version) => info!(self.log, "configured"; "version" => version),
            Change::Listed(count) => info!(self.log, "upstreams listed"; "count" => count),
            Change::Upstream(listed) => {
                info!(self.log, "upstream"; "name" => listed.name.as_str(),
                    "service" => listed.service.as_str(), "addr" => %listed.addr);
            }
            Change::Leaving(name) => {
                info!(self.log, "upstream leaving"; "name" => name.as_str());
            }
            Change::ReportedLeaving(name) => {
                info!(self.log, "upstream said to be leaving"; "name" => name.as_str());
            }
            Change::Gone(name) => {
                info!(self.log, "upstream gone"; "name" => name.as_str());
                suspects::entry_removed(self, name);
            }
            Change::Evacuated(evacuated) => {
                let zones: Vec<&str> = evacuated.zones.iter().map(|zone| zone.as_str()).collect();
                info!(self.log, "zones evacuated"; "zones" => zones.join(","),
                    "revision" => %evacuated.revision);
                // A sign of life tells it on, whether or not this box sees the store.
                self.peers.request_heartbeat();
            }
            Change::StoreRestored(era) => {
                warn!(self.log, "store came back from an older copy"; "era" => era);
                self.metrics.store_restored();
                self.suspects.persist_again();
            }
            Change::Restarted(name, addr, started_at_ms) => {
                let cut = self.upstream_connections.close_before_restart(*addr, *started_at_ms);
                info!(self.log, "upstream restarted"; "name" => name.as_str(), "addr" => %addr,
                    "born" => started_at_ms, "connections_cut" => cut);
                self.metrics.upstream_restarted();
                suspects::restarted(self, name);
            }
            Change::Missing(name) => {
                info!(self.log, "upstream's entry missing"; "name" => name.as_str());
            }
        }
        if !sees_store {
            return;
        }
        match change {
            Change::Leaving(name) => {
                self.peers.send_to_followers(&Message::Leaving { upstream: name.clone() });
            }
            Change::Gone(name) => {
                self.peers.send_to_followers(&Message::Gone { upstream: name.clone() });
            }
            Change::Upstream(listed) => {
                self.peers.send_to_followers(&Message::Listed(listed.clone()));
            }
            Change::Configured(_) => self.peers.request_heartbeat(),
            Change::Listed(_)
            | Change::ReportedLeaving(_)
            | Change::Missing(_)
            | Change::Evacuated(_)
            | Change::StoreRestored(_)
            | Change::Restarted(..) => {}
        }
    }
}
