//! A caller that checks its answers.

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

/// What a caller asks for.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The identity over all sends.
    pub id: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
    /// The time that the caller waits, told in the deadline header, in milliseconds.
    pub deadline_ms: Option<u64>,
}

impl CallerRequest {
    /// A request without a body.
    #[must_use]
    pub fn get(target: impl Into<String>, id: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            id: id.into(),
            key: None,
            body: Bytes::new(),
            deadline_ms: None,
        }
    }

    /// A posting with a body.
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

    /// Sets the time that the caller waits, in milliseconds.
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
        req.body(Full::new(self.body.clone()))
    }
}

/// What a caller saw of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The status, or `None` if no head of an answer came.
    pub status: Option<StatusCode>,
    /// The outcome: as the answer's head told it, or may-have-run if the answer was cut or none
    /// came.
    pub outcome: Outcome,
    /// The reason of a refusal.
    pub reason: Option<String>,
    /// The number of bytes of the body.
    pub bytes: u64,
    /// Whether the body was cut.
    pub cut: bool,
    /// Whether an answer that looked complete was not the caller's own or not whole.
    pub wrong: bool,
}

/// Makes calls to any HTTP address.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    patience: Duration,
}

impl Caller {
    /// Creates a caller that speaks HTTP/1.1, and gives up after a time.
    #[must_use]
    pub fn new(patience: Duration) -> Self {
        Self::build(patience, false)
    }

    /// Creates a caller that speaks HTTP/2 with prior knowledge.
    #[must_use]
    pub fn http2(patience: Duration) -> Self {
        Self::build(patience, true)
    }

    fn build(patience: Duration, http2: bool) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .http2_only(http2)
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, patience }
    }

    /// Makes a call and checks the answer.
    pub async fn call(&self, address: SocketAddr, request: &CallerRequest) -> Report {
        let Ok(req) = request.build(address) else {
            return no_answer();
        };
        let exchange = async {
            match self.client.request(req).await {
                Ok(resp) => read(resp, request).await,
                Err(_) => no_answer(),
            }
        };
        tokio::time::timeout(self.patience, exchange)
            .await
            .unwrap_or_else(|_| no_answer())
    }
}

/// The report of a call without the head of an answer.
const fn no_answer() -> Report {
    Report {
        status: None,
        outcome: Outcome::MayHaveRun,
        reason: None,
        bytes: 0,
        cut: false,
        wrong: false,
    }
}

async fn read(resp: Response<Incoming>, request: &CallerRequest) -> Report {
    let (parts, mut body) = resp.into_parts();
    let mut report = Report {
        status: Some(parts.status),
        outcome: told_outcome(&parts.headers),
        reason: text(&parts.headers, headers::REASON),
        ..no_answer()
    };
    let own = text(&parts.headers, ANSWER_FOR);
    let seed = content_seed(&request.target);
    let is_content = parts.status.is_success();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            report.cut = true;
            report.outcome = Outcome::MayHaveRun;
            return report;
        };
        for byte in frame.data_ref().into_iter().flatten() {
            report.wrong |= is_content && *byte != content_byte(seed, report.bytes);
            report.bytes += 1;
        }
    }
    if is_content {
        // An answer that was kept for a resend has no headers of the backend server.
        let is_kept = own.is_none() && report.reason.as_deref() == Some("already-run");
        report.wrong |= !is_kept && own.as_deref() != Some(&*request.id);
        report.wrong |= report.bytes != wanted_bytes(&request.target);
    }
    report
}

/// The outcome that the head tells; without our header any answer counts as such.
fn told_outcome(map: &HeaderMap) -> Outcome {
    match text(map, headers::OUTCOME).as_deref() {
        Some("did-not-run") => Outcome::DidNotRun,
        Some("may-have-run") => Outcome::MayHaveRun,
        _ => Outcome::Answered,
    }
}

fn wanted_bytes(target: &str) -> u64 {
    let (_, query) = target.split_once('?').unwrap_or_default();
    let bytes = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("bytes="));
    bytes.and_then(|text| text.parse().ok()).unwrap_or(64)
}

fn text(map: &HeaderMap, name: &str) -> Option<String> {
    Some(map.get(name)?.to_str().ok()?.to_owned())
}
