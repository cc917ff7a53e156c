//! Logs and counts what is learned of the speed of single engines.

use slog::debug;
use slog::info;

use crate::names::UpstreamName;
use crate::placement::registry::own_speed::OwnSpeedReport;
use crate::proxy::hub::Hub;

/// Adopts the levels that another box reports.
pub fn adopt(hub: &Hub, reports: &[OwnSpeedReport]) {
    if reports.is_empty() {
        return;
    }
    let now = hub.now();
    let counts = hub.with_registry(|registry| registry.adopt_own_speeds(reports, now));
    hub.metrics().own_speeds_adopted(counts);
    debug!(hub.log(), "engine speeds reported"; "adopted" => counts.adopted, "kept" => counts.kept,
        "other_instance" => counts.other_instance, "out_of_bounds" => counts.out_of_bounds);
}

/// Logs engines that have become slow, or normal again.
pub fn log_changes(hub: &Hub) {
    let now = hub.now();
    for change in hub.with_registry(|registry| registry.take_slow_changes(now)) {
        let message = if change.is_slow { "engine is slow" } else { "engine has normal speed" };
        info!(hub.log(), "{}", message; "upstream" => change.upstream.as_str(),
            "factor" => change.factor, "spread" => change.spread);
    }
}

/// The levels of the engines in the groups that this box owns or stands by for; of all engines in a
/// small fleet.
pub fn level_factors(hub: &Hub) -> Vec<(UpstreamName, f64)> {
    let owners = hub.peers().owners();
    let own_ip = hub.peers().own_ip();
    let groups: Vec<_> = if owners.is_empty() {
        vec![None]
    } else {
        owners.groups_of(own_ip).map(|(group, _)| Some(group)).collect()
    };
    hub.read(|view| {
        let of_group = |group| view.registry().engine_speeds(group);
        let engines = groups.into_iter().flat_map(of_group);
        engines.map(|(name, own)| (name.clone(), own.level_factor())).collect()
    })
}
