//! Growth of the costs behind docs/CAPACITY.md: of a decision, a waiting ticket, a box and a change
//! of the configuration, at three sizes or more. `cargo bench --bench capacity` prints
//! `name value bound ok|FAIL` and fails when a cost grows faster than its bound.

#[path = "../tests/util/catalog.rs"]
mod catalog;
mod fleet;
#[path = "capacity/pool.rs"]
mod pool;
#[path = "../tests/util/rig.rs"]
mod rig;

use std::time::Duration;
use std::time::Instant;

use fleet::BoundCheck;
use frostdyke::config::CatalogRevision;
use frostdyke::peer::member::GossipSettings;
use frostdyke::peer::member::ListedBox;
use frostdyke::peer::member::Members;
use pool::Backlog;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const ITERATIONS: u32 = 20_000;

/// A decision at 5,000 workspaces costs at most this many times one at 10.
const WORKSPACE_GROWTH_MAX: f64 = 8.0;

/// A decision at 3,000 engines costs at most this many times one at 30.
const ENGINE_GROWTH_MAX: f64 = 4.0;

/// A heartbeat costs each box at most this many times as much with 111 boxes as with 9.
const BOX_GROWTH_MAX: f64 = 4.0;

/// Memory that a waiting ticket may take at its dispatcher.
const TICKET_BYTES_MAX: f64 = 1200.0;

fn main() {
    let mut check = BoundCheck { failed: false };
    let decisions: Vec<f64> = [10, 500, 5000].map(|n| decision("workspaces", n, 300)).to_vec();
    check.at_most("decision.5000/10", decisions[2] / decisions[0], WORKSPACE_GROWTH_MAX);
    let engines: Vec<f64> = [30, 300, 3000].map(|n| decision("engines", 500, n)).to_vec();
    check.at_most("decision.engines.3000/30", engines[2] / engines[0], ENGINE_GROWTH_MAX);
    for n in [50_000, 100_000, 200_000] {
        check.at_most(&format!("ticket.bytes.{n}"), ticket_bytes(n), TICKET_BYTES_MAX);
    }
    let boxes: Vec<f64> = [9, 37, 111].map(heartbeat).to_vec();
    check.at_most("heartbeat.box.111/9", boxes[2] / 111.0 / (boxes[0] / 9.0), BOX_GROWTH_MAX);
    for (workspaces, upstreams) in [(10, 12), (100, 300), (500, 2700)] {
        change(workspaces, upstreams);
    }
    check.exit();
}

/// Microseconds for one decision.
fn decision(what: &str, workspaces: usize, engines: usize) -> f64 {
    let mut backlog = Backlog::new(workspaces, engines);
    let micros = micros(ITERATIONS, || backlog.replace_one());
    let n = if what == "engines" { engines } else { workspaces };
    println!("decision.micros.{what}.{n} {micros:.2}");
    micros
}

/// Bytes that one of `n` waiting tickets holds.
fn ticket_bytes(n: usize) -> f64 {
    let mut backlog = Backlog::new(500, 30);
    let before = resident_bytes();
    for _ in 0..n {
        backlog.submit();
    }
    (resident_bytes() - before) as f64 / n as f64
}

/// Microseconds to create and to receive one heartbeat in a zone of `n` boxes.
fn heartbeat(n: usize) -> f64 {
    let listed: Vec<ListedBox> = (0..n).map(listed).collect();
    let mut members: Vec<Members> = (0..n)
        .map(|i| Members::new(&listed[i].name, &"zone".into(), 1, GossipSettings::default()))
        .collect();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut now = Duration::from_secs(1);
    for m in &mut members {
        m.update_box_list(&listed, now);
    }
    let mut heartbeats = 0;
    let mut exchange_heartbeat = || {
        let i = heartbeats % n;
        now += Duration::from_millis(2000) / n as u32;
        heartbeats += 1;
        if let Some((message, to)) = members[i].next_heartbeat(now, &mut rng) {
            for name in to {
                let to = listed.iter().position(|l| l.name == name).expect("it is listed");
                members[to].receive(&message, now);
            }
        }
    };
    for _ in 0..n * 10 {
        exchange_heartbeat();
    }
    let micros = micros(5000, exchange_heartbeat);
    println!("heartbeat.micros.{n} {micros:.2}");
    micros
}

/// Prints the size of a configuration and the time to parse and check it.
fn change(workspaces: usize, upstreams: usize) {
    let text = serde_json::to_vec(&pool::configuration(workspaces, upstreams)).expect("it is");
    let micros = micros(20, || {
        let catalog = serde_json::from_slice(&text).expect("it reads back");
        CatalogRevision::new(1, catalog).expect("it is valid");
    });
    println!("change.bytes.{workspaces}-workspaces.{upstreams}-upstreams {}", text.len());
    println!("change.micros.{workspaces}-workspaces.{upstreams}-upstreams {micros:.0}");
}

fn listed(i: usize) -> ListedBox {
    ListedBox {
        name: format!("box-{i}").as_str().into(),
        zone: "zone".into(),
        peer: ([127, 0, 0, 1], 1).into(),
        leaving: false,
    }
}

fn micros(iterations: u32, mut f: impl FnMut()) -> f64 {
    for _ in 0..iterations / 10 {
        f();
    }
    let started = Instant::now();
    for _ in 0..iterations {
        f();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * 4096
}
