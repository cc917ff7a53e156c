//! An upstream that is leaving receives no new work after a few seconds, whoever says so; and what
//! runs there ends whole.

mod util;

use std::thread;
use std::time::Duration;

use frostdyke_standin::engine;
use frostdyke_standin::platform;
use nix::sys::signal::Signal;
use serde_json::json;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::http;
use util::fleet::wait_until;

fn two_zones() -> Fleet {
    let token = Duration::from_millis(5);
    Fleet::start(&Setup { zones: vec![2, 1], token, ..Setup::default() })
}

/// Has a long request run on the first engine, makes it leave by `leave`, and checks that new ones
/// go elsewhere while the long one ends whole.
fn check(fleet: &mut Fleet, leave: impl FnOnce(&mut Fleet), noticed: impl Fn(&Fleet) -> bool) {
    let callers = fleet.routers[0].callers;
    let long = thread::spawn(move || {
        let url = format!("http://{callers}/v1/services/assist");
        let req = http().post(url).header("frostdyke-workspace", "alpha");
        req.send("{\"max_tokens\":600}").expect("it runs").body_mut().read_to_string()
    });
    wait_until("it runs", || fleet.engines[0].running() == 1);
    leave(fleet);
    wait_until("the word is in force", || noticed(fleet));
    let before = fleet.engines[0].run_counts().len();
    for i in 0..12 {
        let reply = fleet.routers[i % 3].send("assist", "{\"max_tokens\":2}", &[]);
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(fleet.engines[0].run_counts().len(), before, "the leaving engine got new work");
    let text = long.join().expect("no panic").expect("it came whole");
    assert!(text.contains("\"total_tokens\":600"), "{text}");
}

/// Whether the dispatchers of the first zone count no slot of its only engine.
fn gets_nothing(fleet: &Fleet) -> bool {
    let slots = |r: &util::fleet::Router| {
        let line = "frostdyke_pool{pool=\"llm\",what=\"slots\"";
        r.metric(line)
    };
    let shown: Vec<f64> = fleet.routers[..2].iter().filter_map(slots).collect();
    !shown.is_empty() && shown.iter().all(|&s| s == 0.0)
}

fn drain(fleet: &mut Fleet) {
    fleet.configuration["upstreams"][0]["draining"] = true.into();
    fleet.configure();
}

#[test]
fn drained_by_the_configuration() {
    check(&mut two_zones(), drain, gets_nothing);
}

#[test]
fn it_says_so_itself() {
    let leave = |fleet: &mut Fleet| {
        fleet.engines[0].set_faults(engine::Faults { leaving: true, ..Default::default() });
    };
    check(&mut two_zones(), leave, gets_nothing);
}

#[test]
fn it_says_so_itself_while_the_platform_is_down() {
    let leave = |fleet: &mut Fleet| {
        fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
        fleet.engines[0].set_faults(engine::Faults { leaving: true, ..Default::default() });
    };
    check(&mut two_zones(), leave, gets_nothing);
}

#[test]
fn the_box_list_says_so() {
    let leave = |fleet: &mut Fleet| {
        let mut boxes: Vec<_> = fleet
            .routers
            .iter()
            .map(|r| json!({"name": r.name, "zone": r.zone, "peer": r.peers}))
            .collect();
        let addr = fleet.engines[0].addr;
        let engine = json!({"name": "engine-0", "zone": "zone-0", "peer": addr, "leaving": true});
        boxes.push(engine);
        fleet.platform.set_boxes(serde_json::Value::from(boxes).to_string());
    };
    check(&mut two_zones(), leave, gets_nothing);
}

/// A router that was frozen when the drain came into force still has a grant for the engine, and
/// the word that it leaves: the last check stands right before sending.
#[test]
fn drained_while_the_dispatcher_is_frozen() {
    let mut fleet = two_zones();
    let dispatches =
        |r: &util::fleet::Router| r.metric("frostdyke_pool{pool=\"llm\",what=\"slots\"").is_some();
    let dispatcher = (0..2).find(|&i| dispatches(&fleet.routers[i])).expect("one dispatches");
    fleet.routers[dispatcher].signal(Signal::SIGSTOP);
    drain(&mut fleet);
    let other = 1 - dispatcher;
    wait_until("the other has it", || {
        fleet.routers[other].metric("frostdyke_revision") == Some(2.0)
    });
    let before = fleet.engines[0].run_counts().len();
    for _ in 0..4 {
        let reply = fleet.routers[other].send("assist", "{\"max_tokens\":2}", &[]);
        assert_eq!(reply.status, 200, "{reply:?}");
    }
    assert_eq!(fleet.engines[0].run_counts().len(), before, "the leaving engine got new work");
    fleet.routers[dispatcher].signal(Signal::SIGCONT);
}
