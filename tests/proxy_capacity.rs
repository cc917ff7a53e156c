//! How many streams a box passes on at a time.

use std::time::Duration;

use frostdyke::proxy::capacity;
use frostdyke::proxy::capacity::StreamLimiter;
use frostdyke::proxy::connection_limiter::ConnectionLimiter;
use frostdyke::proxy::upstream_connections::ConnectionQuota;
use frostdyke::proxy::upstream_connections::QuotaInputs;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// What a box begins with.
const FIRST: usize = 300;
const LATE: Duration = Duration::from_millis(120);
const ON_TIME: Duration = Duration::from_millis(1);

#[test]
fn late_timers_limit_nothing_where_few_streams_run() {
    let mut capacity = StreamLimiter::new(FIRST);
    let limits: Vec<usize> = (0..50).map(|_| capacity.record_tick(LATE, 10)).collect();
    assert!(capacity.is_overloaded() && !capacity.is_full());
    assert_eq!(limits, [FIRST; 50]);
}

#[test]
fn a_box_that_is_behind_takes_fewer_streams_than_it_has() {
    let mut capacity = StreamLimiter::new(FIRST);
    let limits: Vec<usize> = (0..10).map(|_| capacity.record_tick(LATE, 300)).collect();
    assert!(capacity.is_overloaded() && capacity.is_full());
    assert!(limits[9] < 250, "{limits:?}");
    assert!(limits[4..].is_sorted_by(|a, b| b < a), "{limits:?}");
    let low = (0..100).map(|_| capacity.record_tick(LATE, 300)).last();
    assert_eq!(low, Some(150), "half of the first limit is always taken");
}

#[test]
fn it_takes_more_only_when_there_is_more_to_take() {
    let mut capacity = StreamLimiter::new(FIRST);
    let calm: Vec<usize> = (0..20).map(|_| capacity.record_tick(ON_TIME, 200)).collect();
    assert_eq!(calm, [FIRST; 20]);
    let busy = (0..20).map(|_| capacity.record_tick(ON_TIME, 290)).last();
    assert!(busy.is_some_and(|limit| FIRST + 10 < limit), "{busy:?}");
}

#[test]
fn a_box_that_is_full_is_so_until_there_is_room() {
    let mut capacity = StreamLimiter::new(FIRST);
    let mut full = |streams| {
        capacity.record_tick(ON_TIME, streams);
        capacity.is_full()
    };
    assert!(!full(200));
    assert!(full(280));
    assert!(full(200));
    assert!(!full(150));
    assert!(!full(200));
}

/// A box that can pass on 200 streams is asked for twice as many. Each tick a twentieth of what
/// runs ends.
#[test]
fn the_limit_settles_near_what_the_box_can_carry() {
    let mut capacity = StreamLimiter::new(FIRST);
    let (mut running, mut limit) = (0.0, FIRST);
    let mut seen = Vec::new();
    for _ in 0..600 {
        running -= running / 20.0;
        running += f64::min(20.0, (limit as f64 - running).max(0.0));
        let late = if running < 200.0 { ON_TIME } else { LATE };
        limit = capacity.record_tick(late, running as usize);
        seen.push(running);
    }
    let mean = seen[200..].iter().sum::<f64>() / 400.0;
    assert!((160.0..220.0).contains(&mean), "{mean}");
}

/// Load: 1,100 connections a second at a box of 0.12 cores, which can begin some 100 requests a second.
/// When all were let in, they waited for seconds and nobody else got a connection.
#[test]
fn a_crowded_box_lets_in_what_it_can_begin_soon() {
    let mut door = ConnectionLimiter::new(0.12);
    let millis = Duration::from_millis;
    let mut entered = Vec::new();
    let burst =
        (0..110).filter(|_| door.try_admit(0, millis(0)).map(|e| entered.push(e)).is_some());
    assert_eq!(burst.count(), 36);
    // Their requests have come and wait to be sent.
    entered.iter().for_each(|e| e.note_request());
    assert!(door.try_admit(36, millis(10)).is_none());
    assert!(door.try_admit(10, millis(10)).is_some());
}

/// Callers may open connections long before they ask.
#[test]
fn connections_at_rest_keep_nobody_out() {
    let mut door = ConnectionLimiter::new(0.12);
    for n in 0..1_000 {
        assert!(door.try_admit(0, Duration::from_millis(5 * n)).is_some(), "the {n}th");
    }
}

/// Load: more callers than a box can hold connections of. A box of 160 MB and 4,100 descriptors came to 160.0 MB by
/// its descriptors alone; it ends at more. A connection takes 34 KB.
#[test]
fn connections_are_bounded_by_memory_as_well() {
    let most = |descriptors, mb: usize| capacity::caller_connections_max(descriptors, mb << 20);
    for (descriptors, mb) in [(4_100, 160), (8_192, 512), (4_100, 260), (1_024, 160), (4_100, 40)] {
        // Upstreams' connections come on top, in the same proportion as of the descriptors.
        let sockets = most(descriptors, mb) as f64 / 0.65;
        let held = sockets * 34.0 / 1024.0 + 20.0;
        assert!(held <= mb as f64 * 0.85 || mb < 60, "{mb} MB: {held}");
        assert!(sockets <= descriptors as f64);
    }
    assert_eq!(most(4_100, 260), 2_665, "where there is memory, descriptors bind");
    assert_eq!(most(4_100, 0), 2_665, "no bound");
}

/// Load: a box of 0.12 cores begins with 300 streams, whose pieces may be 200 ms late.
#[test]
fn pieces_are_held_the_longer_the_more_streams_run() {
    let late_max = Duration::from_millis(200);
    let held = |streams, now| {
        let now = Duration::from_millis(now);
        capacity::coalesce_until(streams, 300, late_max, now).map(|until| until.as_millis() as u64)
    };
    assert_eq!(held(30, 1_003), None, "few streams are passed on at once");
    assert_eq!(held(75, 1_003), Some(1_040));
    assert_eq!(held(120, 1_003), Some(1_080), "all at the same moments");
    assert_eq!(held(300, 1_019), Some(1_080), "no later than two fifths of what they may be");
    assert_eq!(capacity::coalesce_until(300, 300, Duration::ZERO, Duration::from_secs(1)), None);
}

fn sharing(connections: u32, admission_limit: u32, boxes: usize) -> QuotaInputs {
    QuotaInputs { connections, admission_limit, boxes, draw: 0 }
}

/// A box whose callers share one engine's parts needs as many connections there as the engine has slots;
/// shared evenly among 295 boxes it would have five.
#[test]
fn a_box_may_use_all_slots_of_an_engine_and_keeps_its_even_part() {
    let allowed = ConnectionQuota::new(sharing(1_900, 12, 295), true);
    assert_eq!(allowed, ConnectionQuota { open_max: 12, kept_max: 5 });
    assert_eq!(
        ConnectionQuota::new(sharing(1_900, 12, 295), false),
        ConnectionQuota { open_max: 5, kept_max: 5 }
    );
    assert_eq!(
        ConnectionQuota::new(sharing(370, 64, 9), true),
        ConnectionQuota { open_max: 64, kept_max: 11 }
    );
}

/// Load: 75 boxes of which 11 have just been added, each with as many requests for one upstream as it can get:
/// they opened 450 connections where 440 are taken, and its resets cost requests that can't be sent again. The
/// same at all sizes, also while two boxes believe to own the upstream.
#[test]
fn all_boxes_together_stay_below_what_an_upstream_takes() {
    for connections in [50, 110, 370, 440, 580, 1_800, 1_900] {
        for admission_limit in [2, 6, 12, 18, 32, 64] {
            for boxes in [1, 9, 16, 30, 64, 100, 295, 342, 1_000] {
                check_sum(connections, admission_limit, boxes);
            }
        }
    }
}

fn check_sum(connections: u32, admission_limit: u32, boxes: usize) {
    let mut rng = SmallRng::seed_from_u64(boxes as u64);
    // The others haven't heard of them yet.
    let all = boxes + boxes * 17 / 100;
    let allowed = |is_placed, draw| {
        let sharing = QuotaInputs { connections, admission_limit, boxes, draw };
        ConnectionQuota::new(sharing, is_placed)
    };
    let kept: u32 = (0..all).map(|_| allowed(false, rng.random()).open_max).sum();
    let placed = allowed(true, 0).open_max.min(admission_limit);
    let what = format!("{connections} connections, {admission_limit} placed, {boxes} boxes");
    assert!(kept + 2 * placed <= connections, "{what}: {kept} kept, {placed} placed twice");
    assert_ne!(placed, 0, "{what}: nobody starves whose requests the owner places");
    // Who may have none at one upstream may at another.
    let draws =
        |rng: &mut SmallRng| (0..40).map(|_| allowed(false, rng.random()).kept_max).sum::<u32>();
    let has_some = (0..100).all(|_| draws(&mut rng) != 0);
    assert!(has_some || connections < 2 * boxes as u32, "{what}: a box has no connection at all");
}
