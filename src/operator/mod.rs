//! The intent API for operators: what they want, the plan that comes of it, and its confirmation.
//! Nothing is done before a plan is confirmed. Any box can check any plan; nothing is kept here.

pub mod fleet;
pub mod intent;
pub mod plan;

use std::io;
use std::io::Read;
use std::sync::Arc;

use astra::Body;
use astra::ConnectionInfo;
use astra::Request;
use astra::Response;
use astra::ResponseBuilder;
use astra::Server;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use subtle::ConstantTimeEq;

use crate::config::Catalog;
use crate::config::Fault;
use crate::config::settings;
use crate::config::settings::Token;
use crate::log;
use crate::operator::fleet::Fleet;
use crate::operator::intent::Intent;
use crate::operator::plan::Plan;
use crate::platform;
use crate::platform::Objects;
use crate::platform::client::Client;

/// Threads that serve operators.
const WORKERS: usize = 8;

/// Longest body, in bytes: a whole configuration fits.
const BODY_MAX: u64 = 2 << 20;

/// Why the operators' port can't be served.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime for calls to the routers can't be had.
    #[error("starting the runtime: {0}")]
    Runtime(io::Error),
    /// The port can't be served.
    #[error("[listen] operators: {0}")]
    Serve(io::Error),
}

/// Why a request of an operator wasn't done.
#[derive(Clone, Debug, Serialize, thiserror::Error)]
#[serde(tag = "problem", rename_all = "kebab-case")]
pub enum Problem {
    /// The token names no operator.
    #[error("the token names no operator")]
    Unauthorized,
    /// There is nothing at this path.
    #[error("there is nothing at this path")]
    NoPath,
    /// The body isn't what belongs here.
    #[error("the body: {reason}")]
    BadBody { reason: String },
    /// What the intent asks for can't be: every fault, named by field.
    #[error("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid { faults: Vec<Fault> },
    /// The configuration has changed since the plan was made; here is a new one.
    #[error("the configuration has changed since the plan was made")]
    Stale { plan: Box<Plan> },
    /// The plan isn't what its intent gives.
    #[error("the plan does not belong to its intent")]
    Forged,
    /// The platform can't be reached.
    #[error("the platform: {reason}")]
    Platform { reason: String },
}

impl Problem {
    fn status(&self) -> u16 {
        match self {
            Problem::Unauthorized => 401,
            Problem::NoPath => 404,
            Problem::BadBody { .. } | Problem::Forged => 400,
            Problem::Invalid { .. } => 422,
            Problem::Stale { .. } => 409,
            Problem::Platform { .. } => 503,
        }
    }
}

impl From<platform::Error> for Problem {
    fn from(e: platform::Error) -> Problem {
        Problem::Platform { reason: e.to_string() }
    }
}

/// A configuration with its revision, as operators are shown it.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct Shown {
    /// The object's version.
    pub revision: u64,
    /// What is in force, or soon will be.
    pub configuration: Catalog,
}

/// A plan that was applied.
#[derive(Clone, Copy, Debug, Serialize, serde::Deserialize)]
pub struct Confirmed {
    /// The revision that it gave.
    pub revision: u64,
}

/// Serves operators until the process ends.
///
/// # Panics
///
/// When the operators' port is taken.
pub fn run(cfg: settings::Operator) -> Result<(), Error> {
    let (log, _guard) = log::open(&cfg.log, "frostdyke-operator", &cfg.identity.name);
    let client = Arc::new(Client::new(cfg.platform));
    let fleet = Fleet::new(client.clone(), &cfg).map_err(Error::Runtime)?;
    info!(log, "listening"; "operators" => %cfg.operators);
    let api = Api { objects: client, fleet, tokens: cfg.tokens, log };
    let serve = move |mut req: Request, _: ConnectionInfo| api.serve(&mut req);
    Server::bind(cfg.operators).max_workers(WORKERS).serve(serve).map_err(Error::Serve)
}

struct Api {
    objects: Arc<dyn Objects>,
    fleet: Fleet,
    tokens: Vec<Token>,
    log: Logger,
}

impl Api {
    fn serve(&self, req: &mut Request) -> Response {
        match self.handle(req) {
            Ok(resp) => resp,
            Err(problem) => answer(problem.status(), &problem),
        }
    }

    fn handle(&self, req: &mut Request) -> Result<Response, Problem> {
        let operator = self.authenticate(req)?;
        let path = req.uri().path().to_owned();
        match (req.method().as_str(), path.as_str()) {
            ("GET", "/v1/configuration") => Ok(answer(200, &plan::read(&*self.objects)?)),
            ("GET", "/v1/status") => Ok(answer(200, &self.fleet.status())),
            ("POST", "/v1/plans") => {
                let intent: Intent = body(req)?;
                Ok(answer(200, &plan::make(&*self.objects, intent)?))
            }
            ("POST", "/v1/confirmations") => {
                let plan: Plan = body(req)?;
                let confirmed = plan::confirm(&*self.objects, &plan, operator)?;
                info!(self.log, "plan applied";
                    "plan" => &plan.hash, "by" => operator, "revision" => confirmed.revision);
                Ok(answer(200, &confirmed))
            }
            ("GET", path) => match path.strip_prefix("/v1/explanations/") {
                Some(request) => Ok(answer(200, &self.fleet.explain(request))),
                None => Err(Problem::NoPath),
            },
            _ => Err(Problem::NoPath),
        }
    }

    /// The operator whom the token names. Every digest is compared, and in constant time.
    fn authenticate(&self, req: &Request) -> Result<&str, Problem> {
        let header = req.headers().get("authorization").and_then(|v| v.to_str().ok());
        let token = header.and_then(|v| v.strip_prefix("Bearer ")).unwrap_or("");
        let digest = Sha256::digest(token.as_bytes());
        let mut found = None;
        for known in &self.tokens {
            if known.digest.ct_eq(digest.as_slice()).into() {
                found = Some(known.name.as_str());
            }
        }
        found.ok_or(Problem::Unauthorized)
    }
}

fn body<T: serde::de::DeserializeOwned>(req: &mut Request) -> Result<T, Problem> {
    let mut text = Vec::new();
    let read = req.body_mut().reader().take(BODY_MAX).read_to_end(&mut text);
    let bad = |reason: String| Problem::BadBody { reason };
    read.map_err(|e| bad(e.to_string()))?;
    serde_json::from_slice(&text).map_err(|e| bad(e.to_string()))
}

fn answer(status: u16, value: &impl Serialize) -> Response {
    let text = serde_json::to_vec(value).expect("answers serialize");
    ResponseBuilder::new()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::new(text))
        .expect("a valid answer")
}
