//! Requests in progress, as their senders report them to the boxes that track the upstreams.
//!
//! A record of a request at a tracking box is a lease: the sender renews it in each of its reports
//! for as long as the request runs. A record that is missing from a report has ended, and one that
//! isn't renewed has lost its sender.

pub mod received;
pub mod table;

use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::UpstreamName;

/// Interval of a sender's reports. A tracker's counts are wrong for at most this long after a lost
/// message.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(800);

/// A record that has not been renewed for this long is dropped.
pub const LEASE: Duration = Duration::from_millis(2500);

/// The same for requests of the tracking box itself, whose reports can't be lost.
pub const OWN_LEASE: Duration = Duration::from_millis(2000);

/// A record that was renewed this recently is confirmed: a report may be a little late.
pub const CONFIRMED_FOR: Duration = Duration::from_millis(900);

/// Requests placed more recently than this aren't listed in reports: their records may still be on
/// the way.
pub const MIN_AGE: Duration = Duration::from_millis(250);

/// A tracker's record may be older than the sender's by this much, since the sender waits for the
/// decision, and messages are batched.
pub const AGE_SLACK: Duration = Duration::from_millis(150);

/// Ids per report datagram, so that other messages fit beside it.
pub const IDS_PER_REPORT_MAX: usize = 220;

/// Records per datagram.
pub const RECORDS_PER_DATAGRAM_MAX: usize = 16;

/// A record of a request older than this is invalid.
pub const AGE_MAX: Duration = Duration::from_secs(600);

/// Short form of a request id in reports: half of its bits, which is unambiguous among the requests
/// of one box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShortId(u32);

impl From<u64> for ShortId {
    fn from(request: u64) -> ShortId {
        ShortId((request >> 32) as u32)
    }
}

impl ShortId {
    /// All requests with this short id.
    pub fn requests(self) -> RangeInclusive<u64> {
        let first = u64::from(self.0) << 32;
        first..=first | u64::from(u32::MAX)
    }
}

/// All requests of the sender that are in progress at upstreams tracked by the receiver and were
/// placed at least [`InProgressReport::min_age_ms`] ago.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InProgressReport {
    /// Distinguishes the starts of the sender's process.
    pub incarnation: u64,
    /// Number of the report, from one; an older one that arrives late is ignored.
    pub sequence: u64,
    /// Requests placed more recently than this aren't listed: their records may still be on the
    /// way.
    pub min_age_ms: u32,
    /// Position of this datagram among those of the same report, and how many there are.
    pub part: u16,
    pub parts: u16,
    /// How many of `requests`, from the first, have returned their first tokens.
    pub with_first_token: u16,
    pub requests: Vec<ShortId>,
}

/// A request in progress, for a box that has no record of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    pub request: u64,
    pub upstream: UpstreamName,
    /// Time since it was placed, in milliseconds.
    pub age_ms: u32,
    /// Tokens of memory that it occupies.
    pub tokens: u32,
    /// Prompt tokens that were cached when it was placed, and those that were not.
    pub cached_tokens: u32,
    pub prefill_tokens: u32,
    /// Whether its first token has arrived.
    pub has_first_token: bool,
}
