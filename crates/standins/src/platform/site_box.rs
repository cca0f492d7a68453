//! A routing box as a process, with its signals, its log and its HTTP endpoints.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

use crate::fleet::wait_for;

/// Host of the site's routes.
pub const SITE_HOST: &str = "api.example";

/// Ports of each box. The boxes of a site have different addresses.
pub(super) const ENTRY_PORT: u16 = 18_227;
pub(super) const READY_PORT: u16 = 18_220;
pub(super) const DIRECTORY_PORT: u16 = 18_224;
pub(super) const GOSSIP_PORT: u16 = 18_340;
const METRICS_PORT: u16 = 18_464;

/// Bit of SIGHUP, which reloads the settings, in the signal masks of `/proc`.
const HANGUP_BIT: u64 = 1;

/// Address at which the box at `ip` accepts callers.
pub fn entry_address(ip: IpAddr) -> String {
    format!("{ip}:{ENTRY_PORT}")
}

/// URL of the directory of the box at `ip`, which lists the addresses to use.
pub fn directory_url(ip: IpAddr) -> String {
    format!("http://{ip}:{DIRECTORY_PORT}/-/resolve?name={SITE_HOST}")
}

/// Addresses in a directory's response, or `None` if it has no list.
pub fn listed_addresses(answer: &Value) -> Option<Vec<String>> {
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

/// Starts the process of a box, which appends its output to the log.
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
    /// Starts a box at `ip` with this settings file and a new log file.
    pub(super) fn start(binary: &Path, ip: IpAddr, settings: PathBuf, log: PathBuf) -> Self {
        // An earlier site at this address may have left a log.
        drop(std::fs::remove_file(&log));
        let child = spawn(binary, &settings, &log);
        Self { ip, settings, log, child, binary: binary.to_owned() }
    }

    /// URL of a path at the callers' address.
    pub fn entry(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry_address())
    }

    /// Address at which it accepts callers.
    pub fn entry_address(&self) -> String {
        entry_address(self.ip)
    }

    /// Address of the platform's readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    /// Address of the directory.
    pub fn directory_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, DIRECTORY_PORT)
    }

    /// Address of the metrics and the state dump.
    pub fn metrics_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// Address at which other boxes forward requests.
    pub fn forward_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, GOSSIP_PORT)
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, by its name for `kill`.
    pub fn signal(&self, name: &str) {
        let id = self.pid().to_string();
        let sent = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "the signal {name} was sent");
    }

    /// Makes it reload its settings by SIGHUP. Waits first until the process has its handler,
    /// because the signal ends a process without one.
    pub async fn tell(&self) {
        let status = format!("/proc/{}/status", self.pid());
        wait_for("the box listens for signals", || {
            let text = std::fs::read_to_string(&status).unwrap_or_default();
            let row = text.lines().find_map(|line| line.strip_prefix("SigCgt:"));
            let caught = row.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok());
            std::future::ready(caught.filter(|mask| mask & HANGUP_BIT != 0))
        })
        .await;
        self.signal("HUP");
    }

    /// Resident memory of its process, in bytes.
    pub fn resident_bytes(&self) -> usize {
        let status = format!("/proc/{}/status", self.pid());
        let text = std::fs::read_to_string(&status).expect("the process runs");
        let row = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
        let kilobytes: usize = row.trim().trim_end_matches(" kB").parse().expect("a number");
        kilobytes << 10
    }

    /// Kills its process, if it runs.
    pub fn kill(&mut self) {
        // An error means that it has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts its process again. The last one must have ended.
    pub fn restart(&mut self) {
        self.child = spawn(&self.binary, &self.settings, &self.log);
    }

    /// Its exit code if it has exited, or -1 if a signal ended it.
    pub fn exit_code(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    /// Fields of the events in its log that have this name.
    pub fn events(&self, name: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let fields = lines.map(|line| line["fields"].clone());
        fields.filter(|fields| fields["name"] == name).collect()
    }

    /// Addresses that its directory lists.
    pub async fn resolve(&self) -> Option<Vec<String>> {
        let answer: Value = reqwest::get(directory_url(self.ip)).await.ok()?.json().await.ok()?;
        listed_addresses(&answer)
    }

    /// Whether it reports that it is ready.
    pub async fn ready(&self) -> bool {
        let url = format!("http://{}:{READY_PORT}/-/ready", self.ip);
        reqwest::get(url).await.is_ok_and(|answer| answer.status().is_success())
    }

    /// Its metrics, in text format.
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
