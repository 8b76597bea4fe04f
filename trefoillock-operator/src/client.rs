//! The client of the operator API.

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
use trefoillock_core::{DataCentre, MoveId};
use trefoillock_rpc::Token;

use crate::{
    ApiError, ApiErrorKind, BurnReport, CancelReport, CheckReport, EditReport, EditRequest,
    EvacuationsReport, MAX_BODY_BYTES, MembersReport, MovesReport, ReplicaChange, RolloutsReport,
    StatusReport, TablesReport, WorkspacesReport,
};

/// The longest wait for the answer of one replica.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause before the next round over all replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// The number of rounds over all replicas before the client gives up.
const ROUNDS: usize = 20;

/// Why a request failed.
#[derive(Debug, Display)]
pub enum ClientError {
    /// no control replica answered as leader; the last one said: {0}
    Unreachable(String),
    /// the control replica refused the request: {0}
    Api(ApiError),
}

impl std::error::Error for ClientError {}

/// The result of sending a request to one replica.
enum Attempt<T> {
    Answer(T),
    /// This replica did not answer as leader, for the given reason; another one may.
    TryNext(String),
    Refused(ApiError),
}

/// A client that is given the addresses of the control replicas and finds the leader among them.
///
/// A request is sent to one replica after the other until one answers as leader. Resending is safe:
/// reads change nothing, and an edit carries an identity, so that a resend of an edit that already
/// took effect returns the first answer.
/// A cancellation or a change of the replicas that already took effect is not applied again, but its
/// resend is answered with [`CancelAnswer::AlreadyEnded`](trefoillock_store::CancelAnswer) or
/// refused.
#[derive(Debug)]
pub struct OperatorClient {
    addresses: Vec<SocketAddr>,
    token: Token,
    http: Client<HttpConnector, Full<Bytes>>,
    last_leader: AtomicUsize,
    rounds: usize,
}

impl OperatorClient {
    /// Creates a client of the control replicas whose operator APIs listen on the given addresses.
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
            last_leader: AtomicUsize::new(0),
            rounds: ROUNDS,
        }
    }

    /// Sets the number of rounds over all replicas before the client gives up.
    #[must_use]
    pub const fn with_rounds(mut self, rounds: usize) -> Self {
        self.rounds = rounds;
        self
    }

    /// Returns the state of the system.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn status(&self) -> Result<StatusReport, ClientError> {
        self.get("/v1/status").await
    }

    /// Returns the tables, with the keys of workspaces.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn tables(&self) -> Result<TablesReport, ClientError> {
        self.get("/v1/tables").await
    }

    /// Returns the workspaces, without their keys.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn workspaces(&self) -> Result<WorkspacesReport, ClientError> {
        self.get("/v1/workspaces").await
    }

    /// Returns the latest rollout of each service.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn rollouts(&self) -> Result<RolloutsReport, ClientError> {
        self.get("/v1/rollouts").await
    }

    /// Returns the running moves and the recently ended ones.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn moves(&self) -> Result<MovesReport, ClientError> {
        self.get("/v1/moves").await
    }

    /// Returns the known backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn members(&self) -> Result<MembersReport, ClientError> {
        self.get("/v1/members").await
    }

    /// Returns the service-level burn by route and class.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn burn(&self) -> Result<BurnReport, ClientError> {
        self.get("/v1/burn").await
    }

    /// Validates tables and compares them with the current ones, without changing anything.
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
    /// Returns an error if no leader answers. The edit may or may not take effect then, and can be
    /// sent again with the same identity.
    pub async fn edit(&self, req: &EditRequest) -> Result<EditReport, ClientError> {
        self.post("/v1/edits", req).await
    }

    /// Cancels a move, so that its route returns to the old pool.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn cancel(&self, id: MoveId) -> Result<CancelReport, ClientError> {
        self.post(&format!("/v1/moves/{id}/cancel"), &Value::Null)
            .await
    }

    /// Returns the evacuated data centres.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers.
    pub async fn evacuations(&self) -> Result<EvacuationsReport, ClientError> {
        self.get("/v1/evacuations").await
    }

    /// Evacuates a data centre and returns the evacuations after it.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers or the data centre is unknown.
    pub async fn start_evacuation(
        &self,
        data_centre: &DataCentre,
    ) -> Result<EvacuationsReport, ClientError> {
        self.post(
            &format!("/v1/evacuations/{data_centre}/start"),
            &Value::Null,
        )
        .await
    }

    /// Readmits a data centre and returns the evacuations after it.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers or the data centre is unknown.
    pub async fn finish_evacuation(
        &self,
        data_centre: &DataCentre,
    ) -> Result<EvacuationsReport, ClientError> {
        self.post(
            &format!("/v1/evacuations/{data_centre}/finish"),
            &Value::Null,
        )
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
        self.request(Method::GET, path, Bytes::new()).await
    }

    async fn post<Q: Serialize + Sync, T: DeserializeOwned>(
        &self,
        path: &str,
        message: &Q,
    ) -> Result<T, ClientError> {
        let body = serde_json::to_vec(message).map_err(|error| {
            ClientError::Api(ApiError::new(ApiErrorKind::BadRequest, error.to_string()))
        })?;
        self.request(Method::POST, path, Bytes::from(body)).await
    }

    async fn request<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, ClientError> {
        let mut last_error = "no address is known".to_owned();
        let count = self.addresses.len();
        for round in 0..self.rounds {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            let first = self.last_leader.load(Ordering::Relaxed);
            for at in (0..count).map(|offset| (first + offset) % count) {
                match self
                    .request_from(self.addresses[at], &method, path, body.clone())
                    .await
                {
                    Attempt::Answer(answer) => {
                        self.last_leader.store(at, Ordering::Relaxed);
                        return Ok(answer);
                    }
                    Attempt::Refused(error) => return Err(ClientError::Api(error)),
                    Attempt::TryNext(reason) => {
                        last_error = format!("{}: {reason}", self.addresses[at]);
                    }
                }
            }
        }
        Err(ClientError::Unreachable(last_error))
    }

    async fn request_from<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Attempt<T> {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"));
        if let Some(bearer) = self.token.bearer() {
            req = req.header(header::AUTHORIZATION, bearer);
        }
        let req = match req.body(Full::new(body)) {
            Ok(req) => req,
            Err(error) => {
                return Attempt::Refused(ApiError::new(
                    ApiErrorKind::BadRequest,
                    error.to_string(),
                ));
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
            Err(_) => Attempt::TryNext("no answer within the timeout".to_owned()),
            Ok(Err(error)) => Attempt::TryNext(error),
            Ok(Ok((status, body))) if status.is_success() => match serde_json::from_slice(&body) {
                Ok(answer) => Attempt::Answer(answer),
                Err(error) => Attempt::TryNext(format!("the answer cannot be read: {error}")),
            },
            Ok(Ok((status, body))) => classify_error(status, &body),
        }
    }
}

fn classify_error<T>(status: http::StatusCode, body: &[u8]) -> Attempt<T> {
    match serde_json::from_slice::<ApiError>(body) {
        Ok(error) => match error.kind {
            ApiErrorKind::NotLeader | ApiErrorKind::Unknown | ApiErrorKind::Internal => {
                Attempt::TryNext(error.message)
            }
            ApiErrorKind::BadRequest | ApiErrorKind::Unauthorized | ApiErrorKind::NotFound => {
                Attempt::Refused(error)
            }
        },
        Err(_) => Attempt::TryNext(format!("HTTP status {status}")),
    }
}
