//! Updates of replicas in gossip messages.

use prost::Message;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::backend_health::UnreachableUpdate;
use ravenspoke_core::route::brittle::BrittleUpdate;
use ravenspoke_core::route::event::PromptPart;
use ravenspoke_core::route::model_latency::{LatencyEstimate, LatencyUpdate, ModelLatency};
use ravenspoke_core::route::poison::{CrashUpdate, LifeUpdate, PoisonUpdate, RequestFeature};
use ravenspoke_core::route::rate_limit::LimitUpdate;
use ravenspoke_core::route::scheduling::loads::LoadUpdate;
use ravenspoke_core::route::scheduling::placement::PlacementUpdate;
use ravenspoke_core::route::scheduling::replica_speed::{SpeedUpdate, SPEEDS_PER_MESSAGE};

use super::position::{read_position, WirePosition};

/// A change to a replica's entry. Without an entry, the replica was removed.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireChange {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(message, optional, tag = "4")]
    at: Option<WirePosition>,
    #[prost(message, optional, tag = "3")]
    entry: Option<WireEntry>,
}

#[derive(Clone, PartialEq, Message)]
struct WireEntry {
    #[prost(string, tag = "1")]
    address: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    zone: String,
    #[prost(string, tag = "4")]
    version: String,
    #[prost(uint32, tag = "5")]
    slots: u32,
    #[prost(bool, tag = "6")]
    leaving: bool,
    #[prost(uint64, tag = "7")]
    cold_ms: u64,
    #[prost(uint64, optional, tag = "8")]
    born: Option<u64>,
    #[prost(bool, tag = "9")]
    spot: bool,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireLoad {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(uint32, tag = "2")]
    load: u32,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(uint32, tag = "4")]
    waiting: u32,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WirePlacement {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(fixed64, tag = "2")]
    shared: u64,
    #[prost(uint32, tag = "3")]
    work_ms: u32,
}

/// Latency estimates of a service's models.
#[derive(Clone, PartialEq, Message)]
pub(super) struct WireLatency {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(message, repeated, tag = "2")]
    models: Vec<WireModelLatency>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireModelLatency {
    #[prost(float, tag = "1")]
    token_ms: f32,
    #[prost(uint32, tag = "2")]
    token_answers: u32,
    #[prost(float, tag = "3")]
    begin_ms: f32,
    #[prost(uint32, tag = "4")]
    begin_answers: u32,
}

pub(super) fn write_latency(update: &LatencyUpdate) -> WireLatency {
    let models = update.models.iter().map(|latency| WireModelLatency {
        token_ms: latency.token.ms as f32,
        token_answers: latency.token.answers as u32,
        begin_ms: latency.begin.ms as f32,
        begin_answers: latency.begin.answers as u32,
    });
    WireLatency { service: update.service.clone(), models: models.collect() }
}

pub(super) fn read_latency(wire: WireLatency) -> LatencyUpdate {
    let time = |ms, answers| LatencyEstimate { ms: f64::from(ms), answers: f64::from(answers) };
    let models = wire.models.into_iter().map(|latency| ModelLatency {
        token: time(latency.token_ms, latency.token_answers),
        begin: time(latency.begin_ms, latency.begin_answers),
    });
    LatencyUpdate { service: wire.service, models: models.collect() }
}

pub(super) fn write_change(change: &BackendChange) -> WireChange {
    let entry = change.entry.as_ref().map(|entry| WireEntry {
        address: entry.address.clone(),
        service: entry.service.clone(),
        zone: entry.zone.clone(),
        version: entry.version.clone(),
        slots: entry.slots,
        leaving: entry.leaving,
        cold_ms: entry.cold_ms,
        born: entry.born,
        spot: entry.spot,
    });
    WireChange { id: change.id.clone(), at: Some(change.at.into()), entry }
}

pub(super) fn read_change(change: WireChange) -> BackendChange {
    let id = change.id.clone();
    let entry = change.entry.map(|entry| BackendEntry {
        id,
        address: entry.address,
        service: entry.service,
        zone: entry.zone,
        version: entry.version,
        slots: entry.slots,
        leaving: entry.leaving,
        cold_ms: entry.cold_ms,
        born: entry.born,
        spot: entry.spot,
    });
    BackendChange { id: change.id, at: read_position(change.at), entry }
}

pub(super) fn write_load(update: &LoadUpdate) -> WireLoad {
    WireLoad {
        replica: update.replica,
        load: update.load,
        waiting: update.waiting,
        age_ms: update.age_ms,
    }
}

pub(super) fn read_load(update: WireLoad) -> LoadUpdate {
    LoadUpdate {
        replica: update.replica,
        load: update.load,
        waiting: update.waiting,
        age_ms: update.age_ms,
    }
}

/// Samples of a replica's speed.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireSpeed {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(uint32, tag = "2")]
    percent: u32,
    #[prost(uint32, tag = "3")]
    samples: u32,
    #[prost(uint32, tag = "4")]
    messages_ago: u32,
}

pub(super) fn write_speed(update: &SpeedUpdate) -> WireSpeed {
    let SpeedUpdate { replica, percent, samples, messages_ago } = *update;
    WireSpeed { replica, percent, samples, messages_ago }
}

/// Decodes samples within their bounds, and drops those without a ratio.
pub(super) fn read_speeds(wire: Vec<WireSpeed>) -> Vec<SpeedUpdate> {
    let update = |wire: WireSpeed| {
        let WireSpeed { replica, percent, samples, messages_ago } = wire;
        SpeedUpdate { replica, percent, samples, messages_ago }.checked()
    };
    wire.into_iter().take(SPEEDS_PER_MESSAGE).filter_map(update).collect()
}

/// An unreachable replica.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireUnreachable {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
}

pub(super) fn write_unreachable(update: &UnreachableUpdate) -> WireUnreachable {
    WireUnreachable { replica: update.replica, age_ms: update.age_ms }
}

pub(super) fn read_unreachable(wire: WireUnreachable) -> UnreachableUpdate {
    UnreachableUpdate { replica: wire.replica, age_ms: wire.age_ms }
}

/// Signs of life of a replica that seemed to have crashed.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireLife {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(uint64, tag = "2")]
    first_age_ms: u64,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

pub(super) fn write_life(update: &LifeUpdate) -> WireLife {
    let LifeUpdate { replica, first_age_ms, age_ms } = *update;
    WireLife { replica, first_age_ms, age_ms }
}

pub(super) fn read_life(wire: WireLife) -> LifeUpdate {
    let WireLife { replica, first_age_ms, age_ms } = wire;
    LifeUpdate { replica, first_age_ms, age_ms }
}

/// A rate limit that a replica names, or its removal.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireLimit {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(double, optional, tag = "2")]
    per_s: Option<f64>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

pub(super) fn write_limit(update: &LimitUpdate) -> WireLimit {
    WireLimit { replica: update.replica, per_s: update.per_s, age_ms: update.age_ms }
}

pub(super) fn read_limit(wire: WireLimit) -> LimitUpdate {
    LimitUpdate { replica: wire.replica, per_s: wire.per_s, age_ms: wire.age_ms }
}

/// A brittle service, or the end of it.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireBrittle {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(double, optional, tag = "2")]
    per_s: Option<f64>,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

pub(super) fn write_brittle(update: &BrittleUpdate) -> WireBrittle {
    WireBrittle { service: update.service, per_s: update.per_s, age_ms: update.age_ms }
}

pub(super) fn read_brittle(wire: WireBrittle) -> BrittleUpdate {
    BrittleUpdate { service: wire.service, per_s: wire.per_s, age_ms: wire.age_ms }
}

/// A feature of requests: a content, or a part at a service.
#[derive(Clone, Copy, PartialEq, Message)]
struct WirePart {
    #[prost(fixed64, tag = "1")]
    service: u64,
    #[prost(fixed64, tag = "2")]
    part: u64,
}

fn write_feature(feature: RequestFeature) -> (u64, Option<WirePart>) {
    match feature {
        RequestFeature::Content(content) => (content, None),
        RequestFeature::Part { service, part } => (0, Some(WirePart { service, part: part.0 })),
    }
}

fn read_feature(content: u64, part: Option<WirePart>) -> RequestFeature {
    match part {
        Some(WirePart { service, part }) => {
            RequestFeature::Part { service, part: PromptPart(part) }
        }
        None => RequestFeature::Content(content),
    }
}

/// A crash of a replica while it ran a request.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct WireCrash {
    #[prost(fixed64, tag = "1")]
    content: u64,
    #[prost(fixed64, tag = "2")]
    request: u64,
    #[prost(fixed64, tag = "3")]
    replica: u64,
    #[prost(uint64, tag = "4")]
    age_ms: u64,
    /// Set if the feature is no content.
    #[prost(message, optional, tag = "5")]
    part: Option<WirePart>,
}

pub(super) fn write_crash(update: &CrashUpdate) -> WireCrash {
    let CrashUpdate { feature, request, replica, age_ms } = *update;
    let (content, part) = write_feature(feature);
    WireCrash { content, request, replica, age_ms, part }
}

pub(super) fn read_crash(wire: WireCrash) -> CrashUpdate {
    let WireCrash { content, request, replica, age_ms, part } = wire;
    CrashUpdate { feature: read_feature(content, part), request, replica, age_ms }
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WirePoison {
    #[prost(fixed64, tag = "1")]
    content: u64,
    #[prost(uint64, tag = "2")]
    age_ms: u64,
    #[prost(bool, tag = "3")]
    answered: bool,
    /// Set if the feature is no content.
    #[prost(message, optional, tag = "4")]
    part: Option<WirePart>,
    #[prost(bool, tag = "5")]
    stored: bool,
}

pub(super) fn write_poison(update: &PoisonUpdate) -> WirePoison {
    let PoisonUpdate { feature, age_ms, answered, stored, withdrawn: _ } = *update;
    let (content, part) = write_feature(feature);
    WirePoison { content, age_ms, answered, part, stored }
}

pub(super) fn read_poison(wire: WirePoison) -> PoisonUpdate {
    let WirePoison { content, age_ms, answered, part, stored } = wire;
    let feature = read_feature(content, part);
    PoisonUpdate { feature, age_ms, answered, stored, withdrawn: false }
}

pub(super) fn read_withdrawn(wire: WirePoison) -> PoisonUpdate {
    PoisonUpdate { withdrawn: true, ..read_poison(wire) }
}

pub(super) fn write_placement(update: PlacementUpdate) -> WirePlacement {
    WirePlacement { replica: update.replica, shared: update.shared, work_ms: update.work_ms }
}

pub(super) fn read_placement(update: WirePlacement) -> PlacementUpdate {
    PlacementUpdate { replica: update.replica, shared: update.shared, work_ms: update.work_ms }
}
