//! What a box knows about another box.

use std::net::IpAddr;
use std::time::Duration;

use crate::fleet::members::AGE_UNIT;
use crate::fleet::members::BoxReport;
use crate::fleet::members::FORGET_AFTER;
use crate::fleet::members::HEARTBEAT_TIMEOUT;
use crate::fleet::members::LivenessUpdate;
use crate::fleet::members::SUSPICION_TIMEOUT;
use crate::names::ZoneName;

/// How often each update about a box is sent as gossip, each time to a few boxes. Boxes that miss
/// it learn of it from the randomly drawn updates in heartbeats.
const GOSSIP_SENDS: u8 = 6;

/// A suspicion is included in randomly drawn updates for this long: less than the largest age that
/// an update can carry, so that no suspicion is ever renewed.
const SUSPICION_UPDATE_AGE_MAX: Duration = Duration::from_secs(10);

/// How to decide whether another box is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LivenessRule {
    /// Heartbeats go to all boxes, so a box that isn't heard from is dead.
    Timeout,
    /// A dead box fails to reply to some box's probe, and gossip spreads the suspicion.
    Suspicion,
    /// This box receives no heartbeats and considers all others dead.
    Isolated,
}

/// Another box of the fleet.
#[derive(Clone, Debug)]
pub struct Member {
    /// Its last report; `None` while it is only known from other boxes.
    pub report: Option<BoxReport>,
    /// When it was last known to be alive.
    alive_at: Option<Duration>,
    /// When it failed to reply to a probe, if it isn't known to have been alive since.
    suspected_at: Option<Duration>,
    /// When this box first heard of it.
    discovered_at: Duration,
    /// When its last report was received.
    reported_at: Duration,
    /// How often the latest update about it is still to be sent as gossip.
    pub(super) sends_left: u8,
    pub(super) is_seed: bool,
    /// Whether it has been alive since [`Members::take_dead`] last returned it.
    ///
    /// [`Members::take_dead`]: crate::fleet::members::Members::take_dead
    pub(super) was_live: bool,
}

impl Member {
    pub(super) fn new(now: Duration) -> Member {
        Member {
            report: None,
            alive_at: None,
            suspected_at: None,
            discovered_at: now,
            reported_at: Duration::ZERO,
            sends_left: 0,
            is_seed: false,
            was_live: false,
        }
    }

    /// Whether nothing received so far says that it has ever been alive.
    pub(super) fn was_never_alive(&self) -> bool {
        self.report.is_none() && self.alive_at.is_none()
    }

    pub(super) fn is_live(&self, rule: LivenessRule, now: Duration) -> bool {
        let Some(alive_at) = self.alive_at else { return false };
        match rule {
            LivenessRule::Timeout => now < alive_at + HEARTBEAT_TIMEOUT,
            LivenessRule::Suspicion => {
                self.suspected_at.is_none_or(|at| now < at + SUSPICION_TIMEOUT)
            }
            LivenessRule::Isolated => false,
        }
    }

    /// Whether it failed to reply to a probe and isn't known to have been alive since.
    pub(super) fn is_suspected(&self) -> bool {
        self.suspected_at.is_some()
    }

    /// Whether it has sent a report itself within this time.
    pub(super) fn has_reported_within(&self, time: Duration, now: Duration) -> bool {
        self.report.is_some() && now < self.reported_at + time
    }

    pub(super) fn can_be_forgotten(&self, now: Duration) -> bool {
        let last = self.alive_at.max(self.suspected_at).unwrap_or(self.discovered_at);
        !self.is_seed && last + FORGET_AFTER < now
    }

    pub(super) fn is_in(&self, zone: &ZoneName) -> bool {
        self.report.as_ref().is_some_and(|r| r.zone == *zone)
    }

    /// Returns its last report and the time since it was received.
    pub fn report_with_age(&self, now: Duration) -> Option<(&BoxReport, Duration)> {
        Some((self.report.as_ref()?, now.saturating_sub(self.reported_at)))
    }

    /// Stores a report received from the box itself.
    pub(super) fn set_report(&mut self, report: &BoxReport, now: Duration) {
        self.report = Some(report.clone());
        self.reported_at = now;
        self.mark_alive(now);
        self.was_live = true;
    }

    /// Records that it was alive at a time.
    pub(super) fn mark_alive(&mut self, at: Duration) {
        let is_refuted = self.suspected_at.is_some_and(|suspected| suspected < at);
        if is_refuted {
            self.suspected_at = None;
        }
        if is_refuted || self.alive_at.is_none() {
            self.sends_left = GOSSIP_SENDS;
        }
        self.alive_at = self.alive_at.max(Some(at));
    }

    /// Records that it failed to reply to a probe at a time.
    pub(super) fn suspect(&mut self, at: Duration) {
        if self.is_suspected() {
            return;
        }
        // Either the sender has missed that the box is alive, or the suspicion is new. Both need
        // gossip.
        self.sends_left = GOSSIP_SENDS;
        if self.alive_at.is_none_or(|alive| alive <= at) {
            self.suspected_at = Some(at);
        }
    }

    /// Returns the update about it to send as gossip, and counts the sending.
    pub(super) fn take_update(&mut self, ip: IpAddr, now: Duration) -> Option<LivenessUpdate> {
        self.sends_left -= 1;
        match self.suspected_at {
            Some(at) => {
                Some(LivenessUpdate { ip, age_tenths_s: tenths(at, now), is_suspicion: true })
            }
            None => self.alive_update(ip, now),
        }
    }

    /// Returns the update about it for boxes that may have missed the gossip.
    pub(super) fn update(&self, ip: IpAddr, now: Duration) -> Option<LivenessUpdate> {
        match self.suspected_at {
            Some(at) if now < at + SUSPICION_UPDATE_AGE_MAX => {
                Some(LivenessUpdate { ip, age_tenths_s: tenths(at, now), is_suspicion: true })
            }
            Some(_) => None,
            None => self.alive_update(ip, now),
        }
    }

    /// Returns the update that says how long ago it was alive.
    fn alive_update(&self, ip: IpAddr, now: Duration) -> Option<LivenessUpdate> {
        Some(LivenessUpdate { ip, age_tenths_s: tenths(self.alive_at?, now), is_suspicion: false })
    }
}

/// Time since `at` in units of [`AGE_UNIT`], rounded up and capped.
fn tenths(at: Duration, now: Duration) -> u8 {
    let tenths = now.saturating_sub(at).as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(tenths).unwrap_or(u8::MAX)
}
