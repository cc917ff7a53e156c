//! What a caller asks for, read from the head of an HTTP request and checked.

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

use crate::claims::Key;
use crate::claims::KeyFault;
use crate::config::CatalogRevision;
use crate::config::Unit;
use crate::config::settings::Limits;
use crate::names::PoolName;
use crate::names::ServiceName;
use crate::names::WorkspaceName;
use crate::peer::message::Class;

/// Milliseconds in which the caller wants an answer to begin.
pub const DEADLINE: HeaderName = HeaderName::from_static("frostdyke-deadline-ms");

/// `urgent`, `normal` or `background`.
pub const CLASS: HeaderName = HeaderName::from_static("frostdyke-class");

/// `no` for a request that must not run twice, `yes` for one that may.
pub const REPEATABLE: HeaderName = HeaderName::from_static("frostdyke-repeatable");

/// Any text; prompts with equal hints likely share a prefix.
pub const PREFIX: HeaderName = HeaderName::from_static("frostdyke-prefix");

/// The workspace, where callers are trusted to say.
pub const WORKSPACE: HeaderName = HeaderName::from_static("frostdyke-workspace");

/// Names a request so that sending it again doesn't run it again.
pub const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// `first` when the caller has not sent this key before.
pub const ATTEMPT: HeaderName = HeaderName::from_static("frostdyke-attempt");

/// Longest idempotency key, in bytes.
pub const KEY_MAX: usize = 200;

/// Longest deadline.
const DEADLINE_MAX: Duration = Duration::from_secs(24 * 3600);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Who is charged.
    pub workspace: WorkspaceName,
    /// What is asked for.
    pub service: ServiceName,
    /// Where it is served.
    pub pool: PoolName,
    /// The path to call on the upstream.
    pub path: String,
    /// The path that goes on with an answer, where upstreams have one.
    pub resume: Option<String>,
    /// What its cost is counted in.
    pub unit: Unit,
    /// How much of a hurry it is in.
    pub class: Class,
    /// How long the caller waits for the answer to begin.
    pub deadline: Duration,
    /// What to claim before it is sent, for one that must not be repeated and carries a key.
    pub key: Option<Key>,
    /// Whether it may be sent to an upstream more than once.
    pub repeatable: bool,
    /// Whether the caller says that it has not sent this key before.
    pub first: bool,
    /// Hash of the prefix hint; 0 for none.
    pub prefix: u64,
    /// Headers that are passed on.
    pub headers: HeaderMap,
}

/// What is wrong with a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// No key, or one that names no workspace.
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
    /// A header has a value that it can't have.
    #[error("{0}: {1}")]
    Header(HeaderName, &'static str),
    /// The key of a request that must not be repeated isn't one that can be claimed.
    #[error("idempotency-key: {0}")]
    Key(#[from] KeyFault),
}

/// Reads what is asked of `service`.
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
    let key = key.map(|k| Key::new(&workspace, k, SystemTime::now())).transpose()?;
    Ok(ServiceRequest {
        workspace,
        service: service.name.clone(),
        pool: pool.name.clone(),
        path: service.path.clone(),
        resume: service.resume.clone(),
        unit: pool.unit,
        class: class(headers)?,
        deadline: deadline(headers)?.unwrap_or(limits.default_deadline),
        key,
        repeatable,
        first: first(headers)?,
        prefix: prefix(headers),
        headers: passed_on(headers),
    })
}

fn authenticate(
    headers: &HeaderMap,
    cfg: &CatalogRevision,
    trusted: bool,
) -> Result<WorkspaceName, InvalidRequest> {
    if trusted {
        let name = text(headers, &WORKSPACE)?.ok_or(InvalidRequest::Unauthorized)?;
        let workspace = cfg.workspace(name).ok_or(InvalidRequest::NoWorkspace)?;
        return Ok(workspace.name.clone());
    }
    let value = text(headers, &header::AUTHORIZATION)?.ok_or(InvalidRequest::Unauthorized)?;
    let key = value.strip_prefix("Bearer ").ok_or(InvalidRequest::Unauthorized)?;
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    // Every digest is compared, and in constant time, so that timing tells nothing of the keys.
    let mut found = None;
    for workspace in &cfg.catalog.workspaces {
        let matches = |known: &String| known.as_bytes().ct_eq(digest.as_bytes());
        let any = workspace.key_digests.iter().map(matches).fold(Choice::from(0), |a, b| a | b);
        if any.into() {
            found = Some(workspace.name.clone());
        }
    }
    found.ok_or(InvalidRequest::Unauthorized)
}

fn class(headers: &HeaderMap) -> Result<Class, InvalidRequest> {
    match text(headers, &CLASS)? {
        None | Some("normal") => Ok(Class::Normal),
        Some("urgent") => Ok(Class::Urgent),
        Some("background") => Ok(Class::Background),
        Some(_) => Err(InvalidRequest::Header(CLASS, "must be urgent, normal or background")),
    }
}

fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, InvalidRequest> {
    let Some(text) = text(headers, &DEADLINE)? else { return Ok(None) };
    let millis =
        text.parse().map_err(|_| InvalidRequest::Header(DEADLINE, "must be milliseconds"))?;
    let deadline = Duration::from_millis(millis);
    if deadline.is_zero() || DEADLINE_MAX < deadline {
        return Err(InvalidRequest::Header(DEADLINE, "must be between 1 ms and a day"));
    }
    Ok(Some(deadline))
}

fn key(headers: &HeaderMap) -> Result<Option<&str>, InvalidRequest> {
    let Some(text) = text(headers, &KEY)? else { return Ok(None) };
    if text.is_empty() || KEY_MAX < text.len() {
        return Err(InvalidRequest::Header(KEY, "must have 1 to 200 bytes"));
    }
    Ok(Some(text))
}

fn first(headers: &HeaderMap) -> Result<bool, InvalidRequest> {
    match text(headers, &ATTEMPT)? {
        None | Some("again") => Ok(false),
        Some("first") => Ok(true),
        Some(_) => Err(InvalidRequest::Header(ATTEMPT, "must be first or again")),
    }
}

fn repeatable(headers: &HeaderMap) -> Result<Option<bool>, InvalidRequest> {
    match text(headers, &REPEATABLE)? {
        None => Ok(None),
        Some("yes") => Ok(Some(true)),
        Some("no") => Ok(Some(false)),
        Some(_) => Err(InvalidRequest::Header(REPEATABLE, "must be yes or no")),
    }
}

fn prefix(headers: &HeaderMap) -> u64 {
    headers.get(&PREFIX).map_or(0, |v| xxh3_64(v.as_bytes()).max(1))
}

fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let names = [header::CONTENT_TYPE, header::ACCEPT, CLASS, KEY];
    let wanted = names.into_iter().filter_map(|n| Some((n.clone(), headers.get(n)?.clone())));
    wanted.collect()
}

/// The one value of a header, which must be text.
fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, InvalidRequest> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(InvalidRequest::Header(name.clone(), "stands twice"));
    }
    let text = HeaderValue::to_str(value);
    text.map(Some).map_err(|_| InvalidRequest::Header(name.clone(), "must be plain text"))
}
