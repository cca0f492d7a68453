//! Boxes that start during a trial: what began before their start keeps its age.
//!
//! Six of seven boxes restarted shortly before the second half of a rollout of 24 s. Ages that
//! reached back beyond the start of a box were limited to the time since its start, so that those
//! boxes counted the order's age from their own start: 22 s after the order, one of them counted
//! 9.3 s. They gave the new version no sessions while the seventh box gave it all, which moved
//! sessions back and forth, and the verdict was 1.7 s late. The same error made old knowledge of
//! keys appear recent.

use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::backend::BackendChange;
use ravenspoke_core::route::event::{CallerRequest, RefusalReason, RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::{
    GossipMessage, PeerInfo, SyncRequest, TrialUpdate, START_SPREAD_MS, START_WAIT_MS,
};
use ravenspoke_core::route::startup::{ACCEPT_AFTER_PLAN_MS, ACCEPT_AFTER_READ_MS};
use ravenspoke_core::route::trial::{TrialOrder, TrialState, TrialVerdict, CARRY_LEAD_MS};
use ravenspoke_core::route::trial_progress::{TrialCheckpoint, TrialPhase, TrialProgress};
use ravenspoke_core::route::trial_stats::{TrialStats, VersionStats};
use ravenspoke_core::route::version_history::VersionHistory;
use ravenspoke_core::time::BoxTime;

use crate::fixture::{
    ask, at, entry, gossip_in, head, is_refused, new_box, plan, ready_box, session, TestBox,
};
use crate::plan_fleet::fleet_with_replicas;

/// Duration of the trial, in milliseconds.
const ORDER_MS: u64 = 10_000;

/// A time at which no session gets the version yet, in milliseconds after the order.
const HELD_AT_MS: u64 = 2_500;

/// When the version gets its share of the sessions, and when it gets all, in milliseconds after the
/// order.
const SHARED_AT_MS: u64 = 7_000;
const CARRIED_AT_MS: u64 = 9_500;

/// When the first of two boxes has counted enough responses, in milliseconds after the order.
const COUNTED_AT_MS: u64 = 8_500;

fn order() -> TrialOrder {
    let (service, version) = ("pool".to_owned(), "v2".to_owned());
    TrialOrder { service, version, duration_ms: ORDER_MS }
}

/// A box that has just started and has read the store: a plan, two replicas of each version, the
/// order, and that its trial is running.
fn started_box(name: &str) -> TestBox {
    let mut subject = new_box(name);
    // The order is read before the plan: a box that knew the plan before would take the order for
    // new.
    subject.give_order(order());
    subject.read_plan(Some(plan(1)));
    for (id, version) in [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")] {
        subject.put(entry(id, version));
    }
    let TrialOrder { service, version, .. } = order();
    let running = TrialVerdict { service, version, state: TrialState::Running };
    let asked_at = BoxTime::from_millis(subject.now);
    subject.feed(RouteEvent::VerdictsRead { asked_at, verdicts: vec![running] });
    subject
}

/// A box that has served from the order until `age_ms` after it.
fn box_without_restart(age_ms: u64) -> TestBox {
    let mut subject = started_box("box-1");
    subject.now += age_ms;
    subject.read_plan(None);
    for number in 1..200 {
        version_of(&mut subject, session(number));
    }
    subject
}

/// Next gossip message of a box.
fn next_gossip(subject: &mut TestBox) -> GossipMessage {
    subject.feed(RouteEvent::PeersDiscovered(vec!["box-2:90".to_owned()]));
    subject.now += 500;
    gossip_in(&subject.feed(RouteEvent::Tick)).expect("it sends gossip")
}

/// Version of the replica that serves a request of the session.
fn version_of(subject: &mut TestBox, session: u64) -> String {
    let (ticket, order) = subject.sent(CallerRequest { session, ..ask("/file/x") });
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    subject.feed(RouteEvent::ResponseFinished(ticket));
    order.version
}

/// Sessions that a box without a restart and a restarted one route to different versions, `age_ms`
/// after the order.
fn split_sessions(age_ms: u64) -> Vec<u64> {
    let mut running = box_without_restart(age_ms);
    let mut started = started_box("box-2");
    started.feed(RouteEvent::GossipReceived(Box::new(next_gossip(&mut running))));
    running.read_plan(None);
    let split = |number: &u64| {
        let key = session(*number);
        version_of(&mut running, key) != version_of(&mut started, key)
    };
    (1..200).filter(split).collect()
}

#[test]
fn box_started_during_a_trial_routes_sessions_like_the_others() {
    assert_eq!(split_sessions(SHARED_AT_MS), [0; 0], "while the version gets a share");
    assert_eq!(split_sessions(CARRIED_AT_MS), [0; 0], "while the version gets all sessions");
}

// If each box moved all sessions as soon as it had counted enough responses, a restarted box, which
// receives the statistics of the others later, would move sessions back meanwhile.
#[test]
fn boxes_move_all_sessions_at_the_same_time_despite_late_statistics() {
    let (mut running, mut started) = (started_box("box-1"), started_box("box-2"));
    for millis in [HELD_AT_MS, COUNTED_AT_MS - HELD_AT_MS] {
        for subject in [&mut running, &mut started] {
            subject.now += millis;
            subject.read_plan(None);
        }
        (1..200).for_each(|number| drop(version_of(&mut running, session(number))));
    }
    running.feed(RouteEvent::PeersDiscovered(vec!["box-2:90".to_owned()]));
    let on_old = |number: &u64| version_of(&mut started, session(*number)) == "v1";
    let kept: Vec<u64> = (1..20).filter(on_old).collect();

    let (mut given, mut messages) = (Vec::new(), Vec::new());
    for step in 1..=15 {
        messages.extend(gossip_in(&running.feed(RouteEvent::Tick)));
        if step == 5 {
            let sent = messages.drain(..).filter(|message: &GossipMessage| message.name == "box-1");
            let events = sent.map(|message| RouteEvent::GossipReceived(Box::new(message)));
            events.for_each(|event| drop(started.feed(event)));
        }
        let versions = [&mut running, &mut started].map(|subject| {
            subject.now += 100;
            subject.read_plan(None);
            messages.extend(gossip_in(&subject.feed(RouteEvent::Tick)));
            kept.iter().map(|number| version_of(subject, session(*number))).collect::<Vec<_>>()
        });
        assert_eq!(versions[0], versions[1], "{} ms later", step * 100);
        given.push(versions[0].iter().all(|version| version == "v2"));
    }
    assert!(!given[0] && given[14], "{given:?}");
}

/// Time until all of `count` boxes know when the version gets full traffic, once one box knows it,
/// in milliseconds.
fn ms_until_all_settled(count: usize) -> Option<u64> {
    let mut fleet = fleet_with_replicas(count);
    fleet.run_until(10_000);
    for number in 0..count {
        let read_to = TopicPosition::new(1, 1);
        fleet.feed(number, RouteEvent::OrdersRead { read_to, orders: vec![order()] });
    }
    let mut settled = checkpoint(TrialPhase::Shared, SHARED_AT_MS);
    settled.progress.carries_at_ms = Some(CARRIED_AT_MS);
    fleet.feed(count / 2, RouteEvent::CheckpointStored(settled));

    fleet.until_all(2 * CARRY_LEAD_MS, |state| {
        state.dump(BoxTime::default()).trials.iter().all(|trial| trial.carries_at_ms.is_some())
    })
}

#[test]
fn all_boxes_know_the_time_of_full_traffic_before_it_comes() {
    for count in [3, 84, 295] {
        let after = ms_until_all_settled(count);
        assert!(after.is_some_and(|after_ms| after_ms < CARRY_LEAD_MS), "{count}: {after:?}");
    }
}

/// Progress of a trial that is written to the store.
fn checkpoint_in(effects: &[RouteEffect]) -> Option<TrialProgress> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::WriteCheckpoint(checkpoint) => Some(checkpoint.progress),
        _ => None,
    })
}

/// A checkpoint of the trial.
fn checkpoint(phase: TrialPhase, age_ms: u64) -> TrialCheckpoint {
    let progress = TrialProgress { phase, age_ms, ..TrialProgress::default() };
    let history = VersionHistory::default();
    TrialCheckpoint { service: "pool".to_owned(), version: "v2".to_owned(), progress, history }
}

#[test]
fn checkpoints_are_written_at_each_25th_of_the_time_and_at_each_phase() {
    let mut subject = started_box("box-1");
    let mut checkpoints = Vec::new();
    for _ in 0..30 {
        subject.now += 200;
        subject.read_plan(None);
        if let Some(progress) = checkpoint_in(&subject.feed(RouteEvent::Tick)) {
            subject.feed(RouteEvent::CheckpointStored(checkpoint(progress.phase, progress.age_ms)));
            checkpoints.push((progress.phase, progress.age_ms));
        }
    }
    let (held, shared) = (TrialPhase::Held, TrialPhase::Shared);
    let while_held: Vec<_> = (1..=12).map(|step| (held, 400 * step)).collect();
    assert_eq!(checkpoints[..12], while_held);
    assert_eq!(
        checkpoints[12..],
        [(shared, 5_200), (shared, 5_600), (shared, 6_000)],
        "the version gets its share from 5,150 ms on"
    );
}

#[test]
fn box_started_during_a_trial_reads_its_checkpoint_before_it_serves() {
    let mut subject = started_box("box-2");
    assert!(subject.state.has_unread_checkpoints() && !subject.state.is_synced());

    let asked_at = BoxTime::from_millis(subject.now);
    let checkpoints = vec![checkpoint(TrialPhase::Shared, SHARED_AT_MS)];
    subject.feed(RouteEvent::CheckpointsRead { asked_at, checkpoints });

    assert!(subject.state.is_synced());
    let mut running = box_without_restart(SHARED_AT_MS);
    let split = |number: &u64| {
        let key = session(*number);
        version_of(&mut running, key) != version_of(&mut subject, key)
    };
    assert_eq!((1..200).filter(split).count(), 0);
}

/// A box whose turn to read the store comes as late as possible: it knows an order and a plan, and
/// nothing else.
fn box_that_read_late() -> TestBox {
    let mut subject = new_box("box-2");
    subject.feed(RouteEvent::Tick);
    subject.now += START_WAIT_MS + START_SPREAD_MS;
    subject.give_order(order());
    subject.read_plan(Some(plan(1)));
    subject
}

#[test]
fn box_that_read_the_plan_late_accepts_callers_only_when_synced() {
    let mut subject = box_that_read_late();
    let accepts =
        |subject: &TestBox| subject.state.accepts_callers(BoxTime::from_millis(subject.now));
    assert!(!accepts(&subject), "it knows neither a replica nor the progress of the trial");

    subject.now += 60;
    subject.put(entry("a", "v1"));
    let asked_at = BoxTime::from_millis(subject.now);
    subject.feed(RouteEvent::VerdictsRead { asked_at, verdicts: Vec::new() });

    assert!(accepts(&subject), "it is synced");
}

#[test]
fn box_with_only_a_plan_accepts_callers_after_a_delay() {
    let mut subject = box_that_read_late();

    subject.now += ACCEPT_AFTER_PLAN_MS;

    assert!(subject.state.accepts_callers(BoxTime::from_millis(subject.now)));
}

#[test]
fn box_that_received_only_the_plan_lists_replicas_before_it_accepts_callers() {
    let mut subject = new_box("box-2");
    subject.feed(RouteEvent::Tick);
    subject.read_plan(Some(plan(1)));
    let lists =
        |subject: &TestBox| subject.state.must_read_entries(BoxTime::from_millis(subject.now));
    let accepts =
        |subject: &TestBox| subject.state.accepts_callers(BoxTime::from_millis(subject.now));

    while !lists(&subject) {
        assert!(!accepts(&subject), "{} ms: it knows no replica", subject.now);
        subject.now += 1;
    }

    assert!(!accepts(&subject), "the listing is in progress");
    subject.now += ACCEPT_AFTER_PLAN_MS;
    assert!(accepts(&subject));
}

#[test]
fn box_without_a_plan_accepts_callers_after_its_own_read_is_due() {
    let mut subject = new_box("box-2");
    subject.feed(RouteEvent::Tick);

    subject.now += START_WAIT_MS + START_SPREAD_MS + ACCEPT_AFTER_READ_MS;

    assert!(subject.state.accepts_callers(BoxTime::from_millis(subject.now)));
}

#[test]
fn trial_known_from_its_beginning_has_no_checkpoint_to_read() {
    let mut subject = ready_box();
    subject.give_order(order());
    let asked_at = BoxTime::from_millis(subject.now);
    subject.feed(RouteEvent::VerdictsRead { asked_at, verdicts: Vec::new() });
    assert!(!subject.state.has_unread_checkpoints() && subject.state.is_synced());
}

#[test]
fn box_that_knows_one_replica_from_gossip_waits_for_the_others() {
    let mut subject = new_box("box-2");
    subject.read_plan(Some(plan(1)));
    let change = BackendChange { id: "a".to_owned(), at: at(9), entry: Some(entry("a", "v1")) };
    let info = PeerInfo { gossip_address: "box-1:90".to_owned(), ..PeerInfo::default() };
    let message = GossipMessage {
        name: "box-1".to_owned(),
        number: 1,
        info,
        changes: vec![change.clone()],
        ..GossipMessage::default()
    };

    subject.feed(RouteEvent::GossipReceived(Box::new(message)));

    let now = BoxTime::from_millis(subject.now);
    assert!(!subject.state.accepts_callers(now) && !subject.state.open(now), "there may be others");
    let other = BackendChange { id: "b".to_owned(), at: at(4), entry: Some(entry("b", "v1")) };
    subject.feed(RouteEvent::BackendsListed { end: at(10), listed: vec![other, change] });
    assert!(subject.state.accepts_callers(now) && subject.state.open(now));
}

/// Gossip with statistics of responses, none of which failed.
fn gossip_with_stats(name: &str, incarnation: u64, runs: u32) -> GossipMessage {
    let mut version = VersionStats::default();
    (0..runs).for_each(|_| version.add(false, Some(100.0)));
    let stats = TrialStats { canary: version, baseline: version };
    let trial = TrialUpdate {
        service: "pool".to_owned(),
        version: "v2".to_owned(),
        stats: [("file".to_owned(), stats)].into(),
        ..TrialUpdate::default()
    };
    GossipMessage {
        name: name.to_owned(),
        number: 1,
        info: PeerInfo { incarnation, gossip_address: format!("{name}:90"), ..PeerInfo::default() },
        trials: vec![trial],
        ..GossipMessage::default()
    }
}

#[test]
fn version_with_full_traffic_keeps_it_when_evidence_is_lost_with_a_box() {
    let mut subject = started_box("box-1");
    subject.now += CARRIED_AT_MS - CARRY_LEAD_MS;
    subject.read_plan(None);
    subject.feed(RouteEvent::GossipReceived(Box::new(gossip_with_stats("box-2", 1, 30))));
    subject.feed(RouteEvent::Tick);
    subject.now += CARRY_LEAD_MS;
    subject.read_plan(None);
    subject.feed(RouteEvent::Tick);
    let carried = |subject: &mut TestBox| {
        let moved = |number: &u64| version_of(subject, session(*number)) == "v2";
        (1..15).filter(moved).count()
    };
    assert_eq!(carried(&mut subject), 14, "the statistics of the other box prove it");

    subject.feed(RouteEvent::GossipReceived(Box::new(gossip_with_stats("box-2", 2, 0))));
    subject.feed(RouteEvent::Tick);

    assert_eq!(carried(&mut subject), 14, "no session is moved back");
}

#[test]
fn knowledge_from_before_the_start_of_a_box_keeps_its_age() {
    let mut reader = new_box("box-1");
    reader.read_plan(Some(plan(1)));
    reader.now += 4_500;
    let mut started = new_box("box-2");
    started.now = 200;
    let ask_of_starter = SyncRequest {
        gossip_address: "box-2:90".to_owned(),
        incarnation: 1,
        asked_at: BoxTime::from_millis(started.now),
        ..SyncRequest::default()
    };
    let message =
        gossip_in(&reader.feed(RouteEvent::SyncRequested(ask_of_starter))).expect("a response");

    let as_of = started.state.message_as_of(&message, BoxTime::from_millis(started.now));
    let asked_at = as_of.expect("it responds to this box");
    started.feed(RouteEvent::PlanRead {
        asked_at,
        read_to: message.plan_position.read_to,
        plan: Some(plan(1)),
    });
    started.put(entry("a", "v1"));
    started.now += 200;

    // The plan is 4.7 s old, so that the key may have been revoked.
    let refusal = started.refused(ask("/file/x"));
    assert!(is_refused(refusal, 503, RefusalReason::PlanStale), "{refusal:?}");
}
