//! Clients of the platform: the log, the box list, the rating service and the replicas' load.
//!
//! Each call is one HTTP request with a timeout. An append that fails may have taken effect: an
//! error of [`LogClient::append`] only means that no success response arrived.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use prost::Message;
use ravenspoke_core::membership::ListedBox;
use ravenspoke_core::message::LogRecord;
use ravenspoke_core::replica::{ListedReplica, LoadReport};
use ravenspoke_framing::{AnswerFrame, BrokenHead};
use reqwest::Method;
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Timeout of a call that does not wait for new records.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No valid HTTP response arrived.
    #[error("{what}: {error}")]
    Http {
        /// The kind of call.
        what: &'static str,
        /// The HTTP client's error, without the address.
        error: reqwest::Error,
    },
    /// The response is no answer, or its end is in doubt.
    #[error("{what}: {error}")]
    Broken {
        /// The kind of call.
        what: &'static str,
        /// What is wrong with it.
        error: BrokenHead,
    },
    /// The service answered with an error status.
    #[error("{what}: the service answered with status {status}")]
    Status {
        /// The kind of call.
        what: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// A log record cannot be decoded.
    #[error("log record at offset {offset} is not of this format: {error}")]
    Record {
        /// Offset of the record.
        offset: u64,
        /// The decoder's error.
        error: String,
    },
}

async fn answer<T: DeserializeOwned>(
    what: &'static str,
    request: reqwest::RequestBuilder,
) -> Result<T, PlatformError> {
    let response = call(what, request).await?;
    response.json().await.map_err(|error| PlatformError::Http { what, error: error.without_url() })
}

/// Sends a request that is not for a head alone, and returns the response if it is a success.
///
/// # Errors
/// Returns [`PlatformError`] if no sound response arrives, or another one than a success.
pub async fn call(
    what: &'static str,
    request: reqwest::RequestBuilder,
) -> Result<reqwest::Response, PlatformError> {
    let wrap = |error: reqwest::Error| PlatformError::Http { what, error: error.without_url() };
    let response = request.send().await.map_err(wrap)?;
    let frame = AnswerFrame::of_response(&Method::GET, &response);
    frame.check().map_err(|error| PlatformError::Broken { what, error })?;
    let status = response.status();
    if !status.is_success() {
        return Err(PlatformError::Status { what, status: status.as_u16() });
    }
    Ok(response)
}

/// Result of reading a stream.
#[derive(Debug)]
pub struct StreamRead {
    /// First offset that the log still keeps.
    pub first: u64,
    /// Offset after the last record.
    pub tail: u64,
    /// Age of the first record in `records`, in milliseconds.
    pub age_ms: u64,
    /// Records with their offsets. A record that cannot be decoded has no body.
    pub records: Vec<(u64, LogRecord)>,
}

#[derive(Serialize)]
struct AppendBody {
    records: Vec<String>,
}

#[derive(Deserialize)]
struct AppendAnswer {
    offset: u64,
}

#[derive(Deserialize)]
struct ReadAnswer {
    first: u64,
    tail: u64,
    age_ms: u64,
    records: Vec<ReadRecord>,
}

#[derive(Deserialize)]
struct ReadRecord {
    offset: u64,
    data: String,
}

/// Client of the log service.
#[derive(Clone, Debug)]
pub struct LogClient {
    http: reqwest::Client,
    base: String,
}

impl LogClient {
    /// Creates a client of the log at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str) -> Self {
        Self { http, base: base.trim_end_matches('/').to_owned() }
    }

    /// Appends `records` to a stream in one append and returns the offset of the first.
    ///
    /// # Errors
    /// Returns [`PlatformError`]; the append may still have taken effect, or may do so later.
    pub async fn append(&self, stream: &str, records: &[LogRecord]) -> Result<u64, PlatformError> {
        let records = records.iter().map(|row| STANDARD.encode(row.encode_to_vec())).collect();
        let url = format!("{}/v1/streams/{stream}/append", self.base);
        let request = self.http.post(url).timeout(CALL_TIMEOUT).json(&AppendBody { records });
        let appended: AppendAnswer = answer("log append", request).await?;
        Ok(appended.offset)
    }

    /// Reads a stream from offset `from`; if there are no records, waits up to `wait` for new ones.
    ///
    /// # Errors
    /// Returns [`PlatformError`] if the call fails.
    pub async fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> Result<StreamRead, PlatformError> {
        let url =
            format!("{}/v1/streams/{stream}?from={from}&wait_ms={}", self.base, wait.as_millis());
        let request = self.http.get(url).timeout(wait + CALL_TIMEOUT);
        let read: ReadAnswer = answer("log read", request).await?;
        let records = read
            .records
            .into_iter()
            .map(|row| (row.offset, decode_record(&row.data).unwrap_or_default()))
            .collect();
        Ok(StreamRead { first: read.first, tail: read.tail, age_ms: read.age_ms, records })
    }

    /// Reads a stream from its start to its tail.
    ///
    /// # Errors
    /// Returns [`PlatformError`] if a call fails.
    pub async fn read_all(&self, stream: &str) -> Result<Vec<(u64, LogRecord)>, PlatformError> {
        let mut all = Vec::new();
        let mut from = 0;
        loop {
            let read = self.read(stream, from, Duration::ZERO).await?;
            let Some((last, _)) = read.records.last() else { return Ok(all) };
            from = last + 1;
            all.extend(read.records);
        }
    }
}

/// Decodes a record; `None` if it is malformed.
fn decode_record(data: &str) -> Option<LogRecord> {
    LogRecord::decode(STANDARD.decode(data).ok()?.as_slice()).ok()
}

/// Body of the box list's response.
#[derive(Debug, Deserialize)]
struct ListAnswer {
    boxes: Vec<BoxRow>,
    replicas: Vec<ReplicaRow>,
}

#[derive(Debug, Deserialize)]
struct BoxRow {
    name: String,
    entry: String,
    peer: String,
    #[serde(default)]
    operator: String,
    zone: String,
    #[serde(default)]
    leaving: bool,
}

#[derive(Debug, Deserialize)]
struct ReplicaRow {
    name: String,
    address: String,
    zone: String,
    service: String,
    engine: bool,
    #[serde(default)]
    leaving: bool,
}

/// The contents of the box list.
#[derive(Clone, Debug, Default)]
pub struct BoxList {
    /// Entry boxes.
    pub boxes: Vec<ListedBox>,
    /// Operator addresses of the boxes, by box name.
    pub operators: Vec<(String, String)>,
    /// Replicas.
    pub replicas: Vec<ListedReplica>,
}

/// Client of the box list.
#[derive(Clone, Debug)]
pub struct ListClient {
    http: reqwest::Client,
    base: String,
}

impl ListClient {
    /// Creates a client of the list at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str) -> Self {
        Self { http, base: base.trim_end_matches('/').to_owned() }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// Returns [`PlatformError`] if the call fails.
    pub async fn read(&self) -> Result<BoxList, PlatformError> {
        let request = self.http.get(format!("{}/v1/boxes", self.base)).timeout(CALL_TIMEOUT);
        let list: ListAnswer = answer("box list", request).await?;
        let operators =
            list.boxes.iter().map(|row| (row.name.clone(), row.operator.clone())).collect();
        let boxes = list.boxes.into_iter().map(|row| ListedBox {
            name: row.name,
            entry: row.entry,
            peer: row.peer,
            zone: row.zone,
            leaving: row.leaving,
        });
        let replicas = list.replicas.into_iter().map(|row| ListedReplica {
            name: row.name,
            address: row.address,
            zone: row.zone,
            service: row.service,
            engine: row.engine,
            leaving: row.leaving,
        });
        Ok(BoxList { boxes: boxes.collect(), operators, replicas: replicas.collect() })
    }
}

#[derive(Serialize)]
struct RateBody<'a> {
    version: &'a str,
    class: u8,
    question: &'a str,
    answer: &'a str,
}

#[derive(Deserialize)]
struct RateAnswer {
    good: bool,
}

/// Client of the rating service.
#[derive(Clone, Debug)]
pub struct RatingClient {
    http: reqwest::Client,
    base: String,
}

impl RatingClient {
    /// Creates a client of the service at the URL `base`.
    pub fn new(http: reqwest::Client, base: &str) -> Self {
        Self { http, base: base.trim_end_matches('/').to_owned() }
    }

    /// Rates an answer; returns whether it meets the quality target.
    ///
    /// # Errors
    /// Returns [`PlatformError`] if the call fails.
    pub async fn rate(
        &self,
        version: &str,
        class: u8,
        question: &str,
        text: &str,
    ) -> Result<bool, PlatformError> {
        let body = RateBody { version, class, question, answer: text };
        let request =
            self.http.post(format!("{}/v1/rate", self.base)).timeout(CALL_TIMEOUT).json(&body);
        let rated: RateAnswer = answer("rating", request).await?;
        Ok(rated.good)
    }
}

/// A load report in the replicas' format.
#[derive(Debug, Deserialize)]
pub struct LoadRow {
    /// Loaded versions.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Largest number of requests in the batch.
    pub slots: u32,
    /// Whether the replica is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Reads a replica's load; returns the report and its age in milliseconds.
///
/// # Errors
/// Returns [`PlatformError`] if the call fails.
pub async fn read_load(
    http: &reqwest::Client,
    address: &str,
) -> Result<(LoadReport, u64), PlatformError> {
    let request = http.get(format!("http://{address}/load")).timeout(CALL_TIMEOUT);
    let row: LoadRow = answer("load report", request).await?;
    let report = LoadReport {
        versions: row.versions,
        running: row.running,
        waiting: row.waiting,
        slots: row.slots,
        leaving: row.leaving,
    };
    Ok((report, row.age_ms))
}
