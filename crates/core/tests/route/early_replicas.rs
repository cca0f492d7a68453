//! Replicas of a new version that a box knows before the order to roll it out.

use ravenspoke_core::route::trial::TrialOrder;
use ravenspoke_core::time::BoxTime;

use crate::fixture::{entry, new_box, plan, ready_box, versions, TestBox};

fn order() -> TrialOrder {
    TrialOrder { service: "pool".to_owned(), version: "v2".to_owned(), duration_ms: 10_000 }
}

/// A box that has served `v1`, and then hears of replicas of `v2`.
fn box_with_early_replicas() -> TestBox {
    let mut subject = ready_box();
    subject.now += 500;
    subject.put(entry("c", "v2"));
    subject.put(entry("d", "v2"));
    subject
}

/// Sessions went to a new version and back, until the box heard of the order.
#[test]
fn replicas_of_a_new_version_wait_until_its_order_would_be_known() {
    let mut subject = box_with_early_replicas();
    let before = versions(&mut subject);

    subject.give_order(order());
    subject.read_plan(None);

    assert_eq!((before, versions(&mut subject)), (vec!["v1".to_owned()], vec!["v1".to_owned()]));
}

#[test]
fn replicas_of_a_version_without_an_order_serve_once_the_orders_are_read() {
    let mut subject = box_with_early_replicas();

    subject.read_plan(None);

    assert_eq!(versions(&mut subject), ["v1", "v2"]);
}

#[test]
fn replicas_of_a_new_version_serve_when_there_are_no_others() {
    let mut subject = box_with_early_replicas();
    subject.drop_entry("a");
    subject.drop_entry("b");

    assert_eq!(versions(&mut subject), ["v2"]);
}

/// A box that had just started mixed the versions, until it heard of the order.
#[test]
fn started_box_that_knows_two_versions_reads_orders_before_it_serves() {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    subject.now += 50;
    subject.put(entry("a", "v1"));
    let with_one = accepts_callers(&subject);
    subject.put(entry("c", "v2"));
    let with_two = accepts_callers(&subject);

    subject.read_plan(None);

    assert_eq!((with_one, with_two, accepts_callers(&subject)), (true, false, true));
}

fn accepts_callers(subject: &TestBox) -> bool {
    subject.state.accepts_callers(BoxTime::from_millis(subject.now))
}

/// As above, where the box has not read the orders since it heard of the first version.
#[test]
fn replicas_of_the_version_heard_of_first_serve_until_the_orders_are_read() {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    for (id, version) in [("a", "v1"), ("c", "v2")] {
        subject.now += 50;
        subject.put(entry(id, version));
    }

    assert_eq!(versions(&mut subject), ["v1"]);
}
