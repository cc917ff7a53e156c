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

use crate::fleet::owners::Group;
use crate::fleet::owners::Owned;
use crate::fleet::owners::Owners;
use crate::fleet::rollout::Side;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::placement::admit::Denial;
use crate::placement::admit::Purpose;
use crate::placement::admit::Wish;
use crate::placement::choice::Choice;
use crate::placement::choice::NoChoice;
use crate::placement::choice::Source;
use crate::placement::cold::Role;
use crate::placement::upstream;
use crate::proxy::adapter::Prompt;
use crate::proxy::aligned_timer;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::message::PlacementRequest;
use crate::proxy::message::PlacementResponse;
use crate::proxy::message::ShareUsage;
use crate::proxy::notices;

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
pub type PlacementResult = Result<Choice, Denial>;

/// A decision and who made it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementDecision {
    /// Where the request goes, or why it isn't placed.
    pub result: PlacementResult,
    /// The box that decided.
    pub decided_by: IpAddr,
    /// By what right.
    pub role: Role,
    /// Names the send, as the decision does.
    pub request: u64,
}

impl PlacementDecision {
    /// Whether no upstream is known that may get the request.
    pub fn is_without_upstream(&self) -> bool {
        self.result.as_ref().is_err_and(|denied| denied.cause == NoChoice::NoUpstream)
    }

    fn is_kept_elsewhere(&self) -> bool {
        self.result.as_ref().is_err_and(|denied| denied.cause == NoChoice::NotKept)
    }
}

/// What this box has asked others.
#[derive(Debug, Default)]
pub struct OwnerRequests {
    waiting: Mutex<FxHashMap<u64, oneshot::Sender<PlacementResult>>>,
    /// Boxes that gave no answer, and until when they aren't asked.
    suspects: Mutex<FxHashMap<IpAddr, Duration>>,
}

impl OwnerRequests {
    fn expect(&self, request: u64) -> oneshot::Receiver<PlacementResult> {
        let (tx, rx) = oneshot::channel();
        self.waiting.lock().expect("no panic under lock").insert(request, tx);
        rx
    }

    fn take(&self, request: u64) -> Option<oneshot::Sender<PlacementResult>> {
        self.waiting.lock().expect("no panic under lock").remove(&request)
    }

    /// Notes that a box gave no answer, or is behind.
    pub fn mark_unresponsive(&self, ip: IpAddr, now: Duration) {
        let mut suspects = self.suspects.lock().expect("no panic under lock");
        suspects.retain(|_, until| now < *until);
        suspects.insert(ip, now + SUSPECT_FOR);
    }

    /// Whether a box is left alone for now.
    pub fn is_unresponsive(&self, ip: IpAddr, now: Duration) -> bool {
        let suspects = self.suspects.lock().expect("no panic under lock");
        suspects.get(&ip).is_some_and(|until| now < *until)
    }
}

/// Forgets a question when whoever asked it is gone.
struct Pending<'a> {
    asking: &'a OwnerRequests,
    request: u64,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.asking.take(self.request);
    }
}

/// Places a request, or says why it isn't placed.
pub async fn place(hub: &Arc<Hub>, wish: Wish<'_>) -> PlacementDecision {
    let owners = hub.peers().owners();
    if owners.is_none() {
        return place_for_all(hub, wish);
    }
    let mut wish = wish;
    let mut denied = None;
    for n in 1..=GROUPS_MAX {
        let home = hub.read(|v| v.fleet().home(wish.service, wish.prompt, wish.side, wish.group));
        let Some(group) = home.map(|hash| owners.group(hash)) else { break };
        wish.group = Some(group);
        wish.is_last = n == GROUPS_MAX;
        let Some(owned) = owners.of(group) else { break };
        let Some(decided) = place_or_copy(hub, wish, &owners, group, owned).await else { break };
        wish.purpose = Purpose::Place;
        match &decided.result {
            Err(denial) if denial.may_go_on => wish.source = denial.source.or(wish.source),
            _ => return decided,
        }
        denied = Some(decided);
    }
    denied.unwrap_or_else(|| place_alone(hub, Wish { group: None, ..wish }))
}

/// Has a request placed in a group of engines. Where none of them keeps what others share, it is looked
/// for in another group first.
async fn place_or_copy(
    hub: &Arc<Hub>,
    wish: Wish<'_>,
    owners: &Owners,
    group: Group,
    owned: Owned,
) -> Option<PlacementDecision> {
    let decided = place_in(hub, wish, group, owned).await?;
    if !decided.is_kept_elsewhere() {
        return Some(decided);
    }
    let source = look(hub, wish, owners, group).await;
    place_in(hub, Wish { source, purpose: Purpose::Place, ..wish }, group, owned).await
}

/// Places a request by what this box believes, and tells all others.
fn place_for_all(hub: &Hub, wish: Wish<'_>) -> PlacementDecision {
    let role = Role::Peer { boxes: hub.peers().known(), draw: hub.peers().own_draw("") };
    let decision = hub.admit(Wish { is_last: true, purpose: Purpose::Place, role, ..wish });
    match &decision {
        Ok(choice) => hub.peers().tell(&told(&wish, choice)),
        Err(_) => {
            if let Some(workspace) = wish.workspace.cloned() {
                let tokens = wish.prompt.charge();
                hub.peers().tell(&Message::Refused { workspace, tokens });
            }
        }
    }
    PlacementDecision {
        result: decision,
        decided_by: hub.peers().me(),
        role,
        request: wish.request,
    }
}

/// Places a request though nobody who keeps the models answers: by what little this box knows.
fn place_alone(hub: &Hub, wish: Wish<'_>) -> PlacementDecision {
    let role = Role::Stranger;
    let decision = hub.admit(Wish { is_last: true, purpose: Purpose::Place, role, ..wish });
    if let Ok(choice) = &decision {
        // The count is told by the way of shares.
        notify_keepers(hub, &choice.upstream, &told(&Wish { workspace: None, ..wish }, choice));
    }
    PlacementDecision {
        result: decision,
        decided_by: hub.peers().me(),
        role,
        request: wish.request,
    }
}

/// Has a request placed in a group of engines; nothing if nobody who keeps its models answers.
async fn place_in(
    hub: &Arc<Hub>,
    wish: Wish<'_>,
    group: Group,
    owned: Owned,
) -> Option<PlacementDecision> {
    for ip in owned.keepers() {
        let role = owned.role(ip);
        if ip == hub.peers().me() {
            let decision = hub.admit(Wish { role, ..wish });
            if let Ok(choice) = &decision {
                tell_other_keeper(hub, &wish, choice, owned);
            }
            return Some(PlacementDecision {
                result: decision,
                decided_by: ip,
                role,
                request: wish.request,
            });
        }
        if hub.owner_requests().is_unresponsive(ip, hub.now()) {
            continue;
        }
        let request = request_id_at(wish.request, ip);
        let question = Message::PlacementRequest(question(hub, &Wish { request, ..wish }, group));
        match request_decision(hub, ip, request, &question).await {
            Some(Ok(choice)) if is_behind(hub, ip, &choice, wish.side) => {
                notices::resend(hub, &choice.upstream, ip);
            }
            // The backoff began while the owner was asked.
            Some(Ok(choice)) if hub.is_backing_off(&choice.upstream) => {
                withdraw(hub, request, owned.keepers());
                continue;
            }
            Some(decision) => {
                return Some(PlacementDecision { result: decision, decided_by: ip, role, request });
            }
            None => info!(hub.log(), "no answer of an owner"; "ip" => %ip, "group" => %group),
        }
        withdraw(hub, request, owned.keepers());
        hub.owner_requests().mark_unresponsive(ip, hub.now());
    }
    None
}

/// The name of a send at a box that is asked to place it: what it decides may come too late, and another box may
/// have decided by then.
pub fn request_id_at(request: u64, ip: IpAddr) -> u64 {
    xxh3_64_with_seed(ip.to_string().as_bytes(), request)
}

/// Takes a request back from boxes that may have placed it.
pub fn withdraw(hub: &Hub, request: u64, from: impl Iterator<Item = IpAddr>) {
    hub.withdraw(request);
    hub.peers().tell_some(from, &Message::Withdrawn { request });
}

/// Finds an engine outside of a group that keeps some of a prompt: the one to which it belonged before
/// an engine of the group came, or one that leaves.
async fn look(hub: &Arc<Hub>, wish: Wish<'_>, owners: &Owners, group: Group) -> Option<Source> {
    let home =
        hub.read(|v| v.fleet().home_elsewhere(wish.service, wish.prompt, wish.side, group))?;
    let elsewhere = owners.group(home);
    let wish = Wish { group: Some(elsewhere), purpose: Purpose::Look, ..wish };
    let looked = place_in(hub, wish, elsewhere, owners.of(elsewhere)?).await?;
    looked.result.err()?.source
}

fn question(hub: &Hub, wish: &Wish<'_>, group: Group) -> PlacementRequest {
    PlacementRequest {
        request: wish.request,
        group,
        service: ServiceName::from(wish.service),
        prompt: wish.prompt.into(),
        workspace: wish.workspace.cloned(),
        zone: hub.peers().zone().clone(),
        except: except_in(wish, group),
        side: wish.side,
        aim_ms: millis(wish.aim),
        waited_ms: millis(wish.waited),
        source: wish.source,
        purpose: wish.purpose,
        is_last: wish.is_last,
    }
}

/// The upstreams of a group that are out of the question.
fn except_in(wish: &Wish<'_>, group: Group) -> Vec<UpstreamName> {
    let of_group = wish.except.iter().filter(|name| group.has(upstream::hash(name)));
    of_group.take(EXCEPT_MAX).cloned().collect()
}

/// A time as boxes tell it.
pub fn millis(d: Duration) -> u32 {
    u32::try_from(d.as_millis()).unwrap_or(u32::MAX)
}

/// Whether an owner that was cut off or stood still has chosen an upstream that must get nothing.
pub fn is_behind(hub: &Hub, ip: IpAddr, choice: &Choice, side: Side) -> bool {
    let is_behind = hub.read(|view| {
        view.is_barred(&choice.upstream) || !view.fleet().may_get(&choice.upstream, side)
    });
    if is_behind {
        let upstream = choice.upstream.as_str();
        info!(hub.log(), "an owner is behind"; "ip" => %ip, "upstream" => upstream);
    }
    is_behind
}

/// Asks another box to place a request; nothing if it doesn't answer in time.
pub async fn request_decision(
    hub: &Hub,
    ip: IpAddr,
    request: u64,
    question: &Message,
) -> Option<PlacementResult> {
    let asking = hub.owner_requests();
    let mut answer = asking.expect(request);
    let _pending = Pending { asking, request };
    hub.peers().tell_now(ip, question);
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
pub fn handle_request(hub: &Hub, ask: &PlacementRequest, from: IpAddr) {
    let prompt = Prompt::from(&ask.prompt);
    let owned = hub.peers().owners().of(ask.group);
    let wish = Wish {
        request: ask.request,
        service: &ask.service,
        prompt: &prompt,
        workspace: ask.workspace.as_ref(),
        except: &ask.except,
        side: ask.side,
        aim: Duration::from_millis(ask.aim_ms.into()),
        waited: Duration::from_millis(ask.waited_ms.into()),
        group: Some(ask.group),
        zone: Some(&ask.zone),
        sender: Some(from),
        source: ask.source,
        purpose: ask.purpose,
        is_last: ask.is_last,
        role: owned.map_or(Role::Stranger, |owned| owned.role(hub.peers().me())),
    };
    let result = hub.admit(wish);
    let request = ask.request;
    if let Ok(choice) = &result
        && let Some(owned) = owned
    {
        tell_other_keeper(hub, &wish, choice, owned);
    }
    hub.peers().tell_now(from, &Message::PlacementResponse(PlacementResponse { request, result }));
}

/// Takes in an owner's answer. Where nobody waits for it any more, the request isn't sent.
pub fn handle_response(hub: &Hub, answer: PlacementResponse, from: IpAddr) {
    let PlacementResponse { request, result } = answer;
    let upstream = result.as_ref().ok().map(|choice| choice.upstream.clone());
    let waiting = hub.owner_requests().take(request);
    if waiting.is_some_and(|tx| tx.send(result).is_ok()) {
        return;
    }
    let owned = upstream.and_then(|u| hub.peers().owners().of_hash(upstream::hash(&u)));
    let standby = owned.into_iter().flat_map(Owned::keepers).filter(|ip| *ip != from);
    withdraw(hub, request, standby.chain([from]));
}

/// The other one of a group's owner and standby hears of what is placed, without the workspace: sums
/// of these are told by the way of shares.
fn tell_other_keeper(hub: &Hub, wish: &Wish<'_>, choice: &Choice, owned: Owned) {
    let message = told(&Wish { workspace: None, ..*wish }, choice);
    hub.peers().tell_some(owned.keepers(), &message);
}

fn told(wish: &Wish<'_>, choice: &Choice) -> Message {
    let Choice { unread, copied, .. } = *choice;
    Message::Placed {
        upstream: choice.upstream.clone(),
        request: wish.request,
        prompt: wish.prompt.into(),
        unread,
        copied,
        workspace: wish.workspace.cloned(),
        sender: wish.sender,
    }
}

/// Tells the other owners what workspaces use at this one, until the process ends: shares are judged
/// by what the whole fleet serves.
pub async fn report_share_usage(hub: Arc<Hub>) {
    loop {
        aligned_timer::wait_for_tick(USED_EVERY).await;
        let own = hub.shares(|shares| shares.take_own());
        let owners = hub.peers().owners();
        if owners.is_none() || own.is_empty() {
            continue;
        }
        let used: Vec<ShareUsage> =
            own.into_iter().map(|(workspace, tokens)| ShareUsage { workspace, tokens }).collect();
        for used in used.chunks(USED_MAX) {
            hub.peers()
                .tell_some(owners.keepers().iter().copied(), &Message::ShareUsage(used.to_vec()));
        }
    }
}

/// Whether this box keeps the model of an engine; each does in a small fleet.
pub fn keeps_model(hub: &Hub, name: &UpstreamName) -> bool {
    let owned = hub.peers().owners().of_hash(upstream::hash(name));
    owned.is_none_or(|owned| owned.keepers().any(|ip| ip == hub.peers().me()))
}

/// Tells those who keep the model of an engine; all boxes in a small fleet.
pub fn notify_keepers(hub: &Hub, name: &UpstreamName, message: &Message) {
    let owners = hub.peers().owners();
    if owners.is_none() {
        hub.peers().tell(message);
        return;
    }
    if let Some(owned) = owners.of_hash(upstream::hash(name)) {
        hub.peers().tell_some(owned.keepers(), message);
    }
}
