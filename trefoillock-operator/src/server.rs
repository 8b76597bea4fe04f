//! The HTTP server of the operator API. It checks the token, decodes the requests and passes them
//! to an [`OperatorService`].

use std::{future::Future, sync::Arc};

use http_body_util::{BodyExt, Limited};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{
    ConfigVersion, DataCentre, Edit, EditAnswer, EditRefusal, Error, Peer, RawTables, Step,
    TableErrors, Tables,
};
use trefoillock_rpc::Token;
use viz::{Request, RequestExt, Response, ResponseExt, Router, StatusCode, header};

use crate::{
    ApiError, ApiErrorKind, CheckReport, EditReport, EditRequest, OperatorService,
    messages::parse_move_id,
};

/// The maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// The state that all request handlers share: the service, and the token that requests must carry.
#[derive(Clone)]
struct ServerState {
    service: Arc<dyn OperatorService>,
    token: Token,
}

/// Serves the operator API on a listening socket until `stop` is cancelled and the requests in
/// flight have ended.
///
/// # Errors
///
/// Returns an error if the socket fails.
pub async fn serve(
    listener: TcpListener,
    service: Arc<dyn OperatorService>,
    token: Token,
    stop: CancellationToken,
) -> Result<(), Error> {
    let address = listener
        .local_addr()
        .map_or_else(|_| "?".to_owned(), |addr| addr.to_string());
    let router = router(&ServerState { service, token });
    viz::serve(listener, router)
        .signal(stop.cancelled_owned())
        .await
        .map_err(|error| Error::new(Step::Listen, Peer::Operator(address), error))
}

fn router(state: &ServerState) -> Router {
    Router::new()
        .get(
            "/v1/status",
            handler(
                state,
                |state, _| async move { state.service.status().await },
            ),
        )
        .get(
            "/v1/tables",
            handler(
                state,
                |state, _| async move { state.service.tables().await },
            ),
        )
        .get(
            "/v1/workspaces",
            handler(
                state,
                |state, _| async move { state.service.workspaces().await },
            ),
        )
        .post(
            "/v1/check",
            handler(state, |state, req| async move { check(&state, req).await }),
        )
        .post(
            "/v1/edits",
            handler(state, |state, req| async move { edit(&state, req).await }),
        )
        .get(
            "/v1/moves",
            handler(state, |state, _| async move { state.service.moves().await }),
        )
        .get(
            "/v1/rollouts",
            handler(
                state,
                |state, _| async move { state.service.rollouts().await },
            ),
        )
        .post(
            "/v1/moves/:id/cancel",
            handler(state, |state, req| async move { cancel(&state, req).await }),
        )
        .get(
            "/v1/evacuations",
            handler(state, |state, _| async move {
                state.service.evacuations().await
            }),
        )
        .post(
            "/v1/evacuations/:data_centre/start",
            handler(state, |state, req| async move {
                let data_centre = read_data_centre(&req)?;
                state.service.start_evacuation(data_centre).await
            }),
        )
        .post(
            "/v1/evacuations/:data_centre/finish",
            handler(state, |state, req| async move {
                let data_centre = read_data_centre(&req)?;
                state.service.finish_evacuation(data_centre).await
            }),
        )
        .get(
            "/v1/members",
            handler(
                state,
                |state, _| async move { state.service.members().await },
            ),
        )
        .get(
            "/v1/burn",
            handler(state, |state, _| async move { state.service.burn().await }),
        )
        .post(
            "/v1/replicas",
            handler(state, |state, req| async move {
                let change = read_json(req).await?;
                state.service.change_replicas(change).await
            }),
        )
}

/// Wraps a request handler: checks the token before the call and encodes the result or the error as
/// JSON after it.
fn handler<F, R, T>(
    state: &ServerState,
    handle: F,
) -> impl Fn(Request) -> futures::future::BoxFuture<'static, viz::Result<Response>>
+ Clone
+ Send
+ Sync
+ 'static
where
    F: Fn(ServerState, Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<T, ApiError>> + Send + 'static,
    T: Serialize + Send + 'static,
{
    let state = state.clone();
    move |req| {
        let (state, handle) = (state.clone(), handle.clone());
        Box::pin(async move {
            let bearer = req.headers().get(header::AUTHORIZATION);
            let reply = if state
                .token
                .allows(bearer.map(header::HeaderValue::as_bytes))
            {
                handle(state, req).await
            } else {
                Err(ApiError::new(
                    ApiErrorKind::Unauthorized,
                    "the token is missing or wrong",
                ))
            };
            Ok(encode_reply(reply))
        })
    }
}

fn encode_reply<T: Serialize>(reply: Result<T, ApiError>) -> Response {
    let reply = reply.and_then(|reply| {
        Response::json(reply)
            .map_err(|error| ApiError::new(ApiErrorKind::Internal, error.to_string()))
    });
    match reply {
        Ok(res) => res,
        Err(error) => {
            let status = StatusCode::from_u16(error.kind.status());
            let mut res = Response::json(error).unwrap_or_default();
            *res.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            res
        }
    }
}

async fn read_json<T: DeserializeOwned>(mut req: Request) -> Result<T, ApiError> {
    let bad_request = |message: String| ApiError::new(ApiErrorKind::BadRequest, message);
    let body = req
        .incoming()
        .map_err(|error| bad_request(error.to_string()))?;
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| bad_request(format!("the body cannot be read: {error}")))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| bad_request(format!("the body is not the expected JSON: {error}")))
}

fn read_tables(value: &serde_json::Value) -> Result<Tables, TableErrors> {
    RawTables::from_value(value).and_then(Tables::try_from)
}

async fn check(state: &ServerState, req: Request) -> Result<CheckReport, ApiError> {
    let value = read_json(req).await?;
    match read_tables(&value) {
        Ok(tables) => state.service.check(tables).await,
        Err(errors) => Ok(CheckReport {
            errors: Some(errors),
            difference: None,
            tables_version: ConfigVersion::ZERO,
        }),
    }
}

async fn edit(state: &ServerState, req: Request) -> Result<EditReport, ApiError> {
    let req: EditRequest = read_json(req).await?;
    let tables = match read_tables(&req.tables) {
        Ok(tables) => tables,
        Err(errors) => {
            return Ok(EditReport {
                answer: EditAnswer::Refused(EditRefusal::Invalid(errors)),
            });
        }
    };
    let at = state.service.now();
    state
        .service
        .edit(Edit {
            id: req.id,
            base: req.base,
            tables,
            at,
        })
        .await
}

async fn cancel(state: &ServerState, req: Request) -> Result<crate::CancelReport, ApiError> {
    let id = req
        .param::<String>("id")
        .ok()
        .and_then(|id| parse_move_id(&id));
    match id {
        Some(id) => state.service.cancel(id).await,
        None => Err(ApiError::new(
            ApiErrorKind::BadRequest,
            "the move's identity is a number",
        )),
    }
}

fn read_data_centre(req: &Request) -> Result<DataCentre, ApiError> {
    let name = req.param::<String>("data_centre").unwrap_or_default();
    DataCentre::try_from(name)
        .map_err(|error| ApiError::new(ApiErrorKind::BadRequest, error.to_string()))
}
