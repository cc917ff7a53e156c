//! Announces the free capacity of this box's groups of engines to the other owners, and sends
//! requests that can't begin at once to groups that have some.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;
use slog::debug;
use tokio::sync::Notify;

use crate::fleet::headroom;
use crate::fleet::headroom::Announcer;
use crate::fleet::headroom::Capacity;
use crate::fleet::headroom::HeadroomAnnouncement;
use crate::fleet::headroom::HeadroomTable;
use crate::fleet::headroom::InvalidAnnouncement;
use crate::fleet::headroom::TypicalRequest;
use crate::fleet::headroom::sequence::Origin;
use crate::fleet::headroom::sequence::SEQUENCE_INTERVAL;
use crate::fleet::owners::EngineGroup;
use crate::fleet::owners::OwnerTable;
use crate::names::ServiceName;
use crate::placement::admit::PlacementQuery;
use crate::placement::admit::Purpose;
use crate::placement::choice::Choice;
use crate::placement::redirect::Alternatives;
use crate::placement::speed::Work;
use crate::placement::tuning::SmallBatch;
use crate::placement::waiting::Admission;
use crate::proxy::aligned_timer;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::placement_queue::Recipient;

/// Interval at which this box checks whether its groups have got free capacity, or have none left.
const POLL_INTERVAL: Duration = SEQUENCE_INTERVAL;

/// Entries per message, so that it fits a datagram.
const ENTRIES_PER_DATAGRAM_MAX: usize = 16;

/// Free capacity that owners have announced to each other.
#[derive(Debug)]
pub struct HeadroomState {
    /// Whether the settings switch it on.
    is_configured: bool,
    /// Whether there are engines that it is for.
    is_enabled: AtomicBool,
    enabled: Notify,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    table: HeadroomTable,
    announcer: Announcer,
    /// What a request of each service takes, by those placed here.
    typical: FxHashMap<ServiceName, TypicalRequest>,
    rng: SmallRng,
}

impl HeadroomState {
    /// `started` is the time since the epoch at which this process started.
    pub fn new(small_batch: SmallBatch, started: Duration) -> HeadroomState {
        let inner = Inner {
            table: HeadroomTable::default(),
            announcer: Announcer::new(started),
            typical: FxHashMap::default(),
            rng: SmallRng::from_os_rng(),
        };
        HeadroomState {
            is_configured: small_batch.headroom,
            is_enabled: AtomicBool::new(false),
            enabled: Notify::new(),
            inner: Mutex::new(inner),
        }
    }

    /// Whether owners announce free capacity: it is switched on, and there are engines with small
    /// batches.
    pub fn is_enabled(&self) -> bool {
        self.is_enabled.load(Ordering::Relaxed)
    }

    /// Records whether there are engines whose owners announce free capacity.
    pub fn set_enabled(&self, is_enabled: bool) {
        let was_enabled = self.is_enabled.swap(is_enabled, Ordering::Relaxed);
        if is_enabled && !was_enabled {
            self.enabled.notify_one();
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic under lock")
    }
}

/// Places or queues a request in its group by the state known to this box, or names another group
/// that has announced free capacity.
pub fn admit(hub: &Hub, query: PlacementQuery<'_>, recipient: Recipient) -> Admission<Recipient> {
    let state = hub.headroom();
    if !state.is_enabled() || query.purpose == Purpose::Lookup {
        return hub.admit_or_queue(query, recipient, |_, _| None);
    }
    let (owners, now) = (hub.peers().owners(), hub.now());
    let is_unresponsive = |ip| hub.owner_requests().is_unresponsive(ip, now);
    let admission = hub.admit_or_queue(query, recipient, |registry, obstacle| {
        if !registry.has_headroom_of(query.service) {
            return None;
        }
        let Inner { table, rng, .. } = &mut *state.lock();
        let mut alternatives = Alternatives {
            headroom: table,
            owners: &owners,
            is_unresponsive: &is_unresponsive,
            rng,
        };
        alternatives.claim(registry, &query, obstacle, now)
    });
    match &admission {
        Admission::Decided(Ok(choice), _) => record_placed(hub, &query, choice),
        Admission::Decided(Err(denial), _) if denial.alternative.is_some() => {
            hub.metrics().redirect("claimed")
        }
        Admission::Decided(Err(_), _) | Admission::Queued { .. } => {}
    }
    admission
}

/// Counts a step of a request that is sent to a named group.
pub fn record_step(hub: &Hub, named: Option<EngineGroup>, step: &'static str) {
    if named.is_some() {
        hub.metrics().redirect(step);
    }
}

/// Updates what a typical request of the service takes, if its groups announce free capacity.
fn record_placed(hub: &Hub, query: &PlacementQuery<'_>, choice: &Choice) {
    let state = hub.headroom();
    if !state.lock().table.has_service(query.service) {
        return;
    }
    let prompt = query.prompt;
    let work =
        Work::prefill(prompt.tokens.saturating_sub(choice.prefill_tokens), choice.prefill_tokens);
    let seconds = hub.read(|view| view.registry().speed(query.service).prefill_seconds(work));
    let tokens = u64::from(prompt.tokens) + u64::from(prompt.output_tokens_max);
    let typical = &mut state.lock().typical;
    let updated = TypicalRequest::add(typical.get(query.service).copied(), seconds, tokens);
    match typical.get_mut(query.service) {
        Some(known) => *known = updated,
        None => _ = typical.insert(ServiceName::from(query.service), updated),
    }
}

/// Applies announcements of another owner.
pub fn receive(hub: &Hub, announcement: &HeadroomAnnouncement, from: IpAddr) {
    let state = hub.headroom();
    if !state.is_enabled() {
        return;
    }
    let (owners, now) = (hub.peers().owners(), hub.now());
    let &HeadroomAnnouncement { sequence, ref groups } = announcement;
    let origin = Origin { from, sequence };
    let mut inner = state.lock();
    let (mut ignored, mut older) = (0, 0);
    for announced in groups {
        if let Err(e) = inner.table.apply(announced, origin, &owners, now) {
            match e {
                InvalidAnnouncement::Older => older += 1,
                _ => ignored += 1,
            }
            debug!(hub.log(), "announcement of free capacity ignored"; "from" => %from,
                "group" => %announced.group, "requests" => announced.requests,
                "reason" => e.code());
        }
    }
    drop(inner);
    hub.metrics().headroom_announcements("received", groups.len());
    hub.metrics().headroom_announcements("ignored", ignored);
    hub.metrics().headroom_announcements("older", older);
}

/// Announces the free capacity of this box's groups to all owners until the process ends.
pub async fn announce(hub: Arc<Hub>) {
    let state = hub.headroom();
    if !state.is_configured {
        return;
    }
    loop {
        while !state.is_enabled() {
            state.enabled.notified().await;
        }
        aligned_timer::wait_for_tick(POLL_INTERVAL).await;
        let owners = hub.peers().owners();
        if !owners.is_empty() {
            announce_due(&hub, &owners);
        }
    }
}

fn announce_due(hub: &Hub, owners: &OwnerTable) {
    let (own_ip, now) = (hub.peers().own_ip(), hub.now());
    let groups = owners.groups_of(own_ip).filter(|(_, group)| group.owner == own_ip);
    let groups: Vec<EngineGroup> = groups.map(|(group, _)| group).collect();
    let typical = hub.headroom().lock().typical.clone();
    let typical = |service: &ServiceName| typical.get(service).copied();
    let capacities: Vec<(EngineGroup, ServiceName, Capacity)> = hub.read(|view| {
        let of_group = |group: &EngineGroup| {
            let of_group = view.registry().headroom(*group, typical, now);
            let group = *group;
            of_group.into_iter().map(move |(service, capacity)| (group, service, capacity))
        };
        groups.iter().flat_map(of_group).collect()
    });
    let mut inner = hub.headroom().lock();
    let Inner { table, announcer, .. } = &mut *inner;
    table.expire(owners, now);
    announcer.retain(|group| groups.contains(&group));
    let offers = headroom::offers(table, announcer, &capacities, owners, now);
    let sequence = announcer.sequence();
    let origin = Origin { from: own_ip, sequence };
    for offer in offers.iter().filter(|offer| offer.receiver == own_ip) {
        // By this box's own table, so it can't be invalid.
        let _ = offer.entries.iter().try_for_each(|e| table.apply(e, origin, owners, now));
    }
    drop(inner);
    for offer in offers.iter().filter(|offer| offer.receiver != own_ip) {
        for entries in offer.entries.chunks(ENTRIES_PER_DATAGRAM_MAX) {
            let to = std::iter::once(offer.receiver);
            let groups = entries.to_vec();
            let announcement = HeadroomAnnouncement { sequence, groups };
            hub.peers().send_batched(to, &Message::Headroom(announcement));
            hub.metrics().headroom_announcements("sent", entries.len());
        }
    }
}
