//! A planned stop cuts no request in flight.

mod util;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::http;
use util::fleet::wait_until;

/// Router after router is stopped and started while callers stream. A caller that is told that its
/// request did not run, or whose connection is refused, goes to the next router.
#[test]
fn router_after_router_under_load() {
    let setup =
        Setup { zones: vec![2, 1], slots: 8, token: Duration::from_millis(5), ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    let urls: Vec<String> =
        fleet.routers.iter().map(|r| format!("http://{}/v1/services/assist", r.callers)).collect();
    let over = AtomicBool::new(false);
    let (whole, moved) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for caller in 0..16 {
            let (urls, over, whole, moved) = (&urls, &over, &whole, &moved);
            scope.spawn(move || {
                let agent = http();
                let mut router = caller;
                while !over.load(Ordering::Relaxed) {
                    let url = &urls[router % urls.len()];
                    let req = agent.post(url).header("frostdyke-workspace", "alpha");
                    let Ok(mut resp) = req.send("{\"max_tokens\":40}") else {
                        router += 1;
                        continue;
                    };
                    let outcome = resp.headers().get("frostdyke-outcome").cloned();
                    let text = resp.body_mut().read_to_string().expect("no answer is cut");
                    if outcome.is_some_and(|o| o == "not-run") {
                        moved.fetch_add(1, Ordering::Relaxed);
                        router += 1;
                        continue;
                    }
                    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
                    whole.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        for i in 0..fleet.routers.len() {
            let before = whole.load(Ordering::Relaxed);
            wait_until("callers are served", || before + 30 < whole.load(Ordering::Relaxed));
            fleet.routers[i].signal(Signal::SIGTERM);
            assert!(fleet.routers[i].wait(), "it ended by itself, and well");
            fleet.start_router(i);
            fleet.routers[i].wait_ready();
        }
        over.store(true, Ordering::Relaxed);
    });
    assert!(100 < whole.into_inner());
    // Nothing is left over at the engines: every caller had its whole answer.
    let cancelled: u64 = fleet.engines.iter().map(|e| e.cancelled_count()).sum();
    assert_eq!(cancelled, 0);
}

/// A request that waits when its router stops is told at once that it did not run.
#[test]
fn who_waits_is_told_at_once() {
    let setup = Setup { slots: 1, token: Duration::from_millis(10), ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    let (ran, waited) = thread::scope(|scope| {
        let router = &fleet.routers[0];
        let ran = scope.spawn(|| router.send("assist", "{\"max_tokens\":100}", &[]));
        wait_until("the first runs", || fleet.engines[0].running() == 1);
        let waited = scope.spawn(|| router.send("assist", "{\"max_tokens\":100}", &[]));
        wait_until("the second waits", || {
            router.metric("frostdyke_router{state=\"waiting\"") == Some(1.0)
        });
        router.signal(Signal::SIGTERM);
        let waited = waited.join().expect("no panic");
        assert_eq!(fleet.engines[0].running(), 1, "the first still runs");
        (ran.join().expect("no panic"), waited)
    });
    assert_eq!((ran.status, ran.whole), (200, true), "{ran:?}");
    assert_eq!((waited.status, waited.outcome.as_str()), (503, "not-run"), "{waited:?}");
    assert!(waited.retry_after.is_some());
    assert!(fleet.routers[0].wait());
}

#[test]
fn a_second_signal_ends_it_at_once() {
    let setup = Setup { token: Duration::from_millis(50), ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    thread::scope(|scope| {
        let router = &fleet.routers[0];
        scope.spawn(|| router.send("assist", "{\"max_tokens\":10000}", &[]));
        wait_until("it runs", || fleet.engines[0].running() == 1);
        router.signal(Signal::SIGTERM);
        wait_until("it stops", || {
            let ready = http().get(format!("http://{}/readyz", router.callers)).call();
            ready.is_ok_and(|r| r.status() == 503)
        });
        router.signal(Signal::SIGTERM);
    });
    assert!(!fleet.routers[0].wait(), "it was cut short");
}
