//! Configurations of one pool and one service, with limits that no test reaches.
#![allow(dead_code)]

use frostdyke::config::Catalog;
use frostdyke::config::Upstream;
use frostdyke::config::Workspace;
use serde_json::json;

pub const POOL: &str = "llm";
pub const SERVICE: &str = "assist";

/// More requests than any test or bench has waiting or running.
const LIMIT: u32 = 1 << 20;

pub fn workspace(name: &str, weight: u32) -> Workspace {
    Workspace {
        name: name.into(),
        weight,
        key_digests: Vec::new(),
        waiting_limit: LIMIT,
        running_limit: LIMIT,
        services: None,
    }
}

pub fn upstream(name: &str, zone: &str, slots: u32) -> Upstream {
    Upstream {
        name: name.into(),
        pool: POOL.into(),
        zone: zone.into(),
        address: ([127, 0, 0, 1], 1).into(),
        slots,
        draining: false,
        engine: None,
    }
}

/// A catalog with these workspaces and upstreams, one service, one pool, and defaults elsewhere.
pub fn catalog(workspaces: Vec<Workspace>, upstreams: Vec<Upstream>) -> Catalog {
    let base = json!({
        "workspaces": [],
        "services": [
            {"name": SERVICE, "pool": POOL, "path": "/v1/generate", "default_cost": 100},
        ],
        "pools": [{"name": POOL, "unit": "tokens"}],
        "upstreams": [],
    });
    let base: Catalog = serde_json::from_value(base).expect("a configuration");
    Catalog { workspaces, upstreams, ..base }
}
