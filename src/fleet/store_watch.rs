//! Who watches the platform's store. Each call to it costs, so in a larger fleet a few boxes of each
//! availability zone watch and tell the others of their zone.

use std::net::IpAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::owners;
use crate::fleet::owners::BROADCAST_BOXES_MAX;

/// Boxes of a zone that watch. The store may turn single boxes away: where it turns away one in three,
/// one zone in 27 has no watcher that it serves until others step in.
const WATCHERS: usize = 3;

/// Others step in when no box of the zone has said for this long that it sees the store: two beats,
/// and half of one for what is late.
const UNSEEN_AFTER: Duration = Duration::from_millis(1000);

/// One more box steps in after each further time like this, so that a store that is away isn't called
/// by the whole fleet.
const STEP: Duration = Duration::from_millis(300);

/// A box that starts with the whole fleet for the first time learns of the others within this time before it
/// watches, so that not each of them lists all upstreams: their answers would fill the store's link.
const MEET: Duration = Duration::from_millis(1000);

/// A box of the own zone, as another one sees it.
#[derive(Clone, Copy, Debug)]
pub struct ZoneBox {
    /// The box.
    pub ip: IpAddr,
    /// What it may use of a core.
    pub cores: f64,
    /// Time since it said that it sees the store; nothing if its last word says that it doesn't.
    pub store_seen_ago: Option<Duration>,
}

/// What a box knows when it judges whether to watch.
#[derive(Clone, Copy, Debug)]
pub struct WatchInputs<'a> {
    /// The box itself.
    pub me: IpAddr,
    /// What it may use of a core.
    pub cores: f64,
    /// The other boxes of its zone that are alive.
    pub zone_boxes: &'a [ZoneBox],
    /// How many boxes of the fleet are alive, this one included.
    pub live_boxes: usize,
    /// Time since the start of this box.
    pub uptime: Duration,
    /// Whether the whole fleet starts for the first time.
    pub is_first_start: bool,
}

/// Whether a box is to watch the store.
pub fn should_watch(s: WatchInputs<'_>) -> bool {
    if s.uptime < MEET && s.is_first_start {
        return false;
    }
    // One that starts is of no use until it knows the routes, and asks the store as long as it knows few.
    if s.live_boxes <= BROADCAST_BOXES_MAX {
        return true;
    }
    let most = s.zone_boxes.iter().map(|b| b.cores).fold(s.cores, f64::max);
    // Larger boxes first, since a small one that is busy stands still for a tenth of a second.
    let key = |ip: IpAddr, cores: f64| {
        (!owners::is_large(cores, most), xxh3_64(ip.to_string().as_bytes()), ip)
    };
    let mine = key(s.me, s.cores);
    let rank = s.zone_boxes.iter().filter(|b| key(b.ip, b.cores) < mine).count();
    if rank < WATCHERS {
        return true;
    }
    let unseen = s.zone_boxes.iter().filter_map(|b| b.store_seen_ago).min().unwrap_or(s.uptime);
    let steps = u32::try_from(rank - WATCHERS).unwrap_or(u32::MAX);
    UNSEEN_AFTER.saturating_add(STEP.saturating_mul(steps)) <= unseen
}
