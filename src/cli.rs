//! What all programs do alike on their command line.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

/// The exit code for settings that are wrong.
const BAD_SETTINGS: u8 = 2;

/// What a program that serves is told.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Check the settings and exit: 0 when they are right, 2 when not
    pub check: bool,
    /// The settings file (INI); see docs/OPERATIONS.md
    #[bpaf(positional("SETTINGS"))]
    pub settings: PathBuf,
}

/// Reads the settings and, unless they are only to be checked, runs the program.
pub fn run<T, E1: Error, E2: Error>(
    check: bool,
    read: impl FnOnce() -> Result<T, E1>,
    run: impl FnOnce(T) -> Result<(), E2>,
) -> ExitCode {
    let settings = match read() {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if check {
        println!("the settings are right");
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
