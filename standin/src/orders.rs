//! The part of a fake engine that takes orders: what it has loaded, and whether it takes work.
//!
//! - `GET /state` gives `State`.
//! - `PUT /orders` takes a fence and an order: 204, 409 when it can't now, 412 when the engine checks
//!   fences and has seen a greater one.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;

/// What an engine has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Adapters beside it.
    pub adapters: BTreeSet<String>,
    /// What it does for its pool.
    pub role: String,
}

/// What an engine says of itself.
#[derive(Clone, Debug, Default, Serialize)]
pub struct State {
    /// What it has loaded.
    pub state: LoadedModel,
    /// Whether it is loading.
    pub loading: bool,
    /// Whether an order keeps new work from it.
    pub drained: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that run.
    pub running: u32,
}

/// An order, and the right to give it.
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

/// What orders have made of an engine.
#[derive(Debug, Default)]
pub struct Orders {
    loaded: LoadedModel,
    loading: Option<(LoadedModel, Instant)>,
    drained: bool,
    fence: u64,
    /// Fences of the orders that were done, and how many were refused for their fence.
    pub applied_fences: Vec<u64>,
    pub rejected_by_fence: u64,
}

impl Orders {
    /// What the engine says, with `running` requests; `leaving` by its own decision.
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

    /// Whether an order keeps new work from it.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// Does an order, or says why not. Loading takes `load_time`.
    pub fn apply(
        &mut self,
        envelope: FencedOrder,
        checks_fence: bool,
        running: u32,
        load_time: Duration,
    ) -> StatusCode {
        self.finish_loading();
        if checks_fence && envelope.fence < self.fence {
            self.rejected_by_fence += 1;
            return StatusCode::PRECONDITION_FAILED;
        }
        self.fence = self.fence.max(envelope.fence);
        match envelope.order {
            Order::Drain => self.drained = true,
            Order::Undrain if self.loading.is_none() => self.drained = false,
            Order::Load { state } if self.drained && running == 0 && self.loading.is_none() => {
                self.loading = Some((state, Instant::now() + load_time));
            }
            Order::Undrain | Order::Load { .. } => return StatusCode::CONFLICT,
        }
        self.applied_fences.push(envelope.fence);
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
