//! Regions that a route or a client account allows. No attempt of its requests goes to a replica in
//! another region.

use std::collections::BTreeMap;

/// The region of each availability zone.
pub type ZoneRegions = BTreeMap<String, String>;

/// Availability zones whose region is in every non-empty list; `None` if all lists are empty, so
/// that all zones are allowed.
pub fn allowed_zones(regions: &ZoneRegions, lists: &[&[String]]) -> Option<Vec<String>> {
    let lists: Vec<_> = lists.iter().filter(|list| !list.is_empty()).collect();
    if lists.is_empty() {
        return None;
    }
    let allowed = |region: &String| lists.iter().all(|list| list.contains(region));
    let zones = regions.iter().filter(|(_, region)| allowed(region));
    Some(zones.map(|(zone, _)| zone.clone()).collect())
}
