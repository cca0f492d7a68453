//! Regions that a route or a client account allows: no attempt of its requests goes to a replica elsewhere.

use std::collections::BTreeMap;

/// Region of each availability zone.
pub type ZoneRegions = BTreeMap<String, String>;

/// Availability zones that lie in one of the regions of each list; `None` where no list names any, so that all do.
pub fn allowed_zones(regions: &ZoneRegions, lists: &[&[String]]) -> Option<Vec<String>> {
    let lists: Vec<_> = lists.iter().filter(|list| !list.is_empty()).collect();
    if lists.is_empty() {
        return None;
    }
    let allowed = |region: &String| lists.iter().all(|list| list.contains(region));
    let zones = regions.iter().filter(|(_, region)| allowed(region));
    Some(zones.map(|(zone, _)| zone.clone()).collect())
}
