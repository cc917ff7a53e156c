//! Settings of the proxy, read from an INI file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::config::settings;
use crate::config::settings::Error;
use crate::config::settings::Reader;
use crate::placement::cold::ColdBound;
use crate::placement::tuning::Tuning;
use crate::proxy::retry_budget::RetryBounds;

/// Seconds that a watch of the store waits. Each costs a call, so longer is cheaper; probes notice
/// what it can't: a store that has fallen silent. A silence between two probes that loses a watch is
/// noticed after this time only, or when another box tells what came meanwhile.
const WATCH_S: f64 = 12.0;

/// The most of a service's requests that a version that may be bad gets, unless the settings say otherwise.
const EXPOSURE: f64 = 0.1;

/// Settings of the proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[box]`: who this is.
    pub identity: settings::Box,
    /// `[listen] callers`: where callers connect.
    pub callers: SocketAddr,
    /// `[listen] ready`: where the balancer asks whether this box serves.
    pub ready: SocketAddr,
    /// `[listen] peers`: where other boxes ask.
    pub peers: SocketAddr,
    /// `[listen] datagrams`: where other boxes tell; the same port on every box.
    pub datagrams: SocketAddr,
    /// `[box] cores`: what the process may use of a core.
    pub cores: f64,
    /// `[box] first-start`: whether the whole fleet starts for the first time.
    pub is_first_start: bool,
    /// `[box] descriptors`: sockets and files that the process may have open.
    pub descriptors: usize,
    /// `[box] memory-mb`: memory that the process may use, in bytes; zero for no bound.
    pub memory_bytes: usize,
    /// `[store] address`: where the platform's store is.
    pub store: SocketAddr,
    /// `[store] watch-s`: how long a watch waits for a change.
    pub store_watch: Duration,
    /// `[store] evacuations`: whether the operator may empty zones.
    pub has_evacuations: bool,
    /// `[store] rollouts`: whether the operator may order roll-outs.
    pub has_rollouts: bool,
    /// `[rollouts] exposure`: the most of a service's requests that a new version may get before it has shown to be good.
    pub exposure: f64,
    /// `[peers] seeds`: addresses of other boxes' `[listen] peers`, separated by commas.
    pub seeds: Vec<SocketAddr>,
    /// `[stop] within-s`: time from the signal to stop until the process must have ended.
    pub stop_within: Duration,
    /// `[repeats]`: what the fleet may send again.
    pub repeats: RetryBounds,
    /// `[streams] late-max-ms`: by how much a piece of a stream may be late; zero where it is passed on at once.
    pub late_max: Duration,
    /// `[shares] window-s`: over how long fair shares are counted.
    pub share_window: Duration,
    /// `[engines]`: how fast engines are, and how a choice among them is weighed.
    pub tuning: Tuning,
    /// `[log]`.
    pub log: settings::Log,
}

/// Reads the settings.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let mut rdr = Reader::open(path)?;
    let settings = Settings {
        identity: rdr.identity(),
        callers: rdr.address("listen", "callers"),
        ready: rdr.address("listen", "ready"),
        peers: rdr.address("listen", "peers"),
        datagrams: rdr.address("listen", "datagrams"),
        cores: rdr.optional("box", "cores", 1.0),
        is_first_start: rdr.optional("box", "first-start", false),
        descriptors: rdr.optional("box", "descriptors", 4096),
        memory_bytes: rdr.optional::<usize>("box", "memory-mb", 0) << 20,
        store: rdr.address("store", "address"),
        store_watch: Duration::from_secs_f64(rdr.optional("store", "watch-s", WATCH_S)),
        has_evacuations: rdr.optional("store", "evacuations", false),
        has_rollouts: rdr.optional("store", "rollouts", false),
        exposure: rdr.optional("rollouts", "exposure", EXPOSURE),
        seeds: seeds(&mut rdr),
        stop_within: Duration::from_secs_f64(rdr.optional("stop", "within-s", 8.0)),
        repeats: RetryBounds {
            ratio: rdr.optional("repeats", "ratio", 0.1),
            slack: rdr.optional("repeats", "slack", 0.0),
            window: Duration::from_secs_f64(rdr.optional("repeats", "window-s", 10.0)),
        },
        late_max: Duration::from_secs_f64(rdr.optional("streams", "late-max-ms", 0.0) / 1e3),
        share_window: Duration::from_secs_f64(rdr.optional("shares", "window-s", 4.0)),
        tuning: tuning(&mut rdr),
        log: rdr.log(),
    };
    rdr.finish(settings)
}

fn tuning(rdr: &mut Reader) -> Tuning {
    let usual = Tuning::default();
    let mut number = |key, usual| rdr.optional("engines", key, usual);
    let millis = |d: Duration| d.as_secs_f64() * 1e3;
    let time = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
    Tuning {
        tokens_per_ms: number("tokens-per-ms", usual.tokens_per_ms),
        per_million_pairs: time(number("pairs-ms", millis(usual.per_million_pairs))),
        per_prompt: time(number("step-ms", millis(usual.per_prompt))),
        first_token_overhead: time(number("first-step-ms", millis(usual.first_token_overhead))),
        prefill_share: number("reading-share", usual.prefill_share),
        prefill_weight: number("read-weight", usual.prefill_weight),
        copy_weight: number("copy-weight", usual.copy_weight),
        wait_share: number("wait-share", usual.wait_share),
        wait_share_over: number("wait-share-over", usual.wait_share_over),
        cold: ColdBound {
            overage: number("cold-overage", usual.cold.overage),
            slack: number("cold-slack", usual.cold.slack),
        },
    }
}

fn seeds(rdr: &mut Reader) -> Vec<SocketAddr> {
    let text: String = rdr.optional("peers", "seeds", String::new());
    let mut seeds = Vec::new();
    for seed in text.split(',').map(str::trim).filter(|s| !s.is_empty()) {
        match seed.parse() {
            Ok(addr) => seeds.push(addr),
            Err(_) => rdr.fault("peers", "seeds", "must be IP:PORT, separated by ','"),
        }
    }
    seeds
}
