//! Upstreams that may be unreachable.

use std::time::Duration;

use crate::names::UpstreamName;
use crate::placement::reconnect::ReconnectPace;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::UpstreamListing;

impl UpstreamRegistry {
    /// Records that an upstream may be unreachable, as noticed by this box or reported by another.
    /// Returns whether this is new.
    pub fn mark_unverified(&mut self, name: &UpstreamName, is_local: bool, now: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        self.unverified.insert(name.clone());
        upstream.mark_unverified(is_local, now)
    }

    /// Whether the last attempt to connect to an upstream failed.
    pub fn last_connect_failed(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(Upstream::last_connect_failed)
    }

    /// Records a successful connection to an upstream. Returns whether it was unverified.
    pub fn mark_reachable(&mut self, name: &UpstreamName) -> bool {
        self.unverified.remove(name);
        self.upstreams.get_mut(name).is_some_and(Upstream::mark_reachable)
    }

    /// Records a failed connection to an upstream. Returns whether to notify the other boxes: only
    /// at the first failure, and only if this box noticed the problem.
    pub fn record_connect_failure(
        &mut self,
        name: &UpstreamName,
        pace: ReconnectPace,
        now: Duration,
    ) -> bool {
        self.upstreams.get_mut(name).is_some_and(|u| u.record_connect_failure(pace, now))
    }

    /// Number of upstreams that get no requests because they may be unreachable.
    pub fn unverified_count(&self) -> usize {
        self.unverified.len()
    }

    /// Upstreams to which it is time to try to connect. Each is returned again only after the pause
    /// that [`UpstreamRegistry::record_connect_failure`] sets or, without a call of that, after the
    /// longest interval. `pace` is that of this box for an upstream,
    /// which may be an engine.
    pub fn take_due_probes(
        &mut self,
        pace: impl Fn(&UpstreamListing, bool) -> ReconnectPace,
        now: Duration,
    ) -> Vec<UpstreamListing> {
        let upstreams = &mut self.upstreams;
        let due = self.unverified.iter().filter_map(|name| {
            let upstream = upstreams.get_mut(name)?;
            let pace = pace(&upstream.listed, upstream.engine.is_some());
            upstream.take_due_probe(pace, now).then(|| upstream.listed.clone())
        });
        due.collect()
    }
}
