//! Validates the messages of a chat request before it is routed.

use std::fmt;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Roles of the chat-completions protocol.
pub const ROLES: [&str; 6] = ["system", "developer", "user", "assistant", "tool", "function"];

/// Messages whose texts are kept for the prefix of the prompt.
const FIRST_TEXTS: usize = 8;

/// What routing needs of valid messages. Texts are as they stand in the body, without quotes.
#[derive(Debug, Default)]
pub struct MessageSummary<'a> {
    /// Length of all texts, in bytes.
    pub text_bytes: usize,
    /// The first texts.
    pub first_texts: Vec<&'a str>,
    /// Content of the last message, if it is a text, with its quotes.
    pub question: Option<&'a str>,
    /// Number of messages.
    count: usize,
    /// The first invalid message.
    invalid: Option<String>,
}

/// Fields of a message that are checked.
#[derive(Deserialize)]
struct MessageFields<'a> {
    #[serde(borrow, default)]
    role: Option<&'a RawValue>,
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

/// Reads the messages of a request; `None` if they are not a list, or an empty one.
///
/// # Errors
/// Returns a message for the caller about the first invalid message.
pub fn read_messages(text: &str) -> Result<Option<MessageSummary<'_>>, String> {
    let Ok(summary) = serde_json::from_str::<MessageSummary<'_>>(text) else { return Ok(None) };
    if let Some(invalid) = summary.invalid {
        return Err(invalid);
    }
    Ok(Some(summary).filter(|summary| summary.count > 0))
}

impl<'a> MessageSummary<'a> {
    /// Adds the next message, unless an earlier one is invalid.
    fn add(&mut self, message: &'a RawValue) {
        let row = self.count;
        self.count += 1;
        if self.invalid.is_some() {
            return;
        }
        let is_object = message.get().starts_with('{');
        let fields = serde_json::from_str::<MessageFields<'a>>(message.get()).ok();
        let fields = fields.filter(|_| is_object);
        let role = fields.as_ref().and_then(|fields| fields.role);
        let role = role.and_then(|role| serde_json::from_str::<String>(role.get()).ok());
        if !role.is_some_and(|role| ROLES.contains(&role.as_str())) {
            let roles = ROLES.join(", ");
            self.invalid = Some(format!("`messages[{row}].role` must be one of {roles}"));
            return;
        }
        // Content may be null or missing in messages with tool calls.
        let content = fields.and_then(|fields| fields.content).map(RawValue::get);
        if content.is_some_and(|content| !content.starts_with(['"', '['])) {
            let text = "must be a text or a list of parts";
            self.invalid = Some(format!("`messages[{row}].content` {text}"));
            return;
        }
        self.question = content.filter(|content| content.starts_with('"'));
        if let Some(text) = self.question {
            let text = text.trim_matches('"');
            self.text_bytes += text.len();
            if self.first_texts.len() < FIRST_TEXTS {
                self.first_texts.push(text);
            }
        }
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for MessageSummary<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(SummaryVisitor(std::marker::PhantomData))
    }
}

/// Reads messages one after the other and keeps none of them.
struct SummaryVisitor<'a>(std::marker::PhantomData<&'a ()>);

impl<'de: 'a, 'a> Visitor<'de> for SummaryVisitor<'a> {
    type Value = MessageSummary<'a>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of messages")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut messages: A) -> Result<Self::Value, A::Error> {
        let mut summary = MessageSummary::default();
        while let Some(message) = messages.next_element::<&'de RawValue>()? {
            summary.add(message);
        }
        Ok(summary)
    }
}
