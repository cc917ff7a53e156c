//! Revisions of the platform's store.
//!
//! A store that is restored from an older copy assigns revision numbers again, for other content.
//! Each restore starts a new era, and revisions are ordered by era first. Boxes compare their state
//! by this order alone, so a box that has not heard of an era is behind all boxes that have.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A revision of the store in one of its eras. The default is lower than all others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// How often the store has been restored from a copy, by its own count; zero if it doesn't
    /// report that.
    pub era: u64,
    /// The store's change counter.
    pub number: u64,
}

impl Revision {
    pub fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Whether nothing has been received from the store yet.
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
