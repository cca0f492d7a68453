//! What a bundle says, once read and checked: plain data, and the index the decision uses.
//!
//! The bundle file is TOML; its reader with findings lives in `ravenspoke-config`. What travels and
//! what is signed are *sections*: each top-level entry (`accounts.alpha`) as canonical JSON. The
//! digest is taken over the sorted sections, so layout and comments of the file do not matter, and
//! a change record needs to carry only the sections that changed.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::{AccountKey, NameTable, VersionKey};

/// Sections by name, each as canonical JSON.
pub type SectionMap = BTreeMap<String, String>;

/// Digest of a whole bundle over its sorted sections: `sha256:` and 64 hexadecimal digits.
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

/// The bytes that an operator signs.
pub fn signed_bytes(sequence: u64, base: &str, digest: &str) -> Vec<u8> {
    format!("ravenspoke bundle v1\n{sequence}\n{base}\n{digest}\n").into_bytes()
}

/// Life of a version, as the bundle states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VersionState {
    /// Takes new sessions and requests.
    Serving,
    /// Serves its sessions, takes no new ones.
    Draining,
    /// Serves nobody.
    Withdrawn,
}

/// A model: one price, several versions, one of them the default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Cost units for each 1,000 generated tokens.
    pub cost_per_1k: f64,
    /// Version that answers new sessions when no roll-out says otherwise.
    pub version: String,
}

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Model that it is a version of.
    pub model: String,
    /// Whether it takes work.
    pub state: VersionState,
}

/// A roll-out of a version by steps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutSpec {
    /// Version that it replaces.
    pub from: String,
    /// Share of new work at each step, in percent, rising.
    pub steps: Vec<u8>,
    /// Requests of the whole fleet that may run on the version in a step before its verdict.
    pub exposure_budget: u32,
}

/// A cascade: cheaper models first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CascadeSpec {
    /// Models, cheapest first; the last is the safe one.
    pub rungs: Vec<String>,
    /// Share of answers that must meet the quality target, 0 to 1.
    pub target: f64,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountSpec {
    /// SHA-256 of each caller key, as 64 hexadecimal digits.
    pub key_hashes: Vec<String>,
    /// Models, versions and cascades that it may use.
    #[serde(default)]
    pub allow: Vec<String>,
    /// Plain services that it may call.
    #[serde(default)]
    pub services: Vec<String>,
    /// Weight of its fair share.
    #[serde(default = "one")]
    pub weight: u32,
}

fn one() -> u32 {
    1
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Operations that may not be repeated, `METHOD /path-prefix`.
    #[serde(default)]
    pub not_repeatable: Vec<String>,
    /// Cost units a call.
    #[serde(default)]
    pub cost_per_call: f64,
}

impl ServiceSpec {
    /// Whether `method` on `path` may run at most once for a key.
    pub fn runs_once(&self, method: &str, path: &str) -> bool {
        self.not_repeatable.iter().any(|rule| {
            let (verb, prefix) = rule.split_once(' ').unwrap_or((rule, "/"));
            verb.eq_ignore_ascii_case(method) && path.starts_with(prefix)
        })
    }
}

/// A pool of model engines whose loaded versions the boxes keep as the bundle says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Models whose versions every replica of the pool has loaded, unless they are withdrawn.
    pub models: Vec<String>,
    /// Whether the replicas refuse an order whose fencing token is lower than one they have seen.
    pub checks_token: bool,
    /// Replicas that may load at once: the weight store's rate.
    pub loads_at_once: u32,
}

/// A whole bundle.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleSpec {
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<String, ModelSpec>,
    /// Versions by name.
    #[serde(default)]
    pub versions: BTreeMap<String, VersionSpec>,
    /// Roll-outs by the version that they bring in.
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
    /// Pools of model engines by the service name of the box list.
    #[serde(default)]
    pub pools: BTreeMap<String, PoolSpec>,
}

impl BundleSpec {
    /// Versions that a replica of `pool` should have loaded, in order of name.
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

    /// Puts a bundle together from its sections.
    ///
    /// # Errors
    /// The section that is not of this format, with the reader's words.
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

/// Names interned by this box; they outlive a bundle.
#[derive(Debug, Default)]
pub struct NameIndex {
    /// Client accounts.
    pub accounts: NameTable<AccountKey>,
    /// Versions.
    pub versions: NameTable<VersionKey>,
}

/// A bundle made ready for lookups on the path of a request.
#[derive(Debug, Default)]
pub struct BundleIndex {
    /// The bundle itself.
    pub spec: BundleSpec,
    accounts: HashMap<[u8; 32], AccountKey>,
    allowed: HashMap<AccountKey, Vec<VersionKey>>,
    states: HashMap<VersionKey, VersionState>,
}

impl BundleIndex {
    /// Indexes `spec`, interning its names.
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

    /// The account that a caller key's hash belongs to.
    pub fn account(&self, hash: &[u8; 32]) -> Option<AccountKey> {
        self.accounts.get(hash).copied()
    }

    /// Whether `account` may use `version`, whatever its state.
    pub fn allows(&self, account: AccountKey, version: VersionKey) -> bool {
        self.allowed.get(&account).is_some_and(|versions| versions.contains(&version))
    }

    /// State of `version`; a version that the bundle does not name is withdrawn.
    pub fn version_state(&self, version: VersionKey) -> VersionState {
        self.states.get(&version).copied().unwrap_or(VersionState::Withdrawn)
    }
}
