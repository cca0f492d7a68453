//! A site: the store, and routing boxes ([`super::site_box`]), each on a loopback address of its own.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU8, Ordering};

use serde_json::json;

use super::replica::ReplicaStandin;
use super::site_box::{SiteBox, DIRECTORY_PORT, ENTRY_PORT, GOSSIP_PORT, READY_PORT, SITE_HOST};
use super::store::StoreStandin;
use crate::fleet::wait_for;

/// Key that the site's plan knows.
pub const SITE_KEY: &str = "site-key";

/// Service that the site's routes name.
pub const SITE_SERVICE: &str = "pool";

/// Topic of the operator's records.
pub const OPERATOR_TOPIC: &str = "keyed.op";

/// Key of the order to empty a zone.
pub fn evacuation_key(zone: &str) -> String {
    format!("evacuate/{zone}")
}

/// Topic of what the boxes report to the operator.
pub const STATUS_TOPIC: &str = "keyed.status";

/// Key of the order to bring a version of the site's service in, and of its status.
pub const ROLLOUT_KEY: &str = "rollout/pool";

/// Topic of the replicas' entries.
pub const REPLICA_TOPIC: &str = "keyed.servers";

/// Port under which settings name seeds; boxes hear notes at [`GOSSIP_PORT`] all the same.
const SEED_PORT: u16 = 18_229;

/// Descriptors of a box, as small installations give them.
const DESCRIPTORS: u32 = 4_100;

/// Length of the lease of what one box does for all, in milliseconds.
pub const LEASE_MS: u64 = 1_000;

/// Length of a window of usage, in seconds.
pub const WINDOW_S: u64 = 2;

/// A loopback address that nothing else of this process, or of another that lives, uses.
pub fn own_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let id = std::process::id();
    let (high, low) = (1 + (id / 250) % 250, 1 + id % 250);
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    assert!(last < u8::MAX, "a process has 254 addresses");
    Ipv4Addr::new(127, high as u8, low as u8, last).into()
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
    /// What the plan says of cold replicas: for how many seconds they are cold, and what they bear a second.
    pub warm_up: Option<(f64, f64)>,
    /// Where boxes started from now on reach the platform's API, if it has any.
    pub cloud: Option<SocketAddr>,
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
            warm_up: None,
            cloud: None,
            binary: binary.to_owned(),
            folder,
            seeds: Vec::new(),
            keep: false,
        }
    }

    /// Writes a plan of three routes to one service: `/read/` may be repeated, `/file/` runs once,
    /// `/chat/` is a stream.
    pub fn write_plan(&self, version: u64, keys: &[&str]) {
        self.write_long_plan(version, keys, 0);
    }

    /// Writes the same plan with `extra_routes` routes beside these, whose names and paths repeat nothing.
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
        format!(
            "node = \"{name}\"\nrole = \"gateway\"\nip = \"{ip}\"\nzone = \"east\"\n\
             ephemeral_ports = [{GOSSIP_PORT}, {}]\nseeds = [{}]\nfield_of_tomorrow = true\n\
             [listen]\nfront = \"{ip}:{ENTRY_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [bounds]\nstrict_revoke = true\nrevoke_ms = 5000\nconfig_apply_ms = 2000\n\
             grace_s = 8\nretry_budget_ratio = 0.9\nretry_slack = 60\n\
             lease_ms = {LEASE_MS}\nusage_window_s = {WINDOW_S}\nusage_late_s = 4\n\
             [zones]\neast = \"inland\"\nwest = \"coast\"\n\
             [limits]\nmax_fds = {}\n[platform]\naddress = \"{}\"\n{}",
            GOSSIP_PORT + 15,
            seeds.join(", "),
            self.descriptors,
            self.store_path.unwrap_or(self.store.address),
            cloud.unwrap_or_default(),
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
