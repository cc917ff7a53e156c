//! Connections between routers and the port that accepts them.

mod util;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use frostdyke::config::settings::Secret;
use frostdyke::names::BoxName;
use frostdyke::peer::connection::ConnectionHandler;
use frostdyke::peer::connection::PeerConnections;
use frostdyke::peer::message::Message;
use frostdyke::peer::server;
use frostdyke::peer::server::CallHandler;
use frostdyke::peer::server::CallResponse;
use frostdyke::peer::traffic::Traffic;
use frostdyke::status::Explanation;
use frostdyke::status::Status;
use proptest::prelude::*;
use tokio::net::TcpListener;

/// Records received and lost messages.
struct RecordingHandler {
    addr: SocketAddr,
    received: Mutex<Vec<Message>>,
    lost: Mutex<Vec<Message>>,
}

impl ConnectionHandler for RecordingHandler {
    fn receive(&self, _: &BoxName, messages: Vec<Message>) {
        self.received.lock().expect("no panic").extend(messages);
    }

    fn unreachable(&self, _: &BoxName) {}

    fn messages_lost(&self, _: &BoxName, messages: Vec<Message>) {
        self.lost.lock().expect("no panic").extend(messages);
    }

    fn address(&self, _: &BoxName) -> Option<SocketAddr> {
        Some(self.addr)
    }
}

/// Responds with the messages received.
struct Echo;

impl CallHandler for Echo {
    fn call(&self, _: &BoxName, messages: Vec<Message>) -> CallResponse {
        CallResponse::Ready(messages)
    }

    fn explain(&self, _: &str) -> Explanation {
        Explanation::default()
    }

    fn status(&self) -> Status {
        unreachable!("not called by these tests")
    }
}

async fn start_server(secret: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let traffic = Arc::new(Traffic::default());
    tokio::spawn(server::serve(listener, Secret::from(secret), Arc::new(Echo), traffic));
    addr
}

fn recording_handler(addr: SocketAddr) -> Arc<RecordingHandler> {
    Arc::new(RecordingHandler { addr, received: Mutex::default(), lost: Mutex::default() })
}

fn message() -> Message {
    Message::Heartbeat { entries: Vec::new(), revision: 7 }
}

async fn until(mut condition: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("waited in vain");
}

/// The thread that commits claims sent the first message to a box and panicked, since it doesn't
/// belong to the runtime (found with real processes).
#[tokio::test(flavor = "multi_thread")]
async fn any_thread_may_send_first() {
    let recording_handler = recording_handler(start_server("s").await);
    let traffic = Arc::new(Traffic::default());
    let connections = PeerConnections::new(&"box-1".into(), &Secret::from("s"), &traffic);
    let handler: Arc<dyn ConnectionHandler> = recording_handler.clone();
    let sent = thread::spawn(move || connections.send(&"box-2".into(), message(), &handler)).join();
    assert!(sent.is_ok(), "the thread panicked");
    until(|| *recording_handler.received.lock().expect("no panic") == [message()]).await;
}

/// The peer port must not accept messages of strangers.
#[tokio::test(flavor = "multi_thread")]
async fn messages_with_a_wrong_secret_are_rejected() {
    let recording_handler = recording_handler(start_server("right").await);
    let traffic = Arc::new(Traffic::default());
    let connections = PeerConnections::new(&"box-1".into(), &Secret::from("wrong"), &traffic);
    let handler: Arc<dyn ConnectionHandler> = recording_handler.clone();
    connections.send(&"box-2".into(), message(), &handler);
    until(|| *recording_handler.lost.lock().expect("no panic") == [message()]).await;
    assert!(recording_handler.received.lock().expect("no panic").is_empty());
}

proptest! {
    #![proptest_config(util::seeded(500))]

    /// Any text that arrives as a message either fails to parse or yields a message that survives a
    /// round trip.
    #[test]
    fn malformed_messages_are_errors(text in r#"[\[\]\{\}",:0-9a-zA-Z]{0,80}"#) {
        if let Ok(message) = serde_json::from_str::<Message>(&text) {
            let again = serde_json::to_string(&message).expect("it serializes");
            prop_assert_eq!(serde_json::from_str::<Message>(&again).expect("it reads back"), message);
        }
    }
}
