//! The order of announcements of free capacity: a datagram that is late or doubled must not replace
//! a newer one, nor renew an offer that has been used.

use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::headroom::InvalidAnnouncement;
use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;

/// Shortest interval between two announcements of a box.
pub const SEQUENCE_INTERVAL: Duration = Duration::from_millis(50);

/// What is known of a sender is dropped this long after its last announcement, since its clock may
/// have been set back when it restarted. Longer than any datagram is delayed.
const RETENTION: Duration = Duration::from_secs(3);

/// Number of an announcement, compared as serial numbers are (RFC 1982), since it wraps around.
///
/// A process counts from the time of its start, in units of [`SEQUENCE_INTERVAL`], and no faster
/// than time passes, so its numbers are newer than those of the start before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SequenceNumber(u16);

impl SequenceNumber {
    /// The number from which a process counts that started at this time since the epoch.
    pub fn at_start(started: Duration) -> SequenceNumber {
        SequenceNumber((started.as_millis() / SEQUENCE_INTERVAL.as_millis()) as u16)
    }

    pub fn next(self) -> SequenceNumber {
        SequenceNumber(self.0.wrapping_add(1))
    }

    fn is_newer_than(self, other: SequenceNumber) -> bool {
        let ahead = self.0.wrapping_sub(other.0);
        ahead != 0 && ahead < 1 << (u16::BITS - 1)
    }
}

/// Where an announcement comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Origin {
    pub from: IpAddr,
    pub sequence: SequenceNumber,
}

#[derive(Debug)]
struct Sequences {
    /// Of the last announcement of each group.
    last: FxHashMap<(EngineGroup, ServiceName), SequenceNumber>,
    at: Duration,
}

/// The last announcements of each sender.
#[derive(Debug, Default)]
pub(super) struct SenderSequences {
    senders: FxHashMap<IpAddr, Sequences>,
}

impl SenderSequences {
    /// Records an announcement, if it is newer than the last one of the same group.
    pub(super) fn advance(
        &mut self,
        origin: Origin,
        group: EngineGroup,
        service: &ServiceName,
        now: Duration,
    ) -> Result<(), InvalidAnnouncement> {
        let Origin { from, sequence } = origin;
        let first = || Sequences { last: FxHashMap::default(), at: now };
        let known = self.senders.entry(from).or_insert_with(first);
        let key = (group, service.clone());
        if known.last.get(&key).is_some_and(|last| !sequence.is_newer_than(*last)) {
            return Err(InvalidAnnouncement::Older);
        }
        known.last.insert(key, sequence);
        known.at = now;
        Ok(())
    }

    /// Drops what is known of senders that no longer announce anything.
    pub(super) fn expire(&mut self, now: Duration) {
        self.senders.retain(|_, known| now < known.at + RETENTION);
    }
}
