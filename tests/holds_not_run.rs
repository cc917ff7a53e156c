//! When a caller is told "not run", the request truly did not run. The stand-ins' own counts are
//! the judge.

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

/// Checks what a caller was told against what the services counted.
fn judge(fleet: &Fleet, reply: &Response) {
    let ran = fleet.run_count(&reply.request_id);
    match reply.outcome.as_str() {
        "not-run" => assert_eq!(ran, 0, "{reply:?}"),
        "ran" => assert!(1 <= ran, "{reply:?}"),
        "unknown" => {}
        other => panic!("no outcome but {other:?}: {reply:?}"),
    }
}

/// Counts a caller as done, also when it panics.
struct CountDone<'a>(&'a AtomicU64);

impl Drop for CountDone<'_> {
    fn drop(&mut self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

#[test]
fn over_thousands_of_requests_with_random_faults() {
    let setup = Setup { zones: vec![1, 1], slots: 4, ..Setup::default() };
    let fleet = Fleet::start(&setup);
    let told = [AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0)];
    let done = AtomicU64::new(0);
    thread::scope(|scope| {
        for caller in 0..20_u64 {
            let (fleet, told, done) = (&fleet, &told, &done);
            scope.spawn(move || {
                let _done = CountDone(done);
                let mut rng = SmallRng::seed_from_u64(caller);
                for _ in 0..100 {
                    let router = &fleet.routers[rng.random_range(0..2)];
                    let service = ["balance", "transfer"][rng.random_range(0..2)];
                    let deadline = ["3", "20", "200"][rng.random_range(0..3)];
                    let reply = router.send(service, "{}", &[("frostdyke-deadline-ms", deadline)]);
                    judge(fleet, &reply);
                    let n = ["ran", "not-run", "unknown"].iter().position(|o| *o == reply.outcome);
                    told[n.expect("judged")].fetch_add(1, Ordering::Relaxed);
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
    let told = told.map(AtomicU64::into_inner);
    assert!(told.iter().all(|&n| 0 < n), "some outcome never came up: {told:?}");
}

#[test]
fn no_upstream_can_be_reached() {
    let mut fleet = Fleet::start(&Setup::default());
    // Nothing listens on the discard port.
    fleet.configuration["upstreams"][1]["address"] = "127.0.0.1:9".into();
    fleet.configure();
    wait_until("the change is in force", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    let reply = fleet.routers[0].send("transfer", "{}", &[]);
    assert_eq!((reply.status, reply.outcome.as_str()), (503, "not-run"), "{reply:?}");
    assert!(reply.retry_after.is_some());
}

#[test]
fn the_deadline_passes_while_it_waits() {
    let mut fleet = Fleet::start(&Setup::default());
    fleet.configuration["upstreams"][1]["draining"] = true.into();
    fleet.configure();
    wait_until("the drain is in force", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    let deadline = [("frostdyke-deadline-ms", "50")];
    let reply = fleet.routers[0].send("transfer", "{}", &deadline);
    assert_eq!((reply.status, reply.outcome.as_str()), (504, "not-run"), "{reply:?}");
    assert!(reply.retry_after.is_some());
}

#[test]
fn too_many_wait() {
    let mut fleet = Fleet::start(&Setup { slots: 1, ..Setup::default() });
    fleet.configuration["workspaces"][0]["waiting_limit"] = 2.into();
    fleet.configure();
    wait_until("the limit is in force", || {
        fleet.routers[0].metric("frostdyke_revision") == Some(2.0)
    });
    fleet.services[0].set_faults(service::Faults { slow_ms: 300, ..Default::default() });
    let replies: Vec<Response> = thread::scope(|scope| {
        let send = |_| scope.spawn(|| fleet.routers[0].send("balance", "{}", &[]));
        let sent: Vec<_> = (0..8).map(send).collect();
        sent.into_iter().map(|s| s.join().expect("no panic")).collect()
    });
    let refused: Vec<_> = replies.iter().filter(|r| r.status == 429).collect();
    assert_eq!(refused.len(), 5, "one runs and two wait: {replies:?}");
    assert!(refused.iter().all(|r| r.outcome == "not-run" && r.retry_after.is_some()));
    replies.iter().for_each(|r| judge(&fleet, r));
}
