//! Short questions by HTTP/1.1, to the store, to other boxes and to engines, on a connection that is
//! kept between them.

use std::net::SocketAddr;
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
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::proxy::link;

/// How long connecting may take, however long the answer may.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest answer that is read, in bytes: a page of objects and a snapshot of a fleet are about
/// 1 MB.
const ANSWER_MAX: usize = 8 << 20;

/// Why a question has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// There is no connection.
    #[error("connecting: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("calling: {0}")]
    Http(#[from] hyper::Error),
    /// No answer came in time; nothing more comes on that connection.
    #[error("no answer in time")]
    Timeout,
    /// The answer breaks off or is too long.
    #[error("the answer: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Asks one address, on one connection, which is made anew when it breaks.
#[derive(Debug)]
pub struct HttpClient {
    addr: SocketAddr,
    conn: Option<Conn>,
}

#[derive(Debug)]
struct Conn {
    tx: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl HttpClient {
    /// Connects when it is first used.
    pub fn new(addr: SocketAddr) -> HttpClient {
        HttpClient { addr, conn: None }
    }

    /// Gets a path; gives the status and the body of the answer, whatever they are.
    pub async fn get(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let (head, body) = self.get_with_head(path, timeout).await?;
        Ok((head.status, body))
    }

    /// The same with the answer's head.
    pub async fn get_with_head(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        self.send(Method::GET, path, Bytes::new(), timeout).await
    }

    /// Sends a body, which is JSON unless it is empty, to a path by any method; gives the answer, whatever its status.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(response::Parts, Bytes), Error> {
        // A connection on which a call failed or hung says nothing further.
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
    // Paths are made of constants, names and numbers.
    *req.uri_mut() = path.parse().unwrap_or_else(|_| Uri::from_static("/"));
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        req.headers_mut().insert(HOST, host);
    }
    conn.tx.ready().await?;
    let resp = conn.tx.send_request(req).await?;
    let (head, body) = resp.into_parts();
    let body = Limited::new(body, ANSWER_MAX).collect().await;
    Ok((conn, head, body.map_err(Error::Body)?.to_bytes()))
}

async fn connect(addr: SocketAddr) -> Result<Conn, Error> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr))
        .await
        .map_err(|_| Error::Timeout)??;
    // An answer may be waited for long; a partition that silences its connection is noticed before.
    link::guard(&stream)?;
    let (tx, conn) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        // Whoever waits on the connection hears of its failure.
        let _ = conn.await;
    });
    Ok(Conn { tx, task: task.abort_handle() })
}
