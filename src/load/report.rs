//! Summarizes a run: the service of each workspace, its fairness, the utilisation of the slots, and
//! the traffic between routers.

use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::client::ClientCounts;
use crate::load::scenario::Scenario;
use crate::load::scrape::PoolSample;
use crate::load::scrape::Sample;

/// Seconds at the start and at the end that are excluded from the gap and the utilisation.
const MARGIN_S: usize = 2;

/// The results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Duration of the run, in seconds.
    pub seconds: u64,
    /// Number of routers.
    pub routers: usize,
    /// Results of each workspace.
    pub workspaces: Vec<WorkspaceReport>,
    /// Utilisation of each pool.
    pub pools: Vec<PoolReport>,
    /// Largest difference of service, divided by weight, that two backlogged workspaces accumulated
    /// over any period of the run, in cost units.
    pub gap: f64,
    /// Bytes between routers, per router and second.
    pub peer_bytes_per_router_second: f64,
    /// Bytes between routers, per request that ran.
    pub peer_bytes_per_request: f64,
}

/// The results of one workspace.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceReport {
    /// The name of the workspace.
    pub workspace: String,
    /// Its weight.
    pub weight: f64,
    /// Whether it always had requests waiting, because it sends without a rate.
    pub backlogged: bool,
    /// Requests whose response was received completely.
    pub ran: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown, or whose response was cut off.
    pub unknown: u64,
    /// Cost received.
    pub service: u64,
    /// Cost received in each second.
    pub per_second: Vec<u64>,
    /// Median of the milliseconds until a response started.
    pub first_p50_ms: f64,
    /// 99th percentile of the milliseconds until a response started.
    pub first_p99_ms: f64,
}

/// The utilisation of a pool.
#[derive(Clone, Debug, Serialize)]
pub struct PoolReport {
    /// The name of the pool.
    pub pool: String,
    /// Its slots.
    pub slots: f64,
    /// Share of the slots in use, over samples in which requests waited.
    pub utilisation_while_waiting: Option<f64>,
    /// Share of the slots in use, over all samples.
    pub utilisation: f64,
}

/// Summarizes the counts of the clients and the samples of the routers.
pub fn summarize(scenario: &Scenario, counts: &[ClientCounts], samples: &[Sample]) -> Report {
    let workspaces: Vec<WorkspaceReport> =
        (0..scenario.workspaces.len()).map(|w| workspace_report(scenario, w, counts)).collect();
    let seconds = scenario.duration.as_secs();
    let ran: u64 = workspaces.iter().map(|w| w.ran).sum();
    let bytes = match (samples.first(), samples.last()) {
        (Some(first), Some(last)) => last.peer_bytes - first.peer_bytes,
        _ => 0.0,
    };
    let routers = scenario.targets.len();
    Report {
        seconds,
        routers,
        gap: fairness_gap(&workspaces, seconds as usize),
        pools: pool_reports(samples, seconds as f64),
        peer_bytes_per_router_second: bytes / (routers as f64 * seconds.max(1) as f64),
        peer_bytes_per_request: bytes / ran.max(1) as f64,
        workspaces,
    }
}

impl Report {
    /// Formats the results as text.
    pub fn table(&self) -> String {
        let mut out = String::new();
        // Writing to a string doesn't fail.
        let _ = writeln!(
            out,
            "{:<20} {:>6} {:>7} {:>8} {:>8} {:>9} {:>10} {:>10}",
            "workspace", "weight", "ran", "not-run", "unknown", "service", "first p50", "first p99"
        );
        for w in &self.workspaces {
            let _ = writeln!(
                out,
                "{:<20} {:>6} {:>7} {:>8} {:>8} {:>9} {:>7.1} ms {:>7.1} ms",
                w.workspace,
                w.weight,
                w.ran,
                w.not_run,
                w.unknown,
                w.service,
                w.first_p50_ms,
                w.first_p99_ms
            );
        }
        for p in &self.pools {
            let busy = p.utilisation_while_waiting.map_or("-".to_owned(), |u| format!("{u:.3}"));
            let _ = writeln!(
                out,
                "pool {}: {} slots, utilisation {:.3}, while work waits {busy}",
                p.pool, p.slots, p.utilisation
            );
        }
        let _ = writeln!(out, "fairness gap of backlogged workspaces: {:.0}", self.gap);
        let _ = writeln!(
            out,
            "between routers: {:.0} bytes a second and router, {:.0} a request",
            self.peer_bytes_per_router_second, self.peer_bytes_per_request
        );
        out
    }
}

fn workspace_report(scenario: &Scenario, index: usize, counts: &[ClientCounts]) -> WorkspaceReport {
    let settings = &scenario.workspaces[index];
    let own_counts = || counts.iter().filter(|c| c.workspace == index);
    let mut time_to_start = Histogram::<u64>::new(3).expect("the digits are valid");
    let mut per_second = vec![0; scenario.duration.as_secs() as usize + 1];
    for count in own_counts() {
        // Both histograms hold microseconds, and the sum resizes itself.
        let _ = time_to_start.add(&count.time_to_start);
        for (sum, n) in per_second.iter_mut().zip(&count.service) {
            *sum += n;
        }
    }
    WorkspaceReport {
        workspace: settings.name.clone(),
        weight: settings.weight,
        backlogged: settings.rate.is_none(),
        ran: own_counts().map(|c| c.ran).sum(),
        not_run: own_counts().map(|c| c.not_run).sum(),
        unknown: own_counts().map(|c| c.unknown).sum(),
        service: per_second.iter().sum(),
        per_second,
        first_p50_ms: time_to_start.value_at_quantile(0.5) as f64 / 1000.0,
        first_p99_ms: time_to_start.value_at_quantile(0.99) as f64 / 1000.0,
    }
}

/// Returns the largest difference that any two backlogged workspaces accumulated over any period:
/// for each pair, the range of the difference of their cumulative service.
fn fairness_gap(workspaces: &[WorkspaceReport], seconds: usize) -> f64 {
    let backlogged: Vec<Vec<f64>> = workspaces
        .iter()
        .filter(|w| w.backlogged)
        .map(|w| cumulative_service(w, seconds))
        .collect();
    let mut largest = 0.0_f64;
    for (i, a) in backlogged.iter().enumerate() {
        for b in &backlogged[i + 1..] {
            let differences = || a.iter().zip(b).map(|(a, b)| a - b);
            let max = differences().fold(f64::MIN, f64::max);
            let min = differences().fold(f64::MAX, f64::min);
            largest = largest.max(max - min);
        }
    }
    largest
}

/// Returns the cumulative service divided by weight for each second between the margins.
fn cumulative_service(w: &WorkspaceReport, seconds: usize) -> Vec<f64> {
    let counted = w.per_second.iter().take(seconds.saturating_sub(MARGIN_S)).skip(MARGIN_S);
    let add = |sum: &mut f64, &n: &u64| {
        *sum += n as f64 / w.weight;
        Some(*sum)
    };
    std::iter::once(0.0).chain(counted.scan(0.0, add)).collect()
}

fn pool_reports(samples: &[Sample], seconds: f64) -> Vec<PoolReport> {
    let margin = MARGIN_S as f64;
    let counted: Vec<&Sample> = samples
        .iter()
        .filter(|s| margin <= s.elapsed_s && s.elapsed_s <= seconds - margin)
        .collect();
    let Some(last) = counted.last() else { return Vec::new() };
    let report = |name: &String| {
        let of_pool: Vec<_> = counted.iter().filter_map(|s| s.pools.get(name)).collect();
        let share = |p: &&&PoolSample| p.running / p.slots.max(1.0);
        let while_waiting: Vec<f64> =
            of_pool.iter().filter(|p| p.waiting != 0.0).map(|p| share(&p)).collect();
        PoolReport {
            pool: name.clone(),
            slots: of_pool.last().map_or(0.0, |p| p.slots),
            utilisation_while_waiting: mean(&while_waiting),
            utilisation: mean(&of_pool.iter().map(|p| share(&p)).collect::<Vec<_>>())
                .unwrap_or(0.0),
        }
    };
    last.pools.keys().map(report).collect()
}

fn mean(values: &[f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    Some(values.iter().sum::<f64>() / values.len() as f64)
}
