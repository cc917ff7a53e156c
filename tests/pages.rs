//! Guards against idle connections or oversized bodies that block the metrics page or the port for
//! operators.

mod util;

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;

use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::TOKEN;
use util::fleet::send_raw;

/// Opens more idle connections than there are threads, some with an incomplete request head.
fn open_idle_connections(addr: SocketAddr) -> Vec<TcpStream> {
    let open = |i: usize| {
        let mut stream = TcpStream::connect(addr).expect("the server listens");
        if i.is_multiple_of(2) {
            stream.write_all(b"GET / HTTP/1.1\r\nHost: ").expect("the bytes are sent");
        }
        stream
    };
    (0..20).map(open).collect()
}

#[test]
fn idle_connections_do_not_block_the_metrics_page() {
    let fleet = Fleet::start(&Setup::default());
    let connections = open_idle_connections(fleet.routers[0].metrics);
    assert_eq!(fleet.routers[0].metric("frostdyke_revision"), Some(1.0));
    drop(connections);
}

#[test]
fn idle_connections_do_not_block_operators() {
    let mut fleet = Fleet::start(&Setup::default());
    let operator = fleet.start_operator();
    let connections = open_idle_connections(operator);
    let out = fleet.run_ctl(operator, &["show"]);
    assert!(out.status.success(), "{out:?}");
    drop(connections);
}

/// Guards against buffering an oversized body.
#[test]
fn a_body_that_is_too_long_is_rejected() {
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
    // Without a valid token the request is rejected before its body is read.
    assert!(send("wrong").starts_with("HTTP/1.1 401"));
}
