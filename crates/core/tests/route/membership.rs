//! Which boxes callers are directed to, and the state that boxes exchange.

use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::entry_sync::{EntryQuery, CHANGES_PER_MESSAGE, LISTING_MS};
use ravenspoke_core::route::event::{RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::{
    GossipMessage, PeerInfo, PeerSummary, SyncRequest, START_SETTLE_MS, START_SPREAD_MS,
    START_WAIT_MS,
};
use ravenspoke_core::route::startup::{ACCEPT_AFTER_PLAN_MS, ACCEPT_AFTER_READ_MS};
use ravenspoke_core::route::{ADVERTISED_AGE_MS, EXPIRY_GRACE_MS};
use ravenspoke_core::time::BoxTime;

use crate::fixture::{ask, at, entry, gossip_in, new_box, plan, ready_box, TestBox};

/// Delivers the next message of `from` to `to`.
pub fn deliver_gossip(from: &mut TestBox, to: &mut TestBox) -> Vec<RouteEffect> {
    let address = to.state.dump(BoxTime::default()).name.to_owned() + ":90";
    from.feed(RouteEvent::PeersDiscovered(vec![address]));
    from.now += 500;
    to.now = from.now;
    let message = gossip_in(&from.feed(RouteEvent::Tick)).expect("a message is sent");
    to.feed(RouteEvent::GossipReceived(Box::new(message)))
}

/// Another box, which knows a replica and no plan.
fn second_box() -> TestBox {
    let mut subject = new_box("box-2");
    subject.put(entry("a", "v1"));
    subject
}

/// Another box, which knows the same as [`ready_box`].
fn second_ready_box() -> TestBox {
    let mut subject = new_box("box-2");
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    subject.put(entry("b", "v1"));
    subject
}

fn advertised(subject: &TestBox) -> Vec<String> {
    subject.state.advertised_addresses(BoxTime::from_millis(subject.now))
}

#[test]
fn callers_are_directed_to_live_boxes() {
    let (mut first, mut second) = (ready_box(), second_box());
    second.read_plan(Some(plan(1)));
    deliver_gossip(&mut second, &mut first);
    assert_eq!(advertised(&first), ["box-2:80", "box-1:80"]);
    first.now += 1_900;
    assert_eq!(advertised(&first), ["box-1:80"], "it was silent for too long");
}

#[test]
fn stopping_box_is_no_longer_advertised_at_once() {
    let (mut first, mut second) = (ready_box(), second_box());
    second.read_plan(Some(plan(1)));
    deliver_gossip(&mut second, &mut first);
    let message =
        gossip_in(&second.feed(RouteEvent::StopRequested)).expect("it sends gossip at once");
    first.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert_eq!(advertised(&first), ["box-1:80"]);
}

#[test]
fn box_that_cannot_read_the_plan_is_advertised_only_if_no_box_can() {
    let (mut first, mut second) = (ready_box(), second_box());
    second.read_plan(Some(plan(1)));
    first.now += ADVERTISED_AGE_MS;
    second.now = first.now;
    second.read_plan(None);
    deliver_gossip(&mut second, &mut first);
    assert_eq!(advertised(&first), ["box-2:80"]);
    first.now += 1_900;
    second.now = first.now;
    deliver_gossip(&mut second, &mut first);
    first.now += 400;
    second.now = first.now;
    first.read_plan(None);
    assert_eq!(advertised(&first), ["box-2:80", "box-1:80"]);
}

#[test]
fn boxes_with_an_old_plan_are_advertised_if_no_box_has_a_newer_one() {
    let mut subject = ready_box();
    subject.now += ADVERTISED_AGE_MS;
    assert_eq!(advertised(&subject), ["box-1:80"]);
}

#[test]
fn outdated_gossip_is_ignored() {
    let (mut first, mut second) = (ready_box(), second_box());
    second.read_plan(Some(plan(1)));
    second.feed(RouteEvent::PeersDiscovered(vec!["box-1:90".to_owned()]));
    second.now += 500;
    let early = gossip_in(&second.feed(RouteEvent::Tick)).expect("a message");
    let late = gossip_in(&second.feed(RouteEvent::StopRequested)).expect("a message");
    first.feed(RouteEvent::GossipReceived(Box::new(late)));
    first.feed(RouteEvent::GossipReceived(Box::new(early)));
    assert_eq!(advertised(&first), ["box-1:80"]);
}

#[test]
fn box_without_the_store_learns_of_a_leaving_replica() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(1)));
    for id in ["a", "b"] {
        second.put(entry(id, "v1"));
    }
    let leaving =
        ravenspoke_core::route::backend::BackendEntry { leaving: true, ..entry("a", "v1") };
    second.put(leaving);
    let effects = deliver_gossip(&mut second, &mut first);
    assert!(effects.contains(&RouteEffect::BackendLeaving("a".to_owned())));
    let (_, order) = first.sent(ask("/read/x"));
    assert_eq!(order.replica_id, "b");
}

#[test]
fn newer_plan_is_requested_and_read_if_there_is_no_response() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(2)));
    let effects = deliver_gossip(&mut second, &mut first);
    let asked = |effect: &RouteEffect| matches!(effect, RouteEffect::SendSyncRequest(to, _) if to == "box-2:90");
    assert!(effects.iter().any(asked), "it requests the plan from the sender");
    let now = |subject: &TestBox| BoxTime::from_millis(subject.now);
    assert!(!first.state.must_read_plan(now(&first)) || first.state.is_reader(now(&first)));
    first.now += 600;
    assert!(first.state.must_read_plan(now(&first)), "it reads the store without a response");
}

/// Sends a sync request to `reader` now and returns the response.
pub fn answer(reader: &mut TestBox, requester: &TestBox) -> GossipMessage {
    let sync_request = SyncRequest {
        gossip_address: "box-1:90".to_owned(),
        incarnation: 1,
        asked_at: BoxTime::from_millis(requester.now),
        plan_position: requester.state.plan_position(),
        entries: EntryQuery {
            known_to: requester.state.entries_to(),
            page_from: TopicPosition::default(),
            has_backends: requester.state.backends().rows().next().is_some(),
        },
    };
    gossip_in(&reader.feed(RouteEvent::SyncRequested(sync_request))).expect("a response")
}

fn age(subject: &TestBox) -> Option<u64> {
    subject.state.dump(BoxTime::from_millis(subject.now)).plan_age_ms
}

#[test]
fn response_ages_on_the_clock_of_the_requesting_box_from_the_read_of_the_reader() {
    let (mut requester, mut reader) = (ready_box(), new_box("box-2"));
    reader.now = 500_000;
    reader.read_plan(Some(plan(1)));
    reader.now += 300;
    requester.now += 2_000;
    let message = answer(&mut reader, &requester);
    requester.now += 700;
    requester.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert_eq!(age(&requester), Some(1_000), "700 ms in transit and 300 ms old when it was sent");
}

#[test]
fn response_of_a_reader_that_is_ahead_does_not_renew_the_plan() {
    let (mut requester, mut reader) = (ready_box(), new_box("box-2"));
    reader.read_plan(Some(plan(2)));
    requester.now += 2_000;
    let message = answer(&mut reader, &requester);
    requester.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert_eq!(age(&requester), Some(2_000));
}

#[test]
fn response_of_a_reader_that_is_behind_does_not_renew_the_plan() {
    let (mut requester, mut reader) = (ready_box(), new_box("box-2"));
    requester.read_plan(Some(plan(2)));
    reader.read_plan(Some(plan(1)));
    requester.now += 2_000;
    let message = answer(&mut reader, &requester);
    requester.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert_eq!(age(&requester), Some(2_000));
}

#[test]
fn response_to_an_earlier_process_or_an_old_request_does_not_renew_the_plan() {
    let (mut requester, mut reader) = (ready_box(), new_box("box-2"));
    reader.read_plan(Some(plan(1)));
    requester.now += 500;
    let mut other_incarnation = answer(&mut reader, &requester);
    other_incarnation.in_reply_to = other_incarnation
        .in_reply_to
        .map(|in_reply_to| SyncRequest { incarnation: 2, ..in_reply_to });
    let old = answer(&mut reader, &requester);
    requester.feed(RouteEvent::GossipReceived(Box::new(other_incarnation)));
    assert_eq!(age(&requester), Some(500));
    requester.now += 3_100;
    requester.feed(RouteEvent::GossipReceived(Box::new(old)));
    assert_eq!(age(&requester), Some(3_600));
}

#[test]
fn gossip_without_a_request_does_not_renew_the_plan() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    first.now += 1_000;
    second.now = first.now;
    second.read_plan(Some(plan(1)));
    deliver_gossip(&mut second, &mut first);
    assert_eq!(age(&first), Some(1_500));
}

#[test]
fn removals_are_forwarded_and_other_changes_are_sent_on_request() {
    let (mut first, mut second, mut third) = (ready_box(), new_box("box-2"), new_box("box-3"));
    third.read_plan(Some(plan(1)));
    second.feed(RouteEvent::PeersDiscovered(vec!["box-1:90".to_owned()]));
    second.offset = 10;
    second.put(entry("c", "v1"));
    second.drop_entry("c");
    second.put(entry("d", "v1"));
    let message = gossip_in(&second.feed(RouteEvent::Tick)).expect("it sends gossip at once");
    first.feed(RouteEvent::PeersDiscovered(vec!["box-3:90".to_owned()]));
    first.feed(RouteEvent::GossipReceived(Box::new(message)));
    let message = gossip_in(&first.feed(RouteEvent::Tick)).expect("it sends gossip at once");
    third.feed(RouteEvent::GossipReceived(Box::new(message)));
    let message = answer(&mut first, &third);
    third.feed(RouteEvent::GossipReceived(Box::new(message)));
    let known: Vec<String> =
        third.state.backends().rows().map(|(_, row)| row.entry.id.clone()).collect();
    assert!(known.contains(&"d".to_owned()) && !known.contains(&"c".to_owned()), "{known:?}");
}

#[test]
fn only_a_few_boxes_are_readers() {
    let mut boxes: Vec<TestBox> = (0..60).map(|n| new_box(&format!("box-{n}"))).collect();
    for (number, subject) in boxes.iter_mut().enumerate() {
        let messages: Vec<GossipMessage> = (0..60)
            .filter(|other| *other != number)
            .map(|other| GossipMessage {
                name: format!("box-{other}"),
                number: 1,
                info: PeerInfo { gossip_address: format!("box-{other}:90"), ..PeerInfo::default() },
                ..GossipMessage::default()
            })
            .collect();
        for message in messages {
            subject.feed(RouteEvent::GossipReceived(Box::new(message)));
        }
    }
    for subject in &mut boxes {
        subject.feed(RouteEvent::Tick);
        subject.now += START_SETTLE_MS;
    }
    let now = BoxTime::from_millis(1_000 + START_SETTLE_MS);
    let readers = boxes.iter().filter(|subject| subject.state.is_reader(now)).count();
    assert_eq!(readers, 3);
}

#[test]
fn later_of_two_changes_counts_whichever_arrives_first() {
    let (mut first, mut second) = (ready_box(), new_box("box-2"));
    second.read_plan(Some(plan(1)));
    second.put(entry("a", "v1"));
    let (_, stale) = (second.now, deliver_gossip(&mut second, &mut first));
    assert!(stale.is_empty(), "its state is newer or the same");
    first.offset = 20;
    first.drop_entry("a");
    deliver_gossip(&mut second, &mut first);
    let known: Vec<String> =
        first.state.backends().rows().map(|(_, row)| row.entry.id.clone()).collect();
    assert_eq!(known, ["b"], "an earlier change does not restore it");
}

#[test]
fn box_started_during_a_store_outage_learns_the_replicas_from_others() {
    let mut reader = ready_box();
    let mut started = new_box("box-2");
    started.read_plan(Some(plan(1)));
    assert!(!started.state.open(BoxTime::from_millis(started.now)), "it cannot serve any request");
    let message = answer(&mut reader, &started);
    let effects = started.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert_eq!(effects, [RouteEffect::AcceptCallers], "requested changes are not announced");
    assert!(started.state.open(BoxTime::from_millis(started.now)));
    started.sent(ask("/read/x"));
}

/// A box 150 ms after the end of a store outage, and another one with the same state that had none.
fn box_after_outage_and_another() -> (TestBox, TestBox) {
    let (mut recovered, mut other) = (ready_box(), new_box("box-2"));
    other.read_plan(Some(plan(1)));
    other.put(entry("a", "v1"));
    other.put(entry("b", "v1"));
    recovered.feed(RouteEvent::StoreFailed);
    recovered.now += 5_000;
    recovered.feed(RouteEvent::StoreRecovered);
    recovered.now += 150;
    other.now = recovered.now;
    recovered.read_plan(None);
    (recovered, other)
}

/// Whether the box still uses a replica.
fn uses(subject: &TestBox, id: &str) -> bool {
    let now = BoxTime::from_millis(subject.now);
    let mut rows = subject.state.backends().rows();
    rows.any(|(_, row)| row.entry.id == id && row.expires_at.is_none_or(|at| now < at))
}

#[test]
fn box_after_a_store_outage_applies_removals_from_other_boxes() {
    let (mut recovered, mut other) = box_after_outage_and_another();
    other.drop_entry("a");
    deliver_gossip(&mut other, &mut recovered);
    assert!(!uses(&recovered, "a") && uses(&recovered, "b"));
}

#[test]
fn grace_period_ends_when_another_box_confirms_the_removal() {
    let (mut recovered, mut other) = box_after_outage_and_another();
    recovered.drop_entry("a");
    assert!(uses(&recovered, "a"), "it may come back: the outage may have affected all");
    other.drop_entry("a");
    deliver_gossip(&mut other, &mut recovered);
    assert!(!uses(&recovered, "a") && uses(&recovered, "b"));
}

/// A box that has just started, and the latest time at which it reads the store if it receives
/// nothing.
fn started_box() -> (TestBox, u64) {
    let mut started = new_box("box-2");
    started.feed(RouteEvent::PeersDiscovered(vec!["box-1:90".to_owned()]));
    let latest = started.now + START_WAIT_MS + START_SPREAD_MS;
    (started, latest)
}

pub fn clock(subject: &TestBox) -> BoxTime {
    BoxTime::from_millis(subject.now)
}

pub fn sync_request_in(effects: &[RouteEffect]) -> Option<SyncRequest> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::SendSyncRequest(_, sync_request) => Some(sync_request.clone()),
        _ => None,
    })
}

#[test]
fn starting_box_reads_the_store_only_if_no_other_box_responds() {
    let (mut started, latest) = started_box();
    let effects = started.feed(RouteEvent::Tick);
    assert!(sync_request_in(&effects).is_some(), "it sends a request at once");
    assert!(!started.state.must_read_plan(clock(&started)));
    assert!(!started.state.must_read_entries(clock(&started)));
    started.now = latest - 1;
    assert!(started.state.must_read_plan(clock(&started)));
    assert!(started.state.must_read_entries(clock(&started)));
}

#[test]
fn starting_box_that_received_everything_does_not_call_the_store() {
    let (mut reader, (mut started, latest)) = (ready_box(), started_box());
    let sync_request =
        sync_request_in(&started.feed(RouteEvent::Tick)).expect("it sends a request");
    let message =
        gossip_in(&reader.feed(RouteEvent::SyncRequested(sync_request))).expect("a response");
    let as_of = started.state.message_as_of(&message, clock(&started)).expect("a time");
    started.feed(RouteEvent::PlanRead {
        asked_at: as_of,
        read_to: message.plan_position.read_to,
        plan: Some(plan(1)),
    });
    started.feed(RouteEvent::GossipReceived(Box::new(message)));
    started.now = latest - 1;
    started.feed(RouteEvent::Tick);
    assert!(!started.state.must_read_plan(clock(&started)));
    assert!(!started.state.must_read_entries(clock(&started)));
    assert!(!started.state.must_read_box_list(clock(&started)));
    assert!(started.state.open(clock(&started)));
}

#[test]
fn box_that_read_the_store_at_its_start_is_a_reader_at_once() {
    let (mut started, latest) = started_box();
    started.now = latest - 1;
    started.read_plan(Some(plan(1)));
    started.put(entry("a", "v1"));
    assert!(started.state.is_reader(clock(&started)), "some box sees what follows");
}

#[test]
fn response_contains_only_the_differences() {
    let (mut reader, mut requester) = (ready_box(), new_box("box-3"));
    requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));
    assert!(uses(&requester, "a") && uses(&requester, "b"), "the first response is a listing");
    reader.drop_entry("a");
    reader.put(entry("c", "v1"));
    let message = answer(&mut reader, &requester);
    let ids: Vec<&str> = message.changes.iter().map(|change| change.id.as_str()).collect();
    assert_eq!(ids, ["a", "c"]);
    requester.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert!(!uses(&requester, "a") && uses(&requester, "b") && uses(&requester, "c"));
    assert!(answer(&mut reader, &requester).changes.is_empty());
}

#[test]
fn next_response_replaces_a_lost_one() {
    let (mut reader, mut requester) = (ready_box(), new_box("box-3"));
    requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));
    reader.drop_entry("a");
    let lost = answer(&mut reader, &requester);
    reader.put(entry("c", "v1"));
    requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));
    assert!(!uses(&requester, "a") && uses(&requester, "c"));
    requester.feed(RouteEvent::GossipReceived(Box::new(lost)));
    assert!(uses(&requester, "c"), "a late response reverts nothing");
}

#[test]
fn listing_larger_than_a_datagram_is_sent_in_pages() {
    let (mut reader, mut requester) = (new_box("box-1"), new_box("box-3"));
    reader.read_plan(Some(plan(1)));
    for number in 0..2 * CHANGES_PER_MESSAGE + 7 {
        reader.put(entry(&format!("r{number}"), "v1"));
    }
    let mut effects =
        requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));
    let mut pages = 1;
    while let Some(sync_request) = sync_request_in(&effects) {
        assert_eq!(requester.state.entries_to(), None, "an incomplete listing is not relied on");
        let message =
            gossip_in(&reader.feed(RouteEvent::SyncRequested(sync_request))).expect("a response");
        assert!(message.changes.len() <= CHANGES_PER_MESSAGE);
        effects = requester.feed(RouteEvent::GossipReceived(Box::new(message)));
        pages += 1;
    }
    assert_eq!(pages, 3);
    assert_eq!(requester.state.backends().rows().count(), 2 * CHANGES_PER_MESSAGE + 7);
    assert_eq!(requester.state.entries_to(), reader.state.entries_to());
}

#[test]
fn box_that_receives_a_listing_does_not_list_the_store_as_well() {
    let (mut reader, mut requester) = (new_box("box-1"), new_box("box-3"));
    reader.read_plan(Some(plan(1)));
    for number in 0..2 * CHANGES_PER_MESSAGE {
        reader.put(entry(&format!("r{number}"), "v1"));
    }
    requester.feed(RouteEvent::Tick);
    let lists = |requester: &TestBox| {
        requester.state.must_read_entries(BoxTime::from_millis(requester.now))
    };
    // Its turn to read comes half a second before it may be a reader.
    while !lists(&requester) {
        requester.now += 1;
    }
    requester.feed(RouteEvent::Tick);

    requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));

    assert!(!lists(&requester), "the first page arrived, and the second was requested");
    requester.now += LISTING_MS;
    assert!(!requester.state.is_reader(BoxTime::from_millis(requester.now)));
    assert!(lists(&requester), "no further page arrived");
}

#[test]
fn listing_removes_replicas_that_it_does_not_contain() {
    let (mut reader, mut requester) = (new_box("box-2"), ready_box());
    reader.read_plan(Some(plan(1)));
    let end = at(50);
    let kept = BackendChange { id: "b".to_owned(), at: at(2), entry: Some(entry("b", "v1")) };
    reader.feed(RouteEvent::BackendsListed { end, listed: vec![kept] });
    reader.feed(RouteEvent::EntriesRead { as_of: clock(&reader), to: end });
    let message = answer(&mut reader, &requester);
    assert!(message.entries.page.is_some(), "it does not know removals before its listing");
    requester.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert!(!uses(&requester, "a") && uses(&requester, "b"));
    assert_eq!(requester.state.entries_to(), Some(end));
}

#[test]
fn removal_is_sent_only_after_its_grace_period() {
    let (mut reader, mut requester) = (second_ready_box(), ready_box());
    reader.feed(RouteEvent::StoreFailed);
    reader.drop_entry("a");
    let message = answer(&mut reader, &requester);
    assert_eq!(message.entries.age_ms, None, "a removal is not final yet");
    requester.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert!(uses(&requester, "a"));
    reader.now += EXPIRY_GRACE_MS;
    requester.now = reader.now;
    reader.feed(RouteEvent::Tick);
    requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));
    assert!(!uses(&requester, "a") && uses(&requester, "b"));
}

#[test]
fn message_that_arrives_after_a_report_about_its_sender_is_applied() {
    let (mut first, mut second) = (ready_box(), second_ready_box());
    second.feed(RouteEvent::PeersDiscovered(vec!["box-1:90".to_owned()]));
    second.drop_entry("a");
    let message = gossip_in(&second.feed(RouteEvent::Tick)).expect("a message");
    let peer = PeerSummary { name: "box-2".to_owned(), info: message.info.clone(), age_ms: 0 };
    let peers = vec![peer];
    let name = "box-3".to_owned();
    let other = GossipMessage { name, number: 1, duty_holders: peers, ..GossipMessage::default() };
    first.feed(RouteEvent::GossipReceived(Box::new(other)));
    assert!(advertised(&first).contains(&"box-2:80".to_owned()), "a report about it is applied");
    first.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert!(!uses(&first, "a"), "its own message is applied");
}

#[test]
fn old_report_about_a_box_does_not_make_it_live() {
    let (mut first, mut second) = (ready_box(), second_ready_box());
    deliver_gossip(&mut second, &mut first);
    let info = PeerInfo {
        entry_address: "box-2:80".to_owned(),
        gossip_address: "box-2:90".to_owned(),
        open: true,
        ..PeerInfo::default()
    };
    let peer = PeerSummary { name: "box-2".to_owned(), info, age_ms: 1_900 };
    first.now += 1_900;
    let message = GossipMessage {
        name: "box-3".to_owned(),
        number: 1,
        duty_holders: vec![peer],
        ..GossipMessage::default()
    };
    first.feed(RouteEvent::GossipReceived(Box::new(message)));
    assert_eq!(advertised(&first), ["box-1:80"]);
}

#[test]
fn response_without_progress_is_not_followed_by_a_request_at_once() {
    let (mut reader, mut requester) = (second_ready_box(), ready_box());
    requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));
    reader.feed(RouteEvent::StoreFailed);
    reader.drop_entry("a");
    reader.put(entry("c", "v1"));

    let first =
        requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));
    let second =
        requester.feed(RouteEvent::GossipReceived(Box::new(answer(&mut reader, &requester))));

    assert!(sync_request_in(&first).is_none() || sync_request_in(&second).is_none());
    assert!(sync_request_in(&second).is_none(), "the response was the same again");
}

/// A box said that it was ready as soon as it had a plan, and refused its callers when it was stopped
/// then.
#[test]
fn box_is_not_ready_before_it_accepts_callers() {
    let is_ready = |subject: &TestBox| subject.state.ready(BoxTime::from_millis(subject.now));
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    assert!(!is_ready(&subject));

    subject.now += ACCEPT_AFTER_PLAN_MS + ACCEPT_AFTER_READ_MS + START_WAIT_MS + START_SPREAD_MS;
    let effects = subject.feed(RouteEvent::Tick);

    assert!(effects.contains(&RouteEffect::AcceptCallers), "{effects:?}");
    subject.read_plan(None);
    assert!(is_ready(&subject));
}
