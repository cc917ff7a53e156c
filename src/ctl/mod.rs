//! The operators' command-line tool, a client of the intent API of any box.

pub mod table;

use std::io;
use std::io::BufRead;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::Agent;

use crate::controller::report::Report;
use crate::operator::Confirmation;
use crate::operator::VersionedCatalog;
use crate::operator::fleet_client::BoxResponse;
use crate::operator::intent::Intent;
use crate::operator::plan::Plan;
use crate::status::Explanation;
use crate::status::Status;

/// Timeout of a call to the intent API.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Options of a command.
#[derive(Clone, Debug)]
pub struct Options {
    /// The operators' port of any box.
    pub operator: SocketAddr,
    /// A file that holds the operator's token.
    pub token_file: PathBuf,
    /// Print JSON instead of tables.
    pub json: bool,
    /// Show the plan and don't ask for confirmation.
    pub dry_run: bool,
    /// Confirm the plan without asking.
    pub yes: bool,
    /// The command.
    pub command: Command,
}

/// A command.
#[derive(Clone, Debug)]
pub enum Command {
    /// Show the configuration.
    Show,
    /// Show the state of every box.
    Status,
    /// Show what the engines of every zone have loaded, and the stage of their changes.
    Engines,
    /// Explain why a request was placed as it was.
    Explain(String),
    /// Submit an intent and confirm its plan.
    Submit(Intent),
    /// Submit the intent in a JSON file (`-` for standard input) and confirm its plan.
    Apply(PathBuf),
}

/// Why a command failed. Exit codes are in docs/OPERATIONS.md.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file can't be read.
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    /// A file does not contain a valid intent.
    #[error("{}: {source}", path.display())]
    Intent { path: PathBuf, source: serde_json::Error },
    /// The intent API can't be reached, or its response can't be read.
    #[error("{0}")]
    Call(#[from] ureq::Error),
    /// The intent API returned an error.
    #[error("{0}")]
    Refused(String),
    /// The operator didn't confirm.
    #[error("not confirmed; nothing was done")]
    NotConfirmed,
}

/// Runs one command.
pub fn run(opts: &Options) -> Result<(), Error> {
    let api = Api::new(opts)?;
    match &opts.command {
        Command::Show => {
            let current: VersionedCatalog = api.get("/v1/configuration")?;
            print_result(opts, &current, table::configuration);
        }
        Command::Status => {
            let responses: Vec<BoxResponse<Status>> = api.get("/v1/status")?;
            print_result(opts, &responses, |r| table::status(r));
        }
        Command::Engines => {
            let reports: Vec<Report> = api.get("/v1/engines")?;
            print_result(opts, &reports, |r| table::engines(r));
        }
        Command::Explain(request) => {
            let path = format!("/v1/explanations/{request}");
            let responses: Vec<BoxResponse<Explanation>> = api.get(&path)?;
            print_result(opts, &responses, |r| table::explanation(request, r));
        }
        Command::Submit(intent) => submit(&api, opts, intent)?,
        Command::Apply(path) => submit(&api, opts, &read_intent(path)?)?,
    }
    Ok(())
}

fn submit(api: &Api, opts: &Options, intent: &Intent) -> Result<(), Error> {
    let plan: Plan = api.post("/v1/plans", intent)?;
    print_result(opts, &plan, table::plan);
    if opts.dry_run {
        return Ok(());
    }
    if !opts.yes && !prompt_for_confirmation()? {
        return Err(Error::NotConfirmed);
    }
    let confirmation: Confirmation = api.post("/v1/confirmations", &plan)?;
    print_result(opts, &confirmation, |c| format!("applied as revision {}\n", c.revision));
    Ok(())
}

fn prompt_for_confirmation() -> Result<bool, Error> {
    eprint!("confirm? [y/N] ");
    let mut line = String::new();
    let read = io::stdin().lock().read_line(&mut line);
    read.map_err(|source| Error::File { path: PathBuf::from("-"), source })?;
    Ok(matches!(line.trim(), "y" | "yes"))
}

fn read_intent(path: &PathBuf) -> Result<Intent, Error> {
    let text = match path.to_str() {
        Some("-") => io::read_to_string(io::stdin()),
        _ => std::fs::read_to_string(path),
    };
    let text = text.map_err(|source| Error::File { path: path.clone(), source })?;
    serde_json::from_str(&text).map_err(|source| Error::Intent { path: path.clone(), source })
}

fn print_result<T: Serialize>(opts: &Options, value: &T, table: impl FnOnce(&T) -> String) {
    if opts.json {
        println!("{}", serde_json::to_string(value).expect("responses serialize"));
    } else {
        print!("{}", table(value));
    }
}

struct Api {
    agent: Agent,
    base: String,
    bearer: String,
}

impl Api {
    fn new(opts: &Options) -> Result<Api, Error> {
        let path = &opts.token_file;
        let token = std::fs::read_to_string(path);
        let token = token.map_err(|source| Error::File { path: path.clone(), source })?;
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .timeout_global(Some(TIMEOUT))
            .build();
        let (base, bearer) = (format!("http://{}", opts.operator), token.trim().to_owned());
        Ok(Api { agent: config.into(), base, bearer: format!("Bearer {bearer}") })
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let req = self.agent.get(format!("{}{path}", self.base));
        parse_response(req.header("authorization", &self.bearer).call()?)
    }

    fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, Error> {
        let req = self.agent.post(format!("{}{path}", self.base));
        let body = serde_json::to_vec(body).expect("intents and plans serialize");
        parse_response(req.header("authorization", &self.bearer).send(&body)?)
    }
}

fn parse_response<T: DeserializeOwned>(
    mut resp: ureq::http::Response<ureq::Body>,
) -> Result<T, Error> {
    let text = resp.body_mut().read_to_string()?;
    if !resp.status().is_success() {
        return Err(Error::Refused(table::problem(&text)));
    }
    serde_json::from_str(&text).map_err(|e| Error::Refused(e.to_string()))
}
