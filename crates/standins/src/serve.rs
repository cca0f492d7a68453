//! Shared parts of the stand-ins: a server on a free port, and responses that can be aborted.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use rocket::config::{Config, LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::http::{ContentType, Header, Status};
use rocket::response::{Responder, Response};
use rocket::{Build, Request, Rocket};
use tokio::sync::{mpsc, oneshot};

/// A running stand-in.
pub struct RunningServer {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Server task. Aborting it stops the stand-in.
    pub task: tokio::task::JoinHandle<()>,
}

impl RunningServer {
    /// Its base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

/// Configures a Rocket server for a stand-in on `port`, where 0 stands for a free one.
pub fn rocket_on(port: u16) -> Rocket<Build> {
    let shutdown = Shutdown { ctrlc: false, signals: Default::default(), ..Shutdown::default() };
    rocket::custom(Config {
        port,
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::release_default()
    })
}

/// Launches `rocket` in a task and waits until it listens.
pub async fn launch(rocket: Rocket<Build>) -> RunningServer {
    let (sender, receiver) = oneshot::channel();
    let sender = std::sync::Mutex::new(Some(sender));
    let fairing = AdHoc::on_liftoff("address", move |rocket| {
        let address = SocketAddr::new(rocket.config().address, rocket.config().port);
        let sender = sender.lock().ok().and_then(|mut sender| sender.take());
        Box::pin(async move {
            if let Some(sender) = sender {
                let _ = sender.send(address);
            }
        })
    });
    let task = tokio::spawn(async move {
        if let Err(error) = rocket.attach(fairing).launch().await {
            eprintln!("a stand-in ended: {error}");
        }
    });
    let address = receiver.await.expect("the stand-in listens");
    RunningServer { address, task }
}

/// A response with headers and a body in pieces. A piece that is an error closes the connection.
pub struct StreamedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type.
    pub content_type: ContentType,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Pieces of the body.
    pub pieces: mpsc::Receiver<io::Result<Bytes>>,
}

impl StreamedResponse {
    /// Creates a JSON response with a complete body.
    pub fn whole(status: u16, body: impl Into<Bytes>) -> Self {
        let (sender, pieces) = mpsc::channel(1);
        let _ = sender.try_send(Ok(body.into()));
        Self { status, content_type: ContentType::JSON, headers: Vec::new(), pieces }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Creates a response whose connection is closed before its body.
    pub fn cut() -> Self {
        let (sender, pieces) = mpsc::channel(1);
        let _ = sender.try_send(Err(io::ErrorKind::ConnectionAborted.into()));
        Self { status: 200, content_type: ContentType::JSON, headers: Vec::new(), pieces }
    }
}

impl<'r> Responder<'r, 'static> for StreamedResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        response.status(Status::new(self.status)).header(self.content_type);
        for (name, value) in self.headers {
            response.header(Header::new(name, value));
        }
        let pieces = futures_util::stream::unfold(self.pieces, |mut pieces| async {
            pieces.recv().await.map(|piece| (piece, pieces))
        });
        response.streamed_body(tokio_util::io::StreamReader::new(Box::pin(pieces)));
        response.ok()
    }
}

/// Headers of a request: names and values.
pub struct RequestHeaders(pub Vec<(String, String)>);

impl RequestHeaders {
    /// Returns the first value of a header. The case of its name does not matter.
    pub fn get(&self, name: &str) -> Option<&str> {
        let row = self.0.iter().find(|(row, _)| row.eq_ignore_ascii_case(name));
        row.map(|(_, value)| value.as_str())
    }
}

#[rocket::async_trait]
impl<'r> rocket::request::FromRequest<'r> for RequestHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> rocket::request::Outcome<Self, ()> {
        let rows = request.headers().iter();
        let rows = rows.map(|header| (header.name().to_string(), header.value().to_owned()));
        rocket::request::Outcome::Success(Self(rows.collect()))
    }
}
