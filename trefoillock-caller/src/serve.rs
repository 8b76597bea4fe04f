//! The listener for the calls of callers.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use trefoillock_node::{NodeContext, ServerLimits, serve_http};

use crate::CallHandler;

/// Serves calls until `stop` is cancelled and all calls in flight have ended.
pub async fn serve(listener: TcpListener, cx: Arc<NodeContext>, stop: CancellationToken) {
    let tasks = cx.tasks().clone();
    let handler = Arc::new(CallHandler::new(cx));
    let handler = move |req| {
        let handler = handler.clone();
        async move { handler.handle(req).await }
    };
    serve_http(listener, ServerLimits::default, handler, stop).await;
    tasks.close();
    tasks.wait().await;
}
