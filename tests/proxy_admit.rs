//! Admission under overload: one workspace is some tenths over its share, another asks for three
//! times its share, and all engines are busy.

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
use frostdyke::proxy::routing_table::Rank;

const LIMITS: EngineLimits =
    EngineLimits { slots: 64, memory_tokens: 500_000, copied_per_s: 400_000, cold: None };

const LATENCY_TARGET: Duration = Duration::from_millis(1000);

/// Arrival time of all requests.
const NOW: Duration = Duration::from_secs(10);

fn name(n: u64) -> WorkspaceName {
    WorkspaceName::from(&*format!("w{n}"))
}

struct Admission {
    registry: UpstreamRegistry,
    shares: Shares,
    request_count: u64,
    /// The part that all further prompts share.
    shared: Option<PromptPart>,
}

impl Admission {
    fn new(engines: u8) -> Admission {
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
        Admission {
            registry,
            shares: Shares::new(Duration::from_secs(4)),
            request_count: 0,
            shared: None,
        }
    }

    fn request(
        &mut self,
        workspace: u64,
        group: Option<EngineGroup>,
        is_last_group: bool,
    ) -> Result<Choice, Denial> {
        self.request_count += 1;
        let own = PromptPart { id: 1000 + self.request_count, tokens: 3_000 };
        let parts: Vec<PromptPart> = self.shared.into_iter().chain([own]).collect();
        let tokens = parts.iter().map(|p| p.tokens).sum();
        let prompt = Prompt { tokens, output_tokens_max: 10, parts };
        let query = PlacementQuery {
            request: self.request_count,
            service: "llm",
            prompt: &prompt,
            workspace: Some(&name(workspace)),
            rank: Rank::default(),
            excluded: &[],
            version_filter: VersionFilter::Any,
            target_latency: LATENCY_TARGET,
            waited: Duration::ZERO,
            group,
            zone: None,
            sender: None,
            source: None,
            connected: &[],
            purpose: Purpose::Place,
            is_last_group,
            role: Role::Owner,
            is_repeatable: true,
        };
        admit::admit(&mut self.registry, &mut self.shares, query, NOW)
    }

    /// Records earlier usage that puts a workspace at `used` of its share.
    fn record_earlier_usage(&mut self, workspace: u64, used: f64) {
        let admitted = (used * 1e6) as u64;
        self.shares.add_remote(
            &name(workspace),
            TokenCounts { requested: 5_000_000, admitted: admitted as i64 },
            NOW,
        );
    }
}

/// While the engines are busy, a workspace yields to the others sooner the further it is over its
/// share. A bound that ignores the excess would let it crowd them out.
#[test]
fn a_workspace_may_wait_less_the_further_it_exceeds_its_share() {
    let wait = |used: f64| {
        let mut admission = Admission::new(1);
        // The others raise the mean of the admitted tokens to a million.
        admission.record_earlier_usage(0, used);
        admission.record_earlier_usage(1, 2.0 - used);
        while admission.request(2, None, true).is_ok() {}
        admission.request(0, None, true).expect_err("the engine is busy").wait_max.as_millis()
    };
    let waits = [0.7, 1.1, 1.3, 1.8].map(wait);
    assert_eq!(waits[0], 700);
    assert!(waits.is_sorted_by(|a, b| b < a), "{waits:?}");
    assert_eq!(waits[3], 0, "{waits:?}");
}

/// One engine is busy, the others are idle. A workspace slightly over its share was refused where
/// the engine with its cached parts had a wait of some 30 ms, while one at three times its share,
/// whose parts were cached elsewhere, was served: the first got less than half of the other's
/// throughput.
#[test]
fn a_workspace_over_its_share_is_admitted_while_engines_are_idle() {
    for used in [1.05, 1.3, 3.0] {
        let mut admission = Admission::new(40);
        admission.record_earlier_usage(0, used);
        admission.record_earlier_usage(1, 2.0 - used.min(2.0));
        let first = admission.request(2, None, true).expect("there is room");
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
            admission.registry.place(&first.upstream, placement, NOW);
        }
        admission.shared = Some(PromptPart { id: 7, tokens: 20_000 });
        admission.registry.apply_learned(&LearnedReport {
            cached: vec![CachedParts {
                upstream: first.upstream.clone(),
                parts: vec![PromptPart { id: 7, tokens: 20_000 }],
            }],
            ..LearnedReport::default()
        });
        let placed = admission.request(0, None, true);
        assert!(placed.is_ok(), "at {used}: {placed:?}");
    }
}

/// A request that may still try another group of engines must not be counted as refused twice.
#[test]
fn a_denial_is_counted_only_by_the_last_group() {
    let mut admission = Admission::new(1);
    while admission.request(0, None, true).is_ok() {}
    admission.shares.take_local();
    let denied = admission.request(1, None, false).expect_err("the engine is busy");
    assert!(denied.may_try_other_groups);
    assert!(admission.shares.take_local().is_empty());
    let denied = admission.request(1, None, true).expect_err("the engine is busy");
    assert!(!denied.may_try_other_groups);
    assert_eq!(admission.shares.take_local().len(), 1);
}

/// An owner has the state of its own group only and must not place requests outside it.
#[test]
fn only_engines_of_the_group_are_chosen() {
    let mut admission = Admission::new(40);
    for prefix in 0..4u64 {
        let group = EngineGroup::from_hash(prefix << 62, 2);
        for _ in 0..40 {
            let choice = admission.request(prefix, Some(group), true).expect("there is room");
            let hash = frostdyke::placement::upstream::name_hash(&choice.upstream);
            assert!(group.contains(hash));
        }
    }
}
