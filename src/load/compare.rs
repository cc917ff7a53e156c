//! Measures what a router adds: the same requests to it and straight to an upstream, in one run.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use ureq::Agent;

use crate::load::histogram;

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(10);

/// What to compare.
#[derive(Clone, Debug)]
pub struct Options {
    /// A router's callers' port.
    pub router: SocketAddr,
    /// The upstream's port.
    pub upstream: SocketAddr,
    /// The service that reaches that upstream.
    pub service: String,
    /// The path on the upstream.
    pub path: String,
    /// The workspace to send for.
    pub workspace: String,
    /// Requests each way.
    pub requests: u64,
}

/// The figures, in microseconds until the answer was whole.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Comparison {
    /// Straight to the upstream, half of the requests.
    pub direct_p50: u64,
    /// Straight to the upstream, 99 in 100.
    pub direct_p99: u64,
    /// Through the router, half of the requests.
    pub routed_p50: u64,
    /// Through the router, 99 in 100.
    pub routed_p99: u64,
}

/// Why a comparison failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A request failed.
    #[error("{0}: {1}")]
    Request(String, ureq::Error),
}

/// Sends the requests in turns, and prints the figures.
pub fn run(opts: &Options) -> Result<Comparison, Error> {
    let agent = Agent::from(
        Agent::config_builder()
            .proxy(None)
            .max_idle_connections(0)
            .timeout_global(Some(TIMEOUT))
            .build(),
    );
    let direct = format!("http://{}{}", opts.upstream, opts.path);
    let routed = format!("http://{}/v1/services/{}", opts.router, opts.service);
    let mut histograms = [histogram(), histogram()];
    for _ in 0..opts.requests {
        for (url, histogram) in [&direct, &routed].into_iter().zip(&mut histograms) {
            let micros = time(&agent, url, &opts.workspace)?;
            histogram.saturating_record(micros);
        }
    }
    let [direct, routed] = histograms;
    let result = Comparison {
        direct_p50: direct.value_at_quantile(0.5),
        direct_p99: direct.value_at_quantile(0.99),
        routed_p50: routed.value_at_quantile(0.5),
        routed_p99: routed.value_at_quantile(0.99),
    };
    println!("direct: p50 {} us, p99 {} us", result.direct_p50, result.direct_p99);
    println!("routed: p50 {} us, p99 {} us", result.routed_p50, result.routed_p99);
    println!("added:  p50 {} us", result.routed_p50.saturating_sub(result.direct_p50));
    Ok(result)
}

fn time(agent: &Agent, url: &str, workspace: &str) -> Result<u64, Error> {
    let begun = Instant::now();
    let req = agent.post(url).header("frostdyke-workspace", workspace);
    let fail = |e| Error::Request(url.to_owned(), e);
    let mut resp = req.send("{\"max_tokens\":1}").map_err(fail)?;
    resp.body_mut().read_to_vec().map_err(fail)?;
    Ok(begun.elapsed().as_micros() as u64)
}
