//! The choice among the upstreams of a plain service, and what runs there.

use std::net::IpAddr;
use std::time::Duration;

use crate::names::UpstreamName;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::SelectionCriteria;
use crate::placement::plain;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::upstream::Upstream;

/// Upstreams of a plain service that answer within the same step of time are as good as each other.
const PLAIN_STEP: Duration = Duration::from_millis(10);

impl UpstreamRegistry {
    /// Of a plain service's upstreams the one that answers soonest, and how long it works on a request; in the
    /// sender's zone where several do.
    pub fn choose_plain(
        &self,
        query: plain::PlainQuery<'_>,
        now: Duration,
    ) -> Result<(Choice, Duration), ChoiceError> {
        let any = SelectionCriteria::any(query.service, None, query.excluded, Duration::MAX);
        let usable = self.usable(SelectionCriteria { side: query.side, ..any }, now);
        let rank = |u: &&&Upstream| {
            let running = u.plain.running();
            let time = u.plain.wait(u.listed.slots) + u.plain.work();
            // Averages of work differ a little, always.
            let steps = time.as_millis() / PLAIN_STEP.as_millis();
            (steps, running, u.listed.zone != *query.zone)
        };
        let best = usable.iter().min_by_key(rank).ok_or(ChoiceError::NoUpstream)?;
        Ok((best.choice_plain(), best.plain.work()))
    }

    /// Counts a request at an upstream of a plain service.
    pub fn begin_plain(
        &mut self,
        name: &UpstreamName,
        request: u64,
        sender: Option<IpAddr>,
        now: Duration,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(name) {
            upstream.plain.begin(request, sender, upstream.listed.slots, now);
            self.busy.insert(name.clone());
        }
    }

    /// Requests that whoever keeps an upstream's model, or counts what runs there, lets be there at once.
    pub fn admission_limit(&self, name: &UpstreamName) -> u32 {
        let Some(upstream) = self.upstreams.get(name) else { return 0 };
        let slots = upstream.listed.slots;
        if upstream.engine.is_some() { slots } else { slots * plain::PLACED_PER_SLOT_MAX }
    }

    /// Upstreams of a service that this box leaves alone for now.
    pub fn unavailable(&self, service: &str, now: Duration) -> Vec<UpstreamName> {
        let of_service = self.index.of(service, None).filter_map(|name| self.upstreams.get(name));
        of_service.filter(|u| !u.is_awake(now)).map(|u| u.listed.name.clone()).collect()
    }
}
