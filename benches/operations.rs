//! Effects of operators' actions on operators and callers, with real processes: planned stops,
//! changes of the configuration, upstreams that leave. `cargo bench --bench operations` prints
//! `name value bound ok|FAIL`.

#[path = "fleet/bound_check.rs"]
mod bound_check;
#[path = "../tests/util/fleet.rs"]
mod fleet;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use bound_check::BoundCheck;
use fleet::Fleet;
use fleet::Setup;
use frostdyke::operator::intent::Intent;
use frostdyke::operator::plan;
use frostdyke::platform::client::Client;
use frostdyke_standin::engine;
use nix::sys::signal::Signal;
use serde_json::json;

/// Tokens of each request, and the time that each token takes.
const TOKENS: u64 = 40;
const TOKEN: Duration = Duration::from_millis(5);

/// A planned stop takes at most this many times as long as the longest request.
const STOP_FACTOR_MAX: f64 = 3.0;

/// The users' limit (letter 1) for a change to be in force everywhere, in milliseconds.
const IN_FORCE_MS_MAX: f64 = 3000.0;

/// Calls to the store for one change, in addition to the regular ones: one watch per router that
/// ends and starts again, a read and a write to plan, and again to confirm.
const CALLS_PER_CHANGE_MAX: f64 = 20.0;

/// With ten times the engines a controller takes at most this many times as much of a core.
const CONTROLLER_GROWTH_MAX: f64 = 15.0;

/// Long enough to query all engines twice.
const CONTROLLER_DURATION: Duration = Duration::from_secs(20);
const CALLERS: usize = 16;
const CHANGES: usize = 20;
const LEAVE_RUNS: usize = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(2);

fn main() {
    let setup = Setup { zones: vec![3, 3, 3], token_interval: TOKEN, ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    let mut check = BoundCheck { failed: false };
    measure_stops(&mut fleet, &mut check);
    measure_changes(&fleet, &mut check);
    measure_leaving(&mut fleet, &mut check);
    drop(fleet);
    measure_controllers(&mut check);
    check.exit();
}

/// CPU time of the controller that holds a zone's lease, by the number of engines in the zone.
fn measure_controllers(check: &mut BoundCheck) {
    let shares = [30, 100, 300].map(|engines| {
        let (share, resident) = controller(engines);
        println!("controller.{engines}-engines.core-percent {share:.2}");
        println!("controller.{engines}-engines.resident-mb {:.1}", resident as f64 / 1e6);
        share
    });
    // The part that doesn't grow with the engines is in the first value, too.
    check.at_most("controller.core.300/30", shares[2] / shares[0], CONTROLLER_GROWTH_MAX);
}

/// Percent of a core and bytes of memory that a controller takes for so many engines.
fn controller(engines: usize) -> (f64, u64) {
    let mut fleet = Fleet::start(&Setup::default());
    let all: Vec<engine::Engine> = (0..engines)
        .map(|_| engine::Engine::start(fleet::any_port(), engine::Settings::default()))
        .map(|started| started.expect("an engine starts"))
        .collect();
    let upstream = |(i, engine): (usize, &engine::Engine)| {
        json!({"name": format!("e{i}"), "pool": "llm", "zone": "zone-0", "slots": 8,
            "address": engine.addr, "engine": {"model": "m", "version": "1"}})
    };
    let mut configuration = fleet.configuration.clone();
    configuration["upstreams"] = all.iter().enumerate().map(upstream).collect();
    fleet.platform.put("frostdyke/configuration", configuration.to_string());
    fleet.start_controller(0);
    let report = || fleet.platform.get("frostdyke/engines/zone-0").is_some();
    fleet::wait_until("the controller reports the engines", report);
    let pid = fleet.controllers[0].id();
    let before = fleet::cpu_time(pid);
    thread::sleep(CONTROLLER_DURATION);
    let used = fleet::cpu_time(pid) - before;
    (100.0 * used.as_secs_f64() / CONTROLLER_DURATION.as_secs_f64(), fleet::resident_bytes(pid))
}

/// Responses that callers received during an operation.
#[derive(Default)]
struct CallerStats {
    is_over: AtomicBool,
    complete: AtomicU64,
    not_run: AtomicU64,
    truncated: AtomicU64,
}

/// Runs `act` while callers stream through all routers.
fn under_load<T>(urls: &[String], act: impl FnOnce(&CallerStats) -> T) -> (T, CallerStats) {
    let stats = CallerStats::default();
    let result = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let stats = &stats;
            scope.spawn(move || run_caller(urls, caller, stats));
        }
        let result = act(&stats);
        stats.is_over.store(true, Ordering::Relaxed);
        result
    });
    (result, stats)
}

/// Sends one request after the other; switches to the next router when one is down or stops.
fn run_caller(urls: &[String], first: usize, stats: &CallerStats) {
    let agent = fleet::http_client();
    let body = format!("{{\"max_tokens\":{TOKENS}}}");
    let mut router = first;
    while !stats.is_over.load(Ordering::Relaxed) {
        let url = &urls[router % urls.len()];
        let req = agent.post(url).header("frostdyke-workspace", "alpha");
        let Ok(mut resp) = req.send(&body) else {
            router += 1;
            continue;
        };
        let ran = resp.headers().get("frostdyke-outcome").is_some_and(|o| o == "ran");
        match resp.body_mut().read_to_string() {
            Ok(_) if !ran => {
                stats.not_run.fetch_add(1, Ordering::Relaxed);
                router += 1;
            }
            Ok(text) if text.ends_with("data: [DONE]\n\n") => {
                stats.complete.fetch_add(1, Ordering::Relaxed);
            }
            _ => {
                stats.truncated.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn urls(fleet: &Fleet) -> Vec<String> {
    fleet.routers.iter().map(|r| format!("http://{}/v1/services/assist", r.callers)).collect()
}

/// Stops every router in turn and starts it again.
fn measure_stops(fleet: &mut Fleet, check: &mut BoundCheck) {
    let (times, stats) = under_load(&urls(fleet), |_| {
        let mut times = Vec::new();
        for i in 0..fleet.routers.len() {
            let started = Instant::now();
            fleet.routers[i].signal(Signal::SIGTERM);
            fleet.routers[i].wait_for_exit();
            times.push(started.elapsed());
            fleet.start_router(i);
            fleet.routers[i].wait_ready();
        }
        times
    });
    let complete = stats.complete.into_inner();
    println!("stop.requests.whole {complete}");
    println!("stop.requests.not-run {}", stats.not_run.into_inner());
    check.at_most("stop.requests.cut", stats.truncated.into_inner() as f64, 0.0);
    let request = TOKEN.as_secs_f64() * TOKENS as f64;
    let (median, max) = median_and_max(&times);
    println!("stop.ms.median {median:.0}");
    println!("stop.ms.max {max:.0}");
    check.at_most("stop.max/request", max / 1e3 / request, STOP_FACTOR_MAX);
}

/// Confirms changes, each of which must come into force on every router.
fn measure_changes(fleet: &Fleet, check: &mut BoundCheck) {
    let client = Client::new(fleet.platform.addr);
    let before = fleet.platform.calls();
    let started = Instant::now();
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let workspace = json!({"name": format!("workspace-{i}")});
        let workspace = serde_json::from_value(workspace).expect("a workspace");
        let intent = Intent::PutWorkspace { workspace };
        let planned = plan::create(&client, intent).expect("a plan");
        let confirmed = plan::confirm(&client, &planned, "bench").expect("it is applied");
        let started = Instant::now();
        thread::scope(|scope| {
            for router in &fleet.routers {
                scope.spawn(move || {
                    let revision = || router.metric("frostdyke_revision").unwrap_or(0.0);
                    while revision() < confirmed.revision as f64 {
                        thread::sleep(POLL_INTERVAL);
                    }
                });
            }
        });
        times.push(started.elapsed());
    }
    let span = started.elapsed();
    let after = fleet.platform.calls();
    let (median, max) = median_and_max(&times);
    println!("change.in-force.ms.median {median:.1}");
    check.at_most("change.in-force.ms.max", max, IN_FORCE_MS_MAX);
    // Each router reads the box list once in two seconds.
    let lists = span.as_secs_f64() / 2.0 * fleet.routers.len() as f64;
    let calls = (after.writes + after.reads + after.watches) as f64
        - (before.writes + before.reads + before.watches) as f64;
    let per_change = (calls - lists) / CHANGES as f64;
    check.at_most("change.store-calls", per_change, CALLS_PER_CHANGE_MAX);
}

/// Time of the last new request that an engine receives after it was announced to leave; the
/// longest of several runs.
fn measure_leaving(fleet: &mut Fleet, check: &mut BoundCheck) {
    let engine = fleet.engines[0].clone();
    let announced_by_engine = |_: &mut Fleet, leaving| {
        engine.set_faults(engine::Faults { leaving, ..engine::Faults::default() });
    };
    let announced_in_configuration = |fleet: &mut Fleet, draining: bool| {
        fleet.configuration["upstreams"][0]["draining"] = draining.into();
        fleet.configure();
    };
    let late = (0..LEAVE_RUNS)
        .map(|_| last_request_after_announcement(fleet, announced_by_engine))
        .max()
        .unwrap_or_default();
    check.at_most("leaving.own-word.ms", late.as_secs_f64() * 1e3, IN_FORCE_MS_MAX);
    let late = (0..LEAVE_RUNS)
        .map(|_| last_request_after_announcement(fleet, announced_in_configuration))
        .max()
        .unwrap_or_default();
    check.at_most("leaving.drained.ms", late.as_secs_f64() * 1e3, IN_FORCE_MS_MAX);
}

/// Time from the announcement until the first engine received its last new request.
fn last_request_after_announcement(
    fleet: &mut Fleet,
    announce: impl Fn(&mut Fleet, bool),
) -> Duration {
    let (urls, engine) = (urls(fleet), fleet.engines[0].clone());
    let (late, _) = under_load(&urls, |_| {
        while engine.running() == 0 {
            thread::sleep(POLL_INTERVAL);
        }
        announce(fleet, true);
        let late = last_new_request(&engine, Duration::from_secs(2));
        announce(fleet, false);
        late
    });
    late
}

/// Time from now until an engine receives its last new request, observed for `span`.
fn last_new_request(engine: &engine::Engine, span: Duration) -> Duration {
    let started = Instant::now();
    let (mut known, mut last) = (engine.run_counts().len(), Duration::ZERO);
    while started.elapsed() < span {
        let now = engine.run_counts().len();
        if now != known {
            (known, last) = (now, started.elapsed());
        }
        thread::sleep(POLL_INTERVAL);
    }
    last
}

/// Median and maximum, in milliseconds.
fn median_and_max(times: &[Duration]) -> (f64, f64) {
    let mut times: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}
