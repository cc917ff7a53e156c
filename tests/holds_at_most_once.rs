//! A request marked as not to be repeated runs at most once. The service stand-in's own count is
//! the judge.

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
use util::fleet::Reply;
use util::fleet::Setup;
use util::fleet::wait_until;
use uuid::Uuid;

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn three_zones() -> Fleet {
    Fleet::start(&Setup { zones: vec![2, 1, 1], ..Setup::default() })
}

fn transfer(fleet: &Fleet, router: usize, key: &str) -> Reply {
    let headers = [("idempotency-key", key), ("frostdyke-attempt", "first")];
    fleet.routers[router].send("transfer", "{}", &headers)
}

#[test]
fn the_same_key_runs_once_through_all_routers_at_the_same_time() {
    let fleet = three_zones();
    for _ in 0..10 {
        let key = new_key();
        let replies: Vec<Reply> = thread::scope(|scope| {
            let send = |i| {
                scope.spawn({
                    let (fleet, key) = (&fleet, &key);
                    move || transfer(fleet, i, key)
                })
            };
            let sent: Vec<_> = (0..4).map(send).collect();
            sent.into_iter().map(|s| s.join().expect("no panic")).collect()
        });
        assert_eq!(fleet.ran(&key), 1, "{replies:?}");
        assert_eq!(replies.iter().filter(|r| r.status == 200).count(), 1, "{replies:?}");
        let others = replies.iter().filter(|r| r.status != 200);
        assert!(others.clone().all(|r| r.status == 409 && r.outcome != "not-run"), "{replies:?}");
    }
}

#[test]
fn a_later_attempt_is_told_that_it_ran() {
    let fleet = three_zones();
    let key = new_key();
    assert_eq!(transfer(&fleet, 0, &key).outcome, "ran");
    wait_until("the record says that it ran", || {
        (0..4).all(|i| {
            let reply = transfer(&fleet, i, &key);
            assert_eq!(reply.status, 409);
            reply.outcome == "ran"
        })
    });
    assert_eq!(fleet.ran(&key), 1);
}

#[test]
fn without_a_key_it_is_sent_once_and_not_claimed() {
    let fleet = Fleet::start(&Setup::default());
    fleet.services[0].set_faults(service::Faults { lose_answers: true, ..Default::default() });
    let reply = fleet.routers[0].send("transfer", "{}", &[]);
    assert_eq!((reply.status, reply.outcome.as_str()), (502, "unknown"));
    assert_eq!(fleet.services[0].run_counts().values().sum::<u64>(), 1);
    assert_eq!(fleet.platform.calls().writes, 0);
}

#[test]
fn a_lost_answer_of_the_upstream_is_never_sent_again() {
    let fleet = three_zones();
    for service in &fleet.services {
        service.set_faults(service::Faults { lose_answers: true, ..Default::default() });
    }
    let key = new_key();
    assert_eq!(transfer(&fleet, 0, &key).outcome, "unknown");
    for i in 0..4 {
        assert_eq!(transfer(&fleet, i, &key).outcome, "unknown");
    }
    assert_eq!(fleet.ran(&key), 1);
}

/// The store takes the claim, but the writer doesn't hear of it.
#[test]
fn a_lost_answer_of_the_store_is_settled_by_reading_back() {
    let fleet = three_zones();
    for i in 0..8 {
        let faults = platform::Faults { lose_answers: 1, ..Default::default() };
        fleet.platform.set_faults(faults);
        let key = new_key();
        assert_eq!(transfer(&fleet, i % 4, &key).outcome, "ran");
        assert_eq!(transfer(&fleet, (i + 1) % 4, &key).status, 409);
        assert_eq!(fleet.ran(&key), 1);
    }
}

#[test]
fn while_the_store_is_down_it_is_not_run_and_all_else_goes_on() {
    let fleet = three_zones();
    fleet.platform.set_faults(platform::Faults { down: true, ..Default::default() });
    let key = new_key();
    let reply = transfer(&fleet, 0, &key);
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"));
    assert!(reply.retry_after.is_some());
    // A caller that may have sent it before isn't told that it did not run.
    let again = fleet.routers[1].send("transfer", "{}", &[("idempotency-key", &key)]);
    assert_eq!((again.status, again.outcome.as_str()), (503, "unknown"));
    assert_eq!(fleet.routers[0].send("balance", "{}", &[]).outcome, "ran");
    assert_eq!(fleet.ran(&key), 0);
    fleet.platform.set_faults(platform::Faults::default());
    wait_until("the key can be used once the store is back", || {
        transfer(&fleet, 0, &key).outcome == "ran"
    });
    assert_eq!(fleet.ran(&key), 1);
}

/// A request that was claimed and did not run gives its key back.
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
    let reply = fleet.routers[0].send("transfer", "{}", &headers);
    assert_eq!(reply.outcome, "not-run");
    fleet.configuration["upstreams"][1]["draining"] = false.into();
    fleet.configure();
    wait_until("it can run later", || transfer(&fleet, 0, &key).outcome == "ran");
    assert_eq!(fleet.ran(&key), 1);
}

/// Routers are killed and frozen at any moment while callers send each key again and again.
#[test]
fn keys_run_at_most_once_though_routers_die_and_freeze() {
    let mut fleet = Fleet::start(&Setup {
        zones: vec![2, 2],
        delay: Duration::from_millis(5),
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
                    // What each attempt is told doesn't matter here.
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
        assert!(fleet.ran(key) <= 1, "{key} ran {} times", fleet.ran(key));
    }
    let ran: u64 = keys.iter().map(|k| fleet.ran(k)).sum();
    assert!(30 <= ran, "only {ran} of 60 ran at all, the test tells nothing");
}

/// Where a router is caught with a request that must not be repeated.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Its claim is on the way to the store.
    ClaimUnwritten,
    /// Its claim is written, and it doesn't know yet.
    ClaimWritten,
    /// The request is sent and hasn't run.
    Sent,
    /// It ran, and the router doesn't know yet.
    Ran,
}

impl Step {
    /// Makes everybody's requests stop at this step, or go on.
    fn hold(self, fleet: &Fleet, hold: bool) {
        let at = match self {
            Step::ClaimUnwritten | Step::Sent => HoldPoint::Before,
            Step::ClaimWritten | Step::Ran => HoldPoint::After,
        };
        let hold = hold.then_some(at);
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

    fn held(self, fleet: &Fleet) -> u64 {
        match self {
            Step::ClaimUnwritten | Step::ClaimWritten => fleet.platform.held_count(),
            Step::Sent | Step::Ran => fleet.services.iter().map(|s| s.held_count()).sum(),
        }
    }
}

/// Catches a router at a step; the caller sends the key again through the other zone, then the
/// router goes on if it still can, and the caller tries once more everywhere.
fn caught_at(step: Step, killed: bool, writer: &str) {
    let mut fleet = Fleet::start(&Setup { zones: vec![1, 1], ..Setup::default() });
    let key = key_written_in(writer);
    step.hold(&fleet, true);
    thread::scope(|scope| {
        let first = scope.spawn(|| transfer(&fleet, 0, &key));
        wait_until("the request is at the step", || step.held(&fleet) == 1);
        let signal = if killed { Signal::SIGKILL } else { Signal::SIGSTOP };
        fleet.routers[0].signal(signal);
        step.hold(&fleet, false);
        let second = again(&fleet, 1, &key);
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
        again(&fleet, router, &key);
    }
    let ran = fleet.ran(&key);
    assert!(ran <= 1, "{step:?}, killed {killed}, written in {writer}: ran {ran} times");
    // A service may give up what it hasn't begun when its caller is gone.
    let surely = matches!(step, Step::Ran) || matches!(step, Step::Sent) && !killed;
    assert!(!surely || ran == 1, "{step:?}, killed {killed}: it did not run");
}

/// A key whose claims are usually written by the box of this zone.
fn key_written_in(zone: &str) -> String {
    let home = |key: &str| {
        let shard =
            IdempotencyKey::new("alpha", key, SystemTime::now()).expect("a new key").shard();
        frostdyke::util::rendezvous(&format!("claims/{shard}"), ["zone-0", "zone-1"].into_iter())
    };
    std::iter::repeat_with(new_key).find(|key| home(key) == Some(zone)).expect("endless")
}

/// Sends a key that may have been sent before.
fn again(fleet: &Fleet, router: usize, key: &str) -> Reply {
    fleet.routers[router].send("transfer", "{}", &[("idempotency-key", key)])
}

#[test]
fn a_router_killed_at_any_step_leaves_no_key_to_run_twice() {
    for step in [Step::ClaimUnwritten, Step::ClaimWritten, Step::Sent, Step::Ran] {
        caught_at(step, true, "zone-0");
        caught_at(step, true, "zone-1");
    }
}

#[test]
fn a_router_frozen_at_any_step_runs_no_key_twice_when_it_wakes() {
    for step in [Step::ClaimUnwritten, Step::ClaimWritten, Step::Sent, Step::Ran] {
        caught_at(step, false, "zone-0");
        caught_at(step, false, "zone-1");
    }
}
