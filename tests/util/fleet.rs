//! Fleets of real router processes over in-process stand-ins. Ports are picked among free ones,
//! waits poll a condition, and every process ends when its [`Fleet`] is dropped.
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

/// Limit for every condition or response that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

static FLEET_COUNT: AtomicU64 = AtomicU64::new(0);

/// Held while free ports are picked and while a process is spawned. Between fork and exec a child
/// has a copy of every open socket, which would keep a picked port in use.
static PORT_OR_SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// The processes and stand-ins to start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Boxes per zone.
    pub zones: Vec<usize>,
    pub slots: u32,
    pub token_interval: Duration,
    pub service_delay: Duration,
    /// Whether the engines reject orders with an outdated fence.
    pub checks_fence: bool,
    pub extra_settings: String,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            zones: vec![1],
            slots: 8,
            token_interval: Duration::from_millis(2),
            service_delay: Duration::from_millis(1),
            checks_fence: true,
            extra_settings: String::new(),
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
    index: u64,
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

/// The response that a caller received.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub outcome: String,
    pub request_id: String,
    pub retry_after: Option<u64>,
    pub body: String,
    /// Whether the body arrived complete.
    pub is_complete: bool,
}

impl Fleet {
    pub fn start(setup: &Setup) -> Fleet {
        let index = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("frostdyke-test-{}-{index}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("the settings directory is created");
        let platform = Platform::start(any_port()).expect("the platform starts");
        let mut fleet = Fleet {
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            configuration: Value::Null,
            operators: Vec::new(),
            controllers: Vec::new(),
            index,
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
        fleet.wait_for_peers();
        fleet
    }

    fn start_upstreams(&mut self, setup: &Setup) {
        let mut upstreams = Vec::new();
        for zone in 0..setup.zones.len() {
            let settings = engine::Settings {
                slots: setup.slots as usize,
                token_interval: setup.token_interval,
                checks_fence: setup.checks_fence,
                ..engine::Settings::default()
            };
            let engine = Engine::start(any_port(), settings).expect("an engine starts");
            let service =
                Service::start(any_port(), setup.service_delay).expect("a service starts");
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

    /// Writes the current configuration to the platform; returns its revision.
    pub fn configure(&self) -> u64 {
        self.platform.put("frostdyke/configuration", self.configuration.to_string())
    }

    fn write_settings(&mut self, setup: &Setup) {
        std::fs::write(self.dir.join("peer-secret"), "test secret").expect("the secret is written");
        let guard = lock_ports_and_spawns();
        let mut listeners = Vec::new();
        for (zone, &boxes) in setup.zones.iter().enumerate() {
            for i in 0..boxes {
                let name = format!("box-{zone}-{i}");
                let settings = self.dir.join(format!("{name}.ini"));
                self.routers.push(Router {
                    zone: format!("zone-{zone}"),
                    callers: free_port(self.index, &mut listeners),
                    peers: free_port(self.index, &mut listeners),
                    metrics: free_port(self.index, &mut listeners),
                    settings,
                    child: None,
                    name,
                });
            }
        }
        drop(listeners);
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
                r.name,
                r.zone,
                r.callers,
                r.peers,
                r.metrics,
                self.platform.addr,
                setup.extra_settings
            );
            std::fs::write(&r.settings, text).expect("the settings are written");
        }
    }

    /// Starts an operator process; returns its address.
    pub fn start_operator(&mut self) -> SocketAddr {
        let guard = lock_ports_and_spawns();
        let addr = free_port(self.index, &mut Vec::new());
        drop(guard);
        let digest = hex::encode(Sha256::digest(TOKEN));
        std::fs::write(self.dir.join("tokens"), format!("jo {digest}\n"))
            .expect("the tokens file is written");
        std::fs::write(self.dir.join("token"), TOKEN).expect("the token is written");
        let text = format!(
            "[box]\nname = box-0-0\nzone = zone-0\n\n[listen]\noperators = {addr}\n\n\
             [platform]\naddress = {}\n\n[peers]\nsecret-file = peer-secret\n\n\
             [operators]\ntokens-file = tokens\n",
            self.platform.addr
        );
        let settings = self.dir.join("operator.ini");
        std::fs::write(&settings, text).expect("the settings are written");
        let log = std::fs::File::create(self.dir.join("operator.log")).expect("the log file opens");
        let child = Command::new(env!("CARGO_BIN_EXE_frostdyke-operator"))
            .arg(&settings)
            .stdout(log.try_clone().expect("the log file opens"))
            .stderr(log)
            .spawn_locked()
            .expect("the operator process starts");
        self.operators.push(child);
        wait_until("the operator process listens", || TcpStream::connect(addr).is_ok());
        addr
    }

    /// Starts a controller for a zone that ends with the fleet.
    pub fn start_controller(&mut self, zone: usize) {
        let child = self.spawn_controller(zone, self.controllers.len());
        self.controllers.push(child);
    }

    /// Starts a controller for a zone under the name `controller-{number}`.
    pub fn spawn_controller(&self, zone: usize, number: usize) -> Child {
        let guard = lock_ports_and_spawns();
        let metrics = free_port(self.index, &mut Vec::new());
        drop(guard);
        let text = format!(
            "[box]\nname = controller-{number}\nzone = zone-{zone}\n\n\
             [listen]\nmetrics = {metrics}\n\n[platform]\naddress = {}\n",
            self.platform.addr
        );
        let settings = self.dir.join(format!("controller-{number}.ini"));
        std::fs::write(&settings, text).expect("the settings are written");
        let log =
            std::fs::File::create(settings.with_extension("log")).expect("the log file opens");
        Command::new(env!("CARGO_BIN_EXE_frostdyke-controller"))
            .arg(&settings)
            .stdout(log.try_clone().expect("the log file opens"))
            .stderr(log)
            .spawn_locked()
            .expect("the controller starts")
    }

    /// Runs `frostdykectl`.
    pub fn run_ctl(&self, operator: SocketAddr, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_frostdykectl"))
            .args(["--operator", &operator.to_string(), "--token-file"])
            .arg(self.dir.join("token"))
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn_locked()
            .and_then(Child::wait_with_output)
            .expect("frostdykectl runs")
    }

    /// Waits until every router uses this revision of the configuration.
    pub fn wait_for_revision(&self, revision: u64) {
        for router in &self.routers {
            wait_until("the router uses the revision", || {
                router.metric("frostdyke_revision") == Some(revision as f64)
            });
        }
    }

    pub fn start_router(&mut self, i: usize) {
        let router = &mut self.routers[i];
        let log = std::fs::File::create(router.settings.with_extension("log"))
            .expect("the log file opens");
        let child = Command::new(env!("CARGO_BIN_EXE_frostdyke-router"))
            .arg(&router.settings)
            .stdout(log.try_clone().expect("the log file opens"))
            .stderr(log)
            .spawn_locked()
            .expect("the router starts");
        router.child = Some(child);
    }

    /// Waits until every router knows all live boxes of its zone.
    fn wait_for_peers(&self) {
        for router in &self.routers {
            let peers = self.routers.iter().filter(|r| r.zone == router.zone).count();
            wait_until("the boxes of a zone know each other", || {
                router.metric("frostdyke_live_boxes") == Some(peers as f64)
            });
        }
    }

    pub fn router_log(&self, i: usize) -> String {
        let path = self.routers[i].settings.with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// How often the services of all zones ran the request with this key.
    pub fn run_count(&self, key: &str) -> u64 {
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
        let child = self.child.as_ref().expect("the router runs");
        kill(Pid::from_raw(child.id() as i32), signal).expect("the signal is sent");
    }

    /// Resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> u64 {
        resident_bytes(self.child.as_ref().expect("the router runs").id())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process exits by itself; returns whether it exited with success.
    pub fn wait_for_exit(&mut self) -> bool {
        let mut child = self.child.take().expect("the router runs");
        let mut status = None;
        wait_until("the router exits", || {
            status = child.try_wait().expect("it is a child process");
            status.is_some()
        });
        status.is_some_and(|s| s.success())
    }

    pub fn wait_ready(&self) {
        let url = format!("http://{}/readyz", self.callers);
        let ready = || http_client().get(&url).call().is_ok_and(|r| r.status() == 200);
        wait_until("the router is ready", ready);
    }

    /// The first value on the metrics page whose line starts with `name`.
    pub fn metric(&self, name: &str) -> Option<f64> {
        let mut resp = http_client().get(format!("http://{}/metrics", self.metrics)).call().ok()?;
        let page = resp.body_mut().read_to_string().ok()?;
        let line = page.lines().find(|l| l.starts_with(name))?;
        line.rsplit_once(' ')?.1.parse().ok()
    }

    /// Sends a request of workspace `alpha` and reads the response to its end.
    pub fn send(&self, service: &str, body: &str, headers: &[(&str, &str)]) -> Response {
        let alpha = [("frostdyke-workspace", "alpha")];
        self.send_with_headers(service, body, &[&alpha, headers].concat())
    }

    /// Sends a request with only these headers.
    pub fn send_with_headers(
        &self,
        service: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> Response {
        let url = format!("http://{}/v1/services/{service}", self.callers);
        let mut req = http_client().post(url);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        match req.send(body) {
            Ok(resp) => read_response(resp),
            Err(e) => Response { body: e.to_string(), ..Response::default() },
        }
    }
}

/// Resident memory of a process, in bytes.
pub fn resident_bytes(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("a VmRSS line");
    let kib = line.trim().trim_end_matches(" kB").parse::<u64>().expect("a number");
    kib << 10
}

/// CPU time that a process has used, to the hundredth of a second.
pub fn cpu_time(pid: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).expect("the process runs");
    let (_, fields) = stat.rsplit_once(')').expect("the name is in parentheses");
    let ticks: u64 =
        fields.split_whitespace().skip(11).take(2).map(|t| t.parse::<u64>().expect("ticks")).sum();
    Duration::from_millis(ticks * 10)
}

/// Sends these bytes unchanged and returns the beginning of the response.
pub fn send_raw(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("the server listens");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    // The server may reject the request, and close, before it has read all of it.
    let _ = stream.write_all(bytes);
    let mut buf = [0; 4096];
    let n = stream.read(&mut buf).unwrap_or(0);
    String::from_utf8_lossy(&buf[..n]).into_owned()
}

/// An HTTP client with a time-out, so that a test can't wait forever.
pub fn http_client() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .build();
    config.into()
}

fn read_response(resp: ureq::http::Response<ureq::Body>) -> Response {
    let text = |name: &str| {
        let value = resp.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or("").to_owned()
    };
    let mut reply = Response {
        status: resp.status().as_u16(),
        outcome: text("frostdyke-outcome"),
        request_id: text("frostdyke-request-id"),
        retry_after: text("retry-after").parse().ok(),
        ..Response::default()
    };
    let mut bytes = Vec::new();
    reply.is_complete = resp.into_body().into_reader().read_to_end(&mut bytes).is_ok();
    reply.body = String::from_utf8_lossy(&bytes).into_owned();
    reply
}

fn lock_ports_and_spawns() -> MutexGuard<'static, ()> {
    PORT_OR_SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Spawns a process while no ports are being picked.
trait SpawnLocked {
    fn spawn_locked(&mut self) -> std::io::Result<Child>;
}

impl SpawnLocked for Command {
    fn spawn_locked(&mut self) -> std::io::Result<Child> {
        let _guard = lock_ports_and_spawns();
        self.spawn()
    }
}

/// Waits for a condition, or fails the test.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting until {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Picks a free port on an address that no other fleet uses: on a shared address another process
/// could take the port before the router binds it. The port stays bound until `listeners` is
/// dropped, so that the next call picks another one.
fn free_port(fleet_index: u64, listeners: &mut Vec<TcpListener>) -> SocketAddr {
    let pid = std::process::id();
    let ip =
        [127, (1 + pid % 250) as u8, (1 + pid / 250 % 250) as u8, (1 + fleet_index % 250) as u8];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a port is free");
    let addr = listener.local_addr().expect("the listener is bound");
    listeners.push(listener);
    addr
}
