//! The stand-in backend server: its configuration, listener, counters, crash and restart.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::sync::CancellationToken;
use trefoillock_core::{
    Announcement, Incarnation, MemberState, NameError, ServiceName, VersionLabel, headers,
};

use super::{
    connection,
    fault::{Fault, FaultPlan, FaultStep},
    request::Head,
    run_counter::RunCounter,
};

/// The identity and behaviour of a stand-in backend server.
#[derive(Debug, Clone)]
pub struct BackendServerConfig {
    /// The name of its service.
    pub service: ServiceName,
    /// The version of its service.
    pub version: VersionLabel,
    /// The maximum number of calls that run at once; further calls wait.
    pub slots: u32,
    /// The maximum number of connections, announced but not enforced.
    pub connections: u32,
    /// The delay before a new connection is served.
    pub connect_delay: Duration,
    /// How long a call runs.
    pub service_time: Duration,
    /// The prefix of the `ETag` of its answers.
    pub etag: String,
    /// Every n-th call is answered with status 500; 0 means none.
    pub fail_every: u64,
    /// The faults to inject.
    pub faults: FaultPlan,
    /// Whether the heads of requests are kept for [`BackendServer::heads`].
    pub keeps_heads: bool,
}

impl BackendServerConfig {
    /// Creates the configuration of a backend server with 9 slots, 120 connections and no delays.
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
            keeps_heads: false,
        })
    }

    /// Sets how long a call runs.
    #[must_use]
    pub const fn service_time(mut self, span: Duration) -> Self {
        self.service_time = span;
        self
    }

    /// Sets the delay before a new connection is served.
    #[must_use]
    pub const fn connect_delay(mut self, span: Duration) -> Self {
        self.connect_delay = span;
        self
    }

    /// Answers every n-th call with status 500; 0 means none.
    #[must_use]
    pub const fn fail_every(mut self, calls: u64) -> Self {
        self.fail_every = calls;
        self
    }

    /// Sets the plan of faults, which other backend servers may share.
    #[must_use]
    pub fn faults(mut self, faults: FaultPlan) -> Self {
        self.faults = faults;
        self
    }

    /// Keeps the heads of all requests.
    #[must_use]
    pub const fn keep_heads(mut self) -> Self {
        self.keeps_heads = true;
        self
    }

    /// Sets the maximum number of running calls and of connections.
    #[must_use]
    pub const fn capacity(mut self, slots: u32, connections: u32) -> Self {
        self.slots = slots;
        self.connections = connections;
        self
    }
}

/// The state that all connections of a server share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) address: SocketAddr,
    pub(crate) config: BackendServerConfig,
    pub(crate) run_counter: RunCounter,
    slots: Semaphore,
    incarnation: AtomicU64,
    queued_calls: AtomicU64,
    received: AtomicU64,
    open: AtomicU64,
    max_open: AtomicU64,
    calls: AtomicU64,
    draining: AtomicBool,
    stated_limit: Mutex<Option<String>>,
    stated_load: Mutex<Option<String>>,
    says_leaving: AtomicBool,
    starts: Mutex<Vec<Instant>>,
    heads: Mutex<Vec<String>>,
    stop: Mutex<CancellationToken>,
}

impl State {
    /// Waits for a free slot; counts the calls that had to wait.
    pub(crate) async fn acquire_slot(&self) -> Option<tokio::sync::SemaphorePermit<'_>> {
        if let Ok(permit) = self.slots.try_acquire() {
            return Some(permit);
        }
        self.queued_calls.fetch_add(1, Ordering::Relaxed);
        self.slots.acquire().await.ok()
    }

    /// Counts a call whose head was read, and keeps the head if the configuration asks for it.
    pub(crate) fn record_received(&self, head: &Head) {
        if self.config.keeps_heads {
            lock(&self.heads).push(head.text());
        }
        self.received.fetch_add(1, Ordering::Relaxed);
        lock(&self.starts).push(Instant::now());
    }

    /// The header lines in which the server states its limit, its load and that it leaves.
    pub(crate) fn statement_lines(&self) -> String {
        let limit = lock(&self.stated_limit).clone();
        let limit = limit.map(|limit| format!("{}: {limit}\r\n", headers::LIMIT));
        let load = lock(&self.stated_load).clone();
        let load = load.map(|load| format!("{}: {load}\r\n", headers::SERVER_LOAD));
        let leaving = self.says_leaving.load(Ordering::Relaxed);
        let leaving = leaving.then(|| format!("{}: 1\r\n", headers::LEAVING));
        limit.unwrap_or_default() + &load.unwrap_or_default() + &leaving.unwrap_or_default()
    }

    /// Counts an open connection until the returned guard is dropped.
    pub(crate) fn count_open(self: &Arc<Self>) -> OpenConnection {
        let open = self.open.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_open.fetch_max(open, Ordering::Relaxed);
        OpenConnection(self.clone())
    }

    /// Counts a call that has run and returns whether it must fail because of `fail_every`.
    pub(crate) fn fails_by_count(&self) -> bool {
        let every = self.config.fail_every;
        let count = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        every > 0 && count.is_multiple_of(every)
    }

    /// Stops the server: all connections and the listening socket close.
    pub(crate) fn crash(&self) {
        let stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner);
        stop.cancel();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Guard of an open connection; dropping it decrements the count of open connections.
pub(crate) struct OpenConnection(Arc<State>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A stand-in backend server on a loopback socket. It stops when it is dropped.
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
    pub async fn start(config: BackendServerConfig, run_counter: RunCounter) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let slots = Semaphore::new(config.slots as usize);
        let state = Arc::new(State {
            address,
            config,
            run_counter,
            slots,
            incarnation: AtomicU64::new(1),
            queued_calls: AtomicU64::new(0),
            received: AtomicU64::new(0),
            open: AtomicU64::new(0),
            max_open: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            stated_limit: Mutex::new(None),
            stated_load: Mutex::new(None),
            says_leaving: AtomicBool::new(false),
            starts: Mutex::default(),
            heads: Mutex::default(),
            stop: Mutex::new(CancellationToken::new()),
        });
        let server = Self { address, state };
        server.accept(listener);
        Ok(server)
    }

    /// The address on which the server accepts connections.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The server's current announcement to the node beside it.
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

    /// Adds a fault for the next call that reaches a step.
    pub fn arm(&self, step: FaultStep, fault: Fault) {
        self.state.config.faults.arm(step, fault);
    }

    /// The number of calls that had to wait for a slot.
    #[must_use]
    pub fn queued_calls(&self) -> u64 {
        self.state.queued_calls.load(Ordering::Relaxed)
    }

    /// The number of calls whose request head was read.
    #[must_use]
    pub fn received_calls(&self) -> u64 {
        self.state.received.load(Ordering::Relaxed)
    }

    /// The times at which the calls whose request head was read arrived.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state.starts).clone()
    }

    /// The heads of the requests that were read: the request line, then a line for each header. Empty
    /// unless the configuration keeps them.
    #[must_use]
    pub fn heads(&self) -> Vec<String> {
        lock(&self.state.heads).clone()
    }

    /// Sets the limit that the server states in its answers, in calls per second; the text is sent
    /// as it is. `None` states no limit.
    pub fn state_limit(&self, limit: Option<&str>) {
        *lock(&self.state.stated_limit) = limit.map(str::to_owned);
    }

    /// Sets the load that the server states in its answers; the text is sent as it is. `None` states no
    /// load.
    pub fn state_load(&self, load: Option<&str>) {
        *lock(&self.state.stated_load) = load.map(str::to_owned);
    }

    /// Sets whether the server says in its answers that it leaves. Its announcement still says that
    /// it is up.
    pub fn state_leaving(&self, is_leaving: bool) {
        self.state.says_leaving.store(is_leaving, Ordering::Relaxed);
    }

    /// The largest number of connections that were open at the same time.
    #[must_use]
    pub fn max_connections(&self) -> u64 {
        self.state.max_open.load(Ordering::Relaxed)
    }

    /// Simulates a crash: all connections and the listening socket close.
    pub fn crash(&self) {
        self.state.crash();
    }

    /// Sets the announced state to draining.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the server runs, that is, has not crashed since its last start.
    #[must_use]
    pub fn is_up(&self) -> bool {
        let stop = &self.state.stop;
        !stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_cancelled()
    }

    /// Restarts the server on the same address with the next higher incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound again.
    pub async fn restart(&self) -> io::Result<()> {
        self.state.crash();
        let listener = self.rebind().await?;
        self.state.incarnation.fetch_add(1, Ordering::Relaxed);
        self.state.draining.store(false, Ordering::Relaxed);
        self.state_limit(None);
        self.state_load(None);
        self.state_leaving(false);
        let fresh = CancellationToken::new();
        *self
            .state
            .stop
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = fresh;
        self.accept(listener);
        Ok(())
    }

    /// Binds the same address again; retries while the stopped listener still holds it.
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

    /// Accepts connections in a background task until the server stops.
    fn accept(&self, listener: TcpListener) {
        let state = self.state.clone();
        let stop = state
            .stop
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
