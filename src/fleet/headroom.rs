//! Free capacity of groups of engines, as their owners announce it to each other.
//!
//! An owner with free capacity divides it among the owners that may use it, so that no more
//! requests come than it has announced. Each receiver counts what it uses of its part. All state is
//! soft: an announcement that is lost or old means that nothing is sent there.

pub mod sequence;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::time::Duration;

use rand::Rng;
use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::headroom::sequence::Origin;
use crate::fleet::headroom::sequence::SenderSequences;
use crate::fleet::headroom::sequence::SequenceNumber;
use crate::fleet::owners::EngineGroup;
use crate::fleet::owners::OwnerTable;
use crate::names::ServiceName;
use crate::util::mix_bits;

/// The period that free capacity is counted for.
pub const OFFER_PERIOD: Duration = Duration::from_millis(200);

/// All free capacity is announced this often, so that receivers always have a valid announcement.
pub const REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// Shortest interval between two announcements of a group: if it has got free capacity or has none
/// left, or if some owner has none and may have used up its offer.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Announcements are used for this long.
pub const ANNOUNCEMENT_MAX_AGE: Duration = Duration::from_millis(500);

/// Timers that fire early by this much still count as on time.
const TIMER_SLACK: Duration = Duration::from_millis(20);

/// Owners to which a group is announced besides those without free capacity, so that the messages
/// for a group don't grow with the number of boxes.
const RECEIVERS_MAX: usize = 16;

/// The most requests that an announcement may offer: more than the slots of a group of engines with
/// small batches.
const REQUESTS_MAX: u16 = 4_096;

/// Free capacity of groups that the sender owns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadroomAnnouncement {
    /// Number of the announcement. Those made at once have the same number, since they concern
    /// different groups.
    pub sequence: SequenceNumber,
    pub groups: Vec<GroupHeadroom>,
}

/// Free capacity of the engines of one service in a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupHeadroom {
    pub group: EngineGroup,
    pub service: ServiceName,
    /// Requests that the receiver may send, and that could begin within [`OFFER_PERIOD`].
    pub requests: u16,
    /// Time until the first engine could begin another one, in milliseconds.
    pub wait_ms: u16,
}

/// Free capacity of one of this box's own groups, before it is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests that could begin within [`OFFER_PERIOD`].
    pub requests: u16,
    /// Time until the first engine could begin another one.
    pub wait: Duration,
}

/// Why an announcement is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidAnnouncement {
    /// There is no such group by this box's table.
    NoSuchGroup,
    /// The sender doesn't own the group by this box's table.
    NotOwner,
    /// No group has that much free capacity.
    TooMany,
    /// A later announcement of the group has arrived, or this one has arrived before.
    Older,
}

impl InvalidAnnouncement {
    /// The reason as a word for logs.
    pub fn code(self) -> &'static str {
        match self {
            InvalidAnnouncement::NoSuchGroup => "no-such-group",
            InvalidAnnouncement::NotOwner => "not-owner",
            InvalidAnnouncement::TooMany => "too-many",
            InvalidAnnouncement::Older => "older",
        }
    }
}

/// The last announcement of a group for a service.
#[derive(Clone, Copy, Debug)]
struct Announced {
    owner: IpAddr,
    at: Duration,
    /// What the announcement offered to this box.
    offered: u16,
    /// What is left of that.
    unclaimed: u16,
    /// Time until the first engine can begin another one.
    wait: Duration,
    /// Position in [`ServiceHeadroom::open`]; `None` if nothing is left.
    position: Option<usize>,
}

impl Announced {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.at) < ANNOUNCEMENT_MAX_AGE
    }
}

#[derive(Debug, Default)]
struct ServiceHeadroom {
    groups: FxHashMap<EngineGroup, Announced>,
    /// Groups of which something is unclaimed, in any order.
    open: Vec<EngineGroup>,
}

/// What other owners, and this box, have announced to this box.
#[derive(Debug, Default)]
pub struct HeadroomTable {
    services: FxHashMap<ServiceName, ServiceHeadroom>,
    /// The order of the announcements of each sender.
    sequences: SenderSequences,
    /// When each of this box's groups last couldn't place a request of a workspace within its
    /// share, by service.
    short_at: FxHashMap<ServiceName, FxHashMap<EngineGroup, Duration>>,
}

/// Which groups may be drawn.
#[derive(Clone, Copy, Debug)]
pub struct Draw<'a> {
    pub service: &'a str,
    /// The group that can't place the request.
    pub avoided: EngineGroup,
    /// The group that probably has more of the prompt cached than others.
    pub preferred: Option<EngineGroup>,
    /// The longest wait that an announcement may name.
    pub wait_max: Duration,
    /// Whether to leave half of each offer to others.
    pub leaves_half: bool,
}

impl HeadroomTable {
    /// Replaces what was announced of a group before, unless that is newer.
    pub fn apply(
        &mut self,
        announced: &GroupHeadroom,
        origin: Origin,
        owners: &OwnerTable,
        now: Duration,
    ) -> Result<(), InvalidAnnouncement> {
        let GroupHeadroom { group, ref service, requests, wait_ms } = *announced;
        let group_owners = owners.owners_of(group).filter(|_| owners.has_group(group));
        let group_owners = group_owners.ok_or(InvalidAnnouncement::NoSuchGroup)?;
        if group_owners.owner != origin.from {
            return Err(InvalidAnnouncement::NotOwner);
        }
        if REQUESTS_MAX < requests {
            return Err(InvalidAnnouncement::TooMany);
        }
        self.sequences.advance(origin, group, service, now)?;
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServiceHeadroom::default());
        }
        let Some(headroom) = self.services.get_mut(service) else { return Ok(()) };
        let position = headroom.groups.get(&group).and_then(|a| a.position);
        let entry = Announced {
            owner: origin.from,
            at: now,
            offered: requests,
            unclaimed: requests,
            wait: Duration::from_millis(wait_ms.into()),
            position,
        };
        headroom.groups.insert(group, entry);
        headroom.set_unclaimed(group, requests);
        Ok(())
    }

    /// Drops announcements of boxes that no longer own the group, and old ones.
    pub fn expire(&mut self, owners: &OwnerTable, now: Duration) {
        for headroom in self.services.values_mut() {
            let is_owner = |group: EngineGroup, ip: IpAddr| {
                owners.has_group(group) && owners.owners_of(group).is_some_and(|o| o.owner == ip)
            };
            headroom.groups.retain(|group, a| a.is_fresh(now) && is_owner(*group, a.owner));
            headroom.open.retain(|group| headroom.groups.contains_key(group));
            for (n, group) in headroom.open.iter().enumerate() {
                headroom.groups.entry(*group).and_modify(|a| a.position = Some(n));
            }
        }
        self.services.retain(|_, headroom| !headroom.groups.is_empty());
        self.sequences.expire(now);
        self.short_at.retain(|_, groups| {
            groups.retain(|_, at| now.saturating_sub(*at) < OFFER_PERIOD);
            !groups.is_empty()
        });
    }

    /// Records that one of this box's groups couldn't place a request of a service.
    pub fn mark_short(&mut self, group: EngineGroup, service: &str, now: Duration) {
        if let Some(groups) = self.short_at.get_mut(service) {
            groups.insert(group, now);
            return;
        }
        let groups = FxHashMap::from_iter([(group, now)]);
        self.short_at.insert(ServiceName::from(service), groups);
    }

    /// Whether a group could recently not place a request of a service. It is announced as being
    /// without free capacity, since what it has is for its own requests.
    fn is_short(&self, group: EngineGroup, service: &str, now: Duration) -> bool {
        let at = self.short_at.get(service).and_then(|groups| groups.get(&group));
        at.is_some_and(|at| now.saturating_sub(*at) < OFFER_PERIOD)
    }

    /// Whether any announcement of a service is known.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Whether any other group of a service has something left for this box.
    pub fn has_room(&self, service: &str, avoided: EngineGroup) -> bool {
        let open = self.services.get(service).map_or(&[][..], |headroom| &headroom.open);
        open.iter().any(|group| *group != avoided)
    }

    /// Owners that have announced a group of a service without free capacity.
    pub fn owners_without_room(&self, service: &str, now: Duration) -> BTreeSet<IpAddr> {
        let announced = self.services.get(service).into_iter().flat_map(|h| h.groups.values());
        announced.filter(|a| a.offered == 0 && a.is_fresh(now)).map(|a| a.owner).collect()
    }

    /// Claims one request of a group with free capacity: of the preferred one or, if that has none,
    /// of the better one of two drawn at random. `is_usable` is false for groups whose owner can't
    /// be asked.
    pub fn claim(
        &mut self,
        draw: Draw<'_>,
        is_usable: impl Fn(EngineGroup, IpAddr) -> bool,
        rng: &mut impl Rng,
        now: Duration,
    ) -> Option<EngineGroup> {
        let headroom = self.services.get_mut(draw.service)?;
        let may_claim = |group: EngineGroup, a: &Announced| {
            let reserved = if draw.leaves_half { a.offered / 2 } else { 0 };
            group != draw.avoided
                && reserved < a.unclaimed
                && a.wait <= draw.wait_max
                && is_usable(group, a.owner)
        };
        let is_claimable = |headroom: &ServiceHeadroom, group: EngineGroup| {
            headroom.groups.get(&group).is_some_and(|a| a.is_fresh(now) && may_claim(group, a))
        };
        let chosen = match draw.preferred.filter(|group| is_claimable(headroom, *group)) {
            Some(group) => group,
            None => headroom.better_of_two(may_claim, rng, now)?,
        };
        let unclaimed = headroom.groups.get(&chosen)?.unclaimed;
        headroom.set_unclaimed(chosen, unclaimed.saturating_sub(1));
        Some(chosen)
    }
}

impl ServiceHeadroom {
    /// Draws two groups that may be used, and returns the one with more left. Old announcements
    /// that are drawn are dropped; of those that may not be used, only a few are passed over, so
    /// that the cost doesn't depend on the number of groups.
    fn better_of_two(
        &mut self,
        may_claim: impl Fn(EngineGroup, &Announced) -> bool,
        rng: &mut impl Rng,
        now: Duration,
    ) -> Option<EngineGroup> {
        const PASSED_OVER_MAX: usize = 8;
        let mut drawn: [Option<(u16, EngineGroup)>; 2] = [None; 2];
        let (mut count, mut passed_over) = (0, 0);
        while count < drawn.len() && passed_over < PASSED_OVER_MAX && !self.open.is_empty() {
            let group = self.open[rng.random_range(0..self.open.len())];
            let Some(announced) = self.groups.get(&group) else { break };
            if !announced.is_fresh(now) {
                self.set_unclaimed(group, 0);
            } else if may_claim(group, announced) {
                drawn[count] = Some((announced.unclaimed, group));
                count += 1;
            } else {
                passed_over += 1;
            }
        }
        drawn.into_iter().flatten().max().map(|(_, group)| group)
    }

    /// Sets what is left of a group's offer, and keeps `open` in step.
    fn set_unclaimed(&mut self, group: EngineGroup, unclaimed: u16) {
        let Some(announced) = self.groups.get_mut(&group) else { return };
        announced.unclaimed = unclaimed;
        match (announced.position, unclaimed) {
            (None, 1..) => {
                announced.position = Some(self.open.len());
                self.open.push(group);
            }
            (Some(position), 0) => {
                announced.position = None;
                self.open.swap_remove(position);
                if let Some(moved) = self.open.get(position) {
                    self.groups.entry(*moved).and_modify(|a| a.position = Some(position));
                }
            }
            _ => {}
        }
    }
}

/// The last announcement of one of this box's own groups.
#[derive(Clone, Debug)]
struct Announcement {
    capacity: Capacity,
    /// The owners without free capacity at that time, which share the offer.
    without_room: BTreeSet<IpAddr>,
    /// When it was sent to all receivers.
    at: Duration,
    /// When it was sent at all.
    renewed_at: Duration,
}

/// Which receivers an announcement is due for.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Due {
    All,
    /// Owners without free capacity, since they may have used up their offers, and these, which had
    /// none before and have larger offers than others.
    WithoutRoom(BTreeSet<IpAddr>),
}

/// Decides when the free capacity of this box's own groups is announced.
#[derive(Debug, Default)]
pub struct Announcer {
    last: FxHashMap<(EngineGroup, ServiceName), Announcement>,
    /// Number of the last announcements.
    sequence: SequenceNumber,
}

impl Announcer {
    /// Numbers announcements from the start of the process on.
    pub fn new(started: Duration) -> Announcer {
        Announcer { last: FxHashMap::default(), sequence: SequenceNumber::at_start(started) }
    }

    /// Whether to announce `capacity` now. `without_room` are the owners of the service without free
    /// capacity.
    ///
    /// Amounts that merely change aren't announced: owners with free capacity are offered little,
    /// and the others often.
    fn due(
        &mut self,
        group: EngineGroup,
        service: &ServiceName,
        capacity: Capacity,
        without_room: &BTreeSet<IpAddr>,
        now: Duration,
    ) -> Option<Due> {
        let age = |at| now.saturating_sub(at) + TIMER_SLACK;
        let due = |last: &Announcement| {
            let has_room = capacity.requests != 0;
            let is_transition = has_room != (last.capacity.requests != 0);
            if REFRESH_INTERVAL <= age(last.at)
                || (is_transition && URGENT_INTERVAL <= age(last.renewed_at))
            {
                return Some(Due::All);
            }
            let is_wanted = has_room && !without_room.is_empty();
            let is_renewed = is_wanted && URGENT_INTERVAL <= age(last.renewed_at);
            is_renewed.then(|| Due::WithoutRoom(last.without_room.clone()))
        };
        let key = (group, service.clone());
        let last = self.last.get(&key);
        let due = last.map_or(Some(Due::All), due)?;
        let at = last.filter(|_| due != Due::All).map_or(now, |last| last.at);
        let without_room = without_room.clone();
        self.last.insert(key, Announcement { capacity, without_room, at, renewed_at: now });
        Some(due)
    }

    /// Number of the last announcements that were due.
    pub fn sequence(&self) -> SequenceNumber {
        self.sequence
    }

    /// Forgets the groups that this box no longer owns.
    pub fn retain(&mut self, is_own: impl Fn(EngineGroup) -> bool) {
        self.last.retain(|(group, _), _| is_own(*group));
    }
}

/// What is announced to one receiver.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    pub receiver: IpAddr,
    pub entries: Vec<GroupHeadroom>,
}

/// The announcements that are due, by receiver. This box may be one of them. Each call numbers them
/// anew ([`Announcer::sequence`]).
pub fn offers(
    table: &HeadroomTable,
    announcer: &mut Announcer,
    capacities: &[(EngineGroup, ServiceName, Capacity)],
    owners: &OwnerTable,
    now: Duration,
) -> Vec<Offer> {
    let mut without_room: FxHashMap<&ServiceName, BTreeSet<IpAddr>> = FxHashMap::default();
    let mut entries: BTreeMap<IpAddr, Vec<GroupHeadroom>> = BTreeMap::new();
    for (group, service, capacity) in capacities {
        let requests = if table.is_short(*group, service, now) { 0 } else { capacity.requests };
        let capacity = Capacity { requests, ..*capacity };
        let without_room =
            without_room.entry(service).or_insert_with(|| table.owners_without_room(service, now));
        let Some(due) = announcer.due(*group, service, capacity, without_room, now) else {
            continue;
        };
        let receivers = match due {
            Due::All => receivers(*group, owners),
            Due::WithoutRoom(before) => before,
        };
        let wait_ms = u16::try_from(capacity.wait.as_millis()).unwrap_or(u16::MAX);
        for receiver in without_room.union(&receivers) {
            let has_room = !without_room.contains(receiver);
            let requests = offer(requests, receivers.len(), without_room.len(), has_room);
            let (group, service) = (*group, service.clone());
            let entry = GroupHeadroom { group, service, requests, wait_ms };
            entries.entry(*receiver).or_default().push(entry);
        }
    }
    announcer.sequence = announcer.sequence.next();
    entries.into_iter().map(|(receiver, entries)| Offer { receiver, entries }).collect()
}

/// The owners to which a group is announced in any case: all of them or, of many, as many as make
/// two choices nearly as good.
fn receivers(group: EngineGroup, owners: &OwnerTable) -> BTreeSet<IpAddr> {
    let all = owners.owner_boxes();
    if all.len() <= RECEIVERS_MAX {
        return all;
    }
    let start = mix_bits(*group.hash_range().end()) % all.len() as u64;
    all.iter().cycle().skip(start as usize).take(RECEIVERS_MAX).copied().collect()
}

/// The part of a group's free capacity that one receiver is offered. Owners without free capacity
/// share all of it; the others are offered one request each, for what comes before the next
/// announcement. The sum exceeds `requests` by at most one for each receiver.
pub fn offer(requests: u16, receivers: usize, without_room: usize, has_room: bool) -> u16 {
    if requests == 0 {
        return 0;
    }
    let requests = usize::from(requests);
    let offer = match (without_room, has_room) {
        (0, _) => requests / receivers.max(1) + 1,
        (without_room, false) => requests.div_ceil(without_room),
        (_, true) => 1,
    };
    u16::try_from(offer).unwrap_or(u16::MAX).min(REQUESTS_MAX)
}

/// What a typical request of a service takes, by those that this box has placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalRequest {
    prefill_s: f64,
    memory_tokens: f64,
}

/// Weight of the newest request in the averages.
const TYPICAL_WEIGHT: f64 = 0.02;

impl TypicalRequest {
    /// Adds a request that takes `prefill_s` seconds of an engine's time for prefill.
    pub fn add(
        known: Option<TypicalRequest>,
        prefill_s: f64,
        memory_tokens: u64,
    ) -> TypicalRequest {
        let memory_tokens = memory_tokens as f64;
        let Some(known) = known else { return TypicalRequest { prefill_s, memory_tokens } };
        let mean = |known: f64, new: f64| known + (new - known) * TYPICAL_WEIGHT;
        TypicalRequest {
            prefill_s: mean(known.prefill_s, prefill_s),
            memory_tokens: mean(known.memory_tokens, memory_tokens),
        }
    }

    /// Requests that an engine could begin within [`OFFER_PERIOD`], if it has to wait first and
    /// may then spend `prefill_share` of its time on prefill. One that need not wait can begin one
    /// at least.
    pub fn count_in_interval(self, wait: Duration, prefill_share: f64) -> f64 {
        let seconds = OFFER_PERIOD.saturating_sub(wait).as_secs_f64() * prefill_share;
        let count = seconds / self.prefill_s.max(f64::MIN_POSITIVE);
        if wait.is_zero() { count.max(1.0) } else { count }
    }

    /// Requests for which this much memory is enough.
    pub fn count_in_memory(self, tokens: u64) -> f64 {
        tokens as f64 / self.memory_tokens.max(1.0)
    }
}
