//! What a choice of an upstream needs to know, and what it gives.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::owners::EngineGroup;
use crate::fleet::rollout::VersionFilter;
use crate::names::UpstreamName;
use crate::names::ZoneName;
use crate::placement::cold::Role;
use crate::proxy::adapter::Prompt;

/// An engine that keeps some of a prompt, from which another may copy it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySource {
    /// Where it listens.
    pub addr: SocketAddr,
    /// Tokens at the head of the prompt that it keeps.
    pub kept: u32,
}

/// What a choice needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    /// The service.
    pub service: &'a str,
    /// What is to be read, where it is a model.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams that are out of the question.
    pub excluded: &'a [UpstreamName],
    /// How long it may wait for an engine where the engines are busy.
    pub wait_max: Duration,
    /// The same where they are idle: no less.
    pub wait_max_idle: Duration,
    /// Whether it may go to any engine for that, or only to the one that it costs least.
    pub any_engine: bool,
    /// The engines that it may go to; all of the service if nothing is given.
    pub group: Option<EngineGroup>,
    /// The versions that it may go to, while another one is rolled out.
    pub side: VersionFilter,
    /// The availability zone of the box that sends it; this box's if nothing is given.
    pub zone: Option<&'a ZoneName>,
    /// An engine that may not be chosen and keeps some of the prompt.
    pub source: Option<CopySource>,
    /// By what right this box chooses, where an engine is cold.
    pub role: Role,
}

impl<'a> SelectionCriteria<'a> {
    /// Any upstream of a service, those in `except` apart, that has no longer wait than this.
    pub fn any(
        service: &'a str,
        prompt: Option<&'a Prompt>,
        excluded: &'a [UpstreamName],
        wait_max: Duration,
    ) -> SelectionCriteria<'a> {
        SelectionCriteria {
            service,
            prompt,
            excluded,
            wait_max,
            wait_max_idle: wait_max,
            any_engine: true,
            group: None,
            side: VersionFilter::Any,
            zone: None,
            source: None,
            role: Role::Unassigned,
        }
    }
}

/// The choice for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Expected time to the first token; zero for plain services.
    pub first_token: Duration,
    /// Expected wait until it begins to read the prompt.
    pub wait: Duration,
    /// Tokens of the prompt that it has to read.
    pub prefill_tokens: u32,
    /// Tokens of the prompt that it copies from another engine.
    pub copied_tokens: u32,
    /// That engine.
    pub copy_from: Option<SocketAddr>,
    /// Whether whoever chose it knows what all boxes send there, and has counted it.
    pub is_counted: bool,
    /// Requests that run or wait at the engine already.
    pub running: usize,
    /// Tokens of memory that these take.
    pub running_tokens: u64,
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChoiceError {
    /// No upstream of the service is known and in use.
    NoUpstream,
    /// All that are in use have no room.
    Full,
    /// Much that others share would have to be read, which may be kept elsewhere.
    NotCached,
    /// None was wanted.
    LookupOnly,
    /// It would have to wait for too long at each engine that has room.
    Busy {
        /// The shortest wait.
        wait: Duration,
    },
}

impl ChoiceError {
    /// The cause as a word for logs.
    pub fn code(self) -> &'static str {
        match self {
            ChoiceError::NoUpstream => "no-upstream",
            ChoiceError::Full => "full",
            ChoiceError::NotCached => "not-kept",
            ChoiceError::LookupOnly => "only-looked",
            ChoiceError::Busy { .. } => "busy",
        }
    }
}
