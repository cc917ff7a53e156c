//! Accepts callers' connections and serves HTTP on them.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::proxy::connection_limiter::AdmittedConnection;
use crate::proxy::connection_limiter::ConnectionLimiter;
use crate::proxy::connection_rejecter::ConnectionRejecter;
use crate::proxy::held_tracker::HeldIo;
use crate::proxy::hub::Hub;
use crate::proxy::refusal;
use crate::proxy::refusal::Refusal;
use crate::proxy::request;
use crate::proxy::response_body::Body;
use crate::proxy::routing_table::Limits;
use crate::proxy::shutdown::ShutdownPhase;
use crate::proxy::upstream_connections;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Connections accepted in a row before the accept loop yields to other tasks.
const ACCEPT_BATCH: u64 = 64;

/// The smallest header buffer that `hyper` allows, in bytes.
const HEAD_BUF_MIN: usize = 8 << 10;

/// Added to the idle timeout, so that a caller that reuses its connection just in time still finds
/// it open.
const IDLE_TIMEOUT_SLACK: Duration = Duration::from_secs(1);

/// Turns a listener into one that accepts connections without registering them with the runtime.
#[expect(
    deprecated,
    reason = "a listener owns its descriptor; the replacement of this call is unsafe"
)]
pub fn listen(listener: TcpListener) -> io::Result<AsyncFd<std::net::TcpListener>> {
    AsyncFd::with_interest(listener.into_std()?, Interest::READABLE)
}

/// Serves callers until the process ends.
pub async fn serve(
    listener: AsyncFd<std::net::TcpListener>,
    mut limiter: ConnectionLimiter,
    hub: Arc<Hub>,
) {
    let connections = Arc::new(Semaphore::new(hub.connections_max()));
    let rejecter = ConnectionRejecter::start(hub.clone());
    let mut accepted = 0;
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let stream = match accept(&listener).await {
            Ok(stream) => stream,
            Err(e) => {
                // For example out of descriptors: other connections may be closed during the pause.
                slog::warn!(hub.log(), "cannot accept connection"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        accepted += 1;
        if accepted % ACCEPT_BATCH == 0 {
            tokio::task::yield_now().await;
        }
        let Some(admitted) = limiter.try_admit(hub.unsent(), hub.now()) else {
            hub.count_rejected();
            rejecter.reject(stream);
            continue;
        };
        let hub = hub.clone();
        tokio::spawn(async move {
            let connected = hub.track_connection();
            serve_connection(stream, admitted, hub).await;
            drop((connected, permit));
        });
    }
}

async fn accept(listener: &AsyncFd<std::net::TcpListener>) -> io::Result<std::net::TcpStream> {
    loop {
        let mut ready = listener.readable().await?;
        if let Ok(accepted) = ready.try_io(|listener| listener.get_ref().accept()) {
            return accepted.map(|(stream, _)| stream);
        }
    }
}

async fn serve_connection(
    stream: std::net::TcpStream,
    admitted: AdmittedConnection,
    hub: Arc<Hub>,
) {
    let stream = match register(stream) {
        Ok(stream) => stream,
        // The caller has closed the connection already.
        Err(_) => return,
    };
    let limits = hub.table().map(|t| t.limits.clone()).unwrap_or_default();
    let has_chunks = AtomicBool::new(true);
    let service = service_fn(|req: Request<Incoming>| {
        admitted.note_request();
        has_chunks.store(req.version() == Version::HTTP_11, Ordering::Relaxed);
        respond(hub.clone(), req)
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_read_timeout(&limits))
        .max_buf_size(limits.head_bytes.max(HEAD_BUF_MIN))
        .serve_connection(TokioIo::new(HeldIo::new(stream, hub.held().cloned())), service);
    // Errors are ignored: the caller disconnected, didn't send valid HTTP, or got a response that
    // was aborted.
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = shutdown_begun(&hub) => {
            // Closes an idle connection now: a later request on it might not end in time.
            std::pin::Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if ended.is_err() && !has_chunks.load(Ordering::Relaxed) {
        // Without chunks, a close would look like the end of a complete response. An error means
        // that the caller has closed the connection.
        let _ = connection.into_parts().io.into_inner().get_ref().set_zero_linger();
    }
}

fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    let stream = TcpStream::from_std(stream)?;
    upstream_connections::set_tcp_options(&stream)?;
    Ok(stream)
}

/// Waits until the shutdown begins. Never returns for a connection accepted after that, so that it
/// isn't closed before its caller has sent a request.
async fn shutdown_begun(hub: &Hub) {
    if hub.shutdown().phase() != ShutdownPhase::Running {
        return std::future::pending().await;
    }
    hub.shutdown().wait_for(ShutdownPhase::Closing).await;
}

/// The timeout for reading a request head. `hyper` measures it from the end of the previous
/// response, so it is the idle timeout of the connection, too.
fn head_read_timeout(limits: &Limits) -> Duration {
    limits.idle_timeout.max(limits.head_timeout) + IDLE_TIMEOUT_SLACK
}

async fn respond(hub: Arc<Hub>, req: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let mut resp = if hub.shutdown().phase() < ShutdownPhase::Refusing {
        request::serve(hub.clone(), req).await
    } else {
        refusal::response(Refusal::Stopping)
    };
    // Closes the connection, so that the caller's next one goes to another box.
    if hub.shutdown().phase() != ShutdownPhase::Running || hub.should_close_connections() {
        resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(resp)
}
