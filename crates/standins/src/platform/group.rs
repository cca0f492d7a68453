//! A group of the store: members join again and again, and the first partition of their topic is one member's.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A group with one partition to deal.
#[derive(Debug, Default)]
pub struct StoreGroup {
    generation: u64,
    /// Members with until when they are there.
    members: BTreeMap<String, Instant>,
    owner: Option<String>,
}

impl StoreGroup {
    /// Takes a member's join. Gives the generation, and whether the partition is the member's.
    pub fn join(&mut self, member: &str, ttl_ms: u64) -> (u64, bool) {
        let now = Instant::now();
        self.expire(now);
        let until = now + Duration::from_millis(ttl_ms);
        if self.members.insert(member.to_owned(), until).is_none() {
            self.generation += 1;
        }
        if self.owner.is_none() {
            self.owner = Some(member.to_owned());
            self.generation += 1;
        }
        (self.generation, self.owner.as_deref() == Some(member))
    }

    /// A member leaves.
    pub fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.generation += 1;
        }
        self.expire(Instant::now());
    }

    fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() != before {
            self.generation += 1;
        }
        self.owner.take_if(|owner| !self.members.contains_key(owner));
    }
}
