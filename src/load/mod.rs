//! A load generator: sends callers' traffic as described by a scenario (INI), and reports the
//! service that each workspace got.

pub mod client;
pub mod compare;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod scrape;

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

use crate::load::client::Client;
use crate::load::report::Report;
use crate::load::scenario::Scenario;
use crate::load::scrape::Sample;

/// Longest time that a histogram records: ten minutes.
const MICROS_MAX: u64 = 600_000_000;

/// Interval between checks whether a router is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The scenario.
    pub scenario: Scenario,
    /// Where to write the report as JSON.
    pub json: Option<PathBuf>,
    /// Where to write the plot as SVG.
    pub plot: Option<PathBuf>,
}

/// Why a run of the load tool failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Writing a file failed.
    #[error("{}: {source}", path.display())]
    Write { path: PathBuf, source: io::Error },
    /// Drawing the plot failed.
    #[error("plot: {0}")]
    Plot(String),
    /// A router was not ready in time.
    #[error("{0} is not ready")]
    NotReady(SocketAddr),
    /// No request completed.
    #[error("no request completed")]
    NoRequestCompleted,
}

/// Runs a scenario and prints its results.
pub fn run(opts: Options) -> Result<(), Error> {
    let (client_counts, samples) = run_clients(&opts.scenario);
    let report = report::summarize(&opts.scenario, &client_counts, &samples);
    print!("{}", report.table());
    if let Some(path) = &opts.json {
        let text = serde_json::to_vec_pretty(&report).expect("reports serialize");
        let write = std::fs::write(path, text);
        write.map_err(|source| Error::Write { path: path.clone(), source })?;
    }
    if let Some(path) = &opts.plot {
        plot::draw(path, &report).map_err(Error::Plot)?;
    }
    require_completed_requests(&report)
}

/// Waits until all routers of a scenario are ready.
pub fn wait(scenario: &Scenario, timeout: Duration) -> Result<(), Error> {
    let deadline = Instant::now() + timeout;
    for &target in &scenario.targets {
        let url = format!("http://{target}/readyz");
        while ureq::get(&url).call().is_err() {
            if deadline <= Instant::now() {
                return Err(Error::NotReady(target));
            }
            thread::sleep(READY_CHECK_INTERVAL);
        }
    }
    Ok(())
}

/// Returns a histogram of microseconds up to ten minutes, to three digits. Longer times count as
/// ten minutes.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MICROS_MAX, 3).expect("the bounds are valid")
}

fn require_completed_requests(report: &Report) -> Result<(), Error> {
    match report.workspaces.iter().map(|w| w.ran).sum::<u64>() {
        0 => Err(Error::NoRequestCompleted),
        _ => Ok(()),
    }
}

/// Runs all clients to the end. Returns their counts and the metrics sampled from the routers.
fn run_clients(scenario: &Scenario) -> (Vec<client::ClientCounts>, Vec<Sample>) {
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let samples = Arc::new(Mutex::new(Vec::new()));
    let scraper = {
        let (stop, samples, addrs) = (stop.clone(), samples.clone(), scenario.metrics.clone());
        thread::spawn(move || scrape::run(&addrs, started, &stop, &samples))
    };
    let clients: Vec<_> = scenario
        .workspaces
        .iter()
        .enumerate()
        .flat_map(|(w, _)| (0..scenario.workspaces[w].clients).map(move |c| (w, c)))
        .map(|(w, c)| Client::new(scenario, w, c, started))
        .map(|client| thread::spawn(move || client.run()))
        .collect();
    let counts = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    stop.store(true, Ordering::Relaxed);
    // The samples are shared, so if the scraper panics, only its later samples are missing.
    let _ = scraper.join();
    let samples = std::mem::take(&mut *samples.lock().expect("no panic under lock"));
    (counts, samples)
}
