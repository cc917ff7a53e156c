//! The slopes behind docs/CAPACITY.md: what a decision, a waiting ticket, a box and a change of
//! configuration cost, at three sizes or more. `cargo bench --bench capacity` prints
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

use fleet::Judge;
use frostdyke::config::CatalogRevision;
use frostdyke::peer::member::GossipSettings;
use frostdyke::peer::member::ListedBox;
use frostdyke::peer::member::Members;
use pool::Backlog;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TURNS: u32 = 20_000;

/// A decision at 5,000 workspaces costs at most this many times one at 10.
const GROWTH_WORKSPACES: f64 = 8.0;

/// A decision at 3,000 engines costs at most this many times one at 30.
const GROWTH_ENGINES: f64 = 4.0;

/// A box more costs at most this many times as much at 111 boxes as at 9.
const GROWTH_BOXES: f64 = 4.0;

/// Bytes that a waiting ticket may hold at its dispatcher.
const TICKET_BYTES: f64 = 1200.0;

fn main() {
    let mut judge = Judge { failed: false };
    let decisions: Vec<f64> = [10, 500, 5000].map(|n| decision("workspaces", n, 300)).to_vec();
    judge.at_most("decision.5000/10", decisions[2] / decisions[0], GROWTH_WORKSPACES);
    let engines: Vec<f64> = [30, 300, 3000].map(|n| decision("engines", 500, n)).to_vec();
    judge.at_most("decision.engines.3000/30", engines[2] / engines[0], GROWTH_ENGINES);
    for n in [50_000, 100_000, 200_000] {
        judge.at_most(&format!("ticket.bytes.{n}"), ticket_bytes(n), TICKET_BYTES);
    }
    let boxes: Vec<f64> = [9, 37, 111].map(heartbeat).to_vec();
    judge.at_most("heartbeat.box.111/9", boxes[2] / 111.0 / (boxes[0] / 9.0), GROWTH_BOXES);
    for (workspaces, upstreams) in [(10, 12), (100, 300), (500, 2700)] {
        change(workspaces, upstreams);
    }
    judge.exit();
}

/// Microseconds for one decision.
fn decision(what: &str, workspaces: usize, engines: usize) -> f64 {
    let mut backlog = Backlog::new(workspaces, engines);
    let micros = micros(TURNS, || backlog.turn());
    let n = if what == "engines" { engines } else { workspaces };
    println!("decision.micros.{what}.{n} {micros:.2}");
    micros
}

/// Bytes that one of `n` waiting tickets holds.
fn ticket_bytes(n: usize) -> f64 {
    let mut backlog = Backlog::new(500, 30);
    let before = resident();
    for _ in 0..n {
        backlog.submit();
    }
    (resident() - before) as f64 / n as f64
}

/// Microseconds to make and to take in one heartbeat in a zone of `n` boxes.
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
    let mut turn = 0;
    let mut beat = || {
        let i = turn % n;
        now += Duration::from_millis(2000) / n as u32;
        turn += 1;
        if let Some((table, to)) = members[i].next_heartbeat(now, &mut rng) {
            for name in to {
                let to = listed.iter().position(|l| l.name == name).expect("it is listed");
                members[to].receive(&table, now);
            }
        }
    };
    for _ in 0..n * 10 {
        beat();
    }
    let micros = micros(5000, beat);
    println!("heartbeat.micros.{n} {micros:.2}");
    micros
}

/// Tells the size of a configuration and the time to read and check it.
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

fn micros(turns: u32, mut f: impl FnMut()) -> f64 {
    for _ in 0..turns / 10 {
        f();
    }
    let begun = Instant::now();
    for _ in 0..turns {
        f();
    }
    begun.elapsed().as_secs_f64() * 1e6 / f64::from(turns)
}

/// Bytes of this process in memory.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = text.split(' ').nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * 4096
}
