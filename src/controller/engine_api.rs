//! Engines as the controller speaks to them, over HTTP by `ureq`.
//!
//! - `GET /state` gives `EngineStatus`.
//! - `PUT /orders` takes a `FencedOrder`: 204 when done or begun, 409 when the engine can't now, 412
//!   when it checks fences and has seen a greater one.

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

/// How long an engine may take to answer.
const TIMEOUT: Duration = Duration::from_millis(500);

/// An order with what tells whether it is still to be done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The sender's right to order. An engine that checks it refuses any smaller than one it saw.
    pub fence: Fence,
    /// The configuration that asks for it.
    pub revision: u64,
    /// What to do.
    #[serde(flatten)]
    pub order: EngineOrder,
}

/// Why an engine didn't do what it was asked for.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It can't be reached, or answers what it shouldn't.
    #[error("the engine can't be reached: {0}")]
    Unreachable(String),
    /// It can't do that now.
    #[error("the engine can't do that now")]
    Busy,
    /// It was ordered by a later holder of the lease.
    #[error("the fence is too old")]
    StaleFence,
}

/// The engines of a zone. All calls block.
pub trait EngineApi: Send + Sync {
    /// What an engine says of itself.
    fn fetch_status(&self, upstream: &Upstream) -> Result<EngineStatus, Error>;

    /// Orders something of an engine. It may have been done though an error is given.
    fn send_order(&self, upstream: &Upstream, order: &FencedOrder) -> Result<(), Error>;
}

/// Engines over HTTP.
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
        let text = resp.body_mut().read_to_vec().map_err(unreachable)?;
        serde_json::from_slice(&text).map_err(|e| Error::Unreachable(e.to_string()))
    }

    fn send_order(&self, upstream: &Upstream, order: &FencedOrder) -> Result<(), Error> {
        let text = serde_json::to_vec(order).expect("orders serialize");
        let url = format!("http://{}/orders", upstream.address);
        let resp = self.agent.put(url).send(&text).map_err(unreachable)?;
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
