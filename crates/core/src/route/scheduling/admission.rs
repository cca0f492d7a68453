//! Admission control: which requests are refused at once for lack of time, and when their callers
//! may retry.
//!
//! Load pattern: prompts arrive faster than all replicas together process them, and the queues grow
//! beyond the callers' deadlines. A request that is sent nevertheless keeps its caller waiting in
//! vain and delays those behind it. A request is therefore refused when the replica with the lowest
//! placement cost cannot begin it before its deadline, by the queued work that this box knows of,
//! which drains as time passes. The known work is mostly less than what is queued. But where 1.6 to
//! 3.2 s were expected, one answer in ten began within 0.7 s, so a request that could just be
//! served may be refused. Only replicas that the choice of version allows count: while a trial
//! assigns the request to one version, a free replica of another version is ignored.

use crate::replica::mix;

/// Jitter of retry times, as a share of the time until there is room. Without it, callers that are
/// refused together would return together.
pub const RETRY_JITTER: f64 = 0.5;

/// Largest share of the remaining time that a caller is willing to wait before it retries.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Returns when a request that would begin after `expected_ms` may be retried, in milliseconds, or
/// `None` if it begins within the `left_ms` that its caller waits and is admitted. At that time the
/// queue holds less than `target_ms` of work if nothing more arrives.
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

/// Returns the latest time after which a caller with `left_ms` left still retries, in milliseconds.
/// It is spread, since callers that are refused together would otherwise return together.
pub fn latest_retry_ms(left_ms: u64, random: u64) -> u64 {
    let chance = (mix(random) % 1_000) as f64 / 1_000.0;
    (left_ms as f64 * MAX_RETRY_SHARE * (1.0 - RETRY_JITTER * chance)) as u64
}
