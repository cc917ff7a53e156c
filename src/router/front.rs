//! The callers' port: HTTP/1.1 by `hyper`.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use opentelemetry::KeyValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::config::settings::Limits;
use crate::names::BoxName;
use crate::router::answer;
use crate::router::answer::Body;
use crate::router::answer::Cause;
use crate::router::ask;
use crate::router::flow;
use crate::router::flow::Service;
use crate::router::flow::Tale;

/// Where services are.
const SERVICES: &str = "/v1/services/";

/// Smallest buffer that `hyper` reads a head into, in bytes.
const HEAD_BUF_MIN: usize = 8 << 10;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves callers until `stopped`; then finishes what is under way and returns.
pub async fn serve(
    listener: TcpListener,
    service: Arc<Service>,
    me: BoxName,
    stopped: impl Future<Output = ()>,
) {
    let connections = Arc::new(Semaphore::new(service.limits.max_connections));
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
        let Ok((stream, _)) = stream else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let connection = connection(stream, &service, &me);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that leaves, or sends what isn't HTTP, is its own business.
            let _ = connection.await;
            drop(permit);
        });
    }
    graceful.shutdown().await;
}

fn connection(
    stream: TcpStream,
    service: &Arc<Service>,
    me: &BoxName,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::Service<
        Request<Incoming>,
        Response = Response<Body>,
        Error = Infallible,
        Future: Send,
    > + use<>,
> {
    let _ = stream.set_nodelay(true);
    let limits = &service.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_header.max(HEAD_BUF_MIN))
        .half_close(false);
    let (service, me) = (service.clone(), me.clone());
    let handle = service_fn(move |req| {
        let (service, me) = (service.clone(), me.clone());
        async move { Ok::<_, Infallible>(handle(&service, &me, req).await) }
    });
    builder.serve_connection(TokioIo::new(stream), handle)
}

async fn handle(service: &Arc<Service>, me: &BoxName, req: Request<Incoming>) -> Response<Body> {
    if req.method() == Method::GET
        && let Some(resp) = probe(service, req.uri().path())
    {
        return resp;
    }
    let ticket = service.hub.new_ticket_id();
    let request = format!("{me}-{:016x}", ticket.0);
    let result = match read(service, req).await {
        Ok((ask, body)) => {
            let tale = Tale::new(&service.hub, request.clone(), ticket, &ask);
            flow::serve(service, ask, body, tale).await
        }
        Err(cause) => Err(cause),
    };
    result.unwrap_or_else(|cause| {
        service.hub.metrics().refused.add(1, &[KeyValue::new("cause", cause.code())]);
        answer::refusal(&cause, &request)
    })
}

/// Answers to the platform's balancer.
fn probe(service: &Service, path: &str) -> Option<Response<Body>> {
    let ready = match path {
        "/healthz" => true,
        "/readyz" => is_ready(service) && !*service.stopping.borrow(),
        _ => return None,
    };
    let mut resp = Response::new(answer::whole(""));
    if !ready {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(resp)
}

fn is_ready(service: &Service) -> bool {
    service.hub.read(|node, _| node.is_ready())
}

async fn read(service: &Service, req: Request<Incoming>) -> Result<(ask::Ask, Bytes), Cause> {
    let (head, body) = req.into_parts();
    let name = head.uri.path().strip_prefix(SERVICES).ok_or(Cause::NoPath)?;
    if head.method != Method::POST {
        return Err(Cause::Method);
    }
    if *service.stopping.borrow() {
        return Err(Cause::Stopping);
    }
    if !is_ready(service) {
        return Err(Cause::NotReady);
    }
    let cfg = service.hub.configuration();
    let ask = ask::read(name, &head.headers, &cfg, &service.limits)?;
    let body = read_body(body, &service.limits).await?;
    Ok((ask, body))
}

async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, Cause> {
    let length = hyper::body::Body::size_hint(&body).lower();
    if (limits.max_body as u64) < length {
        return Err(Cause::BodyTooLong);
    }
    let collecting = Limited::new(body, limits.max_body).collect();
    let collected = tokio::time::timeout(limits.head_timeout, collecting).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Cause::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(Cause::BodyCut),
    }
}
