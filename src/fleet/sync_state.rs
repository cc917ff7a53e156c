//! How a box that doesn't watch the platform's store stands to those that do.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::revision::Revision;

/// A word that is older says nothing of what its box lists now.
const FRESH: Duration = Duration::from_millis(1500);

/// What a box said of itself.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamListReport {
    /// Where it answers other boxes.
    pub addr: SocketAddr,
    /// Whether it sees the store.
    pub sees_store: bool,
    /// The revision of the store up to which its list of upstreams_digest is whole.
    pub revision: Revision,
    /// A digest of that list.
    pub upstreams_digest: u64,
    /// How long ago it said so.
    pub age: Duration,
}

/// How a box stands to those that watch the store for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// Nothing is known to be missing.
    InSync,
    /// These have heard of changes that it may have missed.
    Behind(Vec<SocketAddr>),
    /// It has heard of as much as this one, and as all that have, and yet lists other upstreams_digest.
    Diverged(SocketAddr),
}

/// How a box stands whose list has this digest and is whole up to this revision.
pub fn evaluate(
    revision: Revision,
    upstreams_digest: u64,
    words: impl Iterator<Item = UpstreamListReport>,
) -> SyncState {
    let fresh: Vec<UpstreamListReport> = words.filter(|w| w.sees_store && w.age < FRESH).collect();
    let ahead: Vec<SocketAddr> =
        fresh.iter().filter(|w| revision < w.revision).map(|w| w.addr).collect();
    if !ahead.is_empty() {
        return SyncState::Behind(ahead);
    }
    // One that is behind lists other upstreams_digest than this box, and says nothing by that.
    let level = || fresh.iter().filter(|w| w.revision == revision);
    let is_alone = level().all(|w| w.upstreams_digest != upstreams_digest);
    match level().min_by_key(|w| w.age) {
        Some(newest) if is_alone => SyncState::Diverged(newest.addr),
        _ => SyncState::InSync,
    }
}
