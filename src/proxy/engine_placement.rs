//! Places requests for engines. The decision is made by the box that tracks the engines' state:
//! this box, or the owner of a group of engines, which is asked by a datagram.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rustc_hash::FxHashMap;
use slog::debug;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::owners::EngineGroup;
use crate::fleet::owners::GroupOwners;
use crate::fleet::owners::OwnerTable;
use crate::fleet::rollout::VersionFilter;
use crate::fleet::stream_versions::VersionId;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::admit::Denial;
use crate::placement::admit::PlacementQuery;
use crate::placement::admit::Purpose;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::CopySource;
use crate::placement::cold::Role;
use crate::placement::connected;
use crate::placement::decision_ids::DecisionIds;
use crate::placement::redirect;
use crate::placement::redirect::Asked;
use crate::placement::redirect::Attempts;
use crate::placement::upstream;
use crate::proxy::adapter::Prompt;
use crate::proxy::aligned_timer;
use crate::proxy::headroom;
use crate::proxy::hub::Hub;
use crate::proxy::in_progress;
use crate::proxy::message::Message;
use crate::proxy::message::PlacementRequest;
use crate::proxy::message::PlacementResponse;
use crate::proxy::message::ShareUsage;
use crate::proxy::notices;
use crate::proxy::placement_queue;
use crate::proxy::placement_queue::NoDecision;
use crate::proxy::placement_queue::OwnerDecision;

/// How long to wait for an owner's response: several round trips within a region, plus the pauses
/// of a healthy box under load.
const OWNER_RESPONSE_TIMEOUT: Duration = Duration::from_millis(40);

/// A timer that fires late by this much shows that this process was stalled; the response may
/// already have arrived.
const STALL_THRESHOLD: Duration = Duration::from_millis(10);

/// A box that did not respond isn't asked again for this long, the time in which the other boxes
/// detect that a box is dead. Finding out whether it responds again delays one request per
/// interval.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(1000);

/// Interval at which owners report share usage to each other: a twentieth of the default window.
const SHARE_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Usage entries per message, so that it fits a datagram.
const USAGES_PER_DATAGRAM_MAX: usize = 24;

/// Excluded upstreams listed in a placement request, so that it fits a datagram.
pub const EXCLUDED_MAX: usize = 40;

/// Where a request is placed, or why it isn't.
pub type PlacementResult = Result<Choice, Denial>;

/// A placement result and the box that decided it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementDecision {
    /// Where the request is placed, or why it isn't.
    pub result: PlacementResult,
    /// The box that decided.
    pub decided_by: IpAddr,
    /// That box's role for the engines.
    pub role: Role,
    /// Identifies the decision at the boxes that have recorded it.
    pub request: u64,
    /// The boxes that have recorded it, if it is placed. In a small fleet all have, and this is
    /// empty.
    pub recorded_by: Vec<IpAddr>,
    /// How long the request was in the queue of that box.
    pub queued: Duration,
    /// The last group with free capacity that was named and asked.
    pub alternative: Option<EngineGroup>,
}

impl PlacementDecision {
    /// Whether there is no known upstream that may serve the request.
    pub fn has_no_upstream(&self) -> bool {
        self.result.as_ref().is_err_and(|denial| denial.cause == ChoiceError::NoUpstream)
    }

    fn may_be_cached_elsewhere(&self) -> bool {
        self.result.as_ref().is_err_and(|denial| denial.cause == ChoiceError::NotCached)
    }
}

/// An owner's response: its decision, and the other boxes that have recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnerResponse {
    pub result: PlacementResult,
    pub recorded_by: Vec<IpAddr>,
}

/// Placement requests of this box that await the response of an owner.
#[derive(Debug, Default)]
pub struct OwnerRequests {
    pending: Mutex<FxHashMap<u64, PendingRequest>>,
    /// Boxes that did not respond, and until when they aren't asked.
    unresponsive: Mutex<FxHashMap<IpAddr, Duration>>,
}

/// A placement request that awaits the response of an owner.
#[derive(Debug)]
struct PendingRequest {
    /// `None` once the response has been delivered.
    tx: Option<oneshot::Sender<OwnerResponse>>,
    /// When the owner reported that it has queued the request, and within which time it decides.
    queued: Option<(Instant, Duration)>,
}

impl OwnerRequests {
    /// Registers a request that is sent to an owner.
    pub fn register(&self, request: u64) -> oneshot::Receiver<OwnerResponse> {
        let (tx, rx) = oneshot::channel();
        let pending = PendingRequest { tx: Some(tx), queued: None };
        self.pending.lock().expect("no panic under lock").insert(request, pending);
        rx
    }

    /// Delivers the response to the task that awaits it. Returns whether there is one.
    pub fn deliver(&self, request: u64, response: OwnerResponse) -> bool {
        let mut pending = self.pending.lock().expect("no panic under lock");
        let tx = pending.get_mut(&request).and_then(|pending| pending.tx.take());
        tx.is_some_and(|tx| tx.send(response).is_ok())
    }

    /// Records that the owner has queued a request, and decides within this time. Returns whether a
    /// task still awaits the decision.
    pub fn set_queued(&self, request: u64, within: Duration) -> bool {
        let mut pending = self.pending.lock().expect("no panic under lock");
        let Some(pending) = pending.get_mut(&request) else { return false };
        pending.queued.get_or_insert((Instant::now(), within));
        true
    }

    /// When the owner reported that it has queued the request, and within which time it decides.
    pub fn queued(&self, request: u64) -> Option<(Instant, Duration)> {
        self.pending.lock().expect("no panic under lock").get(&request)?.queued
    }

    /// Forgets a request. Returns whether it was still undecided.
    pub fn forget(&self, request: u64) -> bool {
        let pending = self.pending.lock().expect("no panic under lock").remove(&request);
        pending.is_some_and(|pending| pending.tx.is_some())
    }

    /// Records that a box did not respond, or decided from stale state.
    pub fn mark_unresponsive(&self, ip: IpAddr, now: Duration) {
        let mut unresponsive = self.unresponsive.lock().expect("no panic under lock");
        unresponsive.retain(|_, until| now < *until);
        unresponsive.insert(ip, now + UNRESPONSIVE_FOR);
    }

    /// Whether a box isn't asked for now.
    pub fn is_unresponsive(&self, ip: IpAddr, now: Duration) -> bool {
        let unresponsive = self.unresponsive.lock().expect("no panic under lock");
        unresponsive.get(&ip).is_some_and(|until| now < *until)
    }
}

/// Places a request, or says why it isn't placed. Decisions after the first one get their ids from
/// `ids`.
pub async fn place(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    ids: &mut DecisionIds,
) -> PlacementDecision {
    let owners = hub.peers().owners();
    if owners.is_empty() {
        return place_and_broadcast(hub, query);
    }
    let began = hub.now();
    let target_latency = query.target_latency;
    let waited = query.waited;
    let has_headroom = hub.headroom().is_enabled()
        && hub.read(|view| view.registry().has_headroom_of(query.service));
    let passed = || waited + hub.now().saturating_sub(began);
    let attempts = Attempts { count: 0, last: None, passed: waited, target_latency, has_headroom };
    let mut query = query;
    let (mut asked, mut returns_to_first) = (Vec::new(), false);
    let mut denied: Option<PlacementDecision> = None;
    let mut next = redirect::next_group(attempts);
    while let Some(step) = next {
        let by_hash = || {
            hub.read(|v| {
                redirect::group_by_hash(v.registry(), &owners, &query, &asked, returns_to_first)
            })
        };
        let Some(group) = step.named.or_else(by_hash) else { break };
        let Some(group_owners) = owners.owners_of(group) else { break };
        query.group = Some(group);
        query.purpose = step.purpose(query.purpose);
        query.is_last_group = step.is_last();
        asked.push(group);
        headroom::record_step(hub, step.named, "asked");
        let decision = place_with_copy_source(hub, query, ids, &owners, group, group_owners).await;
        query.request = ids.next_id();
        let Some(decision) = decision else {
            let last = Some(Asked::NoResponse(step));
            let attempts = Attempts { count: asked.len(), last, passed: passed(), ..attempts };
            next = redirect::next_group(attempts);
            continue;
        };
        let alternative = step.named.or(denied.and_then(|d| d.alternative));
        let decision = PlacementDecision { alternative, ..decision };
        query.purpose = Purpose::Place;
        let denial = match &decision.result {
            Ok(_) => {
                headroom::record_step(hub, step.named, "placed");
                return decision;
            }
            Err(denial) => denial,
        };
        if denial.may_try_other_groups {
            query.source = denial.source.or(query.source);
        }
        returns_to_first = returns_to_first || redirect::was_acceptable(denial);
        let last = Some(Asked::Denied(denial));
        let attempts = Attempts { count: asked.len(), last, passed: passed(), ..attempts };
        next = redirect::next_group(attempts);
        denied = Some(decision);
    }
    denied.unwrap_or_else(|| place_without_owner(hub, PlacementQuery { group: None, ..query }))
}

/// Places a request in a group of engines. If none of them has cached the shared part of the
/// prompt, looks for an engine in another group to copy it from, and tries again.
async fn place_with_copy_source(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    ids: &mut DecisionIds,
    owners: &OwnerTable,
    group: EngineGroup,
    group_owners: GroupOwners,
) -> Option<PlacementDecision> {
    let decision = place_in_group(hub, query, group, group_owners).await?;
    if !decision.may_be_cached_elsewhere() {
        return Some(decision);
    }
    let lookup = PlacementQuery { request: ids.next_id(), ..query };
    let source = find_copy_source(hub, lookup, owners, group).await;
    let (request, purpose) = (ids.next_id(), Purpose::Place);
    let query = PlacementQuery { request, source, purpose, ..query };
    place_in_group(hub, query, group, group_owners).await
}

/// Places a request by this box's own state, and broadcasts the result. Used in small fleets.
fn place_and_broadcast(hub: &Hub, query: PlacementQuery<'_>) -> PlacementDecision {
    let role = Role::Peer { boxes: hub.peers().known_count(), draw: hub.peers().own_draw("") };
    let connected = hub.connected(query.service, None, !query.is_repeatable);
    let query = PlacementQuery { connected: &connected, ..query };
    let result =
        hub.admit(PlacementQuery { is_last_group: true, purpose: Purpose::Place, role, ..query });
    match &result {
        Ok(choice) => hub.peers().broadcast(&placed_message(&query, choice)),
        Err(_) => {
            if let Some(workspace) = query.workspace.cloned() {
                let tokens = query.prompt.charge();
                hub.peers().broadcast(&Message::Refused { workspace, tokens });
            }
        }
    }
    let (decided_by, request) = (hub.peers().own_ip(), query.request);
    let (recorded_by, queued) = (Vec::new(), Duration::ZERO);
    PlacementDecision { result, decided_by, role, request, recorded_by, queued, alternative: None }
}

/// Places a request by the incomplete state of this box, when neither owner nor standby responds or
/// can be asked.
fn place_without_owner(hub: &Hub, query: PlacementQuery<'_>) -> PlacementDecision {
    let role = Role::Unassigned;
    let result =
        hub.admit(PlacementQuery { is_last_group: true, purpose: Purpose::Place, role, ..query });
    let mut recorded_by = Vec::new();
    if let Ok(choice) = &result {
        let owners = hub.peers().owners().owners_of_hash(upstream::name_hash(&choice.upstream));
        // Without the workspace: its usage is sent by `report_share_usage`.
        let message = placed_message(&PlacementQuery { workspace: None, ..query }, choice);
        if notify_owners(hub, &choice.upstream, &message) {
            recorded_by.extend(owners.into_iter().flat_map(GroupOwners::boxes));
        }
    }
    let (decided_by, request) = (hub.peers().own_ip(), query.request);
    let queued = Duration::ZERO;
    PlacementDecision { result, decided_by, role, request, recorded_by, queued, alternative: None }
}

/// Has a request placed by the owner of a group of engines or its standby; `None` if neither
/// responds, or the request is too large to ask them.
async fn place_in_group(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    group: EngineGroup,
    group_owners: GroupOwners,
) -> Option<PlacementDecision> {
    let connected = hub.connected(query.service, Some(group), !query.is_repeatable);
    let query = PlacementQuery { connected: &connected, ..query };
    let began = hub.now();
    for ip in group_owners.boxes() {
        // The first box may have queued the request for a while.
        let waited = query.waited + hub.now().saturating_sub(began);
        let query = PlacementQuery { waited, ..query };
        let role = group_owners.role(ip);
        if ip == hub.peers().own_ip() {
            let query = PlacementQuery { role, ..query };
            let (response, queued) = placement_queue::admit_here(hub, query, group_owners).await;
            let OwnerResponse { result, recorded_by } = response;
            return Some(PlacementDecision {
                result,
                decided_by: ip,
                role,
                request: query.request,
                recorded_by,
                queued,
                alternative: None,
            });
        }
        if hub.owner_requests().is_unresponsive(ip, hub.now()) {
            continue;
        }
        let request = request_id_at(query.request, ip);
        let message = Message::PlacementRequest(placement_request(
            hub,
            &PlacementQuery { request, ..query },
            group,
        ));
        match request_decision(hub, ip, request, &message).await {
            Ok(OwnerDecision { result: Ok(choice), recorded_by, .. })
                if is_stale_choice(hub, ip, &choice, query.version_filter) =>
            {
                notices::resend(hub, &choice.upstream, ip);
                withdraw(hub, request, recorded_by.into_iter());
            }
            // The backoff began while this box waited for the owner.
            Ok(OwnerDecision { result: Ok(choice), recorded_by, .. })
                if hub.is_backing_off(&choice.upstream) =>
            {
                withdraw(hub, request, group_owners.boxes().chain(recorded_by));
                continue;
            }
            Ok(OwnerDecision { result, queued, recorded_by }) => {
                let recorded_by = [ip].into_iter().chain(recorded_by).collect();
                return Some(PlacementDecision {
                    result,
                    decided_by: ip,
                    role,
                    request,
                    recorded_by,
                    queued,
                    alternative: None,
                });
            }
            // It has answered that it would decide; the decision may have been lost.
            Err(NoDecision::Undecided) => {
                info!(hub.log(), "owner did not decide"; "ip" => %ip, "group" => %group);
                withdraw(hub, request, group_owners.boxes());
                continue;
            }
            // The same for the next box, unless that is this one.
            Err(NoDecision::NotAsked) => continue,
            Err(NoDecision::Unresponsive) => {
                info!(hub.log(), "owner did not respond"; "ip" => %ip, "group" => %group)
            }
        }
        withdraw(hub, request, group_owners.boxes());
        hub.owner_requests().mark_unresponsive(ip, hub.now());
    }
    None
}

/// The id of a decision at the box that is asked for it. Each box gets its own id, since its
/// decision may arrive too late, after another box has decided.
pub fn request_id_at(request: u64, ip: IpAddr) -> u64 {
    xxh3_64_with_seed(ip.to_string().as_bytes(), request)
}

/// Cancels a placement here and at the boxes that may have recorded it.
pub fn withdraw(hub: &Hub, request: u64, from: impl Iterator<Item = IpAddr>) {
    hub.withdraw(request);
    let (from, now): (Vec<IpAddr>, _) = (from.collect(), hub.now());
    hub.own_requests(|own| own.touch(from.iter().copied(), now));
    hub.peers().send_batched(from.into_iter(), &Message::Withdrawn { request });
}

/// Finds an engine outside of a group that has cached some of a prompt: the prompt's home engine
/// before an engine of the group was added, or one that is leaving.
async fn find_copy_source(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    owners: &OwnerTable,
    group: EngineGroup,
) -> Option<CopySource> {
    let home = hub.read(|v| {
        v.registry().home_including_leaving(
            query.service,
            query.prompt,
            query.version_filter,
            group,
        )
    })?;
    let other_group = owners.group(home);
    let query = PlacementQuery { group: Some(other_group), purpose: Purpose::Lookup, ..query };
    let lookup = place_in_group(hub, query, other_group, owners.owners_of(other_group)?).await?;
    lookup.result.err()?.source
}

fn placement_request(
    hub: &Hub,
    query: &PlacementQuery<'_>,
    group: EngineGroup,
) -> PlacementRequest {
    PlacementRequest {
        request: query.request,
        group,
        service: ServiceName::from(query.service),
        prompt: query.prompt.into(),
        workspace: query.workspace.cloned(),
        rank: query.rank,
        zone: hub.peers().zone().clone(),
        excluded: excluded_in(hub, query, group),
        version_filter: sent_version_filter(hub, query.service, query.version_filter),
        latency_target_ms: duration_ms(query.target_latency),
        waited_ms: duration_ms(query.waited),
        source: query.source,
        purpose: query.purpose,
        is_last_group: query.is_last_group,
        is_repeatable: query.is_repeatable,
        connected: query.connected.to_vec(),
    }
}

/// The excluded upstreams that belong to a group, and those of other versions if one is required.
fn excluded_in(hub: &Hub, query: &PlacementQuery<'_>, group: EngineGroup) -> Vec<UpstreamName> {
    let in_group = query.excluded.iter().filter(|name| group.contains(upstream::name_hash(name)));
    let others = of_other_versions(hub, query.service, Some(group), query.version_filter);
    in_group.cloned().chain(others).take(EXCLUDED_MAX).collect()
}

/// The upstreams of a service that don't have the required version; none if no single one is
/// required.
pub fn of_other_versions(
    hub: &Hub,
    service: &str,
    group: Option<EngineGroup>,
    version_filter: VersionFilter,
) -> Vec<UpstreamName> {
    let VersionFilter::Only(version) = version_filter else { return Vec::new() };
    hub.read(|view| view.registry().of_other_versions(service, group, version).cloned().collect())
}

/// The filter that is sent to an owner. Boxes of an earlier build can't decode
/// [`VersionFilter::Only`]; the upstreams of other versions are excluded by name instead.
pub fn sent_version_filter(
    hub: &Hub,
    service: &str,
    version_filter: VersionFilter,
) -> VersionFilter {
    let VersionFilter::Only(version) = version_filter else { return version_filter };
    hub.read(|view| {
        let registry = view.registry();
        let mut versions = registry.versions(service);
        let required = versions.find(|name| VersionId::new(service, name) == version);
        required.map_or(VersionFilter::Any, |name| registry.version_filter_for(service, name))
    })
}

/// A duration in milliseconds, as messages between boxes carry it.
pub fn duration_ms(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

/// Whether an owner has chosen an upstream that must get no requests, because the owner was
/// partitioned or stalled and its state is stale.
pub fn is_stale_choice(
    hub: &Hub,
    ip: IpAddr,
    choice: &Choice,
    version_filter: VersionFilter,
) -> bool {
    let is_stale = hub.read(|view| {
        view.is_barred(&choice.upstream)
            || !view.registry().allows_version_filter(&choice.upstream, version_filter)
    });
    if is_stale {
        let upstream = choice.upstream.as_str();
        info!(hub.log(), "owner chose an upstream that must get no requests"; "ip" => %ip,
            "upstream" => upstream);
    }
    is_stale
}

/// Asks another box to place a request.
pub async fn request_decision(
    hub: &Hub,
    ip: IpAddr,
    request: u64,
    message: &Message,
) -> Result<OwnerDecision, NoDecision> {
    let requests = hub.owner_requests();
    let response = requests.register(request);
    if !hub.peers().send_now(ip, message) {
        requests.forget(request);
        return Err(NoDecision::NotAsked);
    }
    let withdraw = || _ = hub.peers().send_now(ip, &Message::Withdrawn { request });
    let (timeout, stall_threshold) = (OWNER_RESPONSE_TIMEOUT, STALL_THRESHOLD);
    placement_queue::await_decision(requests, request, response, timeout, stall_threshold, withdraw)
        .await
}

/// Places a request on behalf of another box, and responds to it.
pub fn handle_request(hub: &Hub, message: &PlacementRequest, from: IpAddr) {
    let prompt = Prompt::from(&message.prompt);
    let group_owners = hub.peers().owners().owners_of(message.group);
    let query = PlacementQuery {
        request: message.request,
        service: &message.service,
        prompt: &prompt,
        workspace: message.workspace.as_ref(),
        rank: message.rank,
        excluded: &message.excluded,
        version_filter: message.version_filter,
        target_latency: Duration::from_millis(message.latency_target_ms.into()),
        waited: Duration::from_millis(message.waited_ms.into()),
        group: Some(message.group),
        zone: Some(&message.zone),
        sender: Some(from),
        source: message.source,
        connected: valid_connected(hub, message, from),
        purpose: message.purpose,
        is_last_group: message.is_last_group,
        role: group_owners
            .map_or(Role::Unassigned, |group_owners| group_owners.role(hub.peers().own_ip())),
        is_repeatable: message.is_repeatable,
    };
    let Some(result) = placement_queue::admit_for_box(hub, query, from) else { return };
    let request = message.request;
    let recorded_by = match (&result, group_owners) {
        (Ok(choice), Some(group_owners)) => {
            notify_other_deciders(hub, &query, choice, group_owners)
        }
        _ => Vec::new(),
    };
    let response = PlacementResponse { request, result, recorded_by };
    hub.peers().send_now(from, &Message::PlacementResponse(response));
}

/// The engines that the asking box names as connected; none if there are too many.
fn valid_connected<'a>(hub: &Hub, message: &'a PlacementRequest, from: IpAddr) -> &'a [u16] {
    if connected::is_valid(&message.connected) {
        return &message.connected;
    }
    debug!(hub.log(), "list of connected engines ignored"; "ip" => %from,
        "count" => message.connected.len());
    hub.metrics().connected_ignored();
    &[]
}

/// Delivers an owner's response to the task that awaits it. If no task does any longer, the request
/// isn't sent, so its placement is cancelled.
pub fn handle_response(hub: &Hub, response: PlacementResponse, from: IpAddr) {
    let PlacementResponse { request, result, recorded_by } = response;
    let upstream = result.as_ref().ok().map(|choice| choice.upstream.clone());
    let others = recorded_by.clone();
    if hub.owner_requests().deliver(request, OwnerResponse { result, recorded_by }) {
        return;
    }
    // The same decision has arrived twice.
    let is_running = hub.own_requests(|own| own.upstream(request) == upstream.as_ref());
    if upstream.is_some() && is_running {
        return;
    }
    let group_owners =
        upstream.and_then(|u| hub.peers().owners().owners_of_hash(upstream::name_hash(&u)));
    let standby = group_owners.into_iter().flat_map(GroupOwners::boxes).filter(|ip| *ip != from);
    withdraw(hub, request, standby.chain([from]).chain(others));
}

/// Sends a placement to the other one of a group's owner and standby, and to boxes that also place
/// requests there. Returns these boxes; none if the prompt exceeds a datagram, so that the sender
/// sends them a record without it. The workspace is left out: its usage is sent by
/// [`report_share_usage`].
pub fn notify_other_deciders(
    hub: &Hub,
    query: &PlacementQuery<'_>,
    choice: &Choice,
    group_owners: GroupOwners,
) -> Vec<IpAddr> {
    let others =
        in_progress::other_deciders(hub, upstream::name_hash(&choice.upstream), group_owners);
    let message = placed_message(&PlacementQuery { workspace: None, ..*query }, choice);
    let is_sent = hub.peers().send_batched(others.iter().copied(), &message);
    if is_sent { others } else { Vec::new() }
}

fn placed_message(query: &PlacementQuery<'_>, choice: &Choice) -> Message {
    let Choice { prefill_tokens, copied_tokens, .. } = *choice;
    Message::Placed {
        upstream: choice.upstream.clone(),
        request: query.request,
        prompt: query.prompt.into(),
        prefill_tokens,
        copied_tokens,
        workspace: query.workspace.cloned(),
        sender: query.sender,
    }
}

/// Sends the usage of workspaces at this box to the other owners, until the process ends: shares
/// are enforced over the whole fleet.
pub async fn report_share_usage(hub: Arc<Hub>) {
    loop {
        aligned_timer::wait_for_tick(SHARE_REPORT_INTERVAL).await;
        let own = hub.shares(|shares| shares.take_local());
        let owners = hub.peers().owners();
        if owners.is_empty() || own.is_empty() {
            continue;
        }
        let used: Vec<ShareUsage> =
            own.into_iter().map(|(workspace, tokens)| ShareUsage { workspace, tokens }).collect();
        for used in used.chunks(USAGES_PER_DATAGRAM_MAX) {
            hub.peers().send_batched(
                owners.all_boxes().iter().copied(),
                &Message::ShareUsage(used.to_vec()),
            );
        }
    }
}

/// Whether this box tracks the state of an engine. In a small fleet, all boxes do.
pub fn tracks_engine(hub: &Hub, name: &UpstreamName) -> bool {
    let group_owners = hub.peers().owners().owners_of_hash(upstream::name_hash(name));
    group_owners
        .is_none_or(|group_owners| group_owners.boxes().any(|ip| ip == hub.peers().own_ip()))
}

/// Sends a message to the boxes that track the state of an engine. In a small fleet, all boxes do.
/// Returns false if owners don't get it because it exceeds a datagram.
pub fn notify_owners(hub: &Hub, name: &UpstreamName, message: &Message) -> bool {
    let owners = hub.peers().owners();
    if owners.is_empty() {
        hub.peers().broadcast(message);
        return true;
    }
    let group_owners = owners.owners_of_hash(upstream::name_hash(name));
    group_owners.is_none_or(|owners| hub.peers().send_batched(owners.boxes(), message))
}
