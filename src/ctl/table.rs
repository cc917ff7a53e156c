//! Text output for responses of the intent API.

use std::fmt::Write;

use serde_json::Value;

use crate::config::EngineState;
use crate::controller::report::Report;
use crate::dispatch::pool::WaitReason;
use crate::operator::VersionedCatalog;
use crate::operator::fleet_client::BoxResponse;
use crate::operator::plan::Plan;
use crate::status::Explanation;
use crate::status::Status;

/// Formats a configuration.
pub fn configuration(current: &VersionedCatalog) -> String {
    let c = &current.configuration;
    let mut out = format!("revision {}\n", current.revision);
    // Writing to a string doesn't fail, here and below.
    for w in &c.workspaces {
        let _ = writeln!(out, "workspace {:<24} weight {}", w.name, w.weight);
    }
    for s in &c.services {
        let repeatable = if s.repeatable { "repeatable" } else { "not to be repeated" };
        let _ = writeln!(out, "service   {:<24} pool {} {} {repeatable}", s.name, s.pool, s.path);
    }
    for p in &c.pools {
        let _ = writeln!(out, "pool      {:<24} counts {:?}", p.name, p.unit);
    }
    for u in &c.upstreams {
        let state = if u.draining { " draining" } else { "" };
        let _ = writeln!(
            out,
            "upstream  {:<24} pool {} zone {} {} slots {}{state}",
            u.name, u.pool, u.zone, u.address, u.slots
        );
    }
    out
}

/// Formats a plan.
pub fn plan(plan: &Plan) -> String {
    let mut out = format!("plan {} for revision {}\n", &plan.hash[..12], plan.base);
    if plan.changes.is_empty() {
        out.push_str("  changes nothing\n");
    }
    let text = |v: &Option<Value>| v.as_ref().map_or("-".to_owned(), ToString::to_string);
    for c in &plan.changes {
        let _ = writeln!(out, "  {}: {} -> {}", c.field, text(&c.before), text(&c.after));
    }
    for warning in &plan.warnings {
        let _ = writeln!(out, "  warning: {warning}");
    }
    out
}

/// Formats the engines of every zone.
pub fn engines(reports: &[Report]) -> String {
    let mut out = String::new();
    for r in reports {
        let (holder, fence) = (&r.holder, r.fence.0);
        let _ = writeln!(
            out,
            "zone {} revision {} controller {holder} fence {fence}",
            r.zone, r.revision
        );
        for e in &r.engines {
            let state = e.state.as_ref().map_or_else(|| "-".to_owned(), engine_state);
            let error = e.error.as_ref().map_or_else(String::new, |e| format!(" ({e})"));
            let stage = format!("{:?}", e.stage);
            let _ = writeln!(
                out,
                "  {:<24} {stage:<16} {state} running {}{error}",
                e.upstream, e.running
            );
        }
    }
    out
}

fn engine_state(state: &EngineState) -> String {
    let adapters: Vec<&str> = state.adapters.iter().map(String::as_str).collect();
    let mut text = format!("{}@{}", state.model, state.version);
    if !adapters.is_empty() {
        text.push_str(&format!(" +{}", adapters.join("+")));
    }
    if !state.role.is_empty() {
        text.push_str(&format!(" as {}", state.role));
    }
    text
}

/// Formats the state of every box.
pub fn status(responses: &[BoxResponse<Status>]) -> String {
    let mut out = String::new();
    for response in responses {
        let Some(s) = &response.response else {
            let error = response.error.as_deref().unwrap_or("no response");
            let _ = writeln!(out, "{:<20} {error}", response.name);
            continue;
        };
        let leaving = if s.leaving { " leaving" } else { "" };
        let _ = writeln!(
            out,
            "{:<20} zone {} revision {} waiting {} running {} live boxes {}{leaving}",
            s.name,
            s.zone,
            s.revision,
            s.waiting,
            s.running,
            s.live_boxes.len()
        );
        for p in &s.pools {
            let _ = writeln!(
                out,
                "  pool {}: waiting {} running {} of {} slots",
                p.pool, p.waiting, p.running, p.slots
            );
            for w in &p.workspaces {
                let _ = writeln!(
                    out,
                    "    workspace {} waiting {} virtual time {}: {}",
                    w.workspace,
                    w.waiting,
                    w.virtual_time,
                    describe_wait(w.wait_reason)
                );
            }
            for u in p.upstreams.iter().filter(|u| u.unavailable_reason.is_some()) {
                let reason = u.unavailable_reason.as_deref().unwrap_or("");
                let _ = writeln!(out, "    upstream {} gets no requests: {reason}", u.upstream);
            }
        }
    }
    out
}

fn describe_wait(reason: WaitReason) -> String {
    match reason {
        WaitReason::RunningLimit { running } => format!("at its running limit of {running}"),
        WaitReason::Slot { first: 0 } => "next when a slot is free".to_owned(),
        WaitReason::Slot { first } => {
            format!("no slot is free, {first} with a lower virtual time go first")
        }
        WaitReason::Turn { first } => {
            format!("about to be served, {first} with a lower virtual time go first")
        }
    }
}

/// Formats the explanation of a request.
pub fn explanation(request: &str, responses: &[BoxResponse<Explanation>]) -> String {
    let mut out = String::new();
    for (name, e) in responses.iter().filter_map(|r| Some((&r.name, r.response.as_ref()?))) {
        if let Some(r) = &e.request {
            let _ = writeln!(
                out,
                "{request}: workspace {} service {} {} after {} ms (router {name})",
                r.workspace, r.service, r.outcome, r.total_ms
            );
            for a in &r.attempts {
                let upstream = a.upstream.as_ref().map_or("no upstream", |u| u.as_str());
                let _ = writeln!(out, "  waited {} ms, {upstream}: {}", a.waited_ms, a.outcome);
            }
        }
        for d in &e.decisions {
            let _ = writeln!(
                out,
                "  {name} chose {} in pool {} because {}: its virtual time {}, the least of {} \
                 waiting workspaces {}; {} upstreams had a free slot; charged {} in advance",
                d.upstream,
                d.pool,
                serde_json::to_string(&d.why).unwrap_or_default().trim_matches('"'),
                d.virtual_time,
                d.waiting_workspaces,
                d.floor,
                d.candidates,
                d.estimate
            );
        }
    }
    for response in responses.iter().filter(|r| r.error.is_some()) {
        let error = response.error.as_deref().unwrap_or("");
        let _ = writeln!(out, "{} could not be queried: {error}", response.name);
    }
    if out.is_empty() {
        let _ = writeln!(out, "{request}: no box remembers it (any more)");
    }
    out
}

/// Formats an error of the intent API, with all faults.
pub fn problem(text: &str) -> String {
    let Ok(value) = serde_json::from_str::<Value>(text) else { return text.to_owned() };
    let mut out = value["problem"].as_str().unwrap_or("refused").to_owned();
    for fault in value["faults"].as_array().into_iter().flatten() {
        let text_of = |key: &str| fault[key].as_str().unwrap_or("").to_owned();
        let _ = write!(out, "\n  {}: {}", text_of("field"), text_of("reason"));
    }
    if let Some(reason) = value["reason"].as_str() {
        let _ = write!(out, ": {reason}");
    }
    if let Ok(new_plan) = serde_json::from_value::<Plan>(value["plan"].clone()) {
        let _ = write!(out, "; a new plan:\n{}", plan(&new_plan));
    }
    out
}
