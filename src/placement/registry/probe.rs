//! Selects an upstream for a half-open probe, when none would be chosen.

use std::time::Duration;

use crate::placement::choice::Choice;
use crate::placement::choice::SelectionCriteria;
use crate::placement::cold::Role;
use crate::placement::plain::PlainQuery;
use crate::placement::probe::Prober;
use crate::placement::registry::UpstreamRegistry;
use crate::placement::upstream::Context;
use crate::placement::upstream::Upstream;

/// The box that would probe; `None` if it knows too little of what others send.
fn prober(role: Role, is_repeatable: bool) -> Option<Prober> {
    match role {
        Role::Owner | Role::Standby => Some(Prober::sole(is_repeatable)),
        Role::Peer { boxes, draw } => Some(Prober::one_of(boxes, draw, is_repeatable)),
        Role::Unassigned => None,
    }
}

impl UpstreamRegistry {
    /// The engine that is due for a probe and has been without a request for the longest time.
    pub fn probe(
        &self,
        criteria: SelectionCriteria<'_>,
        may_try_other_groups: bool,
        now: Duration,
    ) -> Option<Choice> {
        let prompt = criteria.prompt?;
        let prober =
            Prober { may_try_other_groups, ..prober(criteria.role, criteria.is_repeatable)? };
        let speed = self.speed(criteria.service);
        let zone = criteria.zone.unwrap_or(&self.zone);
        let cx = Context { speed, tuning: self.tuning, zone, now };
        let due = self.due_for_probe(criteria, prober, now).filter(|u| {
            let engine = u.engine.as_ref();
            engine.is_some_and(|engine| engine.has_confirmed_room(prompt, now))
                && u.accepts(criteria.role, cx)
        });
        let upstream = due.min_by_key(|u| u.last_active())?;
        let cached = upstream.engine.as_ref()?.cached_tokens(prompt);
        let plan = upstream.plan(prompt, cached, None, Duration::ZERO, cx);
        Some(Choice { is_probe: true, ..upstream.choice(plan) })
    }

    /// The same for a plain service.
    pub fn plain_probe(&self, query: PlainQuery<'_>, now: Duration) -> Option<Choice> {
        let prober = prober(query.role, query.is_repeatable)?;
        let any = SelectionCriteria::any(query.service, None, query.excluded, Duration::MAX);
        let criteria = SelectionCriteria { version_filter: query.version_filter, ..any };
        // One that is full of requests which their senders confirm needs no probe.
        let due = self
            .due_for_probe(criteria, prober, now)
            .filter(|u| u.plain.confirmed(now) < self.admission_limit(&u.listed.name) as usize);
        let upstream = due.min_by_key(|u| u.last_active())?;
        Some(Choice { is_probe: true, ..upstream.choice_plain() })
    }

    fn due_for_probe(
        &self,
        criteria: SelectionCriteria<'_>,
        prober: Prober,
        now: Duration,
    ) -> impl Iterator<Item = &Upstream> {
        let speed = self.speed(criteria.service);
        self.index
            .of_service(criteria.service, criteria.group)
            .filter_map(|name| self.examine(name))
            .filter(|u| self.is_accepting(u) && !u.is_unverified())
            .filter(move |u| self.matches_version_filter(criteria.version_filter, u))
            .filter(move |u| !criteria.excluded.contains(&u.listed.name))
            .filter(move |u| prober.may_probe(u.last_active(), u.obstacle(speed, now), now))
    }
}
