//! Settings of the proxy, read from an INI file.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::config::settings;
use crate::config::settings::Error;
use crate::config::settings::Reader;
use crate::placement::engine::Pace;
use crate::proxy::budget::Bounds;

/// Prompt tokens that an engine reads in a millisecond, by the users' sheets.
const TOKENS_PER_MS: f64 = 51.1;

/// Time for a million pairs of tokens, by the users' sites.
const PAIRS_US: u64 = 323;

/// Time for a step with some requests running: 5.09 ms and a little for each, by the users' sheets.
const STEP_MS: u64 = 6;

/// Time from the end of reading to the first token; the users' sheets say 47 ms.
const FIRST_STEP_MS: u64 = 50;

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
    /// `[listen] connections-max`: callers' connections at once.
    pub connections_max: usize,
    /// `[store] address`: where the platform's store is.
    pub store: SocketAddr,
    /// `[peers] seeds`: addresses of other boxes' `[listen] peers`, separated by commas.
    pub seeds: Vec<SocketAddr>,
    /// `[stop] within-s`: time from the signal to stop until the process must have ended.
    pub stop_within: Duration,
    /// `[repeats]`: what the fleet may send again.
    pub repeats: Bounds,
    /// `[shares] window-s`: over how long fair shares are counted.
    pub share_window: Duration,
    /// `[engines]`: how fast engines read.
    pub pace: Pace,
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
        connections_max: rdr.optional("listen", "connections-max", 2000),
        store: rdr.address("store", "address"),
        seeds: seeds(&mut rdr),
        stop_within: Duration::from_secs_f64(rdr.optional("stop", "within-s", 8.0)),
        repeats: Bounds {
            ratio: rdr.optional("repeats", "ratio", 0.1),
            slack: rdr.optional("repeats", "slack", 0.0),
            window: Duration::from_secs_f64(rdr.optional("repeats", "window-s", 10.0)),
        },
        share_window: Duration::from_secs_f64(rdr.optional("shares", "window-s", 4.0)),
        pace: Pace {
            tokens_per_ms: rdr.optional("engines", "tokens-per-ms", TOKENS_PER_MS),
            pairs: Duration::from_micros(rdr.optional("engines", "pairs-us", PAIRS_US)),
            step: Duration::from_millis(rdr.optional("engines", "step-ms", STEP_MS)),
            first_step: Duration::from_millis(rdr.optional(
                "engines",
                "first-step-ms",
                FIRST_STEP_MS,
            )),
        },
        log: rdr.log(),
    };
    rdr.finish(settings)
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
