//! What requests may have in common that crashes replicas.

use std::fmt;
use std::str::FromStr;

use crate::route::event::PromptPart;

/// Something that requests may have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RequestFeature {
    /// The whole content, by its hash. A caller's retries share it.
    Content(u64),
    /// A part of the prompts of a service. The same part may be harmless at another service.
    Part {
        /// The service, by [`crate::route::backend::service_hash`] of its name.
        service: u64,
        /// The part.
        part: PromptPart,
    },
}

impl RequestFeature {
    /// Whether it is a part of a prompt.
    pub fn is_part(self) -> bool {
        matches!(self, RequestFeature::Part { .. })
    }
}

impl Default for RequestFeature {
    fn default() -> Self {
        RequestFeature::Content(0)
    }
}

impl fmt::Display for RequestFeature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RequestFeature::Content(content) => write!(f, "content/{content:016x}"),
            RequestFeature::Part { service, part } => write!(f, "part/{service:016x}/{part}"),
        }
    }
}

/// A text that is no name of a feature.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a feature is content/HASH or part/SERVICE/PART, with hexadecimal numbers")]
pub struct InvalidFeature;

impl FromStr for RequestFeature {
    type Err = InvalidFeature;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = |word: &str| u64::from_str_radix(word, 16).map_err(|_| InvalidFeature);
        match text.split('/').collect::<Vec<_>>().as_slice() {
            ["content", content] => Ok(RequestFeature::Content(number(content)?)),
            ["part", service, part] => {
                let (service, part) = (number(service)?, PromptPart(number(part)?));
                Ok(RequestFeature::Part { service, part })
            }
            _ => Err(InvalidFeature),
        }
    }
}
