//! What boxes tell each other.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::names::BoxName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;
use crate::proxy::dialect::Part;
use crate::proxy::dialect::Prompt;

/// What boxes tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life.
    Beat(Beat),
    /// A request is being sent to an engine.
    Placed {
        /// The engine.
        upstream: UpstreamName,
        /// Names the send.
        request: u64,
        /// What is to be read.
        prompt: ToldPrompt,
        /// Tokens of it that the sender believes must be read.
        unread: u32,
        /// Tokens of it that are copied from another engine.
        copied: u32,
        /// Whom it is charged to.
        workspace: Option<WorkspaceName>,
    },
    /// A request has been refused for want of time at the engines.
    Refused {
        /// Whom it would have been charged to.
        workspace: WorkspaceName,
        /// What it would have been charged.
        tokens: u64,
    },
    /// A request has given its first token.
    First {
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
    /// No connection to an upstream can be made; others should try before they send it work.
    Unreachable {
        /// The upstream.
        upstream: UpstreamName,
    },
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
}

impl Message {
    /// Whether the next choices of other boxes hardly depend on it.
    pub fn can_wait(&self) -> bool {
        matches!(self, Message::First { .. } | Message::Ended { .. } | Message::Refused { .. })
    }
}

/// A sign of life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The box.
    pub name: BoxName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it answers other boxes.
    pub addr: SocketAddr,
    /// Which start of it this is.
    pub incarnation: u64,
    /// The version of its configuration; zero for none.
    pub version: u64,
    /// Whether it sees the store.
    pub sees_store: bool,
    /// Whether it knows what engines keep.
    pub is_warm: bool,
    /// Boxes that it has heard of lately.
    pub known: Vec<SocketAddr>,
}

/// A prompt, as boxes tell it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldPrompt {
    tokens: u32,
    written_max: u32,
    parts: Vec<Part>,
}

impl From<&Prompt> for ToldPrompt {
    fn from(prompt: &Prompt) -> ToldPrompt {
        let Prompt { tokens, written_max, ref parts } = *prompt;
        ToldPrompt { tokens, written_max, parts: parts.clone() }
    }
}

impl From<ToldPrompt> for Prompt {
    fn from(told: ToldPrompt) -> Prompt {
        Prompt { tokens: told.tokens, written_max: told.written_max, parts: told.parts }
    }
}
