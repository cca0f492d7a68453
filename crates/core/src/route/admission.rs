//! Which requests are turned away at once, and when they are to come back.
//!
//! The load pattern: prompts come faster than all replicas together read them, and the work that waits
//! grows past the time that callers have. What is sent then keeps its caller waiting for nothing and holds up
//! those behind it. A request is turned away when the replica where placing it costs least has, by the work that
//! is known to wait there and drains as time passes, no time for it before its deadline. What is known is
//! mostly less than what waits; but where 1.6 to 3.2 s were expected, one answer in ten began within 0.7 s, so
//! one that could just be served may be turned away. Only the replicas that the choice allows count: while
//! a trial's lot names a version, another version's free replica is not looked at.

use crate::replica::mix;

/// Part of the time until there is room by which returns are spread: those turned away together would else
/// come back together.
pub const RETRY_JITTER: f64 = 0.5;

/// Callers honour the wait that they are told up to this part of what is left of their time.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// When a request that would begin after `expected_ms` is to come back, in milliseconds; `None` if it is
/// taken, since it begins within the `left_ms` that its caller waits. A caller that comes back then finds
/// work for less than `target_ms` if nothing more comes.
pub fn overload_retry_ms(
    expected_ms: f64,
    left_ms: u64,
    target_ms: u64,
    random: u64,
) -> Option<u64> {
    let left = left_ms as f64;
    if expected_ms < left {
        return None;
    }
    let drained_ms = (expected_ms - target_ms as f64).max(0.0);
    let chance = (mix(random) % 1_000) as f64 / 1_000.0;
    let spread_ms = drained_ms * (1.0 + RETRY_JITTER * chance);
    Some((spread_ms as u64).min(latest_retry_ms(left_ms, random)))
}

/// When a caller who waits for `left_ms` is to come back at the latest, in milliseconds, so that it still honours that; spread,
/// since those that are refused together would else come back together.
pub fn latest_retry_ms(left_ms: u64, random: u64) -> u64 {
    let chance = (mix(random) % 1_000) as f64 / 1_000.0;
    (left_ms as f64 * MAX_RETRY_SHARE * (1.0 - RETRY_JITTER * chance)) as u64
}
