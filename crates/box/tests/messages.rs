//! Messages that no chat request may hold.

use ravenspoke_box::messages::{check_messages, ROLES};
use serde_json::json;

#[test]
fn every_role_with_a_text_a_list_or_no_content_is_taken() {
    for role in ROLES {
        for content in [json!("text"), json!([{ "type": "text", "text": "t" }]), json!(null)] {
            let messages = [json!({ "role": role, "content": content })];
            assert_eq!(check_messages(&messages), Ok(()));
        }
    }
}

#[test]
fn an_unknown_role_or_another_content_is_named_with_its_place() {
    let good = json!({ "role": "user", "content": "t" });
    let wrong_role = [good.clone(), json!({ "role": "robot", "content": "t" })];
    let words = check_messages(&wrong_role).expect_err("no such role");
    assert!(words.contains("messages[1].role"), "{words}");
    for content in [json!(3), json!({ "text": "t" }), json!(true)] {
        let wrong = [good.clone(), json!({ "role": "user", "content": content })];
        let words = check_messages(&wrong).expect_err("no such content");
        assert!(words.contains("messages[1].content"), "{words}");
    }
}
