//! Selection for plain services, and requests at their upstreams.

use std::net::IpAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::UpstreamName;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::SelectionCriteria;
use crate::placement::plain;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::registry::rivals;
use crate::placement::upstream::Upstream;

/// Response times within the same step count as equal.
const PLAIN_TIME_STEP: Duration = Duration::from_millis(10);

impl UpstreamRegistry {
    /// Chooses the upstream of a plain service with the shortest expected response time, preferring
    /// the sender's zone among equals. Also returns its processing time.
    pub fn choose_plain(
        &self,
        query: plain::PlainQuery<'_>,
        now: Duration,
    ) -> Result<(Choice, Duration), ChoiceError> {
        let any = SelectionCriteria::any(query.service, None, query.excluded, Duration::MAX);
        let usable =
            self.usable(SelectionCriteria { version_filter: query.version_filter, ..any }, now);
        let rank = |u: &&&Upstream| {
            let running = u.plain.running();
            let time = u.plain.wait(u.listed.slots) + u.plain.processing_time();
            // Compared in steps, because averages always differ a little.
            let time_steps = time.as_millis() / PLAIN_TIME_STEP.as_millis();
            (time_steps, running, u.listed.zone != *query.zone)
        };
        let best = usable.iter().min_by_key(rank).ok_or(ChoiceError::NoUpstream)?;
        Ok((best.choice_plain(), best.plain.processing_time()))
    }

    /// Records a request at an upstream of a plain service.
    pub fn begin_plain(
        &mut self,
        name: &UpstreamName,
        request: u64,
        sender: Option<IpAddr>,
        now: Duration,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.record_activity(now);
            upstream.plain.add_request(request, sender, upstream.listed.slots, now);
            self.busy.insert(name.clone());
        }
    }

    /// Whether one more request may be placed at an upstream of a plain service.
    pub(in crate::placement) fn has_plain_capacity(
        &self,
        name: &UpstreamName,
        now: Duration,
    ) -> bool {
        let Some(upstream) = self.upstreams.get(name) else { return false };
        let limit = self.admission_limit(name) as usize;
        let free = limit.saturating_sub(upstream.plain.running());
        let owner_hash = xxh3_64(upstream.listed.service.as_bytes());
        if self.yields(owner_hash, now) {
            return rivals::is_within_half(free as u64, upstream.plain.recent(now) as u64);
        }
        free != 0
    }

    /// Requests that may be placed at an upstream at once by all boxes together.
    pub fn admission_limit(&self, name: &UpstreamName) -> u32 {
        let Some(upstream) = self.upstreams.get(name) else { return 0 };
        let slots = upstream.listed.slots;
        if upstream.engine.is_some() { slots } else { slots * plain::PLACED_PER_SLOT_MAX }
    }

    /// Upstreams of a service that are in cooldown or unverified.
    pub fn unavailable(&self, service: &str, now: Duration) -> Vec<UpstreamName> {
        let of_service =
            self.index.of_service(service, None).filter_map(|name| self.upstreams.get(name));
        of_service.filter(|u| !u.is_available(now)).map(|u| u.listed.name.clone()).collect()
    }
}
