//! Runs one seed: starts a site, runs callers and faults on it, and checks the records.

use std::path::Path;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use tokio::runtime::Builder;
use tokio::sync::watch;

use super::callers::{resolve, send, SoakCaller, CALLERS};
use super::exposure::{draw_version_fault, FAULTS_BESIDE};
use super::inflict::inject_fault;
use super::judge::{judge, BrokenGuarantee, SoakRecord};
use super::recorder::{AskEnd, AskKind};
use super::schedule::{
    draw_faults, draw_partitions, draw_repeats, draw_restarts, draw_series, SoakFault, TimedFault,
    FAULT_WINDOW, RECOVERY_TIME, RESTART_BOXES, RESTART_RECOVERY_TIME,
};
use super::site::SoakSite;

/// Requests that each box must serve after the faults.
const RECOVERY_REQUESTS: usize = 5;

/// Results of a run.
pub struct SoakReport {
    /// Number of requests.
    pub asks: usize,
    /// Number of requests answered with status 200.
    pub served: usize,
    /// Faults, as text.
    pub faults: Vec<String>,
    /// Guarantees that were broken.
    pub broken: Vec<BrokenGuarantee>,
}

impl SoakReport {
    /// Panics if a guarantee was broken or few requests were served.
    pub fn assert_kept(&self, seed: u64) {
        let found = self.broken.join("\n");
        assert!(self.broken.is_empty(), "seed {seed}, {:#?}\n{found}", self.faults);
        assert!(self.served > self.asks / 4, "seed {seed}: {} served", self.served);
    }
}

/// Runs a seed with boxes of `binary`. Logs are kept if a guarantee was broken.
pub async fn play(binary: &Path, seed: u64) -> SoakReport {
    play_faults(binary, seed, draw_faults(seed)).await
}

/// Runs the series of stops and kills that a seed draws.
pub async fn play_series(binary: &Path, seed: u64) -> SoakReport {
    play_faults(binary, seed, draw_series(seed)).await
}

/// Runs the lost paths of a box, with the stops and kills that a seed draws.
pub async fn play_partitions(binary: &Path, seed: u64) -> SoakReport {
    play_faults(binary, seed, draw_partitions(seed)).await
}

/// Runs replicas that reject often and repeat their answers, with the stops and kills that a seed draws.
pub async fn play_repeats(binary: &Path, seed: u64) -> SoakReport {
    let site = Arc::new(SoakSite::start_with_load_control(binary).await);
    play_at(site, seed, draw_repeats(seed), RunEnd::AfterFaults(RECOVERY_TIME)).await
}

/// Runs the kills of all boxes beside store outages that a seed draws. The boxes must serve some time
/// after their last return, whether or not the store came back later.
pub async fn play_restarts(binary: &Path, seed: u64) -> SoakReport {
    let faults = draw_restarts(seed);
    let kills = faults.iter().filter(|row| row.fault == SoakFault::BoxesKilled);
    let returned_after = kills.map(|row| row.at + row.length).max().unwrap_or_default();
    let site = Arc::new(SoakSite::start_with(binary, RESTART_BOXES).await);
    let end = RunEnd::AfterStart(returned_after + RESTART_RECOVERY_TIME);
    play_at(site, seed, faults, end).await
}

/// Runs a seed with a bad version and a few of the seed's faults.
pub async fn play_bad_version(binary: &Path, seed: u64) -> SoakReport {
    let mut faults = draw_faults(seed);
    faults.truncate((seed % (FAULTS_BESIDE as u64 + 1)) as usize);
    let site = SoakSite::start(binary).await;
    let fault = draw_version_fault(seed);
    site.new_replicas.iter().for_each(|replica| replica.set_version_fault(Some(fault)));
    let mut report =
        play_at(Arc::new(site), seed, faults, RunEnd::AfterFaults(RECOVERY_TIME)).await;
    report.faults.push(format!("{fault:?}"));
    report
}

async fn play_faults(binary: &Path, seed: u64, faults: Vec<TimedFault>) -> SoakReport {
    let site = Arc::new(SoakSite::start(binary).await);
    play_at(site, seed, faults, RunEnd::AfterFaults(RECOVERY_TIME)).await
}

/// When the traffic of a run ends.
#[derive(Clone, Copy, Debug)]
enum RunEnd {
    /// This long after the end of the last fault.
    AfterFaults(Duration),
    /// This long after the start of traffic, or at the end of the last fault if that is later.
    AfterStart(Duration),
}

async fn play_at(
    site: Arc<SoakSite>,
    seed: u64,
    faults: Vec<TimedFault>,
    end: RunEnd,
) -> SoakReport {
    let began_at = Instant::now();
    let (stop, stopped) = watch::channel(false);
    let callers = start_callers(&site, seed, &stopped);
    let played: Vec<_> =
        faults.iter().map(|row| tokio::spawn(inject_fault(site.clone(), *row))).collect();
    tokio::time::sleep(FAULT_WINDOW).await;
    for fault in played {
        fault.await.expect("the fault is played");
    }
    tokio::time::sleep(match end {
        RunEnd::AfterFaults(time) => time,
        RunEnd::AfterStart(time) => time.saturating_sub(began_at.elapsed()),
    })
    .await;
    stop.send_replace(true);
    let ended = tokio::task::spawn_blocking(move || callers.join()).await;
    ended.expect("the wait ends").expect("the callers end");
    report(&site, &faults).await
}

/// Starts the callers on one thread. With several threads the client library can lose a request
/// that it hands to a connection at the moment the connection closes.
fn start_callers(site: &SoakSite, seed: u64, stopped: &watch::Receiver<bool>) -> JoinHandle<()> {
    let start = |number| {
        let caller = SoakCaller::new(seed, number, site.addresses.clone(), site.recorder.clone());
        caller.run(stopped.clone())
    };
    let callers: Vec<_> = (0..CALLERS).map(start).collect();
    std::thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(join_all(callers));
    })
}

async fn report(site: &SoakSite, faults: &[TimedFault]) -> SoakReport {
    let mut broken = check_recovery(site).await;
    let left = site.left.lock().await;
    let evacuated = site.evacuated.lock().await;
    broken.extend(judge(&SoakRecord {
        recorder: &site.recorder,
        replicas: &site.replicas,
        new_replicas: &site.new_replicas,
        left: &left,
        evacuated: &evacuated,
        boxes: &site.addresses,
        rollout: &site.rollout().await,
    }));
    if !broken.is_empty() {
        broken.push(format!("logs: {}", site.site.lock().await.keep_folder().display()));
    }
    let asks = site.recorder.asks();
    let served = |end: &AskEnd| matches!(end, AskEnd::Answered { status: 200, .. });
    SoakReport {
        asks: asks.len(),
        served: asks.iter().filter(|ask| served(&ask.end)).count(),
        faults: faults.iter().map(|row| format!("{row:?}")).collect(),
        broken,
    }
}

/// Checks that after the faults each box lists all boxes and serves requests.
async fn check_recovery(site: &SoakSite) -> Vec<BrokenGuarantee> {
    let http = site.site.lock().await.http.clone();
    let mut broken = Vec::new();
    for to in &site.addresses {
        let named = resolve(&http, *to).await.unwrap_or_default();
        if named.len() != site.addresses.len() {
            broken.push(format!("{to} names {named:?} when the faults are over"));
        }
        for number in 0..RECOVERY_REQUESTS {
            let end =
                send(&http, *to, AskKind::Read, &format!("last-{to}-{number}"), false, 0).await;
            if !matches!(end, AskEnd::Answered { status: 200, .. }) {
                broken.push(format!("{to} does not serve when the faults are over: {end:?}"));
            }
        }
    }
    broken
}
