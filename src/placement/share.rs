//! Fair shares of the engines among workspaces: max-min over a sliding window, of what the whole
//! fleet served. Every box counts what it and the others admit and refuse, so all come to about
//! the same shares without asking anybody.

use std::collections::VecDeque;
use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use crate::names::WorkspaceName;

/// Steps of the window, after which old counts fall out.
const STEPS: u32 = 8;

/// What workspaces asked for and got lately, in tokens.
#[derive(Debug)]
pub struct Shares {
    step: Duration,
    /// The newest step last.
    steps: VecDeque<Step>,
    asked: FxHashMap<WorkspaceName, u64>,
    begun: FxHashMap<WorkspaceName, u64>,
    /// What this box has admitted and refused since [`Shares::take_own`].
    own: FxHashMap<WorkspaceName, Tokens>,
}

/// What a workspace asked for and got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// What it asked for.
    pub asked: u64,
    /// What was begun of that.
    pub begun: u64,
}

#[derive(Debug, Default)]
struct Step {
    number: u64,
    asked: FxHashMap<WorkspaceName, u64>,
    begun: FxHashMap<WorkspaceName, u64>,
}

impl Shares {
    /// Nothing is counted yet; counts are kept for `window`.
    pub fn new(window: Duration) -> Shares {
        Shares {
            step: window / STEPS,
            steps: VecDeque::new(),
            asked: FxHashMap::default(),
            begun: FxHashMap::default(),
            own: FxHashMap::default(),
        }
    }

    /// Counts a request that begins.
    pub fn begin(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) {
        self.count(workspace, Tokens { asked: tokens, begun: tokens }, now);
    }

    /// Counts a request that is refused.
    pub fn refuse(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) {
        self.count(workspace, Tokens { asked: tokens, begun: 0 }, now);
    }

    /// Adds what another box has counted.
    pub fn add(&mut self, workspace: &WorkspaceName, tokens: Tokens, now: Duration) {
        self.expire(now);
        let number = self.number(now);
        if self.steps.back().is_none_or(|s| s.number != number) {
            self.steps.push_back(Step { number, ..Step::default() });
        }
        let Some(step) = self.steps.back_mut() else { return };
        let sums = [(&mut self.asked, &mut step.asked), (&mut self.begun, &mut step.begun)];
        for ((sum, part), tokens) in sums.into_iter().zip([tokens.asked, tokens.begun]) {
            if tokens != 0 {
                *sum.entry(workspace.clone()).or_default() += tokens;
                *part.entry(workspace.clone()).or_default() += tokens;
            }
        }
    }

    /// What this box has admitted and refused since the last call, to be added elsewhere.
    pub fn take_own(&mut self) -> FxHashMap<WorkspaceName, Tokens> {
        std::mem::take(&mut self.own)
    }

    /// How much of its share a workspace would have used with a request of this size: over one is
    /// over its share.
    pub fn used(&mut self, workspace: &WorkspaceName, tokens: u64, now: Duration) -> f64 {
        self.expire(now);
        let level = self.level(workspace, tokens);
        let begun = self.begun.get(workspace).copied().unwrap_or_default();
        (begun + tokens) as f64 / level.max(1) as f64
    }

    /// The most that any workspace gets when what was served is shared by max-min.
    fn level(&self, workspace: &WorkspaceName, tokens: u64) -> u64 {
        let capacity: u64 = self.begun.values().sum::<u64>() + tokens;
        let own = self.asked.get(workspace).copied().unwrap_or_default() + tokens;
        let others = self.asked.iter().filter(|(name, _)| *name != workspace).map(|(_, a)| *a);
        let mut asked: Vec<u64> = others.chain([own]).collect();
        asked.sort_unstable();
        let (mut left, mut count) = (capacity, asked.len() as u64);
        for want in asked {
            let even = left / count.max(1);
            if even <= want {
                return even;
            }
            left -= want;
            count -= 1;
        }
        u64::MAX
    }

    fn count(&mut self, workspace: &WorkspaceName, tokens: Tokens, now: Duration) {
        self.add(workspace, tokens, now);
        let own = self.own.entry(workspace.clone()).or_default();
        own.asked += tokens.asked;
        own.begun += tokens.begun;
    }

    fn number(&self, now: Duration) -> u64 {
        (now.as_nanos() / self.step.as_nanos().max(1)) as u64
    }

    fn expire(&mut self, now: Duration) {
        let oldest = self.number(now).saturating_sub(u64::from(STEPS));
        while self.steps.front().is_some_and(|s| s.number < oldest) {
            let Some(step) = self.steps.pop_front() else { return };
            subtract(&mut self.asked, step.asked);
            subtract(&mut self.begun, step.begun);
        }
    }
}

fn subtract(from: &mut FxHashMap<WorkspaceName, u64>, counts: FxHashMap<WorkspaceName, u64>) {
    for (name, tokens) in counts {
        if let Some(left) = from.get_mut(&name) {
            *left = left.saturating_sub(tokens);
            if *left == 0 {
                from.remove(&name);
            }
        }
    }
}
