//! Stand-in for the log service: streams with offsets and retention. Its faults are outages, slow
//! responses, lost acknowledgements and late effects.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::Notify;

use crate::serve::{launch, rocket_on, RunningServer, StreamedResponse};

/// Maximum number of records in one read.
const READ_LIMIT: usize = 500;

/// Faults of the log.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LogFaults {
    /// Respond 503 to every call.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Number of appends that are still to be stored and have their responses aborted.
    pub lose_acks: u32,
    /// Number of appends that still get status 503 and are stored after `late_ms`.
    pub late_effects: u32,
    /// Delay of late effects, in milliseconds.
    pub late_ms: u64,
    /// Retention of records, in milliseconds. 0 keeps them for ever.
    pub retention_ms: u64,
}

#[derive(Default)]
struct LogStream {
    first: u64,
    records: VecDeque<(Instant, String)>,
}

impl LogStream {
    fn tail(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn trim(&mut self, retention_ms: u64) {
        if retention_ms == 0 {
            return;
        }
        let keep = Duration::from_millis(retention_ms);
        while self.records.front().is_some_and(|(at, _)| at.elapsed() > keep) {
            self.records.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Default)]
struct LogState {
    streams: Mutex<HashMap<String, LogStream>>,
    faults: Mutex<LogFaults>,
    appends: Mutex<u64>,
    appended: Notify,
}

impl LogState {
    fn store(&self, stream: &str, records: Vec<String>) -> u64 {
        let mut streams = self.streams.lock().expect("no panic while locked");
        let row = streams.entry(stream.to_owned()).or_default();
        let offset = row.tail();
        row.records.extend(records.into_iter().map(|record| (Instant::now(), record)));
        *self.appends.lock().expect("no panic while locked") += 1;
        self.appended.notify_waiters();
        offset
    }

    fn faults(&self) -> LogFaults {
        self.faults.lock().expect("no panic while locked").clone()
    }

    /// Uses one occurrence of a counted fault. Returns whether one was left.
    fn use_fault(&self, pick: impl Fn(&mut LogFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock().expect("no panic while locked");
        let left = pick(&mut faults);
        let spent = *left > 0;
        *left -= u32::from(spent);
        spent
    }

    fn read(&self, stream: &str, from: u64) -> (bool, Value) {
        let retention = self.faults().retention_ms;
        let mut streams = self.streams.lock().expect("no panic while locked");
        let row = streams.entry(stream.to_owned()).or_default();
        row.trim(retention);
        let skip = from.saturating_sub(row.first) as usize;
        let start = row.first + skip as u64;
        let rows: Vec<_> = row.records.iter().skip(skip).take(READ_LIMIT).collect();
        let age = rows.first().map_or(0, |(at, _)| at.elapsed().as_millis());
        let records: Vec<Value> = rows
            .iter()
            .enumerate()
            .map(|(index, (_, data))| json!({ "offset": start + index as u64, "data": data }))
            .collect();
        let ready = !records.is_empty() || from < row.first;
        let body = json!({
            "first": row.first, "tail": row.tail(), "age_ms": age as u64, "records": records,
        });
        (ready, body)
    }
}

fn unavailable() -> StreamedResponse {
    StreamedResponse::whole(503, "{}")
}

#[derive(Deserialize)]
struct AppendBody {
    records: Vec<String>,
}

#[post("/v1/streams/<stream>/append", data = "<body>")]
async fn append(
    stream: &str,
    body: Json<AppendBody>,
    log: &State<Arc<LogState>>,
) -> StreamedResponse {
    let faults = log.faults();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    if faults.outage {
        return unavailable();
    }
    let records = body.into_inner().records;
    if log.use_fault(|faults| &mut faults.late_effects) {
        let (log, stream) = (log.inner().clone(), stream.to_owned());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
            log.store(&stream, records);
        });
        return unavailable();
    }
    let offset = log.store(stream, records);
    if log.use_fault(|faults| &mut faults.lose_acks) {
        return StreamedResponse::cut();
    }
    StreamedResponse::whole(200, json!({ "offset": offset }).to_string())
}

#[get("/v1/streams/<stream>?<from>&<wait_ms>")]
async fn read(
    stream: &str,
    from: u64,
    wait_ms: u64,
    log: &State<Arc<LogState>>,
) -> StreamedResponse {
    let faults = log.faults();
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        if log.faults().outage {
            return unavailable();
        }
        let appended = log.appended.notified();
        let (found, body) = log.read(stream, from);
        if found || Instant::now() >= until {
            return StreamedResponse::whole(200, body.to_string());
        }
        let _ = tokio::time::timeout_at(until.into(), appended).await;
    }
}

#[post("/faults", data = "<faults>")]
fn set_faults(faults: Json<LogFaults>, log: &State<Arc<LogState>>) {
    *log.faults.lock().expect("no panic while locked") = faults.into_inner();
    log.appended.notify_waiters();
}

#[get("/counts")]
fn counts(log: &State<Arc<LogState>>) -> Json<Value> {
    let appends = *log.appends.lock().expect("no panic while locked");
    let streams = log.streams.lock().expect("no panic while locked");
    let rows: HashMap<&String, u64> =
        streams.iter().map(|(name, row)| (name, row.tail())).collect();
    Json(json!({ "appends": appends, "records": rows }))
}

/// Starts a log service.
pub async fn start() -> RunningServer {
    let state = Arc::new(LogState::default());
    launch(rocket_on(0).manage(state).mount("/", routes![append, read, set_faults, counts])).await
}
