//! Replicas that restart under the same id, and entries that name no replica.

use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::event::{AttemptFailure, RefusalReason, RouteEvent};

use crate::fixture::{ask, at, entry, is_refused, new_box, plan, refusal_in, TestBox};

/// Entry of the incarnation of replica `a` that started at `born`.
fn incarnation(born: u64) -> BackendEntry {
    BackendEntry { born: Some(born), ..entry("a", "v1") }
}

/// A box that knows one replica, whose incarnation started at 5,000.
fn box_with_one_incarnation() -> TestBox {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    subject.put(incarnation(5_000));
    subject
}

/// Whether the latest incarnation of replica `a` is leaving.
fn leaves(subject: &TestBox) -> Option<bool> {
    let mut rows = subject.state.backends().rows();
    rows.find(|(_, row)| row.entry.id == "a").map(|(_, row)| row.entry.leaving)
}

#[test]
fn new_incarnation_inherits_no_requests_and_no_failures() {
    // The clock of a replica may be set back between two incarnations: the order of the store
    // decides which is later.
    for born in [9_000, 1_000] {
        let mut subject = box_with_one_incarnation();
        let (_, order) = subject.sent(ask("/read/x"));

        subject.put(incarnation(born));

        assert!(
            subject.state.backends().get(order.replica).is_none(),
            "the former incarnation was removed"
        );
        let row = subject.state.backends().rows().next().expect("a replica").1.clone();
        assert_eq!((row.entry.born, row.outstanding, row.since_report), (Some(born), 0, 0));
    }
}

#[test]
fn new_incarnation_is_not_leaving_after_the_former_one_left() {
    let mut subject = box_with_one_incarnation();
    subject.put(BackendEntry { leaving: true, ..incarnation(5_000) });
    subject.put(incarnation(5_000));
    assert_eq!(leaves(&subject), Some(true), "an incarnation never withdraws its leaving mark");

    subject.put(incarnation(6_000));

    assert_eq!(leaves(&subject), Some(false));
    subject.sent(ask("/read/x"));
}

#[test]
fn late_change_of_a_former_incarnation_is_ignored() {
    let mut subject = box_with_one_incarnation();
    let offset = subject.offset;
    subject.put(incarnation(6_000));

    let entry = Some(BackendEntry { leaving: true, ..incarnation(5_000) });
    let late = BackendChange { id: "a".to_owned(), at: at(offset), entry };
    subject.feed(RouteEvent::BackendsChanged(vec![late]));

    assert_eq!(leaves(&subject), Some(false));
}

#[test]
fn entry_without_a_start_time_continues_the_incarnation() {
    let mut subject = box_with_one_incarnation();
    let (_, order) = subject.sent(ask("/read/x"));

    subject.put(entry("a", "v1"));

    assert!(subject.state.backends().get(order.replica).is_some());
    subject.put(incarnation(6_000));
    assert!(
        subject.state.backends().get(order.replica).is_none(),
        "its incarnation is still known"
    );
}

#[test]
fn request_at_a_former_incarnation_is_not_reported_as_not_executed() {
    let mut subject = box_with_one_incarnation();
    let (ticket, _) = subject.sent(ask("/file/x"));
    subject.put(incarnation(6_000));

    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));

    let refusal = refusal_in(&effects).expect("it may be executed only once");
    assert!(is_refused(refusal, 502, RefusalReason::Failed), "{refusal:?}");
}

#[test]
fn invalidated_entry_is_removed_even_after_a_store_outage() {
    let mut subject = box_with_one_incarnation();
    subject.feed(RouteEvent::StoreFailed);
    subject.feed(RouteEvent::StoreRecovered);

    let spoilt = BackendChange { id: "a".to_owned(), at: at(subject.offset + 1), entry: None };
    subject.feed(RouteEvent::BackendsInvalidated(vec![spoilt]));

    assert_eq!(leaves(&subject), None);
}
