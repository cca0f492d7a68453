//! Which prompt prefixes a replica has cached, as far as this box knows.

use std::collections::HashMap;

use crate::time::BoxTime;

/// How long a prefix counts as cached after it was last read, in milliseconds. The cache of an
/// engine holds some half a million tokens, and a busy engine reads as many within about half a
/// minute.
pub const PREFIX_KEPT_MS: u64 = 30_000;

/// Prefixes remembered for each replica, at most.
const PREFIX_LIMIT: usize = 512;

/// Prefixes cached by one replica, by [`super::scheduling::placement::PromptWork::shared`].
#[derive(Clone, Debug, Default)]
pub struct PrefixCache(HashMap<u64, BoxTime>);

impl PrefixCache {
    /// Returns whether the prefix is cached.
    pub fn contains(&self, shared: u64, now: BoxTime) -> bool {
        self.0.get(&shared).is_some_and(|at| now.millis_since(*at) < PREFIX_KEPT_MS)
    }

    /// Records that the prefix is read.
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
