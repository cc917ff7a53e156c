//! Records of an engine's requests, as leases that their senders renew.

use std::net::IpAddr;
use std::time::Duration;

use crate::fleet::in_progress::CONFIRMED_FOR;
use crate::fleet::in_progress::LEASE;
use crate::fleet::in_progress::OWN_LEASE;
use crate::fleet::in_progress::RequestRecord;
use crate::names::UpstreamName;
use crate::placement::engine::Engine;
use crate::placement::engine::PendingPrefill;
use crate::placement::engine::RunningRequest;
use crate::placement::registry::in_progress::RecordFault;
use crate::placement::registry::in_progress::ReportedState;
use crate::placement::registry::rivals;
use crate::placement::registry::rivals::UNSEEN_FOR;
use crate::placement::speed::Work;
use crate::proxy::adapter::Prompt;

impl RunningRequest {
    pub(super) fn has_expired(&self, now: Duration) -> bool {
        let lease = if self.sender.is_some() { LEASE } else { OWN_LEASE };
        self.renewed + lease < now
    }
}

impl Engine {
    /// Updates the record of a sender's request by what the sender reports. Returns what that was;
    /// `None` if there is no such record.
    pub fn reconcile(
        &mut self,
        request: u64,
        sender: Option<IpAddr>,
        state: &mut impl FnMut(u64, Duration) -> ReportedState,
        now: Duration,
    ) -> Option<ReportedState> {
        let running = self.requests.get_mut(&request).filter(|r| r.sender == sender)?;
        let state = state(request, running.placed);
        match state {
            ReportedState::Renewed { has_first_token } => {
                running.renewed = now;
                // Its first token was reported, but lost on the way.
                if has_first_token {
                    self.skip_prefill(request);
                }
            }
            ReportedState::Ended => _ = self.remove_request(request),
            ReportedState::Unlisted => {}
        }
        Some(state)
    }

    /// Adds the record of a request that was placed earlier, or renews the one that there is.
    pub fn adopt(
        &mut self,
        record: &RequestRecord,
        placed: Duration,
        sender: Option<IpAddr>,
        renewed: Duration,
    ) -> Result<(), RecordFault> {
        let &RequestRecord { request, tokens, cached_tokens, prefill_tokens, .. } = record;
        let tokens = u64::from(tokens);
        let prompt_tokens = u64::from(cached_tokens) + u64::from(prefill_tokens);
        if self.limits.memory_tokens < tokens || tokens < prompt_tokens {
            return Err(RecordFault::InvalidAmount);
        }
        if let Some(known) = self.requests.get_mut(&request) {
            known.renewed = known.renewed.max(renewed);
            return Ok(());
        }
        let running =
            RunningRequest { placed, renewed, sender, tokens, cached_tokens, prefill_tokens };
        self.requests.insert(request, running);
        self.running_tokens += tokens;
        if record.has_first_token {
            return Ok(());
        }
        let work = Work::prefill(cached_tokens, prefill_tokens);
        let at = self.pending.partition_point(|r| r.placed <= placed);
        // What was ahead of it isn't known, so nothing is learned from its first token.
        let prefill = PendingPrefill {
            request,
            placed,
            work,
            work_with_backlog: work,
            copy_time: Duration::ZERO,
            had_slot: false,
        };
        self.pending.insert(at, prefill);
        Ok(())
    }

    /// All records.
    pub fn records(
        &self,
        upstream: &UpstreamName,
        age_ms: impl Fn(Duration) -> u32,
    ) -> Vec<(Option<IpAddr>, RequestRecord)> {
        let record = |(request, running): (&u64, &RunningRequest)| {
            let record = RequestRecord {
                request: *request,
                upstream: upstream.clone(),
                age_ms: age_ms(running.placed),
                tokens: u32::try_from(running.tokens).unwrap_or(u32::MAX),
                cached_tokens: running.cached_tokens,
                prefill_tokens: running.prefill_tokens,
                has_first_token: !self.pending.iter().any(|r| r.request == *request),
            };
            (running.sender, record)
        };
        self.requests.iter().map(record).collect()
    }

    /// Whether there is room for another request in the half of the free room that a box may use
    /// while another one places requests here too.
    pub fn has_half_room(&self, prompt: &Prompt, now: Duration) -> bool {
        if !self.has_room(prompt) {
            return false;
        }
        let recent = self.requests.values().filter(|r| now < r.placed + UNSEEN_FOR);
        let (requests, tokens) =
            recent.fold((0, 0), |(requests, tokens), r| (requests + 1, tokens + r.tokens));
        let needed = u64::from(prompt.tokens) + u64::from(prompt.output_tokens_max);
        let free_slots = u64::from(self.limits.slots).saturating_sub(self.requests.len() as u64);
        let free_tokens = self.limits.memory_tokens.saturating_sub(self.running_tokens);
        rivals::is_within_half(free_slots, requests)
            && tokens.saturating_add(needed * 2) <= free_tokens
    }

    /// Whether there is a record of a request.
    pub fn has_request(&self, request: u64) -> bool {
        self.requests.contains_key(&request)
    }

    /// Records the first token of a request whose speed isn't known.
    pub fn skip_prefill(&mut self, request: u64) {
        self.pending.retain(|r| r.request != request);
    }

    /// Whether there are a slot and memory for another request, if requests that their senders
    /// haven't confirmed lately have ended.
    pub fn has_confirmed_room(&self, prompt: &Prompt, now: Duration) -> bool {
        let needed = u64::from(prompt.tokens) + u64::from(prompt.output_tokens_max);
        let confirmed = self.requests.values().filter(|r| now <= r.renewed + CONFIRMED_FOR);
        let (requests, tokens) =
            confirmed.fold((0, 0), |(requests, tokens), r| (requests + 1, tokens + r.tokens));
        requests < self.limits.slots as usize && tokens + needed <= self.limits.memory_tokens
    }
}
