//! Quarantine of parts of prompts that crash the engines that write a response on them.
//!
//! No two requests with such a part need to be alike, so a crash counts against the parts of all
//! requests that were running. Sound parts are among them; a complete response with a part clears
//! it. A part that was running at several engines when they crashed, with no complete response
//! since the first of these crashes, is withheld. After a while one request with it is tried, as a
//! sound part that is withheld has no complete response any more. If trials crash engines, too, the
//! hold is confirmed.

use std::collections::BTreeMap;
use std::time::Duration;

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::Crash;
use crate::fleet::quarantine::EVICTION_DIVISOR;
use crate::fleet::quarantine::Hold;
use crate::fleet::quarantine::Millis;
use crate::fleet::quarantine::REPORT_MARGIN;
use crate::fleet::quarantine::RETENTION;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::quarantine::Verdict;
use crate::fleet::quarantine::add_crashes;
use crate::fleet::quarantine::build_report;
use crate::fleet::quarantine::elapsed;
use crate::fleet::quarantine::millis;
use crate::fleet::quarantine::reported_crashes;

/// A part of which this box knows no complete response is withheld after this many crashes.
pub const HOLD_AT: usize = 3;

/// A part that had a complete response at this box before is withheld after this many crashes.
pub const HOLD_KNOWN_AT: usize = 5;

/// Trials that crash engines until a hold is confirmed.
const FAILED_TRIALS_MAX: usize = 2;

/// Crashes that are kept of a part.
const CRASHES_KEPT: usize = HOLD_KNOWN_AT + FAILED_TRIALS_MAX;

/// Time from the last crash until a request with the part may be tried.
const TRIAL_AFTER: Duration = Duration::from_secs(3);

/// Boxes begin their trials at different times within this one, so that others learn of the first
/// trial before they begin one.
const TRIAL_SPREAD: Duration = Duration::from_secs(2);

/// Time until another request may be tried, if a trial has no known outcome.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);

/// How long a complete response shows that a part is probably sound.
const COMPLETED_FOR: Duration = Duration::from_secs(600);

/// Limits on the number of suspects and of complete responses that are remembered.
const SUSPECTS_MAX: usize = 4096;
const COMPLETED_MAX: usize = 8192;

/// A part of the prompt of a request that was running at an instance of an engine when that crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartCrash {
    pub part: Fingerprint,
    /// See [`crate::fleet::quarantine::CrashReport::instance`].
    pub instance: u64,
    /// When the request broke off.
    pub at: Duration,
}

/// The parts of prompts of requests that were running at engines when these crashed.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    /// The crashes of each part since its last complete response, oldest first.
    suspects: BTreeMap<Fingerprint, Vec<Crash>>,
    /// When a response with a part was last complete.
    completed: FxHashMap<Fingerprint, Millis>,
    /// When a request with a part was last tried.
    trials: FxHashMap<Fingerprint, Millis>,
    /// When this box last sent a request to try a part, until the outcome is known.
    sent_trials: FxHashMap<Fingerprint, Millis>,
}

impl PartQuarantine {
    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// The number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of crashes that count against a part.
    pub fn crash_count(&self, part: &Fingerprint) -> usize {
        self.suspects.get(part).map_or(0, Vec::len)
    }

    /// Returns the number of crashes after which a part is withheld.
    pub fn hold_at(&self, part: &Fingerprint, now: Duration) -> usize {
        let completed = self.completed.get(part);
        let is_known = completed.is_some_and(|at| elapsed(*at, millis(now)) < COMPLETED_FOR);
        if is_known { HOLD_KNOWN_AT } else { HOLD_AT }
    }

    /// Returns whether a request with a part may be sent. `draw`, from 0 to 1, differs between boxes:
    /// it decides when this one may try a request; see [`PartQuarantine::start_trial`].
    pub fn verdict(&self, part: &Fingerprint, draw: f64, now: Duration) -> Verdict {
        let Some(crashes) = self.suspects.get(part) else { return Verdict::Allowed };
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return Verdict::Allowed;
        };
        match self.hold_of(part, crashes, now) {
            None => Verdict::Allowed,
            Some(Hold::Confirmed) => Verdict::Held(RETENTION.saturating_sub(first.ago(now))),
            Some(Hold::Provisional) => {
                let due = TRIAL_AFTER + TRIAL_SPREAD.mul_f64(draw);
                let mut left = due.saturating_sub(last.ago(now));
                if let Some(tried_at) = self.trials.get(part) {
                    let since = elapsed(*tried_at, millis(now));
                    left = left.max(TRIAL_INTERVAL.saturating_sub(since));
                }
                if left.is_zero() { Verdict::OnTrial } else { Verdict::Held(left) }
            }
        }
    }

    /// Records that this box or another one tries a request with a part.
    pub fn start_trial(&mut self, part: Fingerprint, now: Duration) {
        if self.suspects.contains_key(&part) {
            self.trials.insert(part, millis(now));
        }
    }

    /// Records that this box has sent a request that tries a part.
    pub fn record_trial_sent(&mut self, part: Fingerprint, now: Duration) {
        if self.suspects.contains_key(&part) {
            self.sent_trials.insert(part, millis(now));
        }
    }

    /// Takes the trials of this box that have no outcome. Each counts as a crash, since a crash that
    /// isn't attributed to its requests leaves no other trace.
    pub fn take_unresolved_trials(&mut self, now: Duration) -> Vec<PartCrash> {
        let mut unresolved = Vec::new();
        self.sent_trials.retain(|part, sent_at| {
            let age = elapsed(*sent_at, millis(now));
            let has_crashed =
                self.suspects.get(part).and_then(|c| c.last()).is_some_and(|c| *sent_at < c.at);
            if has_crashed || age < TRIAL_INTERVAL {
                return !has_crashed;
            }
            let instance = xxh3_64_with_seed(part.as_bytes(), sent_at.cast_unsigned());
            unresolved.push(PartCrash { part: *part, instance, at: now.saturating_sub(age) });
            false
        });
        unresolved
    }

    /// Records a crash that this box has detected. Returns how the part is withheld from now on, if
    /// that is new or firmer than before.
    pub fn record_crash(&mut self, crash: &PartCrash, now: Duration) -> Option<Hold> {
        let PartCrash { part, instance, at } = *crash;
        self.add(part, &[Crash { instance, at: millis(at) }], now)
    }

    /// Adds another box's report. Returns how the part is withheld from now on, if that is new or
    /// firmer than before.
    pub fn merge(&mut self, report: &SuspectReport, now: Duration) -> Option<Hold> {
        self.add(report.fingerprint, &reported_crashes(report, now), now)
    }

    /// Records a complete response with these parts. Returns those that other boxes may count
    /// crashes against.
    pub fn record_completed(&mut self, parts: &[Fingerprint], now: Duration) -> Vec<Fingerprint> {
        let suspects = parts.iter().filter(|part| self.suspects.contains_key(part));
        let announced: Vec<Fingerprint> = suspects.copied().collect();
        for part in parts {
            if COMPLETED_MAX <= self.completed.len() && !self.completed.contains_key(part) {
                self.forget_oldest_completed();
            }
            self.completed.insert(*part, millis(now));
            self.suspects.remove(part);
            self.trials.remove(part);
            self.sent_trials.remove(part);
        }
        announced
    }

    /// Removes expired state.
    pub fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|crash| crash.ago(now) < RETENTION);
            !crashes.is_empty()
        });
        self.trials.retain(|_, at| elapsed(*at, millis(now)) < TRIAL_INTERVAL);
    }

    /// Returns the report about a part for other boxes.
    pub fn report(&self, part: &Fingerprint, now: Duration) -> Option<SuspectReport> {
        self.suspects.get(part).map(|crashes| build_report(part, crashes, now))
    }

    /// Returns reports of all parts with a confirmed hold that doesn't expire soon.
    pub fn held_reports(&self, now: Duration) -> impl Iterator<Item = SuspectReport> {
        let held = self.suspects.iter().filter(move |(part, c)| self.is_reported(part, c, now));
        held.map(move |(part, crashes)| build_report(part, crashes, now))
    }

    /// Returns a digest of the parts that [`PartQuarantine::held_reports`] returns; zero for none.
    pub fn held_digest(&self, now: Duration) -> u64 {
        let held = self.suspects.iter().filter(|(part, c)| self.is_reported(part, c, now));
        held.fold(0, |digest, (part, _)| digest ^ xxh3_64(part.as_bytes()))
    }

    fn is_reported(&self, part: &Fingerprint, crashes: &[Crash], now: Duration) -> bool {
        self.hold_of(part, crashes, now) == Some(Hold::Confirmed)
            && crashes.iter().all(|crash| crash.ago(now) + REPORT_MARGIN < RETENTION)
    }

    fn hold_of(&self, part: &Fingerprint, crashes: &[Crash], now: Duration) -> Option<Hold> {
        let hold_at = self.hold_at(part, now);
        if crashes.len() < hold_at {
            return None;
        }
        let is_failed_trial = |pair: &&[Crash]| TRIAL_AFTER <= elapsed(pair[0].at, pair[1].at);
        // A crash that follows the previous one so late is of a request that was tried.
        let failed_trials = crashes[hold_at - 1..].windows(2).filter(is_failed_trial).count();
        if failed_trials < FAILED_TRIALS_MAX {
            Some(Hold::Provisional)
        } else {
            Some(Hold::Confirmed)
        }
    }

    fn add(&mut self, part: Fingerprint, crashes: &[Crash], now: Duration) -> Option<Hold> {
        let completed = self.completed.get(&part).copied();
        let is_later = |crash: &&Crash| completed.is_none_or(|completed| completed < crash.at);
        let crashes: Vec<Crash> = crashes.iter().filter(is_later).copied().collect();
        if crashes.is_empty() {
            return None;
        }
        if SUSPECTS_MAX <= self.suspects.len() && !self.suspects.contains_key(&part) {
            self.evict();
        }
        let mut known = self.suspects.remove(&part).unwrap_or_default();
        let previous = self.hold_of(&part, &known, now);
        add_crashes(&mut known, &crashes, CRASHES_KEPT);
        let hold = self.hold_of(&part, &known, now).filter(|hold| previous < Some(*hold));
        self.suspects.insert(part, known);
        hold
    }

    /// Evicts the suspects with the fewest crashes, and among these the ones with the oldest last
    /// crash.
    fn evict(&mut self) {
        let rank = |(part, crashes): (&Fingerprint, &Vec<Crash>)| {
            (crashes.len(), crashes.last().map(|crash| crash.at), *part)
        };
        let mut ranks: Vec<_> = self.suspects.iter().map(rank).collect();
        let count = (ranks.len() / EVICTION_DIVISOR).max(1);
        ranks.select_nth_unstable(count - 1);
        ranks[..count].iter().for_each(|(_, _, part)| _ = self.suspects.remove(part));
    }

    fn forget_oldest_completed(&mut self) {
        let mut times: Vec<Millis> = self.completed.values().copied().collect();
        let count = times.len() / EVICTION_DIVISOR;
        let (_, oldest_kept, _) = times.select_nth_unstable(count);
        let oldest_kept = *oldest_kept;
        self.completed.retain(|_, at| oldest_kept < *at);
    }
}
