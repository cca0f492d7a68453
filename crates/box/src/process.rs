//! Assembles the box from state, listeners and tasks, and runs it until its planned stop is over.

use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use ravenspoke_config::settings::{LimitSettings, ProcessSettings};
use ravenspoke_core::appender::LogStream;
use ravenspoke_core::event::BoxEvent;
use ravenspoke_core::state::{BoxSettings, BoxState};
use ravenspoke_services::{ListClient, LogClient, RatingClient};
use reqwest::redirect::Policy;
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::sync::CancellationToken;

use crate::clients::connection_table::ConnectionTable;
use crate::clients::endpoint::{ClientEndpoint, EndpointLimits, HttpLimits};
use crate::clients::listen::ClientListener;
use crate::clients::memory_account::MemoryAccount;
use crate::clients::process_memory::{process_descriptors, process_memory};
use crate::clients::slow_readers::ReaderWatch;
use crate::clock::{BoxClock, ClockError};
use crate::driver::{BoxDriver, EffectSinks};
use crate::entry::{CallerEntry, EntryLimits};
use crate::exchange::ExchangeTools;
use crate::follow;
use crate::links::{accept_links, run_links, LinkIdentity};
use crate::observe;
use crate::operator::OperatorEntry;
use crate::upstream::UpstreamClient;

/// Size of a request's head, in bytes.
const HEAD_BYTES: usize = 16 << 10;

/// Share of the process's file descriptors that callers may use.
const ENTRY_SHARE: f64 = 0.6;

/// Part of the memory for clients that operators have, as a divisor.
const OPERATOR_MEMORY_DIVISOR: usize = 8;

/// Connections of operators.
const OPERATOR_PLACES: usize = 64;

/// Time for which the box waits for its last connections to close, in milliseconds.
const EXIT_MS: u64 = 1_000;

/// Interval of the checks whether they are closed, in milliseconds.
const EXIT_POLL_MS: u64 = 20;

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
    let platform_http = reqwest::Client::builder().redirect(Policy::none()).build()?;
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

    let upstream = Arc::new(UpstreamClient::new(BoxClock::start()?));
    tokio::spawn(upstream.clone().sweep());
    let tools = Arc::new(ExchangeTools {
        driver: driver.clone(),
        upstream,
        rating: RatingClient::new(platform_http, &settings.platform.rating),
        idle_timeout: Duration::from_millis(settings.limits.silence_ms),
        answer_bytes: settings.limits.answer_bytes,
    });
    let entry_listener = listen(settings.listen.entry, "entry")?;
    let operator_listener = listen(settings.listen.operator, "operator")?;
    let hash: Option<[u8; 32]> =
        hex::decode(&settings.keys.operator_hash).ok().and_then(|bytes| bytes.try_into().ok());
    let operator = Arc::new(OperatorEntry {
        driver: driver.clone(),
        key_hash: hash.unwrap_or_default(),
        metrics: handle,
    });
    let endpoints = BoxEndpoints::new(&settings.limits);
    let (stop, connections) = (endpoints.stop.clone(), endpoints.entry.connections().clone());
    let entry = Arc::new(CallerEntry { tools, limits: entry_limits(&settings.limits) });
    let answer = move |request, active| entry.clone().answer(request, active);
    tokio::spawn(endpoints.entry.serve(entry_listener, answer));
    let answer = move |request: Request<Incoming>, active| ready(operator.answer(&request, active));
    tokio::spawn(endpoints.operator.serve(operator_listener, answer));
    tracing::info!(event = 101, name = "box_started", name_of_box = settings.name);
    tokio::spawn(stop_on_signal(driver.clone()));
    driver.may_exit.notified().await;
    tracing::info!(event = 103, name = "box_exits");
    stop.cancel();
    wait_closed(&connections).await;
    Ok(())
}

/// The box's listeners for clients, before they serve.
struct BoxEndpoints {
    entry: ClientEndpoint,
    operator: ClientEndpoint,
    stop: CancellationToken,
}

impl BoxEndpoints {
    fn new(limits: &LimitSettings) -> Self {
        let memory_bytes = process_memory(limits.memory_mb << 20);
        let mut memory = MemoryAccount::new(memory_bytes);
        let operator_memory = memory.split(OPERATOR_MEMORY_DIVISOR);
        let readers = Arc::new(ReaderWatch::patient(memory_bytes));
        tokio::spawn(readers.clone().run(observe::count_reader_stalled));
        let stop = CancellationToken::new();
        let http = HttpLimits { head_bytes: HEAD_BYTES, idle_ms: limits.idle_ms };
        let endpoint = |name, account, places| {
            let limits = EndpointLimits { places, http, head_ms: limits.head_ms };
            ClientEndpoint::new(name, account, limits, &readers, stop.clone())
        };
        let descriptors = (process_descriptors() as f64 * ENTRY_SHARE) as usize;
        let places = limits.connections.min(descriptors);
        Self {
            entry: endpoint("entry", memory, places),
            operator: endpoint("operator", operator_memory, OPERATOR_PLACES),
            stop: stop.clone(),
        }
    }
}

fn entry_limits(limits: &LimitSettings) -> EntryLimits {
    EntryLimits {
        body_bytes: limits.body_bytes,
        body_ms: limits.body_ms,
        requests: limits.connections,
        address_ttl_ms: limits.entry_keep_ms,
    }
}

fn listen(address: SocketAddr, purpose: &'static str) -> Result<ClientListener, ProcessError> {
    ClientListener::bind(address).map_err(|error| ProcessError::Listen {
        address,
        purpose,
        error: error.to_string(),
    })
}

/// Waits until the callers' connections are closed, for a short while: streams have ended before the
/// box may exit, so only last responses are left.
async fn wait_closed(connections: &ConnectionTable) {
    for _ in 0..EXIT_MS / EXIT_POLL_MS {
        if connections.open() == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(EXIT_POLL_MS)).await;
    }
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
