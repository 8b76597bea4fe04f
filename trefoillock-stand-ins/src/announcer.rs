//! Announces a stand-in backend server to the node beside it, as a real backend server would.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::backend_server::BackendServer;

/// The time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Announces a backend server to a node periodically until it is drained or dropped.
pub struct Announcer {
    server: Arc<BackendServer>,
    node: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
    stop: CancellationToken,
}

impl Announcer {
    /// Starts announcing a backend server; `node` is the address of the node's backend interface.
    ///
    /// Must be called from within a tokio runtime.
    #[must_use]
    pub fn start(server: Arc<BackendServer>, node: SocketAddr) -> Self {
        let client = Client::builder(TokioExecutor::new()).build_http();
        let stop = CancellationToken::new();
        let announcer = Self {
            server,
            node,
            client,
            stop,
        };
        tokio::spawn(announce(
            announcer.server.clone(),
            announcer.client.clone(),
            node,
            announcer.stop.clone(),
        ));
        announcer
    }

    /// Tells the node that the backend server takes no new work, and stops announcing it.
    /// Returns whether the node answered with a success status.
    pub async fn drain(&self) -> bool {
        self.stop.cancel();
        let body = json!({ "address": self.server.address() }).to_string();
        send(&self.client, Method::POST, self.node, "/drain", body).await
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn announce(
    server: Arc<BackendServer>,
    client: Client<HttpConnector, Full<Bytes>>,
    node: SocketAddr,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let body = serde_json::to_string(&server.announcement()).unwrap_or_default();
        send(&client, Method::PUT, node, "/announcement", body).await;
        stop.run_until_cancelled(tokio::time::sleep(ANNOUNCE_INTERVAL))
            .await;
    }
}

/// Sends a message and returns whether the node answered with a success status within 1 s.
async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    method: Method,
    node: SocketAddr,
    path: &str,
    body: String,
) -> bool {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{node}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)));
    let Ok(req) = req else { return false };
    let sent = tokio::time::timeout(Duration::from_secs(1), client.request(req)).await;
    matches!(sent, Ok(Ok(res)) if res.status().is_success())
}
