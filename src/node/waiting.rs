//! The requests that wait at this router: registered with their dispatcher, again when that may not
//! know of them, and given up on when they can't be served in time.

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

/// First wait before a ticket that got no grant is registered again; doubled each time.
const RESEND_FIRST: Duration = Duration::from_secs(4);

/// Grants and their ends that are kept to be told again.
const UNHEARD_MAX: usize = 4096;

/// Wait before a ticket is registered again when messages to its dispatcher were lost.
const RESEND_LOST: Duration = Duration::from_millis(300);

/// How often those that wait are looked through for such as can't be served in time.
const GIVE_UP_EVERY: Duration = Duration::from_millis(250);

/// Longest wait before a ticket is registered again.
const RESEND_MAX: Duration = Duration::from_secs(16);

#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) ticket: Ticket,
    expires: Duration,
    resend_at: Duration,
    backoff: Duration,
}

/// A grant or its end that its receiver likely hasn't heard of.
#[derive(Debug)]
pub(super) struct Unheard {
    at: Duration,
    to: BoxName,
    message: Message,
}

impl Node {
    /// Lets a request wait to be placed, or says at once why it can't.
    pub fn submit(&mut self, ticket: Ticket, now: Duration) -> Result<(), Refusal> {
        if self.cfg.pool(&ticket.pool).is_none() {
            return Err(Refusal::NoPool);
        }
        let limit = self.cfg.workspace(&ticket.workspace).map_or(0, |w| w.waiting_limit);
        let deadline = Duration::from_millis(ticket.deadline_ms);
        self.admission.admit(&ticket.workspace, &ticket.pool, limit, deadline)?;
        let waiting = Waiting {
            expires: now + deadline,
            resend_at: now + RESEND_FIRST,
            backoff: RESEND_FIRST,
            ticket: ticket.clone(),
        };
        self.waiting.insert(ticket.id, waiting);
        self.register(ticket);
        self.settle(now);
        Ok(())
    }

    /// Takes back a request that waits: its caller left or its deadline passed. False when it
    /// doesn't wait (any more).
    pub fn withdraw(&mut self, id: TicketId, now: Duration) -> bool {
        let waited = self.take_back(id);
        self.settle(now);
        waited
    }

    /// Notes that messages to a box were likely lost: what waits there is registered again soon, and
    /// grants and their ends are told again, lest their slots stay taken.
    pub fn messages_lost(&mut self, name: &BoxName, messages: Vec<Message>, now: Duration) {
        let at = now + RESEND_LOST;
        for waiting in self.waiting.values_mut() {
            if self.owners.get(&waiting.ticket.pool) == Some(name) {
                waiting.resend_at = waiting.resend_at.min(at);
            }
        }
        for message in messages {
            let matters = matches!(message, Message::Done(_) | Message::Grant(_));
            if matters && self.unheard.len() < UNHEARD_MAX {
                self.unheard.push_back(Unheard { at, to: name.clone(), message });
            }
        }
    }

    /// Forgets a ticket that waits, here and at its dispatcher.
    fn take_back(&mut self, id: TicketId) -> bool {
        let Some(waiting) = self.waiting.remove(&id) else { return false };
        self.admission.leave(&waiting.ticket.workspace, &waiting.ticket.pool);
        let pool = waiting.ticket.pool;
        if let Some(owner) = self.owners.get(&pool).cloned() {
            self.send(owner, Message::Cancel { p: pool, i: id });
        }
        true
    }

    /// Gives up on requests that can't be served in time, so that their callers hear of it early.
    pub(super) fn give_up(&mut self, now: Duration) {
        if now < self.gave_up + GIVE_UP_EVERY {
            return;
        }
        self.gave_up = now;
        for (ticket, refusal) in self.hopeless(now) {
            self.take_back(ticket);
            self.out.push(Output::Refuse { ticket, refusal });
        }
    }

    /// Those of the waiting that can't be served in time, each with the reason. Those that are given
    /// up on are in nobody's way.
    fn hopeless(&self, now: Duration) -> Vec<(TicketId, Refusal)> {
        type Lane<'a> = (&'a WorkspaceName, &'a PoolName);
        let mut lanes: BTreeMap<Lane, Vec<(Class, TicketId, Duration)>> = BTreeMap::new();
        for (&id, waiting) in &self.waiting {
            let (ticket, left) = (&waiting.ticket, waiting.expires.saturating_sub(now));
            let lane = lanes.entry((&ticket.workspace, &ticket.pool)).or_default();
            lane.push((ticket.class, id, left));
        }
        let mut hopeless = Vec::new();
        for ((workspace, pool), mut lane) in lanes {
            lane.sort();
            let mut ahead = 0;
            for (_, id, left) in lane {
                match self.admission.refuse_hopeless(workspace, pool, ahead, left) {
                    Some(refusal) => hopeless.push((id, refusal)),
                    None => ahead += 1,
                }
            }
        }
        hopeless
    }

    /// Registers a ticket with the dispatcher of its pool.
    pub(super) fn register(&mut self, ticket: Ticket) {
        if let Some(owner) = self.owners.get(&ticket.pool).cloned() {
            // The receiver knows from whom it comes, and whose the service is.
            let (router, pool) = (BoxName::none(), PoolName::none());
            self.send(owner, Message::Ticket(Ticket { router, pool, ..ticket }));
        }
    }

    pub(super) fn resend(&mut self, now: Duration) {
        let mut due = Vec::new();
        for waiting in self.waiting.values_mut() {
            if waiting.resend_at <= now {
                waiting.backoff = (waiting.backoff * 2).min(RESEND_MAX);
                waiting.resend_at = now + waiting.backoff;
                due.push(waiting.renewed(now));
            }
        }
        due.sort_by_key(|t| t.id);
        for ticket in due {
            self.register(ticket);
        }
        while self.unheard.front().is_some_and(|u| u.at <= now) {
            let unheard = self.unheard.pop_front().expect("just seen");
            let to = match &unheard.message {
                Message::Done(done) => self.dispatcher_now(&unheard.to, &done.pool),
                _ => unheard.to,
            };
            self.send(to, unheard.message);
        }
    }

    /// Who should hear what a dispatcher didn't: itself, or in this zone whoever followed it.
    fn dispatcher_now(&self, before: &BoxName, pool: &str) -> BoxName {
        match self.owners.get(pool) {
            Some(owner) if self.members.is_of_zone(before) => owner.clone(),
            _ => before.clone(),
        }
    }
}

impl Waiting {
    /// The ticket with what is left of its time.
    pub(super) fn renewed(&self, now: Duration) -> Ticket {
        let left = self.expires.saturating_sub(now);
        Ticket { deadline_ms: left.as_millis() as u64, ..self.ticket.clone() }
    }
}
