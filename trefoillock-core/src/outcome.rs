//! How a call ended, and the headers that tell it.

use trefoillock_macros::data;

/// The names of the headers that trefoillock reads and writes, in lower case.
pub mod headers {
    /// Tells a caller how the call ended: `answered`, `did-not-run` or `may-have-run`.
    pub const OUTCOME: &str = "trefoillock-outcome";
    /// Tells the reason of a refusal, as a stable word.
    pub const REASON: &str = "trefoillock-reason";
    /// The time that a caller still waits for the answer, in milliseconds.
    pub const DEADLINE_MS: &str = "trefoillock-deadline-ms";
    /// Identifies a posting over all its resends.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// The route that a call took, between nodes.
    pub const ROUTE: &str = "trefoillock-route";
    /// The pool that a call took, between nodes.
    pub const POOL: &str = "trefoillock-pool";
    /// The token of a call between nodes.
    pub const TOKEN: &str = "trefoillock-token";
}

/// How a call ended.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server answered and the caller got the whole answer.
    Answered,
    /// The call was refused before any byte of it could reach a backend server, or the backend
    /// server refused it before running it.
    DidNotRun,
    /// No answer came, and it cannot be proved that the call did not run.
    MayHaveRun,
}

impl Outcome {
    /// The text that names the outcome in headers and reports.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::DidNotRun => "did-not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

/// Why a call was not answered.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// No route holds the call.
    NoRoute,
    /// No backend server of the pool takes new work.
    NoServer,
    /// All slots and queues are full.
    Overloaded,
    /// The deadline passed.
    Deadline,
    /// The destination could not be reached.
    Unreachable,
    /// The backend server or its node is being stopped.
    Draining,
    /// The backend server refused the call before running it.
    RefusedByServer,
    /// The same request has crashed backend servers.
    Quarantined,
    /// The same idempotency key is being run.
    InProgress,
    /// The same idempotency key was already run.
    AlreadyRun,
    /// The same idempotency key came with another request.
    KeyReused,
    /// It cannot be proved that the idempotency key has not run.
    KeyUnknown,
    /// The connection to the backend server broke after the call was sent.
    ConnectionLost,
    /// The request is malformed or beyond a limit.
    BadRequest,
    /// The node has no configuration yet.
    NotReady,
    /// The backend server sent bytes that cannot be the answer to the call.
    SpoiledAnswer,
    /// The backend server answered with an error of its own.
    ServerError,
}

impl RefusalReason {
    /// The word that names the reason in headers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::Deadline => "deadline",
            Self::Unreachable => "unreachable",
            Self::Draining => "draining",
            Self::RefusedByServer => "refused-by-server",
            Self::Quarantined => "quarantined",
            Self::InProgress => "in-progress",
            Self::AlreadyRun => "already-run",
            Self::KeyReused => "key-reused",
            Self::KeyUnknown => "key-unknown",
            Self::ConnectionLost => "connection-lost",
            Self::BadRequest => "bad-request",
            Self::NotReady => "not-ready",
            Self::SpoiledAnswer => "spoiled-answer",
            Self::ServerError => "server-error",
        }
    }

    /// The HTTP status of an answer that tells this reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::BadRequest => 400,
            Self::InProgress | Self::AlreadyRun | Self::KeyUnknown => 409,
            Self::KeyReused => 422,
            Self::Quarantined => 403,
            Self::ConnectionLost | Self::SpoiledAnswer | Self::ServerError => 502,
            Self::Deadline => 504,
            Self::NoServer
            | Self::Overloaded
            | Self::Unreachable
            | Self::Draining
            | Self::RefusedByServer
            | Self::NotReady => 503,
        }
    }
}
