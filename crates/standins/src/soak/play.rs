//! One run: a site is started, faults and callers are let loose on it, and the records are judged.

use std::net::IpAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{watch, Mutex};

use super::callers::{resolve, send, SoakCaller, CALLERS, SECOND_KEY};
use super::judge::{judge, BrokenPromise, LeftReplica, SoakRecord};
use super::proxy::{FaultProxy, ProxyFault};
use super::schedule::{draw_faults, SoakFault, TimedFault, BOXES, CALM_FOR, FAULTS_FOR, REPLICAS};
use super::witness::{AskEnd, AskKind, PlayedFault, SoakWitness};
use crate::fleet::wait_for;
use crate::platform::replica::{ReplicaMode, ReplicaStandin};
use crate::platform::site::{own_address, RunningSite, SiteBox, SITE_KEY, SITE_SERVICE};
use crate::platform::store::{StoreFaults, StoreOutage};

/// Events of a stream, and the time between two of them.
const EVENTS: u32 = 6;
const GAP_MS: u64 = 15;

/// Time that a slow store takes, in milliseconds.
const SLOW_MS: u64 = 300;

/// A box that was asked to stop is gone after this: the time that the platform gives it.
const GRACE: Duration = Duration::from_millis(8_000);

/// Requests that each box must serve when the faults are over.
const LAST_ASKS: usize = 5;

/// The whole stream of a replica.
pub fn whole_stream() -> String {
    (1..=EVENTS).map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

/// What a run showed.
pub struct SoakReport {
    /// Requests.
    pub asks: usize,
    /// Those that were answered by a replica.
    pub served: usize,
    /// Faults, in words.
    pub faults: Vec<String>,
    /// Promises that were broken.
    pub broken: Vec<BrokenPromise>,
}

/// A site under faults.
struct SoakSite {
    site: Mutex<RunningSite>,
    boxes: Vec<Mutex<SiteBox>>,
    addresses: Vec<IpAddr>,
    replicas: Vec<ReplicaStandin>,
    store_paths: Vec<FaultProxy>,
    replica_paths: Vec<FaultProxy>,
    left: Mutex<Vec<LeftReplica>>,
    store_faults: Mutex<StoreFaults>,
    plan_version: AtomicU64,
    witness: Arc<SoakWitness>,
}

/// Plays a seed with boxes that run `binary`. A run with a broken promise keeps its logs.
pub async fn play(binary: &Path, seed: u64) -> SoakReport {
    let site = Arc::new(start(binary).await);
    let (stop, stopped) = watch::channel(false);
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let caller =
                SoakCaller::new(seed, number, site.addresses.clone(), site.witness.clone());
            tokio::spawn(caller.run(stopped.clone()))
        })
        .collect();
    let faults = draw_faults(seed);
    let played: Vec<_> =
        faults.iter().map(|row| tokio::spawn(play_fault(site.clone(), *row))).collect();
    tokio::time::sleep(FAULTS_FOR).await;
    for fault in played {
        fault.await.expect("the fault is played");
    }
    tokio::time::sleep(CALM_FOR).await;
    stop.send_replace(true);
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    report(&site, &faults).await
}

async fn report(site: &SoakSite, faults: &[TimedFault]) -> SoakReport {
    let mut broken = check_recovery(site).await;
    let left = site.left.lock().await;
    broken.extend(judge(&SoakRecord {
        witness: &site.witness,
        replicas: &site.replicas,
        left: &left,
        boxes: &site.addresses,
    }));
    if !broken.is_empty() {
        broken.push(format!("logs: {}", site.site.lock().await.keep_folder().display()));
    }
    let asks = site.witness.asks();
    let served = |end: &AskEnd| matches!(end, AskEnd::Answered { status: 200, .. });
    SoakReport {
        asks: asks.len(),
        served: asks.iter().filter(|ask| served(&ask.end)).count(),
        faults: faults.iter().map(|row| format!("{row:?}")).collect(),
        broken,
    }
}

async fn start(binary: &Path) -> SoakSite {
    let mut site = RunningSite::start(binary).await;
    site.write_plan(1, &[SITE_KEY, SECOND_KEY]);
    let (mut replicas, mut replica_paths) = (Vec::new(), Vec::new());
    for number in 0..REPLICAS {
        let (replica, path) = start_replica(&site, &format!("i-{number}")).await;
        replicas.push(replica);
        replica_paths.push(path);
    }
    let (mut boxes, mut store_paths) = (Vec::new(), Vec::new());
    for number in 0..BOXES {
        // Each box has a proxy of its own, at an address by which the store knows the box.
        let path = FaultProxy::start(own_address(), site.store.address).await;
        site.store_path = Some(path.address);
        boxes.push(site.start_ready(&format!("box-{number}")).await);
        store_paths.push(path);
    }
    let addresses: Vec<IpAddr> = boxes.iter().map(|subject| subject.ip).collect();
    wait_for("every box names all", || async {
        let named = resolve(&site.http, addresses[0]).await?;
        (named.len() == BOXES).then_some(())
    })
    .await;
    SoakSite {
        boxes: boxes.into_iter().map(Mutex::new).collect(),
        site: Mutex::new(site),
        addresses,
        replicas,
        store_paths,
        replica_paths,
        left: Mutex::default(),
        store_faults: Mutex::default(),
        plan_version: AtomicU64::new(1),
        witness: Arc::default(),
    }
}

/// Starts a replica whose entry names a proxy before it.
async fn start_replica(site: &RunningSite, id: &str) -> (ReplicaStandin, FaultProxy) {
    let replica = ReplicaStandin::start(own_address(), id, EVENTS, GAP_MS).await;
    let path = FaultProxy::start(replica.address.ip(), replica.address).await;
    let reached = replica.behind(path.address);
    site.store.put("keyed.servers", id, &reached.entry(SITE_SERVICE, "v1", "ready"));
    (replica, path)
}

/// Plays one fault from its beginning to its end and notes it.
async fn play_fault(site: Arc<SoakSite>, row: TimedFault) {
    tokio::time::sleep(row.at).await;
    let from = Instant::now();
    match row.fault {
        SoakFault::BoxKilled(number) => {
            let mut subject = site.boxes[number].lock().await;
            subject.kill();
            tokio::time::sleep(row.length).await;
            subject.restart();
        }
        SoakFault::BoxStopped(number) => site.stop_box(number).await,
        SoakFault::BoxPaused(number) => {
            let subject = site.boxes[number].lock().await;
            subject.signal("STOP");
            tokio::time::sleep(row.length).await;
            subject.signal("CONT");
        }
        SoakFault::BoxTold(number) => site.boxes[number].lock().await.tell().await,
        SoakFault::Store(outage, only) => {
            let only = only.map(|number| site.store_paths[number].address.ip());
            site.disturb_store(row.length, |faults, on| {
                faults.outage = if on { outage } else { StoreOutage::None };
                faults.only = only.filter(|_| on).into_iter().collect();
            })
            .await;
        }
        SoakFault::StoreSlow => {
            site.disturb_store(row.length, |faults, on| {
                faults.slow_ms = if on { SLOW_MS } else { 0 };
            })
            .await;
        }
        SoakFault::StoreLoses => {
            site.disturb_store(row.length, |faults, on| faults.lose_answers = u32::from(on)).await;
        }
        SoakFault::StoreCompacts => {
            let site = site.site.lock().await;
            site.store.compact("keyed.op");
            site.store.compact("keyed.servers");
        }
        SoakFault::StorePath(number, fault) => disturb(&site.store_paths[number], fault, row).await,
        SoakFault::ReplicaPath(number, fault) => {
            disturb(&site.replica_paths[number], fault, row).await;
        }
        SoakFault::Replica(number, mode) => {
            site.replicas[number].set_mode(mode);
            tokio::time::sleep(row.length).await;
            site.replicas[number].set_mode(ReplicaMode::Well);
        }
        SoakFault::ReplicaLeaves => site.let_replica_leave(row).await,
        SoakFault::KeyTaken => {
            site.witness.note_key_taken();
            site.write_plan().await;
        }
        SoakFault::PlanChanged => site.write_plan().await,
    }
    site.witness.note_fault(PlayedFault { fault: row.fault, from, until: Instant::now() });
}

async fn disturb(path: &FaultProxy, fault: ProxyFault, row: TimedFault) {
    path.set(fault);
    tokio::time::sleep(row.length).await;
    path.set(ProxyFault::None);
}

impl SoakSite {
    /// Asks a box to stop, waits until it has ended, and starts it again.
    async fn stop_box(&self, number: usize) {
        let mut subject = self.boxes[number].lock().await;
        subject.signal("TERM");
        let until = Instant::now() + GRACE;
        while subject.exit_code().is_none() && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        subject.kill();
        subject.restart();
    }

    async fn disturb_store(&self, length: Duration, change: impl Fn(&mut StoreFaults, bool)) {
        for on in [true, false] {
            let mut faults = self.store_faults.lock().await;
            change(&mut faults, on);
            self.site.lock().await.store.set_faults(faults.clone());
            drop(faults);
            if on {
                tokio::time::sleep(length).await;
            }
        }
    }

    /// A replica comes, says that it leaves after the fault's length, and is gone two seconds later.
    async fn let_replica_leave(&self, row: TimedFault) {
        let id = format!("i-{}", row.at.as_micros());
        let (replica, path) = start_replica(&*self.site.lock().await, &id).await;
        tokio::time::sleep(row.length).await;
        let reached = replica.behind(path.address);
        let entry = reached.entry(SITE_SERVICE, "v1", "draining");
        self.site.lock().await.store.put("keyed.servers", &id, &entry);
        self.left.lock().await.push(LeftReplica { replica, marked_at: Instant::now() });
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        self.site.lock().await.store.drop_key("keyed.servers", &id);
        // It lives on to the end of the run: what still comes would be seen.
        std::mem::forget(path);
    }

    /// Writes a newer plan, without the second key once that was taken away.
    async fn write_plan(&self) {
        let version = self.plan_version.fetch_add(7, Ordering::Relaxed) + 7;
        let taken = self.witness.key_taken_at().is_some();
        let keys: &[&str] = if taken { &[SITE_KEY] } else { &[SITE_KEY, SECOND_KEY] };
        self.site.lock().await.write_plan(version, keys);
    }
}

/// When the faults are over, each box is named by all and serves.
async fn check_recovery(site: &SoakSite) -> Vec<BrokenPromise> {
    let http = site.site.lock().await.http.clone();
    let mut broken = Vec::new();
    for to in &site.addresses {
        let named = resolve(&http, *to).await.unwrap_or_default();
        if named.len() != BOXES {
            broken.push(format!("{to} names {named:?} when the faults are over"));
        }
        for number in 0..LAST_ASKS {
            let end = send(&http, *to, AskKind::Read, &format!("last-{to}-{number}"), false).await;
            if !matches!(end, AskEnd::Answered { status: 200, .. }) {
                broken.push(format!("{to} does not serve when the faults are over: {end:?}"));
            }
        }
    }
    broken
}
