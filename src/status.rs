//! What a box tells operators of itself: its state, and why it placed a request as it did.

use jsonrpsee::IntoResponse;
use jsonrpsee::ResponsePayload;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::pool::Decision;
use crate::dispatch::pool::Waits;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::peer::message::TicketId;

/// The state of one box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Which box.
    pub name: BoxName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The configuration in force; 0 for none.
    pub revision: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// The boxes of its zone that it believes alive.
    #[serde(rename = "live")]
    pub live_boxes: Vec<BoxName>,
    /// Requests waiting at this router.
    pub waiting: usize,
    /// Requests of this router running at upstreams.
    pub running: usize,
    /// The dispatchers on this box.
    pub pools: Vec<PoolStatus>,
}

/// The state of one dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    /// Which pool.
    pub pool: PoolName,
    /// Tickets waiting.
    pub waiting: usize,
    /// Requests running.
    pub running: u32,
    /// Slots of all upstreams that may get work.
    pub slots: u32,
    /// Workspaces that wait, the one furthest behind first.
    pub workspaces: Vec<WorkspaceStatus>,
    /// All upstreams of the zone.
    pub upstreams: Vec<UpstreamStatus>,
}

/// A workspace that waits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    /// Which workspace.
    pub workspace: WorkspaceName,
    /// Its tickets here.
    pub waiting: u32,
    /// Its virtual time, in thousandths of the pool's unit.
    pub virtual_time: i64,
    /// Why its first ticket isn't served now.
    #[serde(rename = "why")]
    pub wait_reason: Waits,
}

/// An upstream, and why it gets nothing if it doesn't.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Which upstream.
    pub upstream: UpstreamName,
    /// Why it gets no work now.
    #[serde(rename = "aside")]
    pub unavailable_reason: Option<String>,
}

/// What one box knows of a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The router's part; nothing when the box didn't hold the request or has forgotten it.
    pub request: Option<RequestRecord>,
    /// Placement decisions that this box took for it.
    pub decisions: Vec<Decision>,
}

/// What a router remembers of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request's id, as the caller was told.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its service.
    pub service: ServiceName,
    /// One entry per attempt to place it.
    pub attempts: Vec<Attempt>,
    /// How it ended.
    pub outcome: String,
    /// Milliseconds from its arrival to its end.
    pub total_ms: u64,
}

/// One attempt to place a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The ticket of this attempt.
    pub ticket: TicketId,
    /// Where it was sent, if it was.
    pub upstream: Option<UpstreamName>,
    /// Milliseconds it waited.
    pub waited_ms: u64,
    /// How it ended.
    #[serde(rename = "ending")]
    pub outcome: String,
}

impl IntoResponse for Status {
    type Output = Status;

    fn into_response(self) -> ResponsePayload<'static, Status> {
        ResponsePayload::success(self)
    }
}
