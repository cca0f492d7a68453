//! Commands for bundles: sign, publish, status and diff.
//!
//! Publishing appends to the log and reads back, since an append without a response may have taken
//! effect.

use std::time::{Duration, Instant};

use ed25519_dalek::{Signer, SigningKey};
use ravenspoke_config::bundle_file::read_bundle;
use ravenspoke_core::bundle::{bundle_digest, signed_bytes, BundleSpec};
use ravenspoke_core::fold::{
    change_record, BundleFold, FoldOutcome, FoldRejection, SignOffRule, NO_BASE,
};
use ravenspoke_core::freshness::FRESH_LEASE_MS;
use ravenspoke_core::message::{BundleRecord, LogRecord, RecordBody, SignOff};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::config::OperatorConfig;
use crate::CommandError;

/// How long a publisher reads back to learn the outcome of an append before it appends again.
const READ_BACK: Duration = Duration::from_secs(2);

/// Maximum number of appends of one publish command.
const APPEND_TRIES: u32 = 4;

/// The file with the sign-offs of a bundle, stored next to the bundle file.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct SignOffFile {
    /// Sequence that was signed.
    pub sequence: u64,
    /// Base that was signed.
    pub base: String,
    /// Digest that was signed.
    pub digest: String,
    /// Signatures by key id, in hexadecimal.
    pub signatures: std::collections::BTreeMap<String, String>,
}

/// Reads a bundle file.
///
/// # Errors
/// Returns [`CommandError::File`] if the file cannot be read, or [`CommandError::Findings`].
pub fn load_bundle(path: &str) -> Result<BundleSpec, CommandError> {
    let bytes = std::fs::read(path).map_err(|error| file_error(path, &error))?;
    // Bytes that are not UTF-8 become replacement characters, which the parser reports with their
    // place.
    Ok(read_bundle(path, &String::from_utf8_lossy(&bytes))?)
}

fn file_error(path: &str, error: &std::io::Error) -> CommandError {
    CommandError::File { file: path.to_owned(), error: error.to_string() }
}

/// Folds the log's bundles stream as the boxes do.
///
/// # Errors
/// Returns [`CommandError::Unreachable`] if the log cannot be read.
pub async fn fold_log(config: &OperatorConfig) -> Result<BundleFold, CommandError> {
    let mut fold = BundleFold::new(config.rule.clone());
    catch_up(config, &mut fold, None).await?;
    Ok(fold)
}

/// Reads the stream to its tail. Returns the outcome of the record with `digest`, if it was read.
async fn catch_up(
    config: &OperatorConfig,
    fold: &mut BundleFold,
    digest: Option<&str>,
) -> Result<Option<FoldOutcome>, CommandError> {
    let mut ours = None;
    loop {
        let read = config.log.read("bundles", fold.next_offset(), Duration::ZERO).await?;
        if read.first > fold.next_offset() {
            fold.record_gap(read.first);
        }
        for (offset, record) in read.records {
            match record.body {
                Some(RecordBody::Bundle(bundle)) => {
                    let outcome = fold.fold_record(offset, &bundle);
                    if digest == Some(bundle.digest.as_str()) && !bundle.carried && ours.is_none() {
                        ours = Some(outcome);
                    }
                }
                _ => fold.skip_record(offset),
            }
        }
        if fold.next_offset() >= read.tail {
            return Ok(ours);
        }
    }
}

/// Signs the bundle at `path` against the bundle in force. Earlier sign-offs of the same change are
/// kept.
///
/// # Errors
/// Returns [`CommandError`] if a file or the log cannot be read or written.
pub async fn sign(
    config: &OperatorConfig,
    path: &str,
    id: &str,
    key_path: &str,
) -> Result<Value, CommandError> {
    let sections = load_bundle(path)?.sections();
    let fold = fold_log(config).await?;
    let record = change_record(fold.in_force(), &sections, Vec::new());
    let key = read_key(key_path)?;
    let bytes = signed_bytes(record.sequence, &record.base, &record.digest);
    let signature = hex::encode(key.sign(&bytes).to_bytes());
    let sign_path = format!("{path}.signed");
    let before = std::fs::read_to_string(&sign_path).unwrap_or_default();
    let mut file: SignOffFile = serde_json::from_str(&before).unwrap_or_default();
    if file.digest != record.digest || file.base != record.base {
        file = SignOffFile {
            sequence: record.sequence,
            base: record.base.clone(),
            digest: record.digest.clone(),
            ..SignOffFile::default()
        };
    }
    file.signatures.insert(id.to_owned(), signature);
    let text = serde_json::to_string_pretty(&file).unwrap_or_default();
    std::fs::write(&sign_path, text + "\n").map_err(|error| file_error(&sign_path, &error))?;
    Ok(json!({
        "signed": sign_path, "sequence": record.sequence, "base": record.base,
        "digest": record.digest, "signers": file.signatures.keys().collect::<Vec<_>>(),
    }))
}

fn read_key(path: &str) -> Result<SigningKey, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|error| file_error(path, &error))?;
    let bytes = hex::decode(text.trim()).ok().and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
    bytes.map(|bytes| SigningKey::from_bytes(&bytes)).ok_or_else(|| CommandError::File {
        file: path.to_owned(),
        error: "not a signing key: 64 hexadecimal digits".to_owned(),
    })
}

/// Creates a signing key, writes the secret to `path` and returns the public key.
///
/// # Errors
/// Returns [`CommandError::File`] if the file cannot be written.
pub fn new_key(path: &str) -> Result<Value, CommandError> {
    let key = SigningKey::from_bytes(&rand::random());
    std::fs::write(path, hex::encode(key.to_bytes()) + "\n")
        .map_err(|error| file_error(path, &error))?;
    Ok(json!({ "secret": path, "public": hex::encode(key.verifying_key().to_bytes()) }))
}

/// Publishes the bundle at `path`: checks its base and sign-offs, appends it and reads back.
///
/// # Errors
/// Returns [`CommandError::Failed`] if the sign-offs do not suffice, or if another bundle was
/// published first, which the error names.
pub async fn publish(config: &OperatorConfig, path: &str) -> Result<Value, CommandError> {
    let sections = load_bundle(path)?.sections();
    let sign_path = format!("{path}.signed");
    let text =
        std::fs::read_to_string(&sign_path).map_err(|error| file_error(&sign_path, &error))?;
    let signed: SignOffFile = serde_json::from_str(&text).map_err(|error| CommandError::File {
        file: sign_path.clone(),
        error: error.to_string(),
    })?;
    if signed.digest != bundle_digest(&sections) {
        let help = "sign it again with `ravenspoke bundle sign`";
        return Err(CommandError::failed("the bundle changed after it was signed", help));
    }
    let mut fold = fold_log(config).await?;
    if fold.in_force().is_some_and(|bundle| bundle.digest == signed.digest) {
        return Ok(published(&signed, true));
    }
    check_base(&fold, &signed)?;
    let record = change_record(fold.in_force(), &sections, sign_offs(&signed));
    check_sign_offs(&config.rule, &record)?;
    append(config, &mut fold, &signed, record).await
}

fn sign_offs(signed: &SignOffFile) -> Vec<SignOff> {
    let row = |(id, signature): (&String, &String)| SignOff {
        key_id: id.clone(),
        signature: hex::decode(signature).unwrap_or_default(),
    };
    signed.signatures.iter().map(row).collect()
}

fn check_base(fold: &BundleFold, signed: &SignOffFile) -> Result<(), CommandError> {
    let in_force = fold.in_force().map_or(NO_BASE, |bundle| &bundle.digest);
    if signed.base == in_force {
        return Ok(());
    }
    Err(lost_race(fold))
}

fn check_sign_offs(rule: &SignOffRule, record: &BundleRecord) -> Result<(), CommandError> {
    let valid = rule.count(record.sequence, &record.base, &record.digest, &record.sign_offs);
    if valid >= rule.needed {
        return Ok(());
    }
    let message = format!("the bundle has {valid} valid sign-offs of {} needed", rule.needed);
    Err(CommandError::failed(message, "let more operators sign it with `ravenspoke bundle sign`"))
}

/// The error of a publisher that lost the race; it names the bundle that was published first.
fn lost_race(fold: &BundleFold) -> CommandError {
    let Some(winner) = fold.in_force() else {
        return CommandError::failed("no bundle is in force", "sign again: the base is gone");
    };
    let signers: Vec<&str> = winner.sign_offs.iter().map(|row| row.key_id.as_str()).collect();
    let message = format!(
        "not published: bundle {} ({}), signed by {}, came first",
        winner.sequence,
        winner.digest,
        signers.join(" and ")
    );
    CommandError::failed(message, "look at `ravenspoke bundle diff`, then sign and publish again")
}

async fn append(
    config: &OperatorConfig,
    fold: &mut BundleFold,
    signed: &SignOffFile,
    record: BundleRecord,
) -> Result<Value, CommandError> {
    let log_record = LogRecord { incarnation: 0, body: Some(RecordBody::Bundle(record)) };
    let mut last_error = String::new();
    for _ in 0..APPEND_TRIES {
        let appended = config.log.append("bundles", std::slice::from_ref(&log_record)).await;
        if let Err(error) = appended {
            last_error = error.to_string();
        }
        // The log shows the outcome, whether or not the append was acknowledged.
        match read_back(config, fold, &signed.digest).await {
            Some(FoldOutcome::Accepted | FoldOutcome::Repeated) => {
                return Ok(published(signed, false));
            }
            Some(FoldOutcome::Rejected(FoldRejection::SignOffs { .. })) => {
                let help = "the boxes know other operator keys than this command's settings";
                return Err(CommandError::failed("the sign-offs are not valid", help));
            }
            Some(FoldOutcome::Rejected(_)) => return Err(lost_race(fold)),
            None => {}
        }
    }
    Err(CommandError::Unreachable(format!("the log did not take the bundle: {last_error}")))
}

async fn read_back(
    config: &OperatorConfig,
    fold: &mut BundleFold,
    digest: &str,
) -> Option<FoldOutcome> {
    let until = Instant::now() + READ_BACK;
    while Instant::now() < until {
        if let Ok(Some(outcome)) = catch_up(config, fold, Some(digest)).await {
            return Some(outcome);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    None
}

fn published(signed: &SignOffFile, before: bool) -> Value {
    json!({
        "published": signed.sequence, "digest": signed.digest, "was_in_force": before,
    })
}

/// The sequence in force on each box, and whether a majority of boxes confirms the newest.
///
/// # Errors
/// Returns [`CommandError::Unreachable`] if the box list cannot be read.
pub async fn status(config: &OperatorConfig) -> Result<Value, CommandError> {
    let list = config.boxes().await?;
    let newest = match fold_log(config).await {
        Ok(fold) => fold.sequence(),
        Err(_) => 0,
    };
    let mut rows = Vec::new();
    let mut confirmed = 0;
    for (name, address) in &list.operators {
        let state = config.ask(address, "/state").await;
        let sequence = state.as_ref().and_then(|state| state["sequence"].as_u64());
        confirmed += usize::from(sequence.is_some_and(|sequence| sequence >= newest));
        rows.push(json!({
            "box": name, "sequence": sequence,
            "fresh": state.as_ref().map(|state| state["fresh"].clone()),
        }));
    }
    let majority = confirmed * 2 > list.operators.len();
    Ok(json!({
        "newest": newest, "confirmed": confirmed, "listed": list.operators.len(),
        "majority_confirmed": majority,
        "in_force_everywhere_after_ms": if majority { Some(FRESH_LEASE_MS) } else { None },
        "boxes": rows,
    }))
}

/// The sections in which the bundle at `path` differs from the bundle in force.
///
/// # Errors
/// Returns [`CommandError`] if the file or the log cannot be read.
pub async fn diff(config: &OperatorConfig, path: &str) -> Result<Value, CommandError> {
    let sections = load_bundle(path)?.sections();
    let fold = fold_log(config).await?;
    let record = change_record(fold.in_force(), &sections, Vec::new());
    let before = fold.in_force().map(|bundle| &bundle.sections);
    let row = |section: &ravenspoke_core::message::BundleSection| {
        let old = before.and_then(|sections| sections.get(&section.name));
        json!({ "section": section.name, "before": old, "after": section.json })
    };
    Ok(json!({
        "base": record.base, "digest": record.digest,
        "changed": record.changed.iter().map(row).collect::<Vec<_>>(),
        "removed": record.removed,
    }))
}
