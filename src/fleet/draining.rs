//! Upstreams that have announced in their responses that they are draining.
//!
//! The platform's store may list such an upstream as ready long afterwards, or drop its entry and
//! list it again. Draining is final for an instance: only a newer instance of the same name accepts
//! requests again.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::UpstreamName;

/// How long the notice of an upstream that is no longer listed is kept: lapsed entries are listed
/// again sooner than this.
const UNLISTED_RETENTION: Duration = Duration::from_secs(30);

/// A draining instance terminates within this time. An instance that is newer than the one the
/// request was sent to, but started before the response by clocks that may differ, may be the one
/// that responded.
const DRAIN_TIME_MAX: Duration = Duration::from_secs(30);

/// An upstream's announcement that it is draining.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainNotice {
    pub upstream: UpstreamName,
    /// When the instance that the request was sent to started, in milliseconds since 1970 by its
    /// own clock; `None` if unknown.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// When it responded, in milliseconds since 1970 by the clock of the box that sent the request.
    pub answered_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    notice: DrainNotice,
    noted_at: Duration,
    listed_at: Duration,
}

/// The drain notices that this box knows of.
#[derive(Clone, Debug, Default)]
pub struct DrainNotices {
    by_name: BTreeMap<UpstreamName, Entry>,
}

impl DrainNotices {
    /// Adds a notice. Returns false if there already is one for this instance or a newer one.
    pub fn add(&mut self, notice: &DrainNotice, now: Duration) -> bool {
        let existing = self.by_name.get(&notice.upstream);
        if existing.is_some_and(|entry| notice.started_at_ms <= entry.notice.started_at_ms) {
            return false;
        }
        let entry = Entry { notice: notice.clone(), noted_at: now, listed_at: now };
        self.by_name.insert(notice.upstream.clone(), entry);
        true
    }

    /// Returns when an upstream's notice was added, by this box's clock.
    pub fn noted_at(&self, name: &UpstreamName) -> Option<Duration> {
        self.by_name.get(name).map(|entry| entry.noted_at)
    }

    /// Returns an upstream's notice, whichever instance it is about.
    pub fn get(&self, name: &UpstreamName) -> Option<&DrainNotice> {
        self.by_name.get(name).map(|entry| &entry.notice)
    }

    /// Whether the listed instance of an upstream is draining. Removes a notice that is about an
    /// earlier instance.
    pub fn is_draining(
        &mut self,
        name: &UpstreamName,
        started_at_ms: Option<u64>,
        now: Duration,
    ) -> bool {
        let Some(entry) = self.by_name.get_mut(name) else { return false };
        if entry.is_about_earlier_instance(started_at_ms, now) {
            self.by_name.remove(name);
            return false;
        }
        entry.listed_at = now;
        true
    }

    /// Returns until when an instance that is newer than the one the request was sent to is assumed
    /// to be the one that responded; `None` if it isn't newer.
    pub fn uncertain_until(
        &self,
        name: &UpstreamName,
        started_at_ms: Option<u64>,
    ) -> Option<Duration> {
        let entry = self.by_name.get(name)?;
        entry.is_newer_instance(started_at_ms).then_some(entry.noted_at + DRAIN_TIME_MAX)
    }

    pub fn iter(&self) -> impl Iterator<Item = &DrainNotice> {
        self.by_name.values().map(|entry| &entry.notice)
    }

    /// Removes notices of upstreams that have not been listed for `UNLISTED_RETENTION`.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&UpstreamName) -> bool) {
        self.by_name.retain(|name, entry| {
            if is_listed(name) {
                entry.listed_at = now;
            }
            now < entry.listed_at + UNLISTED_RETENTION
        });
    }
}

impl Entry {
    fn is_about_earlier_instance(&self, started_at_ms: Option<u64>, now: Duration) -> bool {
        let has_started_after_response =
            started_at_ms.is_some_and(|started_at_ms| self.notice.answered_at_ms < started_at_ms);
        has_started_after_response
            || (self.is_newer_instance(started_at_ms) && self.noted_at + DRAIN_TIME_MAX <= now)
    }

    fn is_newer_instance(&self, started_at_ms: Option<u64>) -> bool {
        self.notice
            .started_at_ms
            .zip(started_at_ms)
            .is_some_and(|(noticed, listed)| noticed < listed)
    }
}
