//! A dispatcher with a backlog, for benches.

use std::sync::Arc;
use std::time::Duration;

use frostdyke::config::Catalog;
use frostdyke::config::CatalogRevision;
use frostdyke::config::Workspace;
use frostdyke::dispatch::ledger::ReplicaId;
use frostdyke::dispatch::pool::Action;
use frostdyke::dispatch::pool::PoolDispatcher;
use frostdyke::dispatch::pool::Tuning;
use frostdyke::peer::message::Class;
use frostdyke::peer::message::CompletionReport;
use frostdyke::peer::message::Ending;
use frostdyke::peer::message::Grant;
use frostdyke::peer::message::Message;
use frostdyke::peer::message::Ticket;
use frostdyke::peer::message::TicketId;

use super::catalog;

const SLOTS: u32 = 8;

/// A configuration with so many workspaces and engines.
pub fn configuration(workspaces: usize, engines: usize) -> Catalog {
    let workspace = |w: usize| Workspace {
        key_digests: vec!["0".repeat(64)],
        ..catalog::workspace(&name(w), 1)
    };
    let upstream = |e: usize| catalog::upstream(&format!("engine-{e}"), "zone", SLOTS);
    catalog::catalog((0..workspaces).map(workspace).collect(), (0..engines).map(upstream).collect())
}

/// A dispatcher with all slots occupied and a waiting ticket of every workspace.
pub struct Backlog {
    pool: PoolDispatcher,
    workspaces: usize,
    next: u64,
    now: Duration,
    running: Vec<Grant>,
    actions: Vec<Action>,
}

impl Backlog {
    pub fn new(workspaces: usize, engines: usize) -> Backlog {
        let cfg = CatalogRevision::new(1, configuration(workspaces, engines)).expect("it is valid");
        let replica = ReplicaId { name: "box".into(), incarnation: 1 };
        let tuning = Tuning::default();
        let pool =
            PoolDispatcher::new(&"llm".into(), &"zone".into(), replica, Arc::new(cfg), tuning);
        let pool = pool.expect("it is in the configuration");
        let now = Duration::from_secs(100);
        let mut backlog =
            Backlog { pool, workspaces, next: 0, now, running: Vec::new(), actions: Vec::new() };
        for _ in 0..engines * SLOTS as usize + workspaces {
            backlog.submit();
        }
        backlog
    }

    /// Submits one more ticket.
    pub fn submit(&mut self) {
        self.next += 1;
        self.now += Duration::from_micros(10);
        let workspace = name(self.next as usize % self.workspaces);
        let ticket = Ticket {
            id: TicketId(self.next),
            router: "box".into(),
            workspace: workspace.as_str().into(),
            service: "assist".into(),
            pool: "llm".into(),
            class: Class::Normal,
            deadline_ms: 600_000,
            prefix: 0,
            avoid: None,
            forwarded: false,
        };
        self.pool.submit(ticket, self.now, &mut self.actions);
        self.collect();
    }

    /// Completes one request, which grants another, and submits a new one.
    pub fn replace_one(&mut self) {
        let at = self.next as usize % self.running.len();
        let grant = self.running.swap_remove(at);
        let cost = 50 + self.next % 100;
        let report = CompletionReport {
            pool: "llm".into(),
            grant: grant.id,
            cost,
            ending: Ending::Answered,
        };
        self.pool.handle_completion(&report, self.now, &mut self.actions);
        self.submit();
    }

    fn collect(&mut self) {
        for action in self.actions.drain(..) {
            if let Action::Send { message: Message::Grant(grant), .. } = action {
                self.running.push(grant);
            }
        }
    }
}

fn name(w: usize) -> String {
    format!("workspace-{w}")
}
