//! The callers' port.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::proxy::Stop;
use crate::proxy::answer;
use crate::proxy::answer::Refusal;
use crate::proxy::hub::Hub;
use crate::proxy::link;
use crate::proxy::placed::InFlight;
use crate::proxy::request;
use crate::proxy::stream::Body;
use crate::proxy::table::Limits;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The smallest buffer for heads that `hyper` takes, in bytes.
const HEAD_BUF_MIN: usize = 8 << 10;

/// Added to the time for which connections may rest, so that a caller who comes back just in time
/// still finds its own.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// Serves callers until the process ends.
pub async fn serve(listener: TcpListener, hub: Arc<Hub>, stopping: watch::Receiver<Stop>) {
    let connections = Arc::new(Semaphore::new(hub.connections_max()));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                // Out of descriptors, say: others may be closed meanwhile.
                slog::warn!(hub.log(), "can't accept"; "error" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if hub.turns_away() {
            continue;
        }
        let (hub, stopping) = (hub.clone(), stopping.clone());
        tokio::spawn(async move {
            let connected = hub.connected();
            serve_connection(stream, hub, stopping).await;
            drop((connected, permit));
        });
    }
}

async fn serve_connection(stream: TcpStream, hub: Arc<Hub>, stopping: watch::Receiver<Stop>) {
    if link::guard(&stream).is_err() {
        // The caller is gone already.
        return;
    }
    let limits = hub.table().map(|t| t.limits.clone()).unwrap_or_default();
    // The first request on the connection is counted from here on.
    let first = Mutex::new(Some(hub.start()));
    let service = service_fn(|req| {
        let start = first.lock().expect("no panic under lock").take();
        respond(hub.clone(), stopping.clone(), req, start)
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

/// Waits until the process is told to stop. A connection that is made after that is not closed
/// unused, since its caller could not know.
async fn told_to_stop(mut stopping: watch::Receiver<Stop>) {
    if *stopping.borrow() != Stop::No {
        return std::future::pending().await;
    }
    // An error means that the process ends.
    let _ = stopping.wait_for(|stop| *stop != Stop::No).await;
}

/// `hyper` counts the time for a head from the end of the last answer, so it is the time for which
/// the connection may rest, too.
fn rest(limits: &Limits) -> Duration {
    limits.idle_timeout.max(limits.head_timeout) + IDLE_SLACK
}

async fn respond(
    hub: Arc<Hub>,
    stopping: watch::Receiver<Stop>,
    req: Request<Incoming>,
    start: Option<InFlight>,
) -> Result<Response<Body>, Infallible> {
    let stop = *stopping.borrow();
    let mut resp = match stop {
        Stop::Late => answer::refusal(Refusal::Stopping),
        Stop::No | Stop::Begun => {
            let start = start.unwrap_or_else(|| hub.start());
            request::serve(hub.clone(), req, start).await
        }
    };
    // The caller's next connection leads to another box.
    if *stopping.borrow() != Stop::No || hub.sends_away() {
        resp.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(resp)
}
