//! Requests for engines, placed by whoever keeps the models of the engines in question: this box, or
//! the owner of a group of engines, which is asked by a datagram.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rustc_hash::FxHashMap;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::owners::EngineGroup;
use crate::fleet::owners::GroupOwners;
use crate::fleet::owners::OwnerTable;
use crate::fleet::rollout::VersionFilter;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::admit::Denial;
use crate::placement::admit::PlacementQuery;
use crate::placement::admit::Purpose;
use crate::placement::choice::Choice;
use crate::placement::choice::ChoiceError;
use crate::placement::choice::CopySource;
use crate::placement::cold::Role;
use crate::placement::upstream;
use crate::proxy::dialect::Prompt;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::message::PlacementRequest;
use crate::proxy::message::PlacementResponse;
use crate::proxy::message::ShareUsage;
use crate::proxy::notices;
use crate::proxy::pace;

/// How long an owner's answer is waited for: some round trips within a region, and the pauses of a
/// box that is busy but well.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// A timer that is late by more than this says that this box stood still; the answer may be there.
const STOOD_STILL: Duration = Duration::from_millis(10);

/// A box that gave no answer isn't asked again for this long: as long as the others need to notice
/// that it is gone, a request in so many is what finding out costs.
const SUSPECT_FOR: Duration = Duration::from_millis(1000);

/// Groups of engines asked for one request: with its own and another one, twenty engines.
const GROUPS_MAX: usize = 2;

/// Time between what owners tell each other of shares: a twentieth of the usual window.
const USED_EVERY: Duration = Duration::from_millis(200);

/// Sums of workspaces told at a time, so that they fit a datagram.
const USED_MAX: usize = 24;

/// Upstreams named in a question as out of the question, so that it fits a datagram.
pub const EXCEPT_MAX: usize = 40;

/// What whoever keeps the models decides.
pub type Decision = Result<Choice, Denial>;

/// A decision and who made it.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided {
    /// Where the request goes, or why it isn't placed.
    pub decision: Decision,
    /// The box that decided.
    pub by: IpAddr,
    /// By what right.
    pub role: Role,
    /// Names the send, as the decision does.
    pub request: u64,
}

impl Decided {
    /// Whether no upstream is known that may get the request.
    pub fn is_without_upstream(&self) -> bool {
        self.decision.as_ref().is_err_and(|denied| denied.cause == ChoiceError::NoUpstream)
    }

    fn is_kept_elsewhere(&self) -> bool {
        self.decision.as_ref().is_err_and(|denied| denied.cause == ChoiceError::NotCached)
    }
}

/// What this box has asked others.
#[derive(Debug, Default)]
pub struct Asking {
    waiting: Mutex<FxHashMap<u64, oneshot::Sender<Decision>>>,
    /// Boxes that gave no answer, and until when they aren't asked.
    suspects: Mutex<FxHashMap<IpAddr, Duration>>,
}

impl Asking {
    fn expect(&self, request: u64) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.waiting.lock().expect("no panic under lock").insert(request, tx);
        rx
    }

    fn take(&self, request: u64) -> Option<oneshot::Sender<Decision>> {
        self.waiting.lock().expect("no panic under lock").remove(&request)
    }

    /// Notes that a box gave no answer, or is behind.
    pub fn suspect(&self, ip: IpAddr, now: Duration) {
        let mut suspects = self.suspects.lock().expect("no panic under lock");
        suspects.retain(|_, until| now < *until);
        suspects.insert(ip, now + SUSPECT_FOR);
    }

    /// Whether a box is left alone for now.
    pub fn is_suspect(&self, ip: IpAddr, now: Duration) -> bool {
        let suspects = self.suspects.lock().expect("no panic under lock");
        suspects.get(&ip).is_some_and(|until| now < *until)
    }
}

/// Forgets a question when whoever asked it is gone.
struct Pending<'a> {
    asking: &'a Asking,
    request: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.asking.take(self.request);
    }
}

/// Places a request, or says why it isn't placed.
pub async fn place(hub: &Arc<Hub>, query: PlacementQuery<'_>) -> Decided {
    let owners = hub.peers().owners();
    if owners.is_empty() {
        return place_for_all(hub, query);
    }
    let mut query = query;
    let mut denied = None;
    for n in 1..=GROUPS_MAX {
        let home =
            hub.read(|v| v.fleet().home(query.service, query.prompt, query.side, query.group));
        let Some(group) = home.map(|hash| owners.group(hash)) else { break };
        query.group = Some(group);
        query.is_last_group = n == GROUPS_MAX;
        let Some(owned) = owners.owners_of(group) else { break };
        let Some(decided) = place_or_copy(hub, query, &owners, group, owned).await else { break };
        query.purpose = Purpose::Place;
        match &decided.decision {
            Err(denial) if denial.may_try_other_groups => {
                query.source = denial.source.or(query.source)
            }
            _ => return decided,
        }
        denied = Some(decided);
    }
    denied.unwrap_or_else(|| place_alone(hub, PlacementQuery { group: None, ..query }))
}

/// Has a request placed in a group of engines. Where none of them keeps what others share, it is looked
/// for in another group first.
async fn place_or_copy(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    owners: &OwnerTable,
    group: EngineGroup,
    owned: GroupOwners,
) -> Option<Decided> {
    let decided = place_in(hub, query, group, owned).await?;
    if !decided.is_kept_elsewhere() {
        return Some(decided);
    }
    let source = look(hub, query, owners, group).await;
    place_in(hub, PlacementQuery { source, purpose: Purpose::Place, ..query }, group, owned).await
}

/// Places a request by what this box believes, and tells all others.
fn place_for_all(hub: &Hub, query: PlacementQuery<'_>) -> Decided {
    let role = Role::Peer { boxes: hub.peers().known_count(), draw: hub.peers().own_draw("") };
    let decision =
        hub.admit(PlacementQuery { is_last_group: true, purpose: Purpose::Place, role, ..query });
    match &decision {
        Ok(choice) => hub.peers().broadcast(&told(&query, choice)),
        Err(_) => {
            if let Some(workspace) = query.workspace.cloned() {
                let tokens = query.prompt.charge();
                hub.peers().broadcast(&Message::Refused { workspace, tokens });
            }
        }
    }
    Decided { decision, by: hub.peers().own_ip(), role, request: query.request }
}

/// Places a request though nobody who keeps the models answers: by what little this box knows.
fn place_alone(hub: &Hub, query: PlacementQuery<'_>) -> Decided {
    let role = Role::Unassigned;
    let decision =
        hub.admit(PlacementQuery { is_last_group: true, purpose: Purpose::Place, role, ..query });
    if let Ok(choice) = &decision {
        // The count is told by the way of shares.
        tell_keepers(
            hub,
            &choice.upstream,
            &told(&PlacementQuery { workspace: None, ..query }, choice),
        );
    }
    Decided { decision, by: hub.peers().own_ip(), role, request: query.request }
}

/// Has a request placed in a group of engines; nothing if nobody who keeps its models answers.
async fn place_in(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    group: EngineGroup,
    owned: GroupOwners,
) -> Option<Decided> {
    for ip in owned.boxes() {
        let role = owned.role(ip);
        if ip == hub.peers().own_ip() {
            let decision = hub.admit(PlacementQuery { role, ..query });
            if let Ok(choice) = &decision {
                tell_other_keeper(hub, &query, choice, owned);
            }
            return Some(Decided { decision, by: ip, role, request: query.request });
        }
        if hub.asking().is_suspect(ip, hub.now()) {
            continue;
        }
        let request = asked_as(query.request, ip);
        let question =
            Message::PlacementRequest(question(hub, &PlacementQuery { request, ..query }, group));
        match ask(hub, ip, request, &question).await {
            Some(Ok(choice)) if is_behind(hub, ip, &choice, query.side) => {
                notices::resend(hub, &choice.upstream, ip);
            }
            // The backoff began while the owner was asked.
            Some(Ok(choice)) if hub.is_backing_off(&choice.upstream) => {
                withdraw(hub, request, owned.boxes());
                continue;
            }
            Some(decision) => return Some(Decided { decision, by: ip, role, request }),
            None => info!(hub.log(), "no answer of an owner"; "ip" => %ip, "group" => %group),
        }
        withdraw(hub, request, owned.boxes());
        hub.asking().suspect(ip, hub.now());
    }
    None
}

/// The name of a send at a box that is asked to place it: what it decides may come too late, and another box may
/// have decided by then.
pub fn asked_as(request: u64, ip: IpAddr) -> u64 {
    xxh3_64_with_seed(ip.to_string().as_bytes(), request)
}

/// Takes a request back from boxes that may have placed it.
pub fn withdraw(hub: &Hub, request: u64, from: impl Iterator<Item = IpAddr>) {
    hub.withdraw(request);
    hub.peers().send_batched(from, &Message::Withdrawn { request });
}

/// Finds an engine outside of a group that keeps some of a prompt: the one to which it belonged before
/// an engine of the group came, or one that leaves.
async fn look(
    hub: &Arc<Hub>,
    query: PlacementQuery<'_>,
    owners: &OwnerTable,
    group: EngineGroup,
) -> Option<CopySource> {
    let home = hub.read(|v| {
        v.fleet().home_including_leaving(query.service, query.prompt, query.side, group)
    })?;
    let elsewhere = owners.group(home);
    let query = PlacementQuery { group: Some(elsewhere), purpose: Purpose::Lookup, ..query };
    let looked = place_in(hub, query, elsewhere, owners.owners_of(elsewhere)?).await?;
    looked.decision.err()?.source
}

fn question(hub: &Hub, query: &PlacementQuery<'_>, group: EngineGroup) -> PlacementRequest {
    PlacementRequest {
        request: query.request,
        group,
        service: ServiceName::from(query.service),
        prompt: query.prompt.into(),
        workspace: query.workspace.cloned(),
        zone: hub.peers().zone().clone(),
        excluded: except_in(query, group),
        side: query.side,
        aim_ms: millis(query.target_latency),
        waited_ms: millis(query.waited),
        source: query.source,
        purpose: query.purpose,
        is_last_group: query.is_last_group,
    }
}

/// The upstreams of a group that are out of the question.
fn except_in(query: &PlacementQuery<'_>, group: EngineGroup) -> Vec<UpstreamName> {
    let of_group = query.excluded.iter().filter(|name| group.contains(upstream::name_hash(name)));
    of_group.take(EXCEPT_MAX).cloned().collect()
}

/// A time as boxes tell it.
pub fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

/// Whether an owner that was cut off or stood still has chosen an upstream that must get nothing.
pub fn is_behind(hub: &Hub, ip: IpAddr, choice: &Choice, side: VersionFilter) -> bool {
    let is_behind = hub.read(|view| {
        view.is_barred(&choice.upstream) || !view.fleet().allows_side(&choice.upstream, side)
    });
    if is_behind {
        let upstream = choice.upstream.as_str();
        info!(hub.log(), "an owner is behind"; "ip" => %ip, "upstream" => upstream);
    }
    is_behind
}

/// Asks another box to place a request; nothing if it doesn't answer in time.
pub async fn ask(hub: &Hub, ip: IpAddr, request: u64, question: &Message) -> Option<Decision> {
    let asking = hub.asking();
    let mut answer = asking.expect(request);
    let _pending = Pending { asking, request };
    hub.peers().send_now(ip, question);
    let due = Instant::now() + ANSWER_TIMEOUT;
    if let Ok(answer) = tokio::time::timeout_at(due, &mut answer).await {
        return answer.ok();
    }
    if due.elapsed() < STOOD_STILL {
        return None;
    }
    tokio::time::timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
}

/// Places a request that another box asks for.
pub fn answer(hub: &Hub, ask: &PlacementRequest, from: IpAddr) {
    let prompt = Prompt::from(&ask.prompt);
    let owned = hub.peers().owners().owners_of(ask.group);
    let query = PlacementQuery {
        request: ask.request,
        service: &ask.service,
        prompt: &prompt,
        workspace: ask.workspace.as_ref(),
        excluded: &ask.excluded,
        side: ask.side,
        target_latency: Duration::from_millis(ask.aim_ms.into()),
        waited: Duration::from_millis(ask.waited_ms.into()),
        group: Some(ask.group),
        zone: Some(&ask.zone),
        sender: Some(from),
        source: ask.source,
        purpose: ask.purpose,
        is_last_group: ask.is_last_group,
        role: owned.map_or(Role::Unassigned, |owned| owned.role(hub.peers().own_ip())),
    };
    let result = hub.admit(query);
    let request = ask.request;
    if let Ok(choice) = &result
        && let Some(owned) = owned
    {
        tell_other_keeper(hub, &query, choice, owned);
    }
    hub.peers().send_now(from, &Message::PlacementResponse(PlacementResponse { request, result }));
}

/// Takes in an owner's answer. Where nobody waits for it any more, the request isn't sent.
pub fn answered(hub: &Hub, answer: PlacementResponse, from: IpAddr) {
    let PlacementResponse { request, result } = answer;
    let upstream = result.as_ref().ok().map(|choice| choice.upstream.clone());
    let waiting = hub.asking().take(request);
    if waiting.is_some_and(|tx| tx.send(result).is_ok()) {
        return;
    }
    let owned = upstream.and_then(|u| hub.peers().owners().owners_of_hash(upstream::name_hash(&u)));
    let standby = owned.into_iter().flat_map(GroupOwners::boxes).filter(|ip| *ip != from);
    withdraw(hub, request, standby.chain([from]));
}

/// The other one of a group's owner and standby hears of what is placed, without the workspace: sums
/// of these are told by the way of shares.
fn tell_other_keeper(hub: &Hub, query: &PlacementQuery<'_>, choice: &Choice, owned: GroupOwners) {
    let message = told(&PlacementQuery { workspace: None, ..*query }, choice);
    hub.peers().send_batched(owned.boxes(), &message);
}

fn told(query: &PlacementQuery<'_>, choice: &Choice) -> Message {
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

/// Tells the other owners what workspaces use at this one, until the process ends: shares are judged
/// by what the whole fleet serves.
pub async fn tell_shares(hub: Arc<Hub>) {
    loop {
        pace::wait(USED_EVERY).await;
        let own = hub.shares(|shares| shares.take_local());
        let owners = hub.peers().owners();
        if owners.is_empty() || own.is_empty() {
            continue;
        }
        let used: Vec<ShareUsage> =
            own.into_iter().map(|(workspace, tokens)| ShareUsage { workspace, tokens }).collect();
        for used in used.chunks(USED_MAX) {
            hub.peers().send_batched(
                owners.all_boxes().iter().copied(),
                &Message::ShareUsage(used.to_vec()),
            );
        }
    }
}

/// Whether this box keeps the model of an engine; each does in a small fleet.
pub fn keeps(hub: &Hub, name: &UpstreamName) -> bool {
    let owned = hub.peers().owners().owners_of_hash(upstream::name_hash(name));
    owned.is_none_or(|owned| owned.boxes().any(|ip| ip == hub.peers().own_ip()))
}

/// Tells those who keep the model of an engine; all boxes in a small fleet.
pub fn tell_keepers(hub: &Hub, name: &UpstreamName, message: &Message) {
    let owners = hub.peers().owners();
    if owners.is_empty() {
        hub.peers().broadcast(message);
        return;
    }
    if let Some(owned) = owners.owners_of_hash(upstream::name_hash(name)) {
        hub.peers().send_batched(owned.boxes(), message);
    }
}
