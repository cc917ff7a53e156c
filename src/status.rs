//! Responses of a box to operators: its state, and the explanation of a placement decision.

use jsonrpsee::IntoResponse;
use jsonrpsee::ResponsePayload;
use serde::Deserialize;
use serde::Serialize;

use crate::dispatch::pool::Decision;
use crate::dispatch::pool::WaitReason;
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
    /// The name of the box.
    pub name: BoxName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Revision of the configuration in force; 0 without one.
    pub revision: u64,
    /// Whether the box is shutting down.
    pub leaving: bool,
    /// The boxes of its zone that it considers alive.
    #[serde(rename = "live")]
    pub live_boxes: Vec<BoxName>,
    /// Requests of this router that wait for an upstream.
    pub waiting: usize,
    /// Requests of this router that run on upstreams.
    pub running: usize,
    /// The dispatchers on this box.
    pub pools: Vec<PoolStatus>,
}

/// The state of one dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolStatus {
    pub pool: PoolName,
    /// Tickets waiting.
    pub waiting: usize,
    /// Requests running.
    pub running: u32,
    /// Slots of all available upstreams.
    pub slots: u32,
    /// Workspaces with waiting requests, by ascending virtual time.
    pub workspaces: Vec<WorkspaceStatus>,
    /// All upstreams of the pool in this zone.
    pub upstreams: Vec<UpstreamStatus>,
}

/// A workspace with waiting requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceStatus {
    pub workspace: WorkspaceName,
    /// Its waiting tickets at this dispatcher.
    pub waiting: u32,
    /// Its virtual time, in thousandths of the pool's unit.
    pub virtual_time: i64,
    /// Why its first ticket still waits.
    #[serde(rename = "why")]
    pub wait_reason: WaitReason,
}

/// An upstream and whether it gets requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    pub upstream: UpstreamName,
    /// Why it gets no requests now; `None` if it is available.
    #[serde(rename = "aside")]
    pub unavailable_reason: Option<String>,
}

/// What one box has recorded about a request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The router's record; `None` if the box did not receive the request or no longer has the
    /// record.
    pub request: Option<RequestRecord>,
    /// Placement decisions of this box's dispatchers for the request.
    pub decisions: Vec<Decision>,
}

/// A router's record of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request's id, as returned to the caller.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Its workspace.
    pub workspace: WorkspaceName,
    /// Its service.
    pub service: ServiceName,
    /// One entry per attempt to place it.
    pub attempts: Vec<Attempt>,
    /// Its outcome.
    pub outcome: String,
    /// Milliseconds from its arrival to its end.
    pub total_ms: u64,
}

/// One attempt to place a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Attempt {
    /// The ticket of the attempt.
    pub ticket: TicketId,
    /// The upstream that it was sent to, if any.
    pub upstream: Option<UpstreamName>,
    /// Milliseconds that it waited for an upstream.
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
