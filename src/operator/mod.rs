//! The intent API for operators: what they want, the plan that comes of it, and its confirmation.
//! Nothing is done before a plan is confirmed. Any box can check any plan; nothing is kept here.

pub mod fleet;
pub mod intent;
pub mod plan;

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::runtime::Handle;

use crate::config::Catalog;
use crate::config::Fault;
use crate::config::settings;
use crate::config::settings::OperatorToken;
use crate::controller::report;
use crate::controller::report::Report;
use crate::log;
use crate::operator::fleet::Fleet;
use crate::operator::intent::Intent;
use crate::operator::plan::Plan;
use crate::platform;
use crate::platform::ObjectStore;
use crate::platform::client::Client;
use crate::stop::Signals;
use crate::web;
use crate::web::Page;

/// Threads of the asynchronous runtime.
const WORKERS: usize = 2;

/// Longest body, in bytes: a whole configuration fits.
const BODY_MAX: usize = 2 << 20;

/// Why the operators' port can't be served.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The runtime or its signals can't be had.
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

/// Serves operators until the process is told to stop; then ends what is under way.
pub fn run(cfg: settings::Operator) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKERS)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(serve(cfg))
}

async fn serve(cfg: settings::Operator) -> Result<(), Error> {
    let (log, _guard) = log::open(&cfg.log, "frostdyke-operator", &cfg.identity.name);
    let mut signals = Signals::new().map_err(Error::Runtime)?;
    let listener = TcpListener::bind(cfg.operators).await.map_err(Error::Serve)?;
    let client = Arc::new(Client::new(cfg.platform));
    let fleet = Fleet::new(client.clone(), &cfg, Handle::current());
    info!(log, "listening"; "operators" => %cfg.operators);
    let api = Arc::new(Api { objects: client, fleet, tokens: cfg.tokens, log });
    web::serve(listener, BODY_MAX, api, signals.next()).await;
    Ok(())
}

struct Api {
    objects: Arc<dyn ObjectStore>,
    fleet: Fleet,
    tokens: Vec<OperatorToken>,
    log: Logger,
}

impl Page for Api {
    fn refuse(&self, head: &Parts) -> Option<Response<Bytes>> {
        self.authenticate(&head.headers).err().map(|problem| refusal(&problem))
    }

    fn answer(&self, req: Request<Bytes>) -> Response<Bytes> {
        self.handle(&req).unwrap_or_else(|problem| refusal(&problem))
    }
}

impl Api {
    fn handle(&self, req: &Request<Bytes>) -> Result<Response<Bytes>, Problem> {
        let operator = self.authenticate(req.headers())?;
        match (req.method().as_str(), req.uri().path()) {
            ("GET", "/v1/configuration") => Ok(answer(200, &plan::read(&*self.objects)?)),
            ("GET", "/v1/engines") => Ok(answer(200, &self.engines()?)),
            ("GET", "/v1/status") => Ok(answer(200, &self.fleet.status())),
            ("POST", "/v1/plans") => {
                let intent: Intent = read(req.body())?;
                Ok(answer(200, &plan::make(&*self.objects, intent)?))
            }
            ("POST", "/v1/confirmations") => {
                let plan: Plan = read(req.body())?;
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

    /// What the controllers of all zones have reported.
    fn engines(&self) -> Result<Vec<Report>, Problem> {
        let shown = plan::read(&*self.objects)?;
        let mut reports = Vec::new();
        for zone in shown.configuration.zones() {
            reports.extend(report::read(&*self.objects, zone)?);
        }
        Ok(reports)
    }

    /// The operator whom the token names. Every digest is compared, and in constant time.
    fn authenticate(&self, headers: &HeaderMap) -> Result<&str, Problem> {
        let header = headers.get(AUTHORIZATION).and_then(|v| v.to_str().ok());
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

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|e| Problem::BadBody { reason: e.to_string() })
}

fn refusal(problem: &Problem) -> Response<Bytes> {
    answer(problem.status(), problem)
}

fn answer(status: u16, value: &impl Serialize) -> Response<Bytes> {
    let text = serde_json::to_vec(value).expect("answers serialize");
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(text))
        .expect("a valid answer")
}
