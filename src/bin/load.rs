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

/// Sends callers' traffic and tells what came of it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Run a scenario
    #[bpaf(command)]
    Run {
        /// Check the scenario and exit: 0 when it is right, 2 when not
        check: bool,
        /// Write the figures to this file, as JSON
        #[bpaf(argument("FILE"))]
        json: Option<PathBuf>,
        /// Draw the service over time into this file, as SVG
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
    /// Measure what a router adds to the time of a request
    #[bpaf(command)]
    Compare {
        /// A router's callers' port
        #[bpaf(argument("IP:PORT"))]
        router: SocketAddr,
        /// The upstream's port
        #[bpaf(argument("IP:PORT"))]
        upstream: SocketAddr,
        /// The service that reaches that upstream
        #[bpaf(argument("NAME"))]
        service: String,
        /// The path on the upstream
        #[bpaf(argument("PATH"))]
        path: String,
        /// The workspace to send for; the router must trust the workspace header
        #[bpaf(argument("NAME"))]
        workspace: String,
        /// Requests each way
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
