//! At most once, for requests that must not be repeated and carry a key.
//!
//! Before such a request is sent, its key is *claimed*: a record goes into an object of the
//! platform by conditional update. Whoever finds a record of another attempt doesn't send. Safety
//! comes from the store alone; that one box per key range (a shard) usually writes for all the
//! others only saves writes, since it commits the claims of many requests in one update.
//!
//! Keys are UUIDs of version 7, which tell when they were made. A key older than the window is
//! refused, so its record may be forgotten some time after that. The records of a shard are spread
//! over a ring of objects by the minute in which their keys were made: a commit writes the keys of a
//! minute, not of all the window, and an object is forgotten as a whole when its turn comes again.

pub mod book;
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

/// Parts of the keys, each usually written by one box.
pub const SHARDS: u64 = 4;

/// Minutes until an object of a shard is used again.
pub const RING: u64 = 16;

const MINUTE: u64 = 60;

// A record must outlive its key by as much as clocks may differ, on either side.
const _: () = assert!(WINDOW.as_secs() + 2 * SKEW.as_secs() + MINUTE < (RING - 1) * MINUTE);

/// How old a key may be.
pub const WINDOW: Duration = Duration::from_secs(600);

/// How far the clocks of boxes and callers may differ. Records outlive the window by as much.
pub const SKEW: Duration = Duration::from_secs(60);

/// How long another box may take to answer before this one writes itself.
const REMOTE_WAIT: Duration = Duration::from_millis(700);

/// Marks the attempt that a router claims for by itself.
const FALLBACK: u64 = 1 << 63;

/// The key of a request that must not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    hash: u128,
    made: u64,
}

/// Why a text can't be a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyFault {
    /// It isn't a UUID of version 7.
    #[error("must be a UUID of version 7")]
    Kind,
    /// It claims to be made in the future.
    #[error("was made in the future")]
    Future,
    /// It is older than the window.
    #[error("is too old to tell whether the request has run")]
    Old,
}

impl Key {
    /// Reads the key that a workspace's caller sent. Keys of different workspaces never meet.
    pub fn new(workspace: &str, text: &str, now: SystemTime) -> Result<Key, KeyFault> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyFault::Kind)?;
        let made = match (uuid.get_version_num(), uuid.get_timestamp()) {
            (7, Some(made)) => made.to_unix().0,
            _ => return Err(KeyFault::Kind),
        };
        let now = unix(now);
        if now + SKEW.as_secs() < made {
            return Err(KeyFault::Future);
        }
        if made + WINDOW.as_secs() < now {
            return Err(KeyFault::Old);
        }
        let salt = u128::from(xxh3_64(workspace.as_bytes()));
        Ok(Key { hash: uuid.as_u128() ^ (salt << 64 | salt), made })
    }

    /// The shard whose object holds its record.
    pub fn shard(self) -> u64 {
        xxh3_64(&self.hash.to_le_bytes()) % SHARDS
    }
}

/// What is asked of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key, in hexadecimal.
    #[serde(rename = "k")]
    pub key: String,
    /// When the key was made, in seconds of Unix time.
    #[serde(rename = "m")]
    pub made: u64,
    /// Which attempt to send the request this is; unique over all routers.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// What to do.
    #[serde(rename = "o")]
    pub op: Op,
}

/// What to do with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Make it, unless there is one.
    #[serde(rename = "c")]
    Take,
    /// The request was answered.
    #[serde(rename = "r")]
    Ran,
    /// The request did not run: remove it.
    #[serde(rename = "x")]
    Release,
}

/// What came of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request may be sent, by this attempt only.
    #[serde(rename = "y")]
    Taken,
    /// Another attempt was answered.
    #[serde(rename = "r")]
    Ran,
    /// Another attempt has it; it runs, or nobody knows.
    #[serde(rename = "u")]
    Elsewhere,
    /// The store can't be reached.
    #[serde(rename = "n")]
    Unavailable,
    /// The shard holds as many records as it can.
    #[serde(rename = "f")]
    Full,
}

/// Sends claims to another box; the answer comes back through `Claims::answered`.
pub trait Courier: Send + Sync {
    /// The box that usually writes for a shard; nothing for this one.
    fn writer_of(&self, shard: u64) -> Option<BoxName>;

    /// Sends a claim.
    fn send(&self, to: &BoxName, claim: Claim);
}

/// The claims of one router.
pub struct Claims {
    writer: Writer,
    courier: Box<dyn Courier>,
    pending: Mutex<HashMap<u64, oneshot::Sender<Verdict>>>,
}

impl Claims {
    /// Claims that are written to `objects` here, or through `courier` elsewhere.
    pub fn new(objects: Arc<dyn ObjectStore>, courier: Box<dyn Courier>) -> Arc<Claims> {
        let pending = Mutex::default();
        Arc::new(Claims { writer: Writer::start(objects), courier, pending })
    }

    /// Claims a key for an attempt, whose top bit is clear. Gives the attempt that has
    /// it, or the verdict that it can't be had.
    ///
    /// The box that usually writes may not answer, and write all the same. So this one then claims
    /// for another attempt: whichever is written first has the key, and the other is released.
    pub async fn take(&self, key: Key, attempt: u64) -> Result<u64, Verdict> {
        if let Some(to) = self.courier.writer_of(key.shard()) {
            match self.ask(&to, claim(key, attempt, Op::Take)).await {
                Some(Verdict::Taken) => return Ok(attempt),
                Some(Verdict::Unavailable) | None => {
                    self.courier.send(&to, claim(key, attempt, Op::Release));
                }
                Some(verdict) => return Err(verdict),
            }
        }
        let attempt = attempt | FALLBACK;
        let (tx, rx) = oneshot::channel();
        let answer = move |verdict| {
            // The request may have stopped waiting; its record is then released.
            let _ = tx.send(verdict);
        };
        self.writer.submit(claim(key, attempt, Op::Take), Box::new(answer));
        match rx.await {
            Ok(Verdict::Taken) => Ok(attempt),
            Ok(verdict) => Err(verdict),
            Err(_) => Err(Verdict::Unavailable),
        }
    }

    async fn ask(&self, to: &BoxName, claim: Claim) -> Option<Verdict> {
        let attempt = claim.attempt;
        let (tx, rx) = oneshot::channel();
        self.pending.lock().expect("no panic under lock").insert(attempt, tx);
        self.courier.send(to, claim);
        let answer = tokio::time::timeout(REMOTE_WAIT, rx).await;
        self.pending.lock().expect("no panic under lock").remove(&attempt);
        answer.ok()?.ok()
    }

    /// Tells that the request of an attempt was answered, or that it did not run. Kept until the
    /// store has taken it in.
    pub fn settle(&self, key: Key, attempt: u64, ran: bool) {
        let op = if ran { Op::Ran } else { Op::Release };
        let claim = claim(key, attempt, op);
        match self.courier.writer_of(key.shard()) {
            // What gets lost on the way leaves a record that expires.
            Some(to) => self.courier.send(&to, claim),
            None => self.writer.submit(claim, Box::new(drop)),
        }
    }

    /// Takes in a claim of another box; `answer` is called with its verdict.
    pub fn asked(&self, claim: Claim, answer: impl FnOnce(Verdict) + Send + 'static) {
        self.writer.submit(claim, Box::new(answer));
    }

    /// Takes in another box's answer.
    pub fn answered(&self, attempt: u64, verdict: Verdict) {
        let tx = self.pending.lock().expect("no panic under lock").remove(&attempt);
        if let Some(tx) = tx {
            // The request may have stopped waiting just now.
            let _ = tx.send(verdict);
        }
    }

    /// Whether keys are refused since the store can't be reached.
    pub fn is_down(&self) -> bool {
        self.writer.is_down()
    }

    /// Conditional updates tried so far.
    pub fn writes(&self) -> u64 {
        self.writer.writes()
    }
}

/// The object that holds a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    shard: u64,
    slot: u64,
}

impl Place {
    /// Where the record of a claim is; nothing for a claim that names no key.
    pub fn of(claim: &Claim) -> Option<Place> {
        let hash = u128::from_str_radix(&claim.key, 16).ok()?;
        let shard = xxh3_64(&hash.to_le_bytes()) % SHARDS;
        Some(Place { shard, slot: claim.minute() % RING })
    }

    /// The name of the object.
    pub fn object(&self) -> String {
        format!("frostdyke/claims/{}/{}", self.shard, self.slot)
    }
}

impl Claim {
    /// The minute of Unix time in which the key was made.
    pub fn minute(&self) -> u64 {
        self.made / MINUTE
    }
}

fn claim(key: Key, attempt: u64, op: Op) -> Claim {
    Claim { key: format!("{:x}", key.hash), made: key.made, attempt, op }
}

/// Seconds of Unix time.
pub fn unix(now: SystemTime) -> u64 {
    now.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
