//! `frostdyke-router`: see `frostdyke::router`.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use frostdyke::cli;
use frostdyke::config::settings;
use frostdyke::router;

/// Serves callers: places their requests on upstreams, fairly among workspaces.
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
    cli::run(opts.check, || settings::router(&opts.settings), router::run)
}
