//! The callers' port: HTTP/1.1 by `hyper`.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use opentelemetry::KeyValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::names::BoxName;
use crate::router::service_request;
use crate::router::refusal::Body;
use crate::router::refusal::Cause;
use crate::router::request_handler;
use crate::router::refusal;
use crate::router::request_handler::Service;
use crate::router::request_handler::Tale;
use crate::web;

/// Where services are.
const SERVICES: &str = "/v1/services/";

/// Smallest buffer that `hyper` reads a head into, in bytes.
const HEAD_BUF_MIN: usize = 8 << 10;

/// Serves callers until `stopped`; then finishes what is under way and returns.
pub async fn serve(
    listener: TcpListener,
    service: Arc<Service>,
    me: BoxName,
    stopped: impl Future<Output = ()>,
) {
    let max = service.limits.max_connections;
    web::accept(listener, max, stopped, |stream| connection(stream, &service, &me)).await;
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
    let limits = &service.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_header_bytes.max(HEAD_BUF_MIN))
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
            request_handler::serve(service, ask, body, tale).await
        }
        Err(cause) => Err(cause),
    };
    result.unwrap_or_else(|cause| {
        service.hub.metrics().refused.add(1, &[KeyValue::new("cause", cause.code())]);
        refusal::response(&cause, &request)
    })
}

/// Answers to the platform's balancer.
fn probe(service: &Service, path: &str) -> Option<Response<Body>> {
    let ready = match path {
        "/healthz" => true,
        "/readyz" => is_ready(service) && !*service.stopping.borrow(),
        _ => return None,
    };
    let mut resp = Response::new(refusal::full(""));
    if !ready {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(resp)
}

fn is_ready(service: &Service) -> bool {
    service.hub.read(|node, _| node.is_ready())
}

async fn read(
    service: &Service,
    req: Request<Incoming>,
) -> Result<(service_request::ServiceRequest, Bytes), Cause> {
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
    let ask = service_request::parse(name, &head.headers, &cfg, &service.limits)?;
    let limits = &service.limits;
    let body = web::read_body(body, limits.max_body_bytes, limits.head_timeout).await?;
    Ok((ask, body))
}
