//! The dispatcher's decisions, and the actions that they lead to.

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

/// An action that the caller carries out for the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a box, possibly this one.
    Send { to: BoxName, message: Message },
    /// Log and record a decision.
    Decided(Decision),
}

/// Why a workspace was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SelectionReason {
    /// It had the smallest virtual time of all that wait here.
    FurthestBehind,
    /// It had an urgent ticket, and its virtual time was within the pool's urgent lead.
    Urgent,
    /// It had waited too long without being served.
    Patience,
    /// A zone with a free slot pulled it.
    Pulled,
}

/// Why a waiting workspace isn't served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "waits-for", rename_all = "kebab-case")]
pub enum WaitReason {
    /// As many of its requests are running as it is allowed.
    RunningLimit { running: u32 },
    /// No upstream is available; `first` workspaces have a smaller virtual time and go before it.
    Slot { first: usize },
    /// A slot is free, but `first` workspaces go before it. This lasts for moments only.
    Turn { first: usize },
}

/// One placement decision, as it is logged and kept for operators' queries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The ticket that was placed.
    pub ticket: TicketId,
    /// The router that holds the request.
    pub router: BoxName,
    pub pool: PoolName,
    pub workspace: WorkspaceName,
    pub service: ServiceName,
    /// The upstream it was sent to.
    pub upstream: UpstreamName,
    /// Why its workspace was selected.
    pub why: SelectionReason,
    /// Virtual time of its workspace before the charge.
    pub virtual_time: VirtualTime,
    /// Smallest virtual time of all waiting workspaces.
    pub floor: VirtualTime,
    /// Number of waiting workspaces, this one included.
    pub waiting_workspaces: usize,
    /// Upstreams with a free slot, the selected one included.
    pub candidates: usize,
    /// Cost charged in advance, in the pool's unit.
    pub estimate: u64,
    /// How long the ticket waited here, in milliseconds.
    pub waited_ms: u64,
}
