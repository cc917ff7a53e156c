//! Stand-ins for the platform's store, for engines and for clients, and the start of
//! `frostdyke-proxy` with its deployed settings. Plain TCP and threads, no dependencies.

#![allow(dead_code, reason = "each case uses a part")]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitCode;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// The exit code of a case that couldn't run.
pub const NOT_RUN: u8 = 2;

/// How long the proxies may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

mod sys {
    unsafe extern "C" {
        pub fn listen(fd: i32, backlog: i32) -> i32;
    }
}

/// Writes `record.txt`, with the time since the start before each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {}", text.as_ref()).unwrap();
    }
}

/// An HTTP/1.1 message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

impl Message {
    /// The value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// The status of a response; zero if there was none.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message whose body has a length or chunks. `None` if the connection ends before its head
/// is complete.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    message.is_complete = read_body(reader, &mut message).is_ok();
    Some(message)
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let is_whole = reader.read_line(&mut line).is_ok() && line.ends_with('\n');
    is_whole.then(|| line.trim_end().to_owned())
}

fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message { start_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else { return Some(message) };
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding") != "chunked" {
        let len = message.header("content-length").parse().unwrap_or(0);
        let received = reader.take(len).read_to_end(&mut message.body)?;
        return if received as u64 == len { Ok(()) } else { Err(cut()) };
    }
    loop {
        let size = read_line(reader).ok_or_else(cut)?;
        let size = u64::from_str_radix(&size, 16).map_err(|_| cut())?;
        if reader.take(size).read_to_end(&mut message.body)? as u64 != size {
            return Err(cut());
        }
        read_line(reader).ok_or_else(cut)?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn cut() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

/// Accepts connections until the process ends, each served by a thread of its own.
fn serve(listener: TcpListener, connection: impl Fn(TcpStream) + Send + Sync + 'static) {
    let connection = Arc::new(connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let connection = connection.clone();
            thread::spawn(move || connection(stream));
        }
    });
}

/// The platform's store, in memory. Specs are kept as the JSON text that was written.
pub struct Store {
    inner: Mutex<StoreContent>,
    changed: Condvar,
    pub addr: SocketAddr,
}

#[derive(Default)]
struct StoreContent {
    revision: u64,
    /// Specs by kind and name, each with the revision of its last change.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, String)>,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Arc::new(Store { inner: Mutex::default(), changed: Condvar::new(), addr });
        let serving = store.clone();
        serve(listener, move |stream| serving.connection(stream));
        store
    }

    /// Creates or replaces an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        inner.objects.insert((kind.to_owned(), name.to_owned()), (revision, spec.to_owned()));
        let event = format!(r#"{{"gone":false,"object":{}}}"#, object(name, revision, spec));
        inner.history.push((revision, kind.to_owned(), event));
        drop(inner);
        self.changed.notify_all();
    }

    fn connection(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        let mut stream = stream;
        while let Some(req) = read_message(&mut reader) {
            let (status, body) = self.answer(&req);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (u16, String) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let parameters: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let mut path = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (path.next().unwrap_or_default(), path.next());
        match (req.method(), name) {
            ("GET", Some(name)) => self.get(kind, name),
            ("GET", None) => match parameters.get("watch").and_then(|w| w.parse().ok()) {
                Some(from) => {
                    let wait = parameters.get("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
                    self.watch(kind, from, Duration::from_millis(wait))
                }
                None => self.list(kind),
            },
            // The program writes objects only about engines that crash and about several versions
            // of a service, which these cases don't have.
            _ => (503, "{}".to_owned()),
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let inner = self.inner.lock().unwrap();
        let found = inner.objects.get(&(kind.to_owned(), name.to_owned()));
        found
            .map_or((404, "{}".to_owned()), |(revision, spec)| (200, object(name, *revision, spec)))
    }

    fn list(&self, kind: &str) -> (u16, String) {
        let inner = self.inner.lock().unwrap();
        let of_kind = inner.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<String> =
            of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let (items, at) = (items.join(","), inner.revision);
        (200, format!(r#"{{"items":[{items}],"more":false,"at":{at}}}"#))
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut inner = self.inner.lock().unwrap();
        loop {
            let is_due = |(revision, k, _): &&(u64, String, String)| from < *revision && k == kind;
            let events: Vec<&str> =
                inner.history.iter().filter(is_due).map(|(.., event)| &**event).collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                let (events, at) = (events.join(","), inner.revision);
                return (200, format!(r#"{{"events":[{events}],"at":{at}}}"#));
            }
            inner = self.changed.wait_timeout(inner, remaining).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":1,"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub id: String,
}

/// The requests that engines ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What an engine does with a request that it runs.
pub trait EngineBehavior: Send + Sync + 'static {
    /// Writes the response to a request. `head` has the id and the signature.
    fn respond(&self, req: &Message, head: &str, stream: &mut TcpStream) -> io::Result<()>;
}

/// An engine of a plain service, which answers a request with a body of this many bytes.
pub struct Answering(pub usize);

impl EngineBehavior for Answering {
    fn respond(&self, _req: &Message, head: &str, stream: &mut TcpStream) -> io::Result<()> {
        let body = vec![b'x'; self.0];
        stream.write_all(
            format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\n", body.len()).as_bytes(),
        )?;
        stream.write_all(&body)
    }
}

/// Starts an engine and returns its address.
pub fn start_engine(
    name: &str,
    behavior: impl EngineBehavior,
    runs: &Runs,
    record: &Record,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (name, runs, record) = (name.to_owned(), runs.clone(), record.clone());
    serve(listener, move |stream| {
        // An error means that the program has closed the connection.
        let _ = engine_connection(&name, &behavior, &runs, &record, stream);
    });
    addr
}

fn engine_connection(
    name: &str,
    behavior: &impl EngineBehavior,
    runs: &Runs,
    record: &Record,
    mut stream: TcpStream,
) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(req) = read_message(&mut reader) {
        let id = req.header("attempt-id");
        if id.is_empty() {
            // A health check.
            let text =
                format!("HTTP/1.1 200 OK\r\nInstance-Id: {name}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes())?;
            continue;
        }
        let expected = req.header("expect-instance");
        if !req.is_complete || (!expected.is_empty() && expected != name) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\n\
                 Instance-Id: {name}\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            continue;
        }
        record.line(format!("engine {name} runs {id}"));
        runs.lock().unwrap().push(Run { engine: name.to_owned(), id: id.to_owned() });
        let head = format!("Attempt-Id: {id}\r\nServer-Signature: {name}.{id}\r\n");
        behavior.respond(&req, &head, &mut stream)?;
        record.line(format!("engine {name} has answered {id}"));
    }
    Ok(())
}

/// The entry of a ready engine in the store.
pub fn engine_entry(service: &str, addr: SocketAddr, zone: &str) -> String {
    format!(
        r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":1}}"#
    )
}

/// A route of the configuration.
pub struct Route {
    pub name: &'static str,
    /// The type of the route, or `resumable` for a streaming route that is.
    pub kind: &'static str,
    pub timeout_ms: u32,
}

/// The host of all routes.
pub const HOST: &str = "ficu95.example";

/// The only key.
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// The only service.
pub const SERVICE: &str = "wuno96b";

/// A configuration of one plain service, whose routes' prefixes are their names.
pub fn configuration(version: u64, routes: &[Route]) -> String {
    let route = |r: &Route| {
        let is_resumable = r.kind == "resumable";
        format!(
            r#"{{"name":"r-{0}","host":"{HOST}","path_prefix":"/{0}/","route_type":"{1}","timeout_ms":{2},"target_latency_ms":150,"priority":2,"service":"{SERVICE}","max_attempts":2,"anonymous":false,"affinity":{3},"resumable":{3},"target_itl_ms":400}}"#,
            r.name,
            if is_resumable { "streaming" } else { r.kind },
            r.timeout_ms,
            is_resumable
        )
    };
    let routes: Vec<String> = routes.iter().map(route).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","health_path":"/healthz","max_conns":110,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":15000,"tokens_per_s":300000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// A `frostdyke-proxy` process on an address of its own.
pub struct Proxy {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    fields: HashMap<String, String>,
    child: Option<Child>,
}

impl Proxy {
    /// Starts the program as the deploy file says.
    fn spawn(&mut self, record: &Record) -> io::Result<()> {
        let template = std::fs::read_to_string("deploy/proxy.ini.template")?;
        std::fs::write(&self.settings, fill(&template, &self.fields))?;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/frostdyke-proxy")
            .env("FROSTDYKE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.line(format!("box {} starts", self.name));
        self.child = Some(child);
        Ok(())
    }

    /// Starts the program again after its end.
    pub fn restart(&mut self, record: &Record) -> io::Result<()> {
        self.fields.insert("bootstrap".to_owned(), "false".to_owned());
        self.spawn(record)
    }

    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            record.line(format!("box {} is killed", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether the box says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let sent = stream.write_all(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
        sent.is_ok()
            && read_message(&mut BufReader::new(stream)).is_some_and(|resp| resp.status() == 200)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Fills a template in the way that the platform does, as far as the deployed one needs it.
fn fill(template: &str, fields: &HashMap<String, String>) -> String {
    let mut filled = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        filled.push_str(before);
        let (tag, after) = after.split_once("}}").expect("an end of each gap");
        rest = after;
        let (is_section, wants_value) = (tag.starts_with(['#', '^']), tag.starts_with('#'));
        if !is_section {
            filled.push_str(fields.get(tag).map_or("", |value| value));
            continue;
        }
        let name = &tag[1..];
        let (inner, after) =
            rest.split_once(&format!("{{{{/{name}}}}}")).expect("an end of each section");
        rest = after;
        if fields.contains_key(name) == wants_value {
            filled.push_str(&fill(inner, fields));
        }
    }
    filled + rest
}

/// A small deployment: one box in each of three zones.
pub struct Deployment {
    pub store: Arc<Store>,
    pub boxes: Vec<Proxy>,
    dir: PathBuf,
}

pub const ZONES: [&str; 3] = ["qc-hall-a", "pasig-hall-b", "clark-hall-c"];

impl Deployment {
    /// Starts the boxes, in a temporary folder, and waits until they are ready. `extra_contracts`
    /// are those of the site that not all sites have, each with a comma behind it.
    pub fn start(
        store: Arc<Store>,
        extra_contracts: &str,
        record: &Record,
    ) -> io::Result<Deployment> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("frostdyke-review-{pid}"));
        std::fs::create_dir_all(&dir)?;
        // Addresses that other runs at the same time don't have.
        let ip =
            |n: usize| Ipv4Addr::new(127, 100 + (pid >> 8) as u8 % 100, pid as u8, 1 + n as u8);
        let [callers, ready, control, datagrams] = free_ports(ip(0))?;
        let at = |n: usize, port: u16| SocketAddr::V4(SocketAddrV4::new(ip(n), port));
        let seeds: Vec<String> = (0..ZONES.len()).map(|n| at(n, control).to_string()).collect();
        let mut boxes = Vec::new();
        for (n, zone) in ZONES.iter().enumerate() {
            let name = format!("edge-{zone}-1");
            let fields = [
                ("node_name", name.clone()),
                ("zone", (*zone).to_owned()),
                ("limits.cpu_quota", "0.25".to_owned()),
                ("limits.max_fds", "4100".to_owned()),
                ("limits.memory_mb", "260".to_owned()),
                ("bootstrap", "true".to_owned()),
                (
                    "contracts",
                    format!(
                        "base,drain,config,cost,retry,recover,{extra_contracts}engine,stream,\
                         tenants,platform"
                    ),
                ),
                ("listen.frontend", at(n, callers).to_string()),
                ("listen.ready", at(n, ready).to_string()),
                ("listen.control_plane", at(n, control).to_string()),
                ("ip", ip(n).to_string()),
                ("port_range.0", datagrams.to_string()),
                ("platform.address", store.addr.to_string()),
                ("seeds", seeds.join(",")),
                ("bounds.grace_s", "8".to_owned()),
                ("bounds.retry_ratio", "0.2".to_owned()),
                ("bounds.retry_slack", "58".to_owned()),
                ("bounds.retry_window_s", "10".to_owned()),
                ("bounds.iteration_ms", "120".to_owned()),
                ("bounds.quota_window_s", "4".to_owned()),
            ];
            let mut proxy = Proxy {
                callers: at(n, callers),
                ready: at(n, ready),
                settings: dir.join(format!("{name}.ini")),
                log: dir.join(format!("{name}.log")),
                fields: fields.map(|(name, value)| (name.to_owned(), value)).into(),
                child: None,
                name,
            };
            proxy.spawn(record)?;
            boxes.push(proxy);
        }
        let deployment = Deployment { store, boxes, dir };
        deployment.wait_ready(READY_TIMEOUT)?;
        record.line("all boxes are ready");
        Ok(deployment)
    }

    /// Waits until all boxes are ready.
    pub fn wait_ready(&self, timeout: Duration) -> io::Result<()> {
        let until = Instant::now() + timeout;
        while !self.boxes.iter().all(Proxy::is_ready) {
            if until < Instant::now() {
                return Err(io::Error::other("the boxes don't get ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.boxes.clear();
        // `KEEP=1` leaves the logs for a look.
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
        }
    }
}

fn free_ports(ip: Ipv4Addr) -> io::Result<[u16; 4]> {
    let listeners: io::Result<Vec<TcpListener>> =
        (0..4).map(|_| TcpListener::bind((ip, 0))).collect();
    let ports: io::Result<Vec<u16>> =
        listeners?.iter().map(|l| l.local_addr().map(|addr| addr.port())).collect();
    Ok(ports?.try_into().expect("four ports"))
}

/// The bytes of a client's request.
pub fn request(method: &str, route: &str, id: &str, deadline_ms: u32, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "{method} /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nKey: {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Sends a request on a new connection. `None` if there is no response within `timeout`.
pub fn send(to: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Makes new connections to a listener hang, as those to a machine without power do: its queue is
/// full, so the kernel drops their first packet. Nothing may accept from it any more. Returns the
/// connections that fill the queue.
pub fn silence(listener: &TcpListener) -> io::Result<Vec<TcpStream>> {
    use std::os::fd::AsRawFd;

    const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

    // SAFETY: a system call without pointers, on a descriptor that is open.
    if unsafe { sys::listen(listener.as_raw_fd(), 0) } != 0 {
        return Err(io::Error::last_os_error());
    }
    let addr = listener.local_addr()?;
    let fill = || TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT).ok();
    Ok(std::iter::from_fn(fill).collect())
}

/// Whether the run has the disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case in the folder given as the first argument, and returns its exit code: 1 if the rule
/// was broken.
pub fn run(case: impl FnOnce(&Record) -> io::Result<bool>) -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let record = match Record::create(&Path::new(&folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("record.txt: {e}");
            return ExitCode::from(NOT_RUN);
        }
    };
    match case(&record) {
        Ok(is_broken) => {
            let text = if is_broken { "the rule was broken" } else { "the rule held" };
            record.line(text);
            println!("{text}");
            ExitCode::from(u8::from(is_broken))
        }
        Err(e) => {
            record.line(format!("the case couldn't run: {e}"));
            eprintln!("the case couldn't run: {e}");
            ExitCode::from(NOT_RUN)
        }
    }
}
