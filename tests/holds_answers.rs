//! A caller receives the whole answer to its own request and no one else's.

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

fn engine_faults(faults: engine::Faults) -> Fleet {
    let fleet = Fleet::start(&Setup::default());
    fleet.engines[0].set_faults(faults);
    fleet
}

fn ask(fleet: &Fleet, tokens: u64) -> util::fleet::Reply {
    fleet.routers[0].send("assist", &format!("{{\"max_tokens\":{tokens}}}"), &[])
}

/// Sends a request and leaves its answer to be read, or not.
fn begin(fleet: &Fleet, tokens: u64) -> TcpStream {
    let mut caller = TcpStream::connect(fleet.routers[0].callers).expect("it listens");
    let body = format!("{{\"max_tokens\":{tokens}}}");
    write!(
        caller,
        "POST /v1/services/assist HTTP/1.1\r\nhost: x\r\nfrostdyke-workspace: alpha\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("it is sent");
    caller
}

#[test]
fn answers_come_whole_and_to_whom_they_belong() {
    let fleet = Fleet::start(&Setup { zones: vec![2, 1], ..Setup::default() });
    thread::scope(|scope| {
        for caller in 0..12_u64 {
            let fleet = &fleet;
            scope.spawn(move || {
                for n in 0..8 {
                    let tokens = 1 + (caller * 7 + n * 3) % 40;
                    let body = format!("{{\"max_tokens\":{tokens}}}");
                    let reply = fleet.routers[(caller % 3) as usize].send("assist", &body, &[]);
                    assert_eq!((reply.status, reply.whole), (200, true), "{reply:?}");
                    // The number of tokens names the request.
                    let usage = format!("\"total_tokens\":{tokens}}}");
                    assert!(reply.body.contains(&usage), "{reply:?}");
                    assert_eq!(reply.body.matches("\"token\"").count() as u64, tokens);
                }
            });
        }
    });
}

#[test]
fn an_answer_cut_by_the_upstream_is_cut_visibly() {
    let fleet = engine_faults(engine::Faults { cut_after: Some(5), ..Default::default() });
    let reply = ask(&fleet, 20);
    assert_eq!((reply.status, reply.whole), (200, false), "{reply:?}");
}

/// A fleet whose engine can go on with an answer.
fn resuming(faults: engine::Faults) -> Fleet {
    let mut fleet = engine_faults(faults);
    fleet.configuration["services"][0]["resume"] = "/resume/{request}?from={from}".into();
    fleet.configure();
    fleet.wait_in_force(2);
    fleet
}

#[test]
fn an_answer_that_is_cut_goes_on_where_the_engine_can() {
    let mut fleet = resuming(engine::Faults { cut_after: Some(5), ..Default::default() });
    let reply = ask(&fleet, 20);
    assert_eq!((reply.status, reply.whole), (200, true), "{reply:?}");
    let tokens = (0..20).map(|n| format!("data: {{\"token\":{n}}}\n\n"));
    assert!(reply.body.starts_with(&tokens.collect::<String>()), "{reply:?}");
    assert!(reply.body.ends_with("data: [DONE]\n\n"), "{reply:?}");
    // The request ran once; only its answer was streamed again.
    assert_eq!(fleet.engines[0].run_counts().values().sum::<u64>(), 1);
    assert_eq!(fleet.engines[0].resumed_count(), 1);
    let operator = fleet.start_operator();
    let why = fleet.ctl(operator, &["explain", &reply.request]);
    let why = String::from_utf8_lossy(&why.stdout).into_owned();
    assert!(why.contains("answered, resumed 1 times"), "{why}");
    wait_until("the slot is free again", || fleet.engines[0].running() == 0);
}

#[test]
fn an_answer_that_is_cut_again_and_again_is_cut_visibly() {
    let faults = engine::Faults { cut_after: Some(5), cut_again: true, ..Default::default() };
    let fleet = resuming(faults);
    let reply = ask(&fleet, 20);
    assert_eq!((reply.status, reply.whole), (200, false), "{reply:?}");
    assert!(reply.body.is_empty() || reply.body.ends_with("\n\n"), "half an event: {reply:?}");
    assert_eq!(fleet.engines[0].resumed_count(), 3);
}

proptest! {
    #![proptest_config(util::seeded(300))]

    /// However a stream is split and wherever it is cut, what was passed on and what comes from
    /// the counted event on make it whole.
    #[test]
    fn a_cut_stream_goes_on_where_it_was(
        sizes in prop::collection::vec(0..40_usize, 1..12),
        pieces in prop::collection::vec(1..30_usize, 0..20),
        windows in any::<bool>(),
    ) {
        let end = if windows { "\r\n\r\n" } else { "\n\n" };
        let event = |(i, size): (usize, &usize)| format!("data: {i}{}{end}", "x".repeat(*size));
        let stream: Vec<String> = sizes.iter().enumerate().map(event).collect();
        let text = stream.concat().into_bytes();
        let (mut events, mut passed, mut at) = (EventSplitter::default(), Vec::new(), 0);
        for size in pieces {
            let until = (at + size).min(text.len());
            passed.extend(events.push(&text[at..until]).unwrap_or_default());
            at = until;
        }
        let from = events.discard_partial().expect("no event is too long") as usize;
        passed.extend(stream[from..].concat().into_bytes());
        prop_assert_eq!(passed, text);
    }
}

#[test]
fn an_answer_with_another_requests_id_is_never_passed_on() {
    let fleet = engine_faults(engine::Faults { crossed: true, ..Default::default() });
    let reply = ask(&fleet, 5);
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"), "{reply:?}");
    assert!(!reply.body.contains("token\":"), "{reply:?}");
}

#[test]
fn an_answer_shorter_than_it_says_is_cut_visibly() {
    let fleet = Fleet::start(&Setup::default());
    fleet.services[0].set_faults(service::Faults { short: true, ..Default::default() });
    let reply = fleet.routers[0].send("balance", "{}", &[]);
    assert!(!reply.whole, "{reply:?}");
}

/// An upstream that begins to answer and is gone in the same moment.
fn serve_cut_answers() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
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

/// What has come is passed on before the cut, the head above all.
#[test]
fn a_caller_is_told_the_outcome_of_an_answer_that_is_cut_at_once() {
    let mut fleet = Fleet::start(&Setup::default());
    let mut upstream = fleet.configuration["upstreams"][1].clone();
    upstream["address"] = serve_cut_answers().to_string().into();
    // An upstream that fails is soon put aside, so it has many names.
    fleet.configuration["upstreams"] = (0..60)
        .map(|i| {
            upstream["name"] = format!("cut-{i}").into();
            upstream.clone()
        })
        .collect();
    fleet.configure();
    fleet.wait_in_force(2);
    for _ in 0..100 {
        let reply = fleet.routers[0].send("transfer", "{}", &[]);
        assert_eq!((reply.status, reply.outcome.as_str()), (200, "ran"), "{reply:?}");
        assert!(!reply.whole, "{reply:?}");
    }
}

#[test]
fn a_late_answer_reaches_nobody_else() {
    let fleet = engine_faults(engine::Faults { late_ms: 400, ..Default::default() });
    let deadline = [("frostdyke-deadline-ms", "100")];
    let late = fleet.routers[0].send("assist", "{\"max_tokens\":3}", &deadline);
    assert_eq!((late.status, late.outcome.as_str()), (504, "unknown"), "{late:?}");
    fleet.engines[0].set_faults(engine::Faults::default());
    let next = ask(&fleet, 7);
    assert!(next.body.contains("\"total_tokens\":7}"), "{next:?}");
}

#[test]
fn an_answer_that_never_ends_is_given_up_on() {
    let setup = Setup { extra: "idle-timeout-ms = 300".to_owned(), ..Setup::default() };
    let fleet = Fleet::start(&setup);
    fleet.engines[0].set_faults(engine::Faults { endless: true, ..Default::default() });
    let reply = ask(&fleet, 3);
    assert_eq!((reply.status, reply.whole), (200, false), "{reply:?}");
    wait_until("the slot is free again", || fleet.engines[0].running() == 0);
}

#[test]
fn when_the_caller_leaves_the_upstream_stops_and_the_slot_is_free() {
    let setup = Setup { slots: 1, token: Duration::from_millis(20), ..Setup::default() };
    let fleet = Fleet::start(&setup);
    let caller = begin(&fleet, 5000);
    wait_until("it runs", || fleet.engines[0].running() == 1);
    drop(caller);
    wait_until("the engine stops", || fleet.engines[0].cancelled_count() == 1);
    // The only slot is free for the next.
    assert_eq!(ask(&fleet, 2).status, 200);
}

/// The pieces that wait for a slow caller are few; the upstream has to wait.
#[test]
fn a_slow_caller_holds_back_only_its_own_answer() {
    let setup = Setup { token: Duration::ZERO, ..Setup::default() };
    let fleet = Fleet::start(&setup);
    let mut caller = begin(&fleet, 2000000);
    let mut first = [0; 64];
    caller.read_exact(&mut first).expect("the answer begins");
    for _ in 0..5 {
        assert_eq!(ask(&fleet, 3).status, 200);
    }
    // 38 MB are to come; a router that read them all would be done by now.
    assert_eq!(fleet.engines[0].running(), 1, "the engine waits for the caller");
}

#[test]
fn bad_requests_are_told_so_at_once() {
    let fleet =
        Fleet::start(&Setup { extra: "max-body-bytes = 1000".to_owned(), ..Setup::default() });
    let router = &fleet.routers[0];
    let code = |service: &str, body: &str, headers: &[(&str, &str)]| {
        let reply = router.send(service, body, headers);
        assert_eq!(reply.outcome, "not-run", "{reply:?}");
        let (_, code) = reply.body.split_once("urn:frostdyke:").expect("a problem");
        format!("{} {}", reply.status, code.split('"').next().unwrap_or(""))
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
