//! Plans: what an intent would change, bound to the revision it was made for.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::config::Applied;
use crate::config::Catalog;
use crate::config::catalog;
use crate::operator::Confirmed;
use crate::operator::Problem;
use crate::operator::Shown;
use crate::operator::intent;
use crate::operator::intent::Intent;
use crate::platform::Error;
use crate::platform::ObjectStore;

/// Applied plans that the configuration remembers.
const APPLIED_MAX: usize = 64;

/// Tries to settle a write whose answer was lost.
const SETTLE_MAX: usize = 3;

/// What an intent would do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What was wanted.
    pub intent: Intent,
    /// The revision that it was made for.
    pub base: u64,
    /// What it changes.
    pub changes: Vec<Difference>,
    /// What an operator should know before confirming.
    pub warnings: Vec<String>,
    /// Names the plan: SHA-256 over the base, the intent and the configuration it gives.
    pub hash: String,
}

/// One field that changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// Its place, such as `upstreams.llm-1.draining`.
    pub field: String,
    /// Its value now; nothing for a new one.
    pub before: Option<Value>,
    /// Its value then; nothing for one that goes.
    pub after: Option<Value>,
}

/// Reads the configuration.
pub fn read(objects: &dyn ObjectStore) -> Result<Shown, Problem> {
    let Some(object) = objects.get(catalog::CONFIGURATION_OBJECT)? else {
        return Ok(Shown { revision: 0, configuration: Catalog::default() });
    };
    let configuration = serde_json::from_slice(&object.value)
        .map_err(|e| Problem::Platform { reason: format!("the configuration: {e}") })?;
    Ok(Shown { revision: object.version, configuration })
}

/// Makes a plan for the configuration as it is now.
pub fn make(objects: &dyn ObjectStore, intent: Intent) -> Result<Plan, Problem> {
    let shown = read(objects)?;
    plan(&shown, intent).map(|(plan, _)| plan)
}

/// Applies a plan, unless the configuration has changed since. Confirming a plan twice applies it
/// once, and so does a write whose answer was lost: the configuration names the plans applied.
pub fn confirm(objects: &dyn ObjectStore, wanted: &Plan, by: &str) -> Result<Confirmed, Problem> {
    for _ in 0..SETTLE_MAX {
        let shown = read(objects)?;
        if shown.configuration.applied.iter().any(|a| a.plan == wanted.hash) {
            return Ok(Confirmed { revision: shown.revision });
        }
        let (plan, mut next) = plan(&shown, wanted.intent.clone())?;
        if shown.revision != wanted.base {
            return Err(Problem::Stale { plan: Box::new(plan) });
        }
        if plan.hash != wanted.hash {
            return Err(Problem::Forged);
        }
        next.applied.push(Applied { plan: plan.hash, by: by.to_owned() });
        let surplus = next.applied.len().saturating_sub(APPLIED_MAX);
        next.applied.drain(..surplus);
        let value = serde_json::to_vec(&next).expect("a configuration serializes");
        match objects.put(catalog::CONFIGURATION_OBJECT, &value, shown.revision) {
            Ok(revision) => return Ok(Confirmed { revision }),
            // Read back: either this plan is in there now, or another one was faster.
            Err(Error::Conflict { .. } | Error::Unknown(_)) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Err(Problem::Platform {
        reason: "the answer to the update was lost again and again".to_owned(),
    })
}

fn plan(shown: &Shown, intent: Intent) -> Result<(Plan, Catalog), Problem> {
    let base = &shown.configuration;
    let next = intent::apply(base, &intent).map_err(|faults| Problem::Invalid { faults })?;
    let text = serde_json::to_vec(&(shown.revision, &intent, &next)).expect("it serializes");
    let plan = Plan {
        base: shown.revision,
        changes: differences(base, &next),
        warnings: warnings(base, &next),
        hash: hex::encode(Sha256::digest(text)),
        intent,
    };
    Ok((plan, next))
}

fn differences(base: &Catalog, next: &Catalog) -> Vec<Difference> {
    let value = |c: &Catalog| {
        let c = Catalog { applied: Vec::new(), ..c.clone() };
        serde_json::to_value(c).expect("a configuration serializes")
    };
    let mut found = Vec::new();
    compare("", Some(&value(base)), Some(&value(next)), &mut found);
    found
}

/// Lists of named things are compared by name, everything else by place.
fn compare(
    field: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    if before == after {
        return;
    }
    let parts = |v: Option<&Value>| v.and_then(children).unwrap_or_default();
    let (old, new) = (parts(before), parts(after));
    if old.is_empty() || new.is_empty() {
        let (before, after) = (before.cloned(), after.cloned());
        found.push(Difference { field: field.to_owned(), before, after });
        return;
    }
    let mut names: Vec<&String> = old.iter().chain(&new).map(|(name, _)| name).collect();
    names.sort();
    names.dedup();
    for name in names {
        let get = |parts: &[(String, Value)]| {
            parts.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone())
        };
        let place = if field.is_empty() { name.clone() } else { format!("{field}.{name}") };
        compare(&place, get(&old).as_ref(), get(&new).as_ref(), found);
    }
}

/// The named parts of a value; nothing for one that has none.
fn children(value: &Value) -> Option<Vec<(String, Value)>> {
    match value {
        Value::Object(map) => Some(map.iter().map(|(k, v)| (k.clone(), v.clone())).collect()),
        Value::Array(items) => {
            let named = |item: &Value| Some((item.get("name")?.as_str()?.to_owned(), item.clone()));
            items.iter().map(named).collect()
        }
        _ => None,
    }
}

fn warnings(base: &Catalog, next: &Catalog) -> Vec<String> {
    let mut warnings = Vec::new();
    for pool in &next.pools {
        let usable =
            |c: &Catalog| c.upstreams.iter().filter(|u| u.pool == pool.name && !u.draining).count();
        if usable(next) == 0 && usable(base) != 0 {
            warnings.push(format!("pool {} is left without an upstream", pool.name));
        }
    }
    for upstream in &base.upstreams {
        let stays = next.upstreams.iter().any(|u| u.name == upstream.name);
        if !stays && !upstream.draining {
            warnings.push(format!("upstream {} goes without being drained first", upstream.name));
        }
    }
    for workspace in &base.workspaces {
        if !next.workspaces.iter().any(|w| w.name == workspace.name) {
            warnings.push(format!("requests of workspace {} are refused", workspace.name));
        }
    }
    warnings
}
