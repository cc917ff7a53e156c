//! Invariant: a request that must not be retried runs at most once, as counted by the service
//! stand-ins.

mod util;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use frostdyke::claims::IdempotencyKey;
use frostdyke_standin::hold::HoldPoint;
use frostdyke_standin::platform;
use frostdyke_standin::service;
use nix::sys::signal::Signal;
use util::fleet::Fleet;
use util::fleet::Response;
use util::fleet::Setup;
use util::fleet::wait_until;
use uuid::Uuid;

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn three_zones() -> Fleet {
    Fleet::start(&Setup { zones: vec![2, 1, 1], ..Setup::default() })
}

fn transfer(fleet: &Fleet, router: usize, key: &str) -> Response {
    let headers = [("idempotency-key", key), ("frostdyke-attempt", "first")];
    fleet.routers[router].send("transfer", "{}", &headers)
}

/// Guards against routers that claim the same key concurrently and both run the request.
#[test]
fn a_key_sent_through_all_routers_at_once_runs_once() {
    let fleet = three_zones();
    for _ in 0..10 {
        let key = new_key();
        let responses: Vec<Response> = thread::scope(|scope| {
            let send = |i| {
                scope.spawn({
                    let (fleet, key) = (&fleet, &key);
                    move || transfer(fleet, i, key)
                })
            };
            let sent: Vec<_> = (0..4).map(send).collect();
            sent.into_iter().map(|s| s.join().expect("no panic")).collect()
        });
        assert_eq!(fleet.run_count(&key), 1, "{responses:?}");
        assert_eq!(responses.iter().filter(|r| r.status == 200).count(), 1, "{responses:?}");
        let others = responses.iter().filter(|r| r.status != 200);
        assert!(others.clone().all(|r| r.status == 409 && r.outcome != "not-run"), "{responses:?}");
    }
}

/// Guards against running a key again, or not knowing that it ran, after its first attempt
/// completed.
#[test]
fn a_later_attempt_gets_outcome_ran() {
    let fleet = three_zones();
    let key = new_key();
    assert_eq!(transfer(&fleet, 0, &key).outcome, "ran");
    wait_until("the record says that it ran", || {
        (0..4).all(|i| {
            let response = transfer(&fleet, i, &key);
            assert_eq!(response.status, 409);
            response.outcome == "ran"
        })
    });
    assert_eq!(fleet.run_count(&key), 1);
}

#[test]
fn a_request_without_a_key_is_sent_once_and_not_claimed() {
    let fleet = Fleet::start(&Setup::default());
    fleet.services[0].set_faults(service::Faults { lose_answers: true, ..Default::default() });
    let response = fleet.routers[0].send("transfer", "{}", &[]);
    assert_eq!((response.status, response.outcome.as_str()), (502, "unknown"));
    assert_eq!(fleet.services[0].run_counts().values().sum::<u64>(), 1);
    assert_eq!(fleet.platform.calls().writes, 0);
}

/// Guards against a retry after the upstream ran the request and its response was lost.
#[test]
fn a_request_whose_response_was_lost_is_not_sent_again() {
    let fleet = three_zones();
    for service in &fleet.services {
        service.set_faults(service::Faults { lose_answers: true, ..Default::default() });
    }
    let key = new_key();
    assert_eq!(transfer(&fleet, 0, &key).outcome, "unknown");
    for i in 0..4 {
        assert_eq!(transfer(&fleet, i, &key).outcome, "unknown");
    }
    assert_eq!(fleet.run_count(&key), 1);
}

/// Guards against refusing a request because of its own claim: the store applies the write, but its
/// response is lost, so the writer must read the record back.
#[test]
fn a_lost_response_of_the_store_is_resolved_by_reading_back() {
    let fleet = three_zones();
    for i in 0..8 {
        let faults = platform::Faults { lose_answers: 1, ..Default::default() };
        fleet.platform.set_faults(faults);
        let key = new_key();
        assert_eq!(transfer(&fleet, i % 4, &key).outcome, "ran");
        assert_eq!(transfer(&fleet, (i + 1) % 4, &key).status, 409);
        assert_eq!(fleet.run_count(&key), 1);
    }
}

/// Guards against running unclaimed requests, and against refusing others, while the store is down.
#[test]
fn an_unavailable_store_blocks_only_requests_with_a_key() {
    let fleet = three_zones();
    fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    let key = new_key();
    let response = transfer(&fleet, 0, &key);
    assert_eq!((response.status, response.outcome.as_str()), (503, "not-run"));
    assert!(response.retry_after.is_some());
    // Not marked as a first attempt: the key may have run before, so the outcome is unknown.
    let retried = fleet.routers[1].send("transfer", "{}", &[("idempotency-key", &key)]);
    assert_eq!((retried.status, retried.outcome.as_str()), (503, "unknown"));
    assert_eq!(fleet.routers[0].send("balance", "{}", &[]).outcome, "ran");
    assert_eq!(fleet.run_count(&key), 0);
    fleet.platform.set_faults(platform::Faults::default());
    wait_until("the key can be used once the store is back", || {
        transfer(&fleet, 0, &key).outcome == "ran"
    });
    assert_eq!(fleet.run_count(&key), 1);
}

/// Guards against a key that stays claimed after its request expired in the queue.
#[test]
fn a_claim_is_released_when_the_request_did_not_run() {
    let mut fleet = Fleet::start(&Setup { slots: 1, ..Setup::default() });
    fleet.configuration["upstreams"][1]["draining"] = true.into();
    fleet.configure();
    wait_until("the drain is in force", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    let key = new_key();
    let headers = [("idempotency-key", key.as_str()), ("frostdyke-deadline-ms", "100")];
    let response = fleet.routers[0].send("transfer", "{}", &headers);
    assert_eq!(response.outcome, "not-run");
    fleet.configuration["upstreams"][1]["draining"] = false.into();
    fleet.configure();
    wait_until("the request runs later", || transfer(&fleet, 0, &key).outcome == "ran");
    assert_eq!(fleet.run_count(&key), 1);
}

/// Guards against double execution when routers are killed or frozen while callers retry each key.
#[test]
fn keys_run_at_most_once_while_routers_are_killed_and_frozen() {
    let mut fleet = Fleet::start(&Setup {
        zones: vec![2, 2],
        service_delay: Duration::from_millis(5),
        ..Setup::default()
    });
    let keys: Vec<String> = (0..60).map(|_| new_key()).collect();
    let next = AtomicU64::new(0);
    let ports: Vec<_> = fleet.routers.iter().map(|r| r.callers).collect();
    thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed) as usize;
                    let Some(key) = keys.get(n / 6) else { return };
                    let url = format!("http://{}/v1/services/transfer", ports[n % 4]);
                    // The response to each attempt doesn't matter here.
                    let _ = ureq::post(url)
                        .config()
                        .timeout_global(Some(Duration::from_secs(3)))
                        .build()
                        .header("frostdyke-workspace", "alpha")
                        .header("idempotency-key", key)
                        .send("{}");
                }
            });
        }
        for round in 0..3 {
            let (killed, frozen) = (round % 4, (round + 2) % 4);
            fleet.routers[frozen].signal(Signal::SIGSTOP);
            fleet.routers[killed].kill();
            thread::sleep(Duration::from_millis(300));
            fleet.start_router(killed);
            fleet.routers[frozen].signal(Signal::SIGCONT);
            thread::sleep(Duration::from_millis(300));
        }
    });
    for key in &keys {
        assert!(fleet.run_count(key) <= 1, "{key} ran {} times", fleet.run_count(key));
    }
    let ran: u64 = keys.iter().map(|k| fleet.run_count(k)).sum();
    assert!(30 <= ran, "only {ran} of 60 keys ran, too few for the test to mean anything");
}

/// The point at which a router is interrupted while it handles a request that must not be retried.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The claim is sent to the store and not written yet.
    ClaimUnwritten,
    /// The claim is written; the router has no response yet.
    ClaimWritten,
    /// The request is sent to the service and hasn't run yet.
    Sent,
    /// The request ran; the router has no response yet.
    Ran,
}

impl Step {
    /// Blocks all requests at this step, or releases them.
    fn set_held(self, fleet: &Fleet, held: bool) {
        let at = match self {
            Step::ClaimUnwritten | Step::Sent => HoldPoint::Before,
            Step::ClaimWritten | Step::Ran => HoldPoint::After,
        };
        let hold = held.then_some(at);
        match self {
            Step::ClaimUnwritten | Step::ClaimWritten => {
                fleet.platform.set_faults(platform::Faults { hold, ..Default::default() });
            }
            Step::Sent | Step::Ran => {
                let faults = service::Faults { hold, ..Default::default() };
                fleet.services.iter().for_each(|s| s.set_faults(faults.clone()));
            }
        }
    }

    fn held_count(self, fleet: &Fleet) -> u64 {
        match self {
            Step::ClaimUnwritten | Step::ClaimWritten => fleet.platform.held_count(),
            Step::Sent | Step::Ran => fleet.services.iter().map(|s| s.held_count()).sum(),
        }
    }
}

/// Kills or freezes a router at a step, retries the key through the other zone, resumes or restarts
/// the router, and retries through both routers. The key must not have run twice.
fn interrupt_at(step: Step, killed: bool, writer: &str) {
    let mut fleet = Fleet::start(&Setup { zones: vec![1, 1], ..Setup::default() });
    let key = key_written_by(writer);
    step.set_held(&fleet, true);
    thread::scope(|scope| {
        let first = scope.spawn(|| transfer(&fleet, 0, &key));
        wait_until("the request is at the step", || step.held_count(&fleet) == 1);
        let signal = if killed { Signal::SIGKILL } else { Signal::SIGSTOP };
        fleet.routers[0].signal(signal);
        step.set_held(&fleet, false);
        let second = retry(&fleet, 1, &key);
        assert_ne!(second.outcome, "not-run", "{step:?}, killed {killed}: {second:?}");
        if !killed {
            fleet.routers[0].signal(Signal::SIGCONT);
        }
        first.join().expect("no panic");
    });
    fleet.routers[0].kill();
    fleet.start_router(0);
    fleet.routers[0].wait_ready();
    for router in [0, 1] {
        retry(&fleet, router, &key);
    }
    let ran = fleet.run_count(&key);
    assert!(ran <= 1, "{step:?}, killed {killed}, written in {writer}: ran {ran} times");
    // A service may drop a request that it hasn't started when its caller disconnects.
    let must_have_run = matches!(step, Step::Ran) || matches!(step, Step::Sent) && !killed;
    assert!(!must_have_run || ran == 1, "{step:?}, killed {killed}: it did not run");
}

/// A key whose claims are written by the box of this zone while all boxes are up.
fn key_written_by(zone: &str) -> String {
    let usual_writer = |key: &str| {
        let shard =
            IdempotencyKey::new("alpha", key, SystemTime::now()).expect("a new key").shard();
        frostdyke::util::rendezvous(&format!("claims/{shard}"), ["zone-0", "zone-1"].into_iter())
    };
    std::iter::repeat_with(new_key)
        .find(|key| usual_writer(key) == Some(zone))
        .expect("the iterator is endless")
}

/// Sends a key without the mark of a first attempt, as a retry does.
fn retry(fleet: &Fleet, router: usize, key: &str) -> Response {
    fleet.routers[router].send("transfer", "{}", &[("idempotency-key", key)])
}

/// Guards against a retry that runs a key again because the killed router's claim was lost.
#[test]
fn no_key_runs_twice_when_a_router_is_killed_at_any_step() {
    for step in [Step::ClaimUnwritten, Step::ClaimWritten, Step::Sent, Step::Ran] {
        interrupt_at(step, true, "zone-0");
        interrupt_at(step, true, "zone-1");
    }
}

/// Guards against a resumed router that sends a request which ran elsewhere meanwhile.
#[test]
fn no_key_runs_twice_when_a_router_is_frozen_at_any_step() {
    for step in [Step::ClaimUnwritten, Step::ClaimWritten, Step::Sent, Step::Ran] {
        interrupt_at(step, false, "zone-0");
        interrupt_at(step, false, "zone-1");
    }
}
