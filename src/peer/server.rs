//! The peer port, to which other routers connect. Calls without the shared secret are refused.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use jsonrpsee::RpcModule;
use jsonrpsee::core::BoxError;
use jsonrpsee::server::HttpBody;
use jsonrpsee::server::Methods;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::serve_with_graceful_shutdown;
use jsonrpsee::server::stop_channel;
use jsonrpsee::types::ErrorObjectOwned;
use subtle::ConstantTimeEq;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tower::Service;

use crate::config::settings::Secret;
use crate::names::BoxName;
use crate::peer::connection::MESSAGES_METHOD;
use crate::peer::message::Envelope;
use crate::peer::message::Message;
use crate::peer::traffic::CountedStream;
use crate::peer::traffic::Traffic;
use crate::status::Explanation;
use crate::status::Status;

/// The method that explains how a request was placed.
pub const EXPLAIN: &str = "explain";

/// The method that returns the state of a box.
pub const STATUS: &str = "status";

const CONNECTIONS_MAX: u32 = 1024;

/// Largest call; a configuration fits.
const CALL_MAX_BYTES: u32 = 4 << 20;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long a response without messages may be held back until there are some.
const RESPONSE_DELAY_MAX: Duration = Duration::from_secs(1);

/// The response to a call.
pub enum CallResponse {
    /// The messages for the caller, if there are any.
    Ready(Vec<Message>),
    /// Messages may follow soon.
    Pending(oneshot::Receiver<Vec<Message>>),
}

/// Handles the calls of peers.
pub trait CallHandler: Send + Sync + 'static {
    /// Handles messages and returns those for the caller.
    fn call(&self, from: &BoxName, messages: Vec<Message>) -> CallResponse;

    /// Explains how a request was placed, as far as this box knows.
    fn explain(&self, request: &str) -> Explanation;

    fn status(&self) -> Status;
}

pub async fn serve(
    listener: TcpListener,
    secret: Secret,
    handler: Arc<dyn CallHandler>,
    traffic: Arc<Traffic>,
) -> io::Result<()> {
    let methods = methods(handler, &traffic);
    let (stop, _server) = stop_channel();
    let config = ServerConfig::builder()
        .max_connections(CONNECTIONS_MAX)
        .max_request_body_size(CALL_MAX_BYTES)
        .max_response_body_size(CALL_MAX_BYTES)
        .build();
    let builder = jsonrpsee::server::Server::builder().set_config(config).to_service_builder();
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            // For example, no file descriptors are left; some may be closed during the pause.
            Err(_) => {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let (methods, stop, builder, secret) =
            (methods.clone(), stop.clone(), builder.clone(), secret.clone());
        let stopped = stop.clone().shutdown();
        let service = tower::service_fn(move |req: Request<hyper::body::Incoming>| {
            let mut service = builder.clone().build(methods.clone(), stop.clone());
            let authorized = has_secret(&req, &secret);
            async move {
                if !authorized {
                    return Ok(unauthorized());
                }
                service.call(req).await
            }
        });
        tokio::spawn(serve_connection(CountedStream::new(stream, &traffic), service, stopped));
    }
}

async fn serve_connection<S>(
    stream: CountedStream<tokio::net::TcpStream>,
    service: S,
    stopped: impl Future<Output = ()>,
) where
    S: Service<Request<hyper::body::Incoming>, Response = Response<HttpBody>, Error = BoxError>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    // A peer may disconnect in the middle of a call; that needs no handling.
    let _ = serve_with_graceful_shutdown(stream, service, stopped).await;
}

fn methods(handler: Arc<dyn CallHandler>, traffic: &Arc<Traffic>) -> Methods {
    let mut module = RpcModule::new((handler, traffic.clone()));
    module
        .register_async_method(MESSAGES_METHOD, |params, cx, _| async move {
            let (handler, traffic) = &*cx;
            let Envelope(from, messages) = params.one()?;
            let count = messages.len() as u64;
            traffic.messages_in.fetch_add(count, Ordering::Relaxed);
            let response = match handler.call(&from, messages) {
                CallResponse::Ready(response) => response,
                CallResponse::Pending(rx) => timeout(RESPONSE_DELAY_MAX, rx)
                    .await
                    .map_or(Vec::new(), Result::unwrap_or_default),
            };
            traffic.messages_out.fetch_add(response.len() as u64, Ordering::Relaxed);
            Ok::<_, ErrorObjectOwned>(response)
        })
        .expect("each method is registered once");
    module
        .register_method(EXPLAIN, |params, cx, _| {
            let request: String = params.one()?;
            Ok::<_, ErrorObjectOwned>(cx.0.explain(&request))
        })
        .expect("each method is registered once");
    module
        .register_method(STATUS, |_, cx, _| cx.0.status())
        .expect("each method is registered once");
    module.into()
}

fn has_secret<B>(req: &Request<B>, secret: &Secret) -> bool {
    let presented = req.headers().get(AUTHORIZATION).map_or(&[][..], |v| v.as_bytes());
    let expected = format!("Bearer {}", secret.expose());
    presented.ct_eq(expected.as_bytes()).into()
}

fn unauthorized() -> Response<HttpBody> {
    let mut resp = Response::new(HttpBody::empty());
    *resp.status_mut() = StatusCode::UNAUTHORIZED;
    resp
}
