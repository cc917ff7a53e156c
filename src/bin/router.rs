//! `frostdyke-router`: see `frostdyke::router`.

use std::process::ExitCode;

use frostdyke::cli;
use frostdyke::config::settings;
use frostdyke::router;

const USAGE: &str = "Routes callers' requests to upstreams, fairly among workspaces.";

fn main() -> ExitCode {
    let opts = cli::options().descr(USAGE).run();
    cli::run(opts.check, || settings::read_router(&opts.settings), router::run)
}
