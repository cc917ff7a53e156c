//! What boxes tell each other.

use std::net::IpAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::draining::DrainNotice;
use crate::fleet::fingerprint::Fingerprint;
use crate::fleet::members::HeartbeatMessage;
use crate::fleet::owners::EngineGroup;
use crate::fleet::quarantine::SuspectReport;
use crate::fleet::rollout::VersionFilter;
use crate::fleet::rollout::regression::ResponseReport;
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

/// What boxes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life.
    Heartbeat(HeartbeatMessage),
    /// A request is being sent to an engine.
    Placed {
        /// The engine.
        upstream: UpstreamName,
        /// Names the send.
        request: u64,
        /// What is to be read.
        prompt: PromptMessage,
        /// Tokens of it that the sender believes must be read.
        prefill_tokens: u32,
        /// Tokens of it that are copied from another engine.
        copied_tokens: u32,
        /// Whom it is charged to.
        workspace: Option<WorkspaceName>,
        /// The box that sends it, if that isn't who tells.
        sender: Option<IpAddr>,
    },
    /// A request has been refused for want of time at the engines.
    Refused {
        /// Whom it would have been charged to.
        workspace: WorkspaceName,
        /// What it would have been charged.
        tokens: u64,
    },
    /// A request has given its first token.
    FirstToken {
        /// The engine.
        upstream: UpstreamName,
        /// Names the send.
        request: u64,
        /// Time since the send, in milliseconds.
        took_ms: u32,
    },
    /// A request has ended.
    Ended {
        /// The engine.
        upstream: UpstreamName,
        /// Names the send.
        request: u64,
    },
    /// A request isn't sent to where it was placed, or to nowhere if the decision came too late. It runs nowhere by
    /// that decision and isn't counted.
    Withdrawn {
        /// Names the send.
        request: u64,
    },
    /// No connection to an upstream can be made; others should try before they send it work.
    Unreachable {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// A request to be placed.
    PlacementRequest(PlacementRequest),
    /// A request for a plain service to be placed.
    PlainPlacementRequest(PlainPlacementRequest),
    /// What came of it.
    PlacementResponse(PlacementResponse),
    /// What workspaces used at the sender.
    ShareUsage(Vec<ShareUsage>),
    /// The store says that an upstream is new or has changed.
    Listed(UpstreamListing),
    /// The store says that an upstream leaves.
    Leaving {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// The store says that an upstream is gone.
    Gone {
        /// The upstream.
        upstream: UpstreamName,
    },
    /// What became of answers of a service for which a version is rolled out.
    ResponseReports {
        /// The service.
        service: ServiceName,
        /// The version.
        target: VersionName,
        /// One by one.
        all: Vec<ResponseReport>,
    },
    /// Requests were at upstreams when these ended.
    Suspects(Vec<SuspectReport>),
    /// A suspect has ended well.
    SuspectCleared {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// An upstream has said in an answer that it is draining.
    DrainNotice(DrainNotice),
}

impl Message {
    /// Whether the next choices of other boxes hardly depend on it.
    pub fn can_wait(&self) -> bool {
        matches!(
            self,
            Message::FirstToken { .. }
                | Message::Ended { .. }
                | Message::Withdrawn { .. }
                | Message::Refused { .. }
                | Message::SuspectCleared { .. }
        )
    }
}

/// A request that the owner of a group of engines is to place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Names the send.
    pub request: u64,
    /// The engines that are asked for.
    pub group: EngineGroup,
    /// Their service.
    pub service: ServiceName,
    /// What is to be read.
    pub prompt: PromptMessage,
    /// Whom it is charged to.
    pub workspace: Option<WorkspaceName>,
    /// The availability zone of the box that asks.
    pub zone: ZoneName,
    /// Engines that are out of the question.
    pub excluded: Vec<UpstreamName>,
    /// The versions that it may go to.
    pub version_filter: VersionFilter,
    /// The route's aim, in milliseconds.
    pub aim_ms: u32,
    /// Time that the request has waited already, in milliseconds.
    pub waited_ms: u32,
    /// An engine of another group that keeps some of the prompt.
    pub source: Option<CopySource>,
    /// What is wanted.
    pub purpose: Purpose,
    /// Whether no other group will be asked.
    pub is_last_group: bool,
}

/// What the owner of a group of engines says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementResponse {
    /// The send that it is about.
    pub request: u64,
    /// Where the request is placed, or why it isn't.
    pub result: Result<Choice, Denial>,
}

/// What a workspace asked for and got at one box since it told last, in tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUsage {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// What it asked for and got.
    pub tokens: TokenCounts,
}

/// A prompt, as boxes tell it.
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
    fn from(told: &PromptMessage) -> Prompt {
        let PromptMessage { tokens, output_tokens_max, ref parts } = *told;
        Prompt { tokens, output_tokens_max, parts: parts.clone() }
    }
}
