//! Parameters of the engine predictions and of the selection.

use std::time::Duration;

use crate::placement::cold::ColdBound;

/// Initial estimates of engine speed, and weights of the selection cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Prompt tokens prefilled per millisecond, until measured from first tokens.
    pub tokens_per_ms: f64,
    /// Initial time per million pairs of a prefilled token and a token before it.
    pub per_million_pairs: Duration,
    /// Initial time per prompt, whatever its length.
    pub per_prompt: Duration,
    /// Initial time from the end of prefill to the first token, without any backlog.
    pub first_token_overhead: Duration,
    /// Fraction of its time that an engine may spend on prefill in the long run. While a chunk is
    /// prefilled, each running request gets one token in the time that otherwise yields a dozen;
    /// without pauses between prompts, running requests would miss their deadlines.
    pub prefill_share: f64,
    /// Weight of prefill time in the cost. Above one, since prefill blocks other requests, and
    /// since prefilling shared parts again is charged for.
    pub prefill_weight: f64,
    /// Weight of the time of a copy between engines in the cost, since copies are charged for.
    pub copy_weight: f64,
    /// Fraction of a route's target latency that a request may wait for an engine; the rest is for
    /// prefill and the first step.
    pub wait_share: f64,
    /// The same fraction, where engines are saturated, for a workspace that has used up its fair
    /// share: it gets only what the others leave.
    pub wait_share_over: f64,
    /// How far above its sustained rate a cold engine may be loaded.
    pub cold: ColdBound,
    pub small_batch: SmallBatch,
}

/// Decisions for services whose engines run only few requests at once. There, one long prompt is a
/// large part of an engine's work, so waits differ much between engines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SmallBatch {
    /// An engine with at most this many slots has a small batch; zero if none has.
    pub slots_max: u32,
    /// Replaces [`Tuning::prefill_share`], if set. A step of an engine with few running requests
    /// takes hardly less time than one with all slots in use, so more prefill fills the slots and
    /// costs running requests little.
    pub prefill_share: Option<f64>,
    /// Requests that can't begin at once may wait in a queue at the owner.
    pub queue: bool,
    /// Each engine's own speed is estimated, and handed on with its ownership.
    pub own_speed: bool,
    /// Owners announce the free capacity of their groups to each other.
    pub headroom: bool,
    /// Among engines that would serve equally well, one with an idle connection is preferred.
    pub prefer_connected: bool,
}

impl SmallBatch {
    /// Whether an engine with this many slots has a small batch.
    pub fn applies(self, slots: u32) -> bool {
        slots <= self.slots_max
    }

    pub fn queues(self, slots: u32) -> bool {
        self.queue && self.applies(slots)
    }

    pub fn estimates_own_speed(self, slots: u32) -> bool {
        self.own_speed && self.applies(slots)
    }

    pub fn announces_headroom(self, slots: u32) -> bool {
        self.headroom && self.applies(slots)
    }

    pub fn prefers_connected(self, slots: u32) -> bool {
        self.prefer_connected && self.applies(slots)
    }
}

impl Tuning {
    /// The fraction of its time that an engine with this many slots may spend on prefill.
    pub fn prefill_share_of(&self, slots: u32) -> f64 {
        let own = self.small_batch.prefill_share.filter(|_| self.small_batch.applies(slots));
        own.unwrap_or(self.prefill_share)
    }
}

impl Default for Tuning {
    /// Values for the engines that the users describe; docs/DESIGN.md explains the weights.
    fn default() -> Tuning {
        Tuning {
            tokens_per_ms: 51.1,
            per_million_pairs: Duration::from_micros(323),
            per_prompt: Duration::from_millis(6),
            first_token_overhead: Duration::from_millis(50),
            prefill_share: 0.7,
            prefill_weight: 2.0,
            copy_weight: 16.0,
            wait_share: 0.7,
            wait_share_over: 0.15,
            cold: ColdBound::default(),
            small_batch: SmallBatch::default(),
        }
    }
}
