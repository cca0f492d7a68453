//! A client with one request on a channel of its own.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::fleet::HOST;

/// A client's request.
pub struct Ask {
    pub address: String,
    pub method: &'static str,
    pub path: &'static str,
    pub id: String,
    pub key: &'static str,
    pub deadline_ms: u64,
    pub body: Vec<u8>,
    /// Whether a stream of events is asked for.
    pub stream: bool,
    /// Headers of the engine's requests, each line with its end.
    pub more: String,
}

/// What came back until the channel ended.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    /// Whether the answer is whole: its length or its last chunk arrived.
    pub whole: bool,
}

impl Reply {
    /// Ids of the events of a stream.
    pub fn events(&self) -> Vec<u32> {
        let ids = self.body.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

/// Sends a request, and reads until the channel ends.
pub async fn ask(ask: &Ask) -> Reply {
    let Ok(mut stream) = TcpStream::connect(&ask.address).await else { return Reply::default() };
    let accept = if ask.stream { "Accept: text/event-stream\r\n" } else { "" };
    let head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Ravenspoke-Request-Id: {}\r\n\
         X-Ravenspoke-Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\n{accept}{}\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        ask.method,
        ask.path,
        ask.id,
        ask.deadline_ms,
        ask.key,
        ask.more,
        ask.body.len()
    );
    if stream.write_all(head.as_bytes()).await.is_err()
        || stream.write_all(&ask.body).await.is_err()
    {
        return Reply::default();
    }
    let mut bytes = Vec::new();
    let mut piece = [0; 16 << 10];
    while let Ok(count) = stream.read(&mut piece).await {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&piece[..count]);
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let Some((head, body)) = text.split_once("\r\n\r\n") else { return Reply::default() };
    let status = head.get(9..12).and_then(|code| code.parse().ok()).unwrap_or(0);
    let lower = head.to_ascii_lowercase();
    let length = lower.lines().find_map(|line| line.strip_prefix("content-length:"));
    let whole = match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => body.len() == length,
        None => body.ends_with("0\r\n\r\n"),
    };
    Reply { status, body: body.to_owned(), whole }
}
