//! The callers' port.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
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
use tokio::sync::watch;

use crate::proxy::ShutdownPhase;
use crate::proxy::connection_limiter::AdmittedConnection;
use crate::proxy::connection_limiter::ConnectionLimiter;
use crate::proxy::connection_rejecter::ConnectionRejecter;
use crate::proxy::hub::Hub;
use crate::proxy::refusal;
use crate::proxy::refusal::Refusal;
use crate::proxy::request;
use crate::proxy::response_body::Body;
use crate::proxy::routing_table::Limits;
use crate::proxy::upstream_connections;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Connections taken before others get their turn.
const TAKEN_AT_ONCE: u64 = 64;

/// The smallest buffer for heads that `hyper` takes, in bytes.
const HEAD_BUF_MIN: usize = 8 << 10;

/// Added to the time for which connections may rest, so that a caller who comes back just in time
/// still finds its own.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// A port on which connections can be taken without anything else being done for them.
#[expect(deprecated, reason = "a listener owns its descriptor; what replaces this call is unsafe")]
pub fn listen(listener: TcpListener) -> io::Result<AsyncFd<std::net::TcpListener>> {
    AsyncFd::with_interest(listener.into_std()?, Interest::READABLE)
}

/// Serves callers until the process ends.
pub async fn serve(
    listener: AsyncFd<std::net::TcpListener>,
    mut limiter: ConnectionLimiter,
    hub: Arc<Hub>,
    stopping: watch::Receiver<ShutdownPhase>,
) {
    let connections = Arc::new(Semaphore::new(hub.connections_max()));
    let away = ConnectionRejecter::start(hub.clone());
    let mut taken = 0;
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let stream = match accept(&listener).await {
            Ok(stream) => stream,
            Err(e) => {
                // Out of descriptors, say: others may be closed meanwhile.
                slog::warn!(hub.log(), "can't accept"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        taken += 1;
        if taken % TAKEN_AT_ONCE == 0 {
            tokio::task::yield_now().await;
        }
        let Some(entered) = limiter.try_admit(hub.unsent(), hub.now()) else {
            hub.count_rejected();
            away.turn_away(stream);
            continue;
        };
        let (hub, stopping) = (hub.clone(), stopping.clone());
        tokio::spawn(async move {
            let connected = hub.track_connection();
            serve_connection(stream, entered, hub, stopping).await;
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
    entered: AdmittedConnection,
    hub: Arc<Hub>,
    stopping: watch::Receiver<ShutdownPhase>,
) {
    let stream = match register(stream) {
        Ok(stream) => stream,
        // The caller is gone already.
        Err(_) => return,
    };
    let limits = hub.table().map(|t| t.limits.clone()).unwrap_or_default();
    let service = service_fn(|req| {
        entered.note_request();
        respond(hub.clone(), stopping.clone(), req)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(rest(&limits))
        .max_buf_size(limits.head_bytes.max(HEAD_BUF_MIN))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A caller that leaves, or sends what isn't HTTP, is its own business.
    let _ = tokio::select! {
        ended = &mut connection => ended,
        () = told_to_stop(stopping.clone()) => {
            // One that rests is closed now: what came on it later might not end in time.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
}

fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    let stream = TcpStream::from_std(stream)?;
    upstream_connections::set_tcp_options(&stream)?;
    Ok(stream)
}

/// Waits until the process is told to stop. A connection that is made after that is not closed
/// unused, since its caller could not know.
async fn told_to_stop(mut stopping: watch::Receiver<ShutdownPhase>) {
    if *stopping.borrow() != ShutdownPhase::Running {
        return std::future::pending().await;
    }
    // An error means that the process ends.
    let _ = stopping.wait_for(|stop| *stop != ShutdownPhase::Running).await;
}

/// `hyper` counts the time for a head from the end of the last answer, so it is the time for which
/// the connection may rest, too.
fn rest(limits: &Limits) -> Duration {
    limits.idle_timeout.max(limits.head_timeout) + IDLE_SLACK
}

async fn respond(
    hub: Arc<Hub>,
    stopping: watch::Receiver<ShutdownPhase>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let stop = *stopping.borrow();
    let mut resp = match stop {
        ShutdownPhase::Refusing => refusal::response(Refusal::Stopping),
        ShutdownPhase::Running | ShutdownPhase::Closing => request::serve(hub.clone(), req).await,
    };
    // The caller's next connection leads to another box.
    if *stopping.borrow() != ShutdownPhase::Running || hub.should_close_connections() {
        resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(resp)
}
