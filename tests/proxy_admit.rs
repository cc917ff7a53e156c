//! Who is admitted where workspaces ask for more than the engines can do. Load: one workspace at some
//! tenths over its share, another at three times its share, and engines that are all busy.

use std::time::Duration;

use frostdyke::fleet::owners::EngineGroup;
use frostdyke::fleet::rollout::VersionFilter;
use frostdyke::names::ServiceName;
use frostdyke::names::UpstreamName;
use frostdyke::names::VersionName;
use frostdyke::names::WorkspaceName;
use frostdyke::names::ZoneName;
use frostdyke::placement::admit;
use frostdyke::placement::admit::Denial;
use frostdyke::placement::admit::PlacementQuery;
use frostdyke::placement::admit::Purpose;
use frostdyke::placement::choice::Choice;
use frostdyke::placement::cold::Role;
use frostdyke::placement::engine::Placement;
use frostdyke::placement::registry::UpstreamRegistry;
use frostdyke::placement::registry::learned::CachedParts;
use frostdyke::placement::registry::learned::LearnedReport;
use frostdyke::placement::share::Shares;
use frostdyke::placement::share::TokenCounts;
use frostdyke::placement::tuning::Tuning;
use frostdyke::proxy::adapter::Prompt;
use frostdyke::proxy::adapter::PromptPart;
use frostdyke::proxy::adapter::UpstreamListing;
use frostdyke::proxy::routing_table::EngineLimits;

const LIMITS: EngineLimits =
    EngineLimits { slots: 64, memory_tokens: 500_000, copied_per_s: 400_000, cold: None };

/// The aim of all requests.
const AIM: Duration = Duration::from_millis(1000);

/// When requests come.
const NOW: Duration = Duration::from_secs(10);

fn name(n: u64) -> WorkspaceName {
    WorkspaceName::from(&*format!("w{n}"))
}

struct Desk {
    registry: UpstreamRegistry,
    shares: Shares,
    requests: u64,
    /// What all prompts share from now on.
    shared: Option<PromptPart>,
}

impl Desk {
    fn new(engines: u8) -> Desk {
        let mut registry = UpstreamRegistry::new(ZoneName::from("a"), Tuning::default());
        for n in 1..=engines {
            let listed = UpstreamListing {
                name: UpstreamName::from(&*format!("e{n}")),
                service: ServiceName::from("llm"),
                addr: ([127, 0, 0, n], 80).into(),
                zone: ZoneName::from("a"),
                version: VersionName::from("v1"),
                slots: 64,
                started_at_ms: None,
                leaving: false,
                cold_for: None,
            };
            registry.upsert(listed, Some(LIMITS));
        }
        Desk { registry, shares: Shares::new(Duration::from_secs(4)), requests: 0, shared: None }
    }

    fn ask(
        &mut self,
        workspace: u64,
        group: Option<EngineGroup>,
        is_last_group: bool,
    ) -> Result<Choice, Denial> {
        self.requests += 1;
        let own = PromptPart { id: 1000 + self.requests, tokens: 3_000 };
        let parts: Vec<PromptPart> = self.shared.into_iter().chain([own]).collect();
        let tokens = parts.iter().map(|p| p.tokens).sum();
        let prompt = Prompt { tokens, output_tokens_max: 10, parts };
        let query = PlacementQuery {
            request: self.requests,
            service: "llm",
            prompt: &prompt,
            workspace: Some(&name(workspace)),
            excluded: &[],
            version_filter: VersionFilter::Any,
            target_latency: AIM,
            waited: Duration::ZERO,
            group,
            zone: None,
            sender: None,
            source: None,
            purpose: Purpose::Place,
            is_last_group,
            role: Role::Owner,
        };
        admit::admit(&mut self.registry, &mut self.shares, query, NOW)
    }

    /// Notes what a workspace had before, by which it is at `used` of its share.
    fn had(&mut self, workspace: u64, used: f64) {
        let begun = (used * 1e6) as u64;
        self.shares.add_remote(
            &name(workspace),
            TokenCounts { requested: 5_000_000, admitted: begun as i64 },
            NOW,
        );
    }
}

/// Where the engines are busy, a workspace gives way to the others the sooner the further it is beyond
/// its share.
#[test]
fn who_is_a_little_over_its_share_waits_longer_than_who_is_far_over() {
    let wait = |used: f64| {
        let mut desk = Desk::new(1);
        // The others bring the mean of what was begun to a million.
        desk.had(0, used);
        desk.had(1, 2.0 - used);
        while desk.ask(2, None, true).is_ok() {}
        desk.ask(0, None, true).expect_err("the engine is busy").wait_max.as_millis()
    };
    let waits = [0.7, 1.1, 1.3, 1.8].map(wait);
    assert_eq!(waits[0], 700);
    assert!(waits.is_sorted_by(|a, b| b < a), "{waits:?}");
    assert_eq!(waits[3], 0, "{waits:?}");
}

/// One engine is busy, and others are idle. A workspace a little beyond its share was refused where the
/// engine that keeps its parts had a wait of some 30 ms, while one at three times its share, whose parts
/// were kept elsewhere, was served: the first got less than half of the other's.
#[test]
fn who_is_beyond_its_share_is_served_while_engines_are_idle() {
    for used in [1.05, 1.3, 3.0] {
        let mut desk = Desk::new(40);
        desk.had(0, used);
        desk.had(1, 2.0 - used.min(2.0));
        let first = desk.ask(2, None, true).expect("there is room");
        for request in 50_000..50_003 {
            let own = PromptPart { id: request, tokens: 3_000 };
            let prompt = Prompt { tokens: 3_000, output_tokens_max: 10, parts: vec![own] };
            let placement = Placement {
                request,
                prompt: &prompt,
                prefill_tokens: 3_000,
                copied_tokens: 0,
                sender: None,
                decided_by: None,
            };
            desk.registry.place(&first.upstream, placement, NOW);
        }
        desk.shared = Some(PromptPart { id: 7, tokens: 20_000 });
        desk.registry.apply_learned(&LearnedReport {
            cached: vec![CachedParts {
                upstream: first.upstream.clone(),
                parts: vec![PromptPart { id: 7, tokens: 20_000 }],
            }],
            ..LearnedReport::default()
        });
        let placed = desk.ask(0, None, true);
        assert!(placed.is_ok(), "at {used}: {placed:?}");
    }
}

/// Where another group of engines may be asked, a request isn't counted twice.
#[test]
fn a_request_that_goes_on_to_other_engines_is_not_counted_as_refused() {
    let mut desk = Desk::new(1);
    while desk.ask(0, None, true).is_ok() {}
    desk.shares.take_local();
    let denied = desk.ask(1, None, false).expect_err("the engine is busy");
    assert!(denied.may_try_other_groups);
    assert!(desk.shares.take_local().is_empty());
    let denied = desk.ask(1, None, true).expect_err("the engine is busy");
    assert!(!denied.may_try_other_groups);
    assert_eq!(desk.shares.take_local().len(), 1);
}

#[test]
fn only_engines_of_the_group_are_chosen() {
    let mut desk = Desk::new(40);
    for prefix in 0..4u64 {
        let group = EngineGroup::from_hash(prefix << 62, 2);
        for _ in 0..40 {
            let choice = desk.ask(prefix, Some(group), true).expect("there is room");
            let hash = frostdyke::placement::upstream::name_hash(&choice.upstream);
            assert!(group.contains(hash));
        }
    }
}
