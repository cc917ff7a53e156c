//! Confirms with a call of its own that this box misses no version that the store listed before a
//! request arrived.
//!
//! A watch may be behind: it pauses after a change, it may hang, or this box was suspended. A
//! request that resumes a stream arrives after the stream began, so a read of the store that begins
//! after the request arrived includes the version that began the stream.

use std::time::Duration;

use slog::debug;
use tokio::time::Instant;

use crate::proxy::adapter::StoreError;
use crate::proxy::adapter::VersionChanges;
use crate::proxy::hub::Hub;

/// How long a request waits for a confirmation.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Time between the starts of two calls, which requests that arrive meanwhile share.
const INTERVAL_MIN: Duration = Duration::from_millis(100);

/// The same in a large fleet, for each of its boxes, so that all of them together make no more than
/// 500 calls a second.
const INTERVAL_PER_BOX: Duration = Duration::from_millis(2);

/// When the last calls began.
#[derive(Debug, Default)]
pub struct StoreConfirmation {
    last: tokio::sync::Mutex<Last>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Last {
    began: Option<Instant>,
    /// When the last call began that has ended, and whether it succeeded.
    ended: Option<(Instant, bool)>,
}

/// Whether all versions that the store listed until now are noted. One call serves all requests
/// that arrived before it began.
pub async fn confirm(hub: &Hub) -> bool {
    let arrived = Instant::now();
    let confirmed = tokio::time::timeout(TIMEOUT, confirm_since(hub, arrived)).await;
    confirmed.unwrap_or_default()
}

async fn confirm_since(hub: &Hub, arrived: Instant) -> bool {
    let mut last = hub.stream_versions().confirmation().last.lock().await;
    if let Some((began, is_confirmed)) = last.ended
        && arrived <= began
    {
        return is_confirmed;
    }
    if let Some(began) = last.began {
        tokio::time::sleep_until(began + interval(hub.peers().known_count())).await;
    }
    let began = Instant::now();
    last.began = Some(began);
    let is_confirmed = read(hub).await.inspect_err(|e| {
        debug!(hub.log(), "versions not confirmed by the store"; "error" => %e);
    });
    last.ended = Some((began, is_confirmed.is_ok()));
    is_confirmed.is_ok()
}

/// The time between the starts of two calls in a fleet of this many boxes.
fn interval(boxes: usize) -> Duration {
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
