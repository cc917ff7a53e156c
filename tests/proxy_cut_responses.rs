//! Responses that break off at any byte, on new and on kept connections: none counts as complete. The
//! servers are sockets of the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use frostdyke::clock::Clock;
use frostdyke::clock::TimeSource;
use frostdyke::proxy::connection_reuse::ReuseRule;
use frostdyke::proxy::http_client::HttpClient;
use frostdyke::proxy::response_end::ResponseEnd;
use frostdyke::proxy::upstream_connections::ConnectionQuota;
use frostdyke::proxy::upstream_connections::Error;
use frostdyke::proxy::upstream_connections::Target;
use frostdyke::proxy::upstream_connections::UpstreamConnections;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const SECOND: Duration = Duration::from_secs(1);

/// A pause within a head, or between its last byte and the end of the connection.
const PAUSE: Duration = Duration::from_millis(1200);

/// Idle time after which a connection is reused.
const REUSED_AFTER: Duration = Duration::from_millis(20);

/// Time from the last byte to the reset of a connection, so that the byte arrives.
const RESET_DELAY: Duration = Duration::from_millis(1);

const REPEATABLE: ReuseRule = ReuseRule { is_once_only: false, trusts_announced: true };

const QUOTA: ConnectionQuota = ConnectionQuota { open_max: 4, kept_max: 4 };

/// Responses that are valid as a whole.
const WHOLE: [&str; 9] = [
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=10\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 503 X\r\nX-Id: a\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nok",
];

/// The head of a response whose body has neither a length nor chunks.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Name: s\r\n\r\n";

/// How a server ends a connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// Time that a test sets.
#[derive(Clone, Default)]
struct SetTime(Arc<Mutex<Duration>>);

impl TimeSource for SetTime {
    fn now(&self) -> Duration {
        *self.0.lock().expect("no panic under lock")
    }
}

/// The length from which a response is complete: with its zero-sized chunk a chunked one is (RFC 9112,
/// section 8).
fn complete_len(text: &str) -> usize {
    let last_chunk = "\r\n0\r\n";
    text.find(last_chunk).map_or(text.len(), |at| at + last_chunk.len())
}

/// Every cut of every response, with the end of its connection.
fn cuts() -> impl Iterator<Item = (&'static str, End)> {
    let framed = WHOLE.into_iter().flat_map(|text| (0..complete_len(text)).map(|at| &text[..at]));
    let unframed = (0..UNFRAMED_HEAD.len()).map(|at| &UNFRAMED_HEAD[..at]);
    framed.chain(unframed).flat_map(|cut| [(cut, End::Close), (cut, End::Reset)])
}

async fn read_request(stream: &mut TcpStream) {
    let n = stream.read(&mut [0; 4096]).await.expect("a request comes");
    assert_ne!(n, 0, "the connection is open");
}

async fn end(stream: TcpStream, end: End) {
    if let End::Reset = end {
        tokio::time::sleep(RESET_DELAY).await;
        stream.set_zero_linger().expect("an option");
    }
}

struct Rig {
    time: SetTime,
    connections: Arc<UpstreamConnections>,
    listener: TcpListener,
    addr: SocketAddr,
}

impl Rig {
    async fn new() -> Rig {
        let time = SetTime::default();
        let connections = UpstreamConnections::new(Clock::new(Box::new(time.clone())));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let addr = listener.local_addr().expect("it is bound");
        Rig { time, connections, listener, addr }
    }

    async fn accept(&self) -> TcpStream {
        self.listener.accept().await.expect("a connection comes").0
    }

    /// Sends a request and reads the response. Returns what its end shows.
    async fn send(&self) -> Result<ResponseEnd, Error> {
        let (addr, quota, reuse_rule) = (self.addr, QUOTA, REPEATABLE);
        let target =
            Target { addr, name_hash: 1, zone_hash: 1, quota, reuse_rule, gives_up_stalled: false };
        let req = Request::post("/x").body(Full::<Bytes>::default()).expect("it is valid");
        let resp = self.connections.send(target, req, || None).await?;
        let (head, mut body) = resp.into_parts();
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            bytes.extend_from_slice(&frame?.into_data().unwrap_or_default());
        }
        let end = ResponseEnd::of_body(body.framing(), &head.headers, &bytes);
        if end == ResponseEnd::Complete {
            body.keep(&head.headers);
        }
        Ok(end)
    }

    /// Sends a request on a new connection that is kept, and returns its server's side.
    async fn open_kept(&self) -> TcpStream {
        let (sent, stream) = tokio::join!(self.send(), async {
            let mut stream = self.accept().await;
            read_request(&mut stream).await;
            stream.write_all(WHOLE[0].as_bytes()).await.expect("the box reads");
            stream
        });
        assert_eq!(sent.expect("there is a response"), ResponseEnd::Complete);
        *self.time.0.lock().expect("no panic under lock") += REUSED_AFTER;
        stream
    }

    /// Sends a request whose response breaks off after `cut`. `kept` is the connection that it is sent
    /// on, if there is one.
    async fn send_cut(
        &self,
        cut: &str,
        how: End,
        kept: Option<TcpStream>,
    ) -> Result<ResponseEnd, Error> {
        let (sent, ()) = tokio::join!(self.send(), async {
            let mut stream = match kept {
                Some(stream) => stream,
                None => self.accept().await,
            };
            read_request(&mut stream).await;
            stream.write_all(cut.as_bytes()).await.expect("the box reads");
            end(stream, how).await;
        });
        sent
    }
}

/// Guards against a response that breaks off, in its head or its body, and counts as complete or as
/// never sent.
#[tokio::test]
async fn a_response_that_breaks_off_at_any_byte_is_not_complete() {
    let rig = Rig::new().await;
    for (cut, how) in cuts() {
        for is_kept in [false, true] {
            let kept = if is_kept { Some(rig.open_kept().await) } else { None };
            let opened = rig.connections.counts().opened_count();
            let sent = rig.send_cut(cut, how, kept).await;
            let e = sent.expect_err(&format!("{cut:?} {how:?}, kept: {is_kept}"));
            assert!(!e.is_unsent(), "{cut:?} {how:?}, kept: {is_kept}: {e}");
            let opened = rig.connections.counts().opened_count() - opened;
            assert_eq!(opened, u64::from(!is_kept), "{cut:?}: it was sent once");
        }
    }
    for text in WHOLE {
        let (sent, _stream) = tokio::join!(rig.send(), async {
            let mut stream = rig.accept().await;
            read_request(&mut stream).await;
            stream.write_all(text.as_bytes()).await.expect("the box reads");
            stream
        });
        assert_eq!(sent.expect("there is a response"), ResponseEnd::Complete, "{text:?}");
        rig.connections.close_idle();
    }
}

/// Guards against a head that counts as complete because its server pauses in it, or before it ends
/// the connection.
#[tokio::test]
async fn a_pause_does_not_complete_a_head() {
    let cut_at = |text: &'static str, at: &str| &text[..text.find(at).expect("it is there")];
    let cuts = [
        "",
        cut_at(WHOLE[0], " OK"),
        cut_at(WHOLE[0], "Content-Length"),
        cut_at(WHOLE[0], "\r\n\r\nok"),
        cut_at(WHOLE[0], "\r\nok"),
        cut_at(WHOLE[2], "\r\n2\r\nok"),
        cut_at(WHOLE[6], "HTTP/1.1 200"),
        cut_at(WHOLE[6], "\r\n\r\nok"),
    ];
    let cases = cuts.into_iter().flat_map(|cut| [(cut, End::Close), (cut, End::Reset)]);
    let cases = cases.map(|(cut, how)| async move {
        let rig = Rig::new().await;
        let (sent, ()) = tokio::join!(rig.send(), async {
            let mut stream = rig.accept().await;
            read_request(&mut stream).await;
            for half in [&cut[..cut.len() / 2], &cut[cut.len() / 2..]] {
                stream.write_all(half.as_bytes()).await.expect("the box reads");
                tokio::time::sleep(PAUSE).await;
            }
            end(stream, how).await;
        });
        assert!(sent.is_err_and(|e| !e.is_unsent()), "{cut:?} {how:?}");
    });
    futures_util::future::join_all(cases).await;
}

/// Guards against a response of the store, an engine or a box to a call that breaks off and counts as
/// complete.
#[tokio::test]
async fn a_reply_that_breaks_off_at_any_byte_is_an_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    for (cut, how) in cuts() {
        let mut client = HttpClient::new(addr);
        let (reply, ()) = tokio::join!(client.get("/x", 10 * SECOND), async {
            let (mut stream, _) = listener.accept().await.expect("a connection comes");
            read_request(&mut stream).await;
            stream.write_all(cut.as_bytes()).await.expect("the box reads");
            end(stream, how).await;
        });
        assert!(reply.is_err(), "{cut:?} {how:?}: {reply:?}");
    }
}
