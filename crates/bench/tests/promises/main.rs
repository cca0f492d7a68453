//! The ten promises, each under the failures that threaten it, on real reducers in virtual time.
//!
//! The tests check the content of the log and the effects that the reducers return: each `Send`
//! counts as a run. Each test fails without the mechanism that it guards, as docs/PROMISES.md
//! shows.

mod orders;
mod support;

use ravenspoke_bench::fixture::{listed_replica, sign_off_rule, signed_record};
use ravenspoke_bench::fleet::VirtualFleet;
use ravenspoke_core::appender::LogStream;
use ravenspoke_core::attempt::RunState;
use ravenspoke_core::effect::BoxEffect;
use ravenspoke_core::event::{AttemptEnd, BoxEvent};
use ravenspoke_core::fold::BundleFold;
use ravenspoke_core::freshness::FreshState;
use ravenspoke_core::message::{LogRecord, RecordBody};
use ravenspoke_core::reason::ReasonCode;
use ravenspoke_core::replica::LoadReport;

use support::*;

#[test]
fn allowed_only_account_cannot_use_other_models_or_services() {
    let mut fleet = fleet(3);
    let mut callers = Callers::default();

    fleet.feed(0, arrival(1, "beta", chat("small", None), None));
    fleet.feed(0, arrival(2, "beta", chat(V2, None), None));
    fleet.feed(0, arrival(3, "nobody", chat(V2, None), None));
    fleet.feed(0, arrival(4, "beta", release(), Some(&claim_key(0, 1))));
    callers.run(&mut fleet, 200);

    assert_eq!(callers.ends[&1], RequestEnd::Refused(ReasonCode::NotAllowed, RunState::NotRun));
    assert_eq!(callers.ends[&2], RequestEnd::Finished);
    assert_eq!(callers.ends[&3], RequestEnd::Refused(ReasonCode::UnknownKey, RunState::NotRun));
    assert_eq!(callers.ends[&4], RequestEnd::Refused(ReasonCode::NotAllowed, RunState::NotRun));
    assert_eq!(callers.runs(), 1);
}

#[test]
fn allowed_only_is_checked_again_before_sending() {
    let mut fleet = fleet(3);

    fleet.feed(0, arrival(1, "alpha", chat("small", None), None));
    let assigned = fleet.take_effects();
    publish(&mut fleet, Some(0), &bundle_text(V2, "withdrawn"));
    fleet.run_ms(200);
    let mut callers = Callers::default();
    fleet.effects.extend(assigned);
    callers.run(&mut fleet, 200);

    assert_eq!(callers.ends[&1], RequestEnd::Refused(ReasonCode::Withdrawn, RunState::NotRun));
    assert_eq!(callers.runs(), 0);
}

#[test]
fn withdrawn_version_gets_no_new_requests_on_any_box_within_seconds() {
    let mut fleet = fleet(9);
    fleet.log_unreachable.extend(4..9);

    publish(&mut fleet, Some(0), &bundle_text(V2, "withdrawn"));
    fleet.run_ms(4_000);
    let mut callers = Callers::default();
    for index in 0..9 {
        report_loads(&mut fleet, index);
        fleet.feed(index, arrival(index as u64, "alpha", chat("small", None), None));
        fleet.feed(index, arrival(100 + index as u64, "alpha", chat(V1, None), None));
    }
    callers.run(&mut fleet, 300);

    for index in 0..9 {
        assert_eq!(
            callers.versions[&index],
            [V2],
            "box {index} learns of the bundle from its peers"
        );
        let refused = RequestEnd::Refused(ReasonCode::Withdrawn, RunState::NotRun);
        assert_eq!(callers.ends[&(100 + index)], refused);
    }
}

#[test]
fn session_keeps_its_version_on_another_box_after_the_default_changed() {
    let mut fleet = fleet(3);
    let mut callers = Callers::default();

    fleet.feed(0, arrival(1, "alpha", chat("small", None), None));
    callers.run(&mut fleet, 100);
    let token = callers.tokens[&1].clone();
    publish(&mut fleet, Some(0), &bundle_text(V2, "draining"));
    fleet.run_ms(500);
    fleet.feed(2, arrival(2, "alpha", chat("small", Some(token.clone())), None));
    fleet.feed(2, arrival(3, "alpha", chat("small", None), None));
    fleet.feed(2, arrival(4, "beta", chat(V2, Some(token)), None));
    callers.run(&mut fleet, 100);

    assert_eq!(callers.versions[&2], [V1], "the session keeps its version while that drains");
    assert_eq!(callers.versions[&3], [V2], "a new session does not start on a draining version");
    assert_eq!(callers.ends[&4], RequestEnd::Refused(ReasonCode::BadToken, RunState::NotRun));
}

#[test]
fn at_most_once_with_two_racing_boxes_lost_acks_and_late_appends() {
    for (lost, late) in [(0, 0), (2, 0), (0, 1), (1, 1)] {
        let mut fleet = fleet(3);
        let mut callers = Callers::default();
        fleet.log_faults.lose_acks = lost;
        fleet.log_faults.late_effects = late;
        fleet.log_faults.late_us = 700_000;
        let key = claim_key(0, 1);

        fleet.feed(0, arrival(1, "alpha", release(), Some(&key)));
        fleet.feed(1, arrival(2, "alpha", release(), Some(&key)));
        callers.run(&mut fleet, 5_000);
        fleet.feed(2, arrival(3, "alpha", release(), Some(&key)));
        callers.run(&mut fleet, 1_000);

        assert_eq!(callers.runs(), 1, "lost {lost}, late {late}: {:?}", callers.ends);
        assert_eq!(callers.ends[&3], RequestEnd::Replayed(200));
    }
}

#[test]
fn at_most_once_request_of_a_killed_box_is_not_run_again_nor_reported_not_run() {
    let mut fleet = fleet(3);
    let mut callers = Callers { withhold_answers: true, ..Callers::default() };
    let key = claim_key(0, 1);

    fleet.feed(0, arrival(1, "alpha", release(), Some(&key)));
    callers.run(&mut fleet, 200);
    assert_eq!(callers.runs(), 1);
    fleet.kill(0);
    fleet.feed(1, arrival(2, "alpha", release(), Some(&key)));
    fleet.restart(0);
    callers.run(&mut fleet, 3_000);
    fleet.feed(0, arrival(3, "alpha", release(), Some(&key)));
    callers.run(&mut fleet, 3_000);

    assert_eq!(callers.runs(), 1);
    for ticket in [2, 3] {
        let unknown = RequestEnd::Refused(ReasonCode::AlreadyClaimed, RunState::Unknown);
        assert_eq!(callers.ends[&ticket], unknown);
    }
}

#[test]
fn at_most_once_box_paused_past_its_deadline_does_not_send() {
    let mut fleet = fleet(3);
    let mut callers = Callers::default();
    let key = claim_key(0, 1);

    fleet.feed(0, arrival(1, "alpha", release(), Some(&key)));
    fleet.pause(0);
    fleet.run_ms(10_000);
    fleet.resume(0);
    callers.run(&mut fleet, 1_000);

    assert_eq!(callers.runs(), 0);
    assert_eq!(callers.ends[&1], RequestEnd::Refused(ReasonCode::LogDown, RunState::NotRun));
    fleet.feed(1, arrival(2, "alpha", release(), Some(&key)));
    callers.run(&mut fleet, 1_000);
    assert_eq!(
        callers.ends[&2],
        RequestEnd::Finished,
        "the void record lets another box run the request"
    );
    assert_eq!(callers.runs(), 1);
}

#[test]
fn at_most_once_key_older_than_log_retention_is_refused_as_unknown() {
    let mut fleet = fleet(3);
    let mut callers = Callers::default();
    let hour = ravenspoke_bench::fixture::RETENTION_MS;

    fleet.feed(0, arrival(1, "alpha", release(), Some(&claim_key(hour, 1))));
    fleet.feed(0, arrival(2, "alpha", release(), None));
    fleet.feed(0, arrival(3, "alpha", release(), Some("8b6c1d1e-3c1f-4c55-9d43-6f4b1a1f2a3b")));
    callers.run(&mut fleet, 200);

    assert_eq!(callers.ends[&1], RequestEnd::Refused(ReasonCode::KeyExpired, RunState::Unknown));
    for ticket in [2, 3] {
        let refused = RequestEnd::Refused(ReasonCode::BadClaimKey, RunState::NotRun);
        assert_eq!(callers.ends[&ticket], refused);
    }
    assert_eq!(callers.runs(), 0);
}

#[test]
fn not_run_holds_when_the_log_is_down_and_the_claim_is_appended_late() {
    let mut fleet = fleet(3);
    let mut callers = Callers::default();
    let key = claim_key(0, 1);
    fleet.log_faults.late_effects = 1;
    fleet.log_faults.late_us = 6_000_000;

    fleet.feed(0, arrival(1, "alpha", release(), Some(&key)));
    fleet.run_ms(10);
    fleet.log_faults.outage = true;
    callers.run(&mut fleet, 4_000);
    assert_eq!(callers.ends[&1], RequestEnd::Refused(ReasonCode::LogDown, RunState::NotRun));
    fleet.log_faults.outage = false;
    callers.run(&mut fleet, 10_000);

    assert_eq!(callers.runs(), 0, "the late claim never leads to a run");
}

#[test]
fn billed_once_when_the_owner_is_killed_before_its_append() {
    let mut fleet = fleet(4);
    let mut callers = Callers::default();
    fleet.log_unreachable.insert(0);

    for ticket in 1..=20 {
        fleet.feed(0, arrival(ticket, "alpha", chat("small", None), None));
    }
    callers.run(&mut fleet, 600);
    let finished = callers.ends.values().filter(|end| **end == RequestEnd::Finished).count();
    assert_eq!(finished, 20, "witnessed bills let the answers finish");
    assert_eq!(bills(&fleet).bills.len(), 0, "no bill of box 0 reaches the log");
    fleet.kill(0);
    callers.run(&mut fleet, 20_000);

    let fold = bills(&fleet);
    assert_eq!(fold.bills.len(), 20);
    assert_eq!(
        fold.repeats, 20,
        "both witnesses append each bill, and the reader drops the repeats"
    );
}

#[test]
fn billed_once_through_an_outage_lost_acks_and_a_resent_keyed_request() {
    let mut fleet = fleet(3);
    let mut callers = Callers::default();
    fleet.log_faults.outage = true;

    for ticket in 1..=10 {
        fleet.feed(0, arrival(ticket, "alpha", chat("small", None), None));
    }
    fleet.feed(0, arrival(11, "alpha", chat("small", None), Some("order-5")));
    fleet.feed(1, arrival(12, "alpha", chat("small", None), Some("order-5")));
    callers.run(&mut fleet, 60_000);
    fleet.log_faults.outage = false;
    fleet.log_faults.lose_acks = 3;
    callers.run(&mut fleet, 20_000);

    assert!(callers.ends.values().all(|end| *end == RequestEnd::Finished), "{:?}", callers.ends);
    let fold = bills(&fleet);
    assert_eq!(fold.bills.len(), 11, "ten bills without a key, one for the key that ran twice");
}

#[test]
fn full_bill_backlog_refuses_new_requests_as_not_run_and_loses_no_bill() {
    let replicas = vec![
        listed_replica("engine-1", "engines", true),
        listed_replica("engine-2", "engines", true),
    ];
    let mut fleet = VirtualFleet::tuned(3, 3, 5, replicas, |settings| settings.bill_limit = 5);
    publish(&mut fleet, None, &bundle_text(V1, "serving"));
    fleet.run_ms(3_000);
    report_loads(&mut fleet, 0);
    let mut callers = Callers::default();
    fleet.log_faults.outage = true;

    for ticket in 1..=9 {
        fleet.feed(0, arrival(ticket, "alpha", chat("small", None), None));
        callers.run(&mut fleet, 40);
    }
    callers.run(&mut fleet, 2_000);
    fleet.log_faults.outage = false;
    callers.run(&mut fleet, 5_000);

    let refused = RequestEnd::Refused(ReasonCode::BillBacklog, RunState::NotRun);
    assert_eq!(callers.ends.values().filter(|end| **end == refused).count(), 4);
    assert_eq!(bills(&fleet).bills.len(), 5);
}

#[test]
fn whole_answer_mismatched_or_aborted_answer_is_never_finished() {
    let mut fleet = fleet(3);
    let mut callers = Callers { withhold_answers: true, ..Callers::default() };

    for ticket in [1, 2] {
        fleet.feed(0, arrival(ticket, "alpha", chat("small", None), None));
    }
    callers.drive(&mut fleet);
    for _ in 0..4 {
        for (ticket, end) in
            [(1, AttemptEnd::WrongRequest), (2, AttemptEnd::Aborted { delivered: 3 })]
        {
            let key = callers.keys[&(0, ticket)];
            fleet.feed(0, BoxEvent::AttemptEnded(key, end));
        }
        callers.drive(&mut fleet);
    }

    assert_eq!(callers.ends[&1], RequestEnd::Refused(ReasonCode::WrongEcho, RunState::Unknown));
    assert_eq!(callers.ends[&2], RequestEnd::Refused(ReasonCode::StreamBroken, RunState::Unknown));
    assert_eq!(callers.versions[&2], [V1, V1, V1], "an aborted stream is retried on its version");
    assert_eq!(bills(&fleet).bills.len(), 0);
}

#[test]
fn leaving_replica_gets_no_new_requests_from_boxes_that_learn_it_by_gossip() {
    let mut fleet = fleet(9);
    let mut callers = Callers::default();

    let report = LoadReport {
        versions: vec![V1.to_owned()],
        slots: 8,
        leaving: true,
        ..LoadReport::default()
    };
    let at = fleet.box_time(3);
    fleet.feed(3, BoxEvent::LoadReported { replica: "engine-1".to_owned(), at, report });
    fleet.run_ms(3_000);
    fleet.take_effects();
    let mut used = Vec::new();
    for index in 0..9 {
        for round in 0..8 {
            let ticket = (index * 8 + round) as u64;
            fleet.feed(index, arrival(ticket, "alpha", chat("small", None), None));
        }
    }
    for (_, effect) in &fleet.effects {
        if let BoxEffect::PrepareAttempt(_, _, order) = effect {
            used.push(order.replica.clone());
        }
    }
    callers.run(&mut fleet, 300);

    assert_eq!(used.len(), 72);
    assert!(used.iter().all(|name| name == "engine-2"), "{used:?}");
}

#[test]
fn planned_stop_leaves_the_entry_list_and_finishes_every_request_and_bill() {
    let mut fleet = fleet(3);
    let mut callers = Callers::default();

    fleet.feed(0, BoxEvent::StopRequested);
    fleet.run_ms(100);
    let now = fleet.box_time(1);
    let entries = fleet.boxes[1].state.members().entries(None, 1, now);
    assert!(
        entries.iter().all(|row| row.name != "box-0"),
        "peers learn it directly, before the box list changes"
    );
    for ticket in 1..=50 {
        fleet.feed(0, arrival(ticket, "alpha", chat("small", None), None));
        callers.run(&mut fleet, 100);
    }
    let mut may_exit = false;
    for _ in 0..500 {
        fleet.run_ms(20);
        may_exit |= fleet.take_effects().contains(&(0, BoxEffect::ExitAllowed));
    }

    let finished = callers.ends.values().filter(|end| **end == RequestEnd::Finished).count();
    assert_eq!(finished, 50, "a planned stop aborts no request");
    assert!(may_exit);
    assert_eq!(bills(&fleet).bills.len(), 50);
}

#[test]
fn racing_operators_first_bundle_in_log_order_wins_on_every_box() {
    let mut fleet = fleet(9);
    let base = fleet.boxes[0].state.in_force().cloned();
    let racers =
        [bundle_text(V2, "serving"), bundle_text(V2, "draining"), bundle_text(V2, "withdrawn")];

    for spec in &racers {
        let record = signed_record(base.as_ref(), spec);
        let record = LogRecord { incarnation: 0, body: Some(RecordBody::Bundle(record)) };
        fleet.append_records(LogStream::Bundles, vec![record]);
    }
    // The second operator builds on its own bundle before it learns that it lost the race.
    let mut loser = BundleFold::new(sign_off_rule());
    loser.fold_record(0, &signed_record(None, &bundle_text(V1, "serving")));
    loser.fold_record(1, &signed_record(base.as_ref(), &racers[1]));
    let child = signed_record(loser.in_force(), &racers[2]);
    assert_eq!(child.sequence, 3);
    let record = LogRecord { incarnation: 0, body: Some(RecordBody::Bundle(child)) };
    fleet.append_records(LogStream::Bundles, vec![record]);
    fleet.run_ms(2_000);

    let winner = ravenspoke_core::bundle::bundle_digest(&racers[0].sections());
    for row in &fleet.boxes {
        let in_force = row.state.in_force().expect("a bundle is in force");
        assert_eq!((in_force.sequence, &in_force.digest), (2, &winner));
    }
}

#[test]
fn never_reverts_when_all_boxes_are_replaced_after_the_log_was_trimmed() {
    let mut fleet = fleet(4);
    publish(&mut fleet, Some(0), &bundle_text(V2, "withdrawn"));
    fleet.run_ms(1_000);

    // A quarter of the retention later a box has appended the bundle anew; the rest is trimmed.
    fleet.run_ms(ravenspoke_bench::fixture::RETENTION_MS / 2 + 10_000);
    let carried = fleet.streams[&LogStream::Bundles].1.len();
    assert!(carried > 2, "the bundle is appended anew");
    fleet.trim(LogStream::Bundles, 1);
    for index in 0..4 {
        fleet.kill(index);
        fleet.restart(index);
        fleet.run_ms(2_000);
        assert_eq!(fleet.boxes[index].state.sequence(), 2, "box {index}");
    }
    assert!((0..4).all(|index| fleet.boxes[index].state.sequence() == 2));
}

#[test]
fn cut_off_box_stops_but_a_log_outage_for_all_does_not_stop_the_fleet() {
    let mut fleet = fleet(5);
    let state = |fleet: &VirtualFleet, index: usize| {
        fleet.boxes[index].state.fresh_state(fleet.box_time(index))
    };

    fleet.log_faults.outage = true;
    fleet.run_ms(60_000);
    assert!((0..5).all(|index| state(&fleet, index) == FreshState::OutageMajority));

    fleet.cut_links.extend((1..5).map(|other| (0, other)));
    fleet.run_ms(8_000);
    assert_eq!(state(&fleet, 0), FreshState::CutOff);
    assert_eq!(state(&fleet, 1), FreshState::OutageMajority);
    let mut callers = Callers::default();
    fleet.feed(0, arrival(1, "alpha", chat("small", None), None));
    callers.run(&mut fleet, 100);
    assert_eq!(callers.ends[&1], RequestEnd::Refused(ReasonCode::CutOff, RunState::NotRun));

    fleet.cut_links.clear();
    fleet.log_faults.outage = false;
    fleet.run_ms(3_000);
    assert!((0..5).all(|index| state(&fleet, index) == FreshState::Fresh));
}

#[test]
fn restarted_box_does_not_count_towards_a_majority_in_an_outage() {
    // A restarted box has forgotten the bundle that it confirmed, so a majority that counts it
    // can miss that bundle.
    let mut fleet = fleet(3);
    fleet.log_unreachable.insert(0);
    fleet.cut_links.extend([(0, 1), (0, 2)]);

    publish(&mut fleet, Some(1), &bundle_text(V2, "withdrawn"));
    fleet.run_ms(200);
    assert_eq!(fleet.boxes[1].state.sequence() + fleet.boxes[2].state.sequence(), 4);
    fleet.kill(1);
    fleet.kill(2);
    fleet.log_unreachable.extend([1, 2]);
    fleet.restart(2);
    fleet.cut_links.remove(&(0, 2));
    fleet.run_ms(8_000);

    let now = fleet.box_time(0);
    assert_eq!(fleet.boxes[0].state.sequence(), 1, "no reachable box knows bundle 2");
    assert_eq!(fleet.boxes[0].state.fresh_state(now), FreshState::CutOff);
}

#[test]
fn paused_box_does_not_become_fresh_from_answers_buffered_in_its_sockets() {
    let mut fleet = fleet(3);

    fleet.run_ms(1_000);
    fleet.pause(0);
    fleet.run_ms(3_000);
    fleet.log_unreachable.insert(0);
    fleet.cut_links.extend([(0, 1), (0, 2)]);
    fleet.run_ms(27_000);
    fleet.resume(0);

    let now = fleet.box_time(0);
    assert_eq!(fleet.boxes[0].state.fresh_state(now), FreshState::CutOff);
}

#[test]
fn paused_box_that_learns_of_a_newer_bundle_does_not_serve_by_the_old_one() {
    // The answers that announce a newer bundle also let the box see a majority again. It must not
    // serve by the old bundle until the new one arrives.
    for phase in 0..40 {
        let mut fleet = fleet(3);
        fleet.pause(0);
        fleet.log_unreachable.insert(0);
        fleet.cut_links.extend([(0, 1), (0, 2)]);
        publish(&mut fleet, Some(1), &bundle_text(V2, "withdrawn"));
        fleet.run_ms(6_000 + phase * 27);
        fleet.resume(0);
        fleet.cut_links.clear();
        for _ in 0..1_500 {
            let state = &fleet.boxes[0].state;
            let fresh = state.fresh_state(fleet.box_time(0));
            assert!(state.sequence() == 2 || fresh == FreshState::CutOff, "{fresh:?} by bundle 1");
            fleet.run_ms(1);
        }
        assert_eq!(fleet.boxes[0].state.sequence(), 2);
    }
}
