//! Tests of tasks that end although a box needs them.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_box::gateway::task_watch::keep_running;

/// Ends of the task before it stays.
const ENDS: u32 = 3;

/// Guards against a box that stays blind because a task of its own panicked.
#[tokio::test]
async fn task_that_panics_is_started_again() {
    let starts = Arc::new(AtomicU32::new(0));
    let counted = starts.clone();
    let make = move || {
        let number = counted.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(number >= ENDS, "one of the first tasks ends");
            std::future::pending().await
        }
    };

    let watch = tokio::time::timeout(Duration::from_secs(2), keep_running("task", make));

    assert!(watch.await.is_err(), "the task is kept running");
    assert_eq!(starts.load(Ordering::Relaxed), ENDS + 1);
}
