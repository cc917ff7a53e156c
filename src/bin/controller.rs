//! `frostdyke-controller`: see `frostdyke::controller`.

use std::process::ExitCode;

use frostdyke::cli;
use frostdyke::config::settings;
use frostdyke::controller;

const USAGE: &str = "Rolls out the configured models on the engines of an availability zone.";

fn main() -> ExitCode {
    let opts = cli::options().descr(USAGE).run();
    cli::run(opts.check, || settings::read_controller(&opts.settings), controller::run)
}
