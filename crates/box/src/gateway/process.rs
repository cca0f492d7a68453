//! Puts a routing box together: state, listeners and tasks, until the planned stop is over.

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
use ravenspoke_core::route::trial::TrialVerdict;
use ravenspoke_core::route::trial_progress::TrialCheckpoint;
use ravenspoke_core::route::{RouteSettings, RouteState, STOP_ACCEPT_MS};
use ravenspoke_core::time::BoxTime;
use rocket::Route;
use tokio::net::UdpSocket;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::answer_pace::AnswerPace;
use super::directory::{metrics_routes, ready_routes, resolve_routes};
use super::driver::{GatewayDriver, GatewaySinks, PeerDatagram, NOTES_QUEUED};
use super::entry::{CallerCount, CallerEntry, EntryPhase, CALLER_PART};
use super::exchange::GatewayTools;
use super::listen::ListeningEntry;
use super::pool::ReplicaPool;
use super::reload::follow_settings;
use super::strange::StrangeHeaders;
use super::{follow, leader, marks, notes, observe, tally, verdicts};
use crate::clock::{BoxClock, SuspensionWatch};
use crate::process::{ignite, server, ProcessError};

/// Time passes for the reducer this often, in milliseconds.
pub const TICK_MS: u64 = 200;

/// The same while the box starts and asks others for what it must know, in milliseconds: callers wait.
pub const START_TICK_MS: u64 = 40;

/// Idle connections are looked at this often, in milliseconds.
pub const SWEEP_EVERY_MS: u64 = 1_000;

/// Kept back from the time between the signal to stop and the kill, in milliseconds.
pub const GRACE_MARGIN_MS: u64 = 500;

/// Callers may send to an address for this much longer than they keep an answer about it, in milliseconds: the answer
/// takes a while to them, and their requests to the box.
pub const KNOWN_MARGIN_MS: u64 = 200;

/// While stopping, the box looks this often whether anything is left to do, in milliseconds.
pub const STOP_LOOK_MS: u64 = 50;

/// Runs a box until its planned stop is over.
///
/// # Errors
/// [`ProcessError`], if it can't start.
pub async fn run_gateway(
    settings: GatewaySettings,
    file: PathBuf,
    metrics_port: Option<u16>,
    signals: BoxSignals,
) -> Result<(), ProcessError> {
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new()
        .install_recorder()
        .map_err(|error| ProcessError::Metrics(error.to_string()))?;
    let (note_sender, note_receiver) = channel(NOTES_QUEUED);
    let (answer_sender, answer_receiver) = unbounded_channel();
    let (verdict_sender, verdict_receiver) = unbounded_channel();
    let (mark_sender, mark_receiver) = unbounded_channel();
    let (lead_sender, lead_receiver) = unbounded_channel();
    let sinks = GatewaySinks {
        notes: note_sender,
        answers: answer_sender,
        verdicts: verdict_sender,
        marks: mark_sender,
        lead: lead_sender,
    };
    let site = SiteReceivers {
        notes: note_receiver,
        answers: answer_receiver,
        verdicts: verdict_receiver,
        marks: mark_receiver,
    };
    let receivers = GatewayReceivers { site, lead: lead_receiver };
    let state = RouteState::new(route_settings(&settings));
    let clock = Arc::new(BoxClock::start()?);
    let answers = AnswerPace::new(settings.capacity.link_mbps);
    let driver = Arc::new(GatewayDriver::new(state, sinks, clock, answers));
    let store = StoreClient::new(&settings.store, settings.entry.ip())?;

    let socket = UdpSocket::bind(settings.notes).await;
    let socket = socket.map_err(|error| listen_error(settings.notes, "notes", &error))?;
    let listener = ListeningEntry::bind(settings.entry).await;
    let listener = listener.map_err(|error| listen_error(settings.entry, "entry", &error))?;

    follow_leader(&settings, &driver, &store, receivers.lead)?;
    follow_site(&settings, &driver, &store, socket, receivers.site);
    let entry = GatewayEntry::start(&settings, &driver, listener);
    launch_answers(&settings, &driver, metrics, metrics_port).await?;
    observe::note_started(&settings.name, settings.entry, &settings.seeds);
    if !settings.invalid_seeds.is_empty() {
        observe::note_unread_seeds(&settings.invalid_seeds);
    }
    tokio::spawn(follow_settings(driver.clone(), file, signals.hangup));

    wait_for_stop(signals.terminate, signals.interrupt).await;
    stop(&settings, &driver, store, entry).await;
    Ok(())
}

/// Signals that the box listens for.
pub struct BoxSignals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

impl BoxSignals {
    /// Listens from now on, within a runtime; what comes before it is asked for waits.
    ///
    /// # Errors
    /// What the system says.
    pub fn listen() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }
}

/// Receivers of the sinks that effects are handed to.
struct GatewayReceivers {
    site: SiteReceivers,
    lead: UnboundedReceiver<LeaderOrder>,
}

/// Those of what is told to other boxes and to the store.
struct SiteReceivers {
    notes: Receiver<PeerDatagram>,
    answers: UnboundedReceiver<PeerDatagram>,
    verdicts: UnboundedReceiver<TrialVerdict>,
    marks: UnboundedReceiver<TrialCheckpoint>,
}

/// Starts the tasks of what one box does for all, where the platform has any of it.
fn follow_leader(
    settings: &GatewaySettings,
    driver: &Arc<GatewayDriver>,
    store: &StoreClient,
    due: UnboundedReceiver<LeaderOrder>,
) -> Result<(), ProcessError> {
    let Some(leader) = &settings.leader else { return Ok(()) };
    let cloud = CloudClient::new(&leader.cloud, &settings.name, settings.entry.ip())?;
    tokio::spawn(leader::follow_lease(driver.clone(), store.clone(), settings.name.clone()));
    tokio::spawn(leader::carry_out_steps(driver.clone(), store.clone(), cloud, due));
    Ok(())
}

/// Starts the tasks that read the store and talk to other boxes.
fn follow_site(
    settings: &GatewaySettings,
    driver: &Arc<GatewayDriver>,
    store: &StoreClient,
    socket: UdpSocket,
    receivers: SiteReceivers,
) {
    let socket = Arc::new(socket);
    tokio::spawn(notes::hear_notes(driver.clone(), socket.clone()));
    tokio::spawn(notes::send_notes(driver.clone(), socket, receivers.notes, receivers.answers));
    tokio::spawn(follow::follow_operator(driver.clone(), store.clone()));
    tokio::spawn(follow::follow_backends(driver.clone(), store.clone()));
    tokio::spawn(verdicts::follow_verdicts(driver.clone(), store.clone()));
    tokio::spawn(verdicts::write_verdicts(driver.clone(), store.clone(), receivers.verdicts));
    tokio::spawn(marks::write_marks(driver.clone(), store.clone(), receivers.marks));
    tokio::spawn(follow::follow_boxes(
        driver.clone(),
        store.clone(),
        settings.name.clone(),
        settings.notes.to_string(),
    ));
    let seeds = settings.seeds.iter().map(SocketAddr::to_string).collect();
    driver.feed(RouteEvent::PeersDiscovered(seeds));
}

/// The entry that callers connect to, and what is done with their connections.
struct GatewayEntry {
    callers: Arc<CallerCount>,
    taking: JoinHandle<()>,
    phase: watch::Sender<EntryPhase>,
}

impl GatewayEntry {
    /// Takes callers from when the box knows the site; those who connect before that wait.
    fn start(
        settings: &GatewaySettings,
        driver: &Arc<GatewayDriver>,
        listener: ListeningEntry,
    ) -> Self {
        let pool = Arc::new(ReplicaPool::new(driver.shared_clock()));
        tokio::spawn(run_ticks(driver.clone(), pool.clone()));
        let strange = StrangeHeaders::default();
        let tools = Arc::new(GatewayTools { driver: driver.clone(), pool, strange });
        let callers = Arc::new(CallerCount::default());
        let (phase, phases) = watch::channel(EntryPhase::Starting);
        let entry = CallerEntry {
            tools,
            count: callers.clone(),
            limit: (settings.descriptors as f64 * CALLER_PART) as usize,
            full: AtomicBool::new(false),
            phase: phases,
        };
        tokio::spawn(open_entry(driver.clone(), phase.clone()));
        let taking = tokio::spawn(entry.run(listener));
        Self { callers, taking, phase }
    }

    /// Answers end their connections from now on.
    fn stop(&self) {
        self.phase.send_replace(EntryPhase::Stopping);
    }

    /// Closes connections without a request.
    fn close_resting(&self) {
        self.phase.send_replace(EntryPhase::Closing);
    }

    /// Refuses further connections, so that a caller tries another address at once.
    async fn close(&mut self) {
        self.phase.send_replace(EntryPhase::Closed);
        if let Err(error) = (&mut self.taking).await {
            observe::note_socket_failed("entry", &std::io::Error::other(error));
        }
    }
}

/// Serves callers from when the box knows the site, unless it stops before.
async fn open_entry(driver: Arc<GatewayDriver>, phase: watch::Sender<EntryPhase>) {
    driver.callers_due.notified().await;
    let opened = phase.send_if_modified(|phase| {
        let starting = *phase == EntryPhase::Starting;
        *phase = (*phase).max(EntryPhase::Open);
        starting
    });
    if opened {
        observe::note_callers_taken();
    }
}

/// Serves the directory, readiness, and metrics where a port is given for them.
async fn launch_answers(
    settings: &GatewaySettings,
    driver: &Arc<GatewayDriver>,
    metrics: PrometheusHandle,
    metrics_port: Option<u16>,
) -> Result<(), ProcessError> {
    launch(settings.ready, "ready", ready_routes(driver)).await?;
    launch(settings.directory, "directory", resolve_routes(driver, settings.keep_ms)).await?;
    if let Some(port) = metrics_port {
        let address = SocketAddr::new(settings.entry.ip(), port);
        launch(address, "metrics", metrics_routes(driver, metrics)).await?;
    }
    Ok(())
}

/// The planned stop: leaves the entry list, serves on, and returns when nothing is left to do.
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
            if driver.listed.load(Ordering::Relaxed) {
                follow::forget_box(driver.clone(), store, &settings.name).await;
            }
        },
        serve_out(settings, driver, &mut entry),
    );
    observe::note_exit(entry.callers.open(), driver.state().in_flight());
}

/// Serves what callers send until they know of the stop, then what is open.
async fn serve_out(settings: &GatewaySettings, driver: &GatewayDriver, entry: &mut GatewayEntry) {
    let stop = StopWait { driver, callers: entry.callers.clone(), began: driver.now() };
    let limit_ms = settings.grace_ms.saturating_sub(GRACE_MARGIN_MS);
    // Callers keep an answer about addresses for its time, some of them longer; then they look for another.
    let known_ms = (settings.keep_ms + KNOWN_MARGIN_MS).min(limit_ms);
    stop.until(known_ms).await;
    entry.close_resting();
    stop.until_empty(STOP_ACCEPT_MS.max(known_ms).min(limit_ms)).await;
    entry.close().await;
    stop.until_empty(limit_ms).await;
}

fn listen_error(
    address: SocketAddr,
    purpose: &'static str,
    error: &std::io::Error,
) -> ProcessError {
    ProcessError::Listen { address, purpose, error: error.to_string() }
}

async fn launch(
    address: SocketAddr,
    purpose: &'static str,
    routes: Vec<Route>,
) -> Result<(), ProcessError> {
    let rocket = ignite(server(address).mount("/", routes), address, purpose).await?;
    tokio::spawn(async move {
        if let Err(error) = rocket.launch().await {
            observe::note_socket_failed(purpose, &std::io::Error::other(error.to_string()));
            // A box without one of its listeners is no box: the platform starts it anew.
            std::process::exit(1);
        }
    });
    Ok(())
}

fn route_settings(settings: &GatewaySettings) -> RouteSettings {
    RouteSettings {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: rand::random(),
        entry_address: settings.entry.to_string(),
        gossip_address: settings.notes.to_string(),
        is_seed: settings.seeds.contains(&settings.notes),
        capacity: settings.capacity,
        fresh: settings.fresh,
        budget: settings.budget,
        leader: settings.leader.as_ref().map(|leader| leader.bounds),
        regions: settings.regions.clone(),
    }
}

async fn run_ticks(driver: Arc<GatewayDriver>, pool: Arc<ReplicaPool>) {
    let mut swept = Instant::now();
    let mut told = (Instant::now(), observe::ToldCosts::default());
    let mut watch = SuspensionWatch::start(driver.clock());
    loop {
        if let Some(length) = watch.look(driver.clock()) {
            observe::note_woke(length);
        }
        driver.feed(RouteEvent::Tick);
        if swept.elapsed() >= Duration::from_millis(SWEEP_EVERY_MS) {
            swept = Instant::now();
            pool.sweep();
        }
        if told.0.elapsed() >= Duration::from_millis(tally::TELL_EVERY_MS) {
            told.0 = Instant::now();
            told.1.note(&driver.tally);
        }
        let starts = !driver.state().is_synced();
        let tick_ms = if starts { START_TICK_MS } else { TICK_MS };
        tokio::time::sleep(Duration::from_millis(tick_ms)).await;
    }
}

async fn wait_for_stop(mut terminate: Signal, mut interrupt: Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Waits of the planned stop, in milliseconds since it began.
struct StopWait<'a> {
    driver: &'a GatewayDriver,
    callers: Arc<CallerCount>,
    began: BoxTime,
}

impl StopWait<'_> {
    async fn until(&self, most_ms: u64) {
        while !self.over(most_ms) {
            tokio::time::sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        }
    }

    /// Waits until all that is open has ended, or the time is up.
    async fn until_empty(&self, most_ms: u64) {
        while !self.empty() && !self.over(most_ms) {
            tokio::time::sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        }
    }

    fn empty(&self) -> bool {
        self.callers.open() == 0 && self.driver.state().in_flight() == 0
    }

    fn over(&self, most_ms: u64) -> bool {
        self.driver.clock().since(self.began) >= Duration::from_millis(most_ms)
    }
}
