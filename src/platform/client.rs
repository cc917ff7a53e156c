//! HTTP client of the platform, based on `ureq`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use ureq::Agent;
use ureq::http::Response;
use ureq::http::StatusCode;

use crate::peer::member::ListedBox;
use crate::platform::BoxList;
use crate::platform::Error;
use crate::platform::Object;
use crate::platform::ObjectStore;

/// Default timeout of calls other than watches.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long a watch may take beyond its wait.
const WATCH_EXTRA_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted response body.
const BODY_MAX_BYTES: u64 = 4 << 20;

/// Calls the platform at one address.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    calls: Arc<CallCounters>,
    timeout: Duration,
}

/// Counts the calls to the platform, each of which counts towards its rate limits.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Reads of objects and of the box list.
    pub reads: AtomicU64,
    /// Conditional updates.
    pub writes: AtomicU64,
    /// Waiting reads.
    pub watches: AtomicU64,
}

impl Client {
    /// A client that connects when it is first used.
    pub fn new(addr: SocketAddr) -> Client {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        let base = format!("http://{addr}");
        Client { agent: config.into(), base, calls: Arc::default(), timeout: CALL_TIMEOUT }
    }

    /// Like `self`, with another timeout of calls other than watches.
    pub fn with_timeout(&self, timeout: Duration) -> Client {
        Client { timeout, ..self.clone() }
    }

    /// The calls so far.
    pub fn calls(&self) -> &Arc<CallCounters> {
        &self.calls
    }

    fn read(&self, url: &str, timeout: Duration) -> Result<Response<ureq::Body>, Error> {
        let req = self.agent.get(url).config().timeout_global(Some(timeout)).build();
        // A read has no effect, so a lost response is the same as an outage.
        let resp = req.call().map_err(|e| Error::Unavailable(e.to_string()))?;
        match resp.status().as_u16() {
            503 => Err(Error::Unavailable("503".to_owned())),
            _ => Ok(resp),
        }
    }
}

impl ObjectStore for Client {
    fn get(&self, name: &str) -> Result<Option<Object>, Error> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let url = format!("{}/objects/{name}", self.base);
        object(self.read(&url, self.timeout)?)
    }

    fn put(&self, name: &str, value: &[u8], expected: u64) -> Result<u64, Error> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let url = format!("{}/objects/{name}", self.base);
        let req = self.agent.put(&url).header("if-version", expected.to_string());
        let sent = req.config().timeout_global(Some(self.timeout)).build().send(value);
        let resp = sent.map_err(|e| match e {
            ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => {
                Error::Unavailable(e.to_string())
            }
            ureq::Error::Io(ref io) if io.kind() == std::io::ErrorKind::ConnectionRefused => {
                Error::Unavailable(e.to_string())
            }
            _ => Error::Unknown(e.to_string()),
        })?;
        match resp.status().as_u16() {
            200 => version(&resp),
            409 => Err(Error::Conflict { current: version(&resp)? }),
            503 => Err(Error::Unavailable("503".to_owned())),
            other => Err(Error::Unexpected(other.to_string())),
        }
    }

    fn watch(&self, name: &str, after: u64, wait: Duration) -> Result<Option<Object>, Error> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        let wait_ms = wait.as_millis();
        let url = format!("{}/objects/{name}?after={after}&wait_ms={wait_ms}", self.base);
        object(self.read(&url, wait + WATCH_EXTRA_TIMEOUT)?)
    }
}

impl BoxList for Client {
    fn boxes(&self) -> Result<Vec<ListedBox>, Error> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let mut resp = self.read(&format!("{}/boxes", self.base), self.timeout)?;
        if resp.status() != StatusCode::OK {
            return Err(Error::Unexpected(resp.status().to_string()));
        }
        let body = bytes(&mut resp)?;
        serde_json::from_slice(&body).map_err(|e| Error::Unexpected(e.to_string()))
    }
}

fn object(mut resp: Response<ureq::Body>) -> Result<Option<Object>, Error> {
    match resp.status().as_u16() {
        200 => Ok(Some(Object { version: version(&resp)?, value: bytes(&mut resp)? })),
        204 | 404 => Ok(None),
        other => Err(Error::Unexpected(other.to_string())),
    }
}

fn version(resp: &Response<ureq::Body>) -> Result<u64, Error> {
    let header = resp.headers().get("version").and_then(|v| v.to_str().ok()?.parse().ok());
    header.ok_or_else(|| Error::Unexpected("no version".to_owned()))
}

fn bytes(resp: &mut Response<ureq::Body>) -> Result<Vec<u8>, Error> {
    let body = resp.body_mut().with_config().limit(BODY_MAX_BYTES);
    body.read_to_vec().map_err(|e| Error::Unavailable(e.to_string()))
}
