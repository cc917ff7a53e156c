//! Rejected connections of an overloaded box: each caller receives the complete refusal, without a
//! reset.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use frostdyke::proxy::connection_rejecter::RejectedConnection;
use frostdyke::proxy::refusal;
use frostdyke::proxy::refusal::Refusal;
use tokio::time::Instant;

const BUF: usize = 32 << 10;

/// The caller's end of a connection and the box's.
fn connect() -> (TcpStream, RejectedConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let caller =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("it accepts");
    // Each write is sent at once.
    caller.set_nodelay(true).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    (caller, RejectedConnection::new(stream).expect("the caller is there"))
}

/// Reads until the end of the stream, which must not be a reset.
fn read(caller: &mut TcpStream) -> String {
    let mut text = String::new();
    caller.read_to_string(&mut text).expect("no reset");
    text
}

fn request(body: usize) -> Vec<u8> {
    let head =
        format!("POST /stream/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: {body}\r\n\r\n");
    let mut req = head.into_bytes();
    req.resize(req.len() + body, b'x');
    req
}

fn step(rejected: &mut RejectedConnection) -> bool {
    rejected.step(&refusal::http1_bytes(Refusal::BoxBusy), &mut vec![0; BUF])
}

/// Takes steps until one returns `continues` and the caller was answered or not: data written at
/// one end of a connection may reach the other a moment later. The clock is paused, so nothing
/// times out.
fn step_until(rejected: &mut RejectedConnection, continues: bool, is_answered: bool) {
    for _ in 0..5_000 {
        if step(rejected) == continues && rejected.is_answered() == is_answered {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("waited in vain for {continues}, {is_answered}");
}

/// Callers may send the request again only if it was certainly not run.
#[test]
fn the_prepared_refusal_says_not_run_and_when_to_retry() {
    let text = String::from_utf8(refusal::http1_bytes(Refusal::BoxBusy)).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{head}");
    assert!(head.contains("\r\nretry-after: 0.0"), "{head}");
    assert!(head.contains("\r\nconnection: close"), "{head}");
    assert!(head.ends_with(&format!("\r\ncontent-length: {}", body.len())), "{head}");
    assert!(body.contains("not run"), "{body}");
}

/// Closing a connection with unread data resets it, and the caller loses the answer. Load: a full
/// box, and callers with prompts of 17,000 bytes.
#[tokio::test(start_paused = true)]
async fn a_complete_request_is_answered_without_a_reset() {
    let (mut caller, mut rejected) = connect();
    caller.write_all(&request(17_000)).expect("room");
    step_until(&mut rejected, false, true);
    drop(rejected);
    assert!(read(&mut caller).starts_with("HTTP/1.1 503"));
}

/// The rest of a request may arrive after the answer was written; left unread, it would reset the
/// connection.
#[tokio::test(start_paused = true)]
async fn a_request_received_in_parts_is_read_to_its_end() {
    let (mut caller, mut rejected) = connect();
    let req = request(3 * BUF);
    let (first, rest) = req.split_at(BUF / 2);
    assert!(step(&mut rejected), "nothing has come");
    assert!(!rejected.is_answered());
    tokio::time::advance(Duration::from_millis(8)).await;
    caller.write_all(first).expect("room");
    step_until(&mut rejected, true, true);
    let (most, last) = rest.split_at(rest.len() - 1);
    // Written and read in turn, so that no buffer has to hold all of it.
    for part in most.chunks(BUF / 2) {
        caller.write_all(part).expect("room");
        assert!(step(&mut rejected));
    }
    caller.write_all(last).expect("room");
    step_until(&mut rejected, false, true);
    drop(rejected);
    assert!(read(&mut caller).starts_with("HTTP/1.1 503"));
}

/// The end of a chunked body isn't parsed here.
#[tokio::test(start_paused = true)]
async fn a_request_of_unknown_length_is_read_for_a_limited_time() {
    let (mut caller, mut rejected) = connect();
    caller.write_all(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").expect("room");
    step_until(&mut rejected, true, true);
    caller.write_all(b"5\r\nhello\r\n0\r\n\r\n").expect("room");
    assert!(step(&mut rejected));
    tokio::time::advance(Duration::from_millis(200)).await;
    step_until(&mut rejected, false, true);
    drop(rejected);
    assert!(read(&mut caller).starts_with("HTTP/1.1 503"));
}

/// A caller that was answered and keeps sending, a little at a time, must not hold its place longer
/// than a silent one.
#[tokio::test(start_paused = true)]
async fn an_endless_request_is_read_for_a_limited_time() {
    let (mut caller, mut rejected) = connect();
    caller.write_all(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").expect("room");
    step_until(&mut rejected, true, true);
    let mut steps = 0;
    loop {
        caller.write_all(b"1\r\nx\r\n").expect("room");
        if !step(&mut rejected) {
            break;
        }
        steps += 1;
        assert!(steps < 1_000, "no end after {steps} steps");
        tokio::time::advance(Duration::from_millis(8)).await;
    }
    assert!(steps < 25, "{steps} steps");
}

/// A connection without a request must not hold its place for ever.
#[tokio::test(start_paused = true)]
async fn a_silent_caller_is_dropped_without_an_answer() {
    let (_caller, mut rejected) = connect();
    let began = Instant::now();
    let mut steps = 0;
    loop {
        if rejected.is_due() {
            steps += 1;
            if !step(&mut rejected) {
                break;
            }
        }
        tokio::time::advance(Duration::from_millis(8)).await;
    }
    assert!(!rejected.is_answered());
    // Each step costs a system call.
    assert!(steps < 10, "{steps}");
    let took = began.elapsed().as_millis();
    assert!((1_000..1_100).contains(&took), "{took} ms");
}

#[tokio::test(start_paused = true)]
async fn a_disconnected_caller_is_dropped() {
    let (caller, mut rejected) = connect();
    drop(caller);
    step_until(&mut rejected, false, false);
}
