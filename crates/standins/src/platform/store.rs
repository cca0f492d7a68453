//! The platform's store: keyed topics, reads that wait, appends under a condition, and its faults.

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

/// The era that a store begins with.
const FIRST_ERA: u64 = 1;

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreOutage {
    /// It doesn't.
    #[default]
    None,
    /// Calls get 503.
    Busy,
    /// Calls get no answer.
    Silent,
    /// Connections are closed.
    Reset,
}

/// Faults of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreFaults {
    /// How it fails.
    pub outage: StoreOutage,
    /// Callers for whom it fails; empty for all.
    pub only: HashSet<IpAddr>,
    /// Time that each call takes, in milliseconds.
    pub slow_ms: u64,
    /// Bytes of an answer that pass in a second, to the callers for whom it fails; 0 for all at once.
    pub rate: usize,
    /// Appends that are done and not answered.
    pub lose_answers: u32,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    key: String,
    value: Vec<u8>,
}

/// A topic: records from `first` on.
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
    /// Newest value of each key, which stays when records go.
    newest: BTreeMap<(String, String), (u64, Vec<u8>)>,
    faults: StoreFaults,
    calls: HashMap<(IpAddr, String), u64>,
    topic_calls: HashMap<(IpAddr, String), u64>,
    /// Rises each time that it comes back from a copy.
    era: u64,
    groups: HashMap<String, StoreGroup>,
    /// Epoch of each topic's producer, and the sequence that is next.
    epochs: HashMap<String, (u64, u64)>,
}

/// The store's data as they were at some time.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    topics: HashMap<String, StoredTopic>,
    newest: BTreeMap<(String, String), (u64, Vec<u8>)>,
}

/// What the operator and the replicas wrote since a copy, and have not written again yet.
#[derive(Debug)]
pub struct LostWrites(Vec<(String, String, Vec<u8>)>);

impl StoreState {
    /// An answer, which names the era as all do.
    fn answer(&self, status: u16, body: &[u8]) -> Vec<u8> {
        full_response(status, &[("Store-Era", &(FIRST_ERA + self.era).to_string())], body)
    }

    fn push(&mut self, topic: &str, key: &str, value: Vec<u8>) -> u64 {
        let row = self.topics.entry(topic.to_owned()).or_default();
        let offset = row.end();
        row.records.push(StoredRecord { key: key.to_owned(), value: value.clone() });
        let place = (topic.to_owned(), key.to_owned());
        if value.is_empty() {
            self.newest.remove(&place);
        } else {
            self.newest.insert(place, (offset, value));
        }
        offset
    }
}

/// A running store.
#[derive(Clone)]
pub struct StoreStandin {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

impl StoreStandin {
    /// Starts a store on `ip`.
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

    /// Drops a key, as the platform does with the entry of a replica that has left.
    pub fn drop_key(&self, topic: &str, key: &str) {
        self.lock().push(topic, key, Vec::new());
        self.changed.notify_waiters();
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Value> {
        let state = self.lock();
        let (_, value) = state.newest.get(&(topic.to_owned(), key.to_owned()))?;
        serde_json::from_slice(value).ok()
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Forgets the history of a topic; the newest of each key stays.
    pub fn compact(&self, topic: &str) {
        if let Some(row) = self.lock().topics.get_mut(topic) {
            row.first = row.end();
            row.records.clear();
        }
    }

    /// Copies all that it holds.
    pub fn copy(&self) -> StoreCopy {
        let state = self.lock();
        StoreCopy { topics: state.topics.clone(), newest: state.newest.clone() }
    }

    /// Comes back from a copy, in a new era: what was written since is gone, and offsets are given out again. Gives what
    /// its writers but the boxes will write again: the newest of each key that is not as it was.
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
        let dropped = state.newest.keys().filter(|place| !former.contains_key(*place));
        lost.extend(dropped.map(|(topic, key)| (topic.clone(), key.clone(), Vec::new())));
        drop(state);
        self.changed.notify_waiters();
        LostWrites(lost)
    }

    /// Writes again what was lost, as the operator and the replicas do.
    pub fn write_again(&self, lost: LostWrites) {
        let mut state = self.lock();
        for (topic, key, value) in lost.0 {
            state.push(&topic, &key, value);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Calls so far from `ip` to paths that end in `call`.
    pub fn calls(&self, ip: IpAddr, call: &str) -> u64 {
        let state = self.lock();
        let rows =
            state.calls.iter().filter(|((from, path), _)| *from == ip && path.ends_with(call));
        rows.map(|(_, count)| count).sum()
    }

    /// Calls so far from `ip` to a topic.
    pub fn topic_calls(&self, ip: IpAddr, topic: &str) -> u64 {
        self.lock().topic_calls.get(&(ip, topic.to_owned())).copied().unwrap_or_default()
    }

    async fn serve(&self, stream: TcpStream, from: IpAddr) {
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut stream).await {
            let faults = self.record_call(from, &request);
            let hit = faults.only.is_empty() || faults.only.contains(&from);
            match faults.outage {
                StoreOutage::Busy if hit => {
                    let answer = self.answer_with(503, b"");
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                    continue;
                }
                // A connection that has lost an answer says nothing more.
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
        // A record: four bytes of length, a byte of the key's length, the key, the value.
        let body = &request.body[4..];
        let (key, value) = body[1..].split_at(usize::from(body[0]));
        let offset = state.push(topic, &String::from_utf8_lossy(key), value.to_vec());
        self.changed.notify_waiters();
        let answer = json!({ "offset": offset, "end": offset + 1 });
        state.answer(200, answer.to_string().as_bytes())
    }

    /// A member joins a group, whose topic has one partition to deal.
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
            // Either a record came or the wait is over; both are looked at above.
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    /// The answer to a read, and whether it has records; another one if the topic does not have those asked for.
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

/// Writes an answer, `rate` bytes of it a second, in ten pieces; 0 writes all at once.
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
