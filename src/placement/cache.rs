//! What an engine is believed to keep of the prompts that it has read.

use rustc_hash::FxHashMap;

use crate::proxy::adapter::PromptPart;

/// Parts of prompts, those unused longest giving way first.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: u64,
    held: u64,
    parts: FxHashMap<u64, Entry>,
    uses: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    used: u64,
}

impl PrefixCache {
    /// An empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, held: 0, parts: FxHashMap::default(), uses: 0 }
    }

    /// Tokens at the head of a prompt that need not be read again. A part counts only if all
    /// before it are kept, too.
    pub fn kept(&self, parts: &[PromptPart]) -> u32 {
        let tokens = |p: &PromptPart| self.parts.get(&p.id).map(|e| e.tokens.min(p.tokens));
        parts.iter().map_while(tokens).sum()
    }

    /// Notes that a prompt is read.
    pub fn read(&mut self, parts: &[PromptPart]) {
        // From the last to the first: a part without those before it is of no use, so it gives way
        // before them.
        for part in parts.iter().rev() {
            self.uses += 1;
            let entry = Entry { tokens: part.tokens, used: self.uses };
            let before = self.parts.insert(part.id, entry).map_or(0, |e| e.tokens);
            self.held = self.held + u64::from(part.tokens) - u64::from(before);
        }
        self.evict();
    }

    /// All parts, those unused longest first.
    pub fn parts(&self) -> Vec<PromptPart> {
        let mut by_age: Vec<(u64, PromptPart)> = self
            .parts
            .iter()
            .map(|(id, e)| (e.used, PromptPart { id: *id, tokens: e.tokens }))
            .collect();
        by_age.sort_unstable_by_key(|(used, _)| *used);
        by_age.into_iter().map(|(_, part)| part).collect()
    }

    fn evict(&mut self) {
        if self.held <= self.capacity {
            return;
        }
        // In bulk, since finding the oldest costs a sort: down to nine tenths.
        let target = self.capacity / 10 * 9;
        for part in self.parts() {
            if self.held <= target {
                return;
            }
            self.parts.remove(&part.id);
            self.held -= u64::from(part.tokens);
        }
    }
}
