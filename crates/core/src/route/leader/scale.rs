//! How many replicas of a service are ordered in each availability zone.
//!
//! The size that the operator gave a zone is kept. Where replicas that may be taken away are cheaper, all but a part of it
//! are of that kind; the rest stands when a zone's are taken away at once, until others have started.
//!
//! Load pattern: a zone loses its cheap replicas in one moment. The usual ones are ordered in their place at once, and given
//! back only when the cheap ones have served for a while again.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::time::BoxTime;

/// Part of a zone's replicas that are not of the kind that may be taken away.
pub const ON_DEMAND_SHARE: f64 = 0.125;

/// Usual replicas are given back when what replaces them has served for this long, in milliseconds.
pub const SCALE_DOWN_DELAY_MS: u64 = 2_000;

/// An order that the platform refused is sent again after this, in milliseconds.
pub const REFUSED_RETRY_MS: u64 = 5_000;

/// An order that the platform took is sent again after this, in milliseconds, while fewer replicas serve: those that it had
/// given may have been taken away.
pub const SHORTFALL_RETRY_MS: u64 = 10_000;

/// An order without an answer, or one that was put off, is sent again after this, in milliseconds.
pub const UNANSWERED_RETRY_MS: u64 = 1_000;

/// What the operator says of how many replicas a service may have.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalePlan {
    /// Replicas in each zone, at least.
    pub min: u32,
    /// Replicas in each zone, at most.
    pub max: u32,
    /// Price of a replica that may be taken away, as a part of a usual one's; `None` where there are none.
    pub spot_price: Option<f64>,
}

impl ScalePlan {
    /// Whether its bounds leave room for a replica.
    pub fn is_valid(&self) -> bool {
        self.min <= self.max && self.max > 0
    }

    fn spot_is_cheaper(&self) -> bool {
        self.spot_price.is_some_and(|price| price < 1.0)
    }
}

/// Replicas of a service that a zone has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// Usual ones that don't leave.
    pub on_demand: u32,
    /// Those among the ones that may be taken away which serve: they don't leave, and are no longer cold.
    pub spot: u32,
}

/// Replicas of a service that a zone is to have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneTarget {
    /// Usual ones.
    #[serde(rename = "usual")]
    pub on_demand: u32,
    /// Ones that may be taken away.
    pub spot: u32,
}

/// What a zone of this size is to have.
pub fn zone_target(plan: &ScalePlan, size: u32, current: ZoneCount) -> ZoneTarget {
    let size = size.clamp(plan.min.max(1), plan.max);
    if !plan.spot_is_cheaper() {
        return ZoneTarget { on_demand: size, spot: 0 };
    }
    let min_on_demand = ((f64::from(size) * ON_DEMAND_SHARE).ceil() as u32).clamp(1, size);
    let wanted = size - min_on_demand;
    let on_demand = (size - wanted.min(current.spot)).max(min_on_demand);
    // Both kinds count toward the limit while one replaces the other.
    let room = plan.max - on_demand.max(current.on_demand).min(plan.max);
    ZoneTarget { on_demand, spot: wanted.min(room.max(current.spot)) }
}

/// An order to the platform: how many replicas of a kind a zone is to have.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ScaleSubject {
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Whether of the kind that may be taken away.
    pub spot: bool,
}

/// What was last ordered for a subject.
#[derive(Clone, Copy, Debug, Default)]
struct OrderState {
    /// What the platform took.
    accepted: Option<u32>,
    /// Nothing is sent before this.
    next_at: BoxTime,
    /// What the platform took is not sent again before this.
    resend_at: BoxTime,
    /// Since when fewer are wanted.
    fewer_since: Option<BoxTime>,
}

/// Orders to the platform, one at a time for each subject.
#[derive(Clone, Debug, Default)]
pub struct ScaleOrders {
    orders: BTreeMap<ScaleSubject, OrderState>,
}

impl ScaleOrders {
    /// Whether an order for `wanted` is to be sent now, where `standing` serve; notes that it is.
    pub fn is_due(
        &mut self,
        subject: &ScaleSubject,
        wanted: u32,
        current: u32,
        now: BoxTime,
    ) -> bool {
        let order = self.orders.entry(subject.clone()).or_default();
        let accepted = order.accepted == Some(wanted);
        if accepted && (current >= wanted || now < order.resend_at) {
            order.fewer_since = None;
            return false;
        }
        let fewer = !subject.spot && order.accepted.is_none_or(|accepted| wanted < accepted);
        let since = *order.fewer_since.get_or_insert(now);
        if !fewer {
            order.fewer_since = None;
        } else if now.millis_since(since) < SCALE_DOWN_DELAY_MS {
            return false;
        }
        if now < order.next_at {
            return false;
        }
        order.next_at = now.plus_millis(UNANSWERED_RETRY_MS);
        true
    }

    /// Takes the platform's word on an order.
    pub fn record_outcome(
        &mut self,
        subject: &ScaleSubject,
        wanted: u32,
        accepted: bool,
        now: BoxTime,
    ) {
        let order = self.orders.entry(subject.clone()).or_default();
        if accepted {
            order.accepted = Some(wanted);
            order.resend_at = now.plus_millis(SHORTFALL_RETRY_MS);
        } else {
            order.next_at = now.plus_millis(REFUSED_RETRY_MS);
        }
    }
}

/// Sizes of a service's zones, as the operator gave them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ServiceSize {
    /// Service.
    pub service: String,
    /// Replicas by zone.
    pub zones: BTreeMap<String, u32>,
}

impl ServiceSize {
    /// The sizes of zones that have these replicas.
    pub fn from_counts(service: &str, zone_counts: &BTreeMap<String, ZoneCount>) -> Self {
        let zones =
            zone_counts.iter().map(|(zone, count)| (zone.clone(), count.on_demand + count.spot));
        Self { service: service.to_owned(), zones: zones.collect() }
    }

    /// The sizes with those of emptied zones spread over the others.
    pub fn spread_evacuated(&self, is_evacuated: &dyn Fn(&str) -> bool) -> BTreeMap<&str, u32> {
        let missing: u32 =
            self.zones.iter().filter(|(zone, _)| is_evacuated(zone)).map(|(_, size)| size).sum();
        let left = self.zones.keys().filter(|zone| !is_evacuated(zone)).count() as u32;
        let share = missing.checked_div(left).unwrap_or(0);
        let size = |zone: &str, size: u32| if is_evacuated(zone) { size } else { size + share };
        self.zones.iter().map(|(zone, own)| (zone.as_str(), size(zone, *own))).collect()
    }
}
