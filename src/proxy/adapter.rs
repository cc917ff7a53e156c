//! Interfaces to the platform on which the proxy runs: the headers of callers and upstreams, calls
//! to engines, and the store. An adapter implements the traits; the rest of the proxy uses typed
//! values.

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
use crate::proxy::event_id::EventId;
use crate::proxy::routing_table::RoutingTable;

/// The parsed head of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The caller's id for this attempt. Responses of upstreams must carry the same id.
    pub id: String,
    /// The requested host.
    pub host: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The prompt, if the request is for a model.
    pub prompt: Option<Prompt>,
    /// The last event that the caller received in an earlier attempt.
    pub resume_after: Option<EventId>,
    /// The id of the attempt that returned the first event of the stream that the caller resumes.
    pub first_attempt: Option<String>,
}

impl RequestHead {
    /// Whether the caller has received a part of the response in an earlier attempt.
    pub fn is_resumption(&self) -> bool {
        self.resume_after.is_some() || self.first_attempt.is_some()
    }
}

/// The size of a model's input and output, and the parts of the input.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Input tokens.
    pub tokens: u32,
    /// Limit on the output tokens.
    pub output_tokens_max: u32,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Tokens that the request is charged. An output token counts as two input tokens.
    pub fn charge(&self) -> u64 {
        u64::from(self.tokens) + 2 * u64::from(self.output_tokens_max)
    }

    /// The parts that other prompts may have, too: all but the last one, which is the request's own
    /// or its session's.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identifies the part's content.
    pub id: u64,
    /// The part's length.
    pub tokens: u32,
}

/// A malformed head of a request.
#[derive(Debug, thiserror::Error)]
#[error("malformed request head: {0}")]
pub struct BadHead(pub &'static str);

/// What the proxy adds to the caller's own headers for an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequestInfo<'a> {
    /// The intended upstream; any other must not run the request.
    pub upstream: &'a str,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
    /// The workspace that is charged.
    pub workspace: Option<&'a str>,
    /// The event after which the response is to begin. `None` if the caller's own headers say that.
    pub resume_after: Option<&'a EventId>,
    /// Another engine, from which the upstream copies the cached parts of the prompt.
    pub copy_from: Option<std::net::SocketAddr>,
}

/// An upstream's own state, as the head of any of its responses reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is draining: it accepts no new requests and will stop.
    pub draining: bool,
    /// How long this box must send it no requests.
    pub backoff: Option<Duration>,
}

/// Which request a response belongs to, by the id that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseId {
    /// The request that it is checked against.
    Own,
    /// Another request.
    Other,
    /// It carries no id.
    Missing,
}

impl ResponseId {
    /// The kind as a word for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            ResponseId::Own => "own",
            ResponseId::Other => "other",
            ResponseId::Missing => "missing",
        }
    }
}

/// What the head of an upstream's response says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The id that it carries.
    pub response_id: ResponseId,
    /// Whether it has the same id as this request; a request without an id gets a response without
    /// one.
    pub matches_request: bool,
    /// Whether it says, in a valid form, that a request has not run and never will. Which request
    /// that is depends on the id.
    pub says_not_run: bool,
    /// Whether it says that another upstream has taken over the address of the intended one.
    pub misdirected: bool,
    /// Whether it is signed, as all responses to requests that ran are.
    pub signed: bool,
    /// The upstream's own state.
    pub notice: Notice,
}

impl Verdict {
    /// Whether the response certainly comes from the intended upstream: it carries the id of the
    /// request, isn't misdirected, and if successful is signed or says that the request never ran.
    pub fn is_authentic(&self, status: StatusCode) -> bool {
        let has_proof = self.signed || self.says_not_run || !status.is_success();
        self.matches_request && !self.misdirected && has_proof
    }
}

/// Translates the headers of callers and upstreams.
pub trait HeaderAdapter: Send + Sync {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestHead, BadHead>;

    /// The headers of the request to an upstream.
    fn upstream_headers(&self, headers: &HeaderMap, out: &UpstreamRequestInfo<'_>) -> HeaderMap;

    /// Checks the head of an upstream's response to the request `id`.
    fn check_response(&self, id: &str, status: StatusCode, headers: &HeaderMap) -> Verdict;

    /// The headers of an upstream's response that are passed on to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}

/// An upstream's entry in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamListing {
    /// The upstream's name. Its instances differ by `started_at_ms`.
    pub name: UpstreamName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The version of its software.
    pub version: VersionName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// When it was started, in milliseconds since 1970 by its own clock, if known. Another instance
    /// of the same name is another upstream: it has none of the requests that were sent before.
    #[serde(rename = "born")]
    pub started_at_ms: Option<u64>,
    /// Whether it is about to stop, and gets no new requests.
    pub leaving: bool,
    /// How long its capacity is still reduced after its start, if known.
    pub cold_for: Option<Duration>,
}

impl UpstreamListing {
    /// Equality apart from `cold_for`, which changes with time.
    pub fn eq_ignoring_cold_for(&self, other: &UpstreamListing) -> bool {
        *self == UpstreamListing { cold_for: self.cold_for, ..other.clone() }
    }
}

/// An update from the platform's store.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// A new configuration.
    Configuration(Arc<RoutingTable>),
    /// A configuration that can't be parsed; the current one stays in force.
    InvalidConfiguration(String),
    /// The list of all upstreams.
    AllUpstreams(Vec<UpstreamListing>),
    /// An upstream that is new or has changed.
    UpstreamChanged {
        /// Its entry.
        listing: UpstreamListing,
        /// The revision of the entry, if known.
        written: Option<Revision>,
    },
    /// An upstream's entry was removed.
    UpstreamRemoved {
        /// The upstream.
        name: UpstreamName,
        /// A revision of the store that lacks it.
        revision: Revision,
    },
    /// The updates of upstreams so far are complete up to this revision of the store.
    CompleteUpTo(Revision),
    /// The versions in these updates, also of entries that were added and removed within them, and
    /// the revision up to which they are complete. Also after a watch that ended without a change.
    Versions(VersionChanges),
    /// All zones that are evacuated.
    EvacuatedZones(EvacuatedZones),
    /// Zones are evacuated, or their evacuation is revoked.
    EvacuationOrders {
        /// In order.
        orders: Vec<EvacuationOrder>,
        /// The revision of the store after them.
        revision: Revision,
    },
    /// All roll-out orders, as of a revision of the store.
    AllRollouts(Vec<RolloutEntry>, Revision),
    /// A roll-out order was added, changed, completed or removed.
    RolloutChanged(RolloutEntry),
    /// A roll-out order that can't be parsed, and has no effect.
    InvalidRollout {
        /// The service, if that can be parsed.
        service: Option<ServiceName>,
        /// Why it can't be parsed.
        fault: String,
    },
    /// An upstream's entry that can't be parsed. The upstream can't be used.
    InvalidUpstreamEntry {
        /// The upstream's name, if that can be parsed.
        name: Option<UpstreamName>,
        /// Why it can't be parsed.
        fault: String,
    },
    /// The era of the store in the updates that follow. A new era means that the store was restored
    /// from an older copy: later writes are lost and will be made again.
    StoreEra(u64),
    /// The store doesn't respond, or rejects calls.
    Unavailable(String),
    /// The store responds again.
    Available,
    /// This box no longer watches the store, since other boxes do.
    WatchStopped,
}

/// Why a query of an engine failed.
#[derive(Debug, thiserror::Error)]
#[error("engine query failed: {0}")]
pub struct EngineQueryError(pub String);

/// An engine's reply to a query.
#[derive(Debug)]
pub struct EngineReply<T> {
    /// The name of the engine that replied, if it gives one.
    pub name: Option<UpstreamName>,
    /// The engine's own state.
    pub notice: Notice,
    /// The requested data.
    pub result: Result<T, EngineQueryError>,
}

/// Queries engines about their state.
pub trait EngineClient: Send + Sync {
    /// The prompt parts that the engine at `addr` has cached, in no particular order.
    fn cached_parts(
        &self,
        addr: std::net::SocketAddr,
    ) -> BoxFuture<'static, EngineReply<Vec<PromptPart>>>;

    /// How long the capacity of the engine at `addr` is still reduced, as it reports at
    /// `probe_path`.
    fn cold_for(
        &self,
        addr: std::net::SocketAddr,
        probe_path: &str,
    ) -> BoxFuture<'static, EngineReply<Duration>>;
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store doesn't respond, or rejects the call for now.
    #[error("store unavailable: {0}")]
    Unavailable(String),
    /// The store will always reject the call.
    #[error("store rejected the call: {0}")]
    Rejected(String),
}

/// Stores reports of requests that may crash upstreams. The reports must outlive the boxes. Any box
/// may write them. They may be lost when the store is restored from an older copy.
pub trait SuspectStore: Send + Sync {
    /// Saves a request that is held back. One that is already saved is left unchanged.
    fn save(&self, suspect: &SuspectReport) -> BoxFuture<'static, Result<(), StoreError>>;

    /// All saved requests; those of the last seconds may be missing.
    fn load_all(&self) -> BoxFuture<'static, Result<Vec<SuspectReport>, StoreError>>;

    /// Deletes a saved request.
    fn delete(&self, fingerprint: &Fingerprint) -> BoxFuture<'static, Result<(), StoreError>>;
}

/// Stores which versions of services are in use. The entries must outlive the boxes. Any box may
/// write them. They may be lost when the store is restored from an older copy.
pub trait VersionStore: Send + Sync {
    /// Saves a version. One that is already saved is left unchanged.
    fn save(
        &self,
        service: &ServiceName,
        version: &VersionName,
    ) -> BoxFuture<'static, Result<(), StoreError>>;

    /// All saved versions; those of the last seconds may be missing.
    fn load_all(&self) -> BoxFuture<'static, Result<Vec<(ServiceName, VersionName)>, StoreError>>;

    /// Deletes a saved version.
    fn delete(
        &self,
        service: &ServiceName,
        version: &VersionName,
    ) -> BoxFuture<'static, Result<(), StoreError>>;
}

/// Versions of upstreams that the store listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionChanges {
    /// The service and version of each entry that was written or removed.
    pub versions: Vec<(ServiceName, VersionName)>,
    /// The revision after which these are all; `None` if they are only those of the entries listed
    /// now.
    pub since: Option<Revision>,
    /// The revision of the store up to which these are complete.
    pub up_to: Revision,
}

/// Reads the versions of upstreams from the store, beside the watch.
pub trait VersionLog: Send + Sync {
    /// The versions of all entries that were written or removed after a revision. They are complete
    /// up to a revision that the store had after the call began. Of entries of which the store no
    /// longer has the history, and in another era of the store, those that are listed now.
    fn since(&self, since: Revision) -> BoxFuture<'static, Result<VersionChanges, StoreError>>;
}

/// Reports the progress of roll-outs where the operator reads it.
pub trait RolloutReporter: Send + Sync {
    /// Writes the state of the roll-out of `target`, unless another one was ordered meanwhile or it
    /// has already ended. An `outcome` of `None` means that it is in progress. Returns the outcome
    /// that the store has then, if any.
    fn report(
        &self,
        service: &ServiceName,
        target: &VersionName,
        outcome: Option<Outcome>,
    ) -> BoxFuture<'static, Result<Option<Outcome>, StoreError>>;
}

/// The store that holds the configuration and the list of upstreams.
pub trait StoreWatcher: Send + Sync {
    /// Sends updates of both while `is_due` is true, until the receiver is dropped. Must be called
    /// within a Tokio runtime.
    fn watch(&self, tx: mpsc::UnboundedSender<StoreUpdate>, is_due: watch::Receiver<bool>);
}
