//! Interfaces to the platform's Object API and box list.

pub mod client;
pub mod watch;

use std::time::Duration;

use crate::peer::member::ListedBox;

/// One version of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Grows with every update; never 0.
    pub version: u64,
    pub value: Vec<u8>,
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The platform can't be reached or rejects the call, which had no effect.
    #[error("the platform is out of reach: {0}")]
    Unavailable(String),
    /// The version expected by a conditional update is outdated.
    #[error("the object is at version {current} already")]
    Conflict { current: u64 },
    /// The call was sent, but there is no response: it may have taken effect.
    #[error("the answer is lost: {0}")]
    Unknown(String),
    /// The platform sent an invalid response.
    #[error("the platform answered {0}")]
    Unexpected(String),
}

/// Versioned objects. All calls block.
pub trait ObjectStore: Send + Sync {
    /// Reads an object. Returns `None` if it doesn't exist.
    fn get(&self, name: &str) -> Result<Option<Object>, Error>;

    /// Writes an object if it is at version `expected` (0: if it doesn't exist). Returns the new
    /// version.
    fn put(&self, name: &str, value: &[u8], expected: u64) -> Result<u64, Error>;

    /// Waits up to `wait` for a version greater than `after`. Returns `None` if there is none.
    fn watch(&self, name: &str, after: u64, wait: Duration) -> Result<Option<Object>, Error>;
}

/// The platform's list of boxes.
pub trait BoxList: Send + Sync {
    /// Reads the list, which lags behind changes.
    fn boxes(&self) -> Result<Vec<ListedBox>, Error>;
}
