//! When a box reads the store itself: duties, records that others could not send, and the age of
//! its plan.

use ravenspoke_core::route::entry_sync::ListingPage;
use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::{GossipMessage, PeerInfo, BEHIND_MS, START_SETTLE_MS};
use ravenspoke_core::route::store_access::StoreAccess;

use crate::fixture::{at, new_box, plan, ready_box, TestBox};
use crate::membership::{answer, clock, deliver_gossip, sync_request_in};

/// Delivers messages of three other boxes, which are open or not.
fn receive_from_three_others(subject: &mut TestBox, open: bool) {
    for name in ["box-2", "box-3", "box-4"] {
        let info = PeerInfo { gossip_address: format!("{name}:90"), open, ..PeerInfo::default() };
        let message =
            GossipMessage { name: name.to_owned(), number: 1, info, ..GossipMessage::default() };
        subject.feed(RouteEvent::GossipReceived(Box::new(message)));
    }
}

#[test]
fn box_whose_store_calls_fail_ranks_behind_the_others_as_reader() {
    let mut subject = ready_box();
    receive_from_three_others(&mut subject, false);
    subject.feed(RouteEvent::Tick);
    subject.now += START_SETTLE_MS;
    subject.feed(RouteEvent::Tick);
    assert!(subject.state.is_reader(clock(&subject)), "it is open, and the others are not");
    subject.feed(RouteEvent::StoreFailed);
    subject.feed(RouteEvent::Tick);
    assert!(!subject.state.is_reader(clock(&subject)));
    subject.feed(RouteEvent::StoreRecovered);
    subject.feed(RouteEvent::Tick);
    subject.now += START_SETTLE_MS;
    subject.feed(RouteEvent::Tick);
    let live = subject.state.peers().live_count(clock(&subject));
    assert!(subject.state.is_reader(clock(&subject)), "{live} live");
}

#[test]
fn failed_call_counts_for_less_once_the_store_has_answered_another_box() {
    let mut subject = box_without_the_store();
    let failed = subject.state.store_access(clock(&subject));
    subject.now += 200;
    let mut reader = new_box("box-2");
    reader.now = subject.now;
    reader.read_plan(Some(plan(1)));
    subject.now += 10;
    reader.now = subject.now;
    let message = answer(&mut reader, &subject);

    subject.feed(RouteEvent::GossipReceived(Box::new(message)));

    assert_eq!(failed, StoreAccess::Failed);
    assert_eq!(subject.state.store_access(clock(&subject)), StoreAccess::Unknown);
    subject.feed(RouteEvent::StoreRecovered);
    assert_eq!(subject.state.store_access(clock(&subject)), StoreAccess::Working);
}

#[test]
fn reader_with_an_old_plan_reads_without_a_long_poll() {
    let mut subject = ready_box();
    subject.feed(RouteEvent::Tick);
    subject.now += START_SETTLE_MS;
    subject.feed(RouteEvent::Tick);
    assert!(subject.state.is_reader(clock(&subject)));
    assert!(!subject.state.long_polls_plan(clock(&subject)), "it has not read since its start");
    subject.read_plan(None);
    assert!(subject.state.long_polls_plan(clock(&subject)));
}

/// A box that cannot reach the store, knows three boxes that can, and received a response from one
/// that has read further.
fn box_behind_without_the_store() -> TestBox {
    let mut subject = box_without_the_store();
    receive_response_without_plan(&mut subject);
    subject
}

/// A box that cannot reach the store and knows three that can.
fn box_without_the_store() -> TestBox {
    let mut subject = ready_box();
    receive_from_three_others(&mut subject, true);
    subject.feed(RouteEvent::StoreFailed);
    subject.feed(RouteEvent::Tick);
    subject
}

/// Delivers a sync response that lacks the operator's records.
fn receive_response_without_plan(subject: &mut TestBox) {
    let mut reader = new_box("box-2");
    reader.now = subject.now;
    reader.read_plan(Some(plan(2)));
    let message = answer(&mut reader, subject);
    subject.feed(RouteEvent::GossipReceived(Box::new(message)));
}

// The new plan was too large for a datagram, so that responses came without it and each box read
// the store. On 40 of 91 boxes that read failed. They then left the store to boxes that responded
// but could not send the plan, and served the replaced plan for 20 s.
#[test]
fn box_that_is_behind_reads_the_store_even_after_a_failed_call() {
    let mut subject = box_behind_without_the_store();
    assert!(!subject.state.is_reader(clock(&subject)));

    subject.now += BEHIND_MS;

    assert!(subject.state.must_read_plan(clock(&subject)));
    receive_response_without_plan(&mut subject);
    assert!(
        subject.state.must_read_plan(clock(&subject)),
        "a response without the plan changes nothing"
    );
}

// A plan of 890 KB did not fit into a response. 88 of 91 boxes waited half a second for a response
// with it, and sent more requests meanwhile.
#[test]
fn response_without_the_plan_leads_to_a_read_and_no_further_request() {
    let mut subject = box_without_the_store();
    let mut reader = new_box("box-3");
    reader.now = subject.now;
    reader.read_plan(Some(plan(2)));
    deliver_gossip(&mut reader, &mut subject);
    assert!(!subject.state.must_read_plan(clock(&subject)), "a response may contain it");

    receive_response_without_plan(&mut subject);

    assert!(subject.state.must_read_plan(clock(&subject)));
    let effects = deliver_gossip(&mut reader, &mut subject);
    let is_request = |effect: &RouteEffect| matches!(effect, RouteEffect::SendSyncRequest(..));
    assert!(!effects.iter().any(is_request));
    subject.read_plan(Some(plan(2)));
    assert!(!subject.state.must_read_plan(clock(&subject)));
}

#[test]
fn plan_is_requested_again_if_a_page_of_replicas_left_no_room_for_it() {
    let mut subject = box_without_the_store();
    let mut reader = new_box("box-2");
    reader.now = subject.now;
    reader.read_plan(Some(plan(2)));
    let mut message = answer(&mut reader, &subject);
    message.entries.page = Some(ListingPage { end: at(9), next: None, tombstones_from: at(9) });

    let effects = subject.feed(RouteEvent::GossipReceived(Box::new(message)));

    assert!(!subject.state.must_read_plan(clock(&subject)), "the next response may contain it");
    assert!(sync_request_in(&effects).is_some());
}

#[test]
fn reader_with_a_plan_of_half_a_second_reads_without_a_long_poll() {
    let mut subject = ready_box();
    subject.feed(RouteEvent::Tick);
    subject.now += START_SETTLE_MS;
    subject.feed(RouteEvent::Tick);
    subject.read_plan(None);

    subject.now += 500;

    assert!(subject.state.is_reader(clock(&subject)));
    assert!(!subject.state.long_polls_plan(clock(&subject)));
}
