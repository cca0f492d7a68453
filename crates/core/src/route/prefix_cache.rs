//! Which prompts' shared parts a replica holds, as far as this box had them read there.

use std::collections::HashMap;

use crate::time::BoxTime;

/// Parts that were last read longer ago are taken to have given way to others, in milliseconds. An engine's
/// memory holds some half a million tokens, and a busy one reads them within about half a minute.
pub const PREFIX_KEPT_MS: u64 = 30_000;

/// Prompts remembered for each replica, at most.
const PREFIX_LIMIT: usize = 512;

/// Shared parts held by one replica, by [`super::placement::PromptWork::shared`].
#[derive(Clone, Debug, Default)]
pub struct PrefixCache(HashMap<u64, BoxTime>);

impl PrefixCache {
    /// Whether they are held.
    pub fn contains(&self, shared: u64, now: BoxTime) -> bool {
        self.0.get(&shared).is_some_and(|at| now.millis_since(*at) < PREFIX_KEPT_MS)
    }

    /// Notes that they are read.
    pub fn insert(&mut self, shared: u64, now: BoxTime) {
        if shared == 0 {
            return;
        }
        if self.0.len() >= PREFIX_LIMIT {
            self.0.retain(|_, at| now.millis_since(*at) < PREFIX_KEPT_MS / 2);
        }
        if self.0.len() < PREFIX_LIMIT {
            self.0.insert(shared, now);
        }
    }
}
