//! Invariant: a request with outcome `not-run` did not run, as counted by the service stand-ins.

mod util;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use frostdyke_standin::service;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use util::fleet::Fleet;
use util::fleet::Response;
use util::fleet::Setup;
use util::fleet::wait_until;

/// Checks the outcome of a response against the run counts of the services.
fn check_outcome(fleet: &Fleet, response: &Response) {
    let ran = fleet.run_count(&response.request_id);
    match response.outcome.as_str() {
        "not-run" => assert_eq!(ran, 0, "{response:?}"),
        "ran" => assert!(1 <= ran, "{response:?}"),
        "unknown" => {}
        other => panic!("no outcome but {other:?}: {response:?}"),
    }
}

/// Counts a caller as done when dropped, so also when it panics.
struct CountDone<'a>(&'a AtomicU64);

impl Drop for CountDone<'_> {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

#[test]
fn outcomes_match_the_run_counts_under_random_faults() {
    let setup = Setup { zones: vec![1, 1], slots: 4, ..Setup::default() };
    let fleet = Fleet::start(&setup);
    let outcome_counts = [AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0)];
    let done = AtomicU64::new(0);
    thread::scope(|scope| {
        for caller in 0..20_u64 {
            let (fleet, outcome_counts, done) = (&fleet, &outcome_counts, &done);
            scope.spawn(move || {
                let _done = CountDone(done);
                let mut rng = SmallRng::seed_from_u64(caller);
                for _ in 0..100 {
                    let router = &fleet.routers[rng.random_range(0..2)];
                    let service = ["balance", "transfer"][rng.random_range(0..2)];
                    let deadline = ["3", "20", "200"][rng.random_range(0..3)];
                    let response =
                        router.send(service, "{}", &[("frostdyke-deadline-ms", deadline)]);
                    check_outcome(fleet, &response);
                    let n =
                        ["ran", "not-run", "unknown"].iter().position(|o| *o == response.outcome);
                    outcome_counts[n.expect("check_outcome accepts no other outcome")]
                        .fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        let mut rng = SmallRng::seed_from_u64(99);
        while done.load(Ordering::Relaxed) < 20 {
            for service in &fleet.services {
                service.set_faults(service::Faults {
                    lose_answers: rng.random_bool(0.2),
                    cut_before: rng.random_bool(0.2),
                    short: rng.random_bool(0.1),
                    slow_ms: rng.random_range(0..30),
                    ..Default::default()
                });
            }
            thread::sleep(Duration::from_millis(50));
        }
    });
    let outcome_counts = outcome_counts.map(AtomicU64::into_inner);
    assert!(
        outcome_counts.iter().all(|&n| 0 < n),
        "some outcome never occurred: {outcome_counts:?}"
    );
}

#[test]
fn an_unreachable_upstream_gives_outcome_not_run() {
    let mut fleet = Fleet::start(&Setup::default());
    // No server listens on the discard port.
    fleet.configuration["upstreams"][1]["address"] = "127.0.0.1:9".into();
    fleet.configure();
    wait_until("the change is in force", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    let response = fleet.routers[0].send("transfer", "{}", &[]);
    assert_eq!((response.status, response.outcome.as_str()), (503, "not-run"), "{response:?}");
    assert!(response.retry_after.is_some());
}

#[test]
fn a_deadline_that_passes_in_the_queue_gives_outcome_not_run() {
    let mut fleet = Fleet::start(&Setup::default());
    fleet.configuration["upstreams"][1]["draining"] = true.into();
    fleet.configure();
    wait_until("the drain is in force", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    let deadline = [("frostdyke-deadline-ms", "50")];
    let response = fleet.routers[0].send("transfer", "{}", &deadline);
    assert_eq!((response.status, response.outcome.as_str()), (504, "not-run"), "{response:?}");
    assert!(response.retry_after.is_some());
}

#[test]
fn a_request_over_the_waiting_limit_gives_outcome_not_run() {
    let mut fleet = Fleet::start(&Setup { slots: 1, ..Setup::default() });
    fleet.configuration["workspaces"][0]["waiting_limit"] = 2.into();
    fleet.configure();
    wait_until("the limit is in force", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    fleet.services[0].set_faults(service::Faults { slow_ms: 300, ..Default::default() });
    let responses: Vec<Response> = thread::scope(|scope| {
        let send = |_| scope.spawn(|| fleet.routers[0].send("balance", "{}", &[]));
        let sent: Vec<_> = (0..8).map(send).collect();
        sent.into_iter().map(|s| s.join().expect("no panic")).collect()
    });
    let refused: Vec<_> = responses.iter().filter(|r| r.status == 429).collect();
    assert_eq!(refused.len(), 5, "one runs and two wait: {responses:?}");
    assert!(refused.iter().all(|r| r.outcome == "not-run" && r.retry_after.is_some()));
    responses.iter().for_each(|r| check_outcome(&fleet, r));
}
