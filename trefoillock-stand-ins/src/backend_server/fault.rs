//! Faults that a stand-in backend server injects at the steps of a call.

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
    /// The connection was accepted and nothing has been read.
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

/// A barrier at which a call waits until a test opens it.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    server: Arc<Mutex<Option<SocketAddr>>>,
    reached: Arc<Notify>,
    open: CancellationToken,
}

impl Gate {
    /// Creates a closed gate.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until a call reaches the gate, and returns the address of its backend server.
    pub async fn reached(&self) -> Option<SocketAddr> {
        self.reached.notified().await;
        *self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets the waiting call and all later ones continue.
    pub fn open(&self) {
        self.open.cancel();
    }

    pub(crate) async fn wait_until_open(&self, server: SocketAddr) {
        *self.server.lock().unwrap_or_else(PoisonError::into_inner) = Some(server);
        self.reached.notify_one();
        self.open.cancelled().await;
    }
}

/// A fault at a step of a call.
#[derive(Debug, Clone)]
pub enum Fault {
    /// The server crashes: all connections and the listening socket close.
    Crash,
    /// The connection is reset.
    Reset,
    /// The connection stays open, but the server sends nothing more on it.
    SilentDrop,
    /// The call pauses and then continues.
    Pause(Duration),
    /// The call pauses, and then the connection is reset.
    PauseAndReset(Duration),
    /// The call waits until the gate is open and then continues.
    Gate(Gate),
    /// The call is refused before it runs. Only effective at [`FaultStep::HalfRequest`]; ignored at
    /// other steps.
    Refuse,
    /// The call is answered with status 500. Only effective at [`FaultStep::RequestSent`]; ignored
    /// at other steps.
    ServerError,
}

/// The faults still to be injected. Backend servers may share a plan: each fault is injected once,
/// at the first server that reaches its step.
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

    /// Adds a fault for the next call that reaches a step.
    pub fn arm(&self, step: FaultStep, fault: Fault) {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.push_back((step, fault));
    }

    /// Removes and returns the oldest fault of a step.
    pub(crate) fn take(&self, step: FaultStep) -> Option<Fault> {
        let mut faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        let at = faults.iter().position(|(planned, _)| *planned == step)?;
        faults.remove(at).map(|(_, fault)| fault)
    }
}
