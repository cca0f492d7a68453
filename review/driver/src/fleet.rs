//! Boxes as processes, with the command of the deploy file and the settings of a small deployment
//! (coteau-lic), each on a loopback address of its own, before the project's stand-in of the store.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use ravenspoke_standins::platform::site::own_address;
use ravenspoke_standins::platform::store::StoreStandin;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub const HOST: &str = "api.example";
pub const KEY: &str = "site-key";
pub const OPERATOR_TOPIC: &str = "keyed.op";
pub const REPLICA_TOPIC: &str = "keyed.servers";

/// `memory_mb` of the settings on DEPLOY.md and of the machines in the site file.
pub const MEMORY_MB: usize = 110;

/// Those of coteau-lic.
const CONTRACTS: [&str; 11] = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
    "platform", "rollout",
];

const FRONT: u16 = 8227;
const READY: u16 = 8220;
const DIRECTORY: u16 = 8224;
const CONTROL: u16 = 8229;
const METRICS: u16 = 9464;

/// The store, and what boxes are started with.
pub struct Fleet {
    pub store: StoreStandin,
    /// The store that boxes are started with, if it isn't the project's stand-in.
    pub store_address: SocketAddr,
    /// Parts of the rules that are in force.
    pub contracts: Vec<&'static str>,
    binary: PathBuf,
    folder: PathBuf,
    ips: Vec<IpAddr>,
}

impl Fleet {
    pub async fn start(binary: &Path, boxes: usize) -> Self {
        let ips: Vec<IpAddr> = (0..boxes).map(|_| own_address()).collect();
        let store = StoreStandin::start(own_address()).await;
        let store_address = store.address;
        let name = format!("ravenspoke-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let contracts = CONTRACTS.to_vec();
        Self { store, store_address, contracts, binary: binary.to_owned(), folder, ips }
    }

    /// Starts the box in this row.
    pub fn start_box(&self, row: usize) -> Node {
        let name = format!("front-regina-hall-{}", row + 1);
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, self.settings(&name, self.ips[row])).expect("settings");
        let log = self.folder.join(format!("{name}.out"));
        let ip = self.ips[row];
        let child = spawn(&self.binary, &settings, &log);
        Node { ip, settings, log, binary: self.binary.clone(), child }
    }

    fn settings(&self, name: &str, ip: IpAddr) -> String {
        let seeds: Vec<String> =
            self.ips.iter().take(3).map(|seed| format!("\"{seed}:{CONTROL}\"")).collect();
        format!(
            r#"node = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "regina-hall"
region = "prairie-west"
ephemeral_ports = [7340,7355]
seeds = [{}]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = {:?}
[zones]
regina-hall = "prairie-west"
saskatoon-hall = "prairie-west"
calgary-hall = "prairie-west"
edmonton-hall = "prairie-west"
[listen]
front = "{ip}:{FRONT}"
ready = "{ip}:{READY}"
control = "{ip}:{CONTROL}"
directory = "{ip}:{DIRECTORY}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.9
budget_window_s = 10
retry_slack = 58
expose_share = 0.15
expose_slack = 30
rollback_ms = 5000
recovery_s = 12
pass_ms = 120
again_s = 8.9
session_s = 5
ttl_max_s = 5
[platform]
address = "{}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 24
append_ms = 1.0
part_mb_per_s = 20.0
read_mb_per_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"#,
            seeds.join(","),
            self.contracts,
            self.store_address
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn spawn(binary: &Path, settings: &Path, log: &Path) -> Child {
    let output = File::options().create(true).append(true).open(log).expect("a log");
    let errors = log.with_extension("err");
    let errors = File::options().create(true).append(true).open(errors).expect("a log");
    Command::new(binary)
        .args(["--platform", "--metrics", &METRICS.to_string()])
        .env("RAVENSPOKE_SETTINGS", settings)
        .stdout(output)
        .stderr(errors)
        .spawn()
        .expect("the box starts")
}

/// A box as a process; it is killed when dropped.
pub struct Node {
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    child: Child,
}

impl Node {
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    pub fn entry_address(&self) -> String {
        format!("{}:{FRONT}", self.ip)
    }

    async fn get(&self, port: u16, path: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect((self.ip, port)).await.ok()?;
        let head = format!("GET {path} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ip);
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.ok()?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let (head, body) = text.split_once("\r\n\r\n")?;
        Some((head.get(9..12)?.parse().ok()?, body.to_owned()))
    }

    /// Status of its answer to the platform's check; 0 without an answer.
    pub async fn ready(&self) -> u16 {
        let answer = tokio::time::timeout(Duration::from_secs(1), self.get(READY, "/-/ready"));
        answer.await.ok().flatten().map_or(0, |(status, _)| status)
    }

    /// What its process wrote to standard error, as far as it tells of panics.
    pub fn panics(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.log.with_extension("err")).unwrap_or_default();
        let rows: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
        let told = rows.windows(2).filter(|two| two[0].contains("panicked at"));
        told.map(|two| format!("{}: {}", two[0], two[1])).collect()
    }

    /// Number of replicas that it knows, by its state dump.
    async fn replicas(&self) -> Option<usize> {
        let (_, body) = self.get(METRICS, "/state").await?;
        let from = body.find('{')?;
        let to = body.rfind('}')?;
        let state: Value = serde_json::from_str(&body[from..=to]).ok()?;
        Some(state["backends"].as_array()?.len())
    }

    /// Number of addresses that its directory names.
    pub async fn listed(&self) -> Option<usize> {
        let path = format!("/-/resolve?name={HOST}&region=prairie-west&zone=regina-hall");
        let (_, body) = self.get(DIRECTORY, &path).await?;
        let answer: Value = serde_json::from_str(&body).ok()?;
        Some(answer["addresses"].as_array()?.len())
    }

    /// Waits until it is ready, and knows so many replicas and boxes. `None` if it takes too long.
    pub async fn wait(&self, replicas: usize, boxes: usize) -> Option<()> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let ready = self.get(READY, "/-/ready").await.is_some_and(|answer| answer.0 == 200);
            if ready
                && self.replicas().await == Some(replicas)
                && self.listed().await == Some(boxes)
            {
                return Some(());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }

    /// Resident memory of its process, in bytes; 0 if it has ended.
    pub fn resident_bytes(&self) -> usize {
        let status = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(status).unwrap_or_default();
        let row = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = row.and_then(|row| row.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0_usize) << 10
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Asks its process to stop, as the platform does.
    pub fn terminate(&self) {
        let _ = Command::new("kill").args(["-TERM", &self.child.id().to_string()]).status();
    }

    /// Whether its process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Starts its process again.
    pub fn restart(&mut self) {
        self.child = spawn(&self.binary, &self.settings, &self.log);
    }

    /// Fields of the events in its log that have this name.
    pub fn events(&self, name: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let fields = lines.map(|line| line["fields"].clone());
        fields.filter(|fields| fields["name"] == name).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
