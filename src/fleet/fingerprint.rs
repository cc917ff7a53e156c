//! Fingerprints of requests, which recognize a retry whatever its id, box and connection, and of
//! parts of prompts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::ServiceName;

/// Long enough that nobody can find two requests with the same digest.
const DIGEST_BYTES: usize = 16;

/// The parts of a request that are the same in every retry: what the upstream receives, and the
/// workspace, so that a request is never mistaken for another workspace's.
///
/// The id, deadline and other headers differ between retries and are left out. A request without a
/// body has an empty body, and a chunked body equals the same body sent with a length.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The workspace that is charged.
    pub workspace: Option<&'a str>,
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// Returns a hash that is cheap to compute whatever the length of the body, and that different
    /// requests may share.
    pub fn quick_hash(&self) -> u32 {
        let mut hash = Xxh3::new();
        self.head_parts().iter().for_each(|part| hash.update(part));
        hash.update(&self.body.len().to_le_bytes());
        hash.digest() as u32
    }

    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in self.head_parts() {
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        hash.update(self.body);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Fingerprint { quick_hash: self.quick_hash(), digest }
    }

    fn head_parts(&self) -> [&[u8]; 4] {
        let parts = [self.method, self.host, self.target, self.workspace.unwrap_or_default()];
        parts.map(str::as_bytes)
    }
}

/// Identifies a request by its content, or a part of prompts. Fingerprints of one quick hash are
/// adjacent in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    quick_hash: u32,
    digest: [u8; DIGEST_BYTES],
}

impl Fingerprint {
    /// Identifies a part of the prompts of a service, whichever workspaces send it.
    pub fn of_part(service: &ServiceName, id: u64) -> Fingerprint {
        let mut digest = [0; DIGEST_BYTES];
        let (id_bytes, service_bytes) = digest.split_at_mut(size_of::<u64>());
        id_bytes.copy_from_slice(&id.to_be_bytes());
        service_bytes.copy_from_slice(&xxh3_64(service.as_bytes()).to_be_bytes());
        Fingerprint { quick_hash: 0, digest }
    }

    /// See [`RequestContent::quick_hash`].
    pub fn quick_hash(&self) -> u32 {
        self.quick_hash
    }

    /// Returns the digest of the content.
    pub fn as_bytes(&self) -> &[u8] {
        &self.digest
    }

    /// Parses a fingerprint from its quick hash and its digest as written by [`fmt::Display`].
    pub fn parse(quick_hash: u32, text: &str) -> Option<Fingerprint> {
        let mut digest = [0; DIGEST_BYTES];
        hex::decode_to_slice(text, &mut digest).ok()?;
        Some(Fingerprint { quick_hash, digest })
    }

    /// Returns the lowest fingerprint that has this quick hash.
    pub(super) fn min_of(quick_hash: u32) -> Fingerprint {
        Fingerprint { quick_hash, digest: [0; DIGEST_BYTES] }
    }

    /// Returns the highest fingerprint that has this quick hash.
    pub(super) fn max_of(quick_hash: u32) -> Fingerprint {
        Fingerprint { quick_hash, digest: [u8::MAX; DIGEST_BYTES] }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.digest))
    }
}
