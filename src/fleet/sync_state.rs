//! Whether the upstream list of a box that doesn't watch the platform's store is up to date,
//! compared with the boxes that do.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fleet::revision::Revision;

/// An older report says nothing about what its box lists now.
pub const REPORT_AGE_MAX: Duration = Duration::from_millis(1500);

/// What another box last reported about its upstream list.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamListReport {
    /// Address at which it serves other boxes.
    pub addr: SocketAddr,
    /// Whether it reaches the store.
    pub reaches_store: bool,
    /// The revision of the store up to which its list is complete.
    pub revision: Revision,
    /// Digest of the list.
    pub upstreams_digest: u64,
    /// Time since the report.
    pub age: Duration,
}

/// How a box's upstream list compares with the lists of the boxes that watch the store for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SyncState {
    /// No difference is known.
    InSync,
    /// The boxes at these addresses have received changes that this one may have missed.
    Behind(Vec<SocketAddr>),
    /// At the same revision, all boxes list other upstreams than this one. The box at this address
    /// has reported last.
    Diverged(SocketAddr),
}

/// Compares a list that has this digest and is complete up to `revision` with what other boxes
/// report.
pub fn evaluate(
    revision: Revision,
    upstreams_digest: u64,
    reports: impl Iterator<Item = UpstreamListReport>,
) -> SyncState {
    let fresh: Vec<UpstreamListReport> =
        reports.filter(|r| r.reaches_store && r.age < REPORT_AGE_MAX).collect();
    let ahead: Vec<SocketAddr> =
        fresh.iter().filter(|r| revision < r.revision).map(|r| r.addr).collect();
    if !ahead.is_empty() {
        return SyncState::Behind(ahead);
    }
    // A box that is behind lists other upstreams than this one; that says nothing about this one.
    let same_revision = || fresh.iter().filter(|r| r.revision == revision);
    let differs_from_all = same_revision().all(|r| r.upstreams_digest != upstreams_digest);
    match same_revision().min_by_key(|r| r.age) {
        Some(newest) if differs_from_all => SyncState::Diverged(newest.addr),
        _ => SyncState::InSync,
    }
}
