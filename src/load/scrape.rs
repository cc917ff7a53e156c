//! Scrapes the routers' metrics while a scenario runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use ureq::Agent;

/// Interval between scrapes.
const SCRAPE_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a scrape.
const TIMEOUT: Duration = Duration::from_millis(500);

/// The sum of all routers' metrics at one moment.
#[derive(Clone, Debug, Default)]
pub struct Sample {
    /// Seconds since the start.
    pub elapsed_s: f64,
    /// Bytes between routers so far.
    pub peer_bytes: f64,
    /// Metrics of each pool.
    pub pools: BTreeMap<String, PoolSample>,
}

/// The sum of the metrics of one pool's dispatchers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolSample {
    /// Tickets waiting.
    pub waiting: f64,
    /// Requests running.
    pub running: f64,
    /// Slots.
    pub slots: f64,
}

/// Scrapes the metrics pages until `stop` is set.
pub fn run(
    pages: &[SocketAddr],
    started: Instant,
    stop: &AtomicBool,
    samples: &Mutex<Vec<Sample>>,
) {
    let config = Agent::config_builder().proxy(None).timeout_global(Some(TIMEOUT)).build();
    let agent = Agent::from(config);
    while !stop.load(Ordering::Relaxed) {
        let mut sample = Sample { elapsed_s: started.elapsed().as_secs_f64(), ..Sample::default() };
        for page in pages {
            if let Ok(mut resp) = agent.get(format!("http://{page}/metrics")).call()
                && let Ok(text) = resp.body_mut().read_to_string()
            {
                add_page(&mut sample, &text);
            }
        }
        samples.lock().expect("no panic under lock").push(sample);
        thread::sleep(SCRAPE_INTERVAL);
    }
}

fn add_page(sample: &mut Sample, text: &str) {
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        if name.starts_with("frostdyke_peer_bytes_out") {
            sample.peer_bytes += value;
        }
        if name.starts_with("frostdyke_pool{")
            && let (Some(pool), Some(what)) = (label(name, "pool"), label(name, "what"))
        {
            let pool = sample.pools.entry(pool.to_owned()).or_default();
            match what {
                "waiting" => pool.waiting += value,
                "running" => pool.running += value,
                "slots" => pool.slots += value,
                _ => {}
            }
        }
    }
}

fn label<'a>(name: &'a str, key: &str) -> Option<&'a str> {
    let (_, rest) = name.split_once(&format!("{key}=\""))?;
    rest.split_once('"').map(|(value, _)| value)
}
