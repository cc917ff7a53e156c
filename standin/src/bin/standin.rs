//! Runs a stand-in, see [`frostdyke_standin`].

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use frostdyke_standin::engine;
use frostdyke_standin::engine::Engine;
use frostdyke_standin::platform::Platform;
use frostdyke_standin::service::Service;
use serde::Deserialize;

/// Small fakes of the systems that frostdyke calls. For tests and the demo only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Versioned objects, watches and the box list
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
        /// An initial object
        #[bpaf(argument("NAME=FILE"))]
        object: Vec<String>,
        /// The initial box list
        #[bpaf(argument("FILE"))]
        boxes: Option<PathBuf>,
    },
    /// A stand-in for each upstream of a configuration
    #[bpaf(command)]
    Upstreams {
        /// The configuration (JSON)
        #[bpaf(argument("FILE"))]
        configuration: PathBuf,
        /// Milliseconds per token in each slot of an engine
        #[bpaf(argument("MS"), fallback(4))]
        token_ms: u64,
        /// Milliseconds per request of a service that runs no model
        #[bpaf(argument("MS"), fallback(5))]
        delay_ms: u64,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on; repeat it to start several engines in this process
        #[bpaf(argument("IP:PORT"), some("an engine needs an address"))]
        listen: Vec<SocketAddr>,
        /// Requests that run concurrently
        #[bpaf(argument("N"), fallback(8))]
        slots: usize,
        /// Milliseconds per token in each slot
        #[bpaf(argument("MS"), fallback(2))]
        token_ms: u64,
    },
    /// A service that runs no model
    #[bpaf(command)]
    Service {
        /// Address to listen on; repeat it to start several services in this process
        #[bpaf(argument("IP:PORT"), some("a service needs an address"))]
        listen: Vec<SocketAddr>,
        /// Milliseconds per request
        #[bpaf(argument("MS"), fallback(5))]
        delay_ms: u64,
    },
}

fn main() -> std::io::Result<()> {
    match options().run() {
        Options::Platform { listen, object, boxes } => {
            let platform = Platform::start(listen)?;
            for (name, file) in object.iter().filter_map(|o| o.split_once('=')) {
                platform.put(name, std::fs::read(file)?);
            }
            if let Some(file) = boxes {
                platform.set_boxes(std::fs::read(file)?);
            }
        }
        Options::Upstreams { configuration, token_ms, delay_ms } => {
            let delay = Duration::from_millis(delay_ms);
            let configuration = serde_json::from_slice(&std::fs::read(configuration)?)?;
            start_upstreams(&configuration, Duration::from_millis(token_ms), delay)?;
        }
        Options::Engine { listen, slots, token_ms } => {
            let token_interval = Duration::from_millis(token_ms);
            let settings =
                engine::Settings { slots, token_interval, ..engine::Settings::default() };
            for addr in listen {
                Engine::start(addr, settings.clone())?;
            }
        }
        Options::Service { listen, delay_ms } => {
            for addr in listen {
                Service::start(addr, Duration::from_millis(delay_ms))?;
            }
        }
    }
    // The servers run on separate threads until the process is killed.
    loop {
        thread::park();
    }
}

/// The parts of a configuration that determine which stand-ins to start.
#[derive(Deserialize)]
struct Configuration {
    pools: Vec<Pool>,
    upstreams: Vec<Upstream>,
}

#[derive(Deserialize)]
struct Pool {
    name: String,
    unit: String,
}

#[derive(Deserialize)]
struct Upstream {
    pool: String,
    address: SocketAddr,
    slots: usize,
}

fn start_upstreams(
    configuration: &Configuration,
    token_interval: Duration,
    delay: Duration,
) -> std::io::Result<()> {
    for upstream in &configuration.upstreams {
        let pool = configuration.pools.iter().find(|p| p.name == upstream.pool);
        if pool.is_some_and(|p| p.unit == "tokens") {
            let slots = upstream.slots;
            let settings =
                engine::Settings { slots, token_interval, ..engine::Settings::default() };
            Engine::start(upstream.address, settings)?;
        } else {
            Service::start(upstream.address, delay)?;
        }
    }
    Ok(())
}
