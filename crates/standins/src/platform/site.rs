//! A site: the store and routing boxes ([`super::site_box`]), each on its own loopback address.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};

use serde_json::json;

use super::replica::ReplicaStandin;
use super::site_box::{SiteBox, DIRECTORY_PORT, ENTRY_PORT, GOSSIP_PORT, READY_PORT, SITE_HOST};
use super::store::StoreStandin;
use crate::fleet::wait_for;

/// API key in the site's plan.
pub const SITE_KEY: &str = "site-key";

/// Service of the site's routes.
pub const SITE_SERVICE: &str = "pool";

/// Topic of the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";

/// Key of the order to evacuate a zone.
pub fn evacuation_key(zone: &str) -> String {
    format!("evacuate/{zone}")
}

/// Topic of the boxes' reports to the operator.
pub const STATUS_TOPIC: &str = "keyed.status";

/// Key of the rollout order for the site's service, and of its status.
pub const ROLLOUT_KEY: &str = "rollout/pool";

/// Topic of the replicas' entries.
pub const REPLICA_TOPIC: &str = "keyed.servers";

/// Port of the seeds in the settings. Boxes receive gossip at [`GOSSIP_PORT`] nevertheless.
const SEED_PORT: u16 = 18_229;

/// File descriptors that a box may use, as on small installations.
const DESCRIPTORS: u32 = 4_100;

/// Length of the leader's lease, in milliseconds.
pub const LEASE_MS: u64 = 1_000;

/// Length of a usage window, in seconds.
pub const WINDOW_S: u64 = 2;

/// Returns an unused loopback address. It is derived from the process id and a counter, so that
/// other stand-ins of this and of most other running processes have other addresses.
pub fn own_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let id = std::process::id();
    let (high, low) = (1 + (id / 250) % 250, 1 + id % 250);
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(last < u8::MAX, "a process has 254 addresses");
    Ipv4Addr::new(127, high as u8, low as u8, last).into()
}

/// A running store, and the settings for starting boxes on it.
pub struct RunningSite {
    /// The store.
    pub store: StoreStandin,
    /// HTTP client of callers.
    pub http: reqwest::Client,
    /// File descriptor limit in the settings of boxes that are started from now on.
    pub descriptors: u32,
    /// Address of the proxy to the store for boxes that are started from now on, if any.
    pub store_path: Option<SocketAddr>,
    /// A seed that is not an address, as TOML, for boxes that are started from now on.
    pub bad_seed: Option<String>,
    /// How long replicas are cold, in seconds, and their limit of requests a second while cold, for
    /// the plan.
    pub warm_up: Option<(f64, f64)>,
    /// Address of the platform's API for boxes that are started from now on, if any.
    pub cloud: Option<SocketAddr>,
    /// Parts of the platform's contract in the settings of boxes that are started from now on.
    pub contracts: Vec<&'static str>,
    /// Memory limit in the settings of boxes that are started from now on, in MB, if any.
    pub memory_mb: Option<u32>,
    binary: PathBuf,
    folder: PathBuf,
    seeds: Vec<IpAddr>,
    keep: bool,
}

impl RunningSite {
    /// Starts a store. Boxes will run `binary`.
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
            warm_up: None,
            cloud: None,
            contracts: Vec::new(),
            memory_mb: None,
            binary: binary.to_owned(),
            folder,
            seeds: Vec::new(),
            keep: false,
        }
    }

    /// Writes a plan with three routes to one service: `/read/` is idempotent, `/file/` is not, and
    /// `/chat/` is a stream.
    pub fn write_plan(&self, version: u64, keys: &[&str]) {
        self.write_long_plan(version, keys, 0);
    }

    /// Writes the same plan with `extra_routes` more routes, whose names and paths are pseudorandom
    /// so that the plan compresses badly.
    pub fn write_long_plan(&self, version: u64, keys: &[&str], extra_routes: u64) {
        let route = |name: &str, kind: &str, attempts: u32| {
            json!({
                "name": name, "host": SITE_HOST, "path_prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
                "service": SITE_SERVICE, "max_attempts": attempts, "allow_anonymous": false,
                "stream_resume": true, "gap_aim_ms": 500,
            })
        };
        let mut routes = vec![
            route("read", "idempotent", 3),
            route("file", "non_idempotent", 2),
            route("chat", "stream", 3),
        ];
        let mixed = |number: u64| number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        routes.extend(
            (1..=extra_routes)
                .map(|number| route(&format!("{:016x}", mixed(number)), "idempotent", 3)),
        );
        let (cold_start_s, cold_per_s) = self.warm_up.unwrap_or_default();
        let plan = json!({
            "version": version,
            "routes": routes,
            "services": [{
                "name": SITE_SERVICE, "max_connections": 100, "unknown_field": 1,
                "cold_start_s": cold_start_s, "cold_per_s": cold_per_s,
            }],
            "tenants": [{ "name": "alpha", "api_keys": keys }],
            "limits": { "max_body_bytes": 100_000, "max_header_bytes": 8_192 },
        });
        self.store.put(OPERATOR_TOPIC, "config", &plan);
    }

    /// Keeps the folder of settings and logs after the site is dropped, and returns its path.
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
        self.seeds.push(ip);
        SiteBox::start(&self.binary, ip, settings, log)
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
        let cloud = self.cloud.map(|address| {
            format!(
                "[cloud]\naddress = \"{address}\"\nduties = [\"usage_report\", \"autoscale\"]\n"
            )
        });
        let memory = self.memory_mb.map(|limit| format!("memory_mb = {limit}\n"));
        format!(
            "node = \"{name}\"\nrole = \"gateway\"\nip = \"{ip}\"\nzone = \"east\"\n\
             ephemeral_ports = [{GOSSIP_PORT}, {}]\nseeds = [{}]\nfield_of_tomorrow = true\n\
             contracts = {:?}\n\
             [listen]\nfront = \"{ip}:{ENTRY_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [bounds]\nstrict_revoke = true\nrevoke_ms = 5000\nconfig_apply_ms = 2000\n\
             grace_s = 8\nretry_budget_ratio = 0.9\nretry_slack = 60\n\
             lease_ms = {LEASE_MS}\nusage_window_s = {WINDOW_S}\nusage_late_s = 4\n\
             [zones]\neast = \"inland\"\nwest = \"coast\"\n\
             [limits]\nmax_fds = {}\n{}[platform]\naddress = \"{}\"\n{}",
            GOSSIP_PORT + 15,
            seeds.join(", "),
            self.contracts,
            self.descriptors,
            memory.unwrap_or_default(),
            self.store_path.unwrap_or(self.store.address),
            cloud.unwrap_or_default(),
        )
    }

    /// Builds a caller's request with the site's key.
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

    /// Builds a caller's request for a stream.
    pub fn chat(&self, to: &SiteBox, id: &str) -> reqwest::RequestBuilder {
        self.request(to, "POST", "/chat/x", id).header("Accept", "text/event-stream").body("prompt")
    }
}

impl Drop for RunningSite {
    fn drop(&mut self) {
        // Logs of a failed test are kept.
        if !self.keep && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
