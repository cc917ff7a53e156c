//! Callers whom a crowded box turns away: told so by an answer that reaches them whole.

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

/// A caller's end of a connection, and the box's.
fn connect() -> (TcpStream, RejectedConnection) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let caller =
        TcpStream::connect(listener.local_addr().expect("an address")).expect("it accepts");
    // Each write is to come at once.
    caller.set_nodelay(true).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    (caller, RejectedConnection::new(stream).expect("the caller is there"))
}

/// Reads until the end, which is no reset.
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

fn step(turned: &mut RejectedConnection) -> bool {
    turned.step(&refusal::http1_bytes(Refusal::BoxBusy), &mut vec![0; BUF])
}

/// Takes steps until one says `goes_on` and the caller was told or not: what was written on one end of a connection may
/// come to the other a moment later. The clock stands still, so nothing ends by itself.
fn step_until(turned: &mut RejectedConnection, goes_on: bool, is_told: bool) {
    for _ in 0..5_000 {
        if step(turned) == goes_on && turned.is_answered() == is_told {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    panic!("waited in vain for {goes_on}, {is_told}");
}

#[test]
fn the_prepared_answer_says_not_run_and_when_to_come_back() {
    let text = String::from_utf8(refusal::http1_bytes(Refusal::BoxBusy)).expect("text");
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1.1 503 Service Unavailable\r\n"), "{head}");
    assert!(head.contains("\r\nretry-after: 0.0"), "{head}");
    assert!(head.contains("\r\nconnection: close"), "{head}");
    assert!(head.ends_with(&format!("\r\ncontent-length: {}", body.len())), "{head}");
    assert!(body.contains("not run"), "{body}");
}

/// Load: a box that is full, and callers with prompts of 17,000 bytes.
#[tokio::test(start_paused = true)]
async fn a_whole_request_is_answered_and_its_connection_closed_without_a_reset() {
    let (mut caller, mut turned) = connect();
    caller.write_all(&request(17_000)).expect("room");
    step_until(&mut turned, false, true);
    drop(turned);
    assert!(read(&mut caller).starts_with("HTTP/1.1 503"));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_comes_in_parts_is_read_to_its_end() {
    let (mut caller, mut turned) = connect();
    let req = request(3 * BUF);
    let (first, rest) = req.split_at(BUF / 2);
    assert!(step(&mut turned), "nothing has come");
    assert!(!turned.is_answered());
    tokio::time::advance(Duration::from_millis(8)).await;
    caller.write_all(first).expect("room");
    step_until(&mut turned, true, true);
    let (most, last) = rest.split_at(rest.len() - 1);
    // Written and read in turn, so that it needs no room on the way.
    for part in most.chunks(BUF / 2) {
        caller.write_all(part).expect("room");
        assert!(step(&mut turned));
    }
    caller.write_all(last).expect("room");
    step_until(&mut turned, false, true);
    drop(turned);
    assert!(read(&mut caller).starts_with("HTTP/1.1 503"));
}

#[tokio::test(start_paused = true)]
async fn a_request_whose_length_is_not_told_is_read_for_a_while() {
    let (mut caller, mut turned) = connect();
    caller.write_all(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").expect("room");
    step_until(&mut turned, true, true);
    caller.write_all(b"5\r\nhello\r\n0\r\n\r\n").expect("room");
    assert!(step(&mut turned));
    tokio::time::advance(Duration::from_millis(200)).await;
    step_until(&mut turned, false, true);
    drop(turned);
    assert!(read(&mut caller).starts_with("HTTP/1.1 503"));
}

/// A caller that was told and sends on, a little at a time, doesn't keep its place for longer than one that is silent.
#[tokio::test(start_paused = true)]
async fn who_sends_on_without_end_is_not_read_without_end() {
    let (mut caller, mut turned) = connect();
    caller.write_all(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n").expect("room");
    step_until(&mut turned, true, true);
    let mut steps = 0;
    loop {
        caller.write_all(b"1\r\nx\r\n").expect("room");
        if !step(&mut turned) {
            break;
        }
        steps += 1;
        assert!(steps < 1_000, "for how long?");
        tokio::time::advance(Duration::from_millis(8)).await;
    }
    assert!(steps < 25, "{steps} looks");
}

#[tokio::test(start_paused = true)]
async fn who_says_nothing_is_not_told_and_not_waited_for_without_end() {
    let (_caller, mut turned) = connect();
    let began = Instant::now();
    let mut looks = 0;
    loop {
        if turned.is_due() {
            looks += 1;
            if !step(&mut turned) {
                break;
            }
        }
        tokio::time::advance(Duration::from_millis(8)).await;
    }
    assert!(!turned.is_answered());
    // Each look costs a call.
    assert!(looks < 10, "{looks}");
    let took = began.elapsed().as_millis();
    assert!((1_000..1_100).contains(&took), "{took} ms");
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_is_gone_is_forgotten() {
    let (caller, mut turned) = connect();
    drop(caller);
    step_until(&mut turned, false, false);
}
