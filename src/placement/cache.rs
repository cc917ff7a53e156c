//! Predicts which prompt parts an engine has in its prefix cache.

use rustc_hash::FxHashMap;

use crate::proxy::adapter::PromptPart;

/// Prompt parts, evicted in least-recently-used order.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: u64,
    total_tokens: u64,
    parts: FxHashMap<u64, Entry>,
    use_counter: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_used: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, total_tokens: 0, parts: FxHashMap::default(), use_counter: 0 }
    }

    /// Tokens at the head of a prompt that need no prefill. A part counts only if all parts before
    /// it are cached too.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let tokens = |p: &PromptPart| self.parts.get(&p.id).map(|e| e.tokens.min(p.tokens));
        parts.iter().map_while(tokens).sum()
    }

    /// Records that a prompt is prefilled.
    pub fn insert(&mut self, parts: &[PromptPart]) {
        // Last part first: a part is useless without those before it, so it must be evicted before
        // them.
        for part in parts.iter().rev() {
            self.use_counter += 1;
            let entry = Entry { tokens: part.tokens, last_used: self.use_counter };
            let previous = self.parts.insert(part.id, entry).map_or(0, |e| e.tokens);
            self.total_tokens = self.total_tokens + u64::from(part.tokens) - u64::from(previous);
        }
        self.evict();
    }

    /// All parts, least recently used first.
    pub fn parts(&self) -> Vec<PromptPart> {
        let mut by_age: Vec<(u64, PromptPart)> = self
            .parts
            .iter()
            .map(|(id, e)| (e.last_used, PromptPart { id: *id, tokens: e.tokens }))
            .collect();
        by_age.sort_unstable_by_key(|(last_used, _)| *last_used);
        by_age.into_iter().map(|(_, part)| part).collect()
    }

    fn evict(&mut self) {
        if self.total_tokens <= self.capacity {
            return;
        }
        // Evicts in bulk, down to nine tenths, since finding the oldest parts costs a sort.
        let target = self.capacity / 10 * 9;
        for part in self.parts() {
            if self.total_tokens <= target {
                return;
            }
            self.parts.remove(&part.id);
            self.total_tokens -= u64::from(part.tokens);
        }
    }
}
