//! Which upstreams may not be reachable.

use std::time::Duration;

use crate::names::UpstreamName;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::UpstreamListing;

impl UpstreamRegistry {
    /// Notes that an upstream may not be reachable, by what this box saw itself or was told. True
    /// when this is new.
    pub fn mark_unverified(&mut self, name: &UpstreamName, is_own: bool, now: Duration) -> bool {
        let Some(upstream) = self.upstreams.get_mut(name) else { return false };
        self.unverified.insert(name.clone());
        upstream.doubt(is_own, now)
    }

    /// Whether no connection to an upstream could be made when it was tried last.
    pub fn last_connect_failed(&self, name: &UpstreamName) -> bool {
        self.upstreams.get(name).is_some_and(Upstream::last_connect_failed)
    }

    /// Notes that a connection to an upstream could be made. True when that was in doubt.
    pub fn mark_reachable(&mut self, name: &UpstreamName) -> bool {
        self.unverified.remove(name);
        self.upstreams.get_mut(name).is_some_and(Upstream::reached)
    }

    /// Notes that no connection to an upstream could be made. True when the other boxes should
    /// hear of it: at the first failure, and only from who came upon it.
    pub fn record_connect_failure(&mut self, name: &UpstreamName, now: Duration) -> bool {
        self.upstreams.get_mut(name).is_some_and(|u| u.record_connect_failure(now))
    }

    /// How many upstreams get no work since they may not be reachable.
    pub fn unverified_count(&self) -> usize {
        self.unverified.len()
    }

    /// Upstreams that it is time to connect to, to see whether they can be reached. Each is given
    /// once until [`Fleet::not_reached`] is called for it, or for the longest pause.
    pub fn take_due_probes(&mut self, now: Duration) -> Vec<UpstreamListing> {
        let upstreams = &mut self.upstreams;
        let due = self.unverified.iter().filter_map(|name| {
            let upstream = upstreams.get_mut(name)?;
            upstream.take_due_probe(now).then(|| upstream.listed.clone())
        });
        due.collect()
    }
}
