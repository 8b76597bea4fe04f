//! Handlers of the calls that peers make.

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

use crate::{MessageCodec, Token, Traffic, client::MAX_MESSAGE_BYTES};

/// The time between two probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The time after which a connection without an answer to a probe is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// the server of calls between processes failed: {0}
#[derive(Debug, Display)]
pub struct ServeError(String);

impl std::error::Error for ServeError {}

type Answer = BoxFuture<'static, HttpResponse<Body>>;
type Route = Arc<dyn Fn(HttpRequest<Body>) -> Answer + Send + Sync>;

/// The handlers of a listening socket, by path.
#[derive(Clone)]
pub struct RpcServer {
    routes: Map<&'static str, Route>,
    token: Token,
    traffic: Arc<Traffic>,
}

impl RpcServer {
    /// Creates a server without handlers that asks for a token and counts into `traffic`.
    #[must_use]
    pub fn new(token: Token, traffic: Arc<Traffic>) -> Self {
        Self {
            routes: Map::default(),
            token,
            traffic,
        }
    }

    /// Adds a handler that answers one message with one message.
    #[must_use]
    pub fn unary<Q, A, F, R>(mut self, path: &'static str, handler: F) -> Self
    where
        Q: DeserializeOwned + Send + Sync + 'static,
        A: Serialize + Send + Sync + 'static,
        F: Fn(Q) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Result<A, Status>> + Send + 'static,
    {
        let traffic = self.traffic.clone();
        let route = move |req| -> Answer {
            let codec = MessageCodec::<A, Q>::new(traffic.clone());
            let service = UnaryHandler(handler.clone());
            Box::pin(async move { grpc(codec).unary(service, req).await })
        };
        self.routes.insert(path, Arc::new(route));
        self
    }

    /// Adds a handler that answers a stream of messages with a stream of messages.
    #[must_use]
    pub fn streaming<Q, A, F, R, S>(mut self, path: &'static str, handler: F) -> Self
    where
        Q: DeserializeOwned + Send + Sync + 'static,
        A: Serialize + Send + Sync + 'static,
        F: Fn(Streaming<Q>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Result<S, Status>> + Send + 'static,
        S: Stream<Item = Result<A, Status>> + Send + 'static,
    {
        let traffic = self.traffic.clone();
        let route = move |req| -> Answer {
            let codec = MessageCodec::<A, Q>::new(traffic.clone());
            let service = StreamHandler(handler.clone());
            Box::pin(async move { grpc(codec).streaming(service, req).await })
        };
        self.routes.insert(path, Arc::new(route));
        self
    }

    /// Takes calls from a listening socket until `stop` is cancelled and calls in flight ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails.
    pub async fn serve(
        self,
        listener: TcpListener,
        stop: CancellationToken,
    ) -> Result<(), ServeError> {
        let place = listener
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
                let error = trefoillock_core::Error::new(Step::Listen, Peer::Node(place), error);
                ServeError(error.to_string())
            })
    }
}

fn grpc<E, D>(codec: MessageCodec<E, D>) -> Grpc<MessageCodec<E, D>>
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
        let Some(route) = self.routes.get(req.uri().path()).cloned() else {
            let status = Status::unimplemented("there is no such call");
            return Box::pin(async move { Ok(status.into_http()) });
        };
        let answer = route(req);
        Box::pin(async move { Ok(answer.await) })
    }
}

struct UnaryHandler<F>(F);

impl<F, Q, A, R> Service<Request<Q>> for UnaryHandler<F>
where
    F: Fn(Q) -> R,
    R: Future<Output = Result<A, Status>> + Send + 'static,
{
    type Response = Response<A>;
    type Error = Status;
    type Future = Pin<Box<dyn Future<Output = Result<Response<A>, Status>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Q>) -> Self::Future {
        let answer = (self.0)(req.into_inner());
        Box::pin(async move { answer.await.map(Response::new) })
    }
}

struct StreamHandler<F>(F);

impl<F, Q, A, R, S> Service<Request<Streaming<Q>>> for StreamHandler<F>
where
    F: Fn(Streaming<Q>) -> R,
    R: Future<Output = Result<S, Status>> + Send + 'static,
    S: Stream<Item = Result<A, Status>> + Send + 'static,
{
    type Response = Response<BoxStream<'static, Result<A, Status>>>;
    type Error = Status;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Status>> + Send>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Status>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: Request<Streaming<Q>>) -> Self::Future {
        let answer = (self.0)(req.into_inner());
        Box::pin(async move { answer.await.map(|stream| Response::new(stream.boxed())) })
    }
}
