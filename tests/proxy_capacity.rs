//! Limits of a box: how many streams it relays, how many callers it connects, and how many
//! connections to an upstream it opens.

use std::time::Duration;

use frostdyke::proxy::capacity;
use frostdyke::proxy::capacity::StreamLimiter;
use frostdyke::proxy::connection_limiter::ConnectionLimiter;
use frostdyke::proxy::upstream_connections::ConnectionQuota;
use frostdyke::proxy::upstream_connections::QuotaInputs;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Limit that a box starts with.
const INITIAL_LIMIT: usize = 300;
const LATE: Duration = Duration::from_millis(120);
const ON_TIME: Duration = Duration::from_millis(1);

/// A slow machine delays timers even when the box itself has little to do.
#[test]
fn late_timers_do_not_lower_the_limit_while_few_streams_run() {
    let mut limiter = StreamLimiter::new(INITIAL_LIMIT);
    let limits: Vec<usize> = (0..50).map(|_| limiter.record_tick(LATE, 10)).collect();
    assert!(limiter.is_overloaded() && !limiter.is_full());
    assert_eq!(limits, [INITIAL_LIMIT; 50]);
}

/// A limit at the current number of streams would keep an overloaded box overloaded.
#[test]
fn an_overloaded_box_lowers_its_limit_below_its_stream_count() {
    let mut limiter = StreamLimiter::new(INITIAL_LIMIT);
    let limits: Vec<usize> = (0..10).map(|_| limiter.record_tick(LATE, 300)).collect();
    assert!(limiter.is_overloaded() && limiter.is_full());
    assert!(limits[9] < 250, "{limits:?}");
    assert!(limits[4..].is_sorted_by(|a, b| b < a), "{limits:?}");
    let low = (0..100).map(|_| limiter.record_tick(LATE, 300)).last();
    assert_eq!(low, Some(150), "half of the initial limit always remains");
}

/// A limit that rises while unused would admit too many streams in the next burst.
#[test]
fn the_limit_rises_only_when_nearly_reached() {
    let mut limiter = StreamLimiter::new(INITIAL_LIMIT);
    let calm: Vec<usize> = (0..20).map(|_| limiter.record_tick(ON_TIME, 200)).collect();
    assert_eq!(calm, [INITIAL_LIMIT; 20]);
    let busy = (0..20).map(|_| limiter.record_tick(ON_TIME, 290)).last();
    assert!(busy.is_some_and(|limit| INITIAL_LIMIT + 10 < limit), "{busy:?}");
}

/// Without hysteresis a box near its limit would alternate between full and not full.
#[test]
fn a_full_box_stays_full_until_there_is_room() {
    let mut limiter = StreamLimiter::new(INITIAL_LIMIT);
    let mut full = |streams| {
        limiter.record_tick(ON_TIME, streams);
        limiter.is_full()
    };
    assert!(!full(200));
    assert!(full(280));
    assert!(full(200));
    assert!(!full(150));
    assert!(!full(200));
}

/// A box that can relay 200 streams is offered twice as many. Each tick a twentieth of the running
/// streams ends.
#[test]
fn the_limit_settles_near_the_capacity_of_the_box() {
    let mut limiter = StreamLimiter::new(INITIAL_LIMIT);
    let (mut running, mut limit) = (0.0, INITIAL_LIMIT);
    let mut seen = Vec::new();
    for _ in 0..600 {
        running -= running / 20.0;
        running += f64::min(20.0, (limit as f64 - running).max(0.0));
        let late = if running < 200.0 { ON_TIME } else { LATE };
        limit = limiter.record_tick(late, running as usize);
        seen.push(running);
    }
    let mean = seen[200..].iter().sum::<f64>() / 400.0;
    assert!((160.0..220.0).contains(&mean), "{mean}");
}

/// Load: 1,100 connections a second at a box of 0.12 cores, which can start some 100 requests a
/// second. When all were admitted, they waited for seconds and no other caller got a connection.
#[test]
fn an_overloaded_box_admits_only_connections_it_can_serve_soon() {
    let mut limiter = ConnectionLimiter::new(0.12);
    let millis = Duration::from_millis;
    let mut admitted = Vec::new();
    let burst =
        (0..110).filter(|_| limiter.try_admit(0, millis(0)).map(|e| admitted.push(e)).is_some());
    assert_eq!(burst.count(), 36);
    // Their requests have arrived and wait to be sent.
    admitted.iter().for_each(|e| e.note_request());
    assert!(limiter.try_admit(36, millis(10)).is_none());
    assert!(limiter.try_admit(10, millis(10)).is_some());
}

/// Callers may open connections long before they send a request.
#[test]
fn idle_connections_do_not_block_new_ones() {
    let mut limiter = ConnectionLimiter::new(0.12);
    for n in 0..1_000 {
        assert!(limiter.try_admit(0, Duration::from_millis(5 * n)).is_some(), "the {n}th");
    }
}

/// Load: more callers than a box can hold connections of. A box of 160 MB and 4,100 descriptors,
/// limited by its descriptors alone, came to 160.0 MB and is killed above that. A connection takes
/// 34 KB.
#[test]
fn caller_connections_are_limited_by_memory_too() {
    let connections_max =
        |descriptors, mb: usize| capacity::caller_connections_max(descriptors, mb << 20);
    for (descriptors, mb) in [(4_100, 160), (8_192, 512), (4_100, 260), (1_024, 160), (4_100, 40)] {
        // Connections to upstreams add to these, in the same proportion as for descriptors.
        let sockets = connections_max(descriptors, mb) as f64 / 0.65;
        let used_mb = sockets * 34.0 / 1024.0 + 20.0;
        assert!(used_mb <= mb as f64 * 0.85 || mb < 60, "{mb} MB: {used_mb}");
        assert!(sockets <= descriptors as f64);
    }
    assert_eq!(connections_max(4_100, 260), 2_665, "with enough memory, descriptors limit");
    assert_eq!(connections_max(4_100, 0), 2_665, "no bound");
}

/// Writing each chunk at once overloads a box with many streams. A box of 0.12 cores starts with a
/// limit of 300 streams, whose chunks may be 200 ms late.
#[test]
fn chunks_are_coalesced_longer_the_more_streams_run() {
    let late_max = Duration::from_millis(200);
    let coalesced = |streams, now| {
        let now = Duration::from_millis(now);
        capacity::coalesce_until(streams, 300, late_max, now).map(|until| until.as_millis() as u64)
    };
    assert_eq!(coalesced(30, 1_003), None, "chunks of few streams are relayed at once");
    assert_eq!(coalesced(75, 1_003), Some(1_040));
    assert_eq!(coalesced(120, 1_003), Some(1_080), "all streams are written at the same ticks");
    assert_eq!(
        coalesced(300, 1_019),
        Some(1_080),
        "no later than two fifths of the permitted delay"
    );
    assert_eq!(capacity::coalesce_until(300, 300, Duration::ZERO, Duration::from_secs(1)), None);
}

fn quota_inputs(connections: u32, admission_limit: u32, boxes: usize) -> QuotaInputs {
    QuotaInputs { connections, admission_limit, boxes, draw: 0 }
}

/// A box whose callers share one engine's cached parts needs as many connections to it as the
/// engine has slots; an even share among 295 boxes would be five.
#[test]
fn a_box_may_use_all_slots_of_an_engine_and_keeps_its_even_share() {
    let quota = ConnectionQuota::new(quota_inputs(1_900, 12, 295), true);
    assert_eq!(quota, ConnectionQuota { open_max: 12, kept_max: 5 });
    assert_eq!(
        ConnectionQuota::new(quota_inputs(1_900, 12, 295), false),
        ConnectionQuota { open_max: 5, kept_max: 5 }
    );
    assert_eq!(
        ConnectionQuota::new(quota_inputs(370, 64, 9), true),
        ConnectionQuota { open_max: 64, kept_max: 11 }
    );
}

/// Load: 75 boxes, of which 11 have just been added, each with as many requests for one upstream as
/// it can get. They opened 450 connections where 440 are accepted, and the resets cost requests
/// that can't be retried. The quotas must hold at all sizes, also while two boxes believe they own
/// the upstream.
#[test]
fn the_quotas_of_all_boxes_stay_below_an_upstreams_limit() {
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
    // The other boxes don't know yet that some were added.
    let all = boxes + boxes * 17 / 100;
    let quota = |is_placed, draw| {
        let quota_inputs = QuotaInputs { connections, admission_limit, boxes, draw };
        ConnectionQuota::new(quota_inputs, is_placed)
    };
    let kept: u32 = (0..all).map(|_| quota(false, rng.random()).open_max).sum();
    let placed = quota(true, 0).open_max.min(admission_limit);
    let what = format!("{connections} connections, {admission_limit} placed, {boxes} boxes");
    assert!(kept + 2 * placed <= connections, "{what}: {kept} kept, {placed} placed twice");
    assert_ne!(placed, 0, "{what}: no connection for requests that the owner placed");
    // A box without a connection to one upstream may have one to another.
    let draws =
        |rng: &mut SmallRng| (0..40).map(|_| quota(false, rng.random()).kept_max).sum::<u32>();
    let has_some = (0..100).all(|_| draws(&mut rng) != 0);
    assert!(has_some || connections < 2 * boxes as u32, "{what}: a box has no connection at all");
}
