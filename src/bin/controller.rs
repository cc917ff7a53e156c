//! `frostdyke-controller`: see `frostdyke::controller`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use frostdyke::cli;
use frostdyke::config::settings;
use frostdyke::controller;

/// Brings the engines of an availability zone to what the configuration wants.
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
    cli::run(opts.check, || settings::controller(&opts.settings), controller::run)
}
