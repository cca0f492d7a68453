//! Stand-ins for the scripts of this review: the platform's store, replicas, boxes as processes and
//! clients. Only the standard library is used. All addresses are loopback addresses.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

pub const HOST: &str = "api.example";

/// Start of the script; all times in the record count from it.
pub fn start() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now)
}

pub fn now_ms() -> u64 {
    start().elapsed().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until a time of the script.
pub fn sleep_until(ms: u64) {
    sleep_ms(ms.saturating_sub(now_ms()));
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// Writes `record.txt`.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create() -> Self {
        let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned());
        start();
        Self(Arc::new(Mutex::new(File::create(path).expect("the record can be written"))))
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:8} {text}", now_ms());
    }

    pub fn both(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// An HTTP/1.1 message: first line, headers with names in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|row| row.0 == name).map(|row| row.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let rows = query.split('&').filter_map(|row| row.split_once('='));
        let value = rows.filter(|row| row.0 == name).map(|row| row.1).next()?;
        Some(value.replace("%2F", "/").replace("%2f", "/"))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    let count = reader.read_until(b'\n', &mut line)?;
    Ok((count > 0).then(|| String::from_utf8_lossy(&line).trim_end().to_owned()))
}

/// Reads a head; `None` if the channel ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut message = Message { first, ..Message::default() };
    loop {
        let Some(line) = read_line(reader)? else {
            return Err(io::Error::other("the head ended early"));
        };
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces. An answer without a length ends with its channel.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, answer: bool) -> io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
        loop {
            let line = read_line(reader)?.ok_or_else(|| io::Error::other("cut in the body"))?;
            let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                .map_err(io::Error::other)?;
            let mut piece = vec![0; length + 2];
            reader.read_exact(&mut piece)?;
            if length == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&piece[..length]);
        }
    }
    let length: Option<usize> = message.header("content-length").and_then(|t| t.parse().ok());
    match length {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if answer && message.status() != 204 => {
            reader.read_to_end(&mut message.body).map(drop)
        }
        None => Ok(()),
    }
}

/// Reads a whole request or answer.
pub fn read_message(reader: &mut impl BufRead, answer: bool) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, answer)?;
    Ok(Some(message))
}

pub fn answer_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A loopback address of this process's own.
pub fn own_ip(number: u8) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{number}", 1 + (id / 250) % 250, 1 + id % 250)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone, Default)]
struct Topic {
    first: u64,
    records: Vec<(String, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }
}

/// What the store does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    None,
    /// 503: nothing was done.
    Busy,
    /// The call gets no answer.
    Silent,
}

type FaultRule = Box<dyn Fn(&str, &str, &str) -> StoreFault + Send + Sync>;

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    newest: BTreeMap<(String, String), (u64, Vec<u8>)>,
}

/// The platform's store.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
    /// By the address of the caller, the call and the topic.
    fault: Mutex<FaultRule>,
    /// Answers that carried records, with the caller's address and the topic.
    pub told: Mutex<Vec<(u64, String, String, Vec<(String, Vec<u8>)>)>>,
    /// Raised when all open channels go silent.
    silenced: AtomicU64,
    /// Refused calls by topic, for the record.
    pub refused: Mutex<HashMap<String, u64>>,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            state: Mutex::default(),
            changed: Condvar::new(),
            fault: Mutex::new(Box::new(|_, _, _| StoreFault::None)),
            told: Mutex::default(),
            silenced: AtomicU64::new(0),
            refused: Mutex::default(),
        });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve(stream)));
            }
        });
        store
    }

    /// Sets what the store does with calls, by the caller's address, the call and the topic.
    pub fn set_fault(&self, rule: impl Fn(&str, &str, &str) -> StoreFault + Send + Sync + 'static) {
        *self.fault.lock().unwrap() = Box::new(rule);
    }

    /// Lets all open channels go silent for good. New ones work.
    pub fn silence_channels(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    /// Writes a record as the operator or a replica does; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        push(&mut state, topic, key, value.as_bytes());
        drop(state);
        self.changed.notify_all();
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let row = state.newest.get(&(topic.to_owned(), key.to_owned()))?;
        Some(String::from_utf8_lossy(&row.1).into_owned())
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let from = stream.peer_addr()?.ip().to_string();
        let opened_in = self.silenced.load(Ordering::SeqCst);
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false)? {
            let topic = request.query("topic").unwrap_or_default();
            let fault = (self.fault.lock().unwrap())(&from, request.path(), &topic);
            let answer = match fault {
                StoreFault::None => self.answer(&request, &topic, &from),
                StoreFault::Busy => {
                    *self.refused.lock().unwrap().entry(topic.clone()).or_default() += 1;
                    answer_bytes(503, &[], b"")
                }
                StoreFault::Silent => loop {
                    sleep_ms(1_000);
                },
            };
            while self.silenced.load(Ordering::SeqCst) != opened_in {
                sleep_ms(1_000);
            }
            writer.write_all(&answer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, topic: &str, from: &str) -> Vec<u8> {
        match request.path() {
            "/-/log-append" => self.append(request, topic),
            "/-/log-read" => self.read(request, topic, from),
            "/-/log-newest" => self.list(request, topic, from),
            _ => answer_bytes(404, &[], b""),
        }
    }

    fn append(&self, request: &Message, topic: &str) -> Vec<u8> {
        let mut state = self.state.lock().unwrap();
        let end = state.topics.entry(topic.to_owned()).or_default().end();
        let at: Option<u64> = request.query("at").and_then(|text| text.parse().ok());
        if at.is_some_and(|at| at != end) {
            return answer_bytes(412, &[], format!("{{\"end\":{end}}}").as_bytes());
        }
        let mut bytes = request.body.as_slice();
        while bytes.len() >= 4 {
            let length = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
            let record = &bytes[4..4 + length];
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            push(&mut state, topic, &String::from_utf8_lossy(key), value);
            bytes = &bytes[4 + length..];
        }
        let new_end = state.topics[topic].end();
        drop(state);
        self.changed.notify_all();
        answer_bytes(200, &[], format!("{{\"offset\":{end},\"end\":{new_end}}}").as_bytes())
    }

    fn read(&self, request: &Message, topic: &str, from: &str) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let at = number("from").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let row = state.topics.entry(topic.to_owned()).or_default().clone();
            if at < row.first {
                return answer_bytes(410, &[], format!("{{\"first\":{}}}", row.first).as_bytes());
            }
            let records: Vec<_> =
                row.records.iter().skip((at - row.first) as usize).cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !records.is_empty() || left.is_zero() {
                let mut body = row.end().to_be_bytes().to_vec();
                body.extend(row.first.to_be_bytes());
                for (key, value) in &records {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                self.note_told(from, topic, records);
                return answer_bytes(200, &[], &body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn list(&self, request: &Message, topic: &str, from: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let after = request.query("after").unwrap_or_default();
        let rows: Vec<_> =
            state.newest.iter().filter(|((name, key), _)| name == topic && *key > after).collect();
        let items: Vec<String> = rows
            .iter()
            .map(|((_, key), (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let end = state.topics.get(topic).map_or(0, Topic::end);
        let told = rows.iter().map(|((_, key), (_, value))| (key.clone(), value.clone())).collect();
        let body = format!("{{\"items\":[{}],\"more\":false,\"end\":{end}}}", items.join(","));
        drop(state);
        self.note_told(from, topic, told);
        answer_bytes(200, &[], body.as_bytes())
    }

    fn note_told(&self, from: &str, topic: &str, records: Vec<(String, Vec<u8>)>) {
        if !records.is_empty() {
            let row = (now_ms(), from.to_owned(), topic.to_owned(), records);
            self.told.lock().unwrap().push(row);
        }
    }
}

fn push(state: &mut StoreState, topic: &str, key: &str, value: &[u8]) {
    let row = state.topics.entry(topic.to_owned()).or_default();
    let offset = row.end();
    row.records.push((key.to_owned(), value.to_vec()));
    let name = (topic.to_owned(), key.to_owned());
    if value.is_empty() {
        state.newest.remove(&name);
    } else {
        state.newest.insert(name, (offset, value.to_vec()));
    }
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let mut number = 0_u32;
        for row in 0..3 {
            number = number << 8 | u32::from(*piece.get(row).unwrap_or(&0));
        }
        for row in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * row) & 63) as usize] as char;
            text.push(if row <= piece.len() { sign } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- replicas

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub at_ms: u64,
    pub from: String,
    /// `X-Ravenspoke-Tenant` as it came, if it came.
    pub tenant: Option<String>,
}

/// What a replica does with a request that it runs: it writes the answer to the channel, and returns
/// whether the channel is kept.
pub type Handler =
    Arc<dyn Fn(&Replica, &Message, &mut TcpStream) -> io::Result<bool> + Send + Sync>;

/// A replica.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    pub ended: Mutex<bool>,
    pub running: Mutex<u32>,
    channels: Mutex<Vec<TcpStream>>,
}

impl Replica {
    pub fn start(ip: &str, id: &str, handler: Handler) -> Arc<Self> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            runs: Mutex::default(),
            ended: Mutex::default(),
            running: Mutex::default(),
            channels: Mutex::default(),
        });
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *server.ended.lock().unwrap() {
                    return;
                }
                server.channels.lock().unwrap().push(stream.try_clone().unwrap());
                let (server, handler) = (server.clone(), handler.clone());
                thread::spawn(move || drop(server.serve(stream, &handler)));
            }
        });
        replica
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let from = stream.peer_addr()?.ip().to_string();
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false)? {
            let id = request.header("x-ravenspoke-request-id").unwrap_or_default().to_owned();
            let target = request.header("x-ravenspoke-target-instance").unwrap_or(&self.id);
            if target != self.id {
                writer.write_all(&answer_bytes(421, &[("X-Ravenspoke-Request-Id", &id)], b""))?;
                continue;
            }
            let tenant = request.header("x-ravenspoke-tenant").map(str::to_owned);
            let replica = self.id.clone();
            let run = Run { id, replica, at_ms: now_ms(), from: from.clone(), tenant };
            self.runs.lock().unwrap().push(run);
            *self.running.lock().unwrap() += 1;
            let kept = handler(self, &request, &mut writer);
            *self.running.lock().unwrap() -= 1;
            if !kept? {
                writer.shutdown(Shutdown::Both)?;
                return Ok(());
            }
        }
        Ok(())
    }

    /// Ends: closes all channels and takes no new ones.
    pub fn end(&self) {
        *self.ended.lock().unwrap() = true;
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        // The listener's thread sees the mark with the next channel.
        let _ = TcpStream::connect(self.address);
    }

    /// Its entry in the store.
    pub fn entry(&self, service: &str, version: &str, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"east\",\"version\":\
             \"{version}\",\"slots\":8,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            self.address
        )
    }
}

/// Answers after `work_ms` with 200, the request's id and the proof.
pub fn plain_handler(work_ms: u64) -> Handler {
    Arc::new(move |replica, request, writer| {
        sleep_ms(work_ms);
        let id = request.header("x-ravenspoke-request-id").unwrap_or_default();
        let body = format!("{} answers {id}", replica.id);
        let headers = [
            ("X-Ravenspoke-Request-Id", id),
            ("X-Ravenspoke-Response-Stamp", "stamp"),
            ("X-Ravenspoke-Instance-Load", "1,0,8"),
        ];
        writer.write_all(&answer_bytes(200, &headers, body.as_bytes()))?;
        Ok(true)
    })
}

// ---------------------------------------------------------------- boxes

/// A box as a process.
pub struct Node {
    pub name: String,
    pub ip: String,
    child: Child,
}

pub const FRONT: u16 = 18_227;
const READY: u16 = 18_220;
const DIRECTORY: u16 = 18_224;
const CONTROL: u16 = 18_229;
const GOSSIP: u16 = 18_340;

/// The folder of settings and logs of this script.
pub fn folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&path).expect("a temporary folder");
    path
}

impl Node {
    /// Starts box `number` of `count` with the command of the deploy file.
    pub fn start(store: SocketAddr, number: u8, count: u8) -> Self {
        let name = format!("front-east-{number}");
        let ip = own_ip(number);
        let seeds: Vec<String> =
            (1..=count.min(3)).map(|seed| format!("\"{}:{CONTROL}\"", own_ip(seed))).collect();
        let settings = format!(
            "node = \"{name}\"\nrole = \"gateway\"\nmachine_class = \"front\"\n\
             serves = [\"front\", \"directory\", \"control\"]\nip = \"{ip}\"\nzone = \"east\"\n\
             region = \"inland\"\nephemeral_ports = [{GOSSIP}, {}]\nseeds = [{}]\n\
             bootstrap = true\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \
             \"stream\", \"tenants\", \"platform\", \"rollout\"]\n\
             [zones]\neast = \"inland\"\n\
             [listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\ncontrol = \"{ip}:{CONTROL}\"\n\
             directory = \"{ip}:{DIRECTORY}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             disk_mb = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = 2000\nrollback_slack_ms = 250\nouter_ms = 5000\nstrict_revoke = true\n\
             revoke_ms = 5000\nretry_budget_ratio = 0.9\nbudget_window_s = 10\nretry_slack = 58\n\
             expose_share = 0.15\nexpose_slack = 30\nrollback_ms = 5000\nrecovery_s = 12\n\
             pass_ms = 120\nagain_s = 8.9\nsession_s = 5\nttl_max_s = 5\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nparts = 24\nkeep_s = 300\nttl_min_ms = 1000\n",
            GOSSIP + 15,
            seeds.join(", "),
        );
        let path = folder().join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings can be written");
        let log = File::create(folder().join(format!("{name}.log"))).expect("a log");
        let program = std::env::args().nth(1).expect("usage: CASE RAVENSPOKED RECORD");
        let child = Command::new(program)
            .args(["--platform", "--metrics", "9464"])
            .env("RAVENSPOKE_SETTINGS", path)
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("the box starts");
        Self { name, ip, child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let id = self.pid().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{FRONT}", self.ip).parse().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        let address = format!("{}:{READY}", self.ip).parse().unwrap();
        let text = format!("GET /-/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ip);
        exchange(address, text.as_bytes(), 1_000).is_ok_and(|answer| answer.status() == 200)
    }

    /// Its exit code if it has ended by itself.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(folder().join(format!("{}.log", self.name))).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts `count` boxes and waits until all are ready.
pub fn start_nodes(store: &Store, count: u8) -> Option<Vec<Node>> {
    let nodes: Vec<Node> =
        (1..=count).map(|number| Node::start(store.address, number, count)).collect();
    for _ in 0..150 {
        if nodes.iter().all(Node::is_ready) {
            return Some(nodes);
        }
        sleep_ms(100);
    }
    None
}

// ---------------------------------------------------------------- clients

/// Sends a request on a new channel and reads the answer.
pub fn exchange(address: SocketAddr, request: &[u8], limit_ms: u64) -> io::Result<Message> {
    let limit = Duration::from_millis(limit_ms);
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    writer.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_message(&mut reader, true)?.ok_or_else(|| io::Error::other("closed without an answer"))
}

/// The bytes of a client's request.
pub fn request_bytes(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Ravenspoke-Request-Id: {id}\r\n\
         X-Ravenspoke-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer site-key\r\n"
    );
    for (name, value) in more {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A config with one tenant.
pub fn config(version: u64, keys: &[&str], limits: &str) -> String {
    config_of(version, &[("alpha", keys)], limits)
}

/// A config with three routes: `/read/` may be repeated, `/file/` may not, `/chat/` is a stream.
pub fn config_of(version: u64, tenants: &[(&str, &[&str])], limits: &str) -> String {
    let route = |name: &str, kind: &str, attempts: u32, timeout_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":500,\"priority\":1,\"service\":\"pool\",\
             \"max_attempts\":{attempts},\"allow_anonymous\":false,\"stream_resume\":true,\
             \"gap_aim_ms\":1200}}"
        )
    };
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        format!("{{\"name\":\"{name}\",\"api_keys\":[{}]}}", keys.join(","))
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"pool\",\
         \"max_connections\":370}}],\"tenants\":[{}],\"limits\":{limits}}}",
        route("read", "idempotent", 2, 1_500),
        route("file", "non_idempotent", 1, 1_500),
        route("chat", "stream", 3, 20_000),
        tenants.join(",")
    )
}

pub const LIMITS: &str = "{\"max_header_bytes\":8192,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":5000,\"idle_timeout_ms\":30000}";

/// Removes the folder of settings and logs.
pub fn tidy(path: &Path) {
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(path);
    }
}
