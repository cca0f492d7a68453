//! A site: the store, and routing boxes as processes, each on a loopback address of its own.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

use serde_json::{json, Value};

use super::replica::ReplicaStandin;
use super::store::StoreStandin;
use crate::fleet::wait_for;

/// Key that the site's plan knows.
pub const SITE_KEY: &str = "site-key";

/// Host that the site's routes name.
pub const SITE_HOST: &str = "api.example";

/// Service that the site's routes name.
pub const SITE_SERVICE: &str = "pool";

/// Topic of the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";

/// Topic of the replicas' entries.
pub const REPLICA_TOPIC: &str = "keyed.servers";

/// Ports of each box; the boxes of a site differ in their addresses.
const ENTRY_PORT: u16 = 18_227;
const READY_PORT: u16 = 18_220;
const DIRECTORY_PORT: u16 = 18_224;
const NOTES_PORT: u16 = 18_340;
const METRICS_PORT: u16 = 18_464;

/// Port under which settings name seeds; boxes hear notes at [`NOTES_PORT`] all the same.
const SEED_PORT: u16 = 18_229;

/// Bit of the signal that tells of changed settings, in the masks that the system shows.
const HANGUP_BIT: u64 = 1;

/// Descriptors of a box, as small installations give them.
const DESCRIPTORS: u32 = 4_100;

/// A loopback address that nothing else of this process, or of another that lives, uses.
pub fn own_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let id = std::process::id();
    let (high, low) = (1 + (id / 250) % 250, 1 + id % 250);
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(last < u8::MAX, "a process has 254 addresses");
    Ipv4Addr::new(127, high as u8, low as u8, last).into()
}

/// Where the box at `ip` takes callers.
pub fn entry_address(ip: IpAddr) -> String {
    format!("{ip}:{ENTRY_PORT}")
}

/// Where the box at `ip` answers which addresses to use.
pub fn directory_url(ip: IpAddr) -> String {
    format!("http://{ip}:{DIRECTORY_PORT}/-/resolve?name={SITE_HOST}")
}

/// Addresses that a directory's answer names.
pub fn named_in(answer: &Value) -> Option<Vec<String>> {
    let rows = answer["addresses"].as_array()?;
    Some(rows.iter().filter_map(|row| Some(row.as_str()?.to_owned())).collect())
}

/// A box as a process.
pub struct SiteBox {
    /// Its address.
    pub ip: IpAddr,
    /// Its settings file.
    pub settings: PathBuf,
    log: PathBuf,
    child: Child,
    binary: PathBuf,
}

/// Starts the process of a box; its lines are added to the log.
fn spawn(binary: &Path, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log can be written");
    Command::new(binary)
        .args(["--platform", "--metrics", &METRICS_PORT.to_string()])
        .env("RAVENSPOKE_SETTINGS", settings)
        .stdout(output)
        .stderr(Stdio::inherit())
        .spawn()
        .expect("the box starts")
}

impl SiteBox {
    /// URL of a path where callers connect.
    pub fn entry(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry_address())
    }

    /// Where callers connect.
    pub fn entry_address(&self) -> String {
        entry_address(self.ip)
    }

    /// Sends a signal, by the name that `kill` knows.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal {name} was sent");
    }

    /// Tells it that its settings changed, once its process has come so far that it listens for that:
    /// before its own code runs, the signal ends any process.
    pub async fn tell(&self) {
        let status = format!("/proc/{}/status", self.child.id());
        wait_for("the box listens for signals", || {
            let text = std::fs::read_to_string(&status).unwrap_or_default();
            let row = text.lines().find_map(|line| line.strip_prefix("SigCgt:"));
            let caught = row.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
            std::future::ready(caught.filter(|mask| mask & HANGUP_BIT != 0))
        })
        .await;
        self.signal("HUP");
    }

    /// Kills its process, if it runs.
    pub fn kill(&mut self) {
        // Already ended is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts its process again, once the last one has ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.binary, &self.settings, &self.log);
    }

    /// Its exit code, if it has exited.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Lines of its log with one event's name: their fields.
    pub fn events(&self, name: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let fields = lines.map(|line| line["fields"].clone());
        fields.filter(|fields| fields["name"] == name).collect()
    }

    /// What the directory answers.
    pub async fn resolve(&self) -> Option<Vec<String>> {
        let answer: Value = reqwest::get(directory_url(self.ip)).await.ok()?.json().await.ok()?;
        named_in(&answer)
    }

    /// Whether it says that it is ready.
    pub async fn ready(&self) -> bool {
        let url = format!("http://{}:{READY_PORT}/-/ready", self.ip);
        reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
    }

    /// Its metrics, as text.
    pub async fn metrics(&self) -> Option<String> {
        let url = format!("http://{}:{METRICS_PORT}/metrics", self.ip);
        reqwest::get(url).await.ok()?.text().await.ok()
    }

    /// Its state dump.
    pub async fn state(&self) -> Option<Value> {
        let url = format!("http://{}:{METRICS_PORT}/state", self.ip);
        reqwest::get(url).await.ok()?.json().await.ok()
    }
}

impl Drop for SiteBox {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The store, and what a box needs to be started before it.
pub struct RunningSite {
    /// The store.
    pub store: StoreStandin,
    /// Client of callers.
    pub http: reqwest::Client,
    /// Descriptors that the settings of boxes started from now on allow.
    pub descriptors: u32,
    /// Where boxes started from now on reach the store, if not directly.
    pub store_path: Option<SocketAddr>,
    /// A seed that is no address, for boxes started from now on, as TOML.
    pub bad_seed: Option<String>,
    binary: PathBuf,
    folder: PathBuf,
    seeds: Vec<IpAddr>,
    keep: bool,
}

impl RunningSite {
    /// Starts a store; boxes run `binary`.
    pub async fn start(binary: &Path) -> Self {
        let ip = own_address();
        let folder = std::env::temp_dir().join(format!("ravenspoke-site-{ip}"));
        std::fs::create_dir_all(&folder).expect("a folder for settings and logs");
        Self {
            store: StoreStandin::start(ip).await,
            http: reqwest::Client::new(),
            descriptors: DESCRIPTORS,
            store_path: None,
            bad_seed: None,
            binary: binary.to_owned(),
            folder,
            seeds: Vec::new(),
            keep: false,
        }
    }

    /// Writes a plan of three routes to one service: `/read/` may be repeated, `/file/` runs once,
    /// `/chat/` is a stream.
    pub fn write_plan(&self, version: u64, keys: &[&str]) {
        let route = |name: &str, kind: &str, attempts: u32| {
            json!({
                "name": name, "host": SITE_HOST, "path_prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
                "service": SITE_SERVICE, "max_attempts": attempts, "allow_anonymous": false,
                "stream_resume": true, "gap_aim_ms": 500,
            })
        };
        let plan = json!({
            "version": version,
            "routes": [
                route("read", "idempotent", 3),
                route("file", "non_idempotent", 2),
                route("chat", "stream", 3),
            ],
            "services": [{ "name": SITE_SERVICE, "max_connections": 100, "unknown_field": 1 }],
            "tenants": [{ "name": "alpha", "api_keys": keys }],
            "limits": { "max_body_bytes": 100_000, "max_header_bytes": 8_192 },
        });
        self.store.put(OPERATOR_TOPIC, "config", &plan);
    }

    /// Keeps the folder of settings and logs beyond the site's end, and gives it.
    pub fn keep_folder(&mut self) -> &Path {
        self.keep = true;
        &self.folder
    }

    /// Starts a replica and writes its entry.
    pub async fn start_replica(&self, id: &str, events: u32, gap_ms: u64) -> ReplicaStandin {
        let replica = ReplicaStandin::start(own_address(), id, events, gap_ms).await;
        self.store.put(REPLICA_TOPIC, id, &replica.entry(SITE_SERVICE, "v1", "ready"));
        replica
    }

    /// Starts a box.
    pub fn start_box(&mut self, name: &str) -> SiteBox {
        let ip = own_address();
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(name, ip)).expect("settings can be written");
        let log = self.folder.join(format!("{name}.log"));
        // A log of an earlier site at this address is not this box's.
        drop(std::fs::remove_file(&log));
        let child = spawn(&self.binary, &settings, &log);
        self.seeds.push(ip);
        SiteBox { ip, settings, log, child, binary: self.binary.clone() }
    }

    /// Starts a box and waits until it is ready.
    pub async fn start_ready(&mut self, name: &str) -> SiteBox {
        let started = self.start_box(name);
        wait_for("the box is ready", || async { started.ready().await.then_some(()) }).await;
        started
    }

    fn settings(&self, name: &str, ip: IpAddr) -> String {
        let seeds = self.seeds.iter().rev().take(3).map(|seed| format!("\"{seed}:{SEED_PORT}\""));
        let seeds: Vec<String> = seeds.chain(self.bad_seed.clone()).collect();
        format!(
            "node = \"{name}\"\nrole = \"gateway\"\nip = \"{ip}\"\nzone = \"east\"\n\
             ephemeral_ports = [{NOTES_PORT}, {}]\nseeds = [{}]\nfield_of_tomorrow = true\n\
             [listen]\nfront = \"{ip}:{ENTRY_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [bounds]\nstrict_revoke = true\nrevoke_ms = 5000\nconfig_apply_ms = 2000\n\
             grace_s = 8\nretry_budget_ratio = 0.9\nretry_slack = 60\n\
             [limits]\nmax_fds = {}\n[platform]\naddress = \"{}\"\n",
            NOTES_PORT + 15,
            seeds.join(", "),
            self.descriptors,
            self.store_path.unwrap_or(self.store.address),
        )
    }

    /// A caller's request with the site's key.
    pub fn request(
        &self,
        to: &SiteBox,
        method: &str,
        path: &str,
        id: &str,
    ) -> reqwest::RequestBuilder {
        let method = method.parse().expect("a method");
        let request = self.http.request(method, to.entry(path));
        request
            .header("Host", SITE_HOST)
            .header("X-Ravenspoke-Request-Id", id)
            .header("X-Ravenspoke-Deadline-Ms", "3500")
            .header("Authorization", format!("Bearer {SITE_KEY}"))
    }

    /// A caller's request for a stream.
    pub fn chat(&self, to: &SiteBox, id: &str) -> reqwest::RequestBuilder {
        self.request(to, "POST", "/chat/x", id).header("Accept", "text/event-stream").body("prompt")
    }
}

impl Drop for RunningSite {
    fn drop(&mut self) {
        // Logs are kept while a test fails.
        if !self.keep && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
