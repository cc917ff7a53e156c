//! Invariant: an accepted configuration is in force on every router within seconds and never
//! reverts.

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
use util::fleet::http_client;
use util::rig;
use util::rig::Rig;

fn three_zones() -> Fleet {
    Fleet::start(&Setup { zones: vec![2, 1, 1], ..Setup::default() })
}

fn workspace(name: &str) -> Workspace {
    serde_json::from_value(serde_json::json!({ "name": name })).expect("the configuration is valid")
}

fn put_workspace(name: &str) -> Intent {
    Intent::PutWorkspace { workspace: workspace(name) }
}

#[test]
fn an_operators_change_is_planned_confirmed_and_applied_everywhere() {
    let mut fleet = three_zones();
    let operator = fleet.start_operator();
    let dry = fleet.run_ctl(operator, &["--dry-run", "drain", "engine-0"]);
    let text = String::from_utf8_lossy(&dry.stdout);
    assert!(text.contains("upstreams.engine-0.draining: false -> true"), "{text}");
    fleet.wait_for_revision(1);
    let unconfirmed = fleet.run_ctl(operator, &["drain", "engine-0"]);
    assert_eq!(unconfirmed.status.code(), Some(3), "nobody confirmed");
    let done = fleet.run_ctl(operator, &["--yes", "drain", "engine-0"]);
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    fleet.wait_for_revision(2);
    let (_, value) = fleet.platform.get("frostdyke/configuration").expect("it is there");
    let value: Value = serde_json::from_slice(&value).expect("JSON");
    assert_eq!(value["applied"][0]["by"], "jo");
    let unknown = fleet.run_ctl(operator, &["--yes", "drain", "engine-9"]);
    assert_eq!(unknown.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("there is no 'engine-9'"));
}

#[test]
fn a_workspace_uses_only_its_allowed_services() {
    let mut fleet = Fleet::start(&Setup::default());
    fleet.configuration["workspaces"][0]["services"] = serde_json::json!(["balance"]);
    fleet.configure();
    fleet.wait_for_revision(2);
    assert_eq!(fleet.routers[0].send("balance", "{}", &[]).outcome, "ran");
    let response = fleet.routers[0].send("assist", "{}", &[]);
    assert_eq!((response.status, response.outcome.as_str()), (403, "not-run"), "{response:?}");
    assert!(response.body.contains("urn:frostdyke:not-allowed"), "{response:?}");
    let base = fleet.configuration.clone();
    let base: Catalog = serde_json::from_value(base).expect("a configuration");
    let mut workspace = base.workspaces[0].clone();
    workspace.services = Some(["nothing".into()].into());
    let faults = intent::apply(&base, &Intent::PutWorkspace { workspace }).expect_err("no such");
    assert_eq!(faults[0].to_string(), "workspaces[0].services: there is no service 'nothing'");
}

#[test]
fn operators_without_a_valid_token_are_rejected() {
    let mut fleet = Fleet::start(&Setup::default());
    let operator = fleet.start_operator();
    let url = format!("http://{operator}/v1/configuration");
    for token in ["", "Bearer ", "Bearer wrong"] {
        let resp =
            http_client().get(&url).header("authorization", token).call().expect("an answer");
        assert_eq!(resp.status(), 401, "{resp:?}");
    }
}

#[test]
fn an_operator_can_explain_a_request() {
    let mut fleet = three_zones();
    let operator = fleet.start_operator();
    let response = fleet.routers[0].send("assist", "{}", &[]);
    let explained = fleet.run_ctl(operator, &["explain", &response.request_id]);
    let text = String::from_utf8_lossy(&explained.stdout);
    assert!(text.contains("workspace alpha service assist ran"), "{text}");
    assert!(text.contains("because furthest-behind"), "{text}");
    let unknown = fleet.run_ctl(operator, &["explain", "box-0-0-0000000000000001"]);
    assert!(String::from_utf8_lossy(&unknown.stdout).contains("no box remembers it"));
    let status = fleet.run_ctl(operator, &["status"]);
    let text = String::from_utf8_lossy(&status.stdout);
    assert_eq!(text.matches("revision 1").count(), 4, "{text}");
}

/// Guards against routers with an old configuration while the platform is down. Only one router
/// receives the change from the platform; the others, and one that restarts, get it from peers.
#[test]
fn routers_get_a_configuration_from_peers_while_the_platform_is_down() {
    let mut fleet = three_zones();
    for i in 1..4 {
        fleet.routers[i].signal(nix::sys::signal::Signal::SIGSTOP);
    }
    fleet.configuration["workspaces"][0]["weight"] = 5.into();
    fleet.configure();
    util::fleet::wait_until("one router has the revision", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    for i in 1..4 {
        fleet.routers[i].signal(nix::sys::signal::Signal::SIGCONT);
    }
    fleet.wait_for_revision(2);
    fleet.routers[2].kill();
    fleet.start_router(2);
    fleet.routers[2].wait_ready();
    assert_eq!(fleet.routers[2].metric("frostdyke_revision"), Some(2.0));
}

/// Guards against routers without a configuration after an invalid one was written to the store.
#[test]
fn an_invalid_configuration_leaves_the_previous_one_in_force() {
    let fleet = three_zones();
    fleet.platform.put("frostdyke/configuration", "{\"workspaces\": 7}");
    util::fleet::wait_until("the refusal is logged", || {
        fleet.router_log(0).contains("configuration refused")
    });
    assert_eq!(fleet.routers[0].metric("frostdyke_revision"), Some(1.0));
    assert_eq!(fleet.routers[0].send("balance", "{}", &[]).outcome, "ran");
}

fn node() -> Node {
    let id = Identity { name: "box-1".into(), zone: "zone".into(), incarnation: 1 };
    Node::new(id, Tuning::default(), GossipSettings::default())
}

fn catalog_with_workspace(name: &str) -> Catalog {
    Catalog { workspaces: vec![workspace(name)], ..Catalog::default() }
}

/// Guards against a stale watch or a stale peer bringing back an older revision.
#[test]
fn an_older_revision_is_ignored() {
    let mut node = node();
    let revision = |n, name| {
        CatalogRevision::new(n, catalog_with_workspace(name)).expect("the configuration is valid")
    };
    node.configure(revision(7, "new"), SECOND);
    node.configure(revision(6, "old"), SECOND);
    let stale =
        Message::Configuration { revision: 5, catalog: Box::new(catalog_with_workspace("older")) };
    node.receive(&"box-2".into(), vec![stale], SECOND);
    assert_eq!(node.configuration().number, 7);
    assert!(node.configuration().workspace("new").is_some());
}

fn start_store() -> (Platform, Client) {
    let platform = Platform::start(any_port()).expect("it starts");
    let client = Client::new(platform.addr);
    (platform, client)
}

/// Guards against overwriting a change that was confirmed after this plan was made.
#[test]
fn the_losing_operator_of_a_race_gets_a_new_plan() {
    let (_platform, store) = start_store();
    let mine = plan::create(&store, put_workspace("mine")).expect("a plan");
    let theirs = plan::create(&store, put_workspace("theirs")).expect("a plan");
    plan::confirm(&store, &theirs, "them").expect("the plan is applied");
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

/// Guards against a false failure, or a second write, when the response to a confirmed write is
/// lost.
#[test]
fn a_lost_response_to_an_update_is_resolved() {
    let (platform, store) = start_store();
    let wanted = plan::create(&store, put_workspace("mine")).expect("a plan");
    platform.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    let confirmed = plan::confirm(&store, &wanted, "me").expect("the plan is applied");
    assert_eq!(confirmed.revision, 1);
    assert_eq!(platform.calls().writes, 1, "it is written once");
    // A repeated confirmation returns the same revision.
    assert_eq!(plan::confirm(&store, &wanted, "me").expect("the plan is applied").revision, 1);
}

/// Guards against confirming a change other than the one that the operator was shown.
#[test]
fn a_plan_that_was_tampered_with_is_rejected() {
    let (_platform, store) = start_store();
    let mut wanted = plan::create(&store, put_workspace("mine")).expect("a plan");
    wanted.intent = put_workspace("other");
    let result = plan::confirm(&store, &wanted, "me");
    assert!(matches!(result, Err(Problem::Forged)), "{result:?}");
}

#[test]
fn all_errors_of_a_configuration_are_reported_at_once() {
    let (_platform, store) = start_store();
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

/// Guards against a zone that keeps an old configuration after a partition: the platform reaches
/// only one box while the zone is isolated.
#[test]
fn an_isolated_zone_gets_the_configuration_when_it_rejoins() {
    let mut rig = Rig::new(rig::Setup::default());
    rig.run_for(5 * SECOND);
    rig.network.isolated_zones.insert(1);
    rig.configure(0, 2);
    rig.run_for(10 * SECOND);
    let revisions =
        |rig: &Rig| -> Vec<u64> { (0..9).map(|i| rig.node(i).configuration().number).collect() };
    // The isolated zone continues with its revision.
    assert_eq!(revisions(&rig), [2, 2, 2, 1, 1, 1, 2, 2, 2]);
    rig.network.isolated_zones.clear();
    rig.run_for(10 * SECOND);
    assert_eq!(revisions(&rig), [2; 9]);
}

#[test]
fn a_slow_platform_only_delays_a_configuration() {
    let fleet = three_zones();
    fleet.platform.set_faults(Faults { slow_ms: 300, ..Faults::default() });
    fleet.configure();
    fleet.wait_for_revision(2);
}
