//! The waiting tickets of one pool, ordered by their workspaces' virtual time.
//!
//! All operations cost O(log n) in the number of waiting workspaces; a ticket that is taken out of
//! the middle of its workspace's queue is skipped when it comes up.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::ledger::VirtualTime;
use crate::names::WorkspaceName;
use crate::peer::message::Class;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;

/// Classes, most urgent first.
const CLASSES: [Class; 3] = [Class::Urgent, Class::Normal, Class::Background];

/// The waiting tickets of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: FxHashMap<TicketId, Ticket>,
    flows: FxHashMap<WorkspaceName, Flow>,
    order: BTreeSet<(VirtualTime, WorkspaceName)>,
    urgent: BTreeSet<(VirtualTime, WorkspaceName)>,
    oldest: BTreeSet<(Duration, WorkspaceName)>,
}

/// The waiting tickets of one workspace.
#[derive(Debug, Default)]
struct Flow {
    lanes: [VecDeque<TicketId>; 3],
    counts: [u32; 3],
    since_background: u32,
    at: VirtualTime,
    since: Duration,
    parked: bool,
}

impl Flow {
    fn waiting(&self) -> u32 {
        self.counts.iter().sum()
    }
}

impl Queue {
    /// How many tickets wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Whether no ticket waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Whether this ticket waits here.
    pub fn contains(&self, id: TicketId) -> bool {
        self.tickets.contains_key(&id)
    }

    /// How many tickets of a workspace wait.
    pub fn waiting(&self, workspace: &str) -> u32 {
        self.flows.get(workspace).map_or(0, Flow::waiting)
    }

    /// How many workspaces have tickets waiting.
    pub fn workspace_count(&self) -> usize {
        self.flows.len()
    }

    /// The workspaces that have tickets waiting, in no order.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceName> {
        self.flows.keys()
    }

    /// All waiting tickets, in no order.
    pub fn tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.tickets.values()
    }

    /// Adds a ticket whose workspace stands at virtual time `at`.
    pub fn push(&mut self, ticket: Ticket, at: VirtualTime, now: Duration) {
        let lane = lane(ticket.class);
        let workspace = ticket.workspace.clone();
        let new = || Flow { since: now, ..Flow::default() };
        let flow = self.flows.entry(workspace.clone()).or_insert_with(new);
        flow.lanes[lane].push_back(ticket.id);
        flow.counts[lane] += 1;
        self.tickets.insert(ticket.id, ticket);
        self.place(&workspace, at);
    }

    /// Takes a ticket out, wherever it stands.
    pub fn remove(&mut self, id: TicketId) -> Option<Ticket> {
        let ticket = self.tickets.remove(&id)?;
        let flow = self.flows.get_mut(&ticket.workspace).expect("a ticket has a flow");
        flow.counts[lane(ticket.class)] -= 1;
        let at = flow.at;
        self.place(&ticket.workspace, at);
        Some(ticket)
    }

    /// Tells that a workspace's virtual time is now `at`.
    pub fn moved(&mut self, workspace: &WorkspaceName, at: VirtualTime) {
        if self.flows.contains_key(workspace) {
            self.place(workspace, at);
        }
    }

    /// Keeps a workspace that is at its running limit out of the order, or lets it back in.
    pub fn park(&mut self, workspace: &WorkspaceName, parked: bool) {
        let Some(flow) = self.flows.get_mut(workspace) else { return };
        if flow.parked == parked {
            return;
        }
        let at = flow.at;
        self.unplace(workspace);
        self.flows.get_mut(workspace).expect("just seen").parked = parked;
        self.place(workspace, at);
    }

    /// The waiting workspace that is furthest behind.
    pub fn first(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.order.first().map(|(at, w)| (*at, w))
    }

    /// How many workspaces are further behind than this one, which waits. Costs O(n): for operators.
    pub fn ahead_of(&self, workspace: &str) -> usize {
        self.order.iter().take_while(|(_, w)| w.as_str() != workspace).count()
    }

    /// The workspace furthest behind of those with urgent work.
    pub fn first_urgent(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.urgent.first().map(|(at, w)| (*at, w))
    }

    /// The workspace furthest ahead.
    pub fn last(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.order.last().map(|(at, w)| (*at, w))
    }

    /// The workspace that has waited longest since it was last served, and since when.
    pub fn oldest(&self) -> Option<(Duration, &WorkspaceName)> {
        self.oldest.first().map(|(since, w)| (*since, w))
    }

    /// Takes the next ticket of a workspace: urgent work first, then normal, then background, but
    /// one background ticket after `background_every` others.
    pub fn pop(
        &mut self,
        workspace: &WorkspaceName,
        background_every: u32,
        now: Duration,
    ) -> Option<Ticket> {
        self.oldest.remove(&(self.flows.get(workspace)?.since, workspace.clone()));
        let flow = self.flows.get_mut(workspace)?;
        flow.since = now;
        let background = lane(Class::Background);
        let due = background_every <= flow.since_background && flow.counts[background] != 0;
        let next =
            if due { background } else { (0..CLASSES.len()).find(|&i| flow.counts[i] != 0)? };
        flow.since_background = match next == background {
            true => 0,
            false => flow.since_background.saturating_add(1),
        };
        let tickets = &self.tickets;
        let id = std::iter::from_fn(|| flow.lanes[next].pop_front())
            .find(|id| tickets.contains_key(id))
            .expect("a counted ticket stands in its lane");
        self.remove(id)
    }

    fn place(&mut self, workspace: &WorkspaceName, at: VirtualTime) {
        self.unplace(workspace);
        let flow = self.flows.get_mut(workspace).expect("placed flows exist");
        flow.at = at;
        if flow.waiting() == 0 {
            // The counter for background work is worth keeping only while work waits.
            self.flows.remove(workspace);
            return;
        }
        if flow.parked {
            return;
        }
        self.order.insert((at, workspace.clone()));
        self.oldest.insert((flow.since, workspace.clone()));
        if flow.counts[lane(Class::Urgent)] != 0 {
            self.urgent.insert((at, workspace.clone()));
        }
    }

    fn unplace(&mut self, workspace: &WorkspaceName) {
        let flow = &self.flows[workspace];
        self.oldest.remove(&(flow.since, workspace.clone()));
        let key = (flow.at, workspace.clone());
        self.order.remove(&key);
        self.urgent.remove(&key);
    }
}

fn lane(class: Class) -> usize {
    CLASSES.iter().position(|&c| c == class).expect("every class has a lane")
}
