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

use crate::fleet::evacuated::Evacuated;
use crate::fleet::evacuated::Order;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::quarantine::Suspect;
use crate::fleet::revision::Revision;
use crate::fleet::rollout::Entry;
use crate::fleet::rollout::Outcome;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::ZoneName;
use crate::proxy::table::Table;

/// What the head of a caller's request says.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's name for this try; answers of upstreams are compared with it.
    pub id: String,
    /// The host that the caller names.
    pub host: String,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
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
    pub output_tokens_max: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// What a request is charged: a token that is written counts as two that are read.
    pub fn charge(&self) -> u64 {
        u64::from(self.tokens) + 2 * u64::from(self.output_tokens_max)
    }
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
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
pub struct UpstreamRequestInfo<'a> {
    /// The upstream that is meant; any other must not run the request.
    pub upstream: &'a str,
    /// How long the caller still waits.
    pub remaining: Duration,
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
    pub matches_request: bool,
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
    pub fn is_authentic(&self, status: StatusCode) -> bool {
        let is_known = self.signed || self.not_run || !status.is_success();
        self.matches_request && !self.misdirected && is_known
    }
}

/// The headers of callers and upstreams.
pub trait HeaderAdapter: Send + Sync {
    /// Reads a caller's head.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, BadHead>;

    /// The headers for an upstream.
    fn upstream_headers(&self, headers: &HeaderMap, out: &UpstreamRequestInfo<'_>) -> HeaderMap;

    /// What an upstream's head says about the request named `id`.
    fn check_response(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// The headers of an upstream's answer that its caller gets.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// An upstream, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamListing {
    /// Names the upstream; starts of the same name differ by `started_at_ms`.
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
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// Whether it is about to stop: it gets no new work.
    pub leaving: bool,
    /// How long it still bears less than usual after its start; nothing if that isn't known.
    pub cold_for: Option<Duration>,
}

impl UpstreamListing {
    /// Whether both say the same, but for what changes by itself.
    pub fn eq_ignoring_cold_for(&self, other: &UpstreamListing) -> bool {
        *self == UpstreamListing { cold_for: self.cold_for, ..other.clone() }
    }
}

/// What the platform's store tells.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// A configuration.
    Configuration(Arc<Table>),
    /// A configuration that can't be read; the one in force stays.
    InvalidConfiguration(String),
    /// All upstreams that there are.
    AllUpstreams(Vec<UpstreamListing>),
    /// An upstream that is new or has changed.
    UpstreamChanged(UpstreamListing),
    /// An upstream's entry is gone.
    UpstreamRemoved(UpstreamName),
    /// With this, the list of upstreams is whole up to a revision of the store.
    CompleteUpTo(Revision),
    /// All zones that are evacuated.
    EvacuatedZones(Evacuated),
    /// Zones are evacuated or taken back.
    EvacuationOrders {
        /// In turn.
        orders: Vec<Order>,
        /// As of which revision of the store.
        revision: Revision,
    },
    /// All orders to roll a version out, as of a revision of the store.
    AllRollouts(Vec<Entry>, Revision),
    /// An order to roll a version out is new, has changed or ended, or is gone.
    RolloutChanged(Entry),
    /// An order that can't be read. It orders nothing.
    InvalidRollout {
        /// The service, if that can be read.
        service: Option<ServiceName>,
        /// What is wrong with it.
        fault: String,
    },
    /// An entry that can't be read. It names no upstream to use.
    InvalidUpstreamEntry {
        /// The upstream's name, if that can be read.
        name: Option<UpstreamName>,
        /// What is wrong with it.
        fault: String,
    },
    /// The era of the store that what follows is of. With each one the store has come back from an older copy: what
    /// was written since is gone and will be written again.
    StoreEra(u64),
    /// The store gives no answer, or refuses.
    Unavailable(String),
    /// The store answers again.
    Available,
    /// The store isn't watched any more, since other boxes do that.
    WatchStopped,
}

/// Why an engine can't be asked what it keeps.
#[derive(Debug, thiserror::Error)]
#[error("the engine was not asked: {0}")]
pub struct EngineQueryError(pub String);

/// An engine's answer to a call beside requests.
#[derive(Debug)]
pub struct EngineReply<T> {
    /// The engine that answered, if it says.
    pub name: Option<UpstreamName>,
    /// What it says of itself.
    pub notice: Notice,
    /// What was asked for.
    pub result: Result<T, EngineQueryError>,
}

/// Calls to engines beside requests.
pub trait EngineClient: Send + Sync {
    /// The parts of prompts that the engine at `addr` keeps, in no order.
    fn kept(&self, addr: std::net::SocketAddr) -> BoxFuture<'static, EngineReply<Vec<PromptPart>>>;

    /// How long the engine at `addr` still bears less than usual, as it says itself at `probe_path`.
    fn cold_for(
        &self,
        addr: std::net::SocketAddr,
        probe_path: &str,
    ) -> BoxFuture<'static, EngineReply<Duration>>;
}

/// Why something can't be kept or had back.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store gives no answer, or refuses for now.
    #[error("the store: {0}")]
    Unavailable(String),
    /// The store will never take it.
    #[error("the store refuses: {0}")]
    Rejected(String),
}

/// What must outlast all boxes. Any box may keep, and what is kept may be lost when the store comes back from an older
/// copy.
pub trait SuspectStore: Send + Sync {
    /// Keeps a request that is held back. One that is kept already stays as it is.
    fn save(&self, suspect: &Suspect) -> BoxFuture<'static, Result<(), StoreError>>;

    /// All requests that are kept; what was kept in the last seconds may be missing.
    fn load_all(&self) -> BoxFuture<'static, Result<Vec<Suspect>, StoreError>>;

    /// Keeps a request no longer.
    fn delete(&self, content: &Fingerprint) -> BoxFuture<'static, Result<(), StoreError>>;
}

/// Where the operator reads how a roll-out goes.
pub trait RolloutReporter: Send + Sync {
    /// Writes how the roll-out of `target` goes, unless another one was ordered meanwhile or it has ended already; `None`
    /// while it is under way. Gives the end that the store holds then, if there is one.
    fn report(
        &self,
        service: &ServiceName,
        target: &VersionName,
        outcome: Option<Outcome>,
    ) -> BoxFuture<'static, Result<Option<Outcome>, StoreError>>;
}

/// The store that holds the configuration and the list of upstreams.
pub trait StoreWatcher: Send + Sync {
    /// Follows both until the receiver is gone, whenever `is_due` says so. Needs a runtime.
    fn watch(&self, tx: mpsc::UnboundedSender<StoreUpdate>, is_due: watch::Receiver<bool>);
}
