//! Assembles a routing box (state, listeners and tasks) and runs it until its planned stop is over.

use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use ravenspoke_adapter::cloud::CloudClient;
use ravenspoke_adapter::store::StoreClient;
use ravenspoke_config::gateway::GatewaySettings;
use ravenspoke_core::route::event::RouteEvent;
use ravenspoke_core::route::leader::LeaderOrder;
use ravenspoke_core::route::poison::PoisonRecord;
use ravenspoke_core::route::trial::TrialVerdict;
use ravenspoke_core::route::trial_progress::TrialCheckpoint;
use ravenspoke_core::route::{RouteSettings, RouteState, STOP_ACCEPT_MS};
use ravenspoke_core::time::BoxTime;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::driver::{GatewayDriver, GatewaySinks, PeerDatagram, GOSSIP_QUEUE_LIMIT};
use super::endpoints::{launch_endpoints, EndpointAccounts};
use super::entry::{CallerEntry, EntryPhase, CALLER_SHARE, FORWARD_SHARE};
use super::exchange::GatewayContext;
use super::forward::RequestOrigin;
use super::pool::ReplicaPool;
use super::probes::{run_probes, PathProbe};
use super::reload::follow_settings;
use super::sync_pacer::SyncPacer;
use super::unknown_headers::UnknownHeaders;
use super::{
    checkpoints, control_stats, follow, gossip, leader, observe, poison_records, task_watch,
    verdicts,
};
use crate::clients::connection_table::ConnectionTable;
use crate::clients::listen::ClientListener;
use crate::clients::memory_account::MemoryAccount;
use crate::clients::process_memory::process_memory;
use crate::clients::slow_readers::ReaderWatch;
use crate::clock::{BoxClock, SuspensionWatch};
use crate::process::ProcessError;

/// Interval between ticks of the reducer, in milliseconds.
pub const TICK_MS: u64 = 200;

/// Interval between ticks while the box starts and syncs from other boxes, in milliseconds. It is
/// shorter because callers wait meanwhile.
pub const START_TICK_MS: u64 = 40;

/// Interval at which idle connections to replicas are checked, in milliseconds.
pub const SWEEP_INTERVAL_MS: u64 = 1_000;

/// Part of the time between the stop signal and the kill that is held in reserve, in milliseconds.
pub const GRACE_MARGIN_MS: u64 = 500;

/// Time for which the answers to requests that have not ended are written before the exit, in
/// milliseconds.
pub const LAST_ANSWERS_MS: u64 = 200;

/// Time for which callers may still connect after their cached addresses expire, in milliseconds.
/// It covers the delay of the directory's response and of their requests.
pub const ADDRESS_MARGIN_MS: u64 = 200;

/// Interval at which the samples of histograms are summed up, in milliseconds. Until then each sample
/// takes memory, unless somebody fetches the metrics.
const UPKEEP_MS: u64 = 5_000;

/// Interval at which a stopping box checks whether any work is left, in milliseconds.
pub const STOP_POLL_MS: u64 = 50;

/// Runs a box until its planned stop is over.
///
/// # Errors
/// Returns [`ProcessError`] if the box can't start.
pub async fn run_gateway(
    settings: GatewaySettings,
    file: PathBuf,
    metrics_port: Option<u16>,
    signals: BoxSignals,
) -> Result<(), ProcessError> {
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| ProcessError::Metrics(error.to_string()))?;
    task_watch::log_panics();
    let kept = metrics.clone();
    tokio::spawn(task_watch::keep_running("run_upkeep", move || run_upkeep(kept.clone())));
    let (gossip_sender, gossip_receiver) = channel(GOSSIP_QUEUE_LIMIT);
    let (response_sender, response_receiver) = unbounded_channel();
    let (verdict_sender, verdict_receiver) = unbounded_channel();
    let (checkpoint_sender, checkpoint_receiver) = unbounded_channel();
    let (poison_sender, poison_receiver) = unbounded_channel();
    let (order_sender, order_receiver) = unbounded_channel();
    let (probe_sender, probe_receiver) = unbounded_channel();
    let sinks = GatewaySinks {
        gossip: gossip_sender,
        sync_responses: response_sender,
        verdicts: verdict_sender,
        checkpoints: checkpoint_sender,
        poison: poison_sender,
        probes: probe_sender,
        leader_orders: order_sender,
    };
    let site = SiteReceivers {
        gossip: gossip_receiver,
        sync_responses: response_receiver,
        verdicts: verdict_receiver,
        checkpoints: checkpoint_receiver,
        poison: poison_receiver,
    };
    let receivers = GatewayReceivers { site, leader_orders: order_receiver };
    let state = RouteState::new(route_settings(&settings));
    let clock = Arc::new(BoxClock::start()?);
    let sync_pacer = SyncPacer::new(settings.capacity.link_mbps);
    let driver = Arc::new(GatewayDriver::new(state, sinks, clock, sync_pacer));
    let store = StoreClient::new(&settings.store, settings.entry.ip())?;

    let socket = UdpSocket::bind(settings.gossip).await;
    let socket = socket.map_err(|error| listen_error(settings.gossip, "notes", &error))?;
    let callers = listen(settings.entry, "entry")?;
    let forwards = listen(settings.gossip, "forwards")?;
    let listeners = EntryListeners { callers, forwards };
    let mut memory = MemoryAccount::new(process_memory(settings.load.memory_bytes));
    let endpoints = EndpointAccounts::split_from(&mut memory);
    let connections = ConnectionTable::new(memory);

    spawn_leader_tasks(&settings, &driver, &store, receivers.leader_orders)?;
    spawn_site_tasks(&settings, &driver, &store, socket, receivers.site);
    let readers = readers(&settings);
    tokio::spawn(readers.clone().run(observe::log_reader_stalled));
    launch_endpoints(&settings, &driver, &readers, endpoints, metrics, metrics_port)?;
    let tools = EntryTools { connections, readers, probes: probe_receiver };
    let entry = GatewayEntry::start(&settings, &driver, listeners, tools);
    observe::log_started(&settings.name, settings.entry, &settings.seeds);
    if !settings.invalid_seeds.is_empty() {
        observe::log_invalid_seeds(&settings.invalid_seeds);
    }
    tokio::spawn(follow_settings(driver.clone(), file, signals.hangup));

    wait_for_stop(signals.terminate, signals.interrupt).await;
    stop(&settings, &driver, store, entry).await;
    Ok(())
}

/// Signals that the box handles.
pub struct BoxSignals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl BoxSignals {
    /// Registers the handlers; needs a runtime. A signal that arrives before it is awaited is kept.
    ///
    /// # Errors
    /// Returns the error of the operating system.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

/// Receivers of the driver's sinks.
struct GatewayReceivers {
    site: SiteReceivers,
    leader_orders: UnboundedReceiver<LeaderOrder>,
}

/// Receivers of datagrams for other boxes and of records for the store.
struct SiteReceivers {
    gossip: Receiver<PeerDatagram>,
    sync_responses: UnboundedReceiver<PeerDatagram>,
    verdicts: UnboundedReceiver<TrialVerdict>,
    checkpoints: UnboundedReceiver<TrialCheckpoint>,
    poison: UnboundedReceiver<PoisonRecord>,
}

/// Spawns the leader's tasks, if the settings have a leader section.
fn spawn_leader_tasks(
    settings: &GatewaySettings,
    driver: &Arc<GatewayDriver>,
    store: &StoreClient,
    due: UnboundedReceiver<LeaderOrder>,
) -> Result<(), ProcessError> {
    let Some(leader) = &settings.leader else { return Ok(()) };
    let cloud = CloudClient::new(&leader.cloud, &settings.name, settings.entry.ip())?;
    let name = settings.name.clone();
    keep_reading("follow_lease", driver, store, move |driver, store| {
        leader::follow_lease(driver, store, name.clone())
    });
    let orders = leader::execute_orders(driver.clone(), store.clone(), cloud, due);
    tokio::spawn(task_watch::exit_with("execute_orders", orders));
    Ok(())
}

/// Spawns the tasks that read the store and exchange datagrams with other boxes.
fn spawn_site_tasks(
    settings: &GatewaySettings,
    driver: &Arc<GatewayDriver>,
    store: &StoreClient,
    socket: UdpSocket,
    receivers: SiteReceivers,
) {
    let socket = Arc::new(socket);
    spawn_site_writers(driver, store, socket.clone(), receivers);
    keep_reading("receive_datagrams", driver, store, move |driver, _| {
        gossip::receive_datagrams(driver, socket.clone())
    });
    keep_reading("follow_operator", driver, store, follow::follow_operator);
    keep_reading("follow_backends", driver, store, follow::follow_backends);
    keep_reading("follow_verdicts", driver, store, verdicts::follow_verdicts);
    keep_reading("follow_poison", driver, store, poison_records::follow_poison);
    let (name, gossip) = (settings.name.clone(), settings.gossip.to_string());
    keep_reading("follow_boxes", driver, store, move |driver, store| {
        follow::follow_boxes(driver, store, name.clone(), gossip.clone())
    });
    let seeds = settings.seeds.iter().map(SocketAddr::to_string).collect();
    driver.feed(RouteEvent::PeersDiscovered(seeds));
}

/// Spawns a task that brings in what the box must know, and starts it again if it ends.
fn keep_reading<F>(
    name: &'static str,
    driver: &Arc<GatewayDriver>,
    store: &StoreClient,
    task: impl Fn(Arc<GatewayDriver>, StoreClient) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let (driver, store) = (driver.clone(), store.clone());
    tokio::spawn(task_watch::keep_running(name, move || task(driver.clone(), store.clone())));
}

/// Spawns the tasks that write to the store and send datagrams.
fn spawn_site_writers(
    driver: &Arc<GatewayDriver>,
    store: &StoreClient,
    socket: Arc<UdpSocket>,
    receivers: SiteReceivers,
) {
    let (gossip, sync_responses) = (receivers.gossip, receivers.sync_responses);
    let datagrams = gossip::send_datagrams(driver.clone(), socket, gossip, sync_responses);
    tokio::spawn(task_watch::exit_with("send_datagrams", datagrams));
    let verdicts = verdicts::write_verdicts(driver.clone(), store.clone(), receivers.verdicts);
    tokio::spawn(task_watch::exit_with("write_verdicts", verdicts));
    let checkpoints =
        checkpoints::write_checkpoints(driver.clone(), store.clone(), receivers.checkpoints);
    tokio::spawn(task_watch::exit_with("write_checkpoints", checkpoints));
    let records = poison_records::write_records(driver.clone(), store.clone(), receivers.poison);
    tokio::spawn(task_watch::exit_with("write_poison_records", records));
}

/// Sockets on which requests arrive.
struct EntryListeners {
    callers: ClientListener,
    /// For requests that other boxes forward.
    forwards: ClientListener,
}

/// What the entry is made of.
struct EntryTools {
    connections: Arc<ConnectionTable>,
    readers: Arc<ReaderWatch>,
    probes: UnboundedReceiver<PathProbe>,
}

/// The watch of clients that do not read: strict if load control asks for it.
fn readers(settings: &GatewaySettings) -> Arc<ReaderWatch> {
    let memory_bytes = process_memory(settings.load.memory_bytes);
    Arc::new(ReaderWatch::new(settings.load).unwrap_or_else(|| ReaderWatch::patient(memory_bytes)))
}

/// The entry that callers connect to, with the state of its connections.
struct GatewayEntry {
    connections: Arc<ConnectionTable>,
    accepting: Vec<JoinHandle<()>>,
    phase: watch::Sender<EntryPhase>,
}

impl GatewayEntry {
    /// Starts accepting connections. Requests that arrive before the box is synced wait.
    fn start(
        settings: &GatewaySettings,
        driver: &Arc<GatewayDriver>,
        listeners: EntryListeners,
        tools: EntryTools,
    ) -> Self {
        let EntryTools { connections, readers, probes } = tools;
        let pool = Arc::new(ReplicaPool::new(Some(settings.entry.ip()), driver.shared_clock()));
        let probing = run_probes(driver.clone(), pool.clone(), probes);
        tokio::spawn(task_watch::exit_with("run_probes", probing));
        let ticking = (driver.clone(), pool.clone());
        tokio::spawn(task_watch::keep_running("run_ticks", move || {
            run_ticks(ticking.0.clone(), ticking.1.clone())
        }));
        let unknown_headers = UnknownHeaders::default();
        let driver = driver.clone();
        let context =
            Arc::new(GatewayContext { driver: driver.clone(), pool, unknown_headers, readers });
        let checked = driver.clone();
        let head_ms = move || checked.state().plan().limits.header_ms;
        let checks = connections.clone().run_checks(head_ms, |closed| {
            observe::log_connections_closed("entry", closed);
        });
        tokio::spawn(task_watch::exit_with("run_checks", checks));
        let (phase, phases) = watch::channel(EntryPhase::Starting);
        let entry = |origin, share: f64| CallerEntry {
            context: context.clone(),
            origin,
            connections: connections.clone(),
            limit: (settings.descriptors as f64 * share) as usize,
            full: AtomicBool::new(false),
            phase: phases.clone(),
        };
        tokio::spawn(open_when_synced(driver.clone(), phase.clone()));
        let callers_entry = entry(RequestOrigin::Caller, CALLER_SHARE);
        let forwards_entry = entry(RequestOrigin::Peer, CALLER_SHARE + FORWARD_SHARE);
        let accepting = vec![
            tokio::spawn(callers_entry.run(listeners.callers)),
            tokio::spawn(forwards_entry.run(listeners.forwards)),
        ];
        Self { connections, accepting, phase }
    }

    /// Ends each connection with its next response.
    fn stop(&self) {
        self.phase.send_replace(EntryPhase::Stopping);
    }

    /// Closes connections that have no request in flight.
    fn close_idle(&self) {
        self.phase.send_replace(EntryPhase::Closing);
    }

    /// Closes the listening socket, so that callers are refused and try another address at once.
    async fn close(&mut self) {
        self.phase.send_replace(EntryPhase::Closed);
        for accepting in &mut self.accepting {
            if let Err(error) = accepting.await {
                observe::log_socket_failed("entry", &std::io::Error::other(error));
            }
        }
    }
}

/// Opens the entry once the box is synced, unless it is stopped before.
async fn open_when_synced(driver: Arc<GatewayDriver>, phase: watch::Sender<EntryPhase>) {
    driver.accept_callers.notified().await;
    let opened = phase.send_if_modified(|phase| {
        let starting = *phase == EntryPhase::Starting;
        *phase = (*phase).max(EntryPhase::Open);
        starting
    });
    if opened {
        observe::log_callers_accepted(driver.state().knowledge(driver.now()));
    }
}

/// Runs the planned stop: deregisters the box, keeps serving, and returns when no work is left or
/// the grace period ends.
async fn stop(
    settings: &GatewaySettings,
    driver: &Arc<GatewayDriver>,
    store: StoreClient,
    mut entry: GatewayEntry,
) {
    driver.feed(RouteEvent::StopRequested);
    entry.stop();
    tokio::join!(
        async {
            if driver.registered.load(Ordering::Relaxed) {
                follow::deregister_box(driver.clone(), store, &settings.name).await;
            }
        },
        drain(settings, driver, &mut entry),
    );
    observe::log_exit(entry.connections.open(), driver.state().in_flight());
}

/// Serves requests until callers have learned of the stop, then finishes the open ones.
async fn drain(settings: &GatewaySettings, driver: &GatewayDriver, entry: &mut GatewayEntry) {
    let stop = StopWait { driver, connections: entry.connections.clone(), began: driver.now() };
    let limit_ms = drain_ms(settings);
    // Callers cache addresses for the TTL, some of them longer, and then look for another box.
    let advertised_ms = (settings.address_ttl_ms + ADDRESS_MARGIN_MS).min(limit_ms);
    stop.wait_until(advertised_ms).await;
    entry.close_idle();
    stop.wait_until_empty(STOP_ACCEPT_MS.max(advertised_ms).min(limit_ms)).await;
    entry.close().await;
    stop.wait_until_empty(limit_ms).await;
    driver.stop_ending.send_replace(true);
    stop.wait_until_empty(limit_ms + LAST_ANSWERS_MS).await;
}

fn listen_error(
    address: SocketAddr,
    purpose: &'static str,
    error: &std::io::Error,
) -> ProcessError {
    ProcessError::Listen { address, purpose, error: error.to_string() }
}

pub(super) fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<ClientListener, ProcessError> {
    ClientListener::bind(address).map_err(|error| listen_error(address, purpose, &error))
}

/// Time from the stop signal to the end of the last requests, in milliseconds.
fn drain_ms(settings: &GatewaySettings) -> u64 {
    settings.grace_ms.saturating_sub(GRACE_MARGIN_MS)
}

fn route_settings(settings: &GatewaySettings) -> RouteSettings {
    RouteSettings {
        load: settings.load,
        drain_ms: drain_ms(settings),
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        forward_key: rand::random(),
        entry_address: settings.entry.to_string(),
        gossip_address: settings.gossip.to_string(),
        is_seed: settings.seeds.contains(&settings.gossip),
        capacity: settings.capacity,
        fresh: settings.fresh,
        budget: settings.budget,
        exposure: settings.exposure,
        leader: settings.leader.as_ref().map(|leader| leader.bounds),
        regions: settings.regions.clone(),
    }
}

async fn run_ticks(driver: Arc<GatewayDriver>, pool: Arc<ReplicaPool>) {
    let mut swept = Instant::now();
    let mut logged = (Instant::now(), observe::LoggedCosts::default());
    let mut watch = SuspensionWatch::start(driver.clock());
    loop {
        if let Some(length) = watch.check(driver.clock()) {
            observe::log_suspension(length);
        }
        driver.feed(RouteEvent::Tick);
        observe::set_waiting(&driver.state().waiting_by_priority());
        if swept.elapsed() >= Duration::from_millis(SWEEP_INTERVAL_MS) {
            swept = Instant::now();
            pool.sweep();
        }
        if logged.0.elapsed() >= Duration::from_millis(control_stats::LOG_INTERVAL_MS) {
            logged.0 = Instant::now();
            logged.1.log_changes(&driver.stats);
        }
        let is_starting = !driver.state().is_synced();
        let tick_ms = if is_starting { START_TICK_MS } else { TICK_MS };
        tokio::time::sleep(Duration::from_millis(tick_ms)).await;
    }
}

/// Sums up the samples of histograms now and then.
async fn run_upkeep(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(Duration::from_millis(UPKEEP_MS)).await;
        metrics.run_upkeep();
    }
}

async fn wait_for_stop(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Waits during the planned stop. Limits are in milliseconds since its start.
struct StopWait<'a> {
    driver: &'a GatewayDriver,
    connections: Arc<ConnectionTable>,
    began: BoxTime,
}

impl StopWait<'_> {
    async fn wait_until(&self, limit_ms: u64) {
        while !self.has_elapsed(limit_ms) {
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
    }

    /// Waits until no connection or request is open, or until the limit.
    async fn wait_until_empty(&self, limit_ms: u64) {
        while !self.is_empty() && !self.has_elapsed(limit_ms) {
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
    }

    fn is_empty(&self) -> bool {
        self.connections.open() == 0 && self.driver.state().in_flight() == 0
    }

    fn has_elapsed(&self, limit_ms: u64) -> bool {
        self.driver.clock().since(self.began) >= Duration::from_millis(limit_ms)
    }
}
