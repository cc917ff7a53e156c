//! HTTP/1.1 servers, by `hyper`: the accept loop of every port that speaks HTTP, and whole short
//! answers for the metrics page and the intent API.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
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

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Connections that a page serves at once. Idle ones hold no thread.
const HANDLER_CONNECTIONS_MAX: usize = 256;

/// How long a client of a page may take to send a request's head, and again its body. An idle
/// connection is closed after it, so that idle ones can't use up all that there may be.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers the requests of a page.
pub trait HttpHandler: Send + Sync + 'static {
    /// Looks at a request's head before its body is read; an answer here is the only one.
    fn check_head(&self, _head: &Parts) -> Option<Response<Bytes>> {
        None
    }

    /// Answers a request; it may block.
    fn handle(&self, req: Request<Bytes>) -> Response<Bytes>;
}

/// Accepts connections, `max` at once, until `stopped`; then lets what is under way end and
/// returns. `connect` makes a connection's future.
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
        // Out of descriptors, say: others may be closed meanwhile.
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = graceful.watch(connect(stream));
        tokio::spawn(async move {
            // A client that leaves, or sends what isn't HTTP, is its own business.
            let _ = connection.await;
            drop(permit);
        });
    }
    graceful.shutdown().await;
}

/// Serves whole answers until `stopped`. Bodies over `body_max` bytes get 413. Requests are
/// answered on threads that may block.
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

/// Why a body can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is longer than it may be.
    #[error("the body is too long")]
    TooLong,
    /// It didn't come whole, or not in time.
    #[error("the body did not come whole")]
    Truncated,
}

/// Reads a body of at most `max` bytes. One that says it is longer is refused unread.
pub async fn read_body<B>(body: B, max: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    if (max as u64) < body.size_hint().lower() {
        return Err(BodyError::TooLong);
    }
    match tokio::time::timeout(timeout, Limited::new(body, max).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) | Err(_) => Err(BodyError::Truncated),
    }
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
    let answered = tokio::task::spawn_blocking(move || handler.handle(req)).await;
    // A panic has been printed; this client hears of it, and the others are served on.
    answered.map_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR), |r| r.map(Full::new))
}

fn empty(status: StatusCode) -> Response<Full<Bytes>> {
    let mut resp = Response::new(Full::default());
    *resp.status_mut() = status;
    resp
}
