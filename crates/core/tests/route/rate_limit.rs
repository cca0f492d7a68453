//! Replicas with a rate limit: the requests that they get in four seconds, from all boxes together.

use ravenspoke_core::route::event::{AnswerHead, RefusalReason, RouteEvent};
use ravenspoke_core::route::peers::{GossipMessage, PeerInfo};
use ravenspoke_core::route::plan::ServicePlan;
use ravenspoke_core::route::rate_limit::{
    LimitUpdate, LIMIT_GOSSIP_MS, LIMIT_KEPT_MS, PROBE_AFTER_MS,
};
use ravenspoke_core::route::RouteState;

use crate::fixture::{ask, entry, head, is_refused, new_box, plan, ready_box, TestBox};
use crate::replica_fleet::{ReplicaFleet, BURST};

/// Numbers of boxes and replicas.
const SIZES: [(usize, usize); 3] = [(9, 16), (84, 60), (300, 120)];

/// Limit of an overloaded replica, in requests a second.
const LIMIT_PER_S: f64 = 1.8;

/// Time until a limit takes effect after its first report, in milliseconds: the shortest of the
/// platform's bounds.
const EFFECT_DELAY_MS: u64 = 3_000;

/// Length of the periods to which the bound applies, in milliseconds.
const SPAN_MS: u64 = 4_000;

/// Smallest share of all limits that is used while the demand is twice as high. A box that may send
/// to none of its replicas for a moment refuses requests, since no other box uses its share.
const MIN_USED_SHARE: f64 = 2.0 / 3.0;

/// Time until all boxes know that a limit has ended, in milliseconds: a sender probes the replica,
/// receives its answer, and the boxes gossip it.
const CLEARED_MS: u64 = PROBE_AFTER_MS + 3_000;

/// Returns the requests that a replica may get in a period: one and a half times what its limit
/// allows, plus five.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * SPAN_MS as f64 / 1_000.0 + 5.0).round() as usize
}

/// Returns the most requests that a limited replica got in a period since its limit took effect.
fn peak_limited(fleet: &ReplicaFleet) -> usize {
    let rows = fleet.limited_at.iter().enumerate();
    let bound = rows.filter_map(|(replica, at)| Some((replica, (*at)? + EFFECT_DELAY_MS)));
    bound.map(|(replica, from)| fleet.fullest_span(replica, from, SPAN_MS)).max().unwrap_or(0)
}

/// Boxes that know each other, with replicas.
fn start(boxes: usize, replicas: usize) -> ReplicaFleet {
    let mut fleet = ReplicaFleet::start(boxes, replicas, ServicePlan::default());
    fleet.play(0.1, 1_000);
    fleet.full_gossip = true;
    fleet
}

#[test]
fn replicas_with_a_limit_get_no_more_than_it_allows() {
    for (boxes, replicas) in SIZES {
        let mut fleet = start(boxes, replicas);
        let limited = replicas / 6;
        fleet.limits[..limited].fill(Some(LIMIT_PER_S));
        fleet.play(BURST, 12_000);

        let most = peak_limited(&fleet);
        println!(
            "{boxes} boxes: {most} requests in the fullest span, {} allowed",
            allowed(LIMIT_PER_S)
        );
        assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
        assert_eq!(fleet.refused, 0, "the other replicas take the rest");
    }
}

/// With limited replicas only: the most requests to one replica in a period, and the share of all
/// limits that was used.
fn all_limited(boxes: usize, replicas: usize, extra_draw: bool) -> (usize, f64) {
    let mut fleet = start(boxes, replicas);
    fleet.extra_draw = extra_draw;
    fleet.limits.fill(Some(LIMIT_PER_S));
    let bound_from = fleet.now + EFFECT_DELAY_MS;
    fleet.play(1.0, EFFECT_DELAY_MS + 3 * SPAN_MS);

    let most = peak_limited(&fleet);
    let got: usize = (0..replicas).map(|replica| fleet.got_since(replica, bound_from)).sum();
    let named = LIMIT_PER_S * (3 * SPAN_MS) as f64 / 1_000.0 * replicas as f64;
    println!("{boxes} boxes, all limited: {most} in the fullest span, {got} of {named:.0} used");
    (most, got as f64 / named)
}

#[test]
fn limited_replicas_alone_serve_requests_up_to_their_limits() {
    for (boxes, replicas) in SIZES {
        let (most, used) = all_limited(boxes, replicas, false);
        assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
        assert!(used >= MIN_USED_SHARE, "{boxes} boxes: {used}");
    }
}

#[test]
fn with_another_seed_limited_replicas_serve_requests_up_to_their_limits() {
    let (boxes, replicas) = SIZES[2];
    let (most, used) = all_limited(boxes, replicas, true);
    assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
    assert!(used >= MIN_USED_SHARE, "{boxes} boxes: {used}");
}

#[test]
fn the_end_of_a_limit_reaches_all_boxes() {
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
        assert_eq!(limited_on(&fleet), boxes, "all boxes know it");
        fleet.limits[0] = None;
        fleet.play(1.0, CLEARED_MS);
        assert_eq!(limited_on(&fleet), 0, "{boxes} boxes");
    }
}

/// Feeds the head of an answer from replica `a` with a limit.
fn name_limit(subject: &mut TestBox, limit_per_s: Option<f64>) {
    loop {
        let (ticket, order) = subject.sent(ask("/read/x"));
        let answer = AnswerHead { limit_per_s, ..head(200) };
        let response = if order.replica_id == "a" { answer } else { head(200) };
        subject.feed(RouteEvent::HeadReceived(ticket, response));
        subject.feed(RouteEvent::ResponseFinished(ticket));
        if order.replica_id == "a" {
            return;
        }
    }
}

/// A gossip message of another box with the limit of replica `a`.
fn limit_gossip(number: u64, per_s: Option<f64>, age_ms: u64) -> RouteEvent {
    let replica = ravenspoke_core::route::backend::backend_hash("a");
    let info = PeerInfo { gossip_address: "box-2:90".to_owned(), ..PeerInfo::default() };
    let limits = vec![LimitUpdate { replica, per_s, age_ms }];
    let message = GossipMessage {
        name: "box-2".to_owned(),
        number,
        info,
        limits,
        ..GossipMessage::default()
    };
    RouteEvent::GossipReceived(Box::new(message))
}

/// Returns how many of twenty requests go to replica `a`.
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
fn a_limit_received_from_another_box_applies() {
    let mut subject = ready_box();
    subject.feed(limit_gossip(1, Some(1.0), 200));
    assert!(sent_to_a(&mut subject) <= 1, "one at a time");
    subject.feed(limit_gossip(2, None, 100));
    assert!(sent_to_a(&mut subject) > 1, "its limit has ended");
}

#[test]
fn an_older_limit_update_does_not_replace_a_later_one() {
    let mut subject = ready_box();
    subject.now += LIMIT_GOSSIP_MS;
    name_limit(&mut subject, Some(1.0));
    subject.feed(limit_gossip(1, None, 500));
    assert!(sent_to_a(&mut subject) <= 1, "the report of the replica itself is later");
    subject.feed(limit_gossip(2, None, LIMIT_GOSSIP_MS));
    assert!(sent_to_a(&mut subject) <= 1, "an update that is too old does not count");
}

#[test]
fn an_answer_that_ran_nothing_does_not_clear_a_limit() {
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
fn a_limit_without_updates_expires() {
    let mut subject = ready_box();
    name_limit(&mut subject, Some(0.0));
    assert!(sent_to_a(&mut subject) <= 1);
    subject.now += LIMIT_KEPT_MS;
    subject.read_plan(Some(plan(1)));
    assert!(sent_to_a(&mut subject) > 1);
}

#[test]
fn with_all_replicas_limited_callers_get_a_retry_time_at_once() {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    name_limit(&mut subject, Some(1.0));
    let refusal = subject.refused(ask("/file/x"));
    assert!(is_refused(refusal, 503, RefusalReason::ReplicasLimited));
    assert!(refusal.retry_after_ms.is_some_and(|after| (1..=1_000).contains(&after)));
}

#[test]
fn a_burst_after_low_load_stays_within_a_replicas_limit() {
    for (boxes, replicas) in SIZES {
        let mut fleet = start(boxes, replicas);
        let limited = replicas / 6;
        fleet.limits[..limited].fill(Some(LIMIT_PER_S));
        fleet.play(1.0, EFFECT_DELAY_MS);
        fleet.play(0.01, 8_000);
        fleet.play(BURST, 2 * SPAN_MS);

        let most = peak_limited(&fleet);
        println!("{boxes} boxes, burst after a quiet time: {most} in the fullest span");
        assert!(most <= allowed(LIMIT_PER_S), "{boxes} boxes: {most}");
    }
}
