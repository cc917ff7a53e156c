//! The part of a fake engine that executes orders: what it has loaded, and whether it accepts
//! requests.
//!
//! - `GET /state` returns [`State`].
//! - `PUT /orders` takes a fence and an order: 204, 409 if it can't be executed now, 412 if the
//!   engine checks fences and has seen a greater one.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// A loaded model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    pub model: String,
    /// The model's version.
    pub version: String,
    /// Adapters of the model.
    pub adapters: BTreeSet<String>,
    /// The engine's role in its pool.
    pub role: String,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, Serialize)]
pub struct State {
    /// What it has loaded.
    pub state: LoadedModel,
    /// Whether it is loading a model.
    pub loading: bool,
    /// Whether an order keeps new requests from it.
    pub drained: bool,
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Number of running requests.
    pub running: u32,
}

/// An order with its fence.
#[derive(Clone, Debug, Deserialize)]
pub struct FencedOrder {
    fence: u64,
    #[serde(flatten)]
    order: Order,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "order", rename_all = "kebab-case")]
enum Order {
    Drain,
    Load { state: LoadedModel },
    Undrain,
}

/// The state of an engine that orders change.
#[derive(Debug, Default)]
pub struct Orders {
    loaded: LoadedModel,
    loading: Option<(LoadedModel, Instant)>,
    drained: bool,
    fence: u64,
    /// Fences of the executed orders.
    pub applied_fences: Vec<u64>,
    /// Number of orders rejected for their fence.
    pub rejected_by_fence: u64,
}

impl Orders {
    /// The state that the engine reports, with `running` requests. `leaving` is its own decision.
    pub fn state(&mut self, running: u32, leaving: bool) -> State {
        self.finish_loading();
        State {
            state: self.loaded.clone(),
            loading: self.loading.is_some(),
            drained: self.drained,
            leaving: leaving || self.drained,
            running,
        }
    }

    /// Whether an order keeps new requests from the engine.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// Executes an order, and returns the status of the response. Loading takes `load_time`.
    pub fn apply(
        &mut self,
        order: FencedOrder,
        checks_fence: bool,
        running: u32,
        load_time: Duration,
    ) -> StatusCode {
        self.finish_loading();
        if checks_fence && order.fence < self.fence {
            self.rejected_by_fence += 1;
            return StatusCode::PRECONDITION_FAILED;
        }
        self.fence = self.fence.max(order.fence);
        match order.order {
            Order::Drain => self.drained = true,
            Order::Undrain if self.loading.is_none() => self.drained = false,
            Order::Load { state } if self.drained && running == 0 && self.loading.is_none() => {
                self.loading = Some((state, Instant::now() + load_time));
            }
            Order::Undrain | Order::Load { .. } => return StatusCode::CONFLICT,
        }
        self.applied_fences.push(order.fence);
        StatusCode::NO_CONTENT
    }

    fn finish_loading(&mut self) {
        if self.loading.as_ref().is_some_and(|(_, until)| *until <= Instant::now())
            && let Some((state, _)) = self.loading.take()
        {
            self.loaded = state;
        }
    }
}
