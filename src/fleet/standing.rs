//! How a box that doesn't watch the platform's store stands to those that do.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::revision::Revision;

/// A word that is older says nothing of what its box lists now.
const FRESH: Duration = Duration::from_millis(1500);

/// What a box said of itself.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    /// Where it answers other boxes.
    pub addr: SocketAddr,
    /// Whether it sees the store.
    pub sees_store: bool,
    /// The revision of the store up to which its list of upstreams is whole.
    pub revision: Revision,
    /// A digest of that list.
    pub upstreams: u64,
    /// How long ago it said so.
    pub age: Duration,
}

/// How a box stands to those that watch the store for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing is known to be missing.
    Level,
    /// These have heard of changes that it may have missed.
    Behind(Vec<SocketAddr>),
    /// It has heard of as much as this one, and as all that have, and yet lists other upstreams.
    Apart(SocketAddr),
}

/// How a box stands whose list has this digest and is whole up to this revision.
pub fn judge(revision: Revision, upstreams: u64, words: impl Iterator<Item = Word>) -> Standing {
    let fresh: Vec<Word> = words.filter(|w| w.sees_store && w.age < FRESH).collect();
    let ahead: Vec<SocketAddr> =
        fresh.iter().filter(|w| revision < w.revision).map(|w| w.addr).collect();
    if !ahead.is_empty() {
        return Standing::Behind(ahead);
    }
    // One that is behind lists other upstreams than this box, and says nothing by that.
    let level = || fresh.iter().filter(|w| w.revision == revision);
    let is_alone = level().all(|w| w.upstreams != upstreams);
    match level().min_by_key(|w| w.age) {
        Some(newest) if is_alone => Standing::Apart(newest.addr),
        _ => Standing::Level,
    }
}
