//! What two boxes list differently, found without telling the lists.
//!
//! While upstreams come and go, some box always misses one of them. What is in the buckets that differ is a
//! hundredth of the whole list.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::UpstreamName;
use crate::placement::upstream;
use crate::proxy::adapter::UpstreamListing;

/// Buckets of names.
const BUCKETS: usize = 128;

/// Hexadecimal digits of a bucket's digest.
const DIGITS: usize = 8;

/// A digest of each bucket of the upstreams in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digests([u32; BUCKETS]);

/// A text that holds no digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not {BUCKETS} digests of {DIGITS} digits")]
pub struct Malformed;

/// The bucket to which an upstream belongs.
pub fn bucket(name: &UpstreamName) -> u8 {
    (upstream::name_hash(name) % BUCKETS as u64) as u8
}

impl Digests {
    /// The digests of a list, whatever its order: which upstreams are in use, and which of these are cold.
    pub fn of<'a>(all: impl Iterator<Item = &'a UpstreamListing>) -> Digests {
        let mut digests = [0u32; BUCKETS];
        for listed in all.filter(|l| !l.leaving) {
            let name = upstream::name_hash(&listed.name).to_le_bytes();
            let mut buf = [0; 9];
            buf[..8].copy_from_slice(&name);
            buf[8] = listed.cold_for.is_some_and(|left| !left.is_zero()).into();
            let digest = &mut digests[usize::from(bucket(&listed.name))];
            *digest = digest.wrapping_add(xxh3_64(&buf) as u32);
        }
        Digests(digests)
    }

    /// The buckets that differ.
    pub fn differing(&self, other: &Digests) -> BTreeSet<u8> {
        let pairs = self.0.iter().zip(other.0).zip(0..);
        pairs.filter(|((a, b), _)| **a != *b).map(|(_, bucket)| bucket).collect()
    }
}

impl fmt::Display for Digests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|digest| write!(f, "{digest:0DIGITS$x}"))
    }
}

impl FromStr for Digests {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Digests, Malformed> {
        if text.len() != BUCKETS * DIGITS || !text.is_ascii() {
            return Err(Malformed);
        }
        let mut digests = [0; BUCKETS];
        for (n, digest) in digests.iter_mut().enumerate() {
            let digits = &text[n * DIGITS..(n + 1) * DIGITS];
            *digest = u32::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        }
        Ok(Digests(digests))
    }
}
