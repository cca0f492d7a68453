//! Reads the bodies of requests, within the plan's limits and the box's memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::body_budget::{BodyBudget, BodyShare, BudgetExhausted};

/// Time for which a refused body is read and discarded, in milliseconds. Its caller reads the response
/// only after it has sent the body.
const DISCARD_MS: u64 = 5_000;

/// A body in memory.
#[derive(Debug)]
pub struct HeldBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// What it takes of the budget.
    pub share: BodyShare,
}

/// Why a body could not be read.
#[derive(Debug, thiserror::Error)]
pub enum BodyFailure {
    /// It is too large.
    #[error("the body is too large")]
    TooLarge,
    /// The box has no memory for it.
    #[error(transparent)]
    NoMemory(#[from] BudgetExhausted),
    /// It ended early.
    #[error("the request body was truncated")]
    Truncated,
}

/// Reads a body of at most `limit` bytes. The rest of one that is refused is discarded in the
/// background.
///
/// # Errors
/// Returns [`BodyFailure`].
pub async fn read_body(
    mut body: Incoming,
    limit: usize,
    budget: &Arc<BodyBudget>,
) -> Result<HeldBody, BodyFailure> {
    let read = read_within(&mut body, limit, budget).await;
    if let Err(BodyFailure::NoMemory(_)) = read {
        tokio::spawn(discard(body));
    }
    read
}

async fn read_within(
    body: &mut Incoming,
    limit: usize,
    budget: &Arc<BodyBudget>,
) -> Result<HeldBody, BodyFailure> {
    let declared = body.size_hint().exact().map_or(0, |length| length as usize);
    if declared > limit {
        return Err(BodyFailure::TooLarge);
    }
    let mut share = BodyShare::new(budget);
    share.grow_to(declared)?;
    let mut bytes = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyFailure::Truncated)?;
        let Ok(data) = frame.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > limit {
            return Err(BodyFailure::TooLarge);
        }
        share.grow_to(length)?;
        bytes.extend_from_slice(&data);
    }
    Ok(HeldBody { bytes: bytes.freeze(), share })
}

/// Reads a body to its end and keeps none of it.
async fn discard(mut body: Incoming) {
    let read = async { while let Some(Ok(_)) = body.frame().await {} };
    // A caller that takes longer sees its connection closed.
    let _ = tokio::time::timeout(Duration::from_millis(DISCARD_MS), read).await;
}
