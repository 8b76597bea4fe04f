//! The client of the operators' interface.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;
use trefoillock_core::MoveId;
use trefoillock_rpc::Token;

use crate::{
    ApiError, ApiErrorKind, BurnReport, CancelReport, CheckReport, EditReport, EditRequest,
    MAX_BODY_BYTES, MembersReport, MovesReport, ReplicaChange, StatusReport, TablesReport,
};

/// The longest wait for the answer of one replica.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before all replicas are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// How often all replicas are asked in turn before the client gives up.
const ROUNDS: usize = 20;

/// Why a request got no answer.
#[derive(Debug, Display)]
pub enum ClientError {
    /// no control replica answered as leader; the last one said: {0}
    Unreachable(String),
    /// the control replica refused the request: {0}
    Api(ApiError),
}

impl std::error::Error for ClientError {}

/// What one replica said.
enum Reply<T> {
    Answer(T),
    /// Another replica may answer.
    Next(String),
    Refused(ApiError),
}

/// A client that knows the addresses of several control replicas and finds the leader.
///
/// A request is sent again to the next replica until one answers as leader. That is safe: reads
/// change nothing, and edits carry an identity by which a resend gets the first answer.
#[derive(Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: Token,
    http: Client<HttpConnector, Full<Bytes>>,
    preferred: AtomicUsize,
    rounds: usize,
}

impl OperatorClient {
    /// Creates a client of the control replicas at the given operators' addresses.
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, token: Token) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        connector.set_nodelay(true);
        let http = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            addresses,
            token,
            http,
            preferred: AtomicUsize::new(0),
            rounds: ROUNDS,
        }
    }

    /// Sets how often all replicas are asked in turn before the client gives up.
    #[must_use]
    pub const fn with_rounds(mut self, rounds: usize) -> Self {
        self.rounds = rounds;
        self
    }

    /// Asks for the state of the system.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn status(&self) -> Result<StatusReport, ClientError> {
        self.get("/v1/status").await
    }

    /// Asks for the two tables.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn tables(&self) -> Result<TablesReport, ClientError> {
        self.get("/v1/tables").await
    }

    /// Asks for the moves.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn moves(&self) -> Result<MovesReport, ClientError> {
        self.get("/v1/moves").await
    }

    /// Asks for the backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn members(&self) -> Result<MembersReport, ClientError> {
        self.get("/v1/members").await
    }

    /// Asks for the service-level burn.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn burn(&self) -> Result<BurnReport, ClientError> {
        self.get("/v1/burn").await
    }

    /// Compares tables with the present ones and changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn check(&self, tables: &Value) -> Result<CheckReport, ClientError> {
        self.post("/v1/check", tables).await
    }

    /// Replaces the tables.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers; then the edit may or may not take effect, and can
    /// be sent again under the same identity.
    pub async fn edit(&self, req: &EditRequest) -> Result<EditReport, ClientError> {
        self.post("/v1/edits", req).await
    }

    /// Cancels a move.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn cancel(&self, id: MoveId) -> Result<CancelReport, ClientError> {
        self.post(&format!("/v1/moves/{id}/cancel"), &Value::Null)
            .await
    }

    /// Changes the set of control replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers or the change is refused.
    pub async fn change_replicas(
        &self,
        change: &ReplicaChange,
    ) -> Result<StatusReport, ClientError> {
        self.post("/v1/replicas", change).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        self.ask(Method::GET, path, Bytes::new()).await
    }

    async fn post<Q: Serialize + Sync, T: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(message).map_err(|error| {
            ClientError::Api(ApiError::new(ApiErrorKind::BadRequest, error.to_string()))
        })?;
        self.ask(Method::POST, path, Bytes::from(body)).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let mut last = "no address is known".to_owned();
        let count = self.addresses.len();
        for round in 0..self.rounds {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            let first = self.preferred.load(Ordering::Relaxed);
            for at in (0..count).map(|offset| (first + offset) % count) {
                match self
                    .ask_one(self.addresses[at], &method, path, body.clone())
                    .await
                {
                    Reply::Answer(answer) => {
                        self.preferred.store(at, Ordering::Relaxed);
                        return Ok(answer);
                    }
                    Reply::Refused(error) => return Err(ClientError::Api(error)),
                    Reply::Next(said) => last = format!("{}: {said}", self.addresses[at]),
                }
            }
        }
        Err(ClientError::Unreachable(last))
    }

    async fn ask_one<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Reply<T> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if let Some(bearer) = self.token.bearer() {
            req = req.header(header::AUTHORIZATION, bearer);
        }
        let req = match req.body(Full::new(body)) {
            Ok(req) => req,
            Err(error) => {
                return Reply::Refused(ApiError::new(ApiErrorKind::BadRequest, error.to_string()));
            }
        };
        let exchange = async {
            let res = self
                .http
                .request(req)
                .await
                .map_err(|error| error.to_string())?;
            let status = res.status();
            let body = Limited::new(res.into_body(), MAX_BODY_BYTES)
                .collect()
                .await;
            let body = body.map_err(|error| error.to_string())?.to_bytes();
            Ok::<_, String>((status, body))
        };
        match tokio::time::timeout(ANSWER_TIMEOUT, exchange).await {
            Err(_) => Reply::Next("no answer within the timeout".to_owned()),
            Ok(Err(error)) => Reply::Next(error),
            Ok(Ok((status, body))) if status.is_success() => match serde_json::from_slice(&body) {
                Ok(answer) => Reply::Answer(answer),
                Err(error) => Reply::Next(format!("the answer cannot be read: {error}")),
            },
            Ok(Ok((status, body))) => read_error(status, &body),
        }
    }
}

fn read_error<T>(status: http::StatusCode, body: &[u8]) -> Reply<T> {
    match serde_json::from_slice::<ApiError>(body) {
        Ok(error) => match error.kind {
            ApiErrorKind::NotLeader | ApiErrorKind::Unknown | ApiErrorKind::Internal => {
                Reply::Next(error.message)
            }
            ApiErrorKind::BadRequest | ApiErrorKind::Unauthorized | ApiErrorKind::NotFound => {
                Reply::Refused(error)
            }
        },
        Err(_) => Reply::Next(format!("HTTP status {status}")),
    }
}
