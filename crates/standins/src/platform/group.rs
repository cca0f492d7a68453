//! A consumer group of the store. Members join repeatedly to renew their membership, and one of
//! them owns the only partition of their topic.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A group with one partition to assign.
#[derive(Debug, Default)]
pub struct StoreGroup {
    generation: u64,
    /// Members, and when their memberships expire.
    members: BTreeMap<String, Instant>,
    owner: Option<String>,
}

impl StoreGroup {
    /// Adds a member or renews it. Returns the generation, and whether the member owns the
    /// partition.
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

    /// Removes a member.
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
