//! Background tasks that read the log streams, the box list and the replicas' load, append to the
//! log, send orders to replicas, and drive the reducer's ticks.

use std::sync::Arc;
use std::time::Duration;

use ravenspoke_core::appender::LogStream;
use ravenspoke_core::effect::PoolOrder;
use ravenspoke_core::event::BoxEvent;
use ravenspoke_core::lease::ORDER_TIMEOUT_MS;
use ravenspoke_core::message::LogRecord;
use ravenspoke_services::{call, read_load, ListClient, LogClient};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, MissedTickBehavior};

use crate::driver::BoxDriver;

/// Longest wait of a log read for new records; at most half of the freshness lease.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed read of the log.
const READ_RETRY: Duration = Duration::from_millis(250);

/// Interval between reads of the box list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between load reports of one replica.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Reads a stream forever and passes its records to the reducer.
pub async fn follow_stream(driver: Arc<BoxDriver>, log: LogClient, stream: LogStream) {
    loop {
        let from = driver.state().next_offset(stream);
        let asked_at = driver.now();
        let read = log.read(stream.name(), from, READ_WAIT);
        let read = tokio::select! {
            read = read => read,
            () = driver.read_bundles.notified(), if stream == LogStream::Bundles => continue,
        };
        match read {
            Ok(read) => driver.feed(BoxEvent::LogRead {
                stream,
                asked_at,
                first: read.first,
                tail: read.tail,
                age_ms: read.age_ms,
                records: read.records,
            }),
            Err(error) => {
                metrics::counter!("ravenspoke_log_errors_total").increment(1);
                tracing::debug!(event = 501, name = "log_unreachable", stream = stream.name(), %error);
                sleep(READ_RETRY).await;
            }
        }
    }
}

/// Appends batches to the log; streams do not wait for one another.
pub async fn run_appends(
    driver: Arc<BoxDriver>,
    log: LogClient,
    mut batches: UnboundedReceiver<(LogStream, Vec<LogRecord>)>,
) {
    while let Some((stream, batch)) = batches.recv().await {
        let (driver, log) = (driver.clone(), log.clone());
        tokio::spawn(async move {
            match log.append(stream.name(), &batch).await {
                Ok(_) => driver.feed(BoxEvent::AppendDone(stream)),
                Err(error) => {
                    metrics::counter!("ravenspoke_append_errors_total").increment(1);
                    tracing::warn!(event = 503, name = "append_failed", stream = stream.name(), %error);
                    driver.feed(BoxEvent::AppendFailed(stream));
                }
            }
        });
    }
}

/// Reads the box list forever and runs a load poller for each listed replica.
pub async fn follow_list(driver: Arc<BoxDriver>, list: ListClient, http: reqwest::Client) {
    let mut pollers = std::collections::HashMap::new();
    loop {
        match list.read().await {
            Ok(read) => {
                for replica in &read.replicas {
                    let key = (replica.name.clone(), replica.address.clone());
                    pollers.entry(key).or_insert_with(|| {
                        let (driver, http) = (driver.clone(), http.clone());
                        let (name, address) = (replica.name.clone(), replica.address.clone());
                        tokio::spawn(follow_load(driver, http, name, address))
                    });
                }
                pollers.retain(|(name, address), task: &mut tokio::task::JoinHandle<()>| {
                    let stays = read
                        .replicas
                        .iter()
                        .any(|row| row.name == *name && row.address == *address);
                    if !stays {
                        task.abort();
                    }
                    stays
                });
                driver.feed(BoxEvent::ListRead { boxes: read.boxes, replicas: read.replicas });
            }
            Err(error) => {
                metrics::counter!("ravenspoke_list_errors_total").increment(1);
                tracing::debug!(event = 502, name = "list_unreachable", %error);
            }
        }
        sleep(LIST_INTERVAL).await;
    }
}

async fn follow_load(
    driver: Arc<BoxDriver>,
    http: reqwest::Client,
    replica: String,
    address: String,
) {
    loop {
        let asked_at = driver.now();
        if let Ok((report, age_ms)) = read_load(&http, &address).await {
            let at = asked_at.minus_millis(age_ms);
            let replica = replica.clone();
            driver.feed(BoxEvent::LoadReported { replica, at, report });
        }
        sleep(LOAD_INTERVAL).await;
    }
}

/// Sends orders to replicas. An order that is past its time is dropped; this is checked last, right
/// before it is sent.
pub async fn run_orders(
    driver: Arc<BoxDriver>,
    http: reqwest::Client,
    mut orders: UnboundedReceiver<PoolOrder>,
) {
    while let Some(order) = orders.recv().await {
        let (driver, http) = (driver.clone(), http.clone());
        tokio::spawn(async move {
            let body = serde_json::json!({ "token": order.token, "versions": order.versions });
            let request = http
                .post(format!("http://{}/orders", order.address))
                .timeout(Duration::from_millis(ORDER_TIMEOUT_MS))
                .json(&body);
            if driver.now() >= order.send_before {
                return;
            }
            if let Err(error) = call("pool order", request).await {
                metrics::counter!("ravenspoke_order_errors_total").increment(1);
                tracing::warn!(event = 504, name = "order_failed", replica = order.replica, %error);
            }
        });
    }
}

/// Passes ticks to the reducer forever.
pub async fn run_ticks(driver: Arc<BoxDriver>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        driver.feed(BoxEvent::Tick);
    }
}
