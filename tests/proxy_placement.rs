//! The choice among engines.

use std::time::Duration;

use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::ZoneName;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::choice::ChoiceError;
use frostdyke::placement::choice::SelectionCriteria;
use frostdyke::placement::engine::Placement;
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
    let wanted = SelectionCriteria::any("llm", prompt, excluded, wait_max);
    registry.choose(wanted, millis(ms))
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

#[test]
fn a_prompt_goes_where_its_parts_are_kept() {
    let mut registry = registry(4);
    let first = send(&mut registry, &prompt(1, 100), 1, 0);
    assert_eq!(first.prefill_tokens, 16_000);
    finish(&mut registry, &first, 1, 400);
    let second = send(&mut registry, &prompt(1, 101), 2, 5_000);
    assert_eq!(second.upstream, first.upstream);
    assert_eq!((second.prefill_tokens, second.copied_tokens), (3_000, 0));
}

#[test]
fn a_busy_engine_gives_its_parts_to_another() {
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

/// Where many boxes die at once, what they had sent filled the models of the engines, though the
/// engines had dropped it, and the others refused requests for want of room (found on inc-e393).
#[test]
fn what_a_box_that_is_gone_had_sent_makes_room_at_once() {
    let mut registry = registry(1);
    let (gone, alive) = (Some([10, 0, 0, 1].into()), Some([10, 0, 0, 2].into()));
    for request in 0..64 {
        let sender = if request < 40 { gone } else { alive };
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

/// Engines are replaced one after the other; what they keep would have to be read again.
#[test]
fn an_engine_that_leaves_gives_its_parts_away() {
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

/// Found on a played day (journal 7db18c42): requests stayed with the busy engine that kept their
/// parts and were refused there, while other engines had no work.
#[test]
fn a_prompt_that_cant_wait_goes_to_an_engine_that_is_free() {
    let mut registry = registry(2);
    let first = send(&mut registry, &prompt(1, 100), 1, 0);
    finish(&mut registry, &first, 1, 400);
    send(&mut registry, &prompt(1, 101), 2, 5_000);
    send(&mut registry, &prompt(1, 102), 3, 5_000);
    let patient = choose(&registry, &prompt(1, 103), 5_000).expect("there is an engine");
    assert_eq!(patient.upstream, first.upstream);
    let hasty = choose_within(&registry, &prompt(1, 103), 5_000, millis(50));
    assert_ne!(hasty.expect("the other is free").upstream, first.upstream);
}

#[test]
fn who_would_wait_too_long_everywhere_is_told_for_how_long() {
    let mut registry = registry(1);
    send(&mut registry, &prompt(1, 100), 1, 0);
    let busy = choose_within(&registry, &prompt(2, 101), 0, millis(50));
    assert!(matches!(busy, Err(ChoiceError::Busy { wait }) if millis(300) < wait), "{busy:?}");
}

#[test]
fn boxes_that_know_nothing_choose_the_same_engine() {
    for shared in 0..20 {
        let prompts = (prompt(shared, 1), prompt(shared, 2));
        let one = choose(&registry(9), &prompts.0, 0).expect("there is an engine");
        let other = choose(&registry(9), &prompts.1, 0).expect("there is an engine");
        assert_eq!(one.upstream, other.upstream);
    }
}

#[test]
fn what_is_to_be_read_passes_with_time() {
    let mut registry = registry(1);
    send(&mut registry, &prompt(1, 100), 1, 0);
    let at_once = choose(&registry, &prompt(2, 101), 0).expect("there is an engine").wait;
    let later = choose(&registry, &prompt(2, 101), 200).expect("there is an engine").wait;
    assert!(later < at_once);
    let long_after = choose(&registry, &prompt(2, 101), 450).expect("there is an engine").wait;
    assert!(long_after < millis(100));
}

#[test]
fn an_engine_that_is_late_is_expected_to_stay_late() {
    let mut registry = registry(1);
    send(&mut registry, &prompt(1, 100), 1, 0);
    let wait = choose(&registry, &prompt(2, 101), 5_000).expect("there is an engine").wait;
    assert!(millis(3_000) < wait);
}

/// Found by an incident (hk-frostdyke e393): what a box that was killed had sent stayed in the models
/// of the others for 20 s.
#[test]
fn what_a_dead_box_sent_is_forgotten_when_later_requests_are_read() {
    let mut registry = registry(1);
    for request in 0..10 {
        send(&mut registry, &prompt(request, 1_000 + request), request, 0);
    }
    // None of these is heard of again; the engine has dropped them and reads the next.
    let next = send(&mut registry, &prompt(50, 2_000), 50, 1_100);
    registry.record_first_token(&next.upstream, 50, None, millis(1_500));
    let load = choose(&registry, &prompt(51, 2_001), 8_000).expect("there is an engine").wait;
    assert_eq!(load, millis(0));
}

#[test]
fn engines_get_a_pause_between_prompts() {
    let mut registry = registry(1);
    // Each is done in time, one after the other, so that nothing is ever waited for.
    for request in 0..100 {
        let ms = request * 400;
        let choice = send(&mut registry, &prompt(request, 1_000 + request), request, ms);
        finish(&mut registry, &choice, request, ms + 390);
    }
    let wait = choose(&registry, &prompt(500, 5_000), 40_000).expect("there is an engine").wait;
    assert!(millis(1_000) < wait, "reading without a pause must look like load");
}

#[test]
fn a_full_engine_gets_nothing() {
    let mut registry = registry(1);
    for request in 0..31 {
        let choice = send(&mut registry, &prompt(1, 100 + request), request, 0);
        registry.record_first_token(&choice.upstream, request, None, millis(1));
    }
    assert_eq!(choose(&registry, &prompt(1, 900), 1), Err(ChoiceError::Full));
}

#[test]
fn an_upstream_that_leaves_or_is_gone_gets_nothing() {
    let mut registry = registry(2);
    registry.mark_leaving(&UpstreamName::from("e1"));
    assert_eq!(choose(&registry, &prompt(1, 1), 0).expect("e2 is left").upstream.as_str(), "e2");
    registry.remove(&UpstreamName::from("e2"));
    assert_eq!(choose(&registry, &prompt(1, 1), 0), Err(ChoiceError::NoUpstream));
}

#[test]
fn an_upstream_that_cant_be_reached_gets_nothing_while_others_can() {
    let mut registry = registry(2);
    let name = choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream;
    assert!(registry.mark_unverified(&name, true, millis(0)));
    assert!(!registry.mark_unverified(&name, true, millis(0)));
    assert_ne!(choose(&registry, &prompt(1, 1), 0).expect("one is left").upstream, name);
    assert!(registry.mark_reachable(&name));
    assert!(!registry.mark_reachable(&name));
    assert_eq!(choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream, name);
}

/// Where each box that is told connects and tells again, one lost answer costs the fleet as many
/// connections as it has boxes, and an upstream that is gone many more.
#[test]
fn others_hear_of_an_upstream_only_once_and_only_when_it_cant_be_reached() {
    let mut registry = registry(2);
    let name = choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream;
    let due = |registry: &mut UpstreamRegistry, ms| registry.take_due_probes(millis(ms)).len();
    assert!(!registry.record_connect_failure(&name, millis(0)), "nobody doubts it");
    registry.mark_unverified(&name, true, millis(0));
    assert_eq!((due(&mut registry, 0), due(&mut registry, 1)), (1, 0), "one look at a time");
    assert!(registry.record_connect_failure(&name, millis(10)), "the others should know");
    assert_eq!((due(&mut registry, 309), due(&mut registry, 310)), (0, 1));
    assert!(!registry.record_connect_failure(&name, millis(310)), "they know");
    assert_eq!((due(&mut registry, 909), due(&mut registry, 910)), (0, 1), "less and less often");
    registry.mark_reachable(&name);
    registry.mark_unverified(&name, false, millis(1_000));
    assert_eq!(due(&mut registry, 1_000), 1);
    assert!(!registry.record_connect_failure(&name, millis(1_000)), "who told it knows");
}

#[test]
fn an_upstream_that_breaks_off_rests_longer_each_time() {
    let mut registry = registry(2);
    let name = choose(&registry, &prompt(1, 1), 0).expect("there is an engine").upstream;
    let rests = |registry: &UpstreamRegistry, ms| {
        choose(registry, &prompt(1, 1), ms).expect("one is left").upstream != name
    };
    registry.record_health(&name, Health::Broken, millis(0));
    assert!(rests(&registry, 399));
    assert!(!rests(&registry, 400));
    registry.record_health(&name, Health::Broken, millis(400));
    assert!(rests(&registry, 1_199));
    assert!(!rests(&registry, 1_200));
    registry.record_health(&name, Health::Good(millis(1)), millis(1_200));
    registry.record_health(&name, Health::Broken, millis(2_000));
    assert!(!rests(&registry, 2_400));
}

#[test]
fn a_new_box_takes_over_what_engines_keep() {
    let mut old = registry(4);
    let choice = send(&mut old, &prompt(7, 100), 1, 0);
    finish(&mut old, &choice, 1, 400);
    let mut new = registry(4);
    new.apply_learned(&old.learned(None));
    let found = choose(&new, &prompt(7, 101), 0).expect("there is an engine");
    assert_eq!((found.upstream, found.prefill_tokens), (choice.upstream, 3_000));
}

#[test]
fn a_lost_end_is_forgotten() {
    let mut registry = registry(1);
    for request in 0..31 {
        send(&mut registry, &prompt(1, 100 + request), request, 0);
    }
    assert_eq!(choose(&registry, &prompt(1, 900), 1_000), Err(ChoiceError::Full));
    registry.expire(millis(20_001));
    assert!(choose(&registry, &prompt(1, 900), 20_001).is_ok());
}
