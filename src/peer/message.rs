//! The messages between the routers of a fleet.
//!
//! All of this is soft state: a message may be lost, duplicated or late. Names on the wire have one
//! letter, because control traffic is one of the figures by which the fleet is judged.

use serde::Deserialize;
use serde::Serialize;
use serde_tuple::Deserialize_tuple;
use serde_tuple::Serialize_tuple;
use xxhash_rust::xxh3::xxh3_64;

use crate::claims::ClaimOutcome;
use crate::claims::ClaimRequest;
use crate::config::Catalog;
use crate::dispatch::ledger::CounterEntry;
use crate::dispatch::ledger::ReplicaId;
use crate::names::BoxName;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;

/// Identifies one attempt to place a request; unique over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// Identifies one grant; unique over all dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// Priority class of a request, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Class {
    /// Goes before other work of its workspace, and before other workspaces within the pool's
    /// urgent lead.
    #[serde(rename = "u")]
    Urgent,
    #[default]
    #[serde(rename = "n")]
    Normal,
    /// May be delayed, but gets a minimum share of its workspace's service.
    #[serde(rename = "b")]
    Background,
}

/// A request waiting to be placed, as its router registers it with a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    #[serde(rename = "i")]
    pub id: TicketId,
    /// The router that holds the request; omitted on the wire if it is the sender.
    #[serde(rename = "r", default = "BoxName::none", skip_serializing_if = "BoxName::is_none")]
    pub router: BoxName,
    /// The workspace to charge.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The requested service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The pool that serves it; omitted on the wire, because the service determines it.
    #[serde(rename = "p", default = "PoolName::none", skip_serializing_if = "PoolName::is_none")]
    pub pool: PoolName,
    #[serde(rename = "c", default, skip_serializing_if = "is_normal")]
    pub class: Class,
    /// Milliseconds from now until the response is no longer wanted.
    #[serde(rename = "d")]
    pub deadline_ms: u64,
    /// Hash of the prompt's prefix; 0 if there is none.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub prefix: u64,
    /// Upstream to avoid, because the previous attempt failed there.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub avoid: Option<UpstreamName>,
    /// Whether another box has forwarded this already.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub forwarded: bool,
}

/// Permission for a router to run a ticket's request.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Grant {
    pub id: GrantId,
    pub ticket: TicketId,
    /// The upstream to send the request to.
    pub upstream: UpstreamName,
    /// Cost charged already, in the pool's unit.
    pub charged_cost: u64,
    /// The dispatcher to report to; `BoxName::none` on the wire if it is the sender.
    pub dispatcher: BoxName,
}

/// A digest of the grants in a range of ids: their number and a sum of their hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct GrantDigest {
    /// First id of the range.
    pub first: GrantId,
    /// Last id of the range.
    pub last: GrantId,
    /// Number of grants.
    pub count: u32,
    /// Sum of their hashes. Two sets of the same size collide once in four billion cases.
    pub sum: u32,
}

impl GrantDigest {
    /// The digest of those of `grants` that lie in the range.
    pub fn new(
        first: GrantId,
        last: GrantId,
        grants: impl Iterator<Item = GrantId>,
    ) -> GrantDigest {
        let mut digest = GrantDigest { first, last, count: 0, sum: 0 };
        for grant in grants {
            if digest.covers(grant) {
                digest.count += 1;
                digest.sum = digest.sum.wrapping_add(xxh3_64(&grant.0.to_le_bytes()) as u32);
            }
        }
        digest
    }

    /// Whether a grant's id lies in the range.
    pub fn covers(&self, grant: GrantId) -> bool {
        (self.first..=self.last).contains(&grant)
    }
}

/// How the request of a grant ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// It was answered in full.
    #[serde(rename = "o")]
    Answered,
    /// The caller left or the deadline passed; says nothing about the upstream.
    #[serde(rename = "c")]
    Cancelled,
    /// The upstream refused it, or cut or corrupted the response.
    #[serde(rename = "f")]
    Failed,
    /// The upstream refused it and asked for a backoff of this many milliseconds.
    #[serde(rename = "p")]
    Backoff(u32),
    /// The grant wasn't used.
    #[serde(rename = "n")]
    Unused,
}

/// Reports the end of a grant.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CompletionReport {
    pub pool: PoolName,
    pub grant: GrantId,
    /// Its exact cost, in the pool's unit.
    pub cost: u64,
    pub ending: Ending,
}

/// A grant in use, as reported to a dispatcher that may not know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningGrant {
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// The workspace to charge.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The requested service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The upstream where it runs.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Cost charged already.
    #[serde(rename = "e")]
    pub charged_cost: u64,
}

/// The latest heartbeat known of one box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct HeartbeatEntry {
    pub name: BoxName,
    /// Distinguishes the runs of the box.
    pub incarnation: u64,
    /// Raised by the box with every heartbeat.
    pub counter: u64,
    /// Whether the box is shutting down.
    pub leaving: bool,
}

/// Reports a dispatcher's state to the other dispatchers of the same pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatcherReport {
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The sender's availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The sender.
    #[serde(rename = "b")]
    pub dispatcher: BoxName,
    /// The sender's replica of the counters.
    #[serde(rename = "c")]
    pub replica: ReplicaId,
    /// Version of that replica after merging `entries`.
    #[serde(rename = "t")]
    pub version: u64,
    /// Version of the receiver's replica that the sender has merged.
    #[serde(rename = "k")]
    pub merged_version: u64,
    /// Greatest virtual time at which the sender, or one that reported to it, made a grant.
    #[serde(rename = "v")]
    pub virtual_time: i64,
    /// Free slots for which the sender has no work.
    #[serde(rename = "n", default, skip_serializing_if = "is_none_free")]
    pub idle_slots: u32,
    /// Routers of the sender's zone found dead since the previous report to the receiver.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub lost_routers: Vec<BoxName>,
    /// Entries of the sender's replica that changed since the version that the receiver has merged.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<CounterEntry>,
    /// Replicas of other dispatchers, for a receiver that may lack them.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub relayed: Vec<RelayedCounters>,
    /// Whether another box has forwarded this already.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub forwarded: bool,
}

/// A copy of another dispatcher's replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedCounters {
    #[serde(rename = "c")]
    pub replica: ReplicaId,
    #[serde(rename = "t")]
    pub version: u64,
    #[serde(rename = "e")]
    pub entries: Vec<CounterEntry>,
}

/// A dispatcher with a free slot requests a waiting ticket from another zone's dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullRequest {
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The workspace with the smallest virtual time there.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// Id of the offered grant.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// The upstream with the free slot.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The requesting dispatcher.
    #[serde(rename = "b")]
    pub dispatcher: BoxName,
    /// Whether a ticket of any workspace will do, because the requester has no work of its own.
    #[serde(rename = "a", default, skip_serializing_if = "is_false")]
    pub any_workspace: bool,
    /// Whether another box has forwarded this already.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub forwarded: bool,
}

/// The response to a [`PullRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// Id of the offered grant.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// The requested workspace.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The responding zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The ticket that takes the grant; `None` if none waits there any more.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<PulledTicket>,
    /// Tickets of that workspace that still wait there.
    #[serde(rename = "n")]
    pub still_waiting: u32,
}

/// The ticket that takes an offered grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PulledTicket {
    #[serde(rename = "i")]
    pub ticket: TicketId,
    /// The router that holds the request.
    #[serde(rename = "r")]
    pub router: BoxName,
    /// The workspace to charge.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The requested service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Cost that the granting dispatcher charges now.
    #[serde(rename = "e")]
    pub charged_cost: u64,
}

/// One message between routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeats known to the sender, and its configuration's revision.
    #[serde(rename = "H")]
    Heartbeat {
        #[serde(rename = "t")]
        entries: Vec<HeartbeatEntry>,
        #[serde(rename = "v")]
        revision: u64,
    },
    /// Requests a heartbeat, because none has arrived for some time.
    #[serde(rename = "B")]
    Probe {},
    /// Registers a ticket.
    #[serde(rename = "T")]
    Ticket(Ticket),
    /// Withdraws a ticket.
    #[serde(rename = "C")]
    Cancel {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "i")]
        ticket: TicketId,
    },
    /// Lets a ticket's request run.
    #[serde(rename = "G")]
    Grant(Grant),
    /// A request has cost more than was charged for it.
    #[serde(rename = "P")]
    Progress {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "g")]
        grant: GrantId,
        #[serde(rename = "e")]
        cost: u64,
    },
    /// A grant has ended.
    #[serde(rename = "D")]
    CompletionReport(CompletionReport),
    /// Grants that a router uses (`BoxName::none` for the sender) and that the receiver takes over.
    #[serde(rename = "R")]
    RunningGrants {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "b", default = "BoxName::none", skip_serializing_if = "BoxName::is_none")]
        router: BoxName,
        #[serde(rename = "r")]
        grants: Vec<RunningGrant>,
    },
    /// Asks which of `grants` the receiver still uses, and whether the grants that it uses in the
    /// digest's range match the digest.
    #[serde(rename = "K")]
    GrantCheckRequest {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        grants: Vec<GrantId>,
        #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
        digest: Option<GrantDigest>,
    },
    /// Response to a digest that didn't match: the grants that the sender uses in the range.
    #[serde(rename = "U")]
    GrantsInUse {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "f")]
        first: GrantId,
        #[serde(rename = "u")]
        last: GrantId,
        #[serde(rename = "g")]
        grants: Vec<GrantId>,
    },
    /// The sender doesn't use these grants.
    #[serde(rename = "X")]
    GrantsNotInUse {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "g")]
        grants: Vec<GrantId>,
    },
    /// A dispatcher's state, for the other dispatchers of the pool.
    #[serde(rename = "S")]
    DispatcherReport(Box<DispatcherReport>),
    /// The sender, the receiver's standby, has merged the receiver's replica up to `version`.
    #[serde(rename = "Y")]
    StandbyAck {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "z")]
        zone: ZoneName,
        #[serde(rename = "c")]
        replica: ReplicaId,
        #[serde(rename = "t")]
        version: u64,
    },
    /// Requests a waiting ticket.
    #[serde(rename = "L")]
    PullRequest(PullRequest),
    #[serde(rename = "Q")]
    PullResponse(PullResponse),
    /// Changes the record of an idempotency key; the receiver writes for many boxes.
    #[serde(rename = "M")]
    ClaimRequest(ClaimRequest),
    /// The outcome of an attempt's claim.
    #[serde(rename = "N")]
    ClaimResponse {
        #[serde(rename = "a")]
        attempt: u64,
        #[serde(rename = "v")]
        outcome: ClaimOutcome,
    },
    /// Requests the configuration, because the receiver has a newer one.
    #[serde(rename = "W")]
    ConfigurationRequest {
        #[serde(rename = "v")]
        revision: u64,
    },
    /// The sender's configuration.
    #[serde(rename = "V")]
    Configuration {
        #[serde(rename = "v")]
        revision: u64,
        #[serde(rename = "c")]
        catalog: Box<Catalog>,
    },
}

/// The content of one call between routers: the sending box, and its messages in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope(pub BoxName, pub Vec<Message>);

fn is_normal(class: &Class) -> bool {
    *class == Class::Normal
}

fn is_none_free(n: &u32) -> bool {
    *n == 0
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

fn is_false(b: &bool) -> bool {
    !b
}
