//! Assembles the box from state, listeners and tasks, and runs it until its planned stop is over.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ravenspoke_config::settings::ProcessSettings;
use ravenspoke_core::appender::LogStream;
use ravenspoke_core::event::BoxEvent;
use ravenspoke_core::state::{BoxSettings, BoxState};
use ravenspoke_services::{ListClient, LogClient, RatingClient};
use rocket::config::{Config, Shutdown, Sig};
use rocket::{Build, Rocket};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;

use crate::clock::{BoxClock, ClockError};
use crate::driver::{BoxDriver, EffectSinks};
use crate::entry::{entry_routes, EntryLimits};
use crate::exchange::ExchangeTools;
use crate::follow;
use crate::links::{accept_links, run_links, LinkIdentity};
use crate::operator::{operator_routes, OperatorHash};

/// Why a box could not run.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum ProcessError {
    /// A listener could not be opened.
    #[error("can't listen on {address} for {purpose}: {error}")]
    #[diagnostic(help("free the port, or change listen.{purpose} in the settings"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// `entry`, `peer` or `operator`.
        purpose: &'static str,
        /// The system's error.
        error: String,
    },
    /// The metrics recorder could not be installed.
    #[error("metrics can't be recorded: {0}")]
    Metrics(String),
    /// The signal handlers could not be installed.
    #[error("signals can't be listened for: {0}")]
    Signals(std::io::Error),
    /// The box's clock cannot be read.
    #[error(transparent)]
    #[diagnostic(help("run it on a system that has CLOCK_BOOTTIME"))]
    Clock(#[from] ClockError),
    /// The HTTP client could not be built.
    #[error("the HTTP client can't be built: {0}")]
    Client(#[from] reqwest::Error),
}

/// Runs a box until its planned stop is over.
///
/// # Errors
/// Returns [`ProcessError`] if the box cannot start or one of its listeners fails.
pub async fn run_box(settings: ProcessSettings) -> Result<(), ProcessError> {
    let handle = metrics_exporter_prometheus::PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| ProcessError::Metrics(error.to_string()))?;
    let incarnation: u64 = rand::random();
    let (append_sender, appends) = unbounded_channel();
    let (peer_sender, messages) = unbounded_channel();
    let (order_sender, orders) = unbounded_channel();
    let sinks = EffectSinks { appends: append_sender, peers: peer_sender, orders: order_sender };
    let state = BoxState::new(box_settings(&settings, incarnation));
    let driver = Arc::new(BoxDriver::new(state, sinks, BoxClock::start()?));
    let identity = LinkIdentity {
        name: settings.name.clone(),
        incarnation,
        key: hex::decode(&settings.keys.peer).unwrap_or_default().into(),
    };
    let listener = TcpListener::bind(settings.listen.peer).await.map_err(|error| {
        let error = error.to_string();
        ProcessError::Listen { address: settings.listen.peer, purpose: "peer", error }
    })?;
    let platform_http = reqwest::Client::builder().build()?;
    let log = LogClient::new(platform_http.clone(), &settings.platform.log);
    let list = ListClient::new(platform_http.clone(), &settings.platform.list);

    tokio::spawn(accept_links(identity.clone(), driver.clone(), listener));
    tokio::spawn(run_links(identity, driver.clone(), messages));
    tokio::spawn(follow::run_appends(driver.clone(), log.clone(), appends));
    tokio::spawn(follow::run_orders(driver.clone(), platform_http.clone(), orders));
    for stream in [LogStream::Bundles, LogStream::Claims, LogStream::Verdicts, LogStream::Leases] {
        tokio::spawn(follow::follow_stream(driver.clone(), log.clone(), stream));
    }
    tokio::spawn(follow::follow_list(driver.clone(), list, platform_http.clone()));
    tokio::spawn(follow::run_ticks(driver.clone()));

    let tools = Arc::new(ExchangeTools {
        driver: driver.clone(),
        http: replica_client()?,
        rating: RatingClient::new(platform_http, &settings.platform.rating),
        idle_timeout: Duration::from_millis(settings.limits.silence_ms),
        answer_bytes: settings.limits.answer_bytes,
    });
    let limits = EntryLimits {
        body_bytes: settings.limits.body_bytes,
        requests: settings.limits.connections,
        address_ttl_ms: settings.limits.entry_keep_ms,
    };
    let entry =
        server(settings.listen.entry).manage(tools).manage(limits).mount("/", entry_routes());
    let hash: [u8; 32] = hex::decode(&settings.keys.operator_hash)
        .ok()
        .and_then(|bytes| bytes.try_into().ok())
        .unwrap_or_default();
    let operator = server(settings.listen.operator)
        .manage(driver.clone())
        .manage(OperatorHash(hash))
        .manage(handle)
        .mount("/", operator_routes());
    let operator = ignite(operator, settings.listen.operator, "operator").await?;
    let entry = ignite(entry, settings.listen.entry, "entry").await?;
    let (stop_entry, stop_operator) = (entry.shutdown(), operator.shutdown());
    tracing::info!(event = 101, name = "box_started", name_of_box = settings.name);
    tokio::spawn(stop_on_signal(driver.clone()));
    tokio::spawn(async move {
        driver.may_exit.notified().await;
        tracing::info!(event = 103, name = "box_exits");
        stop_entry.notify();
        stop_operator.notify();
    });
    let wrap = |purpose, address| {
        move |error: rocket::Error| ProcessError::Listen {
            address,
            purpose,
            error: error.to_string(),
        }
    };
    // A box needs both listeners, so the first that fails ends the process.
    tokio::try_join!(
        async { entry.launch().await.map_err(wrap("entry", settings.listen.entry)) },
        async { operator.launch().await.map_err(wrap("operator", settings.listen.operator)) },
    )?;
    Ok(())
}

pub(crate) async fn ignite(
    rocket: Rocket<Build>,
    address: SocketAddr,
    purpose: &'static str,
) -> Result<Rocket<rocket::Ignite>, ProcessError> {
    rocket.ignite().await.map_err(|error| {
        let error = error.to_string();
        ProcessError::Listen { address, purpose, error }
    })
}

pub(crate) fn server(address: SocketAddr) -> Rocket<Build> {
    let shutdown = Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::<Sig>::new(),
        // Streams have ended before the box may exit, so only idle connections are left.
        grace: 1,
        mercy: 1,
        force: true,
        ..Shutdown::default()
    };
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::release_default()
    };
    rocket::custom(config)
}

/// Creates the client for replicas, which keeps idle connections and limits the time to connect.
fn replica_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .connect_timeout(Duration::from_millis(500))
        .pool_max_idle_per_host(256)
        .tcp_nodelay(true)
        .build()
}

async fn stop_on_signal(driver: Arc<BoxDriver>) {
    use tokio::signal::unix::{signal, SignalKind};
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!(event = 102, name = "box_stopping");
    driver.feed(BoxEvent::StopRequested);
}

fn box_settings(settings: &ProcessSettings, incarnation: u64) -> BoxSettings {
    let limits = &settings.limits;
    BoxSettings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation,
        sign_off: settings.keys.sign_off_rule(),
        token_keys: settings.keys.token_keys(),
        retention_ms: limits.retention_ms,
        queue_ms: limits.queue_ms,
        claim_ms: limits.claim_ms,
        entry_keep_ms: limits.entry_keep_ms,
        bill_limit: limits.bill_limit,
        rate_share: limits.rate_share,
    }
}
