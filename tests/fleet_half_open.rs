//! Half-open probes: upstreams that are believed to be late, slow or full and get no requests.

use std::net::IpAddr;
use std::time::Duration;

use frostdyke::fleet::in_progress::CONFIRMED_FOR;
use frostdyke::fleet::in_progress::RequestRecord;
use frostdyke::fleet::in_progress::received::ListedRequests;
use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::admit;
use frostdyke::placement::admit::Denial;
use frostdyke::placement::admit::PlacementQuery;
use frostdyke::placement::admit::Purpose;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::choice::ChoiceError;
use frostdyke::placement::cold::ColdLimits;
use frostdyke::placement::cold::Role;
use frostdyke::placement::plain;
use frostdyke::placement::plain::PlainQuery;
use frostdyke::placement::reconnect::ReconnectPace;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::share::Shares;
use frostdyke::placement::tuning::Tuning;
use frostdyke::placement::upstream::Health;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;
use frostdyke::proxy::routing_table::Rank;

const LIMITS: EngineLimits =
    EngineLimits { slots: 4, memory_tokens: 500_000, copied_per_s: 400_000, cold: None };

const SENDER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 9));

/// An interval between requests that makes the tests' callers many.
const STEP_MS: u64 = 20;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(n: usize) -> UpstreamName {
    UpstreamName::from(&*format!("u{n}"))
}

fn listed(n: usize, service: &str) -> UpstreamListing {
    UpstreamListing {
        name: name(n),
        service: ServiceName::from(service),
        addr: ([10, 9, 0, n as u8], 80).into(),
        zone: ZoneName::from("zone-0"),
        version: VersionName::from("v1"),
        slots: 4,
        started_at_ms: None,
        leaving: false,
        cold_for: None,
    }
}

/// A box that decides on some upstreams, of which it can't place a request on any.
struct Decider {
    registry: UpstreamRegistry,
    shares: Shares,
    requests: u64,
    role: Role,
    is_repeatable: bool,
    is_last_group: bool,
}

impl Decider {
    fn new(engines: usize, limits: EngineLimits) -> Decider {
        let mut registry = UpstreamRegistry::new(ZoneName::from("zone-0"), Tuning::default());
        (0..engines).for_each(|n| registry.upsert(listed(n, "llm"), Some(limits)));
        Decider {
            registry,
            shares: Shares::new(Duration::from_secs(4)),
            requests: 0,
            role: Role::Owner,
            is_repeatable: true,
            is_last_group: true,
        }
    }

    fn plain(upstreams: usize) -> Decider {
        let mut decider = Decider::new(0, LIMITS);
        (0..upstreams).for_each(|n| decider.registry.upsert(listed(n, "ledger"), None));
        decider
    }

    fn place(&mut self, ms: u64) -> Result<Choice, Denial> {
        self.requests += 1;
        let own = PromptPart { id: self.requests, tokens: 2_000 };
        let prompt = Prompt { tokens: 2_000, output_tokens_max: 100, parts: vec![own] };
        let query = PlacementQuery {
            request: self.requests,
            service: "llm",
            prompt: &prompt,
            workspace: None,
            excluded: &[],
            target_latency: millis(900),
            waited: Duration::ZERO,
            group: None,
            version_filter: VersionFilter::Any,
            zone: None,
            sender: Some(SENDER),
            source: None,
            purpose: Purpose::Place,
            is_last_group: self.is_last_group,
            connected: &[],
            rank: Rank::default(),
            role: self.role,
            is_repeatable: self.is_repeatable,
        };
        admit::admit(&mut self.registry, &mut self.shares, query, millis(ms))
    }

    fn place_plain(&mut self, ms: u64) -> Result<Choice, Denial> {
        self.requests += 1;
        let zone = ZoneName::from("zone-0");
        let query = PlainQuery {
            request: self.requests,
            service: "ledger",
            workspace: None,
            excluded: &[],
            version_filter: VersionFilter::Any,
            target_latency: millis(100),
            waited: Duration::ZERO,
            zone: &zone,
            sender: Some(SENDER),
            is_repeatable: self.is_repeatable,
            role: self.role,
        };
        plain::admit(&mut self.registry, &mut self.shares, query, millis(ms))
    }

    /// Requests come in all the time, and nothing is ever returned. Returns when each upstream got
    /// one.
    fn placed_at(&mut self, upstreams: usize, until_ms: u64) -> Vec<Vec<u64>> {
        let mut placed = vec![Vec::new(); upstreams];
        for ms in (0..until_ms).step_by(STEP_MS as usize) {
            let Ok(choice) = self.place(ms) else { continue };
            let n = (0..upstreams).find(|n| name(*n) == choice.upstream).expect("it is listed");
            placed[n].push(ms);
        }
        placed
    }
}

/// Engines that were believed late got nothing for up to 20 s, while thousands were refused: each
/// must get a request a second at least, and they must not get many.
#[test]
fn engines_that_are_believed_late_get_a_request_a_second() {
    let mut decider = Decider::new(3, EngineLimits { slots: 64, ..LIMITS });
    for (n, times) in decider.placed_at(3, 10_000).into_iter().enumerate() {
        let late: Vec<u64> = times.into_iter().filter(|ms| 1_500 <= *ms).collect();
        for pair in late.windows(2) {
            let pause = pair[1] - pair[0];
            assert!((500..=1_000).contains(&pause), "engine {n}: {pause} ms between requests");
        }
        assert!(late.len() >= 8, "engine {n} got {} requests in 8.5 s", late.len());
    }
}

/// While an engine is believed late, no caller is refused because of a longer wait than two
/// seconds.
#[test]
fn no_believed_wait_exceeds_two_seconds() {
    let mut decider = Decider::new(3, EngineLimits { slots: 64, ..LIMITS });
    for ms in (0..10_000).step_by(STEP_MS as usize) {
        if let Err(Denial { cause: ChoiceError::Busy { wait }, .. }) = decider.place(ms) {
            assert!(wait <= millis(2_000), "{wait:?} believed after {ms} ms");
        }
    }
}

/// A probe that is answered shows that the engine works: it gets requests as usual at once.
#[test]
fn an_answered_probe_ends_the_pause() {
    let mut decider = Decider::new(1, EngineLimits { slots: 64, ..LIMITS });
    while decider.place(0).is_ok() {}
    let probe = decider.place(2_000).expect("it is due for a probe");
    assert!(probe.is_probe);
    let request = decider.requests;
    assert!(decider.place(2_020).is_err());
    let took = Some(millis(40));
    decider.registry.record_first_token(&probe.upstream, request, took, millis(2_040));
    let next = decider.place(2_060).expect("it works");
    assert!(!next.is_probe);
}

/// An engine whose first tokens arrive isn't left alone, however long its honest queue is: a probe
/// would only lengthen it.
#[test]
fn an_engine_that_returns_first_tokens_is_not_probed() {
    let mut decider = Decider::new(1, EngineLimits { slots: 64, ..LIMITS });
    let mut placed = Vec::new();
    while let Ok(choice) = decider.place(0) {
        placed.push((decider.requests, choice));
    }
    for (n, (request, choice)) in placed.iter().take(4).enumerate() {
        let ms = 300 * (n as u64 + 1);
        let took = Some(millis(ms));
        decider.registry.record_first_token(&choice.upstream, *request, took, millis(ms));
        if let Ok(choice) = decider.place(ms + 1) {
            assert!(!choice.is_probe, "probed after {ms} ms");
        }
    }
}

/// An engine whose requests are all confirmed by their senders is full, and not only believed so.
#[test]
fn a_full_engine_is_probed_only_when_senders_no_longer_confirm_its_requests() {
    let mut decider = Decider::new(1, LIMITS);
    for n in 0..4 {
        let choice = decider.place(n * 400).expect("a slot is free");
        let (request, took) = (decider.requests, Some(millis(100)));
        decider.registry.record_first_token(&choice.upstream, request, took, millis(n * 400 + 100));
    }
    // Each is confirmed by the report of its sender, and has its first token.
    let listed = frostdyke::fleet::in_progress::received::ListedRequests {
        ids: (1..=4u64).map(|id| id.into()).collect(),
        with_first_token: (1..=4u64).map(|id| id.into()).collect(),
        complete: None,
    };
    decider.registry.reconcile(Some(SENDER), &listed, millis(2_000));
    assert!(decider.place(2_600).is_err(), "it is full");
    let probe = decider.place(3_200).expect("nothing confirms that it is still full");
    assert!(probe.is_probe);
}

/// The probe of an engine that doesn't respond may fail: a request that can't be repeated goes
/// there only if no other one comes for most of a second.
#[test]
fn a_request_that_cannot_be_repeated_lets_others_go_first() {
    let mut decider = Decider::new(1, EngineLimits { slots: 64, ..LIMITS });
    while decider.place(0).is_ok() {}
    decider.is_repeatable = false;
    decider.place(3_000).expect("none has come for long");
    assert!(decider.place(3_600).is_err());
    decider.is_repeatable = true;
    assert!(decider.place(3_620).is_ok());
    decider.is_repeatable = false;
    assert!(decider.place(4_400).is_err());
    assert!(decider.place(4_540).is_ok());
}

/// Where all engines of a service are in one group, no request ever comes that has tried others.
#[test]
fn a_request_that_other_groups_may_take_lets_others_go_first() {
    let mut decider = Decider::new(1, EngineLimits { slots: 64, ..LIMITS });
    while decider.place(0).is_ok() {}
    decider.is_last_group = false;
    decider.place(3_000).expect("none has come for long");
    assert!(decider.place(3_600).is_err());
    assert!(decider.place(3_920).is_ok());
}

/// An engine in cooldown may break the connection again.
#[test]
fn an_engine_in_cooldown_is_probed_only_by_repeatable_requests() {
    let mut decider = Decider::new(2, EngineLimits { slots: 64, ..LIMITS });
    for _ in 0..6 {
        decider.registry.request_ended(&name(0), Some(Health::Broken), millis(0));
    }
    let mut placed = Vec::new();
    while let Ok(choice) = decider.place(1_000) {
        placed.push(choice.upstream);
    }
    // All went to the other engine, but one.
    assert_eq!(placed.iter().filter(|upstream| **upstream == name(0)).count(), 1);
    decider.is_repeatable = false;
    while decider.place(2_500).is_ok() {}
    decider.is_repeatable = true;
    let probe = decider.place(2_500).expect("it is due for a probe");
    assert_eq!((probe.upstream, probe.is_probe), (name(0), true));
}

/// A cold engine that gets more than it bears crashes; an unverified one is probed by connecting.
#[test]
fn cold_and_unverified_engines_are_not_probed() {
    let cold = ColdLimits { duration: Duration::from_secs(20), min_interval: millis(2_000) };
    let mut decider = Decider::new(1, EngineLimits { cold: Some(cold), ..LIMITS });
    decider.registry.mark_cold(&name(0), None, millis(0));
    let placed = decider.placed_at(1, 10_000);
    assert!(placed[0].len() <= 5, "{} requests in ten seconds", placed[0].len());

    let mut decider = Decider::new(2, EngineLimits { slots: 64, ..LIMITS });
    decider.registry.mark_unverified(&name(0), true, millis(0));
    let placed = decider.placed_at(2, 5_000);
    assert_eq!(placed[0], Vec::<u64>::new());
    assert!(!placed[1].is_empty());
}

/// A box that decides by incomplete state would add its probes to those of the others.
#[test]
fn a_box_without_a_role_sends_no_probe() {
    let mut decider = Decider::new(1, EngineLimits { slots: 64, ..LIMITS });
    while decider.place(0).is_ok() {}
    decider.role = Role::Unassigned;
    assert!(decider.place(3_000).is_err());
}

/// In a small fleet each box decides by itself: they take turns, so that one probe is known to the
/// others before these send theirs.
#[test]
fn peers_take_turns() {
    let mut first = Vec::new();
    for draw in 0..16 {
        let mut decider = Decider::new(1, EngineLimits { slots: 64, ..LIMITS });
        while decider.place(0).is_ok() {}
        decider.role = Role::Peer { boxes: 16, draw };
        decider.place(5_000).expect("it is due");
        let at = (5_000..7_000).step_by(5).find(|ms| decider.place(*ms).is_ok());
        first.push(at.expect("it is due again") - 5_000);
    }
    assert!(first.iter().all(|pause| (500..1_000).contains(pause)), "{first:?}");
    first.sort_unstable();
    assert!(first.windows(2).all(|pair| pair[0] + 20 <= pair[1]), "{first:?}");
}

/// Eighteen requests without an end blocked all callers of a plain service: 25 placed and 1,375
/// refused in a second.
#[test]
fn plain_upstreams_that_are_believed_full_get_a_request_a_second() {
    let mut decider = Decider::plain(2);
    while decider.place_plain(0).is_ok() {}
    let mut last = [0; 2];
    for ms in (0..2_400).step_by(STEP_MS as usize) {
        if let Ok(choice) = decider.place_plain(ms) {
            let n = (0..2).find(|n| name(*n) == choice.upstream).expect("it is listed");
            last[n] = ms;
        }
        for (n, last) in last.iter().enumerate() {
            let pause = ms - last;
            assert!(pause <= 1_000, "upstream {n} got nothing for {pause} ms");
        }
    }
}

/// A probe was sent to a plain upstream that was full of requests which their senders confirm.
#[test]
fn a_full_plain_upstream_is_probed_only_when_senders_no_longer_confirm_its_requests() {
    let mut decider = Decider::plain(1);
    // Ids whose halves differ.
    let ids = || (1..=12u64).map(|n| n << 32);
    let adopt = |decider: &mut Decider, ms| {
        for request in ids() {
            let record = RequestRecord {
                request,
                upstream: name(0),
                age_ms: 0,
                tokens: 0,
                cached_tokens: 0,
                prefill_tokens: 0,
                has_first_token: false,
            };
            let adopted = decider.registry.adopt_request(&record, Some(SENDER), millis(ms));
            assert_eq!(adopted, Ok(()));
        }
    };
    let confirmed_ms = CONFIRMED_FOR.as_millis() as u64;
    let probe_after = |decider: &mut Decider, ms: u64| {
        for ms in (ms..=ms + confirmed_ms).step_by(50) {
            assert!(decider.place_plain(ms).is_err(), "probed after {ms} ms");
        }
        let probe = decider.place_plain(ms + confirmed_ms + 1).expect("nothing confirms them");
        assert!(probe.is_probe);
    };
    adopt(&mut decider, 0);
    let ids = ids().map(|id| id.into()).collect();
    let listed = ListedRequests { ids, ..ListedRequests::default() };
    let reconciliation = decider.registry.reconcile(Some(SENDER), &listed, millis(2_000));
    assert!(reconciliation.unknown.is_empty());
    probe_after(&mut decider, 2_000);
    adopt(&mut decider, 4_000);
    probe_after(&mut decider, 4_000);
}

/// Attempts to connect that a silent upstream leaves without a response end after this long.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Interval at which a box looks for attempts that are due.
const CHECK_MS: u64 = 100;

/// Most attempts a second of all boxes together, once each that noticed has made its first.
const ATTEMPTS_PER_S_MAX: usize = 100;

/// All boxes of a fleet notice within 100 ms that an upstream is unreachable, which lasts `down_ms`.
/// Returns how long after that the last of the deciding boxes has reached it, and the most attempts
/// in any second after the first one.
fn reconnect(boxes: usize, deciders: usize, is_silent: bool, down_ms: u64) -> (u64, usize) {
    let upstream = name(0);
    let pace = |n: usize| ReconnectPace {
        decides: n < deciders,
        boxes,
        draw: frostdyke::util::mix_bits(n as u64) as u32,
    };
    let offset = |n: usize| frostdyke::util::mix_bits(7_000 + n as u64) % CHECK_MS;
    let mut registries: Vec<UpstreamRegistry> =
        (0..boxes).map(|_| Decider::new(1, LIMITS).registry).collect();
    let mut pending: Vec<Vec<(u64, bool)>> = vec![Vec::new(); boxes];
    let (mut attempts, mut reached) = (Vec::new(), vec![None; boxes]);
    for ms in 0..down_ms + 3_000 {
        for (n, registry) in registries.iter_mut().enumerate() {
            if ms == offset(n) {
                registry.mark_unverified(&upstream, true, millis(ms));
            }
            let (ended, running) = pending[n].iter().partition(|(end, _)| *end <= ms);
            pending[n] = running;
            let ended: Vec<(u64, bool)> = ended;
            for (_, has_succeeded) in ended {
                if !has_succeeded {
                    registry.record_connect_failure(&upstream, pace(n), millis(ms));
                } else if registry.mark_reachable(&upstream) {
                    reached[n] = Some(ms);
                }
            }
            if ms % CHECK_MS != offset(n) {
                continue;
            }
            for _ in registry.take_due_probes(|_, _| pace(n), millis(ms)) {
                attempts.push(ms);
                let has_succeeded = down_ms <= ms;
                let took = if is_silent && !has_succeeded { CONNECT_TIMEOUT_MS } else { 1 };
                pending[n].push((ms + took, has_succeeded));
            }
        }
    }
    let last = reached[..deciders].iter().map(|at| at.unwrap_or(u64::MAX)).max();
    let within =
        |from: u64| attempts.iter().filter(|ms| (from..from + 1_000).contains(*ms)).count();
    let most = (1_000..down_ms - 1_000).step_by(50).map(within).max();
    (last.unwrap_or(u64::MAX) - down_ms, most.unwrap_or_default())
}

/// An upstream that was reachable again got no request for up to 2.4 s while its service refused,
/// and 300 boxes connected to it in each of these 2.4 s.
#[test]
fn an_upstream_that_is_reachable_again_gets_requests_within_a_second_and_is_not_flooded() {
    for (boxes, deciders) in [(1, 1), (3, 3), (16, 16), (17, 2), (69, 2), (300, 2)] {
        for is_silent in [false, true] {
            for down_ms in [2_600, 4_990, 9_450, 20_130] {
                let (after_ms, most) = reconnect(boxes, deciders, is_silent, down_ms);
                let case = format!("{boxes} boxes, silent {is_silent}, {down_ms} ms");
                println!("{case}: reached after {after_ms} ms, {most} attempts a second");
                assert!(after_ms <= 1_000, "{case}: {after_ms} ms");
                assert!(most <= ATTEMPTS_PER_S_MAX, "{case}: {most}");
            }
        }
    }
}
