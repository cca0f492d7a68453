//! Checks a TOML table against a description of its fields.

use std::ops::Range;

use toml_edit::{ImDocument, Item, TableLike};

use crate::finding::FindingList;

/// Type of a field's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// A string.
    Text,
    /// A whole number, not negative.
    Count,
    /// A number, not negative.
    Number,
    /// `true` or `false`.
    Flag,
    /// A list of strings.
    Texts,
    /// A list of whole numbers, not negative.
    Counts,
    /// A table or a list of tables, which has its own description.
    Nested,
}

impl FieldKind {
    fn description(self) -> &'static str {
        match self {
            Self::Text => "a string",
            Self::Count => "a whole number, not negative",
            Self::Number => "a number, not negative",
            Self::Flag => "true or false",
            Self::Texts => "a list of strings",
            Self::Counts => "a list of whole numbers, not negative",
            Self::Nested => "a table",
        }
    }

    fn fits(self, item: &Item) -> bool {
        let is_count = |value: &toml_edit::Value| value.as_integer().is_some_and(|n| n >= 0);
        let all = |test: &dyn Fn(&toml_edit::Value) -> bool| {
            item.as_array().is_some_and(|array| array.iter().all(test))
        };
        match self {
            Self::Text => item.is_str(),
            Self::Count => item.as_value().is_some_and(is_count),
            Self::Number => {
                let float = item.as_float().is_some_and(|n| n >= 0.0 && n.is_finite());
                float || item.as_value().is_some_and(is_count)
            }
            Self::Flag => item.is_bool(),
            Self::Texts => all(&toml_edit::Value::is_str),
            Self::Counts => all(&is_count),
            Self::Nested => item.is_table_like() || item.is_array_of_tables() || item.is_array(),
        }
    }
}

/// A field of a table.
#[derive(Clone, Copy, Debug)]
pub struct TableField {
    /// Name of the field.
    pub name: &'static str,
    /// Type of its value.
    pub kind: FieldKind,
    /// Whether the field must be present.
    pub required: bool,
}

/// A required field.
pub const fn needed(name: &'static str, kind: FieldKind) -> TableField {
    TableField { name, kind, required: true }
}

/// An optional field.
pub const fn optional(name: &'static str, kind: FieldKind) -> TableField {
    TableField { name, kind, required: false }
}

/// Parses `text`; a syntax error becomes the only finding.
pub fn parse_text<'a>(text: &'a str, list: &mut FindingList) -> Option<ImDocument<&'a str>> {
    match ImDocument::parse(text) {
        Ok(document) => Some(document),
        Err(error) => {
            let place = error.span().unwrap_or(0..0);
            list.add(place, format!("not TOML: {}", error.message()), "correct the syntax");
            None
        }
    }
}

/// Byte range of an item. A table that exists only through its sections has the range of its first
/// section; an item without a range has the start of the file.
pub fn place_of(item: &Item) -> Range<usize> {
    let first = || item.as_table_like()?.iter().find_map(|(_, entry)| entry.span());
    item.span().or_else(first).unwrap_or(0..0)
}

/// Checks the fields of `table`, which findings call `name` and which starts at `place`.
pub fn check_table(
    table: &dyn TableLike,
    name: &str,
    place: Range<usize>,
    fields: &[TableField],
    list: &mut FindingList,
) {
    for (key, item) in table.iter() {
        let Some(field) = fields.iter().find(|field| field.name == key) else {
            let known: Vec<&str> = fields.iter().map(|field| field.name).collect();
            let at = table.key(key).and_then(toml_edit::Key::span).unwrap_or(place_of(item));
            let help = format!("remove it, or use one of: {}", known.join(", "));
            list.add(at, format!("{name} has no field `{key}`"), help);
            continue;
        };
        if !field.kind.fits(item) {
            let help = format!("write {}", field.kind.description());
            list.add(
                place_of(item),
                format!("{name}: `{key}` is not {}", field.kind.description()),
                help,
            );
        }
    }
    for field in fields.iter().filter(|field| field.required) {
        if !table.contains_key(field.name) {
            let help = format!("add `{} = …`, {}", field.name, field.kind.description());
            list.add(place.clone(), format!("{name} lacks `{}`", field.name), help);
        }
    }
}
