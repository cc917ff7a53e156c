//! The waiting tickets of one pool, ordered by the virtual time of their workspaces.
//!
//! Operations cost O(log n) in the number of waiting workspaces, unless stated otherwise. A ticket
//! that is removed from the middle of its workspace's queue is skipped when it reaches the front.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::dispatch::ledger::VirtualTime;
use crate::dispatch::order::VirtualTimeOrder;
use crate::names::WorkspaceName;
use crate::peer::message::Class;
use crate::peer::message::Ticket;
use crate::peer::message::TicketId;

const CLASSES: [Class; 3] = [Class::Urgent, Class::Normal, Class::Background];

/// The waiting tickets of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: FxHashMap<TicketId, Ticket>,
    by_workspace: FxHashMap<WorkspaceName, WorkspaceQueue>,
    by_virtual_time: VirtualTimeOrder,
    urgent_by_virtual_time: VirtualTimeOrder,
    by_waiting_since: BTreeSet<(Duration, WorkspaceName)>,
}

/// The waiting tickets of one workspace.
#[derive(Debug, Default)]
struct WorkspaceQueue {
    by_class: [VecDeque<TicketId>; 3],
    counts: [u32; 3],
    pops_since_background: u32,
    virtual_time: VirtualTime,
    waiting_since: Duration,
    at_limit: bool,
}

impl WorkspaceQueue {
    fn waiting(&self) -> u32 {
        self.counts.iter().sum()
    }
}

impl Queue {
    /// The number of waiting tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    pub fn contains(&self, id: TicketId) -> bool {
        self.tickets.contains_key(&id)
    }

    /// The number of waiting tickets of a workspace.
    pub fn waiting(&self, workspace: &str) -> u32 {
        self.by_workspace.get(workspace).map_or(0, WorkspaceQueue::waiting)
    }

    /// The number of workspaces with waiting tickets.
    pub fn workspace_count(&self) -> usize {
        self.by_workspace.len()
    }

    /// The workspaces with waiting tickets, in no order.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceName> {
        self.by_workspace.keys()
    }

    /// All waiting tickets, in no order.
    pub fn tickets(&self) -> impl Iterator<Item = &Ticket> {
        self.tickets.values()
    }

    /// Adds a ticket of a workspace whose current virtual time is given.
    pub fn push(&mut self, ticket: Ticket, virtual_time: VirtualTime, now: Duration) {
        let class = class_index(ticket.class);
        let workspace = ticket.workspace.clone();
        let new = || WorkspaceQueue { waiting_since: now, ..WorkspaceQueue::default() };
        let queue = self.by_workspace.entry(workspace.clone()).or_insert_with(new);
        queue.by_class[class].push_back(ticket.id);
        queue.counts[class] += 1;
        self.tickets.insert(ticket.id, ticket);
        self.reorder(&workspace, virtual_time);
    }

    /// Removes a ticket from any position.
    pub fn remove(&mut self, id: TicketId) -> Option<Ticket> {
        let ticket = self.tickets.remove(&id)?;
        let queue = self
            .by_workspace
            .get_mut(&ticket.workspace)
            .expect("a waiting ticket's workspace has a queue");
        queue.counts[class_index(ticket.class)] -= 1;
        let virtual_time = queue.virtual_time;
        self.reorder(&ticket.workspace, virtual_time);
        Some(ticket)
    }

    /// Updates the virtual time of a workspace, if any of its tickets wait.
    pub fn set_virtual_time(&mut self, workspace: &WorkspaceName, virtual_time: VirtualTime) {
        if self.by_workspace.contains_key(workspace) {
            self.reorder(workspace, virtual_time);
        }
    }

    /// Takes a workspace that reached its running limit out of the order, or puts it back.
    pub fn set_at_running_limit(&mut self, workspace: &WorkspaceName, at_limit: bool) {
        let Some(queue) = self.by_workspace.get_mut(workspace) else { return };
        if queue.at_limit == at_limit {
            return;
        }
        let virtual_time = queue.virtual_time;
        self.remove_from_order(workspace);
        self.by_workspace.get_mut(workspace).expect("just seen").at_limit = at_limit;
        self.reorder(workspace, virtual_time);
    }

    /// The waiting workspace with the smallest virtual time.
    pub fn furthest_behind(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.by_virtual_time.furthest_behind()
    }

    /// How many workspaces have a smaller virtual time than this waiting one. O(n): for operators'
    /// queries only.
    pub fn count_ahead_of(&self, workspace: &str) -> usize {
        self.by_virtual_time.iter().take_while(|(_, w)| w.as_str() != workspace).count()
    }

    /// The workspace with the smallest virtual time among those with urgent tickets.
    pub fn furthest_behind_urgent(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.urgent_by_virtual_time.furthest_behind()
    }

    /// The waiting workspace with the greatest virtual time.
    pub fn furthest_ahead(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.by_virtual_time.furthest_ahead()
    }

    /// The workspace that has waited longest since it was last served, and since when.
    pub fn longest_waiting(&self) -> Option<(Duration, &WorkspaceName)> {
        self.by_waiting_since.first().map(|(since, w)| (*since, w))
    }

    /// Takes the next ticket of a workspace: urgent before normal before background, but one
    /// background ticket after every `background_every` others.
    pub fn pop(
        &mut self,
        workspace: &WorkspaceName,
        background_every: u32,
        now: Duration,
    ) -> Option<Ticket> {
        self.by_waiting_since
            .remove(&(self.by_workspace.get(workspace)?.waiting_since, workspace.clone()));
        let queue = self.by_workspace.get_mut(workspace)?;
        queue.waiting_since = now;
        let background = class_index(Class::Background);
        let due = background_every <= queue.pops_since_background && queue.counts[background] != 0;
        let next =
            if due { background } else { (0..CLASSES.len()).find(|&i| queue.counts[i] != 0)? };
        queue.pops_since_background = match next == background {
            true => 0,
            false => queue.pops_since_background.saturating_add(1),
        };
        let tickets = &self.tickets;
        let id = std::iter::from_fn(|| queue.by_class[next].pop_front())
            .find(|id| tickets.contains_key(id))
            .expect("a counted ticket is in the queue of its class");
        self.remove(id)
    }

    fn reorder(&mut self, workspace: &WorkspaceName, virtual_time: VirtualTime) {
        self.remove_from_order(workspace);
        let queue = self
            .by_workspace
            .get_mut(workspace)
            .expect("only workspaces with a queue are reordered");
        queue.virtual_time = virtual_time;
        if queue.waiting() == 0 {
            // The count of pops since the last background ticket is needed only while tickets wait.
            self.by_workspace.remove(workspace);
            return;
        }
        if queue.at_limit {
            return;
        }
        self.by_virtual_time.set(workspace, virtual_time);
        self.by_waiting_since.insert((queue.waiting_since, workspace.clone()));
        if queue.counts[class_index(Class::Urgent)] != 0 {
            self.urgent_by_virtual_time.set(workspace, virtual_time);
        }
    }

    fn remove_from_order(&mut self, workspace: &WorkspaceName) {
        let queue = &self.by_workspace[workspace];
        self.by_waiting_since.remove(&(queue.waiting_since, workspace.clone()));
        self.by_virtual_time.remove(workspace);
        self.urgent_by_virtual_time.remove(workspace);
    }
}

fn class_index(class: Class) -> usize {
    CLASSES.iter().position(|&c| c == class).expect("CLASSES lists every class")
}
