//! Ids of the decisions on where a request is sent.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Ids of the decisions that a box requests for one attempt to send a request. One box may be asked
/// several times: for several groups of engines, or for other versions. Each decision has its own
/// id, so that a duplicate or the withdrawal of one affects no other.
#[derive(Clone, Debug)]
pub struct DecisionIds {
    attempt: u64,
    issued: u64,
}

impl DecisionIds {
    /// The ids of an attempt, given how many upstreams the request was sent to before.
    pub fn new(request: &str, tried: usize) -> DecisionIds {
        DecisionIds { attempt: xxh3_64(format!("{request}/{tried}").as_bytes()), issued: 0 }
    }

    /// Returns the id of the next decision.
    pub fn next_id(&mut self) -> u64 {
        self.issued += 1;
        xxh3_64_with_seed(&self.issued.to_le_bytes(), self.attempt)
    }
}
