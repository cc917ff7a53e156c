//! How many streams this box can pass on at a time. What a stream costs is known only roughly, so the
//! limit is found by additive increase and multiplicative decrease: it falls while the box is behind
//! with its work, and rises while it isn't.

use std::time::Duration;

/// Average delay of a timer from which on the box counts as behind. A box that may use a part of a
/// core only stands still for up to a tenth of a second at a time, some 25 ms on average where it is
/// busy but well; beyond twice that its work piles up.
const BEHIND_FROM: Duration = Duration::from_millis(60);

/// Weight of the newest delay in the average: half of it is from the last two ticks.
const WEIGHT: f64 = 0.3;

/// By how much the limit falls with each tick that the box is behind. Streams last some twenty
/// ticks, so those that run end in about the time in which this halves the limit.
const DECREASE: f64 = 0.96;

/// By how much the limit rises with each tick in which it is reached and the box isn't behind: by
/// this, or by this part of it.
const INCREASE: f64 = 1.5;
const INCREASE_SHARE: f64 = 0.015;

/// Part of the limit from which on it counts as reached.
const REACHED: f64 = 0.9;

/// A box that has reached its limit is full until fewer than this part of it run.
const ROOM_AGAIN: f64 = 0.6;

/// The limit never falls below this part of what it began with: there the box is well, and what
/// delays it is something else.
const LIMIT_MIN_SHARE: f64 = 0.5;

/// Fewest streams to begin with: one caller's.
const STREAMS_MIN: f64 = 16.0;

/// Streams that a whole core passes on at a time, to begin with: on the users' grown wallet fleet
/// boxes of 0.12 cores fell behind at some 400 and were well at 200.
const STREAMS_PER_CORE: f64 = 2500.0;

/// Parts of the limit from which on pieces of streams wait for others, and at which they wait for the longest time.
const HOLDS_FROM: f64 = 0.1;
const HOLDS_MOST: f64 = 0.4;

/// Part of the time that a piece may be late by which it is held at most; the rest is for a box that stands still
/// until it gets its next part of a core.
const HOLD_SHARE: f64 = 0.4;

/// Pieces of all streams are passed on at the ends of the same spans, so that the box wakes once for many.
const HOLD_STEP: Duration = Duration::from_millis(20);

/// Part of the descriptors that callers' connections may take; upstreams and other boxes take less.
const CONNECTIONS_SHARE: f64 = 0.65;

/// Part of the memory that sockets may take; the rest is for the models and room.
const MEMORY_SHARE: f64 = 0.65;

/// Memory that an open connection takes, in bytes, with its buffers, its request and what waits unread.
const MEMORY_PER_SOCKET: usize = 34 << 10;

/// Streams that a box takes at a time, to begin with.
pub fn initial_stream_limit(cores: f64) -> usize {
    (cores * STREAMS_PER_CORE).max(STREAMS_MIN) as usize
}

/// Callers' connections that may be open at once, by the descriptors and the memory (in bytes; zero where that has no
/// bound) that the process may use.
pub fn caller_connections_max(descriptors: usize, memory: usize) -> usize {
    let by_memory = match memory {
        0 => usize::MAX,
        _ => (memory as f64 * MEMORY_SHARE) as usize / MEMORY_PER_SOCKET,
    };
    ((descriptors.min(by_memory) as f64 * CONNECTIONS_SHARE) as usize).max(1)
}

/// Until when pieces that follow are held, so that several are read and written at once: each receive and each send
/// costs as much as the rest of passing a piece on. Nothing while the box has few of the streams that it can pass on,
/// or where pieces may not be late at all.
pub fn coalesce_until(
    streams: usize,
    streams_max: usize,
    late_max: Duration,
    now: Duration,
) -> Option<Duration> {
    let used = streams as f64 / streams_max.max(1) as f64;
    let part = ((used - HOLDS_FROM) / (HOLDS_MOST - HOLDS_FROM)).clamp(0.0, 1.0);
    let hold = late_max.mul_f64(HOLD_SHARE * part);
    let steps = (now + hold).as_nanos() / HOLD_STEP.as_nanos();
    let until = HOLD_STEP * u32::try_from(steps).ok()?;
    (now < until).then_some(until)
}

/// How many streams this box can pass on at a time.
#[derive(Debug)]
pub struct StreamLimiter {
    /// Average delay of a timer, in seconds.
    delay: f64,
    limit: f64,
    limit_min: f64,
    is_full: bool,
}

impl StreamLimiter {
    /// Starts with a limit that is roughly right.
    pub fn new(limit: usize) -> StreamLimiter {
        let limit = limit as f64;
        StreamLimiter { delay: 0.0, limit, limit_min: limit * LIMIT_MIN_SHARE, is_full: false }
    }

    /// Notes by how much a timer was late while so many streams were running; gives the limit.
    pub fn record_tick(&mut self, late: Duration, streams: usize) -> usize {
        self.delay += (late.as_secs_f64() - self.delay) * WEIGHT;
        let streams = streams as f64;
        let is_reached = self.limit * REACHED <= streams;
        self.is_full = is_reached || (self.is_full && self.limit * ROOM_AGAIN <= streams);
        // Where fewer run, it is not their number that delays the box.
        if is_reached {
            self.limit = match self.is_behind() {
                true => (self.limit * DECREASE).max(self.limit_min),
                false => self.limit + INCREASE.max(self.limit * INCREASE_SHARE),
            };
        }
        self.limit as usize
    }

    /// Whether the box is behind with its work.
    pub fn is_behind(&self) -> bool {
        BEHIND_FROM.as_secs_f64() <= self.delay
    }

    /// Whether the box has as many streams as it can pass on, or had a moment ago; its callers do
    /// better elsewhere.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// The average delay.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay)
    }
}
