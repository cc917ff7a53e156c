//! What the store and the other boxes tell, taken into what this box believes.

use std::net::IpAddr;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::placement::engine::Placement;
use crate::proxy::dialect::News;
use crate::proxy::dialect::Prompt;
use crate::proxy::hub::Hub;
use crate::proxy::message::Message;
use crate::proxy::view::View;

/// Takes in what the store tells.
pub fn news(hub: &Hub, news: News) {
    match news {
        News::Configured(table) => hub.change(|view, _| view.configure(table)),
        News::BadConfiguration(fault) => {
            warn!(hub.log(), "configuration refused"; "fault" => fault);
        }
        News::Listed(all) => hub.change(|view, now| view.list(all, now)),
        News::Changed(listed) => hub.change(|view, _| view.set(listed)),
        News::Gone(name) => hub.change(|view, now| view.gone(&name, now)),
        News::BadEntry(fault) => warn!(hub.log(), "entry refused"; "fault" => fault),
        News::Lost(cause) => {
            if hub.read(View::reaches_store) {
                warn!(hub.log(), "store lost"; "cause" => cause);
                hub.metrics().store_lost();
            }
            hub.change(|view, _| view.store_lost());
        }
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
        Message::Placed { upstream, request, prompt, unread, copied, workspace } => {
            let prompt = Prompt::from(prompt);
            let sender = Some(sender);
            let placement = Placement { request, prompt: &prompt, unread, copied, sender };
            hub.fleet(|fleet| fleet.place(&upstream, placement, now));
            if let Some(workspace) = workspace {
                hub.shares(|shares| shares.begin(&workspace, prompt.charge(), now));
            }
        }
        Message::Refused { workspace, tokens } => {
            hub.shares(|shares| shares.refuse(&workspace, tokens, now));
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
            hub.change(|view, _| view.told_leaving(&upstream));
        }
        Message::Gone { upstream } => hub.change(|view, _| view.told_gone(&upstream)),
        // Taken in by the peers.
        Message::Beat(_) => {}
    }
}
