//! `frostdyke-operator`: see `frostdyke::operator`.

use std::process::ExitCode;

use frostdyke::cli;
use frostdyke::config::settings;
use frostdyke::operator;

const USAGE: &str =
    "Serves the operators' API: intents, plans and their confirmation, status, explanations.";

fn main() -> ExitCode {
    let opts = cli::options().descr(USAGE).run();
    cli::run(opts.check, || settings::read_operator(&opts.settings), operator::run)
}
