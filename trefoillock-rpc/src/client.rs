//! Calls to a peer.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::Stream;
use http::uri::PathAndQuery;
use serde::{Serialize, de::DeserializeOwned};
use tonic::{
    Request, Status, Streaming,
    client::Grpc,
    metadata::MetadataValue,
    transport::{Channel, Endpoint},
};

use crate::{MessageCodec, Token, Traffic};

/// The longest time that opening a connection may take: above the round trip between the users'
/// data centres, and below the first repeat of a lost opening packet after one second. A dial to a
/// VM without power hangs until then, though its power may be back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The time between two probes of an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The time after which a connection without an answer to a probe is closed.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A client of one peer. Connections are opened when needed and opened again when lost.
#[derive(Debug, Clone)]
pub struct RpcClient {
    channel: Channel,
    token: Token,
    traffic: Arc<Traffic>,
}

impl RpcClient {
    /// Creates a client of the peer at an address, without connecting yet.
    ///
    /// It must be called within a tokio runtime.
    #[must_use]
    pub fn new(address: SocketAddr, token: Token, traffic: Arc<Traffic>) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .unwrap_or_else(|_| Endpoint::from_static("http://0.0.0.0:0"));
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_TIMEOUT)
            .keep_alive_while_idle(true)
            .connect_lazy();
        Self {
            channel,
            token,
            traffic,
        }
    }

    /// Sends one message and waits for one answer, for at most `timeout`.
    ///
    /// # Errors
    ///
    /// Returns the peer's status, or `Unavailable` or `DeadlineExceeded` if no answer came.
    pub async fn unary<Q, A>(
        &self,
        path: &'static str,
        message: Q,
        timeout: Duration,
    ) -> Result<A, Status>
    where
        Q: Serialize + Send + Sync + 'static,
        A: DeserializeOwned + Send + Sync + 'static,
    {
        let call = async {
            let mut grpc = self.ready().await?;
            let codec = MessageCodec::<Q, A>::new(self.traffic.clone());
            let req = self.authorized(Request::new(message))?;
            grpc.unary(req, PathAndQuery::from_static(path), codec)
                .await
        };
        match tokio::time::timeout(timeout, call).await {
            Ok(answer) => answer.map(tonic::Response::into_inner),
            Err(_) => Err(Status::deadline_exceeded("no answer within the timeout")),
        }
    }

    /// Opens a stream of messages in both directions.
    ///
    /// # Errors
    ///
    /// Returns the peer's status if it refuses the stream, or `Unavailable` if it cannot be
    /// reached.
    pub async fn streaming<Q, A, S>(
        &self,
        path: &'static str,
        messages: S,
    ) -> Result<Streaming<A>, Status>
    where
        Q: Serialize + Send + Sync + 'static,
        A: DeserializeOwned + Send + Sync + 'static,
        S: Stream<Item = Q> + Send + 'static,
    {
        let mut grpc = self.ready().await?;
        let codec = MessageCodec::<Q, A>::new(self.traffic.clone());
        let req = self.authorized(Request::new(messages))?;
        let answer = grpc
            .streaming(req, PathAndQuery::from_static(path), codec)
            .await?;
        Ok(answer.into_inner())
    }

    async fn ready(&self) -> Result<Grpc<Channel>, Status> {
        let mut grpc = Grpc::new(self.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        grpc.ready()
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(grpc)
    }

    fn authorized<T>(&self, mut req: Request<T>) -> Result<Request<T>, Status> {
        if let Some(bearer) = self.token.bearer() {
            let value = MetadataValue::try_from(bearer)
                .map_err(|_| Status::internal("the token is not printable ASCII"))?;
            req.metadata_mut().insert("authorization", value);
        }
        Ok(req)
    }
}
