//! Real router processes over in-process stand-ins. All ports are free ones, all waiting is on
//! conditions, and whatever was started ends with the fleet.
#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use frostdyke_standin::engine;
use frostdyke_standin::engine::Engine;
use frostdyke_standin::platform::Platform;
use frostdyke_standin::service::Service;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

/// The token of the operator `jo`.
pub const TOKEN: &str = "test token";

/// How long anything may take that a test waits for.
const PATIENCE: Duration = Duration::from_secs(20);

/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(10);

static FLEETS: AtomicU64 = AtomicU64::new(0);

/// Held while ports are drawn and while a process is started. A child that is being started has a
/// copy of every open socket for a moment, and a port that was drawn stays taken as long.
static PORTS_OR_CHILDREN: Mutex<()> = Mutex::new(());

/// What to start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Boxes per zone.
    pub zones: Vec<usize>,
    pub slots: u32,
    pub token: Duration,
    pub delay: Duration,
    /// Whether the engines check the fences of orders.
    pub checks_fence: bool,
    pub extra: String,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            zones: vec![1],
            slots: 8,
            token: Duration::from_millis(2),
            delay: Duration::from_millis(1),
            checks_fence: true,
            extra: String::new(),
        }
    }
}

/// A running fleet: an engine and a service per zone, and the routers.
pub struct Fleet {
    pub platform: Platform,
    pub engines: Vec<Engine>,
    pub services: Vec<Service>,
    pub routers: Vec<Router>,
    pub configuration: Value,
    operators: Vec<Child>,
    pub controllers: Vec<Child>,
    number: u64,
    dir: PathBuf,
}

/// A router process.
pub struct Router {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub request: String,
    pub retry_after: Option<u64>,
    pub body: String,
    /// Whether the body came whole.
    pub whole: bool,
}

impl Fleet {
    pub fn start(setup: &Setup) -> Fleet {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("frostdyke-test-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let platform = Platform::start(any_port()).expect("the platform starts");
        let mut fleet = Fleet {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            configuration: Value::Null,
            operators: Vec::new(),
            controllers: Vec::new(),
            number,
            dir,
        };
        fleet.start_upstreams(setup);
        fleet.configure();
        fleet.write_settings(setup);
        for i in 0..fleet.routers.len() {
            fleet.start_router(i);
        }
        for router in &fleet.routers {
            router.wait_ready();
        }
        fleet.wait_joined();
        fleet
    }

    fn start_upstreams(&mut self, setup: &Setup) {
        let mut upstreams = Vec::new();
        for zone in 0..setup.zones.len() {
            let settings = engine::Settings {
                slots: setup.slots as usize,
                token_interval: setup.token,
                checks_fence: setup.checks_fence,
                ..engine::Settings::default()
            };
            let engine = Engine::start(any_port(), settings).expect("an engine starts");
            let service = Service::start(any_port(), setup.delay).expect("a service starts");
            let (slots, zone_name) = (setup.slots, format!("zone-{zone}"));
            upstreams.push(json!({"name": format!("engine-{zone}"), "pool": "llm",
                "zone": zone_name, "address": engine.addr, "slots": slots}));
            upstreams.push(json!({"name": format!("ledger-{zone}"), "pool": "ledger",
                "zone": zone_name, "address": service.addr, "slots": slots}));
            self.engines.push(engine);
            self.services.push(service);
        }
        self.configuration = json!({
            "workspaces": [{"name": "alpha"}, {"name": "beta", "weight": 2}],
            "pools": [{"name": "llm", "unit": "tokens"},
                {"name": "ledger", "unit": "calls", "pull_margin": 2, "urgent_lead": 20,
                 "debt_cap": 200}],
            "services": [
                {"name": "assist", "pool": "llm", "path": "/v1/generate", "default_cost": 20},
                {"name": "balance", "pool": "ledger", "path": "/v1/call", "default_cost": 1},
                {"name": "transfer", "pool": "ledger", "path": "/v1/call", "default_cost": 1,
                 "repeatable": false}],
            "upstreams": upstreams,
        });
    }

    /// Writes the configuration as it is now; gives its revision.
    pub fn configure(&self) -> u64 {
        self.platform.put("frostdyke/configuration", self.configuration.to_string())
    }

    fn write_settings(&mut self, setup: &Setup) {
        std::fs::write(self.dir.join("peer-secret"), "test secret").expect("a secret");
        let guard = one_at_a_time();
        let mut held = Vec::new();
        for (zone, &boxes) in setup.zones.iter().enumerate() {
            for i in 0..boxes {
                let name = format!("box-{zone}-{i}");
                let settings = self.dir.join(format!("{name}.ini"));
                self.routers.push(Router {
                    zone: format!("zone-{zone}"),
                    callers: free_port(self.number, &mut held),
                    peers: free_port(self.number, &mut held),
                    metrics: free_port(self.number, &mut held),
                    settings,
                    child: None,
                    name,
                });
            }
        }
        drop(held);
        drop(guard);
        let listed: Vec<Value> = self
            .routers
            .iter()
            .map(|r| json!({"name": r.name, "zone": r.zone, "peer": r.peers}))
            .collect();
        self.platform.set_boxes(Value::from(listed).to_string());
        let seeds: Vec<String> =
            self.routers.iter().map(|r| format!("{} {} {}", r.name, r.zone, r.peers)).collect();
        let seeds = seeds.join(", ");
        for r in &self.routers {
            let text = format!(
                "[box]\nname = {}\nzone = {}\n\n[listen]\ncallers = {}\npeers = {}\nmetrics = {}\n\n\
                 [platform]\naddress = {}\n\n[peers]\nsecret-file = peer-secret\nseeds = {seeds}\n\n\
                 [callers]\ntrust-workspace-header = true\n{}\n",
                r.name, r.zone, r.callers, r.peers, r.metrics, self.platform.addr, setup.extra
            );
            std::fs::write(&r.settings, text).expect("settings");
        }
    }

    /// Starts an operator process; gives its port.
    pub fn start_operator(&mut self) -> SocketAddr {
        let guard = one_at_a_time();
        let addr = free_port(self.number, &mut Vec::new());
        drop(guard);
        let digest = hex::encode(Sha256::digest(TOKEN));
        std::fs::write(self.dir.join("tokens"), format!("jo {digest}\n")).expect("tokens");
        std::fs::write(self.dir.join("token"), TOKEN).expect("a token");
        let text = format!(
            "[box]\nname = box-0-0\nzone = zone-0\n\n[listen]\noperators = {addr}\n\n\
             [platform]\naddress = {}\n\n[peers]\nsecret-file = peer-secret\n\n\
             [operators]\ntokens-file = tokens\n",
            self.platform.addr
        );
        let settings = self.dir.join("operator.ini");
        std::fs::write(&settings, text).expect("settings");
        let log = std::fs::File::create(self.dir.join("operator.log")).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_frostdyke-operator"))
            .arg(&settings)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn_alone()
            .expect("the operator process starts");
        self.operators.push(child);
        wait_until("operators are served", || TcpStream::connect(addr).is_ok());
        addr
    }

    /// Starts a controller for a zone; it ends with the fleet.
    pub fn start_controller(&mut self, zone: usize) {
        let child = self.controller(zone, self.controllers.len());
        self.controllers.push(child);
    }

    /// Starts a controller for a zone, the `number`th.
    pub fn controller(&self, zone: usize, number: usize) -> Child {
        let guard = one_at_a_time();
        let metrics = free_port(self.number, &mut Vec::new());
        drop(guard);
        let text = format!(
            "[box]\nname = controller-{number}\nzone = zone-{zone}\n\n\
             [listen]\nmetrics = {metrics}\n\n[platform]\naddress = {}\n",
            self.platform.addr
        );
        let settings = self.dir.join(format!("controller-{number}.ini"));
        std::fs::write(&settings, text).expect("settings");
        let log = std::fs::File::create(settings.with_extension("log")).expect("a log");
        Command::new(env!("CARGO_BIN_EXE_frostdyke-controller"))
            .arg(&settings)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn_alone()
            .expect("the controller starts")
    }

    /// Runs `frostdykectl`.
    pub fn ctl(&self, operator: SocketAddr, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_frostdykectl"))
            .args(["--operator", &operator.to_string(), "--token-file"])
            .arg(self.dir.join("token"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn_alone()
            .and_then(Child::wait_with_output)
            .expect("it runs")
    }

    /// Waits until a revision is in force on every router.
    pub fn wait_in_force(&self, revision: u64) {
        for router in &self.routers {
            wait_until("the revision is in force", || {
                router.metric("frostdyke_revision") == Some(revision as f64)
            });
        }
    }

    pub fn start_router(&mut self, i: usize) {
        let router = &mut self.routers[i];
        let log = std::fs::File::create(router.settings.with_extension("log")).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_frostdyke-router"))
            .arg(&router.settings)
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn_alone()
            .expect("the router starts");
        router.child = Some(child);
    }

    /// Waits until every router has told another that it lives.
    fn wait_joined(&self) {
        for router in &self.routers {
            let peers = self.routers.iter().filter(|r| r.zone == router.zone).count();
            wait_until("the boxes know each other", || {
                router.metric("frostdyke_live_boxes") == Some(peers as f64)
            });
        }
    }

    pub fn log_of(&self, i: usize) -> String {
        let path = self.routers[i].settings.with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// How often each request of the services ran, over all zones.
    pub fn ran(&self, key: &str) -> u64 {
        self.services.iter().filter_map(|s| s.run_counts().get(key).copied()).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in &mut self.routers {
            router.kill();
        }
        for child in self.operators.iter_mut().chain(&mut self.controllers) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Router {
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("it runs");
        kill(Pid::from_raw(child.id() as i32), signal).expect("the process is ours");
    }

    /// Bytes of memory that the process holds.
    pub fn resident(&self) -> u64 {
        resident(self.child.as_ref().expect("it runs").id())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself; gives whether it ended well.
    pub fn wait(&mut self) -> bool {
        let mut child = self.child.take().expect("it runs");
        let mut status = None;
        wait_until("the router ends", || {
            status = child.try_wait().expect("it is ours");
            status.is_some()
        });
        status.is_some_and(|s| s.success())
    }

    pub fn wait_ready(&self) {
        let url = format!("http://{}/readyz", self.callers);
        let ready = || http().get(&url).call().is_ok_and(|r| r.status() == 200);
        wait_until("the router is ready", ready);
    }

    /// The first figure of this name on the metrics page.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let mut resp = http().get(format!("http://{}/metrics", self.metrics)).call().ok()?;
        let page = resp.body_mut().read_to_string().ok()?;
        let line = page.lines().find(|l| l.starts_with(name))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// Sends a request of workspace `alpha` and reads its answer to the end.
    pub fn send(&self, service: &str, body: &str, headers: &[(&str, &str)]) -> Reply {
        let alpha = [("frostdyke-workspace", "alpha")];
        self.send_as(service, body, &[&alpha, headers].concat())
    }

    /// Sends a request with just these headers.
    pub fn send_as(&self, service: &str, body: &str, headers: &[(&str, &str)]) -> Reply {
        let url = format!("http://{}/v1/services/{service}", self.callers);
        let mut req = http().post(url);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        match req.send(body) {
            Ok(resp) => read(resp),
            Err(e) => Reply { body: e.to_string(), ..Reply::default() },
        }
    }
}

/// Bytes of memory that a process holds.
pub fn resident(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("it runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a figure");
    let kib = line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
    kib << 10
}

/// Processor time that a process has used, to the hundredth of a second.
pub fn processor_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("it runs");
    let (_, fields) = stat.rsplit_once(')').expect("the name is in brackets");
    let ticks: u64 =
        fields.split_whitespace().skip(11).take(2).map(|t| t.parse::<u64>().expect("ticks")).sum();
    Duration::from_millis(ticks * 10)
}

/// Sends these bytes as they are, and gives the beginning of what comes back.
pub fn raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    // Who is refused early may not have been read to the end.
    let _ = stream.write_all(bytes);
    let mut buf = [0; 4096];
    let n = stream.read(&mut buf).unwrap_or(0);
    String::from_utf8_lossy(&buf[..n]).into_owned()
}

/// A client that gives up where a test would wait for ever.
pub fn http() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build();
    config.into()
}

fn read(resp: ureq::http::Response<ureq::Body>) -> Reply {
    let text = |name: &str| {
        let value = resp.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let mut reply = Reply {
        status: resp.status().as_u16(),
        outcome: text("frostdyke-outcome"),
        request: text("frostdyke-request-id"),
        retry_after: text("retry-after").parse().ok(),
        ..Reply::default()
    };
    let mut bytes = Vec::new();
    reply.whole = resp.into_body().into_reader().read_to_end(&mut bytes).is_ok();
    reply.body = String::from_utf8_lossy(&bytes).into_owned();
    reply
}

fn one_at_a_time() -> MutexGuard<'static, ()> {
    PORTS_OR_CHILDREN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no ports are drawn.
trait SpawnAlone {
    fn spawn_alone(&mut self) -> std::io::Result<Child>;
}

impl SpawnAlone for Command {
    fn spawn_alone(&mut self) -> std::io::Result<Child> {
        let _guard = one_at_a_time();
        self.spawn()
    }
}

/// Waits for a condition, or fails the test.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < until, "waited in vain: {what}");
        thread::sleep(LOOK);
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// A port that was free just now, on an address that no other fleet uses: a port that is free
/// on an address which all share may be gone before the router takes it. It is held until `held`
/// is dropped, lest the next one is the same.
fn free_port(fleet: u64, held: &mut Vec<TcpListener>) -> SocketAddr {
    let pid = std::process::id();
    let ip = [127, (1 + pid % 250) as u8, (1 + pid / 250 % 250) as u8, (1 + fleet % 250) as u8];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port is free");
    let addr = listener.local_addr().expect("it is bound");
    held.push(listener);
    addr
}
