//! Notes between boxes: datagrams of protobuf.

use std::net::SocketAddr;
use std::sync::Arc;

use prost::Message;
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::peers::{PeerNote, TrialNote};
use ravenspoke_core::route::trial::{TrialState, TrialTally, TrialVerdict, VersionTally};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

use super::driver::GatewayDriver;
use super::observe;

/// Largest datagram, in bytes.
pub const NOTE_LIMIT: usize = 60_000;

/// Addresses of other boxes in one note, at most.
pub const OTHERS_LIMIT: usize = 32;

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
    plan_version: u64,
    #[prost(string, repeated, tag = "9")]
    leaving: Vec<String>,
    #[prost(message, repeated, tag = "10")]
    trials: Vec<WireTrial>,
    #[prost(message, repeated, tag = "11")]
    verdicts: Vec<WireVerdict>,
    #[prost(string, repeated, tag = "12")]
    others: Vec<String>,
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

/// Encodes a note.
pub fn encode_note(note: &PeerNote) -> Vec<u8> {
    let wire = WireNote {
        name: note.name.clone(),
        incarnation: note.incarnation,
        number: note.number,
        note_address: note.note_address.clone(),
        entry_address: note.entry_address.clone(),
        zone: note.zone.clone(),
        open: note.open,
        plan_version: note.plan_version,
        leaving: note.leaving.clone(),
        trials: note.trials.iter().map(write_trial).collect(),
        verdicts: note.verdicts.iter().map(write_verdict).collect(),
        others: note.others.iter().take(OTHERS_LIMIT).cloned().collect(),
    };
    wire.encode_to_vec()
}

/// Decodes a note.
///
/// # Errors
/// The codec's, if the bytes are no note.
pub fn decode_note(bytes: &[u8]) -> Result<PeerNote, prost::DecodeError> {
    let wire = WireNote::decode(bytes)?;
    Ok(PeerNote {
        name: wire.name,
        incarnation: wire.incarnation,
        number: wire.number,
        note_address: wire.note_address,
        entry_address: wire.entry_address,
        zone: wire.zone,
        open: wire.open,
        plan_version: wire.plan_version,
        leaving: wire.leaving,
        trials: wire.trials.into_iter().map(read_trial).collect(),
        verdicts: wire.verdicts.into_iter().map(read_verdict).collect(),
        others: wire.others,
    })
}

/// Hears other boxes' notes.
pub async fn hear_notes(driver: Arc<GatewayDriver>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; NOTE_LIMIT];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => match decode_note(&buffer[..length]) {
                Ok(note) => driver.feed(RouteEvent::PeerHeard(note)),
                Err(error) => observe::note_bad_note(&error.to_string()),
            },
            // A box that is gone answers a note with an error on this socket.
            Err(error) => observe::note_socket_failed("notes", &error),
        }
    }
}

/// Sends notes to other boxes.
pub async fn send_notes(
    socket: Arc<UdpSocket>,
    mut notes: UnboundedReceiver<(Vec<String>, Box<PeerNote>)>,
) {
    while let Some((targets, note)) = notes.recv().await {
        let bytes = encode_note(&note);
        metrics::counter!("ravenspoke_note_bytes_total")
            .increment((bytes.len() * targets.len()) as u64);
        for target in targets.iter().filter_map(|target| target.parse::<SocketAddr>().ok()) {
            if let Err(error) = socket.send_to(&bytes, target).await {
                observe::note_socket_failed("notes", &error);
            }
        }
    }
}
