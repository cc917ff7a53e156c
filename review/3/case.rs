//! A box is stopped by SIGTERM while clients read long answers slowly.

#[path = "../common/mod.rs"]
mod common;

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use common::Answering;
use common::Deployment;
use common::Message;
use common::Record;
use common::Route;
use common::Runs;
use common::SERVICE;
use common::Store;
use common::ZONES;

/// Length of an answer.
const ANSWER_BYTES: usize = 2_000_000;

/// How a client reads: this many bytes each interval, so that an answer takes almost seven seconds.
const READ_BYTES: usize = 6_000;
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// The client's deadline and the route's timeout.
const DEADLINE_MS: u32 = 12_000;

/// Time from the requests to the SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(300);

const CLIENTS: usize = 4;

/// `grace_s`, from the SIGTERM to the SIGKILL.
const GRACE: Duration = Duration::from_secs(8);

/// A connection that is read slowly.
struct SlowReader {
    stream: TcpStream,
    /// Bytes that may be read before the next pause.
    left: usize,
}

impl Read for SlowReader {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if self.left == 0 {
            thread::sleep(READ_INTERVAL);
            self.left = READ_BYTES;
        }
        let len = buf.len().min(self.left);
        let read = self.stream.read(&mut buf[..len])?;
        self.left -= read;
        Ok(read)
    }
}

/// Sends a request on a connection of its own and reads the answer slowly.
fn client(to: SocketAddr, id: &str, bytes: &[u8], record: &Record) -> io::Result<Option<Message>> {
    let mut stream = common::connect_small(to)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS.into())))?;
    stream.write_all(bytes)?;
    record.line(format!("client sends {id}"));
    let reader = SlowReader { stream, left: READ_BYTES };
    Ok(common::read_message(&mut BufReader::with_capacity(READ_BYTES, reader)))
}

fn case(record: &Record) -> io::Result<bool> {
    let store = Store::start();
    let routes = [
        Route { name: "hold", kind: "unsafe", timeout_ms: DEADLINE_MS },
        Route { name: "read", kind: "safe", timeout_ms: DEADLINE_MS },
    ];
    store.put("config", "main", &common::configuration(1, &routes));
    let runs: Runs = Arc::default();
    for (n, zone) in ZONES.iter().enumerate() {
        let name = format!("i-{n}");
        let addr = common::start_engine(&name, Answering(ANSWER_BYTES), &runs, record);
        store.put("servers", &name, &common::engine_entry(SERVICE, addr, zone));
    }
    let mut deployment = Deployment::start(store, "health,pool,places,pressure,", record)?;
    // The box has passed on requests before.
    let to = deployment.boxes[0].callers;
    let warm = common::send(to, &common::request("GET", "read", "f0", 3000, b""), GRACE);
    if !warm.is_some_and(|resp| resp.status() == 200 && resp.is_complete) {
        return Err(io::Error::other("the deployment doesn't serve"));
    }

    let answers: Arc<Mutex<Vec<(String, Option<Message>, Duration)>>> = Arc::default();
    let began = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (answers, record) = (answers.clone(), record.clone());
            thread::spawn(move || {
                let id = format!("a{n}");
                let (method, route) = if n % 2 == 0 { ("POST", "hold") } else { ("GET", "read") };
                let body: &[u8] = if n % 2 == 0 { b"pallet 7" } else { b"" };
                let bytes = common::request(method, route, &id, DEADLINE_MS, body);
                let answer = client(to, &id, &bytes, &record).unwrap_or_default();
                let received = answer.as_ref().map_or(0, |resp| resp.body.len());
                let is_complete = answer.as_ref().is_some_and(|resp| resp.is_complete);
                record.line(format!(
                    "client has {received} of {ANSWER_BYTES} bytes of the answer to {id}, whole: \
                     {is_complete}"
                ));
                answers.lock().unwrap().push((id, answer, began.elapsed()));
            })
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    if common::has_trouble() {
        deployment.boxes[0].signal(common::SIGTERM, record);
        while !deployment.boxes[0].has_ended() && stopped_at.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(format!("box ended or was killed {:?} after SIGTERM", stopped_at.elapsed()));
        deployment.boxes[0].kill(record);
    }
    clients.into_iter().for_each(|client| client.join().expect("a client"));

    let ran = runs.lock().unwrap().clone();
    let has_run = |id: &str| ran.iter().any(|run| run.id == id);
    let answers = answers.lock().unwrap();
    let is_lost = |(id, answer, took): &&(String, Option<Message>, Duration)| {
        // Past its deadline a request is excused.
        let is_in_time = *took < Duration::from_millis(DEADLINE_MS.into());
        has_run(id) && is_in_time && !answer.as_ref().is_some_and(|resp| resp.is_complete)
    };
    let lost: Vec<&str> = answers.iter().filter(is_lost).map(|(id, ..)| &**id).collect();
    record.line(format!("passed on to an engine and cut: {}", lost.join(" ")));
    let is_unserved = |(_, answer, _): &&(String, Option<Message>, Duration)| {
        !answer.as_ref().is_some_and(|resp| resp.status() == 200)
    };
    if answers.iter().filter(is_unserved).count() != 0 {
        return Err(io::Error::other("a request had no answer with status 200"));
    }
    Ok(!lost.is_empty())
}

fn main() -> ExitCode {
    common::run(case)
}
