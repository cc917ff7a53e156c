//! Availability zones that the operator has evacuated: their engines receive no requests until the
//! order is revoked.
//!
//! The whole state is a handful of zone names. Each heartbeat carries it along with the revision of
//! the store that it is valid for, and the highest revision wins. It thus reaches every box without
//! being requested, including a box that starts meanwhile.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::revision::Revision;
use crate::names::ZoneName;

/// An operator's order to evacuate a zone or to end its evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationOrder {
    /// Send no more requests to the engines of the zone.
    Evacuate(ZoneName),
    /// The zone's engines may receive requests again.
    Revoke(ZoneName),
}

/// The evacuated zones as of a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// The store's revision; the default if nothing has been received.
    pub revision: Revision,
    pub zones: BTreeSet<ZoneName>,
}

impl EvacuatedZones {
    /// Adopts `other` if its revision is later. Returns whether the set of zones has changed.
    pub fn merge(&mut self, other: &EvacuatedZones) -> bool {
        if other.revision <= self.revision {
            return false;
        }
        self.revision = other.revision;
        let has_changed = self.zones != other.zones;
        if has_changed {
            self.zones = other.zones.clone();
        }
        has_changed
    }

    /// Returns the evacuated zones at `revision`, after these orders have been applied in turn.
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
