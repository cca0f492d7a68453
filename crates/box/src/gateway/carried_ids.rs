//! Ids of the requests that a connection to a replica has carried.
//!
//! A replica may send an answer a second time, at any later time. Its request id tells such an answer
//! from the one that is due only while no two requests on the connection have the same id.

use http::HeaderMap;
use ravenspoke_adapter::headers;

/// Hash of a request id. Requests without an id share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(u64);

impl RequestId {
    /// The id of a request that a number names.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }

    /// The id in the headers of a request.
    pub fn of(headers: &HeaderMap) -> Self {
        Self(headers::request_id_hash(headers))
    }
}

/// Requests that a connection carries, at most. It bounds the memory for their ids.
pub const CARRIED_LIMIT: usize = 128;

/// Ids that a connection has carried.
#[derive(Debug, Default)]
pub struct CarriedIds(Vec<RequestId>);

impl CarriedIds {
    /// Adds the id of a request that is about to be written.
    pub fn add(&mut self, id: RequestId) {
        self.0.push(id);
    }

    /// Whether a request with this id was written before.
    pub fn contains(&self, id: RequestId) -> bool {
        self.0.contains(&id)
    }

    /// Number of requests so far.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the connection has carried no request.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the connection may carry no further request.
    pub fn is_full(&self) -> bool {
        self.0.len() >= CARRIED_LIMIT
    }
}
