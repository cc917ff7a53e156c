//! Stand-ins for the platform, the engines and the clients, and the processes of a small deployment.
//! Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// Time between an engine's writes of its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1200);

/// The exit statuses of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn send_signal(pid: u32, signal: i32) {
    // SAFETY: the process is a child of this one that has not been waited for.
    unsafe { kill(pid as i32, signal) };
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---------------------------------------------------------------------------------------------
// Record

/// What was sent, answered and run, with milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    began: u64,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = File::create(path).expect("record.txt can be written");
        Arc::new(Record { file: Mutex::new(file), began: unix_ms() })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        unix_ms() - self.began
    }

    pub fn at(&self, unix: u64) -> u64 {
        unix.saturating_sub(self.began)
    }

    pub fn line(&self, text: &str) {
        self.line_at(self.now(), text);
    }

    pub fn line_at(&self, at: u64, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} {text}");
    }

    /// Writes a line and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

fn parse_headers(head: &str) -> BTreeMap<String, String> {
    let lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    lines.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned())).collect()
}

/// Reads up to the empty line that ends a head.
fn read_head(reader: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if head[before..].trim_end().is_empty() {
            if before == 0 {
                head.clear();
                continue;
            }
            return Some(head);
        }
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let head = read_head(reader)?;
    let mut words = head.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = parse_headers(&head);
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        read_chunks(reader, &mut body)?;
    } else {
        body.resize(headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0), 0);
        reader.read_exact(&mut body).ok()?;
    }
    Some(Request { method, path, headers, body })
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let len = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let start = body.len();
        body.resize(start + len + 2, 0);
        reader.read_exact(&mut body[start..]).ok()?;
        body.truncate(start + len);
        if len == 0 {
            return Some(());
        }
    }
}

/// The outcome of one client attempt.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero if there was none.
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body_len: usize,
    /// Whether the whole body came, by its framing.
    pub is_whole: bool,
    /// Why there was no answer, or no whole one.
    pub fault: String,
}

impl Answer {
    /// Whether it is a success of an engine with its whole body.
    pub fn is_served(&self) -> bool {
        (200..300).contains(&self.status)
            && self.is_whole
            && self.headers.contains_key("server-signature")
    }
}

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub deadline_ms: u64,
    pub body: String,
    /// Further header lines, each with its end.
    pub more: String,
}

impl Call {
    pub fn bytes(&self) -> Vec<u8> {
        let Call { method, path, id, deadline_ms, body, more } = self;
        let length = match *method {
            "GET" => String::new(),
            _ => format!("Content-Length: {}\r\n", body.len()),
        };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\n\
             Deadline-Ms: {deadline_ms}\r\n{length}{more}\r\n{body}"
        )
        .into_bytes()
    }
}

/// Reads one answer from a connection, by `read` for the body.
pub fn read_answer(stream: &TcpStream) -> Answer {
    let mut reader = BufReader::new(stream);
    let mut answer = Answer::default();
    let Some(head) = read_head(&mut reader) else {
        answer.fault = "closed without an answer".to_owned();
        return answer;
    };
    answer.status = head.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    answer.headers = parse_headers(&head);
    let mut body = Vec::new();
    if answer.headers.get("transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        answer.is_whole = read_chunks(&mut reader, &mut body).is_some();
    } else {
        let len: usize =
            answer.headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let _ = reader.take(len as u64).read_to_end(&mut body);
        answer.is_whole = body.len() == len;
    }
    answer.body_len = body.len();
    if !answer.is_whole {
        answer.fault = "ended early".to_owned();
    }
    answer
}

/// Sends a call on a new connection and awaits the answer until the call's deadline.
pub fn send(addr: SocketAddr, call: &Call) -> Answer {
    let failed = |fault: &str| Answer { fault: fault.to_owned(), ..Answer::default() };
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
        return failed("no connection");
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(call.deadline_ms)));
    if stream.write_all(&call.bytes()).is_err() {
        return failed("the request could not be written");
    }
    read_answer(&stream)
}

// ---------------------------------------------------------------------------------------------
// JSON

/// The raw text of a field of a JSON object.
pub fn json_field<'a>(object: &'a str, key: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let (mut depth, mut in_text, mut i) = (0, false, 0);
    let (mut name_start, mut last_text) = (0, "");
    let mut value_start = None;
    while i < bytes.len() {
        let c = bytes[i];
        if in_text {
            match c {
                b'\\' => i += 1,
                b'"' => {
                    in_text = false;
                    if depth == 1 && value_start.is_none() {
                        last_text = &object[name_start..i];
                    }
                }
                _ => {}
            }
        } else {
            match c {
                b'"' => {
                    in_text = true;
                    name_start = i + 1;
                }
                b'{' | b'[' => depth += 1,
                b':' if depth == 1 && value_start.is_none() && last_text == key => {
                    value_start = Some(i + 1);
                }
                b',' | b'}' if depth == 1 => {
                    if let Some(start) = value_start {
                        return Some(object[start..i].trim());
                    }
                    last_text = "";
                    depth -= i32::from(c == b'}');
                }
                b'}' | b']' => depth -= 1,
                _ => {}
            }
        }
        i += 1;
    }
    None
}

// ---------------------------------------------------------------------------------------------
// The platform's store

struct Object {
    spec: String,
    status: String,
    revision: u64,
    made: u64,
}

struct Change {
    revision: u64,
    kind: String,
    object: String,
    gone: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    all: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

/// Entries on a page of a list. The pages allow about 500.
const PAGE_ITEMS: usize = 50;

type Hook = Box<dyn FnOnce() + Send>;

/// The platform's metadata store, in memory, with its whole history.
#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
    after_page: Mutex<Option<Hook>>,
}

fn render(name: &str, object: &Object) -> String {
    let Object { spec, status, revision, made } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":{made},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":{status}}}"
    )
}

impl Store {
    /// Creates or replaces an object. The spec is JSON text, which is kept as it is.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        self.write(kind, name, Some(spec), None)
    }

    fn write(&self, kind: &str, name: &str, spec: Option<&str>, status: Option<&str>) -> u64 {
        let mut objects = self.objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        let key = (kind.to_owned(), name.to_owned());
        let object = objects.all.entry(key).or_insert_with(|| Object {
            spec: "null".to_owned(),
            status: "null".to_owned(),
            revision,
            made: revision,
        });
        object.revision = revision;
        if let Some(spec) = spec {
            object.spec = spec.to_owned();
        }
        if let Some(status) = status {
            object.status = status.to_owned();
        }
        let object = render(name, object);
        objects.changes.push(Change { revision, kind: kind.to_owned(), object, gone: false });
        self.changed.notify_all();
        revision
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut objects = self.objects.lock().unwrap();
        let Some(object) = objects.all.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        objects.revision += 1;
        let revision = objects.revision;
        let object = render(name, &object);
        objects.changes.push(Change { revision, kind: kind.to_owned(), object, gone: true });
        self.changed.notify_all();
        true
    }

    /// Calls `hook` once, after the next page of the engines' entries that has a next one was read.
    pub fn after_next_page(&self, hook: impl FnOnce() + Send + 'static) {
        *self.after_page.lock().unwrap() = Some(Box::new(hook));
    }

    /// Serves the store's calls until the process ends.
    pub fn serve(self: &Arc<Store>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve_connection(stream));
            }
        });
        addr
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reading);
        while let Some(request) = read_request(&mut reader) {
            sleep_ms(4);
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let parameter = |name: &str| {
            query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name)
        };
        let number = |name| parameter(name).and_then(|(_, v)| v.parse::<u64>().ok());
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let (kind, name, rest) = (parts.next().unwrap_or(""), parts.next(), parts.next());
        match (request.method.as_str(), name) {
            ("GET", None) if number("watch").is_some() => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                (200, self.watch(kind, number("watch").unwrap_or(0), wait))
            }
            ("GET", None) => {
                let after = parameter("since_revision").map_or("", |(_, name)| name);
                (200, self.list(kind, after))
            }
            ("GET", Some(name)) => {
                let objects = self.objects.lock().unwrap();
                match objects.all.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, render(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", Some(name)) => {
                if self.remove(kind, name) {
                    (200, "{}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
            (method, name) => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let metadata = json_field(&body, "metadata").unwrap_or("{}");
                let own = json_field(metadata, "name").unwrap_or("").trim_matches('"');
                let name = name.unwrap_or(own);
                let known = {
                    let objects = self.objects.lock().unwrap();
                    objects.all.get(&(kind.to_owned(), name.to_owned())).map(|o| o.revision)
                };
                let expected = json_field(metadata, "revision").and_then(|r| r.parse::<u64>().ok());
                let conflicts = match method {
                    "POST" => known.is_some(),
                    _ => expected.is_some_and(|expected| Some(expected) != known),
                };
                if conflicts {
                    return (409, "{}".to_owned());
                }
                match rest {
                    Some("status") => self.write(kind, name, None, json_field(&body, "status")),
                    _ => self.write(kind, name, json_field(&body, "spec"), None),
                };
                (200, "{}".to_owned())
            }
        }
    }

    /// Lists the objects of a kind whose names are greater than `after`.
    fn list(&self, kind: &str, after: &str) -> String {
        let objects = self.objects.lock().unwrap();
        let of_kind =
            objects.all.iter().filter(|((k, name), _)| k == kind && after < name.as_str());
        let items: Vec<String> = of_kind.map(|((_, name), object)| render(name, object)).collect();
        let has_more = PAGE_ITEMS < items.len();
        let page = items[..items.len().min(PAGE_ITEMS)].join(",");
        let text =
            format!("{{\"items\":[{page}],\"more\":{has_more},\"at\":{}}}", objects.revision);
        drop(objects);
        if kind == "servers" && has_more {
            let hook = self.after_page.lock().unwrap().take();
            hook.into_iter().for_each(|hook| hook());
        }
        text
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let changes = objects.changes.iter().filter(|c| from < c.revision && c.kind == kind);
            let events: Vec<String> = changes
                .map(|c| format!("{{\"gone\":{},\"object\":{}}}", c.gone, c.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = objects.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------
// A link that may fall silent

/// Passes connections on to a server. Open ones may go silent: what is sent on them is lost, and
/// neither end learns of it. New ones work.
pub struct Relay {
    pub addr: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
}

#[derive(Default)]
struct Link {
    is_silent: AtomicBool,
    is_closed: AtomicBool,
    /// The last thing that the client sent.
    sent: Mutex<String>,
}

impl Relay {
    pub fn start(to: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.74.3.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let links = Arc::<Mutex<Vec<Arc<Link>>>>::default();
        let all = links.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(to) else { continue };
                let link = Arc::new(Link::default());
                all.lock().unwrap().push(link.clone());
                let (Ok(near_2), Ok(far_2)) = (near.try_clone(), far.try_clone()) else { continue };
                let link_2 = link.clone();
                thread::spawn(move || pump(near, far, &link, false));
                thread::spawn(move || pump(far_2, near_2, &link_2, true));
            }
        });
        Relay { addr, links }
    }

    /// Lets the open connections go silent on which the client last sent a text that contains
    /// `part`. Returns how many there are, and how many stay as they are.
    pub fn silence(&self, part: &str) -> (usize, usize) {
        let links = self.links.lock().unwrap();
        let open = links.iter().filter(|link| !link.is_closed.load(Ordering::Relaxed));
        let (chosen, others): (Vec<_>, Vec<_>) =
            open.partition(|link| link.sent.lock().unwrap().contains(part));
        chosen.iter().for_each(|link| link.is_silent.store(true, Ordering::Relaxed));
        (chosen.len(), others.len())
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link, is_server: bool) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(len) = from.read(&mut buf) {
        if len == 0 {
            break;
        }
        if link.is_silent.load(Ordering::Relaxed) {
            continue;
        }
        if !is_server {
            *link.sent.lock().unwrap() = String::from_utf8_lossy(&buf[..len]).into_owned();
        }
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    link.is_closed.store(true, Ordering::Relaxed);
    if !link.is_silent.load(Ordering::Relaxed) {
        let _ = to.shutdown(std::net::Shutdown::Both);
    }
}

// ---------------------------------------------------------------------------------------------
// Engines

/// One run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub id: String,
    /// The status of the engine's answer.
    pub status: u16,
    /// Milliseconds since the start of the record.
    pub at: u64,
}

/// How an engine of a plain service behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    pub work_ms: u64,
    pub body_bytes: usize,
    pub slots: usize,
    /// If not zero, answers have no length: so many lines follow each other after `work_ms`, and the
    /// connection ends.
    pub lines: usize,
    /// Of a hundred requests, so many fail with the engine's own 500.
    pub failed_percent: usize,
    /// Of a hundred answers, so many are followed by a piece of a surplus one, which comes in the
    /// place of the next answer.
    pub surplus_percent: usize,
}

/// An engine without faults, whose fields are overridden.
pub const SOUND: EngineSettings = EngineSettings {
    work_ms: 30,
    body_bytes: 800,
    slots: 6,
    lines: 0,
    failed_percent: 0,
    surplus_percent: 0,
};

/// The piece of a surplus answer: it breaks off in its status line.
const SURPLUS: &[u8] = b"HTTP/1.1 200 ";

/// A number from 0 to 99 that an attempt's id and `salt` decide.
fn draw(attempt: &str, salt: u64) -> usize {
    let hash = attempt.bytes().fold(0xcbf2_9ce4_8422_2325 ^ salt, |hash: u64, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    ((hash ^ (hash >> 29)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % 100
}

/// A line of an answer without a length.
pub const LINE: &str = "this line is part of an answer\n";

/// The main function of an engine process: ADDRESS ID WORK_MS BODY_BYTES SLOTS
/// LINES FAILED_PERCENT SURPLUS_PERCENT. It prints a line
/// for each request that it begins to run. A line on its standard input says that it leaves.
pub fn run_engine(args: &[String]) -> i32 {
    let Ok(listener) = TcpListener::bind(&args[0]) else { return NOT_RUN };
    let id = args[1].clone();
    let number = |n: usize| args[n].parse::<usize>().unwrap_or(0);
    let settings = EngineSettings {
        work_ms: number(2) as u64,
        body_bytes: number(3),
        slots: number(4),
        lines: number(5),
        failed_percent: number(6),
        surplus_percent: number(7),
    };
    let is_leaving = Arc::new(AtomicBool::new(false));
    let leaving = is_leaving.clone();
    thread::spawn(move || {
        let mut line = String::new();
        while std::io::stdin().read_line(&mut line).is_ok_and(|n| n != 0) {
            leaving.store(true, Ordering::Relaxed);
        }
    });
    println!("READY");
    let slots = Arc::new((Mutex::new(settings.slots), Condvar::new()));
    for stream in listener.incoming().flatten() {
        let (id, slots, is_leaving) = (id.clone(), slots.clone(), is_leaving.clone());
        thread::spawn(move || serve_engine(stream, &id, settings, &slots, &is_leaving));
    }
    HELD
}

fn serve_engine(
    mut stream: TcpStream,
    id: &str,
    settings: EngineSettings,
    slots: &(Mutex<usize>, Condvar),
    is_leaving: &AtomicBool,
) {
    let _ = stream.set_nodelay(true);
    let Ok(reading) = stream.try_clone() else { return };
    let mut reader = BufReader::new(reading);
    let mut has_surplus = false;
    while let Some(request) = read_request(&mut reader) {
        if std::mem::take(&mut has_surplus) {
            println!("SURPLUS");
            if stream.write_all(SURPLUS).is_err() {
                return;
            }
        }
        let leaves = is_leaving.load(Ordering::Relaxed);
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let (status, more, body) = if request.path == "/healthz" {
            (if leaves { 503 } else { 200 }, String::new(), String::new())
        } else if request.header("expect-instance").is_some_and(|expected| expected != id) {
            (421, "Not-Executed: 1\r\n".to_owned(), String::new())
        } else {
            let mut free = slots.0.lock().unwrap();
            while *free == 0 {
                free = slots.1.wait(free).unwrap();
            }
            *free -= 1;
            drop(free);
            let fails = draw(&attempt, 1) < settings.failed_percent;
            has_surplus = draw(&attempt, 2) < settings.surplus_percent;
            let status = if fails { 500 } else { 200 };
            println!("RUN {} {} {} {status}", unix_ms(), attempt, request.path);
            if settings.lines != 0 {
                let _ = send_lines(&mut stream, id, &attempt, settings);
                *slots.0.lock().unwrap() += 1;
                slots.1.notify_one();
                return;
            }
            sleep_ms(settings.work_ms);
            *slots.0.lock().unwrap() += 1;
            slots.1.notify_one();
            (status, format!("Server-Signature: sig-{id}\r\n"), "x".repeat(settings.body_bytes))
        };
        let attempt =
            if attempt.is_empty() { attempt } else { format!("Attempt-Id: {attempt}\r\n") };
        let end = if leaves { "Connection: close\r\n" } else { "Keep-Alive: timeout=5\r\n" };
        let head = format!(
            "HTTP/1.1 {status} Status\r\nInstance-Id: {id}\r\n{attempt}{more}{end}\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all(format!("{head}{body}").as_bytes()).is_err() || leaves {
            return;
        }
    }
}

/// Sends an answer without a length, line by line.
fn send_lines(
    stream: &mut TcpStream,
    id: &str,
    attempt: &str,
    settings: EngineSettings,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nAttempt-Id: {attempt}\r\n\
         Server-Signature: sig-{id}\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for _ in 0..settings.lines {
        sleep_ms(settings.work_ms);
        stream.write_all(LINE.as_bytes())?;
    }
    Ok(())
}

/// A running engine process.
pub struct Engine {
    pub id: String,
    pub addr: SocketAddr,
    child: Child,
    entry: String,
}

impl Engine {
    /// The process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process.
    pub fn crash(&mut self, rig: &Rig) {
        send_signal(self.child.id(), SIGKILL);
        let _ = self.child.wait();
        rig.record.line(&format!("engine {} is killed", self.id));
    }

    /// Kills the process. Its entry lapses after three heartbeats without a write.
    pub fn kill(&mut self, rig: &Rig) {
        self.crash(rig);
        let (store, record, id) = (rig.store.clone(), rig.record.clone(), self.id.clone());
        thread::spawn(move || {
            thread::sleep(HEARTBEAT * 3);
            if store.remove("servers", &id) {
                record.line(&format!("the entry of engine {id} lapses"));
            }
        });
    }

    /// Tells the process that the engine leaves.
    pub fn note_leaving(&mut self) {
        if let Some(stdin) = &mut self.child.stdin {
            let _ = writeln!(stdin, "leave");
        }
    }

    /// Writes to the store that the engine leaves, and returns when the store has taken it.
    pub fn leaving_entry(&self, rig: &Rig) -> impl FnOnce() -> u64 + Send + use<> {
        let (store, record, id) = (rig.store.clone(), rig.record.clone(), self.id.clone());
        let spec = self.entry.replace("\"ready\"", "\"draining\"");
        move || {
            store.put("servers", &id, &spec);
            record.line(&format!("the store acknowledges that engine {id} is draining"));
            record.now()
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn entry(service: &str, addr: SocketAddr, zone: &str, slots: usize) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\
         \"sequence\":1,\"born\":{}}}",
        unix_ms()
    )
}

// ---------------------------------------------------------------------------------------------
// The deployment

/// A process of the system, and whether the balancer hands it new connections.
pub struct BoxProcess {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    pub is_in: Arc<AtomicBool>,
    settings: PathBuf,
    log: PathBuf,
}

impl BoxProcess {
    /// Kills the process and starts it again at once, with the settings of a later start.
    pub fn kill_and_restart(&mut self) -> Option<()> {
        send_signal(self.child.id(), SIGKILL);
        self.child.wait().ok()?;
        let settings = std::fs::read_to_string(&self.settings).ok()?;
        let settings = settings.replace("first-start = true", "first-start = false");
        std::fs::write(&self.settings, settings).ok()?;
        self.child = start_proxy(&self.settings, &self.log)?;
        Some(())
    }
}

fn start_proxy(settings: &PathBuf, log: &PathBuf) -> Option<Child> {
    let log = File::options().create(true).append(true).open(log).ok()?;
    let mut command = Command::new("target/release/frostdyke-proxy");
    command.env("FROSTDYKE_CONFIG", settings).stdin(Stdio::null());
    command.stdout(log.try_clone().ok()?).stderr(log);
    spawn(&mut command)
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A small deployment.
pub struct Rig {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub dir: PathBuf,
    /// Where the boxes find the store.
    pub store_addr: SocketAddr,
    next_id: AtomicU64,
    case: u8,
}

impl Drop for Rig {
    fn drop(&mut self) {
        // With KEEP set, the logs of the boxes stay.
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// The address of the box with this number in a case. All are loopback addresses.
fn box_ip(case: u8, n: usize) -> IpAddr {
    IpAddr::from([127, 74, case, 10 + n as u8])
}

/// The address of all engines of a case.
fn engine_ip(case: u8) -> IpAddr {
    IpAddr::from([127, 74, case, 1])
}

fn free_addr(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().unwrap()
}

/// The values of a box that differ between deployments.
#[derive(Clone, Copy)]
pub struct Machine {
    pub cores: f64,
    pub memory_mb: usize,
    pub contracts: &'static str,
    pub slack: f64,
}

/// A machine of the deployment of `sites/bdpa-wallet.toml`.
pub const WALLET_MACHINE: Machine = Machine {
    cores: 0.25,
    memory_mb: 260,
    contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
    slack: 58.0,
};

impl Rig {
    pub fn new(record: Arc<Record>, case: u8) -> Rig {
        let dir = std::env::temp_dir().join(format!("frostdyke-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Arc::new(Store::default());
        let store_addr = store.serve();
        let (runs, next_id) = (Arc::default(), AtomicU64::new(1));
        Rig { record, store, runs, dir, store_addr, next_id, case }
    }

    /// An id for a client attempt.
    pub fn attempt_id(&self) -> String {
        format!("{:016x}", 0x5e00_0000_0000_0000 + self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Starts the boxes, one for each of `zones`, and waits until all are ready. The balancer asks
    /// each once a second from then on.
    pub fn start_boxes(&self, zones: &[&str], machine: Machine) -> Option<Vec<BoxProcess>> {
        let ips: Vec<IpAddr> = (0..zones.len()).map(|n| box_ip(self.case, n)).collect();
        let port = (20_000..30_000).find(|port| {
            let all: Vec<_> = ips.iter().map(|ip| UdpSocket::bind((*ip, *port))).collect();
            all.iter().all(Result::is_ok)
        })?;
        let peers: Vec<SocketAddr> = ips.iter().map(|ip| free_addr(*ip)).collect();
        let seeds: Vec<String> = peers.iter().take(3).map(SocketAddr::to_string).collect();
        let mut boxes = Vec::new();
        for (n, (zone, ip)) in zones.iter().zip(&ips).enumerate() {
            let name = format!("edge-{zone}-{n}");
            let (callers, ready) = (free_addr(*ip), free_addr(*ip));
            let Machine { cores, memory_mb, contracts, slack } = machine;
            let settings = format!(
                "[box]\nname = {name}\nzone = {zone}\ncores = {cores}\ndescriptors = 4100\n\
                 memory-mb = {memory_mb}\nfirst-start = true\n\n\
                 [memory]\nheld-share = 0.25\nfeatures = {contracts}\n\n\
                 [listen]\ncallers = {callers}\nready = {ready}\npeers = {}\n\
                 datagrams = {ip}:{port}\n\n\
                 [store]\naddress = {}\nevacuations = false\nrollouts = false\n\n\
                 [peers]\nseeds = {}\n\n[stop]\nwithin-s = 8\n\n\
                 [repeats]\nratio = 0.2\nslack = {slack}\nwindow-s = 10\n\n\
                 [small-batch]\nslots-max = 16\nqueue = true\nown-speed = false\n\
                 headroom = false\nprefer-connected = true\n\n[log]\nformat = json\n\n\
                 [streams]\nlate-max-ms = 120\n\n[shares]\nwindow-s = 4\n",
                peers[n],
                self.store_addr,
                seeds.join(","),
            );
            let path = self.dir.join(format!("{name}.ini"));
            std::fs::write(&path, settings).ok()?;
            let log = self.dir.join(format!("{name}.log"));
            let child = start_proxy(&path, &log)?;
            let is_in = Arc::new(AtomicBool::new(false));
            boxes.push(BoxProcess {
                name,
                zone: (*zone).to_owned(),
                callers,
                ready,
                child,
                is_in,
                settings: path,
                log,
            });
        }
        let began = Instant::now();
        while !boxes.iter().all(|b| asks_ready(b.ready)) {
            if Duration::from_secs(15) < began.elapsed() {
                return None;
            }
            sleep_ms(50);
        }
        boxes.iter().for_each(|b| self.balance(b));
        self.record.line(&format!("{} boxes are ready", boxes.len()));
        Some(boxes)
    }

    fn balance(&self, b: &BoxProcess) {
        b.is_in.store(true, Ordering::Relaxed);
        let (ready, is_in) = (b.ready, b.is_in.clone());
        thread::spawn(move || {
            let mut misses = 0;
            loop {
                sleep_ms(1000);
                misses = if asks_ready(ready) { 0 } else { misses + 1 };
                is_in.store(misses < 2, Ordering::Relaxed);
            }
        });
    }

    /// Starts an engine process of a plain service and lists it.
    pub fn start_engine(
        &self,
        id: &str,
        addr: Option<SocketAddr>,
        service: &str,
        zone: &str,
        settings: EngineSettings,
    ) -> Option<Engine> {
        let addr = addr.unwrap_or_else(|| free_addr(engine_ip(self.case)));
        let EngineSettings { work_ms, body_bytes, slots, .. } = settings;
        let mut command = Command::new(std::env::current_exe().ok()?);
        command.args(["engine", &addr.to_string(), id]);
        command.args([work_ms.to_string(), body_bytes.to_string(), slots.to_string()]);
        let more = [settings.lines, settings.failed_percent, settings.surplus_percent];
        command.args(more.map(|number| number.to_string()));
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = spawn(&mut command)?;
        let mut lines = BufReader::new(child.stdout.take()?).lines();
        if lines.next()?.ok()? != "READY" {
            return None;
        }
        let (runs, record, engine) = (self.runs.clone(), self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let words: Vec<&str> = line.split(' ').collect();
                let ["RUN", at, attempt, path, status] = words[..] else {
                    record.line(&format!("engine {engine}: {line}"));
                    continue;
                };
                let at = record.at(at.parse().unwrap_or(0));
                record.line_at(
                    at,
                    &format!("engine {engine} runs {attempt} {path}, answers {status}"),
                );
                runs.lock().unwrap().push(Run {
                    engine: engine.clone(),
                    id: attempt.to_owned(),
                    status: status.parse().unwrap_or(0),
                    at,
                });
            }
        });
        let entry = entry(service, addr, zone, slots);
        self.store.put("servers", id, &entry);
        self.record.line(&format!("engine {id} starts at {addr}"));
        Some(Engine { id: id.to_owned(), addr, child, entry })
    }
}

/// Starts a process that ends with this one.
fn spawn(command: &mut Command) -> Option<Child> {
    // SAFETY: `prctl` may be called between `fork` and `exec`.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn().ok()
}

/// Asks a box whether it is ready, as the platform does.
pub fn asks_ready(addr: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let request = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    stream.write_all(request.as_bytes()).is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b"200")
}

/// A route of the configuration, as JSON.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, aim_ms: u64) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"h.example\",\"path_prefix\":\"/{name}/\",\
         \"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{aim_ms},\
         \"priority\":2,\"service\":\"{service}\",\"max_attempts\":{},\"anonymous\":true,\
         \"affinity\":false,\"resumable\":false}}",
        if kind == "safe" { 2 } else { 1 }
    )
}

/// A configuration with these routes and one plain service, as JSON.
pub fn configuration(
    version: u64,
    routes: &[String],
    service: &str,
    header_bytes: usize,
) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\
         \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":{header_bytes},\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":290000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"asnmgkcuyj8pjbvk9m68\"],\
         \"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Whether an answer with a status says that the request may be retried elsewhere, and after which
/// time.
pub fn retry_after(answer: &Answer) -> Option<Duration> {
    let seconds: f64 = answer.headers.get("retry-after")?.parse().ok()?;
    Some(Duration::from_secs_f64(seconds.clamp(0.0, 1e6)))
}
