//! A small HTTP/1.1 client for calls to the store, to other boxes and to engines. It keeps its
//! connection open between calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::response;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::proxy::upstream_connections;
use crate::proxy::upstream_io::UpstreamIo;
use crate::proxy::upstream_io::WriteProgress;
use crate::response_status;
use crate::web;

/// Time limit for connecting, whatever the timeout of the call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest response body that is read. A page of objects and a snapshot of a fleet are about 1 MB.
const BODY_BYTES_MAX: usize = 8 << 20;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// Connecting failed.
    #[error("connecting: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed during the call.
    #[error("HTTP call: {0}")]
    Http(#[from] hyper::Error),
    /// No response arrived in time; the connection isn't used again.
    #[error("no response in time")]
    Timeout,
    /// The response has a status that no final response has.
    #[error("response status {0} isn't that of a final response")]
    Status(StatusCode),
    /// The response body was truncated or too long.
    #[error("reading the response body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// A client for one address, with one connection that is replaced when it fails.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    conn: Option<Conn>,
}

#[derive(Debug)]
struct Conn {
    tx: SendRequest<Full<Bytes>>,
    progress: Arc<WriteProgress>,
    driver: AbortHandle,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpClient {
    /// The connection is opened by the first call.
    pub fn new(addr: SocketAddr) -> HttpClient {
        HttpClient { addr, conn: None }
    }

    /// Sends a GET request; returns the status, which may be any of a final response, and the body.
    pub async fn get(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let (head, body) = self.get_with_head(path, timeout).await?;
        Ok((head.status, body))
    }

    /// Like [`HttpClient::get`], with the whole head of the response.
    pub async fn get_with_head(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        self.send(Method::GET, path, Bytes::new(), timeout).await
    }

    /// Sends a request whose body is JSON or empty; returns the final response, whatever its status.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        // A connection on which a call failed or timed out isn't used again.
        let conn = self.conn.take();
        let call = call(self.addr, conn, method, path, body);
        let (conn, head, body) =
            tokio::time::timeout(timeout, call).await.map_err(|_| Error::Timeout)??;
        self.conn = Some(conn);
        Ok((head, body))
    }
}

async fn call(
    addr: SocketAddr,
    conn: Option<Conn>,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(Conn, response::Parts, Bytes), Error> {
    let mut conn = match conn {
        Some(conn) if !conn.tx.is_closed() => conn,
        _ => connect(addr).await?,
    };
    let is_json = !body.is_empty();
    let mut req = Request::new(Full::new(body));
    *req.method_mut() = method;
    if is_json {
        req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    // Paths consist of constants, names and numbers, so this doesn't fail in practice.
    *req.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        req.headers_mut().insert(HOST, host);
    }
    conn.tx.ready().await?;
    conn.progress.set_awaits_head(true);
    let resp = conn.tx.send_request(req).await?;
    conn.progress.set_awaits_head(false);
    let (head, body) = resp.into_parts();
    if !response_status::is_final(head.status) {
        return Err(Error::Status(head.status));
    }
    let body = web::collect_body(body, BODY_BYTES_MAX).await.map_err(Error::Body)?;
    Ok((conn, head, body))
}

async fn connect(addr: SocketAddr) -> Result<Conn, Error> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| Error::Timeout)??;
    // A call may wait long for its response; this detects a partition before then.
    upstream_connections::set_tcp_options(&stream)?;
    let (io, progress) = UpstreamIo::new(stream);
    let (tx, conn) = http1::handshake(TokioIo::new(io)).await?;
    let driver = tokio::spawn(async move {
        // The pending call gets the error.
        let _ = conn.await;
    });
    Ok(Conn { tx, progress, driver: driver.abort_handle() })
}
