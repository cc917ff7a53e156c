//! Whom a crowded box lets in.
//!
//! A caller who is turned away at once tries another box in time; one who is let in to wait, or whose
//! connection nobody takes, loses a second. What can be begun soon is let in, the rest is told so
//! ([`crate::proxy::connection_rejecter`]).

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Requests that a whole core can begin to serve at a time, from the connection to the send. That is less
/// than half of a request's 0.7 ms of processor time (bench `cost`), so the last of them waits for
/// some 0.1 s, a sixth of the shortest usual aim for a first token.
const STARTS_PER_CORE: f64 = 300.0;

/// Fewest of them.
const STARTS_MIN: f64 = 8.0;

/// A connection on which no request has come for this long is none that is about to: some round trips.
const FRESH_FOR: Duration = Duration::from_millis(50);

/// Who is let in.
#[derive(Debug)]
pub struct ConnectionLimiter {
    starts_max: usize,
    /// Connections on which the first request hasn't come.
    fresh: Vec<(Duration, Arc<AtomicBool>)>,
}

/// A connection that was let in.
#[derive(Debug)]
pub struct AdmittedConnection(Arc<AtomicBool>);

impl AdmittedConnection {
    /// Notes that its first request has come.
    pub fn note_request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl ConnectionLimiter {
    /// The door of a box that may use this part of a core.
    pub fn new(cores: f64) -> ConnectionLimiter {
        let starts_max = (cores * STARTS_PER_CORE).max(STARTS_MIN) as usize;
        ConnectionLimiter { starts_max, fresh: Vec::new() }
    }

    /// Lets a caller in, unless there is no room beside the requests that have come and not been sent
    /// yet, and those that are about to come.
    pub fn try_admit(&mut self, starts: usize, now: Duration) -> Option<AdmittedConnection> {
        self.fresh.retain(|(at, asked)| now < *at + FRESH_FOR && !asked.load(Ordering::Relaxed));
        if self.starts_max <= starts + self.fresh.len() {
            return None;
        }
        let asked = Arc::new(AtomicBool::new(false));
        self.fresh.push((now, asked.clone()));
        Some(AdmittedConnection(asked))
    }
}
