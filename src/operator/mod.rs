//! The intent API for operators: they submit an intent, get a plan of the resulting changes, and
//! confirm it. Nothing changes until a plan is confirmed. The server is stateless: any box can
//! check and apply any plan.

pub mod fleet_client;
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
use crate::operator::fleet_client::FleetClient;
use crate::operator::intent::Intent;
use crate::operator::plan::Plan;
use crate::platform;
use crate::platform::ObjectStore;
use crate::platform::client::Client;
use crate::stop::Signals;
use crate::web;
use crate::web::HttpHandler;

/// Worker threads of the asynchronous runtime.
const WORKER_THREADS: usize = 2;

/// Longest request body: a whole configuration fits.
const BODY_MAX_BYTES: usize = 2 << 20;

/// An error that ends the operators' server.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Starting the runtime or installing signal handlers failed.
    #[error("starting the runtime: {0}")]
    Runtime(io::Error),
    /// Binding the operators' port failed.
    #[error("[listen] operators: {0}")]
    Serve(io::Error),
}

/// Why a request of an operator failed.
#[derive(Clone, Debug, Serialize, thiserror::Error)]
#[serde(tag = "problem", rename_all = "kebab-case")]
pub enum Problem {
    /// The token is missing or belongs to no operator.
    #[error("the token is missing or belongs to no operator")]
    Unauthorized,
    /// The API has no such method and path.
    #[error("no such method and path")]
    NoPath,
    /// The request body can't be parsed.
    #[error("invalid request body: {reason}")]
    BadBody { reason: String },
    /// The intent would make the configuration invalid: all faults, by field.
    #[error("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
    Invalid { faults: Vec<Fault> },
    /// The configuration has changed since the plan was created. Contains a new plan.
    #[error("the configuration has changed since the plan was created")]
    Stale { plan: Box<Plan> },
    /// The plan differs from the one created from its intent.
    #[error("the plan does not match its intent")]
    Forged,
    /// A call to the platform failed.
    #[error("platform: {reason}")]
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

/// A configuration with its revision.
#[derive(Clone, Debug, Serialize, serde::Deserialize)]
pub struct VersionedCatalog {
    /// The object's version.
    pub revision: u64,
    /// The stored configuration, in force as soon as the boxes have received it.
    pub configuration: Catalog,
}

/// The result of applying a plan.
#[derive(Clone, Copy, Debug, Serialize, serde::Deserialize)]
pub struct Confirmation {
    /// The resulting revision of the configuration.
    pub revision: u64,
}

/// Serves operators until a shutdown signal arrives; then completes the requests in progress.
pub fn run(cfg: settings::Operator) -> Result<(), Error> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
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
    let fleet = FleetClient::new(client.clone(), &cfg, Handle::current());
    info!(log, "listening"; "operators" => %cfg.operators);
    let api = Arc::new(Api { objects: client, fleet, tokens: cfg.tokens, log });
    web::serve(listener, BODY_MAX_BYTES, api, signals.next()).await;
    Ok(())
}

struct Api {
    objects: Arc<dyn ObjectStore>,
    fleet: FleetClient,
    tokens: Vec<OperatorToken>,
    log: Logger,
}

impl HttpHandler for Api {
    fn check_head(&self, head: &Parts) -> Option<Response<Bytes>> {
        self.authenticate(&head.headers).err().map(|problem| problem_response(&problem))
    }

    fn handle(&self, req: Request<Bytes>) -> Response<Bytes> {
        self.dispatch(&req).unwrap_or_else(|problem| problem_response(&problem))
    }
}

impl Api {
    fn dispatch(&self, req: &Request<Bytes>) -> Result<Response<Bytes>, Problem> {
        let operator = self.authenticate(req.headers())?;
        match (req.method().as_str(), req.uri().path()) {
            ("GET", "/v1/configuration") => {
                Ok(json_response(200, &plan::read_configuration(&*self.objects)?))
            }
            ("GET", "/v1/engines") => Ok(json_response(200, &self.engines()?)),
            ("GET", "/v1/status") => Ok(json_response(200, &self.fleet.status())),
            ("POST", "/v1/plans") => {
                let intent: Intent = parse(req.body())?;
                Ok(json_response(200, &plan::create(&*self.objects, intent)?))
            }
            ("POST", "/v1/confirmations") => {
                let plan: Plan = parse(req.body())?;
                let confirmation = plan::confirm(&*self.objects, &plan, operator)?;
                info!(self.log, "plan applied";
                    "plan" => &plan.hash, "by" => operator, "revision" => confirmation.revision);
                Ok(json_response(200, &confirmation))
            }
            ("GET", path) => match path.strip_prefix("/v1/explanations/") {
                Some(request) => Ok(json_response(200, &self.fleet.explain(request))),
                None => Err(Problem::NoPath),
            },
            _ => Err(Problem::NoPath),
        }
    }

    /// Returns the reports of the controllers of all zones.
    fn engines(&self) -> Result<Vec<Report>, Problem> {
        let current = plan::read_configuration(&*self.objects)?;
        let mut reports = Vec::new();
        for zone in current.configuration.zones() {
            reports.extend(report::read(&*self.objects, zone)?);
        }
        Ok(reports)
    }

    /// Returns the operator that the token belongs to. All digests are compared, each in constant
    /// time.
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

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|e| Problem::BadBody { reason: e.to_string() })
}

fn problem_response(problem: &Problem) -> Response<Bytes> {
    json_response(problem.status(), problem)
}

fn json_response(status: u16, value: &impl Serialize) -> Response<Bytes> {
    let body = serde_json::to_vec(value).expect("responses serialize");
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
        .expect("a valid response")
}
