//! The body of a chat request. Only what routing needs is decoded; the rest is passed on as it came, so
//! that a body takes no more memory than its bytes.

use std::ops::Range;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;

use crate::messages::{read_messages, MessageSummary};

/// Bytes of a prompt that form its prefix; enough to tell system prompts apart.
const PREFIX_BYTES: usize = 512;

/// Longest name of a model, in bytes.
const NAME_LIMIT: usize = 256;

/// What a chat request needs besides valid messages.
const NEEDED: &str = "the body needs `model`, a string, and `messages`, a list that is not empty";

/// Fields of a chat request that the box reads.
#[derive(Deserialize)]
struct ChatFields<'a> {
    #[serde(borrow, default)]
    model: Option<&'a RawValue>,
    #[serde(borrow, default)]
    stream: Option<&'a RawValue>,
    #[serde(borrow, default)]
    messages: Option<&'a RawValue>,
}

/// The body of a chat request.
#[derive(Clone, Debug)]
pub struct ChatBody {
    bytes: Bytes,
    /// Place of the model's name, with its quotes.
    model: Range<usize>,
    /// Place of the content of the last message, if it is a text, with its quotes.
    question: Option<Range<usize>>,
    /// Name of the requested model.
    pub name: String,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// Length of the messages' texts, in bytes.
    pub prompt_bytes: usize,
    /// Hash of the begin of the prompt.
    pub prefix: u64,
}

impl ChatBody {
    /// Reads a body.
    ///
    /// # Errors
    /// Returns a message for the caller about what is missing or invalid.
    pub fn read(bytes: Bytes) -> Result<Self, String> {
        let text = std::str::from_utf8(&bytes).map_err(|_| "the body is not JSON".to_owned())?;
        let fields = read_fields(text)?;
        let messages = fields.messages.map(|messages| read_messages(messages.get())).transpose()?;
        let (Some(model), Some(Some(messages))) = (fields.model, messages) else {
            return Err(NEEDED.to_owned());
        };
        let name: String = serde_json::from_str(model.get()).map_err(|_| NEEDED.to_owned())?;
        if name.len() > NAME_LIMIT {
            return Err(format!("`model` is longer than {NAME_LIMIT} bytes"));
        }
        let place = |part: &str| place_in(text, part);
        let (model, question) = (place(model.get()), messages.question.map(place));
        let stream = fields.stream.is_some_and(|stream| stream.get() == "true");
        let (prompt_bytes, prefix) = (messages.text_bytes, prefix_hash(&messages));
        Ok(Self { model, question, name, stream, prompt_bytes, prefix, bytes: bytes.clone() })
    }

    /// The body with the name of a version in place of the model's.
    pub fn for_version(&self, version: &str) -> Vec<u8> {
        let version = serde_json::Value::from(version).to_string();
        let (before, after) = (&self.bytes[..self.model.start], &self.bytes[self.model.end..]);
        [before, version.as_bytes(), after].concat()
    }

    /// The text of the last message.
    pub fn question(&self) -> String {
        let place = self.question.clone();
        let text = place.and_then(|place| serde_json::from_slice(&self.bytes[place]).ok());
        text.unwrap_or_default()
    }
}

fn read_fields(text: &str) -> Result<ChatFields<'_>, String> {
    if !text.trim_start().starts_with('{') {
        let parsed = serde_json::from_str::<serde::de::IgnoredAny>(text);
        return Err(parsed.map_or_else(|_| "the body is not JSON", |_| NEEDED).to_owned());
    }
    serde_json::from_str(text).map_err(|error| {
        if error.is_data() {
            return format!("the body can't be read: {error}");
        }
        "the body is not JSON".to_owned()
    })
}

/// Place of a part of `text` in it.
fn place_in(text: &str, part: &str) -> Range<usize> {
    let start = part.as_ptr() as usize - text.as_ptr() as usize;
    start..start + part.len()
}

fn prefix_hash(messages: &MessageSummary<'_>) -> u64 {
    let mut hash = Xxh3::new();
    let mut left = PREFIX_BYTES;
    for text in &messages.first_texts {
        let length = text.len().min(left);
        hash.update(&text.as_bytes()[..length]);
        left -= length;
    }
    hash.digest()
}
