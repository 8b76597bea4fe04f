//! HTTP interface for announcements, drains and load reports of the local backend servers.

use std::{future::IntoFuture, net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{Announcement, Error, MemberState, Peer, Step};
use viz::{
    IntoResponse, Request, RequestExt, RequestLimitsExt, Response, ResponseExt, Router,
    middleware::limits, types::State,
};

use crate::{AnnounceError, BackendRegistry, LoadReport};

/// Body of `PUT /announcement`.
#[derive(Debug, Deserialize)]
struct AnnounceRequest {
    #[serde(flatten)]
    announcement: Announcement,
    /// The time for which the backend server stays cold, in seconds.
    #[serde(default)]
    warm_up_left_s: Option<f64>,
}

/// Body of `POST /drain`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainRequest {
    address: SocketAddr,
}

/// Body of `POST /load`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadRequest {
    address: SocketAddr,
    #[serde(flatten)]
    load: LoadReport,
}

/// Serves the interface and removes expired leases until `stop` is cancelled.
///
/// # Errors
///
/// Returns an error if the listening socket fails.
pub async fn serve(
    listener: TcpListener,
    registry: Arc<BackendRegistry>,
    stop: CancellationToken,
) -> Result<(), Error> {
    let address = listener
        .local_addr()
        .map_or_else(|_| "?".to_owned(), |addr| addr.to_string());
    let router = Router::new()
        .put("/announcement", announce)
        .post("/announcement", announce)
        .post("/drain", drain)
        .post("/load", report_load)
        .with(limits::Config::default())
        .with(State::new(registry.clone()));
    let signal = stop.clone().cancelled_owned();
    let serving = viz::serve(listener, router).signal(signal).into_future();
    let (result, ()) = tokio::join!(serving, registry.watch_leases(stop));
    result.map_err(|error| Error::new(Step::Listen, Peer::Platform(address), error))
}

/// Handles `PUT` and `POST /announcement`.
async fn announce(mut req: Request) -> viz::Result<Response> {
    let body: AnnounceRequest = req.json_with_limit().await?;
    let left = body.warm_up_left_s.map(Duration::try_from_secs_f64);
    let Ok(left) = left.transpose() else {
        return Err(StatusCode::UNPROCESSABLE_ENTITY.into_error());
    };
    let registry = backend_registry(&req)?;
    let (is_leaving, address) = (
        body.announcement.state == MemberState::Draining,
        body.announcement.address,
    );
    let mut result = registry.announce_with_warm_up(body.announcement, left);
    if is_leaving && result.is_ok() {
        result = registry.drain_and_record(address).await;
    }
    respond(result)
}

/// Handles `POST /drain`.
async fn drain(mut req: Request) -> viz::Result<Response> {
    let drain: DrainRequest = req.json_with_limit().await?;
    let registry = backend_registry(&req)?;
    respond(registry.drain_and_record(drain.address).await)
}

/// Handles `POST /load`.
async fn report_load(mut req: Request) -> viz::Result<Response> {
    let report: LoadRequest = req.json_with_limit().await?;
    respond(backend_registry(&req)?.report_load(report.address, report.load))
}

fn backend_registry(req: &Request) -> viz::Result<Arc<BackendRegistry>> {
    req.state::<Arc<BackendRegistry>>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

#[expect(clippy::unnecessary_wraps, reason = "handlers return results")]
fn respond(result: Result<(), AnnounceError>) -> viz::Result<Response> {
    let Err(error) = result else {
        return Ok(StatusCode::NO_CONTENT.into_response());
    };
    let status = match error {
        AnnounceError::NoCapacity => StatusCode::UNPROCESSABLE_ENTITY,
        AnnounceError::Unknown(_) => StatusCode::NOT_FOUND,
        AnnounceError::TooMany => StatusCode::TOO_MANY_REQUESTS,
        AnnounceError::DepartureNotRecorded => StatusCode::SERVICE_UNAVAILABLE,
        AnnounceError::LowerIncarnation { .. }
        | AnnounceError::AddressClash { .. }
        | AnnounceError::DrainReverted(_) => StatusCode::CONFLICT,
    };
    let mut resp = Response::text(error.to_string());
    *resp.status_mut() = status;
    Ok(resp)
}
