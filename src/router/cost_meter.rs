//! Measures the cost of a response while it streams.

use serde::Deserialize;

use crate::config::Unit;

/// Longest event that is parsed for the usage. Longer events count as one token.
const EVENT_MAX_BYTES: usize = 4096;

/// Measures the cost of one response.
pub trait CostMeter: Send + Sync {
    /// Adds the next chunk of the response and returns the cost so far.
    fn add_chunk(&mut self, chunk: &[u8]) -> u64;

    /// The cost so far; exact when the response has ended.
    fn cost(&self) -> u64;
}

/// Creates a meter for a pool's unit.
pub fn for_unit(unit: Unit) -> Box<dyn CostMeter> {
    match unit {
        Unit::Tokens => Box::new(TokenMeter::default()),
        Unit::Calls => Box::new(CallMeter),
    }
}

/// Every call costs 1.
struct CallMeter;

impl CostMeter for CallMeter {
    fn add_chunk(&mut self, _: &[u8]) -> u64 {
        1
    }

    fn cost(&self) -> u64 {
        1
    }
}

/// Counts one token per server-sent event, until an event reports the usage.
#[derive(Default)]
struct TokenMeter {
    events: u64,
    reported_total: Option<u64>,
    buffer: Vec<u8>,
    mid_line: bool,
}

#[derive(Deserialize)]
struct UsageEvent {
    usage: Usage,
}

#[derive(Deserialize)]
struct Usage {
    total_tokens: u64,
}

impl CostMeter for TokenMeter {
    fn add_chunk(&mut self, chunk: &[u8]) -> u64 {
        for &byte in chunk {
            match byte {
                b'\r' => continue,
                b'\n' if !self.mid_line => self.end_event(),
                _ if self.buffer.len() < EVENT_MAX_BYTES => self.buffer.push(byte),
                _ => {}
            }
            self.mid_line = byte != b'\n';
        }
        self.cost()
    }

    fn cost(&self) -> u64 {
        self.reported_total.unwrap_or(self.events)
    }
}

impl TokenMeter {
    fn end_event(&mut self) {
        if self.buffer.is_empty() {
            return;
        }
        let data = self.buffer.strip_prefix(b"data:").unwrap_or(&self.buffer);
        match serde_json::from_slice::<UsageEvent>(data) {
            Ok(event) => self.reported_total = Some(event.usage.total_tokens),
            Err(_) => self.events += 1,
        }
        self.buffer.clear();
    }
}
