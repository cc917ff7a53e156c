//! What the models and the choice among engines depend on.

use std::time::Duration;

use crate::placement::cold::ColdBound;

/// How fast engines are believed to be at first, and how what a choice costs is weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tuning {
    /// Prompt tokens read in a millisecond, until engines' first tokens have told.
    pub tokens_per_ms: f64,
    /// The same for a million pairs of a token that is read and one that stands before it.
    pub per_million_pairs: Duration,
    /// The same for a prompt, whatever its length.
    pub per_prompt: Duration,
    /// The same for the time from the end of reading to the first token, without any backlog.
    pub first_token_overhead: Duration,
    /// Part of its time that an engine may spend on reading prompts, over longer times. While it
    /// reads a piece, those that run get one token in the time of a dozen; without a pause in which
    /// they go on they would not end before their deadlines.
    pub prefill_share: f64,
    /// How much more than its time a token that must be read counts, since reading it keeps the
    /// engine from others, and shared parts that are read again are charged for.
    pub prefill_weight: f64,
    /// How much more than its time a copy between engines counts, since it is charged for.
    pub copy_weight: f64,
    /// Part of a route's aim that a request may wait for an engine; the rest is for reading the
    /// prompt and the first step.
    pub wait_share: f64,
    /// The same for a workspace that has had its fair share, where engines are busy: it gets what the
    /// others leave.
    pub wait_share_over: f64,
    /// How far above what it bears a cold engine may get.
    pub cold: ColdBound,
}

impl Default for Tuning {
    /// The engines of the users' sheets; the weights were chosen by measurement (docs/DESIGN.md).
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
        }
    }
}
