//! Tests of the queue limit for sync responses.

use ravenspoke_box::gateway::sync_pacer::{SyncPacer, SYNC_QUEUE_BYTES};

/// Size of a sync response with a thousand replicas, in bytes.
const PAGE_RESPONSE_BYTES: usize = 16_600;

/// Number of such responses that may be queued on a link of `link_mbps` megabits a second.
fn queued_responses(link_mbps: f64) -> usize {
    let pacer = SyncPacer::new(link_mbps);
    let mut count = 0;
    while pacer.has_room() {
        pacer.add_queued(PAGE_RESPONSE_BYTES);
        count += 1;
    }
    count
}

#[test]
fn sync_queue_is_limited_by_time_on_slow_links_and_by_bytes_on_fast_ones() {
    assert_eq!(queued_responses(10.0), 5);
    let queue_limit = SYNC_QUEUE_BYTES as usize / PAGE_RESPONSE_BYTES + 1;
    assert_eq!((queued_responses(100.0), queued_responses(10_000.0)), (queue_limit, queue_limit));
}

#[test]
fn sync_queue_has_room_after_a_response_is_sent() {
    let pacer = SyncPacer::new(0.1);
    pacer.add_queued(PAGE_RESPONSE_BYTES);
    assert!(!pacer.has_room());
    pacer.remove_queued(PAGE_RESPONSE_BYTES);
    assert!(pacer.has_room());
}
