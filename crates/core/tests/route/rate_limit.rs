//! Replicas that name a limit: what they get in four seconds, from all boxes together.

use ravenspoke_core::route::event::{AnswerHead, RefusalReason, RouteEvent};
use ravenspoke_core::route::peers::{GossipMessage, PeerInfo};
use ravenspoke_core::route::plan::ServicePlan;
use ravenspoke_core::route::rate_limit::{
    LimitUpdate, ASK_AFTER_MS, LIMIT_GOSSIP_MS, LIMIT_KEPT_MS,
};
use ravenspoke_core::route::RouteState;

use crate::fixture::{ask, entry, head, is_refused, new_box, plan, ready_box, TestBox};
use crate::replica_fleet::{ReplicaFleet, BURST};

/// Boxes, and replicas before them.
const SIZES: [(usize, usize); 3] = [(9, 16), (84, 60), (300, 120)];

/// Requests a second that a replica in need names.
const LIMIT_PER_S: f64 = 1.8;

/// A limit binds this long after it was first named, in milliseconds: the shortest of the platform's bounds.
const TAKES_MS: u64 = 3_000;

/// The bound is on every span of this length, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// Part of what all limits allow that is used while twice as much is asked for, at least: a box that may send to none of
/// its replicas for a moment sends its callers back, since no other box is asked for its part.
const USED_PART: f64 = 2.0 / 3.0;

/// All boxes know that a replica names its limit no more after this, in milliseconds: a sender asks it, its answer comes,
/// and word of it goes from box to box.
const LIFTED_MS: u64 = ASK_AFTER_MS + 3_000;

/// Requests that a replica may get in a span: one and a half times what its limit allows, and five.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * SPAN_MS as f64 / 1_000.0 + 5.0).round() as usize
}

/// Requests that the fullest of the replicas that named a limit got in its fullest span since that binds.
fn fullest_limited(fleet: &ReplicaFleet) -> usize {
    let rows = fleet.limited_at.iter().enumerate();
    let bound = rows.filter_map(|(replica, at)| Some((replica, (*at)? + TAKES_MS)));
    bound.map(|(replica, from)| fleet.fullest_span(replica, from, SPAN_MS)).max().unwrap_or(0)
}

/// Boxes that have met, before replicas.
fn start(boxes: usize, replicas: usize) -> ReplicaFleet {
    let mut fleet = ReplicaFleet::start(boxes, replicas, ServicePlan::default());
    fleet.play(0.1, 1_000);
    fleet.full_gossip = true;
    fleet
}

#[test]
fn replicas_that_name_a_limit_get_no_more_than_it_allows() {
    for (boxes, replicas) in SIZES {
        let mut fleet = start(boxes, replicas);
        let limited = replicas / 6;
        fleet.limits[..limited].fill(Some(LIMIT_PER_S));
        fleet.play(BURST, 12_000);

        let most = fullest_limited(&fleet);
        println!(
            "{boxes} boxes: {most} requests in the fullest span, {} allowed",
            allowed(LIMIT_PER_S)
        );
        assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
        assert_eq!(fleet.refused, 0, "the others take the rest");
    }
}

/// With none but limited replicas: what the fullest got in its fullest span, and the part of what all limits allow that
/// was used.
fn all_limited(boxes: usize, replicas: usize, extra_draw: bool) -> (usize, f64) {
    let mut fleet = start(boxes, replicas);
    fleet.extra_draw = extra_draw;
    fleet.limits.fill(Some(LIMIT_PER_S));
    let bound_from = fleet.now + TAKES_MS;
    fleet.play(1.0, TAKES_MS + 3 * SPAN_MS);

    let most = fullest_limited(&fleet);
    let got: usize = (0..replicas).map(|replica| fleet.got_since(replica, bound_from)).sum();
    let named = LIMIT_PER_S * (3 * SPAN_MS) as f64 / 1_000.0 * replicas as f64;
    println!("{boxes} boxes, all limited: {most} in the fullest span, {got} of {named:.0} used");
    (most, got as f64 / named)
}

#[test]
fn with_none_but_limited_replicas_requests_are_served_as_far_as_limits_allow() {
    for (boxes, replicas) in SIZES {
        let (most, used) = all_limited(boxes, replicas, false);
        assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
        assert!(used >= USED_PART, "{boxes} boxes: {used}");
    }
}

#[test]
fn with_other_luck_limited_replicas_are_used_as_far() {
    let (boxes, replicas) = SIZES[2];
    let (most, used) = all_limited(boxes, replicas, true);
    assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
    assert!(used >= USED_PART, "{boxes} boxes: {used}");
}

#[test]
fn that_a_replica_names_no_limit_any_more_is_known_to_all_boxes() {
    for (boxes, replicas) in SIZES {
        let mut fleet = start(boxes, replicas);
        fleet.limits[0] = Some(LIMIT_PER_S);
        fleet.play(1.0, 6_000);
        let limited_on = |fleet: &ReplicaFleet| {
            let limits = |state: &RouteState| {
                state.backends().rows().any(|(_, row)| row.limit.per_s.is_some())
            };
            fleet.boxes.iter().filter(|state| limits(state)).count()
        };
        assert_eq!(limited_on(&fleet), boxes, "all know it");
        fleet.limits[0] = None;
        fleet.play(1.0, LIFTED_MS);
        assert_eq!(limited_on(&fleet), 0, "{boxes} boxes");
    }
}

/// Feeds the head of an answer from replica `a` that names a limit.
fn name_limit(subject: &mut TestBox, limit_per_s: Option<f64>) {
    loop {
        let (ticket, order) = subject.sent(ask("/read/x"));
        let answer = AnswerHead { limit_per_s, ..head(200) };
        let came = if order.replica_id == "a" { answer } else { head(200) };
        subject.feed(RouteEvent::HeadReceived(ticket, came));
        subject.feed(RouteEvent::ResponseFinished(ticket));
        if order.replica_id == "a" {
            return;
        }
    }
}

/// A note of another box with word of replica `a`'s limit.
fn note(number: u64, per_s: Option<f64>, age_ms: u64) -> RouteEvent {
    let replica = ravenspoke_core::route::backend::backend_hash("a");
    let info = PeerInfo { gossip_address: "box-2:90".to_owned(), ..PeerInfo::default() };
    let limits = vec![LimitUpdate { replica, per_s, age_ms }];
    let note = GossipMessage {
        name: "box-2".to_owned(),
        number,
        info,
        limits,
        ..GossipMessage::default()
    };
    RouteEvent::GossipReceived(Box::new(note))
}

/// Requests of twenty that go to replica `a`.
fn sent_to_a(subject: &mut TestBox) -> usize {
    let mut sent = 0;
    for _ in 0..20 {
        let (ticket, order) = subject.sent(ask("/read/x"));
        sent += usize::from(order.replica_id == "a");
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
    sent
}

#[test]
fn a_box_heeds_a_limit_that_another_box_heard() {
    let mut subject = ready_box();
    subject.feed(note(1, Some(1.0), 200));
    assert!(sent_to_a(&mut subject) <= 1, "one at a time");
    subject.feed(note(2, None, 100));
    assert!(sent_to_a(&mut subject) > 1, "it names none any more");
}

#[test]
fn older_word_of_a_limit_does_not_replace_later_word() {
    let mut subject = ready_box();
    subject.now += LIMIT_GOSSIP_MS;
    name_limit(&mut subject, Some(1.0));
    subject.feed(note(1, None, 500));
    assert!(sent_to_a(&mut subject) <= 1, "what the replica said itself is later");
    subject.feed(note(2, None, LIMIT_GOSSIP_MS));
    assert!(sent_to_a(&mut subject) <= 1, "word that is too old says nothing");
}

#[test]
fn an_answer_that_ran_nothing_lifts_no_limit() {
    let mut subject = ready_box();
    name_limit(&mut subject, Some(1.0));
    subject.now += 2_000;
    let (ticket, order) = loop {
        let (ticket, order) = subject.sent(ask("/read/x"));
        if order.replica_id == "a" {
            break (ticket, order);
        }
        subject.feed(RouteEvent::ResponseFinished(ticket));
    };
    assert_eq!(order.replica_id, "a");
    let full = AnswerHead { not_run: true, proven: false, ..head(503) };
    subject.feed(RouteEvent::HeadReceived(ticket, full));
    assert!(sent_to_a(&mut subject) <= 1);
}

#[test]
fn a_limit_without_word_for_long_counts_no_more() {
    let mut subject = ready_box();
    name_limit(&mut subject, Some(0.0));
    assert!(sent_to_a(&mut subject) <= 1);
    subject.now += LIMIT_KEPT_MS;
    subject.read_plan(Some(plan(1)));
    assert!(sent_to_a(&mut subject) > 1);
}

#[test]
fn with_all_replicas_limited_callers_are_told_at_once_when_to_come_back() {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    name_limit(&mut subject, Some(1.0));
    let refusal = subject.refused(ask("/file/x"));
    assert!(is_refused(refusal, 503, RefusalReason::ReplicasLimited));
    assert!(refusal.retry_after_ms.is_some_and(|after| (1..=1_000).contains(&after)));
}

#[test]
fn a_burst_after_a_quiet_time_brings_a_limited_replica_no_more_than_it_allows() {
    for (boxes, replicas) in SIZES {
        let mut fleet = start(boxes, replicas);
        let limited = replicas / 6;
        fleet.limits[..limited].fill(Some(LIMIT_PER_S));
        fleet.play(1.0, TAKES_MS);
        fleet.play(0.01, 8_000);
        fleet.play(BURST, 2 * SPAN_MS);

        let most = fullest_limited(&fleet);
        println!("{boxes} boxes, burst after a quiet time: {most} in the fullest span");
        assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
    }
}
