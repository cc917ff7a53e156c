//! The HTTP API of engines that the controller uses, by `ureq`.
//!
//! - `GET /state` returns an [`EngineStatus`].
//! - `PUT /orders` takes a [`FencedOrder`]. The status is 204 if the order was carried out or
//!   started, 409 if the engine can't carry it out now, and 412 if it checks fences and has seen a
//!   greater one.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use ureq::Agent;
use ureq::http::StatusCode;

use crate::config::Upstream;
use crate::controller::lease::Fence;
use crate::controller::rollout::EngineOrder;
use crate::controller::rollout::EngineStatus;
use crate::util;

/// Timeout of a call to an engine.
const TIMEOUT: Duration = Duration::from_millis(500);

/// An order with the fence of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The sender's fence. An engine that checks fences refuses one smaller than it has seen.
    pub fence: Fence,
    /// The configuration that the order implements.
    pub revision: u64,
    /// The order itself.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It can't be reached, or its response is invalid.
    #[error("the engine can't be reached: {0}")]
    Unreachable(String),
    /// It can't carry out the order now.
    #[error("the engine can't do that now")]
    Busy,
    /// It has received an order from a later holder of the lease.
    #[error("the fence is too old")]
    StaleFence,
}

/// Calls to the engines of a zone. All calls block.
pub trait EngineApi: Send + Sync {
    /// Fetches the status of an engine.
    fn fetch_status(&self, upstream: &Upstream) -> Result<EngineStatus, Error>;

    /// Sends an order to an engine. It may have been carried out even if an error is returned.
    fn send_order(&self, upstream: &Upstream, order: &FencedOrder) -> Result<(), Error>;
}

/// Calls to engines over HTTP.
#[derive(Clone, Debug)]
pub struct HttpEngineApi {
    agent: Agent,
}

impl Default for HttpEngineApi {
    fn default() -> HttpEngineApi {
        HttpEngineApi { agent: util::http_agent(TIMEOUT) }
    }
}

impl EngineApi for HttpEngineApi {
    fn fetch_status(&self, upstream: &Upstream) -> Result<EngineStatus, Error> {
        let url = format!("http://{}/state", upstream.address);
        let mut resp = self.agent.get(url).call().map_err(unreachable)?;
        if resp.status() != StatusCode::OK {
            return Err(Error::Unreachable(resp.status().to_string()));
        }
        let body = resp.body_mut().read_to_vec().map_err(unreachable)?;
        serde_json::from_slice(&body).map_err(|e| Error::Unreachable(e.to_string()))
    }

    fn send_order(&self, upstream: &Upstream, order: &FencedOrder) -> Result<(), Error> {
        let body = serde_json::to_vec(order).expect("orders serialize");
        let url = format!("http://{}/orders", upstream.address);
        let resp = self.agent.put(url).send(&body).map_err(unreachable)?;
        match resp.status() {
            StatusCode::NO_CONTENT => Ok(()),
            StatusCode::CONFLICT => Err(Error::Busy),
            StatusCode::PRECONDITION_FAILED => Err(Error::StaleFence),
            other => Err(Error::Unreachable(other.to_string())),
        }
    }
}

fn unreachable(e: ureq::Error) -> Error {
    Error::Unreachable(e.to_string())
}
