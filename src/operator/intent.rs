//! Intents: changes that operators request, and how they apply to a configuration. Does no I/O.

use serde::Deserialize;
use serde::Serialize;

use crate::config::Catalog;
use crate::config::EngineState;
use crate::config::Fault;
use crate::config::Pool;
use crate::config::Service;
use crate::config::Upstream;
use crate::config::Workspace;
use crate::config::catalog;

/// A change of the configuration that an operator requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "kebab-case")]
pub enum Intent {
    /// Add or replace a workspace.
    PutWorkspace { workspace: Workspace },
    /// Remove a workspace.
    RemoveWorkspace { name: String },
    /// Add or replace a service.
    PutService { service: Service },
    /// Remove a service.
    RemoveService { name: String },
    /// Add or replace a pool.
    PutPool { pool: Pool },
    /// Remove a pool.
    RemovePool { name: String },
    /// Add or replace an upstream.
    PutUpstream { upstream: Upstream },
    /// Remove an upstream. It should be drained first.
    RemoveUpstream { name: String },
    /// Send an upstream no new requests.
    Drain { upstream: String },
    /// Send an upstream requests again.
    Undrain { upstream: String },
    /// Load a model on every engine of a pool, one after the other.
    Load { pool: String, engine: EngineState },
    /// Replace the whole configuration.
    Replace { configuration: Catalog },
}

/// Applies an intent to `base`. Returns the resulting configuration, or all its faults.
pub fn apply(base: &Catalog, intent: &Intent) -> Result<Catalog, Vec<Fault>> {
    let mut next = base.clone();
    apply_unchecked(&mut next, intent).map_err(|fault| vec![fault])?;
    let faults = catalog::validate(&next);
    if faults.is_empty() { Ok(next) } else { Err(faults) }
}

fn apply_unchecked(next: &mut Catalog, intent: &Intent) -> Result<(), Fault> {
    match intent {
        Intent::PutWorkspace { workspace } => {
            put(&mut next.workspaces, workspace.clone(), |w| &w.name);
        }
        Intent::RemoveWorkspace { name } => {
            remove(&mut next.workspaces, name, |w| &w.name)?;
        }
        Intent::PutService { service } => put(&mut next.services, service.clone(), |s| &s.name),
        Intent::RemoveService { name } => remove(&mut next.services, name, |s| &s.name)?,
        Intent::PutPool { pool } => put(&mut next.pools, pool.clone(), |p| &p.name),
        Intent::RemovePool { name } => remove(&mut next.pools, name, |p| &p.name)?,
        Intent::PutUpstream { upstream } => {
            put(&mut next.upstreams, upstream.clone(), |u| &u.name);
        }
        Intent::RemoveUpstream { name } => {
            remove(&mut next.upstreams, name, |u| &u.name)?;
        }
        Intent::Drain { upstream } => find_upstream(next, upstream)?.draining = true,
        Intent::Undrain { upstream } => find_upstream(next, upstream)?.draining = false,
        Intent::Load { pool, engine } => set_engine_state(next, pool, engine)?,
        Intent::Replace { configuration } => {
            let applied = std::mem::take(&mut next.applied);
            *next = Catalog { applied, ..configuration.clone() };
        }
    }
    Ok(())
}

fn set_engine_state(next: &mut Catalog, pool: &str, engine: &EngineState) -> Result<(), Fault> {
    if !next.pools.iter().any(|p| &*p.name == pool) {
        return Err(not_found("pool", pool));
    }
    for upstream in next.upstreams.iter_mut().filter(|u| &*u.pool == pool) {
        upstream.engine = Some(engine.clone());
    }
    Ok(())
}

fn put<T>(all: &mut Vec<T>, item: T, name: impl Fn(&T) -> &str) {
    match all.iter_mut().find(|existing| name(existing) == name(&item)) {
        Some(existing) => *existing = item,
        None => all.push(item),
    }
}

fn remove<T>(all: &mut Vec<T>, target: &str, name: impl Fn(&T) -> &str) -> Result<(), Fault> {
    let index = all.iter().position(|item| name(item) == target);
    all.remove(index.ok_or_else(|| not_found("name", target))?);
    Ok(())
}

fn find_upstream<'a>(next: &'a mut Catalog, name: &str) -> Result<&'a mut Upstream, Fault> {
    let found = next.upstreams.iter_mut().find(|u| &*u.name == name);
    found.ok_or_else(|| not_found("upstream", name))
}

fn not_found(field: &str, name: &str) -> Fault {
    Fault { field: field.to_owned(), reason: format!("there is no '{name}'") }
}
