//! A router refuses waiting requests early that it can't serve before their deadline.

mod util;

use std::collections::BTreeSet;
use std::time::Duration;

use frostdyke::config::CatalogRevision;
use frostdyke::dispatch::pool::Tuning;
use frostdyke::names::BoxName;
use frostdyke::node::Identity;
use frostdyke::node::Node;
use frostdyke::node::Output;
use frostdyke::peer::member::GossipSettings;
use frostdyke::peer::message::Class;
use frostdyke::peer::message::Ending;
use frostdyke::peer::message::Ticket;
use frostdyke::peer::message::TicketId;
use util::SECOND;
use util::catalog;

const DEADLINE: Duration = Duration::from_secs(10);

/// The only box of a zone, with an engine that has one slot.
fn node() -> Node {
    let id = Identity { name: "box-1".into(), zone: "here".into(), incarnation: 1 };
    let mut node = Node::new(id, Tuning::default(), GossipSettings::default());
    let engine = catalog::upstream("e1", "here", 1);
    let cfg = catalog::catalog(vec![catalog::workspace("a", 1)], vec![engine]);
    node.configure(
        CatalogRevision::new(1, cfg).expect("the configuration is valid"),
        Duration::ZERO,
    );
    node
}

fn ticket(id: TicketId, class: Class) -> Ticket {
    Ticket {
        id,
        router: BoxName::none(),
        workspace: "a".into(),
        service: catalog::SERVICE.into(),
        pool: catalog::POOL.into(),
        class,
        deadline_ms: DEADLINE.as_millis() as u64,
        prefix: 0,
        avoid: None,
        forwarded: false,
    }
}

/// Serves one request per second for `span`. Returns the tickets that were started, and those that
/// were refused with the time of the refusal.
fn serve(node: &mut Node, span: Duration) -> (Vec<TicketId>, Vec<(TicketId, Duration)>) {
    let (mut started, mut refused, mut running) = (Vec::new(), Vec::new(), None);
    let mut now = Duration::ZERO;
    while now < span {
        if let Some((id, until)) = running
            && until <= now
        {
            running = None;
            node.finish(id, 100, Ending::Answered, now);
        }
        node.tick(now);
        for output in node.take_output() {
            match output {
                Output::Start { ticket, .. } => {
                    running = Some((ticket, now + SECOND));
                    started.push(ticket);
                }
                Output::Refuse { ticket, .. } => refused.push((ticket, now)),
                _ => {}
            }
        }
        now += SECOND / 50;
    }
    (started, refused)
}

/// Guards against requests that wait until their deadline though the queue is too long to reach
/// them.
#[test]
fn requests_that_cannot_meet_their_deadline_are_refused_early() {
    let mut node = node();
    let ids: Vec<TicketId> = (0..40).map(|_| node.new_ticket_id()).collect();
    for &id in &ids {
        node.submit(ticket(id, Class::Normal), Duration::ZERO).expect("there is room");
    }
    let (started, refused) = serve(&mut node, DEADLINE);
    assert!(10 <= refused.len(), "{refused:?}");
    // Most are refused in the first half of their time to the deadline.
    let early = refused.iter().filter(|(_, at)| *at < DEADLINE / 2).count();
    assert!(refused.len() / 2 <= early, "{refused:?}");
    // The refused ones are at the end of the queue, behind all that were served.
    let last_started = started.iter().max().expect("some were started");
    assert!(refused.iter().all(|(id, _)| last_started < id), "{started:?} {refused:?}");
    let all: BTreeSet<TicketId> =
        started.iter().copied().chain(refused.iter().map(|(id, _)| *id)).collect();
    assert_eq!(all.len(), started.len() + refused.len());
    assert_eq!(node.waiting_count(), ids.len() - all.len());
}

/// Guards against refusing an urgent request because of the normal ones that wait behind it.
#[test]
fn an_urgent_request_counts_only_requests_ahead_of_it() {
    let mut node = node();
    for _ in 0..40 {
        let id = node.new_ticket_id();
        node.submit(ticket(id, Class::Normal), Duration::ZERO).expect("there is room");
    }
    let urgent = node.new_ticket_id();
    node.submit(ticket(urgent, Class::Urgent), Duration::ZERO).expect("there is room");
    let (started, refused) = serve(&mut node, DEADLINE);
    assert!(started.contains(&urgent));
    assert!(refused.iter().all(|(id, _)| *id != urgent));
}

/// Guards against refusing requests on an unfounded estimate: while none is served, the service
/// rate is unknown.
#[test]
fn no_request_is_refused_while_the_service_rate_is_unknown() {
    let mut node = node();
    let mut cfg = node.configuration().catalog.clone();
    cfg.upstreams[0].draining = true;
    node.configure(
        CatalogRevision::new(2, cfg).expect("the configuration is valid"),
        Duration::ZERO,
    );
    for _ in 0..40 {
        let id = node.new_ticket_id();
        node.submit(ticket(id, Class::Normal), Duration::ZERO).expect("there is room");
    }
    let (started, refused) = serve(&mut node, DEADLINE / 2);
    assert_eq!((started.len(), refused.len()), (0, 0));
}
