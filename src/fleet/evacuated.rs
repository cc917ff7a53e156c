//! Availability zones that the operator has emptied: their engines get nothing until the order is taken back.
//!
//! The whole state is a handful of names. Each sign of life carries it with the store's revision as of which
//! it is known, and the newest wins; so it reaches every box, also one that starts meanwhile, without being
//! asked for.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::revision::Revision;
use crate::names::ZoneName;

/// What the operator orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationOrder {
    /// Nothing more is to be sent to the engines of a zone.
    Evacuate(ZoneName),
    /// A zone's engines may be sent requests again.
    Revoke(ZoneName),
}

/// The zones that are evacuated, as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The store's revision; the default where nothing has been heard.
    pub revision: Revision,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

impl EvacuatedZones {
    /// Takes over what is known as of a later revision. True where the zones are others.
    pub fn merge(&mut self, other: &EvacuatedZones) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        self.revision = other.revision;
        let is_new = self.zones != other.zones;
        if is_new {
            self.zones = other.zones.clone();
        }
        is_new
    }

    /// The same after these orders, in turn, as of `revision`.
    pub fn with_orders(&self, orders: &[EvacuationOrder], revision: Revision) -> EvacuatedZones {
        let mut zones = self.zones.clone();
        for order in orders {
            match order {
                EvacuationOrder::Evacuate(zone) => zones.insert(zone.clone()),
                EvacuationOrder::Revoke(zone) => zones.remove(zone),
            };
        }
        EvacuatedZones { revision, zones }
    }
}
