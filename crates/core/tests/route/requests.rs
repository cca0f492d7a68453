//! Attempts of a request: what may be repeated, and what a refusal may state.

use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, CallerRequest, RefusalReason, RouteEffect, RouteEvent,
};
use ravenspoke_core::route::plan::RouteKind;
use ravenspoke_core::route::plan_freshness::FreshBounds;
use ravenspoke_core::route::retry_budget::BudgetBounds;
use ravenspoke_core::route::scheduling::loads::BackendLoad;
use ravenspoke_core::route::{RouteSettings, RouteState, STOP_ACCEPT_MS};

use crate::fixture::{
    ask, at, entry, head, is_refused, new_box, order_in, plan, ready_box, refusal_in, route,
    settings,
};

#[test]
fn a_call_that_may_have_run_is_never_resent_nor_reported_as_not_run() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/file/x"));
    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    assert_eq!(order_in(&effects), None);
    let refusal = refusal_in(&effects).expect("it is refused");
    assert!(is_refused(refusal, 502, RefusalReason::Failed));
    assert_eq!(refusal.retry_after_ms, None);
}

#[test]
fn a_call_that_a_replica_did_not_run_is_sent_to_another() {
    let mut subject = ready_box();
    let (ticket, first) = subject.sent(ask("/file/x"));
    let full = AnswerHead { not_run: true, ..head(503) };
    let second = order_in(&subject.feed(RouteEvent::HeadReceived(ticket, full))).expect("another");
    assert_ne!(first.replica_id, second.replica_id);
    assert_eq!(second.number, 2);
}

#[test]
fn full_replicas_refuse_with_a_retry_time() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/file/x"));
    let full = AnswerHead { not_run: true, ..head(503) };
    subject.feed(RouteEvent::HeadReceived(ticket, full));
    let refusal =
        refusal_in(&subject.feed(RouteEvent::HeadReceived(ticket, full))).expect("refused");
    assert!(is_refused(refusal, 503, RefusalReason::Full));
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn one_attempt_that_may_have_run_rules_out_not_run_for_good() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/read/x"));
    subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    let full = AnswerHead { not_run: true, ..head(503) };
    let refusal =
        refusal_in(&subject.feed(RouteEvent::HeadReceived(ticket, full))).expect("refused");
    assert_eq!(refusal.status, 502);
}

#[test]
fn attempts_stay_within_the_routes_limit() {
    let mut subject = ready_box();
    for id in ["c", "d", "e"] {
        subject.put(entry(id, "v1"));
    }
    let (ticket, _) = subject.sent(ask("/read/x"));
    let mut sends = 1;
    loop {
        let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
        match order_in(&effects) {
            Some(_) => sends += 1,
            None => break,
        }
    }
    assert_eq!(sends, 3);
}

#[test]
fn a_failed_connection_costs_no_attempt() {
    let mut subject = new_box("box-1");
    let mut single = plan(1);
    single.routes[1].attempts = 1;
    subject.read_plan(Some(single));
    subject.put(entry("a", "v1"));
    subject.put(entry("b", "v1"));
    let (ticket, first) = subject.sent(ask("/file/x"));
    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::NeverSent));
    let second = order_in(&effects).expect("another replica");
    assert_ne!(first.replica_id, second.replica_id);
    assert_eq!(second.number, 1);
}

/// Boxes learn of crashed replicas only by failed connections. When a quarter of 140 replicas
/// crashed, 257 requests were refused after a single failed connection: extra attempts of other
/// requests had spent the retry budget, although nothing of these 257 had reached a replica.
#[test]
fn a_failed_connection_costs_no_retry_budget() {
    for failure in [AttemptFailure::NeverSent, AttemptFailure::Withdrawn] {
        let mut subject = ready_box();
        for _ in 0..60 {
            let (ticket, _) = subject.sent(ask("/read/x"));
            subject.feed(RouteEvent::HeadReceived(ticket, head(500)));
            subject.feed(RouteEvent::CallerDisconnected(ticket));
        }
        let none = BudgetBounds { ratio: 0.0, slack: 0.0, window_ms: 10_000 };
        subject.state.set_bounds(FreshBounds { revoke_ms: None, apply_ms: 2_000 }, none);

        let (ticket, first) = subject.sent(ask("/file/x"));
        let effects = subject.feed(RouteEvent::AttemptFailed(ticket, failure));
        let second = order_in(&effects).expect("another replica gets it");
        assert_ne!(first.replica_id, second.replica_id);

        let (ticket, _) = subject.sent(ask("/read/x"));
        let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(500)));
        assert_eq!(
            effects,
            [RouteEffect::Relay(ticket)],
            "a request that arrived is not sent again"
        );
    }
}

#[test]
fn a_failed_answer_is_retried_where_allowed_and_else_relayed() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/read/x"));
    assert!(order_in(&subject.feed(RouteEvent::HeadReceived(ticket, head(500)))).is_some());
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(500)));
    assert_eq!(effects, [RouteEffect::Relay(ticket)], "the replica's own failure is the answer");

    let (ticket, _) = subject.sent(ask("/file/x"));
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(500)));
    assert_eq!(effects, [RouteEffect::Relay(ticket)]);
}

#[test]
fn an_unproven_answer_is_never_relayed() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/file/x"));
    let unproven = AnswerHead { proven: false, ..head(200) };
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, unproven));
    assert_eq!(refusal_in(&effects).expect("it is refused").status, 502);
}

#[test]
fn a_stall_alone_ends_no_request() {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    let (ticket, _) = subject.sent(ask("/chat/x"));
    assert_eq!(subject.feed(RouteEvent::AttemptStalled(ticket)), [], "there is no other replica");
    subject.put(entry("b", "v1"));
    assert!(order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).is_some());
}

#[test]
fn a_stream_moves_to_the_last_replica_only_after_a_long_stall() {
    let mut subject = ready_box();
    subject.put(entry("c", "v1"));
    // Stalls may use a twentieth of the traffic, so two extra attempts need forty requests.
    for _ in 0..40 {
        let (ticket, _) = subject.sent(ask("/read/x"));
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
    let (ticket, _) = subject.sent(ask("/chat/x"));
    assert!(order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).is_some());
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    assert_eq!(subject.feed(RouteEvent::AttemptStalled(ticket)), []);
    assert_eq!(subject.feed(RouteEvent::AttemptStalled(ticket)), []);
    assert!(order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).is_some());
}

#[test]
fn a_stalled_call_that_may_run_only_once_is_not_resent() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/file/x"));
    assert_eq!(subject.feed(RouteEvent::AttemptStalled(ticket)), []);
}

#[test]
fn a_broken_stream_resumes_elsewhere_and_no_error_is_appended() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/chat/x"));
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    assert!(order_in(&effects).is_some());
    let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(500)));
    assert_eq!(effects, [RouteEffect::AbortResponse(ticket, RefusalReason::Failed)]);
}

/// Guards against a client account that is named by a key which another one may hold by now.
#[test]
fn a_key_on_a_route_that_needs_none_names_no_account_by_an_old_plan() {
    let mut subject = ready_box();
    let mut open = plan(2);
    open.routes[0].anonymous = true;
    subject.read_plan(Some(open));
    let without_key = || CallerRequest { key: None, ..ask("/read/x") };
    let unknown_key = || CallerRequest { key: Some("unknown".to_owned()), ..ask("/read/x") };
    assert_eq!(subject.sent(ask("/read/x")).1.account.as_deref(), Some("alpha"));
    assert_eq!(subject.sent(unknown_key()).1.account, None);

    subject.now += 5_000;

    for caller in [ask("/read/x"), unknown_key()] {
        assert!(is_refused(subject.refused(caller), 503, RefusalReason::PlanStale));
    }
    assert_eq!(subject.sent(without_key()).1.account, None);
}

#[test]
fn a_stream_that_cannot_resume_is_aborted() {
    let mut subject = new_box("box-1");
    let mut spec = plan(1);
    spec.routes = vec![route("chat", RouteKind::Stream { resumable: false })];
    subject.read_plan(Some(spec));
    subject.put(entry("a", "v1"));
    subject.put(entry("b", "v1"));
    let (ticket, _) = subject.sent(ask("/chat/x"));
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
    assert_eq!(effects, [RouteEffect::AbortResponse(ticket, RefusalReason::Failed)]);
}

#[test]
fn the_deadline_is_the_lesser_of_the_callers_and_the_routes() {
    let mut subject = ready_box();
    let (_, short) = subject.sent(ask("/read/x"));
    assert_eq!(short.deadline.as_millis(), subject.now + 4_000);
    let patient = CallerRequest { deadline_ms: Some(60_000), ..ask("/read/x") };
    let (_, long) = subject.sent(patient);
    assert_eq!(long.deadline.as_millis(), subject.now + 5_000);
}

#[test]
fn a_passed_deadline_is_not_reported_as_not_run_once_a_replica_has_the_request() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/file/x"));
    let refusal =
        refusal_in(&subject.feed(RouteEvent::DeadlinePassed(ticket))).expect("it is refused");
    assert!(is_refused(refusal, 504, RefusalReason::DeadlinePassed));
}

#[test]
fn a_leaving_replica_gets_nothing_new() {
    let mut subject = ready_box();
    let leaving =
        ravenspoke_core::route::backend::BackendEntry { leaving: true, ..entry("a", "v1") };
    subject.put(leaving);
    for _ in 0..20 {
        let (_, order) = subject.sent(ask("/read/x"));
        assert_eq!(order.replica_id, "b");
    }
}

#[test]
fn a_removed_entry_takes_effect_at_once_while_the_store_works() {
    let mut subject = ready_box();
    subject.drop_entry("a");
    for _ in 0..20 {
        let (_, order) = subject.sent(ask("/read/x"));
        assert_eq!(order.replica_id, "b");
    }
}

#[test]
fn entries_that_expire_in_a_store_outage_are_used_for_the_grace_period() {
    let mut subject = ready_box();
    subject.feed(RouteEvent::StoreFailed);
    subject.drop_entry("a");
    subject.feed(RouteEvent::StoreRecovered);
    subject.drop_entry("b");
    subject.now += 2_100;
    subject.feed(RouteEvent::Tick);
    subject.sent(ask("/read/x"));
    subject.now += 200;
    let effects = subject.feed(RouteEvent::Tick);
    assert!(effects.contains(&RouteEffect::BackendLeaving("a".to_owned())), "the driver is told");
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 503, RefusalReason::NoReplica));
}

#[test]
fn the_less_loaded_replica_is_picked() {
    let mut subject = ready_box();
    let (ticket, first) = subject.sent(ask("/read/x"));
    let load = Some(BackendLoad { running: 4, waiting: 2, slots: 4 });
    subject.feed(RouteEvent::HeadReceived(ticket, AnswerHead { load, ..head(200) }));
    subject.feed(RouteEvent::ResponseFinished(ticket));
    for _ in 0..3 {
        let (_, order) = subject.sent(ask("/read/x"));
        assert_ne!(order.replica_id, first.replica_id);
    }
}

#[test]
fn requests_with_the_same_prefix_go_to_the_same_replica_from_every_box() {
    let mut first = ready_box();
    let mut second = new_box("box-2");
    second.read_plan(Some(plan(1)));
    second.put(entry("b", "v1"));
    second.put(entry("a", "v1"));
    for affinity in 1..40_u64 {
        let shared =
            CallerRequest { affinity: affinity.wrapping_mul(0x9e37_79b9), ..ask("/chat/x") };
        let (ticket, here) = first.sent(shared.clone());
        first.feed(RouteEvent::CallerDisconnected(ticket));
        let (ticket, there) = second.sent(shared);
        second.feed(RouteEvent::CallerDisconnected(ticket));
        assert_eq!(here.replica_id, there.replica_id);
    }
}

#[test]
fn an_unreachable_replica_is_ejected_for_a_while() {
    let mut subject = ready_box();
    let (ticket, first) = subject.sent(ask("/read/x"));
    subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::NeverSent));
    subject.feed(RouteEvent::CallerDisconnected(ticket));
    for _ in 0..6 {
        let (ticket, order) = subject.sent(ask("/read/x"));
        assert_ne!(order.replica_id, first.replica_id);
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
}

#[test]
fn an_unsure_answer_escalates_to_the_largest_model_and_a_confident_one_is_kept() {
    let mut subject = new_box("box-1");
    let mut spec = plan(1);
    spec.routes[2].sizes = ["small", "middle", "large"].map(str::to_owned).to_vec();
    subject.read_plan(Some(spec));
    subject.put(entry("a", "v1"));
    let any = CallerRequest { any_model: true, ..ask("/chat/x") };
    let (ticket, first) = subject.sent(any.clone());
    assert_eq!(first.model.as_deref(), Some("small"));
    let unsure = AnswerHead { confidence: Some(5), ..head(200) };
    let second = order_in(&subject.feed(RouteEvent::HeadReceived(ticket, unsure))).expect("larger");
    assert_eq!(second.model.as_deref(), Some("large"));
    assert_eq!(
        subject.feed(RouteEvent::HeadReceived(ticket, unsure)),
        [RouteEffect::Relay(ticket)]
    );

    let (ticket, _) = subject.sent(any);
    let sure = AnswerHead { confidence: Some(95), ..head(200) };
    assert_eq!(subject.feed(RouteEvent::HeadReceived(ticket, sure)), [RouteEffect::Relay(ticket)]);
}

#[test]
fn a_less_confident_answer_is_kept_where_larger_models_are_slow() {
    let mut subject = new_box("box-1");
    let mut spec = plan(1);
    spec.routes[2].sizes = ["small", "large"].map(str::to_owned).to_vec();
    subject.read_plan(Some(spec));
    subject.put(entry("a", "v1"));
    let any = CallerRequest { any_model: true, ..ask("/chat/x") };
    let half_sure = AnswerHead { confidence: Some(40), ..head(200) };
    let (ticket, _) = subject.sent(any.clone());
    assert!(order_in(&subject.feed(RouteEvent::HeadReceived(ticket, half_sure))).is_some());
    subject.feed(RouteEvent::CallerDisconnected(ticket));
    for _ in 0..60 {
        let (ticket, _) = subject.sent(any.clone());
        subject.now += 900;
        subject.read_plan(None);
        subject.feed(RouteEvent::HeadReceived(
            ticket,
            AnswerHead { confidence: Some(90), ..head(200) },
        ));
        subject.feed(RouteEvent::ResponseFinished(ticket));
    }
    let (ticket, _) = subject.sent(any);
    assert_eq!(
        subject.feed(RouteEvent::HeadReceived(ticket, half_sure)),
        [RouteEffect::Relay(ticket)]
    );
}

#[test]
fn a_model_that_the_caller_names_is_never_changed() {
    let mut subject = new_box("box-1");
    let mut spec = plan(1);
    spec.routes[2].sizes = vec!["small".to_owned()];
    subject.read_plan(Some(spec));
    subject.put(entry("a", "v1"));
    let (_, order) = subject.sent(ask("/chat/x"));
    assert_eq!(order.model, None);
}

#[test]
fn a_stopping_box_accepts_requests_only_while_it_can_still_serve_them() {
    let mut subject = ready_box();
    subject.feed(RouteEvent::StopRequested);
    assert!(!subject.state.ready(ravenspoke_core::time::BoxTime::from_millis(subject.now)));
    subject.now += STOP_ACCEPT_MS - 1;
    subject.read_plan(None);
    subject.sent(ask("/read/x"));
    subject.now += 1;
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 503, RefusalReason::BoxStopping), "{refusal:?}");
}

#[test]
fn a_disconnected_caller_leaves_no_state() {
    let mut subject = ready_box();
    let (ticket, _) = subject.sent(ask("/read/x"));
    subject.feed(RouteEvent::CallerDisconnected(ticket));
    assert_eq!(subject.state.in_flight(), 0);
    assert!(subject.state.backends().rows().all(|(_, row)| row.outstanding == 0));
    assert_eq!(subject.feed(RouteEvent::HeadReceived(ticket, head(200))), []);
}

#[test]
fn a_box_that_just_started_may_retry() {
    let mut subject = ready_box();
    for _ in 0..5 {
        let (ticket, _) = subject.sent(ask("/read/x"));
        let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
        assert!(order_in(&effects).is_some());
        subject.feed(RouteEvent::CallerDisconnected(ticket));
    }
}

/// Sends requests that each fail once. Returns how many were sent again.
fn fail_once(subject: &mut crate::fixture::TestBox, requests: usize) -> usize {
    let mut sent_again = 0;
    for _ in 0..requests {
        let (ticket, _) = subject.sent(ask("/read/x"));
        let effects = subject.feed(RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken));
        sent_again += usize::from(order_in(&effects).is_some());
        subject.feed(RouteEvent::CallerDisconnected(ticket));
    }
    sent_again
}

#[test]
fn extra_attempts_stop_when_the_budget_is_spent() {
    let mut subject = ready_box();
    // 0.9 for each request, 0.85 of it used over ten of eleven slots, and half of the slack of 60.
    let sent_again = fail_once(&mut subject, 200);
    assert!((160..=170).contains(&sent_again), "{sent_again}");
}

#[test]
fn unspent_budget_covers_a_burst_of_failures() {
    let mut subject = ready_box();
    for _ in 0..100 {
        let (ticket, _) = subject.sent(ask("/read/x"));
        subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
        subject.feed(RouteEvent::ResponseFinished(ticket));
        subject.now += 20;
        subject.read_plan(None);
    }
    assert_eq!(fail_once(&mut subject, 80), 80);
}

#[test]
fn stalls_cause_few_extra_attempts_however_many_requests_are_slow() {
    let mut subject = ready_box();
    let mut sent_again = 0;
    for _ in 0..200 {
        let (ticket, _) = subject.sent(ask("/chat/x"));
        sent_again +=
            usize::from(order_in(&subject.feed(RouteEvent::AttemptStalled(ticket))).is_some());
        subject.feed(RouteEvent::CallerDisconnected(ticket));
    }
    assert!((5..=10).contains(&sent_again), "{sent_again}");
}

#[test]
fn the_budget_is_renewed_with_each_window() {
    let mut subject = ready_box();
    fail_once(&mut subject, 200);
    subject.now += 11_100;
    subject.read_plan(None);
    let sent_again = fail_once(&mut subject, 10);
    assert_eq!(sent_again, 10, "the slack is renewed");
}

#[test]
fn a_replica_missing_from_a_listing_is_used_again_after_the_next_record() {
    let mut subject = ready_box();
    let end = subject.offset + 5;
    subject.feed(RouteEvent::BackendsListed { end: at(end), listed: Vec::new() });
    let refusal = subject.refused(ask("/read/x"));
    assert!(is_refused(refusal, 503, RefusalReason::NoReplica));
    subject.offset = end - 1;
    subject.put(entry("a", "v1"));
    subject.sent(ask("/read/x"));
}

#[test]
fn a_replica_picked_for_affinity_is_reported_so_even_if_least_loaded() {
    let mut subject = new_box("box-1");
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    let (_, order) = subject.sent(CallerRequest { affinity: 9, ..ask("/chat/x") });
    assert!(order.inputs.affine);
    let (_, order) = subject.sent(ask("/chat/x"));
    assert!(!order.inputs.affine);
}

/// Extra attempts that a box makes for sixty failures within its share of a slack of 60, where it
/// knows the addresses of `others` other boxes and has received nothing from them yet.
fn extra_attempts(others: usize) -> usize {
    let budget = BudgetBounds { ratio: 0.0, slack: 60.0, window_ms: 10_000 };
    let mut subject = new_box("box-1");
    subject.state = RouteState::new(RouteSettings { budget, ..settings("box-1") });
    subject.read_plan(Some(plan(1)));
    for id in ["a", "b", "c", "d"] {
        subject.put(entry(id, "v1"));
    }
    let addresses = (0..others).map(|number| format!("other-{number}:90")).collect();
    subject.feed(RouteEvent::PeersDiscovered(addresses));
    let fails = |_: &usize| {
        let (ticket, _) = subject.sent(ask("/read/x"));
        let effects = subject.feed(RouteEvent::HeadReceived(ticket, head(500)));
        subject.feed(RouteEvent::CallerDisconnected(ticket));
        order_in(&effects).is_some()
    };
    (0..60).filter(fails).count()
}

#[test]
fn a_box_keeps_to_its_share_of_the_budget_before_it_hears_from_others() {
    let (alone, of_twenty) = (extra_attempts(0), extra_attempts(19));
    assert!(alone >= 20, "{alone} extra attempts");
    assert!(of_twenty <= 2, "{of_twenty} extra attempts of each of twenty boxes");
}
