//! Invariant: an upstream that is leaving receives no new requests after a few seconds, whichever
//! source reports it, and its running requests complete.

mod util;

use std::thread;
use std::time::Duration;

use frostdyke_standin::engine;
use frostdyke_standin::platform;
use nix::sys::signal::Signal;
use serde_json::json;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::http_client;
use util::fleet::wait_until;

fn two_zones() -> Fleet {
    let token_interval = Duration::from_millis(5);
    Fleet::start(&Setup { zones: vec![2, 1], token_interval, ..Setup::default() })
}

/// Starts a long request on the first engine, makes the engine leave with `leave`, and checks that
/// new requests go to other engines while the long one completes.
fn check_leaving(
    fleet: &mut Fleet,
    leave: impl FnOnce(&mut Fleet),
    is_noticed: impl Fn(&Fleet) -> bool,
) {
    let callers = fleet.routers[0].callers;
    let long = thread::spawn(move || {
        let url = format!("http://{callers}/v1/services/assist");
        let req = http_client().post(url).header("frostdyke-workspace", "alpha");
        req.send("{\"max_tokens\":600}").expect("it runs").body_mut().read_to_string()
    });
    wait_until("the long request runs", || fleet.engines[0].running() == 1);
    leave(fleet);
    wait_until("the routers know that the engine leaves", || is_noticed(fleet));
    let before = fleet.engines[0].run_counts().len();
    for i in 0..12 {
        let response = fleet.routers[i % 3].send("assist", "{\"max_tokens\":2}", &[]);
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(fleet.engines[0].run_counts().len(), before, "the leaving engine got new work");
    let text = long.join().expect("no panic").expect("the response is complete");
    assert!(text.contains("\"total_tokens\":600"), "{text}");
}

/// Whether each box that dispatches for the first zone counts no slots of its only engine.
fn has_no_slots(fleet: &Fleet) -> bool {
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
fn a_drain_by_the_configuration_is_honoured() {
    check_leaving(&mut two_zones(), drain, has_no_slots);
}

#[test]
fn an_engine_that_reports_leaving_is_avoided() {
    let leave = |fleet: &mut Fleet| {
        fleet.engines[0].set_faults(engine::Faults { leaving: true, ..Default::default() });
    };
    check_leaving(&mut two_zones(), leave, has_no_slots);
}

#[test]
fn an_engine_that_reports_leaving_is_avoided_while_the_platform_is_down() {
    let leave = |fleet: &mut Fleet| {
        fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
        fleet.engines[0].set_faults(engine::Faults { leaving: true, ..Default::default() });
    };
    check_leaving(&mut two_zones(), leave, has_no_slots);
}

#[test]
fn an_engine_marked_as_leaving_in_the_box_list_is_avoided() {
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
    check_leaving(&mut two_zones(), leave, has_no_slots);
}

/// Guards against sending on a grant of a dispatcher that was frozen when the drain took effect: a
/// router that knows of the drain checks it again right before sending.
#[test]
fn a_drain_is_honoured_while_the_dispatcher_is_frozen() {
    let mut fleet = two_zones();
    let dispatches =
        |r: &util::fleet::Router| r.metric("frostdyke_pool{pool=\"llm\",what=\"slots\"").is_some();
    let dispatcher = (0..2).find(|&i| dispatches(&fleet.routers[i])).expect("one dispatches");
    fleet.routers[dispatcher].signal(Signal::SIGSTOP);
    drain(&mut fleet);
    let other = 1 - dispatcher;
    wait_until("the other router has the revision", || {
        fleet.routers[other].metric("frostdyke_revision") == Some(2.0)
    });
    let before = fleet.engines[0].run_counts().len();
    for _ in 0..4 {
        let response = fleet.routers[other].send("assist", "{\"max_tokens\":2}", &[]);
        assert_eq!(response.status, 200, "{response:?}");
    }
    assert_eq!(fleet.engines[0].run_counts().len(), before, "the leaving engine got new work");
    fleet.routers[dispatcher].signal(Signal::SIGCONT);
}
