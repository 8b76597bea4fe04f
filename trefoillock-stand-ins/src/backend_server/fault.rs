//! Faults of a backend server at the steps of a call.

use std::{sync::Arc, time::Duration};

use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// A step of a call, as a backend server sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultStep {
    /// The connection has been accepted and nothing was read.
    Connected,
    /// The head and half of the body of the request were read.
    HalfRequest,
    /// The whole request was read, and the call has run.
    RequestSent,
    /// The head of the answer was sent.
    HeadSent,
    /// Half of the body of the answer was sent.
    HalfBody,
    /// The whole answer was sent.
    End,
}

impl FaultStep {
    /// All steps in the order of a call.
    pub const ALL: [Self; 6] = [
        Self::Connected,
        Self::HalfRequest,
        Self::RequestSent,
        Self::HeadSent,
        Self::HalfBody,
        Self::End,
    ];
}

/// A point at which a call waits until a test lets it go on.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    reached: Arc<Notify>,
    open: CancellationToken,
}

impl Gate {
    /// Creates a closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until a call has reached the gate.
    pub async fn reached(&self) {
        self.reached.notified().await;
    }

    /// Lets calls go on.
    pub fn open(&self) {
        self.open.cancel();
    }

    pub(crate) async fn pass(&self) {
        self.reached.notify_one();
        self.open.cancelled().await;
    }
}

/// What happens at a step.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The process dies: all connections and the listening socket close.
    Crash,
    /// The connection is reset.
    Reset,
    /// The connection stays open, and nothing happens on it any more.
    SilentDrop,
    /// The call pauses for a time and goes on.
    Pause(Duration),
    /// The call waits at a gate and goes on.
    Gate(Gate),
    /// The call is refused before it runs. It has no effect after the call has run.
    Refuse,
    /// The call is answered with a server error.
    ServerError,
}
