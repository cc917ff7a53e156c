//! Who owns the model of which engines.
//!
//! Engines fall into groups by the first bits of a hash of their names. Each group has one box, its
//! owner, that keeps the models of all its engines and decides what goes there; a standby hears of all
//! that the owner decides. Both are found by rendezvous hashing among the boxes that are alive, so all
//! boxes that believe the same fleet alive agree without asking anybody.

use std::collections::BTreeSet;
use std::fmt;
use std::net::IpAddr;
use std::num::ParseIntError;
use std::ops::RangeInclusive;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::names::ZoneName;
use crate::placement::cold::Role;
use crate::util::mix;

/// Engines of a group: enough that one is free when others aren't, few enough that what its owner
/// hears is a small part of what all are sent.
const ENGINES_PER_GROUP: f64 = 10.0;

/// Most groups, as a power of two: what a list of 160,000 engines falls into.
const BITS_MAX: u32 = 14;

/// Only boxes that may use at least this part of what the largest may own groups, since a box that
/// has used up its part of a core stands still for up to a tenth of a second.
const CORES_SHARE_MIN: f64 = 0.5;

/// Fleets of up to so many boxes tell all of them everything: each decides by itself then, and
/// nobody waits for an answer.
pub const BROADCAST_BOXES_MAX: usize = 16;

/// Engines whose hashes begin with the same bits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EngineGroup {
    bits: u32,
    prefix: u64,
}

impl EngineGroup {
    /// The group of a hash among `1 << bits` groups.
    pub fn from_hash(hash: u64, bits: u32) -> EngineGroup {
        EngineGroup { bits, prefix: hash.checked_shr(u64::BITS - bits).unwrap_or(0) }
    }

    /// Whether a hash belongs to it.
    pub fn contains(self, hash: u64) -> bool {
        EngineGroup::from_hash(hash, self.bits) == self
    }

    /// The hashes that belong to it.
    pub fn hash_range(self) -> RangeInclusive<u64> {
        if self.bits == 0 {
            return 0..=u64::MAX;
        }
        let first = self.prefix << (u64::BITS - self.bits);
        first..=(first | (u64::MAX >> self.bits))
    }

    /// The rank of a box for the group, by the hash of its address.
    fn rank(self, hash: u64) -> u64 {
        mix(hash ^ mix((u64::from(self.bits) << (u64::BITS / 2)) ^ self.prefix))
    }
}

impl fmt::Display for EngineGroup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.bits, self.prefix)
    }
}

impl FromStr for EngineGroup {
    type Err = ParseIntError;

    fn from_str(s: &str) -> Result<EngineGroup, ParseIntError> {
        let (bits, prefix) = s.split_once('-').unwrap_or((s, ""));
        Ok(EngineGroup { bits: bits.parse()?, prefix: prefix.parse()? })
    }
}

/// A box that may own groups.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The box.
    pub ip: IpAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What it may use of a core.
    pub cores: f64,
}

/// The boxes that keep a group's models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupOwners {
    /// Who decides.
    pub owner: IpAddr,
    /// Who takes over.
    pub standby: Option<IpAddr>,
}

impl GroupOwners {
    /// By what right a box decides what goes to the group's engines.
    pub fn role(self, ip: IpAddr) -> Role {
        if self.owner == ip {
            return Role::Owner;
        }
        if self.standby == Some(ip) { Role::Standby } else { Role::Unassigned }
    }

    /// The owner, then the standby.
    pub fn boxes(self) -> impl Iterator<Item = IpAddr> {
        std::iter::once(self.owner).chain(self.standby)
    }
}

/// Who owns which group, as one box sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnerTable {
    bits: u32,
    /// By the groups' prefixes; empty where all boxes are told everything.
    groups: Vec<GroupOwners>,
}

impl OwnerTable {
    /// Owners among `boxes`, this one included, of so many engines.
    pub fn new(boxes: &[Candidate], engines: usize) -> OwnerTable {
        if boxes.len() <= BROADCAST_BOXES_MAX {
            return OwnerTable::default();
        }
        let most = boxes.iter().map(|b| b.cores).fold(0.0, f64::max);
        let able = boxes.iter().filter(|b| is_large(b.cores, most));
        let able: Vec<(u64, &Candidate)> =
            able.map(|b| (xxh3_64(b.ip.to_string().as_bytes()), b)).collect();
        let bits = bits(engines);
        let group = |prefix| owned(EngineGroup { bits, prefix }, &able);
        OwnerTable { bits, groups: (0..1 << bits).filter_map(group).collect() }
    }

    /// Whether all boxes are told everything, and nothing is owned.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// The group of an upstream by the hash of its name.
    pub fn group(&self, hash: u64) -> EngineGroup {
        EngineGroup::from_hash(hash, self.bits)
    }

    /// Who keeps the models of a group.
    pub fn owners_of(&self, group: EngineGroup) -> Option<GroupOwners> {
        self.groups.get(usize::try_from(group.prefix).ok()?).copied()
    }

    /// The groups whose models `me` keeps, and with whom.
    pub fn groups_of(&self, me: IpAddr) -> impl Iterator<Item = (EngineGroup, GroupOwners)> {
        let bits = self.bits;
        let groups = self.groups.iter().enumerate();
        let groups = groups.map(move |(n, owned)| (EngineGroup { bits, prefix: n as u64 }, *owned));
        groups.filter(move |(_, owned)| owned.boxes().any(|ip| ip == me))
    }

    /// Who keeps the model of an upstream, by the hash of its name.
    pub fn owners_of_hash(&self, hash: u64) -> Option<GroupOwners> {
        self.owners_of(self.group(hash))
    }

    /// All boxes that keep models.
    pub fn all_boxes(&self) -> BTreeSet<IpAddr> {
        self.groups.iter().flat_map(|owned| owned.boxes()).collect()
    }
}

/// Whether a box of these cores does for what others rely on, where the largest may use `most`.
pub fn is_large(cores: f64, most: f64) -> bool {
    most * CORES_SHARE_MIN <= cores
}

/// The power of two of groups that comes nearest to [`ENGINES_PER_GROUP`].
fn bits(engines: usize) -> u32 {
    let groups = (engines as f64 / ENGINES_PER_GROUP).max(1.0);
    (groups.log2().round() as u32).min(BITS_MAX)
}

/// The owner comes first by rendezvous hashing. The standby is the next one of another zone, which a
/// cut doesn't take away with it.
fn owned(group: EngineGroup, able: &[(u64, &Candidate)]) -> Option<GroupOwners> {
    let rank = |(hash, b): &&(u64, &Candidate)| (group.rank(*hash), b.ip);
    let (_, owner) = able.iter().max_by_key(rank)?;
    let others = || able.iter().filter(|(_, b)| b.ip != owner.ip);
    let abroad = others().filter(|(_, b)| b.zone != owner.zone).max_by_key(rank);
    let standby = abroad.or_else(|| others().max_by_key(rank)).map(|(_, b)| b.ip);
    Some(GroupOwners { owner: owner.ip, standby })
}
