//! The port where other routers connect. Who doesn't show the shared secret gets nowhere.

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
use crate::peer::connection::METHOD;
use crate::peer::message::Envelope;
use crate::peer::message::Message;
use crate::peer::traffic::Counted;
use crate::peer::traffic::Traffic;
use crate::status::Explanation;
use crate::status::Status;

/// The method that answers why a request was placed as it was.
pub const EXPLAIN: &str = "explain";

/// The method that gives the state of a box.
pub const STATUS: &str = "status";

/// Connections that peers may hold.
const CONNECTIONS_MAX: u32 = 1024;

/// Largest call, in bytes: a configuration fits.
const CALL_MAX: u32 = 4 << 20;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long the answer to a call may be held back until there is something to say.
const HOLD: Duration = Duration::from_secs(1);

/// The answer to a call.
pub enum CallResponse {
    /// There is something to say, or nothing is expected.
    Ready(Vec<Message>),
    /// There may be something to say soon.
    Pending(oneshot::Receiver<Vec<Message>>),
}

/// Takes in calls of peers.
pub trait CallHandler: Send + Sync + 'static {
    /// Handles messages; gives those that are for the caller.
    fn call(&self, from: &BoxName, messages: Vec<Message>) -> CallResponse;

    /// Answers why a request was placed as it was, as far as this box knows.
    fn explain(&self, request: &str) -> Explanation;

    /// The state of this box.
    fn status(&self) -> Status;
}

/// Serves peers until the process ends.
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
        .max_request_body_size(CALL_MAX)
        .max_response_body_size(CALL_MAX)
        .build();
    let builder = jsonrpsee::server::Server::builder().set_config(config).to_service_builder();
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            // Out of descriptors, say: others may be closed meanwhile.
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
            let known = shows_secret(&req, &secret);
            async move {
                if !known {
                    return Ok(refused());
                }
                service.call(req).await
            }
        });
        tokio::spawn(serve_connection(Counted::new(stream, &traffic), service, stopped));
    }
}

async fn serve_connection<S>(
    stream: Counted<tokio::net::TcpStream>,
    service: S,
    stopped: impl Future<Output = ()>,
) where
    S: Service<Request<hyper::body::Incoming>, Response = Response<HttpBody>, Error = BoxError>
        + Clone
        + Send
        + 'static,
    S::Future: Send,
{
    // A peer that leaves in the middle of a call is no news.
    let _ = serve_with_graceful_shutdown(stream, service, stopped).await;
}

fn methods(handler: Arc<dyn CallHandler>, traffic: &Arc<Traffic>) -> Methods {
    let mut module = RpcModule::new((handler, traffic.clone()));
    module
        .register_async_method(METHOD, |params, cx, _| async move {
            let (handler, traffic) = &*cx;
            let Envelope(from, messages) = params.one()?;
            let count = messages.len() as u64;
            traffic.messages_in.fetch_add(count, Ordering::Relaxed);
            let answer = match handler.call(&from, messages) {
                CallResponse::Ready(answer) => answer,
                CallResponse::Pending(rx) => {
                    timeout(HOLD, rx).await.map_or(Vec::new(), Result::unwrap_or_default)
                }
            };
            traffic.messages_out.fetch_add(answer.len() as u64, Ordering::Relaxed);
            Ok::<_, ErrorObjectOwned>(answer)
        })
        .expect("the name is new");
    module
        .register_method(EXPLAIN, |params, cx, _| {
            let request: String = params.one()?;
            Ok::<_, ErrorObjectOwned>(cx.0.explain(&request))
        })
        .expect("the name is new");
    module.register_method(STATUS, |_, cx, _| cx.0.status()).expect("the name is new");
    module.into()
}

fn shows_secret<B>(req: &Request<B>, secret: &Secret) -> bool {
    let shown = req.headers().get(AUTHORIZATION).map_or(&[][..], |v| v.as_bytes());
    let expected = format!("Bearer {}", secret.expose());
    shown.ct_eq(expected.as_bytes()).into()
}

fn refused() -> Response<HttpBody> {
    let mut resp = Response::new(HttpBody::empty());
    *resp.status_mut() = StatusCode::UNAUTHORIZED;
    resp
}
