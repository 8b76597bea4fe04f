//! The baseline proxy that calls are measured against: it picks backend servers round robin,
//! retries after any failure and has no protection against running a posting twice.

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
use trefoillock_backend::{Body, box_body, full_body};
use trefoillock_node::{ServerLimits, serve_http};

/// The maximum number of attempts for one call.
const MAX_ATTEMPTS: usize = 3;
/// The timeout of one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);

/// A proxy that sends each call to the next backend server, and retries on the one after it if
/// the attempt fails in any way. It runs on its own worker thread and stops when it is dropped.
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
    /// Returns an error if the socket or the runtime cannot be created.
    pub fn start(servers: Vec<SocketAddr>) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()?;
        let runtime_guard = runtime.enter();
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
        drop(runtime_guard);
        Ok(Self {
            address,
            runtime: Some(runtime),
        })
    }

    /// The address that callers connect to.
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
        for _ in 0..MAX_ATTEMPTS {
            let Some(req) = self.request(&parts, &body) else {
                return refuse(StatusCode::BAD_REQUEST);
            };
            match tokio::time::timeout(ATTEMPT_TIMEOUT, self.client.request(req)).await {
                Ok(Ok(resp)) if !resp.status().is_server_error() => return resp.map(box_body),
                _ => {}
            }
        }
        refuse(StatusCode::SERVICE_UNAVAILABLE)
    }

    fn request(&self, parts: &Parts, body: &Bytes) -> Option<Request<Full<Bytes>>> {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.servers.len().max(1);
        let server = self.servers.get(index)?;
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
    let mut resp = Response::new(full_body("the service is not available\n"));
    *resp.status_mut() = status;
    resp
}
