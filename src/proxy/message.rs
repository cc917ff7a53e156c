//! Messages that boxes send to each other in datagrams, encoded with postcard: variants and fields
//! are identified by their order.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::draining::DrainNotice;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::headroom::HeadroomAnnouncement;
use crate::fleet::in_progress::InProgressReport;
use crate::fleet::in_progress::RequestRecord;
use crate::fleet::in_progress::ShortId;
use crate::fleet::members::HeartbeatMessage;
use crate::fleet::owners::EngineGroup;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::revision::Revision;
use crate::fleet::rollout::VersionFilter;
use crate::fleet::rollout::regression::ResponseReport;
use crate::fleet::stream_versions::StreamId;
use crate::fleet::stream_versions::StreamRecord;
use crate::fleet::stream_versions::VersionEvidence;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::VersionName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::placement::admit::Denial;
use crate::placement::admit::Purpose;
use crate::placement::choice::Choice;
use crate::placement::choice::CopySource;
use crate::placement::share::TokenCounts;
use crate::proxy::adapter::Prompt;
use crate::proxy::adapter::PromptPart;
use crate::proxy::adapter::UpstreamListing;
use crate::proxy::plain_placement::PlainPlacementRequest;
use crate::proxy::routing_table::Rank;

/// A message from one box to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Heartbeat(HeartbeatMessage),
    /// A request is being sent to an upstream.
    Placed {
        /// The upstream.
        upstream: UpstreamName,
        /// Identifies the decision to send it.
        request: u64,
        /// The prompt.
        prompt: PromptMessage,
        /// Prompt tokens that an engine must compute, as far as the sender knows.
        prefill_tokens: u32,
        /// Prompt tokens whose cache entries are copied from another engine.
        copied_tokens: u32,
        /// The workspace that is charged.
        workspace: Option<WorkspaceName>,
        /// The box that forwards the request, if it isn't the one that sends this message.
        sender: Option<IpAddr>,
    },
    /// A box of a small fleet refused a request, for any cause. Its tokens count as requested by
    /// the workspace, not as admitted.
    Refused {
        /// The workspace that would have been charged.
        workspace: WorkspaceName,
        /// Tokens that would have been charged.
        tokens: u64,
    },
    /// An upstream has returned the first token, or the first chunk if its service is plain.
    FirstToken {
        /// The upstream.
        upstream: UpstreamName,
        /// Identifies the decision to send it.
        request: u64,
        /// Time since the request was sent, in milliseconds.
        took_ms: u32,
    },
    /// A request has ended.
    Ended {
        /// The upstream.
        upstream: UpstreamName,
        /// Identifies the decision to send it.
        request: u64,
    },
    /// A placement is withdrawn: the request went to another upstream, or to none because the
    /// decision came too late. It must not be counted at the upstream that was chosen.
    Withdrawn {
        /// Identifies the decision to send it.
        request: u64,
    },
    /// A connection to an upstream failed; other boxes should probe it before they send it
    /// requests.
    Unreachable {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// Asks the owner of a group of engines to place a request.
    PlacementRequest(PlacementRequest),
    /// Asks the owner of a plain service to place a request.
    PlainPlacementRequest(PlainPlacementRequest),
    /// The owner's decision on either kind of request.
    PlacementResponse(PlacementResponse),
    /// Tokens that workspaces requested and were granted at the sender.
    ShareUsage(Vec<ShareUsage>),
    /// The store lists an upstream that is new or has changed.
    Listed {
        /// The upstream.
        listing: UpstreamListing,
        /// The revision of its entry, if known.
        written: Option<Revision>,
    },
    /// The store lists an upstream as leaving.
    Leaving {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The store no longer lists an upstream.
    Gone {
        /// The upstream.
        upstream: UpstreamName,
        /// A revision of the store that lacks it, if known.
        revision: Option<Revision>,
    },
    /// Outcomes of responses of a service of which a new version is being rolled out.
    ResponseReports {
        /// The service.
        service: ServiceName,
        /// The version that is rolled out.
        target: VersionName,
        /// One entry for each outcome.
        all: Vec<ResponseReport>,
    },
    /// Requests that were running at upstreams when these crashed.
    Suspects(Vec<SuspectReport>),
    /// A request suspected of crashing upstreams has succeeded.
    SuspectCleared {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// An upstream has announced in a response that it is draining.
    DrainNotice(DrainNotice),
    /// The sender's requests in progress at upstreams that the receiver tracks.
    InProgress(InProgressReport),
    /// Asks for the records of requests that a report lists and the sender doesn't know.
    UnknownRequests(Vec<ShortId>),
    /// Requests of the sender that are in progress, for a box that has no records of them.
    RequestRecords(Vec<RequestRecord>),
    /// The owner has queued a request, and decides within this time.
    Queued {
        /// Identifies the decision to send it.
        request: u64,
        /// Time until the decision is sent at the latest, in milliseconds.
        within_ms: u32,
    },
    /// Free capacity of the groups that the sender owns.
    Headroom(HeadroomAnnouncement),
    /// The versions that began streams of the sender.
    StreamRecords(Vec<StreamRecord>),
    /// Asks which version began a stream.
    StreamQuery(StreamQuery),
    /// The reply to [`Message::StreamQuery`].
    StreamReply(StreamReply),
    /// Parts of prompts of requests that were running at engines when these crashed.
    PartSuspects(Vec<SuspectReport>),
    /// Responses to requests with these parts were complete.
    PartsCompleted(Vec<Fingerprint>),
    /// The sender tries a request with a part that is withheld.
    PartTrial(Fingerprint),
}

impl Message {
    /// Whether the message may be delayed, because the next choices of other boxes hardly depend on
    /// it.
    pub fn is_deferrable(&self) -> bool {
        matches!(
            self,
            Message::FirstToken { .. }
                | Message::Ended { .. }
                | Message::Withdrawn { .. }
                | Message::Refused { .. }
                | Message::SuspectCleared { .. }
                | Message::InProgress(_)
        )
    }
}

/// Asks the owner of a group of engines to place a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Identifies the decision.
    pub request: u64,
    /// The engines to choose from.
    pub group: EngineGroup,
    /// The service of the engines.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: PromptMessage,
    /// The workspace that is charged.
    pub workspace: Option<WorkspaceName>,
    /// Which of several waiting requests goes first.
    pub rank: Rank,
    /// The availability zone of the asking box.
    pub zone: ZoneName,
    /// Engines that may not be chosen.
    pub excluded: Vec<UpstreamName>,
    /// Which versions may be chosen.
    pub version_filter: VersionFilter,
    /// The route's target latency, in milliseconds.
    pub latency_target_ms: u32,
    /// Time for which the request has waited, in milliseconds.
    pub waited_ms: u32,
    /// An engine of another group that has part of the prompt cached.
    pub source: Option<CopySource>,
    /// Whether to place the request or only to look the prompt up.
    pub purpose: Purpose,
    /// Whether this is the last group that is asked.
    pub is_last_group: bool,
    /// Whether the request may be sent again if it fails.
    pub is_repeatable: bool,
    /// Short hashes of engines of the group to which the asking box has an idle connection.
    pub connected: Vec<u16>,
}

/// Asks which version began a stream that a caller resumes at the asking box.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Identifies the query at the asking box.
    pub query: u64,
    /// The stream; `None` if the caller doesn't name it.
    pub stream: Option<StreamId>,
    /// The service.
    pub service: ServiceName,
}

/// What a box knows of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReply {
    /// The query.
    pub query: u64,
    /// The record of the stream, if the box has one.
    pub record: Option<StreamRecord>,
    /// What it knows without one.
    pub evidence: VersionEvidence,
}

/// An owner's decision on a [`PlacementRequest`] or a [`PlainPlacementRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementResponse {
    /// Identifies the decision.
    pub request: u64,
    /// The chosen upstream, or why none is chosen.
    pub result: Result<Choice, Denial>,
    /// Other boxes that record the placement.
    pub recorded_by: Vec<IpAddr>,
}

/// Tokens that a workspace requested and was granted at one box since the box's last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUsage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Tokens requested and granted.
    pub tokens: TokenCounts,
}

/// A [`Prompt`], as boxes send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptMessage {
    tokens: u32,
    output_tokens_max: u32,
    parts: Vec<PromptPart>,
}

impl From<&Prompt> for PromptMessage {
    fn from(prompt: &Prompt) -> PromptMessage {
        let Prompt { tokens, output_tokens_max, ref parts } = *prompt;
        PromptMessage { tokens, output_tokens_max, parts: parts.clone() }
    }
}

impl From<&PromptMessage> for Prompt {
    fn from(message: &PromptMessage) -> Prompt {
        let PromptMessage { tokens, output_tokens_max, ref parts } = *message;
        Prompt { tokens, output_tokens_max, parts: parts.clone() }
    }
}
