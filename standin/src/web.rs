//! The HTTP server of all stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::thread;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::mpsc;

/// A body whose error closes the connection, which the caller sees.
pub type Body = BoxBody<Bytes, io::Error>;

/// Serves `handler` on a separate thread until the process ends. Returns the address, with the port
/// that was assigned if `addr` has port 0.
pub fn serve<H, F>(addr: SocketAddr, handler: H) -> io::Result<SocketAddr>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    let (tx, rx) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let runtime = match Builder::new_multi_thread().worker_threads(2).enable_all().build() {
            Ok(runtime) => runtime,
            Err(e) => return drop(tx.send(Err(e))),
        };
        runtime.block_on(async {
            let listener = match TcpListener::bind(addr).await {
                Ok(listener) => listener,
                Err(e) => return drop(tx.send(Err(e))),
            };
            // The receiver waits right below.
            let _ = tx.send(listener.local_addr());
            accept(listener, handler).await;
        });
    });
    rx.recv().unwrap_or_else(|_| Err(io::Error::other("server thread ended")))
}

/// A complete body.
pub fn full(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).map_err(|e: Infallible| match e {}).boxed()
}

/// A streamed body of unknown length.
pub fn stream(rx: mpsc::Receiver<io::Result<Frame<Bytes>>>) -> Body {
    BodyExt::boxed(StreamBody::new(Frames(rx)))
}

/// A JSON response.
pub fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(value).expect("stand-in values serialize");
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full(text))
        .expect("a valid response")
}

/// A response without a body.
pub fn status(status: StatusCode) -> Response<Body> {
    Response::builder().status(status).body(full("")).expect("a valid response")
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = io::Result<Response<Body>>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(handler);
            // An error means that the caller has disconnected.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Adapts the receiver of a channel to a stream of frames.
struct Frames(mpsc::Receiver<io::Result<Frame<Bytes>>>);

impl futures_core::Stream for Frames {
    type Item = io::Result<Frame<Bytes>>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.poll_recv(cx)
    }
}
