//! A configuration that was accepted is in force on every router within seconds, and never reverts.

mod util;

use frostdyke::config::Catalog;
use frostdyke::config::CatalogRevision;
use frostdyke::config::Workspace;
use frostdyke::dispatch::pool::Tuning;
use frostdyke::node::Identity;
use frostdyke::node::Node;
use frostdyke::operator::Problem;
use frostdyke::operator::intent;
use frostdyke::operator::intent::Intent;
use frostdyke::operator::plan;
use frostdyke::peer::member::GossipSettings;
use frostdyke::peer::message::Message;
use frostdyke::platform::client::Client;
use frostdyke_standin::platform::Faults;
use frostdyke_standin::platform::Platform;
use serde_json::Value;
use util::SECOND;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::any_port;
use util::fleet::http;
use util::rig;
use util::rig::Rig;

fn three_zones() -> Fleet {
    Fleet::start(&Setup { zones: vec![2, 1, 1], ..Setup::default() })
}

fn workspace(name: &str) -> Workspace {
    serde_json::from_value(serde_json::json!({ "name": name })).expect("it is valid")
}

fn put(name: &str) -> Intent {
    Intent::PutWorkspace { workspace: workspace(name) }
}

#[test]
fn an_intent_is_planned_confirmed_and_in_force_everywhere() {
    let mut fleet = three_zones();
    let operator = fleet.start_operator();
    let dry = fleet.ctl(operator, &["--dry-run", "drain", "engine-0"]);
    let text = String::from_utf8_lossy(&dry.stdout);
    assert!(text.contains("upstreams.engine-0.draining: false -> true"), "{text}");
    fleet.wait_in_force(1);
    let asked = fleet.ctl(operator, &["drain", "engine-0"]);
    assert_eq!(asked.status.code(), Some(3), "nobody confirmed");
    let done = fleet.ctl(operator, &["--yes", "drain", "engine-0"]);
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    fleet.wait_in_force(2);
    let (_, value) = fleet.platform.get("frostdyke/configuration").expect("it is there");
    let value: Value = serde_json::from_slice(&value).expect("JSON");
    assert_eq!(value["applied"][0]["by"], "jo");
    let unknown = fleet.ctl(operator, &["--yes", "drain", "engine-9"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("there is no 'engine-9'"));
}

#[test]
fn a_workspace_uses_only_what_it_may() {
    let mut fleet = Fleet::start(&Setup::default());
    fleet.configuration["workspaces"][0]["services"] = serde_json::json!(["balance"]);
    fleet.configure();
    fleet.wait_in_force(2);
    assert_eq!(fleet.routers[0].send("balance", "{}", &[]).outcome, "ran");
    let reply = fleet.routers[0].send("assist", "{}", &[]);
    assert_eq!((reply.status, reply.outcome.as_str()), (403, "not-run"), "{reply:?}");
    assert!(reply.body.contains("urn:frostdyke:not-allowed"), "{reply:?}");
    let base = fleet.configuration.clone();
    let base: Catalog = serde_json::from_value(base).expect("a configuration");
    let mut workspace = base.workspaces[0].clone();
    workspace.services = Some(["nothing".into()].into());
    let faults = intent::apply(&base, &Intent::PutWorkspace { workspace }).expect_err("no such");
    assert_eq!(faults[0].to_string(), "workspaces[0].services: there is no service 'nothing'");
}

#[test]
fn who_has_no_token_gets_nowhere() {
    let mut fleet = Fleet::start(&Setup::default());
    let operator = fleet.start_operator();
    let url = format!("http://{operator}/v1/configuration");
    for token in ["", "Bearer ", "Bearer wrong"] {
        let resp = http().get(&url).header("authorization", token).call().expect("an answer");
        assert_eq!(resp.status(), 401, "{resp:?}");
    }
}

#[test]
fn a_request_can_be_asked_about() {
    let mut fleet = three_zones();
    let operator = fleet.start_operator();
    let reply = fleet.routers[0].send("assist", "{}", &[]);
    let told = fleet.ctl(operator, &["explain", &reply.request]);
    let text = String::from_utf8_lossy(&told.stdout);
    assert!(text.contains("workspace alpha service assist ran"), "{text}");
    assert!(text.contains("because furthest-behind"), "{text}");
    let gone = fleet.ctl(operator, &["explain", "box-0-0-0000000000000001"]);
    assert!(String::from_utf8_lossy(&gone.stdout).contains("no box remembers it"));
    let status = fleet.ctl(operator, &["status"]);
    let text = String::from_utf8_lossy(&status.stdout);
    assert_eq!(text.matches("revision 1").count(), 4, "{text}");
}

/// The platform goes down right after one router has seen a change; the others learn of it from
/// their peers, and so does a router that starts with no memory.
#[test]
fn it_spreads_while_the_platform_is_down() {
    let mut fleet = three_zones();
    for i in 1..4 {
        fleet.routers[i].signal(nix::sys::signal::Signal::SIGSTOP);
    }
    fleet.configuration["workspaces"][0]["weight"] = 5.into();
    fleet.configure();
    util::fleet::wait_until("one router has it", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    for i in 1..4 {
        fleet.routers[i].signal(nix::sys::signal::Signal::SIGCONT);
    }
    fleet.wait_in_force(2);
    fleet.routers[2].kill();
    fleet.start_router(2);
    fleet.routers[2].wait_ready();
    assert_eq!(fleet.routers[2].metric("frostdyke_revision"), Some(2.0));
}

#[test]
fn one_that_cannot_be_read_leaves_the_old_one_in_force() {
    let fleet = three_zones();
    fleet.platform.put("frostdyke/configuration", "{\"workspaces\": 7}");
    util::fleet::wait_until("it is told", || fleet.log_of(0).contains("configuration refused"));
    assert_eq!(fleet.routers[0].metric("frostdyke_revision"), Some(1.0));
    assert_eq!(fleet.routers[0].send("balance", "{}", &[]).outcome, "ran");
}

fn node() -> Node {
    let id = Identity { name: "box-1".into(), zone: "zone".into(), incarnation: 1 };
    Node::new(id, Tuning::default(), GossipSettings::default())
}

fn named(name: &str) -> Catalog {
    Catalog { workspaces: vec![workspace(name)], ..Catalog::default() }
}

/// Neither a stale watch nor a stale peer brings an older revision back.
#[test]
fn it_never_reverts() {
    let mut node = node();
    let revision = |n, name| CatalogRevision::new(n, named(name)).expect("it is valid");
    node.configure(revision(7, "new"), SECOND);
    node.configure(revision(6, "old"), SECOND);
    let stale = Message::Configuration { revision: 5, catalog: Box::new(named("older")) };
    node.receive(&"box-2".into(), vec![stale], SECOND);
    assert_eq!(node.configuration().number, 7);
    assert!(node.configuration().workspace("new").is_some());
}

fn store() -> (Platform, Client) {
    let platform = Platform::start(any_port()).expect("it starts");
    let client = Client::new(platform.addr);
    (platform, client)
}

#[test]
fn of_racing_operators_one_wins_and_the_other_gets_a_new_plan() {
    let (_platform, store) = store();
    let mine = plan::create(&store, put("mine")).expect("a plan");
    let theirs = plan::create(&store, put("theirs")).expect("a plan");
    plan::confirm(&store, &theirs, "them").expect("it is applied");
    let Err(Problem::Stale { plan }) = plan::confirm(&store, &mine, "me") else {
        panic!("a stale plan was applied");
    };
    assert_eq!(plan.base, 1);
    plan::confirm(&store, &plan, "me").expect("the new plan is applied");
    assert_eq!(
        plan::read_configuration(&store).expect("it is there").configuration.workspaces.len(),
        2
    );
}

#[test]
fn a_lost_answer_to_the_update_is_settled() {
    let (platform, store) = store();
    let wanted = plan::create(&store, put("mine")).expect("a plan");
    platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let confirmed = plan::confirm(&store, &wanted, "me").expect("it is applied");
    assert_eq!(confirmed.revision, 1);
    assert_eq!(platform.calls().writes, 1, "and not a second time");
    // Confirming again is told the same.
    assert_eq!(plan::confirm(&store, &wanted, "me").expect("it was").revision, 1);
}

#[test]
fn a_plan_that_was_tampered_with_is_refused() {
    let (_platform, store) = store();
    let mut wanted = plan::create(&store, put("mine")).expect("a plan");
    wanted.intent = put("other");
    let result = plan::confirm(&store, &wanted, "me");
    assert!(matches!(result, Err(Problem::Forged)), "{result:?}");
}

#[test]
fn every_fault_is_named_at_once() {
    let (_platform, store) = store();
    let configuration: Catalog = serde_json::from_value(serde_json::json!({
        "workspaces": [{"name": "a b"}, {"name": "c", "weight": 0, "key_digests": ["xyz"]}],
        "pools": [],
        "services": [{"name": "s", "pool": "nowhere", "path": "x"}],
        "upstreams": [{"name": "u", "pool": "nowhere", "zone": "z",
            "address": "127.0.0.1:1", "slots": 0}],
    }))
    .expect("it can be read");
    let result = plan::create(&store, Intent::Replace { configuration });
    let Err(Problem::Invalid { faults }) = result else { panic!("it was accepted") };
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @r"
    workspaces[0].name: must be 1 to 64 letters, digits, '-', '_' or '.'
    workspaces[1].weight: must be at least 1
    workspaces[1].key_digests[0]: must be a SHA-256 digest in hexadecimal
    services[0].pool: names no pool
    services[0].path: must start with '/'
    upstreams[0].pool: names no pool
    upstreams[0].slots: must be at least 1
    ");
}

/// The platform reaches one box only, and a zone is cut off from the others meanwhile.
#[test]
fn a_zone_that_was_cut_off_hears_of_it_when_it_rejoins() {
    let mut rig = Rig::new(rig::Setup::default());
    rig.run_for(5 * SECOND);
    rig.net.cut_zones.insert(1);
    rig.configure(0, 2);
    rig.run_for(10 * SECOND);
    let revisions =
        |rig: &Rig| -> Vec<u64> { (0..9).map(|i| rig.node(i).configuration().number).collect() };
    // The zone that is cut off goes on with what it has.
    assert_eq!(revisions(&rig), [2, 2, 2, 1, 1, 1, 2, 2, 2]);
    rig.net.cut_zones.clear();
    rig.run_for(10 * SECOND);
    assert_eq!(revisions(&rig), [2; 9]);
}

#[test]
fn a_slow_platform_delays_it_only() {
    let fleet = three_zones();
    fleet.platform.set_faults(Faults { slow_ms: 300, ..Faults::default() });
    fleet.configure();
    fleet.wait_in_force(2);
}
