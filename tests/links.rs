//! Links between routers and the port they meet.

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

/// Remembers what it was told.
struct Ear {
    addr: SocketAddr,
    received: Mutex<Vec<Message>>,
    lost: Mutex<Vec<Message>>,
}

impl ConnectionHandler for Ear {
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

/// Sends everything back.
struct Echo;

impl CallHandler for Echo {
    fn call(&self, _: &BoxName, messages: Vec<Message>) -> CallResponse {
        CallResponse::Ready(messages)
    }

    fn explain(&self, _: &str) -> Explanation {
        Explanation::default()
    }

    fn status(&self) -> Status {
        unreachable!("nobody asks")
    }
}

async fn start_server(secret: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    let traffic = Arc::new(Traffic::default());
    tokio::spawn(server::serve(listener, Secret::from(secret), Arc::new(Echo), traffic));
    addr
}

fn ear(addr: SocketAddr) -> Arc<Ear> {
    Arc::new(Ear { addr, received: Mutex::default(), lost: Mutex::default() })
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

/// Found with real processes: the thread that commits claims sent the first message to a box, and
/// panicked since it is no thread of the runtime.
#[tokio::test(flavor = "multi_thread")]
async fn any_thread_may_send_first() {
    let ear = ear(start_server("s").await);
    let traffic = Arc::new(Traffic::default());
    let links = PeerConnections::new(&"box-1".into(), &Secret::from("s"), &traffic);
    let inbox: Arc<dyn ConnectionHandler> = ear.clone();
    let sent = thread::spawn(move || links.send(&"box-2".into(), message(), &inbox)).join();
    assert!(sent.is_ok(), "the thread panicked");
    until(|| *ear.received.lock().expect("no panic") == [message()]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn who_has_another_secret_gets_nowhere() {
    let ear = ear(start_server("right").await);
    let traffic = Arc::new(Traffic::default());
    let links = PeerConnections::new(&"box-1".into(), &Secret::from("wrong"), &traffic);
    let inbox: Arc<dyn ConnectionHandler> = ear.clone();
    links.send(&"box-2".into(), message(), &inbox);
    until(|| *ear.lost.lock().expect("no panic") == [message()]).await;
    assert!(ear.received.lock().expect("no panic").is_empty());
}

proptest! {
    #![proptest_config(util::seeded(500))]

    /// Whatever text comes as a message, reading it gives an error or a message that reads back.
    #[test]
    fn odd_messages_are_errors(text in r#"[\[\]\{\}",:0-9a-zA-Z]{0,80}"#) {
        if let Ok(message) = serde_json::from_str::<Message>(&text) {
            let again = serde_json::to_string(&message).expect("it serializes");
            prop_assert_eq!(serde_json::from_str::<Message>(&again).expect("it reads back"), message);
        }
    }
}
