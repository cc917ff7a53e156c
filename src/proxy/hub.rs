//! State shared by all requests of a proxy process. Changes of the [`View`] are logged here and
//! sent to other boxes.

use std::net::IpAddr;
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
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::Clock;
use crate::fleet::in_progress::received::ReceivedReports;
use crate::fleet::in_progress::table::RequestTable;
use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::admit;
use crate::placement::admit::Denial;
use crate::placement::admit::Obstacle;
use crate::placement::admit::PlacementQuery;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::SelectionCriteria;
use crate::placement::cold::Role;
use crate::placement::plain;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::registry::learned::LearnedReport;
use crate::placement::share::Shares;
use crate::placement::waiting::Admission;
use crate::placement::waiting::Answer;
use crate::placement::waiting::Outcome;
use crate::placement::waiting::WaitingRequests;
use crate::proxy::adapter::EngineClient;
use crate::proxy::adapter::HeaderAdapter;
use crate::proxy::adapter::VersionLog;
use crate::proxy::capacity;
use crate::proxy::connection_reuse::ReuseRule;
use crate::proxy::engine_placement::OwnerRequests;
use crate::proxy::headroom::HeadroomState;
use crate::proxy::held_tracker::HeldTracker;
use crate::proxy::message::Message;
use crate::proxy::own_speeds;
use crate::proxy::part_suspects::PartSuspects;
use crate::proxy::peers::Peers;
use crate::proxy::placed_request::CountGuard;
use crate::proxy::placement_queue;
use crate::proxy::placement_queue::Recipient;
use crate::proxy::proxy_metrics::ProxyMetrics;
use crate::proxy::retry_budget::RetryBudget;
use crate::proxy::rollouts::RolloutState;
use crate::proxy::routing_table::RoutingTable;
use crate::proxy::settings::Settings;
use crate::proxy::shutdown::Shutdown;
use crate::proxy::stream_versions::StreamVersions;
use crate::proxy::suspects;
use crate::proxy::suspects::Suspects;
use crate::proxy::upstream_connections::ConnectionQuota;
use crate::proxy::upstream_connections::QuotaInputs;
use crate::proxy::upstream_connections::UpstreamConnections;
use crate::proxy::view::Change;
use crate::proxy::view::Snapshot;
use crate::proxy::view::View;

/// State shared by all requests of a proxy process.
pub struct Hub {
    inner: Mutex<Inner>,
    clock: Arc<Clock>,
    header_adapter: Arc<dyn HeaderAdapter>,
    engine_client: Arc<dyn EngineClient>,
    version_log: Arc<dyn VersionLog>,
    upstream_connections: Arc<UpstreamConnections>,
    peers: Peers,
    metrics: ProxyMetrics,
    log: Logger,
    in_flight: Arc<AtomicUsize>,
    owner_requests: OwnerRequests,
    own_requests: Mutex<RequestTable>,
    received_reports: Mutex<ReceivedReports>,
    queue_changed: Notify,
    headroom: HeadroomState,
    suspects: Suspects,
    part_suspects: PartSuspects,
    rollouts: RolloutState,
    stream_versions: StreamVersions,
    probe_requested: Notify,
    is_warm: AtomicBool,
    streams: Arc<AtomicUsize>,
    streams_max: AtomicUsize,
    is_full: AtomicBool,
    stalled_at: Mutex<Option<Duration>>,
    unsent: Arc<AtomicUsize>,
    rejected: AtomicUsize,
    connections: Arc<AtomicUsize>,
    connections_max: usize,
    held: Option<Arc<HeldTracker>>,
    late_max: Duration,
    shutdown: Shutdown,
}

/// Adapters to the product that embeds the proxy, which requests use.
pub struct Adapters {
    pub header_adapter: Arc<dyn HeaderAdapter>,
    pub engine_client: Arc<dyn EngineClient>,
    pub version_log: Arc<dyn VersionLog>,
}

struct Inner {
    view: View,
    budget: RetryBudget,
    shares: Shares,
    /// Shares at plain services, counted in requests.
    plain_shares: Shares,
    /// Requests that wait for engines for which this box decides.
    waiting: WaitingRequests<Recipient>,
}

impl Hub {
    /// Creates a hub with an empty view.
    pub fn new(
        cfg: &Settings,
        clock: Arc<Clock>,
        adapters: Adapters,
        peers: Peers,
        metrics: ProxyMetrics,
        log: Logger,
    ) -> Arc<Hub> {
        let registry = UpstreamRegistry::new(cfg.identity.zone.clone(), cfg.tuning);
        let inner = Inner {
            view: View::new(registry),
            budget: RetryBudget::new(cfg.repeats),
            shares: Shares::new(cfg.share_window),
            plain_shares: Shares::new(cfg.share_window),
            waiting: WaitingRequests::default(),
        };
        let own_requests = RequestTable::new(peers.own_ip(), peers.incarnation());
        let stream_versions = StreamVersions::new(peers.own_ip(), peers.incarnation());
        let started = Duration::from_millis(peers.incarnation());
        let held_bound = (cfg.memory_bytes as f64 * cfg.held_share) as usize;
        let hub = Arc::new(Hub {
            inner: Mutex::new(inner),
            header_adapter: adapters.header_adapter,
            engine_client: adapters.engine_client,
            version_log: adapters.version_log,
            upstream_connections: UpstreamConnections::new(clock.clone()),
            held: (held_bound != 0)
                .then(|| HeldTracker::new(held_bound, clock.clone(), metrics.clone(), log.clone())),
            clock,
            peers,
            metrics,
            log,
            in_flight: Arc::default(),
            owner_requests: OwnerRequests::default(),
            own_requests: Mutex::new(own_requests),
            received_reports: Mutex::default(),
            queue_changed: Notify::new(),
            headroom: HeadroomState::new(cfg.tuning.small_batch, started),
            suspects: Suspects::default(),
            part_suspects: PartSuspects::default(),
            rollouts: RolloutState::new(cfg.exposure),
            stream_versions,
            probe_requested: Notify::new(),
            is_warm: AtomicBool::new(false),
            streams: Arc::default(),
            streams_max: AtomicUsize::new(capacity::initial_stream_limit(cfg.cores)),
            is_full: AtomicBool::new(false),
            stalled_at: Mutex::default(),
            unsent: Arc::default(),
            rejected: AtomicUsize::new(0),
            connections: Arc::default(),
            connections_max: capacity::caller_connections_max(cfg.descriptors, cfg.memory_bytes),
            late_max: cfg.late_max,
            shutdown: Shutdown::default(),
        });
        hub.metrics.register_gauges(&hub);
        hub
    }

    /// The adapter for the HTTP headers of callers and upstreams.
    pub fn header_adapter(&self) -> &dyn HeaderAdapter {
        &*self.header_adapter
    }

    /// Client for calls to engines other than forwarded requests.
    pub fn engine_client(&self) -> &dyn EngineClient {
        &*self.engine_client
    }

    /// Reads the versions of upstreams from the store.
    pub fn version_log(&self) -> &dyn VersionLog {
        &*self.version_log
    }

    /// The progress of a planned stop.
    pub fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(&self) -> CountGuard {
        CountGuard::new(self.in_flight.clone())
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// The pool of connections to upstreams.
    pub fn upstream_connections(&self) -> &Arc<UpstreamConnections> {
        &self.upstream_connections
    }

    /// The other boxes.
    pub fn peers(&self) -> &Peers {
        &self.peers
    }

    /// The metrics of this process.
    pub fn metrics(&self) -> &ProxyMetrics {
        &self.metrics
    }

    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// The routing table in force; `None` before the first configuration.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.read(|view| view.table().cloned())
    }

    /// The version of the configuration in force; zero before the first.
    pub fn version(&self) -> u64 {
        self.read(View::version)
    }

    pub fn clock(&self) -> &Arc<Clock> {
        &self.clock
    }

    /// Time since the start, including time for which the machine was suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Counts a stream until the guard is dropped. `None` if this box already forwards as many as
    /// it can.
    pub fn try_track_stream(&self) -> Option<CountGuard> {
        (self.streams() < self.streams_max()).then(|| CountGuard::new(self.streams.clone()))
    }

    /// Whether this box forwards as many streams as it can, or refused callers recently. New
    /// callers should then connect to other boxes.
    pub fn is_full(&self) -> bool {
        self.is_full.load(Ordering::Relaxed)
    }

    /// Sets whether new callers should connect to other boxes.
    pub fn set_full(&self, full: bool) {
        self.is_full.store(full, Ordering::Relaxed);
    }

    /// Counts a request as unsent; the guard is dropped once it has been sent to an upstream.
    pub fn track_unsent(&self) -> CountGuard {
        CountGuard::new(self.unsent.clone())
    }

    /// Returns the number of requests that were received and not yet sent to an upstream.
    pub fn unsent(&self) -> usize {
        self.unsent.load(Ordering::Relaxed)
    }

    /// Counts a caller that is refused for overload.
    pub fn count_rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many callers have been refused for overload since the start.
    pub fn rejected(&self) -> usize {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Tracks the bytes held for callers and upstreams; `None` if they are not bounded.
    pub fn held(&self) -> Option<&Arc<HeldTracker>> {
        self.held.as_ref()
    }

    /// Counts a caller's connection until the guard is dropped.
    pub fn track_connection(&self) -> CountGuard {
        CountGuard::new(self.connections.clone())
    }

    /// Returns the number of open connections from callers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Maximum number of connections from callers that may be open at a time.
    pub fn connections_max(&self) -> usize {
        self.connections_max
    }

    /// Whether to close callers' connections after the response, so that the load balancer can
    /// assign new ones to other boxes: more of them are open than this box needs. Being full is no
    /// reason to close them: callers reuse open connections, and only new ones go to other boxes.
    pub fn should_close_connections(&self) -> bool {
        self.connections_max / 2 < self.connections()
    }

    /// Until when the next chunks of a stream are buffered; `None` if they are forwarded at once.
    pub fn coalesce_until(&self) -> Option<Instant> {
        let now = self.now();
        let until =
            capacity::coalesce_until(self.streams(), self.streams_max(), self.late_max, now);
        until.map(|until| Instant::now() + until.saturating_sub(now))
    }

    /// Returns the number of streams being forwarded.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// Maximum number of streams that this box forwards at a time.
    pub fn streams_max(&self) -> usize {
        self.streams_max.load(Ordering::Relaxed)
    }

    /// Sets how many streams this box may forward at a time.
    pub fn set_streams_max(&self, max: usize) {
        self.streams_max.store(max, Ordering::Relaxed);
    }

    /// Whether this box knows which prompts the engines have cached.
    pub fn is_warm(&self) -> bool {
        self.is_warm.load(Ordering::Relaxed)
    }

    /// Applies a report on the engines; the box counts as warm from then on.
    pub fn warm_up(&self, learned: &LearnedReport) {
        self.with_registry(|registry| registry.apply_learned(learned));
        own_speeds::adopt(self, &learned.own_speeds);
        self.change(|view, now| {
            learned.draining.iter().for_each(|draining| _ = view.apply_draining(draining, now));
        });
        self.is_warm.store(true, Ordering::Relaxed);
        let parts: usize = learned.cached.iter().map(|k| k.parts.len()).sum();
        let samples: u64 = learned.speeds.iter().map(|(_, speed)| speed.samples()).sum();
        info!(self.log, "warm"; "engines" => learned.cached.len(), "parts" => parts,
            "first_tokens" => samples, "draining" => learned.draining.len());
    }

    /// Reads the view.
    pub fn read<T>(&self, f: impl FnOnce(&View) -> T) -> T {
        f(&self.inner.lock().expect("no panic under lock").view)
    }

    /// Modifies the view, then logs the resulting changes and sends them to other boxes.
    pub fn change<T>(&self, f: impl FnOnce(&mut View, Duration) -> T) -> T {
        let mut inner = self.inner.lock().expect("no panic under lock");
        let result = f(&mut inner.view, self.now());
        let changes = inner.view.take_changes();
        let reaches_store = inner.view.reaches_store();
        self.headroom.set_enabled(inner.view.registry().has_headroom());
        self.examine_queue(&inner);
        drop(inner);
        for change in changes {
            self.report_change(&change, reaches_store);
        }
        result
    }

    /// Applies a snapshot received from another box.
    pub fn apply_snapshot(&self, snapshot: Snapshot) {
        self.change(|view, now| view.apply_snapshot(snapshot, now));
    }

    /// Chooses an upstream for a request of a plain service.
    pub fn choose(&self, criteria: SelectionCriteria<'_>) -> Result<Choice, ChoiceError> {
        let now = self.now();
        self.read(|view| view.registry().choose(criteria, now))
    }

    /// Places a request by the state known to this box.
    pub fn admit(&self, query: PlacementQuery<'_>) -> Result<Choice, Denial> {
        self.admit_or_redirect(query, |_, _| None)
    }

    /// Like [`Hub::admit`], but a request that would wait or be denied may be sent to the group
    /// that `redirect` returns.
    pub fn admit_or_redirect(
        &self,
        query: PlacementQuery<'_>,
        redirect: impl FnOnce(&UpstreamRegistry, Obstacle<'_>) -> Option<EngineGroup>,
    ) -> Result<Choice, Denial> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        let Inner { view, shares, .. } = &mut *inner;
        admit::admit_or_redirect(view.registry_mut(), shares, query, now, redirect)
    }

    /// Removes a request that isn't sent, and reverts what was charged for it.
    pub fn withdraw(&self, request: u64) {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.view.registry_mut().withdraw(request, now);
        inner.shares.revert(request, now);
        inner.plain_shares.revert(request, now);
        let queued = inner.waiting.withdraw(request, now);
        self.examine_queue(&inner);
        drop(inner);
        if let Some(queued) = queued {
            placement_queue::log_end(self, request, None, Outcome::Withdrawn, queued);
        }
    }

    /// Places a request by the state known to this box, or queues it if it can begin in time. One
    /// that would wait or be denied may be sent to the group that `redirect` returns.
    pub fn admit_or_queue(
        &self,
        query: PlacementQuery<'_>,
        recipient: Recipient,
        redirect: impl FnOnce(&UpstreamRegistry, Obstacle<'_>) -> Option<EngineGroup>,
    ) -> Admission<Recipient> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        let Inner { view, shares, waiting, .. } = &mut *inner;
        let admission = waiting.admit(view.registry_mut(), shares, query, recipient, now, redirect);
        if matches!(admission, Admission::Queued { .. }) {
            self.queue_changed.notify_one();
        }
        admission
    }

    /// Places the waiting requests that can begin, and denies those that can't in time. `role` is
    /// this box's role for a group of engines, if it has one.
    pub fn dispatch_queued(
        &self,
        role: impl Fn(EngineGroup) -> Option<Role>,
    ) -> Vec<Answer<Recipient>> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        let Inner { view, shares, waiting, .. } = &mut *inner;
        waiting.dispatch(view.registry_mut(), shares, role, now)
    }

    /// The number of requests that wait for engines.
    pub fn waiting_count(&self) -> usize {
        self.inner.lock().expect("no panic under lock").waiting.len()
    }

    /// Time until an engine is expected to be free for a waiting request; `None` if none waits.
    pub fn engine_free_in(&self) -> Option<Duration> {
        let now = self.now();
        self.inner.lock().expect("no panic under lock").waiting.free_in(now)
    }

    /// Waits until requests may leave the queue, or one has been queued.
    pub async fn queue_changed(&self) {
        self.queue_changed.notified().await;
    }

    /// Has waiting requests examined, since the state of engines has changed.
    fn examine_queue(&self, inner: &Inner) {
        if !inner.waiting.is_empty() {
            self.queue_changed.notify_one();
        }
    }

    /// Removes the requests of a dead box, which run nowhere and await no decision.
    pub fn remove_sender(&self, sender: IpAddr) {
        let mut inner = self.inner.lock().expect("no panic under lock");
        inner.view.registry_mut().remove_sender(sender);
        inner.waiting.remove_sender(sender);
    }

    /// Places a request for a plain service by the counts of this box.
    pub fn admit_plain(&self, query: plain::PlainQuery<'_>) -> Result<Choice, Denial> {
        let now = self.now();
        let mut inner = self.inner.lock().expect("no panic under lock");
        let Inner { view, plain_shares, .. } = &mut *inner;
        plain::admit(view.registry_mut(), plain_shares, query, now)
    }

    /// Accesses the shares of workspaces at plain services.
    pub fn plain_shares<T>(&self, f: impl FnOnce(&mut Shares) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock").plain_shares)
    }

    /// Placement requests sent to other boxes.
    pub fn owner_requests(&self) -> &OwnerRequests {
        &self.owner_requests
    }

    /// Accesses this box's requests in progress.
    pub fn own_requests<T>(&self, f: impl FnOnce(&mut RequestTable) -> T) -> T {
        f(&mut self.own_requests.lock().expect("no panic under lock"))
    }

    /// Accesses the reports of other boxes on their requests in progress.
    pub fn received_reports<T>(&self, f: impl FnOnce(&mut ReceivedReports) -> T) -> T {
        f(&mut self.received_reports.lock().expect("no panic under lock"))
    }

    /// Free capacity that owners have announced to each other.
    pub fn headroom(&self) -> &HeadroomState {
        &self.headroom
    }

    /// Requests suspected of crashing upstreams.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Records that the process did not run for a while until now.
    pub fn record_stall(&self) {
        *self.stalled_at.lock().expect("no panic under lock") = Some(self.now());
    }

    /// Whether the process did not run for a while that ended after `since`.
    pub fn has_stalled_since(&self, since: Duration) -> bool {
        let stalled_at = *self.stalled_at.lock().expect("no panic under lock");
        stalled_at.is_some_and(|at| since < at)
    }

    /// Parts of prompts suspected of crashing engines.
    pub fn part_suspects(&self) -> &PartSuspects {
        &self.part_suspects
    }

    /// Roll-outs of new versions.
    pub fn rollouts(&self) -> &RolloutState {
        &self.rollouts
    }

    /// Which versions began streams.
    pub fn stream_versions(&self) -> &StreamVersions {
        &self.stream_versions
    }

    /// Accesses the shares of workspaces at engines.
    pub fn shares<T>(&self, f: impl FnOnce(&mut Shares) -> T) -> T {
        f(&mut self.inner.lock().expect("no panic under lock").shares)
    }

    /// Counts a caller's request towards the retry budget of its service.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.inner.lock().expect("no panic under lock").budget.record_request(service, now);
    }

    /// Takes a retry from the budget; false if it is exhausted.
    pub fn try_take_retry(&self, service: &ServiceName) -> bool {
        let (now, boxes) = (self.now(), self.peers.live_count() + 1);
        let mut inner = self.inner.lock().expect("no panic under lock");
        let allowed = inner.budget.try_take(service, boxes, now);
        drop(inner);
        self.metrics.retry(allowed);
        allowed
    }

    /// Returns how many connections to an upstream this box may open, of the `connections` that the
    /// upstream accepts from all boxes. `is_placed` if the upstream's owner placed the request.
    pub fn connection_quota(
        &self,
        upstream: &UpstreamName,
        connections: u32,
        is_placed: bool,
    ) -> ConnectionQuota {
        let admission_limit = self.read(|view| view.registry().admission_limit(upstream));
        let draw = self.peers.own_draw(upstream);
        let boxes = self.peers.known_count();
        ConnectionQuota::new(QuotaInputs { connections, admission_limit, boxes, draw }, is_placed)
    }

    /// Which idle connections to an upstream a request may use.
    pub fn reuse_rule(&self, upstream: &UpstreamName, is_once_only: bool) -> ReuseRule {
        let trusts_announced = self.read(|view| view.registry().prefers_connected(upstream));
        ReuseRule { is_once_only, trusts_announced }
    }

    /// The hash of the name of an upstream's zone; zero if the upstream isn't listed.
    pub fn zone_hash(&self, upstream: &UpstreamName) -> u64 {
        self.read(|view| {
            view.registry().get(upstream).map_or(0, |listed| xxh3_64(listed.zone.as_bytes()))
        })
    }

    /// Short hashes of engines of a group to which this box has an idle connection for a request.
    pub fn connected(
        &self,
        service: &str,
        group: Option<EngineGroup>,
        is_once_only: bool,
    ) -> Vec<u16> {
        let prefers_connected = self.read(|view| {
            let small_batch = view.registry().tuning().small_batch;
            let engine = view.table().and_then(|t| t.service(service)).and_then(|s| s.engine);
            engine.is_some_and(|limits| small_batch.prefers_connected(limits.slots))
        });
        if !prefers_connected {
            return Vec::new();
        }
        let reuse_rule = ReuseRule { is_once_only, trusts_announced: true };
        self.upstream_connections.connected(group, reuse_rule)
    }

    /// Whether this box backs off from an upstream, or the upstream's slow start after a backoff
    /// admits no more requests for now.
    pub fn is_backing_off(&self, upstream: &UpstreamName) -> bool {
        let now = self.now();
        self.read(|view| view.registry().is_backing_off(upstream, now))
    }

    /// Wakes the task that probes upstreams by connecting to them.
    pub fn request_probe(&self) {
        self.probe_requested.notify_one();
    }

    /// Waits until an upstream is to be probed.
    pub async fn probe_requested(&self) {
        self.probe_requested.notified().await;
    }

    /// Accesses the state of the upstreams.
    pub fn with_registry<T>(&self, f: impl FnOnce(&mut UpstreamRegistry) -> T) -> T {
        let mut inner = self.inner.lock().expect("no panic under lock");
        let result = f(inner.view.registry_mut());
        self.examine_queue(&inner);
        result
    }

    fn report_change(&self, change: &Change, reaches_store: bool) {
        match change {
            Change::Configured(version) => info!(self.log, "configured"; "version" => version),
            Change::Listed(count) => info!(self.log, "upstreams listed"; "count" => count),
            Change::Upstream(listed, _) => {
                info!(self.log, "upstream"; "name" => listed.name.as_str(),
                    "service" => listed.service.as_str(), "addr" => %listed.addr);
            }
            Change::Leaving(name) => {
                info!(self.log, "upstream leaving"; "name" => name.as_str());
            }
            Change::ReportedLeaving(name) => {
                info!(self.log, "upstream reported as leaving"; "name" => name.as_str());
            }
            Change::Gone(name, _) => {
                info!(self.log, "upstream gone"; "name" => name.as_str());
                suspects::entry_removed(self, name);
            }
            Change::Evacuated(evacuated) => {
                let zones: Vec<&str> = evacuated.zones.iter().map(|zone| zone.as_str()).collect();
                info!(self.log, "zones evacuated"; "zones" => zones.join(","),
                    "revision" => %evacuated.revision);
                // Heartbeats carry it to the other boxes, whether or not this box reaches the
                // store.
                self.peers.request_heartbeat();
            }
            Change::StoreRestored(era) => {
                warn!(self.log, "store came back from an older copy"; "era" => era);
                self.metrics.store_restored();
                self.suspects.to_save().save_again();
                self.part_suspects.to_save().save_again();
                self.stream_versions.save_again();
            }
            Change::Restarted(name, addr, started_at_ms) => {
                let cut = self.upstream_connections.close_before_restart(*addr, *started_at_ms);
                info!(self.log, "upstream restarted"; "name" => name.as_str(), "addr" => %addr,
                    "born" => started_at_ms, "connections_cut" => cut);
                self.metrics.upstream_restarted();
                suspects::restarted(self, name);
            }
            Change::Missing(name) => {
                info!(self.log, "upstream entry missing"; "name" => name.as_str());
            }
        }
        if !reaches_store {
            return;
        }
        match change {
            Change::Leaving(name) => {
                self.peers.send_to_followers(&Message::Leaving { upstream: name.clone() });
            }
            Change::Gone(name, revision) => {
                let message = Message::Gone { upstream: name.clone(), revision: *revision };
                self.peers.send_to_followers(&message);
            }
            Change::Upstream(listed, written) => {
                let message = Message::Listed { listing: listed.clone(), written: *written };
                self.peers.send_to_followers(&message);
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
