//! Serves a listener whose requests are answered by one function.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::client_stream::{set_options, ClientStream};
use super::connection_table::{
    ActiveRequest, AwaitingAnswer, ConnectionTable, OpenConnection, ReadingBody,
};
use super::listen::ClientListener;
use super::memory_account::{AccountExhausted, MemoryAccount, MemoryShare};
use super::slow_readers::ReaderWatch;
use super::whole_body::WholeBody;
use crate::observe;

/// Least read buffer that the HTTP library accepts, in bytes.
const LEAST_BUFFER_BYTES: usize = 8 << 10;

/// Size of the read buffer beyond the limit for a head, in bytes: what the limit does not count, so that
/// a head slightly over it is still read whole and gets a response.
const BUFFER_SLACK_BYTES: usize = 4 << 10;

/// Pause after a failed accept, in milliseconds.
const ACCEPT_PAUSE_MS: u64 = 10;

/// Limits of the connections of a listener.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Size of a head, in bytes.
    pub head_bytes: usize,
    /// Time without a request after which a connection is closed, in milliseconds.
    pub idle_ms: u64,
}

impl HttpLimits {
    /// Builder of a server's connection within these limits.
    pub fn builder(self) -> http1::Builder {
        let buffer = LEAST_BUFFER_BYTES.max(self.head_bytes + BUFFER_SLACK_BYTES);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(self.idle_ms))
            .max_buf_size(buffer);
        builder
    }
}

/// Limits of a listener, beside those of each connection.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLimits {
    /// Maximum number of open connections.
    pub places: usize,
    /// Limits of each connection.
    pub http: HttpLimits,
    /// Time for a head, in milliseconds.
    pub head_ms: u64,
}

/// A listener's connections and their limits.
pub struct ClientEndpoint {
    connections: Arc<ConnectionTable>,
    limits: EndpointLimits,
    readers: Arc<ReaderWatch>,
    stop: CancellationToken,
}

impl ClientEndpoint {
    /// An endpoint without connections, which is called `name` in logs. Its clients have the memory of
    /// `account`, and `readers` disconnects those that do not read their responses. After `stop`,
    /// connections end with their next response.
    pub fn new(
        name: &'static str,
        account: MemoryAccount,
        limits: EndpointLimits,
        readers: &Arc<ReaderWatch>,
        stop: CancellationToken,
    ) -> Self {
        let connections = ConnectionTable::new(account);
        let report = move |closed| observe::log_connections_closed(name, closed);
        tokio::spawn(connections.clone().run_checks(move || limits.head_ms, report));
        Self { connections, limits, readers: readers.clone(), stop }
    }

    /// Its connections.
    pub fn connections(&self) -> &Arc<ConnectionTable> {
        &self.connections
    }

    /// Serves requests with `handler` until the endpoint stops.
    pub async fn serve<H, F, E>(self, listener: ClientListener, handler: H)
    where
        H: Fn(Request<Incoming>, ActiveRequest<ReadingBody>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<UnsyncBoxBody<Bytes, E>>> + Send + 'static,
        E: std::error::Error + Send + Sync + 'static,
    {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok(stream) => self.admit(stream, handler.clone()),
                Err(error) => {
                    observe::log_socket_failed("endpoint", &error);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }

    fn admit<H, F, E>(&self, stream: TcpStream, handler: H)
    where
        H: Fn(Request<Incoming>, ActiveRequest<ReadingBody>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<UnsyncBoxBody<Bytes, E>>> + Send + 'static,
        E: std::error::Error + Send + Sync + 'static,
    {
        let Ok(connection) = self.connections.admit(self.limits.places) else {
            observe::count_rejected_client();
            return;
        };
        if let Err(error) = set_options(&stream) {
            observe::log_socket_failed("endpoint", &error);
        }
        let meter = self.readers.add();
        let stream = ClientStream::new(stream, connection.clone(), Some(meter.clone()));
        let served =
            serve(stream, connection.clone(), handler, self.limits.http, self.stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = served => {}
                () = connection.closing() => {}
                () = meter.wait_ended() => {}
            }
        });
    }
}

async fn serve<H, F, E>(
    stream: ClientStream,
    connection: Arc<OpenConnection>,
    handler: H,
    limits: HttpLimits,
    stop: CancellationToken,
) where
    H: Fn(Request<Incoming>, ActiveRequest<ReadingBody>) -> F,
    F: Future<Output = Response<UnsyncBoxBody<Bytes, E>>>,
    E: std::error::Error + Send + Sync + 'static,
{
    let service = service_fn(|request| {
        let begun = connection.begin_request().map(|active| handler(request, active));
        async move {
            // Without memory for the request the connection is closed, and nothing has run.
            Ok::<_, AccountExhausted>(begun?.await)
        }
    });
    let served = limits.builder().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    let closes = tokio::select! {
        // An error of the connection shows up in its request.
        _ = served.as_mut() => false,
        () = stop.cancelled() => true,
    };
    if closes {
        served.as_mut().graceful_shutdown();
        let _ = served.await;
    }
}

/// The body of a response, whose request is active until it is written.
pub struct ActiveBody<E> {
    body: UnsyncBoxBody<Bytes, E>,
    _request: ActiveRequest<AwaitingAnswer>,
}

impl<E> ActiveBody<E> {
    /// Ties a body to its request.
    pub fn new(body: UnsyncBoxBody<Bytes, E>, request: ActiveRequest<AwaitingAnswer>) -> Self {
        Self { body, _request: request }
    }
}

impl<E> Body for ActiveBody<E> {
    type Data = Bytes;
    type Error = E;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, E>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A response without a body that holds anything.
pub type WholeResponse = Response<UnsyncBoxBody<Bytes, Infallible>>;

/// A response whose body is all there. It is refused if the process has no memory for it.
pub fn whole_response(
    request: ActiveRequest<ReadingBody>,
    status: StatusCode,
    content_type: &'static str,
    text: String,
) -> WholeResponse {
    let mut share = MemoryShare::new(request.account());
    let (status, text) = match share.grow_to(text.len()) {
        Ok(()) => (status, text),
        Err(_) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
    };
    let body = WholeBody::new(Bytes::from(text), Some(share), None).boxed_unsync();
    let body = ActiveBody::new(body, request.body_read());
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
