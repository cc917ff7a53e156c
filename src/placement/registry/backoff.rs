//! Upstreams that have requested a backoff from this box.

use std::time::Duration;

use crate::names::UpstreamName;
use crate::placement::backoff::SlowStartSlot;
use crate::placement::registry::UpstreamRegistry;

impl UpstreamRegistry {
    /// Records an upstream's request for a backoff, which it made at `asked_at_ms`, in milliseconds
    /// since 1970. Returns whether none was active.
    pub fn back_off(
        &mut self,
        name: &UpstreamName,
        length: Duration,
        asked_at_ms: u64,
        now: Duration,
    ) -> bool {
        self.backoffs.entry(name.clone()).or_default().begin(length, asked_at_ms, now)
    }

    /// Whether something sent to an upstream at this time was sent during its last backoff.
    pub fn was_sent_during_backoff(&self, name: &UpstreamName, sent: Duration) -> bool {
        self.backoffs.get(name).is_some_and(|backoff| backoff.covers(sent))
    }

    /// Removes a backoff that the upstream requested before its instance started at this time. An
    /// entry of the instance that requested it may come later than the request.
    pub fn remove_earlier_backoff(&mut self, name: &UpstreamName, started_at_ms: u64) {
        let backoff = self.backoffs.get(name);
        if backoff.is_some_and(|backoff| backoff.is_of_earlier_instance(started_at_ms)) {
            self.backoffs.remove(name);
        }
    }

    /// Whether this box may send an upstream no request now.
    pub fn is_backing_off(&self, name: &UpstreamName, now: Duration) -> bool {
        self.backoffs.get(name).is_some_and(|backoff| backoff.remaining(now).is_some())
    }

    /// Upstreams of a service to which this box may send no request now.
    pub fn backing_off(&self, service: &str, now: Duration) -> Vec<UpstreamName> {
        let is_of = |name: &UpstreamName| self.get(name).is_some_and(|l| &*l.service == service);
        let all = self.backoffs.iter().filter(|(_, backoff)| backoff.remaining(now).is_some());
        all.map(|(name, _)| name).filter(|name| is_of(name)).cloned().collect()
    }

    /// Number of upstreams in backoff or slow start.
    pub fn backoff_count(&self) -> usize {
        self.backoffs.len()
    }

    /// Time until this box may send to an upstream of a service; `None` unless all that accept
    /// requests are in backoff.
    pub fn min_backoff_remaining(&self, service: &str, now: Duration) -> Option<Duration> {
        if self.backoffs.is_empty() {
            return None;
        }
        let of_service =
            self.index.of_service(service, None).filter_map(|name| self.upstreams.get(name));
        let remaining = of_service.filter(|u| self.is_accepting(u)).map(|u| {
            let backoff = self.backoffs.get(&u.listed.name);
            backoff.and_then(|backoff| backoff.remaining(now))
        });
        // `None` for any upstream without a backoff, which may be used now.
        remaining.collect::<Option<Vec<Duration>>>()?.into_iter().min()
    }

    /// Whether this box may send an upstream a request now, given its slow-start slot if it has
    /// one.
    pub fn may_send(
        &self,
        name: &UpstreamName,
        slow_start_slot: Option<SlowStartSlot>,
        now: Duration,
    ) -> bool {
        self.backoffs.get(name).is_none_or(|backoff| backoff.may_send(slow_start_slot, now))
    }

    /// Reserves a place in an upstream's slow start, if there is one with capacity.
    pub fn acquire_slow_start_slot(
        &mut self,
        name: &UpstreamName,
        now: Duration,
    ) -> Option<SlowStartSlot> {
        self.backoffs.get_mut(name)?.acquire(now)
    }

    /// Releases a place in a slow start.
    pub fn release_slow_start_slot(
        &mut self,
        name: &UpstreamName,
        slow_start_slot: Option<SlowStartSlot>,
    ) {
        if let Some(backoff) = self.backoffs.get_mut(name) {
            backoff.release(slow_start_slot);
        }
    }

    /// Records that an upstream accepted a request of a slow start. Returns whether the slow start
    /// is over.
    pub fn slow_start_accepted(
        &mut self,
        name: &UpstreamName,
        slow_start_slot: Option<SlowStartSlot>,
    ) -> bool {
        let slots = self.get(name).map_or(0, |listed| listed.slots);
        let is_finished = self
            .backoffs
            .get_mut(name)
            .is_some_and(|backoff| backoff.accepted(slow_start_slot, slots));
        if is_finished {
            self.backoffs.remove(name);
        }
        is_finished
    }

    pub(super) fn expire_backoffs(&mut self, now: Duration) {
        let upstreams = &self.upstreams;
        self.backoffs.retain(|name, backoff| {
            backoff.is_active(now) || (upstreams.contains_key(name) && !backoff.is_finished(now))
        });
    }
}
