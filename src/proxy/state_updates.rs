//! Applies updates from the store and messages from other boxes to the state of this box.

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
use crate::proxy::headroom;
use crate::proxy::hub::Hub;
use crate::proxy::in_progress;
use crate::proxy::message::Message;
use crate::proxy::notices;
use crate::proxy::part_suspects;
use crate::proxy::placement_queue;
use crate::proxy::rollouts;
use crate::proxy::stream_versions;
use crate::proxy::suspects;
use crate::proxy::view::View;

/// Applies an update from the store.
pub fn apply_store_update(hub: &Hub, update: StoreUpdate) {
    match update {
        StoreUpdate::Configuration(table) => {
            if table.ignored_ranks != 0 {
                info!(hub.log(), "ranks out of range ignored"; "version" => table.version,
                    "count" => table.ignored_ranks);
                hub.metrics().ranks_ignored(table.ignored_ranks);
            }
            hub.change(|view, now| view.configure(table, now));
        }
        StoreUpdate::InvalidConfiguration(fault) => {
            warn!(hub.log(), "configuration refused"; "fault" => fault);
        }
        StoreUpdate::AllUpstreams(all) => hub.change(|view, now| view.set_upstreams(all, now)),
        StoreUpdate::UpstreamChanged { listing, written } => {
            hub.change(|view, now| view.set_written_upstream(listing, written, now))
        }
        StoreUpdate::UpstreamRemoved { name, revision } => {
            hub.change(|view, now| view.entry_removed(&name, Some(revision), now))
        }
        StoreUpdate::CompleteUpTo(revision) => {
            hub.stream_versions().record_list_change(hub.now());
            hub.change(|view, _| view.complete_up_to(revision));
        }
        StoreUpdate::Versions(changes) => {
            let known = hub.read(View::revision);
            hub.stream_versions().record_read(&changes, known, hub.now());
        }
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
        StoreUpdate::InvalidUpstreamEntry { name, fault } => {
            invalid_entry(hub, name.as_ref(), &fault)
        }
        StoreUpdate::StoreEra(era) => hub.change(|view, now| view.enter_era(era, now)),
        StoreUpdate::Unavailable(cause) => {
            if hub.read(View::reaches_store) {
                warn!(hub.log(), "store lost"; "cause" => cause);
                hub.metrics().store_lost();
            }
            hub.change(|view, _| view.store_lost());
        }
        StoreUpdate::WatchStopped => {
            hub.stream_versions().record_watch_stopped();
            hub.change(|view, _| view.store_left_to_others());
        }
        StoreUpdate::Available => {
            if !hub.read(View::reaches_store) {
                info!(hub.log(), "store reached");
            }
            hub.change(View::store_regained);
        }
    }
}

/// Records an entry of the store that can't be parsed, and why. Logs it unless that is known
/// already.
fn invalid_entry(hub: &Hub, name: Option<&UpstreamName>, fault: &str) {
    let is_new =
        name.is_none_or(|name| hub.change(|view, now| view.mark_unreadable(name, fault, now)));
    if is_new {
        warn!(hub.log(), "entry refused"; "name" => name.map(|n| n.as_str()), "fault" => fault);
        hub.metrics().entry_refused();
    }
}

/// Applies a message from the box at `sender`.
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
            let (prompt, decided_by) = (Prompt::from(&prompt), sender);
            // A request of this box may have been placed by another one.
            let sender = Some(by.unwrap_or(sender)).filter(|ip| *ip != hub.peers().own_ip());
            let placement = Placement {
                request,
                prompt: &prompt,
                prefill_tokens,
                copied_tokens,
                sender,
                decided_by: None,
            };
            hub.with_registry(|registry| registry.place(&upstream, placement, now));
            if by.is_some_and(|by| by != decided_by) {
                in_progress::handle_placed(hub, &upstream, decided_by);
            }
            let is_engine = hub.read(|view| view.registry().is_engine(&upstream));
            if !is_engine && let Some(workspace) = workspace {
                hub.plain_shares(|shares| {
                    let charge = shares.add_remote(
                        &workspace,
                        TokenCounts::admitted(plain::REQUEST_CHARGE),
                        now,
                    );
                    shares.remember(request, charge);
                });
            } else if let Some(workspace) = workspace {
                let is_owner = is_owner_of(hub, &upstream);
                hub.shares(|shares| {
                    add_to_share(shares, is_owner, request, &workspace, prompt.charge(), now)
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
            hub.with_registry(|registry| {
                registry.record_first_token(&upstream, request, Some(took), now)
            });
        }
        Message::Ended { upstream, request } => {
            hub.with_registry(|registry| registry.end_request(&upstream, request, now));
        }
        Message::Withdrawn { request } => hub.withdraw(request),
        Message::Unreachable { upstream } => {
            if hub.with_registry(|registry| registry.mark_unverified(&upstream, false, now)) {
                info!(hub.log(), "upstream reported unreachable by another box";
                    "name" => upstream.as_str());
                hub.request_probe();
            }
        }
        Message::Leaving { upstream } => {
            hub.change(|view, now| view.reported_leaving(&upstream, now));
        }
        Message::DrainNotice(notice) => notices::receive(hub, &notice, sender),
        Message::Listed { listing, written } => {
            // Also if this box watches the store, and may be behind.
            stream_versions::note_version(hub, &listing.service, &listing.version);
            hub.change(|view, now| view.reported_listed(listing, written, now))
        }
        Message::Gone { upstream, revision } => {
            hub.change(|view, now| view.reported_gone(&upstream, revision, now))
        }
        Message::PlacementResponse(response) => {
            engine_placement::handle_response(hub, response, sender)
        }
        Message::Queued { request, within_ms } => {
            placement_queue::handle_queued(hub, request, within_ms, sender);
        }
        Message::ShareUsage(all) => hub.shares(|shares| {
            for usage in &all {
                shares.add_remote(&usage.workspace, usage.tokens, now);
            }
        }),
        Message::ResponseReports { service, target, all } => {
            hub.rollouts().add_reports(&service, &target, &all);
        }
        Message::Suspects(all) => suspects::merge_reports(hub, &all),
        Message::SuspectCleared { fingerprint } => suspects::clear(hub, &fingerprint),
        Message::InProgress(report) => in_progress::handle_report(hub, &report, sender),
        Message::UnknownRequests(ids) => in_progress::handle_unknown(hub, &ids, sender),
        Message::RequestRecords(records) => in_progress::handle_records(hub, &records, sender),
        Message::Headroom(announcement) => headroom::receive(hub, &announcement, sender),
        Message::StreamRecords(records) => stream_versions::handle_records(hub, &records),
        Message::StreamQuery(query) => stream_versions::handle_query(hub, &query, sender),
        Message::StreamReply(reply) => stream_versions::handle_reply(hub, reply, sender),
        Message::PartSuspects(reports) => part_suspects::merge_reports(hub, &reports),
        Message::PartsCompleted(parts) => part_suspects::apply_completed(hub, &parts),
        Message::PartTrial(part) => part_suspects::apply_trial(hub, part),
        // Handled by `Peers`.
        Message::Heartbeat(_)
        | Message::PlacementRequest(_)
        | Message::PlainPlacementRequest(_) => {}
    }
}

/// Whether this box owns an engine; `None` while engines have no owners.
fn is_owner_of(hub: &Hub, upstream: &UpstreamName) -> Option<bool> {
    let owners = hub.peers().owners().owners_of_hash(upstream::name_hash(upstream));
    owners.map(|owners| owners.owner == hub.peers().own_ip())
}

/// Adds the tokens of a request to its workspace's share. The sender placed the request by itself
/// and notifies all boxes, because it knows of few boxes. The engine's owner counts the tokens as
/// its own and reports them to the other owners.
fn add_to_share(
    shares: &mut Shares,
    is_owner: Option<bool>,
    request: u64,
    workspace: &WorkspaceName,
    tokens: u64,
    now: Duration,
) {
    let charge = match is_owner {
        Some(true) => shares.begin(workspace, tokens, now),
        // Reported by the owner.
        Some(false) => return,
        None => shares.add_remote(workspace, TokenCounts::admitted(tokens), now),
    };
    shares.remember(request, charge);
}
