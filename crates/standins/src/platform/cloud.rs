//! Stand-in for the platform's API, which takes usage reports and orders of replicas.

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
    /// Request path.
    pub path: String,
    /// Box that claims to hold the duty.
    pub holder: String,
    /// Fencing token.
    pub token: u64,
    /// Request body.
    pub body: Value,
}

/// Failure of the API.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CloudOutage {
    /// No failure.
    #[default]
    None,
    /// Calls get status 503 and have no effect.
    Busy,
    /// Calls take effect but get no response.
    Silent,
}

#[derive(Default)]
struct CloudState {
    calls: Vec<AcceptedCall>,
    /// Highest fencing token so far, by path, service and zone.
    highest_tokens: BTreeMap<String, u64>,
    refused: u64,
    /// Number of calls received, accepted or not.
    asked: u64,
    outage: CloudOutage,
    slow_ms: u64,
}

/// A running API.
#[derive(Clone)]
pub struct CloudStandin {
    /// Address that it listens on.
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

    /// Returns the accepted calls in order.
    pub fn calls(&self) -> Vec<AcceptedCall> {
        self.lock().calls.clone()
    }

    /// Returns the number of calls received so far, accepted or not.
    pub fn asked(&self) -> u64 {
        self.lock().asked
    }

    /// Returns the number of calls refused because of an outdated fencing token.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Sets its failure, and the delay of each call in milliseconds.
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

    /// Accepts a call unless a higher fencing token was used for the same subject. Returns the HTTP
    /// status.
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
