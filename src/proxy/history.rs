//! Which upstreams have changed up to which revision of the platform's store, so that a box that is a
//! little behind is told of these only.
//!
//! Boxes that watch the store hear of a change at times that differ by up to a second, so while upstreams
//! come and go no two lists are the same. A list that is behind isn't taken for another one, and what has
//! changed is a small part of what differs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::revision::Revision;
use crate::names::UpstreamName;

/// How long a change is remembered. A box that is behind by more was cut off, and asks for what differs.
const KEPT: Duration = Duration::from_secs(30);

/// What has changed lately in a list of upstreams.
#[derive(Debug, Default)]
pub struct History {
    /// The list is whole up to this revision; the default before the first whole list.
    revision: Revision,
    /// A box that is behind this revision can't be told what it misses.
    floor: Revision,
    changed: BTreeMap<UpstreamName, Stamp>,
}

/// When an upstream changed last.
#[derive(Clone, Copy, Debug)]
struct Stamp {
    /// The revision by which that is known to have been; nothing until the list is whole again.
    revision: Option<Revision>,
    at: Duration,
}

impl History {
    /// The revision of the store up to which the list is whole; the default before the first whole list.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Notes that an upstream has changed or is gone.
    pub fn note(&mut self, name: &UpstreamName, now: Duration) {
        self.changed.insert(name.clone(), Stamp { revision: None, at: now });
    }

    /// Notes that the list is whole up to a revision. It may have been whole up to a later one. What lies between an
    /// era of the store and the next one isn't known.
    pub fn complete_up_to(&mut self, revision: Revision) {
        if self.revision.is_none() || self.revision.era < revision.era {
            self.floor = revision;
        }
        self.revision = self.revision.max(revision);
        let open = self.changed.values_mut().filter(|stamp| stamp.revision.is_none());
        open.for_each(|stamp| stamp.revision = Some(self.revision));
    }

    /// The upstreams that have changed since a revision, those that are gone included; nothing if that
    /// isn't known any more.
    pub fn changes_since(&self, revision: Revision) -> Option<impl Iterator<Item = &UpstreamName>> {
        let is_news = move |stamp: &Stamp| stamp.revision.is_none_or(|r| revision < r);
        let is_known = !revision.is_none() && self.floor <= revision;
        is_known.then(|| self.changed.iter().filter(move |(_, s)| is_news(s)).map(|(name, _)| name))
    }

    /// Forgets what is old.
    pub fn tick(&mut self, now: Duration) {
        let floor = &mut self.floor;
        self.changed.retain(|_, stamp| {
            let Some(revision) = stamp.revision else { return true };
            let is_kept = now < stamp.at + KEPT;
            if !is_kept {
                *floor = revision.max(*floor);
            }
            is_kept
        });
    }
}
