//! Which boxes own which engines.
//!
//! Engines are grouped by the first bits of a hash of their names. Each group has one box as its
//! owner, which tracks the state of all engines of the group and decides which requests they get. A
//! standby receives all decisions of the owner. Both are selected by rendezvous hashing among the
//! live boxes, so boxes that agree on which boxes are alive agree on the owners without
//! communicating.

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
use crate::util::mix_bits;

/// Target size of a group: enough engines that one is free when others aren't, few enough that the
/// owner receives a small part of all requests' messages.
const ENGINES_PER_GROUP: f64 = 10.0;

/// The largest number of groups, as a power of two: that of a list of 160,000 engines.
const GROUP_BITS_MAX: u32 = 14;

/// Only boxes whose CPU limit is at least this share of the largest one's can own groups: a box
/// that has used up its CPU quota is throttled for up to a tenth of a second.
const CORES_RATIO_MIN: f64 = 0.5;

/// In fleets of up to this many boxes, each box broadcasts all its updates. Every box then decides
/// on its own, without waiting for an owner's response.
pub const BROADCAST_BOXES_MAX: usize = 16;

/// The engines whose name hashes begin with the same bits.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EngineGroup {
    bits: u32,
    prefix: u64,
}

impl EngineGroup {
    /// Returns the group of a hash among `1 << bits` groups.
    pub fn from_hash(hash: u64, bits: u32) -> EngineGroup {
        EngineGroup { bits, prefix: hash.checked_shr(u64::BITS - bits).unwrap_or(0) }
    }

    pub fn contains(self, hash: u64) -> bool {
        EngineGroup::from_hash(hash, self.bits) == self
    }

    /// Returns the hashes that belong to the group.
    pub fn hash_range(self) -> RangeInclusive<u64> {
        if self.bits == 0 {
            return 0..=u64::MAX;
        }
        let first = self.prefix << (u64::BITS - self.bits);
        first..=(first | (u64::MAX >> self.bits))
    }

    /// Whether the box at `a` would own the group rather than the one at `b`, if both are known.
    pub fn outranks(self, a: IpAddr, b: IpAddr) -> bool {
        let rank = |ip: IpAddr| (self.rank(xxh3_64(ip.to_string().as_bytes())), ip);
        rank(b) < rank(a)
    }

    /// Returns the rendezvous rank of a box for the group, by the hash of its address.
    fn rank(self, hash: u64) -> u64 {
        mix_bits(hash ^ mix_bits((u64::from(self.bits) << (u64::BITS / 2)) ^ self.prefix))
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

/// A live box that may own groups.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub ip: IpAddr,
    pub zone: ZoneName,
    /// CPU limit, in cores.
    pub cores: f64,
}

/// The boxes that track a group's engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupOwners {
    /// The box that places requests on the engines.
    pub owner: IpAddr,
    /// The box that takes over if the owner dies.
    pub standby: Option<IpAddr>,
}

impl GroupOwners {
    /// Returns the role in which a box places requests on the group's engines.
    pub fn role(self, ip: IpAddr) -> Role {
        if self.owner == ip {
            return Role::Owner;
        }
        if self.standby == Some(ip) { Role::Standby } else { Role::Unassigned }
    }

    /// Returns the standby for the owner, and the owner for any other box.
    pub fn other(self, ip: IpAddr) -> Option<IpAddr> {
        if self.owner == ip { self.standby } else { Some(self.owner) }
    }

    /// Returns the owner, then the standby.
    pub fn boxes(self) -> impl Iterator<Item = IpAddr> {
        std::iter::once(self.owner).chain(self.standby)
    }
}

/// The owners of all groups, as one box sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OwnerTable {
    bits: u32,
    /// Indexed by the groups' prefixes; empty if all updates are broadcast.
    groups: Vec<GroupOwners>,
}

impl OwnerTable {
    /// Selects owners for this many engines among `boxes`, which include this one.
    pub fn new(boxes: &[Candidate], engines: usize) -> OwnerTable {
        if boxes.len() <= BROADCAST_BOXES_MAX {
            return OwnerTable::default();
        }
        let cores_max = boxes.iter().map(|b| b.cores).fold(0.0, f64::max);
        let candidates = boxes.iter().filter(|b| is_large(b.cores, cores_max));
        let candidates: Vec<(u64, &Candidate)> =
            candidates.map(|b| (xxh3_64(b.ip.to_string().as_bytes()), b)).collect();
        let bits = group_bits(engines);
        let group = |prefix| select_owners(EngineGroup { bits, prefix }, &candidates);
        OwnerTable { bits, groups: (0..1 << bits).filter_map(group).collect() }
    }

    /// Whether the fleet is so small that updates are broadcast and no group has an owner.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns the group of an upstream by the hash of its name.
    pub fn group(&self, hash: u64) -> EngineGroup {
        EngineGroup::from_hash(hash, self.bits)
    }

    pub fn owners_of(&self, group: EngineGroup) -> Option<GroupOwners> {
        self.groups.get(usize::try_from(group.prefix).ok()?).copied()
    }

    /// Whether a group is one of this table, and not of one for another number of engines.
    pub fn has_group(&self, group: EngineGroup) -> bool {
        group.bits == self.bits && self.owners_of(group).is_some()
    }

    /// Returns the groups that the box at `ip` owns or is the standby of, with their owners.
    pub fn groups_of(&self, ip: IpAddr) -> impl Iterator<Item = (EngineGroup, GroupOwners)> {
        let bits = self.bits;
        let groups = self.groups.iter().enumerate();
        let groups =
            groups.map(move |(n, owners)| (EngineGroup { bits, prefix: n as u64 }, *owners));
        groups.filter(move |(_, owners)| owners.boxes().any(|b| b == ip))
    }

    /// Returns the owners of an upstream's group by the hash of the upstream's name.
    pub fn owners_of_hash(&self, hash: u64) -> Option<GroupOwners> {
        self.owners_of(self.group(hash))
    }

    /// Returns all boxes that own a group.
    pub fn owner_boxes(&self) -> BTreeSet<IpAddr> {
        self.groups.iter().map(|owners| owners.owner).collect()
    }

    /// Returns all boxes that own a group or are the standby of one.
    pub fn all_boxes(&self) -> BTreeSet<IpAddr> {
        self.groups.iter().flat_map(|owners| owners.boxes()).collect()
    }
}

/// Whether a box with a CPU limit of `cores` is large enough to serve others, if the largest box of
/// the fleet has `cores_max`.
pub fn is_large(cores: f64, cores_max: f64) -> bool {
    cores_max * CORES_RATIO_MIN <= cores
}

/// Returns the binary logarithm of the number of groups whose size comes nearest to
/// [`ENGINES_PER_GROUP`].
fn group_bits(engines: usize) -> u32 {
    let groups = (engines as f64 / ENGINES_PER_GROUP).max(1.0);
    (groups.log2().round() as u32).min(GROUP_BITS_MAX)
}

/// Selects the box with the highest rendezvous rank as owner. The standby is the next one of
/// another zone, if there is one, so that it survives a failure of the owner's zone.
fn select_owners(group: EngineGroup, candidates: &[(u64, &Candidate)]) -> Option<GroupOwners> {
    let rank = |(hash, b): &&(u64, &Candidate)| (group.rank(*hash), b.ip);
    let (_, owner) = candidates.iter().max_by_key(rank)?;
    let others = || candidates.iter().filter(|(_, b)| b.ip != owner.ip);
    let other_zones = others().filter(|(_, b)| b.zone != owner.zone).max_by_key(rank);
    let standby = other_zones.or_else(|| others().max_by_key(rank)).map(|(_, b)| b.ip);
    Some(GroupOwners { owner: owner.ip, standby })
}
