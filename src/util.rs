//! Helpers shared by several modules.

use std::error::Error;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use ureq::Agent;
use xxhash_rust::xxh3::xxh3_64;

/// Low bits of an id that are left to the counter above an `id_base`.
const COUNTER_BITS: u32 = 24;

/// Bits of an id. Few, since ids are written in decimal on the wire.
const ID_BITS: u32 = 52;

/// Returns an HTTP client that times out after `timeout`, follows no redirects, uses no proxy, and
/// returns every response whatever its status.
pub fn http_agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(timeout))
        .build();
    config.into()
}

/// Returns a number that identifies this run of the process: milliseconds since the Unix epoch, so
/// that a later run has a greater one.
pub fn new_incarnation() -> u64 {
    unix_millis()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may jump.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}

/// Returns the number from which one run of a box counts its ids of a `kind`. Its low
/// `COUNTER_BITS` are clear.
pub fn id_base(name: &str, incarnation: u64, kind: &str) -> u64 {
    let hash = xxh3_64(format!("{name}/{incarnation}/{kind}").as_bytes());
    hash >> (u64::BITS - (ID_BITS - COUNTER_BITS)) << COUNTER_BITS
}

/// Returns the candidate that rendezvous hashing ranks first for `key`.
pub fn rendezvous<'a, T: AsRef<str> + Ord + ?Sized + 'a>(
    key: &str,
    candidates: impl Iterator<Item = &'a T>,
) -> Option<&'a T> {
    candidates.max_by_key(|c| (xxh3_64(format!("{key}/{}", c.as_ref()).as_bytes()), *c))
}

/// Formats an error with its chain of causes.
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

/// Mixes the bits of a number, by the finalizer of `splitmix64` (Steele et al., 2014).
pub fn mix_bits(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
