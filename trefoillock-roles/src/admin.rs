//! The admin server: metrics, liveness and readiness.

use std::{
    future::IntoFuture,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_core::{Error, Peer, Step};
use viz::{Response, ResponseExt, Router, StatusCode, header};

use crate::metrics::Metrics;

/// The media type of OpenMetrics text.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The conditions under which the process is not ready.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// The node has no configuration yet that a live leader confirmed.
    pub(crate) node_lacks_config: AtomicBool,
    /// The control replica knows no leader.
    pub(crate) control_lacks_leader: AtomicBool,
    /// The graceful stop has begun.
    pub(crate) stopping: AtomicBool,
}

impl Health {
    /// Returns the first reason why the process is not ready, if any.
    pub(crate) fn not_ready_reason(&self) -> Option<&'static str> {
        if self.stopping.load(Ordering::Relaxed) {
            return Some("stopping\n");
        }
        if self.node_lacks_config.load(Ordering::Relaxed) {
            return Some("no confirmed configuration yet\n");
        }
        if self.control_lacks_leader.load(Ordering::Relaxed) {
            return Some("no leader is known\n");
        }
        None
    }
}

/// Serves `/metrics`, `/healthz` and `/readyz` until `stop` is cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    health: Arc<Health>,
    metrics: Arc<Metrics>,
    stop: CancellationToken,
) -> Result<(), Error> {
    let address = listener
        .local_addr()
        .map_or_else(|_| "?".to_owned(), |addr| addr.to_string());
    let router = Router::new()
        .get("/metrics", move |_| {
            let text = metrics.encode();
            async move {
                Ok::<_, viz::Error>(Response::with(Full::from(Bytes::from(text)), OPEN_METRICS))
            }
        })
        .get("/healthz", |_| async {
            Ok::<_, viz::Error>(Response::text("alive\n"))
        })
        .get("/readyz", move |_| {
            let reason = health.not_ready_reason();
            async move { Ok::<_, viz::Error>(readiness_response(reason)) }
        });
    viz::serve(listener, router)
        .signal(stop.cancelled_owned())
        .into_future()
        .await
        .map_err(|error| Error::new(Step::Listen, Peer::Platform(address), error))
}

fn readiness_response(reason: Option<&'static str>) -> Response {
    let Some(reason) = reason else {
        return Response::text("ready\n");
    };
    let mut res = Response::text(reason);
    *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    res.headers_mut()
        .insert(header::RETRY_AFTER, header::HeaderValue::from_static("1"));
    res
}
