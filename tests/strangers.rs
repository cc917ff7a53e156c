//! What comes over the wire and isn't what it should be gets a clear error, and does no harm.

mod util;

use std::time::Duration;

use frostdyke::config::CatalogRevision;
use frostdyke::dispatch::ledger::CounterEntry;
use frostdyke::dispatch::ledger::ReplicaId;
use frostdyke::dispatch::pool::Tuning;
use frostdyke::node::Identity;
use frostdyke::node::Node;
use frostdyke::peer::member::GossipSettings;
use frostdyke::peer::message::Class;
use frostdyke::peer::message::CompletionReport;
use frostdyke::peer::message::DispatcherReport;
use frostdyke::peer::message::Ending;
use frostdyke::peer::message::Envelope;
use frostdyke::peer::message::Grant;
use frostdyke::peer::message::GrantDigest;
use frostdyke::peer::message::GrantId;
use frostdyke::peer::message::HeartbeatEntry;
use frostdyke::peer::message::Message;
use frostdyke::peer::message::PullRequest;
use frostdyke::peer::message::PullResponse;
use frostdyke::peer::message::PulledTicket;
use frostdyke::peer::message::RelayedCounters;
use frostdyke::peer::message::RunningGrant;
use frostdyke::peer::message::Ticket;
use frostdyke::peer::message::TicketId;
use proptest::prelude::*;
use util::fleet::Fleet;
use util::fleet::Setup;
use util::fleet::raw;

/// Names from a small set, known ones and others, so that messages meet.
fn name(known: &'static str) -> impl Strategy<Value = String> {
    (0..4_u8).prop_map(move |n| format!("{known}-{n}"))
}

fn id() -> impl Strategy<Value = u64> {
    prop_oneof![0..6_u64, any::<u64>()]
}

/// Amounts at the edges of what fits.
fn amount() -> impl Strategy<Value = i64> {
    prop_oneof![-1000..1000_i64, Just(i64::MAX), Just(i64::MIN), any::<i64>()]
}

fn cost() -> impl Strategy<Value = u64> {
    prop_oneof![0..500_u64, Just(u64::MAX), Just(1 << 62), any::<u64>()]
}

fn cell() -> impl Strategy<Value = ReplicaId> {
    (name("box"), 0..3_u64)
        .prop_map(|(b, incarnation)| ReplicaId { name: (&*b).into(), incarnation })
}

fn entries() -> impl Strategy<Value = Vec<CounterEntry>> {
    let entry = (name("workspace"), amount(), amount(), any::<u32>());
    let entry =
        entry.prop_map(|(w, charged, offset, n)| CounterEntry((&*w).into(), charged, offset, n));
    prop::collection::vec(entry, 0..4)
}

fn ticket() -> impl Strategy<Value = Ticket> {
    (id(), name("box"), name("workspace"), any::<bool>(), cost(), id()).prop_map(
        |(i, router, workspace, urgent, deadline_ms, prefix)| Ticket {
            id: TicketId(i),
            router: (&*router).into(),
            workspace: (&*workspace).into(),
            service: "assist".into(),
            pool: "llm".into(),
            class: if urgent { Class::Urgent } else { Class::Background },
            deadline_ms,
            prefix,
            avoid: None,
            forwarded: urgent,
        },
    )
}

fn ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        Just(Ending::Answered),
        Just(Ending::Failed),
        Just(Ending::Cancelled),
        any::<u32>().prop_map(Ending::Backoff),
        Just(Ending::Unused),
    ]
}

fn running() -> impl Strategy<Value = RunningGrant> {
    (id(), name("workspace"), name("engine"), cost()).prop_map(|(g, w, u, charged_cost)| {
        RunningGrant {
            grant: GrantId(g),
            workspace: (&*w).into(),
            service: "assist".into(),
            upstream: (&*u).into(),
            charged_cost,
        }
    })
}

fn summary() -> impl Strategy<Value = DispatcherReport> {
    let other = (cell(), id(), entries());
    let other =
        other.prop_map(|(replica, version, entries)| RelayedCounters { replica, version, entries });
    let others = prop::collection::vec(other, 0..3);
    (name("zone"), name("box"), cell(), (id(), id()), amount(), any::<u32>(), entries(), others)
        .prop_map(
            |(
                zone,
                b,
                replica,
                (version, merged_version),
                virtual_time,
                idle_slots,
                entries,
                relayed,
            )| DispatcherReport {
                pool: "llm".into(),
                zone: (&*zone).into(),
                dispatcher: (&*b).into(),
                replica,
                version,
                merged_version,
                virtual_time,
                idle_slots,
                lost_routers: vec![(&*b).into()],
                entries,
                relayed,
                forwarded: false,
            },
        )
}

fn pull() -> impl Strategy<Value = PullRequest> {
    (name("workspace"), id(), name("engine"), name("box"), any::<bool>()).prop_map(
        |(w, g, u, b, any_workspace)| PullRequest {
            pool: "llm".into(),
            workspace: (&*w).into(),
            grant: GrantId(g),
            upstream: (&*u).into(),
            dispatcher: (&*b).into(),
            any_workspace,
            forwarded: false,
        },
    )
}

fn pulled() -> impl Strategy<Value = PullResponse> {
    let taken =
        (id(), name("box"), name("workspace"), cost()).prop_map(|(t, b, w, charged_cost)| {
            PulledTicket {
                ticket: TicketId(t),
                router: (&*b).into(),
                workspace: (&*w).into(),
                service: "assist".into(),
                charged_cost,
            }
        });
    (id(), name("workspace"), name("zone"), prop::option::of(taken), any::<u32>()).prop_map(
        |(g, w, z, ticket, still_waiting)| PullResponse {
            pool: "llm".into(),
            grant: GrantId(g),
            workspace: (&*w).into(),
            zone: (&*z).into(),
            ticket,
            still_waiting,
        },
    )
}

fn beat() -> impl Strategy<Value = HeartbeatEntry> {
    (name("box"), id(), id(), any::<bool>()).prop_map(|(b, incarnation, counter, leaving)| {
        HeartbeatEntry { name: (&*b).into(), incarnation, counter, leaving }
    })
}

fn message() -> impl Strategy<Value = Message> {
    let grants = || prop::collection::vec(id().prop_map(GrantId), 0..4);
    let p = || "llm".into();
    prop_oneof![
        (prop::collection::vec(beat(), 0..4), id())
            .prop_map(|(entries, revision)| Message::Heartbeat { entries, revision }),
        ticket().prop_map(Message::Ticket),
        id().prop_map(move |i| Message::Cancel { pool: p(), ticket: TicketId(i) }),
        (id(), id(), name("engine"), cost(), name("box")).prop_map(|(g, t, u, charged_cost, b)| {
            Message::Grant(Grant {
                id: GrantId(g),
                ticket: TicketId(t),
                upstream: (&*u).into(),
                charged_cost,
                dispatcher: (&*b).into(),
            })
        }),
        (id(), cost()).prop_map(move |(g, cost)| Message::Progress {
            pool: p(),
            grant: GrantId(g),
            cost
        }),
        (id(), cost(), ending()).prop_map(move |(g, cost, ending)| {
            Message::CompletionReport(CompletionReport {
                pool: p(),
                grant: GrantId(g),
                cost,
                ending,
            })
        }),
        (name("box"), prop::collection::vec(running(), 0..4)).prop_map(move |(b, grants)| {
            Message::RunningGrants { pool: p(), router: (&*b).into(), grants }
        }),
        (grants(), id(), id(), any::<u32>()).prop_map(move |(grants, first, last, sum)| {
            let (first, last) = (GrantId(first), GrantId(last));
            Message::GrantCheckRequest {
                pool: p(),
                grants,
                digest: Some(GrantDigest { first, last, count: 1, sum }),
            }
        }),
        (grants(), id(), id()).prop_map(move |(grants, f, u)| {
            Message::GrantsInUse { pool: p(), first: GrantId(f), last: GrantId(u), grants }
        }),
        Just(Message::Probe {}),
        grants().prop_map(move |grants| Message::GrantsNotInUse { pool: p(), grants }),
        summary().prop_map(|s| Message::DispatcherReport(Box::new(s))),
        (name("zone"), cell(), id()).prop_map(move |(z, replica, version)| Message::StandbyAck {
            pool: p(),
            zone: (&*z).into(),
            replica,
            version
        }),
        pull().prop_map(Message::PullRequest),
        pulled().prop_map(Message::PullResponse),
        id().prop_map(|revision| Message::ConfigurationRequest { revision }),
    ]
}

fn node() -> Node {
    let setup = util::rig::Setup {
        workspaces: vec![util::backlogged(&[], 1); 3],
        zones: 2,
        ..util::rig::Setup::default()
    };
    let id = Identity { name: "box-0".into(), zone: "zone-0".into(), incarnation: 1 };
    let mut node = Node::new(id, Tuning::default(), GossipSettings::default());
    let catalog = util::rig::configuration(&setup);
    node.set_box_list(&util::rig::listed(&setup), Duration::ZERO);
    node.configure(
        CatalogRevision::new(1, catalog).expect("a valid configuration"),
        Duration::ZERO,
    );
    node
}

proptest! {
    #![proptest_config(util::seeded(300))]

    /// Whatever peers say, in any order, a node goes on; and it still serves its own request.
    #[test]
    fn any_messages_of_peers_do_no_harm(
        messages in prop::collection::vec((name("box"), message()), 1..60),
    ) {
        let mut node = node();
        let mut now = Duration::ZERO;
        for (from, message) in messages {
            now += Duration::from_millis(700);
            // Over the wire and back, as it would come.
            let text = serde_json::to_string(&Envelope((&*from).into(), vec![message])).unwrap();
            let Envelope(from, messages) = serde_json::from_str(&text).unwrap();
            node.receive(&from, messages, now);
            node.tick(now);
            node.take_output();
        }
    }
}

/// A request head, whole or not, with odd parts.
fn head() -> impl Strategy<Value = Vec<u8>> {
    let method = prop_oneof![Just("POST"), Just("GET"), Just("BREW"), Just("")];
    let path = prop_oneof![
        Just("/v1/services/assist".to_owned()),
        Just("/v1/services/".to_owned()),
        "/[ -~]{0,60}",
    ];
    let name = prop_oneof![
        Just("frostdyke-workspace".to_owned()),
        Just("frostdyke-deadline-ms".to_owned()),
        Just("frostdyke-class".to_owned()),
        Just("idempotency-key".to_owned()),
        Just("content-length".to_owned()),
        Just("transfer-encoding".to_owned()),
        "[!-~]{0,30}",
    ];
    let value = prop_oneof![
        Just("alpha".to_owned()),
        Just("-1".to_owned()),
        Just("18446744073709551616".to_owned()),
        Just("chunked".to_owned()),
        "[ -~\\t]{0,300}",
        "\\PC{0,40}",
    ];
    let headers = prop::collection::vec((name, value), 0..8);
    (method, path, headers, any::<bool>()).prop_map(|(method, path, headers, ends)| {
        let mut text = format!("{method} {path} HTTP/1.1\r\nconnection: close\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if ends {
            text.push_str("\r\n{}");
        }
        text.into_bytes()
    })
}

/// Whatever callers send, they get an answer or a closed connection, and the next one is served.
#[test]
fn any_heads_of_callers_are_answered_or_refused() {
    let extra = "head-timeout-ms = 50\ndefault-deadline-ms = 1000";
    let setup = Setup { extra: extra.to_owned(), ..Setup::default() };
    let fleet = Fleet::start(&setup);
    let router = &fleet.routers[0];
    let config = util::seeded(400);
    let mut runner = proptest::test_runner::TestRunner::new(config);
    let strategy = prop_oneof![head(), prop::collection::vec(any::<u8>(), 0..300)];
    let checked = runner.run(&strategy, |bytes| {
        let answer = raw(router.callers, &bytes);
        let status = answer.strip_prefix("HTTP/1.1 ").and_then(|s| s.get(..3));
        let clear = status.is_none_or(|s| s.starts_with(['2', '4']) || s == "503");
        prop_assert!(clear, "{answer}");
        Ok(())
    });
    assert_eq!(checked, Ok(()));
    assert_eq!(router.send("balance", "{}", &[]).outcome, "ran");
    assert!(router.resident() < RESIDENT_MAX, "{} bytes", router.resident());
}

/// Bytes that an idle router may hold after all that; it starts with a fifth of it.
const RESIDENT_MAX: u64 = 64 << 20;
