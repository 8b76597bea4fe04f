//! The baseline of the measurements of calls: round robin, a retry on any failure, no guard.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri, request::Parts};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use tokio::{net::TcpListener, runtime::Runtime};
use tokio_util::sync::CancellationToken;
use trefoillock_backend::{Body, box_body, text_body};
use trefoillock_node::{ServerLimits, serve_http};

/// The attempts of one call.
const ATTEMPTS: usize = 3;
/// The time after which an attempt is given up.
const TIMEOUT: Duration = Duration::from_millis(300);

/// A proxy that sends each call to the next backend server, and to the one after that if it
/// fails in any way. It has one worker thread of its own, and ends when it is dropped.
#[derive(Debug)]
pub struct NaiveProxy {
    address: SocketAddr,
    runtime: Option<Runtime>,
}

impl NaiveProxy {
    /// Starts a proxy on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket or runtime can be had.
    pub fn start(servers: Vec<SocketAddr>) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let inside = runtime.enter();
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let address = listener.local_addr()?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        let proxy = Arc::new(Proxy {
            servers,
            next: AtomicUsize::new(0),
            client,
        });
        let handler = move |req| {
            let proxy = proxy.clone();
            async move { proxy.answer(req).await }
        };
        let limits = ServerLimits::default;
        runtime.spawn(serve_http(
            listener,
            limits,
            handler,
            CancellationToken::new(),
        ));
        drop(inside);
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// The address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for NaiveProxy {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

struct Proxy {
    servers: Vec<SocketAddr>,
    next: AtomicUsize,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Proxy {
    async fn answer(&self, req: Request<Incoming>) -> Response<Body> {
        let (parts, body) = req.into_parts();
        let Ok(body) = body.collect().await else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        let body = body.to_bytes();
        for _ in 0..ATTEMPTS {
            let Some(req) = self.request(&parts, &body) else {
                return refuse(StatusCode::BAD_REQUEST);
            };
            match tokio::time::timeout(TIMEOUT, self.client.request(req)).await {
                Ok(Ok(resp)) if !resp.status().is_server_error() => return resp.map(box_body),
                _ => {}
            }
        }
        refuse(StatusCode::SERVICE_UNAVAILABLE)
    }

    fn request(&self, parts: &Parts, body: &Bytes) -> Option<Request<Full<Bytes>>> {
        let at = self.next.fetch_add(1, Ordering::Relaxed) % self.servers.len().max(1);
        let server = self.servers.get(at)?;
        let target = parts.uri.path_and_query()?;
        let uri: Uri = format!("http://{server}{target}").parse().ok()?;
        let mut req = Request::new(Full::new(body.clone()));
        *req.method_mut() = parts.method.clone();
        *req.uri_mut() = uri;
        *req.headers_mut() = parts.headers.clone();
        Some(req)
    }
}

fn refuse(status: StatusCode) -> Response<Body> {
    let mut resp = Response::new(text_body("the service is not available\n"));
    *resp.status_mut() = status;
    resp
}
