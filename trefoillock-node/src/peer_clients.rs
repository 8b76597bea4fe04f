//! HTTP/2 connections to other nodes, one for each peer address.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{
    HeaderMap, HeaderName, HeaderValue, Request, Response, Uri, Version,
    header::InvalidHeaderValue, uri::PathAndQuery,
};
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::{
    net::TcpStream,
    time::{Instant, timeout, timeout_at},
};
use trefoillock_backend::{Body, CallFailure, NotExecuted, box_body, empty_body};
use trefoillock_core::{Map, Member, RefusalReason, Timestamp, headers};
use trefoillock_rpc::Token;

use crate::{
    Delivery, ServerReport, boot_time,
    headers::{ASK, CLOCK_MS, header_text},
    quotas::PeerClock,
    read_failure, strip_hop_by_hop, strip_internal,
};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout for an ask for the load of a backend server. Within that time, later reports replace it.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval of HTTP/2 keep-alive pings.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The time without a response to a ping after which a connection is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The flow-control window of one response, in bytes.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// The flow-control window of all responses on a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 16 * 1024 * 1024;

type RequestSender = SendRequest<Body>;

/// The shared connection to one other node; `opening` lets only one task open it.
#[derive(Debug, Default)]
struct PeerClient {
    open: Mutex<Option<RequestSender>>,
    opening: tokio::sync::Mutex<()>,
    /// What is known of the clock of the process at the other end.
    clock: Mutex<Option<PeerClock>>,
}

/// The connections to other nodes, by address.
#[derive(Debug)]
pub(crate) struct PeerClients {
    token: Token,
    clients: Mutex<Map<SocketAddr, Arc<PeerClient>>>,
}

impl PeerClients {
    pub(crate) fn new(token: Token) -> Self {
        Self {
            token,
            clients: Mutex::new(Map::default()),
        }
    }

    /// Sends a call to the node at an address. A request that was not handed to a connection is
    /// sent again on a new one until the deadline.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        delivery: Delivery,
        req: Request<Body>,
    ) -> Result<Response<Body>, CallFailure> {
        let client = self.client(address);
        let mut req = self.prepare(address, &delivery, client.clock(), req)?;
        loop {
            let mut sender = client.sender(address, delivery.deadline).await?;
            let answer = timeout_at(delivery.deadline, sender.try_send_request(req)).await;
            match answer {
                Ok(Ok(resp)) => {
                    client.record_clock(resp.headers());
                    return read_response(resp);
                }
                Ok(Err(mut error)) => {
                    client.drop_closed();
                    // hyper returns the request only if no byte of it was handed to the connection.
                    match error.take_message() {
                        Some(unsent) if Instant::now() < delivery.deadline => req = unsent,
                        Some(_) => return Err(not_executed(RefusalReason::Deadline)),
                        None => {
                            let reason = RefusalReason::ConnectionLost;
                            return Err(CallFailure::may_have_run(reason));
                        }
                    }
                }
                Err(_) => return Err(CallFailure::may_have_run(RefusalReason::Deadline)),
            }
        }
    }

    /// Sets the headers, target and version of a call between nodes.
    fn prepare(
        &self,
        address: SocketAddr,
        delivery: &Delivery,
        clock: Option<PeerClock>,
        mut req: Request<Body>,
    ) -> Result<Request<Body>, CallFailure> {
        let map = req.headers_mut();
        strip_hop_by_hop(map);
        strip_internal(map);
        delivery.write(map, clock);
        self.write_token(map)
            .map_err(|_| not_executed(RefusalReason::Unreachable))?;
        let path = req.uri().path_and_query().map(PathAndQuery::as_str);
        let uri = format!("http://{address}{}", path.unwrap_or("/"));
        *req.uri_mut() = uri
            .parse::<Uri>()
            .map_err(|_| not_executed(RefusalReason::BadRequest))?;
        *req.version_mut() = Version::HTTP_2;
        Ok(req)
    }

    fn write_token(&self, map: &mut HeaderMap) -> Result<(), InvalidHeaderValue> {
        if let Some(bearer) = self.token.bearer() {
            let mut value = HeaderValue::try_from(bearer)?;
            value.set_sensitive(true);
            map.insert(HeaderName::from_static(headers::TOKEN), value);
        }
        Ok(())
    }

    /// Prepares an ask for the load of a backend server, which is sent when the future is polled. `None`
    /// if no connection to its node is open.
    pub(crate) fn ask(
        &self,
        member: &Member,
    ) -> Option<impl Future<Output = Option<ServerReport>> + Send + use<>> {
        let address = member.peer_address;
        let client = self.lock().get(&address).cloned()?;
        let mut sender = client.open_sender()?;
        let mut req = Request::get(format!("http://{address}/"))
            .version(Version::HTTP_2)
            .header(ASK, member.id.address.to_string())
            .body(empty_body())
            .ok()?;
        self.write_token(req.headers_mut()).ok()?;
        Some(async move {
            let answer = timeout(ASK_TIMEOUT, sender.send_request(req)).await;
            let resp = answer.ok()?.ok()?;
            ServerReport::read(resp.headers()).filter(|_| resp.status().is_success())
        })
    }

    fn client(&self, address: SocketAddr) -> Arc<PeerClient> {
        self.lock().entry(address).or_default().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Map<SocketAddr, Arc<PeerClient>>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerClient {
    /// The open connection; opens one if there is none.
    async fn sender(
        &self,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<RequestSender, CallFailure> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let opening = async {
            let _opening = self.opening.lock().await;
            if let Some(sender) = self.open_sender() {
                return Ok(sender);
            }
            let sender = connect(address).await?;
            // It may be another run of the node.
            *self.lock_clock() = None;
            let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
            *open = Some(sender.clone());
            io::Result::Ok(sender)
        };
        match timeout_at(until, opening).await {
            Ok(Ok(sender)) => Ok(sender),
            // Nothing listens at the address: the process of the node is gone.
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Err(not_executed(RefusalReason::Draining))
            }
            Err(_) if until == deadline => Err(not_executed(RefusalReason::Deadline)),
            Ok(Err(_)) | Err(_) => Err(not_executed(RefusalReason::Unreachable)),
        }
    }

    fn open_sender(&self) -> Option<RequestSender> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.as_ref().is_some_and(RequestSender::is_closed) {
            *open = None;
        }
        open.clone()
    }

    fn clock(&self) -> Option<PeerClock> {
        *self.lock_clock()
    }

    /// Records the time that a response states, if it states one.
    fn record_clock(&self, map: &HeaderMap) {
        let stated = header_text(map, CLOCK_MS).and_then(|text| text.parse().ok());
        if let Some(stated) = stated.map(Timestamp::from_millis) {
            let mut clock = self.lock_clock();
            *clock = Some(PeerClock::new(stated, boot_time()).tighter(*clock));
        }
    }

    fn lock_clock(&self) -> MutexGuard<'_, Option<PeerClock>> {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn drop_closed(&self) {
        let _ = self.open_sender();
    }
}

async fn connect(address: SocketAddr) -> io::Result<RequestSender> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    // When this side closes the connection, nobody waits for its calls any more. A reset drops the requests
    // that have not been transmitted, which an orderly close would still deliver.
    stream.set_zero_linger()?;
    let (sender, conn) = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .keep_alive_interval(KEEPALIVE_INTERVAL)
        .keep_alive_timeout(KEEPALIVE_TIMEOUT)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        let _ = conn.await;
    });
    Ok(sender)
}

/// Converts the response of a destination node into the response of the backend server, or into the
/// failure that it carries.
fn read_response(resp: Response<hyper::body::Incoming>) -> Result<Response<Body>, CallFailure> {
    if let Some(failure) = read_failure(resp.headers()) {
        return Err(failure);
    }
    if !resp.headers().contains_key(headers::OUTCOME) {
        // The peer is not a destination node of this system.
        return Err(CallFailure::may_have_run(RefusalReason::ConnectionLost));
    }
    let mut resp = resp.map(box_body);
    if let Some(report) = ServerReport::read(resp.headers()) {
        resp.extensions_mut().insert(report);
    }
    strip_internal(resp.headers_mut());
    Ok(resp)
}

const fn not_executed(reason: RefusalReason) -> CallFailure {
    CallFailure::did_not_run(reason, NotExecuted::nothing_written())
}
