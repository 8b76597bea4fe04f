//! The server side of calls between processes: handlers by path, behind a check of the token.

use std::{
    convert::Infallible,
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use displaydoc::Display;
use futures::{Stream, StreamExt, future::BoxFuture, stream::BoxStream};
use http::{Request as HttpRequest, Response as HttpResponse};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::{Request, Response, Status, Streaming, body::Body, server::Grpc, transport::Server};
use tower_service::Service;
use trefoillock_core::{Map, Peer, Step};

use crate::{MessageCodec, Token, TrafficCounter, client::MAX_MESSAGE_BYTES};

/// The time between two keepalive pings on a connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The time after which a connection is closed if a keepalive ping is not acknowledged.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// the RPC server failed: {0}
#[derive(Debug, Display)]
pub struct ServeError(String);

impl std::error::Error for ServeError {}

type ResponseFuture = BoxFuture<'static, HttpResponse<Body>>;
type Handler = Arc<dyn Fn(HttpRequest<Body>) -> ResponseFuture + Send + Sync>;

/// A server that dispatches the calls on a listening socket to handlers by path.
///
/// Calls without the right token are refused before they reach a handler.
#[derive(Clone)]
pub struct RpcServer {
    handlers: Map<&'static str, Handler>,
    token: Token,
    traffic: Arc<TrafficCounter>,
}

impl RpcServer {
    /// Creates a server without handlers that requires `token` and counts bytes in `traffic`.
    #[must_use]
    pub fn new(token: Token, traffic: Arc<TrafficCounter>) -> Self {
        Self {
            handlers: Map::default(),
            token,
            traffic,
        }
    }

    /// Adds a handler that takes one message and returns one message.
    #[must_use]
    pub fn unary<Req, Resp, F, Fut>(mut self, path: &'static str, handler: F) -> Self
    where
        Req: DeserializeOwned + Send + Sync + 'static,
        Resp: Serialize + Send + Sync + 'static,
        F: Fn(Req) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Result<Resp, Status>> + Send + 'static,
    {
        let traffic = self.traffic.clone();
        let http_handler = move |req| -> ResponseFuture {
            let codec = MessageCodec::<Resp, Req>::new(traffic.clone());
            let service = UnaryService(handler.clone());
            Box::pin(async move { grpc_server(codec).unary(service, req).await })
        };
        self.handlers.insert(path, Arc::new(http_handler));
        self
    }

    /// Adds a handler that takes a stream of messages and returns a stream of messages.
    #[must_use]
    pub fn streaming<Req, Resp, F, Fut, S>(mut self, path: &'static str, handler: F) -> Self
    where
        Req: DeserializeOwned + Send + Sync + 'static,
        Resp: Serialize + Send + Sync + 'static,
        F: Fn(Streaming<Req>) -> Fut + Clone + Send + Sync + 'static,
        Fut: Future<Output = Result<S, Status>> + Send + 'static,
        S: Stream<Item = Result<Resp, Status>> + Send + 'static,
    {
        let traffic = self.traffic.clone();
        let http_handler = move |req| -> ResponseFuture {
            let codec = MessageCodec::<Resp, Req>::new(traffic.clone());
            let service = StreamingService(handler.clone());
            Box::pin(async move { grpc_server(codec).streaming(service, req).await })
        };
        self.handlers.insert(path, Arc::new(http_handler));
        self
    }

    /// Serves calls on a listening socket until `stop` is cancelled, then waits for the calls in
    /// flight.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails.
    pub async fn serve(
        self,
        listener: TcpListener,
        stop: CancellationToken,
    ) -> Result<(), ServeError> {
        let local_address = listener
            .local_addr()
            .map_or_else(|_| "?".to_owned(), |addr| addr.to_string());
        let incoming = TcpListenerStream::new(listener).map(|io| {
            if let Ok(io) = &io {
                io.set_nodelay(true)?;
            }
            io
        });
        Server::builder()
            .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
            .serve_with_incoming_shutdown(self, incoming, stop.cancelled_owned())
            .await
            .map_err(|error| {
                let error =
                    trefoillock_core::Error::new(Step::Listen, Peer::Node(local_address), error);
                ServeError(error.to_string())
            })
    }
}

fn grpc_server<E, D>(codec: MessageCodec<E, D>) -> Grpc<MessageCodec<E, D>>
where
    E: Serialize + Send + 'static,
    D: DeserializeOwned + Send + 'static,
{
    Grpc::new(codec)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
}

impl Service<HttpRequest<Body>> for RpcServer {
    type Response = HttpResponse<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: HttpRequest<Body>) -> Self::Future {
        let header = req.headers().get(http::header::AUTHORIZATION);
        if !self.token.allows(header.map(http::HeaderValue::as_bytes)) {
            let status = Status::unauthenticated("the token is missing or wrong");
            return Box::pin(async move { Ok(status.into_http()) });
        }
        let Some(handler) = self.handlers.get(req.uri().path()).cloned() else {
            let status = Status::unimplemented("there is no such call");
            return Box::pin(async move { Ok(status.into_http()) });
        };
        let response = handler(req);
        Box::pin(async move { Ok(response.await) })
    }
}

/// Adapts a function from message to message to the service interface of `tonic`.
struct UnaryService<F>(F);

impl<F, Req, Resp, Fut> Service<Request<Req>> for UnaryService<F>
where
    F: Fn(Req) -> Fut,
    Fut: Future<Output = Result<Resp, Status>> + Send + 'static,
{
    type Response = Response<Resp>;
    type Error = Status;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Resp>, Status>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Req>) -> Self::Future {
        let response = (self.0)(req.into_inner());
        Box::pin(async move { response.await.map(Response::new) })
    }
}

/// Adapts a function from stream to stream to the service interface of `tonic`.
struct StreamingService<F>(F);

impl<F, Req, Resp, Fut, S> Service<Request<Streaming<Req>>> for StreamingService<F>
where
    F: Fn(Streaming<Req>) -> Fut,
    Fut: Future<Output = Result<S, Status>> + Send + 'static,
    S: Stream<Item = Result<Resp, Status>> + Send + 'static,
{
    type Response = Response<BoxStream<'static, Result<Resp, Status>>>;
    type Error = Status;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Status>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Streaming<Req>>) -> Self::Future {
        let response = (self.0)(req.into_inner());
        Box::pin(async move { response.await.map(|stream| Response::new(stream.boxed())) })
    }
}
