//! The platform's own API: usage reports and orders of replicas, as it saw them.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

use super::wire::{full_response, read_request, WireRequest};

/// A call that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct AcceptedCall {
    /// Its path.
    pub path: String,
    /// Who says to hold the duty.
    pub holder: String,
    /// The fencing token.
    pub token: u64,
    /// What it says.
    pub body: Value,
}

/// How the API fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CloudOutage {
    /// It doesn't.
    #[default]
    None,
    /// Calls get 503 and are not done.
    Busy,
    /// Calls get no answer, and are done all the same.
    Silent,
}

#[derive(Default)]
struct CloudState {
    calls: Vec<AcceptedCall>,
    /// The highest token highest_tokens, by subject.
    highest_tokens: BTreeMap<String, u64>,
    refused: u64,
    /// Calls that came, whatever became of them.
    asked: u64,
    outage: CloudOutage,
    slow_ms: u64,
}

/// A running API.
#[derive(Clone)]
pub struct CloudStandin {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<CloudState>>,
}

impl CloudStandin {
    /// Starts the API on `ip`.
    pub async fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("it listens");
        let cloud = Self { address, state: Arc::default() };
        let server = cloud.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = server.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        cloud
    }

    fn lock(&self) -> MutexGuard<'_, CloudState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls that were accepted, in turn.
    pub fn calls(&self) -> Vec<AcceptedCall> {
        self.lock().calls.clone()
    }

    /// Calls that came so far, whatever became of them.
    pub fn asked(&self) -> u64 {
        self.lock().asked
    }

    /// Calls that were refused for their token.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Sets how it fails, and how long each call takes, in milliseconds.
    pub fn set_outage(&self, outage: CloudOutage, slow_ms: u64) {
        let mut state = self.lock();
        (state.outage, state.slow_ms) = (outage, slow_ms);
    }

    async fn serve(&self, stream: TcpStream) {
        let mut stream = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut stream).await {
            let (outage, slow_ms) = {
                let mut state = self.lock();
                state.asked += 1;
                (state.outage, state.slow_ms)
            };
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
            let status = if outage == CloudOutage::Busy { 503 } else { self.accept(&request) };
            if outage == CloudOutage::Silent {
                return std::future::pending().await;
            }
            if stream.write_all(&full_response(status, &[], b"")).await.is_err() {
                return;
            }
        }
    }

    /// Does a call, unless a higher token was highest_tokens for its subject. Gives the status.
    fn accept(&self, request: &WireRequest) -> u16 {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let Ok(token) = text("x-ravenspoke-fencing-token").parse() else { return 400 };
        let path = request.path().to_owned();
        let subject = format!("{path} {} {}", body["service"], body["zone"]);
        let mut state = self.lock();
        let highest_token = state.highest_tokens.entry(subject).or_default();
        if token < *highest_token {
            state.refused += 1;
            return 409;
        }
        *highest_token = token;
        let holder = text("x-ravenspoke-duty-holder");
        state.calls.push(AcceptedCall { path, holder, token, body });
        200
    }
}
