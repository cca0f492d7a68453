//! How many answers to other boxes wait at a box.

use ravenspoke_box::gateway::sync_pacer::{SyncPacer, SYNC_QUEUE_BYTES};

/// Bytes of an answer that tells a thousand replicas.
const LONG_ANSWER: usize = 16_600;

/// Long answers that may wait with a link of so many megabits a second.
fn waiting(link_mbps: f64) -> usize {
    let pacer = SyncPacer::new(link_mbps);
    let mut count = 0;
    while pacer.has_room() {
        pacer.add_queued(LONG_ANSWER);
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
    let pacer = SyncPacer::new(0.1);
    pacer.add_queued(LONG_ANSWER);
    assert!(!pacer.has_room());
    pacer.remove_queued(LONG_ANSWER);
    assert!(pacer.has_room());
}
