//! Reads the bundle file, a TOML file meant for version control. `docs/BUNDLE.md` describes it.
//!
//! [`read_bundle`] checks the fields of every section, then the references between sections, and
//! reports all findings together. It does not panic on any input.

use ravenspoke_core::bundle::{BundleSpec, VersionState};
use toml_edit::{Item, TableLike};

use crate::finding::{FileFindings, FindingList};
use crate::table::{check_table, needed, optional, parse_text, place_of, FieldKind, TableField};

/// Largest bundle file, in bytes.
pub const BUNDLE_LIMIT: usize = 512 * 1024;

/// Longest name of a section, in bytes.
pub const NAME_LIMIT: usize = 96;

const TABLES: &[(&str, &[TableField])] = &[
    ("models", &[needed("cost_per_1k", FieldKind::Number), needed("version", FieldKind::Text)]),
    ("versions", &[needed("model", FieldKind::Text), needed("state", FieldKind::Text)]),
    (
        "rollouts",
        &[
            needed("from", FieldKind::Text),
            needed("steps", FieldKind::Counts),
            needed("exposure_budget", FieldKind::Count),
        ],
    ),
    ("cascades", &[needed("rungs", FieldKind::Texts), needed("target", FieldKind::Number)]),
    (
        "accounts",
        &[
            needed("key_hashes", FieldKind::Texts),
            optional("allow", FieldKind::Texts),
            optional("services", FieldKind::Texts),
            optional("weight", FieldKind::Count),
        ],
    ),
    (
        "pools",
        &[
            needed("models", FieldKind::Texts),
            needed("checks_token", FieldKind::Flag),
            needed("loads_at_once", FieldKind::Count),
        ],
    ),
    (
        "services",
        &[
            optional("not_repeatable", FieldKind::Texts),
            optional("cost_per_call", FieldKind::Number),
        ],
    ),
];

/// Reads the text of a bundle file, which findings call `file`.
///
/// # Errors
/// Returns all findings.
pub fn read_bundle(file: &str, text: &str) -> Result<BundleSpec, Box<FileFindings>> {
    let mut list = FindingList::default();
    let spec = parse_bundle(text, &mut list);
    match spec {
        Some(spec) if list.is_empty() => Ok(spec),
        _ => Err(Box::new(list.report(file, text))),
    }
}

fn parse_bundle(text: &str, list: &mut FindingList) -> Option<BundleSpec> {
    if text.len() > BUNDLE_LIMIT {
        list.add(0..0, "the bundle is larger than 512 KiB", "split it or remove what is unused");
        return None;
    }
    let document = parse_text(text, list)?;
    for (table, item) in document.iter() {
        let Some((_, fields)) = TABLES.iter().find(|(name, _)| *name == table) else {
            let known: Vec<&str> = TABLES.iter().map(|(name, _)| *name).collect();
            let help = format!("use one of: {}", known.join(", "));
            list.add(place_of(item), format!("a bundle has no table `{table}`"), help);
            continue;
        };
        check_entries(table, item, fields, list);
    }
    if !list.is_empty() {
        return None;
    }
    match toml::from_str::<BundleSpec>(text) {
        Ok(spec) => {
            ReferenceCheck { spec: &spec, root: document.as_table(), list }.check();
            Some(spec)
        }
        Err(error) => {
            list.add(error.span().unwrap_or(0..0), error.message(), "correct the value");
            None
        }
    }
}

fn check_entries(table: &str, item: &Item, fields: &[TableField], list: &mut FindingList) {
    let Some(entries) = item.as_table_like() else {
        list.add(
            place_of(item),
            format!("`{table}` is not a table"),
            "write [table.name] sections",
        );
        return;
    };
    for (name, entry) in entries.iter() {
        let label = format!("{table}.{name}");
        if name.is_empty() || name.len() > NAME_LIMIT {
            list.add(place_of(entry), format!("{label}: bad name"), "use 1 to 96 bytes");
        }
        match entry.as_table_like() {
            Some(fields_of) => check_table(fields_of, &label, place_of(entry), fields, list),
            None => list.add(place_of(entry), format!("{label} is not a table"), "write fields"),
        }
    }
}

/// Checks the references between sections and the ranges of their values.
struct ReferenceCheck<'a> {
    spec: &'a BundleSpec,
    root: &'a dyn TableLike,
    list: &'a mut FindingList,
}

impl ReferenceCheck<'_> {
    fn add_finding(&mut self, table: &str, entry: &str, message: String, help: &str) {
        let section = self.root.get(table).and_then(|item| item.get(entry));
        let place = section.map_or(0..0, place_of);
        self.list.add(place, format!("{table}.{entry}: {message}"), help);
    }

    fn check(mut self) {
        self.check_models();
        self.check_versions();
        self.check_rollouts();
        self.check_cascades();
        self.check_accounts();
        self.check_services();
        self.check_pools();
    }

    fn check_pools(&mut self) {
        for (name, pool) in &self.spec.pools {
            for model in pool.models.iter().filter(|model| !self.spec.models.contains_key(*model)) {
                let message = format!("its model `{model}` is not in [models]");
                self.add_finding("pools", name, message, "add the model, or name another");
            }
            if pool.loads_at_once == 0 {
                let message = "loads_at_once = 0 never loads anything".to_owned();
                self.add_finding(
                    "pools",
                    name,
                    message,
                    "write how many replicas may load at once",
                );
            }
        }
    }

    fn check_models(&mut self) {
        for (name, model) in &self.spec.models {
            let version = self.spec.versions.get(&model.version);
            match version {
                None => self.add_finding(
                    "models",
                    name,
                    format!("its version `{}` is not in [versions]", model.version),
                    "add the version, or name another",
                ),
                Some(row) if row.model != *name => self.add_finding(
                    "models",
                    name,
                    format!("its version `{}` is of model `{}`", model.version, row.model),
                    "name a version of this model",
                ),
                Some(row) if row.state == VersionState::Withdrawn => self.add_finding(
                    "models",
                    name,
                    format!("its version `{}` is withdrawn", model.version),
                    "name a serving version",
                ),
                Some(_) => {}
            }
        }
    }

    fn check_versions(&mut self) {
        for (name, version) in &self.spec.versions {
            if !self.spec.models.contains_key(&version.model) {
                let message = format!("its model `{}` is not in [models]", version.model);
                self.add_finding("versions", name, message, "add the model, or name another");
            }
            if self.spec.models.contains_key(name) || self.spec.cascades.contains_key(name) {
                let message = "a model or cascade has this name too".to_owned();
                self.add_finding(
                    "versions",
                    name,
                    message,
                    "callers name all three: use another name",
                );
            }
        }
    }

    fn check_rollouts(&mut self) {
        for (name, rollout) in &self.spec.rollouts {
            let to = self.spec.versions.get(name);
            let from = self.spec.versions.get(&rollout.from);
            if to.is_none_or(|row| row.state != VersionState::Serving) {
                let message = "the version is not a serving one of [versions]".to_owned();
                self.add_finding("rollouts", name, message, "add it with state = \"serving\"");
            }
            if to.map(|row| &row.model) != from.map(|row| &row.model) {
                let message = format!("`{}` is not a version of the same model", rollout.from);
                self.add_finding("rollouts", name, message, "name the version that it replaces");
            }
            let rising = rollout.steps.windows(2).all(|pair| pair[0] < pair[1]);
            let in_range = rollout.steps.iter().all(|step| (1..=100).contains(step));
            if rollout.steps.is_empty() || !rising || !in_range {
                let message = "steps are not rising percentages".to_owned();
                self.add_finding("rollouts", name, message, "write for example [5, 25, 100]");
            }
            if rollout.exposure_budget == 0 {
                let message = "an exposure budget of 0 never lets it start".to_owned();
                self.add_finding(
                    "rollouts",
                    name,
                    message,
                    "write the requests that a step may expose",
                );
            }
        }
    }

    fn check_cascades(&mut self) {
        for (name, cascade) in &self.spec.cascades {
            if cascade.rungs.is_empty() {
                self.add_finding("cascades", name, "it has no rungs".to_owned(), "name models");
            }
            if !(0.0..=1.0).contains(&cascade.target) {
                let message = "its target is not a share".to_owned();
                self.add_finding("cascades", name, message, "write a number from 0 to 1");
            }
            for rung in &cascade.rungs {
                if !self.spec.models.contains_key(rung) {
                    let message = format!("its rung `{rung}` is not in [models]");
                    self.add_finding("cascades", name, message, "add the model, or name another");
                }
            }
            if self.spec.models.contains_key(name) {
                let message = "a model has this name too".to_owned();
                self.add_finding("cascades", name, message, "callers name both: use another name");
            }
        }
    }

    fn check_accounts(&mut self) {
        let spec = self.spec;
        for (name, account) in &spec.accounts {
            for hash in &account.key_hashes {
                let valid = hash.len() == 64 && hash.bytes().all(|b| b.is_ascii_hexdigit());
                if !valid {
                    let message = "a key hash is not 64 hexadecimal digits".to_owned();
                    self.add_finding(
                        "accounts",
                        name,
                        message,
                        "write the SHA-256 of the caller key",
                    );
                }
                let owners = spec.accounts.values().filter(|row| row.key_hashes.contains(hash));
                if owners.count() > 1 {
                    let message = "another account has the same key hash".to_owned();
                    self.add_finding(
                        "accounts",
                        name,
                        message,
                        "give each account keys of its own",
                    );
                }
            }
            for target in &account.allow {
                let known = spec.models.contains_key(target)
                    || spec.versions.contains_key(target)
                    || spec.cascades.contains_key(target);
                if !known {
                    let message = format!("it allows `{target}`, which is not in the bundle");
                    self.add_finding("accounts", name, message, "name a model, version or cascade");
                }
            }
            for service in &account.services {
                if !spec.services.contains_key(service) {
                    let message = format!("its service `{service}` is not in [services]");
                    self.add_finding("accounts", name, message, "add the service, or name another");
                }
            }
        }
    }

    fn check_services(&mut self) {
        for (name, service) in &self.spec.services {
            for rule in &service.not_repeatable {
                let valid = rule.split_once(' ').is_some_and(|(verb, path)| {
                    verb.bytes().all(|b| b.is_ascii_uppercase()) && path.starts_with('/')
                });
                if !valid {
                    let message = format!("`{rule}` is not an operation");
                    self.add_finding(
                        "services",
                        name,
                        message,
                        "write for example \"POST /filings\"",
                    );
                }
            }
        }
    }
}
