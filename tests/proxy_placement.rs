//! Selection of an engine for a prompt.

use std::time::Duration;

use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::choice::ChoiceError;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::engine::Placement;
use frostdyke::placement::reconnect::ReconnectPace;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::tuning::Tuning;
use frostdyke::placement::upstream::Health;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;

const LIMITS: EngineLimits =
    EngineLimits { slots: 64, memory_tokens: 500_000, copied_per_s: 400_000, cold: None };

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn listed(n: u8) -> UpstreamListing {
    UpstreamListing {
        name: UpstreamName::from(&*format!("e{n}")),
        service: ServiceName::from("llm"),
        addr: ([127, 0, 0, n], 80).into(),
        zone: ZoneName::from(if n < 3 { "a" } else { "b" }),
        version: VersionName::from("v1"),
        slots: 64,
        started_at_ms: None,
        leaving: false,
        cold_for: None,
    }
}

fn registry(engines: u8) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::new(ZoneName::from("a"), Tuning::default());
    (1..=engines).for_each(|n| registry.upsert(listed(n), Some(LIMITS)));
    registry
}

/// A prompt with a shared part of 13,000 tokens and an own one of 3,000.
fn prompt(shared: u64, own: u64) -> Prompt {
    let parts =
        vec![PromptPart { id: shared, tokens: 13_000 }, PromptPart { id: own, tokens: 3_000 }];
    Prompt { tokens: 16_000, output_tokens_max: 100, parts }
}

fn choose(registry: &UpstreamRegistry, prompt: &Prompt, ms: u64) -> Result<Choice, ChoiceError> {
    choose_within(registry, prompt, ms, Duration::MAX)
}

fn choose_within(
    registry: &UpstreamRegistry,
    prompt: &Prompt,
    ms: u64,
    wait_max: Duration,
) -> Result<Choice, ChoiceError> {
    let (prompt, excluded) = (Some(prompt), &[][..]);
    let criteria = SelectionCriteria::any("llm", prompt, excluded, wait_max);
    registry.choose(criteria, millis(ms))
}

fn send(registry: &mut UpstreamRegistry, prompt: &Prompt, request: u64, ms: u64) -> Choice {
    let choice = choose(registry, prompt, ms).expect("there is an engine");
    let Choice { prefill_tokens, copied_tokens, .. } = choice;
    let placement = Placement {
        request,
        prompt,
        prefill_tokens,
        copied_tokens,
        sender: None,
        decided_by: None,
    };
    registry.place(&choice.upstream, placement, millis(ms));
    choice
}

fn finish(registry: &mut UpstreamRegistry, choice: &Choice, request: u64, ms: u64) {
    registry.record_first_token(&choice.upstream, request, None, millis(ms));
    registry.remove_request(&choice.upstream, request);
}

/// Elsewhere the shared part would have to be prefilled again.
#[test]
fn a_prompt_goes_to_the_engine_with_its_cached_parts() {
    let mut registry = registry(4);
    let first = send(&mut registry, &prompt(1, 100), 1, 0);
    assert_eq!(first.prefill_tokens, 16_000);
    finish(&mut registry, &first, 1, 400);
    let second = send(&mut registry, &prompt(1, 101), 2, 5_000);
    assert_eq!(second.upstream, first.upstream);
    assert_eq!((second.prefill_tokens, second.copied_tokens), (3_000, 0));
}

/// Without a copy, a popular prompt prefix overloads the one engine that has cached it.
#[test]
fn cached_parts_of_a_busy_engine_are_copied_to_another() {
    let mut registry = registry(2);
    let first = send(&mut registry, &prompt(1, 100), 1, 0);
    finish(&mut registry, &first, 1, 400);
    let mut copied = None;
    for request in 2..30 {
        let choice = send(&mut registry, &prompt(1, 100 + request), request, 5_000);
        if choice.upstream != first.upstream {
            copied = Some(choice);
            break;
        }
    }
    let copied = copied.expect("the load moves on");
    assert_eq!(copied.copied_tokens, 13_000);
    assert_eq!(copied.prefill_tokens, 3_000);
    assert_eq!(copied.copy_from.map(|a| a.ip()), Some(first.addr.ip()));
}

/// When many boxes died at once, their requests still filled the trackers of the engines, though
/// the engines had dropped them, and the other boxes were refused for want of slots (found on
/// inc-e393).
#[test]
fn requests_of_a_dead_box_free_their_slots_at_once() {
    let mut registry = registry(1);
    let (dead, alive) = (Some([10, 0, 0, 1].into()), Some([10, 0, 0, 2].into()));
    for request in 0..64 {
        let sender = if request < 40 { dead } else { alive };
        let small = Prompt { tokens: 10, output_tokens_max: 1, parts: Vec::new() };
        let placement = Placement {
            request,
            prompt: &small,
            prefill_tokens: 10,
            copied_tokens: 0,
            sender,
            decided_by: None,
        };
        registry.place(&UpstreamName::from("e1"), placement, millis(0));
    }
    assert_eq!(choose(&registry, &prompt(1, 100), 0), Err(ChoiceError::Full));
    registry.remove_sender([10, 0, 0, 1].into());
    let choice = choose(&registry, &prompt(1, 100), 0).expect("there is room");
    assert_eq!(choice.running, 24);
}

/// Engines are replaced one after the other; without a copy their cached parts would have to be
/// prefilled again.
#[test]
fn cached_parts_of_a_leaving_engine_are_copied() {
    let mut registry = registry(2);
    let first = send(&mut registry, &prompt(1, 100), 1, 0);
    finish(&mut registry, &first, 1, 400);
    registry.mark_leaving(&first.upstream);
    let next = choose(&registry, &prompt(1, 101), 5_000).expect("the other stays");
    assert_ne!(next.upstream, first.upstream);
    assert_eq!((next.copied_tokens, next.copy_from), (13_000, Some(first.addr)));
    registry.mark_unverified(&first.upstream, true, millis(5_000));
    let next = choose(&registry, &prompt(1, 101), 5_000).expect("the other stays");
    assert_eq!((next.copied_tokens, next.copy_from), (0, None), "it may be gone");
}

/// Requests stayed with the busy engine that had cached their parts and were refused there, while
/// other engines were idle (journal 7db18c42).
#[test]
fn a_prompt_that_cannot_wait_goes_to_a_free_engine() {
    let mut registry = registry(2);
    let first = send(&mut registry, &prompt(1, 100), 1, 0);
    finish(&mut registry, &first, 1, 400);
    send(&mut registry, &prompt(1, 101), 2, 5_000);
    send(&mut registry, &prompt(1, 102), 3, 5_000);
    let tolerant = choose(&registry, &prompt(1, 103), 5_000).expect("there is an engine");
    assert_eq!(tolerant.upstream, first.upstream);
    let urgent = choose_within(&registry, &prompt(1, 103), 5_000, millis(50));
    assert_ne!(urgent.expect("the other is free").upstream, first.upstream);
}

/// The wait tells the caller when a retry makes sense.
#[test]
fn a_prompt_that_no_engine_can_take_in_time_gets_the_expected_wait() {
    let mut registry = registry(1);
    send(&mut registry, &prompt(1, 100), 1, 0);
    let busy = choose_within(&registry, &prompt(2, 101), 0, millis(50));
    assert!(matches!(busy, Err(ChoiceError::Busy { wait }) if millis(300) < wait), "{busy:?}");
}

/// Boxes that have just started must not spread a shared prefix over all engines.
#[test]
fn boxes_without_state_choose_the_same_engine() {
    for shared in 0..20 {
        let prompts = (prompt(shared, 1), prompt(shared, 2));
        let one = choose(&registry(9), &prompts.0, 0).expect("there is an engine");
        let other = choose(&registry(9), &prompts.1, 0).expect("there is an engine");
        assert_eq!(one.upstream, other.upstream);
    }
}

/// A box learns of a prefill only when it is complete; until then it must estimate what is left.
#[test]
fn the_expected_wait_falls_as_prefill_proceeds() {
    let mut registry = registry(1);
    send(&mut registry, &prompt(1, 100), 1, 0);
    let at_once = choose(&registry, &prompt(2, 101), 0).expect("there is an engine").wait;
    let later = choose(&registry, &prompt(2, 101), 200).expect("there is an engine").wait;
    assert!(later < at_once);
    let long_after = choose(&registry, &prompt(2, 101), 450).expect("there is an engine").wait;
    assert!(long_after < millis(100));
}

/// An engine that is slower than expected would otherwise look idle when its estimate has run out.
/// Where the expected wait grew without bound, an engine that had recovered got nothing for as long
/// again.
#[test]
fn an_overdue_first_token_keeps_the_expected_wait_high() {
    let mut registry = registry(1);
    send(&mut registry, &prompt(1, 100), 1, 0);
    for (ms, expected) in [(1_500, 700..1_500), (2_000, 1_200..2_000), (5_000, 2_000..2_001)] {
        let wait = choose(&registry, &prompt(2, 101), ms).expect("there is an engine").wait;
        assert!(expected.contains(&(wait.as_millis() as u64)), "{wait:?} after {ms} ms");
        let excluded = [];
        let criteria = SelectionCriteria::any("llm", None, &excluded, millis(630));
        let criteria = SelectionCriteria { prompt: Some(&prompt(2, 101)), ..criteria };
        assert!(registry.choose(criteria, millis(ms)).is_err(), "refused after {ms} ms");
    }
}

/// Requests of a box that was killed stayed in the trackers of the others for 20 s (found by
/// incident hk-frostdyke e393).
#[test]
fn requests_of_a_dead_box_are_dropped_once_later_ones_are_prefilled() {
    let mut registry = registry(1);
    for request in 0..10 {
        send(&mut registry, &prompt(request, 1_000 + request), request, 0);
    }
    // No end of these is ever reported; the engine has dropped them and prefills the next.
    let next = send(&mut registry, &prompt(50, 2_000), 50, 1_100);
    registry.record_first_token(&next.upstream, 50, None, millis(1_500));
    let load = choose(&registry, &prompt(51, 2_001), 8_000).expect("there is an engine").wait;
    assert_eq!(load, millis(0));
}

/// An engine that prefills without a pause slows down the streams that run on it.
#[test]
fn continuous_prefill_counts_as_load() {
    let mut registry = registry(1);
    // Each prefill ends in time before the next begins, so nothing ever waits.
    for request in 0..100 {
        let ms = request * 400;
        let choice = send(&mut registry, &prompt(request, 1_000 + request), request, ms);
        finish(&mut registry, &choice, request, ms + 390);
    }
    let wait = choose(&registry, &prompt(500, 5_000), 40_000).expect("there is an engine").wait;
    assert!(millis(1_000) < wait, "prefill without a pause must count as load");
}

/// An engine whose memory is taken by running prompts has no room for another.
#[test]
fn a_full_engine_is_not_chosen() {
    let mut registry = registry(1);
    for request in 0..31 {
        let choice = send(&mut registry, &prompt(1, 100 + request), request, 0);
        registry.record_first_token(&choice.upstream, request, None, millis(1));
    }
    assert_eq!(choose(&registry, &prompt(1, 900), 1), Err(ChoiceError::Full));
}

/// A leaving upstream is about to stop; a removed one has stopped.
#[test]
fn a_leaving_or_removed_upstream_is_not_chosen() {
    let mut registry = registry(2);
    registry.mark_leaving(&UpstreamName::from("e1"));
    assert_eq!(choose(&registry, &prompt(1, 1), 0).expect("e2 is left").upstream.as_str(), "e2");
    registry.remove(&UpstreamName::from("e2"));
    assert_eq!(choose(&registry, &prompt(1, 1), 0), Err(ChoiceError::NoUpstream));
}

/// A box that keeps choosing it runs into a connect timeout each time.
#[test]
fn an_unreachable_upstream_is_not_chosen_while_others_are_reachable() {
    let mut registry = registry(2);
    let name = choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream;
    assert!(registry.mark_unverified(&name, true, millis(0)));
    assert!(!registry.mark_unverified(&name, true, millis(0)));
    assert_ne!(choose(&registry, &prompt(1, 1), 0).expect("one is left").upstream, name);
    assert!(registry.mark_reachable(&name));
    assert!(!registry.mark_reachable(&name));
    assert_eq!(choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream, name);
}

/// If each box that is notified connected and notified others in turn, one lost response would cost
/// the fleet as many connections as it has boxes, and a removed upstream many more.
#[test]
fn an_unreachable_upstream_is_reported_once_and_only_after_a_failed_probe() {
    let mut registry = registry(2);
    let name = choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream;
    let due_probes = |registry: &mut UpstreamRegistry, ms| {
        registry.take_due_probes(|_, _| ReconnectPace::DECIDER, millis(ms)).len()
    };
    assert!(
        !registry.record_connect_failure(&name, ReconnectPace::DECIDER, millis(0)),
        "it is not marked unverified"
    );
    registry.mark_unverified(&name, true, millis(0));
    assert_eq!(
        (due_probes(&mut registry, 0), due_probes(&mut registry, 1)),
        (1, 0),
        "one probe at a time"
    );
    assert!(
        registry.record_connect_failure(&name, ReconnectPace::DECIDER, millis(10)),
        "the others are to be notified"
    );
    assert_eq!((due_probes(&mut registry, 309), due_probes(&mut registry, 310)), (0, 1));
    assert!(
        !registry.record_connect_failure(&name, ReconnectPace::DECIDER, millis(310)),
        "they are notified already"
    );
    assert_eq!(
        (due_probes(&mut registry, 909), due_probes(&mut registry, 910)),
        (0, 1),
        "the interval grows"
    );
    registry.mark_reachable(&name);
    registry.mark_unverified(&name, false, millis(1_000));
    assert_eq!(due_probes(&mut registry, 1_000), 1);
    assert!(
        !registry.record_connect_failure(&name, ReconnectPace::DECIDER, millis(1_000)),
        "the box that reported it knows"
    );
}

/// An upstream that crashes again and again would break a request at each retry.
#[test]
fn an_upstream_that_breaks_connections_is_unavailable_longer_each_time() {
    let mut registry = registry(2);
    let name = choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream;
    let is_unavailable = |registry: &UpstreamRegistry, ms| {
        choose(registry, &prompt(1, 1), ms).expect("one is left").upstream != name
    };
    registry.record_health(&name, Health::Broken, millis(0));
    assert!(is_unavailable(&registry, 399));
    assert!(!is_unavailable(&registry, 400));
    registry.record_health(&name, Health::Broken, millis(400));
    assert!(is_unavailable(&registry, 1_199));
    assert!(!is_unavailable(&registry, 1_200));
    registry.record_health(&name, Health::Good(millis(1)), millis(1_200));
    registry.record_health(&name, Health::Broken, millis(2_000));
    assert!(!is_unavailable(&registry, 2_400));
}

/// A restarted box without this state would send shared prompts to engines that must prefill them
/// again.
#[test]
fn a_new_box_learns_the_cached_parts_of_engines() {
    let mut old = registry(4);
    let choice = send(&mut old, &prompt(7, 100), 1, 0);
    finish(&mut old, &choice, 1, 400);
    let mut new = registry(4);
    new.apply_learned(&old.learned(None));
    let found = choose(&new, &prompt(7, 101), 0).expect("there is an engine");
    assert_eq!((found.upstream, found.prefill_tokens), (choice.upstream, 3_000));
}

/// Ends are reported by datagrams; a lost one would occupy a slot for ever.
#[test]
fn a_request_whose_end_is_lost_expires() {
    let mut registry = registry(1);
    for request in 0..31 {
        send(&mut registry, &prompt(1, 100 + request), request, 0);
    }
    assert_eq!(choose(&registry, &prompt(1, 900), 1_000), Err(ChoiceError::Full));
    registry.expire(millis(20_001));
    assert!(choose(&registry, &prompt(1, 900), 20_001).is_ok());
}
