//! A lease that lapses while its holder is paused does no harm: whoever acts on it late is refused,
//! or what it did is made good.

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

/// A store of one object, with a clock.
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

    /// One whole turn of a process whose clock shows `now`.
    fn serve(&mut self, lease: &mut Lease, now: Duration) {
        let action = lease.next_action(now);
        self.act(lease, action, now);
    }

    fn act(&mut self, lease: &mut Lease, action: LeaseAction, now: Duration) {
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

/// Lets a process have turns for a while, from `now` on; gives the time then.
fn live(store: &mut Store, lease: &mut Lease, now: Duration, span: Duration) -> Duration {
    let until = now + span;
    let mut now = now;
    while now < until {
        store.serve(lease, now);
        now += Duration::from_millis(200);
    }
    now
}

#[test]
fn a_holder_renews_and_keeps_its_fence() {
    let (mut store, mut lease) = (Store::default(), Lease::new("a/1"));
    let now = live(&mut store, &mut lease, Duration::ZERO, SECOND);
    let fence = lease.fence(now).expect("nobody else wants it");
    let now = live(&mut store, &mut lease, now, 10 * TTL);
    assert_eq!(lease.fence(now), Some(fence));
}

#[test]
fn a_frozen_holder_has_lost_it_when_it_wakes() {
    let mut store = Store::default();
    let (mut frozen, mut other) = (Lease::new("a/1"), Lease::new("b/1"));
    let now = live(&mut store, &mut frozen, Duration::ZERO, SECOND);
    let before = frozen.fence(now).expect("nobody else wants it");
    let now = live(&mut store, &mut other, now, 2 * TTL);
    let after = other.fence(now).expect("the holder didn't renew");
    assert!(before < after);
    assert_eq!(frozen.fence(now), None);
    store.serve(&mut frozen, now);
    assert_eq!(frozen.fence(now), None);
}

#[test]
fn a_lease_given_up_is_taken_at_the_next_look() {
    let mut store = Store::default();
    let (mut first, mut second) = (Lease::new("a/1"), Lease::new("b/1"));
    let now = live(&mut store, &mut first, Duration::ZERO, SECOND);
    let now = live(&mut store, &mut second, now, SECOND);
    assert_eq!(second.fence(now), None);
    let action = first.release(now);
    store.act(&mut first, action, now);
    assert_eq!(first.fence(now), None);
    let now = live(&mut store, &mut second, now, 4 * SECOND);
    assert!(second.fence(now).is_some());
}

#[test]
fn a_lost_answer_to_a_renewal_is_settled_by_reading_back() {
    let (mut store, mut lease) = (Store::default(), Lease::new("a/1"));
    let mut now = live(&mut store, &mut lease, Duration::ZERO, SECOND);
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
    let now = live(&mut store, &mut lease, now, 3 * TTL);
    assert_eq!(lease.fence(now), fence);
}

/// What may happen between two turns of one of the processes.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Turn,
    /// It doesn't run for some tenths of a second.
    Freeze(u16),
    /// Its write takes effect, and it doesn't hear.
    LoseAnswer,
    /// Its write takes effect after some tenths of a second.
    Delay(u16),
    /// The store doesn't answer.
    Down,
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        12 => Just(Fate::Turn),
        2 => (1..300_u16).prop_map(Fate::Freeze),
        2 => Just(Fate::LoseAnswer),
        1 => (1..60_u16).prop_map(Fate::Delay),
        1 => Just(Fate::Down),
    ]
}

proptest! {
    #![proptest_config(util::seeded(200))]

    /// Whatever happens to the processes and their calls, no two believe at the same time that they
    /// hold the lease, and each later holder's fence is greater.
    #[test]
    fn never_two_at_once(
        fates in prop::collection::vec((0..3_usize, fate()), 50..400),
        // Steady clocks of different boxes begin where they like.
        offsets in prop::array::uniform3(0..10_000_u64),
    ) {
        let mut store = Store::default();
        let mut leases = ["a/1", "b/1", "c/1"].map(Lease::new);
        let mut asleep = [Duration::ZERO; 3];
        let mut late: Vec<(Duration, LeaseRecord, u64)> = Vec::new();
        let mut highest = Fence(0);
        let mut now = Duration::ZERO;
        for (i, fate) in fates {
            now += Duration::from_millis(300);
            late.retain(|(at, record, expected)| {
                let due = *at <= now;
                if due {
                    store.put(record.clone(), *expected);
                }
                !due
            });
            if now < asleep[i] {
                continue;
            }
            let clock = |i: usize, now: Duration| now + SECOND * offsets[i] as u32;
            let tenths = |n: u16| SECOND / 10 * u32::from(n);
            let lease = &mut leases[i];
            let action = lease.next_action(clock(i, now));
            match (action, fate) {
                (action, Fate::Turn) => store.act(lease, action, clock(i, now)),
                (action, Fate::Freeze(n)) => {
                    store.act(lease, action, clock(i, now));
                    asleep[i] = now + tenths(n);
                }
                (LeaseAction::Write { record, expected }, Fate::LoseAnswer) => {
                    store.put(record, expected);
                    lease.handle_write(WriteOutcome::Unknown);
                }
                (LeaseAction::Write { record, expected }, Fate::Delay(n)) => {
                    late.push((now + tenths(n), record, expected));
                    lease.handle_write(WriteOutcome::Unknown);
                }
                (LeaseAction::Write { .. }, Fate::Down) => lease.handle_write(WriteOutcome::NotWritten),
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

/// Four engines that are to go from version 1 to version 2.
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
    (CatalogRevision::new(1, wanted).expect("it is valid"), (0..4).map(observed).collect())
}

/// Does what was ordered, as an engine would; work ends at once, loading takes a turn.
fn obey(observed: &mut EngineStatus, order: &EngineOrder) {
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

#[test]
fn engines_are_changed_one_after_the_other_and_end_up_in_work() {
    let (cfg, mut observed) = four_engines();
    let mut load_limiter = LoadRateLimiter::new(Duration::ZERO);
    let mut loads = 0;
    for turn in 1..400 {
        let now = SECOND / 2 * turn;
        let steps = rollout::next_steps(
            &cfg,
            &"here".into(),
            &ManagedEngines::new(),
            &observed,
            &mut load_limiter,
            now,
        );
        let out = observed.values().filter(|o| o.leaving).count();
        assert!(out <= 1, "{out} engines are without work at once");
        observed.values_mut().for_each(|o| o.loading = false);
        for step in steps {
            if let Some(order) = step.order {
                loads += u32::from(matches!(order, EngineOrder::Load { .. }));
                obey(observed.get_mut(&step.upstream).expect("it is there"), &order);
            }
        }
    }
    assert!(observed.values().all(|o| o.state == state("2") && !o.leaving), "{observed:?}");
    assert_eq!(loads, 4, "each engine loads once");
}

#[test]
fn no_more_is_loaded_than_the_weight_store_allows() {
    let (mut cfg, mut observed) = four_engines();
    cfg.catalog.weights.loads_per_minute = 2;
    for o in observed.values_mut() {
        (o.drained, o.leaving, o.running) = (true, true, 0);
    }
    // After a long time without any load, still one at a time.
    let mut load_limiter = LoadRateLimiter::new(Duration::ZERO);
    let mut loads = Vec::new();
    for turn in 0..120 {
        let now = 600 * SECOND + SECOND * turn;
        for step in rollout::next_steps(
            &cfg,
            &"here".into(),
            &ManagedEngines::new(),
            &observed,
            &mut load_limiter,
            now,
        ) {
            if let Some(order @ EngineOrder::Load { .. }) = step.order {
                obey(observed.get_mut(&step.upstream).expect("it is there"), &order);
                loads.push(turn);
            } else {
                assert!(step.order.is_some() || step.stage != Stage::Drains, "{step:?}");
            }
        }
        observed.values_mut().for_each(|o| o.loading = false);
    }
    assert_eq!(loads, [0, 30, 60, 90]);
}

/// Its operator has changed their mind in the middle.
#[test]
fn an_engine_that_is_no_longer_to_be_changed_takes_work_again() {
    let (cfg, mut observed) = four_engines();
    let mut catalog = cfg.catalog.clone();
    catalog.upstreams.iter_mut().for_each(|u| u.engine = None);
    let cfg = CatalogRevision::new(2, catalog).expect("it is valid");
    obey(observed.get_mut("e1").expect("it is there"), &EngineOrder::Drain);
    let mut load_limiter = LoadRateLimiter::new(Duration::ZERO);
    let managed = ManagedEngines::from(["e1".into()]);
    let steps =
        rollout::next_steps(&cfg, &"here".into(), &managed, &observed, &mut load_limiter, SECOND);
    assert_eq!(steps.len(), 1, "the others were never touched");
    assert_eq!(steps[0].order, Some(EngineOrder::Undrain));
}

/// The controller that drained it is gone, and what it was drained for, too.
#[test]
fn a_later_controller_gives_an_engine_its_work_back() {
    let fleet = Fleet::start(&Setup { token: Duration::from_millis(50), ..Setup::default() });
    std::thread::scope(|scope| {
        let router = &fleet.routers[0];
        let long = scope.spawn(|| router.send("assist", "{\"max_tokens\":100}", &[]));
        wait_until("a request runs", || fleet.engines[0].running() == 1);
        let mut configuration = fleet.configuration.clone();
        let put = |c: &serde_json::Value| fleet.platform.put(CONFIGURATION_OBJECT, c.to_string());
        configuration["upstreams"][0]["engine"] = serde_json::json!({"model": "m", "version": "1"});
        put(&configuration);
        let mut first = fleet.controller(0, 0);
        wait_until("it is drained", || fleet.engines[0].orders().is_drained());
        wait_until("that is reported", || fleet.platform.get("frostdyke/engines/zone-0").is_some());
        first.kill().expect("it is ours");
        first.wait().expect("it is ours");
        put(&fleet.configuration);
        let mut second = fleet.controller(0, 1);
        wait_until("it takes work", || !fleet.engines[0].orders().is_drained());
        second.kill().expect("it is ours");
        second.wait().expect("it is ours");
        assert!(long.join().expect("no panic").whole);
    });
}

#[test]
fn an_engine_that_gives_no_answer_holds_the_others_up() {
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

/// Wants version `version` of a model on the only engine.
fn want(fleet: &mut Fleet, version: &str) {
    fleet.configuration["upstreams"][0]["engine"] =
        serde_json::json!({"model": "m", "version": version});
    fleet.configuration["weights"] = serde_json::json!({"loads_per_minute": 6000});
    fleet.configure();
}

fn has_loaded(fleet: &Fleet, version: &str) -> bool {
    let state = fleet.engines[0].orders().state(0, false);
    state.state.version == version && !state.drained
}

/// Callers stream all the while: nothing of theirs is cut, and the model changes.
#[test]
fn a_model_is_changed_without_cutting_a_request() {
    let mut fleet = Fleet::start(&Setup { token: Duration::from_millis(5), ..Setup::default() });
    fleet.start_controller(0);
    want(&mut fleet, "1");
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..4)
            .map(|_| {
                let router = &fleet.routers[0];
                scope.spawn(move || {
                    for _ in 0..12 {
                        let reply = router.send("assist", "{\"max_tokens\":40}", &[]);
                        assert_eq!((reply.status, reply.whole), (200, true), "{reply:?}");
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
    kill(pid, signal).expect("the process is ours");
}

/// A controller is frozen with an order on its way, and another takes the lease over; then the order
/// arrives. Gives how many orders the engine refused for their fence.
fn late_order(checks_fence: bool) -> u64 {
    let setup = Setup { checks_fence, ..Setup::default() };
    let mut fleet = Fleet::start(&setup);
    fleet.start_controller(0);
    let hold = |hold| engine::Faults { hold_orders: hold, ..engine::Faults::default() };
    fleet.engines[0].set_faults(hold(Some(HoldPoint::Before)));
    want(&mut fleet, "1");
    wait_until("an order is on its way", || fleet.engines[0].held_count() == 1);
    signal(&fleet, 0, Signal::SIGSTOP);
    // It wants the order done, too: that one is held behind the first.
    fleet.start_controller(0);
    wait_until("the other one has taken over", || fleet.engines[0].held_count() == 2);
    fleet.engines[0].set_faults(hold(None));
    wait_until("the model is loaded", || has_loaded(&fleet, "1"));
    signal(&fleet, 0, Signal::SIGCONT);
    // The one that was frozen knows nothing of this, and must not undo it.
    want(&mut fleet, "2");
    wait_until("the next one is loaded", || has_loaded(&fleet, "2"));
    let orders = fleet.engines[0].orders();
    let fences: Vec<u64> = orders.applied_fences.clone();
    assert!(!checks_fence || fences.is_sorted(), "{fences:?}");
    orders.rejected_by_fence
}

#[test]
fn what_a_frozen_controller_ordered_is_done_once_or_refused() {
    late_order(true);
}

#[test]
fn engines_that_check_no_fence_come_out_right_too() {
    assert_eq!(late_order(false), 0);
}

#[test]
fn a_controller_that_stops_gives_its_lease_up() {
    let mut fleet = Fleet::start(&Setup::default());
    fleet.start_controller(0);
    want(&mut fleet, "1");
    wait_until("the model is loaded", || has_loaded(&fleet, "1"));
    signal(&fleet, 0, Signal::SIGTERM);
    fleet.start_controller(0);
    want(&mut fleet, "2");
    wait_until("the other one acts soon", || has_loaded(&fleet, "2"));
}
