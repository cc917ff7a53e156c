//! Waiting workspaces in the order of their virtual times.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::dispatch::ledger::VirtualTime;
use crate::names::WorkspaceName;

/// Workspaces in the order of their virtual times: the one with the smallest is furthest behind and
/// goes next. Operations cost O(log n).
#[derive(Debug, Default)]
pub struct VirtualTimeOrder {
    ordered: BTreeSet<(VirtualTime, WorkspaceName)>,
    times: FxHashMap<WorkspaceName, VirtualTime>,
}

impl VirtualTimeOrder {
    /// Adds a workspace, or moves it to another virtual time.
    pub fn set(&mut self, workspace: &WorkspaceName, virtual_time: VirtualTime) {
        match self.times.insert(workspace.clone(), virtual_time) {
            Some(before) if before == virtual_time => return,
            Some(before) => _ = self.ordered.remove(&(before, workspace.clone())),
            None => {}
        }
        self.ordered.insert((virtual_time, workspace.clone()));
    }

    pub fn remove(&mut self, workspace: &WorkspaceName) {
        if let Some(virtual_time) = self.times.remove(workspace) {
            self.ordered.remove(&(virtual_time, workspace.clone()));
        }
    }

    /// The virtual time of a workspace, if it is waiting.
    pub fn virtual_time(&self, workspace: &str) -> Option<VirtualTime> {
        self.times.get(workspace).copied()
    }

    /// The workspace with the smallest virtual time.
    pub fn furthest_behind(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.ordered.first().map(|(virtual_time, w)| (*virtual_time, w))
    }

    /// The workspace with the greatest virtual time.
    pub fn furthest_ahead(&self) -> Option<(VirtualTime, &WorkspaceName)> {
        self.ordered.last().map(|(virtual_time, w)| (*virtual_time, w))
    }

    /// All workspaces, those furthest behind first.
    pub fn iter(&self) -> impl Iterator<Item = (VirtualTime, &WorkspaceName)> {
        self.ordered.iter().map(|(virtual_time, w)| (*virtual_time, w))
    }
}
