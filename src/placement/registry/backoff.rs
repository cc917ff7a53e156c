//! Upstreams that have asked this box to back off.

use std::time::Duration;

use crate::names::UpstreamName;
use crate::placement::backoff::SlowStartSlot;
use crate::placement::registry::UpstreamRegistry;

impl UpstreamRegistry {
    /// An upstream asks this box to back off for so long. True if it didn't back off already.
    pub fn back_off(&mut self, name: &UpstreamName, length: Duration, now: Duration) -> bool {
        self.backoffs.entry(name.clone()).or_default().begin(length, now)
    }

    /// Whether something that was sent to an upstream at this time was sent in its last backoff.
    pub fn was_sent_during_backoff(&self, name: &UpstreamName, sent: Duration) -> bool {
        self.backoffs.get(name).is_some_and(|backoff| backoff.covers(sent))
    }

    /// Forgets the backoff that an earlier incarnation of an upstream asked for.
    pub fn remove_backoff(&mut self, name: &UpstreamName) {
        self.backoffs.remove(name);
    }

    /// Whether an upstream gets no request of this box now.
    pub fn is_backing_off(&self, name: &UpstreamName, now: Duration) -> bool {
        self.backoffs.get(name).is_some_and(|backoff| backoff.left(now).is_some())
    }

    /// Upstreams of a service that get no request of this box now.
    pub fn backing_off(&self, service: &str, now: Duration) -> Vec<UpstreamName> {
        let is_of = |name: &UpstreamName| self.get(name).is_some_and(|l| &*l.service == service);
        let all = self.backoffs.iter().filter(|(_, backoff)| backoff.left(now).is_some());
        all.map(|(name, _)| name).filter(|name| is_of(name)).cloned().collect()
    }

    /// How many upstreams this box backs off from, or starts slowly after that.
    pub fn backoff_count(&self) -> usize {
        self.backoffs.len()
    }

    /// Time until this box may send to an upstream of a service, where it backs off from all that are open.
    pub fn min_backoff_remaining(&self, service: &str, now: Duration) -> Option<Duration> {
        if self.backoffs.is_empty() {
            return None;
        }
        let of_service = self.index.of(service, None).filter_map(|name| self.upstreams.get(name));
        let lefts = of_service.filter(|u| self.takes(u)).map(|u| {
            let backoff = self.backoffs.get(&u.listed.name);
            backoff.and_then(|backoff| backoff.left(now))
        });
        // One without a backoff may be used now.
        lefts.collect::<Option<Vec<Duration>>>()?.into_iter().min()
    }

    /// Whether this box may send an upstream a request, which is one of a slow start or not.
    pub fn may_send(
        &self,
        name: &UpstreamName,
        slow_start_slot: Option<SlowStartSlot>,
        now: Duration,
    ) -> bool {
        self.backoffs.get(name).is_none_or(|backoff| backoff.may_send(slow_start_slot, now))
    }

    /// Counts a request into the slow start of an upstream, if there is one and it has room.
    pub fn acquire_slow_start_slot(
        &mut self,
        name: &UpstreamName,
        now: Duration,
    ) -> Option<SlowStartSlot> {
        self.backoffs.get_mut(name)?.enter(now)
    }

    /// Counts a request out of a slow start.
    pub fn release_slow_start_slot(
        &mut self,
        name: &UpstreamName,
        slow_start_slot: Option<SlowStartSlot>,
    ) {
        if let Some(backoff) = self.backoffs.get_mut(name) {
            backoff.leave(slow_start_slot);
        }
    }

    /// An upstream has accepted a request of a slow start. True when that is over.
    pub fn slow_start_accepted(
        &mut self,
        name: &UpstreamName,
        slow_start_slot: Option<SlowStartSlot>,
    ) -> bool {
        let slots = self.get(name).map_or(0, |listed| listed.slots);
        let is_over = self
            .backoffs
            .get_mut(name)
            .is_some_and(|backoff| backoff.accepted(slow_start_slot, slots));
        if is_over {
            self.backoffs.remove(name);
        }
        is_over
    }

    pub(super) fn tick_backoffs(&mut self, now: Duration) {
        let upstreams = &self.upstreams;
        self.backoffs.retain(|name, backoff| {
            backoff.is_on(now) || (upstreams.contains_key(name) && !backoff.is_over(now))
        });
    }
}
