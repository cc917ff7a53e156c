//! A place in the history of the platform's store.
//!
//! A store that comes back from an older copy gives revisions out again, for other content. Each such return begins
//! an era, so revisions are ordered by their eras first: what boxes believe and tell each other is compared by this
//! alone, and a box that has not heard of an era is behind all that have.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store in one of its eras; the default is before all others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the store has come back from a copy, as it counts itself; zero where it doesn't say.
    pub era: u64,
    /// The store's counter of changes.
    pub number: u64,
}

impl Revision {
    /// A revision of an era.
    pub fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Whether nothing has been heard of the store.
    pub fn is_none(self) -> bool {
        self == Revision::default()
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<Revision, ParseIntError> {
        let (era, number) = s.split_once('.').unwrap_or(("0", s));
        Ok(Revision { era: era.parse()?, number: number.parse()? })
    }
}
