//! Datagrams between boxes, in protobuf.

use prost::Message;
use ravenspoke_adapter::store::KeyedRecord;
use ravenspoke_core::route::backend::{BackendChange, BackendEntry};
use ravenspoke_core::route::loads::LoadNote;
use ravenspoke_core::route::peers::{PeerAsk, PeerNote, TrialNote};
use ravenspoke_core::route::trial::{TrialState, TrialTally, TrialVerdict, VersionTally};
use ravenspoke_core::time::BoxTime;

#[derive(Clone, PartialEq, Message)]
struct WireNote {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    number: u64,
    #[prost(string, tag = "4")]
    note_address: String,
    #[prost(string, tag = "5")]
    entry_address: String,
    #[prost(string, tag = "6")]
    zone: String,
    #[prost(bool, tag = "7")]
    open: bool,
    #[prost(uint64, tag = "8")]
    read_to: u64,
    #[prost(message, repeated, tag = "9")]
    changes: Vec<WireChange>,
    #[prost(message, repeated, tag = "10")]
    trials: Vec<WireTrial>,
    #[prost(message, repeated, tag = "11")]
    verdicts: Vec<WireVerdict>,
    #[prost(string, repeated, tag = "12")]
    others: Vec<String>,
    #[prost(uint64, optional, tag = "13")]
    read_age_ms: Option<u64>,
    #[prost(message, optional, tag = "14")]
    echo: Option<WireAsk>,
    #[prost(message, repeated, tag = "15")]
    loads: Vec<WireLoad>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireLoad {
    #[prost(fixed64, tag = "1")]
    replica: u64,
    #[prost(uint32, tag = "2")]
    load: u32,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
struct WireAsk {
    #[prost(string, tag = "1")]
    note_address: String,
    #[prost(fixed64, tag = "2")]
    incarnation: u64,
    /// The asker's clock, in microseconds.
    #[prost(uint64, tag = "3")]
    asked_at: u64,
    #[prost(uint64, tag = "4")]
    read_to: u64,
    #[prost(bool, tag = "5")]
    wants_replicas: bool,
}

/// A record of the operator; without a value, its key was dropped.
#[derive(Clone, PartialEq, Message)]
struct WireRecord {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    offset: u64,
    #[prost(bytes = "vec", tag = "3")]
    value: Vec<u8>,
}

/// A datagram is one of these.
#[derive(Clone, PartialEq, Message)]
struct WireDatagram {
    #[prost(message, optional, tag = "1")]
    note: Option<WireNote>,
    #[prost(message, optional, tag = "2")]
    ask: Option<WireAsk>,
    /// What the answered ask wants.
    #[prost(message, repeated, tag = "3")]
    records: Vec<WireRecord>,
}

/// A change to a replica's entry; without one, it is gone.
#[derive(Clone, PartialEq, Message)]
struct WireChange {
    #[prost(string, tag = "1")]
    id: String,
    #[prost(uint64, tag = "2")]
    at: u64,
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
}

#[derive(Clone, PartialEq, Message)]
struct WireTrial {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
    #[prost(uint64, tag = "3")]
    age_ms: u64,
    #[prost(message, repeated, tag = "4")]
    routes: Vec<WireRoute>,
}

#[derive(Clone, PartialEq, Message)]
struct WireRoute {
    #[prost(string, tag = "1")]
    route: String,
    #[prost(message, optional, tag = "2")]
    fresh: Option<WireTally>,
    #[prost(message, optional, tag = "3")]
    base: Option<WireTally>,
}

#[derive(Clone, Copy, PartialEq, Message)]
struct WireTally {
    #[prost(float, tag = "1")]
    runs: f32,
    #[prost(float, tag = "2")]
    bad: f32,
    #[prost(float, tag = "3")]
    timed: f32,
    #[prost(float, tag = "4")]
    log_sum: f32,
    #[prost(float, tag = "5")]
    log_square: f32,
}

#[derive(Clone, PartialEq, Message)]
struct WireVerdict {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    version: String,
    /// 0 running, 1 done, 2 rolled back.
    #[prost(uint32, tag = "3")]
    state: u32,
}

fn write_tally(tally: &VersionTally) -> WireTally {
    WireTally {
        runs: tally.runs as f32,
        bad: tally.bad as f32,
        timed: tally.timed as f32,
        log_sum: tally.log_sum as f32,
        log_square: tally.log_square as f32,
    }
}

fn read_tally(tally: Option<WireTally>) -> VersionTally {
    let tally = tally.unwrap_or_default();
    VersionTally {
        runs: f64::from(tally.runs),
        bad: f64::from(tally.bad),
        timed: f64::from(tally.timed),
        log_sum: f64::from(tally.log_sum),
        log_square: f64::from(tally.log_square),
    }
}

fn write_trial(trial: &TrialNote) -> WireTrial {
    let route = |(route, tally): (&String, &TrialTally)| WireRoute {
        route: route.clone(),
        fresh: Some(write_tally(&tally.fresh)),
        base: Some(write_tally(&tally.base)),
    };
    WireTrial {
        service: trial.service.clone(),
        version: trial.version.clone(),
        age_ms: trial.age_ms,
        routes: trial.tallies.iter().map(route).collect(),
    }
}

fn read_trial(trial: WireTrial) -> TrialNote {
    let route = |row: WireRoute| {
        let tally = TrialTally { fresh: read_tally(row.fresh), base: read_tally(row.base) };
        (row.route, tally)
    };
    TrialNote {
        service: trial.service,
        version: trial.version,
        age_ms: trial.age_ms,
        tallies: trial.routes.into_iter().map(route).collect(),
    }
}

fn write_verdict(verdict: &TrialVerdict) -> WireVerdict {
    let state = match verdict.state {
        TrialState::Running => 0,
        TrialState::Done => 1,
        TrialState::RolledBack => 2,
    };
    WireVerdict { service: verdict.service.clone(), version: verdict.version.clone(), state }
}

fn read_verdict(verdict: WireVerdict) -> TrialVerdict {
    let state = match verdict.state {
        1 => TrialState::Done,
        2 => TrialState::RolledBack,
        _ => TrialState::Running,
    };
    TrialVerdict { service: verdict.service, version: verdict.version, state }
}

fn write_change(change: &BackendChange) -> WireChange {
    let entry = change.entry.as_ref().map(|entry| WireEntry {
        address: entry.address.clone(),
        service: entry.service.clone(),
        zone: entry.zone.clone(),
        version: entry.version.clone(),
        slots: entry.slots,
        leaving: entry.leaving,
        cold_ms: entry.cold_ms,
    });
    WireChange { id: change.id.clone(), at: change.at, entry }
}

fn read_change(change: WireChange) -> BackendChange {
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
    });
    BackendChange { id: change.id, at: change.at, entry }
}

fn write_load(told: &LoadNote) -> WireLoad {
    WireLoad { replica: told.replica, load: told.load, age_ms: told.age_ms }
}

fn read_load(told: WireLoad) -> LoadNote {
    LoadNote { replica: told.replica, load: told.load, age_ms: told.age_ms }
}

fn write_ask(ask: &PeerAsk) -> WireAsk {
    WireAsk {
        note_address: ask.note_address.clone(),
        incarnation: ask.incarnation,
        asked_at: ask.asked_at.0,
        read_to: ask.read_to,
        wants_replicas: ask.wants_replicas,
    }
}

fn read_ask(ask: WireAsk) -> PeerAsk {
    PeerAsk {
        note_address: ask.note_address,
        incarnation: ask.incarnation,
        asked_at: BoxTime(ask.asked_at),
        read_to: ask.read_to,
        wants_replicas: ask.wants_replicas,
    }
}

fn write_record(record: &KeyedRecord) -> WireRecord {
    WireRecord {
        key: record.key.clone(),
        offset: record.offset,
        value: record.value.clone().unwrap_or_default(),
    }
}

fn read_record(record: WireRecord) -> KeyedRecord {
    let value = (!record.value.is_empty()).then_some(record.value);
    KeyedRecord { offset: record.offset, key: record.key, value }
}

/// Encodes a note as a datagram, with the records that the ask it answers wants.
pub fn encode_note(note: &PeerNote, records: &[KeyedRecord]) -> Vec<u8> {
    let note = WireNote {
        name: note.name.clone(),
        incarnation: note.incarnation,
        number: note.number,
        note_address: note.note_address.clone(),
        entry_address: note.entry_address.clone(),
        zone: note.zone.clone(),
        open: note.open,
        read_to: note.read_to,
        changes: note.changes.iter().map(write_change).collect(),
        trials: note.trials.iter().map(write_trial).collect(),
        verdicts: note.verdicts.iter().map(write_verdict).collect(),
        others: note.others.clone(),
        read_age_ms: note.read_age_ms,
        echo: note.echo.as_ref().map(write_ask),
        loads: note.loads.iter().map(write_load).collect(),
    };
    let records = records.iter().map(write_record).collect();
    WireDatagram { note: Some(note), ask: None, records }.encode_to_vec()
}

/// Encodes an ask as a datagram.
pub fn encode_ask(ask: &PeerAsk) -> Vec<u8> {
    let ask = Some(write_ask(ask));
    WireDatagram { note: None, ask, records: Vec::new() }.encode_to_vec()
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq)]
pub enum HeardDatagram {
    /// A note, with the records that this box asked for.
    Note(Box<PeerNote>, Vec<KeyedRecord>),
    /// An ask.
    Ask(PeerAsk),
    /// Nothing.
    Empty,
}

/// Decodes a datagram.
///
/// # Errors
/// The codec's, if the bytes are no datagram of a box.
pub fn decode_datagram(bytes: &[u8]) -> Result<HeardDatagram, prost::DecodeError> {
    let wire = WireDatagram::decode(bytes)?;
    if let Some(ask) = wire.ask {
        return Ok(HeardDatagram::Ask(read_ask(ask)));
    }
    let records = wire.records.into_iter().map(read_record).collect();
    Ok(wire.note.map_or(HeardDatagram::Empty, |note| {
        HeardDatagram::Note(Box::new(read_note(note)), records)
    }))
}

fn read_note(wire: WireNote) -> PeerNote {
    PeerNote {
        name: wire.name,
        incarnation: wire.incarnation,
        number: wire.number,
        note_address: wire.note_address,
        entry_address: wire.entry_address,
        zone: wire.zone,
        open: wire.open,
        read_to: wire.read_to,
        read_age_ms: wire.read_age_ms,
        echo: wire.echo.map(read_ask),
        changes: wire.changes.into_iter().map(read_change).collect(),
        trials: wire.trials.into_iter().map(read_trial).collect(),
        verdicts: wire.verdicts.into_iter().map(read_verdict).collect(),
        others: wire.others,
        loads: wire.loads.into_iter().map(read_load).collect(),
    }
}
