//! Bundles, keys and settings for simulated boxes.

use ed25519_dalek::{Signer, SigningKey};
use ravenspoke_core::bundle::{signed_bytes, BundleSpec};
use ravenspoke_core::fold::{change_record, BundleInForce, SignOffRule};
use ravenspoke_core::membership::ListedBox;
use ravenspoke_core::message::{BundleRecord, SignOff};
use ravenspoke_core::replica::ListedReplica;
use ravenspoke_core::session::{TokenKey, TokenKeys};
use ravenspoke_core::state::BoxSettings;
use sha2::{Digest, Sha256};

/// Retention of the log, in milliseconds.
pub const RETENTION_MS: u64 = 3_600_000;

/// SHA-256 hash of a caller's API key.
pub fn caller_hash(key: &str) -> [u8; 32] {
    Sha256::digest(key).into()
}

/// Signing key of the only operator.
pub fn signing_key() -> SigningKey {
    SigningKey::from_bytes(&[7; 32])
}

/// A rule that needs one sign-off, of the only operator.
pub fn sign_off_rule() -> SignOffRule {
    SignOffRule { needed: 1, keys: vec![("ada".to_owned(), signing_key().verifying_key())] }
}

/// Settings of a simulated box.
pub fn box_settings(name: &str, zone: &str, incarnation: u64) -> BoxSettings {
    BoxSettings {
        name: name.to_owned(),
        zone: zone.to_owned(),
        incarnation,
        sign_off: sign_off_rule(),
        token_keys: TokenKeys(vec![TokenKey { id: "k1".to_owned(), secret: vec![9; 32] }]),
        retention_ms: RETENTION_MS,
        queue_ms: 1_500,
        claim_ms: 3_000,
        entry_keep_ms: 10_000,
        bill_limit: 50_000,
        rate_share: 16,
    }
}

/// A box as a row of the box list.
pub fn listed_box(name: &str, zone: &str) -> ListedBox {
    ListedBox {
        name: name.to_owned(),
        entry: format!("{name}:80"),
        peer: format!("{name}:81"),
        zone: zone.to_owned(),
        leaving: false,
    }
}

/// A replica as a row of the box list.
pub fn listed_replica(name: &str, service: &str, engine: bool) -> ListedReplica {
    ListedReplica {
        name: name.to_owned(),
        address: format!("{name}:1"),
        zone: "zone-0".to_owned(),
        service: service.to_owned(),
        engine,
        leaving: false,
    }
}

/// The signed record that puts `spec` into force after `base`.
pub fn signed_record(base: Option<&BundleInForce>, spec: &BundleSpec) -> BundleRecord {
    let mut record = change_record(base, &spec.sections(), Vec::new());
    let bytes = signed_bytes(record.sequence, &record.base, &record.digest);
    let signature = signing_key().sign(&bytes).to_bytes().to_vec();
    record.sign_offs = vec![SignOff { key_id: "ada".to_owned(), signature }];
    record
}

/// Parses a bundle from TOML.
///
/// # Panics
/// Panics if the text has findings.
pub fn bundle(text: &str) -> BundleSpec {
    ravenspoke_config::bundle_file::read_bundle("fixture.toml", text)
        .unwrap_or_else(|findings| panic!("{}", findings.lines().join("\n")))
}
