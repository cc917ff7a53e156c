//! Idempotency claims: at-most-once execution of requests that must not be repeated and carry a
//! key.
//!
//! Before such a request is sent, its key is *claimed*: a conditional update writes a record into
//! an object of the platform's store. A router that finds a record of another attempt doesn't send
//! the request. Safety rests on the store alone. For each part of the keys (a shard), one box
//! usually writes for all others; this only saves writes, because it commits the claims of many
//! requests in one update.
//!
//! Keys are UUIDs of version 7, which contain their time of creation. A key older than
//! [`KEY_AGE_MAX`] is refused, so its record may be deleted some time after that. The records of a
//! shard are spread over a ring of objects by the minute in which their keys were made: a commit
//! writes the keys of one minute instead of all valid keys, and an object is reset as a whole when
//! its turn comes again.

pub mod records;
pub mod writer;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use uuid::Uuid;
use xxhash_rust::xxh3::xxh3_64;

use crate::claims::writer::Writer;
use crate::names::BoxName;
use crate::platform::ObjectStore;

/// Parts of the key space, each usually written by one box.
pub const SHARDS: u64 = 4;

/// Objects in the ring of a shard: the number of minutes until one is reused.
pub const OBJECTS_PER_SHARD: u64 = 16;

const MINUTE_S: u64 = 60;

// A record must outlive its key by the largest clock difference, on either side.
const _: () = assert!(
    KEY_AGE_MAX.as_secs() + 2 * CLOCK_SKEW_MAX.as_secs() + MINUTE_S
        < (OBJECTS_PER_SHARD - 1) * MINUTE_S
);

/// Greatest age of a key.
pub const KEY_AGE_MAX: Duration = Duration::from_secs(600);

/// Largest assumed difference between the clocks of boxes and callers. Records outlive
/// [`KEY_AGE_MAX`] by as much.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(60);

/// How long to wait for another box's response before this box writes the claim itself.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(700);

/// Marks attempts for which a router writes the claim itself.
const LOCAL_ATTEMPT_BIT: u64 = 1 << 63;

/// The idempotency key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    hash: u128,
    made_at_s: u64,
}

/// Why a text isn't an accepted key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("must be a UUID of version 7")]
    NotUuidV7,
    /// Its time is in the future by more than [`CLOCK_SKEW_MAX`].
    #[error("was made in the future")]
    MadeInFuture,
    /// It is older than [`KEY_AGE_MAX`].
    #[error("is too old to tell whether the request has run")]
    TooOld,
}

impl IdempotencyKey {
    /// Parses the key that a workspace's caller sent. Equal keys of different workspaces stay
    /// distinct.
    pub fn new(workspace: &str, text: &str, now: SystemTime) -> Result<IdempotencyKey, KeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyError::NotUuidV7)?;
        let made_at_s = match (uuid.get_version_num(), uuid.get_timestamp()) {
            (7, Some(made)) => made.to_unix().0,
            _ => return Err(KeyError::NotUuidV7),
        };
        let now = unix_seconds(now);
        if now + CLOCK_SKEW_MAX.as_secs() < made_at_s {
            return Err(KeyError::MadeInFuture);
        }
        if made_at_s + KEY_AGE_MAX.as_secs() < now {
            return Err(KeyError::TooOld);
        }
        let salt = u128::from(xxh3_64(workspace.as_bytes()));
        Ok(IdempotencyKey { hash: uuid.as_u128() ^ (salt << 64 | salt), made_at_s })
    }

    /// The shard that holds its record.
    pub fn shard(self) -> u64 {
        xxh3_64(&self.hash.to_le_bytes()) % SHARDS
    }
}

/// A request to change the record of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key's hash, in hexadecimal.
    #[serde(rename = "k")]
    pub key: String,
    /// When the key was made, in seconds of Unix time.
    #[serde(rename = "m")]
    pub made_at_s: u64,
    /// Identifies the attempt to send the request; unique over all routers.
    #[serde(rename = "a")]
    pub attempt: u64,
    #[serde(rename = "o")]
    pub op: ClaimOp,
}

/// A change to the record of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOp {
    /// Create it, unless there is one.
    #[serde(rename = "c")]
    Acquire,
    /// Record that the request was answered.
    #[serde(rename = "r")]
    MarkRan,
    /// Remove it, since the request did not run.
    #[serde(rename = "x")]
    Release,
}

/// The outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The request may be sent, by this attempt only.
    #[serde(rename = "y")]
    Acquired,
    /// Another attempt was answered.
    #[serde(rename = "r")]
    Ran,
    /// Another attempt holds the key, and may be running.
    #[serde(rename = "u")]
    HeldByOther,
    /// The store can't be reached.
    #[serde(rename = "n")]
    Unavailable,
    /// The object has no room for another record.
    #[serde(rename = "f")]
    Full,
}

/// Sends claims to another box. The response arrives through [`Claims::handle_response`].
pub trait ClaimTransport: Send + Sync {
    /// The box that usually writes a shard; `None` for this box.
    fn writer_of(&self, shard: u64) -> Option<BoxName>;

    fn send(&self, to: &BoxName, claim: ClaimRequest);
}

/// The claims of one router.
pub struct Claims {
    writer: Writer,
    transport: Box<dyn ClaimTransport>,
    pending: Mutex<HashMap<u64, oneshot::Sender<ClaimOutcome>>>,
}

impl Claims {
    /// Claims that this box writes to `objects`, or sends to other boxes through `transport`.
    pub fn new(objects: Arc<dyn ObjectStore>, transport: Box<dyn ClaimTransport>) -> Arc<Claims> {
        let pending = Mutex::default();
        Arc::new(Claims { writer: Writer::start(objects), transport, pending })
    }

    /// Claims a key for an attempt whose top bit is clear. Returns the attempt that holds the key,
    /// or the outcome that prevents it.
    ///
    /// The box that usually writes may fail to respond in time and write nevertheless. This box
    /// then claims the key for a second attempt: whichever is written first holds the key, and the
    /// other one is released.
    pub async fn acquire(&self, key: IdempotencyKey, attempt: u64) -> Result<u64, ClaimOutcome> {
        if let Some(to) = self.transport.writer_of(key.shard()) {
            match self.request_remote(&to, new_request(key, attempt, ClaimOp::Acquire)).await {
                Some(ClaimOutcome::Acquired) => return Ok(attempt),
                Some(ClaimOutcome::Unavailable) | None => {
                    self.transport.send(&to, new_request(key, attempt, ClaimOp::Release));
                }
                Some(outcome) => return Err(outcome),
            }
        }
        let attempt = attempt | LOCAL_ATTEMPT_BIT;
        let (tx, rx) = oneshot::channel();
        let callback = move |outcome| {
            // The request may no longer wait; its record is then released.
            let _ = tx.send(outcome);
        };
        self.writer.submit(new_request(key, attempt, ClaimOp::Acquire), Box::new(callback));
        match rx.await {
            Ok(ClaimOutcome::Acquired) => Ok(attempt),
            Ok(outcome) => Err(outcome),
            Err(_) => Err(ClaimOutcome::Unavailable),
        }
    }

    async fn request_remote(&self, to: &BoxName, claim: ClaimRequest) -> Option<ClaimOutcome> {
        let attempt = claim.attempt;
        let (tx, rx) = oneshot::channel();
        self.pending.lock().expect("no panic under lock").insert(attempt, tx);
        self.transport.send(to, claim);
        let response = tokio::time::timeout(REMOTE_TIMEOUT, rx).await;
        self.pending.lock().expect("no panic under lock").remove(&attempt);
        response.ok()?.ok()
    }

    /// Reports that the request of an attempt was answered, or that it did not run. The box
    /// that writes the report retries until the store has accepted it.
    pub fn resolve(&self, key: IdempotencyKey, attempt: u64, ran: bool) {
        let op = if ran { ClaimOp::MarkRan } else { ClaimOp::Release };
        let claim = new_request(key, attempt, op);
        match self.transport.writer_of(key.shard()) {
            // A report that is lost on the way leaves a record that expires.
            Some(to) => self.transport.send(&to, claim),
            None => self.writer.submit(claim, Box::new(drop)),
        }
    }

    /// Handles a claim of another box and passes its outcome to `callback`.
    pub fn handle_request(
        &self,
        claim: ClaimRequest,
        callback: impl FnOnce(ClaimOutcome) + Send + 'static,
    ) {
        self.writer.submit(claim, Box::new(callback));
    }

    /// Handles another box's response.
    pub fn handle_response(&self, attempt: u64, outcome: ClaimOutcome) {
        let tx = self.pending.lock().expect("no panic under lock").remove(&attempt);
        if let Some(tx) = tx {
            // The request may have stopped waiting just now.
            let _ = tx.send(outcome);
        }
    }

    /// Whether claims are refused because the store can't be reached.
    pub fn is_store_down(&self) -> bool {
        self.writer.is_store_down()
    }

    /// Number of conditional updates attempted so far.
    pub fn writes(&self) -> u64 {
        self.writer.writes()
    }
}

/// Identifies the object that holds a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimObject {
    shard: u64,
    slot: u64,
}

impl ClaimObject {
    /// The object for a claim; `None` if its key is malformed.
    pub fn for_request(claim: &ClaimRequest) -> Option<ClaimObject> {
        let hash = u128::from_str_radix(&claim.key, 16).ok()?;
        let shard = xxh3_64(&hash.to_le_bytes()) % SHARDS;
        Some(ClaimObject { shard, slot: claim.minute() % OBJECTS_PER_SHARD })
    }

    /// The object's name in the store.
    pub fn name(&self) -> String {
        format!("frostdyke/claims/{}/{}", self.shard, self.slot)
    }
}

impl ClaimRequest {
    pub fn minute(&self) -> u64 {
        self.made_at_s / MINUTE_S
    }
}

fn new_request(key: IdempotencyKey, attempt: u64, op: ClaimOp) -> ClaimRequest {
    ClaimRequest { key: format!("{:x}", key.hash), made_at_s: key.made_at_s, attempt, op }
}

/// Seconds since the Unix epoch.
pub fn unix_seconds(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
