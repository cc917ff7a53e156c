//! Settings of the proxy, read from an INI file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::config::settings;
use crate::config::settings::Error;
use crate::config::settings::Reader;
use crate::placement::cold::ColdBound;
use crate::placement::tuning::SmallBatch;
use crate::placement::tuning::Tuning;
use crate::proxy::retry_budget::RetryBounds;

/// Default time that a watch of the store waits for a change. Each watch costs a call, so longer is
/// cheaper; separate probes detect a store that doesn't respond. An interruption between two probes
/// that loses a watch is noticed only after this time, or when another box reports what changed
/// meanwhile.
const STORE_WATCH_DEFAULT_S: f64 = 12.0;

/// Default of [`Settings::exposure`].
const EXPOSURE_DEFAULT: f64 = 0.1;

/// Name of the feature of deployments whose callers and upstreams may be slow to read.
const SLOW_READERS_FEATURE: &str = "pressure";

/// Settings of the proxy.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[box]`: the identity of this box.
    pub identity: settings::Identity,
    /// `[listen] callers`: where callers connect.
    pub callers: SocketAddr,
    /// `[listen] ready`: where the balancer probes whether this box is ready.
    pub ready: SocketAddr,
    /// `[listen] peers`: where other boxes send HTTP queries.
    pub peers: SocketAddr,
    /// `[listen] datagrams`: where other boxes send datagrams; the same port on every box.
    pub datagrams: SocketAddr,
    /// `[box] cores`: processor time that the process may use, in cores.
    pub cores: f64,
    /// `[box] first-start`: whether this is the first start of the whole fleet.
    pub is_first_start: bool,
    /// `[box] descriptors`: sockets and files that the process may have open.
    pub descriptors: usize,
    /// `[box] memory-mb`: memory that the process may use; zero for no limit.
    pub memory_bytes: usize,
    /// `[memory] held-share`: fraction of the memory that may be held for callers and upstreams;
    /// zero for no bound.
    pub held_share: f64,
    /// `[store] address`: the address of the platform's store.
    pub store: SocketAddr,
    /// `[store] watch-s`: how long a watch waits for a change.
    pub store_watch: Duration,
    /// `[store] evacuations`: whether the operator may evacuate zones.
    pub has_evacuations: bool,
    /// `[store] rollouts`: whether the operator may order roll-outs.
    pub has_rollouts: bool,
    /// `[rollouts] exposure`: the largest fraction of a service's requests that a new version gets
    /// until it is known to work.
    pub exposure: f64,
    /// `[peers] seeds`: addresses of other boxes' `[listen] peers`, separated by commas.
    pub seeds: Vec<SocketAddr>,
    /// `[stop] within-s`: time from the signal to stop until the process must have ended.
    pub stop_within: Duration,
    /// `[repeats]`: how many requests the fleet may retry.
    pub repeats: RetryBounds,
    /// `[streams] late-max-ms`: the permitted delay of a stream's chunks; zero to pass them on at
    /// once.
    pub late_max: Duration,
    /// `[shares] window-s`: the time window over which fair shares are computed.
    pub share_window: Duration,
    /// `[engines]`: the speed of engines, and the weights for choosing among them; `[small-batch]`:
    /// further decisions for engines with few slots.
    pub tuning: Tuning,
    /// `[log]`.
    pub log: settings::Log,
}

/// Reads the settings.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let mut reader = Reader::open(path)?;
    let settings = Settings {
        identity: reader.identity(),
        callers: reader.address("listen", "callers"),
        ready: reader.address("listen", "ready"),
        peers: reader.address("listen", "peers"),
        datagrams: reader.address("listen", "datagrams"),
        cores: reader.optional("box", "cores", 1.0),
        is_first_start: reader.optional("box", "first-start", false),
        descriptors: reader.optional("box", "descriptors", 4096),
        memory_bytes: reader.optional::<usize>("box", "memory-mb", 0) << 20,
        held_share: held_share(&mut reader),
        store: reader.address("store", "address"),
        store_watch: Duration::from_secs_f64(reader.optional(
            "store",
            "watch-s",
            STORE_WATCH_DEFAULT_S,
        )),
        has_evacuations: reader.optional("store", "evacuations", false),
        has_rollouts: reader.optional("store", "rollouts", false),
        exposure: reader.optional("rollouts", "exposure", EXPOSURE_DEFAULT),
        seeds: seeds(&mut reader),
        stop_within: Duration::from_secs_f64(reader.optional("stop", "within-s", 8.0)),
        repeats: RetryBounds {
            ratio: reader.optional("repeats", "ratio", 0.1),
            slack: reader.optional("repeats", "slack", 0.0),
            window: Duration::from_secs_f64(reader.optional("repeats", "window-s", 10.0)),
        },
        late_max: Duration::from_secs_f64(reader.optional("streams", "late-max-ms", 0.0) / 1e3),
        share_window: Duration::from_secs_f64(reader.optional("shares", "window-s", 4.0)),
        tuning: tuning(&mut reader),
        log: reader.log(),
    };
    reader.finish(settings)
}

fn tuning(reader: &mut Reader) -> Tuning {
    let defaults = Tuning::default();
    let small_batch = SmallBatch {
        slots_max: reader.optional("small-batch", "slots-max", 0),
        prefill_share: small_batch_prefill_share(reader),
        queue: reader.optional("small-batch", "queue", false),
        own_speed: reader.optional("small-batch", "own-speed", false),
        headroom: reader.optional("small-batch", "headroom", false),
        prefer_connected: reader.optional("small-batch", "prefer-connected", false),
    };
    let mut number = |key, default| reader.optional("engines", key, default);
    let millis = |d: Duration| d.as_secs_f64() * 1e3;
    let time = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
    Tuning {
        tokens_per_ms: number("tokens-per-ms", defaults.tokens_per_ms),
        per_million_pairs: time(number("pairs-ms", millis(defaults.per_million_pairs))),
        per_prompt: time(number("step-ms", millis(defaults.per_prompt))),
        first_token_overhead: time(number("first-step-ms", millis(defaults.first_token_overhead))),
        prefill_share: number("reading-share", defaults.prefill_share),
        prefill_weight: number("read-weight", defaults.prefill_weight),
        copy_weight: number("copy-weight", defaults.copy_weight),
        wait_share: number("wait-share", defaults.wait_share),
        wait_share_over: number("wait-share-over", defaults.wait_share_over),
        cold: ColdBound {
            overage: number("cold-overage", defaults.cold.overage),
            slack: number("cold-slack", defaults.cold.slack),
        },
        small_batch,
    }
}

/// The fraction applies only if `[memory] features` lists [`SLOW_READERS_FEATURE`] or is absent.
fn held_share(reader: &mut Reader) -> f64 {
    let share = reader.optional("memory", "held-share", 0.0);
    let features = reader.optional("memory", "features", SLOW_READERS_FEATURE.to_owned());
    if features.split(',').any(|f| f.trim() == SLOW_READERS_FEATURE) { share } else { 0.0 }
}

/// Zero or a value beyond one leaves the share of all engines in force.
fn small_batch_prefill_share(reader: &mut Reader) -> Option<f64> {
    let share = reader.optional("small-batch", "reading-share", 0.0);
    (0.0 < share && share <= 1.0).then_some(share)
}

fn seeds(reader: &mut Reader) -> Vec<SocketAddr> {
    let text: String = reader.optional("peers", "seeds", String::new());
    let mut seeds = Vec::new();
    for seed in text.split(',').map(str::trim).filter(|s| !s.is_empty()) {
        match seed.parse() {
            Ok(addr) => seeds.push(addr),
            Err(_) => reader.fault("peers", "seeds", "must be IP:PORT, separated by ','"),
        }
    }
    seeds
}
