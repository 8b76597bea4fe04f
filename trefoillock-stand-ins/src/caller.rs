//! An HTTP caller that checks the answers it gets.
//!
//! The content of an answer is a function of the request's target, so the caller can tell whether
//! an answer is complete and belongs to its own request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use trefoillock_core::{Outcome, headers};

use crate::backend_server::{ANSWER_FOR, REQUEST_ID, content_byte, content_seed};

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The identity of the request, the same each time it is sent.
    pub id: String,
    /// The idempotency key; `None` sends no key.
    pub key: Option<String>,
    /// The request body.
    pub body: Bytes,
    /// The value of the deadline header, in milliseconds; `None` sends no such header.
    pub deadline_ms: Option<u64>,
    /// Further headers, in the order in which they are sent.
    pub headers: Vec<(&'static str, String)>,
}

impl CallerRequest {
    /// Creates a GET request without a body or key.
    #[must_use]
    pub fn get(target: impl Into<String>, id: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            id: id.into(),
            key: None,
            body: Bytes::new(),
            deadline_ms: None,
            headers: Vec::new(),
        }
    }

    /// Creates a POST request with a body and no key.
    #[must_use]
    pub fn post(target: impl Into<String>, id: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: Method::POST,
            body: body.into(),
            ..Self::get(target, id)
        }
    }

    /// Sets the idempotency key.
    #[must_use]
    pub fn key(mut self, key: impl Into<String>) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Adds a header. Several headers may have the same name.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the value of the deadline header, in milliseconds.
    #[must_use]
    pub const fn deadline_ms(mut self, millis: u64) -> Self {
        self.deadline_ms = Some(millis);
        self
    }

    fn build(&self, address: SocketAddr) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.target))
            .header(REQUEST_ID, &self.id);
        if let Some(key) = &self.key {
            req = req.header(headers::IDEMPOTENCY_KEY, key);
        }
        if let Some(millis) = self.deadline_ms {
            req = req.header(headers::DEADLINE_MS, millis);
        }
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        req.body(Full::new(self.body.clone()))
    }
}

/// What a caller observed of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallReport {
    /// The status, or `None` if no response head arrived.
    pub status: Option<StatusCode>,
    /// The outcome from the response head, or may-have-run if the body was truncated or no
    /// response arrived.
    pub outcome: Outcome,
    /// The value of the reason header, if the response has one.
    pub reason: Option<String>,
    /// The number of body bytes received.
    pub bytes: u64,
    /// Whether the connection failed in the middle of the body.
    pub truncated: bool,
    /// Whether the content of an answer is wrong: it belongs to another request, or its length is
    /// wrong although the body seemed complete.
    pub wrong: bool,
}

/// An HTTP client that makes calls to any address.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller that speaks HTTP/1.1 and gives up after a timeout.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        Self::build(timeout, false)
    }

    /// Creates a caller that speaks HTTP/2 with prior knowledge and gives up after a timeout.
    #[must_use]
    pub fn http2(timeout: Duration) -> Self {
        Self::build(timeout, true)
    }

    fn build(timeout: Duration, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .http2_only(http2)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, timeout }
    }

    /// Makes a call and checks the answer.
    pub async fn call(&self, address: SocketAddr, request: &CallerRequest) -> CallReport {
        let Ok(req) = request.build(address) else {
            return no_answer();
        };
        let exchange = async {
            match self.client.request(req).await {
                Ok(resp) => read_response(resp, request).await,
                Err(_) => no_answer(),
            }
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .unwrap_or_else(|_| no_answer())
    }
}

/// The report of a call whose response head did not arrive.
const fn no_answer() -> CallReport {
    CallReport {
        status: None,
        outcome: Outcome::MayHaveRun,
        reason: None,
        bytes: 0,
        truncated: false,
        wrong: false,
    }
}

/// Reads the whole body and compares it with the content that the request's target implies.
async fn read_response(resp: Response<Incoming>, request: &CallerRequest) -> CallReport {
    let (parts, mut body) = resp.into_parts();
    let mut report = CallReport {
        status: Some(parts.status),
        outcome: header_outcome(&parts.headers),
        reason: header_text(&parts.headers, headers::REASON),
        ..no_answer()
    };
    let answered_id = header_text(&parts.headers, ANSWER_FOR);
    let seed = content_seed(&request.target);
    let has_content = parts.status.is_success();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            report.truncated = true;
            report.outcome = Outcome::MayHaveRun;
            return report;
        };
        for byte in frame.data_ref().into_iter().flatten() {
            report.wrong |= has_content && *byte != content_byte(seed, report.bytes);
            report.bytes += 1;
        }
    }
    if has_content {
        // An answer that the guards stored and replay has no headers of the backend server.
        let is_stored = answered_id.is_none() && report.reason.as_deref() == Some("already-run");
        report.wrong |= !is_stored && answered_id.as_deref() != Some(&*request.id);
        report.wrong |= report.bytes != expected_bytes(&request.target);
    }
    report
}

/// The outcome in the response headers; a response without the outcome header counts as answered.
fn header_outcome(map: &HeaderMap) -> Outcome {
    match header_text(map, headers::OUTCOME).as_deref() {
        Some("did-not-run") => Outcome::DidNotRun,
        Some("may-have-run") => Outcome::MayHaveRun,
        _ => Outcome::Answered,
    }
}

fn expected_bytes(target: &str) -> u64 {
    let (_, query) = target.split_once('?').unwrap_or_default();
    let bytes = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("bytes="));
    bytes.and_then(|text| text.parse().ok()).unwrap_or(64)
}

fn header_text(map: &HeaderMap, name: &str) -> Option<String> {
    Some(map.get(name)?.to_str().ok()?.to_owned())
}
