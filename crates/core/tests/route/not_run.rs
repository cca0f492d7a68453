//! Refusals that state that a request has not run, and repeats of requests that may run once, over
//! drawn sequences of what can happen to attempts.

use proptest::prelude::*;
use ravenspoke_core::event::RequestTicket;
use ravenspoke_core::route::event::{
    AnswerHead, AttemptFailure, CallerRequest, FormerEnd, RouteEffect, RouteEvent,
};
use ravenspoke_core::route::scheduling::control::LoadControl;
use ravenspoke_core::route::RouteSettings;

use crate::fixture::{
    ask, entry, head, new_box_with, order_in, plan, refusal_in, settings, TestBox,
};

/// What happens to the attempt of a request, or to the request while it waits. `Unsure` is an answer
/// of low confidence, which a larger model may replace.
#[derive(Clone, Copy, Debug)]
enum AttemptFate {
    Rejected,
    OtherReplica,
    NeverSent,
    Withdrawn,
    Broken,
    Stalled,
    Resumed,
    FormerReplaced,
    Unproven,
    Unsure,
    PathsRechecked,
    TimePasses,
}

impl AttemptFate {
    const ALL: [Self; 12] = [
        Self::Rejected,
        Self::OtherReplica,
        Self::NeverSent,
        Self::Withdrawn,
        Self::Broken,
        Self::Stalled,
        Self::Resumed,
        Self::FormerReplaced,
        Self::Unproven,
        Self::Unsure,
        Self::PathsRechecked,
        Self::TimePasses,
    ];

    /// Whether it shows that the attempt has not run.
    fn is_evidence(self) -> bool {
        matches!(self, Self::Rejected | Self::OtherReplica | Self::NeverSent | Self::Withdrawn)
    }

    fn event(self, ticket: RequestTicket) -> Option<RouteEvent> {
        let answer = |head: AnswerHead| Some(RouteEvent::HeadReceived(ticket, head));
        let failed = |failure| Some(RouteEvent::AttemptFailed(ticket, failure));
        match self {
            Self::Rejected => answer(AnswerHead { not_run: true, proven: false, ..head(503) }),
            Self::OtherReplica => {
                answer(AnswerHead { other_replica: true, proven: false, ..head(421) })
            }
            Self::Unproven => answer(AnswerHead { proven: false, ..head(500) }),
            Self::Unsure => answer(AnswerHead { confidence: Some(0), ..head(200) }),
            Self::NeverSent => failed(AttemptFailure::NeverSent),
            Self::Withdrawn => failed(AttemptFailure::Withdrawn),
            Self::Broken => failed(AttemptFailure::Broken),
            Self::Stalled => Some(RouteEvent::AttemptStalled(ticket)),
            Self::Resumed => Some(RouteEvent::AttemptResumed(ticket)),
            Self::FormerReplaced => Some(RouteEvent::FormerEnded(ticket, FormerEnd::Replaced)),
            Self::PathsRechecked => Some(RouteEvent::AttemptRechecked(ticket)),
            Self::TimePasses => None,
        }
    }
}

/// A box with overload control, three replicas, and routes on which the router chooses the model.
fn box_with_models() -> TestBox {
    let load = LoadControl { overload: true, ..LoadControl::default() };
    let mut subject = new_box_with(RouteSettings { load, ..settings("box-1") });
    let mut plan = plan(1);
    for route in &mut plan.routes {
        route.sizes = vec!["small".to_owned(), "large".to_owned()];
    }
    subject.read_plan(Some(plan));
    for id in ["a", "b", "c"] {
        subject.put(entry(id, "v1"));
    }
    subject
}

/// A request and what the test knows of its attempts.
struct TracedRequest {
    ticket: RequestTicket,
    /// Whether it may run only once.
    is_single: bool,
    /// Whether an attempt is in hand.
    is_sent: bool,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
}

impl TracedRequest {
    /// Checks the effects of an event that ended the attempt in hand, if there was one, with or
    /// without `evidence` that it has not run. Returns whether the request goes on.
    fn check(&mut self, effects: &[RouteEffect], evidence: bool) -> Result<bool, TestCaseError> {
        if evidence {
            self.is_sent = false;
        }
        if let Some(refusal) = refusal_in(effects) {
            let has_run = self.is_sent || self.may_have_run;
            prop_assert!(refusal.status != 503 || !has_run, "{refusal:?}");
            return Ok(false);
        }
        if effects.iter().any(|effect| matches!(effect, RouteEffect::KeepFormer(_))) {
            self.is_sent = true;
        }
        if order_in(effects).is_some() {
            self.may_have_run |= self.is_sent;
            prop_assert!(!self.is_single || !self.may_have_run, "it is sent again");
            self.is_sent = true;
        }
        let ends = |effect: &RouteEffect| {
            matches!(effect, RouteEffect::Relay(_) | RouteEffect::AbortResponse(..))
        };
        Ok(!effects.iter().any(ends))
    }
}

fn trace(path: &str, is_single: bool, fates: &[AttemptFate]) -> Result<(), TestCaseError> {
    let mut subject = box_with_models();
    let (ticket, effects) = subject.arrive(CallerRequest { any_model: true, ..ask(path) });
    let mut request = TracedRequest { ticket, is_single, is_sent: false, may_have_run: false };
    let mut goes_on = request.check(&effects, false)?;
    for fate in fates {
        if !goes_on {
            return Ok(());
        }
        subject.now += 100;
        let event = fate.event(ticket).filter(|_| request.is_sent);
        let evidence = event.is_some() && fate.is_evidence();
        let event = event.unwrap_or(RouteEvent::WaitEnded(ticket));
        if request.is_sent || matches!(event, RouteEvent::WaitEnded(_)) {
            let effects = subject.feed(event);
            goes_on = request.check(&effects, evidence)?;
        }
    }
    if goes_on {
        let effects = subject.feed(RouteEvent::DeadlinePassed(request.ticket));
        request.check(&effects, false)?;
    }
    Ok(())
}

proptest! {
    /// Guards against refusals that falsely state that a request has not run, and against second
    /// runs of a call that may run once.
    #[test]
    fn only_evidence_shows_that_a_request_has_not_run(
        fates in prop::collection::vec(prop::sample::select(&AttemptFate::ALL[..]), 0..12),
        route in prop::sample::select(vec![("/file/x", true), ("/read/x", false), ("/chat/x", false)]),
    ) {
        trace(route.0, route.1, &fates)?;
    }
}
