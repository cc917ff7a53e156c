//! The choice of an engine for a request.

use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::fleet::rollout::VersionFilter;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::CopySource;
use crate::placement::choice::SelectionCriteria;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::speed::Work;
use crate::placement::upstream::Context;
use crate::placement::upstream::Plan;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::Prompt;
use crate::util::mix;

/// Preferences for the engines to which a prompt's shared parts belong by their hash, the first one
/// first. Boxes that know nothing yet, or not of each other's requests, send them to the same engine;
/// and when the first is busy, they are copied to the same few engines, not to all by turns. Never
/// more than the time to read the shared parts.
const HOME_LEADS: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(160), Duration::from_millis(160)];

/// Engines whose mean wait is this part of the longest that is accepted are as busy as can be. At a third
/// workspaces beyond their share took too much from the others: three small fleets served 0.892, 0.908 and
/// 0.898 with a tenth and 0.890, 0.903, 0.896 with a third, 0.873, 0.901, 0.893 with all of it.
const BUSY_FROM: f64 = 0.1;

/// While engines are less busy than this, any of them may be chosen: to copy shared parts then takes from
/// nobody.
const SPARE: f64 = 0.25;

/// An upstream that a request may go to.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// Nothing for plain services.
    plan: Option<Plan>,
    /// What sending the request there costs, in seconds.
    cost: f64,
}

impl Candidate<'_> {
    fn wait(&self) -> Duration {
        self.plan.as_ref().map_or(Duration::ZERO, |p| p.wait)
    }
}

impl UpstreamRegistry {
    /// Chooses the upstream with the least expected time, weighing what it must read.
    pub fn choose(
        &self,
        criteria: SelectionCriteria<'_>,
        now: Duration,
    ) -> Result<Choice, ChoiceError> {
        let usable = self.usable(criteria, now);
        if usable.is_empty() {
            return Err(ChoiceError::NoUpstream);
        }
        let candidates = self.candidates(&usable, criteria, now);
        let busy = busy(&candidates, criteria.wait_max_idle);
        let [when_idle, when_busy] =
            [criteria.wait_max_idle, criteria.wait_max].map(|d| d.as_secs_f64());
        let wait_max = when_idle * (1.0 - busy) + when_busy * busy;
        let is_soon = |c: &&Candidate<'_>| c.wait().as_secs_f64() <= wait_max;
        let any_engine = criteria.any_engine || busy < SPARE;
        let best = candidates
            .iter()
            .filter(|c| !any_engine || is_soon(c))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
            .filter(is_soon);
        if let Some(best) = best {
            return Ok(best.upstream.choice(best.plan));
        }
        let shortest = candidates.iter().map(Candidate::wait).min();
        Err(shortest.map_or(ChoiceError::Full, |wait| ChoiceError::Busy { wait }))
    }

    /// The upstreams with room, and what sending the request to each would cost.
    fn candidates<'a>(
        &self,
        usable: &[&'a Upstream],
        criteria: SelectionCriteria<'_>,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let speed = self.speed(criteria.service);
        let zone = criteria.zone.unwrap_or(&self.zone);
        let cx = Context { speed, tuning: self.tuning, zone, now };
        let Some(prompt) = criteria.prompt else {
            return usable
                .iter()
                .map(|u| Candidate { upstream: u, plan: None, cost: u.cost(None, cx) })
                .collect();
        };
        // Looked up once: what engines keep is spread over memory, and many engines are asked.
        let kept = kept(usable, prompt);
        let source = self.source(usable, &kept, criteria, prompt);
        let homes = homes(usable, prompt);
        let own = prompt.parts.last().map_or(0, |own| own.tokens);
        let shared = prompt.tokens.saturating_sub(own);
        let lead_max = Duration::from_secs_f64(speed.reading(Work::reading(0, shared)));
        let candidate = |(u, kept): (&&'a Upstream, &u32)| {
            if !u.has_room(prompt) || !u.bears(criteria.role, cx) {
                return None;
            }
            let rank = homes.iter().position(|home| home.is_some_and(|h| std::ptr::eq(h, *u)));
            let home_lead = rank.map_or(Duration::ZERO, |n| HOME_LEADS[n].min(lead_max));
            let plan = u.plan(prompt, *kept, source, home_lead, cx);
            let cost = u.cost(plan.as_ref(), cx);
            Some(Candidate { upstream: u, plan, cost })
        };
        usable.iter().zip(&kept).filter_map(candidate).collect()
    }

    /// The engine that keeps the most of a prompt. One that leaves gets no work, but can be copied
    /// from for as long as it is there.
    fn source(
        &self,
        usable: &[&Upstream],
        kept: &[u32],
        criteria: SelectionCriteria<'_>,
        prompt: &Prompt,
    ) -> Option<CopySource> {
        let source = |u: &Upstream, kept| CopySource { addr: u.listed.addr, kept };
        let staying = usable.iter().zip(kept).map(|(u, kept)| source(u, *kept));
        let leaving = self
            .index
            .leaving(criteria.service)
            .filter_map(|name| self.look_at(name))
            .filter(|u| !u.is_unverified() && !self.closed.contains(&u.listed.zone))
            .filter(|u| self.is_on(criteria.side, u))
            .filter_map(|u| Some(source(u, u.engine.as_ref()?.kept(prompt))));
        staying.chain(leaving).chain(criteria.source).max_by_key(|s| s.kept)
    }

    /// The hash of the engine of a side to which a prompt belongs, of those that aren't in `avoided`; all boxes
    /// that list the same engines come to the same.
    pub fn home(
        &self,
        service: &str,
        prompt: &Prompt,
        side: VersionFilter,
        avoided: Option<EngineGroup>,
    ) -> Option<u64> {
        self.home_of(service, prompt, avoided, |u| self.takes(u) && self.is_on(side, u))
    }

    /// The same among the engines that leave, too: one of them may still keep what its successor
    /// doesn't.
    pub fn home_including_leaving(
        &self,
        service: &str,
        prompt: &Prompt,
        side: VersionFilter,
        avoided: EngineGroup,
    ) -> Option<u64> {
        self.home_of(service, prompt, Some(avoided), |u| self.is_on(side, u))
    }

    /// The engine that keeps the most of a prompt.
    pub fn best_cached_source(
        &self,
        criteria: SelectionCriteria<'_>,
        now: Duration,
    ) -> Option<CopySource> {
        let prompt = criteria.prompt?;
        let usable = self.usable(criteria, now);
        self.source(&usable, &kept(&usable, prompt), criteria, prompt).filter(|s| s.kept != 0)
    }

    /// The hash of the engine to which a prompt belongs by what of it is shared.
    fn home_of(
        &self,
        service: &str,
        prompt: &Prompt,
        avoided: Option<EngineGroup>,
        eligible: impl Fn(&Upstream) -> bool,
    ) -> Option<u64> {
        let part = match &prompt.parts[..] {
            [.., shared, _] => shared.id,
            [own] => own.id,
            [] => u64::from(prompt.tokens),
        };
        self.index.home(service, part, |name| {
            let upstream = self.look_at(name);
            upstream.is_some_and(|u| avoided.is_none_or(|g| !g.contains(u.hash)) && eligible(u))
        })
    }
}

/// Tokens at the head of a prompt that each upstream keeps.
fn kept(upstreams: &[&Upstream], prompt: &Prompt) -> Vec<u32> {
    upstreams.iter().map(|u| u.engine.as_ref().map_or(0, |e| e.kept(prompt))).collect()
}

/// How busy engines are, from 0 to 1, by their mean wait.
fn busy(candidates: &[Candidate<'_>], longest: Duration) -> f64 {
    let waits: f64 = candidates.iter().map(|c| c.wait().as_secs_f64()).sum();
    let mean = waits / candidates.len().max(1) as f64;
    (mean / (longest.as_secs_f64() * BUSY_FROM).max(f64::MIN_POSITIVE)).min(1.0)
}

/// The engines to which the shared parts of a prompt belong, by rendezvous hashing of the last of
/// them. The very last part is the request's own.
fn homes<'a>(
    upstreams: &[&'a Upstream],
    prompt: &Prompt,
) -> [Option<&'a Upstream>; HOME_LEADS.len()] {
    let [.., shared, _] = &prompt.parts[..] else { return Default::default() };
    let mut ranked: [Option<(u64, &Upstream)>; HOME_LEADS.len()] = Default::default();
    for upstream in upstreams {
        let mut next = Some((mix(upstream.hash ^ shared.id), *upstream));
        for place in &mut ranked {
            if place.map(|(draw, _)| draw) < next.map(|(draw, _)| draw) {
                std::mem::swap(place, &mut next);
            }
        }
    }
    ranked.map(|place| place.map(|(_, upstream)| upstream))
}
