//! The site of a soak run: boxes as processes, the store and replicas. A proxy stands between each
//! box and the store, and before each replica.

use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Instant;

use serde_json::json;
use tokio::sync::Mutex;

use super::callers::{resolve, SECOND_KEY};
use super::judge::{EvacuationSpan, LeftReplica};
use super::proxy::FaultProxy;
use super::recorder::SoakRecorder;
use super::schedule::{BOXES, REPLICAS};
use super::sessions::{order, RolloutResult, NEW_REPLICAS, NEW_VERSION, OLD_VERSION};
use crate::fleet::wait_for;
use crate::platform::replica::ReplicaStandin;
use crate::platform::site::{
    own_address, RunningSite, OPERATOR_TOPIC, REPLICA_TOPIC, ROLLOUT_KEY, SITE_KEY, SITE_SERVICE,
    STATUS_TOPIC,
};
use crate::platform::site_box::SiteBox;
use crate::platform::store::StoreFaults;

/// Number of events of a stream. Some precede and some follow the one at which a replica aborts.
const EVENTS: u32 = 6;

/// Time between two events of a stream, in milliseconds.
const GAP_MS: u64 = 15;

/// Difference of two successive plan versions, which need not be consecutive.
const VERSION_STEP: u64 = 7;

/// Zone of the first replica, which a fault may evacuate.
pub(super) const FIRST_ZONE: &str = "west";

/// Zone of all other replicas.
pub(super) const OTHER_ZONE: &str = "east";

/// Limit of the requests a second to a cold replica, in the plan. A tenth of what callers send.
pub(super) const COLD_PER_S: f64 = 20.0;

/// Time for which an added cold replica is cold, in milliseconds.
pub(super) const COLD_MS: u64 = 2_000;

/// Zone of a replica, and how long it is cold, in milliseconds.
#[derive(Clone, Copy)]
pub(super) struct ReplicaPlace {
    pub(super) zone: &'static str,
    pub(super) cold_ms: u64,
}

/// Body of a complete stream of a replica.
pub fn whole_stream() -> String {
    (1..=EVENTS).map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

/// The running site of a soak run.
pub(super) struct SoakSite {
    /// The store, and the settings for starting boxes.
    pub(super) site: Mutex<RunningSite>,
    /// The boxes, each locked by the fault that stops or suspends it.
    pub(super) boxes: Vec<Mutex<SiteBox>>,
    /// Addresses of the boxes.
    pub(super) addresses: Vec<IpAddr>,
    /// Replicas that stay for the whole run.
    pub(super) replicas: Vec<ReplicaStandin>,
    /// Replicas of the new version.
    pub(super) new_replicas: Vec<ReplicaStandin>,
    /// Proxies before the replicas of the new version.
    pub(super) new_paths: Vec<FaultProxy>,
    /// When the rollout was ordered.
    ordered_at: Instant,
    /// Proxy between each box and the store.
    pub(super) store_paths: Vec<FaultProxy>,
    /// Proxy before each replica that stays.
    pub(super) replica_paths: Vec<FaultProxy>,
    /// Replicas that left.
    pub(super) left: Mutex<Vec<LeftReplica>>,
    /// Spans in which the first replica's zone was evacuated.
    pub(super) evacuated: Mutex<Vec<EvacuationSpan>>,
    /// Proxies before replicas that left, kept running so that late requests are recorded.
    pub(super) left_paths: Mutex<Vec<FaultProxy>>,
    /// Current faults of the store.
    pub(super) store_faults: Mutex<StoreFaults>,
    plan_version: AtomicU64,
    /// Records of callers and faults.
    pub(super) recorder: Arc<SoakRecorder>,
}

impl SoakSite {
    /// Starts a site of a few boxes.
    pub(super) async fn start(binary: &Path) -> Self {
        Self::start_with(binary, BOXES).await
    }

    /// Starts a site of so many boxes.
    pub(super) async fn start_with(binary: &Path, count: usize) -> Self {
        Self::start_under(binary, count, Vec::new()).await
    }

    /// Starts a site whose boxes keep load control, so that rejected calls wait and are sent again.
    pub(super) async fn start_with_load_control(binary: &Path) -> Self {
        Self::start_under(binary, BOXES, vec!["pressure"]).await
    }

    /// Starts a site under parts of the contract, and waits until the first box lists all boxes.
    async fn start_under(binary: &Path, count: usize, contracts: Vec<&'static str>) -> Self {
        let mut site = RunningSite::start(binary).await;
        site.contracts = contracts;
        site.warm_up = Some((COLD_MS as f64 / 1_000.0, COLD_PER_S));
        site.write_plan(1, &[SITE_KEY, SECOND_KEY]);
        let (replicas, replica_paths) = start_replicas(&site, "i", OLD_VERSION, REPLICAS).await;
        let (boxes, store_paths) = start_boxes(&mut site, count).await;
        let addresses: Vec<IpAddr> = boxes.iter().map(|subject| subject.ip).collect();
        wait_for("every box names all", || async {
            let named = resolve(&site.http, addresses[0]).await?;
            (named.len() == count).then_some(())
        })
        .await;
        // The platform starts the new version's replicas when the rollout is ordered.
        site.store.put(OPERATOR_TOPIC, ROLLOUT_KEY, &order());
        let ordered_at = Instant::now();
        let (new_replicas, new_paths) = start_replicas(&site, "n", NEW_VERSION, NEW_REPLICAS).await;
        Self {
            new_replicas,
            new_paths,
            ordered_at,
            boxes: boxes.into_iter().map(Mutex::new).collect(),
            site: Mutex::new(site),
            addresses,
            replicas,
            store_paths,
            replica_paths,
            left: Mutex::default(),
            evacuated: Mutex::default(),
            left_paths: Mutex::default(),
            store_faults: Mutex::default(),
            plan_version: AtomicU64::new(1),
            recorder: Arc::default(),
        }
    }

    /// Start and result of the rollout.
    pub(super) async fn rollout(&self) -> RolloutResult {
        let status = self.site.lock().await.store.newest(STATUS_TOPIC, ROLLOUT_KEY);
        let rolled_back = status.is_some_and(|status| status["state"] == "rolled_back");
        let is_bad = self.new_replicas.iter().any(|replica| !replica.bad_times().is_empty());
        RolloutResult { ordered_at: self.ordered_at, rolled_back, is_bad }
    }

    /// Writes a newer plan, without the second key once it is revoked.
    pub(super) async fn write_plan(&self) {
        let last = self.plan_version.fetch_add(VERSION_STEP, Ordering::Relaxed);
        let taken = self.recorder.key_revoked_at().is_some();
        let keys: &[&str] = if taken { &[SITE_KEY] } else { &[SITE_KEY, SECOND_KEY] };
        self.site.lock().await.write_plan(last + VERSION_STEP, keys);
    }
}

async fn start_replicas(
    site: &RunningSite,
    prefix: &str,
    version: &str,
    count: usize,
) -> (Vec<ReplicaStandin>, Vec<FaultProxy>) {
    let (mut replicas, mut paths) = (Vec::new(), Vec::new());
    for number in 0..count {
        let first = number == 0 && version == OLD_VERSION;
        let zone = if first { FIRST_ZONE } else { OTHER_ZONE };
        let place = ReplicaPlace { zone, cold_ms: 0 };
        let id = format!("{prefix}-{number}");
        let (replica, path) = start_replica(site, &id, version, place).await;
        replicas.push(replica);
        paths.push(path);
    }
    (replicas, paths)
}

async fn start_boxes(site: &mut RunningSite, count: usize) -> (Vec<SiteBox>, Vec<FaultProxy>) {
    let (mut boxes, mut paths) = (Vec::new(), Vec::new());
    for number in 0..count {
        // The store tells boxes apart by the addresses of their proxies.
        let path = FaultProxy::start(own_address(), site.store.address).await;
        site.store_path = Some(path.address);
        boxes.push(site.start_ready(&format!("box-{number}")).await);
        paths.push(path);
    }
    (boxes, paths)
}

/// Starts a replica and a proxy, and writes an entry with the proxy's address.
pub(super) async fn start_replica(
    site: &RunningSite,
    id: &str,
    version: &str,
    place: ReplicaPlace,
) -> (ReplicaStandin, FaultProxy) {
    let replica = ReplicaStandin::start(own_address(), id, EVENTS, GAP_MS).await;
    let path = FaultProxy::start(replica.address.ip(), replica.address).await;
    let reached = replica.behind(path.address);
    let mut entry = reached.entry(SITE_SERVICE, version, "ready");
    entry["zone"] = json!(place.zone);
    entry["cold_remaining_ms"] = json!(place.cold_ms);
    site.store.put(REPLICA_TOPIC, id, &entry);
    (replica, path)
}
