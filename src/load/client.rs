//! One simulated caller: sends requests one after the other and counts the outcomes.

use std::io::Read;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use ureq::Agent;

use crate::config::Unit;
use crate::load::histogram;
use crate::load::scenario::Scenario;
use crate::load::scenario::WorkspaceTraffic;
use crate::router::cost_meter;
use crate::util;

/// Delay after a refusal without a `Retry-After` header.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Longest delay that a refusal can request.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(120);

/// The counts of one client.
#[derive(Clone, Debug)]
pub struct ClientCounts {
    /// Index of its workspace in the scenario.
    pub workspace: usize,
    /// Requests whose response was received completely.
    pub ran: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests whose outcome is unknown, or whose response was cut off.
    pub unknown: u64,
    /// Cost received in each second of the run.
    pub service: Vec<u64>,
    /// Microseconds until the response started.
    pub time_to_start: Histogram<u64>,
    /// Microseconds until the response was complete.
    pub time_to_complete: Histogram<u64>,
}

/// One simulated caller.
pub struct Client {
    agent: Agent,
    workspace: WorkspaceTraffic,
    targets: Vec<SocketAddr>,
    rng: SmallRng,
    started: Instant,
    duration: Duration,
    /// Cost received so far of the current response.
    received: u64,
    counts: ClientCounts,
}

impl Client {
    /// Returns client `number` of the workspace at index `workspace` of a scenario.
    pub fn new(scenario: &Scenario, workspace: usize, number: usize, started: Instant) -> Client {
        let settings = scenario.workspaces[workspace].clone();
        let targets = match settings.routers.is_empty() {
            true => scenario.targets.clone(),
            false => {
                settings.routers.iter().filter_map(|&i| scenario.targets.get(i)).copied().collect()
            }
        };
        let seed = scenario.seed ^ ((workspace as u64) << 32) ^ number as u64;
        Client {
            agent: util::http_agent(TIMEOUT),
            workspace: settings,
            targets,
            rng: SmallRng::seed_from_u64(seed),
            started,
            duration: scenario.duration,
            received: 0,
            counts: ClientCounts {
                workspace,
                ran: 0,
                not_run: 0,
                unknown: 0,
                service: vec![0; scenario.duration.as_secs() as usize + 1],
                time_to_start: histogram(),
                time_to_complete: histogram(),
            },
        }
    }

    /// Sends requests until the end of the run.
    pub fn run(mut self) -> ClientCounts {
        while self.started.elapsed() < self.duration {
            let delay = self.next_delay();
            thread::sleep(delay.min(self.duration.saturating_sub(self.started.elapsed())));
            if self.started.elapsed() < self.duration {
                self.send();
            }
        }
        self.counts
    }

    /// Returns the time until the next request: exponentially distributed if a rate is set, else
    /// zero.
    fn next_delay(&mut self) -> Duration {
        let Some(rate) = self.workspace.rate else { return Duration::ZERO };
        let mean = self.workspace.clients as f64 / rate;
        let u: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-u.ln() * mean)
    }

    fn send(&mut self) {
        let target = self.targets[self.rng.random_range(0..self.targets.len())];
        let url = format!("http://{target}/v1/services/{}", self.workspace.service);
        let (min, max) = self.workspace.tokens;
        let tokens = self.rng.random_range(min..=max);
        let mut req = self.agent.post(url).header("content-type", "application/json");
        req = match &self.workspace.key {
            Some(key) => req.header("authorization", format!("Bearer {key}")),
            None => req.header("frostdyke-workspace", &self.workspace.name),
        };
        if let Some(class) = &self.workspace.class {
            req = req.header("frostdyke-class", class);
        }
        let sent_at = Instant::now();
        match req.send(format!("{{\"max_tokens\":{tokens}}}")) {
            Ok(resp) => self.receive(resp, sent_at),
            Err(_) => {
                self.counts.unknown += 1;
                thread::sleep(RETRY_DELAY);
            }
        }
    }

    fn receive(&mut self, resp: ureq::http::Response<ureq::Body>, sent_at: Instant) {
        let outcome = resp.headers().get("frostdyke-outcome").map(|v| v.as_bytes().to_vec());
        if outcome.as_deref() != Some(b"ran") {
            match outcome.as_deref() {
                Some(b"not-run") => self.counts.not_run += 1,
                _ => self.counts.unknown += 1,
            }
            let delay = resp.headers().get("retry-after");
            let delay = delay.and_then(|v| v.to_str().ok()?.parse().ok()).map(Duration::from_secs);
            thread::sleep(delay.unwrap_or(RETRY_DELAY).min(RETRY_DELAY_MAX));
            return;
        }
        self.counts.time_to_start.saturating_record(sent_at.elapsed().as_micros() as u64);
        let content_type = resp.headers().get("content-type").map(|v| v.as_bytes());
        let unit = match content_type {
            Some(b"text/event-stream") => Unit::Tokens,
            _ => Unit::Calls,
        };
        let mut meter = cost_meter::for_unit(unit);
        self.received = 0;
        let mut rdr = resp.into_body().into_reader();
        let mut buf = [0; 4096];
        loop {
            match rdr.read(&mut buf) {
                Ok(0) => break,
                Ok(n) => self.record_chunk(&mut *meter, &buf[..n]),
                Err(_) => {
                    self.counts.unknown += 1;
                    return;
                }
            }
        }
        self.counts.ran += 1;
        self.counts.time_to_complete.saturating_record(sent_at.elapsed().as_micros() as u64);
    }

    fn record_chunk(&mut self, meter: &mut dyn cost_meter::CostMeter, chunk: &[u8]) {
        let added = meter.add_chunk(chunk).saturating_sub(self.received);
        self.received += added;
        let second = self.started.elapsed().as_secs() as usize;
        if let Some(service) = self.counts.service.get_mut(second) {
            *service += added;
        }
    }
}
