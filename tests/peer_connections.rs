//! Connections between routers and the server for them.

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

/// Returns every message to its sender.
struct Echo;

impl CallHandler for Echo {
    fn call(&self, _: &BoxName, messages: Vec<Message>) -> CallResponse {
        CallResponse::Ready(messages)
    }

    fn explain(&self, _: &str) -> Explanation {
        Explanation::default()
    }

    fn status(&self) -> Status {
        unreachable!("no test requests the status")
    }
}

async fn start_server(secret: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
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

async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for a condition");
}

/// Guards against a panic when a thread outside the async runtime, such as the one that commits
/// claims, sends the first message to a box. Seen with router processes.
#[tokio::test(flavor = "multi_thread")]
async fn a_thread_outside_the_runtime_can_send_first() {
    let recorder = recording_handler(start_server("s").await);
    let traffic = Arc::new(Traffic::default());
    let connections = PeerConnections::new(&"box-1".into(), &Secret::from("s"), &traffic);
    let handler: Arc<dyn ConnectionHandler> = recorder.clone();
    let sent = thread::spawn(move || connections.send(&"box-2".into(), message(), &handler)).join();
    assert!(sent.is_ok(), "the thread panicked");
    wait_until(|| *recorder.received.lock().expect("no panic") == [message()]).await;
}

/// Guards against messages accepted from a process that doesn't have the fleet's secret.
#[tokio::test(flavor = "multi_thread")]
async fn a_box_with_a_wrong_secret_is_rejected() {
    let recorder = recording_handler(start_server("right").await);
    let traffic = Arc::new(Traffic::default());
    let connections = PeerConnections::new(&"box-1".into(), &Secret::from("wrong"), &traffic);
    let handler: Arc<dyn ConnectionHandler> = recorder.clone();
    connections.send(&"box-2".into(), message(), &handler);
    wait_until(|| *recorder.lost.lock().expect("no panic") == [message()]).await;
    assert!(recorder.received.lock().expect("no panic").is_empty());
}

proptest! {
    #![proptest_config(util::seeded_config(500))]

    /// Any text parses to an error or to a message that survives serialization unchanged.
    #[test]
    fn malformed_messages_are_errors(text in r#"[\[\]\{\}",:0-9a-zA-Z]{0,80}"#) {
        if let Ok(message) = serde_json::from_str::<Message>(&text) {
            let again = serde_json::to_string(&message).expect("it serializes");
            prop_assert_eq!(serde_json::from_str::<Message>(&again).expect("it reads back"), message);
        }
    }
}
