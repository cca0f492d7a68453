//! How many answers to other boxes wait at a box.

use ravenspoke_box::gateway::sync_pacer::{SyncPacer, SYNC_QUEUE_BYTES};

/// Bytes of an answer that tells a thousand replicas.
const LONG_ANSWER: usize = 16_600;

/// Long answers that may wait with a link of so many megabits a second.
fn waiting(link_mbps: f64) -> usize {
    let pace = SyncPacer::new(link_mbps);
    let mut count = 0;
    while pace.has_room() {
        pace.add_queued(LONG_ANSWER);
        count += 1;
    }
    count
}

#[test]
fn a_slow_link_bounds_what_waits_by_time_and_a_fast_one_by_memory() {
    assert_eq!(waiting(10.0), 5);
    let most = SYNC_QUEUE_BYTES as usize / LONG_ANSWER + 1;
    assert_eq!((waiting(100.0), waiting(10_000.0)), (most, most));
}

#[test]
fn there_is_room_again_when_an_answer_was_sent() {
    let pace = SyncPacer::new(0.1);
    pace.add_queued(LONG_ANSWER);
    assert!(!pace.has_room());
    pace.remove_queued(LONG_ANSWER);
    assert!(pace.has_room());
}
