//! Stand-in for a replica that answers each request with the bytes of a script, valid or not.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::site::own_address;
use super::wire::{read_request, WireRequest};

/// Time between two pieces of an answer.
const PIECE_PAUSE: Duration = Duration::from_millis(2);

/// The bytes of an answer.
#[derive(Clone, Debug, Default)]
pub struct AnswerScript {
    /// The pieces, which are written one after the other, with a pause between them.
    pub pieces: Vec<Vec<u8>>,
    /// Whether the connection is closed after the last piece.
    pub closes: bool,
    /// Time before the first piece.
    pub delay: Duration,
    /// Whether the last piece is repeated until the connection is closed.
    pub is_endless: bool,
}

impl AnswerScript {
    /// An answer in one piece, after which the connection stays open.
    pub fn kept(bytes: Vec<u8>) -> Self {
        Self { pieces: vec![bytes], ..Self::default() }
    }

    /// An answer in one piece, after which the connection is closed.
    pub fn closed(bytes: Vec<u8>) -> Self {
        Self { closes: true, ..Self::kept(bytes) }
    }
}

/// Writes the answer to a request.
type ScriptFn = dyn Fn(&WireRequest) -> AnswerScript + Send + Sync;

struct ScriptRecord {
    script: Arc<ScriptFn>,
    requests: Vec<WireRequest>,
}

/// A running server.
#[derive(Clone)]
pub struct ScriptedReplica {
    /// Address that it listens on.
    pub address: SocketAddr,
    record: Arc<Mutex<ScriptRecord>>,
}

impl ScriptedReplica {
    /// Starts a server on an address of its own, which answers by `script`.
    pub async fn start(
        script: impl Fn(&WireRequest) -> AnswerScript + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((own_address(), 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let record = ScriptRecord { script: Arc::new(script), requests: Vec::new() };
        let replica = Self { address, record: Arc::new(Mutex::new(record)) };
        let serving = replica.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = serving.clone();
                // The caller sees how the connection ends.
                tokio::spawn(async move { drop(server.serve(stream).await) });
            }
        });
        replica
    }

    /// Sets how it answers from now on.
    pub fn set_script(
        &self,
        script: impl Fn(&WireRequest) -> AnswerScript + Send + Sync + 'static,
    ) {
        self.lock().script = Arc::new(script);
    }

    /// Number of requests that it received.
    pub fn requests(&self) -> usize {
        self.lock().requests.len()
    }

    /// Whether it received a request with this id.
    pub fn has_received(&self, id: &str) -> bool {
        let record = self.lock();
        record.requests.iter().any(|row| row.header("x-ravenspoke-request-id") == Some(id))
    }

    /// Its entry in the store, as a ready replica of `service`.
    pub fn entry(&self, service: &str) -> Value {
        json!({
            "service": service, "address": self.address.to_string(), "zone": "east",
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ScriptRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = BufReader::new(stream);
        while let Some(request) = read_request(&mut stream).await? {
            let script = {
                let mut record = self.lock();
                record.requests.push(request.clone());
                record.script.clone()
            };
            let answer = script(&request);
            tokio::time::sleep(answer.delay).await;
            for (number, piece) in answer.pieces.iter().enumerate() {
                if number > 0 {
                    tokio::time::sleep(PIECE_PAUSE).await;
                }
                stream.write_all(piece).await?;
            }
            if let Some(piece) = answer.pieces.last().filter(|_| answer.is_endless) {
                loop {
                    stream.write_all(piece).await?;
                }
            }
            if answer.closes {
                stream.shutdown().await?;
                // What the other side still sends must not reset the connection.
                tokio::io::copy(&mut stream, &mut tokio::io::sink()).await?;
                return Ok(());
            }
        }
        Ok(())
    }
}
