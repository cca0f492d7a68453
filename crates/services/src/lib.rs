//! Clients of the platform: the log, the box list, the rating service and the replicas' load.
//!
//! Each call is one HTTP request with a bound on its time. A failed append may have taken effect;
//! [`LogClient::append`] says only that its answer did not come.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use prost::Message;
use ravenspoke_core::membership::ListedBox;
use ravenspoke_core::message::LogRecord;
use ravenspoke_core::replica::{ListedReplica, LoadReport};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Bound on a call that does not wait for news.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum PlatformError {
    /// No answer came, or not one of HTTP.
    #[error("{what}: {error}")]
    Http {
        /// What was called.
        what: &'static str,
        /// The client's words, without the address.
        error: reqwest::Error,
    },
    /// The service answered with an error status.
    #[error("{what}: the service answered with status {status}")]
    Status {
        /// What was called.
        what: &'static str,
        /// HTTP status.
        status: u16,
    },
    /// A record in the log is not of this format.
    #[error("log record at offset {offset} is not of this format: {error}")]
    Record {
        /// Its offset.
        offset: u64,
        /// What is wrong.
        error: String,
    },
}

async fn answer<T: DeserializeOwned>(
    what: &'static str,
    request: reqwest::RequestBuilder,
) -> Result<T, PlatformError> {
    let wrap = |error: reqwest::Error| PlatformError::Http { what, error: error.without_url() };
    let response = request.send().await.map_err(wrap)?;
    let status = response.status();
    if !status.is_success() {
        return Err(PlatformError::Status { what, status: status.as_u16() });
    }
    response.json().await.map_err(wrap)
}

/// What a read of a stream gave.
#[derive(Debug)]
pub struct StreamRead {
    /// First offset that the log still keeps.
    pub first: u64,
    /// Offset behind the last record.
    pub tail: u64,
    /// Age of the first record below, in milliseconds.
    pub age_ms: u64,
    /// Records with their offsets. A record that is not of this format has no body.
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
    /// A client of the log at `base`, a URL without a slash at its end.
    pub fn new(http: reqwest::Client, base: &str) -> Self {
        Self { http, base: base.trim_end_matches('/').to_owned() }
    }

    /// Appends `records` to a stream in one append; gives the offset of the first.
    ///
    /// # Errors
    /// [`PlatformError`]; the append may have taken effect all the same, or may yet.
    pub async fn append(&self, stream: &str, records: &[LogRecord]) -> Result<u64, PlatformError> {
        let records = records.iter().map(|row| STANDARD.encode(row.encode_to_vec())).collect();
        let url = format!("{}/v1/streams/{stream}/append", self.base);
        let request = self.http.post(url).timeout(CALL_TIMEOUT).json(&AppendBody { records });
        let appended: AppendAnswer = answer("log append", request).await?;
        Ok(appended.offset)
    }

    /// Reads a stream from `from`; waits up to `wait` for news where there is none.
    ///
    /// # Errors
    /// [`PlatformError`].
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

    /// Reads a stream to its tail.
    ///
    /// # Errors
    /// [`PlatformError`].
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

/// Decodes a record; `None` if it is not of this format.
fn decode_record(data: &str) -> Option<LogRecord> {
    LogRecord::decode(STANDARD.decode(data).ok()?.as_slice()).ok()
}

/// The box list's answer.
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

/// A reading of the box list.
#[derive(Clone, Debug, Default)]
pub struct BoxList {
    /// Entry boxes.
    pub boxes: Vec<ListedBox>,
    /// Their operator addresses, by box name.
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
    /// A client of the list at `base`.
    pub fn new(http: reqwest::Client, base: &str) -> Self {
        Self { http, base: base.trim_end_matches('/').to_owned() }
    }

    /// Reads the list.
    ///
    /// # Errors
    /// [`PlatformError`].
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
    /// A client of the service at `base`.
    pub fn new(http: reqwest::Client, base: &str) -> Self {
        Self { http, base: base.trim_end_matches('/').to_owned() }
    }

    /// Rates an answer: whether it meets the quality target.
    ///
    /// # Errors
    /// [`PlatformError`].
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

/// A load report as replicas send it.
#[derive(Debug, Deserialize)]
pub struct LoadRow {
    /// Versions loaded.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that the batch takes.
    pub slots: u32,
    /// Whether the replica leaves.
    #[serde(default)]
    pub leaving: bool,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Asks a replica for its load; gives the report and its age in milliseconds.
///
/// # Errors
/// [`PlatformError`].
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
