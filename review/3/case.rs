//! A client takes a resumable stream up again after its connection broke, and the engine breaks off
//! before the first event. The ids of events are times in nanoseconds.

#[path = "../common/mod.rs"]
mod common;

use std::collections::BTreeSet;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use common::Deployment;
use common::EngineBehavior;
use common::Message;
use common::Record;
use common::Route;
use common::Runs;
use common::SERVICE;
use common::Store;
use common::ZONES;

const DEADLINE_MS: u32 = 6000;

/// Events of a stream.
const EVENTS: u64 = 17;

/// Time between events.
const INTERVAL: Duration = Duration::from_millis(20);

/// Streams to each box, one after the other.
const STREAMS: u64 = 5;

/// The id of an event: its time in nanoseconds since 1970.
fn event_id(n: u64) -> u64 {
    1_790_000_000_000_000_000 + n * 20_000_001
}

fn event(n: u64) -> String {
    format!("id: {}\ndata: piece {n}\n\n", event_id(n))
}

/// An engine that streams the events after `Last-Event-Id`.
struct Streaming {
    /// Attempts that an engine has broken off; `None` if engines don't break off. Shared by all
    /// engines, each attempt is broken off once.
    broken_off: Option<Arc<Mutex<BTreeSet<String>>>>,
    record: Record,
}

impl EngineBehavior for Streaming {
    fn respond(&self, req: &Message, head: &str, stream: &mut TcpStream) -> io::Result<()> {
        let id = req.header("attempt-id");
        let after = req.header("last-event-id").parse::<u64>().ok();
        self.record.line(format!("engine gets {id} with Last-Event-Id {after:?}"));
        stream.write_all(
            format!(
                "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        )?;
        let all = (1..=EVENTS).filter(|n| after.is_none_or(|after| after < event_id(*n)));
        for n in all {
            let text = event(n);
            if after.is_some()
                && self.broken_off.as_ref().is_some_and(|b| b.lock().unwrap().insert(id.to_owned()))
            {
                // In the middle of the event.
                stream.write_all(format!("{:x}\r\n{}", text.len(), &text[..9]).as_bytes())?;
                self.record.line(format!("engine breaks {id} off"));
                return Err(io::Error::other("broken off"));
            }
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(INTERVAL);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// The ids of events that a client has received in one attempt, and whether the stream was complete.
type Received = (Vec<u64>, bool);

/// Sends one attempt and reads up to `events_max` events, then closes the connection.
fn attempt(
    to: SocketAddr,
    id: &str,
    after: Option<u64>,
    events_max: usize,
    record: &Record,
) -> io::Result<Received> {
    let after_line = after.map_or(String::new(), |after| format!("Last-Event-Id: {after}\r\n"));
    let head = format!(
        "POST /review/2f HTTP/1.1\r\nHost: {}\r\nAttempt-Id: {id}\r\n{after_line}Model: m\r\n\
         Token-Count: 460,60\r\nPrompt-Prefix: 5c1e07a2:300,e4402b7d:160\r\n\
         Deadline-Ms: {DEADLINE_MS}\r\nKey: {}\r\nContent-Length: 2\r\n\r\n{{}}",
        common::HOST,
        common::KEY
    );
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS.into())))?;
    stream.write_all(head.as_bytes())?;
    record.line(format!("client sends {id} with Last-Event-Id {after:?}"));
    let mut ids = Vec::new();
    let mut status = 0;
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { break };
        if status == 0 {
            status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        }
        if let Some(id) = line.strip_prefix("id: ") {
            ids.push(id.trim().parse().map_err(io::Error::other)?);
        }
        // The last chunk.
        if line == "0" {
            record.line(format!("client has all of {id}, status {status}, {} events", ids.len()));
            return Ok((ids, true));
        }
        if line.is_empty() && ids.len() == events_max {
            break;
        }
    }
    record.line(format!("client has a part of {id}, status {status}, {} events", ids.len()));
    Ok((ids, false))
}

fn case(record: &Record) -> io::Result<bool> {
    let store = Store::start();
    let routes = [Route { name: "review", kind: "resumable", timeout_ms: DEADLINE_MS }];
    store.put("config", "main", &common::configuration(1, &routes));
    let runs: Runs = Arc::default();
    let broken_off = common::has_trouble().then(Arc::default);
    for (n, zone) in ZONES.iter().enumerate() {
        let name = format!("i-{n}");
        let behavior = Streaming { broken_off: broken_off.clone(), record: record.clone() };
        let addr = common::start_engine(&name, behavior, &runs, record);
        store.put("servers", &name, &common::engine_entry(SERVICE, addr, zone));
    }
    let deployment = Deployment::start(store, "", record)?;
    let (mut is_broken, mut complete) = (false, 0);
    for n in 0..STREAMS {
        for (at, box_) in deployment.boxes.iter().enumerate() {
            let first = format!("e{at}{n}");
            let (mut ids, _) = attempt(box_.callers, &first, None, 3 + n as usize, record)?;
            let last = ids.last().copied();
            let (rest, is_complete) =
                attempt(box_.callers, &format!("f{at}{n}"), last, usize::MAX, record)?;
            ids.extend(rest);
            complete += usize::from(is_complete);
            let expected: Vec<u64> = (1..=EVENTS).map(event_id).collect();
            if is_complete && ids != expected {
                let twice: Vec<&u64> =
                    ids.windows(2).filter(|w| w[0] == w[1]).map(|w| &w[0]).collect();
                let missing: Vec<&u64> = expected.iter().filter(|id| !ids.contains(id)).collect();
                record.line(format!("stream {first}: twice {twice:?}, missing {missing:?}"));
                is_broken = true;
            }
        }
    }
    record.line(format!("{complete} streams were complete"));
    if complete == 0 {
        return Err(io::Error::other("no stream was complete"));
    }
    Ok(is_broken)
}

fn main() -> ExitCode {
    common::run(case)
}
