//! A fleet for tests and the quickstart: stand-ins run in this process, boxes as child processes.
//!
//! Each box process is killed when its handle is dropped, with the fleet at the latest. All waits
//! are for a condition and have a time limit.

use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use sha2::{Digest, Sha256};

use crate::engine::EngineFaults;
use crate::list::{BoxRow, ListRows, ReplicaRow};
use crate::platform::site::own_address;
use crate::serve::RunningServer;
use crate::{engine, list, log, rating, service};

/// Time limit of every wait.
pub const WAIT_BOUND: Duration = Duration::from_secs(20);

/// Interval of the checks of a wait's condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Operator key of all fleets.
pub const OPERATOR_KEY: &str = "operator-of-the-fleet";

const TOKEN_SECRET: &str = "000102030405060708090a0b0c0d0e0f";

/// Paths of the two binaries.
#[derive(Clone, Debug)]
pub struct BinaryPaths {
    /// `ravenspoked`.
    pub entry_box: PathBuf,
    /// `ravenspoke`.
    pub command: PathBuf,
}

/// Contents of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Name and availability zone of each box.
    pub boxes: Vec<(String, String)>,
    /// Settings and faults of each engine.
    pub engines: Vec<EngineFaults>,
    /// Lines for `[limits]` of each box's settings.
    pub limits: String,
}

/// A box, as a process.
pub struct BoxProcess {
    /// Its row in the box list.
    pub row: BoxRow,
    settings: PathBuf,
    child: Child,
}

impl BoxProcess {
    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// URL for callers.
    pub fn entry_url(&self) -> String {
        format!("http://{}", self.row.entry)
    }

    /// Sends a signal, by its name for `kill`.
    pub fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &pid]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Its exit code if it has exited, or -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running fleet.
pub struct RunningFleet {
    /// The log service.
    pub log: RunningServer,
    /// The box list.
    pub list: RunningServer,
    /// The rating service.
    pub rating: RunningServer,
    /// Engines.
    pub engines: Vec<RunningServer>,
    /// The plain service.
    pub service: RunningServer,
    /// Boxes.
    pub boxes: Vec<BoxProcess>,
    /// HTTP client.
    pub http: reqwest::Client,
    binaries: BinaryPaths,
    limits: String,
    signers: Vec<(String, String)>,
    rows: ListRows,
    dir: PathBuf,
}

/// SHA-256 of a key, in hexadecimal.
pub fn key_hash(key: &str) -> String {
    hex::encode(Sha256::digest(key))
}

/// Waits until `check` returns a value.
///
/// # Panics
/// If it does not within [`WAIT_BOUND`].
pub async fn wait_for<T, F: Future<Output = Option<T>>>(what: &str, check: impl Fn() -> F) -> T {
    let until = Instant::now() + WAIT_BOUND;
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(Instant::now() < until, "gave up waiting: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// First port of boxes, from which ports are counted up. They stay below the range that the system
/// uses for outgoing connections.
const FIRST_PORT: u16 = 12_000;

/// Returns an address for a listener of a box: a loopback address of this process, and a port that
/// is used once. It is not tested by binding it, because a child process that starts at that moment
/// inherits the socket and holds the port a little longer than this process.
fn free_address() -> String {
    static ADDRESS: OnceLock<IpAddr> = OnceLock::new();
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let ip = *ADDRESS.get_or_init(own_address);
    SocketAddr::new(ip, NEXT.fetch_add(1, Ordering::Relaxed)).to_string()
}

impl RunningFleet {
    /// Starts the stand-ins and the boxes of `plan`, and waits until every box answers.
    ///
    /// # Panics
    /// If a stand-in or a box does not start.
    pub async fn start(plan: FleetPlan, binaries: BinaryPaths) -> Self {
        let dir = std::env::temp_dir().join(format!("ravenspoke-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&dir).expect("a folder for settings");
        let mut engines = Vec::new();
        for faults in plan.engines {
            engines.push(engine::start(faults).await);
        }
        let mut fleet = Self {
            log: log::start().await,
            list: list::start(ListRows::default()).await,
            rating: rating::start().await,
            service: service::start().await,
            engines,
            boxes: Vec::new(),
            http: reqwest::Client::new(),
            binaries,
            limits: plan.limits,
            signers: Vec::new(),
            rows: ListRows::default(),
            dir,
        };
        fleet.create_signers().await;
        fleet.list_replicas();
        for (name, zone) in plan.boxes {
            let row = BoxRow {
                name,
                zone,
                entry: free_address(),
                peer: free_address(),
                operator: free_address(),
                leaving: false,
            };
            fleet.add_box(row);
        }
        fleet.publish_list().await;
        for index in 0..fleet.boxes.len() {
            fleet.wait_box(index).await;
        }
        fleet
    }

    async fn create_signers(&mut self) {
        for id in ["ada", "bea"] {
            let path = self.dir.join(format!("{id}.key")).display().to_string();
            let made = self.command(&["--json", "key", "new", &path]).await;
            let made: Value = serde_json::from_slice(&made.stdout).expect("key new prints JSON");
            let public = made["public"].as_str().expect("a public key").to_owned();
            self.signers.push((id.to_owned(), public));
        }
        let signers = self.signer_lines();
        let text = format!(
            "log = \"{}\"\nlist = \"{}\"\nsign_offs_needed = 2\n{signers}",
            self.log.url(),
            self.list.url()
        );
        std::fs::write(self.config_path(), text).expect("the operator's settings");
    }

    fn signer_lines(&self) -> String {
        let line = |(id, public): &(String, String)| {
            format!("[[sign_off]]\nid = \"{id}\"\npublic = \"{public}\"\n")
        };
        self.signers.iter().map(line).collect()
    }

    /// Path of the operator's settings.
    pub fn config_path(&self) -> PathBuf {
        self.dir.join("ravenspoke.toml")
    }

    fn list_replicas(&mut self) {
        let row = |name: String, address: String, service: &str, engine| ReplicaRow {
            name,
            address,
            zone: "hall".to_owned(),
            service: service.to_owned(),
            engine,
            leaving: false,
        };
        self.rows.replicas = self
            .engines
            .iter()
            .enumerate()
            .map(|(i, e)| row(format!("engine-{}", i + 1), e.address.to_string(), "engines", true))
            .collect();
        let service = self.service.address.to_string();
        self.rows.replicas.push(row("broker-1".to_owned(), service, "broker", false));
    }

    /// Starts a box with this row, which may be the row of a box that has ended.
    pub fn add_box(&mut self, row: BoxRow) {
        let settings = self.write_settings(&row);
        let child = self.spawn(&settings);
        self.rows.boxes.retain(|listed| listed.name != row.name);
        self.rows.boxes.push(row.clone());
        self.boxes.push(BoxProcess { row, settings, child });
    }

    /// Starts the process of box `index` again, as a new incarnation without state.
    pub fn restart(&mut self, index: usize) {
        let child = self.spawn(&self.boxes[index].settings);
        self.boxes[index].child = child;
    }

    fn spawn(&self, settings: &Path) -> Child {
        let log = std::fs::File::create(settings.with_extension("log")).expect("a log file");
        Command::new(&self.binaries.entry_box)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the box starts")
    }

    fn write_settings(&self, row: &BoxRow) -> PathBuf {
        let signers = self.signer_lines().replace("[[sign_off]]", "[[keys.sign_off]]");
        let text = format!(
            "name = \"{}\"\nzone = \"{}\"\n\n[listen]\nentry = \"{}\"\npeer = \"{}\"\n\
             operator = \"{}\"\n\n[platform]\nlog = \"{}\"\nlist = \"{}\"\nrating = \"{}\"\n\n\
             [limits]\n{}\n[keys]\noperator_hash = \"{}\"\npeer = \"{TOKEN_SECRET}\"\n\
             sign_offs_needed = 2\n\n[[keys.tokens]]\nid = \"k1\"\nsecret = \"{TOKEN_SECRET}\"\n\n\
             {signers}",
            row.name,
            row.zone,
            row.entry,
            row.peer,
            row.operator,
            self.log.url(),
            self.list.url(),
            self.rating.url(),
            self.limits,
            key_hash(OPERATOR_KEY),
        );
        let path = self.dir.join(format!("{}.toml", row.name));
        std::fs::write(&path, text).expect("the box's settings");
        path
    }

    /// Publishes the fleet's rows to the box list.
    pub async fn publish_list(&self) {
        let request = self.http.post(format!("{}/set", self.list.url())).json(&self.rows);
        request.send().await.expect("the box list answers");
    }

    /// Rows of the box list. Changes take effect with [`RunningFleet::publish_list`].
    pub fn rows_mut(&mut self) -> &mut ListRows {
        &mut self.rows
    }

    /// Returns the log of a box.
    pub fn box_log(&self, index: usize) -> String {
        let path = self.boxes[index].settings.with_extension("log");
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Waits until the box answers callers.
    ///
    /// # Panics
    /// If it ends, or does not answer within [`WAIT_BOUND`].
    pub async fn wait_box(&mut self, index: usize) {
        let url = format!("{}/health", self.boxes[index].entry_url());
        let until = Instant::now() + WAIT_BOUND;
        loop {
            let answer = self.http.get(&url).send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return;
            }
            let code = self.boxes[index].exit_code();
            let waits = code.is_none() && Instant::now() < until;
            assert!(waits, "{url}: exit code {code:?}, the box's log: {}", self.box_log(index));
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Runs the operator's command with these arguments, without blocking the test's other tasks.
    pub async fn command(&self, args: &[&str]) -> Output {
        let mut command = Command::new(&self.binaries.command);
        command.args(args).arg("--config").arg(self.config_path());
        command.env("RAVENSPOKE_OPERATOR_KEY", OPERATOR_KEY);
        let ran = tokio::task::spawn_blocking(move || command.output()).await;
        ran.expect("the command's task ends").expect("the command runs")
    }

    /// Runs the operator's command and parses its JSON output.
    ///
    /// # Panics
    /// If it fails.
    pub async fn command_json(&self, args: &[&str]) -> Value {
        let output = self.command(&[args, &["--json"]].concat()).await;
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{args:?}: {stderr}");
        serde_json::from_slice(&output.stdout).expect("the command prints JSON")
    }

    /// Writes a bundle to a file, signs it by both operators, and returns the path.
    pub async fn sign(&self, name: &str, bundle: &str) -> String {
        let path = self.dir.join(name).display().to_string();
        std::fs::write(&path, bundle).expect("the bundle's file");
        for id in ["ada", "bea"] {
            let key = self.dir.join(format!("{id}.key")).display().to_string();
            self.command_json(&["bundle", "sign", &path, "--id", id, "--key", &key]).await;
        }
        path
    }

    /// Signs and publishes a bundle, waits until every box applies it, and returns its sequence.
    pub async fn publish(&self, name: &str, bundle: &str) -> u64 {
        let path = self.sign(name, bundle).await;
        let done = self.command_json(&["bundle", "publish", &path]).await;
        let sequence = done["published"].as_u64().expect("a sequence");
        self.wait_sequence(sequence).await;
        sequence
    }

    /// Waits until every box applies a bundle with at least this sequence.
    pub async fn wait_sequence(&self, sequence: u64) {
        for index in 0..self.boxes.len() {
            wait_for("the bundle is in force", || async {
                let state = self.state(index).await?;
                (state["sequence"].as_u64()? >= sequence).then_some(())
            })
            .await;
        }
    }

    /// Returns the state dump of a box.
    pub async fn state(&self, index: usize) -> Option<Value> {
        let url = format!("http://{}/state", self.boxes[index].row.operator);
        let sent = self.http.get(url).bearer_auth(OPERATOR_KEY).send().await.ok()?;
        sent.json().await.ok()
    }

    /// Sets the faults of a stand-in.
    pub async fn set_faults(&self, server: &RunningServer, faults: Value) {
        let request = self.http.post(format!("{}/faults", server.url())).json(&faults);
        let answer = request.send().await.expect("the stand-in answers");
        assert!(answer.status().is_success(), "faults {faults} were refused");
    }

    /// Returns the counts of a stand-in.
    pub async fn counts(&self, server: &RunningServer) -> Value {
        let answer = self.http.get(format!("{}/counts", server.url())).send().await;
        answer.expect("the stand-in answers").json().await.expect("counts are JSON")
    }

    /// Builds a chat request to box `index`.
    pub fn chat(
        &self,
        index: usize,
        key: &str,
        model: &str,
        stream: bool,
    ) -> reqwest::RequestBuilder {
        let body = json!({
            "model": model, "stream": stream, "max_tokens": 8,
            "messages": [{ "role": "user", "content": "why did my seat vanish?" }],
        });
        let url = format!("{}/v1/chat/completions", self.boxes[index].entry_url());
        self.http.post(url).bearer_auth(key).json(&body)
    }

    /// Builds a non-idempotent call to box `index`, with the idempotency key `once`.
    pub fn release(&self, index: usize, key: &str, once: &str) -> reqwest::RequestBuilder {
        let url = format!("{}/services/broker/releases/7", self.boxes[index].entry_url());
        self.http.post(url).bearer_auth(key).header("idempotency-key", once).body("{}")
    }
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        self.boxes.clear();
        for server in
            self.engines.iter().chain([&self.log, &self.list, &self.rating, &self.service])
        {
            server.task.abort();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Returns a new UUIDv7, the idempotency key of a non-idempotent call.
pub fn once_key() -> String {
    uuid::Uuid::now_v7().to_string()
}
