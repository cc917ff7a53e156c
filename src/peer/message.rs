//! What the routers of a fleet tell each other.
//!
//! Everything here is soft state: a message may be lost, doubled or late. Field names on the wire
//! are short because control traffic is one of the figures the fleet is judged by.

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

/// Names one attempt of a request to be placed; unique over all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// Names one grant; unique over all dispatchers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// How much a request is in a hurry, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Class {
    /// Goes ahead of its workspace's other work, and of other workspaces within a stated lead.
    #[serde(rename = "u")]
    Urgent,
    /// The usual.
    #[default]
    #[serde(rename = "n")]
    Normal,
    /// May be late, but gets a minimum share of its workspace.
    #[serde(rename = "b")]
    Background,
}

/// A request that waits to be placed, as its router registers it with a dispatcher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ticket {
    /// Unique name.
    #[serde(rename = "i")]
    pub id: TicketId,
    /// The router that holds the request; on the wire none for the sender.
    #[serde(rename = "r", default = "BoxName::none", skip_serializing_if = "BoxName::is_none")]
    pub router: BoxName,
    /// The workspace that is charged.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The service that was asked for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The pool that serves it; on the wire none, since the service tells it.
    #[serde(rename = "p", default = "PoolName::none", skip_serializing_if = "PoolName::is_none")]
    pub pool: PoolName,
    /// Its class.
    #[serde(rename = "c", default, skip_serializing_if = "is_normal")]
    pub class: Class,
    /// Milliseconds from now until nobody wants the answer any more.
    #[serde(rename = "d")]
    pub deadline_ms: u64,
    /// Hash of the prompt's prefix; 0 where there is none.
    #[serde(rename = "x", default, skip_serializing_if = "is_zero")]
    pub prefix: u64,
    /// Upstream to avoid, since the last attempt failed there.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub avoid: Option<UpstreamName>,
    /// Whether another box already passed this on.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub forwarded: bool,
}

/// The word to a router that a ticket may run now.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Grant {
    /// Unique name.
    pub id: GrantId,
    /// The ticket that is granted.
    pub ticket: TicketId,
    /// Where to send it.
    pub upstream: UpstreamName,
    /// Cost that is charged already, in the pool's unit.
    pub charged_cost: u64,
    /// The dispatcher that wants to hear how it went; on the wire none for the sender.
    pub dispatcher: BoxName,
}

/// Grants in a few bytes: how many there are from one to another, and a sum of their hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct GrantDigest {
    /// The first that is covered.
    pub first: GrantId,
    /// The last that is covered.
    pub last: GrantId,
    /// How many there are.
    pub count: u32,
    /// What tells them from as many others, but for one time in four billion.
    pub sum: u32,
}

impl GrantDigest {
    /// The digest of those of `grants` that are in the range.
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

    /// Whether a grant is in the range.
    pub fn covers(&self, grant: GrantId) -> bool {
        (self.first..=self.last).contains(&grant)
    }
}

/// How a granted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ending {
    /// Answered in full.
    #[serde(rename = "o")]
    Answered,
    /// The caller left or the deadline passed; says nothing about the upstream.
    #[serde(rename = "c")]
    Cancelled,
    /// The upstream refused, cut or muddled the answer.
    #[serde(rename = "f")]
    Failed,
    /// The upstream refused, and asked for a backoff of so many milliseconds.
    #[serde(rename = "p")]
    Backoff(u32),
    /// The grant wasn't used.
    #[serde(rename = "n")]
    Unused,
}

/// The end of a grant.
#[derive(Clone, Debug, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct CompletionReport {
    /// The pool of the grant.
    pub pool: PoolName,
    /// Which grant.
    pub grant: GrantId,
    /// Its exact cost, in the pool's unit.
    pub cost: u64,
    /// How it ended.
    pub ending: Ending,
}

/// A grant in use, as a router reports it to a dispatcher that may not know it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningGrant {
    /// Which grant.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// The workspace that is charged.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The service that was asked for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Where it runs.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// Cost that is charged already.
    #[serde(rename = "e")]
    pub charged_cost: u64,
}

/// One line of a heartbeat: the freshest sign of life known of a box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct HeartbeatEntry {
    /// Whose.
    pub name: BoxName,
    /// Which start of that box.
    pub incarnation: u64,
    /// Counter that the box raises with every heartbeat.
    pub counter: u64,
    /// Whether the box is about to stop.
    pub leaving: bool,
}

/// What dispatchers of one pool tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DispatcherReport {
    /// Which pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The sender's availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The sender.
    #[serde(rename = "b")]
    pub dispatcher: BoxName,
    /// The sender's own cell.
    #[serde(rename = "c")]
    pub replica: ReplicaId,
    /// Version of the sender's cell that this brings the receiver to.
    #[serde(rename = "t")]
    pub version: u64,
    /// Version of the receiver's cell that the sender has merged.
    #[serde(rename = "k")]
    pub merged_version: u64,
    /// Virtual time of the sender's last grant.
    #[serde(rename = "v")]
    pub virtual_time: i64,
    /// Free slots that the sender has no work for.
    #[serde(rename = "n", default, skip_serializing_if = "is_none_free")]
    pub idle_slots: u32,
    /// Routers of the sender's zone that were found to be gone since the receiver was last told.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub lost_routers: Vec<BoxName>,
    /// Entries of the sender's cell that changed since the receiver's `seen`.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<CounterEntry>,
    /// Cells of other dispatchers, for a receiver that knows nothing yet.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub relayed: Vec<RelayedCounters>,
    /// Whether another box already passed this on.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub forwarded: bool,
}

/// A copy of another dispatcher's cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RelayedCounters {
    /// Whose.
    #[serde(rename = "c")]
    pub replica: ReplicaId,
    /// Its version.
    #[serde(rename = "t")]
    pub version: u64,
    /// All its entries.
    #[serde(rename = "e")]
    pub entries: Vec<CounterEntry>,
}

/// A dispatcher with a free slot asks another zone's dispatcher for a waiting ticket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Which pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The workspace that is furthest behind there.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The grant that is offered.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// The upstream with the free slot.
    #[serde(rename = "u")]
    pub upstream: UpstreamName,
    /// The dispatcher that asks.
    #[serde(rename = "b")]
    pub dispatcher: BoxName,
    /// Whether any workspace's ticket will do, since the asker has nothing of its own.
    #[serde(rename = "a", default, skip_serializing_if = "is_false")]
    pub any_workspace: bool,
    /// Whether another box already passed this on.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub forwarded: bool,
}

/// The answer to a pull.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Which pool.
    #[serde(rename = "p")]
    pub pool: PoolName,
    /// The grant that was offered.
    #[serde(rename = "g")]
    pub grant: GrantId,
    /// The workspace that was asked for.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The zone that answers.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// The ticket that took the offer; none when nothing waits there any more.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<PulledTicket>,
    /// How many tickets of that workspace still wait there.
    #[serde(rename = "n")]
    pub still_waiting: u32,
}

/// The ticket that took an offered grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PulledTicket {
    /// Which ticket.
    #[serde(rename = "i")]
    pub ticket: TicketId,
    /// The router that holds it.
    #[serde(rename = "r")]
    pub router: BoxName,
    /// The workspace that is charged.
    #[serde(rename = "w")]
    pub workspace: WorkspaceName,
    /// The service that was asked for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Cost that the granting dispatcher charges now.
    #[serde(rename = "e")]
    pub charged_cost: u64,
}

/// One message between routers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Signs of life of a zone's boxes, and the revision of the sender's configuration.
    #[serde(rename = "H")]
    Heartbeat {
        #[serde(rename = "t")]
        entries: Vec<HeartbeatEntry>,
        #[serde(rename = "v")]
        revision: u64,
    },
    /// Ask for a sign of life, since none was heard for long.
    #[serde(rename = "B")]
    Probe {},
    /// Register a ticket.
    #[serde(rename = "T")]
    Ticket(Ticket),
    /// Forget a ticket.
    #[serde(rename = "C")]
    Cancel {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "i")]
        ticket: TicketId,
    },
    /// A ticket may run.
    #[serde(rename = "G")]
    Grant(Grant),
    /// A request outgrew what was charged for it.
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
    /// Grants of one pool that a router uses (on the wire none for the sender) and that the
    /// receiver inherits.
    #[serde(rename = "R")]
    RunningGrants {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "b", default = "BoxName::none", skip_serializing_if = "BoxName::is_none")]
        router: BoxName,
        #[serde(rename = "r")]
        grants: Vec<RunningGrant>,
    },
    /// Asks which of these grants the receiver still uses, and whether it uses just those that the
    /// digest tells.
    #[serde(rename = "K")]
    GrantCheckRequest {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        grants: Vec<GrantId>,
        #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
        digest: Option<GrantDigest>,
    },
    /// The digest told others: these are the grants from `f` to `u` that the sender uses.
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
    /// These grants aren't used (any more).
    #[serde(rename = "X")]
    GrantsNotInUse {
        #[serde(rename = "p")]
        pool: PoolName,
        #[serde(rename = "g")]
        grants: Vec<GrantId>,
    },
    /// State of a pool, from dispatcher to dispatcher.
    #[serde(rename = "S")]
    DispatcherReport(Box<DispatcherReport>),
    /// The sender, which would follow the receiver, has a copy of its cell at version `t`.
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
    /// Ask for a ticket.
    #[serde(rename = "L")]
    PullRequest(PullRequest),
    /// Answer to a pull.
    #[serde(rename = "Q")]
    PullResponse(PullResponse),
    /// Claim a key; the receiver writes for many.
    #[serde(rename = "M")]
    ClaimRequest(ClaimRequest),
    /// The verdict on the claim of an attempt.
    #[serde(rename = "N")]
    ClaimResponse {
        #[serde(rename = "a")]
        attempt: u64,
        #[serde(rename = "v")]
        outcome: ClaimOutcome,
    },
    /// Ask for the configuration, since the receiver has a newer one.
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

/// What one call between routers carries: the sending box, and the messages in order.
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
