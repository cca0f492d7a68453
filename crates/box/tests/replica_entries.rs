//! Tests of replica entries: invalid entries of another writer, and restarted replicas.
//!
//! Boxes run as processes with stand-ins of the platform. Tests wait for conditions with a time
//! limit.

use std::path::Path;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::replica::ReplicaStandin;
use ravenspoke_standins::platform::site::{
    own_address, RunningSite, REPLICA_TOPIC, SITE_KEY, SITE_SERVICE,
};
use ravenspoke_standins::platform::site_box::SiteBox;
use serde_json::{json, Value};

/// Invalid entries of another writer: missing fields, fields of another type, an unknown state and
/// a fractional start time.
fn invalid_entries() -> Vec<Value> {
    let entry = |born: Value, state: &str| {
        json!({
            "service": SITE_SERVICE, "address": "127.0.0.1:9", "zone": "east", "version": "v1", "slots": 8,
            "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": born,
        })
    };
    vec![
        json!(null),
        json!([1, 2]),
        json!({ "service": SITE_SERVICE, "state": "ready" }),
        entry(json!(1.5), "ready"),
        entry(json!(7), "resting"),
    ]
}

/// A site whose store holds invalid replica entries, with a started box.
async fn site_with_invalid_entries() -> (RunningSite, SiteBox) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[SITE_KEY]);
    for (number, entry) in invalid_entries().iter().enumerate() {
        site.store.put(REPLICA_TOPIC, &format!("spoilt-{number}"), entry);
    }
    let subject = site.start_box("box-1");
    (site, subject)
}

/// Starts an incarnation of replica `id`, and writes its entry to the store.
async fn start_incarnation(site: &RunningSite, id: &str, born: u64) -> ReplicaStandin {
    let replica = ReplicaStandin::start(own_address(), id, 3, 1).await;
    let mut entry = replica.entry(SITE_SERVICE, "v1", "ready");
    entry["born"] = json!(born);
    site.store.put(REPLICA_TOPIC, id, &entry);
    replica
}

/// Waits until the box knows replicas at exactly these addresses.
async fn wait_for_addresses(subject: &SiteBox, wanted: &[&ReplicaStandin]) {
    let mut wanted: Vec<String> =
        wanted.iter().map(|replica| replica.address.to_string()).collect();
    wanted.sort();
    wait_for("the box knows these replicas", || async {
        let state = subject.state().await?;
        let rows = state["backends"].as_array()?.clone();
        let address = |row: &Value| row["entry"]["address"].as_str().map(str::to_owned);
        let mut known: Vec<String> = rows.iter().filter_map(address).collect();
        known.sort();
        (known == wanted).then_some(())
    })
    .await;
}

/// Entries that another writer may leave: nested deeply, with numbers and ports beyond their range,
/// and bytes that are no text.
fn odd_entries() -> Vec<Vec<u8>> {
    let entry = |field: &str, value: &str| {
        let mut entry = json!({
            "service": SITE_SERVICE, "address": "127.0.0.1:9", "zone": "east", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
        });
        entry[field] = json!("HOLE");
        entry.to_string().replace("\"HOLE\"", value).into_bytes()
    };
    let nested = format!("{}{}", "[".repeat(60_000), "]".repeat(60_000));
    vec![
        nested.clone().into_bytes(),
        "{\"a\":".repeat(30_000).into_bytes(),
        entry("zone", &nested),
        entry("slots", "4294967296"),
        entry("slots", "1e400"),
        entry("slots", &"9".repeat(50_000)),
        entry("born", "-1"),
        entry("born", "18446744073709551616"),
        entry("cold_remaining_ms", "1e400"),
        entry("address", "\"127.0.0.1:70000\""),
        entry("address", "\"127.0.0.1:0\""),
        entry("address", "\"127.0.0.1\""),
        entry("state", "\"\\ud800\""),
        vec![0xff, 0x00, 0xfe],
    ]
}

/// Entries with numbers at the ends of their range. Nothing listens at their address.
fn extreme_entries() -> Vec<Value> {
    let entry = |slots: u32, cold_ms: f64, born: u64| {
        json!({
            "service": "annex", "address": "127.0.0.1:9", "zone": "east", "version": "v1", "slots": slots,
            "state": "ready", "cold_remaining_ms": cold_ms, "sequence": 1, "born": born,
        })
    };
    vec![entry(u32::MAX, 0.0, u64::MAX), entry(0, f64::MAX, 0), entry(8, -f64::MAX, u64::MAX - 1)]
}

/// Ids of the replicas of the site's service that a box knows.
async fn known_replicas(subject: &SiteBox) -> Option<Vec<String>> {
    let state = subject.state().await?;
    let rows = state["backends"].as_array()?.iter();
    let rows = rows.filter(|row| row["entry"]["service"] == SITE_SERVICE);
    let mut known: Vec<String> =
        rows.filter_map(|row| Some(row["entry"]["id"].as_str()?.to_owned())).collect();
    known.sort();
    Some(known)
}

async fn wait_for_replicas(subject: &SiteBox, wanted: &[&str]) {
    wait_for("the box knows these replicas", || async {
        (known_replicas(subject).await? == wanted).then_some(())
    })
    .await;
}

/// Writes odd and extreme entries, each under an id of its own.
fn write_odd_entries(site: &RunningSite, name: &str) {
    for (number, entry) in odd_entries().iter().enumerate() {
        site.store.put_bytes(REPLICA_TOPIC, &format!("{name}-odd-{number}"), entry);
    }
    for (number, entry) in extreme_entries().iter().enumerate() {
        site.store.put(REPLICA_TOPIC, &format!("{name}-extreme-{number}"), entry);
    }
}

/// Guards against boxes that end, or stop following the replicas, because of another writer's entry.
#[tokio::test]
async fn boxes_follow_replicas_past_odd_entries() {
    let (mut site, listing) = site_with_invalid_entries().await;
    write_odd_entries(&site, "listed");
    start_incarnation(&site, "i-1", 1_000).await;
    wait_for_replicas(&listing, &["i-1"]).await;
    // It learns the replicas from a listing that has the odd entries.
    let second = site.start_ready("box-2").await;
    wait_for_replicas(&second, &["i-1"]).await;

    write_odd_entries(&site, "followed");
    start_incarnation(&site, "i-2", 1_000).await;
    site.store.put_bytes(REPLICA_TOPIC, "i-1", &odd_entries()[0]);

    for mut subject in [listing, second] {
        wait_for_replicas(&subject, &["i-2"]).await;
        let answer = site.request(&subject, "POST", "/file/x", "r1").body("b").send().await;
        assert_eq!(answer.expect("an answer").status(), 200);
        assert_eq!(subject.exit_code(), None);
    }
}

/// Guards against requests that panic, and tasks that end, because an entry under a replica's id named
/// another service.
#[tokio::test]
async fn boxes_serve_after_an_entry_that_changed_its_service() {
    let (site, subject) = site_with_invalid_entries().await;
    let replica = start_incarnation(&site, "i-1", 1_000).await;
    wait_for_replicas(&subject, &["i-1"]).await;
    let own = replica.entry(SITE_SERVICE, "v1", "ready");

    site.store.put(REPLICA_TOPIC, "i-1", &replica.entry("annex", "v1", "ready"));
    wait_for_replicas(&subject, &[]).await;
    site.store.put(REPLICA_TOPIC, "i-1", &json!({ "service": "annex" }));
    start_incarnation(&site, "i-2", 1_000).await;
    wait_for_replicas(&subject, &["i-2"]).await;
    site.store.put(REPLICA_TOPIC, "i-1", &own);

    wait_for_replicas(&subject, &["i-1", "i-2"]).await;
    for number in 0..5 {
        let answer = site.request(&subject, "POST", "/read/x", &format!("r{number}")).body("b");
        assert_eq!(answer.send().await.expect("an answer").status(), 200);
    }
}

#[tokio::test]
async fn invalid_replica_entries_are_ignored_and_valid_ones_used() {
    let (site, subject) = site_with_invalid_entries().await;
    let first = start_incarnation(&site, "i-1", 1_000).await;
    let second = start_incarnation(&site, "i-2", 1_000).await;
    wait_for_addresses(&subject, &[&first, &second]).await;

    site.store.put(REPLICA_TOPIC, "i-2", &json!({ "state": 3 }));

    wait_for_addresses(&subject, &[&first]).await;
    for number in 0..5 {
        let answer = site.request(&subject, "POST", "/read/x", &format!("r{number}")).body("b");
        assert_eq!(answer.send().await.expect("an answer").status(), 200);
    }
    assert_eq!((first.runs().len(), second.runs().len()), (5, 0));
}

#[tokio::test]
async fn restarted_replica_gets_requests_at_its_new_address() {
    let (site, subject) = site_with_invalid_entries().await;
    let former = start_incarnation(&site, "i-1", 5_000).await;
    wait_for_addresses(&subject, &[&former]).await;
    let mut leaving = former.entry(SITE_SERVICE, "v1", "draining");
    leaving["born"] = json!(5_000);
    site.store.put(REPLICA_TOPIC, "i-1", &leaving);

    // Its clock was set back before the restart.
    let new = start_incarnation(&site, "i-1", 2_000).await;

    wait_for_addresses(&subject, &[&new]).await;
    let answer = site.request(&subject, "POST", "/file/x", "r1").body("b").send().await;
    assert_eq!(answer.expect("an answer").status(), 200);
    assert_eq!((former.runs().len(), new.runs().len()), (0, 1));
}
