//! Stand-in for the platform's store: keyed topics, long-polling reads, conditional appends,
//! consumer groups, and faults.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base64::Engine;
use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::group::StoreGroup;
use super::site::{OPERATOR_TOPIC, REPLICA_TOPIC};
use super::wire::{full_response, read_request, WireRequest};

/// First era of a store.
const FIRST_ERA: u64 = 1;

/// Bytes of a response to a read, with the start of the record that exceeds them.
const READ_LIMIT: usize = 1 << 20;

/// Failure of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreOutage {
    /// No failure.
    #[default]
    None,
    /// Calls get status 503.
    Busy,
    /// Calls get no response.
    Silent,
    /// Connections are closed.
    Reset,
}

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// How it fails.
    pub outage: StoreOutage,
    /// Clients for which it fails. Empty for all.
    pub only: HashSet<IpAddr>,
    /// Topics for which it fails. Empty for all.
    pub topics: HashSet<String>,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
    /// Limit of the bytes a second of a response, for the clients in `only`. 0 for no limit.
    pub rate: usize,
    /// Number of appends that are still to be done without a response.
    pub lose_answers: u32,
}

impl StoreFaults {
    /// Whether the outage concerns a call of this client to a topic.
    fn concerns(&self, from: IpAddr, topic: &str) -> bool {
        let client = self.only.is_empty() || self.only.contains(&from);
        client && (self.topics.is_empty() || self.topics.contains(topic))
    }
}

#[derive(Clone, Debug)]
struct StoredRecord {
    key: String,
    value: Vec<u8>,
}

/// A topic, whose records start at offset `first`.
#[derive(Clone, Debug, Default)]
struct StoredTopic {
    first: u64,
    records: Vec<StoredRecord>,
}

impl StoredTopic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, StoredTopic>,
    /// Offset and newest value of each key by topic and key. They stay when the topic is compacted.
    newest: BTreeMap<(String, String), (u64, Vec<u8>)>,
    faults: StoreFaults,
    calls: HashMap<(IpAddr, String), u64>,
    topic_calls: HashMap<(IpAddr, String), u64>,
    /// Number of times that it was restored from a copy.
    era: u64,
    groups: HashMap<String, StoreGroup>,
    /// Epoch of each topic's producer, and its next sequence number.
    epochs: HashMap<String, (u64, u64)>,
}

/// A copy of the store's data.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: HashMap<String, StoredTopic>,
    newest: BTreeMap<(String, String), (u64, Vec<u8>)>,
}

/// Writes of the operator and the replicas since a copy that they have not repeated yet: topic, key
/// and value.
#[derive(Debug)]
pub struct LostWrites(Vec<(String, String, Vec<u8>)>);

impl StoreState {
    /// A response with the header of the era, which all responses have.
    fn answer(&self, status: u16, body: &[u8]) -> Vec<u8> {
        full_response(status, &[("Store-Era", &(FIRST_ERA + self.era).to_string())], body)
    }

    fn push(&mut self, topic: &str, key: &str, value: Vec<u8>) -> u64 {
        let row = self.topics.entry(topic.to_owned()).or_default();
        let offset = row.end();
        row.records.push(StoredRecord { key: key.to_owned(), value: value.clone() });
        let topic_key = (topic.to_owned(), key.to_owned());
        if value.is_empty() {
            self.newest.remove(&topic_key);
        } else {
            self.newest.insert(topic_key, (offset, value));
        }
        offset
    }
}

/// A running store.
#[derive(Clone)]
pub struct StoreStandin {
    /// Address that it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

impl StoreStandin {
    /// Starts a store on a free port of `ip`.
    pub async fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let store = Self { address, state: Arc::default(), changed: Arc::default() };
        let server = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream, from.ip()).await });
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a record, as the operator or a replica does.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.lock().push(topic, key, value.to_string().into_bytes());
        self.changed.notify_waiters();
    }

    /// Writes a record of any bytes, as any other writer may.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.lock().push(topic, key, value.to_vec());
        self.changed.notify_waiters();
    }

    /// Deletes a key, as the platform does with the entry of a replica that has left.
    pub fn drop_key(&self, topic: &str, key: &str) {
        self.lock().push(topic, key, Vec::new());
        self.changed.notify_waiters();
    }

    /// Returns the newest value of a key, or `None` if the key is missing or is not JSON.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Value> {
        let state = self.lock();
        let (_, value) = state.newest.get(&(topic.to_owned(), key.to_owned()))?;
        serde_json::from_slice(value).ok()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Compacts a topic: drops its records, and keeps the newest value of each key.
    pub fn compact(&self, topic: &str) {
        if let Some(row) = self.lock().topics.get_mut(topic) {
            row.first = row.end();
            row.records.clear();
        }
    }

    /// Copies its data.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy { topics: state.topics.clone(), newest: state.newest.clone() }
    }

    /// Restores a copy in a new era: writes since the copy are lost, and offsets are used again.
    /// Returns what the writers other than the boxes will write again: the newest value of each key
    /// that differs, and a deletion of each key that was deleted since.
    pub fn restore(&self, copy: StoreCopy) -> LostWrites {
        let mut state = self.lock();
        let former = std::mem::replace(&mut state.newest, copy.newest);
        state.topics = copy.topics;
        state.era += 1;
        let mut lost = Vec::new();
        for ((topic, key), (_, value)) in &former {
            let standing = state.newest.get(&(topic.clone(), key.clone()));
            let others = topic == OPERATOR_TOPIC || topic == REPLICA_TOPIC;
            if others && standing.is_none_or(|(_, standing)| standing != value) {
                lost.push((topic.clone(), key.clone(), value.clone()));
            }
        }
        let dropped = state.newest.keys().filter(|topic_key| !former.contains_key(*topic_key));
        lost.extend(dropped.map(|(topic, key)| (topic.clone(), key.clone(), Vec::new())));
        drop(state);
        self.changed.notify_waiters();
        LostWrites(lost)
    }

    /// Repeats lost writes, as the operator and the replicas do.
    pub fn write_again(&self, lost: LostWrites) {
        let mut state = self.lock();
        for (topic, key, value) in lost.0 {
            state.push(&topic, &key, value);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far from `ip` to paths that end in `call`.
    pub fn calls(&self, ip: IpAddr, call: &str) -> u64 {
        let state = self.lock();
        let rows =
            state.calls.iter().filter(|((from, path), _)| *from == ip && path.ends_with(call));
        rows.map(|(_, count)| count).sum()
    }

    /// Returns the number of calls so far from `ip` to a topic.
    pub fn topic_calls(&self, ip: IpAddr, topic: &str) -> u64 {
        self.lock().topic_calls.get(&(ip, topic.to_owned())).copied().unwrap_or_default()
    }

    async fn serve(&self, stream: TcpStream, from: IpAddr) {
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut stream).await {
            let faults = self.record_call(from, &request);
            let topic = request.query("topic").unwrap_or_default();
            let hit = faults.concerns(from, topic);
            match faults.outage {
                StoreOutage::Busy if hit => {
                    let answer = self.answer_with(503, b"");
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                    continue;
                }
                // The connection stays open and gets no more responses.
                StoreOutage::Silent if hit => return std::future::pending().await,
                StoreOutage::Reset if hit => return,
                _ => {}
            }
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
            let answer = self.answer(&request).await;
            let append = request.path().ends_with("log-append");
            if append && self.drops_answer() {
                return std::future::pending().await;
            }
            let rate = if hit { faults.rate } else { 0 };
            if write_at_rate(&mut stream, &answer, rate).await.is_err() {
                return;
            }
        }
    }

    fn record_call(&self, from: IpAddr, request: &WireRequest) -> StoreFaults {
        let mut state = self.lock();
        *state.calls.entry((from, request.path().to_owned())).or_default() += 1;
        let topic = request.query("topic").unwrap_or_default().to_owned();
        *state.topic_calls.entry((from, topic)).or_default() += 1;
        state.faults.clone()
    }

    fn drops_answer(&self) -> bool {
        let mut state = self.lock();
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers -= u32::from(lost);
        lost
    }

    async fn answer(&self, request: &WireRequest) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        match request.path() {
            "/-/log-append" => self.append(&topic, request),
            "/-/log-read" => self.read(&topic, request).await,
            "/-/log-newest" => self.list(&topic),
            "/-/log-join" => self.join(request),
            "/-/log-leave" => self.leave(request),
            _ => self.answer_with(404, b""),
        }
    }

    fn answer_with(&self, status: u16, body: &[u8]) -> Vec<u8> {
        self.lock().answer(status, body)
    }

    fn append(&self, topic: &str, request: &WireRequest) -> Vec<u8> {
        let mut state = self.lock();
        let end = state.topics.get(topic).map_or(0, StoredTopic::end);
        let at: Option<u64> = request.query("at").and_then(|text| text.parse().ok());
        if at.is_some_and(|at| at != end) {
            return state.answer(412, json!({ "end": end }).to_string().as_bytes());
        }
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        if let Some((epoch, sequence)) = number("epoch").zip(number("sequence")) {
            let (known, next) = state.epochs.get(topic).copied().unwrap_or((0, 0));
            if epoch < known {
                return state.answer(409, json!({ "reason": "fenced" }).to_string().as_bytes());
            }
            if epoch == known && sequence + 1 == next {
                return state.answer(200, json!({ "end": end }).to_string().as_bytes());
            }
            if epoch == known && sequence != next {
                let refusal = json!({ "reason": "seq", "sequence": next });
                return state.answer(409, refusal.to_string().as_bytes());
            }
            state.epochs.insert(topic.to_owned(), (epoch, sequence + 1));
            if request.body.is_empty() {
                return state.answer(200, json!({ "end": end }).to_string().as_bytes());
            }
        }
        // A record has four bytes of length, one byte of the key's length, the key and the value.
        let body = &request.body[4..];
        let (key, value) = body[1..].split_at(usize::from(body[0]));
        let offset = state.push(topic, &String::from_utf8_lossy(key), value.to_vec());
        self.changed.notify_waiters();
        let answer = json!({ "offset": offset, "end": offset + 1 });
        state.answer(200, answer.to_string().as_bytes())
    }

    /// Adds a member to a group, whose topic has one partition to assign.
    fn join(&self, request: &WireRequest) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        let group = state.groups.entry(text("group")).or_default();
        let (generation, owns) =
            group.join(&text("member"), body["ttl_ms"].as_u64().unwrap_or_default());
        let parts = if owns { json!([[body["topics"][0], 0, 0]]) } else { json!([]) };
        let answer = json!({ "generation": generation, "ttl_ms": body["ttl_ms"], "parts": parts });
        state.answer(200, answer.to_string().as_bytes())
    }

    fn leave(&self, request: &WireRequest) -> Vec<u8> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        if let Some(group) = state.groups.get_mut(&text("group")) {
            group.leave(&text("member"));
        }
        state.answer(200, b"{}")
    }

    async fn read(&self, topic: &str, request: &WireRequest) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let until = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let page = self.read_from(topic, from);
            let timed_out = tokio::time::Instant::now() >= until;
            match page {
                Ok((answer, true)) => return answer,
                Ok((answer, false)) if timed_out => return answer,
                Ok(_) => {}
                Err(answer) => return answer,
            }
            // The loop checks for new records and for the end of the wait.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    /// Returns the response to a read and whether it has records, or as an error the response that
    /// the topic does not have the offset.
    fn read_from(&self, topic: &str, from: u64) -> Result<(Vec<u8>, bool), Vec<u8>> {
        let state = self.lock();
        let empty = StoredTopic::default();
        let row = state.topics.get(topic).unwrap_or(&empty);
        if from < row.first || from > row.end() {
            return Err(state.answer(410, json!({ "first": row.first }).to_string().as_bytes()));
        }
        let mut body = row.end().to_be_bytes().to_vec();
        body.extend(row.first.to_be_bytes());
        let records = row.records.iter().skip((from - row.first) as usize);
        let mut any = false;
        for record in records {
            if any && body.len() > READ_LIMIT {
                break;
            }
            any = true;
            let length = 1 + record.key.len() + record.value.len();
            body.extend((length as u32).to_be_bytes());
            body.push(record.key.len() as u8);
            body.extend(record.key.as_bytes());
            body.extend(&record.value);
        }
        Ok((state.answer(200, &body), any))
    }

    fn list(&self, topic: &str) -> Vec<u8> {
        let state = self.lock();
        let rows = state.newest.iter().filter(|((name, _), _)| name == topic);
        let engine = base64::engine::general_purpose::STANDARD;
        let items: Vec<Value> = rows
            .map(|((_, key), (offset, value))| {
                json!({ "key": key, "value": engine.encode(value), "offset": offset })
            })
            .collect();
        let end = state.topics.get(topic).map_or(0, StoredTopic::end);
        let answer = json!({ "items": items, "more": false, "end": end });
        state.answer(200, answer.to_string().as_bytes())
    }
}

/// Writes a response at `rate` bytes a second, in ten pieces a second. 0 writes it at once.
async fn write_at_rate(
    stream: &mut BufReader<TcpStream>,
    answer: &[u8],
    rate: usize,
) -> std::io::Result<()> {
    if rate == 0 {
        return stream.write_all(answer).await;
    }
    for piece in answer.chunks((rate / 10).max(1)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}
