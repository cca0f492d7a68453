//! Content of a bundle as plain data, and the index that decisions use.
//!
//! The bundle file is TOML; `ravenspoke-config` reads it and reports its errors. Bundles are sent
//! and signed as *sections*: each top-level entry (`accounts.alpha`) as canonical JSON. The digest
//! covers the sorted sections, so the layout and comments of the file do not matter, and a change
//! record holds only the changed sections.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{AccountKey, NameTable, VersionKey};

/// Sections by name, each as canonical JSON.
pub type SectionMap = BTreeMap<String, String>;

/// Returns the digest of a bundle over its sorted sections: `sha256:` and 64 hexadecimal digits.
pub fn bundle_digest(sections: &SectionMap) -> String {
    let mut hasher = Sha256::new();
    for (name, json) in sections {
        for part in [name, json] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part.as_bytes());
        }
    }
    format!("sha256:{}", hex::encode(hasher.finalize()))
}

/// Returns the bytes that an operator signs.
pub fn signed_bytes(sequence: u64, base: &str, digest: &str) -> Vec<u8> {
    format!("ravenspoke bundle v1\n{sequence}\n{base}\n{digest}\n").into_bytes()
}

/// Life-cycle state of a version in the bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionState {
    /// Serves existing and new sessions.
    Serving,
    /// Serves existing sessions only.
    Draining,
    /// Serves no requests.
    Withdrawn,
}

/// A model with one price and a default version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Cost units per 1,000 generated tokens.
    pub cost_per_1k: f64,
    /// Default version, which answers new sessions unless a rollout selects another.
    pub version: String,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Its model.
    pub model: String,
    /// Whether it serves new or existing sessions.
    pub state: VersionState,
}

/// A rollout of a version in steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// Version that it replaces.
    pub from: String,
    /// Share of new sessions and requests at each step, in percent, increasing.
    pub steps: Vec<u8>,
    /// Requests of the whole fleet that may run on the version in a step before the verdict on it.
    pub exposure_budget: u32,
}

/// A model cascade: cheaper models are tried first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CascadeSpec {
    /// Models, the cheapest first and the safe one last.
    pub rungs: Vec<String>,
    /// Share of answers that must meet the quality target, from 0 to 1.
    pub target: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// SHA-256 of each caller key, as 64 hexadecimal digits.
    pub key_hashes: Vec<String>,
    /// Models, versions and cascades that the account may use.
    #[serde(default)]
    pub allow: Vec<String>,
    /// Plain services that the account may call.
    #[serde(default)]
    pub services: Vec<String>,
    /// Weight in fair queueing.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// A plain service, which has no models or versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Operations that must not be repeated, as `METHOD /path-prefix`.
    #[serde(default)]
    pub not_repeatable: Vec<String>,
    /// Cost units per call.
    #[serde(default)]
    pub cost_per_call: f64,
}

impl ServiceSpec {
    /// Whether `method` on `path` may run at most once for an idempotency key.
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        self.not_repeatable.iter().any(|rule| {
            let (verb, prefix) = rule.split_once(' ').unwrap_or((rule, "/"));
            verb.eq_ignore_ascii_case(method) && path.starts_with(prefix)
        })
    }
}

/// A pool of model engines whose loaded versions the boxes control.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Models of which every replica of the pool should have all versions loaded that are not
    /// withdrawn.
    pub models: Vec<String>,
    /// Whether the replicas refuse an order whose fencing token is lower than the highest they have
    /// seen.
    pub checks_token: bool,
    /// Number of replicas that may load at the same time, by the throughput of the weight store.
    pub loads_at_once: u32,
}

/// A complete bundle.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleSpec {
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<String, ModelSpec>,
    /// Versions by name.
    #[serde(default)]
    pub versions: BTreeMap<String, VersionSpec>,
    /// Rollouts by the name of the new version.
    #[serde(default)]
    pub rollouts: BTreeMap<String, RolloutSpec>,
    /// Cascades by name.
    #[serde(default)]
    pub cascades: BTreeMap<String, CascadeSpec>,
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<String, AccountSpec>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceSpec>,
    /// Pools of model engines by their service name in the box list.
    #[serde(default)]
    pub pools: BTreeMap<String, PoolSpec>,
}

impl BundleSpec {
    /// Returns the versions that a replica of `pool` should have loaded, in order of name.
    pub fn pool_versions(&self, pool: &PoolSpec) -> Vec<String> {
        let serves_pool = |(_, version): &(&String, &VersionSpec)| {
            version.state != VersionState::Withdrawn && pool.models.contains(&version.model)
        };
        self.versions.iter().filter(serves_pool).map(|(name, _)| name.clone()).collect()
    }

    /// Splits the bundle into its sections.
    pub fn sections(&self) -> SectionMap {
        let mut sections = SectionMap::new();
        let tree = serde_json::to_value(self).expect("a bundle is plain data");
        for (table, entries) in tree.as_object().into_iter().flatten() {
            for (entry, content) in entries.as_object().into_iter().flatten() {
                sections.insert(format!("{table}.{entry}"), content.to_string());
            }
        }
        sections
    }

    /// Builds a bundle from its sections.
    ///
    /// # Errors
    /// A message with the invalid section and the parser's error.
    pub fn from_sections(sections: &SectionMap) -> Result<Self, String> {
        let mut tree = serde_json::Map::new();
        for (name, json) in sections {
            let (table, entry) =
                name.split_once('.').ok_or_else(|| format!("section `{name}` has no table"))?;
            let content: serde_json::Value =
                serde_json::from_str(json).map_err(|error| format!("section `{name}`: {error}"))?;
            let rows = tree
                .entry(table.to_owned())
                .or_insert_with(|| serde_json::Value::Object(serde_json::Map::new()));
            if let Some(rows) = rows.as_object_mut() {
                rows.insert(entry.to_owned(), content);
            }
        }
        serde_json::from_value(tree.into()).map_err(|error| error.to_string())
    }
}

/// Names interned by this box. They stay when the bundle changes.
#[derive(Debug, Default)]
pub struct NameIndex {
    /// Client accounts.
    pub accounts: NameTable<AccountKey>,
    /// Versions.
    pub versions: NameTable<VersionKey>,
}

/// A bundle with indexes for the lookups of a request.
#[derive(Debug, Default)]
pub struct BundleIndex {
    /// The bundle.
    pub spec: BundleSpec,
    accounts: HashMap<[u8; 32], AccountKey>,
    allowed: HashMap<AccountKey, Vec<VersionKey>>,
    states: HashMap<VersionKey, VersionState>,
}

impl BundleIndex {
    /// Builds the index of `spec` and interns its names.
    pub fn build(spec: BundleSpec, names: &mut NameIndex) -> Self {
        let mut index = BundleIndex::default();
        for (name, version) in &spec.versions {
            index.states.insert(names.versions.intern(name), version.state);
        }
        for (name, account) in &spec.accounts {
            let key = names.accounts.intern(name);
            for hash in &account.key_hashes {
                if let Ok(Ok(hash)) = hex::decode(hash).map(<[u8; 32]>::try_from) {
                    index.accounts.insert(hash, key);
                }
            }
            let allowed = spec.versions.iter().filter(|(version, row)| {
                account.allow.iter().any(|name| {
                    name == *version
                        || *name == row.model
                        || spec.cascades.get(name).is_some_and(|c| c.rungs.contains(&row.model))
                })
            });
            let keys = allowed.map(|(version, _)| names.versions.intern(version)).collect();
            index.allowed.insert(key, keys);
        }
        index.spec = spec;
        index
    }

    /// Returns the account of a caller key by the key's hash.
    pub fn account(&self, hash: &[u8; 32]) -> Option<AccountKey> {
        self.accounts.get(hash).copied()
    }

    /// Whether `account` may use `version`, regardless of the version's state.
    pub fn allows(&self, account: AccountKey, version: VersionKey) -> bool {
        self.allowed.get(&account).is_some_and(|versions| versions.contains(&version))
    }

    /// Returns the state of `version`; a version that the bundle does not name is withdrawn.
    pub fn version_state(&self, version: VersionKey) -> VersionState {
        self.states.get(&version).copied().unwrap_or(VersionState::Withdrawn)
    }
}
