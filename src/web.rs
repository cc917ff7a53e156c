//! HTTP/1.1 servers, by `hyper`: the accept loop of every HTTP port, and a simple server of short
//! responses for metrics, readiness and the intent API.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulConnection;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Connections that [`serve`] handles at once. Idle ones occupy no thread.
const HANDLER_CONNECTIONS_MAX: usize = 256;

/// Timeout for reading the head of a request, and again for its body. It also closes idle
/// connections, so that they can't exhaust the connection limit.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles the requests of a server run by [`serve`].
pub trait HttpHandler: Send + Sync + 'static {
    /// Checks the head of a request before its body is read. A response returned here is sent and
    /// [`HttpHandler::handle`] isn't called.
    fn check_head(&self, _head: &Parts) -> Option<Response<Bytes>> {
        None
    }

    /// Handles a request; it may block.
    fn handle(&self, req: Request<Bytes>) -> Response<Bytes>;
}

/// Accepts connections, at most `max` at once, until `stopped` resolves; then completes the
/// requests in progress and returns. `connect` returns the future that serves a connection.
pub async fn accept<C>(
    listener: TcpListener,
    max: usize,
    stopped: impl Future<Output = ()>,
    connect: impl Fn(TcpStream) -> C,
) where
    C: GracefulConnection + Send + 'static,
{
    let connections = Arc::new(Semaphore::new(max));
    let graceful = GracefulShutdown::new();
    tokio::pin!(stopped);
    loop {
        let permit = tokio::select! {
            permit = connections.clone().acquire_owned() => permit.expect("never closed"),
            () = &mut stopped => break,
        };
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => break,
        };
        // For example out of file descriptors: other connections may close in the meantime.
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = graceful.watch(connect(stream));
        tokio::spawn(async move {
            // Errors are caused by the client: it disconnected or sent invalid HTTP.
            let _ = connection.await;
            drop(permit);
        });
    }
    graceful.shutdown().await;
}

/// Serves requests by `handler` until `stopped` resolves. Bodies over `body_max` bytes get status
/// 413. The handler runs on threads that may block.
pub async fn serve(
    listener: TcpListener,
    body_max: usize,
    handler: Arc<dyn HttpHandler>,
    stopped: impl Future<Output = ()>,
) {
    accept(listener, HANDLER_CONNECTIONS_MAX, stopped, |stream| {
        let handler = handler.clone();
        let service = service_fn(move |req| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handle(req, body_max, handler).await) }
        });
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service)
    })
    .await;
}

/// Why reading a body failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It exceeds the limit.
    #[error("the body is too long")]
    TooLong,
    /// It is incomplete, or wasn't received in time.
    #[error("the body did not come whole")]
    Truncated,
}

/// Reads a body of at most `max` bytes. A body that declares more is rejected without reading it.
pub async fn read_body<B>(body: B, max: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if (max as u64) < body.size_hint().lower() {
        return Err(BodyError::TooLong);
    }
    match tokio::time::timeout(timeout, collect_body(body, max)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) | Err(_) => Err(BodyError::Truncated),
    }
}

/// Reads a body of at most `max` bytes into one buffer. Its frames aren't kept: each of them takes
/// more than its bytes, and may keep the whole buffer that it was read into.
pub async fn collect_body<B>(body: B, max: usize) -> Result<Bytes, Box<dyn Error + Send + Sync>>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut body = std::pin::pin!(Limited::new(body, max));
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        all.extend_from_slice(&frame?.into_data().unwrap_or_default());
    }
    Ok(all.freeze())
}

async fn handle(
    req: Request<Incoming>,
    body_max: usize,
    handler: Arc<dyn HttpHandler>,
) -> Response<Full<Bytes>> {
    let (head, body) = req.into_parts();
    if let Some(resp) = handler.check_head(&head) {
        return resp.map(Full::new);
    }
    let body = match read_body(body, body_max, READ_TIMEOUT).await {
        Ok(body) => body,
        Err(BodyError::TooLong) => return empty(StatusCode::PAYLOAD_TOO_LARGE),
        Err(BodyError::Truncated) => return empty(StatusCode::REQUEST_TIMEOUT),
    };
    let req = Request::from_parts(head, body);
    let result = tokio::task::spawn_blocking(move || handler.handle(req)).await;
    // A panic has been printed already. This client gets status 500; others are unaffected.
    result.map_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR), |r| r.map(Full::new))
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::default());
    *resp.status_mut() = status;
    resp
}
