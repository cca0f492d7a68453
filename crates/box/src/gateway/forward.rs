//! Requests that boxes forward to each other: the headers with which they do so.
//!
//! They arrive on a TCP socket at the gossip address, apart from callers. Each carries the key of the
//! receiving box, a random number that it draws at its start and that only gossip contains.

use http::{HeaderMap, HeaderName, HeaderValue};
use ravenspoke_adapter::headers::request_id_hash;
use ravenspoke_core::route::event::{
    BegunAnswer, ForwardPass, ForwardProgress, ForwardedRequest, SpentAttempts,
};

use super::admission_wire::{read_admission, write_admission};

/// Key of the receiving box, and how far the forwarding one has brought the request:
/// `key=HEX;attempts=N;repeat=0|1;rejections=N;counted=0|1`, and the begun answer if there is one.
const FORWARD: HeaderName = HeaderName::from_static("ravenspoke-forward");

/// What admitted the request, as [`super::admission_wire`] encodes it.
const ADMISSION: HeaderName = HeaderName::from_static("ravenspoke-admission");

/// Number of the attempt, drawn by the forwarding box and repeated in the response, which shows that
/// the response is that of the receiving box to this attempt.
const ATTEMPT: HeaderName = HeaderName::from_static("ravenspoke-attempt");

/// What a refusal of a forwarded request has cost: `sends=N;rejections=N`.
const SPENT: HeaderName = HeaderName::from_static("ravenspoke-spent");

/// How the answer began, in the response to a forwarded request: `size=N;trial=0|1`.
const BEGUN: HeaderName = HeaderName::from_static("ravenspoke-begun");

/// Sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another box, for one of its callers.
    Peer,
}

/// A request that no box of the fleet forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the request carries no valid key of this box, or not what admitted it")]
pub struct UnknownForwarder;

/// Number of an attempt at another box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardAttempt(HeaderValue);

impl ForwardAttempt {
    /// Draws a number for an attempt.
    pub fn draw() -> Self {
        Self(HeaderValue::from(rand::random::<u64>()))
    }

    /// The number in the request of another box; `None` for callers, and for a box that sends none.
    pub fn of_request(origin: RequestOrigin, headers: &HeaderMap) -> Option<Self> {
        let number = headers.get(&ATTEMPT).filter(|_| origin == RequestOrigin::Peer)?;
        Some(Self(number.clone()))
    }

    /// Adds the number to the headers of a request or of its response.
    pub fn write(&self, headers: &mut HeaderMap) {
        headers.insert(ATTEMPT, self.0.clone());
    }

    /// Removes the number from the headers of a response, and returns whether it is this one.
    pub fn take_from(&self, headers: &mut HeaderMap) -> bool {
        headers.remove(&ATTEMPT).as_ref() == Some(&self.0)
    }
}

/// Adds the headers of a forwarded request, which has its id already.
pub fn write_pass(headers: &mut HeaderMap, pass: &ForwardPass) {
    let ForwardProgress { attempts, is_repeat, rejections, is_counted, begun } =
        pass.request.progress;
    let begun = begun.map_or(String::new(), |begun| format!(";{}", begun_text(begun)));
    let (repeat, counted) = (u8::from(is_repeat), u8::from(is_counted));
    let spent = format!("attempts={attempts};repeat={repeat};rejections={rejections}");
    let text = format!("key={:016x};{spent};counted={counted}{begun}", pass.key);
    set(headers, FORWARD, &text);
    let admission = write_admission(request_id_hash(headers), &pass.request.admission);
    set(headers, ADMISSION, &admission);
}

/// Removes the headers of a forwarded request and decodes them.
///
/// # Errors
/// Returns [`UnknownForwarder`] if they do not carry `key` and what admitted this request.
pub fn take_pass(headers: &mut HeaderMap, key: u64) -> Result<ForwardedRequest, UnknownForwarder> {
    headers.remove(&ATTEMPT);
    let admission = headers.remove(&ADMISSION);
    let value = headers.remove(&FORWARD).ok_or(UnknownForwarder)?;
    let text = value.to_str().map_err(|_| UnknownForwarder)?;
    let sent_key = field(text, "key").and_then(|key| u64::from_str_radix(key, 16).ok());
    if key == 0 || sent_key != Some(key) {
        return Err(UnknownForwarder);
    }
    let id_hash = request_id_hash(headers);
    let admission = admission.as_ref().and_then(|value| value.to_str().ok());
    let admission = admission.and_then(|text| read_admission(id_hash, text));
    let attempts = field(text, "attempts").and_then(|count| count.parse().ok());
    let progress = ForwardProgress {
        attempts: attempts.ok_or(UnknownForwarder)?,
        is_repeat: field(text, "repeat") == Some("1"),
        rejections: number(text, "rejections"),
        is_counted: field(text, "counted") == Some("1"),
        begun: read_begun_text(text),
    };
    let admission = Box::new(admission.ok_or(UnknownForwarder)?);
    Ok(ForwardedRequest { admission, progress })
}

/// Adds the header of a refusal of a forwarded request.
pub fn write_spent(headers: &mut HeaderMap, spent: SpentAttempts) {
    let SpentAttempts { sends, rejections } = spent;
    set(headers, SPENT, &format!("sends={sends};rejections={rejections}"));
}

/// Removes the header of a refusal of a forwarded request and decodes it.
pub fn take_spent(headers: &mut HeaderMap) -> SpentAttempts {
    let Some(value) = headers.remove(&SPENT) else { return SpentAttempts::default() };
    let text = value.to_str().unwrap_or_default();
    SpentAttempts { sends: number(text, "sends"), rejections: number(text, "rejections") }
}

/// Adds the header of a response to a forwarded request.
pub fn write_begun(headers: &mut HeaderMap, begun: BegunAnswer) {
    set(headers, BEGUN, &begun_text(begun));
}

/// Removes the header of a response to a forwarded request and decodes it.
pub fn take_begun(headers: &mut HeaderMap) -> Option<BegunAnswer> {
    let value = headers.remove(&BEGUN)?;
    read_begun_text(value.to_str().ok()?)
}

fn begun_text(begun: BegunAnswer) -> String {
    let size = begun.size.map_or(String::new(), |size| format!("size={size};"));
    format!("{size}trial={}", u8::from(begun.on_trial))
}

fn read_begun_text(text: &str) -> Option<BegunAnswer> {
    let on_trial = field(text, "trial")? == "1";
    let size = field(text, "size").and_then(|size| size.parse().ok());
    Some(BegunAnswer { size, on_trial })
}

/// Number in a field; 0 without one.
fn number(text: &str, name: &str) -> u32 {
    field(text, name).and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Value of a field in `name=value;name=value`.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = text.split(';').filter_map(|field| field.split_once('='));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn set(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        headers.insert(name, value);
    }
}
