//! The configuration object, as operators confirmed it: workspaces, services, pools and upstreams.
//!
//! The platform's Object API stores it as one JSON value. Its revision is the object's version.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use rustc_hash::FxHashSet;
use serde::Deserialize;
use serde::Serialize;

use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::names::ZoneName;

/// The name of the configuration object in the platform's Object API.
pub const CONFIGURATION_OBJECT: &str = "frostdyke/configuration";

/// Placeholder in a path for the request's id.
pub const REQUEST_PLACEHOLDER: &str = "{request}";

/// Placeholder in a path for the number of events that the caller has received.
pub const FROM_PLACEHOLDER: &str = "{from}";

/// Maximum length of a name in the configuration.
pub const NAME_MAX_BYTES: usize = 64;

/// The whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Catalog {
    /// Workspaces (customers) and their limits.
    pub workspaces: Vec<Workspace>,
    /// Services that callers can address.
    pub services: Vec<Service>,
    /// Groups of interchangeable upstreams.
    pub pools: Vec<Pool>,
    /// Engines, and upstreams that run no model.
    pub upstreams: Vec<Upstream>,
    /// Limits of the weight store.
    #[serde(default)]
    pub weights: Weights,
    /// Recently applied plans, newest last. They show whether a write took effect whose response
    /// was lost.
    #[serde(default)]
    pub applied: Vec<Applied>,
}

impl Catalog {
    /// The availability zones that have upstreams, in order.
    pub fn zones(&self) -> BTreeSet<&ZoneName> {
        self.upstreams.iter().map(|u| &u.zone).collect()
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceName,
    /// Weight of the workspace's share relative to others; at least 1.
    #[serde(default = "one")]
    pub weight: u32,
    /// SHA-256 digests of the API keys of this workspace, in hexadecimal.
    #[serde(default)]
    pub key_digests: Vec<String>,
    /// Requests that may wait at one router. Further ones are rejected at once.
    #[serde(default = "waiting_limit")]
    pub waiting_limit: u32,
    /// Requests that may run concurrently per pool and availability zone.
    #[serde(default = "running_limit")]
    pub running_limit: u32,
    /// The services that it may use; `None` for all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub services: Option<BTreeSet<ServiceName>>,
}

impl Workspace {
    /// Whether the workspace may use a service.
    pub fn may_use(&self, service: &ServiceName) -> bool {
        self.services.as_ref().is_none_or(|allowed| allowed.contains(service))
    }
}

/// A service that callers address by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, and the last segment of the path that callers request.
    pub name: ServiceName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The path of requests to an upstream.
    pub path: String,
    /// The path at which an upstream resumes an interrupted event stream. `{request}` stands for
    /// the request's id, `{from}` for the number of events that the caller has received. `None` if
    /// upstreams can't resume streams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume: Option<String>,
    /// Cost assumed for a workspace's requests until the first have ended, in the pool's unit.
    #[serde(default = "default_cost")]
    pub default_cost: u32,
    /// Whether a request may be retried if its caller doesn't specify it.
    #[serde(default = "yes")]
    pub repeatable: bool,
}

/// A group of upstreams, and the policy that schedules requests on them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: PoolName,
    /// The unit of a request's cost.
    pub unit: Unit,
    /// How far urgent requests may put their workspace ahead of the others, in the pool's unit.
    #[serde(default = "urgent_lead")]
    pub urgent_lead: u32,
    /// Number of a workspace's other requests that are served before one background request.
    #[serde(default = "background_every")]
    pub background_every: u32,
    /// A workspace that waits at another router is served first if it is behind the local ones by
    /// more than this, in the pool's unit.
    #[serde(default = "pull_margin")]
    pub pull_margin: u32,
    /// Upper limit on how far a waiting workspace can be behind another, in the pool's unit.
    /// Service that it missed beyond that, while zones were partitioned, isn't compensated.
    #[serde(default = "debt_cap")]
    pub debt_cap: u32,
    /// Limit on retries, in percent of the requests.
    #[serde(default = "retry_percent")]
    pub retry_percent: u32,
    /// Engines of one availability zone that may be out of service at once during changes.
    #[serde(default = "one")]
    pub unavailable_max: u32,
}

/// The unit of cost of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unit {
    /// Tokens: counted by the events of the response, and corrected by the usage in the last one.
    Tokens,
    /// Calls: every request costs 1.
    Calls,
}

/// An engine, or an upstream that runs no model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Unique name.
    pub name: UpstreamName,
    /// The pool it belongs to.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it gets no new requests.
    #[serde(default)]
    pub draining: bool,
    /// What an engine must have loaded; `None` if its state isn't managed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineState>,
}

/// What an engine has loaded, or must load.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineState {
    pub model: String,
    /// The model's version.
    pub version: String,
    /// Adapters of the model.
    #[serde(default)]
    pub adapters: BTreeSet<String>,
    /// Its role in the pool, such as `prefill` or `decode`; empty for all roles.
    #[serde(default)]
    pub role: String,
}

/// Limits of the weight store, for the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Loads that may start per minute, divided equally among the zones that have upstreams.
    pub loads_per_minute: u32,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { loads_per_minute: 6 }
    }
}

/// A plan that was applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Applied {
    /// The plan's hash.
    pub plan: String,
    /// The operator who confirmed it.
    pub by: String,
}

/// A valid configuration at one revision, with indexes for lookups.
#[derive(Clone, Debug, Default)]
pub struct CatalogRevision {
    /// The object's version; 0 before the first is read.
    pub number: u64,
    pub catalog: Catalog,
    services: FxHashMap<ServiceName, usize>,
    workspaces: FxHashMap<WorkspaceName, usize>,
    pools: FxHashMap<PoolName, usize>,
    upstreams: FxHashMap<UpstreamName, usize>,
}

impl CatalogRevision {
    /// Validates and indexes a configuration that was read at object version `number`.
    pub fn new(number: u64, catalog: Catalog) -> Result<CatalogRevision, Vec<Fault>> {
        let faults = validate(&catalog);
        if !faults.is_empty() {
            return Err(faults);
        }
        let services =
            catalog.services.iter().enumerate().map(|(i, s)| (s.name.clone(), i)).collect();
        let workspaces =
            catalog.workspaces.iter().enumerate().map(|(i, w)| (w.name.clone(), i)).collect();
        let pools = catalog.pools.iter().enumerate().map(|(i, p)| (p.name.clone(), i)).collect();
        let upstreams =
            catalog.upstreams.iter().enumerate().map(|(i, u)| (u.name.clone(), i)).collect();
        Ok(CatalogRevision { number, catalog, services, workspaces, pools, upstreams })
    }

    /// Looks up a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|&i| &self.catalog.services[i])
    }

    /// Looks up a workspace.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces.get(name).map(|&i| &self.catalog.workspaces[i])
    }

    /// Looks up a pool.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.get(name).map(|&i| &self.catalog.pools[i])
    }

    /// Looks up an upstream.
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams.get(name).map(|&i| &self.catalog.upstreams[i])
    }

    /// The upstreams of a pool in one availability zone.
    pub fn upstreams<'a>(
        &'a self,
        pool: &'a str,
        zone: &'a str,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.catalog.upstreams.iter().filter(move |u| &*u.pool == pool && &*u.zone == zone)
    }
}

/// An invalid field of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct Fault {
    /// The path of the field, such as `upstreams[3].pool`.
    pub field: String,
    /// Why it is invalid.
    pub reason: String,
}

/// Returns all faults of a configuration.
pub fn validate(catalog: &Catalog) -> Vec<Fault> {
    let mut faults = Vec::new();
    validate_names(&mut faults, "workspaces", catalog.workspaces.iter().map(|w| w.name.as_str()));
    validate_names(&mut faults, "services", catalog.services.iter().map(|s| s.name.as_str()));
    validate_names(&mut faults, "pools", catalog.pools.iter().map(|p| p.name.as_str()));
    validate_names(&mut faults, "upstreams", catalog.upstreams.iter().map(|u| u.name.as_str()));
    let services: FxHashSet<&str> = catalog.services.iter().map(|s| s.name.as_str()).collect();
    let pools: FxHashSet<&str> = catalog.pools.iter().map(|p| p.name.as_str()).collect();
    for (i, workspace) in catalog.workspaces.iter().enumerate() {
        if workspace.weight == 0 {
            faults.push(fault(format!("workspaces[{i}].weight"), "must be at least 1"));
        }
        for service in workspace.services.iter().flatten() {
            if !services.contains(service.as_str()) {
                let reason = format!("there is no service '{service}'");
                faults.push(fault(format!("workspaces[{i}].services"), &reason));
            }
        }
        for (k, digest) in workspace.key_digests.iter().enumerate() {
            if hex::decode(digest).map(|d| d.len()) != Ok(32) {
                let field = format!("workspaces[{i}].key_digests[{k}]");
                faults.push(fault(field, "must be a SHA-256 digest in hexadecimal"));
            }
        }
    }
    for (i, service) in catalog.services.iter().enumerate() {
        if !pools.contains(service.pool.as_str()) {
            faults.push(fault(format!("services[{i}].pool"), "names no pool"));
        }
        if !service.path.starts_with('/') {
            faults.push(fault(format!("services[{i}].path"), "must start with '/'"));
        }
        let is_valid_resume_path = |p: &String| {
            p.starts_with('/')
                && [REQUEST_PLACEHOLDER, FROM_PLACEHOLDER]
                    .iter()
                    .all(|placeholder| p.contains(placeholder))
        };
        if !service.resume.as_ref().is_none_or(is_valid_resume_path) {
            let reason = "must start with '/' and hold {request} and {from}";
            faults.push(fault(format!("services[{i}].resume"), reason));
        }
    }
    if catalog.weights.loads_per_minute == 0 {
        faults.push(fault("weights.loads_per_minute".to_owned(), "must be at least 1"));
    }
    for (i, pool) in catalog.pools.iter().enumerate() {
        if pool.unavailable_max == 0 {
            faults.push(fault(format!("pools[{i}].unavailable_max"), "must be at least 1"));
        }
        if pool.background_every == 0 {
            faults.push(fault(format!("pools[{i}].background_every"), "must be at least 1"));
        }
    }
    for (i, upstream) in catalog.upstreams.iter().enumerate() {
        if !pools.contains(upstream.pool.as_str()) {
            faults.push(fault(format!("upstreams[{i}].pool"), "names no pool"));
        }
        if upstream.engine.as_ref().is_some_and(|e| e.model.is_empty()) {
            faults.push(fault(format!("upstreams[{i}].engine.model"), "must not be empty"));
        }
        if upstream.slots == 0 {
            faults.push(fault(format!("upstreams[{i}].slots"), "must be at least 1"));
        }
    }
    faults
}

fn validate_names<'a>(faults: &mut Vec<Fault>, kind: &str, names: impl Iterator<Item = &'a str>) {
    let mut seen = FxHashSet::default();
    for (i, name) in names.enumerate() {
        let field = format!("{kind}[{i}].name");
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if name.is_empty() || NAME_MAX_BYTES < name.len() || !name.chars().all(is_allowed) {
            faults.push(fault(field, "must be 1 to 64 letters, digits, '-', '_' or '.'"));
        } else if !seen.insert(name) {
            faults.push(fault(field, "stands twice"));
        }
    }
}

fn fault(field: String, reason: &str) -> Fault {
    Fault { field, reason: reason.to_owned() }
}

fn one() -> u32 {
    1
}

fn yes() -> bool {
    true
}

fn waiting_limit() -> u32 {
    256
}

fn running_limit() -> u32 {
    1024
}

fn default_cost() -> u32 {
    300
}

fn urgent_lead() -> u32 {
    2000
}

fn background_every() -> u32 {
    10
}

fn pull_margin() -> u32 {
    2000
}

fn debt_cap() -> u32 {
    20_000
}

fn retry_percent() -> u32 {
    10
}
