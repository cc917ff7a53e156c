//! Plans: the changes that an intent would make to a given revision of the configuration.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::config::Applied;
use crate::config::Catalog;
use crate::config::catalog;
use crate::operator::Confirmation;
use crate::operator::Problem;
use crate::operator::VersionedCatalog;
use crate::operator::intent;
use crate::operator::intent::Intent;
use crate::platform::Error;
use crate::platform::ObjectStore;

/// Applied plans that are recorded in the configuration.
const APPLIED_MAX: usize = 64;

/// Attempts to apply a plan when writes conflict or their response is lost.
const CONFIRM_ATTEMPTS_MAX: usize = 3;

/// The effect of an intent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The intent.
    pub intent: Intent,
    /// The revision that it was created for.
    pub base: u64,
    /// The fields that it changes.
    pub changes: Vec<FieldChange>,
    /// Warnings to the operator before confirming.
    pub warnings: Vec<String>,
    /// Identifies the plan: SHA-256 of the base, the intent and the resulting configuration.
    pub hash: String,
}

/// The change of one field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The path of the field, such as `upstreams.llm-1.draining`.
    pub field: String,
    /// Its value before; `None` if the field is added.
    pub before: Option<Value>,
    /// Its value after; `None` if the field is removed.
    pub after: Option<Value>,
}

/// Reads the configuration.
pub fn read_configuration(objects: &dyn ObjectStore) -> Result<VersionedCatalog, Problem> {
    let Some(object) = objects.get(catalog::CONFIGURATION_OBJECT)? else {
        return Ok(VersionedCatalog { revision: 0, configuration: Catalog::default() });
    };
    let configuration = serde_json::from_slice(&object.value)
        .map_err(|e| Problem::Platform { reason: format!("the configuration: {e}") })?;
    Ok(VersionedCatalog { revision: object.version, configuration })
}

/// Creates a plan for the current configuration.
pub fn create(objects: &dyn ObjectStore, intent: Intent) -> Result<Plan, Problem> {
    let current = read_configuration(objects)?;
    plan_and_result(&current, intent).map(|(plan, _)| plan)
}

/// Applies a plan unless the configuration has changed since it was created. The configuration
/// records the applied plans, so a plan that is confirmed twice, or whose write is retried after a
/// lost response, is applied once.
pub fn confirm(
    objects: &dyn ObjectStore,
    confirmed: &Plan,
    by: &str,
) -> Result<Confirmation, Problem> {
    for _ in 0..CONFIRM_ATTEMPTS_MAX {
        let current = read_configuration(objects)?;
        if current.configuration.applied.iter().any(|a| a.plan == confirmed.hash) {
            return Ok(Confirmation { revision: current.revision });
        }
        let (plan, mut next) = plan_and_result(&current, confirmed.intent.clone())?;
        if current.revision != confirmed.base {
            return Err(Problem::Stale { plan: Box::new(plan) });
        }
        if plan.hash != confirmed.hash {
            return Err(Problem::Forged);
        }
        next.applied.push(Applied { plan: plan.hash, by: by.to_owned() });
        let surplus = next.applied.len().saturating_sub(APPLIED_MAX);
        next.applied.drain(..surplus);
        let value = serde_json::to_vec(&next).expect("a configuration serializes");
        match objects.put(catalog::CONFIGURATION_OBJECT, &value, current.revision) {
            Ok(revision) => return Ok(Confirmation { revision }),
            // The next attempt reads the configuration: it contains this plan, or another change.
            Err(Error::Conflict { .. } | Error::Unknown(_)) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Err(Problem::Platform {
        reason: "the answer to the update was lost again and again".to_owned(),
    })
}

fn plan_and_result(current: &VersionedCatalog, intent: Intent) -> Result<(Plan, Catalog), Problem> {
    let base = &current.configuration;
    let next = intent::apply(base, &intent).map_err(|faults| Problem::Invalid { faults })?;
    let text = serde_json::to_vec(&(current.revision, &intent, &next)).expect("a plan serializes");
    let plan = Plan {
        base: current.revision,
        changes: field_changes(base, &next),
        warnings: warnings(base, &next),
        hash: hex::encode(Sha256::digest(text)),
        intent,
    };
    Ok((plan, next))
}

fn field_changes(base: &Catalog, next: &Catalog) -> Vec<FieldChange> {
    let value = |c: &Catalog| {
        let c = Catalog { applied: Vec::new(), ..c.clone() };
        serde_json::to_value(c).expect("a configuration serializes")
    };
    let mut changes = Vec::new();
    compare("", Some(&value(base)), Some(&value(next)), &mut changes);
    changes
}

/// Adds the differences of two values. Elements of lists with names are matched by name.
fn compare(
    field: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<FieldChange>,
) {
    if before == after {
        return;
    }
    let parts = |v: Option<&Value>| v.and_then(children).unwrap_or_default();
    let (old, new) = (parts(before), parts(after));
    if old.is_empty() || new.is_empty() {
        let (before, after) = (before.cloned(), after.cloned());
        changes.push(FieldChange { field: field.to_owned(), before, after });
        return;
    }
    let mut names: Vec<&String> = old.iter().chain(&new).map(|(name, _)| name).collect();
    names.sort();
    names.dedup();
    for name in names {
        let get = |parts: &[(String, Value)]| {
            parts.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone())
        };
        let path = if field.is_empty() { name.clone() } else { format!("{field}.{name}") };
        compare(&path, get(&old).as_ref(), get(&new).as_ref(), changes);
    }
}

/// Returns the named parts of a value; `None` if it isn't an object or a list of named elements.
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
        let is_kept = next.upstreams.iter().any(|u| u.name == upstream.name);
        if !is_kept && !upstream.draining {
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
