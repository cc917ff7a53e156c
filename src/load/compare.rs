//! Measures the latency that a router adds, by sending the same requests through it and directly to
//! an upstream in one run.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Serialize;
use ureq::Agent;

use crate::load::histogram;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Options of a comparison.
#[derive(Clone, Debug)]
pub struct Options {
    /// A router's callers' port.
    pub router: SocketAddr,
    /// The upstream's port.
    pub upstream: SocketAddr,
    /// The service that is routed to that upstream.
    pub service: String,
    /// The path on the upstream.
    pub path: String,
    /// The workspace to send for.
    pub workspace: String,
    /// Requests to send to each of the two.
    pub requests: u64,
}

/// The results: microseconds until the response was complete.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Comparison {
    /// Median, directly to the upstream.
    pub direct_p50: u64,
    /// 99th percentile, directly to the upstream.
    pub direct_p99: u64,
    /// Median, through the router.
    pub routed_p50: u64,
    /// 99th percentile, through the router.
    pub routed_p99: u64,
}

/// Why a comparison failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A request failed.
    #[error("{0}: {1}")]
    Request(String, ureq::Error),
}

/// Sends the requests alternately and prints the results.
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
            let micros = measure(&agent, url, &opts.workspace)?;
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

fn measure(agent: &Agent, url: &str, workspace: &str) -> Result<u64, Error> {
    let sent_at = Instant::now();
    let req = agent.post(url).header("frostdyke-workspace", workspace);
    let fail = |e| Error::Request(url.to_owned(), e);
    let mut resp = req.send("{\"max_tokens\":1}").map_err(fail)?;
    resp.body_mut().read_to_vec().map_err(fail)?;
    Ok(sent_at.elapsed().as_micros() as u64)
}
