//! What the store and the other boxes tell, taken into what this box believes.

use std::net::IpAddr;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::placement::engine::Placement;
use crate::placement::plain;
use crate::placement::share::Shares;
use crate::placement::share::TokenCounts;
use crate::placement::upstream;
use crate::proxy::adapter::Prompt;
use crate::proxy::adapter::StoreUpdate;
use crate::proxy::engine_placement;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::notices;
use crate::proxy::rollouts;
use crate::proxy::suspects;
use crate::proxy::view::View;

/// Takes in what the store tells.
pub fn apply_store_update(hub: &Hub, news: StoreUpdate) {
    match news {
        StoreUpdate::Configuration(table) => hub.change(|view, now| view.configure(table, now)),
        StoreUpdate::InvalidConfiguration(fault) => {
            warn!(hub.log(), "configuration refused"; "fault" => fault);
        }
        StoreUpdate::AllUpstreams(all) => hub.change(|view, now| view.set_upstreams(all, now)),
        StoreUpdate::UpstreamChanged(listed) => {
            hub.change(|view, now| view.set_upstream(listed, now))
        }
        StoreUpdate::UpstreamRemoved(name) => {
            hub.change(|view, now| view.entry_removed(&name, now))
        }
        StoreUpdate::CompleteUpTo(revision) => hub.change(|view, _| view.complete_up_to(revision)),
        StoreUpdate::EvacuatedZones(all) => hub.change(|view, now| view.evacuate(&all, now)),
        StoreUpdate::EvacuationOrders { orders, revision } => hub.change(|view, now| {
            let evacuated = view.evacuated().with_orders(&orders, revision);
            view.evacuate(&evacuated, now);
        }),
        StoreUpdate::AllRollouts(all, revision) => rollouts::apply_list(hub, &all, revision),
        StoreUpdate::RolloutChanged(entry) => rollouts::apply_entry(hub, &entry),
        StoreUpdate::InvalidRollout { service, fault } => {
            warn!(hub.log(), "order of a roll-out refused";
                "service" => service.as_ref().map(|s| s.as_str()), "fault" => fault);
            hub.metrics().rollout_refused();
        }
        StoreUpdate::InvalidUpstreamEntry { name, fault } => bad_entry(hub, name.as_ref(), &fault),
        StoreUpdate::StoreEra(era) => hub.change(|view, now| view.enter_era(era, now)),
        StoreUpdate::Unavailable(cause) => {
            if hub.read(View::reaches_store) {
                warn!(hub.log(), "store lost"; "cause" => cause);
                hub.metrics().store_lost();
            }
            hub.change(|view, _| view.store_lost());
        }
        StoreUpdate::WatchStopped => hub.change(|view, _| view.store_left_to_others()),
        StoreUpdate::Available => {
            if !hub.read(View::reaches_store) {
                info!(hub.log(), "store reached");
            }
            hub.change(View::store_regained);
        }
    }
}

/// Notes an entry that can't be read, and what is wrong with it.
fn bad_entry(hub: &Hub, name: Option<&UpstreamName>, fault: &str) {
    let is_news =
        name.is_none_or(|name| hub.change(|view, now| view.mark_unreadable(name, fault, now)));
    if is_news {
        warn!(hub.log(), "entry refused"; "name" => name.map(|n| n.as_str()), "fault" => fault);
        hub.metrics().entry_refused();
    }
}

/// Takes in a message of the box at `sender`.
pub fn apply_message(hub: &Hub, message: Message, sender: IpAddr) {
    let now = hub.now();
    match message {
        Message::Placed {
            upstream,
            request,
            prompt,
            prefill_tokens,
            copied_tokens,
            workspace,
            sender: by,
        } => {
            let prompt = Prompt::from(&prompt);
            let sender = Some(by.unwrap_or(sender));
            let placement = Placement {
                request,
                prompt: &prompt,
                prefill_tokens,
                copied_tokens,
                sender,
                decided_by: None,
            };
            hub.fleet(|fleet| fleet.place(&upstream, placement, now));
            let is_engine = hub.read(|view| view.fleet().is_engine(&upstream));
            if !is_engine && let Some(workspace) = workspace {
                hub.plain_shares(|shares| {
                    let counted = shares.add_remote(
                        &workspace,
                        TokenCounts::admitted(plain::REQUEST_CHARGE),
                        now,
                    );
                    shares.remember(request, counted);
                });
            } else if let Some(workspace) = workspace {
                let is_owner = owns(hub, &upstream);
                hub.shares(|shares| {
                    count(shares, is_owner, request, &workspace, prompt.charge(), now)
                });
            }
        }
        Message::Refused { workspace, tokens } => {
            hub.shares(|shares| {
                _ = shares.add_remote(&workspace, TokenCounts::refused(tokens), now)
            });
        }
        Message::FirstToken { upstream, request, took_ms } => {
            let took = Duration::from_millis(took_ms.into());
            hub.fleet(|fleet| fleet.record_first_token(&upstream, request, Some(took), now));
        }
        Message::Ended { upstream, request } => {
            hub.fleet(|fleet| fleet.remove_request(&upstream, request));
        }
        Message::Withdrawn { request } => hub.withdraw(request),
        Message::Unreachable { upstream } => {
            if hub.fleet(|fleet| fleet.mark_unverified(&upstream, false, now)) {
                info!(hub.log(), "upstream said to be unreachable"; "name" => upstream.as_str());
                hub.request_probe();
            }
        }
        Message::Leaving { upstream } => {
            hub.change(|view, now| view.reported_leaving(&upstream, now));
        }
        Message::DrainNotice(draining) => notices::receive(hub, &draining, sender),
        Message::Listed(listed) => hub.change(|view, now| view.reported_listed(listed, now)),
        Message::Gone { upstream } => hub.change(|view, now| view.reported_gone(&upstream, now)),
        Message::PlacementResponse(answer) => {
            engine_placement::handle_response(hub, answer, sender)
        }
        Message::ShareUsage(all) => hub.shares(|shares| {
            for used in &all {
                shares.add_remote(&used.workspace, used.tokens, now);
            }
        }),
        Message::ResponseReports { service, target, all } => {
            hub.rollouts().add_reports(&service, &target, &all);
        }
        Message::Suspects(all) => suspects::merge_reports(hub, &all),
        Message::SuspectCleared { fingerprint } => suspects::clear(hub, &fingerprint),
        // Taken in by the peers.
        Message::Heartbeat(_)
        | Message::PlacementRequest(_)
        | Message::PlainPlacementRequest(_) => {}
    }
}

/// Whether this box owns the model of an engine; nothing where nobody owns anything.
fn owns(hub: &Hub, upstream: &UpstreamName) -> Option<bool> {
    let owned = hub.peers().owners().owners_of_hash(upstream::name_hash(upstream));
    owned.map(|owned| owned.owner == hub.peers().own_ip())
}

/// Counts what another box has placed that believes the fleet small, and tells all. The owner of the engine counts
/// it as its own, to tell the other owners.
fn count(
    shares: &mut Shares,
    is_owner: Option<bool>,
    request: u64,
    workspace: &WorkspaceName,
    tokens: u64,
    now: Duration,
) {
    let counted = match is_owner {
        Some(true) => shares.begin(workspace, tokens, now),
        // The owner tells of it.
        Some(false) => return,
        None => shares.add_remote(workspace, TokenCounts::admitted(tokens), now),
    };
    shares.remember(request, counted);
}
