//! The platform's store as PROTOCOL.md tells it, as far as boxes call it: a sound log. Unlike the
//! project's stand-in, an answer to `log-read` holds `max_kb` at most (1,024 by default), and one to
//! `log-newest` 500 records or 1 MB.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use ravenspoke_standins::platform::site::own_address;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Most kilobytes of an answer to `log-read`, if the call names none.
const MAX_KB: usize = 1_024;

/// Most records and bytes of a page of `log-newest`.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

type Record = (String, Vec<u8>);

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Record>>,
    /// Machines that it turns away.
    turned_away: HashSet<IpAddr>,
    /// Answers to `log-read` of the operator's records: machine, `from`, records, end.
    reads: Vec<(IpAddr, u64, usize, u64)>,
}

#[derive(Clone)]
pub struct LogStore {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

struct Call {
    path: String,
    query: HashMap<String, String>,
    body: Vec<u8>,
}

impl Call {
    fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.query.get(name)?.parse().ok()
    }
}

impl LogStore {
    pub async fn start() -> Self {
        let listener = TcpListener::bind((own_address(), 0)).await.expect("a free port");
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

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Writes a record, as the operator or a replica does. It is confirmed when this returns.
    /// Returns its size.
    pub fn put(&self, topic: &str, key: &str, value: &Value) -> usize {
        let value = value.to_string().into_bytes();
        let size = 5 + key.len() + value.len();
        self.lock().topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
        self.changed.notify_waiters();
        size
    }

    /// Turns these machines away (503) from now on, and no others.
    pub fn turn_away(&self, machines: impl IntoIterator<Item = IpAddr>) {
        self.lock().turned_away = machines.into_iter().collect();
    }

    /// Answers to reads of the operator's records so far.
    pub fn reads(&self) -> Vec<(IpAddr, u64, usize, u64)> {
        self.lock().reads.clone()
    }

    async fn serve(&self, mut stream: TcpStream, from: IpAddr) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut bytes = Vec::new();
        while let Some(call) = read_call(&mut stream, &mut bytes).await? {
            let turned_away = self.lock().turned_away.contains(&from);
            let (status, kind, body) = if turned_away {
                (503, "text/plain", Vec::new())
            } else {
                self.answer(&call, from).await
            };
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&body).await?;
        }
        Ok(())
    }

    async fn answer(&self, call: &Call, from: IpAddr) -> (u16, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        match call.path.as_str() {
            "/-/log-append" => {
                let (status, body) = self.append(call);
                (status, JSON, body.to_string().into_bytes())
            }
            "/-/log-newest" => (200, JSON, self.newest(call).to_string().into_bytes()),
            "/-/log-read" => (200, "application/octet-stream", self.read(call, from).await),
            _ => (404, JSON, Vec::new()),
        }
    }

    fn append(&self, call: &Call) -> (u16, Value) {
        let mut state = self.lock();
        let records = state.topics.entry(call.text("topic").to_owned()).or_default();
        let end = records.len() as u64;
        if call.number("at").is_some_and(|at| at != end) {
            return (412, json!({ "end": end }));
        }
        let mut rest = call.body.as_slice();
        while let Some((length, more)) = rest.split_first_chunk::<4>() {
            let (record, more) = more.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = more;
        }
        let answer = json!({ "offset": end, "end": records.len() });
        drop(state);
        self.changed.notify_waiters();
        (200, answer)
    }

    /// The newest record of each key behind `after`.
    fn newest(&self, call: &Call) -> Value {
        let state = self.lock();
        let records = state.topics.get(call.text("topic")).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let (mut items, mut size, mut more) = (Vec::new(), 0, false);
        let after = call.text("after");
        for (key, (offset, value)) in newest {
            if key <= after || value.is_empty() {
                continue;
            }
            let text = base64(value);
            size += text.len();
            if items.len() == PAGE_RECORDS || (size > PAGE_BYTES && !items.is_empty()) {
                more = true;
                break;
            }
            items.push(json!({ "key": key, "value": text, "offset": offset }));
        }
        json!({ "items": items, "more": more, "end": records.len() })
    }

    /// The records from an offset on, as soon as there is one.
    async fn read(&self, call: &Call, machine: IpAddr) -> Vec<u8> {
        let from = call.number("from").unwrap_or(0);
        let limit = call.number("max_kb").map_or(MAX_KB, |kb| kb as usize) << 10;
        let until = Instant::now() + Duration::from_millis(call.number("wait_ms").unwrap_or(0));
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let mut state = self.lock();
                let records = state.topics.get(call.text("topic")).map_or(&[][..], Vec::as_slice);
                let end = records.len() as u64;
                let mut body = [end.to_be_bytes(), 0_u64.to_be_bytes()].concat();
                let mut count = 0;
                for (key, value) in records.iter().skip(from as usize) {
                    let length = 1 + key.len() + value.len();
                    if count > 0 && body.len() + 4 + length > limit {
                        break;
                    }
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                    count += 1;
                }
                if count > 0 || Instant::now() >= until {
                    if call.text("topic") == crate::fleet::OPERATOR_TOPIC && count > 0 {
                        state.reads.push((machine, from, count, end));
                    }
                    return body;
                }
            }
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }
}

async fn read_call(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> std::io::Result<Option<Call>> {
    let mut piece = [0; 16 << 10];
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut piece).await? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse().ok())?
    });
    let length: usize = length.unwrap_or(0);
    while bytes.len() < head_end + length {
        match stream.read(&mut piece).await? {
            0 => return Ok(None),
            count => bytes.extend_from_slice(&piece[..count]),
        }
    }
    let body = bytes[head_end..head_end + length].to_vec();
    bytes.drain(..head_end + length);
    let target = head.split(' ').nth(1).unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let rows = query.split('&').filter_map(|row| row.split_once('='));
    let query = rows.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
    Ok(Some(Call { path: path.to_owned(), query, body }))
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for three in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..three.len()].copy_from_slice(three);
        let bits = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for at in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * at)) as usize & 63] as char;
            text.push(if at <= three.len() { sign } else { '=' });
        }
    }
    text
}
