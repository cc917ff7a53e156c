//! Digests by which two boxes find out where their lists of upstreams differ, without sending the
//! lists.
//!
//! While upstreams come and go, some box always lacks one of them. The buckets that differ hold
//! about a hundredth of the whole list.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

use crate::names::UpstreamName;
use crate::placement::upstream;
use crate::proxy::adapter::UpstreamListing;

/// Buckets into which upstreams are divided by the hashes of their names.
const BUCKETS: usize = 128;

/// Hexadecimal digits of the digest of one bucket.
const HEX_DIGITS: usize = 8;

/// One digest for each bucket, of the upstreams in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digests([u32; BUCKETS]);

/// A text that isn't the text form of [`Digests`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("expected {BUCKETS} digests of {HEX_DIGITS} hexadecimal digits each")]
pub struct Malformed;

/// Returns the bucket of an upstream.
pub fn bucket(name: &UpstreamName) -> u8 {
    (upstream::name_hash(name) % BUCKETS as u64) as u8
}

impl Digests {
    /// Computes the digests of a list, independent of its order: they cover which upstreams are in
    /// use and which of these are cold.
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

    /// Returns the buckets whose digests differ.
    pub fn differing(&self, other: &Digests) -> BTreeSet<u8> {
        let pairs = self.0.iter().zip(other.0).zip(0..);
        pairs.filter(|((a, b), _)| **a != *b).map(|(_, bucket)| bucket).collect()
    }
}

impl fmt::Display for Digests {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|digest| write!(f, "{digest:0HEX_DIGITS$x}"))
    }
}

impl FromStr for Digests {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Digests, Malformed> {
        if text.len() != BUCKETS * HEX_DIGITS || !text.is_ascii() {
            return Err(Malformed);
        }
        let mut digests = [0; BUCKETS];
        for (n, digest) in digests.iter_mut().enumerate() {
            let digits = &text[n * HEX_DIGITS..(n + 1) * HEX_DIGITS];
            *digest = u32::from_str_radix(digits, 16).map_err(|_| Malformed)?;
        }
        Ok(Digests(digests))
    }
}
