//! The latest decisions and requests of a box, kept in bounded rings for explanations.

use crossbeam::queue::ArrayQueue;

use crate::dispatch::pool::Decision;
use crate::peer::message::TicketId;
use crate::status::Explanation;
use crate::status::RequestRecord;

/// Most decisions and most requests kept by a box; the oldest are dropped first.
const RECORDS_MAX: usize = 4096;

/// The latest placement decisions and ended requests of a box.
#[derive(Debug)]
pub struct RequestHistory {
    decisions: ArrayQueue<Decision>,
    requests: ArrayQueue<RequestRecord>,
}

impl Default for RequestHistory {
    fn default() -> RequestHistory {
        RequestHistory {
            decisions: ArrayQueue::new(RECORDS_MAX),
            requests: ArrayQueue::new(RECORDS_MAX),
        }
    }
}

impl RequestHistory {
    /// Adds a decision of a dispatcher.
    pub fn add_decision(&self, decision: Decision) {
        self.decisions.force_push(decision);
    }

    /// Adds a request that has ended.
    pub fn add_request(&self, record: RequestRecord) {
        self.requests.force_push(record);
    }

    /// What is known of a request, given by its id or by one of its tickets in hexadecimal.
    ///
    /// The rings are read by removing each record and adding it again, which may drop a few of the
    /// oldest if others are added meanwhile.
    pub fn explain(&self, request: &str) -> Explanation {
        let requests = find_all(&self.requests, |r| r.request_id == request);
        let mut tickets: Vec<TicketId> =
            requests.iter().flat_map(|r| r.attempts.iter().map(|a| a.ticket)).collect();
        tickets.extend(first_ticket(request));
        let decisions = find_all(&self.decisions, |d| tickets.contains(&d.ticket));
        Explanation { request: requests.into_iter().next(), decisions }
    }
}

/// Visits every record once and returns copies of those that match.
fn find_all<T: Clone>(ring: &ArrayQueue<T>, matches: impl Fn(&T) -> bool) -> Vec<T> {
    let mut found = Vec::new();
    for _ in 0..ring.len() {
        let Some(record) = ring.pop() else { break };
        if matches(&record) {
            found.push(record.clone());
        }
        ring.force_push(record);
    }
    found
}

/// The first ticket of a request, which is the end of the request's id.
fn first_ticket(request: &str) -> Option<TicketId> {
    let (_, hex) = request.rsplit_once('-')?;
    u64::from_str_radix(hex, 16).ok().map(TicketId)
}
