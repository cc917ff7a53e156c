//! Other boxes that place requests on upstreams which this box owns, because owner tables differ.
//!
//! Each knows the other's placements only after a batch interval. The one that will not be the
//! owner once the tables agree takes at most half of the room that is left on each upstream, so
//! that the two of them don't book it twice.

use std::net::IpAddr;
use std::time::Duration;

use crate::fleet::owners::EngineGroup;
use crate::placement::registry::UpstreamRegistry;
use crate::proxy::adapter::Prompt;

/// A box counts as a rival for this long after it placed a request.
const RIVAL_FOR: Duration = Duration::from_secs(1);

/// Placements of the last batch intervals may be unknown to the rival.
pub const UNSEEN_FOR: Duration = Duration::from_millis(40);

/// A box that also places requests on a group's upstreams.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rival {
    ip: IpAddr,
    group: EngineGroup,
    /// Whether this box is to yield to it.
    yields: bool,
    seen: Duration,
}

impl UpstreamRegistry {
    /// Records that another box has placed a request on an upstream of a group that this box owns.
    /// Returns whether it is a new rival.
    pub fn record_rival(
        &mut self,
        group: EngineGroup,
        own_ip: IpAddr,
        ip: IpAddr,
        now: Duration,
    ) -> bool {
        let yields = group.outranks(ip, own_ip);
        let before = self.rivals.len();
        self.rivals.retain(|r| r.is_active(now) && (r.ip, r.group) != (ip, group));
        let is_new = self.rivals.len() == before;
        self.rivals.push(Rival { ip, group, yields, seen: now });
        is_new
    }

    /// The boxes that also place requests on a group's upstreams.
    pub fn rivals(&self, group: EngineGroup, now: Duration) -> impl Iterator<Item = IpAddr> {
        self.rivals.iter().filter(move |r| r.group == group && r.is_active(now)).map(|r| r.ip)
    }

    /// Whether this box takes at most half of the room that is left on the upstreams of the group
    /// to which a hash belongs.
    pub(super) fn yields(&self, hash: u64, now: Duration) -> bool {
        self.rivals.iter().any(|r| r.yields && r.is_active(now) && r.group.contains(hash))
    }

    /// Whether an engine has room for a prompt, of which this box may use half if it yields.
    pub(super) fn has_own_room(
        &self,
        upstream: &super::Upstream,
        prompt: &Prompt,
        now: Duration,
    ) -> bool {
        if self.rivals.is_empty() || !self.yields(upstream.hash, now) {
            return upstream.has_room(prompt);
        }
        upstream.engine.as_ref().is_none_or(|engine| engine.has_half_room(prompt, now))
    }
}

impl Rival {
    fn is_active(&self, now: Duration) -> bool {
        now <= self.seen + RIVAL_FOR
    }
}

/// Whether one more of `free` places may be taken, of which `recent` were taken lately, so that at
/// most half of those that were free before are.
pub(in crate::placement) fn is_within_half(free: u64, recent: u64) -> bool {
    recent.saturating_add(2) <= free
}
