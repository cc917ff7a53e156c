//! Fair shares of the engines among workspaces: max-min over a sliding window, of what the whole
//! fleet served. Every box counts what it and the others admit and refuse, so all come to about
//! the same shares without asking anybody.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::names::WorkspaceName;

/// Steps of a window, after which old counts fall out.
const STEPS: u32 = 8;

/// Part of the window in which a workspace that asks for more than its share is held to it: with a
/// window of four seconds a second. If it were the whole window, what it had while there was room would
/// shut it out when others come, and who comes would take all until it has caught up.
const LATELY: u32 = 4;

/// What workspaces asked for and got lately, in tokens.
#[derive(Debug)]
pub struct Shares {
    window: Window,
    /// The newest part of it.
    lately: Window,
    /// What this box has admitted and refused since [`Shares::take_local`].
    own: Sums,
    /// All that was counted since the start, for figures.
    totals: Sums,
    /// What was counted for requests that may still turn out to run nowhere, and these in the order in which they
    /// were counted.
    kept: FxHashMap<u64, ShareCharge>,
    kept_since: VecDeque<(Duration, u64)>,
}

/// What was counted of one request or sum.
#[derive(Clone, Debug)]
pub struct ShareCharge {
    workspace: WorkspaceName,
    tokens: TokenCounts,
    at: Duration,
    /// Whether this box has counted it, and tells others.
    is_own: bool,
}

/// What a workspace asked for and got; less than nothing where more is taken back than was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCounts {
    /// What it asked for.
    pub requested: i64,
    /// What was begun of that.
    pub admitted: i64,
}

impl TokenCounts {
    /// Of a request that is begun.
    pub fn admitted(tokens: u64) -> TokenCounts {
        TokenCounts { requested: tokens as i64, admitted: tokens as i64 }
    }

    /// Of a request that is refused.
    pub fn refused(tokens: u64) -> TokenCounts {
        TokenCounts { requested: tokens as i64, admitted: 0 }
    }

    fn negated(self) -> TokenCounts {
        TokenCounts { requested: -self.requested, admitted: -self.admitted }
    }
}

/// What workspaces asked for and got in some time before now.
#[derive(Debug)]
struct Window {
    step: Duration,
    /// The newest step last.
    steps: VecDeque<Step>,
    sums: Sums,
}

#[derive(Debug, Default)]
struct Step {
    number: u64,
    sums: Sums,
}

/// What each workspace asked for and got in some time. Those that asked for nothing aren't there.
#[derive(Debug, Default)]
struct Sums(FxHashMap<WorkspaceName, TokenCounts>);

impl Shares {
    /// Nothing is counted yet; counts are kept for `window`.
    pub fn new(window: Duration) -> Shares {
        let lately = Window::new(window / LATELY);
        Shares {
            window: Window::new(window),
            lately,
            own: Sums::default(),
            totals: Sums::default(),
            kept: FxHashMap::default(),
            kept_since: VecDeque::new(),
        }
    }

    /// Counts a request that begins.
    pub fn begin(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) -> ShareCharge {
        self.count(workspace, TokenCounts::admitted(tokens), now)
    }

    /// Counts a request that is refused.
    pub fn refuse(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) -> ShareCharge {
        self.count(workspace, TokenCounts::refused(tokens), now)
    }

    /// Adds what another box has counted.
    pub fn add_remote(
        &mut self,
        workspace: &WorkspaceName,
        tokens: TokenCounts,
        now: Duration,
    ) -> ShareCharge {
        self.window.add(workspace, tokens, now);
        self.lately.add(workspace, tokens, now);
        self.totals.add(workspace, tokens);
        ShareCharge { workspace: workspace.clone(), tokens, at: now, is_own: false }
    }

    /// Remembers for which request something was counted, for as long as it matters. A request counts once: what was
    /// counted for it before is taken back.
    pub fn remember(&mut self, request: u64, counted: ShareCharge) {
        let now = counted.at;
        self.revert(request, now);
        while let Some((at, oldest)) = self.kept_since.front().copied()
            && at + self.window.length() < now
        {
            self.kept_since.pop_front();
            if self.kept.get(&oldest).is_some_and(|kept| kept.at == at) {
                self.kept.remove(&oldest);
            }
        }
        self.kept_since.push_back((now, request));
        self.kept.insert(request, counted);
    }

    /// Takes back what was counted for a request that runs nowhere by that decision. Else a workspace that is served by
    /// boxes whose questions are answered too late would be held to a part of its share.
    pub fn revert(&mut self, request: u64, now: Duration) {
        let Some(ShareCharge { workspace, tokens, at, is_own }) = self.kept.remove(&request) else {
            return;
        };
        self.window.take_back(&workspace, tokens, at, now);
        self.lately.take_back(&workspace, tokens, at, now);
        self.totals.add(&workspace, tokens.negated());
        if is_own {
            self.own.add(&workspace, tokens.negated());
        }
    }

    /// What each workspace asked for and got since the start, as far as this box has counted or been told.
    pub fn totals(&self) -> impl Iterator<Item = (WorkspaceName, TokenCounts)> {
        self.totals.0.iter().map(|(name, tokens)| (name.clone(), *tokens))
    }

    /// What this box has admitted and refused since the last call, to be added elsewhere.
    pub fn take_local(&mut self) -> FxHashMap<WorkspaceName, TokenCounts> {
        std::mem::take(&mut self.own).0
    }

    /// How much of its share a workspace would have used with a request of this size: over one is
    /// over its share. One that asks for no more than its share never is; for one that does, what it
    /// had lately counts.
    pub fn share_used(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) -> f64 {
        let sums = self.window.sums(now);
        let level = sums.level(workspace, tokens);
        if sums.asked(workspace) + tokens <= level {
            return sums.used(workspace, tokens, level);
        }
        let lately = self.lately.sums(now);
        lately.used(workspace, tokens, lately.level(workspace, tokens))
    }

    fn count(
        &mut self,
        workspace: &WorkspaceName,
        tokens: TokenCounts,
        now: Duration,
    ) -> ShareCharge {
        self.own.add(workspace, tokens);
        ShareCharge { is_own: true, ..self.add_remote(workspace, tokens, now) }
    }
}

impl Window {
    fn new(length: Duration) -> Window {
        Window { step: length / STEPS, steps: VecDeque::new(), sums: Sums::default() }
    }

    fn add(&mut self, workspace: &WorkspaceName, tokens: TokenCounts, now: Duration) {
        self.expire(now);
        let number = self.number(now);
        if self.steps.back().is_none_or(|s| s.number != number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let Some(step) = self.steps.back_mut() else { return };
        step.sums.add(workspace, tokens);
        self.sums.add(workspace, tokens);
    }

    /// Takes back what was added at an earlier time, unless it has fallen out.
    fn take_back(
        &mut self,
        workspace: &WorkspaceName,
        tokens: TokenCounts,
        at: Duration,
        now: Duration,
    ) {
        self.expire(now);
        let number = self.number(at);
        let Some(step) = self.steps.iter_mut().find(|s| s.number == number) else { return };
        step.sums.add(workspace, tokens.negated());
        self.sums.add(workspace, tokens.negated());
    }

    fn length(&self) -> Duration {
        self.step * (STEPS + 1)
    }

    fn sums(&mut self, now: Duration) -> &Sums {
        self.expire(now);
        &self.sums
    }

    fn number(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.step.as_nanos().max(1)) as u64
    }

    fn expire(&mut self, now: Duration) {
        let oldest = self.number(now).saturating_sub(u64::from(STEPS));
        while self.steps.front().is_some_and(|s| s.number < oldest) {
            let Some(step) = self.steps.pop_front() else { return };
            self.sums.subtract(step.sums);
        }
    }
}

impl Sums {
    fn add(&mut self, workspace: &WorkspaceName, tokens: TokenCounts) {
        if tokens == TokenCounts::default() {
            return;
        }
        let sum = self.0.entry(workspace.clone()).or_default();
        sum.requested = sum.requested.saturating_add(tokens.requested);
        sum.admitted = sum.admitted.saturating_add(tokens.admitted);
        if *sum == TokenCounts::default() {
            self.0.remove(workspace);
        }
    }

    fn subtract(&mut self, others: Sums) {
        others.0.iter().for_each(|(name, tokens)| self.add(name, tokens.negated()));
    }

    fn asked(&self, workspace: &WorkspaceName) -> u64 {
        self.0.get(workspace).map_or(0, |t| at_least_zero(t.requested))
    }

    fn begun(&self, workspace: &WorkspaceName) -> u64 {
        self.0.get(workspace).map_or(0, |t| at_least_zero(t.admitted))
    }

    /// How much of its share, `level`, a workspace would have used with a request of this size.
    fn used(&self, workspace: &WorkspaceName, tokens: u64, level: u64) -> f64 {
        (self.begun(workspace) + tokens) as f64 / level.max(1) as f64
    }

    /// The most that any workspace gets when what was served is shared by max-min.
    fn level(&self, workspace: &WorkspaceName, tokens: u64) -> u64 {
        let begun = self.0.values().map(|t| at_least_zero(t.admitted));
        let capacity = begun.fold(tokens, u64::saturating_add);
        let own = self.asked(workspace) + tokens;
        let others = self.0.iter().filter(|(name, _)| *name != workspace);
        let others = others.map(|(_, t)| at_least_zero(t.requested));
        let mut requested: Vec<u64> = others.chain([own]).collect();
        requested.sort_unstable();
        let (mut left, mut count) = (capacity, requested.len() as u64);
        for want in requested {
            let even = left / count.max(1);
            if even <= want {
                return even;
            }
            left -= want;
            count -= 1;
        }
        u64::MAX
    }
}

/// More may be taken back than was counted in a window, since boxes tell each other later than they count.
fn at_least_zero(tokens: i64) -> u64 {
    u64::try_from(tokens).unwrap_or(0)
}
