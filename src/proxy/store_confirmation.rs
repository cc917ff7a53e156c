//! Confirms with a call of its own that this box misses no version that the store listed before a
//! request arrived.
//!
//! A watch may be behind: it pauses after a change, it may hang, or this box was suspended. A
//! request that resumes a stream arrives after the stream began, so a read of the store that begins
//! after the request arrived includes the version that began the stream.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use slog::debug;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::proxy::adapter::StoreError;
use crate::proxy::adapter::VersionChanges;
use crate::proxy::hub::Hub;

/// How long a request waits for a confirmation.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Time from the first request to the call, so that requests that arrive together share it.
const BATCH_TIME: Duration = Duration::from_millis(10);

/// Time between the starts of two calls.
const INTERVAL_MIN: Duration = Duration::from_millis(100);

/// The same in a large fleet, for each of its boxes, so that all of them together make no more than
/// 1,250 calls a second.
const INTERVAL_PER_BOX: Duration = Duration::from_micros(800);

/// The calls of this box. They are made by a task of their own, so that none ends with the request
/// that it is made for.
#[derive(Debug, Default)]
pub struct StoreConfirmation {
    calls: Mutex<Calls>,
    last: watch::Sender<Option<Outcome>>,
}

#[derive(Debug, Default)]
struct Calls {
    is_running: bool,
    /// When the last request arrived, and when the last call began.
    requested: Option<Instant>,
    began: Option<Instant>,
}

/// The outcome of the last call.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    began: Instant,
    is_confirmed: bool,
}

impl StoreConfirmation {
    fn calls<T>(&self, f: impl FnOnce(&mut Calls) -> T) -> T {
        f(&mut self.calls.lock().expect("no panic under lock"))
    }
}

/// Whether all versions that the store listed until now are noted. One call serves all requests
/// that arrived before it began.
pub async fn confirm(hub: &Arc<Hub>) -> bool {
    let arrived = Instant::now();
    let confirmation = hub.stream_versions().confirmation();
    let mut last = confirmation.last.subscribe();
    let was_running = confirmation.calls(|calls| {
        calls.requested = Some(arrived);
        std::mem::replace(&mut calls.is_running, true)
    });
    if !was_running {
        tokio::spawn(make_calls(hub.clone()));
    }
    let is_later =
        |last: &Option<Outcome>| last.is_some_and(|outcome: Outcome| arrived <= outcome.began);
    let outcome = tokio::time::timeout(TIMEOUT, last.wait_for(is_later)).await;
    matches!(outcome, Ok(Ok(outcome)) if outcome.is_some_and(|outcome| outcome.is_confirmed))
}

/// Makes calls until one has begun after the last request.
async fn make_calls(hub: Arc<Hub>) {
    let confirmation = hub.stream_versions().confirmation();
    loop {
        tokio::time::sleep(BATCH_TIME).await;
        if let Some(began) = confirmation.calls(|calls| calls.began) {
            tokio::time::sleep_until(began + interval(hub.peers().known_count())).await;
        }
        let began = Instant::now();
        confirmation.calls(|calls| calls.began = Some(began));
        let result = read(&hub).await.inspect_err(|e| {
            debug!(hub.log(), "versions not confirmed by the store"; "error" => %e);
        });
        confirmation.last.send_replace(Some(Outcome { began, is_confirmed: result.is_ok() }));
        let is_done = confirmation.calls(|calls| {
            calls.is_running = calls.requested.is_some_and(|requested| began < requested);
            !calls.is_running
        });
        if is_done {
            return;
        }
    }
}

/// The time between the starts of two calls in a fleet of this many boxes.
pub fn interval(boxes: usize) -> Duration {
    INTERVAL_MIN.max(INTERVAL_PER_BOX * u32::try_from(boxes).unwrap_or(u32::MAX))
}

/// Reads what the store lists beyond what this box has noted.
async fn read(hub: &Hub) -> Result<(), StoreError> {
    let known = hub.read(|view| view.revision());
    let since = hub.stream_versions().noted_up_to().unwrap_or(known);
    let changes = hub.version_log().since(since).await?;
    let VersionChanges { up_to, .. } = changes;
    hub.stream_versions().note_changes(&changes, known, hub.now());
    let is_restored = since.era != up_to.era || hub.read(|view| view.is_restoring(hub.now()));
    if is_restored {
        return Err(StoreError::Unavailable("restored from an older copy".to_owned()));
    }
    Ok(())
}
