//! Small helpers that several modules share.

use std::error::Error;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ureq::Agent;
use xxhash_rust::xxh3::xxh3_64;

/// Bits that a counter may use below an `id_base`.
const COUNTER_BITS: u32 = 24;

/// Bits of an id in all: few, since ids go over the wire in decimal.
const ID_BITS: u32 = 52;

/// An HTTP client that gives up after `timeout`, goes where it is told only, and leaves it to the
/// caller what a status means.
pub fn http_agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(timeout))
        .build();
    config.into()
}

/// The number of this start of the process: milliseconds since the epoch, so a later start has a
/// greater one.
pub fn new_incarnation() -> u64 {
    unix_millis()
}

/// The time of day, in milliseconds since 1970. It may jump.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}

/// A number with its low bits clear, from which one start of a box counts its ids of one `kind`.
pub fn id_base(name: &str, incarnation: u64, kind: &str) -> u64 {
    let hash = xxh3_64(format!("{name}/{incarnation}/{kind}").as_bytes());
    hash >> (u64::BITS - (ID_BITS - COUNTER_BITS)) << COUNTER_BITS
}

/// Of `candidates`, the one that rendezvous hashing ranks first for `key`.
pub fn rendezvous<'a, T: AsRef<str> + Ord + ?Sized + 'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    candidates.max_by_key(|c| (xxh3_64(format!("{key}/{}", c.as_ref()).as_bytes()), *c))
}

/// An error with what caused it, and what caused that.
pub fn error_chain(e: &dyn Error) -> String {
    let mut text = e.to_string();
    let mut cause = e.source();
    while let Some(e) = cause {
        text.push_str(": ");
        text.push_str(&e.to_string());
        cause = e.source();
    }
    text
}

/// Spreads a number over all its bits: the finish of `splitmix64` (Steele et al., 2014).
pub fn mix_bits(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
