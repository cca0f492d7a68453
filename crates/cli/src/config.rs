//! The operator's settings: the platform's addresses and the operators that may sign bundles.

use ravenspoke_config::settings::SignerSettings;
use ravenspoke_core::fold::SignOffRule;
use ravenspoke_services::{call, BoxList, ListClient, LogClient};
use serde::Deserialize;

use crate::CommandError;

/// Environment variable that holds the operator key.
pub const OPERATOR_KEY: &str = "RAVENSPOKE_OPERATOR_KEY";

/// The operator's settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct OperatorFile {
    log: String,
    list: String,
    sign_offs_needed: usize,
    sign_off: Vec<SignerFile>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SignerFile {
    id: String,
    public: String,
}

/// Clients and rules that commands use.
pub struct OperatorConfig {
    /// Client of the log.
    pub log: LogClient,
    /// The rule for sign-offs of bundles.
    pub rule: SignOffRule,
    list: ListClient,
    http: reqwest::Client,
}

impl OperatorConfig {
    /// Reads the settings file at `path`.
    ///
    /// # Errors
    /// Returns [`CommandError::File`] if the file cannot be read or is invalid.
    pub fn read(path: &str) -> Result<Self, CommandError> {
        let file_error = |error: String| CommandError::File { file: path.to_owned(), error };
        let text = std::fs::read_to_string(path).map_err(|error| file_error(error.to_string()))?;
        let file: OperatorFile =
            toml::from_str(&text).map_err(|error| file_error(error.to_string()))?;
        let signer = |row: SignerFile| SignerSettings { id: row.id, public: row.public };
        let signers: Vec<SignerSettings> = file.sign_off.into_iter().map(signer).collect();
        let rule = ravenspoke_config::settings::sign_off_rule(&signers, file.sign_offs_needed);
        if rule.needed == 0 || rule.needed > rule.keys.len() {
            let words = "sign_offs_needed must be between 1 and the number of valid signers";
            return Err(file_error(words.to_owned()));
        }
        let http = reqwest::Client::new();
        Ok(Self {
            log: LogClient::new(http.clone(), &file.log),
            list: ListClient::new(http.clone(), &file.list),
            rule,
            http,
        })
    }

    /// Reads the box list.
    ///
    /// # Errors
    /// Returns [`CommandError::Unreachable`] if the list cannot be read.
    pub async fn boxes(&self) -> Result<BoxList, CommandError> {
        Ok(self.list.read().await?)
    }

    /// Queries a box's operator listener; `None` if it does not answer or has no data.
    pub async fn ask(&self, address: &str, path: &str) -> Option<serde_json::Value> {
        let key = std::env::var(OPERATOR_KEY).unwrap_or_default();
        let request = self.http.get(format!("http://{address}{path}")).bearer_auth(key);
        let request = request.timeout(ravenspoke_services::CALL_TIMEOUT);
        call("box", request).await.ok()?.json().await.ok()
    }

    /// Requests a box's planned stop.
    ///
    /// # Errors
    /// Returns [`CommandError::Unreachable`] if the box does not accept the request.
    pub async fn stop(&self, address: &str) -> Result<(), CommandError> {
        let key = std::env::var(OPERATOR_KEY).unwrap_or_default();
        let request = self.http.post(format!("http://{address}/stop")).bearer_auth(key);
        let request = request.timeout(ravenspoke_services::CALL_TIMEOUT);
        call("planned stop", request).await?;
        Ok(())
    }
}
