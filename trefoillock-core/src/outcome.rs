//! How a call ended, and the headers that report it.

use trefoillock_macros::data;

/// The names of the headers that trefoillock reads and writes, in lower case.
pub mod headers {
    /// How the call ended: `answered`, `did-not-run` or `may-have-run`.
    pub const OUTCOME: &str = "trefoillock-outcome";
    /// The reason why the call was not answered, as [`RefusalReason::as_str`] returns it.
    ///
    /// [`RefusalReason::as_str`]: super::RefusalReason::as_str
    pub const REASON: &str = "trefoillock-reason";
    /// The time that the caller still waits for the answer, in milliseconds.
    pub const DEADLINE_MS: &str = "trefoillock-deadline-ms";
    /// Identifies a posting; every retry of it carries the same key.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// A tag of the route of a call that one node forwards to another.
    pub const ROUTE: &str = "trefoillock-route";
    /// The pool of a call that one node forwards to another.
    pub const POOL: &str = "trefoillock-pool";
    /// The shared secret on calls between nodes.
    pub const TOKEN: &str = "trefoillock-token";
    /// To a backend server: identifies the call on its connection. A response that names another
    /// call does not belong to it.
    pub const CALL: &str = "trefoillock-call";
    /// From a backend server: the calls per second that it takes from all nodes together, a decimal
    /// number.
    pub const LIMIT: &str = "trefoillock-limit";
    /// From a backend server: `1` if it leaves and takes no new calls.
    pub const LEAVING: &str = "trefoillock-leaving";
    /// The time for which a backend server stays cold, in milliseconds, in responses to health checks.
    pub const WARM_UP_MS: &str = "trefoillock-warm-up-ms";
    /// The load of a backend server as it states it: running calls, waiting calls, slots and, if it
    /// knows, how long work currently takes in percent of the usual time.
    pub const SERVER_LOAD: &str = "trefoillock-server-load";
    /// To a backend server: the workspace whose key the caller sent. Only nodes set it.
    pub const WORKSPACE: &str = "trefoillock-workspace";
}

/// How a call ended.
#[data(key)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The backend server answered and the caller received the whole answer.
    Answered,
    /// The call was refused before any byte of it could reach a backend server, or the backend
    /// server refused it before running it.
    DidNotRun,
    /// No complete answer arrived, and it is unknown whether the call ran.
    MayHaveRun,
}

impl Outcome {
    /// The name of the outcome in headers and reports.
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
    /// No route matches the call.
    NoRoute,
    /// No backend server of the pool accepts new calls.
    NoServer,
    /// No slot or connection was available in time, or the guards could store no more keys.
    Overloaded,
    /// The backend server takes calls at a limited rate, and no turn comes in time.
    RateLimited,
    /// The link of the destination's VM is full, so that the response would come too late.
    LinkFull,
    /// The version of the backend server is being rolled out and may get no more calls for now.
    AllowanceSpent,
    /// The data centre of the backend server is evacuated.
    Evacuated,
    /// The route needs a key, and no workspace has the key that the call carries.
    UnknownKey,
    /// The workspace has sent all calls that its quota allows for now.
    QuotaExceeded,
    /// No keeper of the workspace's quota could be reached.
    QuotaUnavailable,
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
    /// A call with the same idempotency key is running.
    InProgress,
    /// A call with the same idempotency key has already run.
    AlreadyRun,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// It is unknown whether a call with the same idempotency key has already run.
    KeyUnknown,
    /// The connection to the backend server broke after the call was sent.
    ConnectionLost,
    /// The request is malformed or exceeds a limit.
    BadRequest,
    /// The node has no configuration yet.
    NotReady,
    /// The backend server sent a response that cannot belong to the call.
    SpoiledAnswer,
    /// The backend server answered with a server error.
    ServerError,
}

impl RefusalReason {
    /// The name of the reason in headers, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoRoute => "no-route",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::RateLimited => "rate-limited",
            Self::LinkFull => "link-full",
            Self::AllowanceSpent => "allowance-spent",
            Self::Evacuated => "evacuated",
            Self::UnknownKey => "unknown-key",
            Self::QuotaExceeded => "quota-exceeded",
            Self::QuotaUnavailable => "quota-unavailable",
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

    /// The HTTP status of a response that reports this reason.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::QuotaExceeded => 429,
            Self::InProgress | Self::AlreadyRun | Self::KeyUnknown => 409,
            Self::KeyReused => 422,
            Self::Quarantined => 403,
            Self::ConnectionLost | Self::SpoiledAnswer | Self::ServerError => 502,
            Self::Deadline => 504,
            Self::NoServer
            | Self::Overloaded
            | Self::RateLimited
            | Self::LinkFull
            | Self::AllowanceSpent
            | Self::Evacuated
            | Self::QuotaUnavailable
            | Self::Unreachable
            | Self::Draining
            | Self::RefusedByServer
            | Self::NotReady => 503,
        }
    }
}
