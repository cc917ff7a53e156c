//! Input and result of selecting an upstream.

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

/// An engine with a wait of at most this can begin another prompt: part of one step.
pub const BEGIN_WAIT_MAX: Duration = Duration::from_millis(20);

/// An engine that has part of a prompt cached, from which another engine may copy it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CopySource {
    pub addr: SocketAddr,
    /// Tokens at the head of the prompt that it has cached.
    pub cached: u32,
}

/// Constraints on the selection for one request.
#[derive(Clone, Copy, Debug)]
pub struct SelectionCriteria<'a> {
    pub service: &'a str,
    /// The prompt to prefill; `None` for plain services.
    pub prompt: Option<&'a Prompt>,
    /// Upstreams that may not be chosen.
    pub excluded: &'a [UpstreamName],
    /// The longest acceptable wait where the engines are saturated.
    pub wait_max: Duration,
    /// The longest acceptable wait where they are idle; never less than `wait_max`.
    pub wait_max_idle: Duration,
    /// When the first token is due; `None` if at no particular time.
    pub first_token_target: Option<Duration>,
    /// The longest acceptable time to the first token at an engine that can't begin at once; `None`
    /// if only the wait is limited.
    pub first_token_max: Option<Duration>,
    /// Whether any engine with an acceptable wait will do, or only the one with the lowest cost.
    pub any_engine: bool,
    /// The engines that may be chosen; `None` allows all of the service.
    pub group: Option<EngineGroup>,
    /// The versions that may be chosen while a version is rolled out.
    pub version_filter: VersionFilter,
    /// The availability zone of the sending box; `None` for this box's.
    pub zone: Option<&'a ZoneName>,
    /// An engine that may not be chosen but has part of the prompt cached.
    pub source: Option<CopySource>,
    /// Short hashes of engines to which the sending box has an idle connection.
    pub connected: &'a [u16],
    /// The role in which this box decides, which matters for cold engines.
    pub role: Role,
    /// Whether the request may be sent again if it fails.
    pub is_repeatable: bool,
}

impl<'a> SelectionCriteria<'a> {
    /// Any upstream of a service that is not in `excluded` and whose wait is at most `wait_max`.
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
            first_token_target: None,
            first_token_max: None,
            any_engine: true,
            group: None,
            version_filter: VersionFilter::Any,
            zone: None,
            source: None,
            connected: &[],
            role: Role::Unassigned,
            is_repeatable: true,
        }
    }
}

/// The upstream selected for a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    pub upstream: UpstreamName,
    pub addr: SocketAddr,
    /// Expected time to the first token. For plain services the expected time to the response if
    /// `choose_plain` made the choice, else zero.
    pub first_token: Duration,
    /// Expected wait until the engine starts to prefill the prompt.
    pub wait: Duration,
    /// Tokens of the prompt that the engine has to prefill.
    pub prefill_tokens: u32,
    /// Tokens of the prompt that it copies from another engine.
    pub copied_tokens: u32,
    /// The engine to copy from.
    pub copy_from: Option<SocketAddr>,
    /// Whether the deciding box knows what all boxes send to the upstream, and has counted this
    /// request.
    pub is_counted: bool,
    /// Whether the believed wait is too long, and the request is to show whether that is so.
    pub is_probe: bool,
    /// Requests that already run or wait at the upstream.
    pub running: usize,
    /// Tokens of memory that these occupy.
    pub running_tokens: u64,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChoiceError {
    /// No upstream of the service is known and in use.
    NoUpstream,
    /// All upstreams in use lack a slot or memory, or are limited by a cold start.
    Full,
    /// A large shared part of the prompt would have to be prefilled, and another engine may have it
    /// cached.
    NotCached,
    /// Only a lookup was requested.
    LookupOnly,
    /// The wait would be too long at every upstream with room, or at the one with the lowest cost
    /// if no other will do.
    Busy { wait: Duration },
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
