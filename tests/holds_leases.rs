//! Invariant: a lease that expires while its holder is frozen does no harm. Late orders of the
//! former holder are rejected by their fence, or later orders correct their effect.

mod util;

use std::collections::BTreeMap;
use std::time::Duration;

use frostdyke::config::CatalogRevision;
use frostdyke::config::EngineState;
use frostdyke::config::catalog::CONFIGURATION_OBJECT;
use frostdyke::controller::lease::Fence;
use frostdyke::controller::lease::Lease;
use frostdyke::controller::lease::LeaseAction;
use frostdyke::controller::lease::LeaseRecord;
use frostdyke::controller::lease::TTL;
use frostdyke::controller::lease::WriteOutcome;
use frostdyke::controller::rollout;
use frostdyke::controller::rollout::EngineOrder;
use frostdyke::controller::rollout::EngineStatus;
use frostdyke::controller::rollout::LoadRateLimiter;
use frostdyke::controller::rollout::ManagedEngines;
use frostdyke::controller::rollout::Stage;
use frostdyke::names::UpstreamName;
use frostdyke_standin::engine;
use frostdyke_standin::hold::HoldPoint;
use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use proptest::prelude::*;
use util::SECOND;
use util::catalog;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::wait_until;

/// A store of one versioned object.
#[derive(Default)]
struct Store {
    version: u64,
    record: Option<LeaseRecord>,
}

impl Store {
    fn put(&mut self, record: LeaseRecord, expected: u64) -> WriteOutcome {
        if expected != self.version {
            return WriteOutcome::Conflict;
        }
        self.version += 1;
        self.record = Some(record);
        WriteOutcome::Written(self.version)
    }

    /// Runs one step of a lease holder or challenger whose clock reads `now`.
    fn run_step(&mut self, lease: &mut Lease, now: Duration) {
        let action = lease.next_action(now);
        self.carry_out(lease, action, now);
    }

    fn carry_out(&mut self, lease: &mut Lease, action: LeaseAction, now: Duration) {
        match action {
            LeaseAction::Wait => {}
            LeaseAction::Read => {
                lease.handle_read(self.record.as_ref().map(|r| (self.version, r)), now)
            }
            LeaseAction::Write { record, expected } => {
                lease.handle_write(self.put(record, expected))
            }
        }
    }
}

/// Runs a process for `span` from `now` on; returns the time at its end.
fn run_for(store: &mut Store, lease: &mut Lease, now: Duration, span: Duration) -> Duration {
    let until = now + span;
    let mut now = now;
    while now < until {
        store.run_step(lease, now);
        now += Duration::from_millis(200);
    }
    now
}

#[test]
fn a_holder_keeps_its_fence_across_renewals() {
    let (mut store, mut lease) = (Store::default(), Lease::new("a/1"));
    let now = run_for(&mut store, &mut lease, Duration::ZERO, SECOND);
    let fence = lease.fence(now).expect("there is no other challenger");
    let now = run_for(&mut store, &mut lease, now, 10 * TTL);
    assert_eq!(lease.fence(now), Some(fence));
}

/// Guards against two holders: one that was frozen past expiry must notice before its next order.
#[test]
fn a_holder_frozen_past_expiry_no_longer_holds_the_lease() {
    let mut store = Store::default();
    let (mut frozen, mut other) = (Lease::new("a/1"), Lease::new("b/1"));
    let now = run_for(&mut store, &mut frozen, Duration::ZERO, SECOND);
    let before = frozen.fence(now).expect("there is no other challenger");
    let now = run_for(&mut store, &mut other, now, 2 * TTL);
    let after = other.fence(now).expect("the holder didn't renew");
    assert!(before < after);
    assert_eq!(frozen.fence(now), None);
    store.run_step(&mut frozen, now);
    assert_eq!(frozen.fence(now), None);
}

#[test]
fn a_released_lease_is_taken_at_the_next_read() {
    let mut store = Store::default();
    let (mut first, mut second) = (Lease::new("a/1"), Lease::new("b/1"));
    let now = run_for(&mut store, &mut first, Duration::ZERO, SECOND);
    let now = run_for(&mut store, &mut second, now, SECOND);
    assert_eq!(second.fence(now), None);
    let action = first.release(now);
    store.carry_out(&mut first, action, now);
    assert_eq!(first.fence(now), None);
    let now = run_for(&mut store, &mut second, now, 4 * SECOND);
    assert!(second.fence(now).is_some());
}

/// Guards against losing the lease when a renewal was written but its response was lost.
#[test]
fn a_lost_response_to_a_renewal_is_resolved_by_reading_back() {
    let (mut store, mut lease) = (Store::default(), Lease::new("a/1"));
    let mut now = run_for(&mut store, &mut lease, Duration::ZERO, SECOND);
    let fence = lease.fence(now);
    let action = loop {
        match lease.next_action(now) {
            LeaseAction::Wait => now += SECOND / 10,
            action => break action,
        }
    };
    let LeaseAction::Write { record, expected } = action else {
        panic!("a renewal is due: {action:?}")
    };
    store.put(record, expected);
    lease.handle_write(WriteOutcome::Unknown);
    let now = run_for(&mut store, &mut lease, now, 3 * TTL);
    assert_eq!(lease.fence(now), fence);
}

/// What may happen in one step of a process.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    None,
    /// The process doesn't run for some tenths of a second.
    Freeze(u16),
    /// Its write takes effect, but the response is lost.
    LoseResponse,
    /// The response is lost, and the write takes effect after some tenths of a second.
    Delay(u16),
    /// The store is down; a write has no effect.
    Down,
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    prop_oneof![
        12 => Just(Disturbance::None),
        2 => (1..300_u16).prop_map(Disturbance::Freeze),
        2 => Just(Disturbance::LoseResponse),
        1 => (1..60_u16).prop_map(Disturbance::Delay),
        1 => Just(Disturbance::Down),
    ]
}

proptest! {
    #![proptest_config(util::seeded_config(200))]

    /// Guards against two holders at once: whatever happens to the processes and their calls, at
    /// most one considers the lease its own, and each later holder has a greater fence.
    #[test]
    fn a_lease_never_has_two_holders(
        disturbances in prop::collection::vec((0..3_usize, disturbance()), 50..400),
        // Monotonic clocks of different boxes have different origins.
        offsets in prop::array::uniform3(0..10_000_u64),
    ) {
        let mut store = Store::default();
        let mut leases = ["a/1", "b/1", "c/1"].map(Lease::new);
        let mut frozen_until = [Duration::ZERO; 3];
        let mut delayed_writes: Vec<(Duration, LeaseRecord, u64)> = Vec::new();
        let mut highest = Fence(0);
        let mut now = Duration::ZERO;
        for (i, disturbance) in disturbances {
            now += Duration::from_millis(300);
            delayed_writes.retain(|(at, record, expected)| {
                let due = *at <= now;
                if due {
                    store.put(record.clone(), *expected);
                }
                !due
            });
            if now < frozen_until[i] {
                continue;
            }
            let clock = |i: usize, now: Duration| now + SECOND * offsets[i] as u32;
            let tenths = |n: u16| SECOND / 10 * u32::from(n);
            let lease = &mut leases[i];
            let action = lease.next_action(clock(i, now));
            match (action, disturbance) {
                (action, Disturbance::None) => store.carry_out(lease, action, clock(i, now)),
                (action, Disturbance::Freeze(n)) => {
                    store.carry_out(lease, action, clock(i, now));
                    frozen_until[i] = now + tenths(n);
                }
                (LeaseAction::Write { record, expected }, Disturbance::LoseResponse) => {
                    store.put(record, expected);
                    lease.handle_write(WriteOutcome::Unknown);
                }
                (LeaseAction::Write { record, expected }, Disturbance::Delay(n)) => {
                    delayed_writes.push((now + tenths(n), record, expected));
                    lease.handle_write(WriteOutcome::Unknown);
                }
                (LeaseAction::Write { .. }, Disturbance::Down) => {
                    lease.handle_write(WriteOutcome::NotWritten)
                }
                _ => {}
            }
            let held: Vec<Fence> =
                (0..3).filter_map(|i| leases[i].fence(clock(i, now))).collect();
            prop_assert!(held.len() <= 1, "{held:?} at {now:?}");
            if let Some(&fence) = held.first() {
                prop_assert!(highest <= fence, "{fence:?} after {highest:?}");
                highest = fence;
            }
        }
    }
}

fn state(version: &str) -> EngineState {
    EngineState { model: "m".to_owned(), version: version.to_owned(), ..EngineState::default() }
}

/// A configuration that moves four engines from version 1 to version 2, and their status.
fn four_engines() -> (CatalogRevision, BTreeMap<UpstreamName, EngineStatus>) {
    let upstream = |i: usize| {
        let upstream = catalog::upstream(&format!("e{i}"), "here", 8);
        frostdyke::config::Upstream { engine: Some(state("2")), ..upstream }
    };
    let mut wanted = catalog::catalog(Vec::new(), (0..4).map(upstream).collect());
    wanted.weights.loads_per_minute = 60;
    let observed = |i: usize| {
        let observed = EngineStatus { state: state("1"), running: 3, ..EngineStatus::default() };
        (UpstreamName::from(&*format!("e{i}")), observed)
    };
    (
        CatalogRevision::new(1, wanted).expect("the configuration is valid"),
        (0..4).map(observed).collect(),
    )
}

/// Applies an order as an engine does: requests end at once, a load takes one step.
fn apply_order(observed: &mut EngineStatus, order: &EngineOrder) {
    match order {
        EngineOrder::Drain => {
            (observed.drained, observed.leaving, observed.running) = (true, true, 0)
        }
        EngineOrder::Load { state } => {
            assert!(observed.drained && observed.running == 0, "{observed:?}");
            (observed.state, observed.loading) = (state.clone(), true);
        }
        EngineOrder::Undrain => (observed.drained, observed.leaving) = (false, false),
    }
}

/// Guards against too many engines out of service at once, and against loading under running
/// requests.
#[test]
fn engines_change_one_at_a_time_and_accept_requests_afterwards() {
    let (cfg, mut observed) = four_engines();
    let mut load_limiter = LoadRateLimiter::new(Duration::ZERO);
    let mut loads = 0;
    for step_number in 1..400 {
        let now = SECOND / 2 * step_number;
        let steps = rollout::next_steps(
            &cfg,
            &"here".into(),
            &ManagedEngines::new(),
            &observed,
            &mut load_limiter,
            now,
        );
        let out = observed.values().filter(|o| o.leaving).count();
        assert!(out <= 1, "{out} engines are leaving at once");
        observed.values_mut().for_each(|o| o.loading = false);
        for step in steps {
            if let Some(order) = step.order {
                loads += u32::from(matches!(order, EngineOrder::Load { .. }));
                apply_order(observed.get_mut(&step.upstream).expect("the engine exists"), &order);
            }
        }
    }
    assert!(observed.values().all(|o| o.state == state("2") && !o.leaving), "{observed:?}");
    assert_eq!(loads, 4, "each engine loads once");
}

/// Guards against a burst of loads after an idle time: the rate limiter must not save up permits.
#[test]
fn loads_stay_within_the_rate_of_the_weight_store() {
    let (mut cfg, mut observed) = four_engines();
    cfg.catalog.weights.loads_per_minute = 2;
    for o in observed.values_mut() {
        (o.drained, o.leaving, o.running) = (true, true, 0);
    }
    // The start is long after the limiter was created; loads still run one at a time.
    let mut load_limiter = LoadRateLimiter::new(Duration::ZERO);
    let mut loads = Vec::new();
    for step_number in 0..120 {
        let now = 600 * SECOND + SECOND * step_number;
        for step in rollout::next_steps(
            &cfg,
            &"here".into(),
            &ManagedEngines::new(),
            &observed,
            &mut load_limiter,
            now,
        ) {
            if let Some(order @ EngineOrder::Load { .. }) = step.order {
                apply_order(observed.get_mut(&step.upstream).expect("the engine exists"), &order);
                loads.push(step_number);
            } else {
                assert!(step.order.is_some() || step.stage != Stage::Drains, "{step:?}");
            }
        }
        observed.values_mut().for_each(|o| o.loading = false);
    }
    assert_eq!(loads, [0, 30, 60, 90]);
}

/// Guards against an engine that stays drained when its target state is removed during the change.
#[test]
fn an_engine_without_a_target_state_is_undrained() {
    let (cfg, mut observed) = four_engines();
    let mut catalog = cfg.catalog.clone();
    catalog.upstreams.iter_mut().for_each(|u| u.engine = None);
    let cfg = CatalogRevision::new(2, catalog).expect("the configuration is valid");
    apply_order(observed.get_mut("e1").expect("the engine exists"), &EngineOrder::Drain);
    let mut load_limiter = LoadRateLimiter::new(Duration::ZERO);
    let managed = ManagedEngines::from(["e1".into()]);
    let steps =
        rollout::next_steps(&cfg, &"here".into(), &managed, &observed, &mut load_limiter, SECOND);
    assert_eq!(steps.len(), 1, "the others were never touched");
    assert_eq!(steps[0].order, Some(EngineOrder::Undrain));
}

/// Guards against an engine that stays drained because the controller that drained it is dead and
/// the configuration no longer names the engine's state.
#[test]
fn a_new_controller_undrains_an_engine_of_a_dead_one() {
    let fleet =
        Fleet::start(&Setup { token_interval: Duration::from_millis(50), ..Setup::default() });
    std::thread::scope(|scope| {
        let router = &fleet.routers[0];
        let long = scope.spawn(|| router.send("assist", "{\"max_tokens\":100}", &[]));
        wait_until("a request runs", || fleet.engines[0].running() == 1);
        let mut configuration = fleet.configuration.clone();
        let put = |c: &serde_json::Value| fleet.platform.put(CONFIGURATION_OBJECT, c.to_string());
        configuration["upstreams"][0]["engine"] = serde_json::json!({"model": "m", "version": "1"});
        put(&configuration);
        let mut first = fleet.spawn_controller(0, 0);
        wait_until("the engine is drained", || fleet.engines[0].orders().is_drained());
        wait_until("the drain is reported", || {
            fleet.platform.get("frostdyke/engines/zone-0").is_some()
        });
        first.kill().expect("it is a child process");
        first.wait().expect("it is a child process");
        put(&fleet.configuration);
        let mut second = fleet.spawn_controller(0, 1);
        wait_until("the engine accepts requests", || !fleet.engines[0].orders().is_drained());
        second.kill().expect("it is a child process");
        second.wait().expect("it is a child process");
        assert!(long.join().expect("no panic").is_complete);
    });
}

/// Guards against draining further engines while one is unreachable and may be out of service.
#[test]
fn an_unreachable_engine_blocks_the_change_of_the_others() {
    let (cfg, mut observed) = four_engines();
    observed.remove("e2");
    let mut load_limiter = LoadRateLimiter::new(Duration::ZERO);
    let steps = rollout::next_steps(
        &cfg,
        &"here".into(),
        &ManagedEngines::new(),
        &observed,
        &mut load_limiter,
        SECOND,
    );
    let stages: Vec<Stage> = steps.iter().map(|s| s.stage).collect();
    let waits = Stage::WaitsForTurn;
    assert_eq!(stages, [waits, waits, Stage::Unreachable, waits]);
    assert!(steps.iter().all(|s| s.order.is_none()));
}

/// Configures this version of a model on the only engine.
fn configure_version(fleet: &mut Fleet, version: &str) {
    fleet.configuration["upstreams"][0]["engine"] =
        serde_json::json!({"model": "m", "version": version});
    fleet.configuration["weights"] = serde_json::json!({"loads_per_minute": 6000});
    fleet.configure();
}

fn has_loaded(fleet: &Fleet, version: &str) -> bool {
    let state = fleet.engines[0].orders().state(0, false);
    state.state.version == version && !state.drained
}

/// Guards against responses cut off by a change of model while callers stream.
#[test]
fn a_model_change_cuts_off_no_response() {
    let mut fleet =
        Fleet::start(&Setup { token_interval: Duration::from_millis(5), ..Setup::default() });
    fleet.start_controller(0);
    configure_version(&mut fleet, "1");
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let router = &fleet.routers[0];
                scope.spawn(move || {
                    for _ in 0..12 {
                        let response = router.send("assist", "{\"max_tokens\":40}", &[]);
                        assert_eq!(
                            (response.status, response.is_complete),
                            (200, true),
                            "{response:?}"
                        );
                    }
                })
            })
            .collect();
        wait_until("the model is loaded", || has_loaded(&fleet, "1"));
        callers.into_iter().for_each(|c| c.join().expect("no panic"));
    });
}

fn signal(fleet: &Fleet, controller: usize, signal: Signal) {
    let pid = Pid::from_raw(fleet.controllers[controller].id() as i32);
    kill(pid, signal).expect("the signal is sent");
}

/// Delivers an order of a controller that was frozen after sending it, once another controller has
/// taken over the lease. Returns how many orders the engine rejected by their fence.
fn deliver_late_order(checks_fence: bool) -> u64 {
    let setup = Setup { checks_fence, ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    fleet.start_controller(0);
    let hold = |hold| engine::Faults { hold_orders: hold, ..engine::Faults::default() };
    fleet.engines[0].set_faults(hold(Some(HoldPoint::Before)));
    configure_version(&mut fleet, "1");
    wait_until("an order is in flight", || fleet.engines[0].held_count() == 1);
    signal(&fleet, 0, Signal::SIGSTOP);
    // The second controller sends the same order, which is held as well.
    fleet.start_controller(0);
    wait_until("the second controller has taken over", || fleet.engines[0].held_count() == 2);
    fleet.engines[0].set_faults(hold(None));
    wait_until("the model is loaded", || has_loaded(&fleet, "1"));
    signal(&fleet, 0, Signal::SIGCONT);
    // The controller that was frozen doesn't know of this change and must not undo it.
    configure_version(&mut fleet, "2");
    wait_until("the next version is loaded", || has_loaded(&fleet, "2"));
    let orders = fleet.engines[0].orders();
    let fences: Vec<u64> = orders.applied_fences.clone();
    assert!(!checks_fence || fences.is_sorted(), "{fences:?}");
    orders.rejected_by_fence
}

/// Guards against a late order of a former holder undoing orders of the current one.
#[test]
fn a_late_order_is_applied_once_or_rejected_by_its_fence() {
    deliver_late_order(true);
}

/// The same without fences: the current holder's later orders correct the effect of a late one.
#[test]
fn a_late_order_is_corrected_at_an_engine_that_checks_no_fences() {
    assert_eq!(deliver_late_order(false), 0);
}

/// Guards against a wait until expiry after a planned stop of the holder.
#[test]
fn a_controller_that_stops_releases_its_lease() {
    let mut fleet = Fleet::start(&Setup::default());
    fleet.start_controller(0);
    configure_version(&mut fleet, "1");
    wait_until("the model is loaded", || has_loaded(&fleet, "1"));
    signal(&fleet, 0, Signal::SIGTERM);
    fleet.start_controller(0);
    configure_version(&mut fleet, "2");
    wait_until("the second controller acts soon", || has_loaded(&fleet, "2"));
}
