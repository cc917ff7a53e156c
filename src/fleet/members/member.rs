//! Another box, as one box sees it.

use std::net::IpAddr;
use std::time::Duration;

use crate::fleet::members::AGE_UNIT;
use crate::fleet::members::BoxReport;
use crate::fleet::members::FORGOTTEN_AFTER;
use crate::fleet::members::LivenessUpdate;
use crate::fleet::members::SILENT_AFTER;
use crate::fleet::members::STANDS_AFTER;
use crate::names::ZoneName;

/// How often news of a box is told, each time to a few. Who misses it is told by chance.
const NEWS_TOLD: u8 = 6;

/// A doubt is told for so long to who may have missed it: less than an age can say, so that none is ever renewed.
const DOUBTS_TOLD_FOR: Duration = Duration::from_secs(10);

/// By what it is judged whether another box is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JudgedBy {
    /// Signs of life go to all, so who isn't heard of is gone.
    Silence,
    /// Who is gone is asked in vain by somebody, and that is told.
    Doubts,
    /// This box hears of nobody.
    Solitude,
}

/// Another box.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it said of itself last; nothing while only others have told of it.
    pub report: Option<BoxReport>,
    /// When it was alive last, as far as known.
    alive_at: Option<Duration>,
    /// When it was asked in vain, if it hasn't been alive since.
    doubted_at: Option<Duration>,
    /// When it was first known of.
    known_at: Duration,
    /// When its own word came last.
    said_at: Duration,
    /// How often what is known of it is still to be told.
    pub(super) news: u8,
    pub(super) is_seed: bool,
    /// Whether its silence has not been told yet.
    pub(super) counts_as_live: bool,
}

impl Member {
    pub(super) fn unheard(now: Duration) -> Member {
        Member {
            report: None,
            alive_at: None,
            doubted_at: None,
            known_at: now,
            said_at: Duration::ZERO,
            news: 0,
            is_seed: false,
            counts_as_live: false,
        }
    }

    /// Whether neither it nor anybody else has told of it.
    pub(super) fn is_unheard_of(&self) -> bool {
        self.report.is_none() && self.alive_at.is_none()
    }

    pub(super) fn is_live(&self, by: JudgedBy, now: Duration) -> bool {
        let Some(alive_at) = self.alive_at else { return false };
        match by {
            JudgedBy::Silence => now < alive_at + SILENT_AFTER,
            JudgedBy::Doubts => self.doubted_at.is_none_or(|at| now < at + STANDS_AFTER),
            JudgedBy::Solitude => false,
        }
    }

    /// Whether it was asked in vain and hasn't been alive since, as far as known.
    pub(super) fn is_doubted(&self) -> bool {
        self.doubted_at.is_some()
    }

    pub(super) fn is_forgotten(&self, now: Duration) -> bool {
        let last = self.alive_at.max(self.doubted_at).unwrap_or(self.known_at);
        !self.is_seed && last + FORGOTTEN_AFTER < now
    }

    pub(super) fn is_of(&self, zone: &ZoneName) -> bool {
        self.report.as_ref().is_some_and(|r| r.zone == *zone)
    }

    /// Its last word, and how old that is.
    pub fn report_with_age(&self, now: Duration) -> Option<(&BoxReport, Duration)> {
        Some((self.report.as_ref()?, now.saturating_sub(self.said_at)))
    }

    /// Takes in its own word.
    pub(super) fn said(&mut self, report: &BoxReport, now: Duration) {
        self.report = Some(report.clone());
        self.said_at = now;
        self.was_alive(now);
        self.counts_as_live = true;
    }

    /// Notes that it was alive at a time.
    pub(super) fn was_alive(&mut self, at: Duration) {
        let is_refuted = self.doubted_at.is_some_and(|doubted| doubted < at);
        if is_refuted {
            self.doubted_at = None;
        }
        if is_refuted || self.alive_at.is_none() {
            self.news = NEWS_TOLD;
        }
        self.alive_at = self.alive_at.max(Some(at));
    }

    /// Notes that it was asked in vain at a time.
    pub(super) fn doubt(&mut self, at: Duration) {
        if self.is_doubted() {
            return;
        }
        // Whoever told that hasn't heard that it lives, or nobody has heard of the doubt.
        self.news = NEWS_TOLD;
        if self.alive_at.is_none_or(|alive| alive <= at) {
            self.doubted_at = Some(at);
        }
    }

    /// What is told of it as news, once.
    pub(super) fn tell(&mut self, ip: IpAddr, now: Duration) -> Option<LivenessUpdate> {
        self.news -= 1;
        match self.doubted_at {
            Some(at) => {
                Some(LivenessUpdate { ip, age_tenths_s: tenths(at, now), is_suspicion: true })
            }
            None => self.age(ip, now),
        }
    }

    /// What is known of it, for who has missed the news.
    pub(super) fn known(&self, ip: IpAddr, now: Duration) -> Option<LivenessUpdate> {
        match self.doubted_at {
            Some(at) if now < at + DOUBTS_TOLD_FOR => {
                Some(LivenessUpdate { ip, age_tenths_s: tenths(at, now), is_suspicion: true })
            }
            Some(_) => None,
            None => self.age(ip, now),
        }
    }

    /// How long ago it was alive.
    fn age(&self, ip: IpAddr, now: Duration) -> Option<LivenessUpdate> {
        Some(LivenessUpdate { ip, age_tenths_s: tenths(self.alive_at?, now), is_suspicion: false })
    }
}

/// Time since a moment, rounded up as it is told.
fn tenths(at: Duration, now: Duration) -> u8 {
    let tenths = now.saturating_sub(at).as_millis().div_ceil(AGE_UNIT.as_millis());
    u8::try_from(tenths).unwrap_or(u8::MAX)
}
