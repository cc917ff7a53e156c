//! Invariant: a caller receives the complete response to its own request and to no other one. A
//! response that could not be completed is visibly incomplete.

mod util;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use frostdyke::router::stream_resume::EventSplitter;
use frostdyke_standin::engine;
use frostdyke_standin::service;
use proptest::prelude::*;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::any_port;
use util::fleet::wait_until;

fn fleet_with_engine_faults(faults: engine::Faults) -> Fleet {
    let fleet = Fleet::start(&Setup::default());
    fleet.engines[0].set_faults(faults);
    fleet
}

fn send_assist(fleet: &Fleet, tokens: u64) -> util::fleet::Response {
    fleet.routers[0].send("assist", &format!("{{\"max_tokens\":{tokens}}}"), &[])
}

/// Sends a request and returns the connection with the response unread.
fn send_without_reading(fleet: &Fleet, tokens: u64) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.routers[0].callers).expect("the server listens");
    let body = format!("{{\"max_tokens\":{tokens}}}");
    write!(
        caller,
        "POST /v1/services/assist HTTP/1.1\r\nhost: x\r\nfrostdyke-workspace: alpha\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("the request is sent");
    caller
}

/// Guards against mixing up the responses of concurrent callers on one or several routers.
#[test]
fn concurrent_callers_receive_their_own_complete_responses() {
    let fleet = Fleet::start(&Setup { zones: vec![2, 1], ..Setup::default() });
    thread::scope(|scope| {
        for caller in 0..12_u64 {
            let fleet = &fleet;
            scope.spawn(move || {
                for n in 0..8 {
                    let tokens = 1 + (caller * 7 + n * 3) % 40;
                    let body = format!("{{\"max_tokens\":{tokens}}}");
                    let response = fleet.routers[(caller % 3) as usize].send("assist", &body, &[]);
                    assert_eq!(
                        (response.status, response.is_complete),
                        (200, true),
                        "{response:?}"
                    );
                    // The number of tokens identifies the request.
                    let usage = format!("\"total_tokens\":{tokens}}}");
                    assert!(response.body.contains(&usage), "{response:?}");
                    assert_eq!(response.body.matches("\"token\"").count() as u64, tokens);
                }
            });
        }
    });
}

#[test]
fn a_response_cut_off_by_the_upstream_is_visibly_incomplete() {
    let fleet =
        fleet_with_engine_faults(engine::Faults { cut_after: Some(5), ..Default::default() });
    let response = send_assist(&fleet, 20);
    assert_eq!((response.status, response.is_complete), (200, false), "{response:?}");
}

/// A fleet whose engine can resume a response from a given event.
fn resumable_fleet(faults: engine::Faults) -> Fleet {
    let mut fleet = fleet_with_engine_faults(faults);
    fleet.configuration["services"][0]["resume"] = "/resume/{request}?from={from}".into();
    fleet.configure();
    fleet.wait_for_revision(2);
    fleet
}

/// Guards against a resume that loses or repeats events, or runs the request a second time.
#[test]
fn a_cut_off_response_is_resumed_if_the_engine_supports_it() {
    let mut fleet = resumable_fleet(engine::Faults { cut_after: Some(5), ..Default::default() });
    let response = send_assist(&fleet, 20);
    assert_eq!((response.status, response.is_complete), (200, true), "{response:?}");
    let tokens = (0..20).map(|n| format!("data: {{\"token\":{n}}}\n\n"));
    assert!(response.body.starts_with(&tokens.collect::<String>()), "{response:?}");
    assert!(response.body.ends_with("data: [DONE]\n\n"), "{response:?}");
    // The request ran once; only its response was streamed again.
    assert_eq!(fleet.engines[0].run_counts().values().sum::<u64>(), 1);
    assert_eq!(fleet.engines[0].resumed_count(), 1);
    let operator = fleet.start_operator();
    let why = fleet.run_ctl(operator, &["explain", &response.request_id]);
    let why = String::from_utf8_lossy(&why.stdout).into_owned();
    assert!(why.contains("answered, resumed 1 times"), "{why}");
    wait_until("the slot is free again", || fleet.engines[0].running() == 0);
}

/// Guards against endless resumes: after three the response ends, and not within an event.
#[test]
fn a_response_cut_off_on_every_resume_is_visibly_incomplete() {
    let faults = engine::Faults { cut_after: Some(5), cut_again: true, ..Default::default() };
    let fleet = resumable_fleet(faults);
    let response = send_assist(&fleet, 20);
    assert_eq!((response.status, response.is_complete), (200, false), "{response:?}");
    assert!(
        response.body.is_empty() || response.body.ends_with("\n\n"),
        "the response ends within an event: {response:?}"
    );
    assert_eq!(fleet.engines[0].resumed_count(), 3);
}

proptest! {
    #![proptest_config(util::seeded_config(300))]

    /// Guards against lost or repeated events on a resume. However the stream is split and wherever
    /// it is cut off, the events forwarded before and the events from the resume point on make up
    /// the original stream.
    #[test]
    fn a_resumed_stream_equals_the_original(
        sizes in prop::collection::vec(0..40_usize, 1..12),
        chunk_sizes in prop::collection::vec(1..30_usize, 0..20),
        uses_crlf in any::<bool>(),
    ) {
        let end = if uses_crlf { "\r\n\r\n" } else { "\n\n" };
        let event = |(i, size): (usize, &usize)| format!("data: {i}{}{end}", "x".repeat(*size));
        let stream: Vec<String> = sizes.iter().enumerate().map(event).collect();
        let text = stream.concat().into_bytes();
        let (mut events, mut forwarded, mut at) = (EventSplitter::default(), Vec::new(), 0);
        for size in chunk_sizes {
            let until = (at + size).min(text.len());
            forwarded.extend(events.push(&text[at..until]).unwrap_or_default());
            at = until;
        }
        let from = events.discard_partial().expect("no event is too long") as usize;
        forwarded.extend(stream[from..].concat().into_bytes());
        prop_assert_eq!(forwarded, text);
    }
}

/// Guards against forwarding a response that an upstream sends for another request.
#[test]
fn a_response_with_another_request_id_is_not_forwarded() {
    let fleet = fleet_with_engine_faults(engine::Faults { crossed: true, ..Default::default() });
    let response = send_assist(&fleet, 5);
    assert_eq!((response.status, response.outcome.as_str()), (502, "unknown"), "{response:?}");
    assert!(!response.body.contains("token\":"), "{response:?}");
}

#[test]
fn a_response_shorter_than_its_content_length_is_visibly_incomplete() {
    let fleet = Fleet::start(&Setup::default());
    fleet.services[0].set_faults(service::Faults { short: true, ..Default::default() });
    let response = fleet.routers[0].send("balance", "{}", &[]);
    assert!(!response.is_complete, "{response:?}");
}

/// An upstream that closes the connection right after the beginning of its response.
fn serve_truncated_responses() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut buf = [0; 4096];
            let _ = stream.read(&mut buf);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nabc");
        }
    });
    addr
}

/// Guards against dropping the response head, and the outcome in it, when the upstream closes the
/// connection right after it.
#[test]
fn the_outcome_is_forwarded_though_the_upstream_closes_at_once() {
    let mut fleet = Fleet::start(&Setup::default());
    let mut upstream = fleet.configuration["upstreams"][1].clone();
    upstream["address"] = serve_truncated_responses().to_string().into();
    // A failing upstream soon becomes unavailable, so the same address is listed under many names.
    fleet.configuration["upstreams"] = (0..60)
        .map(|i| {
            upstream["name"] = format!("cut-{i}").into();
            upstream.clone()
        })
        .collect();
    fleet.configure();
    fleet.wait_for_revision(2);
    for _ in 0..100 {
        let response = fleet.routers[0].send("transfer", "{}", &[]);
        assert_eq!((response.status, response.outcome.as_str()), (200, "ran"), "{response:?}");
        assert!(!response.is_complete, "{response:?}");
    }
}

/// Guards against a late response on a reused connection reaching the next request.
#[test]
fn a_late_response_is_not_sent_to_another_request() {
    let fleet = fleet_with_engine_faults(engine::Faults { late_ms: 400, ..Default::default() });
    let deadline = [("frostdyke-deadline-ms", "100")];
    let late = fleet.routers[0].send("assist", "{\"max_tokens\":3}", &deadline);
    assert_eq!((late.status, late.outcome.as_str()), (504, "unknown"), "{late:?}");
    fleet.engines[0].set_faults(engine::Faults::default());
    let next = send_assist(&fleet, 7);
    assert!(next.body.contains("\"total_tokens\":7}"), "{next:?}");
}

/// Guards against a slot held forever by an engine that doesn't end its response.
#[test]
fn a_response_that_never_ends_is_cut_off_after_the_idle_timeout() {
    let setup = Setup { extra_settings: "idle-timeout-ms = 300".to_owned(), ..Setup::default() };
    let fleet = Fleet::start(&setup);
    fleet.engines[0].set_faults(engine::Faults { endless: true, ..Default::default() });
    let response = send_assist(&fleet, 3);
    assert_eq!((response.status, response.is_complete), (200, false), "{response:?}");
    wait_until("the slot is free again", || fleet.engines[0].running() == 0);
}

/// Guards against slots held by requests whose caller has disconnected.
#[test]
fn a_caller_that_disconnects_cancels_its_request_and_frees_the_slot() {
    let setup = Setup { slots: 1, token_interval: Duration::from_millis(20), ..Setup::default() };
    let fleet = Fleet::start(&setup);
    let caller = send_without_reading(&fleet, 5000);
    wait_until("the request runs", || fleet.engines[0].running() == 1);
    drop(caller);
    wait_until("the engine stops", || fleet.engines[0].cancelled_count() == 1);
    // The next request gets the only slot.
    assert_eq!(send_assist(&fleet, 2).status, 200);
}

/// Guards against unbounded buffering for a slow caller: few chunks are buffered, and backpressure
/// makes the upstream wait.
#[test]
fn a_slow_caller_delays_only_its_own_response() {
    let setup = Setup { token_interval: Duration::ZERO, ..Setup::default() };
    let fleet = Fleet::start(&setup);
    let mut caller = send_without_reading(&fleet, 2000000);
    let mut first = [0; 64];
    caller.read_exact(&mut first).expect("the response begins");
    for _ in 0..5 {
        assert_eq!(send_assist(&fleet, 3).status, 200);
    }
    // The response has 38 MB; a router that buffered them all would have finished reading by now.
    assert_eq!(fleet.engines[0].running(), 1, "the engine waits for the caller");
}

#[test]
fn invalid_requests_are_rejected_with_an_error_code() {
    let fleet = Fleet::start(&Setup {
        extra_settings: "max-body-bytes = 1000".to_owned(),
        ..Setup::default()
    });
    let router = &fleet.routers[0];
    let code = |service: &str, body: &str, headers: &[(&str, &str)]| {
        let response = router.send(service, body, headers);
        assert_eq!(response.outcome, "not-run", "{response:?}");
        let (_, code) = response.body.split_once("urn:frostdyke:").expect("a problem");
        format!("{} {}", response.status, code.split('"').next().unwrap_or(""))
    };
    let long = "x".repeat(1001);
    insta::assert_debug_snapshot!(
        [
            code("nothing", "{}", &[]),
            code("assist", &long, &[]),
            code("assist", "{}", &[("frostdyke-deadline-ms", "soon")]),
            code("assist", "{}", &[("frostdyke-deadline-ms", "0")]),
            code("assist", "{}", &[("frostdyke-class", "vip")]),
            code("assist", "{}", &[("frostdyke-repeatable", "maybe")]),
            code("assist", "{}", &[("frostdyke-workspace", "beta")]),
            code("transfer", "{}", &[("idempotency-key", "7")]),
        ],
        @r#"
    [
        "404 no-service",
        "413 body-too-long",
        "400 bad-header",
        "400 bad-header",
        "400 bad-header",
        "400 bad-header",
        "400 bad-header",
        "400 bad-key",
    ]
    "#
    );
}
