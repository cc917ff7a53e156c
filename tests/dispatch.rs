//! The dispatcher of one pool, by itself.

mod util;

use std::sync::Arc;
use std::time::Duration;

use frostdyke::config::CatalogRevision;
use frostdyke::dispatch::ledger::CounterEntry;
use frostdyke::dispatch::ledger::ReplicaId;
use frostdyke::dispatch::pool::Action;
use frostdyke::dispatch::pool::PoolDispatcher;
use frostdyke::dispatch::pool::Tuning;
use frostdyke::dispatch::pool::WaitReason;
use frostdyke::dispatch::upstreams::UpstreamReport;
use frostdyke::peer::message::Class;
use frostdyke::peer::message::CompletionReport;
use frostdyke::peer::message::DispatcherReport;
use frostdyke::peer::message::Ending;
use frostdyke::peer::message::Grant;
use frostdyke::peer::message::GrantDigest;
use frostdyke::peer::message::GrantId;
use frostdyke::peer::message::Message;
use frostdyke::peer::message::PullRequest;
use frostdyke::peer::message::PullResponse;
use frostdyke::peer::message::Ticket;
use frostdyke::peer::message::TicketId;
use util::catalog;

const NOW: Duration = Duration::from_secs(10);

fn configuration(slots: u32) -> Arc<CatalogRevision> {
    let workspaces = vec![catalog::workspace("a", 1), catalog::workspace("b", 1)];
    let mut configuration =
        catalog::catalog(workspaces, vec![catalog::upstream("e1", "here", slots)]);
    let pool = &mut configuration.pools[0];
    pool.urgent_lead = 500;
    pool.background_every = 3;
    pool.pull_margin = 100;
    pool.debt_cap = 1000;
    Arc::new(CatalogRevision::new(1, configuration).expect("it is valid"))
}

fn pool(slots: u32) -> PoolDispatcher {
    let cell = ReplicaId { name: "box-1".into(), incarnation: 1 };
    let cfg = configuration(slots);
    PoolDispatcher::new(&"llm".into(), &"here".into(), cell, cfg, Tuning::default())
        .expect("it is there")
}

fn ticket(id: u64, workspace: &str, class: Class) -> Ticket {
    Ticket {
        id: TicketId(id),
        router: "box-1".into(),
        workspace: workspace.into(),
        service: "assist".into(),
        pool: "llm".into(),
        class,
        deadline_ms: 60_000,
        prefix: 0,
        avoid: None,
        forwarded: false,
    }
}

/// What another zone's dispatcher tells: entries, and that it has merged all of this one's.
fn summary(version: u64, entries: Vec<CounterEntry>) -> DispatcherReport {
    DispatcherReport {
        pool: "llm".into(),
        zone: "there".into(),
        dispatcher: "box-9".into(),
        replica: ReplicaId { name: "box-9".into(), incarnation: 1 },
        version,
        merged_version: 0,
        virtual_time: 0,
        idle_slots: 0,
        lost_routers: Vec::new(),
        entries,
        relayed: Vec::new(),
        forwarded: false,
    }
}

fn grants(out: &[Action]) -> Vec<Grant> {
    let grant = |action: &Action| match action {
        Action::Send { message: Message::Grant(grant), .. } => Some(grant.clone()),
        _ => None,
    };
    out.iter().filter_map(grant).collect()
}

fn granted(out: &[Action]) -> Vec<u64> {
    grants(out).iter().map(|g| g.ticket.0).collect()
}

fn end(pool: &mut PoolDispatcher, grant: GrantId, cost: u64, ending: Ending) -> Vec<Action> {
    let mut out = Vec::new();
    pool.handle_completion(
        &CompletionReport { pool: "llm".into(), grant, cost, ending },
        NOW,
        &mut out,
    );
    out
}

/// Ends one grant after the other, and gives the tickets in the order in which they were granted.
fn served(pool: &mut PoolDispatcher, out: &[Action]) -> Vec<u64> {
    let mut order = Vec::new();
    let mut next = grants(out).pop();
    while let Some(grant) = next {
        order.push(grant.ticket.0);
        next = grants(&end(pool, grant.id, 100, Ending::Answered)).pop();
    }
    order
}

#[test]
fn the_one_furthest_behind_goes_first() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    pool.submit(ticket(4, "b", Class::Normal), NOW, &mut out);
    // The newcomer stands where the other does; from then on they take turns.
    assert_eq!(served(&mut pool, &out), [1, 2, 4, 3]);
}

#[test]
fn urgent_goes_first_and_background_gets_its_turn() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    pool.submit(ticket(10, "a", Class::Background), NOW, &mut out);
    for id in 2..=5 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    pool.submit(ticket(6, "a", Class::Urgent), NOW, &mut out);
    assert_eq!(served(&mut pool, &out), [1, 6, 2, 3, 10, 4, 5]);
}

#[test]
fn a_ticket_registered_twice_is_granted_once() {
    let mut pool = pool(2);
    let mut out = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    let grants = grants(&out);
    assert_eq!(grants.len(), 2);
    assert_eq!(grants[0], grants[1], "the same grant is said again");
    assert_eq!(pool.upstreams().running(), 1);
}

#[test]
fn an_unused_grant_is_charged_nothing() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    assert_eq!(pool.ledger().virtual_time("a"), 100_000);
    end(&mut pool, grants(&out)[0].id, 0, Ending::Unused);
    assert_eq!(pool.ledger().virtual_time("a"), 0);
}

#[test]
fn a_workspace_that_was_idle_has_no_credit() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    for id in 1..=20 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    let mut grant = grants(&out).remove(0);
    for _ in 0..10 {
        grant = grants(&end(&mut pool, grant.id, 100, Ending::Answered)).remove(0);
    }
    pool.submit(ticket(100, "b", Class::Normal), NOW, &mut out);
    let (a, b) = (pool.ledger().virtual_time("a"), pool.ledger().virtual_time("b"));
    assert_eq!(a, b, "the newcomer stands where the one furthest behind does");
}

/// Found with nine real routers: a workspace whose queue ran empty in one zone lost what it was
/// behind, though it waited in another all the time.
#[test]
fn a_workspace_that_waits_elsewhere_isnt_lifted() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    for id in 1..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    let entries = vec![CounterEntry("b".into(), -50_000, 0, 4)];
    pool.handle_report(&summary(1, entries), NOW, &mut out);
    pool.submit(ticket(10, "b", Class::Normal), NOW, &mut out);
    assert_eq!(pool.ledger().virtual_time("b"), -50_000);
}

/// Found in a bench that didn't end: what others are assumed to have charged may be negative, and
/// a lift doesn't change it.
#[test]
fn capping_debts_ends_though_an_assumption_is_negative() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    pool.handle_report(&summary(1, vec![CounterEntry("a".into(), 0, 0, 4)]), NOW, &mut out);
    pool.submit(ticket(2, "a", Class::Normal), NOW, &mut out);
    pool.submit(ticket(3, "b", Class::Normal), NOW, &mut out);
    pool.submit(ticket(4, "a", Class::Normal), NOW, &mut out);
    // The estimate of 100 was far too high, so the charge goes down, here and by assumption there.
    let grant = grants(&out)[0].id;
    end(&mut pool, grant, 1, Ending::Answered);
    let mut other = summary(1, vec![CounterEntry("b".into(), 5_000_000, 0, 4)]);
    other.zone = "elsewhere".into();
    other.replica.name = "box-5".into();
    pool.handle_report(&other, NOW, &mut out);
    assert!(4_000_000 <= pool.ledger().known_virtual_time("a"));
}

/// Found by the property test: the answer to a pull of an earlier start, from a zone that this one
/// has not heard, left a workspace in the order that nobody could be asked for.
#[test]
fn an_answer_from_an_unheard_zone_is_no_work() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    let pulled = PullResponse {
        pool: "llm".into(),
        grant: GrantId(77),
        workspace: "a".into(),
        zone: "there".into(),
        ticket: None,
        still_waiting: 3,
    };
    pool.handle_pull_response(pulled, NOW, &mut out);
    pool.fill_slots(NOW, &mut out);
    assert!(out.is_empty());
}

#[test]
fn a_pull_that_comes_twice_takes_one_ticket() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    let pull = PullRequest {
        pool: "llm".into(),
        workspace: "a".into(),
        grant: GrantId(77),
        upstream: "far".into(),
        dispatcher: "box-9".into(),
        any_workspace: false,
        forwarded: false,
    };
    pool.handle_pull_request(&pull, NOW, &mut out);
    pool.handle_pull_request(&pull, NOW, &mut out);
    assert_eq!(pool.queue().waiting("a"), 1);
}

#[test]
fn merging_a_summary_twice_or_late_changes_nothing() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    let old = summary(1, vec![CounterEntry("a".into(), 10_000, 0, 1)]);
    let new = summary(2, vec![CounterEntry("a".into(), 30_000, 0, 1)]);
    pool.handle_report(&new, NOW, &mut out);
    pool.handle_report(&new, NOW, &mut out);
    pool.handle_report(&old, NOW, &mut out);
    assert_eq!(pool.ledger().known_virtual_time("a"), 30_000);
}

#[test]
fn an_upstream_that_fails_is_put_aside_and_tried_with_one_request() {
    let mut pool = pool(8);
    let mut out = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    for grant in grants(&out) {
        end(&mut pool, grant.id, 0, Ending::Failed);
    }
    out.clear();
    for id in 4..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    assert_eq!(granted(&out), [0_u64; 0]);
    pool.tick(NOW + Duration::from_secs(3), &mut out);
    assert_eq!(granted(&out), [4], "one trial");
    let trial = grants(&out)[0].id;
    let out = end(&mut pool, trial, 100, Ending::Answered);
    assert_eq!(granted(&out).len(), 5, "it is well again");
}

/// Guards against an upstream that asks for a backoff and is sent the next request at once.
#[test]
fn an_upstream_that_asks_for_a_backoff_gets_nothing_until_its_end_and_then_one_request() {
    let mut pool = pool(8);
    let mut out = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    let all = grants(&out);
    end(&mut pool, all[0].id, 0, Ending::Backoff(5_000));
    end(&mut pool, all[1].id, 0, Ending::Backoff(1_000));
    end(&mut pool, all[2].id, 100, Ending::Answered);
    out.clear();
    for id in 4..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    pool.tick(NOW + Duration::from_secs(4), &mut out);
    assert_eq!(granted(&out), [0_u64; 0], "a shorter backoff and an answer of before end none");
    pool.tick(NOW + Duration::from_secs(5), &mut out);
    assert_eq!(granted(&out), [4], "one trial");
    let trial = grants(&out)[0].id;
    let out = end(&mut pool, trial, 100, Ending::Answered);
    assert_eq!(granted(&out).len(), 5, "it takes requests again");
}

#[test]
fn an_upstream_that_leaves_gets_nothing() {
    let mut pool = pool(8);
    let mut out = Vec::new();
    pool.upstreams_mut().apply_report("e1", UpstreamReport { running: 0, leaving: true }, NOW);
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    assert_eq!(granted(&out), [0_u64; 0]);
}

/// Slots that others use count, but the report lags, so own requests don't count twice.
#[test]
fn a_lagging_load_report_takes_only_foreign_slots() {
    let mut pool = pool(8);
    let mut out = Vec::new();
    for id in 1..=4 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    pool.upstreams_mut().apply_report("e1", UpstreamReport { running: 6, leaving: false }, NOW);
    out.clear();
    for id in 5..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    assert_eq!(granted(&out), [5, 6], "two of eight slots are somebody else's");
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached() {
    let mut pool = pool(8);
    let mut out = Vec::new();
    let hinted = |id| Ticket { prefix: 42, ..ticket(id, "a", Class::Normal) };
    pool.submit(hinted(1), NOW, &mut out);
    pool.submit(hinted(2), NOW, &mut out);
    let grants = grants(&out);
    assert_eq!(grants[0].upstream, grants[1].upstream);
}

/// The checks that a dispatcher sends at `now`.
fn checks(pool: &mut PoolDispatcher, now: Duration) -> Vec<(Vec<GrantId>, Option<GrantDigest>)> {
    let mut out = Vec::new();
    pool.tick(now, &mut out);
    let check = |action| match action {
        Action::Send { message: Message::GrantCheckRequest { grants, digest, .. }, .. } => {
            Some((grants, digest))
        }
        _ => None,
    };
    out.into_iter().filter_map(check).collect()
}

#[test]
fn grants_are_checked_by_a_digest_and_the_unused_are_freed() {
    let mut pool = pool(8);
    let mut out = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut out);
    }
    let ids: Vec<GrantId> = grants(&out).iter().map(|g| g.id).collect();
    let later = NOW + Duration::from_secs(6);
    let (listed, digest) = checks(&mut pool, later).pop().expect("it asks");
    let digest = digest.expect("the grants are its own");
    assert!(listed.is_empty());
    assert_eq!(digest, GrantDigest::new(digest.first, digest.last, ids.iter().copied()));
    // The router has lost one of them.
    let used = [ids[0], ids[2]];
    assert_ne!(digest, GrantDigest::new(digest.first, digest.last, used.into_iter()));
    pool.release_except(&"box-1".into(), digest.first, digest.last, &used, later, &mut out);
    assert_eq!(pool.upstreams().running(), 2);
}

/// A grant of which the router may not know yet isn't freed because it isn't used.
#[test]
fn a_young_grant_is_not_freed() {
    let mut pool = pool(8);
    let mut out = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    let later = NOW + Duration::from_secs(6);
    pool.submit(ticket(2, "a", Class::Normal), later, &mut out);
    let ids: Vec<GrantId> = grants(&out).iter().map(|g| g.id).collect();
    pool.release_except(&"box-1".into(), GrantId(0), ids[1], &[], later, &mut out);
    assert_eq!(pool.upstreams().running(), 1);
}

#[test]
fn it_tells_why_a_workspace_waits() {
    let mut pool = pool(1);
    let mut out = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut out);
    pool.submit(ticket(2, "b", Class::Normal), NOW, &mut out);
    pool.submit(ticket(3, "a", Class::Normal), NOW, &mut out);
    // The first one was charged, so the other workspace is next.
    assert_eq!(pool.wait_reason(&"b".into()), WaitReason::Slot { first: 0 });
    assert_eq!(pool.wait_reason(&"a".into()), WaitReason::Slot { first: 1 });
}
