//! How long operators and callers wait for what operators do, with real processes: planned stops,
//! changes of the configuration, upstreams that leave. `cargo bench --bench operations` prints
//! `name value bound ok|FAIL`.

#[path = "../tests/util/fleet.rs"]
mod fleet;
#[path = "fleet/judge.rs"]
mod judge;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fleet::Fleet;
use fleet::Setup;
use frostdyke::operator::intent::Intent;
use frostdyke::operator::plan;
use frostdyke::platform::client::Client;
use frostdyke_standin::engine;
use judge::Judge;
use nix::sys::signal::Signal;
use serde_json::json;

/// Tokens of each request, and the time that each takes.
const TOKENS: u64 = 40;
const TOKEN: Duration = Duration::from_millis(5);

/// A planned stop takes at most this many times as long as the longest request.
const STOP_FACTOR: f64 = 3.0;

/// What letter 1 allows between the word and its being in force everywhere, in milliseconds.
const IN_FORCE_MS: f64 = 3000.0;

/// Calls to the store for one change, beside those that come anyway: a watch a router that ends and
/// begins anew, a read and a write to plan, and again to confirm.
const CALLS_PER_CHANGE: f64 = 20.0;

/// With ten times the engines a controller takes at most this many times as much of a core.
const CONTROLLER_GROWTH: f64 = 15.0;

/// Long enough for two looks at all engines.
const CONTROLLER_SPAN: Duration = Duration::from_secs(20);
const CALLERS: usize = 16;
const CHANGES: usize = 20;
const LEAVINGS: usize = 5;
const LOOK: Duration = Duration::from_millis(2);

fn main() {
    let setup = Setup { zones: vec![3, 3, 3], token: TOKEN, ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    let mut judge = Judge { failed: false };
    stops(&mut fleet, &mut judge);
    changes(&fleet, &mut judge);
    leaving(&mut fleet, &mut judge);
    drop(fleet);
    controllers(&mut judge);
    judge.exit();
}

/// What the controller that holds a zone's lease takes of a core, by the engines of the zone.
fn controllers(judge: &mut Judge) {
    let shares = [30, 100, 300].map(|engines| {
        let (share, resident) = controller(engines);
        println!("controller.{engines}-engines.core-percent {share:.2}");
        println!("controller.{engines}-engines.resident-mb {:.1}", resident as f64 / 1e6);
        share
    });
    // What doesn't grow with the engines is in the first one, too.
    judge.at_most("controller.core.300/30", shares[2] / shares[0], CONTROLLER_GROWTH);
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
    fleet::wait_until("the engines are looked at", report);
    let pid = fleet.controllers[0].id();
    let before = fleet::processor_time(pid);
    thread::sleep(CONTROLLER_SPAN);
    let used = fleet::processor_time(pid) - before;
    (100.0 * used.as_secs_f64() / CONTROLLER_SPAN.as_secs_f64(), fleet::resident(pid))
}

/// What callers saw while something was done to the fleet.
#[derive(Default)]
struct Seen {
    over: AtomicBool,
    whole: AtomicU64,
    not_run: AtomicU64,
    cut: AtomicU64,
}

/// Has callers stream through all routers while `act` acts.
fn under_load<T>(urls: &[String], act: impl FnOnce(&Seen) -> T) -> (T, Seen) {
    let seen = Seen::default();
    let result = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let seen = &seen;
            scope.spawn(move || call_on(urls, caller, seen));
        }
        let result = act(&seen);
        seen.over.store(true, Ordering::Relaxed);
        result
    });
    (result, seen)
}

/// Sends one request after the other; goes to the next router when one is gone or stops.
fn call_on(urls: &[String], first: usize, seen: &Seen) {
    let agent = fleet::http();
    let body = format!("{{\"max_tokens\":{TOKENS}}}");
    let mut router = first;
    while !seen.over.load(Ordering::Relaxed) {
        let url = &urls[router % urls.len()];
        let req = agent.post(url).header("frostdyke-workspace", "alpha");
        let Ok(mut resp) = req.send(&body) else {
            router += 1;
            continue;
        };
        let ran = resp.headers().get("frostdyke-outcome").is_some_and(|o| o == "ran");
        match resp.body_mut().read_to_string() {
            Ok(_) if !ran => {
                seen.not_run.fetch_add(1, Ordering::Relaxed);
                router += 1;
            }
            Ok(text) if text.ends_with("data: [DONE]\n\n") => {
                seen.whole.fetch_add(1, Ordering::Relaxed);
            }
            _ => {
                seen.cut.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

fn urls(fleet: &Fleet) -> Vec<String> {
    fleet.routers.iter().map(|r| format!("http://{}/v1/services/assist", r.callers)).collect()
}

/// Every router is stopped in turn and started again.
fn stops(fleet: &mut Fleet, judge: &mut Judge) {
    let (times, seen) = under_load(&urls(fleet), |_| {
        let mut times = Vec::new();
        for i in 0..fleet.routers.len() {
            let begun = Instant::now();
            fleet.routers[i].signal(Signal::SIGTERM);
            fleet.routers[i].wait();
            times.push(begun.elapsed());
            fleet.start_router(i);
            fleet.routers[i].wait_ready();
        }
        times
    });
    let whole = seen.whole.into_inner();
    println!("stop.requests.whole {whole}");
    println!("stop.requests.not-run {}", seen.not_run.into_inner());
    judge.at_most("stop.requests.cut", seen.cut.into_inner() as f64, 0.0);
    let request = TOKEN.as_secs_f64() * TOKENS as f64;
    let (median, max) = median_and_max(&times);
    println!("stop.ms.median {median:.0}");
    println!("stop.ms.max {max:.0}");
    judge.at_most("stop.max/request", max / 1e3 / request, STOP_FACTOR);
}

/// Confirmed changes, until each is in force on every router.
fn changes(fleet: &Fleet, judge: &mut Judge) {
    let client = Client::new(fleet.platform.addr);
    let before = fleet.platform.calls();
    let begun = Instant::now();
    let mut times = Vec::new();
    for i in 0..CHANGES {
        let workspace = json!({"name": format!("workspace-{i}")});
        let workspace = serde_json::from_value(workspace).expect("a workspace");
        let intent = Intent::PutWorkspace { workspace };
        let wanted = plan::create(&client, intent).expect("a plan");
        let confirmed = plan::confirm(&client, &wanted, "bench").expect("it is applied");
        let begun = Instant::now();
        thread::scope(|scope| {
            for router in &fleet.routers {
                scope.spawn(move || {
                    let revision = || router.metric("frostdyke_revision").unwrap_or(0.0);
                    while revision() < confirmed.revision as f64 {
                        thread::sleep(LOOK);
                    }
                });
            }
        });
        times.push(begun.elapsed());
    }
    let span = begun.elapsed();
    let after = fleet.platform.calls();
    let (median, max) = median_and_max(&times);
    println!("change.in-force.ms.median {median:.1}");
    judge.at_most("change.in-force.ms.max", max, IN_FORCE_MS);
    // The box list is read all the time, once in two seconds and router.
    let lists = span.as_secs_f64() / 2.0 * fleet.routers.len() as f64;
    let calls = (after.writes + after.reads + after.watches) as f64
        - (before.writes + before.reads + before.watches) as f64;
    let per_change = (calls - lists) / CHANGES as f64;
    judge.at_most("change.store-calls", per_change, CALLS_PER_CHANGE);
}

/// The last new request that an engine gets after the word that it leaves, of several times.
fn leaving(fleet: &mut Fleet, judge: &mut Judge) {
    let engine = fleet.engines[0].clone();
    let own_word = |_: &mut Fleet, leaving| {
        engine.set_faults(engine::Faults { leaving, ..engine::Faults::default() });
    };
    let drained = |fleet: &mut Fleet, draining: bool| {
        fleet.configuration["upstreams"][0]["draining"] = draining.into();
        fleet.configure();
    };
    let late = (0..LEAVINGS).map(|_| leaves_late(fleet, own_word)).max().unwrap_or_default();
    judge.at_most("leaving.own-word.ms", late.as_secs_f64() * 1e3, IN_FORCE_MS);
    let late = (0..LEAVINGS).map(|_| leaves_late(fleet, drained)).max().unwrap_or_default();
    judge.at_most("leaving.drained.ms", late.as_secs_f64() * 1e3, IN_FORCE_MS);
}

/// How long after the word the first engine got its last new request.
fn leaves_late(fleet: &mut Fleet, say: impl Fn(&mut Fleet, bool)) -> Duration {
    let (urls, engine) = (urls(fleet), fleet.engines[0].clone());
    let (late, _) = under_load(&urls, |_| {
        while engine.running() == 0 {
            thread::sleep(LOOK);
        }
        say(fleet, true);
        let late = last_new(&engine, Duration::from_secs(2));
        say(fleet, false);
        late
    });
    late
}

/// How long after now an engine got its last new request, looking for `span`.
fn last_new(engine: &engine::Engine, span: Duration) -> Duration {
    let begun = Instant::now();
    let (mut known, mut last) = (engine.run_counts().len(), Duration::ZERO);
    while begun.elapsed() < span {
        let now = engine.run_counts().len();
        if now != known {
            (known, last) = (now, begun.elapsed());
        }
        thread::sleep(LOOK);
    }
    last
}

/// In milliseconds.
fn median_and_max(times: &[Duration]) -> (f64, f64) {
    let mut times: Vec<f64> = times.iter().map(|t| t.as_secs_f64() * 1e3).collect();
    times.sort_by(f64::total_cmp);
    (times[times.len() / 2], times[times.len() - 1])
}
