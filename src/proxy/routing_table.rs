//! The routing table: what one version of the configuration says of routes, services, workspaces
//! and limits, in a form that a request is looked up in.

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
    /// Versions rise; a table is never replaced by one with a lower version.
    pub version: u64,
    /// Routes by host; of each host's, the longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceName, Service>,
    /// Workspaces by API key. Nothing where requests carry no keys.
    keys: Option<HashMap<String, Workspace>>,
    /// What callers may send, and what the fleet can serve.
    pub limits: Limits,
}

/// Requests of one host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// Longest time that a request may be held.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, within which it is worth most.
    pub aim: Duration,
    /// Services that the route is split among, with their weights.
    pub targets: Vec<(ServiceName, u32)>,
    /// Most upstreams that may run one request.
    pub max_upstreams: u32,
    /// Whether requests need no key.
    pub anonymous: bool,
}

/// What may be sent again after a failure that doesn't say whether the request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Nothing: the request runs once at most.
    Never,
    /// The whole request.
    Whole,
    /// A stream can be gone on with after the last event that came.
    AfterEvent,
}

/// What upstreams of one kind have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one upstream takes from all boxes together.
    pub max_connections: u32,
    /// The path at which an upstream says how it is.
    pub probe_path: String,
    /// What is known of its engines, where it is a model.
    pub engine: Option<EngineLimits>,
}

/// What one model engine can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds: cached prompts and running requests.
    pub memory_tokens: u64,
    /// Tokens of a prompt's memory that it copies from another engine in a second.
    pub copied_per_s: u64,
    /// What it bears after a start; nothing where that is no less than usual.
    pub cold: Option<ColdLimits>,
}

/// Whom a request is charged to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The workspace's name.
    pub name: WorkspaceName,
}

/// What callers may send, and what the fleet can serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time in which a request's head must have come.
    pub head_timeout: Duration,
    /// Time for which a connection may rest between requests.
    pub idle_timeout: Duration,
    /// Tokens a second that all engines make together, read and written.
    pub token_rate: Option<u64>,
}

impl Default for Limits {
    /// Bounds that hold until the first configuration: those usual in HTTP servers.
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
    /// A table of these parts. `keys` is nothing where requests carry no keys.
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
        RoutingTable { version, routes: by_host, services, keys, limits }
    }

    /// The route of a request: of its host's, the one with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes.get(host)?.iter().find(|r| path.starts_with(&r.prefix))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether requests carry keys.
    pub fn has_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.keys.as_ref()?.get(key)
    }
}

impl Route {
    /// The service for a request; `draw` spreads requests by weight and is the same for each try.
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
