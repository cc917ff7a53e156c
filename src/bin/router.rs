//! `frostdyke-router`: see `frostdyke::router`.

use std::process::ExitCode;

use frostdyke::cli;
use frostdyke::config::settings;
use frostdyke::router;

const USAGE: &str = "Serves callers: places their requests on upstreams, fairly among workspaces.";

fn main() -> ExitCode {
    let opts = cli::options().descr(USAGE).run();
    cli::run(opts.check, || settings::read_router(&opts.settings), router::run)
}
