//! Which boxes watch the platform's store. To limit the number of calls to the store, only a few
//! boxes of each availability zone watch it in a larger fleet, and forward changes to the rest of
//! their zone.

use std::net::IpAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::owners;
use crate::fleet::owners::BROADCAST_BOXES_MAX;

/// Boxes of a zone that watch. The store may reject individual boxes: where it rejects one in
/// three, one zone in 27 has no watcher that is served until other boxes take over.
const WATCHERS_PER_ZONE: usize = 3;

/// Another box starts to watch when no box of the zone has reported for this long that it reaches
/// the store: two heartbeats, and half a heartbeat for late ones.
const TAKEOVER_AFTER: Duration = Duration::from_millis(1000);

/// One more box starts to watch after each further interval of this length, so that an unavailable
/// store isn't called by the whole fleet.
const TAKEOVER_STEP: Duration = Duration::from_millis(300);

/// On the first start of the whole fleet, a box discovers the others for this long before it
/// watches. Otherwise each box would list all upstreams, and the responses would fill the store's
/// link.
const DISCOVERY_TIME: Duration = Duration::from_millis(1000);

/// Another live box of the same availability zone.
#[derive(Clone, Copy, Debug)]
pub struct ZoneBox {
    pub ip: IpAddr,
    /// CPU limit of the box, in cores.
    pub cores: f64,
    /// Time since its last report that it reaches the store; `None` if its last report says that it
    /// doesn't.
    pub store_seen_ago: Option<Duration>,
}

/// What [`should_watch`] bases its decision on.
#[derive(Clone, Copy, Debug)]
pub struct WatchInputs<'a> {
    /// Address of this box.
    pub own_ip: IpAddr,
    /// CPU limit of this box, in cores.
    pub cores: f64,
    /// The other live boxes of its zone.
    pub zone_boxes: &'a [ZoneBox],
    /// Number of live boxes of the fleet, including this one.
    pub live_boxes: usize,
    pub uptime: Duration,
    /// Whether the whole fleet is being started for the first time.
    pub is_first_start: bool,
}

/// Decides whether this box is to watch the store.
pub fn should_watch(inputs: WatchInputs<'_>) -> bool {
    if inputs.uptime < DISCOVERY_TIME && inputs.is_first_start {
        return false;
    }
    // A box that starts serves nothing until it has the routes, so it watches while it knows of few
    // other boxes.
    if inputs.live_boxes <= BROADCAST_BOXES_MAX {
        return true;
    }
    let cores_max = inputs.zone_boxes.iter().map(|b| b.cores).fold(inputs.cores, f64::max);
    // Larger boxes first, since a busy small one is throttled for up to a tenth of a second.
    let sort_key = |ip: IpAddr, cores: f64| {
        (!owners::is_large(cores, cores_max), xxh3_64(ip.to_string().as_bytes()), ip)
    };
    let own_key = sort_key(inputs.own_ip, inputs.cores);
    let rank = inputs.zone_boxes.iter().filter(|b| sort_key(b.ip, b.cores) < own_key).count();
    if rank < WATCHERS_PER_ZONE {
        return true;
    }
    let since_seen =
        inputs.zone_boxes.iter().filter_map(|b| b.store_seen_ago).min().unwrap_or(inputs.uptime);
    let later_ranks = u32::try_from(rank - WATCHERS_PER_ZONE).unwrap_or(u32::MAX);
    TAKEOVER_AFTER.saturating_add(TAKEOVER_STEP.saturating_mul(later_ranks)) <= since_seen
}
