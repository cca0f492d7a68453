//! Positions in the store's topics, and a box's position in the operator's records.

use prost::Message;
use ravenspoke_core::position::TopicPosition;
use ravenspoke_core::route::peers::PlanPosition;

#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WirePosition {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    offset: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WirePlanPosition {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(message, optional, tag = "2")]
    read_to: Option<WirePosition>,
}

impl From<TopicPosition> for WirePosition {
    fn from(position: TopicPosition) -> Self {
        Self { era: position.era, offset: position.offset }
    }
}

impl From<WirePosition> for TopicPosition {
    fn from(wire: WirePosition) -> Self {
        Self::new(wire.era, wire.offset)
    }
}

/// Reads a position that a message may lack; the default is the position before all records.
pub(super) fn read_position(wire: Option<WirePosition>) -> TopicPosition {
    wire.map(Into::into).unwrap_or_default()
}

pub(super) fn write_plan_position(known: PlanPosition) -> WirePlanPosition {
    WirePlanPosition { version: known.version, read_to: Some(known.read_to.into()) }
}

pub(super) fn read_plan_position(wire: Option<WirePlanPosition>) -> PlanPosition {
    let wire = wire.unwrap_or_default();
    PlanPosition { version: wire.version, read_to: read_position(wire.read_to) }
}
