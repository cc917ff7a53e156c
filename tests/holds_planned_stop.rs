//! Invariant: a planned stop of a router cuts off no request in flight.

mod util;

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use nix::sys::signal::Signal;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::http_client;
use util::fleet::wait_until;

/// Guards against responses cut off by a rolling restart. Callers stream meanwhile; a caller whose
/// request did not run, or whose connection is refused, goes to the next router.
#[test]
fn a_rolling_restart_under_load_cuts_off_no_response() {
    let setup = Setup {
        zones: vec![2, 1],
        slots: 8,
        token_interval: Duration::from_millis(5),
        ..Setup::default()
    };
    let mut fleet = Fleet::start(&setup);
    let urls: Vec<String> =
        fleet.routers.iter().map(|r| format!("http://{}/v1/services/assist", r.callers)).collect();
    let is_over = AtomicBool::new(false);
    let (complete_count, moved_count) = (AtomicU64::new(0), AtomicU64::new(0));
    thread::scope(|scope| {
        for caller in 0..16 {
            let (urls, is_over, complete_count, moved_count) =
                (&urls, &is_over, &complete_count, &moved_count);
            scope.spawn(move || {
                let agent = http_client();
                let mut router = caller;
                while !is_over.load(Ordering::Relaxed) {
                    let url = &urls[router % urls.len()];
                    let req = agent.post(url).header("frostdyke-workspace", "alpha");
                    let Ok(mut resp) = req.send("{\"max_tokens\":40}") else {
                        router += 1;
                        continue;
                    };
                    let outcome = resp.headers().get("frostdyke-outcome").cloned();
                    let text = resp.body_mut().read_to_string().expect("no response is cut off");
                    if outcome.is_some_and(|o| o == "not-run") {
                        moved_count.fetch_add(1, Ordering::Relaxed);
                        router += 1;
                        continue;
                    }
                    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
                    complete_count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        for i in 0..fleet.routers.len() {
            let before = complete_count.load(Ordering::Relaxed);
            wait_until("callers are served", || {
                before + 30 < complete_count.load(Ordering::Relaxed)
            });
            fleet.routers[i].signal(Signal::SIGTERM);
            assert!(fleet.routers[i].wait_for_exit(), "the router exited by itself with success");
            fleet.start_router(i);
            fleet.routers[i].wait_ready();
        }
        is_over.store(true, Ordering::Relaxed);
    });
    assert!(100 < complete_count.into_inner());
    // No request was cancelled at the engines: every caller received its complete response.
    let cancelled: u64 = fleet.engines.iter().map(|e| e.cancelled_count()).sum();
    assert_eq!(cancelled, 0);
}

/// Guards against waiting requests that hang until the stopping router exits.
#[test]
fn a_waiting_request_gets_outcome_not_run_when_its_router_stops() {
    let setup = Setup { slots: 1, token_interval: Duration::from_millis(10), ..Setup::default() };
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
    assert_eq!((ran.status, ran.is_complete), (200, true), "{ran:?}");
    assert_eq!((waited.status, waited.outcome.as_str()), (503, "not-run"), "{waited:?}");
    assert!(waited.retry_after.is_some());
    assert!(fleet.routers[0].wait_for_exit());
}

#[test]
fn a_second_signal_ends_the_router_at_once() {
    let setup = Setup { token_interval: Duration::from_millis(50), ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    thread::scope(|scope| {
        let router = &fleet.routers[0];
        scope.spawn(|| router.send("assist", "{\"max_tokens\":10000}", &[]));
        wait_until("the request runs", || fleet.engines[0].running() == 1);
        router.signal(Signal::SIGTERM);
        wait_until("the router is not ready", || {
            let ready = http_client().get(format!("http://{}/readyz", router.callers)).call();
            ready.is_ok_and(|r| r.status() == 503)
        });
        router.signal(Signal::SIGTERM);
    });
    assert!(
        !fleet.routers[0].wait_for_exit(),
        "the second signal ends the process without success"
    );
}
