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
use crate::placement::share::Tokens;
use crate::placement::upstream;
use crate::proxy::asking;
use crate::proxy::dialect::News;
use crate::proxy::dialect::Prompt;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::notices;
use crate::proxy::rollouts;
use crate::proxy::suspects;
use crate::proxy::view::View;

/// Applies an update from the store.
pub fn apply_store_update(hub: &Hub, news: News) {
    match news {
        News::Configured(table) => hub.change(|view, now| view.configure(table, now)),
        News::BadConfiguration(fault) => {
            warn!(hub.log(), "configuration refused"; "fault" => fault);
        }
        News::Listed(all) => hub.change(|view, now| view.list(all, now)),
        News::Changed(listed) => hub.change(|view, now| view.set(listed, now)),
        News::Gone(name) => hub.change(|view, now| view.gone(&name, now)),
        News::UpTo(revision) => hub.change(|view, _| view.up_to(revision)),
        News::Evacuated(all) => hub.change(|view, now| view.evacuate(&all, now)),
        News::Ordered { orders, revision } => hub.change(|view, now| {
            let evacuated = view.evacuated().after(&orders, revision);
            view.evacuate(&evacuated, now);
        }),
        News::Rollouts(all, revision) => rollouts::hear_all(hub, &all, revision),
        News::Rollout(entry) => rollouts::hear_store(hub, &entry),
        News::BadRollout { service, fault } => {
            warn!(hub.log(), "order of a roll-out refused";
                "service" => service.as_ref().map(|s| s.as_str()), "fault" => fault);
            hub.metrics().rollout_refused();
        }
        News::BadEntry { name, fault } => invalid_entry(hub, name.as_ref(), &fault),
        News::InEra(era) => hub.change(|view, now| view.in_era(era, now)),
        News::Lost(cause) => {
            if hub.read(View::reaches_store) {
                warn!(hub.log(), "store lost"; "cause" => cause);
                hub.metrics().store_lost();
            }
            hub.change(|view, _| view.store_lost());
        }
        News::LeftToOthers => hub.change(|view, _| view.store_left_to_others()),
        News::Regained => {
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
    let is_new = name.is_none_or(|name| hub.change(|view, now| view.unreadable(name, fault, now)));
    if is_new {
        warn!(hub.log(), "entry refused"; "name" => name.map(|n| n.as_str()), "fault" => fault);
        hub.metrics().entry_refused();
    }
}

/// Applies a message from the box at `sender`.
pub fn apply_message(hub: &Hub, message: Message, sender: IpAddr) {
    let now = hub.now();
    match message {
        Message::Placed { upstream, request, prompt, unread, copied, workspace, sender: by } => {
            let prompt = Prompt::from(&prompt);
            let sender = Some(by.unwrap_or(sender));
            let placement =
                Placement { request, prompt: &prompt, unread, copied, sender, decided: None };
            hub.fleet(|fleet| fleet.place(&upstream, placement, now));
            let is_engine = hub.read(|view| view.fleet().is_engine(&upstream));
            if !is_engine && let Some(workspace) = workspace {
                hub.plain_shares(|shares| {
                    let charge = shares.add(&workspace, Tokens::begun(plain::CHARGE), now);
                    shares.keep(request, charge);
                });
            } else if let Some(workspace) = workspace {
                let is_owner = is_owner_of(hub, &upstream);
                hub.shares(|shares| {
                    add_to_share(shares, is_owner, request, &workspace, prompt.charge(), now)
                });
            }
        }
        Message::Refused { workspace, tokens } => {
            hub.shares(|shares| _ = shares.add(&workspace, Tokens::refused(tokens), now));
        }
        Message::First { upstream, request, took_ms } => {
            let took = Duration::from_millis(took_ms.into());
            hub.fleet(|fleet| fleet.first(&upstream, request, Some(took), now));
        }
        Message::Ended { upstream, request } => {
            hub.fleet(|fleet| fleet.end(&upstream, request));
        }
        Message::Withdrawn { request } => hub.withdraw(request),
        Message::Unreachable { upstream } => {
            if hub.fleet(|fleet| fleet.doubt(&upstream, false, now)) {
                info!(hub.log(), "upstream reported unreachable by another box";
                    "name" => upstream.as_str());
                hub.look();
            }
        }
        Message::Leaving { upstream } => {
            hub.change(|view, now| view.told_leaving(&upstream, now));
        }
        Message::Draining(draining) => notices::receive(hub, &draining, sender),
        Message::Listed(listed) => hub.change(|view, now| view.told_listed(listed, now)),
        Message::Gone { upstream } => hub.change(|view, now| view.told_gone(&upstream, now)),
        Message::Answer(answer) => asking::answered(hub, answer, sender),
        Message::Used(all) => hub.shares(|shares| {
            for used in &all {
                shares.add(&used.workspace, used.tokens, now);
            }
        }),
        Message::Observed { service, target, all } => {
            hub.rollouts().observe(&service, &target, &all);
        }
        Message::Suspects(all) => suspects::hear(hub, &all),
        Message::Cleared { content } => suspects::cleared(hub, &content),
        // Handled by `Peers`.
        Message::Beat(_) | Message::Ask(_) | Message::AskPlain(_) => {}
    }
}

/// Whether this box owns an engine; `None` while engines have no owners.
fn is_owner_of(hub: &Hub, upstream: &UpstreamName) -> Option<bool> {
    let owned = hub.peers().owners().of_hash(upstream::hash(upstream));
    owned.map(|owned| owned.owner == hub.peers().me())
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
        None => shares.add(workspace, Tokens::begun(tokens), now),
    };
    shares.keep(request, charge);
}
