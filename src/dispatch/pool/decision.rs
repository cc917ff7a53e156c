//! What a dispatcher decides, as others are told and as it is logged.

use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::ledger::VirtualTime;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::peer::message::Message;
use crate::peer::message::TicketId;

/// What a dispatcher wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a box, which may be the own one.
    Send { to: BoxName, message: Message },
    /// Log and remember a decision.
    Decided(Decision),
}

/// Why a workspace went next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SelectionReason {
    /// It was furthest behind of all that wait here.
    FurthestBehind,
    /// Its urgent work went ahead within the lead that the pool allows.
    Urgent,
    /// It had waited too long without being served.
    Patience,
    /// Another zone had a free slot and asked for it.
    Pulled,
}

/// Why a workspace that waits isn't served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "waits-for", rename_all = "kebab-case")]
pub enum WaitReason {
    /// It has as many requests running as it may.
    RunningLimit { running: u32 },
    /// All upstreams are full or aside; so many workspaces are further behind and go first.
    Slot { first: usize },
    /// There is a free slot, and so many workspaces go first; it is a matter of moments.
    Turn { first: usize },
}

/// One placement decision, as it is logged and kept to be asked about.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The ticket that was placed.
    pub ticket: TicketId,
    /// The router that holds it.
    pub router: BoxName,
    /// The pool it was placed in.
    pub pool: PoolName,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its service.
    pub service: ServiceName,
    /// Where it goes.
    pub upstream: UpstreamName,
    /// Why it went next.
    pub why: SelectionReason,
    /// Its workspace's virtual time, before it was charged.
    pub virtual_time: VirtualTime,
    /// The smallest virtual time of all that waited.
    pub floor: VirtualTime,
    /// Workspaces that waited, this one included.
    pub waiting_workspaces: usize,
    /// Upstreams with a free slot, the chosen one included.
    pub candidates: usize,
    /// Cost charged in advance, in the pool's unit.
    pub estimate: u64,
    /// How long the ticket waited here, in milliseconds.
    pub waited_ms: u64,
}
