//! Index of the records of requests by the box that sends them, so that a report costs no more than
//! the requests of its sender, whatever the number of upstreams and of other boxes.

use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

use crate::names::UpstreamName;

/// Interval at which requests that have ended are dropped, of senders that no longer report.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Requests by sender, which is `None` for this box. Some may have ended: they are dropped with the
/// next report of their sender.
#[derive(Debug, Default)]
pub(super) struct SenderIndex {
    requests: FxHashMap<Option<IpAddr>, FxHashSet<(u64, UpstreamName)>>,
    pruned_at: Duration,
}

impl SenderIndex {
    /// Adds a request that is recorded at an upstream.
    pub(super) fn add(&mut self, sender: Option<IpAddr>, request: u64, upstream: &UpstreamName) {
        self.requests.entry(sender).or_default().insert((request, upstream.clone()));
    }

    /// Keeps the requests of a sender for which `is_recorded` returns true.
    pub(super) fn retain_of(
        &mut self,
        sender: Option<IpAddr>,
        mut is_recorded: impl FnMut(u64, &UpstreamName) -> bool,
    ) {
        let Some(requests) = self.requests.get_mut(&sender) else { return };
        requests.retain(|(request, upstream)| is_recorded(*request, upstream));
        if requests.is_empty() {
            self.requests.remove(&sender);
        }
    }

    /// Removes the requests of a dead box.
    pub(super) fn remove(&mut self, sender: IpAddr) {
        self.requests.remove(&Some(sender));
    }

    /// Drops, now and then, the requests for which `is_recorded` returns false.
    pub(super) fn expire(
        &mut self,
        now: Duration,
        mut is_recorded: impl FnMut(u64, &UpstreamName) -> bool,
    ) {
        if now < self.pruned_at + PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.requests.retain(|_, requests| {
            requests.retain(|(request, upstream)| is_recorded(*request, upstream));
            !requests.is_empty()
        });
    }
}
