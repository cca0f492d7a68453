//! Boxes as processes that lose their network paths to replicas.

use std::path::Path;
use std::time::Duration;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::{ReplicaRun, ReplicaStandin};
use ravenspoke_standins::platform::site::{
    own_address, RunningSite, OPERATOR_TOPIC, REPLICA_TOPIC, SITE_KEY, SITE_SERVICE,
};
use ravenspoke_standins::platform::site_box::{SiteBox, SITE_HOST};
use ravenspoke_standins::soak::proxy::{FaultProxy, ProxyFault};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// Port at which a box receives gossip, and requests that other boxes forward.
const FORWARD_PORT: u16 = 18_340;

/// Time between two requests while a box has not noticed that its paths are lost.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Manners in which connections fail on a lost path.
const FAULTS: [ProxyFault; 2] = [ProxyFault::Reset, ProxyFault::Refused];

/// A site with three boxes, and four replicas behind proxies.
struct PartitionSite {
    site: RunningSite,
    boxes: Vec<SiteBox>,
    replicas: Vec<ReplicaStandin>,
    paths: Vec<FaultProxy>,
}

impl PartitionSite {
    /// Starts a site whose streams have this many events, this far apart in milliseconds.
    async fn start(events: u32, gap_ms: u64) -> Self {
        let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
        site.write_plan(1, &[SITE_KEY]);
        let (mut replicas, mut paths) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let id = format!("i-{number}");
            let replica = ReplicaStandin::start(own_address(), &id, events, gap_ms).await;
            let path = FaultProxy::start(replica.address.ip(), replica.address).await;
            let entry = replica.behind(path.address).entry(SITE_SERVICE, "v1", "ready");
            site.store.put(REPLICA_TOPIC, &id, &entry);
            replicas.push(replica);
            paths.push(path);
        }
        let mut boxes = Vec::new();
        for number in 0..3 {
            boxes.push(site.start_ready(&format!("box-{number}")).await);
        }
        let all = Self { site, boxes, replicas, paths };
        all.wait_listed(3).await;
        all
    }

    /// Waits until the directory of each box lists this many boxes.
    async fn wait_listed(&self, count: usize) {
        for subject in &self.boxes {
            wait_for("the directory lists the boxes", || async {
                (subject.resolve().await?.len() == count).then_some(())
            })
            .await;
        }
    }

    /// Waits until this plan is in force at each box.
    async fn wait_plan(&self, version: u64) {
        for subject in &self.boxes {
            wait_for("the new plan is in force", || async {
                let mut plans = subject.events("plan_in_force").into_iter();
                plans.any(|event| event["version"] == version).then_some(())
            })
            .await;
        }
    }

    fn set_paths(&self, number: usize, fault: ProxyFault) {
        self.paths.iter().for_each(|path| path.set_from(self.boxes[number].ip, fault));
    }

    /// Cuts a box off and waits until it has noticed, which takes a few requests.
    async fn lose_paths(&self, number: usize, fault: ProxyFault) {
        self.set_paths(number, fault);
        let mut ticks = tokio::time::interval(REQUEST_INTERVAL);
        let mut count = 0;
        loop {
            count += 1;
            let events = self.boxes[number].events("paths_changed");
            if events.last().is_some_and(|event| event["phase"] == "Lost") {
                return;
            }
            assert!(count < 100, "the box notices that its paths are lost");
            let id = format!("notice-{number}-{count}");
            drop(self.site.request(&self.boxes[number], "GET", "/read/x", &id).send().await);
            ticks.tick().await;
        }
    }

    fn runs(&self, id: &str) -> Vec<ReplicaRun> {
        let runs = self.replicas.iter().flat_map(ReplicaStandin::runs);
        runs.filter(|run| run.id == id).collect()
    }
}

fn whole_stream(events: u32) -> String {
    (1..=events).map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn box_that_reaches_no_replica_serves_through_another_box() {
    for fault in FAULTS {
        let all = PartitionSite::start(4, 10).await;
        all.lose_paths(0, fault).await;

        for (method, path) in [("GET", "/read/x"), ("POST", "/file/x"), ("POST", "/chat/x")] {
            let id = format!("through{}", path.replace('/', "-"));
            let mut request = all.site.request(&all.boxes[0], method, path, &id);
            if path == "/chat/x" {
                request = request.header("Accept", "text/event-stream");
            }
            let answer = request.send().await.expect("an answer");
            assert_eq!(answer.status(), 200, "{fault:?} {path}");
            assert!(answer.headers().get("ravenspoke-begun").is_none());
            let body = answer.text().await.expect("a whole body");
            assert!(path != "/chat/x" || body == whole_stream(4), "{body}");
            let runs = all.runs(&id);
            assert_eq!(runs.len(), 1, "{fault:?} {path}");
            let names = runs[0].headers.iter().map(|(name, _)| name.as_str());
            let leaked: Vec<&str> = names
                .filter(|name| name.starts_with("ravenspoke-") || *name == "authorization")
                .collect();
            assert_eq!(leaked, Vec::<&str>::new());
        }
        all.wait_listed(2).await;

        all.set_paths(0, ProxyFault::None);
        all.wait_listed(3).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_no_box_forwarded_are_refused_on_the_socket_for_boxes() {
    let all = PartitionSite::start(4, 10).await;
    let url = format!("http://{}:{FORWARD_PORT}/read/x", all.boxes[0].ip);

    for forward in [None, Some("key=0000000000000000;attempts=2;repeat=0"), Some("attempts=2")] {
        let mut request = all.site.http.get(&url).header("Host", "api.example");
        request = request.header("X-Ravenspoke-Request-Id", "intruder");
        request = request.header("Authorization", format!("Bearer {SITE_KEY}"));
        if let Some(forward) = forward {
            request = request.header("ravenspoke-forward", forward);
        }
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), 403, "{forward:?}");
    }
    assert_eq!(all.runs("intruder"), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_whole_when_its_path_is_lost_in_the_middle() {
    let all = PartitionSite::start(20, 50).await;
    let request = all.site.chat(&all.boxes[0], "moved").send();
    let answer = request.await.expect("the stream begins");

    all.set_paths(0, ProxyFault::Reset);

    assert_eq!(answer.text().await.expect("a whole stream"), whole_stream(20));
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_is_whole_when_the_box_that_it_goes_through_is_killed() {
    let mut all = PartitionSite::start(20, 50).await;
    all.lose_paths(0, ProxyFault::Reset).await;
    let request = all.site.chat(&all.boxes[0], "carried").send();
    let answer = request.await.expect("the stream begins");
    let forwarded = wait_for("the forward is logged", || async {
        let events = all.boxes[0].events("request_forwarded");
        let own = events.into_iter().rfind(|event| event["id"] == "carried")?;
        own["to"].as_str()?.strip_prefix("box-")?.parse::<usize>().ok()
    })
    .await;

    all.boxes[forwarded].kill();

    assert_eq!(answer.text().await.expect("a whole stream"), whole_stream(20));
}

#[tokio::test(flavor = "multi_thread")]
async fn replica_stops_when_the_caller_of_a_forwarded_stream_disconnects() {
    let all = PartitionSite::start(200, 20).await;
    all.lose_paths(0, ProxyFault::Reset).await;
    let request = all.site.chat(&all.boxes[0], "left").send();
    let answer = request.await.expect("the stream begins");

    drop(answer);

    wait_for("the replica stops", || async {
        all.runs("left").first().is_some_and(|run| run.left).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_when_no_box_reaches_a_replica() {
    let all = PartitionSite::start(4, 10).await;
    for number in 0..3 {
        all.lose_paths(number, ProxyFault::Reset).await;
    }

    for number in 0..3 {
        let sent_at = std::time::Instant::now();
        let request = all.site.request(&all.boxes[number], "POST", "/file/x", "nowhere");
        let answer = request.send().await.expect("an answer");
        assert_eq!(answer.status(), 503);
        assert!(answer.headers().contains_key("retry-after"));
        assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
    }
    assert_eq!(all.runs("nowhere"), []);
    all.wait_listed(3).await;
}

/// Guards against streams that leave their box, which end if another one no longer knows their key.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_when_their_key_is_replaced_and_a_replica_pauses() {
    let all = PartitionSite::start(8, 300).await;
    let mut answers = Vec::new();
    for number in 0..8 {
        let request = all.site.chat(&all.boxes[0], &format!("admitted-{number}"));
        answers.push(request.send().await.expect("the stream begins"));
    }
    all.site.write_plan(2, &["new-key"]);
    all.wait_plan(2).await;

    let busiest = all.replicas.iter().max_by_key(|replica| replica.runs().len());
    busiest.expect("a replica").fall_silent(Duration::from_millis(1_100));

    for answer in answers {
        assert_eq!(answer.text().await.expect("a whole stream"), whole_stream(8));
    }
    let forwarded = all.boxes[0].events("request_forwarded");
    assert_eq!(forwarded, Vec::<serde_json::Value>::new(), "a pause is no lost path");
}

/// Service to which a plan moves the route of streams.
const OTHER_SERVICE: &str = "other";

/// What a plan changes for requests that were admitted under the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlanChange {
    /// The key of their client account is replaced.
    KeyReplaced,
    /// Their route goes to another service.
    RouteMoved,
    /// Their route is gone.
    RouteRemoved,
    /// Heads and bodies may only be shorter than theirs.
    LimitsLowered,
}

impl PlanChange {
    /// Writes the plan.
    fn write(self, site: &RunningSite) {
        let prefix = if self == Self::RouteRemoved { "/gone/" } else { "/chat/" };
        let service = if self == Self::RouteMoved { OTHER_SERVICE } else { SITE_SERVICE };
        let key = if self == Self::KeyReplaced { "new-key" } else { SITE_KEY };
        let limit = if self == Self::LimitsLowered { 4 } else { 8_192 };
        let plan = json!({
            "version": 2,
            "routes": [{
                "name": "chat", "host": SITE_HOST, "path_prefix": prefix, "kind": "stream",
                "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1, "service": service,
                "max_attempts": 3, "stream_resume": true, "gap_aim_ms": 500,
            }],
            "services": [
                { "name": SITE_SERVICE, "max_connections": 100 },
                { "name": OTHER_SERVICE, "max_connections": 100 },
            ],
            "tenants": [{ "name": "alpha", "api_keys": [key] }],
            "limits": { "max_body_bytes": limit, "max_header_bytes": limit },
        });
        site.store.put(OPERATOR_TOPIC, "config", &plan);
    }
}

/// Guards against a stream that the box which takes it up admits, or routes, like a new request.
#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_as_they_were_admitted_when_the_plan_changes_and_paths_are_lost() {
    for change in [
        PlanChange::KeyReplaced,
        PlanChange::RouteMoved,
        PlanChange::RouteRemoved,
        PlanChange::LimitsLowered,
    ] {
        let all = PartitionSite::start(30, 80).await;
        let others = ReplicaStandin::start(own_address(), "i-other", 30, 80).await;
        let entry = others.entry(OTHER_SERVICE, "v1", "ready");
        all.site.store.put(REPLICA_TOPIC, "i-other", &entry);
        let mut answers = Vec::new();
        for number in 0..4 {
            let request = all.site.chat(&all.boxes[0], &format!("admitted-{number}"));
            answers.push(request.send().await.expect("the stream begins"));
        }
        change.write(&all.site);
        all.wait_plan(2).await;

        all.set_paths(0, ProxyFault::Reset);

        for answer in answers {
            let body = answer.text().await.unwrap_or_else(|error| panic!("{change:?}: {error}"));
            assert_eq!(body, whole_stream(30), "{change:?}");
        }
        assert_eq!(others.runs(), [], "{change:?}: the other service wrote none of them");
    }
}

/// A server at the former address of a box, which takes any request and answers 503. Yields the heads
/// of the requests.
async fn successor_of(former: &SiteBox, heads: UnboundedSender<String>) {
    let address = (former.ip, FORWARD_PORT);
    let listener = TcpListener::bind(address).await.expect("the address is free");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4096];
            let length = stream.read(&mut head).await.unwrap_or_default();
            drop(heads.send(String::from_utf8_lossy(&head[..length]).to_lowercase()));
            let refusal = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            drop(stream.write_all(refusal).await);
        }
    });
}

/// A site whose first box has lost its paths, and whose other boxes are gone; their addresses belong
/// to servers that answer 503.
async fn site_with_successors() -> (PartitionSite, UnboundedReceiver<String>) {
    let mut all = PartitionSite::start(4, 10).await;
    all.lose_paths(0, ProxyFault::Reset).await;
    let (heads, received) = unbounded_channel();
    for former in &mut all.boxes[1..] {
        former.kill();
        successor_of(former, heads.clone()).await;
    }
    (all, received)
}

/// Guards against a 503 of whoever has got a box's address that counts as that box's refusal.
#[tokio::test(flavor = "multi_thread")]
async fn call_is_not_refused_as_not_run_by_a_successor_of_a_box() {
    let (all, mut received) = site_with_successors().await;

    let request = all.site.request(&all.boxes[0], "POST", "/file/x", "astray").body("b");
    let answer = request.send().await.expect("an answer");

    assert_eq!(answer.status(), 502);
    let head = received.recv().await.expect("the call reached a successor");
    assert!(head.contains("x-ravenspoke-target-instance: box-"), "{head}");
    assert!(received.try_recv().is_err(), "the call is sent only once");
}
