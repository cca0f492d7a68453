//! Streams whose replica pauses while all other replicas are full, with boxes as processes.

use std::path::Path;
use std::time::Duration;

use ravenspoke_standins::fleet::wait_for;
use ravenspoke_standins::platform::endless::EndlessPart;
use ravenspoke_standins::platform::replica::{ReplicaMode, ReplicaStandin};
use ravenspoke_standins::platform::site::RunningSite;
use ravenspoke_standins::platform::site_box::SiteBox;

/// Requests that each replica has room for.
const ROOM: u32 = 2;

/// Number of replicas.
const REPLICAS: usize = 3;

/// Events of a stream, and the time between two of them in milliseconds.
const EVENTS: (u32, u64) = (20, 80);

/// A pause of a sound replica: longer than the time after which another place is asked, and no longer
/// than the longest pause that still keeps an answer in time.
const PAUSE: Duration = Duration::from_millis(480);

/// Time without an event after which another place is asked.
const PAUSE_LIMIT: Duration = Duration::from_millis(400);

/// Time in which a replica that is asked answers: longer than that between two comments, and shorter
/// than the one for which the stream is read on.
const ANSWER_DELAY: Duration = Duration::from_millis(180);

fn whole_stream() -> String {
    (1..=EVENTS.0).map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
}

/// A site with two boxes, whose replicas have room for two streams each.
async fn crowded_site() -> (RunningSite, Vec<ReplicaStandin>, SiteBox, SiteBox) {
    let mut site = RunningSite::start(Path::new(env!("CARGO_BIN_EXE_ravenspoked"))).await;
    site.write_plan(1, &[ravenspoke_standins::platform::site::SITE_KEY]);
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let replica = site.start_replica(&format!("i-{number}"), EVENTS.0, EVENTS.1).await;
        replica.set_room(ROOM);
        replicas.push(replica);
    }
    let (first, second) = (site.start_ready("box-1").await, site.start_ready("box-2").await);
    for subject in [&first, &second] {
        wait_for("the box knows the replicas", || async {
            let state = subject.state().await?;
            (state["backends"].as_array()?.len() == REPLICAS).then_some(())
        })
        .await;
    }
    (site, replicas, first, second)
}

/// Begins streams through a box until all places are taken.
async fn fill(site: &RunningSite, subject: &SiteBox) -> Vec<reqwest::Response> {
    let mut answers = Vec::new();
    for number in 0.. {
        if answers.len() == REPLICAS * ROOM as usize {
            break;
        }
        assert!(number < 100, "the places are taken");
        let answer = site.chat(subject, &format!("full-{number}")).send().await;
        let answer = answer.expect("an answer");
        if answer.status() == 200 {
            answers.push(answer);
        }
    }
    answers
}

/// Begins a stream through a box that this replica answers. Those of others are given up.
async fn begin_at(
    site: &RunningSite,
    subject: &SiteBox,
    replica: &ReplicaStandin,
) -> reqwest::Response {
    for number in 0..100 {
        let answer = site.chat(subject, &format!("at-{number}")).send().await.expect("an answer");
        if !replica.runs().is_empty() {
            return answer;
        }
    }
    panic!("no stream began at the replica");
}

/// Guards against a stream that is given up before another place has taken it.
#[tokio::test(flavor = "multi_thread")]
async fn streams_are_whole_when_a_replica_pauses_and_all_others_are_full() {
    let (site, replicas, first, _second) = crowded_site().await;
    let answers = fill(&site, &first).await;

    replicas[0].fall_silent(PAUSE);

    for answer in answers {
        assert_eq!(answer.text().await.expect("a whole stream"), whole_stream());
    }
    assert!(!first.events("attempt_kept").is_empty(), "other places were asked");
}

/// Guards against a box that takes its paths for lost because its streams got no response heads
/// lately.
#[tokio::test(flavor = "multi_thread")]
async fn pause_of_one_replica_is_no_lost_path() {
    let (site, replicas, first, _second) = crowded_site().await;
    let answers = fill(&site, &first).await;
    tokio::time::sleep(Duration::from_millis(350)).await;

    replicas[0].fall_silent(PAUSE);

    for answer in answers {
        assert_eq!(answer.text().await.expect("a whole stream"), whole_stream());
    }
    assert_eq!(first.events("request_forwarded"), Vec::<serde_json::Value>::new());
}

/// Guards against a stopping box that closes the channel of a sound replica before another box has
/// taken the stream.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_stopping_box_are_whole_when_a_replica_pauses_and_all_others_are_full() {
    let (site, replicas, first, _second) = crowded_site().await;
    let answers = fill(&site, &first).await;
    first.signal("TERM");
    tokio::time::sleep(Duration::from_millis(350)).await;

    replicas[0].fall_silent(PAUSE);

    for answer in answers {
        assert_eq!(answer.text().await.expect("a whole stream"), whole_stream());
    }
}

/// Guards against two replicas that work on one stream, or a caller that gets events twice.
#[tokio::test(flavor = "multi_thread")]
async fn paused_stream_runs_at_one_replica_once_its_own_goes_on() {
    let (site, replicas, first, _second) = crowded_site().await;
    let answer = site.chat(&first, "paused").send().await.expect("the stream begins");
    let own = replicas.iter().position(|replica| !replica.runs().is_empty()).expect("a replica");
    for (number, replica) in replicas.iter().enumerate().filter(|(number, _)| *number != own) {
        assert!(replica.runs().is_empty(), "{number}");
        replica.set_mode(ReplicaMode::Silent);
    }

    replicas[own].fall_silent(PAUSE);

    assert_eq!(answer.text().await.expect("a whole stream"), whole_stream());
    let asked = || replicas.iter().enumerate().filter(|(number, _)| *number != own);
    wait_for("the other replica has stopped", || async {
        let runs: Vec<_> = asked().flat_map(|(_, replica)| replica.runs()).collect();
        (!runs.is_empty() && runs.iter().all(|run| run.left)).then_some(())
    })
    .await;
    assert_eq!(replicas[own].runs().len(), 1, "it is not asked for again");
}

/// Guards against a stream that waits for ever at a replica that has stopped working.
#[tokio::test(flavor = "multi_thread")]
async fn paused_stream_moves_to_a_replica_that_has_room() {
    let (site, replicas, first, _second) = crowded_site().await;
    replicas.iter().for_each(|replica| replica.set_mode(ReplicaMode::PauseAt(9)));
    let answer = site.chat(&first, "moved").send().await.expect("the stream begins");
    replicas.iter().for_each(|replica| replica.set_mode(ReplicaMode::Well));

    assert_eq!(answer.text().await.expect("a whole stream"), whole_stream());
    let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
    assert_eq!(runs, 2);
}

/// Guards against work for a caller that has left while another place is asked.
#[tokio::test(flavor = "multi_thread")]
async fn both_replicas_stop_when_the_caller_leaves_while_another_place_is_asked() {
    let (site, replicas, first, _second) = crowded_site().await;
    let answer = site.chat(&first, "left").send().await.expect("the stream begins");
    let own = replicas.iter().position(|replica| !replica.runs().is_empty()).expect("a replica");
    for (_, replica) in replicas.iter().enumerate().filter(|(number, _)| *number != own) {
        replica.set_mode(ReplicaMode::Silent);
    }
    replicas[own].fall_silent(Duration::from_secs(2));
    wait_for("another replica is asked", || async {
        let runs: usize = replicas.iter().map(|replica| replica.runs().len()).sum();
        (runs == 2).then_some(())
    })
    .await;

    drop(answer);

    wait_for("both replicas have stopped", || async {
        let runs: Vec<_> = replicas.iter().flat_map(ReplicaStandin::runs).collect();
        runs.iter().all(|run| run.left).then_some(())
    })
    .await;
}

/// Guards against a stream that stays at a replica that sends comments and no events, since a comment
/// arrived while another replica was asked.
#[tokio::test(flavor = "multi_thread")]
async fn comments_of_a_stuck_replica_do_not_end_the_search_for_another() {
    let (site, replicas, first, _second) = crowded_site().await;
    let (stuck, others) = replicas.split_first().expect("replicas");
    stuck.set_mode(ReplicaMode::Endless(EndlessPart::SlowComments));
    let answer = begin_at(&site, &first, stuck).await;
    for replica in others {
        // It answers after the next comment of the stuck replica has arrived.
        replica.fall_silent(PAUSE_LIMIT + ANSWER_DELAY);
    }

    let text = answer.text().await.expect("a whole stream");

    assert_eq!(text.replace(": wait\n\n", ""), whole_stream());
    assert_eq!(first.events("attempt_kept"), Vec::<serde_json::Value>::new());
}
