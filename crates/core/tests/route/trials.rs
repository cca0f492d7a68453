//! Trials of new versions: which sessions they get, what counts as evidence, the verdict, and which
//! box writes it.

use ravenspoke_core::route::event::{AttemptFailure, CallerRequest, RouteEffect, RouteEvent};
use ravenspoke_core::route::peers::PeerInfo;
use ravenspoke_core::route::trial::{TrialOrder, TrialState, TrialVerdict};
use ravenspoke_core::route::trial_evidence::FaultTests;
use ravenspoke_core::route::trial_progress::{TrialPhase, TrialProgress};
use ravenspoke_core::route::trial_stats::{TrialFault, TrialStats, VersionStats};
use ravenspoke_core::time::BoxTime;

use crate::fixture::{ask, entry, head, new_box, order_in, plan, ready_box, session, TestBox};

fn order() -> TrialOrder {
    TrialOrder { service: "pool".to_owned(), version: "v2".to_owned(), duration_ms: 10_000 }
}

fn verdict(state: TrialState) -> TrialVerdict {
    TrialVerdict { service: "pool".to_owned(), version: "v2".to_owned(), state }
}

/// A box with two replicas of each version, and an order to roll out `v2` within ten seconds.
fn trial_box() -> TestBox {
    let mut subject = ready_box();
    subject.put(entry("c", "v2"));
    subject.put(entry("d", "v2"));
    subject.give_order(order());
    let read = verdicts_read(&subject, vec![verdict(TrialState::Running)]);
    subject.feed(read);
    subject
}

/// Advances the time, reads the plan again, and ticks.
fn advance(subject: &mut TestBox, millis: u64) -> Vec<RouteEffect> {
    subject.now += millis;
    subject.read_plan(None);
    subject.feed(RouteEvent::Tick)
}

/// Version that serves a session's request; `v2` answers with `status`.
fn serve(subject: &mut TestBox, session: u64, status: u16) -> String {
    let request = CallerRequest { session, ..ask("/file/x") };
    let (ticket, order) = subject.sent(request);
    let status = if order.version == "v2" { status } else { 200 };
    subject.feed(RouteEvent::HeadReceived(ticket, head(status)));
    subject.feed(RouteEvent::ResponseFinished(ticket));
    order.version
}

/// A listing of the store's verdicts, requested now.
fn verdicts_read(subject: &TestBox, verdicts: Vec<TrialVerdict>) -> RouteEvent {
    RouteEvent::VerdictsRead { asked_at: BoxTime::from_millis(subject.now), verdicts }
}

fn due_verdict(effects: &[RouteEffect]) -> Option<TrialState> {
    effects.iter().find_map(|effect| match effect {
        RouteEffect::WriteVerdict(verdict) => Some(verdict.state),
        _ => None,
    })
}

#[test]
fn no_session_is_moved_in_the_first_half() {
    let mut subject = trial_box();
    advance(&mut subject, 5_000);
    for number in 1..200 {
        assert_eq!(serve(&mut subject, session(number), 200), "v1");
    }
}

#[test]
fn a_session_moved_in_the_second_half_is_never_moved_back() {
    let mut subject = trial_box();
    advance(&mut subject, 5_500);
    let moved: Vec<u64> =
        (1..400).map(session).filter(|key| serve(&mut subject, *key, 200) == "v2").collect();
    let share = moved.len() as f64 / 399.0;
    assert!((0.05..0.2).contains(&share), "{share}");
    for millis in [500, 1_500, 1_000, 500] {
        advance(&mut subject, millis);
        assert!(moved.iter().all(|key| serve(&mut subject, *key, 200) == "v2"));
    }
}

/// Serves sessions until the box finds the version on trial bad, with half of its responses being
/// failures, and returns the sessions.
fn serve_until_bad(subject: &mut TestBox) -> Vec<u64> {
    let mut served = Vec::new();
    while !is_bad(subject) {
        let number = served.len() as u64 + 1;
        served.push(session(number));
        serve(subject, session(number), if number % 2 == 0 { 500 } else { 200 });
    }
    served
}

/// Whether there is a finding against the version on trial now.
fn is_bad(subject: &TestBox) -> bool {
    subject.state.dump(BoxTime::default()).trials[0].is_bad()
}

#[test]
fn a_bad_version_is_rolled_back_and_gets_no_more_requests() {
    let mut subject = trial_box();
    advance(&mut subject, 5_500);
    let mut exposed = 0;
    for number in 1..400 {
        let status = if number % 2 == 0 { 500 } else { 200 };
        exposed += usize::from(serve(&mut subject, session(number), status) == "v2");
        // The store accepts a verdict at once.
        let (ticket, effects) = subject.arrive(ask("/file/x"));
        subject.feed(RouteEvent::CallerDisconnected(ticket));
        if let Some(state) = due_verdict(&effects) {
            assert_eq!(state, TrialState::RolledBack);
            subject.feed(RouteEvent::VerdictStored(verdict(state)));
        }
    }
    assert!(exposed < 30, "{exposed} of 399 requests got the bad version");
    assert_eq!(serve(&mut subject, session(2), 200), "v1");
}

#[test]
fn a_box_that_finds_a_version_bad_moves_no_session_back_before_the_verdict_is_stored() {
    let mut subject = trial_box();
    advance(&mut subject, 5_500);
    let served = serve_until_bad(&mut subject);
    let version = |subject: &mut TestBox, session: &u64| {
        let (ticket, order) = subject.sent(CallerRequest { session: *session, ..ask("/file/x") });
        subject.feed(RouteEvent::CallerDisconnected(ticket));
        order.version
    };
    let on_new = |subject: &mut TestBox| {
        served.iter().filter(|session| version(subject, session) == "v2").count()
    };
    assert!(on_new(&mut subject) > 0, "the version keeps its sessions, as on other boxes");

    assert_eq!(due_verdict(&advance(&mut subject, 1_000)), Some(TrialState::RolledBack));
    assert!(on_new(&mut subject) > 0);
    subject.feed(RouteEvent::VerdictStored(verdict(TrialState::RolledBack)));

    assert_eq!(on_new(&mut subject), 0);
}

#[test]
fn a_bad_version_is_ejected_after_three_seconds_without_the_store() {
    let mut subject = trial_box();
    advance(&mut subject, 5_500);
    serve_until_bad(&mut subject);
    for _ in 0..15 {
        subject.feed(RouteEvent::StoreFailed);
        advance(&mut subject, 200);
    }
    subject.feed(RouteEvent::StoreFailed);
    advance(&mut subject, 200);
    assert!((1..200).all(|number| serve(&mut subject, session(number), 200) == "v1"));
}

#[test]
fn temporary_evidence_before_a_verdict_moves_no_session() {
    let mut subject = trial_box();
    advance(&mut subject, 5_500);
    let versions = |subject: &mut TestBox| {
        let asked = |number| {
            let request = CallerRequest { session: session(number), ..ask("/file/x") };
            let (ticket, order) = subject.sent(request);
            subject.feed(RouteEvent::CallerDisconnected(ticket));
            order.version
        };
        (1..100).map(asked).collect::<Vec<String>>()
    };
    let before = versions(&mut subject);
    serve_until_bad(&mut subject);
    assert_eq!(versions(&mut subject), before);
    // From now on the old version fails as well, so that the new one is no worse.
    for number in 1_000..1_400 {
        let (ticket, order) =
            subject.sent(CallerRequest { session: session(number), ..ask("/file/x") });
        let status = if order.version == "v1" { 500 } else { 200 };
        subject.feed(RouteEvent::HeadReceived(ticket, head(status)));
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
    assert!(!is_bad(&subject));
    assert_eq!(due_verdict(&advance(&mut subject, 200)), None);
    assert_eq!(versions(&mut subject), before);
}

#[test]
fn a_stream_is_resumed_by_the_version_that_began_it() {
    for number in 1..40 {
        let mut subject = trial_box();
        advance(&mut subject, 4_900);
        let request = CallerRequest { session: session(number), ..ask("/chat/x") };
        let (ticket, first) = subject.sent(request);
        assert_eq!(first.version, "v1");
        assert_eq!(
            subject.feed(RouteEvent::HeadReceived(ticket, head(200))),
            [RouteEffect::Relay(ticket)]
        );
        // The second half begins: a fifth of the sessions goes to the new version.
        advance(&mut subject, 600);
        let failed = RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken);
        let next = order_in(&subject.feed(failed)).expect("another replica resumes it");
        assert_eq!(next.version, "v1", "session {number}");
    }
}

#[test]
fn a_stream_of_a_rolled_back_version_is_resumed_by_another_version() {
    let mut subject = trial_box();
    advance(&mut subject, 5_500);
    let moved = (1..).map(session).find(|key| serve(&mut subject, *key, 200) == "v2");
    let session = moved.expect("a session that is moved");
    let (ticket, _) = subject.sent(CallerRequest { session, ..ask("/chat/x") });
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    subject.feed(RouteEvent::VerdictStored(verdict(TrialState::RolledBack)));
    let failed = RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken);
    let next = order_in(&subject.feed(failed)).expect("another replica resumes it");
    assert_eq!(next.version, "v1");
}

#[test]
fn a_stream_of_an_accepted_version_is_resumed_by_it() {
    let mut subject = trial_box();
    subject.feed(RouteEvent::VerdictStored(verdict(TrialState::Done)));
    let (ticket, first) = subject.sent(ask("/chat/x"));
    assert_eq!(first.version, "v2");
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    let failed = RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken);
    let next = order_in(&subject.feed(failed)).expect("another replica resumes it");
    assert_eq!(next.version, "v2", "the old replicas are about to stop");
}

#[test]
fn a_good_version_is_accepted_before_its_duration_ends() {
    let mut subject = trial_box();
    for millis in [2_500, 3_000] {
        advance(&mut subject, millis);
        (1..200).for_each(|number| drop(serve(&mut subject, session(number), 200)));
    }
    (0..18).for_each(|_| drop(advance(&mut subject, 200)));
    assert_eq!(serve(&mut subject, session(1), 200), "v2", "it carries all sessions for a while");
    let effects = advance(&mut subject, 200);
    assert_eq!(due_verdict(&effects), Some(TrialState::Done));
}

#[test]
fn a_version_without_responses_is_not_accepted() {
    let mut subject = trial_box();
    assert_eq!(due_verdict(&advance(&mut subject, 9_500)), None);
}

#[test]
fn the_version_on_trial_serves_when_no_old_replica_is_left() {
    let mut subject = trial_box();
    subject.drop_entry("a");
    subject.drop_entry("b");
    assert_eq!(serve(&mut subject, session(1), 200), "v2");
}

#[test]
fn a_started_box_reads_verdicts_before_it_serves() {
    let mut subject = new_box("box-1");
    subject.give_order(order());
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    assert!(subject.state.has_unread_verdicts() && !subject.state.is_synced());
    let read = verdicts_read(&subject, Vec::new());
    subject.feed(read);
    assert!(subject.state.is_synced());
}

#[test]
fn a_new_order_needs_no_read_of_its_verdict() {
    let mut subject = ready_box();
    subject.give_order(order());
    assert!(!subject.state.has_unread_verdicts() && !subject.state.has_unread_checkpoints());
    assert!(subject.state.is_synced());
}

#[test]
fn the_verdict_of_a_possibly_old_order_is_read() {
    let mut subject = ready_box();
    subject.now += order().duration_ms / 4;
    subject.give_order(order());
    assert!(subject.state.has_unread_verdicts() && !subject.state.is_synced());
}

#[test]
fn a_verdict_is_never_reversed() {
    let mut subject = trial_box();
    let read = verdicts_read(&subject, vec![verdict(TrialState::RolledBack)]);
    subject.feed(read);
    let read = verdicts_read(&subject, vec![verdict(TrialState::Done)]);
    subject.feed(read);
    advance(&mut subject, 6_000);
    for number in 1..100 {
        assert_eq!(serve(&mut subject, session(number), 200), "v1");
    }
}

#[test]
fn the_next_box_writes_a_verdict_that_the_first_did_not_write() {
    let mut subject = ready_box();
    subject.feed(RouteEvent::GossipReceived(Box::new(
        ravenspoke_core::route::peers::GossipMessage {
            name: "box-3".to_owned(),
            number: 1,
            info: PeerInfo {
                gossip_address: "box-3:90".to_owned(),
                open: true,
                ..PeerInfo::default()
            },
            ..Default::default()
        },
    )));
    subject.give_order(order());
    assert_eq!(due_verdict(&subject.feed(RouteEvent::Tick)), None, "box-3 has the first turn");
    subject.now += 600;
    assert_eq!(due_verdict(&subject.feed(RouteEvent::Tick)), Some(TrialState::Running));
}

#[test]
fn the_evidence_of_other_boxes_counts() {
    let mut sender = trial_box();
    advance(&mut sender, 5_500);
    for number in 1..100 {
        serve(&mut sender, session(number), 500);
    }
    let dump = sender.state.dump(Default::default());
    let stats = dump.trials[0].own.clone();
    let mut other = trial_box();
    other.feed(RouteEvent::GossipReceived(Box::new(
        ravenspoke_core::route::peers::GossipMessage {
            name: "box-9".to_owned(),
            number: 1,
            trials: vec![ravenspoke_core::route::peers::TrialUpdate {
                service: "pool".to_owned(),
                version: "v2".to_owned(),
                progress: TrialProgress {
                    phase: TrialPhase::Shared,
                    age_ms: 5_500,
                    ..Default::default()
                },
                checkpoint: TrialProgress::default(),
                stats,
                ..Default::default()
            }],
            ..Default::default()
        },
    )));
    assert_eq!(due_verdict(&other.feed(RouteEvent::Tick)), Some(TrialState::RolledBack));
}

/// Responses and failures of the version on trial and of the others, as this box counted them.
fn own_counts(subject: &TestBox) -> [(f64, f64); 2] {
    let dump = subject.state.dump(Default::default());
    let sum = |side: fn(&TrialStats) -> &VersionStats| {
        let rows = dump.trials[0].own.values().map(side);
        rows.fold((0.0, 0.0), |sum, row| (sum.0 + row.runs, sum.1 + row.bad))
    };
    [sum(|row| &row.canary), sum(|row| &row.baseline)]
}

#[test]
fn a_response_of_the_version_on_trial_counts_for_it_when_no_other_replica_was_left() {
    let mut subject = trial_box();
    subject.drop_entry("a");
    subject.drop_entry("b");
    assert_eq!(serve(&mut subject, session(1), 500), "v2");
    assert_eq!(own_counts(&subject), [(1.0, 1.0), (0.0, 0.0)]);
}

#[test]
fn an_attempt_that_stalls_repeatedly_counts_once_against_its_version() {
    let mut subject = trial_box();
    let (ticket, order) = subject.sent(ask("/chat/x"));
    for id in ["a", "b", "c", "d"].into_iter().filter(|id| *id != order.replica_id) {
        subject.drop_entry(id);
    }
    for _ in 0..4 {
        assert_eq!(subject.feed(RouteEvent::AttemptStalled(ticket)), []);
    }
    subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    advance(&mut subject, 5_000);
    assert_eq!(own_counts(&subject), [(0.0, 0.0), (1.0, 1.0)]);
}

#[test]
fn an_attempt_that_times_out_before_a_head_counts_against_its_version() {
    let mut subject = trial_box();
    let (ticket, _) = subject.sent(ask("/file/x"));
    subject.feed(RouteEvent::DeadlinePassed(ticket));
    advance(&mut subject, 5_000);
    assert_eq!(own_counts(&subject), [(0.0, 0.0), (1.0, 1.0)]);
}

/// Breaks `count` responses of replica `c`, the only one of the new version.
fn break_responses(subject: &mut TestBox, count: usize) {
    let mut broken = 0;
    for number in 1.. {
        let (ticket, order) =
            subject.sent(CallerRequest { session: session(number), ..ask("/file/x") });
        if order.version == "v2" {
            subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
            broken += 1;
        } else {
            subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
            subject.feed(RouteEvent::ResponseFinished(ticket));
        }
        if broken == count {
            return;
        }
    }
}

/// A box in the second half of a trial whose new version has one replica, `c`.
fn trial_box_with_one_new_replica() -> TestBox {
    let mut subject = trial_box();
    subject.drop_entry("d");
    advance(&mut subject, 5_500);
    subject
}

#[test]
fn responses_lost_with_a_replica_do_not_count_against_its_version() {
    let mut subject = trial_box_with_one_new_replica();
    break_responses(&mut subject, 12);
    subject.now += 4_000;
    subject.drop_entry("c");
    let effects = advance(&mut subject, 200);
    assert_eq!(own_counts(&subject)[0], (0.0, 0.0));
    assert_eq!(due_verdict(&effects), None);
}

#[test]
fn responses_lost_by_a_replica_that_keeps_serving_count_against_its_version() {
    let mut subject = trial_box_with_one_new_replica();
    break_responses(&mut subject, 12);
    let answered = (1..).any(|number| serve(&mut subject, session(number), 200) == "v2");
    assert!(answered && is_bad(&subject), "{:?}", own_counts(&subject));
    assert_eq!(own_counts(&subject)[0], (13.0, 12.0));
}

#[test]
fn responses_lost_by_a_listed_replica_count_against_its_version_after_five_seconds() {
    let mut subject = trial_box_with_one_new_replica();
    break_responses(&mut subject, 12);
    assert_eq!(due_verdict(&advance(&mut subject, 4_800)), None);
    assert_eq!(due_verdict(&advance(&mut subject, 200)), Some(TrialState::RolledBack));
}

#[test]
fn verdicts_listed_before_an_order_was_received_do_not_count_for_it() {
    let mut subject = new_box("box-1");
    let asked_at = BoxTime::from_millis(subject.now);
    subject.now += 20;
    subject.give_order(order());
    subject.now += 20;
    subject.feed(RouteEvent::VerdictsRead { asked_at, verdicts: Vec::new() });
    assert!(subject.state.has_unread_verdicts());
    let read = verdicts_read(&subject, Vec::new());
    subject.feed(read);
    assert!(!subject.state.has_unread_verdicts());
}

/// Statistics of `quick` responses of 100 ms and `slow` ones that take six times as long.
fn timed_stats(quick: u32, slow: u32) -> VersionStats {
    let mut stats = VersionStats::default();
    (0..quick).for_each(|_| stats.add(false, Some(100.0)));
    (0..slow).for_each(|_| stats.add(false, Some(600.0)));
    stats
}

#[test]
fn a_few_slow_responses_are_no_finding_and_many_are() {
    let fault = |quick, slow| {
        let stats = TrialStats { canary: timed_stats(quick, slow), baseline: timed_stats(52, 0) };
        let finding = FaultTests::default().finding(&[("file".to_owned(), stats)].into());
        finding.map(|finding| finding.fault)
    };
    assert_eq!(fault(9, 5), None, "five of fourteen may be slow because of cold caches");
    assert_eq!(fault(27, 15), Some(TrialFault::Slower), "the same share of three times as many");
}

// Guards against acceptance without any comparison of times.
#[test]
fn few_times_on_each_route_do_not_show_that_a_version_is_as_fast() {
    let doubt = |count| {
        let stats = TrialStats { canary: timed_stats(count, 0), baseline: timed_stats(100, 0) };
        let routes = ["chat", "file", "read"].map(|route| (route.to_owned(), stats));
        FaultTests::default().doubt(&routes.into()).map(|doubt| doubt.fault)
    };
    assert_eq!(doubt(5), Some(TrialFault::Slower));
    assert_eq!(doubt(20), None);
}

// Guards against a bound that grows with each retry.
#[test]
fn a_request_that_is_sent_twice_counts_once_towards_the_bound() {
    let mut subject = trial_box();
    let (ticket, _) = subject.sent(ask("/read/x"));

    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(500)));

    assert!(order_in(&effects).is_some(), "it is sent again");
    assert_eq!(subject.state.dump(Default::default()).trials[0].exposure.total().all, 1);
}
