//! The client side of calls between processes: one connection to one peer.

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

use crate::{MessageCodec, Token, TrafficCounter, connector::Connector};

/// The time between two keepalive pings on a connection, also on an idle one.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// The time after which a connection is closed if a keepalive ping is not acknowledged.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest encoded message that is sent or accepted, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A client of one peer.
///
/// The connection is opened at the first call and opened again if it is lost. Clones share it.
#[derive(Debug, Clone)]
pub struct RpcClient {
    channel: Channel,
    token: Token,
    traffic: Arc<TrafficCounter>,
}

impl RpcClient {
    /// Creates a client of the peer at an address without connecting yet; the bytes of messages
    /// are counted in `traffic`.
    ///
    /// It must be called within a tokio runtime.
    #[must_use]
    pub fn new(address: SocketAddr, token: Token, traffic: Arc<TrafficCounter>) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .unwrap_or_else(|_| Endpoint::from_static("http://0.0.0.0:0"));
        let channel = endpoint
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_TIMEOUT)
            .keep_alive_while_idle(true)
            .connect_with_connector_lazy(Connector::new(address));
        Self {
            channel,
            token,
            traffic,
        }
    }

    /// Sends one message and waits at most `timeout` for one message in response.
    ///
    /// # Errors
    ///
    /// Returns the peer's status, `Unavailable` if the peer cannot be reached, or
    /// `DeadlineExceeded` if no response arrives within `timeout`.
    pub async fn unary<Req, Resp>(
        &self,
        path: &'static str,
        message: Req,
        timeout: Duration,
    ) -> Result<Resp, Status>
    where
        Req: Serialize + Send + Sync + 'static,
        Resp: DeserializeOwned + Send + Sync + 'static,
    {
        let call = async {
            let mut grpc = self.ready_client().await?;
            let codec = MessageCodec::<Req, Resp>::new(self.traffic.clone());
            let req = self.add_token(Request::new(message))?;
            grpc.unary(req, PathAndQuery::from_static(path), codec)
                .await
        };
        match tokio::time::timeout(timeout, call).await {
            Ok(result) => result.map(tonic::Response::into_inner),
            Err(_) => Err(Status::deadline_exceeded("no answer within the timeout")),
        }
    }

    /// Opens a stream of messages in both directions.
    ///
    /// # Errors
    ///
    /// Returns the peer's status if it refuses the stream, or `Unavailable` if it cannot be
    /// reached.
    pub async fn streaming<Req, Resp, S>(
        &self,
        path: &'static str,
        messages: S,
    ) -> Result<Streaming<Resp>, Status>
    where
        Req: Serialize + Send + Sync + 'static,
        Resp: DeserializeOwned + Send + Sync + 'static,
        S: Stream<Item = Req> + Send + 'static,
    {
        let mut grpc = self.ready_client().await?;
        let codec = MessageCodec::<Req, Resp>::new(self.traffic.clone());
        let req = self.add_token(Request::new(messages))?;
        let response = grpc
            .streaming(req, PathAndQuery::from_static(path), codec)
            .await?;
        Ok(response.into_inner())
    }

    /// Returns a gRPC client on the shared connection, opening it if needed.
    async fn ready_client(&self) -> Result<Grpc<Channel>, Status> {
        let mut grpc = Grpc::new(self.channel.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        grpc.ready()
            .await
            .map_err(|error| Status::unavailable(error.to_string()))?;
        Ok(grpc)
    }

    /// Adds the token to the metadata of a request, if a token is set.
    fn add_token<T>(&self, mut req: Request<T>) -> Result<Request<T>, Status> {
        if let Some(bearer) = self.token.bearer() {
            let value = MetadataValue::try_from(bearer)
                .map_err(|_| Status::internal("the token is not printable ASCII"))?;
            req.metadata_mut().insert("authorization", value);
        }
        Ok(req)
    }
}
