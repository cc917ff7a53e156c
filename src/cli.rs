//! Command-line handling shared by all programs.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Command-line options of a server program.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Check the settings and exit: 0 if they are valid, 2 if not
    pub check: bool,
    /// The settings file (INI); see docs/OPERATIONS.md
    #[bpaf(positional("SETTINGS"))]
    pub settings: PathBuf,
}

/// Reads the settings and runs the program, or exits after reading them if `check` is set.
pub fn run<T, E1: Error, E2: Error>(
    check: bool,
    read: impl FnOnce() -> Result<T, E1>,
    run: impl FnOnce(T) -> Result<(), E2>,
) -> ExitCode {
    let settings = match read() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if check {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}
