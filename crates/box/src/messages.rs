//! Validates the messages of a chat request before it is routed.

use serde_json::Value;

/// Roles of the chat-completions protocol.
pub const ROLES: [&str; 6] = ["system", "developer", "user", "assistant", "tool", "function"];

/// Validates a request's messages.
///
/// # Errors
/// Returns a message for the caller about the first invalid message.
pub fn check_messages(messages: &[Value]) -> Result<(), String> {
    for (row, message) in messages.iter().enumerate() {
        let role = message["role"].as_str().unwrap_or_default();
        if !ROLES.contains(&role) {
            return Err(format!("`messages[{row}].role` must be one of {}", ROLES.join(", ")));
        }
        // Content may be null or missing in messages with tool calls.
        let content = &message["content"];
        if !(content.is_null() || content.is_string() || content.is_array()) {
            return Err(format!("`messages[{row}].content` must be a text or a list of parts"));
        }
    }
    Ok(())
}
