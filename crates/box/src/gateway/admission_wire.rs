//! Encodes what admitted a forwarded request as the text of a header. Names in it may have any
//! characters, so that the text is hexadecimal.

use prost::Message;
use ravenspoke_core::route::event::{RequestAdmission, RouteTerms};
use ravenspoke_core::route::plan::RouteKind;

/// What admitted the request with this id.
#[derive(Clone, PartialEq, Message)]
struct WireAdmission {
    /// Hash of the request's id, so that it admits no other request.
    #[prost(fixed64, tag = "1")]
    id_hash: u64,
    #[prost(uint64, tag = "2")]
    plan_version: u64,
    #[prost(message, optional, tag = "3")]
    route: Option<WireTerms>,
    #[prost(string, tag = "4")]
    service: String,
    #[prost(string, optional, tag = "5")]
    account: Option<String>,
    #[prost(uint32, tag = "6")]
    priority: u32,
    #[prost(message, optional, tag = "7")]
    zones: Option<WireZones>,
}

#[derive(Clone, PartialEq, Message)]
struct WireTerms {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(uint64, tag = "3")]
    target_ms: u64,
    #[prost(uint64, tag = "4")]
    pause_ms: u64,
    #[prost(uint64, tag = "5")]
    timeout_ms: u64,
    #[prost(uint32, tag = "6")]
    attempts: u32,
    #[prost(string, repeated, tag = "7")]
    sizes: Vec<String>,
}

#[derive(Clone, PartialEq, Message)]
struct WireZones {
    #[prost(string, repeated, tag = "1")]
    names: Vec<String>,
}

/// Returns the text of what admitted the request whose id has this hash.
pub fn write_admission(id_hash: u64, admission: &RequestAdmission) -> String {
    let zones = admission.zones.clone().map(|names| WireZones { names });
    let wire = WireAdmission {
        id_hash,
        plan_version: admission.plan_version,
        route: Some(write_terms(&admission.route)),
        service: admission.service.clone(),
        account: admission.account.clone(),
        priority: u32::from(admission.priority),
        zones,
    };
    hex::encode(wire.encode_to_vec())
}

/// Decodes what admitted the request whose id has this hash; `None` if the text is invalid or belongs
/// to another request.
pub fn read_admission(id_hash: u64, text: &str) -> Option<RequestAdmission> {
    let bytes = hex::decode(text).ok()?;
    let wire = WireAdmission::decode(bytes.as_slice()).ok()?;
    if wire.id_hash != id_hash || wire.service.is_empty() {
        return None;
    }
    Some(RequestAdmission {
        plan_version: wire.plan_version,
        route: read_terms(wire.route?)?,
        service: wire.service,
        account: wire.account,
        priority: u8::try_from(wire.priority).ok()?,
        zones: wire.zones.map(|zones| zones.names),
    })
}

fn write_terms(route: &RouteTerms) -> WireTerms {
    WireTerms {
        name: route.name.clone(),
        kind: write_kind(route.kind),
        target_ms: route.target_ms,
        pause_ms: route.pause_ms,
        timeout_ms: route.timeout_ms,
        attempts: route.attempts,
        sizes: route.sizes.clone(),
    }
}

fn read_terms(wire: WireTerms) -> Option<RouteTerms> {
    Some(RouteTerms {
        name: wire.name,
        kind: read_kind(wire.kind)?,
        target_ms: wire.target_ms,
        pause_ms: wire.pause_ms,
        timeout_ms: wire.timeout_ms,
        attempts: wire.attempts,
        sizes: wire.sizes,
    })
}

fn write_kind(kind: RouteKind) -> u32 {
    match kind {
        RouteKind::Idempotent => 1,
        RouteKind::Single => 2,
        RouteKind::Stream { resumable: false } => 3,
        RouteKind::Stream { resumable: true } => 4,
    }
}

fn read_kind(wire: u32) -> Option<RouteKind> {
    match wire {
        1 => Some(RouteKind::Idempotent),
        2 => Some(RouteKind::Single),
        3 => Some(RouteKind::Stream { resumable: false }),
        4 => Some(RouteKind::Stream { resumable: true }),
        _ => None,
    }
}
