//! Checks the messages of a chat request before anything is decided of it.

use serde_json::Value;

/// Roles of the chat-completions protocol.
pub const ROLES: [&str; 6] = ["system", "developer", "user", "assistant", "tool", "function"];

/// Checks a request's messages.
///
/// # Errors
/// What is wrong with the first message that is, in words for the caller.
pub fn check_messages(messages: &[Value]) -> Result<(), String> {
    for (row, message) in messages.iter().enumerate() {
        let role = message["role"].as_str().unwrap_or_default();
        if !ROLES.contains(&role) {
            return Err(format!("`messages[{row}].role` must be one of {}", ROLES.join(", ")));
        }
        // Null and none stand beside tool calls.
        let content = &message["content"];
        if !(content.is_null() || content.is_string() || content.is_array()) {
            return Err(format!("`messages[{row}].content` must be a text or a list of parts"));
        }
    }
    Ok(())
}
