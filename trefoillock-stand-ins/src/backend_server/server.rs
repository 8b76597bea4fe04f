//! The stand-in backend server as a whole.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{
    Announcement, Incarnation, MemberState, NameError, ServiceName, VersionLabel,
};

use super::{
    connection,
    fault::{Fault, FaultPlan, FaultStep},
    run_log::RunLog,
};

/// What a stand-in backend server is and how it behaves.
#[derive(Debug, Clone)]
pub struct BackendServerConfig {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: VersionLabel,
    /// The number of calls that run at once; more wait.
    pub slots: u32,
    /// The number of connections that it announces.
    pub connections: u32,
    /// The time that a new connection takes.
    pub connect_delay: Duration,
    /// The time that a call runs.
    pub service_time: Duration,
    /// The validator of its answers.
    pub etag: String,
    /// Every call of this number is answered with a server error; zero means none.
    pub fail_every: u64,
    /// The faults that are to happen.
    pub faults: FaultPlan,
}

impl BackendServerConfig {
    /// Creates the configuration of a backend server with 9 slots and 120 connections that
    /// answers at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the service or the version is not a valid name.
    pub fn new(service: &str, version: &str) -> Result<Self, NameError> {
        Ok(Self {
            service: ServiceName::try_from(service)?,
            version: VersionLabel::try_from(version)?,
            slots: 9,
            connections: 120,
            connect_delay: Duration::ZERO,
            service_time: Duration::ZERO,
            etag: version.to_owned(),
            fail_every: 0,
            faults: FaultPlan::new(),
        })
    }

    /// Sets the time that a call runs.
    #[must_use]
    pub const fn service_time(mut self, span: Duration) -> Self {
        self.service_time = span;
        self
    }

    /// Sets the time that a new connection takes.
    #[must_use]
    pub const fn connect_delay(mut self, span: Duration) -> Self {
        self.connect_delay = span;
        self
    }

    /// Answers every n-th call with a server error.
    #[must_use]
    pub const fn fail_every(mut self, calls: u64) -> Self {
        self.fail_every = calls;
        self
    }

    /// Sets a plan of faults, which other backend servers may share.
    #[must_use]
    pub fn faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Sets the number of slots and connections.
    #[must_use]
    pub const fn capacity(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }
}

/// What all connections share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) address: SocketAddr,
    pub(crate) config: BackendServerConfig,
    pub(crate) log: RunLog,
    slots: Semaphore,
    incarnation: AtomicU64,
    waited: AtomicU64,
    received: AtomicU64,
    open: AtomicU64,
    most_open: AtomicU64,
    calls: AtomicU64,
    draining: AtomicBool,
    run: Mutex<CancellationToken>,
}

impl State {
    /// Waits for a slot, and counts if it was not free.
    pub(crate) async fn slot(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        self.waited.fetch_add(1, Ordering::Relaxed);
        self.slots.acquire().await.ok()
    }

    /// Counts a call whose head was read.
    pub(crate) fn count_received(&self) {
        self.received.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an open connection; the returned value is to be kept while it is open.
    pub(crate) fn count_open(self: &Arc<Self>) -> OpenCount {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.most_open.fetch_max(open, Ordering::Relaxed);
        OpenCount(self.clone())
    }

    /// Whether the call that has just run is one of those that fail by their number.
    pub(crate) fn fails_by_count(&self) -> bool {
        let every = self.config.fail_every;
        let count = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        every > 0 && count.is_multiple_of(every)
    }

    /// Ends the present run: all connections and the listening socket close.
    pub(crate) fn crash(&self) {
        let run = self.run.lock().unwrap_or_else(PoisonError::into_inner);
        run.cancel();
    }
}

/// Counts the end of a connection when it is dropped.
pub(crate) struct OpenCount(Arc<State>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A backend server on a loopback socket. It ends when it is dropped.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
    state: Arc<State>,
}

impl BackendServer {
    /// Starts a backend server on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub async fn start(config: BackendServerConfig, log: RunLog) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let slots = Semaphore::new(config.slots as usize);
        let state = Arc::new(State {
            address,
            config,
            log,
            slots,
            incarnation: AtomicU64::new(1),
            waited: AtomicU64::new(0),
            received: AtomicU64::new(0),
            open: AtomicU64::new(0),
            most_open: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            run: Mutex::new(CancellationToken::new()),
        });
        let server = Self { address, state };
        server.accept(listener);
        Ok(server)
    }

    /// The address on which it takes calls.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it announces to the node beside it.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        let config = &self.state.config;
        Announcement {
            address: self.address,
            service: config.service.clone(),
            version: config.version.clone(),
            incarnation: Incarnation::new(self.state.incarnation.load(Ordering::Relaxed)),
            slots: config.slots,
            connections: config.connections,
            state: if self.state.draining.load(Ordering::Relaxed) {
                MemberState::Draining
            } else {
                MemberState::Up
            },
            instance: None,
        }
    }

    /// Sets a fault for the next call that reaches a step.
    pub fn arm(&self, step: FaultStep, fault: Fault) {
        self.state.config.faults.arm(step, fault);
    }

    /// The number of calls that found no free slot.
    #[must_use]
    pub fn waited(&self) -> u64 {
        self.state.waited.load(Ordering::Relaxed)
    }

    /// The number of calls whose head was read.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.state.received.load(Ordering::Relaxed)
    }

    /// The largest number of connections that were open at once.
    #[must_use]
    pub fn most_connections(&self) -> u64 {
        self.state.most_open.load(Ordering::Relaxed)
    }

    /// Ends the process: all connections and the listening socket close.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Announces from now on that it drains.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the process runs.
    #[must_use]
    pub fn is_up(&self) -> bool {
        let run = &self.state.run;
        !run.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_cancelled()
    }

    /// Starts again on the same address, in a higher incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be opened again.
    pub async fn restart(&self) -> io::Result<()> {
        self.state.crash();
        let listener = self.rebind().await?;
        self.state.incarnation.fetch_add(1, Ordering::Relaxed);
        self.state.draining.store(false, Ordering::Relaxed);
        let fresh = CancellationToken::new();
        *self
            .state
            .run
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fresh;
        self.accept(listener);
        Ok(())
    }

    /// Opens the address again once the ended run has closed it.
    async fn rebind(&self) -> io::Result<TcpListener> {
        const ATTEMPTS: u32 = 200;
        for _ in 0..ATTEMPTS {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                return Ok(listener);
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        TcpListener::bind(self.address).await
    }

    fn accept(&self, listener: TcpListener) {
        let state = self.state.clone();
        let stop = state
            .run
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        tokio::spawn(async move {
            while let Some(Ok((stream, _))) = stop.run_until_cancelled(listener.accept()).await {
                let (state, stop) = (state.clone(), stop.clone());
                tokio::spawn(async move {
                    let serving = connection::serve(state, stream, stop.clone());
                    stop.run_until_cancelled(serving).await
                });
            }
        });
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.state.crash();
    }
}
