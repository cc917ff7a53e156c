//! Parses and validates the head of an HTTP request for a service.

use std::time::Duration;
use std::time::SystemTime;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use sha2::Digest;
use sha2::Sha256;
use subtle::Choice;
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_64;

use crate::claims::IdempotencyKey;
use crate::claims::KeyError;
use crate::config::CatalogRevision;
use crate::config::Unit;
use crate::config::settings::Limits;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::WorkspaceName;
use crate::peer::message::Class;

/// Milliseconds within which the response must begin.
pub const DEADLINE: HeaderName = HeaderName::from_static("frostdyke-deadline-ms");

/// `urgent`, `normal` or `background`.
pub const CLASS: HeaderName = HeaderName::from_static("frostdyke-class");

/// Whether the request may run twice: `yes` or `no`.
pub const REPEATABLE: HeaderName = HeaderName::from_static("frostdyke-repeatable");

/// Arbitrary text; prompts with equal values likely share a prefix.
pub const PREFIX: HeaderName = HeaderName::from_static("frostdyke-prefix");

/// The workspace, where callers are trusted to name it.
pub const WORKSPACE: HeaderName = HeaderName::from_static("frostdyke-workspace");

/// Identifies a request, so that sending it again doesn't run it again.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// `first` if the caller has not sent this key before, else `again`.
pub const ATTEMPT: HeaderName = HeaderName::from_static("frostdyke-attempt");

/// Longest idempotency key.
pub const KEY_MAX_BYTES: usize = 200;

/// Longest deadline.
const DEADLINE_MAX: Duration = Duration::from_secs(24 * 3600);

/// A validated request for a service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// The workspace that is charged.
    pub workspace: WorkspaceName,
    pub service: ServiceName,
    /// The pool that serves it.
    pub pool: PoolName,
    /// The path on the upstream.
    pub upstream_path: String,
    /// The path that resumes a response, where upstreams have one.
    pub resume_path: Option<String>,
    /// The unit of its cost.
    pub cost_unit: Unit,
    /// Its priority class.
    pub class: Class,
    /// How long the caller waits for the response to begin.
    pub deadline: Duration,
    /// The key to claim before sending, if the request must not be repeated and has one.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether it may be sent to an upstream more than once.
    pub repeatable: bool,
    /// Whether the caller states that it has not sent this key before.
    pub is_first_attempt: bool,
    /// Hash of the prefix hint; 0 for none.
    pub prefix_hash: u64,
    /// Headers that are forwarded to the upstream.
    pub forwarded_headers: HeaderMap,
}

/// Why a request is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// There is no API key, or no workspace has it.
    #[error("the key names no workspace")]
    Unauthorized,
    /// The workspace doesn't exist.
    #[error("there is no workspace of this name")]
    NoWorkspace,
    /// The service doesn't exist.
    #[error("there is no service of this name")]
    NoService,
    /// The workspace may not use the service.
    #[error("this workspace may not use this service")]
    NotAllowed,
    /// A header has an invalid value.
    #[error("{0}: {1}")]
    Header(HeaderName, &'static str),
    /// The idempotency key of a request that must not be repeated cannot be claimed.
    #[error("idempotency-key: {0}")]
    Key(#[from] KeyError),
}

/// Parses a request for `service`.
pub fn parse(
    service: &str,
    headers: &HeaderMap,
    cfg: &CatalogRevision,
    limits: &Limits,
) -> Result<ServiceRequest, InvalidRequest> {
    let workspace = authenticate(headers, cfg, limits.trust_workspace_header)?;
    let service = cfg.service(service).ok_or(InvalidRequest::NoService)?;
    if !cfg.workspace(&workspace).is_some_and(|w| w.may_use(&service.name)) {
        return Err(InvalidRequest::NotAllowed);
    }
    let pool = cfg.pool(&service.pool).ok_or(InvalidRequest::NoService)?;
    let repeatable = repeatable(headers)?.unwrap_or(service.repeatable);
    let key = key(headers)?.filter(|_| !repeatable);
    let key = key.map(|k| IdempotencyKey::new(&workspace, k, SystemTime::now())).transpose()?;
    Ok(ServiceRequest {
        workspace,
        service: service.name.clone(),
        pool: pool.name.clone(),
        upstream_path: service.path.clone(),
        resume_path: service.resume.clone(),
        cost_unit: pool.unit,
        class: class(headers)?,
        deadline: deadline(headers)?.unwrap_or(limits.default_deadline),
        idempotency_key: key,
        repeatable,
        is_first_attempt: is_first_attempt(headers)?,
        prefix_hash: prefix_hash(headers),
        forwarded_headers: forwarded_headers(headers),
    })
}

fn authenticate(
    headers: &HeaderMap,
    cfg: &CatalogRevision,
    trust_header: bool,
) -> Result<WorkspaceName, InvalidRequest> {
    if trust_header {
        let name = single_value(headers, &WORKSPACE)?.ok_or(InvalidRequest::Unauthorized)?;
        let workspace = cfg.workspace(name).ok_or(InvalidRequest::NoWorkspace)?;
        return Ok(workspace.name.clone());
    }
    let value =
        single_value(headers, &header::AUTHORIZATION)?.ok_or(InvalidRequest::Unauthorized)?;
    let key = value.strip_prefix("Bearer ").ok_or(InvalidRequest::Unauthorized)?;
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    // Every digest is compared, in constant time, so that timing reveals nothing about the keys.
    let mut matched = None;
    for workspace in &cfg.catalog.workspaces {
        let matches = |known: &String| known.as_bytes().ct_eq(digest.as_bytes());
        let any = workspace.key_digests.iter().map(matches).fold(Choice::from(0), |a, b| a | b);
        if any.into() {
            matched = Some(workspace.name.clone());
        }
    }
    matched.ok_or(InvalidRequest::Unauthorized)
}

fn class(headers: &HeaderMap) -> Result<Class, InvalidRequest> {
    match single_value(headers, &CLASS)? {
        None | Some("normal") => Ok(Class::Normal),
        Some("urgent") => Ok(Class::Urgent),
        Some("background") => Ok(Class::Background),
        Some(_) => Err(InvalidRequest::Header(CLASS, "must be urgent, normal or background")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, InvalidRequest> {
    let Some(text) = single_value(headers, &DEADLINE)? else { return Ok(None) };
    let millis =
        text.parse().map_err(|_| InvalidRequest::Header(DEADLINE, "must be milliseconds"))?;
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || DEADLINE_MAX < deadline {
        return Err(InvalidRequest::Header(DEADLINE, "must be between 1 ms and a day"));
    }
    Ok(Some(deadline))
}

fn key(headers: &HeaderMap) -> Result<Option<&str>, InvalidRequest> {
    let Some(text) = single_value(headers, &IDEMPOTENCY_KEY)? else { return Ok(None) };
    if text.is_empty() || KEY_MAX_BYTES < text.len() {
        return Err(InvalidRequest::Header(IDEMPOTENCY_KEY, "must have 1 to 200 bytes"));
    }
    Ok(Some(text))
}

fn is_first_attempt(headers: &HeaderMap) -> Result<bool, InvalidRequest> {
    match single_value(headers, &ATTEMPT)? {
        None | Some("again") => Ok(false),
        Some("first") => Ok(true),
        Some(_) => Err(InvalidRequest::Header(ATTEMPT, "must be first or again")),
    }
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, InvalidRequest> {
    match single_value(headers, &REPEATABLE)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(InvalidRequest::Header(REPEATABLE, "must be yes or no")),
    }
}

fn prefix_hash(headers: &HeaderMap) -> u64 {
    headers.get(&PREFIX).map_or(0, |v| xxh3_64(v.as_bytes()).max(1))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let names = [header::CONTENT_TYPE, header::ACCEPT, CLASS, IDEMPOTENCY_KEY];
    let forwarded = names.into_iter().filter_map(|n| Some((n.clone(), headers.get(n)?.clone())));
    forwarded.collect()
}

/// The value of a header, which must be text and occur at most once.
fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, InvalidRequest> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(InvalidRequest::Header(name.clone(), "given more than once"));
    }
    let text = HeaderValue::to_str(value);
    text.map(Some).map_err(|_| InvalidRequest::Header(name.clone(), "must be plain text"))
}
