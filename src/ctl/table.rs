//! Answers of the intent API as a person reads them.

use std::fmt::Write;

use serde_json::Value;

use crate::config::EngineState;
use crate::controller::report::Report;
use crate::dispatch::pool::Waits;
use crate::operator::VersionedCatalog;
use crate::operator::fleet_client::BoxResponse;
use crate::operator::plan::Plan;
use crate::status::Explanation;
use crate::status::Status;

/// The configuration.
pub fn configuration(shown: &VersionedCatalog) -> String {
    let c = &shown.configuration;
    let mut out = format!("revision {}\n", shown.revision);
    // Writing to a string doesn't fail, here and below.
    for w in &c.workspaces {
        let _ = writeln!(out, "workspace {:<24} weight {}", w.name, w.weight);
    }
    for s in &c.services {
        let again = if s.repeatable { "repeatable" } else { "not to be repeated" };
        let _ = writeln!(out, "service   {:<24} pool {} {} {again}", s.name, s.pool, s.path);
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

/// A plan before it is confirmed.
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

/// The engines of every zone.
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

/// The state of every box.
pub fn status(answers: &[BoxResponse<Status>]) -> String {
    let mut out = String::new();
    for answer in answers {
        let Some(s) = &answer.response else {
            let error = answer.error.as_deref().unwrap_or("no answer");
            let _ = writeln!(out, "{:<20} {error}", answer.name);
            continue;
        };
        let leaving = if s.leaving { " leaving" } else { "" };
        let _ = writeln!(
            out,
            "{:<20} zone {} revision {} waiting {} running {} sees {} boxes{leaving}",
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
                "  dispatches {}: waiting {} running {} of {} slots",
                p.pool, p.waiting, p.running, p.slots
            );
            for w in &p.workspaces {
                let _ = writeln!(
                    out,
                    "    workspace {} waits with {} at virtual time {}: {}",
                    w.workspace,
                    w.waiting,
                    w.virtual_time,
                    why_waits(w.wait_reason)
                );
            }
            for u in p.upstreams.iter().filter(|u| u.unavailable_reason.is_some()) {
                let why = u.unavailable_reason.as_deref().unwrap_or("");
                let _ = writeln!(out, "    upstream {} gets nothing: {why}", u.upstream);
            }
        }
    }
    out
}

fn why_waits(why: Waits) -> String {
    match why {
        Waits::RunningLimit { running } => format!("at its running limit of {running}"),
        Waits::Slot { first: 0 } => "next when a slot is free".to_owned(),
        Waits::Slot { first } => format!("no slot is free, {first} further behind go first"),
        Waits::Turn { first } => format!("about to be served, {first} further behind go first"),
    }
}

/// Why a request was placed as it was.
pub fn explanation(request: &str, answers: &[BoxResponse<Explanation>]) -> String {
    let mut out = String::new();
    for (name, e) in answers.iter().filter_map(|a| Some((&a.name, a.response.as_ref()?))) {
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
    for answer in answers.iter().filter(|a| a.error.is_some()) {
        let error = answer.error.as_deref().unwrap_or("");
        let _ = writeln!(out, "{} could not be asked: {error}", answer.name);
    }
    if out.is_empty() {
        let _ = writeln!(out, "{request}: no box remembers it (any more)");
    }
    out
}

/// A refusal of the intent API, with every fault.
pub fn problem(text: &str) -> String {
    let Ok(value) = serde_json::from_str::<Value>(text) else { return text.to_owned() };
    let mut out = value["problem"].as_str().unwrap_or("refused").to_owned();
    for fault in value["faults"].as_array().into_iter().flatten() {
        let part = |key: &str| fault[key].as_str().unwrap_or("").to_owned();
        let _ = write!(out, "\n  {}: {}", part("field"), part("reason"));
    }
    if let Some(reason) = value["reason"].as_str() {
        let _ = write!(out, ": {reason}");
    }
    if let Ok(fresh) = serde_json::from_value::<Plan>(value["plan"].clone()) {
        let _ = write!(out, "; a new plan:\n{}", plan(&fresh));
    }
    out
}
