//! Recent changes of the list of upstreams by revision of the platform's store, so that a box that
//! is slightly behind is sent only these.
//!
//! Boxes that watch the store receive a change at times that differ by up to a second, so while
//! upstreams come and go no two lists are the same. The revision tells a list that is only behind
//! from one that differs for another reason, and the changes are a small part of the difference
//! that [`crate::proxy::digests`] would find.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::revision::Revision;
use crate::names::UpstreamName;

/// How long a change is kept. A box that is behind by more was cut off, and requests the difference
/// of the lists instead.
const RETENTION: Duration = Duration::from_secs(30);

/// The recent changes of a list of upstreams.
#[derive(Debug, Default)]
pub struct History {
    /// The list is complete up to this revision; the default before the first complete list.
    revision: Revision,
    /// Changes up to this revision may no longer be known.
    floor: Revision,
    changed: BTreeMap<UpstreamName, Stamp>,
}

/// The time of an upstream's last change.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    /// The revision by which the change had happened; `None` until the list is complete again.
    revision: Option<Revision>,
    at: Duration,
}

impl History {
    /// The revision of the store up to which the list is complete; the default before the first
    /// complete list.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Records that an upstream has changed or was removed.
    pub fn record(&mut self, name: &UpstreamName, now: Duration) {
        self.changed.insert(name.clone(), Stamp { revision: None, at: now });
    }

    /// Records that the list is complete up to a revision. It may already be complete up to a later
    /// one. Changes between one era of the store and the next are unknown.
    pub fn complete_up_to(&mut self, revision: Revision) {
        if self.revision.is_none() || self.revision.era < revision.era {
            self.floor = revision;
        }
        self.revision = self.revision.max(revision);
        let open = self.changed.values_mut().filter(|stamp| stamp.revision.is_none());
        open.for_each(|stamp| stamp.revision = Some(self.revision));
    }

    /// Returns the upstreams that have changed or were removed since a revision; `None` if that is
    /// no longer known.
    pub fn changed_since(&self, revision: Revision) -> Option<impl Iterator<Item = &UpstreamName>> {
        let is_newer = move |stamp: &Stamp| stamp.revision.is_none_or(|r| revision < r);
        let is_known = !revision.is_none() && self.floor <= revision;
        is_known
            .then(|| self.changed.iter().filter(move |(_, s)| is_newer(s)).map(|(name, _)| name))
    }

    /// Removes changes older than `RETENTION`.
    pub fn expire(&mut self, now: Duration) {
        let floor = &mut self.floor;
        self.changed.retain(|_, stamp| {
            let Some(revision) = stamp.revision else { return true };
            let is_recent = now < stamp.at + RETENTION;
            if !is_recent {
                *floor = revision.max(*floor);
            }
            is_recent
        });
    }
}
