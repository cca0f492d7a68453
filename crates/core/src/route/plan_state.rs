//! How far a box knows the operator's records: the plan in force, and the position up to which they
//! were read.
//!
//! Positions compare by the version of the plan first, then by the offset in the store. A confirmed
//! plan stays binding even if a store that was restored from a copy has lost it.

use super::event::RouteEffect;
use super::peers::PlanPosition;
use super::plan::{RoutePlan, RouteTable};
use super::plan_freshness::PlanFreshness;
use super::RouteState;
use crate::event::EventStamp;
use crate::position::TopicPosition;
use crate::time::BoxTime;

impl RouteState {
    /// Applies a read of the store: a plan, or the result that it is unchanged.
    pub(super) fn on_plan_read(
        &mut self,
        stamp: EventStamp,
        asked_at: BoxTime,
        read_to: TopicPosition,
        plan: Option<RoutePlan>,
        out: &mut Vec<RouteEffect>,
    ) {
        self.observe_era(read_to.era, stamp.now, out);
        match plan {
            // A store that was restored from a copy and shows no new plan since may lack confirmed
            // plans.
            None if self.has_plan() && read_to.era > self.read_to.era => {}
            // Without a plan nothing is served or denied, but it is known that there was none at
            // that time.
            None => self.rely_on(asked_at, read_to),
            Some(plan) if plan.version < self.table.plan().version => {
                out.push(RouteEffect::PlanTooOld { version: plan.version });
            }
            Some(plan) => self.apply_plan(stamp, asked_at, read_to, plan, out),
        }
    }

    /// Applies the plan that another box sent, or its statement that the plan is unchanged as of
    /// `as_of`.
    pub(super) fn on_plan_received(
        &mut self,
        stamp: EventStamp,
        as_of: BoxTime,
        known: PlanPosition,
        plan: Option<RoutePlan>,
        out: &mut Vec<RouteEffect>,
    ) {
        let own = self.plan_position();
        if known <= own {
            return;
        }
        match plan {
            Some(plan) if plan.version == known.version => {
                self.apply_plan(stamp, as_of, known.read_to, plan, out);
            }
            _ if known.version == own.version => self.rely_on(as_of, known.read_to),
            // The plan was too large for the message.
            _ => {}
        }
    }

    /// Applies a plan that is no older than the one in force.
    fn apply_plan(
        &mut self,
        stamp: EventStamp,
        asked_at: BoxTime,
        read_to: TopicPosition,
        plan: RoutePlan,
        out: &mut Vec<RouteEffect>,
    ) {
        let newer = plan.version > self.table.plan().version;
        if newer && read_to < self.read_to {
            // The store has lost this plan, so that its later records were not complete.
            self.fresh = PlanFreshness::default();
            self.read_to = read_to;
        }
        self.rely_on(asked_at, read_to);
        if !newer {
            return;
        }
        let (version, routes) = (plan.version, plan.routes.len());
        for (service, plan) in &plan.services {
            if let Some(plan) = plan.scale.as_ref().filter(|plan| !plan.is_valid()) {
                let (service, (min, max)) = (service.clone(), (plan.min, plan.max));
                out.push(RouteEffect::ScaleBoundsInvalid { service, min, max });
            }
        }
        self.table = RouteTable::build(plan);
        if let Some(start) = &mut self.start {
            start.record_plan(stamp.now);
        }
        let age_ms = stamp.now.millis_since(asked_at);
        out.push(RouteEffect::PlanInForce { version, routes, age_ms });
        // Other boxes request the plan at once: it reaches all of them after a few steps, and few
        // boxes read the store.
        self.rounds.next_round = BoxTime::default();
        self.send_gossip(stamp, out);
    }

    /// Relies on the plan as the latest one that was confirmed before `asked_at`.
    fn rely_on(&mut self, asked_at: BoxTime, read_to: TopicPosition) {
        self.fresh.renew(asked_at);
        self.record_read(read_to);
    }

    /// Records the position up to which the operator's records are known from the store or from
    /// another box.
    fn record_read(&mut self, read_to: TopicPosition) {
        if read_to >= self.read_to {
            self.read_to = read_to;
            self.sync.behind_since = None;
            self.sync.lagging = false;
        }
    }

    /// Position up to which the operator's records were read.
    pub fn read_to(&self) -> TopicPosition {
        self.read_to
    }

    /// Time as of which the plan is the latest confirmed one; `None` before the first successful
    /// read.
    pub fn plan_as_of(&self) -> Option<BoxTime> {
        self.fresh.as_of()
    }

    /// How far this box knows the operator's records.
    pub fn plan_position(&self) -> PlanPosition {
        PlanPosition { version: self.table.plan().version, read_to: self.read_to }
    }
}
