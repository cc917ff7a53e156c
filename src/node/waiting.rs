//! The requests that wait at this router. Each is registered with the dispatcher of its pool, again
//! when the dispatcher may not know of it, and refused when it cannot be served in time.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::WorkspaceName;
use crate::node::Node;
use crate::node::Output;
use crate::node::Refusal;
use crate::peer::message::Class;
use crate::peer::message::Message;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;

/// Initial wait before a ticket without a grant is registered again; doubled each time.
const RESEND_BACKOFF_MIN: Duration = Duration::from_secs(4);

/// Most grants and completion reports kept for resending.
const UNDELIVERED_MAX: usize = 4096;

/// Wait before tickets are registered again after messages to their dispatcher were lost.
const RESEND_AFTER_LOSS: Duration = Duration::from_millis(300);

/// Interval at which waiting requests are checked for deadlines that cannot be met.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait before a ticket is registered again.
const RESEND_BACKOFF_MAX: Duration = Duration::from_secs(16);

#[derive(Debug)]
pub(super) struct WaitingRequest {
    pub(super) ticket: Ticket,
    expires: Duration,
    resend_at: Duration,
    backoff: Duration,
}

/// A grant or completion report that its receiver likely didn't get.
#[derive(Debug)]
pub(super) struct UndeliveredMessage {
    at: Duration,
    to: BoxName,
    message: Message,
}

impl Node {
    /// Queues a request for a grant, or returns why it cannot wait.
    pub fn submit(&mut self, ticket: Ticket, now: Duration) -> Result<(), Refusal> {
        if self.cfg.pool(&ticket.pool).is_none() {
            return Err(Refusal::NoPool);
        }
        let limit = self.cfg.workspace(&ticket.workspace).map_or(0, |w| w.waiting_limit);
        let deadline = Duration::from_millis(ticket.deadline_ms);
        self.admission.admit(&ticket.workspace, &ticket.pool, limit, deadline)?;
        let waiting = WaitingRequest {
            expires: now + deadline,
            resend_at: now + RESEND_BACKOFF_MIN,
            backoff: RESEND_BACKOFF_MIN,
            ticket: ticket.clone(),
        };
        self.waiting.insert(ticket.id, waiting);
        self.register(ticket);
        self.deliver_loopback(now);
        Ok(())
    }

    /// Withdraws a waiting request whose caller left or whose deadline passed. Returns `false` if
    /// it doesn't wait (any more).
    pub fn withdraw(&mut self, id: TicketId, now: Duration) -> bool {
        let was_waiting = self.remove_waiting(id);
        self.deliver_loopback(now);
        was_waiting
    }

    /// Records that messages to a box were likely lost. Tickets registered there are registered
    /// again soon; grants and completion reports are resent, since their slots would stay occupied
    /// otherwise.
    pub fn messages_lost(&mut self, name: &BoxName, messages: Vec<Message>, now: Duration) {
        let at = now + RESEND_AFTER_LOSS;
        for waiting in self.waiting.values_mut() {
            if self.dispatcher_boxes.get(&waiting.ticket.pool) == Some(name) {
                waiting.resend_at = waiting.resend_at.min(at);
            }
        }
        for message in messages {
            let resend = matches!(message, Message::CompletionReport(_) | Message::Grant(_));
            if resend && self.undelivered.len() < UNDELIVERED_MAX {
                self.undelivered.push_back(UndeliveredMessage { at, to: name.clone(), message });
            }
        }
    }

    /// Removes a waiting ticket, here and at its dispatcher.
    fn remove_waiting(&mut self, id: TicketId) -> bool {
        let Some(waiting) = self.waiting.remove(&id) else { return false };
        self.admission.remove(&waiting.ticket.workspace, &waiting.ticket.pool);
        let pool = waiting.ticket.pool;
        if let Some(dispatcher) = self.dispatcher_boxes.get(&pool).cloned() {
            self.send(dispatcher, Message::Cancel { pool, ticket: id });
        }
        true
    }

    /// Refuses waiting requests whose deadline cannot be met, so that their callers are answered
    /// early.
    pub(super) fn refuse_short_deadlines(&mut self, now: Duration) {
        if now < self.last_deadline_check + DEADLINE_CHECK_INTERVAL {
            return;
        }
        self.last_deadline_check = now;
        for (ticket, refusal) in self.deadline_refusals(now) {
            self.remove_waiting(ticket);
            self.outputs.push(Output::Refuse { ticket, refusal });
        }
    }

    /// The waiting requests whose deadline cannot be met, each with its refusal. Refused requests
    /// do not count as ahead of others.
    fn deadline_refusals(&self, now: Duration) -> Vec<(TicketId, Refusal)> {
        type QueueKey<'a> = (&'a WorkspaceName, &'a PoolName);
        let mut queues: BTreeMap<QueueKey, Vec<(Class, TicketId, Duration)>> = BTreeMap::new();
        for (&id, waiting) in &self.waiting {
            let (ticket, remaining) = (&waiting.ticket, waiting.expires.saturating_sub(now));
            let queue = queues.entry((&ticket.workspace, &ticket.pool)).or_default();
            queue.push((ticket.class, id, remaining));
        }
        let mut refusals = Vec::new();
        for ((workspace, pool), mut queue) in queues {
            queue.sort();
            let mut ahead = 0;
            for (_, id, remaining) in queue {
                match self.admission.check_deadline(workspace, pool, ahead, remaining) {
                    Some(refusal) => refusals.push((id, refusal)),
                    None => ahead += 1,
                }
            }
        }
        refusals
    }

    /// Registers a ticket with the dispatcher of its pool.
    pub(super) fn register(&mut self, ticket: Ticket) {
        if let Some(dispatcher) = self.dispatcher_boxes.get(&ticket.pool).cloned() {
            // The receiver fills in the sender as router, and the pool from the service.
            let (router, pool) = (BoxName::none(), PoolName::none());
            self.send(dispatcher, Message::Ticket(Ticket { router, pool, ..ticket }));
        }
    }

    /// Registers overdue tickets again and resends undelivered messages.
    pub(super) fn resend_due(&mut self, now: Duration) {
        let mut due = Vec::new();
        for waiting in self.waiting.values_mut() {
            if waiting.resend_at <= now {
                waiting.backoff = (waiting.backoff * 2).min(RESEND_BACKOFF_MAX);
                waiting.resend_at = now + waiting.backoff;
                due.push(waiting.with_remaining_deadline(now));
            }
        }
        due.sort_by_key(|t| t.id);
        for ticket in due {
            self.register(ticket);
        }
        while self.undelivered.front().is_some_and(|u| u.at <= now) {
            let undelivered = self.undelivered.pop_front().expect("just seen");
            let to = match &undelivered.message {
                Message::CompletionReport(report) => {
                    self.current_dispatcher(&undelivered.to, &report.pool)
                }
                _ => undelivered.to,
            };
            self.send(to, undelivered.message);
        }
    }

    /// The box to which a message for a dispatcher is resent: the same box or, in this zone, the
    /// pool's current dispatcher.
    fn current_dispatcher(&self, previous: &BoxName, pool: &str) -> BoxName {
        match self.dispatcher_boxes.get(pool) {
            Some(dispatcher) if self.members.is_in_own_zone(previous) => dispatcher.clone(),
            _ => previous.clone(),
        }
    }
}

impl WaitingRequest {
    /// The ticket with its remaining deadline.
    pub(super) fn with_remaining_deadline(&self, now: Duration) -> Ticket {
        let remaining = self.expires.saturating_sub(now);
        Ticket { deadline_ms: remaining.as_millis() as u64, ..self.ticket.clone() }
    }
}
