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
use ravenspoke_core::route::progress::TrialMark;
use ravenspoke_core::route::trial::TrialVerdict;
use ravenspoke_core::route::{RouteSettings, RouteState, STOP_TAKE_MS};
use ravenspoke_core::time::BoxTime;
use rocket::Route;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::{channel, unbounded_channel, Receiver, UnboundedReceiver};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::answer_pace::AnswerPace;
use super::directory::{metrics_routes, ready_routes, resolve_routes};
use super::driver::{GatewayDriver, GatewaySinks, PeerDatagram, NOTES_QUEUED};
use super::entry::{accept_callers, CallerCount, CALLER_PART};
use super::exchange::GatewayTools;
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

/// While a box that has started waits to know the site, it looks this often, in milliseconds.
pub const KNOW_LOOK_MS: u64 = 5;

/// Kept back from the time between the signal to stop and the kill, in milliseconds.
pub const GRACE_MARGIN_MS: u64 = 500;

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
    let listener = TcpListener::bind(settings.entry).await;
    let listener = listener.map_err(|error| listen_error(settings.entry, "entry", &error))?;

    follow_leader(&settings, &driver, &store, receivers.lead)?;
    follow_site(&settings, &driver, &store, socket, receivers.site);
    let entry = OpenEntry::start(&settings, &driver, listener);
    launch_answers(&settings, &driver, metrics, metrics_port).await?;
    observe::note_started(&settings.name, settings.entry, &settings.seeds);
    if !settings.unread_seeds.is_empty() {
        observe::note_unread_seeds(&settings.unread_seeds);
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
    marks: UnboundedReceiver<TrialMark>,
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
    driver.feed(RouteEvent::PeersNamed(seeds));
}

/// The entry that callers connect to, open from the start of the box until its planned stop.
struct OpenEntry {
    tools: Arc<GatewayTools>,
    callers: Arc<CallerCount>,
    accepting: JoinHandle<()>,
    stop: watch::Sender<bool>,
}

impl OpenEntry {
    /// Takes callers from when the box knows the site.
    fn start(
        settings: &GatewaySettings,
        driver: &Arc<GatewayDriver>,
        listener: TcpListener,
    ) -> Self {
        let pool = Arc::new(ReplicaPool::new(driver.shared_clock()));
        tokio::spawn(run_ticks(driver.clone(), pool.clone()));
        let stopping = AtomicBool::new(false);
        let strange = StrangeHeaders::default();
        let tools = Arc::new(GatewayTools { driver: driver.clone(), pool, stopping, strange });
        let callers = Arc::new(CallerCount::default());
        let limit = (settings.descriptors as f64 * CALLER_PART) as usize;
        let (stop, stopped) = watch::channel(false);
        let accepting = tokio::spawn({
            let (tools, callers) = (tools.clone(), callers.clone());
            async move {
                wait_to_know(&tools.driver).await;
                accept_callers(listener, tools, callers, limit, stopped).await;
            }
        });
        Self { tools, callers, accepting, stop }
    }

    /// Ends connections where no request is in hand, and takes new ones for [`STOP_TAKE_MS`] more.
    fn stop(&self) {
        self.tools.stopping.store(true, Ordering::Relaxed);
        // The receivers live as long as the accept loop.
        let _ = self.stop.send(true);
        let accepting = self.accepting.abort_handle();
        tokio::spawn(async move {
            // A caller that is refused a connection tries another address at once.
            tokio::time::sleep(Duration::from_millis(STOP_TAKE_MS)).await;
            accepting.abort();
        });
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
    entry: OpenEntry,
) {
    let began = driver.now();
    driver.feed(RouteEvent::StopAsked);
    entry.stop();
    if driver.listed.load(Ordering::Relaxed) {
        follow::forget_box(driver.clone(), store, &settings.name).await;
    }
    wait_until_empty(settings, driver, &entry.callers, began).await;
    observe::note_exit(entry.callers.open(), driver.state().in_hand());
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
        note_address: settings.notes.to_string(),
        is_seed: settings.seeds.contains(&settings.notes),
        capacity: settings.capacity,
        fresh: settings.fresh,
        budget: settings.budget,
        leader: settings.leader.as_ref().map(|leader| leader.bounds),
        regions: settings.regions.clone(),
    }
}

/// Waits until the box knows the site. Callers that connect meanwhile wait for some milliseconds in
/// place of being refused; where there is nothing to know, they are not kept for long.
async fn wait_to_know(driver: &GatewayDriver) {
    while !driver.state().takes_callers(driver.now()) {
        tokio::time::sleep(Duration::from_millis(KNOW_LOOK_MS)).await;
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
        let starts = !driver.state().knows_site();
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

/// Waits until callers can no longer come and all that is open has ended, or the time is up.
async fn wait_until_empty(
    settings: &GatewaySettings,
    driver: &GatewayDriver,
    callers: &CallerCount,
    began: BoxTime,
) {
    let limit = Duration::from_millis(settings.grace_ms.saturating_sub(GRACE_MARGIN_MS));
    // Callers keep an answer for its time, some of them longer; then they look for another.
    let stay = Duration::from_millis(settings.keep_ms).min(limit);
    loop {
        let empty = callers.open() == 0 && driver.state().in_hand() == 0;
        let stopping = driver.clock().since(began);
        if (empty && stopping >= stay) || stopping >= limit {
            return;
        }
        tokio::time::sleep(Duration::from_millis(STOP_LOOK_MS)).await;
    }
}
