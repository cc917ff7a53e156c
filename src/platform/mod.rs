//! The platform's Object API and box list, as the rest of the code sees them.

pub mod client;
pub mod watch;

use std::time::Duration;

use crate::peer::member::ListedBox;

/// One version of an object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Grows with every update; never 0.
    pub version: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Why a call to the platform gave nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The platform can't be reached or refuses; the call had no effect.
    #[error("the platform is out of reach: {0}")]
    Unavailable(String),
    /// A conditional update lost against another.
    #[error("the object is at version {current} already")]
    Conflict { current: u64 },
    /// The call was sent but its answer is lost: it may have taken effect.
    #[error("the answer is lost: {0}")]
    Unknown(String),
    /// The platform answered what it shouldn't.
    #[error("the platform answered {0}")]
    Unexpected(String),
}

/// Versioned objects. All calls block.
pub trait ObjectStore: Send + Sync {
    /// Reads an object; nothing where there is none.
    fn get(&self, name: &str) -> Result<Option<Object>, Error>;

    /// Writes an object if it is at version `expected` (0: if there is none). Gives the version.
    fn put(&self, name: &str, value: &[u8], expected: u64) -> Result<u64, Error>;

    /// Waits for a version greater than `after`; nothing when there was none in `wait`.
    fn watch(&self, name: &str, after: u64, wait: Duration) -> Result<Option<Object>, Error>;
}

/// The platform's list of boxes.
pub trait BoxList: Send + Sync {
    /// Reads the list, which lags.
    fn boxes(&self) -> Result<Vec<ListedBox>, Error>;
}
