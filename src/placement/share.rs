//! Fair shares of the engines among workspaces: max-min fairness over a sliding window, by what the
//! whole fleet has served. Every box counts what it and the others admit and refuse, so that all
//! reach about the same shares without coordination.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::names::WorkspaceName;

/// Steps in a window; counts expire by whole steps.
const WINDOW_STEPS: u32 = 8;

/// The window divided by this is the recent window, which limits a workspace that requests more
/// than its share: one second of four. With the whole window, a workspace that used spare capacity
/// would be shut out when others arrive, and a new one would take everything until it has caught
/// up.
const RECENT_WINDOW_DIVISOR: u32 = 4;

/// What workspaces recently requested and were granted, in tokens.
#[derive(Debug)]
pub struct Shares {
    window: Window,
    /// The newest part of the window.
    recent: Window,
    /// Counted by this box since [`Shares::take_local`].
    local: Sums,
    /// Counted since the start, for metrics.
    totals: Sums,
    /// Counts that may have to be reverted, since their requests may still turn out to run nowhere,
    /// and these requests in the order of counting.
    remembered: FxHashMap<u64, ShareCharge>,
    remembered_order: VecDeque<(Duration, u64)>,
}

/// What was counted for one request or report.
#[derive(Clone, Debug)]
pub struct ShareCharge {
    workspace: WorkspaceName,
    tokens: TokenCounts,
    at: Duration,
    /// Whether this box counted it and reports it to others.
    is_local: bool,
}

/// What a workspace requested and was granted. Negative where more is reverted than was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenCounts {
    pub requested: i64,
    /// The part of that which was admitted.
    pub admitted: i64,
}

impl TokenCounts {
    /// Counts an admitted request.
    pub fn admitted(tokens: u64) -> TokenCounts {
        TokenCounts { requested: tokens as i64, admitted: tokens as i64 }
    }

    /// Counts a refused request.
    pub fn refused(tokens: u64) -> TokenCounts {
        TokenCounts { requested: tokens as i64, admitted: 0 }
    }

    fn negated(self) -> TokenCounts {
        TokenCounts { requested: -self.requested, admitted: -self.admitted }
    }
}

/// Counts per workspace over a sliding window.
#[derive(Debug)]
struct Window {
    step: Duration,
    /// Newest last.
    steps: VecDeque<Step>,
    sums: Sums,
}

#[derive(Debug, Default)]
struct Step {
    index: u64,
    sums: Sums,
}

/// Counts per workspace. Workspaces without any are not contained.
#[derive(Debug, Default)]
struct Sums(FxHashMap<WorkspaceName, TokenCounts>);

impl Shares {
    /// Creates empty counts over a window of this length.
    pub fn new(window: Duration) -> Shares {
        let recent = Window::new(window / RECENT_WINDOW_DIVISOR);
        Shares {
            window: Window::new(window),
            recent,
            local: Sums::default(),
            totals: Sums::default(),
            remembered: FxHashMap::default(),
            remembered_order: VecDeque::new(),
        }
    }

    /// Counts a request that is admitted.
    pub fn begin(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) -> ShareCharge {
        self.count(workspace, TokenCounts::admitted(tokens), now)
    }

    /// Counts a request that is refused.
    pub fn refuse(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) -> ShareCharge {
        self.count(workspace, TokenCounts::refused(tokens), now)
    }

    /// Adds counts of another box.
    pub fn add_remote(
        &mut self,
        workspace: &WorkspaceName,
        tokens: TokenCounts,
        now: Duration,
    ) -> ShareCharge {
        self.window.add(workspace, tokens, now);
        self.recent.add(workspace, tokens, now);
        self.totals.add(workspace, tokens);
        ShareCharge { workspace: workspace.clone(), tokens, at: now, is_local: false }
    }

    /// Remembers what was counted for a request, so that it can be reverted while it matters. A
    /// request counts once: any earlier count for it is reverted.
    pub fn remember(&mut self, request: u64, counted: ShareCharge) {
        let now = counted.at;
        self.revert(request, now);
        while let Some((at, oldest)) = self.remembered_order.front().copied()
            && at + self.window.length() < now
        {
            self.remembered_order.pop_front();
            if self.remembered.get(&oldest).is_some_and(|remembered| remembered.at == at) {
                self.remembered.remove(&oldest);
            }
        }
        self.remembered_order.push_back((now, request));
        self.remembered.insert(request, counted);
    }

    /// Reverts what was counted for a request by a decision that was not used. Otherwise a
    /// workspace served by boxes that get decisions too late would be limited to a fraction of its
    /// share.
    pub fn revert(&mut self, request: u64, now: Duration) {
        let Some(ShareCharge { workspace, tokens, at, is_local }) =
            self.remembered.remove(&request)
        else {
            return;
        };
        self.window.revert(&workspace, tokens, at, now);
        self.recent.revert(&workspace, tokens, at, now);
        self.totals.add(&workspace, tokens.negated());
        if is_local {
            self.local.add(&workspace, tokens.negated());
        }
    }

    /// Counts per workspace since the start, as far as known to this box.
    pub fn totals(&self) -> impl Iterator<Item = (WorkspaceName, TokenCounts)> {
        self.totals.0.iter().map(|(name, tokens)| (name.clone(), *tokens))
    }

    /// Counts of this box since the last call, to be reported to other boxes.
    pub fn take_local(&mut self) -> FxHashMap<WorkspaceName, TokenCounts> {
        std::mem::take(&mut self.local).0
    }

    /// The fraction of its share that a workspace would have used, with a request of this size
    /// included; above one it is over its share. A workspace that requests no more than its share
    /// is never over it; for any other, the recent window decides.
    pub fn share_used(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) -> f64 {
        let sums = self.window.sums(now);
        let fair_level = sums.fair_level(workspace, tokens);
        if sums.requested(workspace) + tokens <= fair_level {
            return sums.share_used(workspace, tokens, fair_level);
        }
        let recent = self.recent.sums(now);
        recent.share_used(workspace, tokens, recent.fair_level(workspace, tokens))
    }

    /// The tokens that a workspace was granted in the recent window.
    pub fn recently_admitted(&mut self, workspace: &WorkspaceName, now: Duration) -> u64 {
        self.recent.sums(now).admitted(workspace)
    }

    fn count(
        &mut self,
        workspace: &WorkspaceName,
        tokens: TokenCounts,
        now: Duration,
    ) -> ShareCharge {
        self.local.add(workspace, tokens);
        ShareCharge { is_local: true, ..self.add_remote(workspace, tokens, now) }
    }
}

impl Window {
    fn new(length: Duration) -> Window {
        Window { step: length / WINDOW_STEPS, steps: VecDeque::new(), sums: Sums::default() }
    }

    fn add(&mut self, workspace: &WorkspaceName, tokens: TokenCounts, now: Duration) {
        self.expire(now);
        let index = self.index(now);
        if self.steps.back().is_none_or(|s| s.index != index) {
            self.steps.push_back(Step { index, ..Step::default() });
        }
        let Some(step) = self.steps.back_mut() else { return };
        step.sums.add(workspace, tokens);
        self.sums.add(workspace, tokens);
    }

    /// Reverts a count made at `at`, unless it has expired.
    fn revert(
        &mut self,
        workspace: &WorkspaceName,
        tokens: TokenCounts,
        at: Duration,
        now: Duration,
    ) {
        self.expire(now);
        let index = self.index(at);
        let Some(step) = self.steps.iter_mut().find(|s| s.index == index) else { return };
        step.sums.add(workspace, tokens.negated());
        self.sums.add(workspace, tokens.negated());
    }

    fn length(&self) -> Duration {
        self.step * (WINDOW_STEPS + 1)
    }

    fn sums(&mut self, now: Duration) -> &Sums {
        self.expire(now);
        &self.sums
    }

    fn index(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.step.as_nanos().max(1)) as u64
    }

    fn expire(&mut self, now: Duration) {
        let oldest = self.index(now).saturating_sub(u64::from(WINDOW_STEPS));
        while self.steps.front().is_some_and(|s| s.index < oldest) {
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

    fn requested(&self, workspace: &WorkspaceName) -> u64 {
        self.0.get(workspace).map_or(0, |t| at_least_zero(t.requested))
    }

    fn admitted(&self, workspace: &WorkspaceName) -> u64 {
        self.0.get(workspace).map_or(0, |t| at_least_zero(t.admitted))
    }

    /// The fraction of the share `fair_level` that a workspace would have used, with this request.
    fn share_used(&self, workspace: &WorkspaceName, tokens: u64, fair_level: u64) -> f64 {
        (self.admitted(workspace) + tokens) as f64 / fair_level.max(1) as f64
    }

    /// The most that any workspace gets in a max-min division of what was served.
    fn fair_level(&self, workspace: &WorkspaceName, tokens: u64) -> u64 {
        let admitted = self.0.values().map(|t| at_least_zero(t.admitted));
        let capacity = admitted.fold(tokens, u64::saturating_add);
        let own = self.requested(workspace) + tokens;
        let others = self.0.iter().filter(|(name, _)| *name != workspace);
        let others = others.map(|(_, t)| at_least_zero(t.requested));
        let mut requested: Vec<u64> = others.chain([own]).collect();
        requested.sort_unstable();
        let (mut remaining, mut count) = (capacity, requested.len() as u64);
        for demand in requested {
            let equal_part = remaining / count.max(1);
            if equal_part <= demand {
                return equal_part;
            }
            remaining -= demand;
            count -= 1;
        }
        u64::MAX
    }
}

/// More may be reverted than a window holds, since boxes report to each other after they count.
fn at_least_zero(tokens: i64) -> u64 {
    u64::try_from(tokens).unwrap_or(0)
}
