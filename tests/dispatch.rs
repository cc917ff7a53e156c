//! The dispatcher of one pool, on its own.

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
    let replica = ReplicaId { name: "box-1".into(), incarnation: 1 };
    let cfg = configuration(slots);
    PoolDispatcher::new(&"llm".into(), &"here".into(), replica, cfg, Tuning::default())
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

/// A report of another zone's dispatcher, with these entries, that has merged nothing of this one.
fn report(version: u64, entries: Vec<CounterEntry>) -> DispatcherReport {
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

fn grants(actions: &[Action]) -> Vec<Grant> {
    let grant = |action: &Action| match action {
        Action::Send { message: Message::Grant(grant), .. } => Some(grant.clone()),
        _ => None,
    };
    actions.iter().filter_map(grant).collect()
}

fn granted(actions: &[Action]) -> Vec<u64> {
    grants(actions).iter().map(|g| g.ticket.0).collect()
}

fn complete(pool: &mut PoolDispatcher, grant: GrantId, cost: u64, ending: Ending) -> Vec<Action> {
    let mut actions = Vec::new();
    pool.handle_completion(
        &CompletionReport { pool: "llm".into(), grant, cost, ending },
        NOW,
        &mut actions,
    );
    actions
}

/// Completes one grant after the other; returns the tickets in the order in which they were
/// granted.
fn served(pool: &mut PoolDispatcher, actions: &[Action]) -> Vec<u64> {
    let mut order = Vec::new();
    let mut next = grants(actions).pop();
    while let Some(grant) = next {
        order.push(grant.ticket.0);
        next = grants(&complete(pool, grant.id, 100, Ending::Answered)).pop();
    }
    order
}

/// First come, first served would let one workspace's backlog delay all others.
#[test]
fn the_workspace_with_the_least_virtual_time_is_served_first() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    pool.submit(ticket(4, "b", Class::Normal), NOW, &mut actions);
    // A new workspace starts with the virtual time of the other; from then on they alternate.
    assert_eq!(served(&mut pool, &actions), [1, 2, 4, 3]);
}

/// A steady load of normal requests must neither delay urgent ones nor starve background ones.
#[test]
fn urgent_requests_go_first_and_background_ones_are_not_starved() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    pool.submit(ticket(10, "a", Class::Background), NOW, &mut actions);
    for id in 2..=5 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    pool.submit(ticket(6, "a", Class::Urgent), NOW, &mut actions);
    assert_eq!(served(&mut pool, &actions), [1, 6, 2, 3, 10, 4, 5]);
}

/// A router submits a ticket again when it doesn't know whether the first message arrived.
#[test]
fn a_ticket_registered_twice_is_granted_once() {
    let mut pool = pool(2);
    let mut actions = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    let grants = grants(&actions);
    assert_eq!(grants.len(), 2);
    assert_eq!(grants[0], grants[1], "the same grant is sent again");
    assert_eq!(pool.upstreams().running(), 1);
}

/// The estimated cost, charged with the grant, is returned if the request never ran.
#[test]
fn an_unused_grant_is_charged_nothing() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    assert_eq!(pool.ledger().virtual_time("a"), 100_000);
    complete(&mut pool, grants(&actions)[0].id, 0, Ending::Unused);
    assert_eq!(pool.ledger().virtual_time("a"), 0);
}

/// Credit for idle time would let a workspace take all slots when it returns.
#[test]
fn a_workspace_that_was_idle_has_no_credit() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    for id in 1..=20 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    let mut grant = grants(&actions).remove(0);
    for _ in 0..10 {
        grant = grants(&complete(&mut pool, grant.id, 100, Ending::Answered)).remove(0);
    }
    pool.submit(ticket(100, "b", Class::Normal), NOW, &mut actions);
    let (a, b) = (pool.ledger().virtual_time("a"), pool.ledger().virtual_time("b"));
    assert_eq!(a, b, "a new workspace starts with the least virtual time of the others");
}

/// A workspace whose queue became empty in one zone lost the service that it was owed, though it
/// waited in another zone all the time (found with nine real routers).
#[test]
fn a_workspace_that_waits_in_another_zone_is_not_lifted() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    for id in 1..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    let entries = vec![CounterEntry("b".into(), -50_000, 0, 4)];
    pool.handle_report(&report(1, entries), NOW, &mut actions);
    pool.submit(ticket(10, "b", Class::Normal), NOW, &mut actions);
    assert_eq!(pool.ledger().virtual_time("b"), -50_000);
}

/// What other dispatchers are assumed to have charged may be negative, and a lift doesn't change
/// it, so the loop that caps debts didn't end (found in a bench).
#[test]
fn capping_debts_terminates_with_a_negative_assumed_charge() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    pool.handle_report(&report(1, vec![CounterEntry("a".into(), 0, 0, 4)]), NOW, &mut actions);
    pool.submit(ticket(2, "a", Class::Normal), NOW, &mut actions);
    pool.submit(ticket(3, "b", Class::Normal), NOW, &mut actions);
    pool.submit(ticket(4, "a", Class::Normal), NOW, &mut actions);
    // The estimate of 100 was far too high, so the charge decreases, here and in the other zone's
    // assumed part.
    let grant = grants(&actions)[0].id;
    complete(&mut pool, grant, 1, Ending::Answered);
    let mut other = report(1, vec![CounterEntry("b".into(), 5_000_000, 0, 4)]);
    other.zone = "elsewhere".into();
    other.replica.name = "box-5".into();
    pool.handle_report(&other, NOW, &mut actions);
    assert!(4_000_000 <= pool.ledger().known_virtual_time("a"));
}

/// The response to a pull of an earlier instance, from a zone that has not reported yet, left a
/// workspace in the order although no dispatcher could be asked for its tickets (found by the
/// property test).
#[test]
fn a_pull_response_from_an_unknown_zone_adds_no_work() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    let response = PullResponse {
        pool: "llm".into(),
        grant: GrantId(77),
        workspace: "a".into(),
        zone: "there".into(),
        ticket: None,
        still_waiting: 3,
    };
    pool.handle_pull_response(response, NOW, &mut actions);
    pool.fill_slots(NOW, &mut actions);
    assert!(actions.is_empty());
}

/// A pull request is sent again when its response is lost.
#[test]
fn a_repeated_pull_request_takes_one_ticket() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    let request = PullRequest {
        pool: "llm".into(),
        workspace: "a".into(),
        grant: GrantId(77),
        upstream: "far".into(),
        dispatcher: "box-9".into(),
        any_workspace: false,
        forwarded: false,
    };
    pool.handle_pull_request(&request, NOW, &mut actions);
    pool.handle_pull_request(&request, NOW, &mut actions);
    assert_eq!(pool.queue().waiting("a"), 1);
}

/// Reports may be repeated or arrive out of order; counters must not be added twice.
#[test]
fn merging_a_report_twice_or_late_changes_nothing() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    let old = report(1, vec![CounterEntry("a".into(), 10_000, 0, 1)]);
    let new = report(2, vec![CounterEntry("a".into(), 30_000, 0, 1)]);
    pool.handle_report(&new, NOW, &mut actions);
    pool.handle_report(&new, NOW, &mut actions);
    pool.handle_report(&old, NOW, &mut actions);
    assert_eq!(pool.ledger().known_virtual_time("a"), 30_000);
}

/// If the upstream has not recovered, all waiting requests sent at once would fail as well.
#[test]
fn a_failing_upstream_is_unavailable_and_then_tried_with_one_request() {
    let mut pool = pool(8);
    let mut actions = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    for grant in grants(&actions) {
        complete(&mut pool, grant.id, 0, Ending::Failed);
    }
    actions.clear();
    for id in 4..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    assert_eq!(granted(&actions), [0_u64; 0]);
    pool.tick(NOW + Duration::from_secs(3), &mut actions);
    assert_eq!(granted(&actions), [4], "one trial");
    let trial_grant = grants(&actions)[0].id;
    let actions = complete(&mut pool, trial_grant, 100, Ending::Answered);
    assert_eq!(granted(&actions).len(), 5, "it is available again");
}

/// Guards against sending the next request at once to an upstream that asks for a backoff.
#[test]
fn an_upstream_in_backoff_gets_no_request_until_its_end_and_then_one() {
    let mut pool = pool(8);
    let mut actions = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    let all = grants(&actions);
    complete(&mut pool, all[0].id, 0, Ending::Backoff(5_000));
    complete(&mut pool, all[1].id, 0, Ending::Backoff(1_000));
    complete(&mut pool, all[2].id, 100, Ending::Answered);
    actions.clear();
    for id in 4..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    pool.tick(NOW + Duration::from_secs(4), &mut actions);
    assert_eq!(
        granted(&actions),
        [0_u64; 0],
        "neither a shorter backoff nor an earlier response ends it"
    );
    pool.tick(NOW + Duration::from_secs(5), &mut actions);
    assert_eq!(granted(&actions), [4], "one trial");
    let trial_grant = grants(&actions)[0].id;
    let actions = complete(&mut pool, trial_grant, 100, Ending::Answered);
    assert_eq!(granted(&actions).len(), 5, "it is available again");
}

/// It is about to stop and would break off what it is sent.
#[test]
fn a_leaving_upstream_gets_no_requests() {
    let mut pool = pool(8);
    let mut actions = Vec::new();
    pool.upstreams_mut().apply_report("e1", UpstreamReport { running: 0, leaving: true }, NOW);
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    assert_eq!(granted(&actions), [0_u64; 0]);
}

/// Slots used by others count, but the report lags, so the dispatcher's own requests must not count
/// twice.
#[test]
fn a_lagging_load_report_occupies_only_slots_of_others() {
    let mut pool = pool(8);
    let mut actions = Vec::new();
    for id in 1..=4 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    pool.upstreams_mut().apply_report("e1", UpstreamReport { running: 6, leaving: false }, NOW);
    actions.clear();
    for id in 5..=9 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    assert_eq!(granted(&actions), [5, 6], "two of eight slots are used by others");
}

/// Elsewhere the prefix would have to be prefilled again.
#[test]
fn a_prompt_goes_to_the_upstream_with_its_prefix_cached() {
    let mut pool = pool(8);
    let mut actions = Vec::new();
    let hinted = |id| Ticket { prefix: 42, ..ticket(id, "a", Class::Normal) };
    pool.submit(hinted(1), NOW, &mut actions);
    pool.submit(hinted(2), NOW, &mut actions);
    let grants = grants(&actions);
    assert_eq!(grants[0].upstream, grants[1].upstream);
}

/// The grant checks that a dispatcher sends at `now`.
fn checks(pool: &mut PoolDispatcher, now: Duration) -> Vec<(Vec<GrantId>, Option<GrantDigest>)> {
    let mut actions = Vec::new();
    pool.tick(now, &mut actions);
    let check = |action| match action {
        Action::Send { message: Message::GrantCheckRequest { grants, digest, .. }, .. } => {
            Some((grants, digest))
        }
        _ => None,
    };
    actions.into_iter().filter_map(check).collect()
}

/// A router may lose a grant, whose slot would stay occupied for ever.
#[test]
fn grants_are_checked_by_digest_and_unused_ones_are_released() {
    let mut pool = pool(8);
    let mut actions = Vec::new();
    for id in 1..=3 {
        pool.submit(ticket(id, "a", Class::Normal), NOW, &mut actions);
    }
    let ids: Vec<GrantId> = grants(&actions).iter().map(|g| g.id).collect();
    let later = NOW + Duration::from_secs(6);
    let (listed, digest) = checks(&mut pool, later).pop().expect("it sends a check");
    let digest = digest.expect("the grants are its own");
    assert!(listed.is_empty());
    assert_eq!(digest, GrantDigest::new(digest.first, digest.last, ids.iter().copied()));
    // The router has lost one of them.
    let used = [ids[0], ids[2]];
    assert_ne!(digest, GrantDigest::new(digest.first, digest.last, used.into_iter()));
    pool.release_except(&"box-1".into(), digest.first, digest.last, &used, later, &mut actions);
    assert_eq!(pool.upstreams().running(), 2);
}

/// A router may not have received the grant yet, so not using it proves nothing.
#[test]
fn a_recent_grant_is_not_released() {
    let mut pool = pool(8);
    let mut actions = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    let later = NOW + Duration::from_secs(6);
    pool.submit(ticket(2, "a", Class::Normal), later, &mut actions);
    let ids: Vec<GrantId> = grants(&actions).iter().map(|g| g.id).collect();
    pool.release_except(&"box-1".into(), GrantId(0), ids[1], &[], later, &mut actions);
    assert_eq!(pool.upstreams().running(), 1);
}

/// The reason is what an operator sees of a waiting request.
#[test]
fn wait_reasons_state_the_position_of_a_workspace() {
    let mut pool = pool(1);
    let mut actions = Vec::new();
    pool.submit(ticket(1, "a", Class::Normal), NOW, &mut actions);
    pool.submit(ticket(2, "b", Class::Normal), NOW, &mut actions);
    pool.submit(ticket(3, "a", Class::Normal), NOW, &mut actions);
    // The first one was charged, so the other workspace is next.
    assert_eq!(pool.wait_reason(&"b".into()), WaitReason::Slot { first: 0 });
    assert_eq!(pool.wait_reason(&"a".into()), WaitReason::Slot { first: 1 });
}
