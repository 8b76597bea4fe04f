//! Faults of a backend server at the steps of a call.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

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
    place: Arc<Mutex<Option<SocketAddr>>>,
    reached: Arc<Notify>,
    open: CancellationToken,
}

impl Gate {
    /// Creates a closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until a call has reached the gate, and returns the address of the backend server.
    pub async fn reached(&self) -> Option<SocketAddr> {
        self.reached.notified().await;
        *self.place.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets calls go on.
    pub fn open(&self) {
        self.open.cancel();
    }

    pub(crate) async fn pass(&self, place: SocketAddr) {
        *self.place.lock().unwrap_or_else(PoisonError::into_inner) = Some(place);
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
    /// The call pauses for a time, and then the connection is reset.
    PauseAndReset(Duration),
    /// The call waits at a gate and goes on.
    Gate(Gate),
    /// The call is refused before it runs. It has no effect after the call has run.
    Refuse,
    /// The call is answered with a server error.
    ServerError,
}

/// Faults that are still to happen. Several backend servers may share a plan: each fault happens
/// once, at the first one that reaches its step.
#[derive(Debug, Clone, Default)]
pub struct FaultPlan {
    faults: Arc<Mutex<VecDeque<(FaultStep, Fault)>>>,
}

impl FaultPlan {
    /// Creates a plan without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets a fault for the next call that reaches a step.
    pub fn arm(&self, step: FaultStep, fault: Fault) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.push_back((step, fault));
    }

    /// Takes the first fault of a step.
    pub(crate) fn take(&self, step: FaultStep) -> Option<Fault> {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let at = faults.iter().position(|(of, _)| *of == step)?;
        faults.remove(at).map(|(_, fault)| fault)
    }
}
