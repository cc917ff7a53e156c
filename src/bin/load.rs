//! `frostdyke-load`: see `frostdyke::load`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use frostdyke::cli;
use frostdyke::load;
use frostdyke::load::compare;
use frostdyke::load::scenario;

/// Generates callers' traffic and reports the results.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run a scenario
    #[bpaf(command)]
    Run {
        /// Check the scenario and exit: 0 if it is valid, 2 if not
        check: bool,
        /// Write the results to this file, as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// Plot the service over time to this file, as SVG
        #[bpaf(argument("FILE"))]
        plot: Option<PathBuf>,
        /// The scenario (INI)
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Wait until all routers of a scenario are ready
    #[bpaf(command)]
    Wait {
        /// Fail after this long
        #[bpaf(argument("N"), fallback(10))]
        seconds: u64,
        /// The scenario (INI)
        #[bpaf(positional("SCENARIO"))]
        scenario: PathBuf,
    },
    /// Measure the latency that a router adds to a request
    #[bpaf(command)]
    Compare {
        /// A router's callers' port
        #[bpaf(argument("IP:PORT"))]
        router: SocketAddr,
        /// The upstream's port
        #[bpaf(argument("IP:PORT"))]
        upstream: SocketAddr,
        /// The service that is routed to that upstream
        #[bpaf(argument("NAME"))]
        service: String,
        /// The path on the upstream
        #[bpaf(argument("PATH"))]
        path: String,
        /// The workspace to send for; the router must trust the workspace header
        #[bpaf(argument("NAME"))]
        workspace: String,
        /// Requests to send to each of the two
        #[bpaf(argument("N"), fallback(1000))]
        requests: u64,
    },
}

fn main() -> ExitCode {
    match options().run() {
        Options::Run { check, json, plot, scenario } => cli::run(
            check,
            || scenario::read(&scenario),
            |scenario| load::run(load::Options { scenario, json, plot }),
        ),
        Options::Wait { seconds, scenario } => cli::run(
            false,
            || scenario::read(&scenario),
            |scenario| load::wait(&scenario, Duration::from_secs(seconds)),
        ),
        Options::Compare { router, upstream, service, path, workspace, requests } => {
            let opts = compare::Options { router, upstream, service, path, workspace, requests };
            cli::run(false, || Ok::<_, scenario::Error>(opts), |opts| compare::run(&opts).map(drop))
        }
    }
}
