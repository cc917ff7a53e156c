//! The proxy's counters and histograms.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;

use crate::metrics::Metrics;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::placement::registry::own_speed::AdoptedSpeeds;
use crate::placement::share::TokenCounts;
use crate::placement::waiting::Outcome;
use crate::proxy::adapter::Notice;
use crate::proxy::adapter::ResponseId;
use crate::proxy::connection_reuse::CloseCause;
use crate::proxy::connection_reuse::ConnectionCounts;
use crate::proxy::connection_reuse::OpenCause;
use crate::proxy::hub::Hub;
use crate::proxy::own_speeds;
use crate::proxy::placed_request::FirstTokenTiming;
use crate::proxy::response_end::Framing;
use crate::proxy::stream_versions::Source;
use crate::proxy::view::View;

/// Bucket bounds of the time histograms, denser around the usual target latencies.
const TIME_BOUNDS_S: [f64; 12] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.25, 0.4, 0.6, 0.8, 1.2, 3.0, 10.0];

/// Bucket bounds of the histogram of actual to expected durations: 15 and 40 % off, and beyond.
const RATIO_BOUNDS: [f64; 8] = [0.25, 0.6, 0.85, 1.0, 1.15, 1.4, 2.0, 4.0];

/// The proxy's counters and histograms.
#[derive(Clone)]
pub struct ProxyMetrics {
    metrics: Metrics,
    refused: Counter<u64>,
    workspace_begun: Counter<u64>,
    workspace_refused: Counter<u64>,
    ended: Counter<u64>,
    durations: Histogram<f64>,
    first_expected: Histogram<f64>,
    first_actual: Histogram<f64>,
    first_ratio: Histogram<f64>,
    retries: Counter<u64>,
    store_lost: Counter<u64>,
    store_restored: Counter<u64>,
    entries_refused: Counter<u64>,
    rollouts_refused: Counter<u64>,
    upstreams_restarted: Counter<u64>,
    notices: Counter<u64>,
    withheld: Counter<u64>,
    reached_anyway: Counter<u64>,
    held_back: Counter<u64>,
    parts_withheld: Counter<u64>,
    suspended: Counter<u64>,
    half_open_probes: Counter<u64>,
    requests_corrected: Counter<u64>,
    in_progress_faults: Counter<u64>,
    connected_ignored: Counter<u64>,
    gave_way: Counter<u64>,
    own_speeds: Counter<u64>,
    queued: Counter<u64>,
    left_queue: Counter<u64>,
    ranks_ignored: Counter<u64>,
    queue_waits: Histogram<f64>,
    announcements: Counter<u64>,
    redirects: Counter<u64>,
    streams_resumed: Counter<u64>,
    streams_not_resumable: Counter<u64>,
    stream_versions_found: Counter<u64>,
    unusual_ends: Counter<u64>,
    unusual_responses: Counter<u64>,
}

impl ProxyMetrics {
    /// Creates the counters and histograms.
    pub fn new(metrics: Metrics) -> ProxyMetrics {
        let meter = metrics.meter();
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        ProxyMetrics {
            refused: meter.u64_counter("frostdyke_proxy_refused").build(),
            workspace_begun: meter.u64_counter("frostdyke_workspace_begun_tokens").build(),
            workspace_refused: meter.u64_counter("frostdyke_workspace_refused_tokens").build(),
            ended: meter.u64_counter("frostdyke_proxy_ended").build(),
            durations: histogram("frostdyke_proxy_seconds"),
            first_expected: histogram("frostdyke_first_token_expected_seconds"),
            first_actual: histogram("frostdyke_first_token_seconds"),
            first_ratio: meter
                .f64_histogram("frostdyke_first_token_ratio")
                .with_boundaries(RATIO_BOUNDS.to_vec())
                .build(),
            retries: meter.u64_counter("frostdyke_proxy_repeats").build(),
            store_lost: meter.u64_counter("frostdyke_store_lost").build(),
            store_restored: meter.u64_counter("frostdyke_store_restored").build(),
            entries_refused: meter.u64_counter("frostdyke_entries_refused").build(),
            rollouts_refused: meter.u64_counter("frostdyke_rollouts_refused").build(),
            suspended: meter.u64_counter("frostdyke_suspended").build(),
            held_back: meter.u64_counter("frostdyke_requests_held_back").build(),
            parts_withheld: meter.u64_counter("frostdyke_parts_withheld").build(),
            notices: meter.u64_counter("frostdyke_upstream_notices").build(),
            withheld: meter.u64_counter("frostdyke_requests_withheld").build(),
            reached_anyway: meter.u64_counter("frostdyke_requests_reached_anyway").build(),
            upstreams_restarted: meter.u64_counter("frostdyke_upstreams_restarted").build(),
            half_open_probes: meter.u64_counter("frostdyke_half_open_probes").build(),
            requests_corrected: meter.u64_counter("frostdyke_requests_corrected").build(),
            in_progress_faults: meter.u64_counter("frostdyke_in_progress_faults").build(),
            connected_ignored: meter.u64_counter("frostdyke_connected_lists_ignored").build(),
            gave_way: meter.u64_counter("frostdyke_holders_gave_way").build(),
            own_speeds: meter.u64_counter("frostdyke_engine_speeds_reported").build(),
            queued: meter.u64_counter("frostdyke_queue_entered").build(),
            left_queue: meter.u64_counter("frostdyke_queue_left").build(),
            ranks_ignored: meter.u64_counter("frostdyke_ranks_ignored").build(),
            queue_waits: histogram("frostdyke_queue_seconds"),
            announcements: meter.u64_counter("frostdyke_headroom_announcements").build(),
            redirects: meter.u64_counter("frostdyke_redirects").build(),
            stream_versions_found: meter.u64_counter("frostdyke_stream_versions_found").build(),
            streams_resumed: meter.u64_counter("frostdyke_streams_resumed").build(),
            streams_not_resumable: meter.u64_counter("frostdyke_streams_not_resumable").build(),
            unusual_ends: meter.u64_counter("frostdyke_unusual_ends").build(),
            unusual_responses: meter.u64_counter("frostdyke_unusual_responses").build(),
            metrics,
        }
    }

    /// Renders all metrics as a page in the Prometheus format.
    pub fn render(&self) -> Vec<u8> {
        self.metrics.render()
    }

    /// Registers gauges of the hub's state, which are read whenever the page is requested.
    pub fn register_gauges(&self, hub: &Arc<Hub>) {
        let gauge = |name: &'static str, read: fn(&Hub) -> u64| {
            let hub: Weak<Hub> = Arc::downgrade(hub);
            let gauge = self.metrics.meter().u64_observable_gauge(name);
            // The meter keeps the callback.
            let _ = gauge
                .with_callback(move |observer| {
                    if let Some(hub) = hub.upgrade() {
                        observer.observe(read(&hub), &[]);
                    }
                })
                .build();
        };
        gauge("frostdyke_proxy_in_flight", |hub| hub.in_flight() as u64);
        gauge("frostdyke_proxy_streams", |hub| hub.streams() as u64);
        gauge("frostdyke_proxy_streams_max", |hub| hub.streams_max() as u64);
        gauge("frostdyke_proxy_turned_away", |hub| hub.rejected() as u64);
        gauge("frostdyke_proxy_connections", |hub| hub.connections() as u64);
        gauge("frostdyke_held_bytes", |hub| hub.held().map_or(0, |held| held.total() as u64));
        gauge("frostdyke_stream_versions", |hub| hub.stream_versions().record_count() as u64);
        gauge("frostdyke_stream_versions_loading", |hub| {
            u64::from(hub.stream_versions().loaded_in().is_some())
        });
        gauge("frostdyke_stream_versions_evicted", |hub| hub.stream_versions().evicted_count());
        gauge("frostdyke_messages_oversized", |hub| hub.peers().oversized_count());
        gauge("frostdyke_boxes_alive", |hub| hub.peers().live_count() as u64 + 1);
        gauge("frostdyke_groups_kept", |hub| {
            hub.peers().owners().groups_of(hub.peers().own_ip()).count() as u64
        });
        gauge("frostdyke_queue_length", |hub| hub.waiting_count() as u64);
        gauge("frostdyke_configuration_version", Hub::version);
        gauge("frostdyke_store_reached", |hub| u64::from(hub.read(View::reaches_store)));
        gauge("frostdyke_upstreams", |hub| hub.read(|v| v.registry().listed().count() as u64));
        gauge("frostdyke_upstreams_leaving", |hub| {
            hub.read(|v| v.registry().listed().filter(|l| l.leaving).count() as u64)
        });
        gauge("frostdyke_upstreams_backing_off", |hub| {
            hub.read(|v| v.registry().backoff_count() as u64)
        });
        gauge("frostdyke_upstreams_draining", |hub| {
            hub.read(|v| v.draining().iter().count() as u64)
        });
        gauge("frostdyke_suspects", |hub| hub.suspects().read(|q| q.len() as u64));
        gauge("frostdyke_part_suspects", |hub| hub.part_suspects().read(|q| q.len() as u64));
        self.register_share_gauges(hub);
        self.register_connection_counters(hub);
        self.register_engine_gauge(hub);
        gauge("frostdyke_upstreams_in_doubt", |hub| {
            hub.read(|v| v.registry().unverified_count() as u64)
        });
    }

    /// Registers the gauges of workspaces' shares: the tokens requested and admitted in the whole
    /// fleet, as far as this box has counted them or received them from others. Each gauge has one
    /// series per workspace.
    fn register_share_gauges(&self, hub: &Arc<Hub>) {
        let gauge = |name: &'static str, read: fn(TokenCounts) -> i64| {
            let hub: Weak<Hub> = Arc::downgrade(hub);
            // The meter keeps the callback.
            let _ = (self.metrics.meter().i64_observable_gauge(name))
                .with_callback(move |observer| {
                    let Some(hub) = hub.upgrade() else { return };
                    for (workspace, tokens) in
                        hub.shares(|shares| shares.totals().collect::<Vec<_>>())
                    {
                        let label = KeyValue::new("workspace", workspace.as_str().to_owned());
                        observer.observe(read(tokens), &[label]);
                    }
                })
                .build();
        };
        gauge("frostdyke_share_asked_tokens", |tokens| tokens.requested);
        gauge("frostdyke_share_begun_tokens", |tokens| tokens.admitted);
    }

    /// Registers the counters of connections to upstreams: opened and closed by cause, and reused.
    fn register_connection_counters(&self, hub: &Arc<Hub>) {
        let counter = |name: &'static str, read: fn(&ConnectionCounts) -> Vec<(&str, u64)>| {
            let hub: Weak<Hub> = Arc::downgrade(hub);
            // The meter keeps the callback.
            let _ = (self.metrics.meter().u64_observable_counter(name))
                .with_callback(move |observer| {
                    let Some(hub) = hub.upgrade() else { return };
                    for (cause, count) in read(hub.upstream_connections().counts()) {
                        observer.observe(count, &[KeyValue::new("cause", cause.to_owned())]);
                    }
                })
                .build();
        };
        counter("frostdyke_upstream_connections_opened", |counts| {
            OpenCause::ALL.map(|cause| (cause.code(), counts.opened_for(cause))).to_vec()
        });
        counter("frostdyke_upstream_connections_closed", |counts| {
            CloseCause::ALL.map(|cause| (cause.code(), counts.closed_for(cause))).to_vec()
        });
        let hub: Weak<Hub> = Arc::downgrade(hub);
        // The meter keeps the callback.
        let _ = (self.metrics.meter())
            .u64_observable_counter("frostdyke_upstream_connections_reused")
            .with_callback(move |observer| {
                if let Some(hub) = hub.upgrade() {
                    observer.observe(hub.upstream_connections().counts().reused_count(), &[]);
                }
            })
            .build();
    }

    /// Registers the gauge of the levels of engines' own speeds, with one series per engine of the
    /// groups that this box owns or stands by for.
    fn register_engine_gauge(&self, hub: &Arc<Hub>) {
        let hub: Weak<Hub> = Arc::downgrade(hub);
        // The meter keeps the callback.
        let _ = (self.metrics.meter().f64_observable_gauge("frostdyke_engine_speed_factor"))
            .with_callback(move |observer| {
                let Some(hub) = hub.upgrade() else { return };
                for (upstream, factor) in own_speeds::level_factors(&hub) {
                    let label = KeyValue::new("upstream", upstream.as_str().to_owned());
                    observer.observe(factor, &[label]);
                }
            })
            .build();
    }

    /// Counts reported levels of engines' own speeds, by what became of them.
    pub fn own_speeds_adopted(&self, counts: AdoptedSpeeds) {
        let AdoptedSpeeds { adopted, kept, other_instance, out_of_bounds } = counts;
        for (result, count) in [
            ("adopted", adopted),
            ("kept", kept),
            ("other-instance", other_instance),
            ("out-of-bounds", out_of_bounds),
        ] {
            self.own_speeds.add(count, &[KeyValue::new("result", result)]);
        }
    }

    /// Counts the tokens charged to a workspace for a request that has returned its first token.
    pub fn workspace_begun(&self, workspace: &WorkspaceName, tokens: u64) {
        let label = KeyValue::new("workspace", workspace.as_str().to_owned());
        self.workspace_begun.add(tokens, &[label]);
    }

    /// Counts the tokens that a workspace would have been charged for a refused request.
    pub fn workspace_refused(&self, workspace: &WorkspaceName, tokens: u64, cause: &'static str) {
        let workspace = KeyValue::new("workspace", workspace.as_str().to_owned());
        self.workspace_refused.add(tokens, &[workspace, KeyValue::new("cause", cause)]);
    }

    /// Counts a request that could be retried, by whether the budget allowed it.
    pub fn retry(&self, allowed: bool) {
        self.retries.add(1, &[KeyValue::new("allowed", allowed)]);
    }

    /// Counts a loss of the store.
    pub fn store_lost(&self) {
        self.store_lost.add(1, &[]);
    }

    /// Counts a restore of the store from an older copy.
    pub fn store_restored(&self) {
        self.store_restored.add(1, &[]);
    }

    /// Counts an upstream's entry in the store that can't be parsed.
    pub fn entry_refused(&self) {
        self.entries_refused.add(1, &[]);
    }

    /// Counts a roll-out order that can't be parsed.
    pub fn rollout_refused(&self) {
        self.rollouts_refused.add(1, &[]);
    }

    /// Counts a restart of an upstream under the same name.
    pub fn upstream_restarted(&self) {
        self.upstreams_restarted.add(1, &[]);
    }

    /// Counts a response that carries notices of the upstream about itself, by kind.
    pub fn notice(&self, notice: Notice) {
        let kinds = [("draining", notice.draining), ("backoff", notice.backoff.is_some())];
        for (kind, _) in kinds.into_iter().filter(|(_, is_set)| *is_set) {
            self.notices.add(1, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts a request that is not sent to its chosen upstream.
    pub fn withheld(&self, reason: &'static str) {
        self.withheld.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request that reached an upstream after this box had received its notice to send
    /// none.
    pub fn reached_anyway(&self, reason: &'static str) {
        self.reached_anyway.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request that is sent to an upstream although its believed wait is too long.
    pub fn half_open_probe(&self) {
        self.half_open_probes.add(1, &[]);
    }

    /// Counts a broken stream that this box resumes at another upstream, by whether both have the
    /// same version.
    pub fn stream_resumed(&self, began_at: Option<&VersionName>, version: Option<&VersionName>) {
        let version = match began_at.zip(version) {
            Some((began_at, version)) if began_at == version => "same",
            Some(_) => "other",
            None => "unknown",
        };
        self.streams_resumed.add(1, &[KeyValue::new("version", version)]);
    }

    /// Counts a broken stream that can't be resumed, since its last event has no id that can be
    /// returned to an upstream.
    pub fn stream_not_resumable(&self) {
        self.streams_not_resumable.add(1, &[]);
    }

    /// Counts a caller's attempt to resume a stream, by how its version was found out.
    pub fn stream_version_found(&self, source: Source) {
        self.stream_versions_found.add(1, &[KeyValue::new("source", source.code())]);
    }

    /// Counts a response that its framing or its last event doesn't show to be complete.
    pub fn unusual_end(&self, framing: Framing, is_between_events: bool) {
        let labels = [
            KeyValue::new("framing", framing.code()),
            KeyValue::new("between_events", is_between_events),
        ];
        self.unusual_ends.add(1, &labels);
    }

    /// Counts a response that isn't simply passed on, by the id that it carries and whether its
    /// connection had carried another response before.
    pub fn unusual_response(&self, taken_for: &'static str, id: ResponseId, is_reused: bool) {
        let labels = [
            KeyValue::new("taken_for", taken_for),
            KeyValue::new("response_id", id.code()),
            KeyValue::new("reused", is_reused),
        ];
        self.unusual_responses.add(1, &labels);
    }

    /// Counts records of requests in progress that a report of their sender has corrected.
    pub fn requests_corrected(&self, how: &'static str, count: usize) {
        if count != 0 {
            self.requests_corrected.add(count as u64, &[KeyValue::new("how", how)]);
        }
    }

    /// Counts a report or record of requests in progress that is ignored.
    pub fn in_progress_fault(&self, fault: &'static str) {
        self.in_progress_faults.add(1, &[KeyValue::new("fault", fault)]);
    }

    /// Counts a request that waits in this box's queue.
    pub fn queued(&self) {
        self.queued.add(1, &[]);
    }

    /// Counts a request that leaves this box's queue, and records how long it waited.
    pub fn left_queue(&self, outcome: Outcome, queued: Duration) {
        let labels = [KeyValue::new("outcome", outcome.code())];
        self.left_queue.add(1, &labels);
        self.queue_waits.record(queued.as_secs_f64(), &labels);
    }

    /// Counts ranks of a configuration that are out of range.
    pub fn ranks_ignored(&self, count: usize) {
        self.ranks_ignored.add(count as u64, &[]);
    }

    /// Counts announcements of free capacity: `sent` (once for each receiver), `received`, or
    /// `ignored` because they can't be right.
    pub fn headroom_announcements(&self, kind: &'static str, count: usize) {
        self.announcements.add(count as u64, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request on its way to another group with free capacity: `claimed` there by the
    /// owner that names the group; `asked` and `placed` by the sender.
    pub fn redirect(&self, step: &'static str) {
        self.redirects.add(1, &[KeyValue::new("step", step)]);
    }

    /// Counts a suspension of the machine.
    pub fn suspended(&self) {
        self.suspended.add(1, &[]);
    }

    /// Counts a holder of bytes that gave way, by what it held them for.
    pub fn gave_way(&self, kind: &'static str) {
        self.gave_way.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a list of connected engines that is too long.
    pub fn connected_ignored(&self) {
        self.connected_ignored.add(1, &[]);
    }

    /// Counts a request that is held back from now on, by how this box learned of it.
    pub fn held_back(&self, by: &'static str) {
        self.held_back.add(1, &[KeyValue::new("by", by)]);
    }

    /// Counts a part of prompts that is withheld from now on, or firmer than before.
    pub fn part_withheld(&self, by: &'static str, until_tried: bool) {
        let labels = [KeyValue::new("by", by), KeyValue::new("until_tried", until_tried)];
        self.parts_withheld.add(1, &labels);
    }

    /// Counts a refusal by its cause.
    pub fn refused(&self, cause: &'static str) {
        self.refused.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts the end of a request by its route and outcome, and records its duration.
    pub fn ended(&self, route: &str, outcome: &'static str, took: Duration) {
        let labels = [KeyValue::new("route", route.to_owned()), KeyValue::new("outcome", outcome)];
        self.ended.add(1, &labels);
        self.durations.record(took.as_secs_f64(), &labels[..1]);
    }

    /// Records the expected and the actual time to a request's first token.
    pub fn first_token(&self, first: FirstTokenTiming) {
        let (expected, took) = (first.expected.as_secs_f64(), first.took.as_secs_f64());
        self.first_expected.record(expected, &[]);
        self.first_actual.record(took, &[]);
        self.first_ratio.record(took / expected.max(f64::MIN_POSITIVE), &[]);
    }
}
