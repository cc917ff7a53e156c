//! Records of requests in progress, corrected by the reports of their senders.

use std::net::IpAddr;
use std::time::Duration;

use crate::fleet::in_progress::AGE_MAX;
use crate::fleet::in_progress::AGE_SLACK;
use crate::fleet::in_progress::LEASE;
use crate::fleet::in_progress::RequestRecord;
use crate::fleet::in_progress::ShortId;
use crate::fleet::in_progress::received::ListedRequests;
use crate::names::UpstreamName;
use crate::placement::registry::UpstreamRegistry;

/// The end or first token of a request that this box doesn't know is remembered for this long,
/// since the record may be on its way from another box than the sender.
const EARLY_RETENTION: Duration = Duration::from_secs(1);

/// The record of a request that was handed on by another tracking box is dropped unless its sender
/// confirms it within this time, in which each sender reports.
const CONFIRM_LEARNED_WITHIN: Duration = Duration::from_millis(1000);

/// Why a record isn't taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordFault {
    /// The upstream isn't listed here.
    UnknownUpstream,
    /// Its amounts are out of range.
    InvalidAmount,
    /// Its end arrived earlier.
    Ended,
}

impl RecordFault {
    /// The fault as a label for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            RecordFault::UnknownUpstream => "unknown-upstream",
            RecordFault::InvalidAmount => "invalid-amount",
            RecordFault::Ended => "ended",
        }
    }
}

/// What is known of a request before its record arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EarlyEvent {
    FirstToken,
    Ended,
}

/// What a report shows of a record of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    /// The request is in progress.
    Renewed { has_first_token: bool },
    /// The request has ended.
    Ended,
    /// Nothing: it is too recent, or not all of the report has arrived.
    Unlisted,
}

/// How a report has changed the records of its sender.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// Records that were dropped because their requests have ended.
    pub dropped: usize,
    /// Requests that the report lists, without a record here.
    pub unknown: Vec<ShortId>,
}

impl UpstreamRegistry {
    /// Renews the records of a sender that its report lists, and drops those that have ended.
    /// `sender` is `None` for this box.
    pub fn reconcile(
        &mut self,
        sender: Option<IpAddr>,
        listed: &ListedRequests,
        now: Duration,
    ) -> Reconciliation {
        let mut unknown = listed.ids.clone();
        let mut state = |request: u64, placed: Duration| {
            let id = ShortId::from(request);
            if unknown.remove(&id) || listed.ids.contains(&id) {
                return ReportedState::Renewed {
                    has_first_token: listed.with_first_token.contains(&id),
                };
            }
            let has_ended = listed.complete.as_ref().is_some_and(|(all, min_age)| {
                !all.contains(&id) && placed + *min_age + AGE_SLACK <= now
            });
            if has_ended { ReportedState::Ended } else { ReportedState::Unlisted }
        };
        let mut dropped = 0;
        let upstreams = &mut self.upstreams;
        self.senders.retain_of(sender, |request, name| {
            let Some(upstream) = upstreams.get_mut(name) else { return false };
            let reported = match &mut upstream.engine {
                Some(engine) => engine.reconcile(request, sender, &mut state, now),
                None => upstream.plain.reconcile(request, sender, &mut state, now),
            };
            dropped += usize::from(reported == Some(ReportedState::Ended));
            reported.is_some_and(|reported| reported != ReportedState::Ended)
        });
        Reconciliation { dropped, unknown: unknown.into_iter().collect() }
    }

    /// Takes the record of a request in progress in, or renews the one that there is. `sender` is
    /// `None` for this box.
    pub fn adopt_request(
        &mut self,
        record: &RequestRecord,
        sender: Option<IpAddr>,
        now: Duration,
    ) -> Result<(), RecordFault> {
        self.adopt(record, sender, now, now)
    }

    /// Adds the record of a request that another tracking box has. It may have ended since,
    /// so its sender must confirm it soon.
    pub fn adopt_learned_request(
        &mut self,
        record: &RequestRecord,
        sender: IpAddr,
        now: Duration,
    ) -> Result<(), RecordFault> {
        let renewed = now.saturating_sub(LEASE - CONFIRM_LEARNED_WITHIN);
        self.adopt(record, Some(sender), renewed, now)
    }

    fn adopt(
        &mut self,
        record: &RequestRecord,
        sender: Option<IpAddr>,
        renewed: Duration,
        now: Duration,
    ) -> Result<(), RecordFault> {
        let age = Duration::from_millis(record.age_ms.into());
        if AGE_MAX < age {
            return Err(RecordFault::InvalidAmount);
        }
        let name = &record.upstream;
        let upstream = self.upstreams.get_mut(name).ok_or(RecordFault::UnknownUpstream)?;
        if self.early.get(&record.request).is_some_and(|(_, e)| *e == EarlyEvent::Ended) {
            return Err(RecordFault::Ended);
        }
        let placed = now.saturating_sub(age);
        match &mut upstream.engine {
            Some(engine) => engine.adopt(record, placed, sender, renewed)?,
            None => upstream.plain.adopt(record.request, placed, sender, renewed),
        }
        self.busy.insert(name.clone());
        self.senders.add(sender, record.request, name);
        Ok(())
    }

    /// The records of requests in progress at an upstream, for a box that starts to track it.
    pub fn records(
        &self,
        name: &UpstreamName,
        now: Duration,
    ) -> Vec<(Option<IpAddr>, RequestRecord)> {
        let Some(upstream) = self.upstreams.get(name) else { return Vec::new() };
        let age_ms = |placed: Duration| {
            u32::try_from(now.saturating_sub(placed).as_millis()).unwrap_or(u32::MAX)
        };
        match &upstream.engine {
            Some(engine) => engine.records(name, age_ms),
            None => upstream.plain.records(name, age_ms),
        }
    }

    /// Number of requests recorded at an upstream.
    pub fn running(&self, name: &UpstreamName) -> usize {
        self.upstreams.get(name).map_or(0, |upstream| match &upstream.engine {
            Some(engine) => engine.running(),
            None => upstream.plain.running(),
        })
    }

    /// Remembers an event of a request of which there is no record yet.
    pub(super) fn remember_early(&mut self, request: u64, event: EarlyEvent, now: Duration) {
        let known = self.early.entry(request).or_insert((now, event));
        if event == EarlyEvent::Ended {
            *known = (now, event);
        }
    }

    /// The event that arrived before the record of a request.
    pub(super) fn early_event(&self, request: u64) -> Option<EarlyEvent> {
        if self.early.is_empty() {
            return None;
        }
        self.early.get(&request).map(|(_, event)| *event)
    }

    pub(super) fn expire_early(&mut self, now: Duration) {
        self.early.retain(|_, (at, _)| now < *at + EARLY_RETENTION);
    }
}
