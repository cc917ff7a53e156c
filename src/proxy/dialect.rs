//! How callers and upstreams say what this product needs to know. An adapter implements the traits
//! here; everything else works with the typed values.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::HeaderMap;
use http::StatusCode;
use http::request;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::fleet::evacuated::EvacuatedZones;
use crate::fleet::evacuated::EvacuationOrder;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::revision::Revision;
use crate::fleet::rollout::Outcome;
use crate::fleet::rollout::RolloutEntry;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::ZoneName;
use crate::proxy::routing_table::RoutingTable;

/// What the head of a caller's request says.
#[derive(Clone, Debug)]
pub struct Head {
    /// The caller's name for this try; answers of upstreams are compared with it.
    pub id: String,
    /// The host that the caller names.
    pub host: String,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// What a model is to read, where the request goes to one.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an earlier try.
    pub resume_after: Option<u64>,
}

/// What a model is to read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens to be read.
    pub tokens: u32,
    /// Tokens that may be written at most.
    pub written_max: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// What a request is charged: a token that is written counts as two that are read.
    pub fn charge(&self) -> u64 {
        u64::from(self.tokens) + 2 * u64::from(self.written_max)
    }
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Names the part's content.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// A head that can't be served.
#[derive(Debug, thiserror::Error)]
#[error("the head is wrong: {0}")]
pub struct BadHead(pub &'static str);

/// What an upstream is told beside the caller's own headers.
#[derive(Clone, Debug)]
pub struct Outgoing<'a> {
    /// The upstream that is meant; any other must not run the request.
    pub upstream: &'a str,
    /// How long the caller still waits.
    pub left: Duration,
    /// Whom the request is charged to.
    pub workspace: Option<&'a str>,
    /// The last event that came, where a stream is gone on with.
    pub resume_after: Option<u64>,
    /// Another engine, from which the upstream copies what it keeps of the prompt.
    pub copy_from: Option<std::net::SocketAddr>,
}

/// What an upstream says of itself in the head of an answer, whatever the answer is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is draining: it wants no new requests and will end.
    pub draining: bool,
    /// For how long it wants no requests from this box.
    pub backoff: Option<Duration>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether it answers this request and no other.
    pub own: bool,
    /// Whether it says that the request did not run and won't.
    pub not_run: bool,
    /// Whether another upstream has the address now.
    pub misdirected: bool,
    /// Whether it is signed, as every answer of a run is.
    pub signed: bool,
    /// What the upstream says of itself.
    pub notice: Notice,
}

impl Verdict {
    /// Whether the answer is sure to be of the upstream that was meant: it answers this request, and bears what an answer
    /// of this status has.
    pub fn proves(&self, status: StatusCode) -> bool {
        let is_known = self.signed || self.not_run || !status.is_success();
        self.own && !self.misdirected && is_known
    }
}

/// The headers of callers and upstreams.
pub trait Dialect: Send + Sync {
    /// Reads a caller's head.
    fn read(&self, head: &request::Parts) -> Result<Head, BadHead>;

    /// The headers for an upstream.
    fn outgoing(&self, headers: &HeaderMap, out: &Outgoing<'_>) -> HeaderMap;

    /// What an upstream's head says about the request named `id`.
    fn judge(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// The headers of an upstream's answer that its caller gets.
    fn incoming(&self, headers: &HeaderMap) -> HeaderMap;
}

/// An upstream, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Names the upstream; starts of the same name differ by `born`.
    pub name: UpstreamName,
    /// What it serves.
    pub service: ServiceName,
    /// Where it listens.
    pub addr: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: VersionName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it was started, in milliseconds since 1970 by its own clock; nothing if it doesn't say. Another start of
    /// the same name is another upstream: it holds nothing of what was sent before.
    pub born: Option<u64>,
    /// Whether it is about to stop: it gets no new work.
    pub leaving: bool,
    /// How long it still bears less than usual after its start; nothing if that isn't known.
    pub cold_for: Option<Duration>,
}

impl Listed {
    /// Whether both say the same, but for what changes by itself.
    pub fn is_same(&self, other: &Listed) -> bool {
        *self == Listed { cold_for: self.cold_for, ..other.clone() }
    }
}

/// What the platform's store tells.
#[derive(Clone, Debug)]
pub enum News {
    /// A configuration.
    Configured(Arc<RoutingTable>),
    /// A configuration that can't be read; the one in force stays.
    BadConfiguration(String),
    /// All upstreams that there are.
    Listed(Vec<Listed>),
    /// An upstream that is new or has changed.
    Changed(Listed),
    /// An upstream's entry is gone.
    Gone(UpstreamName),
    /// With this, the list of upstreams is whole up to a revision of the store.
    UpTo(Revision),
    /// All zones that are evacuated.
    Evacuated(EvacuatedZones),
    /// Zones are evacuated or taken back.
    Ordered {
        /// In turn.
        orders: Vec<EvacuationOrder>,
        /// As of which revision of the store.
        revision: Revision,
    },
    /// All orders to roll a version out, as of a revision of the store.
    Rollouts(Vec<RolloutEntry>, Revision),
    /// An order to roll a version out is new, has changed or ended, or is gone.
    Rollout(RolloutEntry),
    /// An order that can't be read. It orders nothing.
    BadRollout {
        /// The service, if that can be read.
        service: Option<ServiceName>,
        /// What is wrong with it.
        fault: String,
    },
    /// An entry that can't be read. It names no upstream to use.
    BadEntry {
        /// The upstream's name, if that can be read.
        name: Option<UpstreamName>,
        /// What is wrong with it.
        fault: String,
    },
    /// The era of the store that what follows is of. With each one the store has come back from an older copy: what
    /// was written since is gone and will be written again.
    InEra(u64),
    /// The store gives no answer, or refuses.
    Lost(String),
    /// The store answers again.
    Regained,
    /// The store isn't watched any more, since other boxes do that.
    LeftToOthers,
}

/// Why an engine can't be asked what it keeps.
#[derive(Debug, thiserror::Error)]
#[error("the engine was not asked: {0}")]
pub struct NotAsked(pub String);

/// An engine's answer to a call beside requests.
#[derive(Debug)]
pub struct Reported<T> {
    /// The engine that answered, if it says.
    pub name: Option<UpstreamName>,
    /// What it says of itself.
    pub notice: Notice,
    /// What was asked for.
    pub content: Result<T, NotAsked>,
}

/// Calls to engines beside requests.
pub trait Engines: Send + Sync {
    /// The parts of prompts that the engine at `addr` keeps, in no order.
    fn kept(&self, addr: std::net::SocketAddr) -> BoxFuture<'static, Reported<Vec<Part>>>;

    /// How long the engine at `addr` still bears less than usual, as it says itself at `probe_path`.
    fn cold_for(
        &self,
        addr: std::net::SocketAddr,
        probe_path: &str,
    ) -> BoxFuture<'static, Reported<Duration>>;
}

/// Why something can't be kept or had back.
#[derive(Debug, thiserror::Error)]
pub enum NotKept {
    /// The store gives no answer, or refuses for now.
    #[error("the store: {0}")]
    Away(String),
    /// The store will never take it.
    #[error("the store refuses: {0}")]
    Refused(String),
}

/// What must outlast all boxes. Any box may keep, and what is kept may be lost when the store comes back from an older
/// copy.
pub trait Records: Send + Sync {
    /// Keeps a request that is held back. One that is kept already stays as it is.
    fn keep(&self, suspect: &SuspectReport) -> BoxFuture<'static, Result<(), NotKept>>;

    /// All requests that are kept; what was kept in the last seconds may be missing.
    fn kept(&self) -> BoxFuture<'static, Result<Vec<SuspectReport>, NotKept>>;

    /// Keeps a request no longer.
    fn forget(&self, content: &Fingerprint) -> BoxFuture<'static, Result<(), NotKept>>;
}

/// Where the operator reads how a roll-out goes.
pub trait Rollouts: Send + Sync {
    /// Writes how the roll-out of `target` goes, unless another one was ordered meanwhile or it has ended already; `None`
    /// while it is under way. Gives the end that the store holds then, if there is one.
    fn report(
        &self,
        service: &ServiceName,
        target: &VersionName,
        outcome: Option<Outcome>,
    ) -> BoxFuture<'static, Result<Option<Outcome>, NotKept>>;
}

/// The store that holds the configuration and the list of upstreams.
pub trait Directory: Send + Sync {
    /// Follows both until the receiver is gone, whenever `is_due` says so. Needs a runtime.
    fn follow(&self, tx: mpsc::UnboundedSender<News>, is_due: watch::Receiver<bool>);
}
