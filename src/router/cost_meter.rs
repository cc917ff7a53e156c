//! Counts what an answer costs while it streams.

use serde::Deserialize;

use crate::config::Unit;

/// Longest event that is looked into for the usage, in bytes.
const EVENT_MAX: usize = 4096;

/// Counts the cost of one answer.
pub trait CostMeter: Send + Sync {
    /// Takes in the next piece of the answer. Gives the cost so far.
    fn add_chunk(&mut self, piece: &[u8]) -> u64;

    /// The cost so far; exact when the answer has ended.
    fn cost(&self) -> u64;
}

/// A meter for a pool's unit.
pub fn for_unit(unit: Unit) -> Box<dyn CostMeter> {
    match unit {
        Unit::Tokens => Box::new(Tokens::default()),
        Unit::Calls => Box::new(Calls),
    }
}

/// Every call costs one.
struct Calls;

impl CostMeter for Calls {
    fn add_chunk(&mut self, _: &[u8]) -> u64 {
        1
    }

    fn cost(&self) -> u64 {
        1
    }
}

/// One token per server-sent event, until an event tells the usage.
#[derive(Default)]
struct Tokens {
    events: u64,
    total: Option<u64>,
    event: Vec<u8>,
    in_line: bool,
}

#[derive(Deserialize)]
struct Event {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl CostMeter for Tokens {
    fn add_chunk(&mut self, piece: &[u8]) -> u64 {
        for &byte in piece {
            match byte {
                b'\r' => continue,
                b'\n' if !self.in_line => self.end_event(),
                _ if self.event.len() < EVENT_MAX => self.event.push(byte),
                _ => {}
            }
            self.in_line = byte != b'\n';
        }
        self.cost()
    }

    fn cost(&self) -> u64 {
        self.total.unwrap_or(self.events)
    }
}

impl Tokens {
    fn end_event(&mut self) {
        if self.event.is_empty() {
            return;
        }
        let data = self.event.strip_prefix(b"data:").unwrap_or(&self.event);
        match serde_json::from_slice::<Event>(data) {
            Ok(event) => self.total = Some(event.usage.total_tokens),
            Err(_) => self.events += 1,
        }
        self.event.clear();
    }
}
