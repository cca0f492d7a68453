//! What a box that forwards a request and the one that takes it up know of its attempts.

use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, BegunAnswer, CallerRequest, ForwardProgress, ForwardedRequest,
    RefusalReason, RouteEffect, RouteEvent, SendOrder, SpentAttempts,
};
use ravenspoke_core::route::peers::{GossipMessage, PeerInfo};
use ravenspoke_core::route::plan_freshness::FreshBounds;
use ravenspoke_core::route::rejected::REJECTION_LIMIT;
use ravenspoke_core::route::retry_budget::BudgetBounds;
use ravenspoke_core::route::scheduling::control::LoadControl;
use ravenspoke_core::route::RouteSettings;

use crate::fixture::{
    ask, entry, head, is_refused, new_box, new_box_with, order_in, plan, refusal_in, settings,
    TestBox,
};

/// A box with one replica, whose calls wait after a rejection.
pub fn box_with_one_replica(name: &str) -> TestBox {
    let load = LoadControl { overload: true, ..LoadControl::default() };
    let mut subject = new_box_with(RouteSettings { load, ..settings(name) });
    subject.read_plan(Some(plan(1)));
    subject.put(entry("a", "v1"));
    subject
}

/// Lets a box know another one that takes requests.
pub fn introduce(subject: &mut TestBox, name: &str) {
    let info = PeerInfo {
        gossip_address: format!("{name}:90"),
        entry_address: format!("{name}:80"),
        open: true,
        forward_key: 9,
        ..PeerInfo::default()
    };
    let message = GossipMessage { name: name.to_owned(), number: 1, info, ..Default::default() };
    subject.feed(RouteEvent::GossipReceived(Box::new(message)));
}

/// A box that cannot connect to its replica and forwards a request, with the order for that.
fn forwarding_box(caller: CallerRequest) -> (TestBox, RequestTicket, SendOrder) {
    let mut subject = box_with_one_replica("box-1");
    for name in ["box-2", "box-3", "box-4", "box-5", "box-6"] {
        introduce(&mut subject, name);
    }
    let (ticket, _) = subject.sent(caller);
    let failed = RouteEvent::AttemptFailed(ticket, AttemptFailure::NeverSent);
    let order = order_in(&subject.feed(failed)).expect("it is forwarded");
    (subject, ticket, order)
}

/// The request of another box, as it left that box.
fn forwarded(caller: CallerRequest, order: &SendOrder) -> CallerRequest {
    let pass = order.pass.clone().expect("a pass");
    CallerRequest { forward: Some(pass.request), ..caller }
}

fn refused_by_peer(spent: SpentAttempts) -> AnswerHead {
    AnswerHead { proven: false, spent, ..head(503) }
}

/// Guards against a request that the box which takes it up admits by its own plan.
#[test]
fn forwarded_request_keeps_its_account_service_and_terms_at_a_box_with_another_plan() {
    let (_, _, order) = forwarding_box(ask("/read/x"));
    let mut other = new_box("box-2");
    let mut changed = plan(7);
    changed.routes.retain(|route| route.name != "read");
    changed.holders = Some(Vec::new());
    other.read_plan(Some(changed));
    other.put(entry("a", "v1"));
    other.now += 10_000;

    let (_, taken) = other.sent(forwarded(ask("/read/x"), &order));

    assert_eq!((taken.account.as_deref(), taken.route.as_str()), (Some("alpha"), "read"));
}

/// Guards against a row of models that the route of the box which takes a request up does not have.
#[test]
fn row_of_a_model_that_does_not_exist_is_not_used() {
    let (_, _, order) = forwarding_box(ask("/read/x"));
    let ForwardedRequest { mut admission, .. } = order.pass.expect("a pass").request;
    admission.route.sizes = vec!["small".to_owned()];
    let begun = Some(BegunAnswer { size: Some(4), on_trial: false });
    let progress = ForwardProgress { attempts: 2, begun, ..Default::default() };
    let forward = Some(ForwardedRequest { admission, progress });
    let mut other = box_with_one_replica("box-2");

    let (_, taken) = other.sent(CallerRequest { forward, any_model: true, ..ask("/read/x") });

    assert_eq!(taken.model.as_deref(), Some("small"));
}

/// Guards against a request that each box sends to full replicas as often as if it were new.
#[test]
fn rejections_at_one_box_count_at_the_next() {
    let (_, _, order) = forwarding_box(ask("/file/x"));
    let ForwardedRequest { admission, progress } = order.pass.expect("a pass").request;
    let progress = ForwardProgress { rejections: REJECTION_LIMIT - 1, ..progress };
    let forward = Some(ForwardedRequest { admission, progress });
    let mut other = box_with_one_replica("box-2");
    let (ticket, _) = other.sent(CallerRequest { forward, ..ask("/file/x") });
    let full = AnswerHead { not_run: true, ..head(503) };
    let waits = other.feed(RouteEvent::HeadReceived(ticket, full));
    assert!(matches!(waits[..], [RouteEffect::Wait(..)]), "{waits:?}");
    other.now += 1_000;
    assert!(order_in(&other.feed(RouteEvent::WaitEnded(ticket))).is_some());

    let refusal = refusal_in(&other.feed(RouteEvent::HeadReceived(ticket, full)));

    let refusal = refusal.expect("it is refused");
    assert!(is_refused(refusal, 503, RefusalReason::Full));
    assert_eq!(refusal.spent, SpentAttempts { sends: 2, rejections: 1 });
}

#[test]
fn request_that_arrived_at_replicas_of_another_box_is_sent_on_only_within_the_retry_budget() {
    let none = BudgetBounds { ratio: 0.0, slack: 0.0, window_ms: 10_000 };
    for (spent, goes_on) in
        [(SpentAttempts::default(), true), (SpentAttempts { sends: 2, rejections: 1 }, false)]
    {
        let (mut subject, ticket, _) = forwarding_box(ask("/file/x"));
        subject.state.set_bounds(FreshBounds { revoke_ms: None, apply_ms: 2_000 }, none);
        // One extra attempt is always allowed.
        let arrived = SpentAttempts { sends: 1, rejections: 0 };
        let (spender, _) = subject.sent(ask("/read/x"));
        subject.feed(RouteEvent::HeadReceived(spender, refused_by_peer(arrived)));

        let effects = subject.feed(RouteEvent::HeadReceived(ticket, refused_by_peer(spent)));

        assert_eq!(order_in(&effects).is_some(), goes_on, "{spent:?}: {effects:?}");
    }
}

#[test]
fn request_is_counted_for_the_retry_budget_by_one_box_only() {
    let (mut subject, ticket, first) = forwarding_box(ask("/read/x"));
    let effects =
        subject.feed(RouteEvent::HeadReceived(ticket, refused_by_peer(SpentAttempts::default())));
    let second = order_in(&effects).expect("it is forwarded again");

    let is_counted = |order: SendOrder| order.pass.expect("a pass").request.progress.is_counted;

    assert_eq!((is_counted(first), is_counted(second)), (false, true));
}

/// A stream was cut whose three attempts all went over paths that accept connections and reset what is
/// written on them.
#[test]
fn last_attempt_goes_through_another_box_after_two_broke() {
    let mut subject = box_with_one_replica("box-1");
    ["b", "c", "d"].iter().for_each(|id| subject.put(entry(id, "v1")));
    introduce(&mut subject, "box-2");
    subject.now += 1_000;
    let (earlier, _) = subject.sent(ask("/chat/x"));
    let (ticket, first) = subject.sent(ask("/chat/x"));
    subject.feed(RouteEvent::HeadReceived(ticket, head(200)));
    // Connections succeed, which ends the doubt that the breaks of the earlier stream raised.
    for _ in 0..2 {
        subject.feed(RouteEvent::AttemptFailed(earlier, AttemptFailure::Broken));
    }
    subject.feed(RouteEvent::PathProbed { replica: first.replica, reached: true });
    let broken = || RouteEvent::AttemptFailed(ticket, AttemptFailure::Broken);
    let second = order_in(&subject.feed(broken())).expect("it is resumed");
    assert_eq!((second.number, second.pass), (2, None));

    let third = order_in(&subject.feed(broken())).expect("it is resumed");

    assert_eq!(third.replica_id, "box-2");
}
