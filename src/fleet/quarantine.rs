//! Which requests end the upstreams that run them, as one box believes it.
//!
//! A request comes again, with another id and at another box, so what is known of it is a matter of its fingerprint and of
//! the whole fleet. Who was at an upstream when that ended is a suspect, one of many; who ends well somewhere is none.
//! One that was there each of [`CRASHES_MAX`] times is held back.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::fingerprint::Fingerprint;

/// Upstreams that may end under a request before it is held back.
pub const CRASHES_MAX: usize = 3;

/// How long the end of an upstream is held against a request, which ends no more than [`CRASHES_MAX`] of them in that
/// time: long enough for people to find out what is wrong.
const KEPT_FOR: Duration = Duration::from_secs(3600);

/// Ends of upstreams within this time may be one loss that has nothing to do with the request, which many callers sent at
/// once; a caller that comes again and again needs longer for three.
const AT_ONCE: Duration = Duration::from_millis(250);

/// A request that was at such ends is tried again after this, by one box.
const TRIED_AFTER: Duration = Duration::from_secs(3);

/// Most requests that are remembered, some 150 bytes each.
const SUSPECTS_MAX: usize = 8192;

/// Where there are too many, one in so many is forgotten at a time, since to find out which takes a look at all.
const FORGOTTEN_PART: usize = 4;

/// What is forgotten within this time isn't told any more: boxes that forget it at different moments would tell it each
/// other again and again.
const TOLD_UNTIL: Duration = Duration::from_secs(30);

/// An end of an upstream, as boxes tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Which instance of which upstream. It can end only once, so boxes that tell of the same end, however late, are not
    /// believed twice.
    pub instance: u64,
    /// How long ago, in milliseconds.
    pub ago_ms: u32,
}

/// A request that was at upstreams when they ended, as boxes tell it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// All ends that the teller knows of.
    pub crashes: Vec<CrashReport>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    instance: u64,
    at: Moment,
}

impl Crash {
    /// How long ago it was.
    fn ago(&self, now: Duration) -> Duration {
        between(self.at, moment(now))
    }
}

/// Milliseconds by this box's clock, which begins with its process: what was before is less than zero.
type Moment = i64;

fn moment(time: Duration) -> Moment {
    Moment::try_from(time.as_millis()).unwrap_or(Moment::MAX)
}

/// Time from one moment to a later one.
fn between(from: Moment, to: Moment) -> Duration {
    Duration::from_millis(u64::try_from(to - from).unwrap_or_default())
}

/// How a request is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hold {
    /// Until it has been tried once more: its upstreams ended at one moment.
    Provisional,
    /// For as long as its ends are remembered.
    Confirmed,
}

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Allowed,
    /// It must not be sent for this long.
    Held(Duration),
    /// One box may send it, one at a time.
    OnTrial,
}

/// The ends of upstreams under one request, oldest first.
type Crashes = Vec<Crash>;

/// The requests that were at upstreams when they ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: BTreeMap<Fingerprint, Crashes>,
}

impl Quarantine {
    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// How many requests are known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether a request of this quick_hash may be known.
    pub fn may_contain(&self, quick_hash: u32) -> bool {
        let all = Fingerprint::min_of(quick_hash)..=Fingerprint::max_of(quick_hash);
        self.suspects.range(all).next().is_some()
    }

    /// How many upstreams have ended under a request.
    pub fn crash_count(&self, fingerprint: &Fingerprint) -> usize {
        self.suspects.get(fingerprint).map_or(0, Vec::len)
    }

    /// What is to be done with a request.
    pub fn verdict(&self, fingerprint: &Fingerprint, now: Duration) -> Verdict {
        let Some(crashes) = self.suspects.get(fingerprint) else { return Verdict::Allowed };
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return Verdict::Allowed;
        };
        match hold(crashes) {
            None => Verdict::Allowed,
            // It may go when so many are left that the next one holds it back again.
            Some(Hold::Confirmed) => Verdict::Held(KEPT_FOR.saturating_sub(first.ago(now))),
            Some(Hold::Provisional) if TRIED_AFTER <= last.ago(now) => Verdict::OnTrial,
            Some(Hold::Provisional) => Verdict::Held(TRIED_AFTER.saturating_sub(last.ago(now))),
        }
    }

    /// Notes that a instance of an upstream has ended under a request. Tells how the request is held back from now on, if
    /// it wasn't so before.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        instance: u64,
        now: Duration,
    ) -> Option<Hold> {
        self.add(fingerprint, &[Crash { instance, at: moment(now) }])
    }

    /// Takes in what another box tells. Tells how the request is held back from now on, if it wasn't so before.
    pub fn merge(&mut self, suspect: &SuspectReport, now: Duration) -> Option<Hold> {
        let crash = |told: &CrashReport| {
            let ago = Duration::from_millis(told.ago_ms.into());
            let at = moment(now) - i64::from(told.ago_ms);
            (ago < KEPT_FOR).then_some(Crash { instance: told.instance, at })
        };
        let crashes: Vec<Crash> = suspect.crashes.iter().filter_map(crash).collect();
        self.add(suspect.fingerprint, &crashes)
    }

    fn add(&mut self, fingerprint: Fingerprint, crashes: &[Crash]) -> Option<Hold> {
        if crashes.is_empty() {
            return None;
        }
        if SUSPECTS_MAX <= self.suspects.len() && !self.suspects.contains_key(&fingerprint) {
            self.make_room();
        }
        let known = self.suspects.entry(fingerprint).or_default();
        let before = hold(known);
        for crash in crashes {
            match known.iter_mut().find(|k| k.instance == crash.instance) {
                // A box that stood still hears of all at once; who tells more of it tells it better.
                Some(known) => known.at = known.at.min(crash.at),
                None => known.push(*crash),
            }
        }
        known.sort_by_key(|crash| crash.at);
        // The newest say until when it is held back.
        known.drain(..known.len().saturating_sub(CRASHES_MAX));
        hold(known).filter(|hold| before < Some(*hold))
    }

    /// Forgets a part of those who are the least suspect, and of these the ones that were so longest ago.
    fn make_room(&mut self) {
        let rank = |(fingerprint, crashes): (&Fingerprint, &Crashes)| {
            (crashes.len(), crashes.last().map(|crash| crash.at), *fingerprint)
        };
        let mut ranks: Vec<_> = self.suspects.iter().map(rank).collect();
        let count = (ranks.len() / FORGOTTEN_PART).max(1);
        ranks.select_nth_unstable(count - 1);
        ranks[..count].iter().for_each(|(_, _, fingerprint)| _ = self.suspects.remove(fingerprint));
    }

    /// A request has ended well, so no upstream ends by it. One that is held back firmly stays so: others believe it.
    /// True if it was a suspect.
    pub fn clear(&mut self, fingerprint: &Fingerprint) -> bool {
        let known = self.suspects.get(fingerprint);
        let is_suspect = known.is_some_and(|crashes| hold(crashes) != Some(Hold::Confirmed));
        if is_suspect {
            self.suspects.remove(fingerprint);
        }
        is_suspect
    }

    /// Forgets what was long ago.
    pub fn expire(&mut self, now: Duration) {
        self.suspects.retain(|_, crashes| {
            crashes.retain(|crash| crash.ago(now) < KEPT_FOR);
            !crashes.is_empty()
        });
    }

    /// All that is known of a request, to tell it.
    pub fn report(&self, fingerprint: &Fingerprint, now: Duration) -> Option<SuspectReport> {
        self.suspects.get(fingerprint).map(|crashes| told(fingerprint, crashes, now))
    }

    /// The requests that are held back firmly.
    pub fn held_reports(&self, now: Duration) -> impl Iterator<Item = SuspectReport> {
        let held = self.suspects.iter().filter(move |(_, crashes)| is_told(crashes, now));
        held.map(move |(fingerprint, crashes)| told(fingerprint, crashes, now))
    }

    /// A digest of the requests that are held back firmly; zero for none.
    pub fn held_digest(&self, now: Duration) -> u64 {
        let held = self.suspects.iter().filter(|(_, crashes)| is_told(crashes, now));
        held.fold(0, |digest, (fingerprint, _)| digest ^ xxh3_64(fingerprint.as_bytes()))
    }
}

fn hold(crashes: &[Crash]) -> Option<Hold> {
    let (first, last) = (crashes.first()?, crashes.last()?);
    let is_at_once = between(first.at, last.at) < AT_ONCE;
    let hold = if is_at_once { Hold::Provisional } else { Hold::Confirmed };
    (CRASHES_MAX <= crashes.len()).then_some(hold)
}

/// Whether a request is held back for so long that others should know.
fn is_told(crashes: &[Crash], now: Duration) -> bool {
    hold(crashes) == Some(Hold::Confirmed)
        && crashes.iter().all(|crash| crash.ago(now) + TOLD_UNTIL < KEPT_FOR)
}

fn told(fingerprint: &Fingerprint, crashes: &[Crash], now: Duration) -> SuspectReport {
    let crash = |crash: &Crash| {
        let ago = crash.ago(now).as_millis();
        CrashReport { instance: crash.instance, ago_ms: u32::try_from(ago).unwrap_or(u32::MAX) }
    };
    SuspectReport { fingerprint: *fingerprint, crashes: crashes.iter().map(crash).collect() }
}
