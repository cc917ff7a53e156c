//! What a router lets wait: nothing that it can't serve in time.

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

/// A box alone in its zone, before an engine with one slot.
fn node() -> Node {
    let id = Identity { name: "box-1".into(), zone: "here".into(), incarnation: 1 };
    let mut node = Node::new(id, Tuning::default(), GossipSettings::default());
    let engine = catalog::upstream("e1", "here", 1);
    let cfg = catalog::catalog(vec![catalog::workspace("a", 1)], vec![engine]);
    node.configure(CatalogRevision::new(1, cfg).expect("it is valid"), Duration::ZERO);
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

/// Serves one request a second for `span`. Gives what was started and what was refused, with the
/// time of it.
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

#[test]
fn who_cant_be_served_in_time_hears_of_it_early() {
    let mut node = node();
    let ids: Vec<TicketId> = (0..40).map(|_| node.new_ticket_id()).collect();
    for &id in &ids {
        node.submit(ticket(id, Class::Normal), Duration::ZERO).expect("there is room");
    }
    let (started, refused) = serve(&mut node, DEADLINE);
    assert!(10 <= refused.len(), "{refused:?}");
    // Most hear of it in the first half of their time.
    let early = refused.iter().filter(|(_, at)| *at < DEADLINE / 2).count();
    assert!(refused.len() / 2 <= early, "{refused:?}");
    // It hits those at the end of the queue, and nobody who was served.
    let last_started = started.iter().max().expect("some were");
    assert!(refused.iter().all(|(id, _)| last_started < id), "{started:?} {refused:?}");
    let all: BTreeSet<TicketId> =
        started.iter().copied().chain(refused.iter().map(|(id, _)| *id)).collect();
    assert_eq!(all.len(), started.len() + refused.len());
    assert_eq!(node.waiting_count(), ids.len() - all.len());
}

/// Urgent work isn't given up on for what waits behind it.
#[test]
fn urgent_work_counts_only_what_is_ahead_of_it() {
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

/// Where nothing is served at all, nobody knows how long it takes.
#[test]
fn nobody_is_given_up_on_while_the_pace_is_unknown() {
    let mut node = node();
    let mut cfg = node.configuration().catalog.clone();
    cfg.upstreams[0].draining = true;
    node.configure(CatalogRevision::new(2, cfg).expect("it is valid"), Duration::ZERO);
    for _ in 0..40 {
        let id = node.new_ticket_id();
        node.submit(ticket(id, Class::Normal), Duration::ZERO).expect("there is room");
    }
    let (started, refused) = serve(&mut node, DEADLINE / 2);
    assert_eq!((started.len(), refused.len()), (0, 0));
}
