//! What operators can want, and what it makes of a configuration. Pure.

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

/// Something that an operator wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "kebab-case")]
pub enum Intent {
    /// A workspace as described, new or changed.
    PutWorkspace { workspace: Workspace },
    /// No such workspace any more.
    RemoveWorkspace { name: String },
    /// A service as described, new or changed.
    PutService { service: Service },
    /// No such service any more.
    RemoveService { name: String },
    /// A pool as described, new or changed.
    PutPool { pool: Pool },
    /// No such pool any more.
    RemovePool { name: String },
    /// An upstream as described, new or changed.
    PutUpstream { upstream: Upstream },
    /// No such upstream any more. Drain it first.
    RemoveUpstream { name: String },
    /// No new work for an upstream.
    Drain { upstream: String },
    /// Work for an upstream again.
    Undrain { upstream: String },
    /// This loaded on every engine of a pool, one after the other.
    Load { pool: String, engine: EngineState },
    /// The whole configuration as described.
    Replace { configuration: Catalog },
}

/// The configuration that an intent makes of `base`; or every fault of it.
pub fn apply(base: &Catalog, intent: &Intent) -> Result<Catalog, Vec<Fault>> {
    let mut next = base.clone();
    change(&mut next, intent).map_err(|fault| vec![fault])?;
    let faults = catalog::validate(&next);
    if faults.is_empty() { Ok(next) } else { Err(faults) }
}

fn change(next: &mut Catalog, intent: &Intent) -> Result<(), Fault> {
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
        Intent::Drain { upstream } => find(next, upstream)?.draining = true,
        Intent::Undrain { upstream } => find(next, upstream)?.draining = false,
        Intent::Load { pool, engine } => load(next, pool, engine)?,
        Intent::Replace { configuration } => {
            let applied = std::mem::take(&mut next.applied);
            *next = Catalog { applied, ..configuration.clone() };
        }
    }
    Ok(())
}

fn load(next: &mut Catalog, pool: &str, engine: &EngineState) -> Result<(), Fault> {
    if !next.pools.iter().any(|p| &*p.name == pool) {
        return Err(unknown("pool", pool));
    }
    for upstream in next.upstreams.iter_mut().filter(|u| &*u.pool == pool) {
        upstream.engine = Some(engine.clone());
    }
    Ok(())
}

fn put<T>(all: &mut Vec<T>, item: T, name: impl Fn(&T) -> &str) {
    match all.iter_mut().find(|known| name(known) == name(&item)) {
        Some(known) => *known = item,
        None => all.push(item),
    }
}

fn remove<T>(all: &mut Vec<T>, wanted: &str, name: impl Fn(&T) -> &str) -> Result<(), Fault> {
    let at = all.iter().position(|item| name(item) == wanted);
    all.remove(at.ok_or_else(|| unknown("name", wanted))?);
    Ok(())
}

fn find<'a>(next: &'a mut Catalog, name: &str) -> Result<&'a mut Upstream, Fault> {
    let found = next.upstreams.iter_mut().find(|u| &*u.name == name);
    found.ok_or_else(|| unknown("upstream", name))
}

fn unknown(field: &str, name: &str) -> Fault {
    Fault { field: field.to_owned(), reason: format!("there is no '{name}'") }
}
