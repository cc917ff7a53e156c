//! The latest decisions and requests of a box, kept in bounded rings to be asked about.

use crossbeam::queue::ArrayQueue;

use crate::dispatch::pool::Decision;
use crate::peer::message::TicketId;
use crate::status::Explanation;
use crate::status::RequestRecord;

/// Decisions and requests that a box remembers; the oldest are forgotten first.
const RECORDS_MAX: usize = 4096;

/// What a box remembers.
#[derive(Debug)]
pub struct Records {
    decisions: ArrayQueue<Decision>,
    requests: ArrayQueue<RequestRecord>,
}

impl Default for Records {
    fn default() -> Records {
        Records { decisions: ArrayQueue::new(RECORDS_MAX), requests: ArrayQueue::new(RECORDS_MAX) }
    }
}

impl Records {
    /// Remembers a decision of a dispatcher.
    pub fn decided(&self, decision: Decision) {
        self.decisions.force_push(decision);
    }

    /// Remembers a request that has ended.
    pub fn ended(&self, record: RequestRecord) {
        self.requests.force_push(record);
    }

    /// What is known of a request, named by its id or by one of its tickets in hexadecimal.
    ///
    /// The rings are read by taking each record out and putting it back, which may forget a few
    /// of the oldest if others are added meanwhile.
    pub fn explain(&self, request: &str) -> Explanation {
        let requests = rotate(&self.requests, |r| r.request == request);
        let mut tickets: Vec<TicketId> =
            requests.iter().flat_map(|r| r.attempts.iter().map(|a| a.ticket)).collect();
        tickets.extend(ticket_of(request));
        let decisions = rotate(&self.decisions, |d| tickets.contains(&d.ticket));
        Explanation { request: requests.into_iter().next(), decisions }
    }
}

/// Passes every record once and copies those that `wanted` picks.
fn rotate<T: Clone>(ring: &ArrayQueue<T>, wanted: impl Fn(&T) -> bool) -> Vec<T> {
    let mut found = Vec::new();
    for _ in 0..ring.len() {
        let Some(record) = ring.pop() else { break };
        if wanted(&record) {
            found.push(record.clone());
        }
        ring.force_push(record);
    }
    found
}

/// The ticket in a request id, which ends in its first ticket.
fn ticket_of(request: &str) -> Option<TicketId> {
    let (_, hex) = request.rsplit_once('-')?;
    u64::from_str_radix(hex, 16).ok().map(TicketId)
}
