//! Reports of requests in progress, as a tracking box receives them.

use std::net::IpAddr;
use std::time::Duration;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;

use crate::fleet::in_progress::InProgressReport;
use crate::fleet::in_progress::ShortId;

/// Datagrams of one report.
const PARTS_MAX: u16 = 256;

/// What is known of a sender's reports is dropped this long after the last one. Longer than any
/// datagram is delayed.
const RETENTION: Duration = Duration::from_secs(3);

/// Why a report is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportFault {
    /// It was sent before the sender's last restart.
    OlderIncarnation,
    /// A later report has arrived.
    Older,
    /// It was received before.
    Repeated,
    /// The number of its parts is out of range or contradicts the other parts.
    InvalidParts,
    /// More of its requests have first tokens than it lists.
    InvalidCount,
}

impl ReportFault {
    /// The fault as a label for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            ReportFault::OlderIncarnation => "older-incarnation",
            ReportFault::Older => "older",
            ReportFault::Repeated => "repeated",
            ReportFault::InvalidParts => "invalid-parts",
            ReportFault::InvalidCount => "invalid-count",
        }
    }
}

/// What one datagram of a report shows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedRequests {
    /// The requests that this datagram lists.
    pub ids: FxHashSet<ShortId>,
    /// Those of them that have returned their first tokens.
    pub with_first_token: FxHashSet<ShortId>,
    /// All that the report lists, once all of its datagrams have arrived. Other requests of the
    /// sender that are at least this old have ended.
    pub complete: Option<(FxHashSet<ShortId>, Duration)>,
}

#[derive(Debug)]
struct SenderReport {
    incarnation: u64,
    sequence: u64,
    parts: u16,
    received: FxHashSet<u16>,
    ids: FxHashSet<ShortId>,
    at: Duration,
}

/// The last report of each sender.
#[derive(Debug, Default)]
pub struct ReceivedReports {
    senders: FxHashMap<IpAddr, SenderReport>,
}

impl ReceivedReports {
    /// Takes one datagram of a report in.
    pub fn receive(
        &mut self,
        sender: IpAddr,
        report: &InProgressReport,
        now: Duration,
    ) -> Result<ListedRequests, ReportFault> {
        let &InProgressReport { incarnation, sequence, min_age_ms, part, parts, .. } = report;
        let requests = &report.requests;
        if parts == 0 || PARTS_MAX < parts || parts <= part {
            return Err(ReportFault::InvalidParts);
        }
        let Some(with_first_token) = requests.get(..report.with_first_token.into()) else {
            return Err(ReportFault::InvalidCount);
        };
        let with_first_token = with_first_token.iter().copied().collect();
        let ids: FxHashSet<ShortId> = requests.iter().copied().collect();
        let last = self.senders.get_mut(&sender);
        let last = match last {
            Some(last) if incarnation < last.incarnation => {
                return Err(ReportFault::OlderIncarnation);
            }
            Some(last) if incarnation == last.incarnation && sequence < last.sequence => {
                return Err(ReportFault::Older);
            }
            Some(last) if (incarnation, sequence) == (last.incarnation, last.sequence) => last,
            _ => {
                let (received, ids) = Default::default();
                let last = SenderReport { incarnation, sequence, parts, received, ids, at: now };
                self.senders.entry(sender).insert_entry(last).into_mut()
            }
        };
        if last.parts != parts {
            return Err(ReportFault::InvalidParts);
        }
        if !last.received.insert(part) {
            return Err(ReportFault::Repeated);
        }
        last.at = now;
        last.ids.extend(&ids);
        let is_complete = last.received.len() == usize::from(parts);
        let min_age = Duration::from_millis(min_age_ms.into());
        let complete = is_complete.then(|| (std::mem::take(&mut last.ids), min_age));
        Ok(ListedRequests { ids, with_first_token, complete })
    }

    /// Drops what is known of senders that no longer report.
    pub fn expire(&mut self, now: Duration) {
        self.senders.retain(|_, last| now < last.at + RETENTION);
    }
}
