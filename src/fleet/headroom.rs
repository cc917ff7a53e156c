//! Free capacity of groups of engines, as their owners announce it to each other.

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::owners::EngineGroup;
use crate::names::ServiceName;

/// Free capacity of the engines of one service in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupHeadroom {
    pub group: EngineGroup,
    pub service: ServiceName,
    /// Requests that could begin at once.
    pub requests: u16,
    /// Time until the first engine could begin another one, in milliseconds.
    pub wait_ms: u16,
}
