//! Runs one stand-in. See `standin/src/lib.rs`.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bpaf::Bpaf;
use frostdyke_standin::engine;
use frostdyke_standin::engine::Engine;
use frostdyke_standin::platform::Platform;
use frostdyke_standin::service::Service;

/// Small fakes of the systems that frostdyke meets. For tests and the demo only.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Versioned objects, watches and the box list
    #[bpaf(command)]
    Platform {
        /// Address to listen on
        #[bpaf(argument("IP:PORT"))]
        listen: SocketAddr,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Address to listen on; more than one for more than one engine in this process
        #[bpaf(argument("IP:PORT"), some("an engine needs an address"))]
        listen: Vec<SocketAddr>,
        /// Requests that run at once
        #[bpaf(argument("N"), fallback(8))]
        slots: usize,
        /// Milliseconds per token in each slot
        #[bpaf(argument("MS"), fallback(2))]
        token_ms: u64,
    },
    /// A plain service
    #[bpaf(command)]
    Service {
        /// Address to listen on; more than one for more than one service in this process
        #[bpaf(argument("IP:PORT"), some("a service needs an address"))]
        listen: Vec<SocketAddr>,
        /// Milliseconds per request
        #[bpaf(argument("MS"), fallback(5))]
        delay_ms: u64,
    },
}

fn main() -> std::io::Result<()> {
    match options().run() {
        Options::Platform { listen } => {
            Platform::start(listen)?;
        }
        Options::Engine { listen, slots, token_ms } => {
            let token = Duration::from_millis(token_ms);
            let settings = engine::Settings { slots, token, ..engine::Settings::default() };
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
    // The servers have threads of their own; a stand-in ends when it is killed.
    loop {
        thread::park();
    }
}
