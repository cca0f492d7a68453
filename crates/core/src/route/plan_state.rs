//! How far a box knows the operator's records: the plan in force, and the position up to which they were read.
//!
//! Two words of it compare by the plan's version first, then by the position. A plan that was confirmed binds, also
//! where a store that came back from a copy has lost it.

use super::event::RouteEffect;
use super::peers::PlanPosition;
use super::plan::{RoutePlan, RouteTable};
use super::plan_freshness::PlanFreshness;
use super::RouteState;
use crate::event::EventStamp;
use crate::position::TopicPosition;
use crate::time::BoxTime;

impl RouteState {
    /// Takes the plan that the store shows, or that it shows no other.
    pub(super) fn on_plan_read(
        &mut self,
        stamp: EventStamp,
        asked_at: BoxTime,
        read_to: TopicPosition,
        plan: Option<RoutePlan>,
        out: &mut Vec<RouteEffect>,
    ) {
        self.note_era(read_to.era, stamp.now, out);
        match plan {
            // A store that came back from a copy, and shows nothing new since, may lack what was confirmed.
            None if self.has_plan() && read_to.era > self.read_to.era => {}
            // Without a plan nothing is served or denied; that there was none then is known all the same.
            None => self.rely_on(asked_at, read_to),
            Some(plan) if plan.version < self.table.plan().version => {
                out.push(RouteEffect::PlanTooOld { version: plan.version });
            }
            Some(plan) => self.apply_plan(stamp, asked_at, read_to, plan, out),
        }
    }

    /// Takes the plan that another box knows, or its word that it is this box's, as of `as_of`.
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
            // The plan itself was too long to be told.
            _ => {}
        }
    }

    /// Takes a plan that is no older than the one in force.
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
            // The store has lost this plan, so that its later word was not whole.
            self.fresh = PlanFreshness::default();
            self.read_to = read_to;
        }
        self.rely_on(asked_at, read_to);
        if !newer {
            return;
        }
        let (version, routes) = (plan.version, plan.routes.len());
        for (service, plan) in &plan.services {
            if let Some(plan) = plan.scale.as_ref().filter(|plan| !plan.is_sound()) {
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
        // Others ask for it at once: it is everywhere after a few steps, and few boxes read the store.
        self.rounds.next_round = BoxTime::default();
        self.send_gossip(stamp, out);
    }

    /// Relies on the plan as all that was confirmed before `asked_at`, up to a position.
    fn rely_on(&mut self, asked_at: BoxTime, read_to: TopicPosition) {
        self.fresh.renew(asked_at);
        self.record_read(read_to);
    }

    /// Notes how far the operator's records were read, or told by another box.
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

    /// As of when the plan is all that was confirmed; `None` before the first sound read.
    pub fn plan_as_of(&self) -> Option<BoxTime> {
        self.fresh.as_of()
    }

    /// How far this box knows the operator's records.
    pub fn plan_position(&self) -> PlanPosition {
        PlanPosition { version: self.table.plan().version, read_to: self.read_to }
    }
}
