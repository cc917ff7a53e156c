//! The fake engine keeps what it promises, so that tests can rest on it.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use frostdyke_standin::engine::Engine;
use frostdyke_standin::engine::Settings;

fn start(slots: usize, token: Duration) -> Engine {
    let settings = Settings { slots, token_interval: token, ..Settings::default() };
    Engine::start(SocketAddr::from(([127, 0, 0, 1], 0)), settings).expect("it starts")
}

fn call(addr: SocketAddr, line: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    let length = body.len();
    write!(
        stream,
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
    )
    .expect("it is sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("it is text");
    text
}

#[test]
fn an_answer_can_be_resumed() {
    let engine = start(1, Duration::from_millis(1));
    let headers = "frostdyke-request-id: r1\r\n";
    let whole = call(engine.addr, "POST /v1/generate", headers, "{\"max_tokens\":5}");
    assert_eq!(whole.matches("\"token\"").count(), 5, "{whole}");
    let rest = call(engine.addr, "GET /resume/r1?from=3", "", "");
    assert_eq!(rest.matches("\"token\"").count(), 2, "{rest}");
    assert!(call(engine.addr, "GET /resume/r2?from=3", "", "").contains("404"));
}

/// Of those that wait for the only slot, the urgent one goes first though it came last.
#[test]
fn the_most_urgent_goes_first() {
    let engine = start(1, Duration::from_millis(20));
    let addr = engine.addr;
    let ask = move |class: &str, tokens: u64| {
        let headers = format!("frostdyke-class: {class}\r\nfrostdyke-request-id: {class}\r\n");
        let body = format!("{{\"max_tokens\":{tokens}}}");
        thread::spawn(move || {
            call(addr, "POST /v1/generate", &headers, &body);
            std::time::Instant::now()
        })
    };
    let first = ask("normal", 40);
    while engine.running() == 0 {
        thread::yield_now();
    }
    let background = ask("background", 5);
    while engine.run_counts().len() < 2 {
        thread::yield_now();
    }
    let urgent = ask("urgent", 5);
    let [_, background, urgent] = [first, background, urgent].map(|t| t.join().expect("no panic"));
    assert!(urgent < background);
}
