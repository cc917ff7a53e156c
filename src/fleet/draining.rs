//! Upstreams that have said in their answers that they are draining.
//!
//! The platform's store may list such an upstream as ready for long after, drop its entry and list it again. Draining is
//! final for an incarnation: only a newer one of the same name is open again.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::UpstreamName;

/// How long an upstream is remembered that isn't listed any more: entries that lapse come back sooner.
const KEPT_UNLISTED: Duration = Duration::from_secs(30);

/// An incarnation that is newer than the one that was asked, and began before the answer by clocks that may differ, may be
/// the one that answered. An upstream that drains ends within this time.
const ENDS_WITHIN: Duration = Duration::from_secs(30);

/// The notice of an upstream that it is draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draining {
    /// The upstream.
    pub upstream: UpstreamName,
    /// When the incarnation that was asked was started, in milliseconds since 1970 by its own clock; nothing if that isn't
    /// known.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// When it answered, in milliseconds since 1970 by the clock of the box that asked it.
    pub said_at: u64,
}

#[derive(Clone, Debug)]
struct Mark {
    draining: Draining,
    noted_at: Duration,
    listed_at: Duration,
}

/// The upstreams that have said that they are draining.
#[derive(Clone, Debug, Default)]
pub struct Marks {
    by_name: BTreeMap<UpstreamName, Mark>,
}

impl Marks {
    /// Adds a notice. True unless there is one of this incarnation or a newer one.
    pub fn add(&mut self, draining: &Draining, now: Duration) -> bool {
        let known = self.by_name.get(&draining.upstream);
        if known.is_some_and(|mark| draining.started_at_ms <= mark.draining.started_at_ms) {
            return false;
        }
        let mark = Mark { draining: draining.clone(), noted_at: now, listed_at: now };
        self.by_name.insert(draining.upstream.clone(), mark);
        true
    }

    /// When an upstream's notice was added, by this box's clock.
    pub fn noted_at(&self, name: &UpstreamName) -> Option<Duration> {
        self.by_name.get(name).map(|mark| mark.noted_at)
    }

    /// An upstream's notice, of whichever incarnation.
    pub fn get(&self, name: &UpstreamName) -> Option<&Draining> {
        self.by_name.get(name).map(|mark| &mark.draining)
    }

    /// Whether the incarnation of an upstream that is listed drains; removes the notice of an earlier one.
    pub fn covers(
        &mut self,
        name: &UpstreamName,
        started_at_ms: Option<u64>,
        now: Duration,
    ) -> bool {
        let Some(mark) = self.by_name.get_mut(name) else { return false };
        if mark.is_of_earlier_incarnation(started_at_ms, now) {
            self.by_name.remove(name);
            return false;
        }
        mark.listed_at = now;
        true
    }

    /// Until when a newer incarnation than the one that was asked is taken for the one that answered; nothing if it isn't
    /// newer.
    pub fn uncertain_until(
        &self,
        name: &UpstreamName,
        started_at_ms: Option<u64>,
    ) -> Option<Duration> {
        let mark = self.by_name.get(name)?;
        mark.is_newer(started_at_ms).then_some(mark.noted_at + ENDS_WITHIN)
    }

    /// All notices that are kept.
    pub fn all(&self) -> impl Iterator<Item = &Draining> {
        self.by_name.values().map(|mark| &mark.draining)
    }

    /// Forgets upstreams that have not been listed for long.
    pub fn tick(&mut self, now: Duration, is_listed: impl Fn(&UpstreamName) -> bool) {
        self.by_name.retain(|name, mark| {
            if is_listed(name) {
                mark.listed_at = now;
            }
            now < mark.listed_at + KEPT_UNLISTED
        });
    }
}

impl Mark {
    fn is_of_earlier_incarnation(&self, started_at_ms: Option<u64>, now: Duration) -> bool {
        let has_begun_after =
            started_at_ms.is_some_and(|started_at_ms| self.draining.said_at < started_at_ms);
        has_begun_after || (self.is_newer(started_at_ms) && self.noted_at + ENDS_WITHIN <= now)
    }

    fn is_newer(&self, started_at_ms: Option<u64>) -> bool {
        self.draining
            .started_at_ms
            .zip(started_at_ms)
            .is_some_and(|(asked, started_at_ms)| asked < started_at_ms)
    }
}
