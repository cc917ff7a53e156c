//! Limits on the streams and connections that this box serves at a time, and the coalescing of
//! chunks.
//!
//! What a stream costs is known only roughly, so the stream limit is found by additive increase and
//! multiplicative decrease: while reached, it falls if the box is overloaded and rises if not.

use std::time::Duration;

/// Average timer delay from which on the box counts as overloaded. A box that may use only part of
/// a core is paused for up to a tenth of a second at a time, some 25 ms on average when it is busy
/// but healthy; beyond twice that its work accumulates.
const OVERLOAD_DELAY_MIN: Duration = Duration::from_millis(60);

/// Weight of the newest delay in the moving average: the last two ticks make up half of it.
const DELAY_WEIGHT: f64 = 0.3;

/// Factor of the limit for each tick at which it is reached and the box is overloaded. Streams last
/// some twenty ticks, so the running ones end in about the time in which this halves the limit.
const DECREASE_FACTOR: f64 = 0.96;

/// For each tick at which the limit is reached and the box isn't overloaded, the limit rises by
/// this many streams or by this fraction of itself, whichever is more.
const INCREASE_STREAMS: f64 = 1.5;
const INCREASE_FRACTION: f64 = 0.015;

/// Fraction of the limit from which on it counts as reached.
const REACHED_FRACTION: f64 = 0.9;

/// A box that has reached its limit is full until its streams fall below this fraction of it.
const NOT_FULL_FRACTION: f64 = 0.6;

/// The limit never falls below this fraction of its initial value: that few streams don't overload
/// the box, so any delays have another cause.
const LIMIT_MIN_FRACTION: f64 = 0.5;

/// Lower bound of the initial stream limit: the streams of one caller.
const INITIAL_LIMIT_MIN: f64 = 16.0;

/// Initial stream limit of a whole core: in a fleet whose boxes have 0.12 cores each, they were
/// overloaded at some 400 streams and healthy at 200.
const INITIAL_LIMIT_PER_CORE: f64 = 2500.0;

/// Fractions of the stream limit from which on chunks are coalesced, and at which they wait the
/// longest.
const COALESCE_LOAD_MIN: f64 = 0.1;
const COALESCE_LOAD_FULL: f64 = 0.4;

/// Fraction of a chunk's permitted delay that coalescing uses at most; the rest is for the pauses
/// of a box that may use only part of a core.
const COALESCE_FRACTION: f64 = 0.4;

/// Chunks of all streams are passed on at multiples of this time, so that one wake-up serves many
/// streams.
const COALESCE_STEP: Duration = Duration::from_millis(20);

/// Fraction of all connections that may be callers'; upstreams and other boxes take the rest.
const CALLER_CONNECTION_FRACTION: f64 = 0.65;

/// Fraction of the memory that connections may take; the rest is for the state of upstreams and a
/// margin.
const CONNECTION_MEMORY_FRACTION: f64 = 0.65;

/// Memory of an open connection with its buffers, its request and unread bytes.
const BYTES_PER_CONNECTION: usize = 34 << 10;

/// The initial stream limit of a box that may use `cores` of a core.
pub fn initial_stream_limit(cores: f64) -> usize {
    (cores * INITIAL_LIMIT_PER_CORE).max(INITIAL_LIMIT_MIN) as usize
}

/// Maximum number of callers' connections for the descriptors and the memory that the process may
/// use; zero `memory_bytes` for no memory limit.
pub fn caller_connections_max(descriptors: usize, memory_bytes: usize) -> usize {
    let by_memory = match memory_bytes {
        0 => usize::MAX,
        _ => (memory_bytes as f64 * CONNECTION_MEMORY_FRACTION) as usize / BYTES_PER_CONNECTION,
    };
    ((descriptors.min(by_memory) as f64 * CALLER_CONNECTION_FRACTION) as usize).max(1)
}

/// Returns until when further chunks of a stream wait, so that several are read and written
/// together: each receive and each send call costs as much as all other work on a chunk. `None`
/// while the box has few streams relative to its limit, or if chunks may not be delayed.
pub fn coalesce_until(
    streams: usize,
    streams_max: usize,
    late_max: Duration,
    now: Duration,
) -> Option<Duration> {
    let load = streams as f64 / streams_max.max(1) as f64;
    let part =
        ((load - COALESCE_LOAD_MIN) / (COALESCE_LOAD_FULL - COALESCE_LOAD_MIN)).clamp(0.0, 1.0);
    let wait = late_max.mul_f64(COALESCE_FRACTION * part);
    let steps = (now + wait).as_nanos() / COALESCE_STEP.as_nanos();
    let until = COALESCE_STEP * u32::try_from(steps).ok()?;
    (now < until).then_some(until)
}

/// The stream limit of this box, adapted to its load.
#[derive(Debug)]
pub struct StreamLimiter {
    /// Moving average of the timer delay.
    delay_s: f64,
    limit: f64,
    limit_min: f64,
    is_full: bool,
}

impl StreamLimiter {
    /// A limiter with an initial limit.
    pub fn new(limit: usize) -> StreamLimiter {
        let limit = limit as f64;
        StreamLimiter { delay_s: 0.0, limit, limit_min: limit * LIMIT_MIN_FRACTION, is_full: false }
    }

    /// Records a timer's delay and the number of streams, and returns the new limit.
    pub fn record_tick(&mut self, timer_delay: Duration, streams: usize) -> usize {
        self.delay_s += (timer_delay.as_secs_f64() - self.delay_s) * DELAY_WEIGHT;
        let streams = streams as f64;
        let is_reached = self.limit * REACHED_FRACTION <= streams;
        self.is_full = is_reached || (self.is_full && self.limit * NOT_FULL_FRACTION <= streams);
        // With fewer streams, delays aren't due to the number of streams.
        if is_reached {
            self.limit = match self.is_overloaded() {
                true => (self.limit * DECREASE_FACTOR).max(self.limit_min),
                false => self.limit + INCREASE_STREAMS.max(self.limit * INCREASE_FRACTION),
            };
        }
        self.limit as usize
    }

    /// Whether the box can't keep up with its work.
    pub fn is_overloaded(&self) -> bool {
        OVERLOAD_DELAY_MIN.as_secs_f64() <= self.delay_s
    }

    /// Whether the stream limit was reached and the streams have not fallen far below it since, so
    /// that callers get better service from other boxes.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    /// The moving average of the timer delay.
    pub fn delay(&self) -> Duration {
        Duration::from_secs_f64(self.delay_s)
    }
}
