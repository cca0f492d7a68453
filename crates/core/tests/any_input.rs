//! Tokens, idempotency keys and bundle records with arbitrary content cause an error, without a panic
//! or a change of state.

use proptest::prelude::*;
use ravenspoke_core::claims::check_key;
use ravenspoke_core::fold::{BundleFold, FoldOutcome, SignOffRule};
use ravenspoke_core::message::{BundleRecord, BundleSection, SignOff};
use ravenspoke_core::session::{SessionClaims, TokenError, TokenKey, TokenKeys};
use ravenspoke_core::time::WallTime;

fn keys(ids: &[&str]) -> TokenKeys {
    let key = |id: &&str| TokenKey { id: (*id).to_owned(), secret: id.as_bytes().repeat(16) };
    TokenKeys(ids.iter().map(key).collect())
}

fn claims() -> SessionClaims {
    let pins = [("small".to_owned(), "small-1".to_owned())].into();
    SessionClaims { session: 7, account: "alpha".to_owned(), pins }
}

#[test]
fn a_token_stays_valid_after_key_rotation_until_its_key_is_removed() {
    let token = keys(&["k1"]).sign(&claims()).expect("a key");

    assert_eq!(keys(&["k2", "k1"]).verify(&token), Ok(claims()));
    assert_eq!(keys(&["k2"]).verify(&token), Err(TokenError::Forged));
}

#[test]
fn debug_output_of_token_keys_hides_the_secret() {
    let shown = format!("{:?}", keys(&["k1"]));

    assert!(!shown.contains("107"), "{shown}");
    assert!(shown.contains("k1"));
}

proptest! {
    #[test]
    fn an_arbitrary_token_is_refused(token in "\\PC{0,200}") {
        prop_assert!(keys(&["k1"]).verify(&token).is_err());
    }

    #[test]
    fn a_token_with_a_changed_byte_is_refused(place in 0usize..100, byte in 32u8..127) {
        let token = keys(&["k1"]).sign(&claims()).expect("a key");
        let place = place * token.len() / 100;
        let mut bytes = token.clone().into_bytes();
        prop_assume!(bytes[place] != byte);
        bytes[place] = byte;
        let changed = String::from_utf8(bytes).expect("plain text");
        prop_assert!(keys(&["k1"]).verify(&changed).is_err());
    }

    #[test]
    fn an_arbitrary_caller_key_causes_no_panic(text in "\\PC{0,60}", now in any::<u64>()) {
        let _ = check_key(Some(&text), WallTime(now / 4), 3_600_000);
    }

    #[test]
    fn a_bundle_record_without_a_valid_signature_changes_nothing(
        sequence in any::<u64>(),
        base in "\\PC{0,20}",
        name in "\\PC{0,20}",
        json in "\\PC{0,20}",
        whole in any::<bool>(),
        carried in any::<bool>(),
        signature in proptest::collection::vec(any::<u8>(), 0..80),
    ) {
        let signer = ed25519_dalek::SigningKey::from_bytes(&[1; 32]).verifying_key();
        let rule = SignOffRule { needed: 1, keys: vec![("ada".to_owned(), signer)] };
        let mut fold = BundleFold::new(rule);
        let section = BundleSection { name, json };
        let digest = ravenspoke_core::bundle::bundle_digest(
            &[(section.name.clone(), section.json.clone())].into(),
        );
        let record = BundleRecord {
            sequence, base, digest, whole, carried, changed: vec![section],
            sign_offs: vec![SignOff { key_id: "ada".to_owned(), signature }],
            ..BundleRecord::default()
        };
        let folded = fold.fold_record(0, &record);
        let adopted = fold.adopt_record(&record);
        prop_assert!(!matches!(folded, FoldOutcome::Accepted));
        prop_assert!(!matches!(adopted, FoldOutcome::Accepted));
        prop_assert_eq!(fold.sequence(), 0);
    }
}
