//! A minimal HTTP/1.1 server side. Stand-ins must be able to send invalid responses, which HTTP
//! libraries do not allow.

use std::io;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, BufReader};
use tokio::net::TcpStream;

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct WireRequest {
    /// Path and query.
    pub target: String,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl WireRequest {
    /// Returns the first value of a header, whose name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let row = self.headers.iter().find(|(row, _)| row == name);
        row.map(|(_, value)| value.as_str())
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let rows = query.split('&').filter_map(|row| row.split_once('='));
        rows.filter(|(row, _)| *row == name).map(|(_, value)| value).next()
    }
}

/// Reads a request. Returns `None` if the connection ended before one.
pub async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<WireRequest>> {
    let Some(first) = read_line(stream).await? else { return Ok(None) };
    let mut words = first.split(' ');
    let mut request = WireRequest {
        target: words.nth(1).unwrap_or_default().to_owned(),
        ..WireRequest::default()
    };
    while let Some(line) = read_line(stream).await?.filter(|line| !line.is_empty()) {
        if let Some((name, value)) = line.split_once(':') {
            request.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = request.header("content-length").and_then(|text| text.parse().ok());
    request.body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut request.body).await?;
    Ok(Some(request))
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    let read = stream.read_line(&mut line).await?;
    Ok((read > 0).then(|| line.trim_end().to_owned()))
}

/// Returns the bytes of a response with a body of known length.
pub fn full_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = response_head(status, headers);
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
    bytes.extend(body);
    bytes
}

/// Returns the head of a response without the empty line at its end.
pub fn response_head(status: u16, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.into_bytes()
}

/// Returns a chunk of a body without a known length.
pub fn chunk(body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{:x}\r\n", body.len()).into_bytes();
    bytes.extend(body);
    bytes.extend(b"\r\n");
    bytes
}
