//! Injects faults into the site and ends them again.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time::sleep;

use super::judge::{EvacuationSpan, LeftReplica};
use super::proxy::{FaultProxy, ProxyFault};
use super::recorder::InjectedFault;
use super::schedule::{SoakFault, TimedFault};
use super::sessions::OLD_VERSION;
use super::site::{start_replica, ReplicaPlace, SoakSite, COLD_MS, FIRST_ZONE, OTHER_ZONE};
use crate::platform::replica::{NextAnswer, ReplicaMode};
use crate::platform::site::{evacuation_key, OPERATOR_TOPIC, REPLICA_TOPIC, SITE_SERVICE};
use crate::platform::store::{StoreFaults, StoreOutage};

/// Time that a slow store takes for each call, in milliseconds.
const SLOW_MS: u64 = 300;

/// Time that the platform gives a box to stop. It is killed afterwards.
const STOP_GRACE: Duration = Duration::from_millis(8_000);

/// Interval of the checks whether a stopping box has exited.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Time for which the entry of a leaving replica stays marked as draining before it is removed. A
/// little more than the two seconds within which boxes must have seen the mark.
const DRAINING_TIME: Duration = Duration::from_millis(2_500);

/// Time for which the store is unreachable before it is restored from a copy.
const RESTORE_OUTAGE: Duration = Duration::from_millis(600);

/// Rejections in a second that a brittle replica bears. Callers send many times as many requests.
const BRITTLE_PER_S: u32 = 4;

/// Time for which replicas say that they are brittle before one of them rejects requests: the
/// platform's bound on the time until boxes know it.
const BRITTLE_LEAD: Duration = Duration::from_millis(3_000);

/// Share of the requests that replicas reject while they repeat their answers.
const REJECTED_SHARE: f64 = 0.4;

/// Answers of a replica that are decided beforehand: more than it gives in a run.
const DECIDED_ANSWERS: usize = 20_000;

/// `Retry-After` of a full replica, in seconds. Several pauses of a caller.
const RETRY_AFTER_S: f64 = 0.4;

/// Injects a fault at its time and records when it started and ended.
pub(super) async fn inject_fault(site: Arc<SoakSite>, row: TimedFault) {
    sleep(row.at).await;
    let asked_at = Instant::now();
    let began_at = match row.fault {
        SoakFault::BoxKilled(number) => Some(site.kill_box(number, row.length).await),
        SoakFault::BoxStopped(number) => Some(site.stop_box(number).await),
        fault => {
            inflict(&site, fault, row).await;
            None
        }
    };
    let from = began_at.unwrap_or(asked_at);
    site.recorder.record_fault(InjectedFault { fault: row.fault, from, until: Instant::now() });
}

/// Injects a fault whose start counts from its due time, even if it waits for a locked box.
async fn inflict(site: &SoakSite, fault: SoakFault, row: TimedFault) {
    match fault {
        SoakFault::BoxKilled(_) | SoakFault::BoxStopped(_) => {}
        SoakFault::BoxesKilled => site.kill_boxes(row.length).await,
        SoakFault::BoxPaused(number) => site.pause_box(number, row.length).await,
        SoakFault::BoxTold(number) => site.boxes[number].lock().await.tell().await,
        SoakFault::Store(outage, only) => site.fail_store(outage, only, row.length).await,
        SoakFault::StoreTopic(outage, topic) => site.fail_topic(outage, topic, row.length).await,
        SoakFault::StoreSlow => site.slow_store(row.length).await,
        SoakFault::StoreLoses => site.lose_answers(row.length).await,
        SoakFault::StoreCompacts => site.compact_store().await,
        SoakFault::StoreRestored => site.restore_store(row.length).await,
        SoakFault::StorePath(number, fault) => disturb(&site.store_paths[number], fault, row).await,
        SoakFault::ReplicaPath(number, fault) => {
            disturb(&site.replica_paths[number], fault, row).await;
        }
        SoakFault::BoxPaths(number, fault) => {
            site.lose_paths(&[site.addresses[number]], fault, row.length).await;
        }
        SoakFault::AllPaths(fault) => {
            site.lose_paths(&site.addresses, fault, row.length).await;
        }
        SoakFault::ReplicaSilent(number) => {
            site.replicas[number].fall_silent(row.length);
            sleep(row.length).await;
        }
        SoakFault::RepeatedAnswers(seed) => site.repeat_answers(seed, row.length).await,
        SoakFault::Brittle(number) => site.make_brittle(number, row.length).await,
        SoakFault::Replica(number, mode) => site.disturb_replica(number, mode, row.length).await,
        SoakFault::ReplicaLeaves => site.add_leaving_replica(row, 0).await,
        SoakFault::ReplicaCold => site.add_leaving_replica(row, COLD_MS).await,
        SoakFault::ZoneEmptied => site.evacuate_zone(row.length).await,
        SoakFault::KeyTaken => {
            site.recorder.record_key_revoked();
            site.write_plan().await;
        }
        SoakFault::PlanChanged => site.write_plan().await,
    }
}

async fn disturb(path: &FaultProxy, fault: ProxyFault, row: TimedFault) {
    path.set(fault);
    sleep(row.length).await;
    path.set(ProxyFault::None);
}

impl SoakSite {
    /// Makes all replicas say that they are brittle, and one of them reject all requests.
    async fn make_brittle(&self, number: usize, length: Duration) {
        let all = || self.replicas.iter().chain(&self.new_replicas);
        all().for_each(|replica| replica.set_brittle(Some(BRITTLE_PER_S)));
        sleep(BRITTLE_LEAD.min(length)).await;
        self.replicas[number].set_mode(ReplicaMode::Full);
        sleep(length.saturating_sub(BRITTLE_LEAD)).await;
        self.replicas[number].set_mode(ReplicaMode::Well);
        all().for_each(|replica| replica.set_brittle(None));
    }

    /// Makes all replicas reject requests that the seed draws, and send their answers again.
    async fn repeat_answers(&self, seed: u64, length: Duration) {
        let mut rng = StdRng::seed_from_u64(seed);
        let all = || self.replicas.iter().chain(&self.new_replicas);
        for replica in all() {
            replica.answer_next((0..DECIDED_ANSWERS).map(|_| match rng.gen_bool(REJECTED_SHARE) {
                true => NextAnswer::Reject,
                false => NextAnswer::Run,
            }));
            replica.repeat_late(true);
        }
        sleep(length).await;
        for replica in all() {
            replica.answer_next([]);
            replica.repeat_late(false);
        }
    }

    /// Cuts the paths from some boxes to all replicas for a while.
    async fn lose_paths(&self, boxes: &[IpAddr], fault: ProxyFault, length: Duration) {
        self.set_paths(boxes, fault);
        sleep(length).await;
        self.set_paths(boxes, ProxyFault::None);
    }

    fn set_paths(&self, boxes: &[IpAddr], fault: ProxyFault) {
        for path in self.replica_paths.iter().chain(&self.new_paths) {
            boxes.iter().for_each(|address| path.set_from(*address, fault));
        }
    }

    /// Kills a box once no other fault has locked it, and restarts it later. Returns when it was
    /// killed.
    async fn kill_box(&self, number: usize, length: Duration) -> Instant {
        let mut subject = self.boxes[number].lock().await;
        let killed_at = Instant::now();
        subject.kill();
        sleep(length).await;
        subject.restart();
        killed_at
    }

    /// Kills all boxes and restarts them later.
    async fn kill_boxes(&self, length: Duration) {
        let mut boxes = Vec::new();
        for subject in &self.boxes {
            boxes.push(subject.lock().await);
        }
        boxes.iter_mut().for_each(|subject| subject.kill());
        sleep(length).await;
        boxes.iter_mut().for_each(|subject| subject.restart());
    }

    /// Asks a box to stop once no other fault has locked it, waits until it has exited or the grace
    /// period is over, and restarts it. Returns when it was asked.
    async fn stop_box(&self, number: usize) -> Instant {
        let mut subject = self.boxes[number].lock().await;
        let asked_at = Instant::now();
        subject.signal("TERM");
        let until = Instant::now() + STOP_GRACE;
        while subject.exit_code().is_none() && Instant::now() < until {
            sleep(EXIT_POLL).await;
        }
        subject.kill();
        subject.restart();
        asked_at
    }

    /// Suspends the process of a box for a while.
    async fn pause_box(&self, number: usize, length: Duration) {
        let subject = self.boxes[number].lock().await;
        subject.signal("STOP");
        sleep(length).await;
        subject.signal("CONT");
    }

    /// Makes the store fail for all boxes, or for the box `only`.
    async fn fail_store(&self, outage: StoreOutage, only: Option<usize>, length: Duration) {
        let only = only.map(|number| self.store_paths[number].address.ip());
        self.disturb_store(length, |faults, on| {
            faults.outage = if on { outage } else { StoreOutage::None };
            faults.only = only.filter(|_| on).into_iter().collect();
        })
        .await;
    }

    /// Makes the store fail for calls to a topic.
    async fn fail_topic(&self, outage: StoreOutage, topic: &str, length: Duration) {
        self.disturb_store(length, |faults, on| {
            faults.outage = if on { outage } else { StoreOutage::None };
            faults.topics = Some(topic.to_owned()).filter(|_| on).into_iter().collect();
        })
        .await;
    }

    async fn slow_store(&self, length: Duration) {
        self.disturb_store(length, |faults, on| {
            faults.slow_ms = if on { SLOW_MS } else { 0 };
        })
        .await;
    }

    /// Makes the store do an append and not answer it.
    async fn lose_answers(&self, length: Duration) {
        self.disturb_store(length, |faults, on| faults.lose_answers = u32::from(on)).await;
    }

    /// Changes the store's faults, and reverts the change when the fault is over.
    async fn disturb_store(&self, length: Duration, change: impl Fn(&mut StoreFaults, bool)) {
        self.change_store(|faults| change(faults, true)).await;
        sleep(length).await;
        self.change_store(|faults| change(faults, false)).await;
    }

    async fn change_store(&self, change: impl FnOnce(&mut StoreFaults)) {
        let mut faults = self.store_faults.lock().await;
        change(&mut faults);
        self.site.lock().await.store.set_faults(faults.clone());
    }

    async fn compact_store(&self) {
        let site = self.site.lock().await;
        site.store.compact(OPERATOR_TOPIC);
        site.store.compact(REPLICA_TOPIC);
    }

    /// Makes the store unreachable for a moment and restores it from a copy that is `age` old. The
    /// operator and the replicas then rewrite what was lost.
    async fn restore_store(&self, age: Duration) {
        let copy = self.site.lock().await.store.copy();
        sleep(age).await;
        self.change_store(|faults| faults.outage = StoreOutage::Reset).await;
        sleep(RESTORE_OUTAGE).await;
        {
            let site = self.site.lock().await;
            let lost = site.store.restore(copy);
            site.store.write_again(lost);
        }
        self.change_store(|faults| faults.outage = StoreOutage::None).await;
    }

    async fn disturb_replica(&self, number: usize, mode: ReplicaMode, length: Duration) {
        self.replicas[number].set_mode(mode);
        self.replicas[number].set_backoff(Some(RETRY_AFTER_S));
        sleep(length).await;
        self.replicas[number].set_mode(ReplicaMode::Well);
    }

    /// Evacuates the first replica's zone, and withdraws the order when the fault is over.
    async fn evacuate_zone(&self, length: Duration) {
        let key = evacuation_key(FIRST_ZONE);
        self.site.lock().await.store.put(OPERATOR_TOPIC, &key, &json!({}));
        let ordered_at = Instant::now();
        sleep(length).await;
        let withdrawn_at = Instant::now();
        self.site.lock().await.store.drop_key(OPERATOR_TOPIC, &key);
        self.evacuated.lock().await.push(EvacuationSpan { ordered_at, withdrawn_at });
    }

    /// Adds a replica, lets it announce after the fault's length that it leaves, and then removes
    /// its entry. Its process runs to the end of the run, so that late requests are recorded.
    async fn add_leaving_replica(&self, row: TimedFault, cold_ms: u64) {
        let id = format!("i-{}", row.at.as_micros());
        let started_at = Instant::now();
        let place = ReplicaPlace { zone: OTHER_ZONE, cold_ms };
        let (replica, path) =
            start_replica(&*self.site.lock().await, &id, OLD_VERSION, place).await;
        sleep(row.length).await;
        replica.say_leaving();
        let entry = replica.behind(path.address).entry(SITE_SERVICE, OLD_VERSION, "draining");
        self.site.lock().await.store.put(REPLICA_TOPIC, &id, &entry);
        self.left.lock().await.push(LeftReplica {
            replica,
            started_at,
            cold_ms,
            draining_at: Instant::now(),
        });
        self.left_paths.lock().await.push(path);
        sleep(DRAINING_TIME).await;
        self.site.lock().await.store.drop_key(REPLICA_TOPIC, &id);
    }
}
