//! Responses of upstreams that HTTP doesn't allow, or that break off in their head, at a router: they
//! are no response, and none of their bytes reaches a caller as a whole one.

mod util;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use frostdyke::config::Upstream;
use frostdyke::controller::engine_api::EngineApi;
use frostdyke::controller::engine_api::HttpEngineApi;
use frostdyke::platform::BoxList;
use frostdyke::platform::client::Client;
use serde_json::Value;
use serde_json::json;
use socket2::SockRef;
use util::catalog;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::any_port;
use util::fleet::wait_until;

/// How long a caller waits.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Names under which the upstream is listed: a failing one soon becomes unavailable.
const NAMES: usize = 600;

/// Time from the last byte of a response to the reset of its connection.
const RESET_DELAY: Duration = Duration::from_millis(2);

/// Responses with statuses that no final response has.
const ODD_STATUSES: [&str; 8] = [
    "HTTP/1.1 000 odd\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 099 odd\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 101 odd\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 101 odd\r\nconnection: upgrade\r\nupgrade: odd\r\n\r\nok",
    "HTTP/1.1 600 odd\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 999 odd\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.1 999 odd\r\nretry-after: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 1000 odd\r\ncontent-length: 2\r\n\r\nok",
];

/// Heads and bodies of responses that are cut. Each response is valid as a whole.
const WHOLE: [(&str, &str); 7] = [
    ("HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 2\r\n\r\n", "ok"),
    ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n", "ok"),
    ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\n\r\n"),
    ("HTTP/1.1 200 OK\ncontent-length: 2\n\n", "ok"),
    ("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\n", "ok"),
    ("HTTP/1.1 103 Early\r\nx-a: b\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n", "ok"),
    ("HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 2\r\n\r\n", "ok"),
];

/// How an upstream ends its connection.
#[derive(Clone, Copy, Debug)]
enum End {
    Close,
    Reset,
}

/// What an upstream writes next, and how it ends the connection.
type Script = Arc<Mutex<(Vec<u8>, End)>>;

/// An upstream that reads a request, writes what the script says and closes the connection. It closes
/// the connection of a query.
fn serve(script: Script) -> SocketAddr {
    serve_with_queries(script, String::new(), Arc::default())
}

/// Like [`serve`], with this response to all queries, which are counted.
fn serve_with_queries(
    script: Script,
    query_response: String,
    queries: Arc<AtomicUsize>,
) -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut buf = [0; 4096];
            let n = stream.read(&mut buf).unwrap_or(0);
            if buf[..n].starts_with(b"GET") {
                // A failure means that the caller has disconnected.
                let _ = stream.write_all(query_response.as_bytes());
                queries.fetch_add(1, Ordering::Relaxed);
            } else if buf[..n].starts_with(b"POST") {
                let (text, end) = script.lock().expect("no panic under lock").clone();
                // A failure means that the router has disconnected.
                let _ = stream.write_all(&text);
                if matches!(end, End::Reset) {
                    thread::sleep(RESET_DELAY);
                    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
                }
            }
        }
    });
    addr
}

/// A router before an upstream with a script.
struct Scene {
    fleet: Fleet,
    script: Script,
    /// Queries that the upstream has answered.
    queries: Arc<AtomicUsize>,
}

/// What a caller gets: the status, the outcome, the body and whether the response is complete.
#[derive(Debug)]
struct Reply {
    status: String,
    outcome: String,
    body: String,
    is_complete: bool,
}

impl Scene {
    fn new() -> Scene {
        Scene::start(NAMES, String::new())
    }

    /// A scene whose upstream is listed under `names` names and has this response to all queries.
    fn start(names: usize, query_response: String) -> Scene {
        let script: Script = Arc::new(Mutex::new((Vec::new(), End::Close)));
        let mut fleet = Fleet::start(&Setup::default());
        let mut upstream = fleet.configuration["upstreams"][1].clone();
        let queries = Arc::<AtomicUsize>::default();
        let addr = serve_with_queries(script.clone(), query_response, queries.clone());
        upstream["address"] = addr.to_string().into();
        fleet.configuration["upstreams"] = (0..names)
            .map(|n| {
                upstream["name"] = format!("odd-{n}").into();
                upstream.clone()
            })
            .collect();
        fleet.configure();
        fleet.wait_for_revision(2);
        Scene { fleet, script, queries }
    }

    /// Sends a request whose upstream writes `text`.
    fn send(&self, text: &str, end: End) -> Reply {
        *self.script.lock().expect("no panic under lock") = (text.as_bytes().to_vec(), end);
        let mut caller = TcpStream::connect(self.fleet.routers[0].callers).expect("it listens");
        caller.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
        let head = "POST /v1/services/transfer HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
                    frostdyke-workspace: alpha\r\nfrostdyke-deadline-ms: 1000\r\n\
                    content-length: 2\r\n\r\n{}";
        caller.write_all(head.as_bytes()).expect("the request is sent");
        let mut buf = Vec::new();
        // A failure means that the response is incomplete.
        let _ = caller.read_to_end(&mut buf);
        let text = String::from_utf8_lossy(&buf).to_ascii_lowercase();
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
        let value = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(n, _)| *n == name).map_or("", |(_, value)| value).to_owned()
        };
        let is_complete = match value("transfer-encoding").as_str() {
            "chunked" => body.ends_with("0\r\n\r\n"),
            _ => value("content-length").parse() == Ok(body.len()),
        };
        Reply {
            status: head.split(' ').nth(1).unwrap_or_default().to_owned(),
            outcome: value("frostdyke-outcome"),
            body: body.to_owned(),
            is_complete,
        }
    }
}

/// Guards against a status that no final response has and that a caller gets.
#[test]
fn an_odd_status_is_no_response() {
    let scene = Scene::new();
    let faults: Vec<String> = ODD_STATUSES
        .into_iter()
        .map(|text| (text, scene.send(text, End::Close)))
        .filter(|(_, r)| (&*r.status, &*r.outcome, r.is_complete) != ("502", "unknown", true))
        .map(|(text, reply)| format!("{text:?}: {reply:?}"))
        .collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against a status that no final response has and that a caller gets, though another upstream
/// serves the request.
#[test]
fn a_request_that_got_an_odd_status_is_retried() {
    for text in ODD_STATUSES {
        let script: Script = Arc::new(Mutex::new((text.as_bytes().to_vec(), End::Close)));
        let mut fleet = Fleet::start(&Setup::default());
        let good = fleet.configuration["upstreams"][0].clone();
        let mut odd = good.clone();
        odd["name"] = "odd".into();
        odd["address"] = serve(script).to_string().into();
        fleet.configuration["upstreams"] = vec![odd, good].into();
        fleet.configure();
        fleet.wait_for_revision(2);
        for _ in 0..10 {
            let response = fleet.routers[0].send("assist", "{\"max_tokens\":2}", &[]);
            assert_eq!((response.status, response.is_complete), (200, true), "{text:?}");
        }
    }
}

/// Statuses of responses to queries that aren't the 200 with the state.
const OTHER_STATUSES: [u16; 5] = [101, 500, 503, 600, 999];

fn query_response(status: u16, body: &Value) -> String {
    let body = body.to_string();
    format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Guards against an upstream that gets no requests because of a report whose status isn't 200.
#[test]
fn a_load_report_with_another_status_is_ignored() {
    let report = json!({"running": 0, "leaving": true});
    let statuses = [200].into_iter().chain(OTHER_STATUSES);
    let served: Vec<(u16, String)> = statuses
        .map(|status| {
            let scene = Scene::start(1, query_response(status, &report));
            // The router has received the first report when it asks for the next.
            wait_until("two queries", || 2 <= scene.queries.load(Ordering::Relaxed));
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            (status, scene.send(text, End::Close).status)
        })
        .collect();
    let is_expected = |(status, got): &(u16, String)| (*status == 200) == (got != "200");
    assert!(served.iter().all(is_expected), "{served:?}");
}

/// Guards against a state of an engine, or a list of boxes, that is believed though the status of the
/// response isn't 200.
#[test]
fn a_state_with_another_status_is_an_error() {
    let state = json!({"state": {"model": "m", "version": "1"}, "loading": false, "drained": true,
        "leaving": false, "running": 0});
    let boxes = json!([{"name": "b", "zone": "z", "peer": "127.0.0.1:1"}]);
    let script: Script = Arc::new(Mutex::new((Vec::new(), End::Close)));
    let serve = |status, body| {
        serve_with_queries(script.clone(), query_response(status, body), Arc::default())
    };
    let fetch = |status| {
        let upstream =
            Upstream { address: serve(status, &state), ..catalog::upstream("u", "z", 1) };
        HttpEngineApi::default().fetch_status(&upstream).map(|state| state.drained)
    };
    let list = |status| Client::new(serve(status, &boxes)).boxes().map(|boxes| boxes.len());
    assert_eq!((fetch(200), list(200).ok()), (Ok(true), Some(1)));
    for status in OTHER_STATUSES {
        assert!(fetch(status).is_err(), "{status}: {:?}", fetch(status));
        assert!(list(status).is_err(), "{status}: {:?}", list(status));
    }
}

/// Guards against a response whose upstream stops anywhere in it and that looks whole.
#[test]
fn a_response_that_breaks_off_never_looks_whole() {
    let scene = Scene::new();
    let mut faults = Vec::new();
    for (head, body) in WHOLE {
        let text = format!("{head}{body}");
        // The zero-sized chunk completes a body (RFC 9112, section 8).
        let last_chunk = "\r\n0\r\n";
        let complete_len = text.find(last_chunk).map_or(text.len(), |at| at + last_chunk.len());
        for (len, end) in (0..complete_len).flat_map(|len| [(len, End::Close), (len, End::Reset)]) {
            let reply = scene.send(&text[..len], end);
            let is_expected = match reply.status.as_str() {
                "502" => reply.outcome == "unknown" && reply.is_complete,
                _ => head.len() <= len && !reply.is_complete,
            };
            if !is_expected {
                faults.push(format!("{:?} {end:?}: {reply:?}", &text[..len]));
            }
        }
        let reply = scene.send(&text, End::Close);
        assert!(reply.is_complete && reply.body.contains("ok"), "{text:?}: {reply:?}");
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
