//! What a request asks for, by which it is known again whatever id, box and connection it comes with.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of a digest: nobody finds two requests that have the same one.
const DIGEST_LEN: usize = 16;

/// All that makes a request the same one when it comes again: what the upstream gets of it, and whose it is, so that
/// nobody's request is taken for another workspace's. Its id, its deadline and other headers differ from try to try. A
/// request without a body has an empty one; one that came in chunks is the same as one that came with a length.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The method.
    pub method: &'a str,
    /// The host that was asked.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Whom it is charged to.
    pub workspace: Option<&'a str>,
    /// The whole body.
    pub body: &'a [u8],
}

impl RequestContent<'_> {
    /// A number that the same request always has, and others may have, too: it is worked out in no time, whatever the
    /// length of the body.
    pub fn quick_hash(&self) -> u32 {
        let mut hash = Xxh3::new();
        self.head().iter().for_each(|part| hash.update(part));
        hash.update(&self.body.len().to_le_bytes());
        hash.digest() as u32
    }

    /// Works out the fingerprint.
    pub fn fingerprint(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in self.head() {
            hash.update(part.len().to_le_bytes());
            hash.update(part);
        }
        hash.update(self.body);
        let mut digest = [0; DIGEST_LEN];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_LEN]);
        Fingerprint { quick_hash: self.quick_hash(), digest }
    }

    fn head(&self) -> [&[u8]; 4] {
        let texts = [self.method, self.host, self.target, self.workspace.unwrap_or_default()];
        texts.map(str::as_bytes)
    }
}

/// Names what a request asks for. Those of one quick_hash stand together in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    quick_hash: u32,
    digest: [u8; DIGEST_LEN],
}

impl Fingerprint {
    /// See [`RequestContent::quick_hash`].
    pub fn quick_hash(&self) -> u32 {
        self.quick_hash
    }

    /// The bytes that tell it from others.
    pub fn as_bytes(&self) -> &[u8] {
        &self.digest
    }

    /// The fingerprint of this quick_hash and text, as [`fmt::Display`] writes it; nothing if it is none.
    pub fn parse(quick_hash: u32, text: &str) -> Option<Fingerprint> {
        let mut digest = [0; DIGEST_LEN];
        hex::decode_to_slice(text, &mut digest).ok()?;
        Some(Fingerprint { quick_hash, digest })
    }

    /// The first of all that may have a quick_hash.
    pub(super) fn first_of(quick_hash: u32) -> Fingerprint {
        Fingerprint { quick_hash, digest: [0; DIGEST_LEN] }
    }

    /// The last of them.
    pub(super) fn last_of(quick_hash: u32) -> Fingerprint {
        Fingerprint { quick_hash, digest: [u8::MAX; DIGEST_LEN] }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.digest))
    }
}
