//! The callers' port, HTTP/1.1 by `hyper`.

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
use crate::router::refusal;
use crate::router::refusal::Body;
use crate::router::refusal::RequestError;
use crate::router::request_handler;
use crate::router::request_handler::RequestTrace;
use crate::router::request_handler::RouterContext;
use crate::router::service_request;
use crate::web;

/// Path prefix of all services.
const SERVICES_PATH: &str = "/v1/services/";

/// Smallest buffer for a request head that `hyper` allows.
const HEAD_BUF_MIN_BYTES: usize = 8 << 10;

/// Serves callers until `stopped`, then completes the requests in progress and returns.
pub async fn serve(
    listener: TcpListener,
    context: Arc<RouterContext>,
    own_name: BoxName,
    stopped: impl Future<Output = ()>,
) {
    let max = context.limits.max_connections;
    web::accept(listener, max, stopped, |stream| connection(stream, &context, &own_name)).await;
}

fn connection(
    stream: TcpStream,
    context: &Arc<RouterContext>,
    own_name: &BoxName,
) -> http1::Connection<
    TokioIo<TcpStream>,
    impl hyper::service::Service<
        Request<Incoming>,
        Response = Response<Body>,
        Error = Infallible,
        Future: Send,
    > + use<>,
> {
    let limits = &context.limits;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_header_bytes.max(HEAD_BUF_MIN_BYTES))
        .half_close(false);
    let (context, own_name) = (context.clone(), own_name.clone());
    let handle = service_fn(move |req| {
        let (context, own_name) = (context.clone(), own_name.clone());
        async move { Ok::<_, Infallible>(handle(&context, &own_name, req).await) }
    });
    builder.serve_connection(TokioIo::new(stream), handle)
}

async fn handle(
    context: &Arc<RouterContext>,
    own_name: &BoxName,
    req: Request<Incoming>,
) -> Response<Body> {
    if req.method() == Method::GET
        && let Some(resp) = probe_response(context, req.uri().path())
    {
        return resp;
    }
    let ticket = context.hub.new_ticket_id();
    let request_id = format!("{own_name}-{:016x}", ticket.0);
    let result = match read_request(context, req).await {
        Ok((request, body)) => {
            let trace = RequestTrace::new(&context.hub, request_id.clone(), ticket, &request);
            request_handler::serve(context, request, body, trace).await
        }
        Err(error) => Err(error),
    };
    result.unwrap_or_else(|error| {
        context.hub.metrics().refused.add(1, &[KeyValue::new("cause", error.code())]);
        refusal::response(&error, &request_id)
    })
}

/// The response to a health probe of the platform's balancer.
fn probe_response(context: &RouterContext, path: &str) -> Option<Response<Body>> {
    let ready = match path {
        "/healthz" => true,
        "/readyz" => is_ready(context) && !*context.stopping.borrow(),
        _ => return None,
    };
    let mut resp = Response::new(refusal::full(""));
    if !ready {
        *resp.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    Some(resp)
}

fn is_ready(context: &RouterContext) -> bool {
    context.hub.read(|node, _| node.is_ready())
}

async fn read_request(
    context: &RouterContext,
    req: Request<Incoming>,
) -> Result<(service_request::ServiceRequest, Bytes), RequestError> {
    let (head, body) = req.into_parts();
    let name = head.uri.path().strip_prefix(SERVICES_PATH).ok_or(RequestError::NoPath)?;
    if head.method != Method::POST {
        return Err(RequestError::MethodNotAllowed);
    }
    if *context.stopping.borrow() {
        return Err(RequestError::Stopping);
    }
    if !is_ready(context) {
        return Err(RequestError::NotReady);
    }
    let cfg = context.hub.configuration();
    let request = service_request::parse(name, &head.headers, &cfg, &context.limits)?;
    let limits = &context.limits;
    let body = web::read_body(body, limits.max_body_bytes, limits.head_timeout).await?;
    Ok((request, body))
}
