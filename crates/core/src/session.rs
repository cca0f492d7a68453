//! Session tokens: they pin a session to its versions without a session store.
//!
//! The first answer of a session gives the caller a token that any box accepts. The token names the
//! account and, for each model that answered in the session, the pinned version. It is
//! authenticated with a key from the settings. Keys have ids, so that they can be rotated: new
//! tokens use the first key, and a token is valid while its key is listed.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

const TOKEN_PREFIX: &str = "rs1";

/// Length above which a token is refused without parsing, in bytes.
pub const TOKEN_LIMIT: usize = 1_024;

/// Content of a session token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionClaims {
    /// Session id.
    pub session: u64,
    /// Client account.
    pub account: String,
    /// Versions that the session is pinned to.
    pub pins: SessionPins,
}

/// Pinned versions by model. Each model of a cascade is pinned separately.
pub type SessionPins = std::collections::BTreeMap<String, String>;

/// Why a token is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    /// Not a token of this format.
    #[error("the session token is not of this format")]
    Malformed,
    /// Its key is not listed, or its tag does not match.
    #[error("the session token is not from these boxes, or its key was retired")]
    Forged,
}

/// A key to authenticate tokens with.
#[derive(Clone)]
pub struct TokenKey {
    /// Key id, part of the token.
    pub id: String,
    /// Secret of the HMAC.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "TokenKey({}, ..)", self.id)
    }
}

/// The keys in use, newest first.
#[derive(Clone, Debug, Default)]
pub struct TokenKeys(pub Vec<TokenKey>);

impl TokenKeys {
    /// Returns a token with `claims`, signed with the newest key; `None` if there is no key.
    pub fn sign(&self, claims: &SessionClaims) -> Option<String> {
        let key = self.0.first()?;
        let body = serde_json::to_vec(claims).expect("claims are plain data");
        let text = format!("{TOKEN_PREFIX}.{}.{}", key.id, URL_SAFE_NO_PAD.encode(body));
        let tag = URL_SAFE_NO_PAD.encode(mac(&key.secret, &text).finalize().into_bytes());
        Some(format!("{text}.{tag}"))
    }

    /// Verifies `token` and returns its claims.
    ///
    /// # Errors
    /// [`TokenError`] if it is malformed, forged, or its key is no longer listed.
    pub fn verify(&self, token: &str) -> Result<SessionClaims, TokenError> {
        if token.len() > TOKEN_LIMIT {
            return Err(TokenError::Malformed);
        }
        let (text, tag) = token.rsplit_once('.').ok_or(TokenError::Malformed)?;
        let mut parts = text.split('.');
        let (Some(TOKEN_PREFIX), Some(id), Some(body), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(TokenError::Malformed);
        };
        let tag = URL_SAFE_NO_PAD.decode(tag).map_err(|_| TokenError::Malformed)?;
        let key = self.0.iter().find(|key| key.id == id).ok_or(TokenError::Forged)?;
        mac(&key.secret, text).verify_slice(&tag).map_err(|_| TokenError::Forged)?;
        let body = URL_SAFE_NO_PAD.decode(body).map_err(|_| TokenError::Malformed)?;
        serde_json::from_slice(&body).map_err(|_| TokenError::Malformed)
    }
}

fn mac(secret: &[u8], text: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).expect("any key length is accepted");
    mac.update(text.as_bytes());
    mac
}
