//! Selects the engine for a request.

use std::cmp::Ordering;
use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::fleet::rollout::VersionFilter;
use crate::placement::choice::BEGIN_WAIT_MAX;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::CopySource;
use crate::placement::choice::SelectionCriteria;
use crate::placement::connected;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::speed::Work;
use crate::placement::upstream::Context;
use crate::placement::upstream::PrefillPlan;
use crate::placement::upstream::Upstream;
use crate::proxy::adapter::Prompt;
use crate::util::mix_bits;

/// Preferences for the engines to which a prompt's shared parts hash, in order of rank. They make
/// boxes that have no state yet, or don't know each other's requests, choose the same engine; when
/// the first is busy, parts are copied to the same few engines rather than to all in turn. Each is
/// limited to the time to prefill the shared parts.
const HOME_BONUSES: [Duration; 3] =
    [Duration::from_millis(200), Duration::from_millis(160), Duration::from_millis(160)];

/// Engines count as saturated when their mean wait reaches this fraction of the longest accepted
/// one. At a third, workspaces beyond their share took too much from the others: three small fleets
/// served 0.892, 0.908 and 0.898 with a tenth, 0.890, 0.903 and 0.896 with a third, and 0.873,
/// 0.901 and 0.893 with all of it.
const SATURATED_WAIT_SHARE: f64 = 0.1;

/// Below this saturation any engine may be chosen: copying shared parts then takes capacity from no
/// one.
const LOW_SATURATION: f64 = 0.25;

/// An engine without a request or a first token for this long is not passed over for being slow.
const MEASURED_FOR: Duration = Duration::from_millis(1000);

/// An upstream that may be chosen.
struct Candidate<'a> {
    upstream: &'a Upstream,
    /// `None` for plain services.
    plan: Option<PrefillPlan>,
    /// Cost of sending the request there, in seconds.
    cost: f64,
    /// How much later than due the first token is expected, in seconds; zero where the engines' own
    /// speeds aren't estimated.
    late_by: f64,
}

impl Candidate<'_> {
    fn wait(&self) -> Duration {
        self.plan.as_ref().map_or(Duration::ZERO, |p| p.wait)
    }

    /// Whether the engine can begin at once, or returns the first token by then.
    fn is_in_time(&self, first_token_max: Option<Duration>) -> bool {
        let Some((plan, latest)) = self.plan.as_ref().zip(first_token_max) else { return true };
        plan.wait <= BEGIN_WAIT_MAX || plan.first_token() <= latest
    }

    /// Engines that produce the first token in time come first, by cost. The others follow, by cost
    /// and lateness.
    fn cmp(&self, other: &Candidate<'_>) -> Ordering {
        let is_late = |c: &Candidate<'_>| 0.0 < c.late_by;
        let cost = |c: &Candidate<'_>| c.cost + c.late_by;
        is_late(self).cmp(&is_late(other)).then(cost(self).total_cmp(&cost(other)))
    }
}

impl UpstreamRegistry {
    /// Chooses the upstream with the lowest cost, whose wait must be acceptable. If any engine will
    /// do, only those with an acceptable wait are compared.
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
        let saturation = saturation(&candidates, criteria.wait_max_idle);
        let [when_idle, when_busy] =
            [criteria.wait_max_idle, criteria.wait_max].map(|d| d.as_secs_f64());
        let wait_max = when_idle * (1.0 - saturation) + when_busy * saturation;
        let is_within_wait_max = |c: &&Candidate<'_>| {
            c.wait().as_secs_f64() <= wait_max && c.is_in_time(criteria.first_token_max)
        };
        let any_engine = criteria.any_engine || saturation < LOW_SATURATION;
        let cheapest = candidates.iter().min_by(|a, b| a.cost.total_cmp(&b.cost));
        let may_choose = any_engine || cheapest.as_ref().is_some_and(is_within_wait_max);
        let best = candidates
            .iter()
            .filter(|c| may_choose && is_within_wait_max(c))
            .min_by(|a, b| a.cmp(b));
        if let Some(best) = best {
            let best = self.prefer_connected(&candidates, best, wait_max, criteria);
            return Ok(best.upstream.choice(best.plan));
        }
        let shortest = candidates.iter().map(Candidate::wait).min();
        Err(shortest.map_or(ChoiceError::Full, |wait| ChoiceError::Busy { wait }))
    }

    /// The upstreams with room for the request, and the cost of each.
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
                .map(|u| Candidate {
                    upstream: u,
                    plan: None,
                    cost: u.cost(None, cx),
                    late_by: 0.0,
                })
                .collect();
        };
        // Looked up once: cache entries are spread over memory, and there are many engines.
        let cached = cached(usable, prompt);
        let source = self.source(usable, &cached, criteria, prompt);
        let homes = homes(usable, prompt);
        let own = prompt.parts.last().map_or(0, |own| own.tokens);
        let shared = prompt.tokens.saturating_sub(own);
        let bonus_max = Duration::from_secs_f64(speed.prefill_seconds(Work::prefill(0, shared)));
        let candidate = |(u, cached): (&&'a Upstream, &u32)| {
            if !self.has_own_room(u, prompt, now) || !u.accepts(criteria.role, cx) {
                return None;
            }
            let rank = homes.iter().position(|home| home.is_some_and(|h| std::ptr::eq(h, *u)));
            let home_bonus = rank.map_or(Duration::ZERO, |n| HOME_BONUSES[n].min(bonus_max));
            let plan = u.plan(prompt, *cached, source, home_bonus, cx);
            let cost = u.cost(plan.as_ref(), cx);
            // A speed that was not measured lately may be wrong, and only requests can show that.
            let is_measured = now < u.last_active() + MEASURED_FOR;
            let target = criteria.first_token_target.filter(|_| u.has_own_speed() && is_measured);
            let late_by = target.zip(plan.as_ref()).map_or(0.0, |(target, plan)| {
                plan.first_token().saturating_sub(target).as_secs_f64()
            });
            Some(Candidate { upstream: u, plan, cost, late_by })
        };
        usable.iter().zip(&cached).filter_map(candidate).collect()
    }

    /// Among the engines that would serve as well as the best one, one to which the sending box has
    /// an idle connection; the best one if there is none.
    fn prefer_connected<'a, 'b>(
        &self,
        candidates: &'a [Candidate<'b>],
        best: &'a Candidate<'b>,
        wait_max: f64,
        criteria: SelectionCriteria<'_>,
    ) -> &'a Candidate<'b> {
        let small_batch = self.tuning.small_batch;
        let is_connected = |c: &Candidate<'_>| {
            small_batch.prefers_connected(c.upstream.listed.slots)
                && connected::is_named(criteria.connected, c.upstream.hash)
        };
        let Some(best_plan) = &best.plan else { return best };
        if criteria.connected.is_empty() || is_connected(best) {
            return best;
        }
        let serves_as_well =
            |c: &&Candidate<'_>| c.plan.as_ref().is_some_and(|plan| plan.serves_as_well(best_plan));
        let equal = candidates.iter().filter(|c| is_connected(c)).filter(serves_as_well);
        let equal = equal.filter(|c| c.wait().as_secs_f64() <= wait_max);
        equal.min_by(|a, b| a.cost.total_cmp(&b.cost)).unwrap_or(best)
    }

    /// The engine with the most of a prompt cached. One that is leaving gets no requests, but
    /// remains a copy source while it is there.
    fn source(
        &self,
        usable: &[&Upstream],
        cached: &[u32],
        criteria: SelectionCriteria<'_>,
        prompt: &Prompt,
    ) -> Option<CopySource> {
        let source = |u: &Upstream, cached| CopySource { addr: u.listed.addr, cached };
        let staying = usable.iter().zip(cached).map(|(u, cached)| source(u, *cached));
        let leaving = self
            .index
            .leaving(criteria.service)
            .filter_map(|name| self.examine(name))
            .filter(|u| !u.is_unverified() && !self.closed_zones.contains(&u.listed.zone))
            .filter(|u| self.matches_version_filter(criteria.version_filter, u))
            .filter_map(|u| Some(source(u, u.engine.as_ref()?.cached_tokens(prompt))));
        staying.chain(leaving).chain(criteria.source).max_by_key(|s| s.cached)
    }

    /// The name hash of the engine to which a prompt is assigned, among those that pass the filter
    /// and are not in `avoided`. All boxes with the same list get the same result.
    pub fn home(
        &self,
        service: &str,
        prompt: &Prompt,
        version_filter: VersionFilter,
        avoided: Option<EngineGroup>,
    ) -> Option<u64> {
        self.home_among(service, prompt, avoided, |u| {
            self.is_accepting(u) && self.matches_version_filter(version_filter, u)
        })
    }

    /// Like [`UpstreamRegistry::home`], but includes engines that are leaving: one of them may
    /// still have cached what its successor has not.
    pub fn home_including_leaving(
        &self,
        service: &str,
        prompt: &Prompt,
        version_filter: VersionFilter,
        avoided: EngineGroup,
    ) -> Option<u64> {
        self.home_among(service, prompt, Some(avoided), |u| {
            self.matches_version_filter(version_filter, u)
        })
    }

    /// The engine with the most of a prompt cached, if any has some.
    pub fn best_cached_source(
        &self,
        criteria: SelectionCriteria<'_>,
        now: Duration,
    ) -> Option<CopySource> {
        let prompt = criteria.prompt?;
        let usable = self.usable(criteria, now);
        self.source(&usable, &cached(&usable, prompt), criteria, prompt).filter(|s| s.cached != 0)
    }

    /// The name hash of the engine to which a prompt is assigned by its shared part.
    fn home_among(
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
            let upstream = self.examine(name);
            upstream.is_some_and(|u| avoided.is_none_or(|g| !g.contains(u.hash)) && eligible(u))
        })
    }
}

/// Tokens at the head of a prompt that each upstream has cached.
fn cached(upstreams: &[&Upstream], prompt: &Prompt) -> Vec<u32> {
    upstreams.iter().map(|u| u.engine.as_ref().map_or(0, |e| e.cached_tokens(prompt))).collect()
}

/// Saturation of the engines by their mean wait, from 0 to 1.
fn saturation(candidates: &[Candidate<'_>], longest: Duration) -> f64 {
    let waits: f64 = candidates.iter().map(|c| c.wait().as_secs_f64()).sum();
    let mean = waits / candidates.len().max(1) as f64;
    (mean / (longest.as_secs_f64() * SATURATED_WAIT_SHARE).max(f64::MIN_POSITIVE)).min(1.0)
}

/// The engines to which the shared parts of a prompt are assigned, by rendezvous hashing of the
/// last shared part. The very last part belongs to this request alone.
fn homes<'a>(
    upstreams: &[&'a Upstream],
    prompt: &Prompt,
) -> [Option<&'a Upstream>; HOME_BONUSES.len()] {
    let [.., shared, _] = &prompt.parts[..] else { return Default::default() };
    let mut ranked: [Option<(u64, &Upstream)>; HOME_BONUSES.len()] = Default::default();
    for upstream in upstreams {
        let mut next = Some((mix_bits(upstream.hash ^ shared.id), *upstream));
        for place in &mut ranked {
            if place.map(|(draw, _)| draw) < next.map(|(draw, _)| draw) {
                std::mem::swap(place, &mut next);
            }
        }
    }
    ranked.map(|place| place.map(|(_, upstream)| upstream))
}
