//! `frostdykectl`: see `frostdyke::ctl`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use frostdyke::config::EngineState;
use frostdyke::ctl;
use frostdyke::ctl::Error;
use frostdyke::operator::intent::Intent;

/// Exit code for input that is invalid or was rejected.
const EXIT_INVALID_INPUT: u8 = 2;

/// Exit code if the operator did not confirm.
const EXIT_NOT_CONFIRMED: u8 = 3;

/// Changes the configuration of the fleet and shows its state.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// The operators' port of any box
    #[bpaf(argument("IP:PORT"), env("FROSTDYKE_OPERATOR"))]
    operator: SocketAddr,
    /// A file that holds the operator's token
    #[bpaf(argument("FILE"), env("FROSTDYKE_TOKEN_FILE"))]
    token_file: PathBuf,
    /// Print JSON instead of tables
    json: bool,
    /// Show the plan and do nothing
    dry_run: bool,
    /// Confirm the plan without asking
    yes: bool,
    #[bpaf(external)]
    command: Command,
}

#[derive(Clone, Debug, Bpaf)]
enum Command {
    /// Show the configuration
    #[bpaf(command)]
    Show,
    /// Show the state of every box: waiting workspaces, and upstreams that get no requests and why
    #[bpaf(command)]
    Status,
    /// Show what the engines of every zone have loaded, and the stage of their changes
    #[bpaf(command)]
    Engines,
    /// Load a model on every engine of a pool, one after the other
    #[bpaf(command)]
    Load {
        /// An adapter to load with it; may be given more than once
        #[bpaf(argument("NAME"))]
        adapter: Vec<String>,
        /// The role of the engines in their pool, such as prefill or decode
        #[bpaf(argument("ROLE"), fallback(String::new()))]
        role: String,
        /// The pool
        #[bpaf(positional("POOL"))]
        pool: String,
        /// The model
        #[bpaf(positional("MODEL"))]
        model: String,
        /// Its version
        #[bpaf(positional("VERSION"))]
        version: String,
    },
    /// Explain why a request was placed as it was
    #[bpaf(command)]
    Explain {
        /// The request's id, from the header frostdyke-request-id
        #[bpaf(positional("REQUEST-ID"))]
        request: String,
    },
    /// Send an upstream no new requests
    #[bpaf(command)]
    Drain {
        /// The upstream
        #[bpaf(positional("UPSTREAM"))]
        upstream: String,
    },
    /// Send an upstream requests again
    #[bpaf(command)]
    Undrain {
        /// The upstream
        #[bpaf(positional("UPSTREAM"))]
        upstream: String,
    },
    /// Submit the intent in a file
    #[bpaf(command)]
    Apply {
        /// The intent (JSON), or - for standard input
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

fn main() -> ExitCode {
    let opts = options().run();
    let command = match opts.command {
        Command::Show => ctl::Command::Show,
        Command::Status => ctl::Command::Status,
        Command::Engines => ctl::Command::Engines,
        Command::Load { adapter, role, pool, model, version } => {
            let adapters = adapter.into_iter().collect();
            let engine = EngineState { model, version, adapters, role };
            ctl::Command::Submit(Intent::Load { pool, engine })
        }
        Command::Explain { request } => ctl::Command::Explain(request),
        Command::Drain { upstream } => ctl::Command::Submit(Intent::Drain { upstream }),
        Command::Undrain { upstream } => ctl::Command::Submit(Intent::Undrain { upstream }),
        Command::Apply { file } => ctl::Command::Apply(file),
    };
    let result = ctl::run(&ctl::Options {
        operator: opts.operator,
        token_file: opts.token_file,
        json: opts.json,
        dry_run: opts.dry_run,
        yes: opts.yes,
        command,
    });
    let Err(e) = result else { return ExitCode::SUCCESS };
    eprintln!("{e}");
    match e {
        Error::File { .. } | Error::Intent { .. } | Error::Refused(_) => {
            ExitCode::from(EXIT_INVALID_INPUT)
        }
        Error::NotConfirmed => ExitCode::from(EXIT_NOT_CONFIRMED),
        Error::Call(_) => ExitCode::FAILURE,
    }
}
