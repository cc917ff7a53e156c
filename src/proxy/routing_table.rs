//! The routing table: the routes, services, workspaces and limits of one version of the
//! configuration, indexed for the look-ups of a request.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::names::ServiceName;
use crate::names::WorkspaceName;
use crate::placement::cold::ColdLimits;

/// One version of the configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RoutingTable {
    /// The configuration's version. A table is never replaced by one with a lower version.
    pub version: u64,
    /// Routes by host, each host's sorted by prefix length, longest first.
    routes: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceName, Service>,
    /// Workspaces by API key; `None` if requests carry no keys.
    keys: Option<HashMap<String, Workspace>>,
    /// Limits on what callers may send, and the capacity of the fleet.
    pub limits: Limits,
    /// Ranks of the configuration that are out of range. They count as not given.
    #[serde(default)]
    pub ignored_ranks: usize,
}

/// Settings for requests to one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// The host that callers request.
    pub host: String,
    /// The prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be sent again after a failure.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a request may take.
    pub timeout: Duration,
    /// Target latency: the time to the answer, or to a stream's first event, within which it is
    /// worth most to the caller.
    pub aim: Duration,
    /// The services among which requests are split, with their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of upstreams that may run the same request.
    pub max_upstreams: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
    /// 0 is the highest.
    #[serde(default)]
    pub rank: u8,
}

/// What may be sent again after a failure that leaves open whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Nothing: the request runs at most once.
    Never,
    /// The whole request.
    Whole,
    /// A stream can be resumed after the last event received.
    AfterEvent,
}

/// Settings common to the upstreams of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one upstream accepts from all boxes together.
    pub max_connections: u32,
    /// The path of an upstream's health endpoint.
    pub probe_path: String,
    /// Limits of its engines, if the service is a model.
    pub engine: Option<EngineLimits>,
}

/// Capacity of one model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Tokens that its memory holds, for cached prompts and running requests together.
    pub memory_tokens: u64,
    /// Tokens of a cached prompt that it copies from another engine in a second.
    pub copied_per_s: u64,
    /// Lower limits after a start; `None` if there are none.
    pub cold: Option<ColdLimits>,
}

/// The workspace that a request is charged to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    pub name: WorkspaceName,
    /// 0 is the highest.
    #[serde(default)]
    pub rank: u8,
}

/// Which of several requests goes first, where not all can; 0 is the highest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rank {
    pub workspace: u8,
    pub route: u8,
}

/// Limits on what callers may send, and the capacity of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request's head must have arrived.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle between requests.
    pub idle_timeout: Duration,
    /// Tokens a second that all engines process together, prompt and output.
    pub token_rate: Option<u64>,
}

impl Default for Limits {
    /// Limits used until the first configuration: usual values of HTTP servers.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
            token_rate: None,
        }
    }
}

impl RoutingTable {
    /// Builds a table. `keys` is `None` if requests carry no keys.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        keys: Option<HashMap<String, Workspace>>,
        limits: Limits,
    ) -> RoutingTable {
        let mut by_host: HashMap<String, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        RoutingTable { version, routes: by_host, services, keys, limits, ignored_ranks: 0 }
    }

    /// Returns the route of a request: of its host's routes, the one with the longest matching
    /// prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|r| path.starts_with(&r.prefix))
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether requests carry keys.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.keys.as_ref()?.get(key)
    }
}

impl Route {
    /// Chooses the service for a request by weight; `draw` must be the same for all its attempts.
    pub fn target(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self.targets.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut point = draw.checked_rem(total)?;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}
