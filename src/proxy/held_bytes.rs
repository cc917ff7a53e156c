//! The bytes that this box holds for callers and upstreams, counted against one bound.
//!
//! While much is held, holders that make no progress give way, the sooner the more is held; from a
//! higher fraction on, sources aren't read. At the bound, the slowest holder gives way at once.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Fraction of the bound from which on no further bytes of request bodies are read. The rest is for
/// the answers to requests that run already.
const BODY_PRESSURE: f64 = 0.7;

/// Fraction of the bound from which on no further bytes of buffered answers are read either.
const ANSWER_PRESSURE: f64 = 0.9;

/// Fraction of the bound from which on holders without progress give way. It is less than
/// [`BODY_PRESSURE`], so that holders that are stalled don't keep new requests out.
const STALL_PRESSURE: f64 = 0.5;

/// Time without progress after which a holder gives way at [`STALL_PRESSURE`]; upstreams cut an
/// answer off that stays unread for some seconds.
const STALL_MAX: Duration = Duration::from_millis(1500);

/// The same from [`BODY_PRESSURE`] on. Healthy callers and upstreams take or send bytes every few
/// round trips, and a box that may use only part of a core is paused for up to a tenth of a second.
const STALL_MIN: Duration = Duration::from_millis(250);

/// Time for which a request's body isn't read at most; after that the caller is better served by
/// another box. Longer than [`STALL_MIN`] and the interval at which holders are checked, so that
/// holders that have stalled give way before one that only waits.
pub const BODY_PAUSE_MAX: Duration = Duration::from_millis(500);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HoldKind {
    /// A request's body that is still being read. Gives way as not run.
    Body,
    /// A request that waits to be sent. Gives way as not run.
    Unsent,
    /// A request that has been sent and may have run; its body is kept for a retry. Doesn't give
    /// way: its upstream is at work, and its end is bounded by its deadline.
    Sent,
    /// An answer that is buffered until it is complete. Gives way as broken.
    Answer,
    /// Bytes of an answer that its caller doesn't read. Gives way by closing the caller's
    /// connection.
    Unread,
}

impl HoldKind {
    /// All kinds.
    pub const ALL: [HoldKind; 5] =
        [HoldKind::Body, HoldKind::Unsent, HoldKind::Sent, HoldKind::Answer, HoldKind::Unread];

    /// The kind as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            HoldKind::Body => "body",
            HoldKind::Unsent => "unsent",
            HoldKind::Sent => "sent",
            HoldKind::Answer => "answer",
            HoldKind::Unread => "unread",
        }
    }

    fn may_give_way(self) -> bool {
        self != HoldKind::Sent
    }

    fn pressure(self) -> f64 {
        match self {
            HoldKind::Body => BODY_PRESSURE,
            HoldKind::Answer => ANSWER_PRESSURE,
            HoldKind::Unsent | HoldKind::Sent | HoldKind::Unread => 1.0,
        }
    }
}

/// Identifies a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// A holder that must give way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GaveWay {
    pub id: HolderId,
    pub kind: HoldKind,
    pub bytes: usize,
    /// Time since its last progress.
    pub stalled: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: HoldKind,
    bytes: usize,
    progressed_at: Duration,
}

/// Holders in the order in which they give way: the one that has made no progress for the longest
/// time first, and of equally slow ones the one that holds the most.
type SlownessKey = (Duration, Reverse<usize>, HolderId);

impl Holder {
    /// The holder's place among those that may give way, if it is one of them.
    fn slowness_key(&self, id: HolderId) -> Option<SlownessKey> {
        let can = self.kind.may_give_way() && self.bytes != 0;
        can.then_some((self.progressed_at, Reverse(self.bytes), id))
    }
}

/// All holders of bytes.
#[derive(Debug)]
pub struct HeldBytes {
    bound: usize,
    total: usize,
    next_id: u64,
    holders: BTreeMap<HolderId, Holder>,
    /// Buffered answers, the one that was begun first in front.
    answers: BTreeSet<HolderId>,
    by_slowness: BTreeSet<SlownessKey>,
}

impl HeldBytes {
    /// No holders, with a bound for the bytes of all.
    pub fn new(bound: usize) -> HeldBytes {
        let (holders, answers, by_slowness) = (BTreeMap::new(), BTreeSet::new(), BTreeSet::new());
        HeldBytes { bound, total: 0, next_id: 0, holders, answers, by_slowness }
    }

    /// The bytes held.
    pub fn total(&self) -> usize {
        self.total
    }

    /// The largest number of bytes that may be held.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// Adds a holder without bytes.
    pub fn begin(&mut self, kind: HoldKind, now: Duration) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        self.holders.insert(id, Holder { kind, bytes: 0, progressed_at: now });
        self.note_kind(id, kind);
        id
    }

    /// Sets how much a holder holds, and for what. A change is progress. Has no effect for a holder
    /// that has given way.
    pub fn set(&mut self, id: HolderId, kind: HoldKind, bytes: usize, now: Duration) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        if (holder.kind, holder.bytes) == (kind, bytes) {
            return;
        }
        if let Some(key) = holder.slowness_key(id) {
            self.by_slowness.remove(&key);
        }
        self.total = self.total - holder.bytes + bytes;
        *holder = Holder { kind, bytes, progressed_at: now };
        self.by_slowness.extend(holder.slowness_key(id));
        self.note_kind(id, kind);
    }

    fn note_kind(&mut self, id: HolderId, kind: HoldKind) {
        if kind == HoldKind::Answer {
            self.answers.insert(id);
        } else {
            self.answers.remove(&id);
        }
    }

    /// Removes a holder, if it hasn't given way.
    pub fn end(&mut self, id: HolderId) {
        self.answers.remove(&id);
        if let Some(holder) = self.holders.remove(&id) {
            self.total -= holder.bytes;
            if let Some(key) = holder.slowness_key(id) {
                self.by_slowness.remove(&key);
            }
        }
    }

    /// Removes and returns a holder that gives way by itself.
    pub fn take(&mut self, id: HolderId, now: Duration) -> Option<GaveWay> {
        let Holder { kind, bytes, progressed_at } = *self.holders.get(&id)?;
        self.end(id);
        Some(GaveWay { id, kind, bytes, stalled: now.saturating_sub(progressed_at) })
    }

    /// Whether all sources of this kind may be read further.
    pub fn may_read(&self, kind: HoldKind) -> bool {
        (self.total as f64) < self.bound as f64 * kind.pressure()
    }

    /// Whether this holder's source may be read further. The answer that was begun first may also
    /// take the rest of the bound: answers of which none is read would never release their bytes.
    pub fn may_read_on(&self, id: HolderId, kind: HoldKind) -> bool {
        self.may_read(kind) || (self.answers.first() == Some(&id) && self.total < self.bound)
    }

    /// Removes and returns a holder that must give way now, if any: the one that has made no
    /// progress for the longest time, if that is longer than holders may stall now.
    pub fn take_slowest(&mut self, now: Duration) -> Option<GaveWay> {
        let stall_max = self.stall_max()?;
        // Below the bound, a holder of little frees too little to be worth its request.
        let (is_over, count) = (self.bound < self.total, self.holders.len());
        let has_stalled = |key: &&SlownessKey| stall_max <= now.saturating_sub(key.0);
        let mut stalled = self.by_slowness.iter().take_while(has_stalled);
        let &(.., id) = stalled.find(|(_, Reverse(bytes), _)| {
            let frees_much = self.total <= 2 * count * bytes;
            is_over || frees_much
        })?;
        self.take(id, now)
    }

    /// How long a holder may make no progress now; `None` while little is held.
    pub fn stall_max(&self) -> Option<Duration> {
        let held = self.total as f64 / self.bound.max(1) as f64;
        if 1.0 < held {
            return Some(Duration::ZERO);
        }
        let pressure = (held - STALL_PRESSURE) / (BODY_PRESSURE - STALL_PRESSURE);
        let cut = (STALL_MAX - STALL_MIN).mul_f64(pressure.clamp(0.0, 1.0));
        (0.0 <= pressure).then_some(STALL_MAX - cut)
    }
}
