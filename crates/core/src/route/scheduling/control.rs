//! Which load control a deployment asks for. Without it all requests are sent at once, whoever
//! sends them.

use crate::route::RouteState;

/// Load control from the settings of a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadControl {
    /// Whether overload control applies to all services: requests may wait for room, and accounts
    /// are held to fair shares during contention.
    pub overload: bool,
    /// Memory limit of the process, in bytes; 0 if the settings have none.
    pub memory_bytes: usize,
}

impl RouteState {
    /// Returns whether overload control applies to a service. Replicas that share their machines
    /// with other work lose capacity at any moment, so that it applies to them without a setting.
    pub(in crate::route) fn controls_overload(&self, service: &str) -> bool {
        self.settings.load.overload || self.backends.shares_machines(service)
    }
}
