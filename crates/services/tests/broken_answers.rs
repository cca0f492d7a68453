//! Answers of the platform's services whose end is in doubt: nothing in them is believed.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};

use ravenspoke_services::{read_load, ListClient, LogClient, RatingClient};

/// Framing lines of broken heads.
const BROKEN_LINES: [&str; 3] =
    ["Transfer-Encoding: gzip", "Content-Lenght: 2", "Transfer-Encoding: chunke"];

/// Address of a server that answers the first call of each connection with this body, and closes.
fn server_of(lines: &str, body: &str) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it listens");
    let answer = format!("HTTP/1.1 200 OK\r\n{lines}\r\n\r\n{body}");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The client sees how the connection ends.
            drop(answer_one(stream, answer.as_bytes()));
        }
    });
    address
}

fn answer_one(mut stream: TcpStream, answer: &[u8]) -> std::io::Result<()> {
    let mut buffer = [0; 8 << 10];
    let read = stream.read(&mut buffer)?;
    assert!(read > 0, "a call");
    stream.write_all(answer)
}

fn url_of(lines: &str, body: &str) -> String {
    format!("http://{}", server_of(lines, body))
}

#[tokio::test]
async fn broken_answers_of_the_log_and_the_list_are_not_believed() {
    for lines in BROKEN_LINES {
        let http = reqwest::Client::new();
        let log = LogClient::new(http.clone(), &url_of(lines, r#"{"offset":7}"#));
        let list = ListClient::new(http, &url_of(lines, r#"{"boxes":[],"replicas":[]}"#));

        let appended = log.append("bills", &[]).await;
        let listed = list.read().await;

        assert!(appended.is_err(), "{lines}: {appended:?}");
        assert!(listed.is_err(), "{lines}");
    }
}

#[tokio::test]
async fn broken_ratings_and_load_reports_are_not_believed() {
    for lines in BROKEN_LINES {
        let http = reqwest::Client::new();
        let rating = RatingClient::new(http.clone(), &url_of(lines, r#"{"good":true}"#));
        let engine = server_of(lines, r#"{"running":0,"waiting":0,"slots":8}"#).to_string();

        let rated = rating.rate("small-1", 0, "why?", "because").await;
        let load = read_load(&http, &engine).await;

        assert!(rated.is_err(), "{lines}: {rated:?}");
        assert!(load.is_err(), "{lines}: {load:?}");
    }
}
