//! Logs headers of replicas' responses that this box does not know, each once.
//!
//! A replica may request something in a header that a newer version of the platform introduced.
//! Only this log shows that the box ignores it.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use http::HeaderMap;
use ravenspoke_adapter::headers;

use super::observe;

/// Maximum number of names that are remembered. Further ones are not logged.
const NAME_LIMIT: usize = 32;

/// Maximum number of characters of a value that are logged.
const VALUE_LIMIT: usize = 64;

/// Names of unknown headers that were logged.
#[derive(Debug, Default)]
pub struct UnknownHeaders(Mutex<BTreeSet<String>>);

impl UnknownHeaders {
    /// Logs unknown headers of a response of `replica` that were not logged before.
    pub fn log_new(&self, replica: &str, response: &HeaderMap) {
        for (name, value) in headers::unknown_headers(response) {
            if self.is_new(name.as_str()) {
                let value = String::from_utf8_lossy(value.as_bytes());
                let short: String = value.chars().take(VALUE_LIMIT).collect();
                observe::log_unknown_header(name.as_str(), &short, replica);
            }
        }
    }

    fn is_new(&self, name: &str) -> bool {
        let mut names = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        names.len() < NAME_LIMIT && names.insert(name.to_owned())
    }
}
