//! Small `Copy` keys, and the table that interns names as keys.
//!
//! Bundles name accounts, models and versions by string. Each box interns a name once and uses the
//! key from then on. A key stays valid for the life of the process, also across bundles.

use std::collections::HashMap;
use std::marker::PhantomData;

slotmap::new_key_type! {
    /// A request that the box has admitted and not yet finished.
    pub struct RequestKey;
    /// A replica of a backend server that the box knows.
    pub struct ReplicaKey;
}

/// A key that stands for an interned name.
pub trait NameKey: Copy {
    /// Returns the key of row `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the row of this key.
    fn index(self) -> usize;
}

macro_rules! name_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl NameKey for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("fewer than four billion names"))
            }
            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

name_key!(
    /// A client account.
    AccountKey
);
name_key!(
    /// A version of a model.
    VersionKey
);

/// Interned names with their keys.
#[derive(Debug)]
pub struct NameTable<K> {
    keys: HashMap<String, K>,
    names: Vec<String>,
    marker: PhantomData<K>,
}

impl<K> Default for NameTable<K> {
    fn default() -> Self {
        Self { keys: HashMap::new(), names: Vec::new(), marker: PhantomData }
    }
}

impl<K: NameKey> NameTable<K> {
    /// Returns the key of `name`, and interns the name if it is new.
    pub fn intern(&mut self, name: &str) -> K {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = K::from_index(self.names.len());
        self.keys.insert(name.to_owned(), key);
        self.names.push(name.to_owned());
        key
    }

    /// Returns the key of `name`, if it is interned.
    pub fn find(&self, name: &str) -> Option<K> {
        self.keys.get(name).copied()
    }

    /// Returns the name of `key`.
    pub fn name(&self, key: K) -> &str {
        &self.names[key.index()]
    }

    /// Number of interned names.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is interned.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}
