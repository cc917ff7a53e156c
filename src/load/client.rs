//! One caller: sends requests one after the other and counts what comes back.

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
use crate::load::scenario::Workspace;
use crate::router::cost_meter;
use crate::util;

/// Pause after a refusal that doesn't say when to come back.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest pause that a refusal can ask for.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// How long an answer may take.
const TIMEOUT: Duration = Duration::from_secs(120);

/// What one client counted.
#[derive(Clone, Debug)]
pub struct Counts {
    /// Index of its workspace in the scenario.
    pub workspace: usize,
    /// Requests answered in full.
    pub ran: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests of which nobody knows, or that were cut.
    pub unknown: u64,
    /// Cost received in each second of the run.
    pub service: Vec<u64>,
    /// Microseconds until the answer began.
    pub first: Histogram<u64>,
    /// Microseconds until the answer was whole.
    pub whole: Histogram<u64>,
}

/// One caller.
pub struct Client {
    agent: Agent,
    workspace: Workspace,
    targets: Vec<SocketAddr>,
    rng: SmallRng,
    started: Instant,
    length: Duration,
    /// Cost received of the answer under way.
    received: u64,
    counts: Counts,
}

impl Client {
    /// Client number `number` of a scenario's workspace.
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
            length: scenario.length,
            received: 0,
            counts: Counts {
                workspace,
                ran: 0,
                not_run: 0,
                unknown: 0,
                service: vec![0; scenario.length.as_secs() as usize + 1],
                first: histogram(),
                whole: histogram(),
            },
        }
    }

    /// Sends until the run is over.
    pub fn run(mut self) -> Counts {
        while self.started.elapsed() < self.length {
            let pause = self.pace();
            thread::sleep(pause.min(self.length.saturating_sub(self.started.elapsed())));
            if self.started.elapsed() < self.length {
                self.send();
            }
        }
        self.counts
    }

    /// Time until the next request, exponentially distributed where a rate is set.
    fn pace(&mut self) -> Duration {
        let Some(rate) = self.workspace.rate else { return Duration::ZERO };
        let mean = self.workspace.clients as f64 / rate;
        let u: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-u.ln() * mean)
    }

    fn send(&mut self) {
        let target = self.targets[self.rng.random_range(0..self.targets.len())];
        let url = format!("http://{target}/v1/services/{}", self.workspace.service);
        let (least, most) = self.workspace.tokens;
        let tokens = self.rng.random_range(least..=most);
        let mut req = self.agent.post(url).header("content-type", "application/json");
        req = match &self.workspace.key {
            Some(key) => req.header("authorization", format!("Bearer {key}")),
            None => req.header("frostdyke-workspace", &self.workspace.name),
        };
        if let Some(class) = &self.workspace.class {
            req = req.header("frostdyke-class", class);
        }
        let begun = Instant::now();
        match req.send(format!("{{\"max_tokens\":{tokens}}}")) {
            Ok(resp) => self.receive(resp, begun),
            Err(_) => {
                self.counts.unknown += 1;
                thread::sleep(PAUSE);
            }
        }
    }

    fn receive(&mut self, resp: ureq::http::Response<ureq::Body>, begun: Instant) {
        let outcome = resp.headers().get("frostdyke-outcome").map(|v| v.as_bytes().to_vec());
        if outcome.as_deref() != Some(b"ran") {
            match outcome.as_deref() {
                Some(b"not-run") => self.counts.not_run += 1,
                _ => self.counts.unknown += 1,
            }
            let after = resp.headers().get("retry-after");
            let after = after.and_then(|v| v.to_str().ok()?.parse().ok()).map(Duration::from_secs);
            thread::sleep(after.unwrap_or(PAUSE).min(PAUSE_MAX));
            return;
        }
        self.counts.first.saturating_record(begun.elapsed().as_micros() as u64);
        let kind = resp.headers().get("content-type").map(|v| v.as_bytes());
        let unit = match kind {
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
                Ok(n) => self.note(&mut *meter, &buf[..n]),
                Err(_) => {
                    self.counts.unknown += 1;
                    return;
                }
            }
        }
        self.counts.ran += 1;
        self.counts.whole.saturating_record(begun.elapsed().as_micros() as u64);
    }

    fn note(&mut self, meter: &mut dyn cost_meter::CostMeter, piece: &[u8]) {
        let more = meter.add_chunk(piece).saturating_sub(self.received);
        self.received += more;
        let second = self.started.elapsed().as_secs() as usize;
        if let Some(service) = self.counts.service.get_mut(second) {
            *service += more;
        }
    }
}
