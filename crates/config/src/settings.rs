//! Settings of a box that is configured by signed bundles. `docs/OPERATIONS.md` describes the file.

use std::net::SocketAddr;

use ed25519_dalek::VerifyingKey;
use ravenspoke_core::fold::SignOffRule;
use ravenspoke_core::session::{TokenKey, TokenKeys};
use serde::Deserialize;

use crate::finding::{FileFindings, FindingList};
use crate::table::{check_table, needed, optional, parse_text, place_of, FieldKind, TableField};

/// Validated settings of a box.
#[derive(Clone, Deserialize)]
pub struct ProcessSettings {
    /// Box name, as in the box list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Base URLs of the platform's services.
    pub platform: PlatformSettings,
    /// Keys.
    pub keys: KeySettings,
    /// Limits.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Logs.
    #[serde(default)]
    pub logs: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Deserialize)]
pub struct ListenSettings {
    /// For callers.
    pub entry: SocketAddr,
    /// For other boxes.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

/// Base URLs of the platform's services.
#[derive(Clone, Deserialize)]
pub struct PlatformSettings {
    /// Log service.
    pub log: String,
    /// Box list.
    pub list: String,
    /// Rating service.
    pub rating: String,
}

/// Keys. They never appear in logs, dumps or errors.
#[derive(Clone, Deserialize)]
pub struct KeySettings {
    /// SHA-256 of the operator key, 64 hexadecimal digits.
    pub operator_hash: String,
    /// Secret that all boxes share, in hexadecimal.
    pub peer: String,
    /// Secrets of session tokens, newest first.
    pub tokens: Vec<TokenSettings>,
    /// Operators that may sign bundles.
    pub sign_off: Vec<SignerSettings>,
    /// Number of operators that must sign a bundle.
    pub sign_offs_needed: usize,
}

/// A secret that signs session tokens.
#[derive(Clone, Deserialize)]
pub struct TokenSettings {
    /// Key id.
    pub id: String,
    /// Secret in hexadecimal.
    pub secret: String,
}

/// An operator that may sign bundles.
#[derive(Clone, Deserialize)]
pub struct SignerSettings {
    /// Key id.
    pub id: String,
    /// Ed25519 public key, 64 hexadecimal digits.
    pub public: String,
}

/// Limits; each has a default.
#[derive(Clone, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// How long the log keeps records, in milliseconds.
    pub retention_ms: u64,
    /// How long a request may wait for a replica, in milliseconds.
    pub queue_ms: u64,
    /// How long a claim may wait for the log, in milliseconds.
    pub claim_ms: u64,
    /// How long callers may cache the address response, in milliseconds.
    pub entry_keep_ms: u64,
    /// Maximum number of bills that may wait for the log.
    pub bill_limit: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time in which a request's head has to arrive, in milliseconds.
    pub head_ms: u64,
    /// Time in which a request's body has to arrive, in milliseconds.
    pub body_ms: u64,
    /// Time without a request after which a caller's connection is closed, in milliseconds.
    pub idle_ms: u64,
    /// Memory of the process, in megabytes; 0 for 512, or half of the machine's if that is less.
    pub memory_mb: usize,
    /// Largest response, in bytes.
    pub answer_bytes: usize,
    /// Maximum number of requests in flight, and of callers' connections.
    pub connections: usize,
    /// Longest time without data from a replica during a response, in milliseconds.
    pub silence_ms: u64,
    /// Share of released responses that are rated, in parts of 256.
    pub rate_share: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            retention_ms: 24 * 3_600_000,
            queue_ms: 1_500,
            claim_ms: 3_000,
            entry_keep_ms: 10_000,
            bill_limit: 50_000,
            body_bytes: 4 << 20,
            head_ms: 10_000,
            body_ms: 60_000,
            idle_ms: 90_000,
            memory_mb: 0,
            answer_bytes: 16 << 20,
            connections: 4_096,
            silence_ms: 30_000,
            rate_share: 16,
        }
    }
}

/// Format and level of the process's logs.
#[derive(Clone, Deserialize)]
#[serde(default)]
pub struct LogSettings {
    /// `text` or `json`.
    pub format: String,
    /// Lowest level that is logged: `error`, `warn`, `info` or `debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { format: "text".to_owned(), level: "info".to_owned() }
    }
}

impl std::fmt::Debug for ProcessSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "ProcessSettings({} in {}, ..)", self.name, self.zone)
    }
}

const ROOT: &[TableField] = &[
    needed("name", FieldKind::Text),
    needed("zone", FieldKind::Text),
    needed("listen", FieldKind::Nested),
    needed("platform", FieldKind::Nested),
    needed("keys", FieldKind::Nested),
    optional("limits", FieldKind::Nested),
    optional("logs", FieldKind::Nested),
];

const TABLES: &[(&str, &[TableField])] = &[
    (
        "listen",
        &[
            needed("entry", FieldKind::Text),
            needed("peer", FieldKind::Text),
            needed("operator", FieldKind::Text),
        ],
    ),
    (
        "platform",
        &[
            needed("log", FieldKind::Text),
            needed("list", FieldKind::Text),
            needed("rating", FieldKind::Text),
        ],
    ),
    (
        "keys",
        &[
            needed("operator_hash", FieldKind::Text),
            needed("peer", FieldKind::Text),
            needed("tokens", FieldKind::Nested),
            needed("sign_off", FieldKind::Nested),
            needed("sign_offs_needed", FieldKind::Count),
        ],
    ),
    (
        "limits",
        &[
            optional("retention_ms", FieldKind::Count),
            optional("queue_ms", FieldKind::Count),
            optional("claim_ms", FieldKind::Count),
            optional("entry_keep_ms", FieldKind::Count),
            optional("bill_limit", FieldKind::Count),
            optional("body_bytes", FieldKind::Count),
            optional("head_ms", FieldKind::Count),
            optional("body_ms", FieldKind::Count),
            optional("idle_ms", FieldKind::Count),
            optional("memory_mb", FieldKind::Count),
            optional("answer_bytes", FieldKind::Count),
            optional("connections", FieldKind::Count),
            optional("silence_ms", FieldKind::Count),
            optional("rate_share", FieldKind::Count),
        ],
    ),
    ("logs", &[optional("format", FieldKind::Text), optional("level", FieldKind::Text)]),
];

/// Reads the text of a settings file, which findings call `file`.
///
/// # Errors
/// Returns all findings.
pub fn read_settings(file: &str, text: &str) -> Result<ProcessSettings, Box<FileFindings>> {
    let mut list = FindingList::default();
    let settings = parse_settings(text, &mut list);
    match settings {
        Some(settings) if list.is_empty() => Ok(settings),
        _ => Err(Box::new(list.report(file, text))),
    }
}

fn parse_settings(text: &str, list: &mut FindingList) -> Option<ProcessSettings> {
    let document = parse_text(text, list)?;
    check_table(document.as_table(), "the file", 0..0, ROOT, list);
    for (name, fields) in TABLES {
        let item = document.get(name);
        if let Some(table) = item.and_then(|item| item.as_table_like()) {
            check_table(table, &format!("[{name}]"), item.map_or(0..0, place_of), fields, list);
        }
    }
    if !list.is_empty() {
        return None;
    }
    let settings: ProcessSettings = match toml::from_str(text) {
        Ok(settings) => settings,
        Err(error) => {
            list.add(error.span().unwrap_or(0..0), error.message(), "correct the value");
            return None;
        }
    };
    let place = document.get("keys").map_or(0..0, place_of);
    check_keys(&settings.keys, place, list);
    Some(settings)
}

fn check_keys(keys: &KeySettings, place: std::ops::Range<usize>, list: &mut FindingList) {
    if hex::decode(&keys.operator_hash).map_or(0, |bytes| bytes.len()) != 32 {
        let help = "write the SHA-256 of the operator key";
        list.add(place.clone(), "keys.operator_hash is not 64 hexadecimal digits", help);
    }
    if hex::decode(&keys.peer).map_or(0, |bytes| bytes.len()) < 16 {
        let help = "write at least 32 hexadecimal digits";
        list.add(place.clone(), "keys.peer is too short or not hexadecimal", help);
    }
    for token in &keys.tokens {
        let named = !token.id.is_empty() && token.id.bytes().all(|b| b.is_ascii_alphanumeric());
        if !named || hex::decode(&token.secret).map_or(0, |bytes| bytes.len()) < 16 {
            let help = "give an id of letters and digits, and at least 32 hexadecimal digits";
            list.add(place.clone(), format!("keys.tokens `{}` is not valid", token.id), help);
        }
    }
    for signer in &keys.sign_off {
        if public_key(signer).is_none() {
            let message = format!("keys.sign_off `{}` has no valid public key", signer.id);
            list.add(place.clone(), message, "write the key that `ravenspoke key new` printed");
        }
    }
    if keys.sign_offs_needed == 0 || keys.sign_offs_needed > keys.sign_off.len() {
        let message = "keys.sign_offs_needed is not between 1 and the number of signers";
        list.add(place, message, "lower it, or add signers");
    }
}

fn public_key(signer: &SignerSettings) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(&signer.public).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

/// The rule that `needed` of `signers` must sign a bundle. Signers without a valid public key are
/// left out.
pub fn sign_off_rule(signers: &[SignerSettings], needed: usize) -> SignOffRule {
    let key = |signer: &SignerSettings| Some((signer.id.clone(), public_key(signer)?));
    SignOffRule { needed, keys: signers.iter().filter_map(key).collect() }
}

impl KeySettings {
    /// The rule for sign-offs of bundles.
    pub fn sign_off_rule(&self) -> SignOffRule {
        sign_off_rule(&self.sign_off, self.sign_offs_needed)
    }

    /// The keys of session tokens.
    pub fn token_keys(&self) -> TokenKeys {
        let key = |token: &TokenSettings| TokenKey {
            id: token.id.clone(),
            secret: hex::decode(&token.secret).unwrap_or_default(),
        };
        TokenKeys(self.tokens.iter().map(key).collect())
    }
}
