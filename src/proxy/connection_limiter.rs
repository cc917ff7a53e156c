//! Limits the new connections that an overloaded box admits.
//!
//! A caller that is rejected at once tries another box in time; one that waits for a response, or
//! whose connection is not accepted, loses a second. Only as many connections are admitted as the
//! box can soon start to serve; [`crate::proxy::connection_rejecter`] answers the others.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Requests per core that may be between connecting and being sent upstream at a time. Starting one
/// takes less than half of a request's 0.7 ms of processor time (bench `cost`), so the last of them
/// waits for some 0.1 s, a sixth of the shortest usual target latency of a first token.
const STARTING_PER_CORE: f64 = 300.0;

/// Lower bound of [`ConnectionLimiter::starting_max`].
const STARTING_MIN: f64 = 8.0;

/// A new connection without a request counts as about to send one for this long: some round trips.
const FIRST_REQUEST_WINDOW: Duration = Duration::from_millis(50);

/// Decides which new connections are admitted.
#[derive(Debug)]
pub struct ConnectionLimiter {
    /// Requests that may be waiting to be sent at a time.
    starting_max: usize,
    /// When each connection without a request was admitted, and whether its first request has
    /// arrived since.
    awaiting_request: Vec<(Duration, Arc<AtomicBool>)>,
}

/// An admitted connection.
#[derive(Debug)]
pub struct AdmittedConnection(Arc<AtomicBool>);

impl AdmittedConnection {
    /// Records that a request has arrived on the connection.
    pub fn note_request(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl ConnectionLimiter {
    /// The limiter of a box that may use `cores` of a core.
    pub fn new(cores: f64) -> ConnectionLimiter {
        let starting_max = (cores * STARTING_PER_CORE).max(STARTING_MIN) as usize;
        ConnectionLimiter { starting_max, awaiting_request: Vec::new() }
    }

    /// Admits a connection, unless the `starting` requests that have arrived but are not sent yet,
    /// and those expected on new connections, reach the limit.
    pub fn try_admit(&mut self, starting: usize, now: Duration) -> Option<AdmittedConnection> {
        self.awaiting_request.retain(|(at, has_request)| {
            now < *at + FIRST_REQUEST_WINDOW && !has_request.load(Ordering::Relaxed)
        });
        if self.starting_max <= starting + self.awaiting_request.len() {
            return None;
        }
        let has_request = Arc::new(AtomicBool::new(false));
        self.awaiting_request.push((now, has_request.clone()));
        Some(AdmittedConnection(has_request))
    }
}
