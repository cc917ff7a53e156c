//! Answers without a length, where the end of the connection is the end of the answer, and clients
//! that find out whether one that ended early looks complete.

use std::collections::BTreeMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::common;
use crate::common::Deployment;
use crate::common::Message;
use crate::common::Proxy;
use crate::common::Record;
use crate::common::Route;

/// Lines of a plain answer, or events of a stream, and how many of them an engine sends whose
/// process ends during the answer.
const PIECES: usize = 12;
const PIECES_SENT: usize = 5;

/// Time between pieces.
const INTERVAL: Duration = Duration::from_millis(5);

/// The client's deadline and the routes' timeout.
const DEADLINE_MS: u32 = 6000;

/// The kinds of requests: the route and its type.
const KINDS: [(&str, &str); 3] =
    [("check", "unsafe"), ("chat", "streaming"), ("review", "resumable")];

/// Requests in turn of each kind.
const REQUESTS: usize = 6;

/// The attempts that engines didn't answer whole, and how many pieces of the answer they had sent.
pub type CutAttempts = Arc<Mutex<BTreeMap<String, usize>>>;

/// A route of each kind.
pub fn routes() -> [Route; KINDS.len()] {
    KINDS.map(|(name, kind)| Route { name, kind, timeout_ms: DEADLINE_MS })
}

/// Reads up to the next request that the engine of this name is to run, and answers health checks
/// and misdirected requests before it. `None` at the end of the connection.
pub fn next_request(
    engine: &str,
    reader: &mut impl BufRead,
    stream: &mut TcpStream,
) -> io::Result<Option<Message>> {
    while let Some(req) = common::read_message(reader) {
        let (id, expected) = (req.header("attempt-id"), req.header("expect-instance"));
        let is_expected = expected.is_empty() || expected == engine;
        if !id.is_empty() && is_expected && req.is_complete {
            return Ok(Some(req));
        }
        let (status, header) =
            if id.is_empty() { ("200 OK", "") } else { ("421 X", "Not-Executed: 1\r\n") };
        let text = format!(
            "HTTP/1.1 {status}\r\n{header}Instance-Id: {engine}\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(text.as_bytes())?;
    }
    Ok(None)
}

/// Writes the answer to a request; a part of it if it `ends_early`. Returns how many pieces were
/// written.
pub fn answer(
    engine: &str,
    req: &Message,
    stream: &mut TcpStream,
    ends_early: bool,
) -> io::Result<usize> {
    let id = req.header("attempt-id");
    let is_stream = !req.target().starts_with("/check/");
    let content_type = if is_stream { "text/event-stream" } else { "text/plain" };
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Signature: {engine}.{id}\r\n\
         Content-Type: {content_type}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let after: usize = req.header("last-event-id").parse().unwrap_or(0);
    let last = if ends_early { PIECES_SENT } else { PIECES };
    for n in after + 1..=last {
        let piece = if is_stream {
            format!("id: {n}\ndata: piece {n}\n\n")
        } else {
            format!("line {n} of {PIECES}\n")
        };
        stream.write_all(piece.as_bytes())?;
        thread::sleep(INTERVAL);
    }
    Ok(last)
}

/// What a client has received.
struct Received {
    status: u16,
    pieces: usize,
    is_complete: bool,
}

/// Sends a request and reads the answer.
fn send(to: SocketAddr, route: &str, id: &str) -> io::Result<Received> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS.into())))?;
    stream.write_all(&common::request("POST", route, id, DEADLINE_MS, b"transfer 1"))?;
    let Some(answer) = common::read_message(&mut BufReader::new(stream)) else {
        return Ok(Received { status: 0, pieces: 0, is_complete: false });
    };
    let lines = answer.body.lines().map_while(Result::ok);
    let is_piece = |line: &String| line.starts_with("id: ") || line.starts_with("line ");
    let (status, pieces) = (answer.status(), lines.filter(is_piece).count());
    Ok(Received { status, pieces, is_complete: answer.is_complete })
}

/// The box that gets the `n`th request.
fn box_of(n: usize, deployment: &Deployment) -> &Proxy {
    &deployment.boxes[n / KINDS.len() % deployment.boxes.len()]
}

/// The outcomes of some requests.
pub struct Outcomes {
    /// Whether all answers were whole.
    pub are_whole: bool,
    /// Successful answers that ended early and look complete.
    pub early: usize,
}

/// Sends requests in turn of each kind; their ids begin with `name`.
pub fn send_all(
    deployment: &Deployment,
    name: &str,
    cut: &CutAttempts,
    record: &Record,
) -> io::Result<Outcomes> {
    let (mut whole, mut early) = (0, 0);
    for n in 0..REQUESTS {
        let (route, kind) = KINDS[n % KINDS.len()];
        let id = format!("{name}{n}");
        let to = box_of(n, deployment).callers;
        let Received { status, pieces, is_complete } = send(to, route, &id)?;
        let cut_after = cut.lock().unwrap().get(&id).copied();
        record.line(format!(
            "client gets {status} for {id} ({kind}), {pieces} of {PIECES} pieces, complete: \
             {is_complete}; its engine ended after: {cut_after:?}"
        ));
        let is_success = status == 200 && is_complete;
        whole += usize::from(is_success && pieces == PIECES);
        early += usize::from(is_success && pieces < PIECES);
    }
    record.line(format!("{whole} answers were whole, {early} ended early and look complete"));
    Ok(Outcomes { are_whole: whole == REQUESTS, early })
}
