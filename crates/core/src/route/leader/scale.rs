//! How many replicas of a service are ordered in each availability zone.
//!
//! A zone keeps the size that the operator gave it. Where spot replicas are cheaper, all but a
//! share of the zone's replicas are spot; the on-demand share keeps running when all spot replicas
//! of a zone are reclaimed at once, until replacements have started.
//!
//! Load pattern: a zone loses all its spot replicas at the same time. On-demand replicas are
//! ordered in their place at once, and are removed only after spot replicas have served for a while
//! again.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::time::BoxTime;

/// Share of a zone's replicas that are on demand even where spot replicas are cheaper.
pub const ON_DEMAND_SHARE: f64 = 0.125;

/// On-demand replicas are removed after their replacements have served for this long, in
/// milliseconds.
pub const SCALE_DOWN_DELAY_MS: u64 = 2_000;

/// Delay before an order that the platform refused is sent again, in milliseconds.
pub const REFUSED_RETRY_MS: u64 = 5_000;

/// Delay before an accepted order is sent again while fewer replicas than ordered serve, in
/// milliseconds: spot replicas may have been reclaimed after the order was filled.
pub const SHORTFALL_RETRY_MS: u64 = 10_000;

/// Delay before an order that was deferred or not answered is sent again, in milliseconds.
pub const UNANSWERED_RETRY_MS: u64 = 1_000;

/// The operator's limits on the number of a service's replicas.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalePlan {
    /// Least number of replicas in each zone.
    pub min: u32,
    /// Greatest number of replicas in each zone.
    pub max: u32,
    /// Price of a spot replica as a fraction of an on-demand replica's; `None` if there are no spot
    /// replicas.
    pub spot_price: Option<f64>,
}

impl ScalePlan {
    /// Whether the limits allow at least one replica.
    pub fn is_valid(&self) -> bool {
        self.min <= self.max && self.max > 0
    }

    fn spot_is_cheaper(&self) -> bool {
        self.spot_price.is_some_and(|price| price < 1.0)
    }
}

/// Number of replicas of a service in a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCount {
    /// On-demand replicas that are not leaving.
    pub on_demand: u32,
    /// Spot replicas that serve: they are not leaving and are no longer cold.
    pub spot: u32,
}

/// Number of replicas of a service that a zone is to have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ZoneTarget {
    /// On-demand replicas.
    #[serde(rename = "usual")]
    pub on_demand: u32,
    /// Spot replicas.
    pub spot: u32,
}

/// The target of a zone of this size.
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

/// What an order to the platform is about: the replicas of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ScaleSubject {
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the replicas are spot.
    pub spot: bool,
}

/// State of the order for one subject.
#[derive(Clone, Copy, Debug, Default)]
struct OrderState {
    /// The number that the platform accepted last.
    accepted: Option<u32>,
    /// No order is sent before this time.
    next_at: BoxTime,
    /// The accepted order is not sent again before this time.
    resend_at: BoxTime,
    /// Since when fewer replicas than accepted are wanted.
    fewer_since: Option<BoxTime>,
}

/// Orders to the platform by subject.
#[derive(Clone, Debug, Default)]
pub struct ScaleOrders {
    orders: BTreeMap<ScaleSubject, OrderState>,
}

impl ScaleOrders {
    /// Whether an order for `wanted` replicas is due now, while `current` serve. If so, records
    /// that it is being sent.
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

    /// Records whether the platform accepted an order.
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

/// Sizes of a service's zones, as the operator set them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ServiceSize {
    /// Service.
    pub service: String,
    /// Replicas by zone.
    pub zones: BTreeMap<String, u32>,
}

impl ServiceSize {
    /// Sizes equal to the zones' current counts.
    pub fn from_counts(service: &str, zone_counts: &BTreeMap<String, ZoneCount>) -> Self {
        let zones =
            zone_counts.iter().map(|(zone, count)| (zone.clone(), count.on_demand + count.spot));
        Self { service: service.to_owned(), zones: zones.collect() }
    }

    /// The sizes, with those of evacuated zones spread over the other zones.
    pub fn spread_evacuated(&self, is_evacuated: &dyn Fn(&str) -> bool) -> BTreeMap<&str, u32> {
        let missing: u32 =
            self.zones.iter().filter(|(zone, _)| is_evacuated(zone)).map(|(_, size)| size).sum();
        let remaining = self.zones.keys().filter(|zone| !is_evacuated(zone)).count() as u32;
        let share = missing.checked_div(remaining).unwrap_or(0);
        let size = |zone: &str, size: u32| if is_evacuated(zone) { size } else { size + share };
        self.zones.iter().map(|(zone, own)| (zone.as_str(), size(zone, *own))).collect()
    }
}
