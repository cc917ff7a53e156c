//! What the store and the other boxes tell, taken into what this box believes.

use std::net::IpAddr;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::names::UpstreamName;
use crate::names::WorkspaceName;
use crate::placement::engine::Placement;
use crate::placement::plain;
use crate::placement::share::Tokens;
use crate::placement::upstream;
use crate::proxy::asking;
use crate::proxy::dialect::News;
use crate::proxy::dialect::Prompt;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::view::View;

/// Takes in what the store tells.
pub fn news(hub: &Hub, news: News) {
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
        News::BadEntry(fault) => warn!(hub.log(), "entry refused"; "fault" => fault),
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

/// Takes in a message of the box at `sender`.
pub fn message(hub: &Hub, message: Message, sender: IpAddr) {
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
                let tokens = Tokens { asked: plain::CHARGE, begun: plain::CHARGE };
                hub.plain_shares(|shares| shares.add(&workspace, tokens, now));
            } else if let Some(workspace) = workspace {
                count(hub, &upstream, &workspace, prompt.charge(), now);
            }
        }
        Message::Refused { workspace, tokens } => {
            let tokens = Tokens { asked: tokens, begun: 0 };
            hub.shares(|shares| shares.add(&workspace, tokens, now));
        }
        Message::First { upstream, request, took_ms } => {
            let took = Duration::from_millis(took_ms.into());
            hub.fleet(|fleet| fleet.first(&upstream, request, Some(took), now));
        }
        Message::Ended { upstream, request } => {
            hub.fleet(|fleet| fleet.end(&upstream, request));
        }
        Message::Unreachable { upstream } => {
            if hub.fleet(|fleet| fleet.doubt(&upstream, false, now)) {
                info!(hub.log(), "upstream said to be unreachable"; "name" => upstream.as_str());
                hub.look();
            }
        }
        Message::Leaving { upstream } => {
            hub.change(|view, now| view.told_leaving(&upstream, now));
        }
        Message::Listed(listed) => hub.change(|view, now| view.told_listed(listed, now)),
        Message::Gone { upstream } => hub.change(|view, now| view.told_gone(&upstream, now)),
        Message::Answer(answer) => asking::answered(hub, answer, sender),
        Message::Used(all) => hub.shares(|shares| {
            all.iter().for_each(|used| shares.add(&used.workspace, used.tokens, now));
        }),
        // Taken in by the peers.
        Message::Beat(_) | Message::Ask(_) | Message::AskPlain(_) => {}
    }
}

/// Counts what another box has placed by itself. The owner of the engine counts it as its own, to
/// tell the other owners.
fn count(
    hub: &Hub,
    upstream: &UpstreamName,
    workspace: &WorkspaceName,
    tokens: u64,
    now: Duration,
) {
    let owned = hub.peers().owners().of_hash(upstream::hash(upstream));
    let me = hub.peers().me();
    match owned.map(|o| o.owner == me) {
        Some(true) => hub.shares(|shares| shares.begin(workspace, tokens, now)),
        // The owner tells of it.
        Some(false) => {}
        None => {
            let tokens = Tokens { asked: tokens, begun: tokens };
            hub.shares(|shares| shares.add(workspace, tokens, now));
        }
    }
}
