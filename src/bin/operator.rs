//! `frostdyke-operator`: see `frostdyke::operator`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use frostdyke::cli;
use frostdyke::config::settings;
use frostdyke::operator;

/// Serves operators: intents, plans and their confirmation, status, explanations.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Check the settings and exit: 0 when they are right, 2 when not
    check: bool,
    /// The settings file (INI); see docs/OPERATING.md
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let opts = options().run();
    cli::run(opts.check, || settings::operator(&opts.settings), operator::run)
}
