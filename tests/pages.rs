//! The metrics page and the operators' port answer whoever comes, whoever else is connected.

mod util;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::TOKEN;
use util::fleet::send_raw;

/// Idle connections, some with half a request head, more than there are threads.
fn hold_open(addr: SocketAddr) -> Vec<TcpStream> {
    let open = |i: usize| {
        let mut stream = TcpStream::connect(addr).expect("it listens");
        if i.is_multiple_of(2) {
            stream.write_all(b"GET / HTTP/1.1\r\nHost: ").expect("it reads");
        }
        stream
    };
    (0..20).map(open).collect()
}

#[test]
fn idle_connections_dont_hold_up_the_metrics_page() {
    let fleet = Fleet::start(&Setup::default());
    let held = hold_open(fleet.routers[0].metrics);
    assert_eq!(fleet.routers[0].metric("frostdyke_revision"), Some(1.0));
    drop(held);
}

#[test]
fn idle_connections_dont_hold_up_operators() {
    let mut fleet = Fleet::start(&Setup::default());
    let operator = fleet.start_operator();
    let held = hold_open(operator);
    let out = fleet.run_ctl(operator, &["show"]);
    assert!(out.status.success(), "{out:?}");
    drop(held);
}

#[test]
fn a_body_that_is_too_long_is_refused() {
    let mut fleet = Fleet::start(&Setup::default());
    let operator = fleet.start_operator();
    let send = |token: &str| {
        let head = format!(
            "POST /v1/plans HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
             content-length: 3000000\r\n\r\n"
        );
        send_raw(operator, head.as_bytes())
    };
    assert!(send(TOKEN).starts_with("HTTP/1.1 413"));
    // Nobody waits for the body of a stranger.
    assert!(send("wrong").starts_with("HTTP/1.1 401"));
}
