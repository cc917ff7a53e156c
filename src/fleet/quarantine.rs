//! Quarantine of requests that crash the upstreams that run them.
//!
//! A request is retried with another id and at another box, so it is identified by its fingerprint,
//! and boxes share what they know of it. Every request that was running at an upstream when that
//! crashed is a suspect; one that succeeds somewhere is cleared. A request that was running at
//! [`CRASHES_MAX`] upstreams when they crashed is held back.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::fingerprint::Fingerprint;

/// A request is held back once this many upstreams have crashed while running it.
pub const CRASHES_MAX: usize = 3;

/// How long a crash counts against a request. A request crashes at most [`CRASHES_MAX`] upstreams
/// within this time, which is long enough for people to find out what is wrong.
pub(super) const RETENTION: Duration = Duration::from_secs(3600);

/// Crashes within this time may be a single failure that is unrelated to the request, if many
/// callers sent the same request at once. Retries of one caller take longer to crash three
/// upstreams.
const SIMULTANEOUS_WITHIN: Duration = Duration::from_millis(250);

/// After simultaneous crashes, one box may retry the request after this time.
const TRIAL_AFTER: Duration = Duration::from_secs(3);

/// Limit on the number of suspects, of some 150 bytes each.
const SUSPECTS_MAX: usize = 8192;

/// At the limit, one in this many suspects is evicted at a time, since the selection has to look at
/// all.
pub(super) const EVICTION_DIVISOR: usize = 4;

/// A hold that expires within this time is no longer sent to other boxes. Otherwise boxes that
/// remove it at different times would keep sending it to each other.
pub(super) const REPORT_MARGIN: Duration = Duration::from_secs(30);

/// A crash of an upstream, as boxes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identifies the instance of the upstream. An instance crashes only once, so several reports
    /// of the same crash, however late, count once.
    pub instance: u64,
    /// Time since the crash, in milliseconds.
    pub ago_ms: u32,
}

/// A request that was running at upstreams when they crashed, or a part of prompts of such requests,
/// as boxes report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    pub fingerprint: Fingerprint,
    /// All crashes that the sender knows of.
    pub crashes: Vec<CrashReport>,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) instance: u64,
    pub(super) at: Millis,
}

impl Crash {
    pub(super) fn ago(&self, now: Duration) -> Duration {
        elapsed(self.at, millis(now))
    }
}

/// Milliseconds by this box's clock. The clock starts with its process, so earlier times are
/// negative.
pub(super) type Millis = i64;

pub(super) fn millis(time: Duration) -> Millis {
    Millis::try_from(time.as_millis()).unwrap_or(Millis::MAX)
}

pub(super) fn elapsed(from: Millis, to: Millis) -> Duration {
    Duration::from_millis(u64::try_from(to - from).unwrap_or_default())
}

/// How a request, or a part of prompts, is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hold {
    /// Until it has been tried: the crashes may have another cause.
    Provisional,
    /// Until the crashes expire.
    Confirmed,
}

/// Whether a request, or one with a part of prompts, may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Allowed,
    /// The request must not be sent for this long.
    Held(Duration),
    /// One box may send the request, one attempt at a time.
    OnTrial,
}

/// The crashes under one request, oldest first.
type Crashes = Vec<Crash>;

/// The requests that were running at upstreams when they crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Crashes>,
}

impl Quarantine {
    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a request with this quick hash may be a suspect.
    pub fn may_contain(&self, quick_hash: u32) -> bool {
        let range = Fingerprint::min_of(quick_hash)..=Fingerprint::max_of(quick_hash);
        self.suspects.range(range).next().is_some()
    }

    /// Returns the number of upstreams that have crashed under a request.
    pub fn crash_count(&self, fingerprint: &Fingerprint) -> usize {
        self.suspects.get(fingerprint).map_or(0, Vec::len)
    }

    /// Returns whether a request may be sent.
    pub fn verdict(&self, fingerprint: &Fingerprint, now: Duration) -> Verdict {
        let Some(crashes) = self.suspects.get(fingerprint) else { return Verdict::Allowed };
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return Verdict::Allowed;
        };
        match hold_for(crashes) {
            None => Verdict::Allowed,
            // The hold ends when the first crash expires. The next crash then holds the request
            // back again.
            Some(Hold::Confirmed) => Verdict::Held(RETENTION.saturating_sub(first.ago(now))),
            Some(Hold::Provisional) if TRIAL_AFTER <= last.ago(now) => Verdict::OnTrial,
            Some(Hold::Provisional) => Verdict::Held(TRIAL_AFTER.saturating_sub(last.ago(now))),
        }
    }

    /// Records that an instance of an upstream has crashed under a request. Returns how the request
    /// is held back from now on, if that hold is new or firmer than before.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        instance: u64,
        now: Duration,
    ) -> Option<Hold> {
        self.add(fingerprint, &[Crash { instance, at: millis(now) }])
    }

    /// Adds another box's report. Returns how the request is held back from now on, if that hold is
    /// new or firmer than before.
    pub fn merge(&mut self, report: &SuspectReport, now: Duration) -> Option<Hold> {
        self.add(report.fingerprint, &reported_crashes(report, now))
    }

    fn add(&mut self, fingerprint: Fingerprint, crashes: &[Crash]) -> Option<Hold> {
        if crashes.is_empty() {
            return None;
        }
        if SUSPECTS_MAX <= self.suspects.len() && !self.suspects.contains_key(&fingerprint) {
            self.evict();
        }
        let known = self.suspects.entry(fingerprint).or_default();
        let previous = hold_for(known);
        // The newest crashes decide how long the request is held back.
        add_crashes(known, crashes, CRASHES_MAX);
        hold_for(known).filter(|hold| previous < Some(*hold))
    }

    /// Evicts the suspects with the fewest crashes, and among these the ones with the oldest last
    /// crash.
    fn evict(&mut self) {
        let rank = |(fingerprint, crashes): (&Fingerprint, &Crashes)| {
            (crashes.len(), crashes.last().map(|crash| crash.at), *fingerprint)
        };
        let mut ranks: Vec<_> = self.suspects.iter().map(rank).collect();
        let count = (ranks.len() / EVICTION_DIVISOR).max(1);
        ranks.select_nth_unstable(count - 1);
        ranks[..count].iter().for_each(|(_, _, fingerprint)| _ = self.suspects.remove(fingerprint));
    }

    /// Clears a request that has succeeded. A confirmed hold stays, since other boxes have adopted
    /// it. Returns whether a suspect was removed.
    pub fn clear(&mut self, fingerprint: &Fingerprint) -> bool {
        let known = self.suspects.get(fingerprint);
        let is_suspect = known.is_some_and(|crashes| hold_for(crashes) != Some(Hold::Confirmed));
        if is_suspect {
            self.suspects.remove(fingerprint);
        }
        is_suspect
    }

    /// Removes crashes older than `RETENTION`.
    pub fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|crash| crash.ago(now) < RETENTION);
            !crashes.is_empty()
        });
    }

    /// Returns the report about a request for other boxes.
    pub fn report(&self, fingerprint: &Fingerprint, now: Duration) -> Option<SuspectReport> {
        self.suspects.get(fingerprint).map(|crashes| build_report(fingerprint, crashes, now))
    }

    /// Returns reports of all requests with a confirmed hold that doesn't expire soon.
    pub fn held_reports(&self, now: Duration) -> impl Iterator<Item = SuspectReport> {
        let held = self.suspects.iter().filter(move |(_, crashes)| is_reported(crashes, now));
        held.map(move |(fingerprint, crashes)| build_report(fingerprint, crashes, now))
    }

    /// Returns a digest of the requests that [`Quarantine::held_reports`] returns; zero for none.
    pub fn held_digest(&self, now: Duration) -> u64 {
        let held = self.suspects.iter().filter(|(_, crashes)| is_reported(crashes, now));
        held.fold(0, |digest, (fingerprint, _)| digest ^ xxh3_64(fingerprint.as_bytes()))
    }
}

/// Adds crashes to those known, oldest first, and keeps the newest ones.
pub(super) fn add_crashes(known: &mut Vec<Crash>, crashes: &[Crash], kept: usize) {
    for crash in crashes {
        match known.iter_mut().find(|k| k.instance == crash.instance) {
            // A box that was suspended receives all reports late and dates the crashes too late, so
            // the earliest time is the most accurate.
            Some(known) => known.at = known.at.min(crash.at),
            None => known.push(*crash),
        }
    }
    known.sort_by_key(|crash| crash.at);
    known.drain(..known.len().saturating_sub(kept));
}

/// The crashes of a report that haven't expired.
pub(super) fn reported_crashes(report: &SuspectReport, now: Duration) -> Vec<Crash> {
    let crash = |report: &CrashReport| {
        let ago = Duration::from_millis(report.ago_ms.into());
        let at = millis(now) - i64::from(report.ago_ms);
        (ago < RETENTION).then_some(Crash { instance: report.instance, at })
    };
    report.crashes.iter().filter_map(crash).collect()
}

fn hold_for(crashes: &[Crash]) -> Option<Hold> {
    let (first, last) = (crashes.first()?, crashes.last()?);
    let is_simultaneous = elapsed(first.at, last.at) < SIMULTANEOUS_WITHIN;
    let hold = if is_simultaneous { Hold::Provisional } else { Hold::Confirmed };
    (CRASHES_MAX <= crashes.len()).then_some(hold)
}

/// Whether a request has a confirmed hold that does not expire too soon to be sent to other boxes.
fn is_reported(crashes: &[Crash], now: Duration) -> bool {
    hold_for(crashes) == Some(Hold::Confirmed)
        && crashes.iter().all(|crash| crash.ago(now) + REPORT_MARGIN < RETENTION)
}

pub(super) fn build_report(
    fingerprint: &Fingerprint,
    crashes: &[Crash],
    now: Duration,
) -> SuspectReport {
    let crash = |crash: &Crash| {
        let ago = crash.ago(now).as_millis();
        CrashReport { instance: crash.instance, ago_ms: u32::try_from(ago).unwrap_or(u32::MAX) }
    };
    SuspectReport { fingerprint: *fingerprint, crashes: crashes.iter().map(crash).collect() }
}
